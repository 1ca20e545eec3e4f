//! Sends a request to backend servers until one begins to respond.
//!
//! A request that must run at most once is retried only if it certainly did not
//! run: it was not sent, or the backend server reported that it did not run it.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use twox_hash::XxHash64;

use crate::gateway::admission_exchange::note_demand;
use crate::gateway::backend_choice::BackendChoice;
use crate::gateway::backend_choice::ChoiceQuery;
use crate::gateway::backend_choice::choose_backend;
use crate::gateway::backend_choice::has_healthy_backend;
use crate::gateway::backend_choice::time_until_available;
use crate::gateway::backend_pool::Exchange;
use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_record::BackendOutcome;
use crate::gateway::backend_set::BackendSet;
use crate::gateway::call_admission::AdmittedCall;
use crate::gateway::call_log::log_request_sent;
use crate::gateway::call_log::log_send_failed;
use crate::gateway::call_log::note_outcome;
use crate::gateway::call_refusal::CallRefusal;
use crate::gateway::call_return::promise_return;
use crate::gateway::call_shedding::admit_choice;
use crate::gateway::entry_wait::QueuedCall;
use crate::gateway::entry_wait::join_entry_queue;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::limit_exchange::count_limited_send;
use crate::gateway::platform_interface::ForwardedHead;
use crate::gateway::platform_interface::ResponseHead;
use crate::gateway::prompt_pacing::StreamTargets;
use crate::gateway::relay_client::SendError;
use crate::gateway::relay_client::SendTarget;
use crate::gateway::relay_client::exchange_by_path;
use crate::gateway::relay_client::only_reachable;
use crate::gateway::report_handler::handle_report;
use crate::gateway::retry_exchange::take_retry_budget;
use crate::gateway::rollout_exposure::VersionRule;
use crate::gateway::rollout_routing::note_request;
use crate::gateway::rollout_routing::note_version_answer;
use crate::gateway::rollout_routing::request_rule;
use crate::gateway::send_guard::CONNECTION_LOST;
use crate::gateway::send_guard::HELPER_LOST;
use crate::gateway::send_guard::RELAY_LOST;
use crate::gateway::send_guard::SERVER_RESTARTED;
use crate::gateway::send_guard::SendGuard;
use crate::gateway::send_guard::SentRequest;
use crate::gateway::sent_work::SentWork;
use crate::gateway::sent_work::estimate_work;
use crate::gateway::server_limits::ServerLimits;
use crate::gateway::server_paths::ServerPath;
use crate::gateway::version_binding::VersionBinding;
use crate::quantity::Timestamp;

/// A request is not sent if the time until its deadline is this short.
const MIN_TIME_LEFT: Duration = Duration::from_millis(10);
/// The largest number of backend servers to which one request is sent before it
/// gets a response.
const MAX_SENDS: usize = 4;
/// The number of sends of one request that did not leave this entry after which it prefers
/// servers that it reached a short time ago.
const UNSENT_BEFORE_REACHED: u32 = 2;
/// The share of its target latency after which a repeatable request is retried at
/// another server. Nine in ten requests are answered within a quarter of it, so
/// the second attempt is still in time. Most others wait behind a long prompt, or
/// their server is unreachable.
const ATTEMPT_TIMEOUT_SHARE: f64 = 0.6;
/// The shortest time before a stream is retried at another server, as a multiple of
/// the expected time to its first event. The retry would take about that expected
/// time again, so a server gets it twice.
const FIRST_EVENT_FACTOR: u32 = 2;

/// A response whose head has arrived from a backend server.
pub struct BackendResponse {
    /// The response and its connection.
    pub exchange: Exchange,
    /// The decoded response head.
    pub head: ResponseHead,
    /// Counts the request at the backend server.
    pub guard: SendGuard,
}

