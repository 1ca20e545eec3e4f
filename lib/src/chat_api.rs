//! Chat completions for callers, streamed as server-sent events.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::TryStreamExt;
use gotham::helpers::http::Body;
use http::Response;
use http::StatusCode;
use http::header::CACHE_CONTROL;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Frame;
use metrics::counter;
use metrics::histogram;
use opentelemetry::trace::SpanKind;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::answer_follower::AnswerFollower;
use crate::answer_follower::FollowEvent;
use crate::caller::CallerRequest;
use crate::caller::KnownCaller;
use crate::caller::LAST_EVENT_ID;
use crate::caller::price_number;
use crate::caller::zone_texts;
use crate::chat_stream::EventId;
use crate::chat_stream::resume_request;
use crate::chat_stream::stream_frames;
use crate::configuration::RepeatRule;
use crate::configuration::ServiceConfig;
use crate::configuration::ServiceKind;
use crate::entry_context::EntryContext;
use crate::holder_action::AcceptError;
use crate::holder_action::TicketUse;
use crate::id::ChunkPosition;
use crate::id::ServiceName;
use crate::pair::RequestKey;
use crate::prefix::BYTES_PER_TOKEN;
use crate::prefix::prefix_blocks;
use crate::quantity::TokenCount;
use crate::refusal::Refusal;
use crate::refusal::RefusalCode;
use crate::request::AcceptedRequest;
use crate::routing::RouteQuery;
use crate::trace::HopSpan;

/// The header that tells a caller the name of its request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The header that tells a caller the trace of its request.
pub const TRACE_ID_HEADER: &str = "x-trace-id";
/// The tokens generated for a request that names no limit.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Who speaks.
    pub role: String,
    /// The text.
    pub content: String,
}

/// The fields of a chat request that this system reads. Others are passed on
/// to the engine as they are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatBody {
    /// The service's name.
    pub model: ServiceName,
    /// The conversation so far.
    pub messages: Vec<ChatMessage>,
    /// The most tokens to generate.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub max_tokens: Option<u64>,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
}

impl ChatBody {
    /// Returns the text whose prefixes engines cache.
    pub fn prompt_text(&self) -> String {
        let mut text = String::new();
        for message in &self.messages {
            text.push_str(&message.role);
            text.push('\n');
            text.push_str(&message.content);
            text.push('\n');
        }
        text
    }
}

impl EntryContext {
    /// Handles `POST /v1/chat/completions`.
    ///
    /// # Errors
    ///
    /// Every refusal, before any part of the answer was sent.
    pub async fn chat(self: &Arc<Self>, request: CallerRequest) -> Result<Response<Body>, Refusal> {
        let caller = self.authenticate(&request)?;
        let event = request.header(LAST_EVENT_ID).map(str::parse::<EventId>);
        if let Some(event) = event {
            return self.resume(request, caller, event?).await;
        }
        let chat = parse_chat(&request.body)?;
        let service = find_model(&caller, &chat.model)?;
        let ticket = request.ticket()?;
        if let Some(key) = ticket {
            let routed = self
                .route_ticket(&request, key, RepeatRule::Repeatable)
                .await?;
            if let Some(response) = routed {
                return Ok(response);
            }
        }
        let mut span = self
            .spans
            .start("entry", SpanKind::Server, request.traceparent());
        span.set("service", &chat.model);
        span.set("account", &caller.account.name);
        let accepted = self.accept_chat(&request, &caller, &chat, &service, ticket, &span);
        let key = accepted.inspect_err(|refusal| span.fail(refusal))?;
        span.set("request", key);
        let follower = self.follow(key, ChunkPosition(0));
        self.answer_chat(request, follower, chat, span).await
    }

