//! Serves one caller's request, from its head to the head of its answer.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;
use hyper::body::Incoming;
use metrics::counter;
use metrics::histogram;
use slog::info;

use crate::gateway::backend_pool::Exchange;
use crate::gateway::backend_record::BackendOutcome;
use crate::gateway::call_admission::AdmittedCall;
use crate::gateway::call_admission::admit_call;
use crate::gateway::call_admission::give_back;
use crate::gateway::call_admission::onward_headers;
use crate::gateway::call_dispatch::SendPlan;
use crate::gateway::call_dispatch::SentCall;
use crate::gateway::call_dispatch::next_send;
use crate::gateway::call_head::CallHead;
use crate::gateway::call_log::count_usage;
use crate::gateway::call_log::log_end;
use crate::gateway::call_log::log_send;
use crate::gateway::call_log::note_outcome;
use crate::gateway::call_refusal::CallRefusal;
use crate::gateway::event_relay::CallBody;
use crate::gateway::event_relay::EventRelay;
use crate::gateway::event_relay::full_body;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::log_budget::LineClass;
use crate::gateway::response_body::AnswerBody;
use crate::gateway::response_body::collect_body;
use crate::gateway::response_passthrough::AnswerPassage;
use crate::gateway::send_guard::RESPONSE_INTERRUPTED;
use crate::gateway::send_guard::SERVER_RESTARTED;
use crate::quantity::Timestamp;

/// Serves one request.
pub async fn serve_call(
    context: Arc<GatewayContext>,
    request: Request<Incoming>,
) -> Response<CallBody> {
    let arrived = context.now();
    let (parts, body) = request.into_parts();
    let head = context.platform.format.decode_call(&parts.headers);
    let id = head
        .as_ref()
        .map_or(String::new(), |head| head.id.0.clone());
    let result = match head {
        Ok(head) => serve_decoded(&context, head, parts, body, arrived).await,
        Err(error) => Err(CallRefusal::BadHead(error)),
    };
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => refuse(&context, &id, &refusal, arrived),
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
    arrived: Timestamp,
) -> Response<CallBody> {
    counter!("cloverbend_calls_refused_total", "reason" => refusal.word()).increment(1);
    let status = refusal.status();
    if context.may_log(id, LineClass::Failure) {
        let config = context.config.lock();
        let (revision, age) = (config.revision(), config.age(context.now()));
        drop(config);
        info!(context.log, "request refused"; "request" => id, "reason" => refusal.word(),
            "status" => status.as_u16(), "revision" => revision.0,
            "revision_age_ms" => age.map(|age| age.as_millis() as u64),
            "after_ms" => context.now().since(arrived).as_millis() as u64);
    }
    let mut response = Response::new(full_body(Bytes::from(format!("{}\n", refusal.word()))));
    *response.status_mut() = status;
    if let Some(after) = refusal.retry_after() {
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
    arrived: Timestamp,
) -> Result<Response<CallBody>, CallRefusal> {
    let call = admit_call(context, head, parts, body, arrived).await?;
    let now = context.now();
    let rule = &context.settings.bounds.resend;
    context
        .retry_budget
        .lock()
        .note_request(now, &call.service, rule);
    match serve_admitted(context, call).await {
        Ok(response) => Ok(response),
        Err((call, refusal)) => {
            if !refusal.may_have_run() {
                give_back(context, &call);
            }
            Err(refusal)
        }
    }
}

type CallResult = Result<Response<CallBody>, (AdmittedCall, CallRefusal)>;

async fn serve_admitted(context: &Arc<GatewayContext>, call: AdmittedCall) -> CallResult {
    let mut plan = SendPlan::new(&call);
    // The failure of an earlier backend server, in case no other one answers.
    let mut failure: Option<Response<CallBody>> = None;
    loop {
        let mut sent = match next_send(context, &call, &mut plan, None).await {
            Ok(sent) => sent,
            Err(refusal) => return failure.ok_or((call, refusal)),
        };
        let status = sent.exchange.response.status();
        if call.route.streaming && status.is_success() {
            return Ok(EventRelay::start(Arc::clone(context), call, plan, sent));
        }
        count_usage(context, call.account_name());
        let backend = sent.guard.backend().clone();
        let refusal = match collect_answer(context, &call, &mut sent).await {
            Ok(AnswerBody::Begun(begun)) => {
                let context = Arc::clone(context);
                return Ok(AnswerPassage::start(context, call, sent, begun));
            }
            Ok(AnswerBody::Whole(body)) => {
                let response = whole_answer(context, &call, sent, body);
                if status.is_server_error() && may_send_again(context, &call, &plan) {
                    log_send(context, &call, &backend, "failed_try_again");
                    failure = Some(response);
                    continue;
                }
                log_end(context, &call, &backend, status);
                return Ok(response);
            }
            Err(refusal) => refusal,
        };
        // The connection closes, which stops the backend server.
        drop(sent);
        log_send(context, &call, &backend, refusal.word());
        if refusal != CallRefusal::Lost || !may_send_again(context, &call, &plan) {
            return Err((call, refusal));
        }
    }
}

fn may_send_again(context: &GatewayContext, call: &AdmittedCall, plan: &SendPlan) -> bool {
    plan.may_run_again(call) && plan.take_budget(context, call)
}

async fn collect_answer(
    context: &GatewayContext,
    call: &AdmittedCall,
    sent: &mut SentCall,
) -> Result<AnswerBody, CallRefusal> {
    let body = collect_body(&context.byte_budget, sent.exchange.response.body_mut());
    let collected = tokio::select! {
        biased;
        collected = context.clock.timeout_at(call.until, body) => collected,
        () = sent.guard.restart_token.cancelled() => {
            sent.guard.note_interrupted(SERVER_RESTARTED);
            return Err(CallRefusal::Lost);
        }
    };
    match collected {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(_)) => {
            note_outcome(context, sent.guard.backend(), BackendOutcome::Broken);
            sent.guard.note_interrupted(RESPONSE_INTERRUPTED);
            Err(CallRefusal::Lost)
        }
        Err(_) => Err(CallRefusal::TimedOut),
    }
}

/// Builds the answer to the caller from one that was read whole.
fn whole_answer(
    context: &GatewayContext,
    call: &AdmittedCall,
    sent: SentCall,
    body: Bytes,
) -> Response<CallBody> {
    let Exchange {
        response,
        connection,
    } = sent.exchange;
    let (parts, _) = response.into_parts();
    sent.guard.note_completed();
    context
        .pool
        .return_connection(sent.guard.backend(), connection, sent.answer.keep_alive);
    let mut response = Response::from_parts(parts, full_body(body));
    *response.headers_mut() = onward_headers(std::mem::take(response.headers_mut()));
    histogram!("cloverbend_answer_seconds").record(call.taken().as_secs_f64());
    response
}
