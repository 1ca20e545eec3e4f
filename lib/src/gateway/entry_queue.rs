//! Decides which requests wait at the entry for a slot that is probably free soon.
//!
//! Pure logic: no I/O and no clock. The load pattern is a peak that is shorter than a
//! request: all replicas are full for some tens of milliseconds, and less urgent requests
//! would be shed although slots become free in time. Only requests that would be shed
//! wait. The others are sent to the replica's queue, which learns of a free slot sooner
//! than any entry.
//!
//! An entry learns at once only of the slots that its own requests leave; news of other
//! entries takes longer than any wait. So a request waits only if enough of the entry's
//! own requests are expected to end.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// The most requests that wait at an entry. Their bodies stay in memory.
pub const MAX_WAITERS: usize = 128;
/// The share of its target latency that a request may wait at the entry.
const MAX_WAIT_SHARE: f64 = 0.125;

/// A request that would be shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitQuery {
    /// The estimated wait for a slot at the best replica.
    pub slot_wait: Duration,
    /// The time within which the first event or the response is due.
    pub target_latency: Duration,
    /// The requests of this entry that are in flight at the service.
    pub own_requests: u32,
    /// The mean time that a request occupies a slot.
    pub slot_time: Duration,
    /// The urgency, 0 the most urgent.
    pub urgency: u8,
}

/// A request in the queue, in the order in which requests are sent: the most urgent ones
/// first, of them those due first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueWaiter {
    service: ServiceName,
    urgency: u8,
    due: Timestamp,
    number: u64,
}

/// The requests that wait at one entry.
#[derive(Clone, Debug, Default)]
pub struct EntryQueue {
    waiters: BTreeSet<QueueWaiter>,
    next_number: u64,
}

impl EntryQueue {
    /// Returns an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Adds a request if a slot is probably free in time. Returns it with the time at
    /// which its wait is over.
    pub fn join(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        query: &WaitQuery,
    ) -> Option<(QueueWaiter, Timestamp)> {
        let waiter = QueueWaiter {
            service: service.clone(),
            urgency: query.urgency,
            due: now.after(query.target_latency),
            number: self.next_number,
        };
        let max_wait = query.target_latency.mul_f64(MAX_WAIT_SHARE);
        let slot_s = query.slot_time.as_secs_f64().max(f64::MIN_POSITIVE);
        let expected_ends = f64::from(query.own_requests) * max_wait.as_secs_f64() / slot_s;
        let is_likely = expected_ends >= (self.count_ahead(&waiter) + 1) as f64;
        if self.waiters.len() >= MAX_WAITERS || query.slot_wait > max_wait || !is_likely {
            return None;
        }
        self.next_number += 1;
        self.waiters.insert(waiter.clone());
        Some((waiter, now.after(max_wait)))
    }

    /// Returns whether a request is the next one of its service.
    pub fn is_next(&self, waiter: &QueueWaiter) -> bool {
        let earlier = self.waiters.range(..waiter).next_back();
        self.waiters.contains(waiter) && earlier.is_none_or(|other| other.service != waiter.service)
    }

    /// Removes a request that is sent or refused, or whose caller has left.
    pub fn leave(&mut self, waiter: &QueueWaiter) {
        self.waiters.remove(waiter);
    }

    fn count_ahead(&self, waiter: &QueueWaiter) -> usize {
        let earlier = self.waiters.range(..waiter);
        let same_service = earlier
            .rev()
            .take_while(|other| other.service == waiter.service);
        same_service.count()
    }
}
