//! Estimates how long the replicas of a service take to the first event of a
//! response, from the responses that this entry relays.
//!
//! Pure logic: no I/O and no clock. The estimate is a least-squares line through the
//! observed times over the prompt tokens that needed prefill. Its intercept is the
//! time that every response takes, its slope the prefill time of one token. The
//! weights of older observations decay, so that the line follows replicas that are
//! replaced by faster or slower ones.

use std::time::Duration;

use crate::quantity::TokenRate;

/// The factor by which each observation reduces the weight of all earlier ones. About
/// the last 200 observations count, which are some seconds of one entry's traffic.
const WEIGHT_DECAY: f64 = 0.995;
/// The assumed intercept before any observation, in milliseconds: one step of an engine
/// and the transfer of its response.
const PRIOR_INTERCEPT_MS: f64 = 30.0;
/// The assumed prefill time of one token before any observation, in milliseconds. It
/// corresponds to 100 tokens per millisecond, the geometric mean of the slowest and the
/// fastest engines, which prefill 10 and 1,000.
const PRIOR_TOKEN_MS: f64 = 0.01;
/// The weight of the prior, in observations. It is low, so that the prior matters
/// only until a second of traffic has been observed.
const PRIOR_WEIGHT: f64 = 4.0;
/// The prompt tokens of the two observations that make up the prior.
const PRIOR_TOKENS: [f64; 2] = [0.0, 4_000.0];
/// The bounds of the prefill time of one token, in milliseconds: 1,000 tokens and 1 token
/// per millisecond. A time beyond them results from faulty observations.
const TOKEN_MS_BOUNDS: [f64; 2] = [0.001, 1.0];
/// The cap of an observed time, as a multiple of the expected time. If a response takes
/// longer, it has also waited for something other than its own prefill.
const OUTLIER_CAP: u32 = 3;

/// The estimated times to the first event at the replicas of one service. The fields
/// are the weighted sums of a linear regression.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillSpeed {
    weight: f64,
    tokens: f64,
    millis: f64,
    tokens_squared: f64,
    tokens_millis: f64,
}

impl Default for PrefillSpeed {
    fn default() -> Self {
        Self::new()
    }
}

impl PrefillSpeed {
    /// Returns the prior, which is the estimate before any observation.
    pub fn new() -> Self {
        let mut speed = Self {
            weight: 0.0,
            tokens: 0.0,
            millis: 0.0,
            tokens_squared: 0.0,
            tokens_millis: 0.0,
        };
        for tokens in PRIOR_TOKENS {
            let millis = PRIOR_INTERCEPT_MS + tokens * PRIOR_TOKEN_MS;
            speed.add(tokens, millis, PRIOR_WEIGHT / PRIOR_TOKENS.len() as f64);
        }
        speed
    }

    /// Adds the observation that the first event arrived `took` after the request was
    /// sent to a replica that had to prefill `tokens` prompt tokens of this request and
    /// none of other requests.
    pub fn note(&mut self, tokens: u64, took: Duration) {
        let cap = self.first_event(tokens) * OUTLIER_CAP;
        let millis = took.min(cap).as_secs_f64() * 1_000.0;
        for sum in [
            &mut self.weight,
            &mut self.tokens,
            &mut self.millis,
            &mut self.tokens_squared,
            &mut self.tokens_millis,
        ] {
            *sum *= WEIGHT_DECAY;
        }
        self.add(tokens as f64, millis, 1.0);
    }

    /// Returns the prompt tokens that a replica prefills in a second.
    pub fn token_rate(&self) -> TokenRate {
        TokenRate(1_000.0 / self.millis_per_token())
    }

    /// Returns the expected prefill time of `tokens` prompt tokens in milliseconds,
    /// without the intercept.
    pub fn prefill_millis(&self, tokens: u64) -> f64 {
        tokens as f64 * self.millis_per_token()
    }

    /// Returns the expected time from sending a request to its first event, if the
    /// replica has to prefill `tokens` prompt tokens before.
    pub fn first_event(&self, tokens: u64) -> Duration {
        let intercept = (self.millis - self.millis_per_token() * self.tokens) / self.weight;
        let millis = intercept.max(0.0) + self.prefill_millis(tokens);
        Duration::from_secs_f64(millis / 1_000.0)
    }

    fn add(&mut self, tokens: f64, millis: f64, weight: f64) {
        self.weight += weight;
        self.tokens += tokens * weight;
        self.millis += millis * weight;
        self.tokens_squared += tokens * tokens * weight;
        self.tokens_millis += tokens * millis * weight;
    }

    /// Returns the slope of the line: the prefill time of one token in milliseconds.
    fn millis_per_token(&self) -> f64 {
        let variance = self.weight * self.tokens_squared - self.tokens * self.tokens;
        let covariance = self.weight * self.tokens_millis - self.tokens * self.millis;
        let [min, max] = TOKEN_MS_BOUNDS;
        if variance <= f64::EPSILON {
            return PRIOR_TOKEN_MS;
        }
        (covariance / variance).clamp(min, max)
    }
}
