//! Estimates how fast backend servers work, relative to the other servers of their
//! service.
//!
//! Pure logic: no I/O and no clock. The load pattern is a service whose servers are not
//! equally fast: if each gets the same share of the prompts, the streams of the slow ones
//! pause for too long while the fast ones have time left. An entry sees only a few streams
//! of each server, so entries add up what they see.
//!
//! A sample is the time of one event of a stream while its server does little else. Its
//! logarithm is averaged, so that a few events that took long change little.

use std::fmt;
use std::time::Duration;

use crate::quantity::Timestamp;

/// The time constant with which the weight of samples decays: long enough that a server
/// has tens of samples, short enough that a change shows within seconds.
const SAMPLE_MEMORY: Duration = Duration::from_secs(5);
/// The bounds of a sample in milliseconds. A time beyond them is not that of an engine that
/// serves streams.
const SAMPLE_BOUNDS_MS: [f64; 2] = [1.0, 2_000.0];
/// The most samples that the report of one entry counts for, so that no entry outweighs
/// the others.
const MAX_ENTRY_SAMPLES: f64 = 5.0;
/// The number of samples with the average pace that every server starts with.
const PRIOR_SAMPLES: f64 = 2.0;
/// The least weight of samples that an entry reports, in samples. The average of fewer
/// would be lost in rounding.
const MIN_EVIDENCE: f64 = 0.05;
/// The bounds of a pace factor. A server beyond them is not only slow.
const FACTOR_BOUNDS: [f64; 2] = [0.25, 8.0];
/// Thousandths in one.
const MILLI: f64 = 1_000.0;

/// The time that work takes at a server, relative to the other servers of its service: 1
/// on average, 2 if it takes twice as long.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct PaceFactor(pub f64);

impl Default for PaceFactor {
    fn default() -> Self {
        Self(1.0)
    }
}

impl PaceFactor {
    /// Returns the share of work that the server should get, relative to a server of
    /// average pace, so that all are equally busy.
    pub fn work_share(self) -> f64 {
        1.0 / self.0
    }

    /// Returns the number of tokens that a server of average pace reads in the time that
    /// this one takes for `tokens`.
    pub fn scale_tokens(self, tokens: u64) -> u64 {
        // The product is positive and small, so the cast only drops the fraction.
        (tokens as f64 * self.0) as u64
    }

    /// Returns the time that work takes at the server if it takes `time` on average.
    pub fn scale(self, time: Duration) -> Duration {
        time.mul_f64(self.0)
    }
}

impl fmt::Display for PaceFactor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}", self.0)
    }
}

/// Samples of a server's event times, weighted by age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PaceEvidence {
    /// The total weight of the samples; a new one weighs 1.
    weight: f64,
    /// The weighted sum of the logarithms of the times in milliseconds.
    log_sum: f64,
    updated_at: Timestamp,
}

/// Samples as entries exchange them, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PaceCounts {
    /// The total weight of the samples.
    pub weight_milli: u32,
    /// The weighted sum of the logarithms of the times in milliseconds.
    pub log_milli: i64,
}

impl PaceCounts {
    /// Adds the samples of another entry, and returns the sum. Damaged counts are bounded.
    pub fn plus(self, other: Self) -> Self {
        Self {
            weight_milli: self.weight_milli.saturating_add(other.weight_milli),
            log_milli: self.log_milli.saturating_add(other.log_milli),
        }
    }

    /// Removes the samples of an entry from a sum that includes them.
    pub fn minus(self, other: Self) -> Self {
        Self {
            weight_milli: self.weight_milli.saturating_sub(other.weight_milli),
            log_milli: self.log_milli.saturating_sub(other.log_milli),
        }
    }

    /// Returns the counts as the report of one entry, whose weight is limited.
    pub fn of_one_entry(self) -> Self {
        self.bounded(MAX_ENTRY_SAMPLES * MILLI)
    }

