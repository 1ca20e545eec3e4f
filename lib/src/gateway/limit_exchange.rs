//! Exchanges with other entries what backend servers said in answers, and permits
//! to send to those with limits.

use std::collections::BTreeMap;

use metrics::counter;
use metrics::gauge;
use slog::info;

use crate::gateway::backend_record::BackendId;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::log_budget::LineClass;
use crate::gateway::peer_gossip::GatewayGossip;
use crate::gateway::peer_gossip::ServiceDemand;
use crate::gateway::peer_table::PermitShare;
use crate::gateway::peer_table::ReportOffer;
use crate::gateway::permit_issuer::PERMIT_LIFETIME;
use crate::gateway::permit_issuer::PermitClient;
use crate::gateway::report_table::RelayedReport;
use crate::gateway::send_permits::PermitGrant;
use crate::gateway::server_labels::NO_LIMIT;
use crate::id::EntryName;
use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// Thousandths of a request a second, in which entries tell their demand.
const MILLI: f64 = 1_000.0;

/// The permits that an entry gives out in a round, by receiver.
pub type GrantedPermits = BTreeMap<EntryName, Vec<PermitGrant>>;

/// Gives out permits to the entries that this one answers each round. One that
/// hears no other gives itself its own part, so that all that are cut off from
/// each other stay within a limit too.
pub fn issue_permits(context: &GatewayContext, now: Timestamp) -> GrantedPermits {
    if !sweep_limits(context, now) {
        return GrantedPermits::new();
    }
    let own = &context.settings.name;
    let share = context.peers.lock().permit_share(now);
    let (part, clients) = match share {
        PermitShare::Nobody => return GrantedPermits::new(),
        PermitShare::Own { fraction: part } => (part, vec![own_client(context, now)]),
        PermitShare::Subscribers { fraction: part } => (part, answered_clients(context, now)),
    };
    let backends = context.backends.lock();
    let mut limits = context.server_limits.lock();
    if let PermitShare::Own { .. } = share {
        let sends = limits.recent_sends(now);
        limits.note_sends(own, context.incarnation, &sends);
    }
    let mut granted = limits.issue(now, &backends, part, &clients);
    if let Some(grants) = granted.remove(own) {
        limits.take_permits(&grants, now.after(PERMIT_LIFETIME));
        count_permits(context, &grants);
    }
    granted
}

/// Forgets limits that are over. Returns whether any is in force.
fn sweep_limits(context: &GatewayContext, now: Timestamp) -> bool {
    let backends = context.backends.lock();
    context.server_limits.lock().sweep(now, &backends)
}

/// Returns the entries that this one answers each round.
fn answered_clients(context: &GatewayContext, now: Timestamp) -> Vec<PermitClient> {
    let peers = context.peers.lock();
    let answered = peers.subscribers(now);
    let client = |(name, work): (&EntryName, &[ServiceDemand])| PermitClient {
        name: name.clone(),
        demand: read_demand(work),
    };
    answered.map(client).collect()
}

/// Counts permits that this entry has got.
fn count_permits(context: &GatewayContext, grants: &[PermitGrant]) {
    for grant in grants {
        let label = context.server_labels.label(&grant.id);
        let got = counter!("cloverbend_backend_permits_got_total", "backend" => label);
        got.increment(grant.count.into());
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

fn read_demand(work: &[ServiceDemand]) -> BTreeMap<ServiceName, f64> {
    let read = |work: &ServiceDemand| {
        let service = work.service.parse().ok()?;
        Some((service, work.requests_milli as f64 / MILLI))
    };
    work.iter().filter_map(read).collect()
}

/// Returns the notices that an entry is told, where the own ones have that digest.
pub fn reports_for(
    context: &GatewayContext,
    now: Timestamp,
    name: &EntryName,
    digest: u64,
) -> Vec<RelayedReport> {
    let offer = context.peers.lock().offer_reports(now, name, digest);
    let limits = context.server_limits.lock();
    match offer {
        ReportOffer::Nothing => Vec::new(),
        ReportOffer::Recent => limits.reports.recent_notices(now),
        ReportOffer::All => limits.reports.all_notices(now),
    }
}

/// Takes over what another entry told of servers, and the permits that it gave.
pub fn apply_server_gossip(context: &GatewayContext, now: Timestamp, news: &GatewayGossip) {
    take_notices(context, now, &news.reports);
    // Each entry's sends count where it gets its permits.
    if news.reports_state && news.wants_summary {
        let mut limits = context.server_limits.lock();
        limits.note_sends(&news.name, news.incarnation, &news.sends);
    }
    let Some(digest) = &news.summary else { return };
    take_notices(context, now, &digest.reports);
    let own = context.incarnation;
    if let Some(echo) = news.echo.filter(|echo| echo.incarnation == own) {
        // The giver counts them from later on, so none is used after it has
        // given it to another.
        let until = Timestamp(echo.sent_at).after(PERMIT_LIFETIME);
        let mut limits = context.server_limits.lock();
        limits.take_permits(&digest.permits, until);
        drop(limits);
        count_permits(context, &digest.permits);
    }
}

fn take_notices(context: &GatewayContext, now: Timestamp, notices: &[RelayedReport]) {
    if notices.is_empty() {
        return;
    }
    let mut changed: Vec<&RelayedReport> = Vec::new();
    let mut limits = context.server_limits.lock();
    for notice in notices {
        if limits.reports.take_over(now, notice) {
            changed.push(notice);
        }
    }
    drop(limits);
    let mut backends = context.backends.lock();
    for notice in changed.iter().filter(|notice| notice.draining) {
        backends.note_reported_draining(&notice.id);
    }
    drop(backends);
    for notice in changed {
        log_told(context, &notice.id, notice);
    }
}

fn log_told(context: &GatewayContext, id: &BackendId, notice: &RelayedReport) {
    counter!("cloverbend_backend_notices_heard_of_total").increment(1);
    let label = context.server_labels.label(id);
    let rate = notice.limit.map_or(NO_LIMIT, |rate| rate.0);
    gauge!("cloverbend_backend_limit", "backend" => label).set(rate);
    if context.may_log(&id.name.0, LineClass::Step) {
        info!(context.log, "backend server's notice heard of"; "backend" => %id,
            "requests_per_s" => notice.limit.map(|rate| rate.0), "leaving" => notice.draining,
            "age_ms" => notice.age.as_millis() as u64);
    }
}
