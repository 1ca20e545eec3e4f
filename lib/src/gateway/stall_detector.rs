//! Detects that a stream has stalled.
//!
//! Pure logic: no I/O and no clock. If a replica's VM vanishes, or the network path of a
//! connection fails, no more bytes arrive and the connection is not closed. Callers
//! abandon a stalled stream after a while, so a stream that can resume at another backend
//! server has to do so before.

use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::site_config::RouteRule;

/// The pause after which a stream counts as stalled, as a multiple of its longest usual
/// pause: the target of its route, or the longest pause seen in this stream. A replica
/// that prefills a long prompt pauses its streams up to about the target, and resuming a
/// stream elsewhere costs another prefill.
const STALL_FACTOR: u32 = 2;

/// Detects when one stream stalls, from the pauses in it.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    is_enabled: bool,
    is_disarmed: bool,
    has_begun: bool,
    target_pause: Duration,
    target_latency: Duration,
    longest_pause: Duration,
    last_bytes_at: Instant,
}

impl StallDetector {
    /// Returns the detector of a stream whose head arrived at `now`. It detects stalls
    /// only of streams that may resume at another backend server.
    pub fn new(now: Instant, route: &RouteRule) -> Self {
        Self {
            is_enabled: route.may_repeat(),
            is_disarmed: false,
            has_begun: false,
            target_pause: route.target_pause,
            target_latency: route.target_latency,
            longest_pause: Duration::ZERO,
            last_bytes_at: now,
        }
    }

    /// Notes that the stream resumes at another backend server at `now`.
    pub fn note_resumed(&mut self, now: Instant) {
        self.has_begun = false;
        self.is_disarmed = false;
        self.last_bytes_at = now;
    }

    /// Notes that bytes arrived.
    pub fn note_bytes(&mut self, now: Instant) {
        if self.has_begun {
            self.longest_pause = self
                .longest_pause
                .max(now.duration_since(self.last_bytes_at));
        }
        self.has_begun = true;
        self.is_disarmed = false;
        self.last_bytes_at = now;
    }

    /// Suspends the detection until bytes arrive again.
    pub fn disarm(&mut self) {
        self.is_disarmed = true;
    }

    /// Returns when the stream counts as stalled if no bytes arrive before.
    pub fn stalled_at(&self) -> Option<Instant> {
        if !self.is_enabled || self.is_disarmed {
            return None;
        }
        let usual_pause = match self.has_begun {
            true => self.target_pause.max(self.longest_pause),
            false => self.target_pause.max(self.target_latency),
        };
        Some(self.last_bytes_at + usual_pause * STALL_FACTOR)
    }
}
