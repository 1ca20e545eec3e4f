//! The load pattern of full replicas: what they serve is asked for once to twice
//! and hundreds of entries know the queue as it was a quarter of a second ago.

use std::collections::VecDeque;
use std::time::Duration;

use cloverbend::gateway::load_shedding::SheddingQuery;
use cloverbend::gateway::load_shedding::shed_request;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

/// A kind of request as callers send it.
#[derive(Clone, Copy)]
struct CallKind {
    urgency: u8,
    target_ms: u64,
    /// Requests in a hundred.
    share: u32,
}

const KINDS: [CallKind; 3] = [
    CallKind {
        urgency: 0,
        target_ms: 600,
        share: 41,
    },
    CallKind {
        urgency: 1,
        target_ms: 1_200,
        share: 18,
    },
    CallKind {
        urgency: 2,
        target_ms: 800,
        share: 41,
    },
];

/// How a request of a kind takes a slot, in milliseconds.
const HOLD_MS: u64 = 900;

/// Replicas with 264 slots in all, asked for by `load` times what they serve.
/// Entries know the queue as it was a quarter of a second ago. Returns by kind
/// how many of a hundred are in time, late and turned away.
fn play_queue(load: f64, sheds: bool, seed: u64) -> [[u32; 3]; 3] {
    const SLOTS: usize = 264;
    let mut rng = StdRng::seed_from_u64(seed);
    let per_ms = load * SLOTS as f64 / HOLD_MS as f64;
    let mut free_at = vec![0_u64; SLOTS];
    let mut waits_told = VecDeque::from(vec![0_u64; 250]);
    let mut counts = [[0_u32; 3]; 3];
    let mut owed = 0.0;
    for now in 0..12_000_u64 {
        let soonest = *free_at.iter().min().unwrap();
        waits_told.push_back(soonest.saturating_sub(now));
        let told = waits_told.pop_front().unwrap();
        owed += per_ms;
        while owed >= 1.0 {
            owed -= 1.0;
            let kind = pick_kind(&mut rng);
            let target = Duration::from_millis(KINDS[kind].target_ms);
            let query = SheddingQuery {
                expected_latency: Duration::from_millis(told + 60),
                slot_wait: Duration::from_millis(told),
                target_latency: target,
                shortest_target: Duration::from_millis(KINDS[0].target_ms),
                urgency: KINDS[kind].urgency,
                draw: rng.random(),
            };
            if sheds && shed_request(&query).is_some() {
                counts[kind][2] += 1;
                continue;
            }
            let slot = free_at.iter_mut().min().unwrap();
            let begun = (*slot).max(now);
            *slot = begun + HOLD_MS;
            let is_late = begun + 60 - now > KINDS[kind].target_ms;
            counts[kind][usize::from(is_late)] += 1;
        }
    }
    counts.map(|kind| {
        let all: u32 = kind.iter().sum();
        kind.map(|count| count * 100 / all.max(1))
    })
}

fn pick_kind(rng: &mut StdRng) -> usize {
    let drawn = rng.random_range(0..100);
    match KINDS {
        [first, ..] if drawn < first.share => 0,
        [first, second, _] if drawn < first.share + second.share => 1,
        _ => 2,
    }
}

/// Half of the capacity is gone. Without turning any away all kinds are late
/// together.
#[rstest]
#[case::all_that_is_needed(0.9)]
#[case::a_little_more(1.2)]
#[case::twice_as_much(2.0)]
fn who_is_served_when_replicas_are_full(#[case] load: f64) {
    let mut shown = String::new();
    for sheds in [false, true] {
        let [urgent, middle, last] = play_queue(load, sheds, 1);
        shown += &format!("turned away {sheds}: {urgent:?} {middle:?} {last:?}\n");
    }
    insta::assert_snapshot!(format!("load_{}", (load * 10.0) as u32), shown);
}

#[test]
fn a_request_for_which_a_slot_is_free_is_never_turned_away() {
    let query = SheddingQuery {
        expected_latency: Duration::from_secs(5),
        slot_wait: Duration::ZERO,
        target_latency: Duration::from_millis(600),
        shortest_target: Duration::from_millis(600),
        urgency: 9,
        draw: 0.0,
    };
    assert_eq!(shed_request(&query), None);
}
