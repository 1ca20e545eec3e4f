//! Serves a caller's request until its response begins.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::Version;
use http::header;
use hyper::body::Incoming;
use metrics::counter;
use metrics::histogram;
use slog::info;
use tokio::time::Instant;

use crate::answer_delivery::AnswerDeadline;
use crate::gateway::backend_pool::Exchange;
use crate::gateway::call_admission::AdmittedCall;
use crate::gateway::call_admission::admit_call;
use crate::gateway::call_admission::refund_units;
use crate::gateway::call_admission::strip_hop_headers;
use crate::gateway::call_dispatch::BackendResponse;
use crate::gateway::call_dispatch::send_until_response;
use crate::gateway::call_head::CallHead;
use crate::gateway::call_log::count_usage;
use crate::gateway::call_log::log_request_answered;
use crate::gateway::call_log::log_send_failed;
use crate::gateway::call_refusal::CallRefusal;
use crate::gateway::event_relay::CallerBody;
use crate::gateway::event_relay::EventRelay;
use crate::gateway::event_relay::full_body;
use crate::gateway::event_relay::is_event_stream;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::log_budget::LineClass;
use crate::gateway::response_body::ResponseBody;
use crate::gateway::response_body::collect_response_body;
use crate::gateway::response_passthrough::ResponsePassthrough;
use crate::gateway::retry_exchange::take_retry_budget;
use crate::gateway::retry_state::RetryState;
use crate::gateway::send_guard::RESPONSE_INTERRUPTED;
use crate::gateway::send_guard::SERVER_RESTARTED;
use crate::quantity::Timestamp;

/// Serves one request and returns the response to the caller, which may be a
/// refusal.
pub async fn serve_call(
    context: Arc<GatewayContext>,
    request: Request<Incoming>,
) -> Response<CallerBody> {
    let arrived_at = context.now();
    let (parts, body) = request.into_parts();
    let head = context.platform.format.decode_call(&parts.headers);
    let id = head
        .as_ref()
        .map_or(String::new(), |head| head.id.0.clone());
    let result = match head {
        Ok(head) => serve_decoded(&context, head, parts, body, arrived_at).await,
        Err(error) => Err(CallRefusal::BadHead(error)),
    };
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => refuse(&context, &id, &refusal, arrived_at),
    };
    if context.is_draining() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

