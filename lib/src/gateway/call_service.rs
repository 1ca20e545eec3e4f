//! Serves one caller's request, from its head to the head of its answer.
//!
//! A request that may run only once is sent again only if certainly nothing of
//! it ran: nothing left this process, or the backend server said so.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use metrics::counter;
use metrics::histogram;
use rand::Rng;
use slog::info;
use twox_hash::XxHash64;

use crate::gateway::answer_relay::CallBody;
use crate::gateway::answer_relay::EventRelay;
use crate::gateway::answer_relay::full_body;
use crate::gateway::backend_pool::Exchange;
use crate::gateway::backend_pool::ExchangeError;
use crate::gateway::backend_set::BackendId;
use crate::gateway::backend_set::BackendOutcome;
use crate::gateway::call_head::CallHead;
use crate::gateway::call_head::HeadError;
use crate::gateway::edge::AnswerHead;
use crate::gateway::edge::SendTerms;
use crate::gateway::engine_choice::ChoiceQuery;
use crate::gateway::engine_choice::choose_backend;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::log_budget::LineClass;
use crate::gateway::site_config::AccountRule;
use crate::gateway::site_config::LimitUnit;
use crate::gateway::site_config::RouteRule;
use crate::gateway::site_config::SiteConfig;
use crate::id::AccountName;
use crate::id::ServiceName;

/// The age of the configuration from which on requests with a key are refused,
/// as a share of the time for which a removed key may work. The rest covers
/// the way from the caller and to the backend server.
const KEY_AGE_SHARE: f64 = 0.85;
/// The age of the configuration up to which "no such route or key" is said;
/// after it the answer is "not now". News arrive within a second.
const SURE_AGE: Duration = Duration::from_millis(1_800);
/// The least time left for which a request is sent.
const LEAST_LEFT: Duration = Duration::from_millis(10);
/// The most backend servers that one request is offered to.
const MAX_OFFERS: usize = 4;
/// When a caller comes back that was refused for lack of knowledge or room.
const COME_BACK: Duration = Duration::from_millis(150);
/// The longest time that a caller is told to wait.
const LONGEST_COME_BACK: Duration = Duration::from_secs(5);
/// The time after which a repeatable request is tried elsewhere, as a multiple
/// of its target latency.
const PATIENCE: f64 = 1.2;
/// The same for streams, whose first event may wait for long prompts.
const STREAM_PATIENCE: Duration = Duration::from_secs(3);

/// Why a request is not served. All but the last two are certain not to have
/// run.
#[derive(Clone, Debug, PartialEq)]
pub enum CallRefusal {
    /// The head cannot be decoded.
    BadHead(HeadError),
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body ended early.
    BodyBroken,
    /// No configuration is known, or it may no longer be in force.
    NoConfig,
    /// There is no such route.
    NoRoute,
    /// There is no such key.
    NoKey,
    /// The account's limit is used up.
    OverLimit(Duration),
    /// There is no backend server to send it to.
    NoBackend,
    /// The backend servers refused it.
    AllFull,
    /// This entry is stopping.
    Leaving,
    /// The time is over and it was not sent.
    TooLate,
    /// It was sent, and its answer was lost.
    Lost,
    /// It was sent, and the time is over.
    TimedOut,
}

impl CallRefusal {
    /// Returns the word that stands for the refusal in logs and metrics.
    pub fn word(&self) -> &'static str {
        match self {
            Self::BadHead(_) => "bad_head",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyBroken => "body_broken",
            Self::NoConfig => "no_config",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::OverLimit(_) => "over_limit",
            Self::NoBackend => "no_backend",
            Self::AllFull => "all_full",
            Self::Leaving => "leaving",
            Self::TooLate => "too_late",
            Self::Lost => "lost",
            Self::TimedOut => "timed_out",
        }
    }

    fn status(&self) -> StatusCode {
        match self {
            Self::BadHead(_) | Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::OverLimit(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::NoConfig | Self::NoBackend | Self::AllFull | Self::Leaving | Self::TooLate => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::OverLimit(after) => Some((*after).clamp(COME_BACK, LONGEST_COME_BACK)),
            Self::NoConfig | Self::NoBackend | Self::AllFull => {
                Some(COME_BACK + COME_BACK.mul_f64(rand::rng().random()))
            }
            Self::Leaving => Some(Duration::from_millis(10)),
            _ => None,
        }
    }
}

