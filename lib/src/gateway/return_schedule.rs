//! Decides when the callers of a service that are refused should return.
//!
//! Pure logic: no I/O and no clock. The load pattern is a burst beyond the capacity of a
//! service for some seconds. The callers that are refused together would return together,
//! find the replicas full again, and be refused again. So every promised time takes a part
//! of the slots that become free then, and more urgent requests may take more of them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::quantity::Timestamp;

/// The shortest time after which a caller should return.
pub const MIN_RETURN_DELAY: Duration = Duration::from_millis(150);
/// The longest time after which a caller should return.
pub const MAX_RETURN_DELAY: Duration = Duration::from_secs(5);
/// The share of the time left up to which callers wait before they retry.
const PATIENCE_SHARE: f64 = 1.0 / 3.0;
/// Bounds the room if the time of a request is not known.
const MAX_SLOTS_PER_S: f64 = 1e6;
/// The resolution of the schedule. Callers reconnect within a few tens of milliseconds.
const BUCKET: Duration = Duration::from_millis(100);
/// The share of slots that may be promised to the most urgent requests. The remainder is
/// for requests that arrive for the first time.
const URGENT_SHARE: f64 = 0.8;
/// The decrease of that share for each level of lower urgency.
const URGENCY_STEP: f64 = 0.15;
/// The lower bound of that share.
const MIN_SHARE: f64 = 0.1;
/// How long a promise of another entry takes to arrive here: two rounds of gossip.
const NEWS_DELAY: Duration = Duration::from_millis(500);
/// The period over which the rate of promises is measured.
const RATE_PERIOD: Duration = Duration::from_secs(1);

/// A refused request, and the room at its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReturnQuery {
    /// The time until the replicas have worked off their queues.
    pub queue_wait: Duration,
    /// The time until the deadline.
    pub time_left: Duration,
    /// The slots of all replicas of the service.
    pub slots: u32,
    /// The mean time that a request occupies a slot.
    pub slot_time: Duration,
    /// The urgency, 0 the most urgent.
    pub urgency: u8,
    /// The number of entries that make promises.
    pub entries: usize,
    /// A random number from 0 to 1, different for each request.
    pub draw: f64,
}

impl ReturnQuery {
    /// Returns the time up to which the caller waits before it retries.
    fn patience(&self) -> Duration {
        self.time_left.mul_f64(PATIENCE_SHARE)
    }

    /// Returns the latest useful time. The response would miss the deadline after a later
    /// one, or the caller would retry too often before it.
    fn latest(&self) -> Duration {
        let response_due = self.time_left.saturating_sub(self.slot_time);
        let second_retry =
            self.patience() + (self.time_left - self.patience()).mul_f64(PATIENCE_SHARE);
        response_due.min(second_retry).min(MAX_RETURN_DELAY)
    }

    /// Returns how many slots of the service become free per second.
    fn slots_per_s(&self) -> f64 {
        let slot_s = self.slot_time.as_secs_f64().max(f64::MIN_POSITIVE);
        (f64::from(self.slots) / slot_s).min(MAX_SLOTS_PER_S)
    }
}

/// The time after which a caller should return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnPlan {
    /// There is room at that time.
    Room(Duration),
    /// All room before the deadline is promised to others.
    NoRoom(Duration),
}

/// Counts events in the current and in the previous period.
#[derive(Clone, Copy, Debug, Default)]
struct RateCounter {
    period: u64,
    current: u32,
    previous: u32,
}

impl RateCounter {
    fn advance(&mut self, now: Timestamp) {
        let period = now.0 / RATE_PERIOD.as_micros() as u64;
        if period != self.period {
            let is_next = period == self.period + 1;
            self.previous = if is_next { self.current } else { 0 };
            self.current = 0;
            self.period = period;
        }
    }

    fn note(&mut self, now: Timestamp) {
        self.advance(now);
        self.current = self.current.saturating_add(1);
    }

    /// Returns the events per second over the last period.
    fn per_second(mut self, now: Timestamp) -> f64 {
        self.advance(now);
        let length = RATE_PERIOD.as_micros() as u64;
        let elapsed = (now.0 % length) as f64 / length as f64;
        let count = f64::from(self.previous) * (1.0 - elapsed) + f64::from(self.current);
        count / RATE_PERIOD.as_secs_f64()
    }
}

/// The promised returns to one service.
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    taken: BTreeMap<u64, u32>,
    own_rate: RateCounter,
    peer_rate: RateCounter,
}

impl ReturnSchedule {
    /// Takes a place at the time `due`. `is_own` is whether this entry promised it.
    pub fn take(&mut self, now: Timestamp, due: Timestamp, is_own: bool) {
        *self.taken.entry(bucket_of(due)).or_insert(0) += 1;
        let rate = match is_own {
            true => &mut self.own_rate,
            false => &mut self.peer_rate,
        };
        rate.note(now);
    }

