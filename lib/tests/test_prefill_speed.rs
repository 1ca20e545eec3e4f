//! Estimates of how fast replicas prefill prompts.

use std::time::Duration;

use cloverbend::gateway::prefill_speed::PrefillSpeed;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

/// Adds responses of an engine that prefills `rate` tokens per millisecond. One in ten
/// requests waits behind others for up to a second.
fn observe(speed: &mut PrefillSpeed, rate: f64, responses: u32, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    for _ in 0..responses {
        let tokens = (rng.random::<f64>().powi(4) * 50_000.0) as u64;
        let waited = match rng.random_ratio(1, 10) {
            true => rng.random_range(0.0..1_000.0),
            false => 0.0,
        };
        let millis = 35.0 + tokens as f64 / rate + waited;
        speed.note(tokens, Duration::from_secs_f64(millis / 1_000.0));
    }
}

#[rstest]
#[case::slow(16.0)]
#[case::medium(64.0)]
#[case::fast(157.0)]
#[case::very_fast(628.0)]
fn the_estimate_converges_for_engines_of_any_speed(#[case] rate: f64) {
    for seed in 0..20 {
        let mut speed = PrefillSpeed::new();
        observe(&mut speed, rate, 600, seed);
        let estimated = speed.token_rate().0 / 1_000.0;
        assert!(
            (0.6..=1.4).contains(&(estimated / rate)),
            "{estimated} of {rate}"
        );
        let expected = 35.0 + 20_000.0 / rate;
        let first = speed.first_event(20_000).as_secs_f64() * 1_000.0;
        assert!(
            (0.6..=1.8).contains(&(first / expected)),
            "{first} of {expected}"
        );
    }
}

#[test]
fn the_estimate_follows_replacement_by_slower_replicas() {
    let mut speed = PrefillSpeed::new();
    observe(&mut speed, 157.0, 1_000, 1);
    observe(&mut speed, 40.0, 1_000, 2);
    let estimated = speed.token_rate().0 / 1_000.0;
    assert!((25.0..=55.0).contains(&estimated), "{estimated}");
}

#[test]
fn without_observations_the_prior_holds() {
    let speed = PrefillSpeed::new();
    insta::assert_debug_snapshot!((
        speed.token_rate(),
        speed.first_event(0),
        speed.first_event(10_000)
    ));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]
    /// Estimates stay usable after any observations, even implausible ones.
    #[test]
    fn any_observations_leave_a_usable_estimate(
        observed in prop::collection::vec((0_u64..1_000_000, 0_u64..100_000_000), 0..60),
        tokens in 0_u64..1_000_000,
    ) {
        let mut speed = PrefillSpeed::new();
        for (tokens, micros) in observed {
            speed.note(tokens, Duration::from_micros(micros));
        }
        let rate = speed.token_rate().0;
        prop_assert!((1_000.0..=1_000_001.0).contains(&rate));
        prop_assert!(speed.first_event(tokens) >= Duration::from_secs_f64(speed.prefill_millis(tokens) / 1_001.0));
        prop_assert!(speed.first_event(tokens + 1_000) >= speed.first_event(tokens));
    }
}