/// A request with everything that was decided about it before it is sent.
pub struct AdmittedCall {
    /// The decoded head.
    pub head: CallHead,
    /// Its route.
    pub route: RouteRule,
    /// The service that it goes to.
    pub service: ServiceName,
    /// Its account.
    pub account: Option<AccountRule>,
    /// Units that were taken from the account's limit.
    pub units: u64,
    /// When its time is over.
    pub until: Instant,
    /// When its head arrived.
    pub arrived: Instant,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
}

impl AdmittedCall {
    /// Returns the time that is left.
    pub fn left(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }

    /// Returns the name of its account.
    pub fn account_name(&self) -> Option<&AccountName> {
        self.account.as_ref().map(|account| &account.name)
    }

    fn priority(&self) -> u8 {
        let account = self.account.as_ref().and_then(|a| a.priority);
        account.unwrap_or(self.route.priority).min(9)
    }
}

/// An answer of which the head has come, and the backend server that sent it.
pub struct SentCall {
    /// The answer on its connection.
    pub exchange: Exchange,
    /// Its decoded head.
    pub answer: AnswerHead,
    /// Counts the request at its backend server.
    pub guard: SendGuard,
}

/// Counts a request at a backend server until it is dropped.
pub struct SendGuard {
    context: Arc<GatewayContext>,
    /// The backend server.
    pub backend: BackendId,
    unread: u64,
}

impl SendGuard {
    /// Notes that the prompt was read.
    pub fn note_read(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        self.context
            .backends
            .lock()
            .note_read(&self.backend, unread);
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        let mut backends = self.context.backends.lock();
        backends.note_read(&self.backend, self.unread);
        backends.note_left(&self.backend);
    }
}

