//! Counts and log lines about one request.

use http::StatusCode;
use metrics::counter;
use slog::info;

use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_record::BackendOutcome;
use crate::gateway::call_admission::AdmittedCall;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::log_budget::LineClass;
use crate::id::AccountName;

/// Counts the usage of a request that began to run.
pub fn count_usage(context: &GatewayContext, account: Option<&AccountName>) {
    if let Some(account) = account {
        let window = context.usage_window();
        context.usage.lock().count(window, account);
    }
}

/// Notes how a request ended at a backend server.
pub fn note_outcome(context: &GatewayContext, backend: &BackendId, outcome: BackendOutcome) {
    let now = context.now();
    let pause = context.backends.lock().note_outcome(now, backend, outcome);
    if let Some(pause) = pause {
        counter!("cloverbend_backend_exclusions_total").increment(1);
        info!(context.log, "backend server left out"; "backend" => %backend,
            "outcome" => ?outcome, "for_ms" => pause.as_millis() as u64);
    }
}

/// Logs that a backend server began to answer.
pub fn log_sent(context: &GatewayContext, call: &AdmittedCall, backend: &BackendId, unread: u64) {
    if !context.may_log(&call.head.id.0, LineClass::Step) {
        return;
    }
    info!(context.log, "request sent"; "request" => %call.head.id, "digest" => %call.digest,
        "route" => &call.route.name, "account" => call.account_name().map(AccountName::as_str), "backend" => %backend,
        "unread_tokens" => unread, "target_ms" => call.route.target_latency.as_millis() as u64,
        "left_ms" => call.left().as_millis() as u64);
}

/// Logs what became of one send.
pub fn log_send(context: &GatewayContext, call: &AdmittedCall, backend: &BackendId, word: &str) {
    counter!("cloverbend_sends_failed_total", "outcome" => word.to_owned()).increment(1);
    if !context.may_log(&call.head.id.0, LineClass::Failure) {
        return;
    }
    info!(context.log, "send failed"; "request" => %call.head.id, "digest" => %call.digest,
        "route" => &call.route.name, "backend" => %backend, "outcome" => word, "left_ms" => call.left().as_millis() as u64);
}

/// Counts and logs an answer that was passed on whole.
pub fn log_end(
    context: &GatewayContext,
    call: &AdmittedCall,
    backend: &BackendId,
    status: StatusCode,
) {
    counter!("cloverbend_calls_answered_total").increment(1);
    if !context.may_log(&call.head.id.0, LineClass::Step) {
        return;
    }
    info!(context.log, "request answered"; "request" => %call.head.id, "backend" => %backend,
        "status" => status.as_u16(), "after_ms" => call.taken().as_millis() as u64);
}
