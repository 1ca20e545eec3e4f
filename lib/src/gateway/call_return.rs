//! Joins return promises to the requests of callers and to the gossip.

use std::time::Duration;

use metrics::counter;
use slog::info;
use twox_hash::XxHash64;

use crate::gateway::backend_choice::BackendChoice;
use crate::gateway::call_admission::AdmittedCall;
use crate::gateway::call_refusal::RetryTime;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::log_budget::LineClass;
use crate::gateway::peer_gossip::GatewayGossip;
use crate::gateway::return_promises::PromiseSource;
use crate::gateway::return_promises::ReturnStatus;
use crate::gateway::return_schedule::ReturnPlan;
use crate::gateway::return_schedule::ReturnQuery;
use crate::quantity::Timestamp;

/// What is decided about a request because its caller was asked to return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnDecision {
    /// It is treated like a new request.
    Undecided,
    /// It came too early, and may use a slot that is free.
    UseFreeSlot,
    /// It is sent in spite of the load.
    Admit,
    /// It is refused again, since it came too early.
    RefuseEarly,
    /// It is refused, since it cannot be served any more before its deadline.
    RefuseLate,
}

/// Decides about a request for which a server was chosen. A slot that is free makes
/// nobody wait, so a return too early may use it.
pub fn decide_return(
    context: &GatewayContext,
    call: &AdmittedCall,
    choice: &BackendChoice,
    now: Timestamp,
) -> ReturnDecision {
    if !context.settings.load.return_promises {
        return ReturnDecision::Undecided;
    }
    let mut promises = context.promises.lock();
    match promises.status(now, call.digest) {
        ReturnStatus::New | ReturnStatus::Deferred => ReturnDecision::Undecided,
        ReturnStatus::Early(_) if choice.slot_wait.is_zero() => ReturnDecision::UseFreeSlot,
        ReturnStatus::Early(_) => ReturnDecision::RefuseEarly,
        ReturnStatus::Promised => {
            if choice.first_event > call.time_left() {
                return ReturnDecision::RefuseLate;
            }
            promises.note_kept(now, call.digest);
            counter!("cloverbend_promises_kept_total").increment(1);
            ReturnDecision::Admit
        }
    }
}

/// Notes that a return is sent before its time. Its place is free again.
pub fn note_early_return(context: &GatewayContext, call: &AdmittedCall, now: Timestamp) {
    context.promises.lock().note_kept(now, call.digest);
}

/// Returns when the caller of a refused request should retry, and remembers it.
/// `otherwise` is the time without promises; `queue_wait` is the wait for a slot.
pub fn promise_return(
    context: &GatewayContext,
    call: &AdmittedCall,
    queue_wait: Duration,
    otherwise: Option<Duration>,
) -> RetryTime {
    if !context.settings.load.return_promises {
        return RetryTime {
            after: otherwise,
            is_return: false,
        };
    }
    let now = context.now();
    let entries = context.peers.lock().entry_counts(now).entries;
    let query = return_query(context, call, queue_wait, entries);
    let mut promises = context.promises.lock();
    let status = promises.status(now, call.digest);
    let plan = promises.promise(now, call.digest, &call.service, &query);
    drop(promises);
    let is_return = status != ReturnStatus::New;
    let is_early = matches!(status, ReturnStatus::Early(_));
    let after = match plan {
        ReturnPlan::Room(after) => {
            if !is_early {
                counter!("cloverbend_promises_made_total").increment(1);
            }
            after
        }
        ReturnPlan::NoRoom(after) => {
            if !is_early {
                counter!("cloverbend_promises_without_room_total").increment(1);
            }
            after
        }
    };
    if context.may_log(&call.head.id.0, LineClass::Failure) {
        info!(context.log, "return promised"; "request" => %call.head.id, "digest" => %call.digest,
            "route" => &call.route.name, "urgency" => call.priority(),
            "has_room" => matches!(plan, ReturnPlan::Room(_)), "is_return" => is_return,
            "after_ms" => after.as_millis() as u64);
    }
    RetryTime {
        after: Some(after),
        is_return,
    }
}

fn return_query(
    context: &GatewayContext,
    call: &AdmittedCall,
    queue_wait: Duration,
    entries: usize,
) -> ReturnQuery {
    let now = context.now();
    let backends = context.backends.lock();
    let serving = backends
        .of_service(&call.service)
        .filter(|backend| backend.accepts_requests())
        .filter(|backend| !backend.is_missing() && !backend.is_ejected(now));
    let slots: u32 = serving.map(|backend| backend.record.slots).sum();
    let slot_time = backends.times(&call.service).processing_time;
    drop(backends);
    ReturnQuery {
        queue_wait,
        time_left: call.time_left(),
        slots,
        slot_time,
        urgency: call.priority(),
        entries,
        draw: random_share(6, call),
    }
}

/// Returns the random number that decides about shedding a request. It is the same for
/// all attempts of a request, so that retrying often does not raise the chance of being
/// served.
pub fn shedding_draw(context: &GatewayContext, call: &AdmittedCall, of_attempt: f64) -> f64 {
    match context.settings.load.return_promises {
        true => random_share(7, call),
        false => of_attempt,
    }
}

fn random_share(seed: u64, call: &AdmittedCall) -> f64 {
    XxHash64::oneshot(seed, &call.digest.0.to_le_bytes()) as f64 / u64::MAX as f64
}

/// Merges the promises in a gossip message.
pub fn apply_promises(context: &GatewayContext, now: Timestamp, gossip: &GatewayGossip) {
    if !context.settings.load.return_promises {
        return;
    }
    let mut promises = context.promises.lock();
    let mut ignored = promises.merge(now, &gossip.promises, PromiseSource::Direct);
    if let Some(summary) = &gossip.summary {
        ignored += promises.merge(now, &summary.promises, PromiseSource::Relayed);
    }
    drop(promises);
    if ignored > 0 {
        counter!("cloverbend_promises_ignored_total").increment(ignored as u64);
    }
}

/// Forgets promises whose time is past.
pub fn purge_promises(context: &GatewayContext, now: Timestamp) {
    let expired = context.promises.lock().purge(now);
    if expired > 0 {
        counter!("cloverbend_promises_expired_total").increment(expired as u64);
    }
}