    fn accept_chat(
        self: &Arc<Self>,
        request: &CallerRequest,
        caller: &KnownCaller,
        chat: &ChatBody,
        service: &ServiceConfig,
        ticket: Option<RequestKey>,
        span: &HopSpan,
    ) -> Result<RequestKey, Refusal> {
        let time_left = request.time_left(self.settings.limits.default_deadline)?;
        let prompt = chat.prompt_text();
        let tokens = TokenCount(prompt.len().div_ceil(BYTES_PER_TOKEN) as u64);
        let blocks = prefix_blocks(prompt.as_bytes());
        let decision = self.decide_policy(caller, &chat.model, tokens)?;
        let query = RouteQuery {
            blocks: &blocks,
            prompt: tokens,
            zones: decision.zones.as_ref(),
            max_price: decision.max_price,
            avoid: None,
        };
        self.check_wait(service, &query, time_left)?;
        let key = match ticket {
            Some(key) => key,
            None => self.tables.requests.lock().holder.issue_ticket(),
        };
        let accepted = AcceptedRequest {
            service: chat.model.to_string(),
            account: caller.account.name.to_string(),
            priority: u32::from(decision.priority.0),
            zones: zone_texts(decision.zones.as_ref()),
            max_price: price_number(decision.max_price),
            time_left_ms: time_left.as_millis() as u64,
            method: "POST".to_owned(),
            path: request.uri.path().to_owned(),
            content_type: "application/json".to_owned(),
            body: request.body.clone(),
            traceparent: span.traceparent(),
            model: true,
            prompt_tokens: tokens.0,
            max_tokens: chat.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            prefix_blocks: blocks,
        };
        self.take_in(caller, key, RepeatRule::Repeatable, accepted)?;
        Ok(key)
    }

    /// Counts a request against its limits and takes it in.
    ///
    /// # Errors
    ///
    /// A limit that is used up, or a ticket that cannot be used; the request
    /// did not run then, unless the refusal says otherwise.
    pub fn take_in(
        self: &Arc<Self>,
        caller: &KnownCaller,
        key: RequestKey,
        rule: RepeatRule,
        request: AcceptedRequest,
    ) -> Result<TicketUse, Refusal> {
        self.check_owner(caller, key)?;
        if let Some(phase) = self.tables.requests.lock().holder.phase(key) {
            return Ok(TicketUse::Again(phase));
        }
        self.grant_limits(caller)?;
        if let Ok(service) = request.service.parse() {
            let percent = caller
                .config
                .service(&service)
                .map_or(0, |s| s.retry_percent);
            let mut limits = self.tables.limits.lock();
            limits.retries.earn(&service, percent);
        }
        let account = &caller.account.name;
        let accepted = self.accept_request(key, rule, account, request);
        let counted = matches!(accepted, Ok(TicketUse::First));
        if !counted {
            self.tables.limits.lock().accounts.release(account);
        }
        accepted.map_err(|error| self.accept_refusal(error))
    }

    fn check_owner(&self, caller: &KnownCaller, key: RequestKey) -> Result<(), Refusal> {
        let table = self.tables.requests.lock();
        let owner = table.answers.get(&key).map(|entry| &entry.account);
        if owner.is_some_and(|owner| *owner != caller.account.name) {
            let message = "the ticket was used by another client account";
            return Err(Refusal::unknown(RefusalCode::ForeignTicket, message));
        }
        Ok(())
    }

    fn accept_refusal(&self, error: AcceptError) -> Refusal {
        let mut table = self.tables.requests.lock();
        match error {
            AcceptError::Leaving => {
                drop(table);
                Refusal::not_run(RefusalCode::Leaving, error).at_entries(self.other_addresses())
            }
            AcceptError::NotIssuedHere => Refusal::not_run(RefusalCode::BadTicket, error)
                .with_ticket(table.holder.issue_ticket()),
            AcceptError::FormerPair => Refusal::not_run(RefusalCode::StaleTicket, error)
                .with_ticket(table.holder.issue_ticket()),
            AcceptError::Expired => Refusal::unknown(RefusalCode::StaleTicket, error)
                .with_ticket(table.holder.issue_ticket()),
            AcceptError::Full => {
                drop(table);
                Refusal::not_run(RefusalCode::Overloaded, error).at_entries(self.other_addresses())
            }
        }
    }

    /// Continues a stream behind an event that the caller has.
    ///
    /// # Errors
    ///
    /// A stream that is not known to any entry that can be reached.
    pub async fn resume(
        self: &Arc<Self>,
        request: CallerRequest,
        caller: KnownCaller,
        event: EventId,
    ) -> Result<Response<Body>, Refusal> {
        let routed = self
            .route_ticket(&request, event.key, RepeatRule::Repeatable)
            .await?;
        if let Some(response) = routed {
            return Ok(response);
        }
        self.check_owner(&caller, event.key)?;
        counter!("cloverbend_streams_resumed_total").increment(1);
        let mut span = self
            .spans
            .start("resume", SpanKind::Server, request.traceparent());
        span.set("request", event.key);
        let follower = self.follow(event.key, event.next);
        let chat = ChatBody {
            model: self.model_of(event.key),
            messages: Vec::new(),
            max_tokens: None,
            stream: true,
        };
        self.answer_chat(request, follower, chat, span).await
    }

