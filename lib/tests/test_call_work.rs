//! Estimates of the work of requests: by the caller's hint, by the history of the route,
//! and by the service as long as there is no history.

use std::time::Duration;

use cloverbend::gateway::call_work::EstimateBasis;
use cloverbend::gateway::call_work::WorkHistory;
use cloverbend::gateway::call_work::WorkQuery;
use cloverbend::gateway::time_estimate::TimeEstimate;
use cloverbend::quantity::TokenCount;
use proptest::prelude::ProptestConfig;
use proptest::prelude::prop;
use proptest::prelude::prop_assert;
use proptest::prelude::proptest;
use proptest::test_runner::RngSeed;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

const SERVICE_MEAN: Duration = Duration::from_millis(1_500);
/// The natural logarithm of 1.6, the usual error of a hint.
const HINT_SPREAD: f64 = 0.47;
const TOKENS_PER_EVENT: u64 = 12;
const EVENT_MS: u64 = 60;

fn query(route: &str, length_hint: Option<u64>) -> WorkQuery {
    WorkQuery {
        service: "model".parse().unwrap(),
        route: route.to_owned(),
        length_hint: length_hint.map(TokenCount),
        max_generated: Some(TokenCount(1_200)),
    }
}

/// Returns a hint for a length in events that is right in the median.
fn rough_hint(rng: &mut StdRng, events: u64) -> u64 {
    // The sum of twelve uniform numbers is nearly normal, with a deviation of one.
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    let tokens = (events * TOKENS_PER_EVENT) as f64 * (HINT_SPREAD * normal).exp();
    (tokens.round() as u64).max(1)
}

/// Returns a history of `count` requests on each of three routes: tags of 3 events,
/// summaries of 32, and reports of 10 to 100.
fn history(count: usize) -> WorkHistory {
    let mut rng = StdRng::seed_from_u64(7);
    let mut history = WorkHistory::default();
    for _ in 0..count {
        let report = rng.random_range(10..=100);
        for (route, events) in [("tag", 3), ("summary", 32), ("report", report)] {
            let hint = rough_hint(&mut rng, events);
            let took = Duration::from_millis(events * EVENT_MS);
            history.note(&query(route, Some(hint)), took);
        }
    }
    history
}

fn median_ms(history: &WorkHistory, route: &str, hint: Option<u64>) -> u64 {
    let estimate = history.estimate(&query(route, hint), SERVICE_MEAN);
    estimate.time.median().as_millis() as u64
}

/// After a restart of the entry nothing is known of any route.
#[test]
fn without_a_history_the_mean_of_the_service_holds() {
    let estimate = WorkHistory::default().estimate(&query("tag", Some(40)), SERVICE_MEAN);
    assert_eq!(estimate.time.median(), SERVICE_MEAN);
    assert_eq!(estimate.basis, EstimateBasis::History);
    assert_eq!(estimate.tokens, Some(TokenCount(40)));
}

#[test]
fn an_unknown_route_is_estimated_by_the_pace_of_its_service() {
    let history = history(100);
    let short = median_ms(&history, "new", Some(36));
    let long = median_ms(&history, "new", Some(900));
    assert!(short < 500, "{short} ms");
    assert!(long > 2_000, "{long} ms");
}

/// The history of a route replaces the mean of the service as it grows: the estimate for
/// a tag of 180 ms gets closer with each step, and is within a fifth at the end.
#[test]
fn the_history_of_a_route_weighs_more_as_it_grows() {
    let errors = [0, 1, 10, 200].map(|count| {
        let estimate = median_ms(&history(count), "tag", None);
        estimate.abs_diff(3 * EVENT_MS)
    });
    assert!(errors.is_sorted_by(|a, b| a > b), "{errors:?}");
    assert!(errors[3] <= 36, "{errors:?}");
}

/// Where all requests of a route have one length, a hint that is far off changes little.
/// Where lengths differ, it changes much.
#[test]
fn a_hint_weighs_by_what_it_tells() {
    let history = history(300);
    let double = |route: &str, hint: u64| {
        let plain = median_ms(&history, route, Some(hint)) as f64;
        median_ms(&history, route, Some(hint * 2)) as f64 / plain
    };
    let summary = double("summary", 384);
    let report = double("report", 400);
    assert!(summary < 1.15, "{summary}");
    assert!(report > 1.3, "{report}");
}

