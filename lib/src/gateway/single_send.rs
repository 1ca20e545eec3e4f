//! Sends a request once, to one backend server, and determines what became of it.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http_body_util::Full;

use crate::gateway::backend_pool::Exchange;
use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_record::BackendOutcome;
use crate::gateway::call_admission::AdmittedCall;
use crate::gateway::call_log::note_outcome;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::platform_interface::ForwardedHead;
use crate::gateway::platform_interface::ResponseHead;
use crate::gateway::relay_client::SendError;
use crate::gateway::relay_client::SendTarget;
use crate::gateway::relay_client::exchange_by_path;
use crate::gateway::report_handler::handle_report;
use crate::gateway::retry_exchange::take_retry_budget;
use crate::gateway::retry_state::RetryState;
use crate::gateway::send_choice::ChosenBackend;
use crate::gateway::send_choice::has_other_backend;
use crate::gateway::send_guard::CONNECTION_LOST;
use crate::gateway::send_guard::HELPER_LOST;
use crate::gateway::send_guard::RELAY_LOST;
use crate::gateway::send_guard::SERVER_RESTARTED;
use crate::gateway::send_guard::SendGuard;

/// The share of its target latency after which a repeatable request is retried at
/// another server. Nine in ten requests are answered within a quarter of it, so
/// the second attempt is still in time. Most others wait behind a long prompt, or
/// their server is unreachable.
const ATTEMPT_TIMEOUT_SHARE: f64 = 0.6;
/// The shortest time before a stream is retried at another server, as a multiple of
/// the expected time to its first event. The retry would take about that expected
/// time again, so a server gets it twice.
const FIRST_EVENT_FACTOR: u32 = 2;

/// The result of one send.
pub enum SendResult {
    /// The backend server began to respond.
    Responded(Box<Exchange>, ResponseHead),
    /// The backend server reported that it did not run the request.
    NotExecuted(BackendOutcome),
    /// The request was not sent.
    NotSent,
    /// The request was not sent: this entry is cut off, and no other entry can relay it.
    NoPath,
    /// The request may have run; the outcome code names the failure.
    Lost(&'static str),
    /// The attempt was given up for a retry at another server. The retry was taken
    /// out of the budget.
    Abandoned,
}

pub async fn send_to_backend(
    context: &GatewayContext,
    call: &AdmittedCall,
    retry_state: &RetryState,
    chosen: &ChosenBackend,
    resume_after: Option<u64>,
) -> SendResult {
    let backend = chosen.guard.backend();
    let target = SendTarget {
        backend,
        address: chosen.address,
        deadline: call.deadline,
    };
    let build = || build_request(context, call, backend, resume_after);
    let exchange = exchange_by_path(context, target, build);
    let mut exchange = std::pin::pin!(exchange);
    if let Some(attempt_timeout) = timeout_before_retry(call, retry_state, chosen) {
        let result = tokio::select! {
            biased;
            result = tokio::time::timeout(attempt_timeout, &mut exchange) => result,
            () = chosen.guard.restart_token.cancelled() => return SendResult::Lost(SERVER_RESTARTED),
        };
        if let Ok(result) = result {
            return classify_exchange(context, call, &chosen.guard, result);
        }
        // Without another server or budget, this attempt continues.
        if has_other_backend(context, call, retry_state) && take_retry_budget(context, call) {
            context.paths.lock().note_silence(context.now(), backend);
            return SendResult::Abandoned;
        }
    }
    tokio::select! {
        biased;
        result = context.clock.timeout_at(call.deadline, exchange) => match result {
            Ok(result) => classify_exchange(context, call, &chosen.guard, result),
            Err(_) => {
                context.paths.lock().note_silence(context.now(), backend);
                SendResult::Lost("no_answer")
            }
        },
        () = chosen.guard.restart_token.cancelled() => SendResult::Lost(SERVER_RESTARTED),
    }
}

fn classify_exchange(
    context: &GatewayContext,
    call: &AdmittedCall,
    guard: &SendGuard,
    result: Result<Exchange, SendError>,
) -> SendResult {
    match result {
        Ok(exchange) => classify_response(context, call, guard, exchange),
        Err(SendError::NotSent) => SendResult::NotSent,
        Err(SendError::Lost) => SendResult::Lost(CONNECTION_LOST),
        Err(SendError::RelayLost) => SendResult::Lost(RELAY_LOST),
        Err(SendError::HelperLost) => SendResult::Lost(HELPER_LOST),
        Err(SendError::NoPath) => SendResult::NoPath,
    }
}

/// Decodes the head of a response and determines whether it belongs to the request
/// and whether the request ran.
fn classify_response(
    context: &GatewayContext,
    call: &AdmittedCall,
    guard: &SendGuard,
    exchange: Exchange,
) -> SendResult {
    let backend = guard.backend();
    let status = exchange.response.status();
    let headers = exchange.response.headers();
    let head = context.platform.format.decode_response(status, headers);
    if let Some(load) = head.load {
        let now = context.now();
        let mut backends = context.backends.lock();
        backends.note_load(now, backend, load);
        if head.reports_pace && context.settings.load.server_pace {
            backends.note_reports_pace(backend);
        }
    }
    if head.request_id.as_ref() != Some(&call.head.id.0) {
        // A late response to an earlier request arrived instead; the connection
        // is closed.
        return SendResult::Lost("other_answer");
    }
    // A misdirected request reached another server that now has the address. Its
    // report is not about the chosen server.
    if status != StatusCode::MISDIRECTED_REQUEST {
        handle_report(context, backend, guard.sent_at(), &head.report);
    }
    if head.not_executed {
        // If another server has the address, the chosen one is gone.
        let is_replaced = status == StatusCode::MISDIRECTED_REQUEST;
        return SendResult::NotExecuted(if is_replaced {
            BackendOutcome::Broken
        } else {
            BackendOutcome::Full
        });
    }
    let outcome = if status.is_server_error() {
        BackendOutcome::Failed
    } else {
        BackendOutcome::Served
    };
    note_outcome(context, backend, outcome);
    SendResult::Responded(Box::new(exchange), head)
}

/// Returns how long to wait for the response head before the request is retried
/// at another backend server, if it may be: at most half of the time until the
/// deadline. A stream with a long prefill gets more time, because another replica
/// would start the prefill again.
fn timeout_before_retry(
    call: &AdmittedCall,
    retry_state: &RetryState,
    chosen: &ChosenBackend,
) -> Option<Duration> {
    let may_retry =
        retry_state.repeatable && retry_state.possible_runs + 1 < call.route.max_attempts;
    let target_share = call.route.target_latency.mul_f64(ATTEMPT_TIMEOUT_SHARE);
    let prefill_wait = match call.route.streaming {
        true => chosen.expected_first_event * FIRST_EVENT_FACTOR,
        false => Duration::ZERO,
    };
    may_retry.then(|| target_share.max(prefill_wait).min(call.time_left() / 2))
}

fn build_request(
    context: &GatewayContext,
    call: &AdmittedCall,
    backend: &BackendId,
    resume_after: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    let forwarded_head = ForwardedHead {
        backend,
        time_left: call.time_left(),
        account: call.account_name(),
        priority: call.head.tokens.map(|_| call.priority()),
        last_event: resume_after.or(call.head.last_event),
    };
    context
        .platform
        .format
        .encode_request(request.headers_mut(), &forwarded_head);
    request
}
