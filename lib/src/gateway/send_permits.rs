//! The permits of one entry to send to backend servers with a rate limit.
//!
//! Pure: no I/O. Each permit is for one request and expires by itself, so an
//! entry that loses contact with the hub that issues them sends nothing beyond
//! the permits it holds.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gateway::backend_record::BackendId;
use crate::quantity::Timestamp;

/// How long a count is repeated in gossip after its last increase, in case a
/// message is lost: four rounds. The counts of all servers, possibly thousands,
/// would otherwise make up most of the gossip.
const REPORT_REPEAT_TIME: Duration = Duration::from_secs(1);

/// How many requests an entry has sent to a server since it learned of the
/// server's limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitedSends {
    /// The server.
    pub id: BackendId,
    /// The number of requests.
    pub sent: u64,
}

/// Permits for one server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitGrant {
    /// The server.
    pub id: BackendId,
    /// How many requests may be sent.
    pub count: u32,
}

#[derive(Clone, Debug, Default)]
struct HeldPermits {
    /// The expiry time of each permit.
    permits: Vec<Timestamp>,
    sent: u64,
    last_sent_at: Timestamp,
}

/// The permits that this entry holds, and what it sent.
#[derive(Clone, Debug, Default)]
pub struct SendPermits {
    servers: BTreeMap<BackendId, HeldPermits>,
}

impl SendPermits {
    /// Returns an empty set of permits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds permits that expire at `expires_at`.
    pub fn add(&mut self, grant: &PermitGrant, expires_at: Timestamp) {
        let server = self.servers.entry(grant.id.clone()).or_default();
        let expiry_times = std::iter::repeat_n(expires_at, grant.count as usize);
        server.permits.extend(expiry_times);
    }

    /// Returns whether there is a valid permit for a server.
    pub fn has_permit(&self, now: Timestamp, id: &BackendId) -> bool {
        let server = self.servers.get(id);
        server.is_some_and(|server| server.permits.iter().any(|expires_at| now < *expires_at))
    }

    /// Counts a request that is sent, and uses up the permit that expires
    /// first.
    pub fn use_permit(&mut self, now: Timestamp, id: &BackendId) {
        let server = self.servers.entry(id.clone()).or_default();
        server.sent += 1;
        server.last_sent_at = now;
        server.permits.retain(|expires_at| now < *expires_at);
        let permits = server.permits.iter().enumerate();
        if let Some((first, _)) = permits.min_by_key(|(_, expires_at)| **expires_at) {
            server.permits.swap_remove(first);
        }
    }

    /// Returns the counts of the servers that recently got a request.
    pub fn recent_sends(&self, now: Timestamp) -> Vec<LimitedSends> {
        let is_recent = |server: &HeldPermits| {
            server.sent > 0 && now.since(server.last_sent_at) < REPORT_REPEAT_TIME
        };
        let sent = self.servers.iter().filter(|(_, server)| is_recent(server));
        sent.map(|(id, server)| LimitedSends {
            id: id.clone(),
            sent: server.sent,
        })
        .collect()
    }

    /// Forgets servers whose limit is no longer in force.
    pub fn retain_limited(&mut self, is_limited: impl Fn(&BackendId) -> bool) {
        self.servers.retain(|id, _| is_limited(id));
    }
}