/// Serves one request.
pub async fn serve_call(
    context: Arc<GatewayContext>,
    request: Request<Incoming>,
) -> Response<CallBody> {
    let arrived = Instant::now();
    let (parts, body) = request.into_parts();
    let head = context.edges.format.decode_call(&parts.headers);
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
    if context.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

fn refuse(
    context: &GatewayContext,
    id: &str,
    refusal: &CallRefusal,
    arrived: Instant,
) -> Response<CallBody> {
    counter!("cloverbend_calls_refused_total", "reason" => refusal.word()).increment(1);
    let status = refusal.status();
    let config = context.config.lock();
    let (revision, age) = (config.revision(), config.age(context.now()));
    drop(config);
    if context.logs(id, LineClass::Failure) {
        info!(context.log, "request refused"; "request" => id, "reason" => refusal.word(),
        "status" => status.as_u16(), "revision" => revision.0,
        "revision_age_ms" => age.map(|age| age.as_millis() as u64),
        "after_ms" => arrived.elapsed().as_millis() as u64);
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
    arrived: Instant,
) -> Result<Response<CallBody>, CallRefusal> {
    let config = current_config(context)?;
    let (route, account) = authorize(context, &config, &head, &parts)?;
    let left = head.deadline.unwrap_or(route.timeout).min(route.timeout);
    let until = arrived + left;
    let body = read_call_body(body, config.limits.body_bytes, until).await?;
    if context.is_refusing() {
        return Err(CallRefusal::Leaving);
    }
    let number = XxHash64::oneshot(0, head.id.0.as_bytes());
    let service = route
        .target(number)
        .cloned()
        .ok_or(CallRefusal::NoBackend)?;
    let units = admit(context, account.as_ref(), &head)?;
    let call = AdmittedCall {
        head,
        route,
        service,
        account,
        units,
        until,
        arrived,
        method: parts.method,
        uri: parts.uri,
        headers: onward_headers(parts.headers),
        body,
    };
    let now = context.now();
    let rule = &context.settings.bounds.resend;
    context.budget.lock().note_request(now, &call.service, rule);
    let result = serve_admitted(context, call).await;
    if let Err((call, refusal)) = result {
        let ran = matches!(refusal, CallRefusal::Lost | CallRefusal::TimedOut);
        if let (false, Some(account)) = (ran, call.account_name()) {
            context.limits.lock().give_back(account, call.units);
        }
        return Err(refusal);
    }
    result.map_err(|(_, refusal)| refusal)
}

fn current_config(context: &GatewayContext) -> Result<Arc<SiteConfig>, CallRefusal> {
    let config = context.config.lock();
    let adopted = config.adopted().ok_or(CallRefusal::NoConfig)?;
    Ok(Arc::clone(&adopted.config))
}

/// Finds the route and the account. A caller hears "no" only while this entry
/// is sure that its configuration is the newest.
fn authorize(
    context: &GatewayContext,
    config: &SiteConfig,
    head: &CallHead,
    parts: &http::request::Parts,
) -> Result<(RouteRule, Option<AccountRule>), CallRefusal> {
    let age = context.config.lock().age(context.now());
    let sure = age.is_some_and(|age| age < SURE_AGE);
    let no = |refusal| if sure { refusal } else { CallRefusal::NoConfig };
    let host = parts.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or("");
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let route = config
        .find_route(host, parts.uri.path())
        .ok_or_else(|| no(CallRefusal::NoRoute))?;
    if !config.needs_key(route) {
        return Ok((route.clone(), None));
    }
    let oldest = context.settings.bounds.key_age.mul_f64(KEY_AGE_SHARE);
    if age.is_none_or(|age| age >= oldest) {
        return Err(CallRefusal::NoConfig);
    }
    let key = head.key.as_deref().ok_or(CallRefusal::NoKey)?;
    let account = config
        .find_account(key)
        .ok_or_else(|| no(CallRefusal::NoKey))?;
    Ok((route.clone(), Some(account.clone())))
}

async fn read_call_body(
    body: Incoming,
    limit: usize,
    until: Instant,
) -> Result<Bytes, CallRefusal> {
    let until = tokio::time::Instant::from_std(until);
    let collected = tokio::time::timeout_at(until, Limited::new(body, limit).collect()).await;
    match collected {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(CallRefusal::BodyTooLarge)
        }
        Ok(Err(_)) => Err(CallRefusal::BodyBroken),
        Err(_) => Err(CallRefusal::TooLate),
    }
}

fn admit(
    context: &GatewayContext,
    account: Option<&AccountRule>,
    head: &CallHead,
) -> Result<u64, CallRefusal> {
    let Some(account) = account else {
        return Ok(0);
    };
    let units = match account.unit {
        LimitUnit::Requests => 1,
        LimitUnit::Tokens { plain } => head.tokens.map_or(plain, |tokens| tokens.total().0),
    };
    let now = context.now();
    let view = context.peers.lock().share_view(now);
    let mut limits = context.limits.lock();
    let admitted = limits.admit(now, account, units, view);
    let level = limits.level(&account.name);
    drop(limits);
    admitted.map_err(|after| {
        if context.logs(&head.id.0, LineClass::Failure) {
            info!(context.log, "limit reached"; "request" => %head.id, "account" => %account.name,
            "units" => units, "level" => level, "rate" => account.rate,
            "entries" => view.entries, "heard" => view.heard,
            "retry_after_ms" => after.as_millis() as u64);
        }
        CallRefusal::OverLimit(after)
    })?;
    Ok(units)
}

/// Removes the headers that concern one connection only.
fn onward_headers(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        header::CONNECTION,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::CONTENT_LENGTH,
        header::EXPECT,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
    headers
}

type CallResult = Result<Response<CallBody>, (AdmittedCall, CallRefusal)>;

async fn serve_admitted(context: &Arc<GatewayContext>, call: AdmittedCall) -> CallResult {
    let mut plan = SendPlan::new(&call);
    loop {
        let sent = match next_send(context, &call, &mut plan, None).await {
            Ok(sent) => sent,
            Err(refusal) => return Err((call, refusal)),
        };
        count_started(context, &call, &sent);
        let streams = call.route.streaming && sent.exchange.response.status().is_success();
        if streams {
            return Ok(EventRelay::start(Arc::clone(context), call, plan, sent));
        }
        let failed = sent.exchange.response.status().is_server_error();
        let backend = sent.guard.backend.clone();
        match collect_answer(context, &call, sent).await {
            Ok(response) => {
                if failed && plan.may_run_again(&call) && plan.take_budget(context, &call) {
                    log_send(context, &call, &backend, "failed_try_again");
                    continue;
                }
                log_end(context, &call, &backend, response.status());
                return Ok(response);
            }
            Err(refusal) => {
                log_send(context, &call, &backend, refusal.word());
                let again = refusal == CallRefusal::Lost && plan.may_run_again(&call);
                if !(again && plan.take_budget(context, &call)) {
                    return Err((call, refusal));
                }
            }
        }
    }
}

/// What was tried for a request so far.
pub struct SendPlan {
    tried: Vec<BackendId>,
    runs: u32,
    repeatable: bool,
}

impl SendPlan {
    fn new(call: &AdmittedCall) -> Self {
        Self {
            tried: Vec::new(),
            runs: 0,
            repeatable: call.route.may_repeat(),
        }
    }

    /// Returns whether the request may run at one more backend server.
    pub fn may_run_again(&self, call: &AdmittedCall) -> bool {
        self.repeatable && self.runs < call.route.max_attempts && call.left() > LEAST_LEFT
    }

    /// Takes a send beyond the first out of the budget.
    pub fn take_budget(&self, context: &GatewayContext, call: &AdmittedCall) -> bool {
        let now = context.now();
        let entries = context.peers.lock().share_view(now).entries;
        let rule = &context.settings.bounds.resend;
        let mut budget = context.budget.lock();
        budget.take(now, &call.service, rule, entries)
    }
}

/// Sends a request until a backend server begins to answer. With `resume_at`
/// the answer goes on after that event.
pub async fn next_send(
    context: &Arc<GatewayContext>,
    call: &AdmittedCall,
    plan: &mut SendPlan,
    resume_at: Option<u64>,
) -> Result<SentCall, CallRefusal> {
    let mut refused = false;
    for _ in 0..MAX_OFFERS {
        if call.left() <= LEAST_LEFT {
            let ran = plan.runs > 0;
            return Err(if ran {
                CallRefusal::TimedOut
            } else {
                CallRefusal::TooLate
            });
        }
        let Some((guard, address, unread)) = choose(context, call, plan) else {
            return Err(if refused {
                CallRefusal::AllFull
            } else {
                CallRefusal::NoBackend
            });
        };
        let backend = guard.backend.clone();
        plan.tried.push(backend.clone());
        let request = build_send(context, call, &backend, resume_at);
        let patience = send_patience(call, plan);
        let exchange = context.pool.exchange(&backend, address, request);
        let result = tokio::time::timeout(patience, exchange).await;
        let word = match result {
            Ok(Ok(exchange)) => {
                let parts = &exchange.response;
                let answer = context
                    .edges
                    .format
                    .decode_answer(parts.status(), parts.headers());
                note_load(context, &backend, &answer);
                if answer.call.as_ref() != Some(&call.head.id.0) {
                    // The answer of an earlier request came late, in the place
                    // of this one's; the connection closes with it.
                    note_outcome(context, &backend, BackendOutcome::Broken);
                    plan.runs += 1;
                    "other_answer"
                } else if answer.not_run {
                    note_outcome(context, &backend, BackendOutcome::Full);
                    refused = true;
                    log_send(context, call, &backend, "not_run");
                    if !plan.take_budget(context, call) {
                        return Err(CallRefusal::AllFull);
                    }
                    continue;
                } else {
                    plan.runs += 1;
                    let failed = exchange.response.status().is_server_error();
                    let outcome = if failed {
                        BackendOutcome::Failed
                    } else {
                        BackendOutcome::Served
                    };
                    note_outcome(context, &backend, outcome);
                    log_sent(context, call, &backend, unread);
                    return Ok(SentCall {
                        exchange,
                        answer,
                        guard,
                    });
                }
            }
            Ok(Err(ExchangeError::NotSent(_))) => {
                note_outcome(context, &backend, BackendOutcome::Broken);
                log_send(context, call, &backend, "not_sent");
                continue;
            }
            Ok(Err(ExchangeError::Lost(_))) => {
                note_outcome(context, &backend, BackendOutcome::Broken);
                plan.runs += 1;
                "lost"
            }
            Err(_) => {
                note_outcome(context, &backend, BackendOutcome::Broken);
                plan.runs += 1;
                "no_answer"
            }
        };
        log_send(context, call, &backend, word);
        if !plan.may_run_again(call) || !plan.take_budget(context, call) {
            let late = call.left() <= LEAST_LEFT;
            return Err(if late {
                CallRefusal::TimedOut
            } else {
                CallRefusal::Lost
            });
        }
    }
    Err(match (plan.runs, refused) {
        (0, true) => CallRefusal::AllFull,
        (0, false) => CallRefusal::NoBackend,
        _ => CallRefusal::Lost,
    })
}

fn choose(
    context: &Arc<GatewayContext>,
    call: &AdmittedCall,
    plan: &SendPlan,
) -> Option<(SendGuard, std::net::SocketAddr, u64)> {
    let query = ChoiceQuery {
        service: &call.service,
        zone: &context.settings.zone,
        parts: &call.head.parts,
        tried: &plan.tried,
    };
    let now = context.now();
    let mut backends = context.backends.lock();
    let choice = choose_backend(&backends, now, &query)?;
    let address = backends.get(&choice.id)?.record.address;
    let parts: Vec<u64> = call.head.parts.iter().map(|part| part.id).collect();
    backends.note_sent(now, &choice.id, choice.unread, &parts);
    drop(backends);
    context.work.lock().note(now, &call.service, choice.unread);
    let guard = SendGuard {
        context: Arc::clone(context),
        backend: choice.id,
        unread: choice.unread,
    };
    Some((guard, address, choice.unread))
}

/// Returns how long to wait for the head of an answer. Where another backend
/// server may be tried, only a part of the time is spent on the first.
fn send_patience(call: &AdmittedCall, plan: &SendPlan) -> Duration {
    let left = call.left();
    let more = plan.repeatable && plan.runs + 1 < call.route.max_attempts;
    if !more {
        return left;
    }
    let patience = if call.route.streaming {
        STREAM_PATIENCE
    } else {
        call.route.target_latency.mul_f64(PATIENCE)
    };
    patience.min(left / 2)
}

fn build_send(
    context: &GatewayContext,
    call: &AdmittedCall,
    backend: &BackendId,
    resume_at: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    let terms = SendTerms {
        backend,
        left: call.left(),
        account: call.account_name(),
        priority: call.head.tokens.map(|_| call.priority()),
        last_event: resume_at.or(call.head.last_event),
    };
    context
        .edges
        .format
        .encode_send(request.headers_mut(), &terms);
    request
}

async fn collect_answer(
    context: &GatewayContext,
    call: &AdmittedCall,
    sent: SentCall,
) -> Result<Response<CallBody>, CallRefusal> {
    let Exchange {
        response,
        connection,
    } = sent.exchange;
    let (parts, body) = response.into_parts();
    let until = tokio::time::Instant::from_std(call.until);
    let body = match tokio::time::timeout_at(until, body.collect()).await {
        Ok(Ok(collected)) => collected.to_bytes(),
        Ok(Err(_)) => {
            note_outcome(context, &sent.guard.backend, BackendOutcome::Broken);
            return Err(CallRefusal::Lost);
        }
        Err(_) => return Err(CallRefusal::TimedOut),
    };
    context
        .pool
        .put_back(&sent.guard.backend, connection, sent.answer.keep_idle);
    let mut response = Response::from_parts(parts, full_body(body));
    *response.headers_mut() = onward_answer_headers(std::mem::take(response.headers_mut()));
    histogram!("cloverbend_answer_seconds").record(call.arrived.elapsed().as_secs_f64());
    Ok(response)
}

/// Removes the headers of an answer that concern one connection only.
pub fn onward_answer_headers(headers: HeaderMap) -> HeaderMap {
    onward_headers(headers)
}

/// Counts the usage of a request that began to run.
pub fn count_usage(context: &GatewayContext, account: Option<&AccountName>) {
    if let Some(account) = account {
        let window = context.window();
        context.usage.lock().count(window, account);
    }
}

fn count_started(context: &GatewayContext, call: &AdmittedCall, sent: &SentCall) {
    let streams = call.route.streaming && sent.exchange.response.status().is_success();
    if !streams {
        count_usage(context, call.account_name());
    }
}

fn note_load(context: &GatewayContext, backend: &BackendId, answer: &AnswerHead) {
    if let Some(load) = answer.load {
        context
            .backends
            .lock()
            .note_load(context.now(), backend, load);
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

fn log_sent(context: &GatewayContext, call: &AdmittedCall, backend: &BackendId, unread: u64) {
    if !context.logs(&call.head.id.0, LineClass::Step) {
        return;
    }
    info!(context.log, "request sent"; "request" => %call.head.id, "route" => &call.route.name,
        "account" => call.account_name().map(AccountName::as_str), "backend" => %backend,
        "unread_tokens" => unread, "left_ms" => call.left().as_millis() as u64);
}

/// Logs what became of one send.
pub fn log_send(context: &GatewayContext, call: &AdmittedCall, backend: &BackendId, word: &str) {
    counter!("cloverbend_sends_failed_total", "outcome" => word.to_owned()).increment(1);
    if !context.logs(&call.head.id.0, LineClass::Failure) {
        return;
    }
    info!(context.log, "send failed"; "request" => %call.head.id, "route" => &call.route.name,
        "backend" => %backend, "outcome" => word, "left_ms" => call.left().as_millis() as u64);
}

fn log_end(context: &GatewayContext, call: &AdmittedCall, backend: &BackendId, status: StatusCode) {
    counter!("cloverbend_calls_answered_total").increment(1);
    if !context.logs(&call.head.id.0, LineClass::Step) {
        return;
    }
    info!(context.log, "request answered"; "request" => %call.head.id, "backend" => %backend,
        "status" => status.as_u16(), "after_ms" => call.arrived.elapsed().as_millis() as u64);
}