/// Long and short reports have to be distinguished: with hints, the median error of the estimate of a
/// report has to be at most three quarters of that without.
#[rstest]
fn hints_improve_estimates_of_uneven_routes(#[values(1, 2, 3)] seed: u64) {
    let history = history(300);
    let mut rng = StdRng::seed_from_u64(seed);
    let mut errors = [Vec::new(), Vec::new()];
    for _ in 0..500 {
        let events = rng.random_range(10..=100);
        let hint = rough_hint(&mut rng, events);
        let true_ms = (events * EVENT_MS) as f64;
        for (errors, hint) in errors.iter_mut().zip([Some(hint), None]) {
            let estimate = median_ms(&history, "report", hint) as f64;
            errors.push((estimate / true_ms).ln().abs());
        }
    }
    let [hinted, unhinted] = errors.map(|mut errors| {
        errors.sort_by(f64::total_cmp);
        errors[errors.len() / 2]
    });
    assert!(hinted <= unhinted * 0.75, "{hinted} {unhinted}");
}

/// Estimates stay within the number of tokens that may be generated, whatever the hint.
#[rstest]
#[case::billion(Some(1_000_000_000))]
#[case::maximum(Some(u64::MAX))]
#[case::zero(Some(0))]
#[case::none(None)]
fn an_unusable_hint_is_bounded(#[case] hint: Option<u64>) {
    let history = history(50);
    let estimate = history.estimate(&query("report", hint), SERVICE_MEAN);
    let tokens = estimate.tokens.unwrap();
    assert!(tokens <= TokenCount(1_201), "{tokens}");
    assert!(estimate.time.median() <= Duration::from_millis(1_200 * 10));
}

/// A request that took an hour by a fault must not spoil the estimate of its route.
#[test]
fn one_outlier_shifts_a_history_by_little() {
    let mut history = history(100);
    let before = median_ms(&history, "tag", None) as f64;
    history.note(&query("tag", Some(1)), Duration::from_secs(3_600));
    let after = median_ms(&history, "tag", None) as f64;
    assert!(after / before < 1.1, "{before} {after}");
}

/// Routes whose names change with every configuration do not use up memory: a route of
/// the first ones is estimated again like its service.
#[test]
fn routes_are_forgotten_when_there_are_too_many() {
    let mut history = history(100);
    let tag = median_ms(&history, "tag", None);
    for number in 0..1_000 {
        let took = Duration::from_millis(2_000);
        history.note(&query(&format!("route-{number}"), None), took);
    }
    assert!(median_ms(&history, "tag", None) > tag * 4);
}

/// Half of all runs end within the median. A run that has overstayed its estimate still
/// has time left, in proportion to how long it has lasted.
#[test]
fn a_run_that_overstays_still_has_time_left() {
    let estimate = TimeEstimate::new(Duration::from_secs(1), 0.4);
    let left = [0, 500, 1_000, 2_000, 10_000].map(|elapsed| {
        let left = estimate.time_left(Duration::from_millis(elapsed), 0.5);
        left.as_millis()
    });
    insta::assert_debug_snapshot!(left);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_estimate_is_finite(
        hint in prop::option::of(0_u64..),
        max in prop::option::of(0_u64..),
        seconds in prop::collection::vec(0_u64.., 0..20),
        elapsed in 0_u64..,
    ) {
        let query = WorkQuery {
            max_generated: max.map(TokenCount),
            ..query("any", hint)
        };
        let mut history = WorkHistory::default();
        for seconds in seconds {
            history.note(&query, Duration::from_secs(seconds));
        }
        let time = history.estimate(&query, SERVICE_MEAN).time;
        prop_assert!(time.median() <= Duration::from_secs(600));
        for share in [0.25, 0.5, 0.75] {
            prop_assert!(!time.time_left(Duration::from_micros(elapsed), share).is_zero());
        }
    }
}
