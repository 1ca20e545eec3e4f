//! Applies roll-outs to single requests: which servers one may be sent to, and what its
//! answer says of their version.

use std::time::Duration;

use http::StatusCode;
use metrics::counter;

use crate::gateway::backend_record::BackendId;
use crate::gateway::call_admission::AdmittedCall;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::rollout_evidence::AnswerKind;
use crate::gateway::rollout_evidence::PaceRange;
use crate::gateway::rollout_evidence::RouteClass;
use crate::gateway::rollout_exposure::VersionRule;
use crate::gateway::stream_waits::preferred_version;
use crate::gateway::version_binding::VersionBinding;
use crate::id::ServerVersion;

/// Returns which servers a request may be sent to now. `is_first` tells whether it was not
/// sent before.
pub fn request_rule(
    context: &GatewayContext,
    call: &AdmittedCall,
    binding: &VersionBinding,
    is_first: bool,
) -> VersionRule {
    let bound = match binding {
        VersionBinding::Free => None,
        VersionBinding::Bound(_) => binding.rule(&context.backends.lock(), &call.service),
    };
    // While streams of other versions wait for the store, the default one goes first.
    let preferred = match bound {
        None if call.route.streaming && call.route.may_repeat() => {
            preferred_version(context, &call.service)
        }
        _ => None,
    };
    let Some(bounds) = &context.settings.rollout else {
        let free = preferred.map_or(VersionRule::Any, VersionRule::Only);
        return bound.unwrap_or(free);
    };
    let mut rollouts = context.rollouts.lock();
    if is_first {
        rollouts.note_arrival(&call.service, bounds);
    }
    match bound {
        // A version that was found to be bad gets no requests, not even those.
        Some(VersionRule::Same(Some(version)))
            if rollouts.was_rolled_back(&call.service, &version) =>
        {
            VersionRule::Nothing
        }
        Some(rule) => rule,
        None => {
            let rule = rollouts.rule(context.now(), &call.service, call.route.may_repeat());
            match preferred {
                Some(version) if rule.admits(Some(&version)) => VersionRule::Only(version),
                _ => rule,
            }
        }
    }
}

/// Counts a request that is sent to a server of a version.
pub fn note_request(
    context: &GatewayContext,
    call: &AdmittedCall,
    version: Option<&ServerVersion>,
) {
    if context.settings.rollout.is_some() {
        context.rollouts.lock().note_sent(&call.service, version);
    }
}

/// Counts an answer, or an attempt that was given up for its slowness, for which `status`
/// is `None`. `expected` is the expected time to the first event of a stream.
pub fn note_version_answer(
    context: &GatewayContext,
    call: &AdmittedCall,
    backend: &BackendId,
    status: Option<StatusCode>,
    elapsed: Duration,
    expected: Duration,
) {
    if context.settings.rollout.is_none() {
        return;
    }
    let record = context.backends.lock();
    let version = record
        .get(backend)
        .and_then(|backend| backend.record.version.clone());
    drop(record);
    let expected = match call.route.streaming {
        true => expected,
        false => call.route.target_latency,
    };
    let is_failure = status.is_some_and(|status| status.is_server_error());
    let kind = match PaceRange::of(elapsed.as_secs_f64() / expected.as_secs_f64()) {
        _ if is_failure => AnswerKind::Failed,
        Some(range) => AnswerKind::Served(range),
        None => return,
    };
    let class = RouteClass::of(&call.route.name);
    let mut rollouts = context.rollouts.lock();
    let side = rollouts.note_answer(&call.service, class, backend, version.as_ref(), kind);
    drop(rollouts);
    if let Some(side) = side {
        let result = if is_failure { "failed" } else { "served" };
        counter!("cloverbend_rollout_answers_total", "version" => side.label(), "result" => result)
            .increment(1);
    }
}
