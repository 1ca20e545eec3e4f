//! Estimates the room of a service: how long its servers need for the requests that
//! wait there.
//!
//! Pure logic: no I/O and no clock. It answers the load pattern of full servers of which
//! hundreds of entries know what was so a gossip interval ago. All entries add up the
//! same news, so their estimates are nearly equal.

use std::time::Duration;

use crate::quantity::Timestamp;

/// The most requests of a server that count as waiting, as a multiple of its slots. It
/// bounds the effect of a false count on the room of the whole service.
const MAX_WAITING_FACTOR: u32 = 2;
/// The age of what other entries report. The room is extrapolated over that time.
const NEWS_AGE_S: f64 = 0.4;
/// The time constant of the trend.
const TREND_TIME_S: f64 = 0.15;
/// The largest trend, in seconds of work per second. A step of the server list is not
/// a trend.
const MAX_TREND: f64 = 2.0;
/// A pause between two updates after which the trend starts anew.
const MAX_UPDATE_GAP: Duration = Duration::from_secs(2);

/// The slots and requests of the servers of one service that accept new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceRoom {
    /// Slots.
    pub slots: u64,
    /// Slots in use.
    pub busy: u64,
    /// Requests without a slot.
    pub waiting: u64,
}

impl ServiceRoom {
    /// Adds a server with `occupancy` requests.
    pub fn add_server(&mut self, slots: u32, occupancy: u32) {
        let busy = occupancy.min(slots);
        let max_waiting = slots.saturating_mul(MAX_WAITING_FACTOR);
        self.slots += u64::from(slots);
        self.busy += u64::from(busy);
        self.waiting += u64::from((occupancy - busy).min(max_waiting));
    }

    /// Returns the time in seconds that the servers need for what waits, if a request
    /// takes `request_time`. It is negative while slots are free.
    pub fn backlog_s(&self, request_time: Duration) -> f64 {
        let free = (self.slots - self.busy) as f64;
        let excess = self.waiting as f64 - free;
        excess / self.slots.max(1) as f64 * request_time.as_secs_f64()
    }
}

/// The backlog of a service over time.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoomTrend {
    last: Option<(Timestamp, f64)>,
    /// The change of the backlog, in seconds of work per second.
    trend: f64,
}

impl RoomTrend {
    /// Adds the backlog at the time `now`. Returns the time since the one before.
    pub fn note(&mut self, now: Timestamp, backlog_s: f64) -> Duration {
        let Some((noted_at, last)) = self.last.replace((now, backlog_s)) else {
            return Duration::ZERO;
        };
        let elapsed = now.since(noted_at);
        if elapsed.is_zero() {
            return elapsed;
        }
        if elapsed > MAX_UPDATE_GAP {
            self.trend = 0.0;
            return elapsed;
        }
        let elapsed_s = elapsed.as_secs_f64();
        let change = ((backlog_s - last) / elapsed_s).clamp(-MAX_TREND, MAX_TREND);
        let weight = 1.0 - (-elapsed_s / TREND_TIME_S).exp();
        self.trend += (change - self.trend) * weight;
        elapsed
    }

    /// Forgets all, when the news is too old. No room is expected then.
    pub fn forget(&mut self) {
        *self = Self::default();
    }

    /// Returns the backlog in seconds that is expected now, since the last one noted
    /// was already old then.
    pub fn expected_backlog_s(&self) -> f64 {
        let last = self.last.map_or(0.0, |(_, backlog)| backlog);
        last + self.trend * NEWS_AGE_S
    }
}
