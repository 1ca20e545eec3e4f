//! Decides which requests are shed when the replicas of a service are full.
//!
//! Pure logic: no I/O and no clock. The failure to handle is that half of the replicas
//! are lost within a second, and no new ones start for some seconds. If every request
//! were still sent, all would queue and be late, and late requests would occupy the slots
//! of requests that could be served in time. So a request whose wait would make it late
//! is refused at once, and less urgent requests are refused first.

use std::time::Duration;

/// The share of its target latency that a request may be expected to take. The
/// remainder covers the error of the estimate.
const MAX_LATENCY_SHARE: f64 = 0.9;
/// The share of the shortest target latency that the most urgent request may wait for
/// a slot.
const URGENT_WAIT_SHARE: f64 = 0.7;
/// The decrease of that share for each level of lower urgency. All shares refer to the
/// shortest target latency: with a share of its own longer target, a less urgent request
/// could wait longer, and the queue would fill up so that urgent requests are refused.
const URGENCY_STEP: f64 = 0.3;
/// The lower bound of that share.
const MIN_WAIT_SHARE: f64 = 0.05;
/// The width of the range around a limit, relative to the limit, in which the probability
/// of refusal rises from 0 to 1. Hundreds of entries decide on the basis of the same
/// gossip; with a sharp limit, all of them would refuse at one moment and none at the
/// next.
const RAMP_WIDTH: f64 = 1.6;

/// The inputs of a decision: a request, and the best replica for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SheddingQuery {
    /// The expected time from sending the request to the first event or the response.
    pub expected_latency: Duration,
    /// The part of that time spent waiting for a slot.
    pub slot_wait: Duration,
    /// The time within which the first event or the response is due.
    pub target_latency: Duration,
    /// The shortest target latency among the routes of the service.
    pub shortest_target: Duration,
    /// The urgency, 0 the most urgent.
    pub urgency: u8,
    /// A random number from 0 to 1, different for each request.
    pub draw: f64,
}

/// Decides whether to shed a request. Returns the delay after which the caller may
/// retry, or `None` if the request is to be sent. A request for which a slot is free
/// is always sent, since it makes no other request wait.
pub fn shed_request(query: &SheddingQuery) -> Option<Duration> {
    if query.slot_wait.is_zero() {
        return None;
    }
    let max_latency = query.target_latency.mul_f64(MAX_LATENCY_SHARE);
    let max_wait = query.shortest_target.mul_f64(max_wait_share(query.urgency));
    let probability = refusal_probability(query.expected_latency, max_latency)
        .max(refusal_probability(query.slot_wait, max_wait));
    (query.draw < probability).then(|| retry_delay(query))
}

/// Returns the delay after which the caller of a refused request may retry.
pub fn retry_delay(query: &SheddingQuery) -> Duration {
    query.expected_latency + query.expected_latency.mul_f64(query.draw)
}

/// Returns the probability of refusing a request whose time is `time` if `limit` is
/// allowed. It is one half at the limit, and is not clamped to the range from 0 to 1.
fn refusal_probability(time: Duration, limit: Duration) -> f64 {
    let excess = time.as_secs_f64() / limit.as_secs_f64().max(f64::MIN_POSITIVE) - 1.0;
    excess / RAMP_WIDTH + 0.5
}

/// Returns the share of the shortest target latency that a request may wait for a
/// slot.
fn max_wait_share(urgency: u8) -> f64 {
    (URGENT_WAIT_SHARE - URGENCY_STEP * f64::from(urgency)).max(MIN_WAIT_SHARE)
}
