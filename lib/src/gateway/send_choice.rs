//! Chooses the backend server that gets a request next, and counts the request there.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use twox_hash::XxHash64;

use crate::gateway::admission_exchange::note_demand;
use crate::gateway::backend_choice::BackendChoice;
use crate::gateway::backend_choice::ChoiceQuery;
use crate::gateway::backend_choice::choose_backend;
use crate::gateway::backend_choice::has_healthy_backend;
use crate::gateway::backend_choice::time_until_available;
use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_set::BackendSet;
use crate::gateway::call_admission::AdmittedCall;
use crate::gateway::call_shedding::admit_choice;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::limit_exchange::count_limited_send;
use crate::gateway::prompt_pacing::StreamTargets;
use crate::gateway::relay_client::only_reachable;
use crate::gateway::retry_state::RetryState;
use crate::gateway::rollout_exposure::VersionRule;
use crate::gateway::rollout_routing::note_request;
use crate::gateway::rollout_routing::request_rule;
use crate::gateway::send_guard::SendGuard;
use crate::gateway::send_guard::SentRequest;
use crate::gateway::sent_work::SentWork;
use crate::gateway::sent_work::estimate_work;
use crate::gateway::server_limits::ServerLimits;
use crate::gateway::version_binding::VersionBinding;
use crate::quantity::Timestamp;

/// The number of sends of one request that did not leave this entry after which it prefers
/// servers that it reached a short time ago.
const UNSENT_BEFORE_REACHED: u32 = 2;

/// The chosen backend server, where the request is already counted.
pub struct ChosenBackend {
    /// Counts the request at the server.
    pub guard: SendGuard,
    /// The address of the server.
    pub address: SocketAddr,
    /// The expected time to the first event.
    pub expected_first_event: Duration,
}

/// The next step for a request.
pub enum NextStep {
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

pub fn choose_next_step(
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
        features: call.features.clone(),
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

/// Returns whether a server with a free slot would be chosen for the request.
pub fn has_free_slot(
    context: &GatewayContext,
    call: &AdmittedCall,
    retry_state: &RetryState,
) -> bool {
    let versions = request_rule(context, call, &retry_state.binding, false);
    let reachable = only_reachable(context);
    let backends = context.backends.lock();
    let limits = context.server_limits.lock();
    let reachable = reachable.as_ref();
    let query = choice_query(context, call, retry_state, &limits, &versions, reachable);
    choose_backend(&backends, context.now(), &query)
        .is_some_and(|choice| choice.slot_wait.is_zero())
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

/// Returns whether no server accepts requests that runs the version to which the stream of a
/// request is bound. An entry that has no list of servers yet does not know that.
pub fn lacks_version(
    context: &GatewayContext,
    call: &AdmittedCall,
    retry_state: &RetryState,
) -> bool {
    if retry_state.binding == VersionBinding::Free {
        return false;
    }
    let versions = request_rule(context, call, &retry_state.binding, false);
    let backends = context.backends.lock();
    if backends.confirmed_at().is_none() {
        return false;
    }
    let mut servers = backends.of_service(&call.service);
    !servers
        .any(|server| server.accepts_requests() && versions.admits(server.record.version.as_ref()))
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
