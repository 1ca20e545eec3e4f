//! The rate limits of backend servers at one entry: which limits are in force,
//! which permits this entry holds, and which it issues.
//!
//! Pure: no I/O.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_set::BackendSet;
use crate::gateway::permit_issuer::LimitedServer;
use crate::gateway::permit_issuer::MIN_DEMAND_PER_S;
use crate::gateway::permit_issuer::PermitClient;
use crate::gateway::permit_issuer::PermitIssuer;
use crate::gateway::permit_issuer::PermitSupply;
use crate::gateway::permit_loans::IssuedLoans;
use crate::gateway::permit_loans::LoanClient;
use crate::gateway::report_table::ReportTable;
use crate::gateway::send_permits::LimitedSends;
use crate::gateway::send_permits::PermitGrant;
use crate::gateway::send_permits::SendPermits;
use crate::id::EntryName;
use crate::id::Incarnation;
use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// An entry asks for loans if its permits don't cover its demand for this time.
const SHORT_TIME: Duration = Duration::from_millis(500);
/// For how long its permits and loans should cover its demand. Hubs to which it does not
/// subscribe reply once a second.
const LOAN_COVER: Duration = Duration::from_millis(1_500);

/// The rate limits of backend servers at one entry.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// What the servers reported.
    pub reports: ReportTable,
    permits: SendPermits,
    issuer: PermitIssuer,
}

impl ServerLimits {
    /// Returns the limits of an entry that starts and has received no report.
    pub fn new(own: EntryName) -> Self {
        Self {
            reports: ReportTable::new(),
            permits: SendPermits::new(),
            issuer: PermitIssuer::new(own),
        }
    }

    /// Returns whether a server has a limit in force.
    pub fn is_limited(&self, id: &BackendId) -> bool {
        self.reports.limit(id).is_some()
    }

    /// Returns whether any server has a limit in force.
    pub fn has_limits(&self) -> bool {
        self.reports.limits().next().is_some()
    }

    /// Returns whether this entry may send a request to a server now.
    pub fn may_send(&self, now: Timestamp, id: &BackendId) -> bool {
        !self.is_limited(id) || self.permits.has_permit(now, id)
    }

    /// Records that a request is sent to a server. Returns whether the server has a limit.
    pub fn note_sent(&mut self, now: Timestamp, id: &BackendId) -> bool {
        let is_limited = self.is_limited(id);
        if is_limited {
            self.permits.use_permit(now, id);
        }
        is_limited
    }

    /// Returns how many requests this entry sent to each server with a limit
    /// that recently got one.
    pub fn recent_sends(&self, now: Timestamp) -> Vec<LimitedSends> {
        self.permits.recent_sends(now)
    }

    /// Records what an entry reported to have sent.
    pub fn note_reported_sends(
        &mut self,
        client: &EntryName,
        incarnation: Incarnation,
        sends: &[LimitedSends],
    ) {
        self.issuer.note_reported_sends(client, incarnation, sends);
    }

    /// Adds permits that a hub, or this entry itself, issued.
    pub fn add_permits(&mut self, grants: &[PermitGrant], expires_at: Timestamp) {
        for grant in grants {
            if self.is_limited(&grant.id) {
                self.permits.add(grant, expires_at);
            }
        }
    }

    /// Adds permits that a hub issued to which this entry does not subscribe.
    pub fn add_loans(&mut self, hub: &EntryName, grants: &[PermitGrant], expires_at: Timestamp) {
        for grant in grants {
            if self.is_limited(&grant.id) {
                self.permits.add_loan(hub, grant, expires_at);
            }
        }
    }

    /// Returns what this entry recently sent on loans of a hub.
    pub fn recent_loan_sends(&self, now: Timestamp, hub: &EntryName) -> Vec<LimitedSends> {
        self.permits.recent_loan_sends(now, hub)
    }

    /// Records what an entry reported to have sent on loans of this one.
    pub fn note_loan_sends(
        &mut self,
        client: &EntryName,
        incarnation: Incarnation,
        sent_at: Timestamp,
        sends: &[LimitedSends],
    ) {
        self.issuer
            .note_loan_sends(client, incarnation, sent_at, sends);
    }

    /// Returns how many loans this entry can use for each service, at a demand in requests per
    /// second. It needs none for a service of which a server has no limit.
    pub fn wanted_loans(
        &self,
        now: Timestamp,
        backends: &BackendSet,
        demand: impl IntoIterator<Item = (ServiceName, f64)>,
    ) -> BTreeMap<ServiceName, u32> {
        if !self.has_limits() {
            return BTreeMap::new();
        }
        let wanted = |(service, per_s): (ServiceName, f64)| {
            if per_s < MIN_DEMAND_PER_S {
                return None;
            }
            let mut held = 0;
            let accepting = backends.of_service(&service);
            let accepting = accepting.filter(|backend| backend.accepts_requests());
            for backend in accepting {
                if !self.is_limited(&backend.record.id) {
                    return None;
                }
                held += self.permits.count_valid(now, &backend.record.id);
            }
            if held as f64 >= per_s * SHORT_TIME.as_secs_f64() {
                return None;
            }
            let covering = (per_s * LOAN_COVER.as_secs_f64()).ceil() as u32;
            Some((service, covering.saturating_sub(held as u32)))
        };
        demand.into_iter().filter_map(wanted).collect()
    }

    /// Sets whether an entry lacks permits.
    pub fn set_supply(&mut self, supply: PermitSupply) {
        self.issuer.set_supply(supply);
    }

    /// Issues what subscribers of this entry can't use to those of other hubs.
    pub fn lend(
        &mut self,
        now: Timestamp,
        backends: &BackendSet,
        clients: &[LoanClient],
    ) -> BTreeMap<EntryName, IssuedLoans> {
        if clients.is_empty() {
            return BTreeMap::new();
        }
        let limited = limited_servers(&self.reports, backends);
        self.issuer.lend(now, &limited, clients)
    }

    /// Removes limits that are no longer in force. Returns whether any is left.
    pub fn sweep(&mut self, now: Timestamp, backends: &BackendSet) -> bool {
        self.reports.sweep(now, |id| backends.get(id).is_some());
        let reports = &self.reports;
        self.permits
            .retain_limited(now, |id| reports.limit(id).is_some());
        let has_limits = self.has_limits();
        if !has_limits {
            self.issuer.clear();
        }
        has_limits
    }

    /// Issues permits for a `fraction` of each limit to the subscribers of this
    /// entry.
    pub fn issue(
        &mut self,
        now: Timestamp,
        backends: &BackendSet,
        fraction: f64,
        clients: &[PermitClient],
    ) -> BTreeMap<EntryName, Vec<PermitGrant>> {
        let limited = limited_servers(&self.reports, backends);
        self.issuer.issue(now, fraction, &limited, clients)
    }

    /// Returns a digest of what listed servers reported.
    pub fn digest(&self, backends: &BackendSet) -> u64 {
        self.reports.digest(|id| backends.get(id).is_some())
    }
}

/// Returns the servers with a limit that accept requests.
fn limited_servers(reports: &ReportTable, backends: &BackendSet) -> Vec<LimitedServer> {
    let limited = reports.limits().filter_map(|(id, limit)| {
        let backend = backends.get(id)?;
        backend.accepts_requests().then(|| LimitedServer {
            id: id.clone(),
            service: backend.record.service.clone(),
            limit,
        })
    });
    limited.collect()
}
