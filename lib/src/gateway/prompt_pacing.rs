//! Estimates what it costs callers if a server reads a prompt now.
//!
//! Pure logic: no I/O and no clock. The load pattern is long prompts beside many streams:
//! a server reads a prompt between the tokens of the streams that run there, so that each
//! of their events takes longer. Two long prompts one after the other make streams pause
//! for longer than their routes allow, and the more so the slower the server is. Some
//! servers are so slow that the longest prompts are late there even if nothing else runs.

use std::time::Duration;

/// Weight of reading tokens that another server has cached: the time is lost for all
/// requests that come later.
const REPEATED_READ_WEIGHT: f64 = 8.0;
/// Weight of delaying all streams of a full server by reading the request's own tokens,
/// relative to the wait of the request itself.
const SHARED_DELAY_WEIGHT: f64 = 7.0;
/// Weight of the part of a pause that exceeds what streams have to spare.
const LATE_PAUSE_WEIGHT: f64 = 6.0;
/// Weight of the part of the latency that exceeds what the request has to spare.
const LATE_START_WEIGHT: f64 = 4.0;
/// The share of a target that the expected time may take. The remainder covers prompts
/// that entries do not know of yet.
const SAFE_TARGET_SHARE: f64 = 0.5;

/// The times within which callers expect a stream to start and to go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamTargets {
    /// The latency of the first event.
    pub latency: Duration,
    /// The longest pause between events.
    pub pause: Duration,
}

/// A prompt, and a server that might read it. All times are those of this server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadingQuery {
    /// The usual time of one event of a stream there.
    pub event_time: Duration,
    /// The time to read the prompts that are pending there, in milliseconds.
    pub queued_ms: f64,
    /// The time to read the tokens that only this request has, in milliseconds.
    pub own_ms: f64,
    /// The time to read the tokens that another server has cached, in milliseconds.
    pub repeated_ms: f64,
    /// The share of slots that are taken, at most 1.
    pub utilization: f64,
    /// What callers expect.
    pub targets: StreamTargets,
}

impl ReadingQuery {
    /// Returns the cost of reading the prompt there, in milliseconds of waiting.
    pub fn cost_ms(&self) -> f64 {
        let shared_delay = self.own_ms * self.utilization * SHARED_DELAY_WEIGHT;
        let late_pause = excess_ms(self.longest_pause_ms(), self.targets.pause);
        let late_start = excess_ms(self.first_event_ms(), self.targets.latency);
        self.queued_ms
            + self.own_ms
            + shared_delay
            + self.repeated_ms * REPEATED_READ_WEIGHT
            + late_pause * self.utilization * LATE_PAUSE_WEIGHT
            + late_start * LATE_START_WEIGHT
    }

    /// Returns the longest pause that the streams there have to expect, in milliseconds.
    fn longest_pause_ms(&self) -> f64 {
        self.event_time.as_secs_f64() * 1_000.0 + self.first_event_ms()
    }

    /// Returns the time until the prompt is read, in milliseconds.
    fn first_event_ms(&self) -> f64 {
        self.queued_ms + self.own_ms + self.repeated_ms
    }
}

/// Returns the part of a time that exceeds the safe share of its target, in milliseconds.
fn excess_ms(millis: f64, target: Duration) -> f64 {
    (millis - target.as_secs_f64() * 1_000.0 * SAFE_TARGET_SHARE).max(0.0)
}
