//! How long the lease is valid, and how long entries wait before they claim it.

use std::time::Duration;

const PERCENT: u32 = 100;

/// How long the lease is valid, and how long entries wait before they claim it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTimings {
    /// How long a record, or the promises of all successors, make the lease valid.
    pub short_term: Duration,
    /// How long after the newest record promises can keep the lease valid.
    pub long_term: Duration,
    /// How much longer than a term other entries wait, in percent of the term, since
    /// clocks do not run at the same rate.
    pub drift_percent: u32,
    /// How much longer each hub waits than the hub of the next lower rank, so that only
    /// one claims.
    pub rank_step: Duration,
    /// How long a former holder waits before it may claim again.
    pub cooldown: Duration,
}

impl LeaseTimings {
    /// Returns the timings of a deployment, with the given cooldown.
    ///
    /// The short term is long enough for two failed renewals, half a second apart, with
    /// a call that gets no response between them. The long term covers a store outage
    /// of ten seconds.
    pub fn with_cooldown(cooldown: Duration) -> Self {
        Self {
            short_term: Duration::from_millis(2_000),
            long_term: Duration::from_millis(12_000),
            drift_percent: 5,
            rank_step: Duration::from_millis(200),
            cooldown,
        }
    }

    /// Returns how long other entries wait until a term is over by any clock.
    pub(crate) fn with_drift(&self, term: Duration) -> Duration {
        term * (PERCENT + self.drift_percent) / PERCENT
    }
}
