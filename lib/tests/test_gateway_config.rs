//! Lookup of routes and API keys, and confirmation of the newest configuration.

use bytes::Bytes;
use cloverbend::gateway::config_follower::ConfigFollower;
use cloverbend::gateway::log_position::LogRead;
use cloverbend::gateway::packed_document::PackedDocument;
use cloverbend::gateway::platform_interface::LogRecord;
use cloverbend::gateway::platform_interface::LogSlice;
use cloverbend::gateway::site_config::AccountRule;
use cloverbend::gateway::site_config::CallerLimits;
use cloverbend::gateway::site_config::LimitUnit;
use cloverbend::gateway::site_config::RepeatRule;
use cloverbend::gateway::site_config::RouteRule;
use cloverbend::gateway::site_config::RouteTarget;
use cloverbend::gateway::site_config::SiteConfig;
use cloverbend::id::LogOffset;
use cloverbend::id::RevisionNumber;
use cloverbend::quantity::Timestamp;
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

const LIMITS: CallerLimits = CallerLimits {
    head_bytes: 1_000,
    body_bytes: 1_000,
};

fn route(name: &str, host: &str, prefix: &str) -> RouteRule {
    RouteRule {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        targets: vec![
            RouteTarget {
                service: "left".parse().unwrap(),
                weight: 90,
            },
            RouteTarget {
                service: "right".parse().unwrap(),
                weight: 10,
            },
        ],
        repeat: RepeatRule::AtMostOnce,
        streaming: false,
        resumable: false,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_secs(1),
        target_pause: Duration::from_millis(500),
        max_attempts: 1,
        priority: 0,
        public: false,
    }
}

fn config(revision: u64) -> SiteConfig {
    let mut config = SiteConfig::new(RevisionNumber(revision), LIMITS);
    config.routes = vec![
        route("wide", "a.example", "/x/"),
        route("narrow", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/"),
    ];
    let account = AccountRule {
        name: "depots".parse().unwrap(),
        priority: None,
        unit: LimitUnit::Requests,
        rate: 0.0,
        burst: 0.0,
    };
    config.add_account(account, ["key-one", "key-two"]);
    config
}

#[rstest]
#[case("a.example", "/x/y/z", Some("narrow"))]
#[case("A.Example", "/x/z", Some("wide"))]
#[case("b.example", "/x/y/", Some("other"))]
#[case("b.example", "/x/", None)]
#[case("c.example", "/x/", None)]
#[case("a.example", "/x", None)]
fn the_longest_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let config = config(1);
    let found = config
        .find_route(host, path)
        .map(|route| route.name.as_str());
    assert_eq!(found, expected);
}

#[rstest]
#[case("key-one", true)]
#[case("key-two", true)]
#[case("key-three", false)]
#[case("", false)]
fn keys_are_found_by_their_digest(#[case] key: &str, #[case] known: bool) {
    assert_eq!(config(1).find_account(key).is_some(), known);
}

#[test]
fn targets_get_their_share_of_requests() {
    let route = route("wide", "a.example", "/x/");
    let left = (0..1_000).filter(|n| route.target(*n).unwrap().as_str() == "left");
    assert_eq!(left.count(), 900);
}

fn offer(follower: &mut ConfigFollower, revision: u64, log_end: Option<u64>) -> bool {
    let document = PackedDocument::pack(b"{}").unwrap();
    let log_end = log_end.map(LogOffset);
    follower.offer(Timestamp(0), config(revision), document, log_end)
}

/// A read of the records from one offset to the end of the log at another.
fn slice_between(from: u64, end: u64) -> LogSlice {
    let record = |offset| LogRecord {
        offset: LogOffset(offset),
        key: None,
        value: Bytes::from_static(b"{}"),
    };
    LogSlice {
        records: (from..end).map(record).collect(),
        oldest: LogOffset(0),
        read_end: LogOffset(end),
        end: LogOffset(end),
        ..LogSlice::default()
    }
}

#[test]
fn a_configuration_from_another_entry_is_not_read_from_the_log_again() {
    let mut follower = ConfigFollower::new();
    assert_eq!(follower.log_end(), None);
    assert!(offer(&mut follower, 3, Some(8)));
    assert_eq!(follower.log_end(), Some(LogOffset(8)));
    // A read that was already pending ends at a lower offset.
    let slice = slice_between(4, 6);
    follower.note_slice(LogRead::Following(LogOffset(4)), &slice, Timestamp(0));
    assert_eq!(follower.log_end(), Some(LogOffset(8)));
    // A configuration without a known log offset does not change the offset.
    assert!(offer(&mut follower, 4, None));
    assert_eq!(follower.log_end(), Some(LogOffset(8)));
    // The log no longer has the next records.
    follower.note_dropped(LogOffset(12));
    assert_eq!(follower.log_end(), None);
}

