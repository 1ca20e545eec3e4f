//! What one entry may send to backend servers that have named a limit.
//!
//! Pure. Each permit is for one request and ends by itself, so that an entry that
//! is cut off from whoever gives them sends nothing beyond those in hand.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gateway::backend_record::BackendId;
use crate::quantity::Timestamp;

/// How long a count is told after it last rose, in case a message is lost: four
/// rounds. Counts of all servers, of which there may be thousands, would be most
/// of the news.
const TOLD_FOR: Duration = Duration::from_secs(1);

/// Requests that an entry has sent to a server since it knows of its limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitedSends {
    /// The server.
    pub id: BackendId,
    /// The requests.
    pub sent: u64,
}

/// A number of requests that an entry may send to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitGrant {
    /// The server.
    pub id: BackendId,
    /// The requests.
    pub count: u32,
}

#[derive(Clone, Debug, Default)]
struct HeldPermits {
    /// When each permit in hand ends.
    permits: Vec<Timestamp>,
    sent: u64,
    sent_at: Timestamp,
}

/// The permits in hand, and what was sent.
#[derive(Clone, Debug, Default)]
pub struct SendPermits {
    servers: BTreeMap<BackendId, HeldPermits>,
}

impl SendPermits {
    /// Returns no permits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds permits that end at a time.
    pub fn add(&mut self, grant: &PermitGrant, until: Timestamp) {
        let server = self.servers.entry(grant.id.clone()).or_default();
        let ends = std::iter::repeat_n(until, grant.count as usize);
        server.permits.extend(ends);
    }

    /// Returns whether a request may be sent to a server.
    pub fn has(&self, now: Timestamp, id: &BackendId) -> bool {
        let server = self.servers.get(id);
        server.is_some_and(|server| server.permits.iter().any(|until| now < *until))
    }

    /// Notes that a request is sent; takes the permit that ends first.
    pub fn take(&mut self, now: Timestamp, id: &BackendId) {
        let server = self.servers.entry(id.clone()).or_default();
        server.sent += 1;
        server.sent_at = now;
        server.permits.retain(|until| now < *until);
        let permits = server.permits.iter().enumerate();
        if let Some((first, _)) = permits.min_by_key(|(_, until)| **until) {
            server.permits.swap_remove(first);
        }
    }

    /// Returns what was sent to each server that got a request a moment ago.
    pub fn sends(&self, now: Timestamp) -> Vec<LimitedSends> {
        let lately = |server: &HeldPermits| server.sent > 0 && now.since(server.sent_at) < TOLD_FOR;
        let sent = self.servers.iter().filter(|(_, server)| lately(server));
        sent.map(|(id, server)| LimitedSends {
            id: id.clone(),
            sent: server.sent,
        })
        .collect()
    }

    /// Forgets servers whose limit is over.
    pub fn keep(&mut self, is_limited: impl Fn(&BackendId) -> bool) {
        self.servers.retain(|id, _| is_limited(id));
    }
}