    /// Returns the counts with an average within the bounds of a sample.
    pub fn with_valid_average(self) -> Self {
        self.bounded(f64::from(u32::MAX))
    }

    fn bounded(self, max_weight: f64) -> Self {
        let weight = f64::from(self.weight_milli).min(max_weight);
        let [min, max] = SAMPLE_BOUNDS_MS.map(f64::ln);
        let average = self.log_milli as f64 / f64::from(self.weight_milli.max(1));
        Self {
            weight_milli: weight as u32,
            log_milli: (average.clamp(min, max) * weight) as i64,
        }
    }
}

impl PaceEvidence {
    /// Adds a sample: the time of one event.
    pub fn note(&mut self, now: Timestamp, event_time: Duration) {
        let [min, max] = SAMPLE_BOUNDS_MS;
        let millis = (event_time.as_secs_f64() * MILLI).clamp(min, max);
        *self = self.decayed(now);
        self.weight += 1.0;
        self.log_sum += millis.ln();
    }

    /// Returns the samples as entries exchange them, or none if they have nearly decayed.
    pub fn counts(&self, now: Timestamp) -> PaceCounts {
        if self.weight < MIN_EVIDENCE {
            return PaceCounts::default();
        }
        let decayed = self.decayed(now);
        if decayed.weight < MIN_EVIDENCE {
            return PaceCounts::default();
        }
        PaceCounts {
            weight_milli: (decayed.weight * MILLI).round() as u32,
            log_milli: (decayed.log_sum * MILLI).round() as i64,
        }
    }

    fn decayed(&self, now: Timestamp) -> Self {
        let age = now.since(self.updated_at).as_secs_f64();
        let factor = (-age / SAMPLE_MEMORY.as_secs_f64()).exp();
        Self {
            weight: self.weight * factor,
            log_sum: self.log_sum * factor,
            updated_at: now,
        }
    }
}

/// Computes the pace factors of the servers of one service, in the order of `servers`: for
/// each, the samples of all entries. Servers without samples have the average pace.
pub fn pace_factors(servers: &[PaceCounts]) -> Vec<PaceFactor> {
    let average = |counts: &PaceCounts| counts.log_milli as f64 / f64::from(counts.weight_milli);
    let sampled = servers.iter().filter(|counts| counts.weight_milli > 0);
    let logs: Vec<f64> = sampled.map(average).collect();
    let service_log = logs.iter().sum::<f64>() / logs.len().max(1) as f64;
    let factor = |counts: &PaceCounts| {
        let weight = f64::from(counts.weight_milli) / MILLI;
        let log_excess = counts.log_milli as f64 / MILLI - weight * service_log;
        let [min, max] = FACTOR_BOUNDS;
        PaceFactor(
            (log_excess / (weight + PRIOR_SAMPLES))
                .exp()
                .clamp(min, max),
        )
    };
    servers.iter().map(factor).collect()
}

/// The paces of the fastest and of the slowest server of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceSpread {
    /// The fastest.
    pub fastest: PaceFactor,
    /// The slowest.
    pub slowest: PaceFactor,
}

impl PaceSpread {
    /// Returns the spread of factors, if there are any.
    pub fn of(factors: &[PaceFactor]) -> Option<Self> {
        let by_pace = |a: &&PaceFactor, b: &&PaceFactor| a.0.total_cmp(&b.0);
        Some(Self {
            fastest: *factors.iter().min_by(by_pace)?,
            slowest: *factors.iter().max_by(by_pace)?,
        })
    }
}

/// Returns the usual time of one event at a server, from the samples of all entries.
pub fn usual_event_time(counts: PaceCounts) -> Option<Duration> {
    let counts = counts.with_valid_average();
    (counts.weight_milli > 0).then(|| {
        let log = counts.log_milli as f64 / f64::from(counts.weight_milli);
        Duration::from_secs_f64(log.exp() / MILLI)
    })
}
