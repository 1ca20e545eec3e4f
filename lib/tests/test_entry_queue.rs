//! The load pattern of short peaks: all replicas are full for some tens of milliseconds.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use cloverbend::gateway::entry_queue::EntryQueue;
use cloverbend::gateway::entry_queue::MAX_WAITERS;
use cloverbend::gateway::entry_queue::QueueWaiter;
use cloverbend::gateway::entry_queue::WaitQuery;
use cloverbend::gateway::load_shedding::SheddingQuery;
use cloverbend::gateway::load_shedding::shed_request;
use cloverbend::id::ServiceName;
use cloverbend::quantity::Timestamp;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

/// The target latency of each urgency, in milliseconds.
const TARGETS_MS: [u64; 3] = [600, 1_200, 800];
/// How long a request occupies a slot, in milliseconds.
const SLOT_TIME_MS: u64 = 900;
const SLOTS: u32 = 264;
/// How late entries see the requests of others.
const NEWS_MS: usize = 250;

#[derive(Clone, Copy, Debug, Default)]
struct Kind {
    in_time: u32,
    late: u32,
    refused: u32,
    /// Of `in_time` and `late`, those that waited at the entry.
    waited: u32,
}

impl Kind {
    fn share(&self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.in_time + self.late + self.refused)
    }
}

struct Queued {
    urgency: usize,
    arrived: u64,
    until: Timestamp,
    waiter: QueueWaiter,
}

/// The replicas and what entries know of them.
struct Pool {
    free_at: BinaryHeap<Reverse<u64>>,
    ends: BinaryHeap<Reverse<(u64, usize)>>,
    own: Vec<u32>,
    history: VecDeque<Vec<u32>>,
}

impl Pool {
    fn new(entries: usize) -> Self {
        Self {
            free_at: (0..SLOTS).map(|_| Reverse(0)).collect(),
            ends: BinaryHeap::new(),
            own: vec![0; entries],
            history: VecDeque::from(vec![vec![0; entries]; NEWS_MS]),
        }
    }

    fn advance(&mut self, now: u64) {
        while let Some(&Reverse((_, entry))) = self.ends.peek().filter(|end| end.0.0 <= now) {
            self.ends.pop();
            self.own[entry] -= 1;
        }
        self.history.push_back(self.own.clone());
        self.history.pop_front();
    }

    /// Returns the wait for a slot as an entry estimates it.
    fn slot_wait(&self, entry: usize) -> Duration {
        let known = &self.history[0];
        let others = known.iter().sum::<u32>() - known[entry];
        let waiting = (self.own[entry] + others + 1).saturating_sub(SLOTS);
        Duration::from_millis(SLOT_TIME_MS).mul_f64(f64::from(waiting) / f64::from(SLOTS))
    }

    fn send(&mut self, kind: &mut Kind, now: u64, entry: usize, arrived: u64, target: u64) {
        let Reverse(slot) = self.free_at.pop().unwrap();
        let started = slot.max(now);
        self.free_at.push(Reverse(started + SLOT_TIME_MS));
        self.ends.push(Reverse((started + SLOT_TIME_MS, entry)));
        self.own[entry] += 1;
        match started + 60 - arrived <= target {
            true => kind.in_time += 1,
            false => kind.late += 1,
        }
    }
}

fn service() -> ServiceName {
    "chat".parse().unwrap()
}

/// Replays random arrivals at `load` times the capacity. Returns the result by urgency.
fn replay(entries: usize, load: f64, waits: bool, seed: u64) -> [Kind; 3] {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut pool = Pool::new(entries);
    let mut queues = vec![EntryQueue::new(); entries];
    let mut queued: Vec<Vec<Queued>> = (0..entries).map(|_| Vec::new()).collect();
    let mut kinds = [Kind::default(); 3];
    let mut next_arrival = 0.0;
    for now in 0..20_000_u64 {
        let at = Timestamp(now * 1_000);
        pool.advance(now);
        for (entry, waiting) in queued.iter_mut().enumerate() {
            while let Some(index) = waiting.iter().position(|one| {
                pool.slot_wait(entry).is_zero() && queues[entry].is_next(&one.waiter)
            }) {
                let one = waiting.swap_remove(index);
                queues[entry].leave(&one.waiter);
                let kind = &mut kinds[one.urgency];
                kind.waited += 1;
                pool.send(kind, now, entry, one.arrived, TARGETS_MS[one.urgency]);
            }
            waiting.retain(|one| {
                if at < one.until {
                    return true;
                }
                queues[entry].leave(&one.waiter);
                kinds[one.urgency].refused += 1;
                false
            });
        }
        while next_arrival <= now as f64 {
            let rate = load * f64::from(SLOTS) / SLOT_TIME_MS as f64;
            next_arrival -= (1.0 - rng.random::<f64>()).ln() / rate;
            let (entry, urgency) = (rng.random_range(0..entries), rng.random_range(0..3_usize));
            let slot_wait = pool.slot_wait(entry);
            let target_latency = Duration::from_millis(TARGETS_MS[urgency]);
            let shedding = SheddingQuery {
                expected_latency: slot_wait + Duration::from_millis(60),
                slot_wait,
                target_latency,
                shortest_target: Duration::from_millis(TARGETS_MS[0]),
                urgency: urgency as u8,
                draw: rng.random(),
            };
            if shed_request(&shedding).is_none() {
                pool.send(&mut kinds[urgency], now, entry, now, TARGETS_MS[urgency]);
                continue;
            }
            let query = WaitQuery {
                slot_wait,
                target_latency,
                own_requests: pool.own[entry],
                slot_time: Duration::from_millis(SLOT_TIME_MS),
                urgency: urgency as u8,
            };
            let joined = waits.then(|| queues[entry].join(at, &service(), &query));
            match joined.flatten() {
                Some((waiter, until)) => {
                    assert!(until <= at.after(target_latency / 8));
                    queued[entry].push(Queued {
                        urgency,
                        arrived: now,
                        until,
                        waiter,
                    });
                }
                None => kinds[urgency].refused += 1,
            }
        }
    }
    kinds
}

