//! How long rights of the lease of duties hold, and how long entries wait.

use std::time::Duration;

/// Parts of a whole in [`LeaseTimings::drift_percent`].
const PERCENT: u32 = 100;

/// How long rights hold, and how long entries wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTimings {
    /// How long a record, or the promises of all successors, let the holder act.
    pub short_term: Duration,
    /// How long promises let the holder act beyond its newest record.
    pub long_term: Duration,
    /// How much longer others wait, in hundredths, for clocks that do not run
    /// at the same rate.
    pub drift_percent: u32,
    /// How much longer each further entry waits, so that one claims alone.
    pub rank_step: Duration,
    /// How long an entry that was replaced as the holder does not claim.
    pub cooldown: Duration,
}

impl LeaseTimings {
    /// Returns the terms of a deployment, where an entry that was replaced does
    /// not claim again for `cooldown`.
    ///
    /// The short term lets the holder miss two renewals, half a second apart,
    /// with a call that gets no answer between them. The long one bridges an
    /// outage of the store of ten seconds.
    pub fn with_cooldown(cooldown: Duration) -> Self {
        Self {
            short_term: Duration::from_millis(2_000),
            long_term: Duration::from_millis(12_000),
            drift_percent: 5,
            rank_step: Duration::from_millis(200),
            cooldown,
        }
    }

    /// Returns how long others wait for a right of that length to end.
    pub(crate) fn wait(&self, length: Duration) -> Duration {
        length * (PERCENT + self.drift_percent) / PERCENT
    }
}
