//! Sends a request to backend servers until one begins to answer.
//!
//! A request that may run only once is sent again only if certainly nothing of
//! it ran: nothing left this process, or the backend server said so.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use twox_hash::XxHash64;

use crate::gateway::backend_choice::BackendChoice;
use crate::gateway::backend_choice::ChoiceQuery;
use crate::gateway::backend_choice::choose_backend;
use crate::gateway::backend_choice::has_healthy_backend;
use crate::gateway::backend_choice::time_until_available;
use crate::gateway::backend_pool::Exchange;
use crate::gateway::backend_pool::ExchangeError;
use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_record::BackendOutcome;
use crate::gateway::call_admission::AdmittedCall;
use crate::gateway::call_log::log_send;
use crate::gateway::call_log::log_sent;
use crate::gateway::call_log::note_outcome;
use crate::gateway::call_refusal::CallRefusal;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::load_shedding::SheddingQuery;
use crate::gateway::load_shedding::shed_request;
use crate::gateway::platform_interface::ForwardedHead;
use crate::gateway::platform_interface::ResponseHead;
use crate::gateway::report_handler::handle_report;
use crate::gateway::send_guard::CONNECTION_LOST;
use crate::gateway::send_guard::SERVER_RESTARTED;
use crate::gateway::send_guard::SendGuard;
use crate::gateway::send_guard::SentRequest;
use crate::gateway::server_limits::ServerLimits;
use crate::quantity::Timestamp;

/// The least time left for which a request is sent.
const LEAST_LEFT: Duration = Duration::from_millis(10);
/// The most backend servers that one request is offered to.
const MAX_OFFERS: usize = 4;
/// The share of its target latency after which a repeatable request is tried
/// elsewhere. Most of those that have no answer by then wait behind a long
/// prompt, or their server is dark; nine in ten are answered within a quarter,
/// so that the second try is still in time.
const FIRST_TRY_SHARE: f64 = 0.6;
/// How many times the expected time to its first event a prompt is left to a
/// replica: as long again as the try elsewhere would take.
const EXPECTED_TIMES: u32 = 2;

/// An answer of which the head has come, and the backend server that sent it.
pub struct SentCall {
    /// The answer on its connection.
    pub exchange: Exchange,
    /// Its decoded head.
    pub answer: ResponseHead,
    /// Counts the request at its backend server.
    pub guard: SendGuard,
}

/// What was tried for a request so far.
pub struct SendPlan {
    tried: Vec<BackendId>,
    runs: u32,
    repeatable: bool,
}

impl SendPlan {
    /// Returns the plan of a request that was not sent yet.
    pub fn new(call: &AdmittedCall) -> Self {
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
        let entries = context.peers.lock().entry_counts(now).entries;
        let rule = &context.settings.bounds.resend;
        let mut budget = context.retry_budget.lock();
        budget.take(now, &call.service, rule, entries)
    }
}

