//! Tells other entries which versions of servers began streams, and finds out which version
//! may go on with a stream that a caller takes up.
//!
//! The keepers of an entry are its hubs: all entries have nearly the same ones, so whoever
//! gets the request that takes a stream up asks entries that were told of the stream. An
//! entry tells its keepers within [`notice_interval`] of the first event; if it is lost
//! before, the stream does not go on.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use parking_lot::Mutex;
use tokio::sync::mpsc;

use crate::gateway::account_limits::GOSSIP_INTERVAL;
use crate::gateway::call_admission::AdmittedCall;
use crate::gateway::call_refusal::CallRefusal;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::stream_frames::StreamNotice;
use crate::gateway::stream_frames::StreamQuery;
use crate::gateway::stream_frames::StreamReply;
use crate::gateway::stream_versions::StreamKey;
use crate::gateway::stream_versions::StreamVersion;
use crate::gateway::version_binding::VersionBinding;
use crate::id::ServerVersion;
use crate::id::ServiceName;
use crate::quantity::Timestamp;
use crate::wire::PeerMessage;

/// How long a notice waits for further streams at least.
const MIN_NOTICE_INTERVAL: Duration = Duration::from_millis(20);
/// How much longer it waits for each entry, so that all entries together send a keeper no
/// more notices the more they are.
const NOTICE_INTERVAL_PER_ENTRY: Duration = Duration::from_micros(250);
/// How long a request waits for the replies of keepers.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a request waits at an entry that has just started and knows no keeper yet. Hubs
/// reply within two rounds of gossip.
const FIRST_KEEPER_WAIT: Duration = Duration::from_millis(600);
/// The pause between looks for the first keeper.
const FIRST_KEEPER_PAUSE: Duration = Duration::from_millis(25);
/// The age of the list of backend servers up to which it tells, without another entry,
/// that no further version serves.
const FRESH_LIST_AGE: Duration = Duration::from_millis(2_000);

/// Versions of servers; `None` is that of servers without a known version.
type VersionSet = BTreeSet<Option<ServerVersion>>;

/// The queries of this entry that wait for replies.
#[derive(Debug, Default)]
pub struct StreamQueries(Mutex<HashMap<StreamKey, Vec<mpsc::UnboundedSender<StreamReply>>>>);

impl StreamQueries {
    fn begin(&self, key: StreamKey) -> mpsc::UnboundedReceiver<StreamReply> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut waiting = self.0.lock();
        waiting.retain(|_, senders| {
            senders.retain(|sender| !sender.is_closed());
            !senders.is_empty()
        });
        waiting.entry(key).or_default().push(sender);
        receiver
    }

    fn note_reply(&self, reply: &StreamReply) {
        let waiting = self.0.lock();
        for sender in waiting.get(&reply.key).into_iter().flatten() {
            // The request may have ended meanwhile.
            let _ = sender.send(reply.clone());
        }
    }
}

/// What keepers know of a stream.
enum KeeperAnswer {
    /// At least one of them knows it.
    Known(StreamVersion),
    /// None of those that replied does.
    Unknown {
        /// How many replied.
        replies: usize,
        /// The versions of servers that they have listed.
        listed: VersionSet,
    },
}

/// Returns how long a notice waits for further streams.
fn notice_interval(entries: usize) -> Duration {
    let interval = NOTICE_INTERVAL_PER_ENTRY * u32::try_from(entries).unwrap_or(u32::MAX);
    interval.clamp(MIN_NOTICE_INTERVAL, GOSSIP_INTERVAL)
}

fn stream_keys(call: &AdmittedCall) -> impl Iterator<Item = StreamKey> {
    let ids = [Some(&call.head.id), call.head.resumes.as_ref()];
    let ids = ids.into_iter().flatten();
    ids.map(|id| StreamKey::new(&call.service, id))
}

/// Notes that a server of this version began the stream of a request, or went on with it.
pub fn note_stream(context: &GatewayContext, call: &AdmittedCall, version: Option<&ServerVersion>) {
    if !call.route.may_repeat() {
        return;
    }
    let now = context.now();
    let mut streams = context.streams.lock();
    for key in stream_keys(call) {
        streams.note_own(now, key, &call.service, version);
    }
    drop(streams);
    if listed_versions(context, &call.service).len() > 1 {
        context.stream_notice_due.notify_one();
    }
}

/// Notes that the stream of a request is complete: nobody takes it up.
pub fn note_stream_completed(context: &GatewayContext, call: &AdmittedCall) {
    let mut streams = context.streams.lock();
    for key in stream_keys(call) {
        streams.note_completed(key);
    }
}

/// Returns the versions that the listed servers of a service run.
fn listed_versions(context: &GatewayContext, service: &ServiceName) -> VersionSet {
    let backends = context.backends.lock();
    let servers = backends.of_service(service);
    servers
        .map(|server| server.record.version.clone())
        .collect()
}

/// Tells keepers of streams until the entry stops.
pub async fn run_stream_notices(context: Arc<GatewayContext>) {
    loop {
        // A service whose servers begin to run several versions has streams already.
        let due = context.stream_notice_due.notified();
        let _ = tokio::time::timeout(GOSSIP_INTERVAL, due).await;
        let now = context.now();
        let entries = context.peers.lock().entry_counts(now).entries;
        tokio::time::sleep(notice_interval(entries)).await;
        send_notices(&context);
    }
}

