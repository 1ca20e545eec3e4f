//! How long the replicas of a service take to the first event of an answer,
//! learnt from the answers that this entry passes on.
//!
//! Pure. A straight line through the observed times, by the prompt tokens that
//! a replica had to read: its start is what every answer takes, its slope the
//! time of one token. Older observations fade, so that the line follows
//! replicas that are replaced by faster or slower ones.

use std::time::Duration;

use crate::quantity::TokenRate;

/// What each observation leaves of the weight of all earlier ones: the last
/// 200 count, which are some seconds of one entry's traffic.
const KEPT_WEIGHT: f64 = 0.995;
/// What is believed before anything was observed, in milliseconds: a step of
/// an engine with its answer's way.
const PRIOR_START: f64 = 30.0;
/// The same for one token, in milliseconds: a hundred tokens a millisecond is
/// the middle, on a scale of factors, of engines that read ten to a thousand.
const PRIOR_TOKEN_TIME: f64 = 0.01;
/// How many observations the prior weighs as much as. Few, so that it only
/// stands in until a second of traffic has passed.
const PRIOR_WEIGHT: f64 = 4.0;
/// The prompt tokens of the two observations that stand for the prior.
const PRIOR_TOKENS: [f64; 2] = [0.0, 4_000.0];
/// The bounds of the time of one token, in milliseconds: a thousand and one
/// token a millisecond. What lies beyond is a fault of the observation.
const TOKEN_TIME_BOUNDS: [f64; 2] = [0.001, 1.0];
/// An answer that takes longer than so many times what is expected waited for
/// something else than its own prompt; it counts as this long.
const LATENESS_CUT: u32 = 3;

/// The times to the first event of one service's replicas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadingSpeed {
    weight: f64,
    tokens: f64,
    millis: f64,
    tokens_squared: f64,
    tokens_millis: f64,
}

impl Default for ReadingSpeed {
    fn default() -> Self {
        Self::new()
    }
}

impl ReadingSpeed {
    /// Returns the belief of an entry that has observed nothing.
    pub fn new() -> Self {
        let mut speed = Self {
            weight: 0.0,
            tokens: 0.0,
            millis: 0.0,
            tokens_squared: 0.0,
            tokens_millis: 0.0,
        };
        for tokens in PRIOR_TOKENS {
            let millis = PRIOR_START + tokens * PRIOR_TOKEN_TIME;
            speed.add(tokens, millis, PRIOR_WEIGHT / PRIOR_TOKENS.len() as f64);
        }
        speed
    }

    /// Notes that the first event came `took` after a send to a replica that
    /// had `tokens` prompt tokens to read, and none of other requests.
    pub fn note(&mut self, tokens: u64, took: Duration) {
        let most = self.first_event(tokens) * LATENESS_CUT;
        let millis = took.min(most).as_secs_f64() * 1_000.0;
        for sum in [
            &mut self.weight,
            &mut self.tokens,
            &mut self.millis,
            &mut self.tokens_squared,
            &mut self.tokens_millis,
        ] {
            *sum *= KEPT_WEIGHT;
        }
        self.add(tokens as f64, millis, 1.0);
    }

    /// Returns the prompt tokens that a replica reads in a second.
    pub fn token_rate(&self) -> TokenRate {
        TokenRate(1_000.0 / self.token_time())
    }

    /// Returns how long a replica probably takes to read `tokens`, in
    /// milliseconds, without what every answer takes.
    pub fn reading_millis(&self, tokens: u64) -> f64 {
        tokens as f64 * self.token_time()
    }

    /// Returns when the first event of an answer is expected after its send,
    /// if `tokens` are to be read before it.
    pub fn first_event(&self, tokens: u64) -> Duration {
        let start = (self.millis - self.token_time() * self.tokens) / self.weight;
        let millis = start.max(0.0) + self.reading_millis(tokens);
        Duration::from_secs_f64(millis / 1_000.0)
    }

    fn add(&mut self, tokens: f64, millis: f64, weight: f64) {
        self.weight += weight;
        self.tokens += tokens * weight;
        self.millis += millis * weight;
        self.tokens_squared += tokens * tokens * weight;
        self.tokens_millis += tokens * millis * weight;
    }

    /// Returns the slope of the line, in milliseconds a token.
    fn token_time(&self) -> f64 {
        let spread = self.weight * self.tokens_squared - self.tokens * self.tokens;
        let common = self.weight * self.tokens_millis - self.tokens * self.millis;
        let [least, most] = TOKEN_TIME_BOUNDS;
        if spread <= f64::EPSILON {
            return PRIOR_TOKEN_TIME;
        }
        (common / spread).clamp(least, most)
    }
}