/// What became of one send.
enum SendResult {
    /// The backend server began to answer.
    Answered(Box<Exchange>, ResponseHead),
    /// It said that it did not run the request.
    NotRun(BackendOutcome),
    /// Nothing left this process.
    NotSent,
    /// It may have run; the word tells what was seen.
    Lost(&'static str),
    /// It was given up for another server, for which the budget was taken.
    GivenUp,
}

/// Sends a request until a backend server begins to answer. With `resume_at`
/// the answer goes on after that event.
///
/// # Errors
///
/// A refusal, which promises that the request did not run only if no send of
/// it may have.
pub async fn next_send(
    context: &Arc<GatewayContext>,
    call: &AdmittedCall,
    plan: &mut SendPlan,
    resume_at: Option<u64>,
) -> Result<SentCall, CallRefusal> {
    let mut refused = false;
    for _ in 0..MAX_OFFERS {
        if call.left() <= LEAST_LEFT {
            break;
        }
        if plan.runs > 0 && context.crashes.lock().refuses(context.now(), call.digest) {
            break;
        }
        let mut chosen = match choose(context, call, plan) {
            Choice::Server(chosen) => chosen,
            Choice::Crowded(after) => return Err(CallRefusal::Crowded(after)),
            // Where it may have run, that is what its caller has to know.
            Choice::AllClosed(after) if plan.runs == 0 => {
                return Err(CallRefusal::AllClosed(after));
            }
            Choice::AllClosed(_) | Choice::NoServer => break,
        };
        let backend = chosen.guard.backend().clone();
        plan.tried.push(backend.clone());
        let word = match send_once(context, call, plan, &chosen, resume_at).await {
            SendResult::Answered(exchange, answer) => {
                plan.runs += 1;
                chosen.guard.note_head();
                log_sent(context, call, &backend, chosen.unread);
                return Ok(SentCall {
                    exchange: *exchange,
                    answer,
                    guard: chosen.guard,
                });
            }
            SendResult::NotRun(outcome) => {
                note_outcome(context, &backend, outcome);
                refused = true;
                log_send(context, call, &backend, "not_run");
                if !plan.take_budget(context, call) {
                    break;
                }
                continue;
            }
            SendResult::NotSent => {
                note_outcome(context, &backend, BackendOutcome::Broken);
                log_send(context, call, &backend, "not_sent");
                continue;
            }
            SendResult::GivenUp => {
                plan.runs += 1;
                note_outcome(context, &backend, BackendOutcome::Broken);
                log_send(context, call, &backend, "given_up");
                continue;
            }
            SendResult::Lost(word) => word,
        };
        plan.runs += 1;
        note_outcome(context, &backend, BackendOutcome::Broken);
        chosen.guard.note_interrupted(word);
        log_send(context, call, &backend, word);
        if !plan.may_run_again(call) || !plan.take_budget(context, call) {
            break;
        }
    }
    Err(final_refusal(call, plan, refused))
}

/// Returns the refusal of a request that is not offered any more.
fn final_refusal(call: &AdmittedCall, plan: &SendPlan, refused: bool) -> CallRefusal {
    let late = call.left() <= LEAST_LEFT;
    match (plan.runs > 0, late) {
        (true, true) => CallRefusal::TimedOut,
        (true, false) => CallRefusal::Lost,
        (false, true) => CallRefusal::TooLate,
        (false, false) if refused => CallRefusal::AllFull,
        (false, false) => CallRefusal::NoBackend,
    }
}

async fn send_once(
    context: &GatewayContext,
    call: &AdmittedCall,
    plan: &SendPlan,
    chosen: &ChosenBackend,
    resume_at: Option<u64>,
) -> SendResult {
    let backend = chosen.guard.backend();
    let request = build_send(context, call, backend, resume_at);
    let exchange = context.pool.exchange(backend, chosen.address, request);
    let mut exchange = std::pin::pin!(exchange);
    if let Some(patience) = first_try_patience(call, plan, chosen) {
        let early = tokio::select! {
            biased;
            early = tokio::time::timeout(patience, &mut exchange) => early,
            () = chosen.guard.restart_token.cancelled() => return SendResult::Lost(SERVER_RESTARTED),
        };
        if let Ok(result) = early {
            return judge_exchange(context, call, backend, result);
        }
        // Without the means for another try, this one is still the best.
        if has_other_server(context, call, plan) && plan.take_budget(context, call) {
            return SendResult::GivenUp;
        }
    }
    tokio::select! {
        biased;
        result = context.clock.timeout_at(call.until, exchange) => match result {
            Ok(result) => judge_exchange(context, call, backend, result),
            Err(_) => SendResult::Lost("no_answer"),
        },
        () = chosen.guard.restart_token.cancelled() => SendResult::Lost(SERVER_RESTARTED),
    }
}

fn judge_exchange(
    context: &GatewayContext,
    call: &AdmittedCall,
    backend: &BackendId,
    result: Result<Exchange, ExchangeError>,
) -> SendResult {
    match result {
        Ok(exchange) => judge_answer(context, call, backend, exchange),
        Err(ExchangeError::NotSent(_)) => SendResult::NotSent,
        Err(ExchangeError::Lost(_)) => SendResult::Lost(CONNECTION_LOST),
    }
}

/// Returns whether the service has a sound backend server that the request was
/// not sent to.
pub fn has_other_server(context: &GatewayContext, call: &AdmittedCall, plan: &SendPlan) -> bool {
    let backends = context.backends.lock();
    let limits = context.server_limits.lock();
    has_healthy_backend(
        &backends,
        context.now(),
        &choice_query(context, call, plan, &limits),
    )
}

/// Returns what the choice of a server for a request depends on.
fn choice_query<'a>(
    context: &'a GatewayContext,
    call: &'a AdmittedCall,
    plan: &'a SendPlan,
    limits: &'a ServerLimits,
) -> ChoiceQuery<'a> {
    ChoiceQuery {
        service: &call.service,
        zone: &context.settings.zone,
        prompt_blocks: &call.head.prompt_blocks,
        tried: &plan.tried,
        limits,
    }
}

