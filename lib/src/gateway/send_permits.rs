//! The permits of one entry to send to backend servers with a rate limit.
//!
//! Pure: no I/O. Each permit is for one request and expires by itself, so an
//! entry that loses contact with the hub that issues them sends nothing beyond
//! the permits it holds.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gateway::backend_record::BackendId;
use crate::id::EntryName;
use crate::quantity::Timestamp;

/// How long a count is repeated in gossip after its last increase, in case a
/// message is lost: four rounds. The counts of all servers, possibly thousands,
/// would otherwise make up most of the gossip.
const REPORT_REPEAT_TIME: Duration = Duration::from_secs(1);
/// The same for loans. A hub takes a loan for unused if a later report does not name its use,
/// so this is longer than a loan stays open at its hub.
pub const LOAN_REPEAT_TIME: Duration = Duration::from_secs(6);
/// How long the counts of loans are kept after a limit was lifted: other entries may hear
/// of it later, or not before the limit is named again.
const LOAN_RETENTION: Duration = Duration::from_secs(60);

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
    /// Permits of hubs to which this entry does not subscribe, and what was sent on them.
    loans: BTreeMap<EntryName, HeldLoans>,
}

#[derive(Clone, Debug, Default)]
struct HeldLoans {
    /// The expiry time of each loan.
    permits: Vec<Timestamp>,
    sent: u64,
    last_sent_at: Timestamp,
}

impl HeldPermits {
    fn count_valid(&self, now: Timestamp) -> usize {
        let loans = self.loans.values().flat_map(|loans| &loans.permits);
        let permits = self.permits.iter().chain(loans);
        permits.filter(|expires_at| now < **expires_at).count()
    }

    /// Returns the loans of the hub of which one expires first, if that is before all permits
    /// of the own hub.
    fn first_loans(&mut self) -> Option<&mut HeldLoans> {
        let first_permit = self.permits.iter().min().copied();
        let first_of = |loans: &HeldLoans| loans.permits.iter().min().copied();
        let with_loans = self.loans.values_mut();
        let with_loans = with_loans.filter_map(|loans| Some((first_of(loans)?, loans)));
        let (expires_at, loans) = with_loans.min_by_key(|(expires_at, _)| *expires_at)?;
        first_permit
            .is_none_or(|first| expires_at < first)
            .then_some(loans)
    }
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

    /// Adds permits of a hub to which this entry does not subscribe.
    pub fn add_loan(&mut self, hub: &EntryName, grant: &PermitGrant, expires_at: Timestamp) {
        let server = self.servers.entry(grant.id.clone()).or_default();
        let loans = server.loans.entry(hub.clone()).or_default();
        let expiry_times = std::iter::repeat_n(expires_at, grant.count as usize);
        loans.permits.extend(expiry_times);
    }

    /// Returns how many valid permits there are for a server.
    pub fn count_valid(&self, now: Timestamp, id: &BackendId) -> usize {
        let server = self.servers.get(id);
        server.map_or(0, |server| server.count_valid(now))
    }

    /// Returns whether there is a valid permit for a server.
    pub fn has_permit(&self, now: Timestamp, id: &BackendId) -> bool {
        let server = self.servers.get(id);
        server.is_some_and(|server| server.count_valid(now) > 0)
    }

    /// Counts a request that is sent, and uses up the permit that expires
    /// first.
    pub fn use_permit(&mut self, now: Timestamp, id: &BackendId) {
        let server = self.servers.entry(id.clone()).or_default();
        server.permits.retain(|expires_at| now < *expires_at);
        for loans in server.loans.values_mut() {
            loans.permits.retain(|expires_at| now < *expires_at);
        }
        if let Some(loans) = server.first_loans() {
            let permits = loans.permits.iter().enumerate();
            if let Some((first, _)) = permits.min_by_key(|(_, expires_at)| **expires_at) {
                loans.permits.swap_remove(first);
            }
            loans.sent += 1;
            loans.last_sent_at = now;
            return;
        }
        server.sent += 1;
        server.last_sent_at = now;
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

    /// Returns what was recently sent on loans of a hub.
    pub fn recent_loan_sends(&self, now: Timestamp, hub: &EntryName) -> Vec<LimitedSends> {
        let recent = |(id, server): (&BackendId, &HeldPermits)| {
            let loans = server.loans.get(hub)?;
            let is_recent = loans.sent > 0 && now.since(loans.last_sent_at) < LOAN_REPEAT_TIME;
            is_recent.then(|| LimitedSends {
                id: id.clone(),
                sent: loans.sent,
            })
        };
        self.servers.iter().filter_map(recent).collect()
    }

    /// Forgets servers whose limit is no longer in force, but for what was sent on loans.
    pub fn retain_limited(&mut self, now: Timestamp, is_limited: impl Fn(&BackendId) -> bool) {
        self.servers.retain(|id, server| {
            if is_limited(id) {
                return true;
            }
            server.permits.clear();
            server.sent = 0;
            server.loans.retain(|_, loans| {
                loans.permits.clear();
                loans.sent > 0 && now.since(loans.last_sent_at) < LOAN_RETENTION
            });
            !server.loans.is_empty()
        });
    }
}
