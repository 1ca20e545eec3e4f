//! The HTTP interface of an entry, as a gotham router.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;

use bytes::Bytes;
use gotham::handler::HandlerResult;
use gotham::helpers::http::Body;
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::single_middleware;
use gotham::pipeline::single_pipeline;
use gotham::prelude::DefineSingleRoute;
use gotham::prelude::DrawRoutes;
use gotham::prelude::StateData;
use gotham::router::Router;
use gotham::router::builder::build_router;
use gotham::state::FromState;
use gotham::state::State;
use http::Method;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use http_body_util::BodyExt;
use http_body_util::Full;
use metrics::counter;
use serde::Serialize;

use crate::caller::CallerRequest;
use crate::chat_stream::EventId;
use crate::entry_context::EntryContext;
use crate::metrics_export::render_metrics;
use crate::refusal::Refusal;
use crate::refusal::RefusalBody;
use crate::refusal::RefusalCode;

const STREAM_PREFIX: &str = "/v1/streams/";
const TRACE_PREFIX: &str = "/v1/traces/";

/// A handler that panics leaves the tables as they are between two steps, and
/// their locks are not poisoned, so that sharing them across is sound.
#[derive(Clone, StateData)]
struct ApiState(Arc<AssertUnwindSafe<Arc<EntryContext>>>);

/// Builds the router of an entry.
pub fn build_api(context: Arc<EntryContext>) -> Router {
    let middleware = StateMiddleware::new(ApiState(Arc::new(AssertUnwindSafe(context))));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    let methods = vec![
        Method::GET,
        Method::POST,
        Method::PUT,
        Method::PATCH,
        Method::DELETE,
    ];
    build_router(chain, pipelines, |route| {
        route.get("/v1/entries").to_async(entries);
        route.get("/v1/status").to_async(status);
        route.get("/metrics").to_async(metrics_text);
        route.get("/v1/traces/*").to_async(trace);
        route.get("/v1/streams/*").to_async(stream);
        route.post("/v1/chat/completions").to_async(chat);
        route
            .request(methods.clone(), "/v1/services/*")
            .to_async(call);
        route.request(methods, "/*").to_async(no_path);
    })
}

fn context_of(state: &State) -> Arc<EntryContext> {
    let ApiState(shared) = ApiState::borrow_from(state);
    Arc::clone(&shared.0)
}

async fn read(state: &mut State, context: &EntryContext) -> Result<CallerRequest, Refusal> {
    CallerRequest::read(state, context.settings.limits.max_body.0).await
}

async fn entries(mut state: State) -> HandlerResult {
    let context = context_of(&state);
    let answer = match read(&mut state, &context).await {
        Ok(request) => context.entries_answer(&request),
        Err(refusal) => Err(refusal),
    };
    finish(state, answer.map(|answer| json_response(&answer)))
}

async fn status(state: State) -> HandlerResult {
    let answer = context_of(&state).status_answer();
    finish(state, Ok(json_response(&answer)))
}

async fn metrics_text(state: State) -> HandlerResult {
    let text = render_metrics();
    let response = text_response(StatusCode::OK, "text/plain; version=0.0.4", text.into());
    finish(state, Ok(response))
}

async fn trace(state: State) -> HandlerResult {
    let context = context_of(&state);
    let uri = http::Uri::borrow_from(&state);
    let trace = uri.path().strip_prefix(TRACE_PREFIX).unwrap_or_default();
    let spans = context.spans.trace(trace);
    finish(state, Ok(json_response(&spans)))
}

async fn chat(mut state: State) -> HandlerResult {
    let context = context_of(&state);
    let answer = match read(&mut state, &context).await {
        Ok(request) => context.chat(request).await,
        Err(refusal) => Err(refusal),
    };
    finish(state, answer)
}

async fn call(mut state: State) -> HandlerResult {
    let context = context_of(&state);
    let answer = match read(&mut state, &context).await {
        Ok(request) => context.call(request).await,
        Err(refusal) => Err(refusal),
    };
    finish(state, answer)
}

async fn stream(mut state: State) -> HandlerResult {
    let context = context_of(&state);
    let answer = match read(&mut state, &context).await {
        Ok(request) => continue_stream(&context, request).await,
        Err(refusal) => Err(refusal),
    };
    finish(state, answer)
}

/// Continues a stream named by its path, behind `Last-Event-ID` if given.
async fn continue_stream(
    context: &Arc<EntryContext>,
    request: CallerRequest,
) -> Result<Response<Body>, Refusal> {
    let caller = context.authenticate(&request)?;
    let path = request.uri.path();
    let name = path.strip_prefix(STREAM_PREFIX).unwrap_or_default();
    let whole = format!("{name}:0");
    let event = request.header(crate::caller::LAST_EVENT_ID);
    let event: EventId = event.unwrap_or(&whole).parse()?;
    context.resume(request, caller, event).await
}

async fn no_path(state: State) -> HandlerResult {
    let path = http::Uri::borrow_from(&state).path().to_owned();
    let message = format!("path: {path:?} is not known");
    let refusal = Refusal::not_run(RefusalCode::UnknownPath, message);
    finish(state, Err(refusal))
}

fn finish(state: State, answer: Result<Response<Body>, Refusal>) -> HandlerResult {
    let response = answer.unwrap_or_else(refusal_response);
    Ok((state, response))
}

/// Renders a refusal, with the standard header that says when to come back.
fn refusal_response(refusal: Refusal) -> Response<Body> {
    counter!("cloverbend_refusals_total", "code" => refusal.code.to_string(),
        "ran" => refusal.ran.to_string())
    .increment(1);
    let status = refusal.code.status();
    let retry_after = refusal.retry_after_ms;
    let mut response = json_response(&RefusalBody { error: refusal });
    *response.status_mut() = status;
    if let Some(millis) = retry_after {
        let seconds = millis.div_ceil(1_000);
        response.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    response
}

fn json_response<T: Serialize>(value: &T) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    text_response(StatusCode::OK, "application/json", body.into())
}

fn text_response(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<Body> {
    let body = Body::new(Full::new(body).map_err(|never| match never {}));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let value = http::HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}
