//! Measures the work that callers offer to this entry for each service, averaged over
//! seconds.
//!
//! Pure logic: no I/O and no clock. A request counts once, however often it is sent,
//! and also if it is refused because the replicas are full: the work that runs is
//! bounded by the replicas and does not show how many are needed.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// The time constant of the average: long enough to even out single long prompts,
/// short enough to follow a rise while a replica starts.
const AVERAGE_TIME: Duration = Duration::from_secs(4);

/// The work offered for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OfferedWork {
    /// Requests per second.
    pub requests_per_s: f64,
    /// Their prompt tokens that need prefill, per second.
    pub tokens_per_s: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct WorkRate {
    work: OfferedWork,
    updated_at: Timestamp,
}

impl WorkRate {
    fn decayed(self, now: Timestamp) -> OfferedWork {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let factor = (-elapsed / AVERAGE_TIME.as_secs_f64()).exp();
        OfferedWork {
            requests_per_s: self.work.requests_per_s * factor,
            tokens_per_s: self.work.tokens_per_s * factor,
        }
    }
}

/// The work offered for all services.
#[derive(Clone, Debug, Default)]
pub struct WorkMeter {
    rates: BTreeMap<ServiceName, WorkRate>,
}

impl WorkMeter {
    /// Returns a meter that has counted no work.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request, and its prompt tokens that need prefill.
    pub fn note(&mut self, now: Timestamp, service: &ServiceName, tokens: u64) {
        let rate = self.rates.entry(service.clone()).or_default();
        let mut work = rate.decayed(now);
        work.requests_per_s += 1.0 / AVERAGE_TIME.as_secs_f64();
        work.tokens_per_s += tokens as f64 / AVERAGE_TIME.as_secs_f64();
        *rate = WorkRate {
            work,
            updated_at: now,
        };
    }

    /// Returns the work offered for each service.
    pub fn rates(&self, now: Timestamp) -> impl Iterator<Item = (&ServiceName, OfferedWork)> {
        let decayed = move |(service, rate): (_, &WorkRate)| (service, rate.decayed(now));
        self.rates.iter().map(decayed)
    }
}
