//! What entries remember of how routes shared their requests among services.

use std::collections::BTreeMap;
use std::time::Duration;

use cloverbend::gateway::history_sync::StoredHistory;
use cloverbend::gateway::site_config::CallerLimits;
use cloverbend::gateway::site_config::RepeatRule;
use cloverbend::gateway::site_config::RouteRule;
use cloverbend::gateway::site_config::RouteTarget;
use cloverbend::gateway::site_config::SiteConfig;
use cloverbend::gateway::version_binding::VersionSet;
use cloverbend::gateway::version_history::VersionHistory;
use cloverbend::gateway::weight_history::RouteKey;
use cloverbend::gateway::weight_history::RouteShares;
use cloverbend::gateway::weight_history::ShareDigest;
use cloverbend::gateway::weight_history::StoredShares;
use cloverbend::gateway::weight_history::WeightHistory;
use cloverbend::id::RevisionNumber;
use cloverbend::id::ServiceName;
use cloverbend::quantity::Timestamp;
use rstest::rstest;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn service(name: &str) -> ServiceName {
    name.parse().unwrap()
}

fn route(prefix: &str, targets: &[(&str, u32)]) -> RouteRule {
    let targets = targets.iter().map(|(name, weight)| RouteTarget {
        service: service(name),
        weight: *weight,
    });
    RouteRule {
        name: "resume".to_owned(),
        host: "depot.example".to_owned(),
        prefix: prefix.to_owned(),
        targets: targets.collect(),
        repeat: RepeatRule::AtMostOnce,
        streaming: true,
        resumable: true,
        timeout: Duration::from_secs(8),
        target_latency: Duration::from_millis(500),
        target_pause: Duration::from_millis(500),
        max_attempts: 2,
        priority: 1,
        public: false,
    }
}

fn config(revision: u64, routes: &[&RouteRule]) -> SiteConfig {
    let limits = CallerLimits {
        head_bytes: 16_384,
        body_bytes: 2_000,
    };
    let mut config = SiteConfig::new(RevisionNumber(revision), limits);
    for route in routes {
        config.add_route((*route).clone());
    }
    config
}

/// Equal digests draw equal services.
#[rstest]
#[case::only_service(&[("a", 1)], &[("a", 90)], true)]
#[case::no_weight(&[("a", 1)], &[("a", 90), ("b", 0)], true)]
#[case::weights(&[("a", 1), ("b", 1)], &[("a", 90), ("b", 10)], false)]
#[case::order(&[("a", 1), ("b", 1)], &[("b", 1), ("a", 1)], false)]
#[case::other_service(&[("a", 1)], &[("b", 1)], false)]
#[case::one_more(&[("a", 1), ("b", 1)], &[("a", 1), ("b", 1), ("c", 1)], false)]
fn shares_are_compared(
    #[case] first: &[(&str, u32)],
    #[case] second: &[(&str, u32)],
    #[case] is_same: bool,
) {
    let digests = [first, second].map(|targets| ShareDigest::of(&route("/a/", targets)));
    assert_eq!(digests[0] == digests[1], is_same);
}

#[test]
fn shares_are_steady_unless_they_changed_lately() {
    let first = route("/a/", &[("a", 1)]);
    let key = RouteKey::of(&first);
    let mut history = WeightHistory::new();
    assert_eq!(history.shares(at(0), key), None);
    history.note(at(1_000), &config(1, &[&first]));
    // An entry that has just started does not know what was in force before.
    assert_eq!(history.shares(at(30_999), key), None);
    assert!(history.shares(at(31_000), key).is_some());
    history.restore(StoredShares::NothingServed);
    let steady = |rule: &RouteRule| Some(RouteShares::Steady(ShareDigest::of(rule)));
    assert_eq!(history.shares(at(1_000), key), steady(&first));
    assert!(!history.is_shared(at(1_000), &service("a")));

    // A revision that changes nothing of the route.
    history.note(at(5_000), &config(2, &[&first]));
    assert_eq!(history.shares(at(5_000), key), steady(&first));

    let second = route("/a/", &[("a", 1), ("b", 1)]);
    history.note(at(6_000), &config(3, &[&second]));
    assert_eq!(history.shares(at(35_999), key), Some(RouteShares::Changed));
    assert_eq!(history.shares(at(36_000), key), steady(&second));
    assert!(history.is_shared(at(90_000), &service("a")));
    assert!(history.is_shared(at(90_000), &service("b")));

    // Streams of the only service that is left are announced for as long as others go on.
    let third = route("/a/", &[("b", 1)]);
    history.note(at(90_000), &config(4, &[&third]));
    assert!(history.is_shared(at(119_999), &service("b")));
    assert!(!history.is_shared(at(120_000), &service("b")));
    assert_eq!(history.shares(at(120_000), key), steady(&third));
}