/// Bound: of each kind, the share served in time falls by no more than 0.01 against the
/// same load without the queue, and the share refused of all does not rise.
#[rstest]
fn waiting_serves_no_kind_less(
    #[values(1, 9, 62, 302)] entries: usize,
    #[values(0.95, 1.1)] load: f64,
) {
    let before = replay(entries, load, false, 1);
    let after = replay(entries, load, true, 1);
    let refused = |kinds: &[Kind; 3]| {
        let all: u32 = kinds
            .iter()
            .map(|kind| kind.in_time + kind.late + kind.refused)
            .sum();
        let refused: u32 = kinds.iter().map(|kind| kind.refused).sum();
        f64::from(refused) / f64::from(all)
    };
    let shares = |kinds: &[Kind; 3]| kinds.map(|kind| kind.share(kind.in_time));
    println!(
        "{entries} entries, load {load}: in time {:.3?} then {:.3?}, refused {:.4} then {:.4}, waited {:?}",
        shares(&before),
        shares(&after),
        refused(&before),
        refused(&after),
        after.map(|kind| kind.waited)
    );
    for (before, after) in before.iter().zip(&after) {
        assert!(after.share(after.in_time) >= before.share(before.in_time) - 0.01);
    }
    assert!(refused(&after) <= refused(&before));
}

fn query(urgency: u8, target_ms: u64) -> WaitQuery {
    WaitQuery {
        slot_wait: Duration::from_millis(20),
        target_latency: Duration::from_millis(target_ms),
        own_requests: 1_000_000,
        slot_time: Duration::from_millis(SLOT_TIME_MS),
        urgency,
    }
}

#[test]
fn urgent_requests_are_next_and_of_them_those_due_first() {
    let now = Timestamp(7_000_000);
    let mut queue = EntryQueue::new();
    let queries = [query(2, 400), query(0, 800), query(0, 600), query(1, 300)];
    let waiters = queries.map(|query| queue.join(now, &service(), &query).unwrap().0);
    let mut order = Vec::new();
    while let Some(next) = waiters.iter().position(|waiter| queue.is_next(waiter)) {
        order.push(next);
        queue.leave(&waiters[next]);
    }
    assert_eq!(order, [2, 1, 3, 0]);
    assert!(queue.is_empty());
}

#[test]
fn services_do_not_wait_for_each_other() {
    let now = Timestamp(7_000_000);
    let mut queue = EntryQueue::new();
    let other: ServiceName = "batch".parse().unwrap();
    let (first, _) = queue.join(now, &other, &query(0, 300)).unwrap();
    let (second, _) = queue.join(now, &service(), &query(2, 800)).unwrap();
    assert!(queue.is_next(&first) && queue.is_next(&second));
}

#[rstest]
#[case::slot_later_than_the_bound(WaitQuery { slot_wait: Duration::from_millis(101), ..query(0, 800) })]
#[case::no_own_request_ends_in_time(WaitQuery { own_requests: 8, ..query(0, 800) })]
#[case::nothing_known(WaitQuery { own_requests: 0, slot_time: Duration::ZERO, ..query(0, 800) })]
fn a_request_without_prospect_does_not_wait(#[case] query: WaitQuery) {
    let mut queue = EntryQueue::new();
    assert_eq!(queue.join(Timestamp(0), &service(), &query), None);
}

#[test]
fn the_queue_is_bounded() {
    let mut queue = EntryQueue::new();
    let joined = (0..10_000).filter_map(|_| queue.join(Timestamp(0), &service(), &query(0, 800)));
    assert_eq!(joined.count(), MAX_WAITERS);
    assert_eq!(queue.len(), MAX_WAITERS);
}
