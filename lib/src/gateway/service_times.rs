//! Estimates how long the requests of one service take, from those that this entry
//! sends.
//!
//! Pure logic: no I/O and no clock.

use std::time::Duration;

use crate::gateway::prefill_speed::PrefillSpeed;

/// The assumed time of a request at a backend server before any has finished. It lies
/// between plain requests, which take tens of milliseconds, and streams, which take some
/// seconds.
const PRIOR_TIME: Duration = Duration::from_millis(500);
/// The weight of the newest request in the moving averages.
const NEWEST_WEIGHT: f64 = 0.02;

/// The observed times of one service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTimes {
    /// How fast the replicas of the service prefill prompts.
    pub prefill_speed: PrefillSpeed,
    /// The average time of a request at a backend server, including the queue there.
    pub total_time: Duration,
    /// The average time of a request for which a slot seemed free when it was sent,
    /// so that it does not grow with queues.
    pub processing_time: Duration,
    /// The number of requests in `processing_time`, including the prior.
    processing_count: u32,
    /// The mean time in a slot, without the queue, and the number of requests in it.
    /// Unknown unless work is estimated.
    slot_time: Option<(Duration, u32)>,
}

impl Default for ServiceTimes {
    fn default() -> Self {
        Self {
            prefill_speed: PrefillSpeed::default(),
            total_time: PRIOR_TIME,
            processing_time: PRIOR_TIME,
            processing_count: 1,
            slot_time: None,
        }
    }
}

impl ServiceTimes {
    /// Returns the mean time for which a request occupies a slot: without the queue if
    /// that is known, otherwise with it.
    pub fn mean_slot_time(&self) -> Duration {
        self.slot_time.map_or(self.total_time, |(mean, _)| mean)
    }

    /// Adds the time for which a request occupied a slot.
    pub fn note_slot_time(&mut self, took: Duration) {
        let (mean, count) = self.slot_time.unwrap_or((self.processing_time, 1));
        let count = count.saturating_add(1);
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(count));
        self.slot_time = Some((blend(mean, took, weight), count));
    }

    /// Adds a finished request: its time at a backend server, and whether a slot
    /// seemed free when it was sent.
    pub fn note_finished(&mut self, elapsed: Duration, had_free_slot: bool) {
        self.total_time = blend(self.total_time, elapsed, NEWEST_WEIGHT);
        if had_free_slot {
            self.processing_count += 1;
            // The first requests weigh more, so that an entry with few requests does
            // not keep the prior for long.
            let weight = NEWEST_WEIGHT.max(1.0 / f64::from(self.processing_count));
            self.processing_time = blend(self.processing_time, elapsed, weight);
        }
    }
}

fn blend(mean: Duration, newest: Duration, weight: f64) -> Duration {
    mean.mul_f64(1.0 - weight) + newest.mul_f64(weight)
}
