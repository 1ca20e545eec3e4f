//! Sends a request to backend servers until one begins to respond.
//!
//! A request that must run at most once is retried only if it certainly did not
//! run: it was not sent, or the backend server reported that it did not run it.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;

use crate::gateway::backend_pool::Exchange;
use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_record::BackendOutcome;
use crate::gateway::call_admission::AdmittedCall;
use crate::gateway::call_log::log_request_sent;
use crate::gateway::call_log::log_send_failed;
use crate::gateway::call_log::note_outcome;
use crate::gateway::call_refusal::CallRefusal;
use crate::gateway::call_return::promise_return;
use crate::gateway::entry_wait::QueuedCall;
use crate::gateway::entry_wait::join_entry_queue;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::limit_exchange::count_limited_send;
use crate::gateway::platform_interface::ResponseHead;
use crate::gateway::response_framing::ResponseFraming;
use crate::gateway::retry_exchange::take_retry_budget;
use crate::gateway::retry_state::MIN_TIME_LEFT;
use crate::gateway::retry_state::RetryState;
use crate::gateway::rollout_routing::note_version_answer;
use crate::gateway::send_choice::ChosenBackend;
use crate::gateway::send_choice::NextStep;
use crate::gateway::send_choice::choose_next_step;
use crate::gateway::send_choice::has_free_slot;
use crate::gateway::send_choice::lacks_version;
use crate::gateway::send_guard::HELPER_LOST;
use crate::gateway::send_guard::SendGuard;
use crate::gateway::send_guard::SentExtent;
use crate::gateway::server_paths::ServerPath;
use crate::gateway::single_send::SendResult;
use crate::gateway::single_send::send_to_backend;
use crate::quantity::Timestamp;

/// The largest number of backend servers to which one request is sent before it
/// gets a response.
const MAX_SENDS: usize = 4;

/// A response whose head has arrived from a backend server.
pub struct BackendResponse {
    /// The response and its connection.
    pub exchange: Exchange,
    /// The decoded response head.
    pub head: ResponseHead,
    /// Counts the request at the backend server.
    pub guard: SendGuard,
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
        if retry_state.possible_runs > 0 && must_not_run_again(context, call) {
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
        // A request that waited may crash servers by what is known now.
        if retry_state.possible_runs == 0
            && let Some(refusal) = crash_refusal(context, call)
        {
            chosen.guard.note_resolved();
            return Err(refusal);
        }
        // A server that is sent the same as the one that crashed runs all that was run there.
        chosen.guard.note_extent(match retry_state.possible_runs {
            _ if resume_after > call.head.last_event => SentExtent::Rest,
            _ if call.head.last_event.is_none() => SentExtent::Whole,
            0 => SentExtent::Rest,
            _ => SentExtent::RepeatedRest(retry_state.longest_interrupted),
        });
        let backend = chosen.guard.backend().clone();
        retry_state.tried.push(backend.clone());
        let mut result = send_to_backend(context, call, retry_state, &chosen, resume_after).await;
        if let SendResult::Lost(HELPER_LOST) = result
            && may_change_helper(context, call, retry_state, &backend)
        {
            log_send_failed(context, call, &backend, HELPER_LOST);
            let again = send_to_backend(context, call, retry_state, &chosen, resume_after).await;
            result = after_lost_helper(again);
        }
        let outcome = match result {
            SendResult::Responded(exchange, head) => {
                retry_state.possible_runs += 1;
                let status = exchange.response.status();
                let framing = ResponseFraming::of(&exchange.response);
                if !exchange.connection.is_relayed() {
                    note_answer(context, call, &chosen, resume_after, Some(status));
                }
                chosen
                    .guard
                    .note_head(status, framing, exchange.connection.is_relayed());
                log_request_sent(context, call, &chosen.guard, resume_after);
                return Ok(BackendResponse {
                    exchange: *exchange,
                    head,
                    guard: chosen.guard,
                });
            }
            SendResult::NotExecuted(outcome) => {
                chosen.guard.note_resolved();
                note_outcome(context, &backend, outcome);
                not_executed = true;
                log_send_failed(context, call, &backend, "not_run");
                if !take_retry_budget(context, call) {
                    break;
                }
                continue;
            }
            SendResult::NotSent => {
                chosen.guard.note_resolved();
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
                chosen.guard.note_resolved();
                log_send_failed(context, call, &backend, "no_path");
                continue;
            }
            SendResult::Abandoned => {
                note_answer(context, call, &chosen, resume_after, None);
                retry_state.possible_runs += 1;
                chosen.guard.note_broken();
                retry_state.note_interrupted(chosen.guard.run_time());
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
        retry_state.note_interrupted(chosen.guard.run_time());
        log_send_failed(context, call, &backend, outcome);
        if !retry_state.may_retry(call) || !take_retry_budget(context, call) {
            break;
        }
    }
    Err(final_refusal(context, call, retry_state, not_executed))
}

/// Returns whether a request whose helper was lost is sent to the same server through another
/// one, and takes what that costs. It counts once against the attempts of its route, which are
/// servers; the server may run it twice, so it is a retry and a further send for limits.
fn may_change_helper(
    context: &GatewayContext,
    call: &AdmittedCall,
    retry_state: &RetryState,
    backend: &BackendId,
) -> bool {
    let now = context.now();
    let accepts = || {
        let backends = context.backends.lock();
        let state = backends.get(backend);
        state.is_some_and(|one| one.accepts_requests() && one.back_off_left(now).is_none())
    };
    let is_allowed = retry_state.repeatable
        && call.time_left() > MIN_TIME_LEFT
        && context.helpers.lock().has_prompt(now)
        && accepts()
        && !must_not_run_again(context, call)
        && take_retry_budget(context, call);
    is_allowed && take_limited_send(context, now, backend)
}

/// Takes a send out of the limit of a server, if it has one. Returns whether it may be sent.
fn take_limited_send(context: &GatewayContext, now: Timestamp, backend: &BackendId) -> bool {
    let mut limits = context.server_limits.lock();
    if !limits.may_send(now, backend) {
        return false;
    }
    let is_limited = limits.note_sent(now, backend);
    drop(limits);
    if is_limited {
        count_limited_send(context, backend);
    }
    true
}

/// Returns what became of a request that was sent again after its helper was lost. It may have
/// run through that one, whatever the second one says.
fn after_lost_helper(again: SendResult) -> SendResult {
    match again {
        SendResult::NotExecuted(_) | SendResult::NotSent | SendResult::NoPath => {
            SendResult::Lost(HELPER_LOST)
        }
        SendResult::Responded(..) | SendResult::Lost(_) | SendResult::Abandoned => again,
    }
}

/// Returns the refusal of a request under which servers crash, or may crash.
fn crash_refusal(context: &GatewayContext, call: &AdmittedCall) -> Option<CallRefusal> {
    if call.is_trial {
        return None;
    }
    let mut ledger = context.crashes.lock();
    CallRefusal::of_safety(ledger.judge(context.now(), &call.features))
}

/// Returns whether a request that may have run must not run again, since servers crash under it.
fn must_not_run_again(context: &GatewayContext, call: &AdmittedCall) -> bool {
    let mut ledger = context.crashes.lock();
    ledger.refuses(context.now(), &call.features) || ledger.forbids_retry(&call.features)
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