    fn model_of(&self, key: RequestKey) -> ServiceName {
        let table = self.tables.requests.lock();
        let service = table.holder.payload(key).map(|request| &request.service);
        let parsed = service.and_then(|service| service.parse().ok());
        parsed.unwrap_or_else(unknown_model)
    }

    async fn answer_chat(
        self: &Arc<Self>,
        request: CallerRequest,
        mut follower: AnswerFollower,
        chat: ChatBody,
        mut span: HopSpan,
    ) -> Result<Response<Body>, Refusal> {
        let started = self.now();
        let key = follower.key();
        let first = follower.next().await;
        histogram!("cloverbend_first_token_seconds")
            .record(self.now().since(started).as_secs_f64());
        match &first {
            FollowEvent::Moved(to) => {
                return self
                    .forward_moved(&request, key, *to, follower.position())
                    .await;
            }
            FollowEvent::Failed(refusal) => {
                span.fail(refusal);
                return Err(refusal.clone());
            }
            FollowEvent::Chunks(..) | FollowEvent::Complete => {}
        }
        let trace = span.trace();
        let body = if chat.stream {
            let frames = stream_frames(follower, first, chat.model, request, span);
            Body::new(StreamBody::new(frames.map_ok(Frame::data)))
        } else {
            let text = collect_text(&mut follower, first).await?;
            whole_body(key, &chat.model, &text)
        };
        let content_type = if chat.stream {
            "text/event-stream"
        } else {
            "application/json"
        };
        Response::builder()
            .status(StatusCode::OK)
            .header(CONTENT_TYPE, content_type)
            .header(CACHE_CONTROL, "no-store")
            .header(REQUEST_ID_HEADER, key.to_string())
            .header(TRACE_ID_HEADER, trace)
            .body(body)
            .map_err(|error| Refusal::unknown(RefusalCode::BackendFailed, error))
    }

    async fn forward_moved(
        self: &Arc<Self>,
        request: &CallerRequest,
        key: RequestKey,
        to: crate::id::Incarnation,
        position: ChunkPosition,
    ) -> Result<Response<Body>, Refusal> {
        let request = resume_request(request, key, position)?;
        self.forward_to(&request, to).await
    }
}

fn parse_chat(body: &Bytes) -> Result<ChatBody, Refusal> {
    let chat: ChatBody = serde_json::from_slice(body).map_err(|error| {
        let message = format!(
            "body, line {}, column {}: {error}",
            error.line(),
            error.column()
        );
        Refusal::not_run(RefusalCode::BadRequest, message)
    })?;
    if chat.messages.is_empty() {
        let message = "body: messages must not be empty";
        return Err(Refusal::not_run(RefusalCode::BadRequest, message));
    }
    if chat.max_tokens == Some(0) {
        let message = "body: max_tokens must be at least 1";
        return Err(Refusal::not_run(RefusalCode::BadRequest, message));
    }
    Ok(chat)
}

fn find_model(caller: &KnownCaller, model: &ServiceName) -> Result<ServiceConfig, Refusal> {
    let service = caller.config.service(model);
    let service = service.filter(|service| service.kind == ServiceKind::Model);
    service.cloned().ok_or_else(|| {
        let message = format!("body: no model service is named {model}");
        Refusal::not_run(RefusalCode::UnknownService, message)
    })
}

fn unknown_model() -> ServiceName {
    "unknown"
        .parse()
        .unwrap_or_else(|_| unreachable!("the name is valid"))
}

async fn collect_text(
    follower: &mut AnswerFollower,
    first: FollowEvent,
) -> Result<String, Refusal> {
    let mut text = String::new();
    let mut event = first;
    loop {
        match event {
            FollowEvent::Chunks(_, chunks) => {
                for chunk in chunks {
                    text.push_str(&String::from_utf8_lossy(&chunk));
                }
            }
            FollowEvent::Complete => return Ok(text),
            FollowEvent::Failed(refusal) => return Err(refusal),
            FollowEvent::Moved(_) => {
                let context = Arc::clone(follower.context());
                let message = "the request moved to another entry; ask again with its ticket";
                let refusal = Refusal::unknown(RefusalCode::OutcomeUnknown, message);
                return Err(refusal
                    .with_ticket(follower.key())
                    .at_entries(context.other_addresses()));
            }
        }
        event = follower.next().await;
    }
}

fn whole_body(key: RequestKey, model: &ServiceName, text: &str) -> Body {
    let body = json!({
        "id": key.to_string(),
        "object": "chat.completion",
        "model": model.as_str(),
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": "stop",
        }],
    });
    Body::new(Full::new(Bytes::from(body.to_string())).map_err(|never| match never {}))
}
