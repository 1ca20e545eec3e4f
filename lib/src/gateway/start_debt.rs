//! What an account owes for the level with which its bucket began.
//!
//! Pure: no I/O. An entry that starts can't know what its predecessor admitted. Its
//! buckets begin with a start level, so that accounts below their limits are served at
//! once. An account that exceeds its limit uses up this level after each restart, and
//! the overdraft at the end of each process is forgotten. Such an account pays both
//! back: its bucket earns only a part of the rate until the debt is paid, or until the
//! entry has run for a whole window. Accounts below their limits pay nothing.

use std::time::Duration;

use crate::gateway::account_use::DecayingSum;
use crate::quantity::Timestamp;

/// The fraction of the rate that a bucket earns while its account pays back. The
/// remainder pays.
const EARNED_WHILE_PAYING: f64 = 0.25;
/// The time over which admitted and refused units are compared.
const COMPARING_TIME: Duration = Duration::from_secs(1);
/// How many requests' units more must be refused than admitted, so that one or two
/// large requests are no sign of an account over its limit.
const MIN_REFUSED_REQUESTS: f64 = 2.0;

/// The debt of one account at one entry, and the signs that the account exceeds its limit.
#[derive(Clone, Copy, Debug)]
pub struct StartDebt {
    /// Units.
    owed: f64,
    /// Units that this entry admitted.
    admitted: DecayingSum,
    /// Units that this entry refused because the bucket was nearly empty.
    refused: DecayingSum,
    /// The units of the last request that counted.
    last_units: f64,
}

impl StartDebt {
    /// Returns an account without debt.
    pub fn new(now: Timestamp) -> Self {
        Self {
            owed: 0.0,
            admitted: DecayingSum::new(now, COMPARING_TIME),
            refused: DecayingSum::new(now, COMPARING_TIME),
            last_units: 0.0,
        }
    }

    /// Adds `units` that the bucket got in advance, or may overdraw.
    pub fn add(&mut self, units: f64) {
        self.owed += units;
    }

    /// Ends the debt: what predecessors admitted is older than the window.
    pub fn forgive(&mut self) {
        self.owed = 0.0;
    }

    /// Records that a request of `units` was admitted.
    pub fn note_admitted(&mut self, now: Timestamp, units: f64) {
        self.admitted.add(now, units);
        self.last_units = units;
    }

    /// Records that a request of `units` was refused while the bucket was nearly empty.
    pub fn note_refused(&mut self, now: Timestamp, units: f64) {
        self.refused.add(now, units);
        self.last_units = units;
    }

    /// Takes the payment out of `earned` units of the rate. Returns the units that the
    /// bucket gets.
    pub fn pay(&mut self, now: Timestamp, earned: f64) -> f64 {
        if self.owed <= 0.0 || !self.is_over_limit(now) {
            return earned;
        }
        let paid = (earned * (1.0 - EARNED_WHILE_PAYING)).min(self.owed);
        self.owed -= paid;
        earned - paid
    }

    /// Returns whether the account asks for far more than its bucket holds.
    fn is_over_limit(&self, now: Timestamp) -> bool {
        let tolerated = self.last_units * MIN_REFUSED_REQUESTS;
        self.refused.value_at(now) > self.admitted.value_at(now) + tolerated
    }
}
