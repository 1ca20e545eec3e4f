//! How much work callers bring to this entry for each service, averaged over
//! seconds. A request counts once, however often it is sent, and also if it is
//! refused for lack of room: what runs is bounded by the replicas that are there.
//!
//! Pure.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// The time over which work is averaged: long enough to even out single long
/// prompts, short enough to follow a rise within the start of a replica.
const AVERAGE_TIME: Duration = Duration::from_secs(4);

/// The work that comes for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OfferedWork {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Prompt tokens a second that have to be read for them.
    pub tokens_per_s: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct WorkRate {
    work: OfferedWork,
    at: Timestamp,
}

impl WorkRate {
    fn decayed(self, now: Timestamp) -> OfferedWork {
        let passed = now.since(self.at).as_secs_f64();
        let kept = (-passed / AVERAGE_TIME.as_secs_f64()).exp();
        OfferedWork {
            requests_per_s: self.work.requests_per_s * kept,
            tokens_per_s: self.work.tokens_per_s * kept,
        }
    }
}

/// The work of all services.
#[derive(Clone, Debug, Default)]
pub struct WorkMeter {
    rates: BTreeMap<ServiceName, WorkRate>,
}

impl WorkMeter {
    /// Returns a meter that has seen no work.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a request for which a backend server has to read prompt tokens.
    pub fn note(&mut self, now: Timestamp, service: &ServiceName, tokens: u64) {
        let rate = self.rates.entry(service.clone()).or_default();
        let mut work = rate.decayed(now);
        work.requests_per_s += 1.0 / AVERAGE_TIME.as_secs_f64();
        work.tokens_per_s += tokens as f64 / AVERAGE_TIME.as_secs_f64();
        *rate = WorkRate { work, at: now };
    }

    /// Returns the work of each service.
    pub fn rates(&self, now: Timestamp) -> impl Iterator<Item = (&ServiceName, OfferedWork)> {
        let decayed = move |(service, rate): (_, &WorkRate)| (service, rate.decayed(now));
        self.rates.iter().map(decayed)
    }
}
