//! Calls to plain services for callers.

use std::sync::Arc;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::Response;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use opentelemetry::trace::SpanKind;

use crate::answer::AnswerHead;
use crate::answer_follower::FollowEvent;
use crate::caller::CallerRequest;
use crate::caller::KnownCaller;
use crate::caller::price_number;
use crate::caller::zone_texts;
use crate::chat_api::REQUEST_ID_HEADER;
use crate::chat_api::TRACE_ID_HEADER;
use crate::configuration::RepeatRule;
use crate::configuration::ServiceConfig;
use crate::configuration::ServiceKind;
use crate::entry_context::EntryContext;
use crate::id::ChunkPosition;
use crate::id::ServiceName;
use crate::pair::RequestKey;
use crate::quantity::TokenCount;
use crate::refusal::Refusal;
use crate::refusal::RefusalCode;
use crate::request::AcceptedRequest;
use crate::trace::HopSpan;

/// The start of the paths of calls; the service's name follows.
pub const CALL_PREFIX: &str = "/v1/services/";

impl EntryContext {
    /// Handles a call to `/v1/services/NAME/PATH`.
    ///
    /// # Errors
    ///
    /// Every refusal.
    pub async fn call(self: &Arc<Self>, request: CallerRequest) -> Result<Response<Body>, Refusal> {
        let caller = self.authenticate(&request)?;
        let target = parse_target(&request)?;
        let service = find_service(&caller, &target.service)?;
        let ticket = request.ticket()?;
        let key = self.key_of_call(&service, ticket)?;
        if ticket.is_some() {
            let routed = self.route_ticket(&request, key, service.repeat).await?;
            if let Some(response) = routed {
                return Ok(response);
            }
        }
        let parent = request.traceparent();
        let mut span = self.spans.start("entry", SpanKind::Server, parent);
        span.set("service", &service.name);
        span.set("account", &caller.account.name);
        span.set("request", key);
        let known = {
            let table = self.tables.requests.lock();
            table.answers.contains_key(&key) && key.pair.holder != self.incarnation
        };
        if !known {
            self.accept_call(&request, &caller, &service, target.path, key, &span)
                .inspect_err(|refusal| span.fail(refusal))?;
        }
        self.answer_call_when_done(request, key, span).await
    }

    fn key_of_call(
        &self,
        service: &ServiceConfig,
        ticket: Option<RequestKey>,
    ) -> Result<RequestKey, Refusal> {
        match (ticket, service.repeat) {
            (Some(key), _) => Ok(key),
            (None, RepeatRule::Repeatable) => Ok(self.tables.requests.lock().holder.issue_ticket()),
            (None, RepeatRule::AtMostOnce) => {
                let message = format!(
                    "calls to {} may run only once: send a ticket in the header Idempotency-Key",
                    service.name
                );
                let ticket = self.tables.requests.lock().holder.issue_ticket();
                Err(Refusal::not_run(RefusalCode::TicketRequired, message).with_ticket(ticket))
            }
        }
    }

    fn accept_call(
        self: &Arc<Self>,
        request: &CallerRequest,
        caller: &KnownCaller,
        service: &ServiceConfig,
        path: String,
        key: RequestKey,
        span: &HopSpan,
    ) -> Result<(), Refusal> {
        let time_left = request.time_left(self.settings.limits.default_deadline)?;
        let decision = self.decide_policy(caller, &service.name, TokenCount(0))?;
        let content_type = request.header(CONTENT_TYPE.as_str());
        let accepted = AcceptedRequest {
            service: service.name.to_string(),
            account: caller.account.name.to_string(),
            priority: u32::from(decision.priority.0),
            zones: zone_texts(decision.zones.as_ref()),
            max_price: price_number(decision.max_price),
            time_left_ms: time_left.as_millis() as u64,
            method: request.method.to_string(),
            path,
            content_type: content_type
                .unwrap_or("application/octet-stream")
                .to_owned(),
            body: request.body.clone(),
            traceparent: span.traceparent(),
            model: false,
            prompt_tokens: 0,
            max_tokens: 0,
            prefix_blocks: Vec::new(),
        };
        self.take_in(caller, key, service.repeat, accepted)?;
        Ok(())
    }

    async fn answer_call_when_done(
        self: &Arc<Self>,
        request: CallerRequest,
        key: RequestKey,
        mut span: HopSpan,
    ) -> Result<Response<Body>, Refusal> {
        let mut follower = self.follow(key, ChunkPosition(0));
        let body = match follower.next().await {
            FollowEvent::Chunks(_, chunks) => chunks.into_iter().next().unwrap_or_default(),
            FollowEvent::Complete => Bytes::new(),
            FollowEvent::Failed(refusal) => {
                span.fail(&refusal);
                return Err(refusal);
            }
            FollowEvent::Moved(to) => {
                span.set("moved_to", to);
                return self.forward_call(request, key, to).await;
            }
        };
        let head = follower.head().unwrap_or_else(default_head);
        Response::builder()
            .status(head.status)
            .header(CONTENT_TYPE, head.content_type)
            .header(REQUEST_ID_HEADER, key.to_string())
            .header(TRACE_ID_HEADER, span.trace())
            .body(Body::new(Full::new(body).map_err(|never| match never {})))
            .map_err(|error| Refusal::unknown(RefusalCode::BackendFailed, error))
    }

    async fn forward_call(
        self: &Arc<Self>,
        mut request: CallerRequest,
        key: RequestKey,
        to: crate::id::Incarnation,
    ) -> Result<Response<Body>, Refusal> {
        let value = http::HeaderValue::try_from(key.to_string())
            .map_err(|error| Refusal::unknown(RefusalCode::OutcomeUnknown, error))?;
        request
            .headers
            .insert(crate::plain_runner::IDEMPOTENCY_KEY, value);
        self.forward_to(&request, to).await
    }
}

fn default_head() -> AnswerHead {
    AnswerHead {
        status: 200,
        content_type: "application/octet-stream".to_owned(),
    }
}

struct CallTarget {
    service: ServiceName,
    path: String,
}

fn parse_target(request: &CallerRequest) -> Result<CallTarget, Refusal> {
    let path = request
        .uri
        .path_and_query()
        .map_or("", |path| path.as_str());
    let rest = path.strip_prefix(CALL_PREFIX).unwrap_or_default();
    let (name, rest) = match rest.find(['/', '?']) {
        Some(index) => rest.split_at(index),
        None => (rest, ""),
    };
    let service = name.parse().map_err(|error| {
        let message = format!("path: service {name:?}: {error}");
        Refusal::not_run(RefusalCode::BadRequest, message)
    })?;
    let path = if rest.starts_with('/') {
        rest.to_owned()
    } else {
        format!("/{rest}")
    };
    Ok(CallTarget { service, path })
}

fn find_service(caller: &KnownCaller, name: &ServiceName) -> Result<ServiceConfig, Refusal> {
    let service = caller.config.service(name);
    let plain = service.filter(|service| service.kind == ServiceKind::Plain);
    plain.cloned().ok_or_else(|| {
        let message = format!("path: no plain service is named {name}");
        Refusal::not_run(RefusalCode::UnknownService, message)
    })
}
