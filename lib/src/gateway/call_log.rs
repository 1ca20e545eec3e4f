//! Metrics and log lines about one request.

use http::StatusCode;
use metrics::counter;
use slog::KV;
use slog::Record;
use slog::Serializer;
use slog::info;

use crate::gateway::backend_choice::BackendChoice;
use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_record::BackendOutcome;
use crate::gateway::backend_state::BackendState;
use crate::gateway::call_admission::AdmittedCall;
use crate::gateway::call_work::WorkEstimate;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::log_budget::LineClass;
use crate::gateway::send_guard::SendGuard;
use crate::gateway::shared_admission::AdmissionRefusal;
use crate::id::AccountName;
use crate::id::ServerVersion;

/// Counts a request that began to run in the usage of its account.
pub fn count_usage(context: &GatewayContext, account: Option<&AccountName>) {
    if let Some(account) = account {
        let window = context.usage_window();
        context.usage.lock().count(window, account);
    }
}

/// Records how a request ended at a backend server, which may eject the server. A broken
/// path is not charged to a server that other entries reach.
pub fn note_outcome(context: &GatewayContext, backend: &BackendId, outcome: BackendOutcome) {
    let now = context.now();
    let ejection_time = context.backends.lock().note_outcome(now, backend, outcome);
    if let Some(ejection_time) = ejection_time {
        counter!("cloverbend_backend_exclusions_total").increment(1);
        info!(context.log, "backend server ejected"; "backend" => %backend,
            "outcome" => ?outcome, "for_ms" => ejection_time.as_millis() as u64);
    }
}

/// The keys of a log line about estimated work. There are none without an estimate.
struct WorkKeys<'a>(Option<&'a WorkEstimate>);

impl KV for WorkKeys<'_> {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        let Some(work) = self.0 else {
            return Ok(());
        };
        serializer.emit_u64("slot_ms", work.slot_time().as_millis() as u64)?;
        serializer.emit_str("estimated_by", work.generation.basis.label())
    }
}

/// Logs that a backend server began to respond.
pub fn log_request_sent(
    context: &GatewayContext,
    call: &AdmittedCall,
    guard: &SendGuard,
    resume_after: Option<u64>,
) {
    if !context.may_log(&call.head.id.0, LineClass::Step) {
        return;
    }
    info!(context.log, "request sent"; "request" => %call.head.id, "digest" => %call.digest,
        "route" => &call.route.name, "account" => call.account_name().map(AccountName::as_str), "backend" => %guard.backend(),
        "service" => %call.service, "version" => guard.version().map(ServerVersion::as_str),
        "begun_by" => call.head.resumes.as_ref().map(|id| id.0.as_str()),
        "after_event" => resume_after.or(call.head.last_event),
        "unread_tokens" => guard.prefill_tokens(), "target_ms" => call.route.target_latency.as_millis() as u64,
        "left_ms" => call.time_left().as_millis() as u64, WorkKeys(guard.work_estimate()));
}

/// Counts and logs a request for which a service has no room.
pub fn log_crowded_out(context: &GatewayContext, call: &AdmittedCall, refusal: &AdmissionRefusal) {
    let cause = refusal.cause.code();
    counter!("cloverbend_calls_crowded_out_total", "cause" => cause).increment(1);
    if !context.may_log(&call.head.id.0, LineClass::Failure) {
        return;
    }
    let account = refusal.share.account;
    info!(context.log, "request crowded out"; "request" => %call.head.id, "cause" => cause,
        "service" => %call.service, "urgency" => call.priority(),
        "account" => call.account_name().map(AccountName::as_str),
        "refused_share" => refusal.level, "admitted_share" => refusal.share.admitted,
        "account_demand" => account.demand, "account_share" => account.fair_share);
}

/// Counts and logs a request that is refused because the best server for it is full.
pub fn log_shed(
    context: &GatewayContext,
    call: &AdmittedCall,
    choice: &BackendChoice,
    backend: &BackendState,
) {
    counter!("cloverbend_calls_shed_total").increment(1);
    if !context.may_log(&call.head.id.0, LineClass::Failure) {
        return;
    }
    info!(context.log, "request shed"; "request" => %call.head.id, "service" => %call.service,
        "urgency" => call.priority(), "backend" => %choice.id, "candidates" => choice.candidates,
        "slot_wait_ms" => choice.slot_wait.as_millis() as u64,
        "first_event_ms" => choice.first_event.as_millis() as u64,
        "slots" => backend.record.slots, "own_requests" => backend.in_flight,
        "other_requests" => backend.peer_in_flight,
        "unread_tokens" => backend.pending_tokens + backend.peer_pending_tokens,
        "failure_share" => backend.failure_share);
}

/// The most shared blocks of a prompt that a log line names.
const MAX_LOGGED_BLOCKS: usize = 8;

/// Names the blocks of a prompt that other requests may share, as their callers do.
fn shared_block_names(call: &AdmittedCall) -> String {
    let shared = call.head.shared_blocks().iter();
    let names = shared
        .take(MAX_LOGGED_BLOCKS)
        .map(|block| format!("{:x}", block.id));
    names.collect::<Vec<_>>().join(",")
}

/// Counts and logs a send that failed.
pub fn log_send_failed(
    context: &GatewayContext,
    call: &AdmittedCall,
    backend: &BackendId,
    outcome: &str,
) {
    counter!("cloverbend_sends_failed_total", "outcome" => outcome.to_owned()).increment(1);
    if !context.may_log(&call.head.id.0, LineClass::Failure) {
        return;
    }
    info!(context.log, "send failed"; "request" => %call.head.id, "digest" => %call.digest,
        "route" => &call.route.name, "backend" => %backend, "outcome" => outcome,
        "shared_parts" => shared_block_names(call), "left_ms" => call.time_left().as_millis() as u64);
}

/// Counts and logs a response that was passed on completely.
pub fn log_request_answered(
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
        "status" => status.as_u16(), "after_ms" => call.elapsed().as_millis() as u64);
}
