//! Joins the retry budget to the requests, the gossip and the metrics of this entry.

use metrics::counter;
use metrics::gauge;
use parking_lot::MutexGuard;
use slog::info;

use crate::gateway::call_admission::AdmittedCall;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::peer_gossip::GatewayGossip;
use crate::gateway::retry_budget::RetryBudget;
use crate::gateway::retry_pool::PoolCredit;
use crate::gateway::retry_pool::PoolDraws;
use crate::id::EntryName;
use crate::quantity::Timestamp;

/// Takes one retry of a request out of the budget of its service. Returns whether the
/// budget allowed it.
pub fn take_retry_budget(context: &GatewayContext, call: &AdmittedCall) -> bool {
    let now = context.now();
    let rule = &context.settings.bounds.retry_budget;
    current_budget(context, now).take(now, &call.service, rule)
}

/// Returns the budget after recording what is known of the other entries.
fn current_budget(context: &GatewayContext, now: Timestamp) -> MutexGuard<'_, RetryBudget> {
    let list_confirmed_at = context.backends.lock().confirmed_at();
    let peers = context.peers.lock();
    let entries = peers.entry_counts(now).entries;
    let is_complete = peers.knows_entries(now);
    drop(peers);
    let mut budget = context.retry_budget.lock();
    budget.note_entries(now, entries, is_complete, list_confirmed_at);
    budget
}

/// Brings the budget up to date once a gossip round: the number of entries, the pool of
/// this entry, and the credit that it has there itself.
pub fn update_retry_budget(context: &GatewayContext, now: Timestamp) {
    let rule = &context.settings.bounds.retry_budget;
    let budget = current_budget(context, now);
    let entries = budget.dividing_entries(now, rule);
    let draws = budget.pool_draws();
    drop(budget);
    let name = &context.settings.name;
    let mut pool = context.retry_pool.lock();
    pool.update(now, entries);
    pool.note_report(now, name, context.incarnation, &draws);
    let credit = pool.restore(name);
    let (used, size) = pool.use_and_size();
    drop(pool);
    gauge!("cloverbend_retry_pool_used").set(used);
    gauge!("cloverbend_retry_pool_size").set(size);
    let mut budget = context.retry_budget.lock();
    budget.note_credit(name, now, credit.as_ref());
}

/// Returns the draws of this entry from pools, for its reports to hubs.
pub fn own_pool_draws(context: &GatewayContext) -> Vec<PoolDraws> {
    context.retry_budget.lock().pool_draws()
}

/// Returns the credit of an entry at this hub, which is the reply to its report.
pub fn credit_for(context: &GatewayContext, name: &EntryName) -> Option<PoolCredit> {
    context.retry_pool.lock().restore(name)
}

/// Receives the draws that the sender reports, and the credit that it gives this entry.
pub fn apply_retry_gossip(context: &GatewayContext, now: Timestamp, gossip: &GatewayGossip) {
    if gossip.reports_state && gossip.shares_retries {
        let mut pool = context.retry_pool.lock();
        pool.note_report(now, &gossip.name, gossip.incarnation, &gossip.pool_draws);
    }
    // Only replies of a hub have a summary.
    let echo = gossip.echo.filter(|_| gossip.summary.is_some());
    if let Some(echo) = echo.filter(|echo| echo.incarnation == context.incarnation) {
        let credit = gossip.pool_credit.as_ref();
        let mut budget = context.retry_budget.lock();
        budget.note_credit(&gossip.name, Timestamp(echo.sent_at), credit);
    }
}

/// Sets the metrics of the retry budget, and logs the services whose retries it refused.
pub fn report_usage(context: &GatewayContext) {
    let now = context.now();
    let rule = &context.settings.bounds.retry_budget;
    let mut budget = context.retry_budget.lock();
    let entries = budget.dividing_entries(now, rule);
    let usages = budget.take_usage(now, rule);
    drop(budget);
    for usage in usages {
        let service = usage.service.to_string();
        gauge!("cloverbend_retries_taken", "service" => service.clone()).set(usage.taken as f64);
        gauge!("cloverbend_retries_allowed", "service" => service.clone()).set(usage.allowed);
        let drawn = usage.taken as f64 - usage.earned - usage.divided;
        let sources = [
            ("earned", usage.earned),
            ("divided", usage.divided),
            ("drawn", drawn),
        ];
        for (source, retries) in sources {
            let service = service.clone();
            gauge!("cloverbend_retries_by_source", "service" => service, "source" => source)
                .set(retries);
        }
        counter!("cloverbend_retries_refused_total", "service" => service).increment(usage.refused);
        if usage.refused > 0 {
            info!(context.log, "retries refused"; "service" => %usage.service,
                "refused" => usage.refused, "taken" => usage.taken, "earned" => usage.earned,
                "divided" => usage.divided, "allowed" => usage.allowed,
                "requests" => usage.requests, "entries" => entries);
        }
    }
}