/// The attempts of one request so far.
pub struct RetryState {
    tried: Vec<BackendId>,
    /// The number of attempts that ran or may have run.
    possible_runs: u32,
    /// The number of sends that did not leave this entry.
    unsent: u32,
    repeatable: bool,
    /// Whether the request has waited at this entry. Its demand is counted already.
    pub has_waited: bool,
    /// The version of servers that may go on with the stream.
    pub binding: VersionBinding,
}

impl RetryState {
    /// Returns the state of a request before its first attempt.
    pub fn new(call: &AdmittedCall) -> Self {
        Self {
            tried: Vec::new(),
            possible_runs: 0,
            unsent: 0,
            repeatable: call.route.may_repeat(),
            has_waited: false,
            binding: VersionBinding::Free,
        }
    }

    /// Returns whether the request may run at one more backend server.
    pub fn may_retry(&self, call: &AdmittedCall) -> bool {
        self.repeatable
            && self.possible_runs < call.route.max_attempts
            && call.time_left() > MIN_TIME_LEFT
    }
}

/// The result of one send.
enum SendResult {
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

/// Sends a request until a backend server begins to respond. With `resume_after`
/// the response continues after that event.
///
/// # Errors
///
/// A refusal. It says that the request did not run only if no attempt may have
/// run.
pub async fn send_until_response(
    context: &Arc<GatewayContext>,
    call: &AdmittedCall,
    retry_state: &mut RetryState,
    resume_after: Option<u64>,
) -> Result<BackendResponse, CallRefusal> {
    let mut not_executed = false;
    for _ in 0..MAX_SENDS {
        if call.time_left() <= MIN_TIME_LEFT {
            break;
        }
        if retry_state.possible_runs > 0
            && context.crashes.lock().refuses(context.now(), call.digest)
        {
            break;
        }
        let mut step = choose_next_step(context, call, retry_state);
        if let NextStep::Crowded { slot_wait, .. } = step
            && let Some(waiter) = join_entry_queue(context, call, retry_state, slot_wait)
        {
            retry_state.has_waited = true;
            step = wait_at_entry(context, call, retry_state, &waiter, step).await;
        }
        let mut chosen = match step {
            NextStep::Send(chosen) => chosen,
            NextStep::Crowded { after, slot_wait } => {
                let retry_time = promise_return(context, call, slot_wait, Some(after));
                return Err(CallRefusal::Crowded(retry_time));
            }
            // If an attempt may have run, the refusal has to say so instead.
            NextStep::AllClosed(after) if retry_state.possible_runs == 0 => {
                return Err(CallRefusal::AllClosed(after));
            }
            NextStep::AllClosed(_) | NextStep::NoBackend => break,
        };
        let backend = chosen.guard.backend().clone();
        retry_state.tried.push(backend.clone());
        let outcome = match send_to_backend(context, call, retry_state, &chosen, resume_after).await
        {
            SendResult::Responded(exchange, head) => {
                retry_state.possible_runs += 1;
                let status = exchange.response.status();
                if !exchange.connection.is_relayed() {
                    note_answer(context, call, &chosen, resume_after, Some(status));
                }
                chosen
                    .guard
                    .note_head(status, exchange.connection.is_relayed());
                log_request_sent(context, call, &chosen.guard, resume_after);
                return Ok(BackendResponse {
                    exchange: *exchange,
                    head,
                    guard: chosen.guard,
                });
            }
            SendResult::NotExecuted(outcome) => {
                note_outcome(context, &backend, outcome);
                not_executed = true;
                log_send_failed(context, call, &backend, "not_run");
                if !take_retry_budget(context, call) {
                    break;
                }
                continue;
            }
            SendResult::NotSent => {
                retry_state.unsent += 1;
                // If the server is to be reached through others, the paths are at fault.
                let path = context.paths.lock().path(context.now(), &backend);
                if path != ServerPath::Relayed {
                    note_outcome(context, &backend, BackendOutcome::Broken);
                }
                log_send_failed(context, call, &backend, "not_sent");
                continue;
            }
            SendResult::NoPath => {
                log_send_failed(context, call, &backend, "no_path");
                continue;
            }
            SendResult::Abandoned => {
                note_answer(context, call, &chosen, resume_after, None);
                retry_state.possible_runs += 1;
                chosen.guard.note_broken();
                log_send_failed(context, call, &backend, "given_up");
                continue;
            }
            SendResult::Lost(outcome) => outcome,
        };
        retry_state.possible_runs += 1;
        if outcome != HELPER_LOST {
            chosen.guard.note_broken();
        }
        chosen.guard.note_interrupted(outcome);
        log_send_failed(context, call, &backend, outcome);
        if !retry_state.may_retry(call) || !take_retry_budget(context, call) {
            break;
        }
    }
    Err(final_refusal(context, call, retry_state, not_executed))
}

/// Waits until a server with a free slot is chosen or the wait is over. Returns the next
/// step, which is `refusal` if there is no free slot.
async fn wait_at_entry(
    context: &Arc<GatewayContext>,
    call: &AdmittedCall,
    retry_state: &RetryState,
    waiter: &QueuedCall,
    refusal: NextStep,
) -> NextStep {
    while waiter.wait_for_turn().await {
        let has_slot = has_free_slot(context, call, retry_state);
        if has_slot && let step @ NextStep::Send(_) = choose_next_step(context, call, retry_state) {
            waiter.note_sent(call);
            return step;
        }
    }
    waiter.note_refused(call);
    refusal
}

/// Returns whether a server with a free slot would be chosen for the request.
fn has_free_slot(context: &GatewayContext, call: &AdmittedCall, retry_state: &RetryState) -> bool {
    let versions = request_rule(context, call, &retry_state.binding, false);
    let reachable = only_reachable(context);
    let backends = context.backends.lock();
    let limits = context.server_limits.lock();
    let reachable = reachable.as_ref();
    let query = choice_query(context, call, retry_state, &limits, &versions, reachable);
    choose_backend(&backends, context.now(), &query)
        .is_some_and(|choice| choice.slot_wait.is_zero())
}

/// Counts an answer for the version of its server. `status` is `None` for an attempt that
/// was given up. Resumed streams do not count: their times differ.
fn note_answer(
    context: &GatewayContext,
    call: &AdmittedCall,
    chosen: &ChosenBackend,
    resume_after: Option<u64>,
    status: Option<StatusCode>,
) {
    if resume_after.is_none() {
        let elapsed = chosen.guard.since_sent();
        let backend = chosen.guard.backend();
        note_version_answer(
            context,
            call,
            backend,
            status,
            elapsed,
            chosen.expected_first_event,
        );
    }
}

/// Returns the refusal of a request that is not sent again.
fn final_refusal(
    context: &GatewayContext,
    call: &AdmittedCall,
    retry_state: &RetryState,
    not_executed: bool,
) -> CallRefusal {
    let is_late = call.time_left() <= MIN_TIME_LEFT;
    match (retry_state.possible_runs > 0, is_late) {
        (true, true) => CallRefusal::TimedOut,
        (true, false) => CallRefusal::Lost,
        (false, true) => CallRefusal::TooLate,
        (false, false) if not_executed => {
            CallRefusal::AllFull(promise_return(context, call, Duration::ZERO, None))
        }
        (false, false) if lacks_version(context, call, retry_state) => CallRefusal::VersionGone,
        (false, false) if context.paths.lock().is_cut_off() => CallRefusal::CutOff,
        (false, false) => CallRefusal::NoBackend,
    }
}

/// Returns whether no server accepts requests that runs the version to which the stream of a
/// request is bound.
fn lacks_version(context: &GatewayContext, call: &AdmittedCall, retry_state: &RetryState) -> bool {
    if retry_state.binding == VersionBinding::Free {
        return false;
    }
    let versions = request_rule(context, call, &retry_state.binding, false);
    let backends = context.backends.lock();
    let mut servers = backends.of_service(&call.service);
    !servers
        .any(|server| server.accepts_requests() && versions.admits(server.record.version.as_ref()))
}

async fn send_to_backend(
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

/// Returns whether the service has a healthy backend server to which the request
/// was not sent.
pub fn has_other_backend(
    context: &GatewayContext,
    call: &AdmittedCall,
    retry_state: &RetryState,
) -> bool {
    let versions = request_rule(context, call, &retry_state.binding, false);
    let versions = versions.fallback().unwrap_or(versions);
    let reachable = only_reachable(context);
    let backends = context.backends.lock();
    let limits = context.server_limits.lock();
    has_healthy_backend(
        &backends,
        context.now(),
        &choice_query(
            context,
            call,
            retry_state,
            &limits,
            &versions,
            reachable.as_ref(),
        ),
    )
}

/// Builds the query for choosing a backend server.
fn choice_query<'a>(
    context: &'a GatewayContext,
    call: &'a AdmittedCall,
    retry_state: &'a RetryState,
    limits: &'a ServerLimits,
    versions: &'a VersionRule,
    reachable: Option<&'a HashSet<BackendId>>,
) -> ChoiceQuery<'a> {
    ChoiceQuery {
        service: &call.service,
        zone: &context.settings.zone,
        request_hash: request_hash(call),
        prompt_blocks: &call.head.prompt_blocks,
        tried: &retry_state.tried,
        reachable,
        targets: stream_targets(context, call),
        limits,
        versions,
    }
}

