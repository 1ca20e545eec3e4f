//! Finds out which service, and which version of its servers, may go on with a stream that a
//! caller takes up.
//!
//! What an entry or its keepers know of the stream decides. A stream that nobody knows goes
//! on only if its service can be drawn again, and if one version of that serves.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use metrics::counter;
use slog::info;

use crate::gateway::call_head::CallHead;
use crate::gateway::call_head::CallId;
use crate::gateway::call_refusal::CallRefusal;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::history_sync::START_TIME;
use crate::gateway::history_sync::is_reading;
use crate::gateway::log_budget::LineClass;
use crate::gateway::site_config::RouteRule;
use crate::gateway::stream_exchange::knows_versions;
use crate::gateway::stream_exchange::note_weights;
use crate::gateway::stream_exchange::recent_versions;
use crate::gateway::stream_frames::StreamQuery;
use crate::gateway::stream_frames::StreamReply;
use crate::gateway::stream_rereads::wait_for_reread;
use crate::gateway::stream_store::may_mix_streams;
use crate::gateway::stream_versions::StreamKey;
use crate::gateway::stream_versions::StreamVersion;
use crate::gateway::version_binding::KeeperAnswer;
use crate::gateway::version_binding::VersionBinding;
use crate::gateway::version_binding::VersionSet;
use crate::gateway::weight_history::RouteKey;
use crate::gateway::weight_history::RouteShares;
use crate::gateway::weight_history::ShareDigest;
use crate::id::ServerVersion;
use crate::id::ServiceName;
use crate::quantity::Timestamp;
use crate::wire::PeerMessage;

/// How long a request waits for the replies of keepers.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a request waits at an entry that has just started and knows no keeper yet. Hubs
/// reply within two rounds of gossip.
const FIRST_KEEPER_WAIT: Duration = Duration::from_millis(600);
/// The pause between looks for the first keeper.
const FIRST_KEEPER_PAUSE: Duration = Duration::from_millis(25);
/// The pause between looks for what this entry has read of the store.
const HISTORY_PAUSE: Duration = Duration::from_millis(10);
/// How long a request that would be refused waits until this entry has read the store once
/// more: the pause between two reads, and a call.
const REREAD_WAIT: Duration = Duration::from_millis(1_000);
/// The age of the configuration up to which it tells, without another entry, how routes
/// share their requests.
const FRESH_WEIGHTS_AGE: Duration = Duration::from_millis(2_000);

/// A request whose service is not certain yet.
#[derive(Debug)]
pub struct RoutedRequest<'a> {
    /// The decoded head.
    pub head: &'a CallHead,
    /// The matching route.
    pub route: &'a RouteRule,
    /// The service that a new stream would get.
    pub drawn: ServiceName,
    /// The time until the deadline.
    pub time_left: Duration,
}

/// Which servers may get a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestBinding {
    /// Their service.
    pub service: ServiceName,
    /// Their version.
    pub versions: VersionBinding,
}

/// What keepers replied of a stream that none of them knows.
#[derive(Debug, Default)]
struct KeeperReplies {
    /// The replies by the key that a service gives the stream.
    by_key: BTreeMap<StreamKey, ListedVersions>,
    /// How the route shares its requests, as far as keepers reported it.
    shares: Vec<RouteShares>,
}

#[derive(Debug, Default)]
struct ListedVersions {
    /// How many know all versions that served a short time ago.
    complete_replies: usize,
    listed: VersionSet,
}

/// Why a stream that is taken up is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UnknownCause {
    /// The caller did not name the attempt that began it, and several services may have.
    UnnamedAttempt,
    /// Streams of several services have its identifier.
    SeveralServices,
    /// The route shared its requests otherwise a short time ago, or may have.
    UncertainShares,
    /// Streams of several versions have its identifier.
    Conflicting,
    /// There was no keeper to ask.
    NoKeeper,
    /// No keeper replied.
    NoReply,
    /// No keeper that replied knows which versions served.
    UncertainVersions,
    /// No keeper knows it, and servers of several versions may have begun it.
    SeveralVersions,
}