/// Judges the head of an answer: whether it belongs to the request, and whether
/// the request ran.
fn judge_answer(
    context: &GatewayContext,
    call: &AdmittedCall,
    backend: &BackendId,
    exchange: Exchange,
) -> SendResult {
    let status = exchange.response.status();
    let headers = exchange.response.headers();
    let answer = context.platform.format.decode_response(status, headers);
    if let Some(load) = answer.load {
        let now = context.now();
        context.backends.lock().note_load(now, backend, load);
    }
    if answer.request_id.as_ref() != Some(&call.head.id.0) {
        // The answer of an earlier request came late, in the place of this
        // one's; the connection closes with it.
        return SendResult::Lost("other_answer");
    }
    // Where another server has the address, that one speaks.
    if status != StatusCode::MISDIRECTED_REQUEST {
        handle_report(context, backend, &answer.report);
    }
    if answer.not_executed {
        // Another server has the address: this one is gone.
        let gone = status == StatusCode::MISDIRECTED_REQUEST;
        return SendResult::NotRun(if gone {
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
    SendResult::Answered(Box::new(exchange), answer)
}

/// A backend server that was chosen, with the request counted there.
struct ChosenBackend {
    guard: SendGuard,
    address: SocketAddr,
    unread: u64,
    /// How long the first event of its answer is expected to take.
    first_event: Duration,
}

/// What is done with a request next.
enum Choice {
    /// It is sent.
    Server(Box<ChosenBackend>),
    /// It is turned away, and may come back after a while.
    Crowded(Duration),
    /// All servers rest, or have limits of which nothing is left for this entry
    /// now; it may come back after a while.
    AllClosed(Duration),
    /// There is no server to send it to.
    NoServer,
}

fn choose(context: &Arc<GatewayContext>, call: &AdmittedCall, plan: &SendPlan) -> Choice {
    let now = context.now();
    let mut backends = context.backends.lock();
    let mut limits = context.server_limits.lock();
    let query = choice_query(context, call, plan, &limits);
    let Some(choice) = choose_backend(&backends, now, &query) else {
        let Some(after) = time_until_available(&backends, now, &query) else {
            return Choice::NoServer;
        };
        note_unsent_work(context, call, plan, now);
        return Choice::AllClosed(after);
    };
    let Some(backend) = backends.get(&choice.id) else {
        return Choice::NoServer;
    };
    let address = backend.record.address;
    let had_room = backend.occupancy(now) < backend.record.slots;
    let ahead = backend.pending_tokens + backend.peer_pending_tokens;
    let speed = backends.times(&call.service).prefill_speed;
    let first_event = speed.first_event(ahead + choice.prefill_tokens);
    if plan.tried.is_empty() {
        context
            .work
            .lock()
            .note(now, &call.service, choice.prefill_tokens);
        if let Some(after) = shed_request(&crowd_query(call, &choice)) {
            return Choice::Crowded(after);
        }
    }
    let parts: Vec<u64> = call.head.prompt_blocks.iter().map(|part| part.id).collect();
    backends.note_sent(now, &choice.id, choice.prefill_tokens, &parts);
    limits.note_sent(now, &choice.id);
    drop(limits);
    drop(backends);
    let terms = SentRequest {
        backend: choice.id,
        address,
        digest: call.digest,
        prefill_tokens: choice.prefill_tokens,
        tokens_ahead: ahead,
        had_free_slot: had_room,
        sent_at: now,
    };
    let guard = SendGuard::new(context, terms);
    Choice::Server(Box::new(ChosenBackend {
        guard,
        address,
        unread: choice.prefill_tokens,
        first_event,
    }))
}

/// Notes the work of a request that no server takes now: entries get permits, and
/// replicas are planned, by the requests that come.
fn note_unsent_work(
    context: &GatewayContext,
    call: &AdmittedCall,
    plan: &SendPlan,
    now: Timestamp,
) {
    if plan.tried.is_empty() {
        let tokens = call
            .head
            .prompt_blocks
            .iter()
            .map(|part| part.tokens.0)
            .sum();
        context.work.lock().note(now, &call.service, tokens);
    }
}

fn crowd_query(call: &AdmittedCall, choice: &BackendChoice) -> SheddingQuery {
    let number = XxHash64::oneshot(2, call.head.id.0.as_bytes());
    SheddingQuery {
        expected_latency: choice.first_event,
        slot_wait: choice.slot_wait,
        target_latency: call.route.target_latency.min(call.left()),
        shortest_target: call.shortest_target,
        urgency: call.priority(),
        draw: number as f64 / u64::MAX as f64,
    }
}

/// Returns how long to wait for the head of an answer before another backend
/// server is tried, if one may be. A prompt that takes long to read is not
/// given up while it is read: another replica would read it from its start.
fn first_try_patience(
    call: &AdmittedCall,
    plan: &SendPlan,
    chosen: &ChosenBackend,
) -> Option<Duration> {
    let more = plan.repeatable && plan.runs + 1 < call.route.max_attempts;
    let share = call.route.target_latency.mul_f64(FIRST_TRY_SHARE);
    let reading = match call.route.streaming {
        true => chosen.first_event * EXPECTED_TIMES,
        false => Duration::ZERO,
    };
    more.then(|| share.max(reading).min(call.left() / 2))
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
    let terms = ForwardedHead {
        backend,
        time_left: call.left(),
        account: call.account_name(),
        priority: call.head.tokens.map(|_| call.priority()),
        last_event: resume_at.or(call.head.last_event),
    };
    context
        .platform
        .format
        .encode_request(request.headers_mut(), &terms);
    request
}
