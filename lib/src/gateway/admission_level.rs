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
/// The time in seconds over which a distance from the aimed wait is made up. It is twice
/// the age of the news, or what entries decide meanwhile would overshoot.
const CORRECTION_TIME_S: f64 = 0.6;
/// The part of a distance, relative to the correction time, that lasts as shortage after
/// a second.
const SHORTAGE_GAIN: f64 = 0.8;
/// The largest shortage, so that a rare class still gets an answer to a lasting one.
const MAX_SHORTAGE: f64 = 0.95;
/// The range of the distance from the aimed wait, relative to the correction time.
const DISTANCE_RANGE: (f64, f64) = (-2.0, 1.0);
/// The most that is refused to make up a distance. The rest, the most urgent work, is
/// refused only for a lasting shortage.
const MAX_CORRECTION: f64 = 0.8;
/// The part of the room that stays unused while nothing is known of the backlog. What is
/// served late helps nobody.
const HOLD_MARGIN: f64 = 0.2;
/// The time constant of the mean level.
const MEAN_TIME_S: f64 = 1.5;
/// The longest step of the shortage.
const MAX_STEP: Duration = Duration::from_secs(1);

/// The share of the offered work that is refused, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdmissionLevel {
    /// The share of the offered work for which there is lastingly no room.
    shortage: f64,
    level: f64,
    /// The level over the last seconds in which it was above 0.
    mean_level: f64,
    /// How long it has been above 0, in seconds.
    crowded_s: f64,
}

impl AdmissionLevel {
    /// Moves the level by an expected backlog of `backlog_s` seconds, `elapsed` after the
    /// last move. The backlog is negative while slots are free.
    pub fn update(&mut self, elapsed: Duration, backlog_s: f64, shortest_target: Duration) {
        let aimed_s = shortest_target.as_secs_f64() * AIMED_WAIT;
        let distance = (backlog_s - aimed_s) / CORRECTION_TIME_S;
        let distance = distance.clamp(DISTANCE_RANGE.0, DISTANCE_RANGE.1);
        let step_s = elapsed.min(MAX_STEP).as_secs_f64();
        let moved = self.shortage + distance * SHORTAGE_GAIN * step_s * (1.0 - self.shortage);
        self.shortage = moved.clamp(0.0, MAX_SHORTAGE);
        // What is admitted is the room plus or less what makes up the distance.
        let admitted = (1.0 - self.shortage) * (1.0 - distance);
        let most = self.shortage.max(MAX_CORRECTION);
        self.level = (1.0 - admitted).clamp(0.0, most);
        if self.level <= 0.0 {
            self.crowded_s = 0.0;
        }
        self.crowded_s += step_s;
        let weight = step_s / self.crowded_s.clamp(1e-3, MEAN_TIME_S);
        self.mean_level += (self.level - self.mean_level) * weight.min(1.0);
    }

    /// Keeps the level at its mean of the last seconds, or at the lasting shortage if that
    /// is higher, less a margin, while nothing is known of the backlog.
    pub fn hold(&mut self) {
        if self.level <= 0.0 {
            return;
        }
        let level = self.mean_level.max(self.shortage);
        self.level = level + (1.0 - level) * HOLD_MARGIN;
    }

    /// Returns the share of the offered work that is refused.
    pub fn refused_share(&self) -> f64 {
        self.level
    }
}

/// Takes `refused` out of the offered work by urgency, 0 the most urgent, and out of the
/// least urgent first. Returns the admitted share of each urgency.
pub fn admitted_shares(offered: &BTreeMap<u8, f64>, refused: f64) -> BTreeMap<u8, f64> {
    let mut refused = refused;
    let mut shares = BTreeMap::new();
    for (urgency, work) in offered.iter().rev() {
        let part = refused.min(*work);
        refused -= part;
        shares.insert(*urgency, 1.0 - part / work.max(f64::MIN_POSITIVE));
    }
    shares
}
