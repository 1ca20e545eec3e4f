//! How much work this entry sends to each service, averaged over seconds.
//!
//! Pure.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// The time over which work is averaged: long enough to even out single long
/// prompts, short enough to follow a rise within the start of a replica.
const AVERAGE_TIME: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug, Default)]
struct WorkRate {
    tokens_per_s: f64,
    at: Timestamp,
}

impl WorkRate {
    fn decayed(self, now: Timestamp) -> f64 {
        let passed = now.since(self.at).as_secs_f64();
        self.tokens_per_s * (-passed / AVERAGE_TIME.as_secs_f64()).exp()
    }
}

/// Prompt tokens to be read, by service.
#[derive(Clone, Debug, Default)]
pub struct WorkMeter {
    rates: BTreeMap<ServiceName, WorkRate>,
}

impl WorkMeter {
    /// Returns a meter that has seen no work.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes prompt tokens that a backend server has to read.
    pub fn note(&mut self, now: Timestamp, service: &ServiceName, tokens: u64) {
        let rate = self.rates.entry(service.clone()).or_default();
        let added = tokens as f64 / AVERAGE_TIME.as_secs_f64();
        rate.tokens_per_s = rate.decayed(now) + added;
        rate.at = now;
    }

    /// Returns the tokens a second of each service.
    pub fn rates(&self, now: Timestamp) -> impl Iterator<Item = (&ServiceName, f64)> {
        let decayed = move |(service, rate): (_, &WorkRate)| (service, rate.decayed(now));
        self.rates.iter().map(decayed)
    }
}
