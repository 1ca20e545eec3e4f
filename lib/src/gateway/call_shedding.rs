//! Decides whether a request is sent to the server that was chosen for it, to another one
//! with a free slot, or refused because its service is crowded.

use std::time::Duration;

use metrics::counter;

use crate::gateway::admission_exchange::admit_by_room;
use crate::gateway::backend_choice::BackendChoice;
use crate::gateway::backend_choice::ChoiceQuery;
use crate::gateway::backend_choice::choose_free_backend;
use crate::gateway::backend_set::BackendSet;
use crate::gateway::call_admission::AdmittedCall;
use crate::gateway::call_log::log_crowded_out;
use crate::gateway::call_log::log_shed;
use crate::gateway::call_return::ReturnDecision;
use crate::gateway::call_return::decide_return;
use crate::gateway::call_return::note_early_return;
use crate::gateway::call_return::shedding_draw;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::load_shedding::SheddingQuery;
use crate::gateway::load_shedding::retry_delay;
use crate::gateway::load_shedding::shed_request;
use crate::gateway::send_choice::request_hash;
use crate::gateway::shared_admission::AdmissionRefusal;
use crate::quantity::Timestamp;

/// Why a request is refused for the load.
enum SheddingCause {
    /// Its caller returned before the promised time.
    EarlyReturn,
    /// Its caller returned in time, but it cannot be served any more before its deadline.
    LateReturn,
    /// The server is full.
    Full,
    /// Its service has no room for it.
    NoRoom(AdmissionRefusal),
}

/// The refusal of a request for the load.
pub struct SheddingRefusal {
    /// The time after which the caller may retry.
    pub after: Duration,
    /// The wait for a slot at the best server.
    pub slot_wait: Duration,
}

/// Returns the server that a request is sent to, which is `choice` unless the request would
/// be refused there and another server has a free slot. The costs of a server that failed
/// some requests keep others away from it, but it is better than none.
///
/// # Errors
///
/// No server has room for the request.
pub fn admit_choice(
    context: &GatewayContext,
    backends: &BackendSet,
    query: &ChoiceQuery<'_>,
    now: Timestamp,
    call: &AdmittedCall,
    choice: BackendChoice,
) -> Result<BackendChoice, SheddingRefusal> {
    let Err(cause) = admit(context, backends, now, call, &choice) else {
        return Ok(choice);
    };
    if let Some(free) = choose_free_backend(backends, now, query)
        && admit(context, backends, now, call, &free).is_ok()
    {
        return Ok(free);
    }
    let slot_wait = choice.slot_wait;
    let after = match &cause {
        SheddingCause::EarlyReturn | SheddingCause::LateReturn => slot_wait,
        SheddingCause::Full | SheddingCause::NoRoom(_) => {
            retry_delay(&shedding_query(context, call, &choice))
        }
    };
    note_refusal(context, backends, call, &choice, &cause);
    Err(SheddingRefusal { after, slot_wait })
}

/// Decides whether a request may be sent to a server, by the load and by when its caller was
/// asked to return.
fn admit(
    context: &GatewayContext,
    backends: &BackendSet,
    now: Timestamp,
    call: &AdmittedCall,
    choice: &BackendChoice,
) -> Result<(), SheddingCause> {
    match decide_return(context, call, choice, now) {
        ReturnDecision::Admit => Ok(()),
        ReturnDecision::RefuseEarly => Err(SheddingCause::EarlyReturn),
        ReturnDecision::RefuseLate => Err(SheddingCause::LateReturn),
        ReturnDecision::Undecided => admit_by_load(context, backends, now, call, choice),
        ReturnDecision::UseFreeSlot => {
            admit_by_load(context, backends, now, call, choice)?;
            note_early_return(context, call, now);
            Ok(())
        }
    }
}

fn admit_by_load(
    context: &GatewayContext,
    backends: &BackendSet,
    now: Timestamp,
    call: &AdmittedCall,
    choice: &BackendChoice,
) -> Result<(), SheddingCause> {
    let query = shedding_query(context, call, choice);
    if context.settings.load.shared_admission {
        return admit_by_room(context, backends, now, call, choice, query.draw)
            .map_err(SheddingCause::NoRoom);
    }
    match shed_request(&query) {
        None => Ok(()),
        Some(_) => Err(SheddingCause::Full),
    }
}

fn note_refusal(
    context: &GatewayContext,
    backends: &BackendSet,
    call: &AdmittedCall,
    choice: &BackendChoice,
    cause: &SheddingCause,
) {
    match cause {
        SheddingCause::EarlyReturn => {
            counter!("cloverbend_early_returns_refused_total").increment(1);
        }
        SheddingCause::LateReturn => counter!("cloverbend_promises_broken_total").increment(1),
        SheddingCause::Full => {
            if let Some(backend) = backends.get(&choice.id) {
                log_shed(context, call, choice, backend);
            }
        }
        SheddingCause::NoRoom(refusal) => log_crowded_out(context, call, refusal),
    }
}

fn shedding_query(
    context: &GatewayContext,
    call: &AdmittedCall,
    choice: &BackendChoice,
) -> SheddingQuery {
    let draw = request_hash(call) as f64 / u64::MAX as f64;
    SheddingQuery {
        expected_latency: choice.first_event,
        slot_wait: choice.slot_wait,
        target_latency: call.route.target_latency.min(call.time_left()),
        shortest_target: call.shortest_target,
        urgency: call.priority(),
        draw: shedding_draw(context, call, draw),
    }
}
