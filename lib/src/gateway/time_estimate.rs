//! The estimate of a time that is known only roughly, such as that of a generation.
//!
//! Pure logic: no I/O and no clock. The time is assumed to have a log-logistic
//! distribution, which is close to a log-normal one and has its quantiles in closed form.

use std::f64::consts::PI;
use std::time::Duration;

/// The bounds of a spread. Below the lower one, a run that overstays its estimate would
/// count as about to end for ever; above the upper one, an estimate says nothing.
const SPREAD_BOUNDS: [f64; 2] = [0.15, 1.5];
/// The bounds of a median, in seconds.
const MEDIAN_SECONDS: [f64; 2] = [0.001, 600.0];

/// An estimated time and its uncertainty.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeEstimate {
    median: Duration,
    spread: f64,
}

impl TimeEstimate {
    /// Returns an estimate with this median. The spread is the standard deviation of the
    /// natural logarithm of the time. Both are bounded.
    pub fn new(median: Duration, spread: f64) -> Self {
        let [shortest, longest] = MEDIAN_SECONDS;
        let [min, max] = SPREAD_BOUNDS;
        let seconds = median.as_secs_f64().clamp(shortest, longest);
        Self {
            median: Duration::from_secs_f64(seconds),
            spread: if spread.is_nan() {
                max
            } else {
                spread.clamp(min, max)
            },
        }
    }

    /// Returns the median.
    pub fn median(&self) -> Duration {
        self.median
    }

    /// Returns the standard deviation of the natural logarithm of the time.
    pub fn spread(&self) -> f64 {
        self.spread
    }

    /// Returns the mean, which a long tail raises above the median.
    pub fn mean(&self) -> Duration {
        self.median.mul_f64((self.spread * self.spread / 2.0).exp())
    }

    /// Returns the time within which a share of the runs end that have lasted for
    /// `elapsed` and still run. It is never zero for a share above zero, also for a run
    /// that has overstayed its estimate.
    pub fn time_left(&self, elapsed: Duration, share: f64) -> Duration {
        let shape = PI / (3.0_f64.sqrt() * self.spread);
        let elapsed = elapsed.as_secs_f64() / self.median.as_secs_f64();
        // Powers of the larger of the elapsed time and the median are divided out, since
        // they could overflow.
        let scale = elapsed.max(1.0);
        let unit = scale.powf(-shape);
        let odds = (elapsed / scale).powf(shape);
        let total = scale * ((unit + odds) / (1.0 - share) - unit).powf(1.0 / shape);
        self.median.mul_f64((total - elapsed).max(0.0))
    }
}