fn send_notices(context: &GatewayContext) {
    let now = context.now();
    let is_mixed = |service: &ServiceName| listed_versions(context, service).len() > 1;
    let streams = context.streams.lock().take_untold(now, is_mixed);
    if streams.is_empty() {
        return;
    }
    counter!("cloverbend_streams_told_total").increment(streams.len() as u64);
    let notice = StreamNotice::new(streams);
    let keepers = context.peers.lock().stream_keepers(now);
    for keeper in keepers {
        let message = PeerMessage::StreamNotice(notice.clone());
        context.links.send(keeper, message);
    }
}

/// Receives a notice of another entry.
pub fn receive_stream_notice(context: &GatewayContext, notice: &StreamNotice) {
    let now = context.now();
    let mut streams = context.streams.lock();
    for (version, keys) in &notice.groups {
        for key in keys {
            streams.note_told(now, *key, version.as_ref());
        }
    }
}

/// Replies to the query of another entry.
pub fn answer_stream_query(context: &GatewayContext, query: &StreamQuery) {
    let version = context.streams.lock().get(context.now(), query.key);
    let reply = StreamReply {
        key: query.key,
        version,
        listed: listed_versions(context, &query.service)
            .into_iter()
            .collect(),
    };
    let message = PeerMessage::StreamReply(reply);
    context.links.send(query.reply_to, message);
}

/// Receives the reply of a keeper.
pub fn receive_stream_reply(context: &GatewayContext, reply: &StreamReply) {
    context.stream_queries.note_reply(reply);
}

/// Returns which versions of servers may get a request. One that takes a stream up may go to
/// the version that began the stream only.
///
/// # Errors
///
/// A refusal if that version is unknown while several serve, or may serve.
pub async fn bind_request(
    context: &GatewayContext,
    call: &AdmittedCall,
) -> Result<VersionBinding, CallRefusal> {
    let takes_up = call.head.last_event.is_some() || call.head.resumes.is_some();
    if !call.route.streaming || !takes_up {
        return Ok(VersionBinding::Free);
    }
    let bound = match &call.head.resumes {
        Some(id) => find_binding(context, call, StreamKey::new(&call.service, id)).await,
        None => only_binding(listed_versions(context, &call.service)),
    };
    let result = if bound.is_some() { "bound" } else { "unknown" };
    counter!("cloverbend_streams_taken_up_total", "result" => result).increment(1);
    bound.ok_or(CallRefusal::UnknownVersion)
}

/// Returns the binding to the only one of some versions, or `None` if there are several.
fn only_binding(versions: VersionSet) -> Option<VersionBinding> {
    let mut versions = versions.into_iter();
    match (versions.next(), versions.next()) {
        (None, _) => Some(VersionBinding::Free),
        (Some(version), None) => Some(VersionBinding::Bound(version)),
        (Some(_), Some(_)) => None,
    }
}

async fn find_binding(
    context: &GatewayContext,
    call: &AdmittedCall,
    key: StreamKey,
) -> Option<VersionBinding> {
    let known = context.streams.lock().get(context.now(), key);
    let answer = match known {
        Some(known) => KeeperAnswer::Known(known),
        None => ask_keepers(context, call, key).await,
    };
    match answer {
        KeeperAnswer::Known(StreamVersion::Known(version)) => Some(VersionBinding::Bound(version)),
        KeeperAnswer::Known(StreamVersion::Conflicting) => None,
        KeeperAnswer::Unknown { replies, listed } => {
            let confirmed_at = context.backends.lock().confirmed_at();
            let is_fresh = confirmed_at.is_some_and(|at| context.now().since(at) <= FRESH_LIST_AGE);
            let versions = listed_versions(context, &call.service).into_iter();
            let versions = versions.chain(listed).collect();
            // The stream may have begun before others were told of streams.
            let is_certain = replies > 0 || is_fresh;
            only_binding(versions).filter(|_| is_certain)
        }
    }
}

/// Asks all keepers for a stream, and waits until one knows it or all have replied.
async fn ask_keepers(
    context: &GatewayContext,
    call: &AdmittedCall,
    key: StreamKey,
) -> KeeperAnswer {
    let keepers = wait_for_keepers(context).await;
    let mut replies = context.stream_queries.begin(key);
    let query = StreamQuery {
        key,
        service: call.service.clone(),
        reply_to: context.settings.peer_advertised,
    };
    for keeper in &keepers {
        let message = PeerMessage::StreamQuery(query.clone());
        context.links.send(*keeper, message);
    }
    let until = context.now().after(REPLY_TIMEOUT.min(call.time_left()));
    let mut listed = VersionSet::new();
    let mut received = 0;
    while received < keepers.len() {
        let Ok(Some(reply)) = context.clock.timeout_at(until, replies.recv()).await else {
            break;
        };
        received += 1;
        if let Some(version) = reply.version {
            return KeeperAnswer::Known(version);
        }
        listed.extend(reply.listed);
    }
    KeeperAnswer::Unknown {
        replies: received,
        listed,
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
