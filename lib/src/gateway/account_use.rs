//! What was admitted of a client account lately, by this entry and by all.
//!
//! Pure. From it follow an entry's part of what may be admitted before entries
//! hear of each other, and how much all admit meanwhile. Load pattern: the
//! callers of an account hold a few dozen connections, so that most of hundreds
//! of entries see none of its requests, and some see several at once.

use std::time::Duration;

use crate::quantity::Timestamp;

/// How long it takes until what one entry admits is known at all others: a pause
/// between its news, and one between those of a hub.
pub const TELLING_TIME: Duration = Duration::from_millis(500);
/// The time over which an account's use is averaged: long enough to even out
/// single large requests, short enough to follow callers who begin to press.
const USE_TIME: Duration = Duration::from_secs(1);
/// The time over which an entry's part of an account's use is averaged: some
/// requests of each caller's connection.
const PART_TIME: Duration = Duration::from_secs(4);
/// The use, in seconds of an account's rate, that is taken to be spread evenly
/// over all entries beside what was seen. It keeps a small part for callers
/// that come by entries which have seen none.
const EVEN_USE: f64 = 0.5;

/// Units of which the older ones fade.
#[derive(Clone, Copy, Debug)]
struct FadingUnits {
    units: f64,
    at: Timestamp,
    time: Duration,
}

impl FadingUnits {
    fn new(now: Timestamp, time: Duration) -> Self {
        Self {
            units: 0.0,
            at: now,
            time,
        }
    }

    fn note(&mut self, now: Timestamp, units: f64) {
        self.units = self.at(now) + units;
        self.at = self.at.max(now);
    }

    fn at(&self, now: Timestamp) -> f64 {
        self.units * (-now.since(self.at).div_duration_f64(self.time)).exp()
    }
}

/// What was admitted of an account lately, as far as this entry knows.
#[derive(Clone, Copy, Debug)]
pub struct AccountUse {
    known_since: Timestamp,
    all: FadingUnits,
    own_part: FadingUnits,
    all_parts: FadingUnits,
}

impl AccountUse {
    /// Returns the use of an account of which nothing was heard.
    pub fn new(now: Timestamp) -> Self {
        Self {
            known_since: now,
            all: FadingUnits::new(now, USE_TIME),
            own_part: FadingUnits::new(now, PART_TIME),
            all_parts: FadingUnits::new(now, PART_TIME),
        }
    }

    /// Notes units that other entries admitted.
    pub fn note_others(&mut self, now: Timestamp, units: f64) {
        self.all.note(now, units);
        self.all_parts.note(now, units);
    }

    /// Notes units that this entry admitted.
    pub fn note_own(&mut self, now: Timestamp, units: f64) {
        self.note_others(now, units);
        self.own_part.note(now, units);
    }

    /// Returns how much is admitted until what an entry admits now is known at
    /// all others; none while too little was heard to tell.
    pub fn until_told(&self, now: Timestamp) -> Option<f64> {
        let known = now.since(self.known_since);
        let seen = 1.0 - (-known.div_duration_f64(USE_TIME)).exp();
        let is_known = known >= TELLING_TIME;
        is_known.then(|| self.all.at(now) / seen * TELLING_TIME.div_duration_f64(USE_TIME))
    }

    /// Returns how much more was admitted than a rate earned meanwhile.
    pub fn excess(&self, now: Timestamp, rate: f64) -> f64 {
        let known = now.since(self.known_since);
        let seen = 1.0 - (-known.div_duration_f64(PART_TIME)).exp();
        let earned = rate * PART_TIME.as_secs_f64() * seen;
        (self.all_parts.at(now) - earned).max(0.0)
    }

    /// Returns this entry's part of the use, one of `entries` entries.
    pub fn part(&self, now: Timestamp, rate: f64, entries: f64) -> f64 {
        let even = rate * EVEN_USE;
        (self.own_part.at(now) + even / entries) / (self.all_parts.at(now) + even)
    }
}
