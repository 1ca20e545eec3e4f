//! Tells other entries which services and versions of servers began streams, and replies to
//! their queries.
//!
//! The keepers of an entry are its hubs: all entries have nearly the same ones, so whoever
//! gets the request that takes a stream up asks entries to which the stream was announced. An
//! entry tells its keepers within [`notice_interval`] of the first event; if it is lost
//! before, the stream does not go on.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use parking_lot::Mutex;
use slog::debug;
use tokio::sync::mpsc;

use crate::gateway::account_limits::GOSSIP_INTERVAL;
use crate::gateway::call_admission::AdmittedCall;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::history_sync::follow_defaults;
use crate::gateway::history_sync::is_hub;
use crate::gateway::history_sync::is_reading;
use crate::gateway::history_sync::read_at_start;
use crate::gateway::stream_frames::StreamNotice;
use crate::gateway::stream_frames::StreamQuery;
use crate::gateway::stream_frames::StreamReply;
use crate::gateway::stream_records::ServedVersions;
use crate::gateway::stream_rereads::note_hub;
use crate::gateway::stream_rereads::reread_streams;
use crate::gateway::stream_store::check_unstored;
use crate::gateway::stream_store::is_uncertain;
use crate::gateway::stream_store::served_versions;
use crate::gateway::stream_store::write_streams;
use crate::gateway::stream_versions::KeyList;
use crate::gateway::stream_versions::STREAM_MEMORY;
use crate::gateway::stream_versions::StreamKey;
use crate::gateway::version_binding::VersionSet;
use crate::id::ServerVersion;
use crate::id::ServiceName;
use crate::quantity::Timestamp;
use crate::wire::PeerMessage;

/// How long a notice waits for further streams at least.
const MIN_NOTICE_INTERVAL: Duration = Duration::from_millis(20);
/// How much longer it waits for each entry, so that all entries together send a keeper no
/// more notices the more they are.
const NOTICE_INTERVAL_PER_ENTRY: Duration = Duration::from_micros(50);
/// The age of the list of backend servers up to which it tells, without another entry,
/// which versions serve.
const FRESH_LIST_AGE: Duration = Duration::from_millis(2_000);

/// The most queries that wait until this entry has read what the store has.
const MAX_HELD_QUERIES: usize = 4_096;

/// The queries of this entry that wait for replies, and those of others that it holds.
#[derive(Debug, Default)]
pub struct StreamQueries {
    waiting: Mutex<HashMap<StreamKey, Vec<mpsc::UnboundedSender<StreamReply>>>>,
    held: Mutex<Vec<StreamQuery>>,
}

impl StreamQueries {
    /// Returns where the replies to queries for these keys arrive.
    pub fn begin(
        &self,
        keys: impl Iterator<Item = StreamKey>,
    ) -> mpsc::UnboundedReceiver<StreamReply> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut waiting = self.waiting.lock();
        waiting.retain(|_, senders| {
            senders.retain(|sender| !sender.is_closed());
            !senders.is_empty()
        });
        for key in keys {
            waiting.entry(key).or_default().push(sender.clone());
        }
        receiver
    }

    fn note_reply(&self, reply: &StreamReply) {
        let waiting = self.waiting.lock();
        for sender in waiting.get(&reply.key).into_iter().flatten() {
            // The request may have ended meanwhile.
            let _ = sender.send(reply.clone());
        }
    }

    /// Keeps a query until this entry knows more. Returns false if there are too many.
    fn hold(&self, query: &StreamQuery) -> bool {
        let mut held = self.held.lock();
        let has_room = held.len() < MAX_HELD_QUERIES;
        if has_room {
            held.push(query.clone());
        }
        has_room
    }
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
    let keys: Vec<StreamKey> = stream_keys(call).collect();
    for key in &keys {
        streams.note_own(now, *key, &call.service, version);
    }
    drop(streams);
    debug!(context.log, "stream noted"; "request" => %call.head.id,
        "streams" => %KeyList(&keys), "version" => version.map(ServerVersion::as_str));
    if is_announced(context, &call.service) {
        context.stream_notice_due.notify_one();
        context.stream_write_due.notify_one();
    }
}

