//! Measures the pauses between the events of one stream.
//!
//! Pure logic: no I/O and no clock. The short pauses of a stream show how fast its server
//! generates; the long ones show what else the server did meanwhile.

use std::time::Duration;

use tokio::time::Instant;

/// The number of pauses from which one sample is taken.
const SAMPLED_PAUSES: usize = 6;
/// The rank of the sample among these pauses, the shortest first. The shortest one may be
/// that of two events that arrived together.
const SAMPLE_RANK: usize = 1;

/// The pauses of one stream so far.
#[derive(Clone, Debug)]
pub struct EventPauses {
    last_event_at: Option<Instant>,
    recent: [Duration; SAMPLED_PAUSES],
    recent_count: usize,
    longest: Duration,
    /// Whether the stream has resumed since the last event.
    has_resumed: bool,
}

impl Default for EventPauses {
    fn default() -> Self {
        Self::new()
    }
}

impl EventPauses {
    /// Returns the state before the first event.
    pub fn new() -> Self {
        Self {
            last_event_at: None,
            recent: [Duration::ZERO; SAMPLED_PAUSES],
            recent_count: 0,
            longest: Duration::ZERO,
            has_resumed: false,
        }
    }

    /// Notes that an event arrived. Returns a sample of the time that the server takes for
    /// an event, after every few of them.
    pub fn note_event(&mut self, now: Instant) -> Option<Duration> {
        let last_event_at = self.last_event_at.replace(now)?;
        let pause = now.duration_since(last_event_at);
        self.longest = self.longest.max(pause);
        if std::mem::take(&mut self.has_resumed) {
            return None;
        }
        self.recent[self.recent_count] = pause;
        self.recent_count += 1;
        if self.recent_count < SAMPLED_PAUSES {
            return None;
        }
        self.recent_count = 0;
        let mut sorted = self.recent;
        sorted.sort_unstable();
        Some(sorted[SAMPLE_RANK])
    }

    /// Notes that the stream resumes at another server. The caller sees the pause in
    /// between, but it shows nothing about either server.
    pub fn note_resumed(&mut self) {
        self.has_resumed = true;
        self.recent_count = 0;
    }

    /// Returns the longest pause so far.
    pub fn longest(&self) -> Duration {
        self.longest
    }
}