fn refuse(
    context: &GatewayContext,
    id: &str,
    refusal: &CallRefusal,
    arrived_at: Timestamp,
) -> Response<CallerBody> {
    counter!("cloverbend_calls_refused_total", "reason" => refusal.code()).increment(1);
    let status = refusal.status();
    let retry_after = refusal.retry_after();
    if context.may_log(id, LineClass::Failure) {
        let config = context.config.lock();
        let (revision, age) = (config.revision(), config.age(context.now()));
        drop(config);
        // The last field is written first, and lines may be cut short.
        info!(context.log, "request refused"; "is_return" => refusal.is_return(),
            "after_ms" => context.now().since(arrived_at).as_millis() as u64,
            "retry_after_ms" => retry_after.map(|after| after.as_millis() as u64),
            "revision_age_ms" => age.map(|age| age.as_millis() as u64),
            "revision" => revision.0, "status" => status.as_u16(),
            "reason" => refusal.code(), "request" => id);
    }
    let mut response = Response::new(full_body(Bytes::from(format!("{}\n", refusal.code()))));
    *response.status_mut() = status;
    if let Some(after) = retry_after {
        let text = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

async fn serve_decoded(
    context: &Arc<GatewayContext>,
    head: CallHead,
    parts: http::request::Parts,
    body: Incoming,
    arrived_at: Timestamp,
) -> Result<Response<CallerBody>, CallRefusal> {
    let call = admit_call(context, head, parts, body, arrived_at).await?;
    let now = context.now();
    let rule = &context.settings.bounds.retry_budget;
    context
        .retry_budget
        .lock()
        .note_request(now, &call.service, rule);
    let deadline = call.deadline;
    let mut response = serve_admitted(context, call).await?;
    let left = context.clock.left(deadline);
    let answer_deadline = AnswerDeadline(Instant::now() + left);
    response.extensions_mut().insert(answer_deadline);
    Ok(response)
}

/// Refunds the units of a request that certainly did not run.
fn refund_unless_run(
    context: &GatewayContext,
    call: &AdmittedCall,
    refusal: CallRefusal,
) -> CallRefusal {
    if !refusal.may_have_run() {
        refund_units(context, call);
    }
    refusal
}

async fn serve_admitted(
    context: &Arc<GatewayContext>,
    call: AdmittedCall,
) -> Result<Response<CallerBody>, CallRefusal> {
    let mut retry_state = RetryState::new(&call);
    // The error response of an earlier attempt. The caller gets it if no other
    // server responds.
    let mut error_response: Option<Response<CallerBody>> = None;
    loop {
        let mut backend_response = match send_until_response(context, &call, &mut retry_state, None)
            .await
        {
            Ok(backend_response) => backend_response,
            Err(refusal) => {
                return error_response.ok_or_else(|| refund_unless_run(context, &call, refusal));
            }
        };
        let status = backend_response.exchange.response.status();
        if call.route.streaming && is_event_stream(&backend_response.exchange.response) {
            let context = Arc::clone(context);
            return EventRelay::start(context, call, retry_state, backend_response).await;
        }
        count_usage(context, call.account_name());
        let backend = backend_response.guard.backend().clone();
        let refusal = match collect_response(context, &call, &mut backend_response).await {
            Ok(ResponseBody::Partial(partial)) => {
                let context = Arc::clone(context);
                return Ok(ResponsePassthrough::start(
                    context,
                    call,
                    backend_response,
                    partial,
                ));
            }
            Ok(ResponseBody::Complete(body)) => {
                let response = complete_response(context, &call, backend_response, body);
                if status.is_server_error() && take_retry(context, &call, &retry_state) {
                    log_send_failed(context, &call, &backend, "failed_try_again");
                    error_response = Some(response);
                    continue;
                }
                log_request_answered(context, &call, &backend, status);
                return Ok(response);
            }
            Err(refusal) => refusal,
        };
        // Closes the connection, so that the backend server stops its work.
        drop(backend_response);
        log_send_failed(context, &call, &backend, refusal.code());
        if refusal != CallRefusal::Lost || !take_retry(context, &call, &retry_state) {
            return Err(refund_unless_run(context, &call, refusal));
        }
    }
}

/// Returns whether the request may be retried, and takes the retry out of the
/// budget.
fn take_retry(context: &GatewayContext, call: &AdmittedCall, retry_state: &RetryState) -> bool {
    retry_state.may_retry(call) && take_retry_budget(context, call)
}

async fn collect_response(
    context: &GatewayContext,
    call: &AdmittedCall,
    backend_response: &mut BackendResponse,
) -> Result<ResponseBody, CallRefusal> {
    let body = collect_response_body(
        &context.byte_budget,
        backend_response.exchange.response.body_mut(),
    );
    let collected = tokio::select! {
        biased;
        collected = context.clock.timeout_at(call.deadline, body) => collected,
        () = backend_response.guard.restart_token.cancelled() => {
            backend_response.guard.note_interrupted(SERVER_RESTARTED);
            return Err(CallRefusal::Lost);
        }
    };
    match collected {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(_)) => {
            backend_response.guard.note_broken();
            backend_response
                .guard
                .note_interrupted(RESPONSE_INTERRUPTED);
            Err(CallRefusal::Lost)
        }
        Err(_) => Err(CallRefusal::TimedOut),
    }
}

/// Builds the response to the caller from a completely buffered one.
fn complete_response(
    context: &GatewayContext,
    call: &AdmittedCall,
    backend_response: BackendResponse,
    body: Bytes,
) -> Response<CallerBody> {
    let Exchange {
        response,
        connection,
    } = backend_response.exchange;
    let (parts, _) = response.into_parts();
    backend_response.guard.note_completed();
    context.pool.return_connection(
        backend_response.guard.backend(),
        connection,
        backend_response.head.keep_alive,
    );
    let mut response = Response::from_parts(parts, full_body(body));
    // The server's version says nothing of the connection to the caller.
    *response.version_mut() = Version::HTTP_11;
    *response.headers_mut() = strip_hop_headers(std::mem::take(response.headers_mut()));
    histogram!("cloverbend_answer_seconds").record(call.elapsed().as_secs_f64());
    response
}
