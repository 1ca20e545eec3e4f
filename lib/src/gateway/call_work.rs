//! Estimates the work of a request before it is sent: the prompt tokens to prefill, the
//! tokens to generate, and the time in a slot.
//!
//! Pure logic: no I/O and no clock. The load pattern is a service whose routes differ in
//! length by a factor of thirty, and callers that state the length only roughly. Two
//! estimates are weighed by how far off each usually is: the length hint of the caller
//! times the pace of the route, and the usual time of the route. A route with few
//! requests is estimated like its service, and a service with none by its mean time.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::time_estimate::TimeEstimate;
use crate::id::ServiceName;
use crate::quantity::TokenCount;

/// The most routes of a service that have a history of their own. When there are more,
/// all are forgotten.
const MAX_ROUTES: usize = 512;
/// The weight of the newest request in the moving averages.
const NEWEST_WEIGHT: f64 = 0.02;
/// The weight of the more general history, in requests.
const PRIOR_WEIGHT: f64 = 4.0;
/// The variance of the logarithm of times in a service without a history: they differ by
/// a factor of `e` from the mean.
const PRIOR_TIME_VARIANCE: f64 = 1.0;
/// The variance of the logarithm of hints relative to the true lengths, before many are
/// known: they are off by a factor of 1.6.
const PRIOR_HINT_VARIANCE: f64 = 0.22;
/// The largest deviation of one request from the average, as a logarithm. Requests that
/// deviate more would shift the average for long.
const MAX_DEVIATION: f64 = 2.0;
/// The shortest time of a generation, in milliseconds.
const MIN_MILLIS: f64 = 1.0;

/// What a time was estimated from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EstimateBasis {
    /// The length hint of the caller, and the history.
    Hint,
    /// The history alone.
    History,
}

impl EstimateBasis {
    /// Returns the label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Hint => "hint",
            Self::History => "history",
        }
    }
}

/// What is known of a request before it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkQuery {
    /// The service.
    pub service: ServiceName,
    /// The name of the route.
    pub route: String,
    /// The caller's estimate of the generated tokens.
    pub length_hint: Option<TokenCount>,
    /// The largest number of tokens that may be generated.
    pub max_generated: Option<TokenCount>,
}

impl WorkQuery {
    /// Returns the logarithm of the length hint, if there is a usable one.
    fn log_hint(&self) -> Option<f64> {
        let hint = self.length_hint.filter(|hint| hint.0 > 0)?;
        let hint = self.max_generated.map_or(hint, |max| hint.min(max));
        Some((hint.0.max(1) as f64).ln())
    }
}

/// The estimated generation of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GenerationEstimate {
    /// The time of the generation.
    pub time: TimeEstimate,
    /// The generated tokens, if callers of the service state lengths.
    pub tokens: Option<TokenCount>,
    /// What the time was estimated from.
    pub basis: EstimateBasis,
}

/// The estimated work of a request at a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkEstimate {
    /// The prompt tokens that the server has to prefill.
    pub prefill_tokens: TokenCount,
    /// The time of that prefill.
    pub prefill_time: Duration,
    /// The generation.
    pub generation: GenerationEstimate,
}

impl WorkEstimate {
    /// Returns the median time in a slot.
    pub fn slot_time(&self) -> Duration {
        self.prefill_time + self.generation.time.median()
    }

    /// Returns the mean time in a slot, which is the slot time that many such requests
    /// use.
    pub fn mean_slot_time(&self) -> Duration {
        self.prefill_time + self.generation.time.mean()
    }
}

/// The observed generations of all services.
#[derive(Clone, Debug, Default)]
pub struct WorkHistory {
    services: BTreeMap<ServiceName, ServiceHistory>,
}

impl WorkHistory {
    /// Estimates the generation of a request. `service_mean` is the mean time of the
    /// service's requests.
    pub fn estimate(&self, query: &WorkQuery, service_mean: Duration) -> GenerationEstimate {
        let service = self.services.get(&query.service);
        let prior = LogNormal {
            mean: log_millis(service_mean),
            variance: PRIOR_TIME_VARIANCE,
        };
        let usual = service.map_or(prior, |service| service.usual_time(&query.route, prior));
        let pace = service.and_then(|service| service.pace(&query.route));
        let hinted = pace.zip(query.log_hint());
        let hinted = hinted.map(|(pace, hint)| pace.shifted(hint));
        let mut time = hinted.map_or(usual, |hinted| hinted.combined(usual));
        let mut tokens = None;
        if let Some(pace) = pace {
            if let Some(max) = query.max_generated {
                let longest = pace.mean + (max.0.max(1) as f64).ln();
                time.mean = time.mean.min(longest);
            }
            tokens = Some(TokenCount((time.mean - pace.mean).exp().round() as u64));
        }
        GenerationEstimate {
            time: time.to_estimate(),
            tokens: tokens.or(query.length_hint).or(query.max_generated),
            basis: match hinted {
                Some(_) => EstimateBasis::Hint,
                None => EstimateBasis::History,
            },
        }
    }

