//! Exchanges with other entries what backend servers reported, and permits to
//! send to servers with a rate limit.

use std::collections::BTreeMap;

use metrics::counter;
use metrics::gauge;
use slog::info;

use crate::gateway::backend_record::BackendId;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::log_budget::LineClass;
use crate::gateway::peer_gossip::GatewayGossip;
use crate::gateway::peer_gossip::ServiceDemand;
use crate::gateway::peer_gossip::WantedLoans;
use crate::gateway::peer_table::DueMessage;
use crate::gateway::peer_table::PermitShare;
use crate::gateway::peer_table::ReportOffer;
use crate::gateway::permit_issuer::PERMIT_LIFETIME;
use crate::gateway::permit_issuer::PermitClient;
use crate::gateway::permit_loans::IssuedLoans;
use crate::gateway::permit_loans::LoanClient;
use crate::gateway::report_table::RelayedReport;
use crate::gateway::send_permits::PermitGrant;
use crate::gateway::server_labels::NO_LIMIT;
use crate::id::EntryName;
use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// Entries gossip their demand in thousandths of a request per second.
const MILLI_PER_REQUEST: f64 = 1_000.0;

/// The permits that an entry issues in a round, by receiver.
#[derive(Clone, Debug, Default)]
pub struct GrantedPermits {
    /// Permits for the subscribers of this entry.
    pub issued: BTreeMap<EntryName, Vec<PermitGrant>>,
    /// Permits for subscribers of other hubs.
    pub lent: BTreeMap<EntryName, IssuedLoans>,
}

/// Issues permits to the subscribers of this entry, and what they can't use to those of other
/// hubs that get one of the `due` messages, and to this entry itself. An entry that reaches no
/// other issues its own fraction to itself, so that entries without contact to
/// each other also stay within a limit together.
pub fn issue_permits(
    context: &GatewayContext,
    now: Timestamp,
    due: &[DueMessage],
) -> GrantedPermits {
    let own = &context.settings.name;
    let share = match sweep_limits(context, now) {
        true => context.peers.lock().permit_share(now),
        false => PermitShare::Nobody,
    };
    let (fraction, clients) = match share {
        PermitShare::Nobody => (0.0, Vec::new()),
        PermitShare::Own { fraction } => (fraction, vec![own_client(context, now)]),
        PermitShare::Subscribers { fraction } => (fraction, subscriber_clients(context, now)),
    };
    gauge!("cloverbend_permit_fraction").set(fraction);
    if share == PermitShare::Nobody {
        return GrantedPermits::default();
    }
    let loan_clients = match share {
        PermitShare::Subscribers { .. } => {
            let mut loan_clients = context.peers.lock().loan_clients(now, due);
            loan_clients.extend(own_loan_client(context, now));
            loan_clients
        }
        PermitShare::Own { .. } | PermitShare::Nobody => Vec::new(),
    };
    let supply = context.peers.lock().permit_supply(now);
    let backends = context.backends.lock();
    let mut limits = context.server_limits.lock();
    limits.set_supply(supply);
    let loan_sends = limits.recent_loan_sends(now, own);
    limits.note_loan_sends(own, context.incarnation, now, &loan_sends);
    if let PermitShare::Own { .. } = share {
        let sends = limits.recent_sends(now);
        limits.note_reported_sends(own, context.incarnation, &sends);
    }
    let mut granted = limits.issue(now, &backends, fraction, &clients);
    if let Some(grants) = granted.remove(own) {
        limits.add_permits(&grants, now.after(PERMIT_LIFETIME));
        count_permits(context, &grants);
    }
    let mut lent = limits.lend(now, &backends, &loan_clients);
    if let Some(loans) = lent.remove(own) {
        limits.add_loans(own, &loans.grants, now.after(PERMIT_LIFETIME));
        count_permits(context, &loans.grants);
    }
    GrantedPermits {
        issued: granted,
        lent,
    }
}

/// Returns this entry as a client of its own loans.
fn own_loan_client(context: &GatewayContext, now: Timestamp) -> Option<LoanClient> {
    if !context.server_limits.lock().has_limits() {
        return None;
    }
    let demand = own_client(context, now).demand;
    let backends = context.backends.lock();
    let limits = context.server_limits.lock();
    let wanted = limits.wanted_loans(now, &backends, demand);
    (!wanted.is_empty()).then(|| LoanClient {
        name: context.settings.name.clone(),
        incarnation: context.incarnation,
        sent_at: now,
        wanted,
    })
}

/// Returns how many permits this entry lacks.
pub fn own_wanted_loans(context: &GatewayContext, now: Timestamp) -> Vec<WantedLoans> {
    let client = own_loan_client(context, now);
    let wanted = client.into_iter().flat_map(|client| client.wanted);
    let wanted = wanted.map(|(service, count)| WantedLoans {
        service: service.to_string(),
        count,
    });
    wanted.collect()
}

/// Removes limits that are no longer in force. Returns whether any is left.
fn sweep_limits(context: &GatewayContext, now: Timestamp) -> bool {
    let backends = context.backends.lock();
    context.server_limits.lock().sweep(now, &backends)
}

/// Returns the subscribers of this entry, with their demand.
fn subscriber_clients(context: &GatewayContext, now: Timestamp) -> Vec<PermitClient> {
    let peers = context.peers.lock();
    let subscribers = peers.subscribers(now);
    let client = |(name, demand): (&EntryName, &[ServiceDemand])| PermitClient {
        name: name.clone(),
        demand: read_demand(demand),
    };
    subscribers.map(client).collect()
}

