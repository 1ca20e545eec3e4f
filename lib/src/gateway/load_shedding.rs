//! Decides which requests are turned away when a service's replicas are full.
//!
//! Pure. The load pattern: half of the replicas are gone within a second, and
//! for seconds no others come. Sent all the same, every request waits, all are
//! late together, and what is late still takes the place of what could be in
//! time. So a request that would wait too long to be in time is refused at once,
//! and the less urgent ones before the others.

use std::time::Duration;

/// The share of its target latency that a request may be expected to take: the
/// rest is for what is not known of the replicas.
const EXPECTED_SHARE: f64 = 0.9;
/// The share of the shortest target latency for which the most urgent request
/// may wait for a slot.
const URGENT_SHARE: f64 = 0.7;
/// How much smaller that share is for each further step of urgency. All shares
/// are of the same time: a less urgent request with a longer target would
/// otherwise wait longer, and fill the queue in which urgent ones are turned
/// away.
const URGENCY_STEP: f64 = 0.3;
/// The least such share.
const LEAST_SHARE: f64 = 0.05;
/// The part of a limit over which requests are refused with a rising chance.
/// Hundreds of entries decide by the same news: a sharp limit would make all
/// refuse in one moment and none in the next.
const SOFT_PART: f64 = 1.6;

/// What is known of a request and of the replica that is best for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SheddingQuery {
    /// When the first event or the answer is expected after the send.
    pub expected_latency: Duration,
    /// How much of that is the wait for a slot.
    pub slot_wait: Duration,
    /// The time until the first event or the answer that is in time.
    pub target_latency: Duration,
    /// The shortest such time among the routes of the service.
    pub shortest_target: Duration,
    /// The urgency, 0 the most urgent.
    pub urgency: u8,
    /// A number from 0 to 1 that differs for each request.
    pub draw: f64,
}

/// Returns when a request that is turned away may come back; `None` if it is
/// sent. One for which a slot is free is always sent: nobody waits for it.
pub fn shed_request(query: &SheddingQuery) -> Option<Duration> {
    if query.slot_wait.is_zero() {
        return None;
    }
    let in_time = query.target_latency.mul_f64(EXPECTED_SHARE);
    let patience = query.shortest_target.mul_f64(allowed_share(query.urgency));
    let chance = excess(query.expected_latency, in_time).max(excess(query.slot_wait, patience));
    (query.draw < chance)
        .then(|| query.expected_latency + query.expected_latency.mul_f64(query.draw))
}

/// Returns the chance with which a request is refused that takes `time` where
/// `limit` is allowed: a half at the limit.
fn excess(time: Duration, limit: Duration) -> f64 {
    let over = time.as_secs_f64() / limit.as_secs_f64().max(f64::MIN_POSITIVE) - 1.0;
    over / SOFT_PART + 0.5
}

fn allowed_share(urgency: u8) -> f64 {
    (URGENT_SHARE - URGENCY_STEP * f64::from(urgency)).max(LEAST_SHARE)
}
