//! What is learnt of how fast replicas read prompts.

use std::time::Duration;

use cloverbend::gateway::prefill_speed::ReadingSpeed;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

/// Answers of an engine that reads `rate` tokens a millisecond. One in ten
/// waits behind others for up to a second.
fn observe(speed: &mut ReadingSpeed, rate: f64, answers: u32, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    for _ in 0..answers {
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
#[case::quarter(16.0)]
#[case::earlier_sites(64.0)]
#[case::newest_site(157.0)]
#[case::four_times(628.0)]
fn the_speed_of_any_engine_is_learnt(#[case] rate: f64) {
    for seed in 0..20 {
        let mut speed = ReadingSpeed::new();
        observe(&mut speed, rate, 600, seed);
        let learnt = speed.token_rate().0 / 1_000.0;
        assert!((0.6..=1.4).contains(&(learnt / rate)), "{learnt} of {rate}");
        let expected = 35.0 + 20_000.0 / rate;
        let first = speed.first_event(20_000).as_secs_f64() * 1_000.0;
        assert!(
            (0.6..=1.8).contains(&(first / expected)),
            "{first} of {expected}"
        );
    }
}

#[test]
fn replicas_that_are_replaced_by_slower_ones_are_followed() {
    let mut speed = ReadingSpeed::new();
    observe(&mut speed, 157.0, 1_000, 1);
    observe(&mut speed, 40.0, 1_000, 2);
    let learnt = speed.token_rate().0 / 1_000.0;
    assert!((25.0..=55.0).contains(&learnt), "{learnt}");
}

#[test]
fn without_observations_the_prior_holds() {
    let speed = ReadingSpeed::new();
    insta::assert_debug_snapshot!((
        speed.token_rate(),
        speed.first_event(0),
        speed.first_event(10_000)
    ));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]
    /// Whatever is observed, also nonsense, expectations stay usable.
    #[test]
    fn any_observation_leaves_a_usable_expectation(
        seen in prop::collection::vec((0_u64..1_000_000, 0_u64..100_000_000), 0..60),
        tokens in 0_u64..1_000_000,
    ) {
        let mut speed = ReadingSpeed::new();
        for (tokens, micros) in seen {
            speed.note(tokens, Duration::from_micros(micros));
        }
        let rate = speed.token_rate().0;
        prop_assert!((1_000.0..=1_000_001.0).contains(&rate));
        prop_assert!(speed.first_event(tokens) >= Duration::from_secs_f64(speed.reading_millis(tokens) / 1_001.0));
        prop_assert!(speed.first_event(tokens + 1_000) >= speed.first_event(tokens));
    }
}
