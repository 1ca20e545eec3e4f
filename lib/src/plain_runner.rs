//! Runs an accepted call to a plain service.
//!
//! A call that may not be repeated goes out on a connection of its own and is
//! tried elsewhere only if no connection was made. Once it may have arrived,
//! a missing answer ends it as unknown.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use metrics::counter;
use opentelemetry::trace::SpanKind;

use crate::answer::AnswerHead;
use crate::backend_table::ChosenBackend;
use crate::configuration::RepeatRule;
use crate::entry_context::EntryContext;
use crate::http_client::HttpError;
use crate::http_client::build_request;
use crate::http_client::read_body;
use crate::id::ServiceName;
use crate::id::VmId;
use crate::id::ZoneName;
use crate::pair::RequestKey;
use crate::quantity::HourlyPrice;
use crate::quantity::Timestamp;
use crate::quantity::TokenCount;
use crate::refusal::RanReport;
use crate::refusal::Refusal;
use crate::refusal::RefusalCode;
use crate::request::AcceptedRequest;
use crate::routing::RouteQuery;
use crate::trace::HopSpan;
use crate::trace::TRACEPARENT;

/// The header that carries the ticket, for backend servers that check it.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The most backend servers tried.
const MAX_TRIES: u32 = 4;
/// How long a caller waits before asking again when no server is there.
const NO_SERVER_RETRY: Duration = Duration::from_secs(1);

enum CallEnd {
    Answered(AnswerHead, Bytes),
    Failed(HttpError),
}

struct CallRun {
    context: Arc<EntryContext>,
    key: RequestKey,
    request: AcceptedRequest,
    service: ServiceName,
    rule: RepeatRule,
    deadline: Timestamp,
}

/// Runs a call to its end.
pub async fn run_call(
    context: Arc<EntryContext>,
    key: RequestKey,
    request: AcceptedRequest,
    deadline: Timestamp,
) {
    let Ok(service) = request.service.parse::<ServiceName>() else {
        return;
    };
    let config = context.config();
    let rule = config
        .as_ref()
        .and_then(|config| config.service(&service))
        .map_or(RepeatRule::AtMostOnce, |service| service.repeat);
    let run = CallRun {
        context,
        key,
        request,
        service,
        rule,
        deadline,
    };
    run.run().await;
}

impl CallRun {
    async fn run(self) {
        let mut avoid = None;
        let mut last = None;
        for _ in 0..MAX_TRIES {
            let Some(backend) = self.choose(avoid.as_ref()) else {
                break;
            };
            let end = self.call(&backend).await;
            let failed = matches!(end, CallEnd::Failed(_));
            self.note_end(&backend.record.vm, failed);
            match end {
                CallEnd::Answered(head, body) => {
                    self.context.answer_call(self.key, head, body);
                    return;
                }
                CallEnd::Failed(error) => {
                    if !self.may_try_again(&error) {
                        self.end_unknown(&error).await;
                        return;
                    }
                    avoid = Some(backend.record.vm.clone());
                    last = Some(error);
                }
            }
        }
        self.fail(last);
    }

    fn may_try_again(&self, error: &HttpError) -> bool {
        if error.was_not_sent() {
            return true;
        }
        let mut limits = self.context.tables.limits.lock();
        self.rule == RepeatRule::Repeatable && limits.retries.spend(&self.service)
    }

    fn choose(&self, avoid: Option<&VmId>) -> Option<ChosenBackend> {
        let zones: std::collections::BTreeSet<ZoneName> = self
            .request
            .zones
            .iter()
            .filter_map(|zone| zone.parse().ok())
            .collect();
        let query = RouteQuery {
            blocks: &[],
            prompt: TokenCount(0),
            zones: (!zones.is_empty()).then_some(&zones),
            max_price: self.request.max_price.map(HourlyPrice),
            avoid,
        };
        let now = self.context.now();
        let mut backends = self.context.tables.backends.lock();
        backends.choose(now, &self.service, &query)
    }

    fn note_end(&self, vm: &VmId, failed: bool) {
        let now = self.context.now();
        let mut backends = self.context.tables.backends.lock();
        backends.ended(now, &self.service, vm, failed);
    }

    async fn call(&self, backend: &ChosenBackend) -> CallEnd {
        let parent = &self.request.traceparent;
        let mut span = self.context.spans.start("call", SpanKind::Client, parent);
        span.set("vm", &backend.record.vm);
        let left = self.deadline.since(self.context.now());
        let exchange = self.exchange(backend, &span);
        let end = match tokio::time::timeout(left, exchange).await {
            Ok(Ok((head, body))) => CallEnd::Answered(head, body),
            Ok(Err(error)) => CallEnd::Failed(error),
            Err(_) => CallEnd::Failed(HttpError::TimedOut),
        };
        if let CallEnd::Failed(error) = &end {
            span.fail(error);
        }
        end
    }

    async fn exchange(
        &self,
        backend: &ChosenBackend,
        span: &HopSpan,
    ) -> Result<(AnswerHead, Bytes), HttpError> {
        let request = self.build(backend, span)?;
        let response = match self.rule {
            RepeatRule::AtMostOnce => self.context.http.send_once(request).await?,
            RepeatRule::Repeatable => self.context.http.send(request).await?,
        };
        let head = answer_head(&response);
        let body = read_body(response.into_body()).await?;
        Ok((head, body))
    }

    fn build(
        &self,
        backend: &ChosenBackend,
        span: &HopSpan,
    ) -> Result<Request<Full<Bytes>>, HttpError> {
        let method = Method::from_bytes(self.request.method.as_bytes())
            .map_err(|error| HttpError::NotSent(error.to_string()))?;
        let url = format!("http://{}{}", backend.record.address, self.request.path);
        let builder = Request::builder()
            .method(method)
            .uri(url)
            .header(http::header::CONTENT_TYPE, &self.request.content_type)
            .header(IDEMPOTENCY_KEY, self.key.to_string())
            .header(TRACEPARENT, span.traceparent());
        build_request(builder, self.request.body.clone())
    }

    async fn end_unknown(&self, error: &HttpError) {
        counter!("cloverbend_calls_unknown_total").increment(1);
        {
            let mut table = self.context.tables.requests.lock();
            if let Some(entry) = table.answers.get_mut(&self.key) {
                let message = format!("the call may have run: {error}");
                let refusal = Refusal::unknown(RefusalCode::BackendFailed, message);
                entry.failure = Some(refusal);
            }
        }
        self.context.give_up(self.key).await;
    }

    /// Ends a call that reached no backend server, so that it did not run.
    fn fail(&self, last: Option<HttpError>) {
        let message = match last {
            Some(error) => format!("no backend server could be reached: {error}"),
            None => "no backend server may serve this call".to_owned(),
        };
        let pause = self.context.come_back(NO_SERVER_RETRY);
        let refusal =
            Refusal::new(RefusalCode::NoBackend, message, RanReport::No).retry_after(pause);
        self.context.fail_request(self.key, refusal);
    }
}

fn answer_head(response: &Response<Incoming>) -> AnswerHead {
    let content_type = response
        .headers()
        .get(http::header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream");
    AnswerHead {
        status: response.status().as_u16(),
        content_type: content_type.to_owned(),
    }
}
