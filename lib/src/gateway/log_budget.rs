//! Bounds the number of log lines about requests.
//!
//! All lines of one request are kept or dropped together, by a hash of its identifier, so
//! that a request in the log can be followed from start to end. Lines about failures have
//! a budget of their own, so that they are logged even if other lines are dropped.

use std::time::Duration;

use twox_hash::XxHash64;

use crate::quantity::Timestamp;

/// The most lines of each class that an entry logs per second: ten times what the usual
/// load of an entry needs. Logging them takes less than a hundredth of a core.
const MAX_LINES_PER_SECOND: u32 = 300;
/// The length of the window in which lines are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(1);

/// What a line about a request reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineClass {
    /// A step of a request that succeeds.
    Step,
    /// A failure or refusal.
    Failure,
}

/// The lines of one class in the current window.
#[derive(Clone, Copy, Debug)]
struct ClassBudget {
    requested: u32,
    written: u32,
    /// The fraction of requests whose lines are kept.
    kept_fraction: f64,
}

impl ClassBudget {
    fn new(requested_before: u32) -> Self {
        let fraction = f64::from(MAX_LINES_PER_SECOND) / f64::from(requested_before.max(1));
        Self {
            requested: 0,
            written: 0,
            kept_fraction: fraction.min(1.0),
        }
    }

    fn admit(&mut self, hash_fraction: f64) -> bool {
        self.requested += 1;
        let is_admitted = hash_fraction < self.kept_fraction && self.written < MAX_LINES_PER_SECOND;
        self.written += u32::from(is_admitted);
        is_admitted
    }
}

/// The budget of log lines about requests.
#[derive(Clone, Debug)]
pub struct LogBudget {
    window_began: Timestamp,
    steps: ClassBudget,
    failures: ClassBudget,
    dropped: u64,
}

impl Default for LogBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl LogBudget {
    /// Returns an unused budget.
    pub fn new() -> Self {
        Self {
            window_began: Timestamp(0),
            steps: ClassBudget::new(0),
            failures: ClassBudget::new(0),
            dropped: 0,
        }
    }

    /// Returns whether a line about a request is logged, and counts it.
    pub fn admit(&mut self, now: Timestamp, request: &str, class: LineClass) -> bool {
        if now.since(self.window_began) >= COUNT_WINDOW {
            self.window_began = now;
            self.steps = ClassBudget::new(self.steps.requested);
            self.failures = ClassBudget::new(self.failures.requested);
        }
        let hash = XxHash64::oneshot(1, request.as_bytes());
        let hash_fraction = hash as f64 / u64::MAX as f64;
        let is_admitted = match class {
            LineClass::Step => self.steps.admit(hash_fraction),
            LineClass::Failure => self.failures.admit(hash_fraction),
        };
        self.dropped += u64::from(!is_admitted);
        is_admitted
    }

    /// Returns how many lines were dropped since the last call of this function.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}