impl UnknownCause {
    fn label(self) -> &'static str {
        match self {
            Self::UnnamedAttempt => "unnamed_attempt",
            Self::SeveralServices => "several_services",
            Self::UncertainShares => "uncertain_shares",
            Self::Conflicting => "conflicting",
            Self::NoKeeper => "no_keeper",
            Self::NoReply => "no_reply",
            Self::UncertainVersions => "uncertain_versions",
            Self::SeveralVersions => "several_versions",
        }
    }

    fn refusal(self) -> CallRefusal {
        match self {
            Self::UnnamedAttempt | Self::SeveralServices | Self::UncertainShares => {
                CallRefusal::UnknownService
            }
            Self::Conflicting
            | Self::NoKeeper
            | Self::NoReply
            | Self::UncertainVersions
            | Self::SeveralVersions => CallRefusal::UnknownVersion,
        }
    }
}

/// How a stream was looked up.
#[derive(Clone, Copy, Debug, Default)]
struct LookupTrace {
    /// The keepers that were asked.
    keepers: usize,
    /// The replies of those that do not know the stream.
    replies: usize,
    /// Those of them that know all versions that served a short time ago.
    complete_replies: usize,
    /// Whether the store was read once more.
    is_reread: bool,
}

/// What is known of a stream that is taken up.
enum StreamOrigin {
    /// This service and version began it.
    Known(ServiceName, StreamVersion),
    /// Streams of several services have its identifier.
    Ambiguous,
    /// Nobody knows it.
    Unknown(KeeperReplies),
}

/// Returns which servers may get a request. One that takes a stream up may go only to the
/// service and the version that began the stream.
///
/// # Errors
///
/// A refusal if they are not certain.
pub async fn bind_request(
    context: &GatewayContext,
    request: &RoutedRequest<'_>,
) -> Result<RequestBinding, CallRefusal> {
    let head = request.head;
    let takes_up = head.last_event.is_some() || head.resumes.is_some();
    if !request.route.streaming || !takes_up {
        return Ok(RequestBinding {
            service: request.drawn.clone(),
            versions: VersionBinding::Free,
        });
    }
    note_weights(context);
    let is_only = request.route.serving_targets().count() == 1;
    let begun_at = context.now();
    let mut trace = LookupTrace::default();
    let bound = match &head.resumes {
        Some(id) => find_binding(context, request, id, &mut trace).await,
        // Nobody knows the attempt, and its service can be drawn again only if there is one.
        None if is_only => find_binding(context, request, &head.id, &mut trace).await,
        None => Err(UnknownCause::UnnamedAttempt),
    };
    let result = if bound.is_ok() { "bound" } else { "unknown" };
    let cause = bound.as_ref().err().map_or("", |cause| cause.label());
    counter!("cloverbend_streams_taken_up_total", "result" => result, "cause" => cause)
        .increment(1);
    let elapsed = context.now().since(begun_at);
    log_taken_up(context, request, bound.as_ref(), trace, elapsed);
    bound.map_err(UnknownCause::refusal)
}

fn log_taken_up(
    context: &GatewayContext,
    request: &RoutedRequest<'_>,
    bound: Result<&RequestBinding, &UnknownCause>,
    trace: LookupTrace,
    elapsed: Duration,
) {
    let head = request.head;
    if !context.may_log(&head.id.0, LineClass::Failure) {
        return;
    }
    let version = match bound.map(|bound| &bound.versions) {
        Ok(VersionBinding::Bound(version)) => version.as_ref().map(ServerVersion::as_str),
        _ => None,
    };
    info!(context.log, "stream taken up"; "request" => %head.id,
        "result" => bound.map_or_else(|cause| cause.refusal().code(), |_| "bound"),
        "cause" => bound.err().map(|cause| cause.label()),
        "route" => &request.route.name,
        "service" => bound.ok().map(|bound| bound.service.as_str()), "version" => version,
        "drawn_service" => %request.drawn,
        "begun_by" => head.resumes.as_ref().map(|id| id.0.as_str()),
        "after_event" => head.last_event,
        "keepers" => trace.keepers, "replies" => trace.replies,
        "complete_replies" => trace.complete_replies, "is_reread" => trace.is_reread,
        "looked_up_ms" => elapsed.as_millis() as u64,
        "uptime_ms" => context.now().since(Timestamp(0)).as_millis() as u64);
}