#[test]
fn the_adopted_configuration_is_not_the_newest_after_an_unusable_document() {
    let mut follower = ConfigFollower::new();
    let at = Timestamp::from_millis;
    assert!(offer(&mut follower, 3, Some(8)));
    follower.confirm(RevisionNumber(3), at(10));
    let slice = slice_between(8, 9);
    follower.note_slice(LogRead::Following(LogOffset(8)), &slice, at(20));
    follower.note_unusable(LogOffset(9), None);
    // The unusable document is not read again, and nothing is confirmed meanwhile.
    assert_eq!(follower.log_end(), Some(LogOffset(9)));
    follower.confirm(RevisionNumber(3), at(500));
    assert_eq!(follower.confirmed_at(), Some(at(10)));
    // A configuration from before the unusable document changes nothing, a later one
    // does.
    assert!(offer(&mut follower, 4, Some(8)));
    follower.confirm(RevisionNumber(4), at(600));
    assert_eq!(follower.confirmed_at(), Some(at(10)));
    assert!(offer(&mut follower, 6, Some(10)));
    follower.confirm(RevisionNumber(6), at(700));
    assert_eq!(follower.confirmed_at(), Some(at(700)));
}

/// Another entry sent the configuration, and the log has it behind the unusable document.
#[test]
fn the_place_of_an_adopted_configuration_makes_up_for_an_unusable_document() {
    let mut follower = ConfigFollower::new();
    let at = Timestamp::from_millis;
    follower.note_unusable(LogOffset(9), None);
    assert!(offer(&mut follower, 4, None));
    follower.confirm(RevisionNumber(4), at(10));
    follower.note_place(Some(LogOffset(8)));
    follower.confirm(RevisionNumber(4), at(20));
    assert_eq!(follower.confirmed_at(), None);
    follower.note_place(Some(LogOffset(10)));
    follower.confirm(RevisionNumber(4), at(30));
    assert_eq!(follower.confirmed_at(), Some(at(30)));
}

/// The document of revision 5 lies before one of a lower revision.
#[test]
fn an_unusable_revision_is_replaced_by_a_higher_one_only() {
    let mut follower = ConfigFollower::new();
    let at = Timestamp::from_millis;
    assert!(offer(&mut follower, 3, Some(8)));
    follower.note_unusable(LogOffset(9), Some(RevisionNumber(5)));
    assert!(offer(&mut follower, 4, Some(10)));
    follower.confirm(RevisionNumber(4), at(10));
    assert_eq!(follower.confirmed_at(), None);
    assert!(offer(&mut follower, 6, Some(7)));
    follower.confirm(RevisionNumber(6), at(20));
    assert_eq!(follower.confirmed_at(), Some(at(20)));
    // One that is older than the adopted revision is no obstacle.
    follower.note_unusable(LogOffset(11), Some(RevisionNumber(5)));
    follower.confirm(RevisionNumber(6), at(30));
    assert_eq!(follower.confirmed_at(), Some(at(30)));
}

#[test]
fn a_confirmation_counts_from_the_time_of_the_request() {
    let mut follower = ConfigFollower::new();
    follower.confirm(RevisionNumber(0), Timestamp::from_millis(5));
    assert_eq!(follower.age(Timestamp::from_millis(9)), None);
    assert!(offer(&mut follower, 3, None));
    follower.confirm(RevisionNumber(3), Timestamp::from_millis(10));
    // Another entry has a newer revision, so the adopted one is not the newest.
    follower.confirm(RevisionNumber(4), Timestamp::from_millis(500));
    // A response to an earlier request that arrives late changes nothing.
    follower.confirm(RevisionNumber(3), Timestamp::from_millis(2));
    let age = follower.age(Timestamp::from_millis(1_010));
    assert_eq!(age, Some(Duration::from_secs(1)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn the_adopted_revision_only_increases(offered in prop::collection::vec(1_u64..20, 1..40)) {
        let mut follower = ConfigFollower::new();
        let mut highest = 0;
        for revision in offered {
            let adopted = offer(&mut follower, revision, None);
            prop_assert_eq!(adopted, revision > highest);
            highest = highest.max(revision);
            prop_assert_eq!(follower.revision(), RevisionNumber(highest));
        }
    }
}
