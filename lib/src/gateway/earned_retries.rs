//! The retries that the requests of one entry have earned, for one service.
//!
//! Pure logic: no I/O and no clock. The bound on retries compares the retries of all entries
//! in a window with the requests in that window, in the window before, or in the one half a
//! window before, whichever are the most. Entries that each took the most of the three would
//! exceed it together: callers move from some entries to others, load comes in peaks, and
//! processes end. So an entry compares its retries since any time with half of its requests
//! since a window before that time, which is the mean of two of the three. The means of all
//! entries add up to the mean of all requests, which is at most the most.

use std::collections::VecDeque;
use std::time::Duration;

use crate::quantity::Timestamp;

/// The weight of the requests of a window, and of those of the window before.
const WINDOW_WEIGHT: f64 = 0.5;
/// The steps of time into which a window is divided.
const WINDOW_STEPS: u64 = 100;
/// For how many steps retries count: a window, and the time after which they may arrive.
const COUNTED_STEPS: u64 = WINDOW_STEPS + WINDOW_STEPS / 10;
/// For how many steps requests count: a window before the earliest retry that counts.
const KEPT_STEPS: usize = (COUNTED_STEPS + WINDOW_STEPS) as usize;

/// The requests and retries of one step of time.
#[derive(Clone, Copy, Debug)]
struct StepCount {
    /// The number of the step since the start of the clock.
    step: u64,
    requests: u32,
    /// Retries that were earned and taken.
    taken: f64,
}

/// What the requests of one entry for one service have earned.
#[derive(Clone, Debug, Default)]
pub struct EarnedRetries {
    /// The steps with requests or retries, in order.
    counts: VecDeque<StepCount>,
}

impl EarnedRetries {
    /// Counts a request.
    pub fn note_request(&mut self, now: Timestamp, window: Duration) {
        self.count_at(now, window).requests += 1;
    }

    /// Counts a retry, or a part of one, that was earned and is taken.
    pub fn note_taken(&mut self, now: Timestamp, window: Duration, retries: f64) {
        self.count_at(now, window).taken += retries;
    }

    /// Returns the number of requests within the window.
    pub fn requests(&self, now: Timestamp, window: Duration) -> usize {
        let now_step = step_of(now, window);
        let is_recent = |count: &&StepCount| count.step + WINDOW_STEPS > now_step;
        let recent = self.counts.iter().filter(is_recent);
        recent.map(|count| count.requests as usize).sum()
    }

    /// Returns the retries that may be taken now, if each request earns `ratio` of one.
    pub fn available(&self, now: Timestamp, window: Duration, ratio: f64) -> f64 {
        let sums = StepSums::of(&self.counts, step_of(now, window));
        let each = ratio * WINDOW_WEIGHT;
        let left = |age: usize| {
            // The earliest step of the window before may lie outside of it in part.
            let requests = sums.requests[age + WINDOW_STEPS as usize - 1];
            each * f64::from(requests) - sums.taken[age]
        };
        let ages = 0..COUNTED_STEPS as usize;
        ages.map(left).fold(f64::INFINITY, f64::min).max(0.0)
    }

    fn count_at(&mut self, now: Timestamp, window: Duration) -> &mut StepCount {
        let step = step_of(now, window);
        let is_over = |count: &StepCount| count.step + (KEPT_STEPS as u64) < step;
        while self.counts.front().is_some_and(is_over) {
            self.counts.pop_front();
        }
        if self.counts.back().is_none_or(|last| last.step < step) {
            self.counts.push_back(StepCount {
                step,
                requests: 0,
                taken: 0.0,
            });
        }
        let last = self.counts.len() - 1;
        &mut self.counts[last]
    }
}

/// Returns the number of the step that a time lies in.
fn step_of(at: Timestamp, window: Duration) -> u64 {
    let step_us = (window.as_micros() as u64 / WINDOW_STEPS).max(1);
    at.0 / step_us
}

/// What was counted in each of the last steps and later ones, by the age of the step.
struct StepSums {
    requests: [u32; KEPT_STEPS],
    taken: [f64; KEPT_STEPS],
}

impl StepSums {
    fn of(counts: &VecDeque<StepCount>, now_step: u64) -> Self {
        let mut sums = Self {
            requests: [0; KEPT_STEPS],
            taken: [0.0; KEPT_STEPS],
        };
        for count in counts {
            let age = now_step.saturating_sub(count.step) as usize;
            if age < KEPT_STEPS {
                sums.requests[age] += count.requests;
                sums.taken[age] += count.taken;
            }
        }
        for age in 1..KEPT_STEPS {
            sums.requests[age] += sums.requests[age - 1];
            sums.taken[age] += sums.taken[age - 1];
        }
        sums
    }
}
