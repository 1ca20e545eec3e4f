//! The attempts of one request so far.
//!
//! Pure: no I/O.

use std::time::Duration;

use crate::gateway::backend_record::BackendId;
use crate::gateway::call_admission::AdmittedCall;
use crate::gateway::version_binding::VersionBinding;

/// A request is not sent if the time until its deadline is this short.
pub const MIN_TIME_LEFT: Duration = Duration::from_millis(10);

/// The attempts of one request so far.
pub struct RetryState {
    /// The servers to which the request was sent.
    pub tried: Vec<BackendId>,
    /// The number of attempts that ran or may have run.
    pub possible_runs: u32,
    /// The longest run of an attempt that was interrupted.
    pub longest_interrupted: Duration,
    /// The number of sends that did not leave this entry.
    pub unsent: u32,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the request has waited at this entry. Its demand is counted already.
    pub has_waited: bool,
    /// The version of servers that may go on with the stream.
    pub binding: VersionBinding,
}

impl RetryState {
    /// Returns the state of a request before its first attempt.
    pub fn new(call: &AdmittedCall) -> Self {
        Self {
            tried: Vec::new(),
            possible_runs: 0,
            longest_interrupted: Duration::ZERO,
            unsent: 0,
            repeatable: call.route.may_repeat(),
            has_waited: false,
            binding: call.versions.clone(),
        }
    }

    /// Notes that an attempt was interrupted after this time.
    pub fn note_interrupted(&mut self, ran: Duration) {
        self.longest_interrupted = self.longest_interrupted.max(ran);
    }

    /// Returns whether the request may run at one more backend server.
    pub fn may_retry(&self, call: &AdmittedCall) -> bool {
        self.repeatable
            && self.possible_runs < call.route.max_attempts
            && call.time_left() > MIN_TIME_LEFT
    }
}