/// Counts the permits that this entry got.
fn count_permits(context: &GatewayContext, grants: &[PermitGrant]) {
    for grant in grants {
        let label = context.server_labels.label(&grant.id);
        let permits_got = counter!("cloverbend_backend_permits_got_total", "backend" => label);
        permits_got.increment(grant.count.into());
    }
}

/// Counts a request that is sent to a server with a limit.
pub fn count_limited_send(context: &GatewayContext, id: &BackendId) {
    let label = context.server_labels.label(id);
    counter!("cloverbend_backend_limited_sends_total", "backend" => label).increment(1);
}

/// Counts a request of another entry that this one relays to a server with a limit. The
/// other entry takes the permit.
pub fn count_limited_relay(context: &GatewayContext, id: &BackendId) {
    if context.server_limits.lock().is_limited(id) {
        let label = context.server_labels.label(id);
        counter!("cloverbend_backend_limited_relays_total", "backend" => label).increment(1);
    }
}

fn own_client(context: &GatewayContext, now: Timestamp) -> PermitClient {
    let work = context.work.lock();
    let demand = work
        .rates(now)
        .map(|(service, offered)| (service.clone(), offered.requests_per_s));
    PermitClient {
        name: context.settings.name.clone(),
        demand: demand.collect(),
    }
}

fn read_demand(demand: &[ServiceDemand]) -> BTreeMap<ServiceName, f64> {
    let read = |demand: &ServiceDemand| {
        let service = demand.service.parse().ok()?;
        Some((service, demand.requests_milli as f64 / MILLI_PER_REQUEST))
    };
    demand.iter().filter_map(read).collect()
}

/// Returns the reports to send to the entry `name`. `own_digest` is the digest
/// of this entry's reports.
pub fn reports_for(
    context: &GatewayContext,
    now: Timestamp,
    name: &EntryName,
    own_digest: u64,
) -> Vec<RelayedReport> {
    let offer = context.peers.lock().offer_reports(now, name, own_digest);
    let limits = context.server_limits.lock();
    match offer {
        ReportOffer::Nothing => Vec::new(),
        ReportOffer::Recent => limits.reports.recent_reports(now),
        ReportOffer::All => limits.reports.all_reports(now),
    }
}

/// Applies what another entry gossiped about servers, and the permits that it
/// issued.
pub fn apply_server_gossip(context: &GatewayContext, now: Timestamp, gossip: &GatewayGossip) {
    let own = context.incarnation;
    let echo = gossip.echo.filter(|echo| echo.incarnation == own);
    let sent_after = echo.map(|echo| Timestamp(echo.sent_at));
    apply_reports(context, now, sent_after, &gossip.reports);
    // The sends of an entry count at the hub from which it gets its permits.
    if gossip.reports_state && gossip.wants_summary {
        let mut limits = context.server_limits.lock();
        limits.note_reported_sends(&gossip.name, gossip.incarnation, &gossip.sends);
    }
    if gossip.reports_state {
        let mut limits = context.server_limits.lock();
        let sent_at = Timestamp(gossip.sent_at);
        limits.note_loan_sends(
            &gossip.name,
            gossip.incarnation,
            sent_at,
            &gossip.loan_sends,
        );
    }
    if let Some(sent_after) = sent_after.filter(|_| !gossip.loans.is_empty()) {
        let expires_at = sent_after.after(PERMIT_LIFETIME);
        let mut limits = context.server_limits.lock();
        limits.add_loans(&gossip.name, &gossip.loans, expires_at);
        drop(limits);
        count_permits(context, &gossip.loans);
    }
    let Some(summary) = &gossip.summary else {
        return;
    };
    apply_reports(context, now, sent_after, &summary.reports);
    if let Some(sent_after) = sent_after {
        // The hub counts the lifetime from a later time, so the permit expires
        // here before the hub can issue it to another entry.
        let expires_at = sent_after.after(PERMIT_LIFETIME);
        let mut limits = context.server_limits.lock();
        limits.add_permits(&summary.permits, expires_at);
        drop(limits);
        count_permits(context, &summary.permits);
    }
}

fn apply_reports(
    context: &GatewayContext,
    now: Timestamp,
    sent_after: Option<Timestamp>,
    reports: &[RelayedReport],
) {
    if reports.is_empty() {
        return;
    }
    let mut changed: Vec<&RelayedReport> = Vec::new();
    let mut limits = context.server_limits.lock();
    for report in reports {
        if limits.reports.apply_relayed(now, sent_after, report) {
            changed.push(report);
        }
    }
    drop(limits);
    let mut backends = context.backends.lock();
    for report in changed.iter().filter(|report| report.draining) {
        backends.note_reported_draining(&report.id);
    }
    drop(backends);
    for report in changed {
        log_relayed(context, &report.id, report);
    }
}

fn log_relayed(context: &GatewayContext, id: &BackendId, report: &RelayedReport) {
    counter!("cloverbend_backend_notices_heard_of_total").increment(1);
    let label = context.server_labels.label(id);
    let rate = report.limit.map_or(NO_LIMIT, |rate| rate.0);
    gauge!("cloverbend_backend_limit", "backend" => label).set(rate);
    if context.may_log(&id.name.0, LineClass::Step) {
        info!(context.log, "backend server report relayed by another entry"; "backend" => %id,
            "requests_per_s" => report.limit.map(|rate| rate.0), "leaving" => report.draining,
            "age_ms" => report.age.as_millis() as u64);
    }
}
