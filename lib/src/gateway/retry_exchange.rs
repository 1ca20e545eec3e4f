//! Joins the retry budget to the requests and the metrics of this entry.

use metrics::counter;
use metrics::gauge;
use slog::info;

use crate::gateway::call_admission::AdmittedCall;
use crate::gateway::gateway_context::GatewayContext;

/// Takes one retry of a request out of the budget of its service. Returns whether the
/// budget allowed it.
pub fn take_retry_budget(context: &GatewayContext, call: &AdmittedCall) -> bool {
    let now = context.now();
    let entries = context.peers.lock().entry_counts(now).entries;
    let rule = &context.settings.bounds.retry_budget;
    let mut budget = context.retry_budget.lock();
    budget.take(now, &call.service, rule, entries)
}

/// Sets the metrics of the retry budget, and logs which services used it.
pub fn report_usage(context: &GatewayContext) {
    let now = context.now();
    let entries = context.peers.lock().entry_counts(now).entries;
    let rule = &context.settings.bounds.retry_budget;
    let usages = context.retry_budget.lock().take_usage(now, rule, entries);
    for usage in usages {
        let service = usage.service.to_string();
        gauge!("cloverbend_retries_taken", "service" => service.clone()).set(usage.taken as f64);
        gauge!("cloverbend_retries_allowed", "service" => service.clone()).set(usage.allowed);
        counter!("cloverbend_retries_refused_total", "service" => service).increment(usage.refused);
        if usage.refused > 0 {
            info!(context.log, "retries refused"; "service" => %usage.service,
                "refused" => usage.refused, "taken" => usage.taken, "allowed" => usage.allowed,
                "requests" => usage.requests, "entries" => entries);
        }
    }
}