/// Notes that the stream of a request is complete: nobody takes it up.
pub fn note_stream_completed(context: &GatewayContext, call: &AdmittedCall) {
    let mut streams = context.streams.lock();
    for key in stream_keys(call) {
        streams.note_completed(key);
    }
}

/// Returns the versions that servers of a service run, or ran a short time ago.
pub fn recent_versions(context: &GatewayContext, service: &ServiceName) -> VersionSet {
    let now = context.now();
    let backends = context.backends.lock();
    let mut history = context.version_history.lock();
    for server in backends.of_service(service) {
        history.note(now, service, server.record.version.as_ref());
    }
    history.recent(now, service)
}

/// Returns whether a service has, or had a short time ago, servers of several versions.
fn is_mixed(context: &GatewayContext, service: &ServiceName) -> bool {
    let history = context.version_history.lock();
    history.recent(context.now(), service).len() > 1
}

/// Returns whether the streams of a service are announced to keepers: another version or another
/// service may be taken for the one that began them, or this entry does not know that none may.
fn is_announced(context: &GatewayContext, service: &ServiceName) -> bool {
    let now = context.now();
    let is_shared = || context.weight_history.lock().is_shared(now, service);
    let is_wanted = || {
        let until_us = context.streams_wanted_until_us.load(Ordering::Relaxed);
        now < Timestamp(until_us)
    };
    is_mixed(context, service) || is_shared() || is_uncertain(context) || is_wanted()
}

/// Notes how the configuration in force shares requests.
pub fn note_weights(context: &GatewayContext) {
    let config = context.config.lock().adopted().cloned();
    if let Some(config) = config {
        context.weight_history.lock().note(context.now(), &config);
    }
}

/// Notes the versions of all listed servers.
fn note_versions(context: &GatewayContext) {
    let now = context.now();
    let backends = context.backends.lock();
    let mut history = context.version_history.lock();
    history.drop_old(now);
    for server in backends.iter() {
        let record = &server.record;
        history.note(now, &record.service, record.version.as_ref());
    }
}

/// Tells keepers of streams, and keeps them in the store, until the entry stops. One that starts
/// also finds out which versions and shares streams may have begun with.
pub async fn run_stream_notices(context: Arc<GatewayContext>) {
    tokio::join!(
        read_at_start(&context),
        follow_defaults(&context),
        announce_streams(&context),
        write_streams(&context),
        reread_streams(&context)
    );
}

async fn announce_streams(context: &GatewayContext) {
    let mut asked = ServedVersions::new();
    loop {
        // A service whose servers begin to run several versions has streams already.
        let due = context.stream_notice_due.notified();
        let _ = tokio::time::timeout(GOSSIP_INTERVAL, due).await;
        let now = context.now();
        let entries = context.peers.lock().entry_counts(now).entries;
        tokio::time::sleep(notice_interval(entries)).await;
        note_versions(context);
        note_weights(context);
        note_hub(context);
        context.stream_waits.drop_old(now);
        ask_for_streams(context, &mut asked);
        send_notices(context);
        check_unstored(context);
    }
}

/// Asks all entries for their streams when this one, as a hub, learns that a service got
/// servers of another version: they may hear of it later.
fn ask_for_streams(context: &GatewayContext, asked: &mut ServedVersions) {
    let served = served_versions(context);
    let is_new = |(service, versions): (_, &VersionSet)| {
        versions.len() > 1 && asked.get(service) != Some(versions)
    };
    let is_due = served.iter().any(is_new);
    *asked = served;
    if !is_due || !is_hub(context) {
        return;
    }
    let addresses = context.peers.lock().reporting_addresses(context.now());
    let notice = StreamNotice {
        asks_for_streams: true,
        ..StreamNotice::default()
    };
    for address in addresses {
        let message = PeerMessage::StreamNotice(notice.clone());
        context.links.send(address, message);
    }
}