    /// Gives back a place at the time `due`.
    pub fn release(&mut self, due: Timestamp) {
        if let Some(count) = self.taken.get_mut(&bucket_of(due)) {
            *count = count.saturating_sub(1);
        }
    }

    /// Forgets places in the past. Returns whether any are left.
    pub fn purge(&mut self, now: Timestamp) -> bool {
        self.taken = self.taken.split_off(&bucket_of(now));
        !self.taken.is_empty()
    }

    /// Decides when the caller of a refused request should return: at a random time in
    /// the earliest period that has room for it and for the promises of other entries
    /// that are not known here yet.
    pub fn plan(&self, now: Timestamp, query: &ReturnQuery) -> ReturnPlan {
        let start = query.queue_wait.max(MIN_RETURN_DELAY);
        let latest = query.latest();
        let patience = query.patience().min(latest);
        let free = self.free_places(now, query, start, latest);
        let unseen = self.unseen_promises(now, query);
        let soon = first_period(&free, 1.0 + unseen, patience);
        let plan = pick_time(&free[..soon], query.draw)
            .or_else(|| pick_time(&free[..first_period(&free, 1.0, latest)], query.draw));
        match plan {
            Some(after) => ReturnPlan::Room(after.clamp(MIN_RETURN_DELAY, MAX_RETURN_DELAY)),
            None => {
                let spread = 0.5 + 0.5 * query.draw;
                let after = patience.mul_f64(spread);
                ReturnPlan::NoRoom(after.clamp(MIN_RETURN_DELAY, MAX_RETURN_DELAY))
            }
        }
    }

    /// Returns the free places for a request from `start` to `latest`. A bucket in which
    /// more is promised than its slots delays the following ones.
    fn free_places(
        &self,
        now: Timestamp,
        query: &ReturnQuery,
        start: Duration,
        latest: Duration,
    ) -> Vec<FreePlaces> {
        let room = query.slots_per_s() * promised_share(query.urgency);
        let room = room * BUCKET.as_secs_f64();
        let mut excess = 0.0;
        let mut free = Vec::new();
        for bucket in bucket_of(now)..=bucket_of(now.after(latest)) {
            let taken = self.taken.get(&bucket).copied().unwrap_or(0);
            let left = room - f64::from(taken) - excess;
            excess = (-left).max(0.0);
            let begin = bucket_start(bucket).since(now).max(start);
            let end = bucket_start(bucket + 1).since(now).min(latest);
            if begin < end {
                let share = (end - begin).as_secs_f64() / BUCKET.as_secs_f64();
                free.push(FreePlaces {
                    begin,
                    end,
                    count: left.max(0.0) * share,
                });
            }
        }
        free
    }

    /// Estimates the promises of other entries that are not known here yet. While no
    /// gossip arrives, other entries are assumed to make as many as this one.
    fn unseen_promises(&self, now: Timestamp, query: &ReturnQuery) -> f64 {
        let others = query.entries.saturating_sub(1) as f64;
        let assumed = self.own_rate.per_second(now) * others;
        self.peer_rate.per_second(now).max(assumed) * NEWS_DELAY.as_secs_f64()
    }
}

/// The free places in a part of the time ahead.
#[derive(Clone, Copy, Debug)]
struct FreePlaces {
    begin: Duration,
    end: Duration,
    count: f64,
}

/// Returns how many parts it takes until `needed` places are free, or until the time
/// `limit`.
fn first_period(free: &[FreePlaces], needed: f64, limit: Duration) -> usize {
    let mut total = 0.0;
    let enough = free.iter().position(|part| {
        total += part.count;
        total >= needed
    });
    let within = free.iter().take_while(|part| part.begin < limit).count();
    enough.map_or(within, |index| (index + 1).min(within))
}

/// Picks a time in proportion to the free places, if one place is free.
fn pick_time(free: &[FreePlaces], draw: f64) -> Option<Duration> {
    let total: f64 = free.iter().map(|part| part.count).sum();
    if total < 1.0 {
        return None;
    }
    let mut left = total * draw.clamp(0.0, 1.0);
    let is_reached = |part: &&FreePlaces| {
        let reached = part.count > 0.0 && left <= part.count;
        if !reached {
            left -= part.count;
        }
        reached
    };
    let part = free.iter().find(is_reached).or(free.last())?;
    let share = (left / part.count.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0);
    Some(part.begin + (part.end - part.begin).mul_f64(share))
}

/// Returns the share of slots that may be promised to requests of an urgency.
fn promised_share(urgency: u8) -> f64 {
    (URGENT_SHARE - URGENCY_STEP * f64::from(urgency)).max(MIN_SHARE)
}

fn bucket_of(at: Timestamp) -> u64 {
    at.0 / BUCKET.as_micros() as u64
}

fn bucket_start(bucket: u64) -> Timestamp {
    Timestamp(bucket * BUCKET.as_micros() as u64)
}
