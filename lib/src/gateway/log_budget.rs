//! Keeps the volume of log lines about requests within a bound.
//!
//! Lines of one request are kept or dropped together, chosen by its
//! identifier, so that what is kept can be followed from start to end. Lines
//! about failures have a budget of their own and go on when others stop.

use std::time::Duration;

use twox_hash::XxHash64;

use crate::quantity::Timestamp;

/// The lines a second that one entry writes of each class: ten times what the
/// usual load of one entry needs, and less than a hundredth of a core.
const LINES_PER_SECOND: u32 = 300;
/// The time over which lines are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// What a line tells about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineClass {
    /// A step of a request that goes well.
    Step,
    /// Something that failed or was refused.
    Failure,
}

#[derive(Clone, Copy, Debug)]
struct ClassUse {
    wanted: u32,
    written: u32,
    kept_share: f64,
}

impl ClassUse {
    fn start(wanted_before: u32) -> Self {
        let share = f64::from(LINES_PER_SECOND) / f64::from(wanted_before.max(1));
        Self {
            wanted: 0,
            written: 0,
            kept_share: share.min(1.0),
        }
    }

    fn takes(&mut self, draw: f64) -> bool {
        self.wanted += 1;
        let takes = draw < self.kept_share && self.written < LINES_PER_SECOND;
        self.written += u32::from(takes);
        takes
    }
}

/// The lines of the current second.
#[derive(Clone, Debug)]
pub struct LogBudget {
    begun: Timestamp,
    steps: ClassUse,
    failures: ClassUse,
    dropped: u64,
}

impl Default for LogBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl LogBudget {
    /// Returns a budget of which nothing is used.
    pub fn new() -> Self {
        Self {
            begun: Timestamp(0),
            steps: ClassUse::start(0),
            failures: ClassUse::start(0),
            dropped: 0,
        }
    }

    /// Returns whether a line about a request is written.
    pub fn admit(&mut self, now: Timestamp, request: &str, class: LineClass) -> bool {
        if now.since(self.begun) >= PERIOD {
            self.begun = now;
            self.steps = ClassUse::start(self.steps.wanted);
            self.failures = ClassUse::start(self.failures.wanted);
        }
        let number = XxHash64::oneshot(1, request.as_bytes());
        let draw = number as f64 / u64::MAX as f64;
        let takes = match class {
            LineClass::Step => self.steps.takes(draw),
            LineClass::Failure => self.failures.takes(draw),
        };
        self.dropped += u64::from(!takes);
        takes
    }

    /// Returns how many lines were dropped since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}
