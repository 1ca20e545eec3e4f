//! Applies what other entries gossip.

use std::time::Duration;

use slog::info;

use crate::gateway::admission_exchange::apply_demand;
use crate::gateway::call_return::apply_promises;
use crate::gateway::crash_detector::merge_crash_reports;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::gossip_task::adopt_helpers;
use crate::gateway::gossip_task::pull_document;
use crate::gateway::limit_exchange::apply_server_gossip;
use crate::gateway::list_exchange::adopt_sent_list;
use crate::gateway::peer_gossip::FreshnessEcho;
use crate::gateway::peer_gossip::GatewayGossip;
use crate::gateway::peer_gossip::HubSummary;
use crate::gateway::peer_table::SenderIncarnation;
use crate::gateway::retry_exchange::apply_retry_gossip;
use crate::gateway::store_task::note_draining;
use crate::quantity::Timestamp;

/// If an entry has run for longer than this when its first message arrives, the
/// units that it admitted before that message are not counted.
const NEW_ENTRY_AGE: Duration = Duration::from_secs(3);

/// Receives a gossip message of another entry.
pub fn receive_gossip(context: &GatewayContext, gossip: GatewayGossip) {
    let now = context.now();
    if gossip.incarnation == context.incarnation {
        return;
    }
    // The next echo of this entry is a promise to the holder, so the lease state
    // must record the holder's token first.
    if let Some(fencing_token) = gossip.fencing_token {
        let mut lease = context.lease.lock();
        lease.note_holder_gossip(now, fencing_token, gossip.duty_log_end);
    }
    let mut peers = context.peers.lock();
    let earlier_token = peers.fencing_token_of(&gossip.name);
    let sender = peers.apply_gossip(now, &gossip);
    let has_ended_lease = earlier_token.is_some() && peers.fencing_token_of(&gossip.name).is_none();
    drop(peers);
    if has_ended_lease {
        context.lease.lock().request_read();
    }
    if let SenderIncarnation::New { replaced } = sender {
        if let Some(replaced) = replaced {
            context.account_limits.lock().retire(replaced);
        }
        info!(context.log, "entry reached"; "other" => %gossip.name,
            "incarnation" => %gossip.incarnation, "address" => %gossip.address);
    }
    if gossip.revision > context.config.lock().revision() {
        pull_document(context, now);
    }
    if gossip.reports_state {
        apply_admitted(context, &gossip);
        apply_window_counts(context, &gossip);
    }
    if !gossip.crashes.is_empty() {
        merge_crash_reports(context, &gossip.crashes);
    }
    apply_server_gossip(context, now, &gossip);
    apply_promises(context, now, &gossip);
    apply_demand(context, now, &gossip);
    apply_retry_gossip(context, now, &gossip);
    apply_rollouts(context, now, &gossip);
    if let Some(summary) = &gossip.summary {
        apply_summary(context, &gossip, summary, now);
    }
    let own_incarnation = context.incarnation;
    if let Some(echo) = gossip
        .echo
        .filter(|echo| echo.incarnation == own_incarnation)
    {
        confirm_state(context, &gossip, echo);
        apply_promise(context, &gossip, echo);
    }
}

/// Returns the time, by the clock of this entry, at which the sender of an echo
/// confirmed its state: `age` before this entry sent the echoed message at
/// `sent_at`, or after it if `age` is negative. The transit time of that message is
/// ignored, so this is the earliest possible time.
///
/// Returns none if the time is before the start of this entry. With time 0 in its
/// place, the state would seem fresher than it is, here and at the entries to which
/// this one reports it.
fn confirmation_time(sent_at: u64, age: i64) -> Option<Timestamp> {
    let at = sent_at.checked_add_signed(age.saturating_neg());
    at.map(Timestamp)
}

/// Records that another entry echoed this entry's fencing token, and so promised
/// not to claim the lease.
fn apply_promise(context: &GatewayContext, gossip: &GatewayGossip, echo: FreshnessEcho) {
    if let Some(fencing_token) = echo.fence {
        let sent_at = Timestamp(echo.sent_at);
        let mut lease = context.lease.lock();
        lease.note_promise(context.now(), &gossip.name, fencing_token, sent_at);
    }
}

/// Confirms the state of this entry as of the time at which the sender confirmed
/// it, if the sender has the same state.
fn confirm_state(context: &GatewayContext, gossip: &GatewayGossip, echo: FreshnessEcho) {
    let confirmed_at = |age: Option<i64>| confirmation_time(echo.sent_at, age?);
    if let Some(at) = confirmed_at(echo.config_age) {
        context.config.lock().confirm(gossip.revision, at);
    }
    if let Some(at) = confirmed_at(echo.backends_age) {
        let mut backends = context.backends.lock();
        if backends.list_digest() == gossip.backends_digest {
            backends.confirm(at);
        }
    }
}

/// Takes in news of roll-outs and the answers that the sender counted, if this entry takes
/// part in roll-outs.
fn apply_rollouts(context: &GatewayContext, now: Timestamp, gossip: &GatewayGossip) {
    if context.settings.rollout.is_none() {
        return;
    }
    let mut rollouts = context.rollouts.lock();
    for news in &gossip.rollouts {
        rollouts.note_news(now, news.clone(), rand::random());
    }
    for report in &gossip.rollout_evidence {
        rollouts.note_report(gossip.incarnation, report);
    }
}

fn apply_admitted(context: &GatewayContext, gossip: &GatewayGossip) {
    let is_new = gossip.sent_at < NEW_ENTRY_AGE.as_micros() as u64;
    let mut limits = context.account_limits.lock();
    for item in &gossip.admitted {
        limits.note_peer_total(gossip.incarnation, &item.account, item.units, is_new);
    }
    let accounts = gossip.admitted.iter().map(|item| &item.account);
    limits.merge_peer_totals(context.now(), context.incarnation, accounts);
}

fn apply_window_counts(context: &GatewayContext, gossip: &GatewayGossip) {
    let mut usage = context.usage.lock();
    for item in &gossip.window_counts {
        usage.note_peer_count(gossip.incarnation, item.window, &item.account, item.count);
    }
}

fn apply_summary(
    context: &GatewayContext,
    gossip: &GatewayGossip,
    summary: &HubSummary,
    now: Timestamp,
) {
    let mut limits = context.account_limits.lock();
    limits.note_gossip(now);
    for item in &summary.admitted {
        limits.merge_total(now, gossip.incarnation, &item.account, item.units);
    }
    drop(limits);
    adopt_helpers(context, &summary.helpers);
    let mut peers = context.peers.lock();
    for (name, address, hub_capacity) in &summary.hubs {
        peers.note_listed(now, name.clone(), *address, *hub_capacity);
    }
    drop(peers);
    let own_incarnation = context.incarnation;
    let echo = gossip
        .echo
        .filter(|echo| echo.incarnation == own_incarnation);
    // A list that was confirmed before this entry started is better than none, but
    // does not confirm the list that this entry has.
    let start = Timestamp(0);
    let or_start = |age, sent_at| confirmation_time(sent_at, age).unwrap_or(start);
    let confirmed_at = echo.and_then(|echo| Some(or_start(echo.backends_age?, echo.sent_at)));
    if let Some(confirmed_at) = confirmed_at {
        adopt_sent_list(context, gossip, summary, confirmed_at);
    }
    note_draining(context, &summary.draining);
}