fn send_notices(context: &GatewayContext) {
    let now = context.now();
    let keepers = context.peers.lock().stream_keepers(now);
    // An entry that has just started may not know any yet.
    if keepers.is_empty() {
        return;
    }
    let is_announced = |service: &ServiceName| is_announced(context, service);
    let streams = context.streams.lock().take_unannounced(now, is_announced);
    if streams.is_empty() {
        return;
    }
    counter!("cloverbend_streams_announced_total").increment(streams.len() as u64);
    let do_any_wait = context.stream_waits.is_any_of(&streams);
    let notice = StreamNotice {
        waits_at: do_any_wait.then_some(context.settings.peer_advertised),
        ..StreamNotice::new(streams)
    };
    for (_, keys) in &notice.groups {
        debug!(context.log, "streams announced"; "keepers" => keepers.len(),
            "streams" => %KeyList(keys));
    }
    for keeper in keepers {
        let message = PeerMessage::StreamNotice(notice.clone());
        context.links.send(keeper, message);
    }
}

/// Receives a notice of another entry.
pub fn receive_stream_notice(context: &GatewayContext, notice: &StreamNotice) {
    let now = context.now();
    if notice.asks_for_streams {
        let until = now.after(STREAM_MEMORY);
        context
            .streams_wanted_until_us
            .store(until.0, Ordering::Relaxed);
        context.stream_notice_due.notify_one();
        return;
    }
    if let Some(address) = notice.waits_at {
        let keys = notice.groups.iter().flat_map(|(_, keys)| keys);
        context
            .stream_waits
            .note_waiting(now, keys.copied(), address);
    }
    let mut streams = context.streams.lock();
    for (version, keys) in &notice.groups {
        for key in keys {
            match notice.is_stored {
                true => streams.note_stored(now, *key, version.as_ref()),
                false => streams.note_announced(now, *key, version.as_ref()),
            }
        }
    }
    drop(streams);
    if notice.is_stored {
        let keys = notice.groups.iter().flat_map(|(_, keys)| keys);
        keys.for_each(|key| context.stream_waits.note_stored(*key));
        context.stream_stored.notify_waiters();
    } else {
        context.stream_write_due.notify_one();
    }
}

/// Replies to the query of another entry. One that has just started, or has just become a
/// hub, and does not know the stream first reads what the store has.
pub fn receive_stream_query(context: &GatewayContext, query: &StreamQuery) {
    let is_known = || {
        let streams = context.streams.lock();
        streams.get(context.now(), query.key).is_some()
    };
    let is_about_to_know = || is_reading(context) || context.stream_rereads.is_hub_read_due();
    if is_about_to_know() && !is_known() {
        context.history_reading.request();
        if context.stream_queries.hold(query) {
            // The task that answers those held may have ended meanwhile.
            if !is_about_to_know() {
                answer_held_queries(context);
            }
            return;
        }
    }
    answer_stream_query(context, query);
}

/// Replies to the queries that were held.
pub fn answer_held_queries(context: &GatewayContext) {
    let held = std::mem::take(&mut *context.stream_queries.held.lock());
    for query in &held {
        answer_stream_query(context, query);
    }
}

fn answer_stream_query(context: &GatewayContext, query: &StreamQuery) {
    let version = context.streams.lock().get(context.now(), query.key);
    note_weights(context);
    let history = context.weight_history.lock();
    let shares = query
        .route
        .and_then(|route| history.shares(context.now(), route));
    drop(history);
    let reply = StreamReply {
        key: query.key,
        version,
        listed: recent_versions(context, &query.service)
            .into_iter()
            .collect(),
        shares,
        is_complete: knows_versions(context),
    };
    let message = PeerMessage::StreamReply(reply);
    context.links.send(query.reply_to, message);
}

/// Receives the reply of a keeper.
pub fn receive_stream_reply(context: &GatewayContext, reply: &StreamReply) {
    context.stream_queries.note_reply(reply);
}

/// Returns whether this entry knows by itself which versions served lately.
pub fn knows_versions(context: &GatewayContext) -> bool {
    let now = context.now();
    let confirmed_at = context.backends.lock().confirmed_at();
    let is_fresh = confirmed_at.is_some_and(|at| now.since(at) <= FRESH_LIST_AGE);
    is_fresh && context.version_history.lock().is_complete(now)
}