    /// Adds a request whose response was complete, and the time of its generation.
    pub fn note(&mut self, query: &WorkQuery, generation: Duration) {
        let service = self.services.entry(query.service.clone()).or_default();
        let time = log_millis(generation);
        let pace = query.log_hint().map(|hint| time - hint);
        service.all.note(time, pace);
        if let Some(route) = service.routes.get_mut(&query.route) {
            route.note(time, pace);
            return;
        }
        if service.routes.len() >= MAX_ROUTES {
            service.routes.clear();
        }
        let route = service.routes.entry(query.route.clone()).or_default();
        route.note(time, pace);
    }
}

/// The observed generations of one service.
#[derive(Clone, Debug, Default)]
struct ServiceHistory {
    all: CallHistory,
    routes: HashMap<String, CallHistory>,
}

impl ServiceHistory {
    fn usual_time(&self, route: &str, prior: LogNormal) -> LogNormal {
        let usual = self.all.time.blended(prior);
        let route = self.routes.get(route);
        route.map_or(usual, |route| route.time.blended(usual))
    }

    /// Returns the milliseconds for each token of the hint, if any hint is known.
    fn pace(&self, route: &str) -> Option<LogNormal> {
        if self.all.pace.count == 0 {
            return None;
        }
        let prior = LogNormal {
            mean: self.all.pace.mean,
            variance: PRIOR_HINT_VARIANCE,
        };
        let pace = self.all.pace.blended(prior);
        let route = self.routes.get(route);
        Some(route.map_or(pace, |route| route.pace.blended(pace)))
    }
}

/// The observed generations of some requests.
#[derive(Clone, Copy, Debug, Default)]
struct CallHistory {
    /// The logarithms of the times in milliseconds.
    time: LogAverage,
    /// The logarithms of the milliseconds for each token of the hint.
    pace: LogAverage,
}

impl CallHistory {
    fn note(&mut self, time: f64, pace: Option<f64>) {
        self.time.note(time);
        if let Some(pace) = pace {
            self.pace.note(pace);
        }
    }
}

/// The moving average and variance of a logarithm.
#[derive(Clone, Copy, Debug, Default)]
struct LogAverage {
    count: u32,
    mean: f64,
    variance: f64,
}

impl LogAverage {
    fn note(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        if self.count == 1 {
            self.mean = value;
            return;
        }
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(self.count));
        let deviation = (value - self.mean).clamp(-MAX_DEVIATION, MAX_DEVIATION);
        self.mean += weight * deviation;
        self.variance = (1.0 - weight) * (self.variance + weight * deviation * deviation);
    }

    /// Returns the distribution with a prior, whose weight shrinks as this history grows.
    fn blended(&self, prior: LogNormal) -> LogNormal {
        let count = f64::from(self.count);
        let share = count / (count + PRIOR_WEIGHT);
        let gap = self.mean - prior.mean;
        LogNormal {
            mean: prior.mean + share * gap,
            variance: share * self.variance
                + (1.0 - share) * prior.variance
                + share * (1.0 - share) * gap * gap,
        }
    }
}

/// A distribution whose logarithm is normal.
#[derive(Clone, Copy, Debug)]
struct LogNormal {
    mean: f64,
    variance: f64,
}

impl LogNormal {
    fn shifted(self, by: f64) -> Self {
        Self {
            mean: self.mean + by,
            ..self
        }
    }

    /// Combines two independent estimates of the same number. The more certain one weighs
    /// more.
    fn combined(self, other: Self) -> Self {
        let total = (self.variance + other.variance).max(f64::MIN_POSITIVE);
        Self {
            mean: (self.mean * other.variance + other.mean * self.variance) / total,
            variance: self.variance * other.variance / total,
        }
    }

    fn to_estimate(self) -> TimeEstimate {
        let seconds = self.mean.exp() / 1_000.0;
        let median = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
        TimeEstimate::new(median, self.variance.sqrt())
    }
}

fn log_millis(time: Duration) -> f64 {
    (time.as_secs_f64() * 1_000.0).max(MIN_MILLIS).ln()
}