/// Returns what the caller of a stream expects, if prompts are paced.
fn stream_targets(context: &GatewayContext, call: &AdmittedCall) -> Option<StreamTargets> {
    let is_paced = context.settings.load.prompt_pacing && call.route.streaming;
    is_paced.then_some(StreamTargets {
        latency: call.route.target_latency,
        pause: call.route.target_pause,
    })
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

/// The chosen backend server, where the request is already counted.
struct ChosenBackend {
    guard: SendGuard,
    address: SocketAddr,
    /// The expected time to the first event.
    expected_first_event: Duration,
}

/// The next step for a request.
enum NextStep {
    /// Send it to this backend server.
    Send(Box<ChosenBackend>),
    /// Refuse it for load shedding; the caller may retry after that time.
    Crowded {
        /// That time.
        after: Duration,
        /// The wait for a slot at the best server.
        slot_wait: Duration,
    },
    /// Refuse it because every server backs off or has reached its limit for this
    /// entry; the caller may retry after that time.
    AllClosed(Duration),
    /// No backend server is available.
    NoBackend,
}

fn choose_next_step(
    context: &Arc<GatewayContext>,
    call: &AdmittedCall,
    retry_state: &RetryState,
) -> NextStep {
    let now = context.now();
    let versions = request_rule(
        context,
        call,
        &retry_state.binding,
        retry_state.tried.is_empty(),
    );
    let fallback = versions.fallback();
    let reachable = only_reachable(context);
    let preferred = preferred_servers(context, retry_state, now);
    let mut backends = context.backends.lock();
    let mut limits = context.server_limits.lock();
    let allowed = reachable.as_ref().or(preferred.as_ref());
    let mut query = choice_query(context, call, retry_state, &limits, &versions, allowed);
    let mut choice = choose_with_fallback(&backends, now, &mut query, fallback.as_ref());
    if choice.is_none() && reachable.is_none() && preferred.is_some() {
        query.reachable = None;
        choice = choose_with_fallback(&backends, now, &mut query, fallback.as_ref());
    }
    let Some(choice) = choice else {
        let Some(after) = time_until_available(&backends, now, &query) else {
            return NextStep::NoBackend;
        };
        record_unsent_work(context, call, retry_state, now);
        return NextStep::AllClosed(after);
    };
    let choice = if retry_state.tried.is_empty() {
        if !retry_state.has_waited {
            let tokens = choice.prefill_tokens;
            context.work.lock().note(now, &call.service, tokens);
            note_demand(context, now, call);
        }
        match admit_choice(context, &backends, &query, now, call, choice) {
            Ok(choice) => choice,
            Err(refusal) => {
                return NextStep::Crowded {
                    after: refusal.after,
                    slot_wait: refusal.slot_wait,
                };
            }
        }
    } else {
        choice
    };
    let Some(backend) = backends.get(&choice.id) else {
        return NextStep::NoBackend;
    };
    let address = backend.record.address;
    let version = backend.record.version.clone();
    let had_free_slot = backend.occupancy(now) < backend.record.slots;
    let tokens_ahead = backend.pending_tokens + backend.peer_pending_tokens;
    let times = backends.times(&call.service);
    let expected_first_event = choice.first_event.saturating_sub(choice.slot_wait);
    let work = estimate_work(context, call, &times, choice.prefill_tokens);
    let block_ids: Vec<u64> = call
        .head
        .prompt_blocks
        .iter()
        .map(|block| block.id)
        .collect();
    backends.note_sent(now, &choice.id, choice.prefill_tokens, &block_ids);
    let is_first = retry_state.tried.is_empty();
    let work =
        work.map(|estimate| SentWork::begin(&mut backends, now, call, &choice, estimate, is_first));
    let is_limited = limits.note_sent(now, &choice.id);
    let count_period = backends.count_period();
    drop(limits);
    drop(backends);
    if is_limited {
        count_limited_send(context, &choice.id);
    }
    note_request(context, call, version.as_ref());
    let sent_request = SentRequest {
        backend: choice.id,
        address,
        version,
        digest: call.digest,
        prefill_tokens: choice.prefill_tokens,
        tokens_ahead,
        had_free_slot,
        sent_at: now,
        count_period,
        work,
    };
    let guard = SendGuard::new(context, sent_request);
    NextStep::Send(Box::new(ChosenBackend {
        guard,
        address,
        expected_first_event,
    }))
}

/// Returns the servers that a request prefers because some of its sends did not leave this
/// entry: another one that cannot be reached may cost it its last send.
fn preferred_servers(
    context: &GatewayContext,
    retry_state: &RetryState,
    now: Timestamp,
) -> Option<HashSet<BackendId>> {
    let prefers_reached = retry_state.unsent >= UNSENT_BEFORE_REACHED;
    prefers_reached.then(|| context.paths.lock().reached(now))
}

/// Chooses a server by the query. If the versions that it allows have no free slot, all
/// versions of `fallback` count: a new version must not cost a request its place.
fn choose_with_fallback<'a>(
    backends: &BackendSet,
    now: Timestamp,
    query: &mut ChoiceQuery<'a>,
    fallback: Option<&'a VersionRule>,
) -> Option<BackendChoice> {
    let choice = choose_backend(backends, now, query);
    let has_slot = choice
        .as_ref()
        .is_some_and(|choice| choice.slot_wait.is_zero());
    match fallback {
        Some(versions) if !has_slot => {
            query.versions = versions;
            choose_backend(backends, now, query).or(choice)
        }
        _ => choice,
    }
}

/// Counts the demand of a request that no server accepts now. Permits of entries
/// and planned replicas depend on the demand, not on the sent requests.
fn record_unsent_work(
    context: &GatewayContext,
    call: &AdmittedCall,
    retry_state: &RetryState,
    now: Timestamp,
) {
    if retry_state.tried.is_empty() && !retry_state.has_waited {
        let tokens = call
            .head
            .prompt_blocks
            .iter()
            .map(|block| block.tokens.0)
            .sum();
        context.work.lock().note(now, &call.service, tokens);
    }
}

/// Returns a hash of the request's identifier.
pub fn request_hash(call: &AdmittedCall) -> u64 {
    XxHash64::oneshot(2, call.head.id.0.as_bytes())
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
