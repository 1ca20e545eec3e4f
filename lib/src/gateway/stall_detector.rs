//! Notices when a stream falls silent.
//!
//! Pure. A replica whose VM is gone without a word, or a connection that lost
//! its way, sends nothing any more and closes nothing. Callers leave a stream
//! after a while, so one that can go on elsewhere has to do so before.

use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::site_config::RouteRule;

/// How many times the longest pause that is in time, or that was seen in this
/// stream, a pause may last. Replicas that read a long prompt beside it pause
/// up to about the first; going on elsewhere means reading the prompt again.
const PAUSE_TIMES: u32 = 2;

/// The pauses of one stream.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    watches: bool,
    is_stopped: bool,
    has_begun: bool,
    least: Duration,
    target_latency: Duration,
    longest: Duration,
    last_at: Instant,
}

impl StallDetector {
    /// Returns the watch of a stream whose head came at `now`. Only streams
    /// that may go on elsewhere are watched.
    pub fn new(now: Instant, route: &RouteRule) -> Self {
        Self {
            watches: route.may_repeat(),
            is_stopped: false,
            has_begun: false,
            least: route.target_pause,
            target_latency: route.target_latency,
            longest: Duration::ZERO,
            last_at: now,
        }
    }

    /// Notes that the stream goes on at another backend server from `now`.
    pub fn note_resumed(&mut self, now: Instant) {
        self.has_begun = false;
        self.is_stopped = false;
        self.last_at = now;
    }

    /// Notes that bytes came.
    pub fn note_bytes(&mut self, now: Instant) {
        if self.has_begun {
            self.longest = self.longest.max(now.duration_since(self.last_at));
        }
        self.has_begun = true;
        self.is_stopped = false;
        self.last_at = now;
    }

    /// Watches no more until bytes come.
    pub fn disarm(&mut self) {
        self.is_stopped = true;
    }

    /// Returns when the stream counts as silent if nothing comes before.
    pub fn stalled_at(&self) -> Option<Instant> {
        if !self.watches || self.is_stopped {
            return None;
        }
        let usual = match self.has_begun {
            true => self.least.max(self.longest),
            false => self.least.max(self.target_latency),
        };
        Some(self.last_at + usual * PAUSE_TIMES)
    }
}
