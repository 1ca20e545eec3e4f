//! The recent use of a client account, by this entry and by all entries.
//!
//! Pure: no I/O. It determines which fraction an entry may admit before entries
//! receive each other's gossip, and how much all of them admit in that time.
//! Load pattern: the callers of an account hold a few dozen connections, so
//! most of hundreds of entries see none of its requests, and some see several
//! at once.

use std::time::Duration;

use crate::quantity::Timestamp;

/// The time until all other entries know what one entry admitted: one gossip
/// interval from the entry to the hub, and one from the hub to the others.
pub const PROPAGATION_TIME: Duration = Duration::from_millis(500);
/// The time over which an account's use is averaged: long enough to even out
/// single large requests, short enough to follow callers that begin to exceed
/// the limit.
const USE_AVERAGING_TIME: Duration = Duration::from_secs(1);
/// The time over which an entry's fraction of an account's use is averaged: it
/// spans several requests of each caller's connection.
const FRACTION_AVERAGING_TIME: Duration = Duration::from_secs(4);
/// The use that is assumed to be spread evenly over all entries in addition to
/// the observed use, in seconds of the account's rate. It leaves a small
/// fraction to callers that arrive at entries without earlier requests of the
/// account.
const EVEN_USE_SECONDS: f64 = 0.5;

/// An exponentially decaying sum of units.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecayingSum {
    units: f64,
    updated_at: Timestamp,
    averaging_time: Duration,
}

impl DecayingSum {
    /// Returns a sum of nothing.
    pub(super) fn new(now: Timestamp, averaging_time: Duration) -> Self {
        Self {
            units: 0.0,
            updated_at: now,
            averaging_time,
        }
    }

    /// Adds `units`.
    pub(super) fn add(&mut self, now: Timestamp, units: f64) {
        self.units = self.value_at(now) + units;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns what is left of the sum.
    pub(super) fn value_at(&self, now: Timestamp) -> f64 {
        self.units
            * (-now
                .since(self.updated_at)
                .div_duration_f64(self.averaging_time))
            .exp()
    }
}

/// What was recently admitted of an account, as far as this entry knows.
#[derive(Clone, Copy, Debug)]
pub struct AccountUse {
    known_since: Timestamp,
    short_total_use: DecayingSum,
    own_use: DecayingSum,
    total_use: DecayingSum,
}

impl AccountUse {
    /// Returns the use of an account of which nothing is known.
    pub fn new(now: Timestamp) -> Self {
        Self {
            known_since: now,
            short_total_use: DecayingSum::new(now, USE_AVERAGING_TIME),
            own_use: DecayingSum::new(now, FRACTION_AVERAGING_TIME),
            total_use: DecayingSum::new(now, FRACTION_AVERAGING_TIME),
        }
    }

    /// Adds units that other entries admitted.
    pub fn note_peer_units(&mut self, now: Timestamp, units: f64) {
        self.short_total_use.add(now, units);
        self.total_use.add(now, units);
    }

    /// Adds units that this entry admitted.
    pub fn note_own_units(&mut self, now: Timestamp, units: f64) {
        self.note_peer_units(now, units);
        self.own_use.add(now, units);
    }

    /// Returns how many units all entries will probably admit until the others
    /// know what this entry admits now. `None` while too little is known.
    pub fn expected_use(&self, now: Timestamp) -> Option<f64> {
        let known = now.since(self.known_since);
        let observed = 1.0 - (-known.div_duration_f64(USE_AVERAGING_TIME)).exp();
        let is_known = known >= PROPAGATION_TIME;
        is_known.then(|| {
            self.short_total_use.value_at(now) / observed
                * PROPAGATION_TIME.div_duration_f64(USE_AVERAGING_TIME)
        })
    }

    /// Returns how many more units were recently admitted than the rate earned
    /// in the same time.
    pub fn excess(&self, now: Timestamp, rate: f64) -> f64 {
        let known = now.since(self.known_since);
        let observed = 1.0 - (-known.div_duration_f64(FRACTION_AVERAGING_TIME)).exp();
        let earned = rate * FRACTION_AVERAGING_TIME.as_secs_f64() * observed;
        (self.total_use.value_at(now) - earned).max(0.0)
    }

    /// Returns this entry's fraction of the use. `entries` entries share the
    /// limit.
    pub fn own_fraction(&self, now: Timestamp, rate: f64, entries: f64) -> f64 {
        let even_use = rate * EVEN_USE_SECONDS;
        (self.own_use.value_at(now) + even_use / entries)
            / (self.total_use.value_at(now) + even_use)
    }
}