/// A route that appears takes over requests that matched another one.
#[test]
fn a_new_route_counts_as_changed() {
    let first = route("/a/", &[("a", 1)]);
    let second = route("/a/b/", &[("b", 1)]);
    let key = RouteKey::of(&second);
    let mut history = WeightHistory::new();
    history.note(at(0), &config(1, &[&first]));
    assert_eq!(history.shares(at(0), key), Some(RouteShares::Changed));
    history.note(at(1_000), &config(2, &[&first, &second]));
    assert_eq!(history.shares(at(2_000), key), Some(RouteShares::Changed));
    history.note(at(3_000), &config(3, &[&first]));
    history.note(at(40_000), &config(4, &[&first, &second]));
    assert_eq!(history.shares(at(41_000), key), Some(RouteShares::Changed));
}

/// What the store has of the time before the entry started, in either order of arrival.
#[rstest]
#[case::before_the_configuration(true)]
#[case::after_the_configuration(false)]
fn stored_shares_are_compared_with_the_first_configuration(#[case] is_restored_first: bool) {
    let same = route("/a/", &[("a", 1), ("b", 1)]);
    let other = route("/b/", &[("a", 1)]);
    let new = route("/c/", &[("a", 1)]);
    let changed = route("/d/", &[("a", 1)]);
    let earlier = route("/b/", &[("a", 1), ("b", 1)]);
    let stored =
        [&same, &earlier, &changed].map(|rule| (RouteKey::of(rule), ShareDigest::of(rule)));
    let stored = StoredShares::Known(BTreeMap::from(stored));
    let mut history = WeightHistory::new();
    if is_restored_first {
        history.restore(stored.clone());
    }
    let rules = [&same, &other, &new, &changed];
    history.note(at(500), &config(1, &rules));
    let later = route("/d/", &[("b", 1)]);
    let rules = [&same, &other, &new, &later];
    history.note(at(600), &config(2, &rules));
    if !is_restored_first {
        history.restore(stored);
    }
    let shares = |rule: &RouteRule| history.shares(at(1_000), RouteKey::of(rule));
    assert_eq!(
        shares(&same),
        Some(RouteShares::Steady(ShareDigest::of(&same)))
    );
    assert_eq!(shares(&other), None);
    assert_eq!(shares(&new), None);
    assert_eq!(shares(&changed), Some(RouteShares::Changed));
    assert_eq!(history.all_steady(at(1_000)).len(), 1);
}

#[test]
fn the_record_in_the_store_is_read_as_it_was_written() {
    let versions: VersionSet = [None, Some("v1".parse().unwrap())].into();
    let versions = BTreeMap::from([(service("a"), versions)]);
    let rule = route("/a/", &[("a", 1)]);
    let shares = BTreeMap::from([(RouteKey::of(&rule), ShareDigest::of(&rule))]);
    let written = StoredHistory::new(versions.clone(), shares.clone());
    let text = serde_json::to_string(&written).unwrap();
    println!("{} bytes", text.len());
    let read: StoredHistory = serde_json::from_str(&text).unwrap();
    assert_eq!(read.versions(), Some(versions.clone()));
    assert_eq!(read.shares(), shares);

    let mut history = VersionHistory::new();
    assert!(!history.is_complete(at(100)));
    history.restore(at(100), &versions);
    assert!(history.is_complete(at(100)));
    assert_eq!(
        history.recent(at(30_099), &service("a")),
        versions[&service("a")]
    );
    assert!(history.recent(at(30_100), &service("a")).is_empty());
}