async fn find_binding(
    context: &GatewayContext,
    request: &RoutedRequest<'_>,
    id: &CallId,
    trace: &mut LookupTrace,
) -> Result<RequestBinding, UnknownCause> {
    let asked_at = context.now();
    let services = stream_services(request, id);
    let origin = find_origin(context, request, &services, trace).await;
    let mut drawn = None;
    let cause = match bind_origin(context, request, id, origin, trace, &mut drawn) {
        Err(cause) if may_be_stored(context, request, cause) => cause,
        bound => return bound,
    };
    // All entries that know the stream may be lost.
    let time_over = asked_at.after(request.time_left);
    let until = context.now().after(REREAD_WAIT).min(time_over);
    trace.is_reread = true;
    wait_for_reread(context, asked_at, until).await;
    match find_own(context, &services) {
        Some(origin) => bind_origin(context, request, id, origin, trace, &mut drawn),
        None => bind_default(context, asked_at, drawn).ok_or(cause),
    }
}

/// Returns the default version of a service, if the store does not have a stream of it that was
/// looked up after `asked_at`: those of other versions begin once it does.
fn bind_default(
    context: &GatewayContext,
    asked_at: Timestamp,
    service: Option<ServiceName>,
) -> Option<RequestBinding> {
    let service = service?;
    let version = context.stream_rereads.proved_default(asked_at, &service)?;
    Some(RequestBinding {
        service,
        versions: VersionBinding::Bound(Some(version)),
    })
}

/// Returns whether the store may tell the version of a stream that would be refused.
fn may_be_stored(
    context: &GatewayContext,
    request: &RoutedRequest<'_>,
    cause: UnknownCause,
) -> bool {
    // An entry that has just started has waited for its first read.
    let is_named = request.head.resumes.is_some() && !is_reading(context);
    is_named
        && match cause {
            UnknownCause::UnnamedAttempt
            | UnknownCause::SeveralServices
            | UnknownCause::Conflicting => false,
            UnknownCause::SeveralVersions => true,
            UnknownCause::UncertainShares
            | UnknownCause::NoKeeper
            | UnknownCause::NoReply
            | UnknownCause::UncertainVersions => may_mix_streams(context),
        }
}

/// Returns which servers may get a request, by what is known of its stream. `drawn` gets the
/// service of one that nobody knows.
fn bind_origin(
    context: &GatewayContext,
    request: &RoutedRequest<'_>,
    id: &CallId,
    origin: StreamOrigin,
    trace: &LookupTrace,
    drawn: &mut Option<ServiceName>,
) -> Result<RequestBinding, UnknownCause> {
    let (service, answer, cause) = match origin {
        StreamOrigin::Known(service, version) => {
            let answer = KeeperAnswer::Known(version);
            (service, answer, UnknownCause::Conflicting)
        }
        StreamOrigin::Ambiguous => return Err(UnknownCause::SeveralServices),
        StreamOrigin::Unknown(mut replies) => {
            let service = draw_again(context, request.route, id, &replies)
                .ok_or(UnknownCause::UncertainShares)?;
            *drawn = Some(service.clone());
            let key = StreamKey::new(&service, id);
            let of_key = replies.by_key.remove(&key).unwrap_or_default();
            let answer = KeeperAnswer::Unknown {
                replies: of_key.complete_replies,
                listed: of_key.listed,
            };
            let is_certain = of_key.complete_replies > 0 || knows_versions(context);
            let cause = match (trace.keepers, trace.replies) {
                _ if is_certain => UnknownCause::SeveralVersions,
                (0, _) => UnknownCause::NoKeeper,
                (_, 0) => UnknownCause::NoReply,
                _ => UnknownCause::UncertainVersions,
            };
            (service, answer, cause)
        }
    };
    let listed = recent_versions(context, &service);
    let versions = VersionBinding::of_stream(answer, listed, knows_versions(context));
    let versions = versions.ok_or(cause)?;
    Ok(RequestBinding { service, versions })
}

/// Draws the service of an attempt that began a stream, if the draw is certainly the same.
fn draw_again(
    context: &GatewayContext,
    route: &RouteRule,
    id: &CallId,
    replies: &KeeperReplies,
) -> Option<ServiceName> {
    let now = context.now();
    let steady = RouteShares::Steady(ShareDigest::of(route));
    let own = context
        .weight_history
        .lock()
        .shares(now, RouteKey::of(route));
    let mut others = replies.shares.iter().chain(&own);
    if others.any(|shares| *shares != steady) {
        return None;
    }
    let age = context.config.lock().age(now);
    let is_fresh = age.is_some_and(|age| age <= FRESH_WEIGHTS_AGE);
    let is_certain = !replies.shares.is_empty() || (own.is_some() && is_fresh);
    route.service_of(id).filter(|_| is_certain).cloned()
}

