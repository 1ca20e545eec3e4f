//! The load pattern of full replicas. The load is up to twice the capacity, and hundreds
//! of entries decide on the basis of the queue 250 ms ago.

use std::collections::VecDeque;
use std::time::Duration;

use cloverbend::gateway::load_shedding::SheddingQuery;
use cloverbend::gateway::load_shedding::shed_request;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

/// A kind of request that callers send.
#[derive(Clone, Copy)]
struct CallKind {
    urgency: u8,
    target_ms: u64,
    /// The share of this kind in all requests, in percent.
    percent: u32,
}

const KINDS: [CallKind; 3] = [
    CallKind {
        urgency: 0,
        target_ms: 600,
        percent: 41,
    },
    CallKind {
        urgency: 1,
        target_ms: 1_200,
        percent: 18,
    },
    CallKind {
        urgency: 2,
        target_ms: 800,
        percent: 41,
    },
];

/// How long a request occupies a slot, in milliseconds.
const SLOT_TIME_MS: u64 = 900;

/// Simulates replicas with 264 slots in total at `load` times their capacity. Entries see
/// the queue with a delay of 250 ms. Returns for each kind the percentages of requests
/// that were in time, late, and shed.
fn simulate_queue(load: f64, sheds: bool, seed: u64) -> [[u32; 3]; 3] {
    const SLOTS: usize = 264;
    let mut rng = StdRng::seed_from_u64(seed);
    let per_ms = load * SLOTS as f64 / SLOT_TIME_MS as f64;
    let mut free_at = vec![0_u64; SLOTS];
    let mut reported_waits = VecDeque::from(vec![0_u64; 250]);
    let mut counts = [[0_u32; 3]; 3];
    let mut arrivals = 0.0;
    for now in 0..12_000_u64 {
        let soonest = *free_at.iter().min().unwrap();
        reported_waits.push_back(soonest.saturating_sub(now));
        let reported_wait = reported_waits.pop_front().unwrap();
        arrivals += per_ms;
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            let kind = pick_kind(&mut rng);
            let target_latency = Duration::from_millis(KINDS[kind].target_ms);
            let query = SheddingQuery {
                expected_latency: Duration::from_millis(reported_wait + 60),
                slot_wait: Duration::from_millis(reported_wait),
                target_latency,
                shortest_target: Duration::from_millis(KINDS[0].target_ms),
                urgency: KINDS[kind].urgency,
                draw: rng.random(),
            };
            if sheds && shed_request(&query).is_some() {
                counts[kind][2] += 1;
                continue;
            }
            let slot = free_at.iter_mut().min().unwrap();
            let started_at = (*slot).max(now);
            *slot = started_at + SLOT_TIME_MS;
            let is_late = started_at + 60 - now > KINDS[kind].target_ms;
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
        [first, ..] if drawn < first.percent => 0,
        [first, second, _] if drawn < first.percent + second.percent => 1,
        _ => 2,
    }
}

/// Half of the capacity is lost. Above the capacity and without load shedding, requests of
/// all kinds are late.
#[rstest]
#[case::below_capacity(0.9)]
#[case::above_capacity(1.2)]
#[case::twice_the_capacity(2.0)]
fn urgent_requests_are_served_first_when_replicas_are_full(#[case] load: f64) {
    let mut shown = String::new();
    for sheds in [false, true] {
        let [urgent, middle, last] = simulate_queue(load, sheds, 1);
        shown += &format!("shedding {sheds}: {urgent:?} {middle:?} {last:?}\n");
    }
    insta::assert_snapshot!(format!("load_{}", (load * 10.0) as u32), shown);
}

#[test]
fn a_request_for_which_a_slot_is_free_is_never_shed() {
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
