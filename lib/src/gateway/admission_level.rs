//! The level of admission of a service: which share of the offered work is refused, and
//! from which urgency.
//!
//! Pure logic: no I/O and no clock. It answers the load pattern of a service with too
//! little room for its demand. The level follows the expected wait by a proportional and
//! an integral term, as active queue management does, because hundreds of entries with
//! the same old news would swing together at a sharp limit.

use std::collections::BTreeMap;
use std::time::Duration;

/// The wait that the level aims at, as a share of the shortest target latency. It keeps
/// all slots busy while the news is old.
const AIMED_WAIT: f64 = 0.15;
/// The level for each shortest target latency of wait.
const WAIT_GAIN: f64 = 0.6;
/// The change of the level per second, for each shortest target latency of distance from
/// the aimed wait.
const DISTANCE_GAIN: f64 = 0.8;
/// The range of the wait relative to the shortest target latency that moves the level.
const WAIT_RANGE: (f64, f64) = (-1.0, 2.0);
/// The longest step of the integral term.
const MAX_STEP: Duration = Duration::from_secs(1);

/// The share of the offered work that is refused, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdmissionLevel {
    integral: f64,
    level: f64,
}

impl AdmissionLevel {
    /// Moves the level by an expected wait of `wait_s` seconds, `elapsed` after the last
    /// move.
    pub fn update(&mut self, elapsed: Duration, wait_s: f64, shortest_target: Duration) {
        let target_s = shortest_target.as_secs_f64().max(1e-3);
        let wait = (wait_s / target_s).clamp(WAIT_RANGE.0, WAIT_RANGE.1);
        let step_s = elapsed.min(MAX_STEP).as_secs_f64();
        let moved = self.integral + (wait - AIMED_WAIT) * DISTANCE_GAIN * step_s;
        self.integral = moved.clamp(0.0, 1.0);
        self.level = (self.integral + wait.max(0.0) * WAIT_GAIN).clamp(0.0, 1.0);
    }

    /// Returns the share of the offered work that is refused.
    pub fn refused_share(&self) -> f64 {
        self.level
    }

    /// Divides the offered work by urgency, 0 the most urgent, into what is admitted and
    /// what is refused. Returns the admitted share of each urgency. The least urgent work
    /// is refused first.
    pub fn admitted_shares(&self, offered: &BTreeMap<u8, f64>) -> BTreeMap<u8, f64> {
        let mut refused = self.level * offered.values().sum::<f64>();
        let mut shares = BTreeMap::new();
        for (urgency, work) in offered.iter().rev() {
            let part = refused.min(*work);
            refused -= part;
            shares.insert(*urgency, 1.0 - part / work.max(f64::MIN_POSITIVE));
        }
        shares
    }
}
