//! The limits that backend servers have named, at one entry: which are in force,
//! and what this entry and those that it answers may send.
//!
//! Pure.

use std::collections::BTreeMap;

use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_set::BackendSet;
use crate::gateway::permit_issuer::LimitedServer;
use crate::gateway::permit_issuer::PermitClient;
use crate::gateway::permit_issuer::PermitIssuer;
use crate::gateway::report_table::ReportTable;
use crate::gateway::send_permits::LimitedSends;
use crate::gateway::send_permits::PermitGrant;
use crate::gateway::send_permits::SendPermits;
use crate::id::EntryName;
use crate::id::Incarnation;
use crate::quantity::Timestamp;

/// The limits of backend servers at one entry.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// What servers said.
    pub reports: ReportTable,
    permits: SendPermits,
    issuer: PermitIssuer,
}

impl ServerLimits {
    /// Returns an entry's limits when it starts and has heard nothing.
    pub fn new(own: EntryName) -> Self {
        Self {
            reports: ReportTable::new(),
            permits: SendPermits::new(),
            issuer: PermitIssuer::new(own),
        }
    }

    /// Returns whether a server has named a limit that is in force.
    pub fn is_limited(&self, id: &BackendId) -> bool {
        self.reports.limit(id).is_some()
    }

    /// Returns whether a server takes a request of this entry now.
    pub fn may_send(&self, now: Timestamp, id: &BackendId) -> bool {
        !self.is_limited(id) || self.permits.has(now, id)
    }

    /// Notes that a request is sent to a server.
    pub fn note_sent(&mut self, now: Timestamp, id: &BackendId) {
        if self.is_limited(id) {
            self.permits.take(now, id);
        }
    }

    /// Returns what this entry has sent to servers with a limit, of those that got
    /// a request a moment ago.
    pub fn recent_sends(&self, now: Timestamp) -> Vec<LimitedSends> {
        self.permits.sends(now)
    }

    /// Notes what an entry told that it has sent.
    pub fn note_sends(
        &mut self,
        client: &EntryName,
        incarnation: Incarnation,
        sends: &[LimitedSends],
    ) {
        self.issuer.note_sends(client, incarnation, sends);
    }

    /// Takes permits that another entry gave, or this one itself.
    pub fn take_permits(&mut self, grants: &[PermitGrant], until: Timestamp) {
        for grant in grants {
            if self.is_limited(&grant.id) {
                self.permits.add(grant, until);
            }
        }
    }

    /// Forgets what is over. Returns whether any limit is in force.
    pub fn sweep(&mut self, now: Timestamp, backends: &BackendSet) -> bool {
        self.reports.sweep(now, |id| backends.get(id).is_some());
        let book = &self.reports;
        self.permits.keep(|id| book.limit(id).is_some());
        let any = book.limits().next().is_some();
        if !any {
            self.issuer.clear();
        }
        any
    }

    /// Gives out permits of `part` of each limit to the entries that this one
    /// answers.
    pub fn issue(
        &mut self,
        now: Timestamp,
        backends: &BackendSet,
        part: f64,
        clients: &[PermitClient],
    ) -> BTreeMap<EntryName, Vec<PermitGrant>> {
        let limited = limited_servers(&self.reports, backends);
        self.issuer.issue(now, part, &limited, clients)
    }

    /// Returns the digest of the limits in force at listed servers.
    pub fn digest(&self, backends: &BackendSet) -> u64 {
        self.reports.digest(|id| backends.get(id).is_some())
    }
}

/// Returns the servers that take requests and have named a limit.
fn limited_servers(book: &ReportTable, backends: &BackendSet) -> Vec<LimitedServer> {
    let limited = book.limits().filter_map(|(id, limit)| {
        let backend = backends.get(id)?;
        backend.accepts_requests().then(|| LimitedServer {
            id: id.clone(),
            service: backend.record.service.clone(),
            limit,
        })
    });
    limited.collect()
}
