//! How long the requests of one service take, learnt from those that this entry
//! sends.
//!
//! Pure.

use std::time::Duration;

use crate::gateway::prefill_speed::ReadingSpeed;

/// How long a request is believed to occupy a backend server before any has
/// ended: between plain requests of some ten ms and streams of some seconds.
const PRIOR_HOLD: Duration = Duration::from_millis(500);
/// The weight of the newest request in the average of such times.
const HOLD_WEIGHT: f64 = 0.02;

/// The observed times of one service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTimes {
    /// How fast its replicas read prompts.
    pub prefill_speed: ReadingSpeed,
    /// How long a request occupies a backend server, queues included.
    pub hold: Duration,
    /// How long it does where a slot was free at its send, so that it does not
    /// grow with queues.
    pub processing_time: Duration,
    /// The requests that `run` is the mean of, the prior included.
    run_count: u32,
}

impl Default for ServiceTimes {
    fn default() -> Self {
        Self {
            prefill_speed: ReadingSpeed::default(),
            hold: PRIOR_HOLD,
            processing_time: PRIOR_HOLD,
            run_count: 1,
        }
    }
}

impl ServiceTimes {
    /// Notes that a request was at a backend server for a time, and whether a
    /// slot seemed free when it was sent.
    pub fn note_left(&mut self, held: Duration, had_room: bool) {
        self.hold = blend(self.hold, held, HOLD_WEIGHT);
        if had_room {
            self.run_count += 1;
            // An entry with few requests is not to keep the prior for long.
            let weight = HOLD_WEIGHT.max(1.0 / f64::from(self.run_count));
            self.processing_time = blend(self.processing_time, held, weight);
        }
    }
}

fn blend(mean: Duration, newest: Duration, weight: f64) -> Duration {
    mean.mul_f64(1.0 - weight) + newest.mul_f64(weight)
}