/// Returns the services that may have begun a stream, by the key that each gives it. A service
/// without weight must not get requests of the route, even if it began the stream.
fn stream_services<'a>(
    request: &RoutedRequest<'a>,
    id: &CallId,
) -> BTreeMap<StreamKey, &'a ServiceName> {
    let services = request.route.serving_targets();
    services
        .map(|target| (StreamKey::new(&target.service, id), &target.service))
        .collect()
}

/// Looks a stream up at this entry, then at its keepers.
async fn find_origin(
    context: &GatewayContext,
    request: &RoutedRequest<'_>,
    services: &BTreeMap<StreamKey, &ServiceName>,
    trace: &mut LookupTrace,
) -> StreamOrigin {
    match find_own(context, services) {
        Some(origin) => origin,
        None => ask_keepers(context, request, services, trace).await,
    }
}

/// Looks a stream up at this entry.
fn find_own(
    context: &GatewayContext,
    services: &BTreeMap<StreamKey, &ServiceName>,
) -> Option<StreamOrigin> {
    let now = context.now();
    let streams = context.streams.lock();
    let mut known = services
        .iter()
        .filter_map(|(key, service)| Some((*service, streams.get(now, *key)?)));
    let (service, version) = known.next()?;
    Some(match known.next() {
        None => StreamOrigin::Known(service.clone(), version),
        Some(_) => StreamOrigin::Ambiguous,
    })
}

/// Asks all keepers for a stream, and waits until one knows it or all have replied.
async fn ask_keepers(
    context: &GatewayContext,
    request: &RoutedRequest<'_>,
    services: &BTreeMap<StreamKey, &ServiceName>,
    trace: &mut LookupTrace,
) -> StreamOrigin {
    let keepers = wait_for_keepers(context).await;
    trace.keepers = keepers.len();
    let mut received = context.stream_queries.begin(services.keys().copied());
    for (key, service) in services {
        let query = StreamQuery {
            key: *key,
            service: (*service).clone(),
            reply_to: context.settings.peer_advertised,
            route: Some(RouteKey::of(request.route)),
        };
        for keeper in &keepers {
            let message = PeerMessage::StreamQuery(query.clone());
            context.links.send(*keeper, message);
        }
    }
    let now = context.now();
    let starts_until = Timestamp(0).after(START_TIME);
    let until = now.after(REPLY_TIMEOUT).max(starts_until);
    let until = until.min(now.after(request.time_left));
    // Hubs may be starting, too, and not reach the store.
    if keepers.is_empty() || now >= Timestamp(0).after(FIRST_KEEPER_WAIT) {
        context.history_reading.request();
    }
    let mut replies = KeeperReplies::default();
    for _ in 0..keepers.len() * services.len() {
        let Ok(Some(reply)) = context.clock.timeout_at(until, received.recv()).await else {
            break;
        };
        let StreamReply {
            key,
            version,
            listed,
            shares,
            is_complete,
        } = reply;
        if let (Some(version), Some(service)) = (version, services.get(&key)) {
            return StreamOrigin::Known((*service).clone(), version);
        }
        trace.replies += 1;
        trace.complete_replies += usize::from(is_complete);
        let of_key = replies.by_key.entry(key).or_default();
        of_key.complete_replies += usize::from(is_complete);
        of_key.listed.extend(listed);
        replies.shares.extend(shares);
    }
    if trace.complete_replies == 0 {
        wait_for_history(context, until).await;
    }
    // It may have become known here meanwhile.
    find_own(context, services).unwrap_or(StreamOrigin::Unknown(replies))
}

/// Waits until this entry has read what the store has, if it has just started.
async fn wait_for_history(context: &GatewayContext, until: Timestamp) {
    context.history_reading.request();
    while is_reading(context) && context.now() < until {
        tokio::time::sleep(HISTORY_PAUSE).await;
    }
}

/// Returns the keepers of this entry. One that has just started waits for the first one.
async fn wait_for_keepers(context: &GatewayContext) -> Vec<SocketAddr> {
    let waits_until = Timestamp(0).after(FIRST_KEEPER_WAIT);
    loop {
        let now = context.now();
        let keepers = context.peers.lock().stream_keepers(now);
        if !keepers.is_empty() || now >= waits_until {
            return keepers;
        }
        tokio::time::sleep(FIRST_KEEPER_PAUSE).await;
    }
}
