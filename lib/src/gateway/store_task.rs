//! Keeps the configuration, the backend servers and the list of entries fresh
//! from the platform's store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use metrics::counter;
use serde::Deserialize;
use serde::Serialize;
use slog::info;
use slog::warn;

use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_record::BackendName;
use crate::gateway::backend_record::BackendRecord;
use crate::gateway::backend_set::BackendChange;
use crate::gateway::backend_set::BackendSet;
use crate::gateway::document_transfer::ReceivedDocument;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::hub_capacity::HubCapacity;
use crate::gateway::list_history::ListChanges;
use crate::gateway::log_budget::LineClass;
use crate::gateway::packed_document::PackedDocument;
use crate::gateway::platform_interface::FormatError;
use crate::gateway::platform_interface::LogRecord;
use crate::gateway::platform_interface::LogSlice;
use crate::gateway::platform_interface::LogTopic;
use crate::gateway::platform_interface::PlatformError;
use crate::gateway::read_schedule::ReadSchedule;
use crate::gateway::read_schedule::ReaderState;
use crate::id::EntryName;
use crate::id::LogOffset;
use crate::quantity::Timestamp;

/// The pause between looks at the age of knowledge.
const AGE_CHECK: Duration = Duration::from_millis(100);
/// The pause after a failed call to the store, also before it is doubled.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);
/// The longest such pause of an entry that hears the store's news from others.
/// Calls that the store refuses cost as much as others: with 87 entries that
/// all asked five times a second, an outage of five seconds cost 0.016 of the
/// worth of a day.
const LONGEST_FAILURE_PAUSE: Duration = Duration::from_millis(800);
/// The pause between attempts to be listed among the entries.
const LISTING_PAUSE: Duration = Duration::from_millis(500);
/// The pause before the list of entries is read a second time. Entries that
/// start together do so within a third of a second.
const RELIST_PAUSE: Duration = Duration::from_millis(1_000);
/// The longest pause between reads of the list while no other entry is heard.
const LONGEST_RELIST_PAUSE: Duration = Duration::from_millis(8_000);
/// The pause between looks at whether other entries are heard.
const ALONE_CHECK: Duration = Duration::from_millis(1_000);

/// Tells whether a dependency was lost or regained, once for each change.
struct DependencyWatch {
    name: &'static str,
    is_up: bool,
    pause: Duration,
}

impl DependencyWatch {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            is_up: true,
            pause: FAILURE_PAUSE,
        }
    }

    /// Waits after a failed call.
    async fn wait_after_failure(&mut self, context: &GatewayContext) {
        let hears_others = context.peers.lock().entry_counts(context.now()).reachable > 1;
        let longest = if hears_others && !always_reads(context) {
            LONGEST_FAILURE_PAUSE
        } else {
            FAILURE_PAUSE
        };
        tokio::time::sleep(self.pause.min(longest)).await;
        self.pause = (self.pause * 2).min(LONGEST_FAILURE_PAUSE);
    }

    /// Returns how long a call may wait for news: not at all after a failure, so
    /// that the first answer proves at once what the newest is.
    fn patience(&self, usual: Duration) -> Duration {
        if self.is_up { usual } else { Duration::ZERO }
    }

    /// Notes the outcome of a call; returns whether it ended an outage.
    fn note<T>(&mut self, context: &GatewayContext, result: &Result<T, PlatformError>) -> bool {
        let up = match result {
            Ok(_) | Err(PlatformError::OffsetOutOfRange(_) | PlatformError::Conflict(_)) => true,
            Err(
                PlatformError::NotApplied(_)
                | PlatformError::NotSent(_)
                | PlatformError::OutcomeUnknown(_)
                | PlatformError::Fenced,
            ) => false,
        };
        if up {
            context.note_store_response();
            self.pause = FAILURE_PAUSE;
        }
        let changed = up != self.is_up;
        self.is_up = up;
        if let (true, Err(error)) = (changed, result) {
            counter!("cloverbend_dependency_losses_total").increment(1);
            warn!(context.log, "dependency lost"; "dependency" => self.name, "error" => %error);
        }
        if changed && up {
            info!(context.log, "dependency regained"; "dependency" => self.name);
        }
        changed && up
    }
}

/// Returns whether others depend on this entry's reads: the first hub's, and
/// those of the holder of the lease, which has to know whether the store
/// answers it.
fn always_reads(context: &GatewayContext) -> bool {
    let rank = context.peers.lock().hub_rank(context.now());
    rank == 0 || context.lease.lock().is_holder()
}

/// Waits while other entries keep the knowledge young enough.
async fn wait_own_read(
    context: &GatewayContext,
    rhythm: ReadSchedule,
    knowledge: impl Fn() -> StoreKnowledge,
) {
    while !reader_state(context, knowledge()).should_read_store(rhythm) {
        tokio::time::sleep(AGE_CHECK).await;
    }
}

/// What decides beside an entry's place whether it reads a topic.
struct StoreKnowledge {
    /// When what it knows was the newest.
    known_at: Option<Timestamp>,
    /// How many entries may read for themselves at once.
    readers: usize,
}

fn config_knowledge(context: &GatewayContext) -> StoreKnowledge {
    StoreKnowledge {
        known_at: context.config.lock().confirmed_at(),
        // Nothing is read while nothing changes.
        readers: usize::MAX,
    }
}

fn backends_knowledge(context: &GatewayContext, rhythm: ReadSchedule) -> StoreKnowledge {
    let backends = context.backends.lock();
    let servers = backends.iter().count();
    StoreKnowledge {
        known_at: backends.confirmed_at(),
        readers: rhythm.max_readers(context.settings.store_read_mb_s, servers),
    }
}

fn reader_state(context: &GatewayContext, knowledge: StoreKnowledge) -> ReaderState {
    let now = context.now();
    let peers = context.peers.lock();
    ReaderState {
        rank: peers.hub_rank(now),
        max_readers: knowledge.readers,
        holds_lease: context.lease.lock().is_holder(),
        view_age: knowledge.known_at.map(|at| now.since(at)),
        first_start: context.settings.first_start,
        has_entry_list: peers.is_list_read(),
        uptime: now.since(Timestamp(0)),
    }
}

/// Follows the configuration until the entry stops.
pub async fn follow_config(context: Arc<GatewayContext>) {
    let mut watch = DependencyWatch::new("store: configuration");
    let rhythm = ReadSchedule::with_bound(context.settings.bounds.config_apply);
    loop {
        wait_own_read(&context, rhythm, || config_knowledge(&context)).await;
        let asked_at = context.now();
        let store = &context.platform.store;
        let topic = LogTopic::Configuration;
        let next = context.config.lock().log_end();
        let result = match next {
            None => store.read_latest(topic).await,
            Some(from) => store.read(topic, from, watch.patience(rhythm.wait())).await,
        };
        watch.note(&context, &result);
        match result {
            Ok(slice) if passes_over(&slice, next) => context.config.lock().reset_log_end(),
            Ok(slice) => {
                apply_config(&context, &slice);
                let mut config = context.config.lock();
                config.note_read(slice.end);
                let revision = config.revision();
                config.confirm(revision, asked_at);
            }
            Err(PlatformError::OffsetOutOfRange(_)) => context.config.lock().reset_log_end(),
            Err(_) => watch.wait_after_failure(&context).await,
        }
    }
}

/// Returns whether a slice lacks records that came after what is known: they
/// are no longer kept, or the answer had no room for them. In a keyed topic only
/// the newest of each key counts, so these are asked for then.
fn passes_over(slice: &LogSlice, next: Option<LogOffset>) -> bool {
    slice.is_truncated() || next.is_some_and(|from| slice.oldest > from)
}

/// Adopts the newest configuration of a slice; what came before it is of no use
/// to anybody.
fn apply_config(context: &GatewayContext, slice: &LogSlice) {
    let key = context.platform.format.config_key();
    let published =
        |record: &&LogRecord| record.key.as_deref() == Some(key) && !record.value.is_empty();
    let Some(record) = slice.records.iter().rev().find(published) else {
        return;
    };
    let log_end = LogOffset(record.offset.0 + 1);
    let known = context.config.lock().log_end();
    // Another entry's copy may have come first.
    if known.is_some_and(|known| known >= log_end) {
        return;
    }
    if !adopt_published(context, &record.value, log_end) {
        context.config.lock().note_unusable(log_end);
    }
}

/// Adopts a document that the store has, whose log goes on at `log_end`.
/// Returns whether it could be read.
pub fn adopt_published(context: &GatewayContext, document: &Bytes, log_end: LogOffset) -> bool {
    let offered = PackedDocument::pack(document)
        .map_err(|error| error.to_string())
        .and_then(|packed| offer_config(context, document, packed, Some(log_end), "store"));
    note_unreadable(context, "store", &offered);
    offered.is_ok()
}

/// Adopts a document that came whole from another entry. Returns whether its
/// revision, or a later one, is in force here now.
pub fn adopt_received(context: &GatewayContext, arrived: ReceivedDocument) -> bool {
    let ReceivedDocument {
        revision,
        document,
        log_end,
    } = arrived;
    let offered = document
        .unpack()
        .map_err(|error| error.to_string())
        .and_then(|unpacked| offer_config(context, &unpacked, document, log_end, "entry"));
    note_unreadable(context, "entry", &offered);
    context.config.lock().revision() >= revision
}

fn note_unreadable(context: &GatewayContext, source: &str, offered: &Result<(), String>) {
    if let Err(error) = offered {
        counter!("cloverbend_configs_unreadable_total").increment(1);
        warn!(context.log, "configuration refused"; "source" => source, "error" => error);
    }
}

/// Decodes a configuration and adopts it if it is newer.
fn offer_config(
    context: &GatewayContext,
    document: &[u8],
    packed: PackedDocument,
    log_end: Option<LogOffset>,
    source: &str,
) -> Result<(), String> {
    counter!("cloverbend_config_documents_decoded_total").increment(1);
    let decoded = context.platform.format.decode_config(document);
    let config = decoded.map_err(|error| error.to_string())?;
    let revision = config.revision;
    let routes = config.routes.len();
    let packed_bytes = packed.bytes().len();
    let now = context.now();
    if context.config.lock().offer(now, config, packed, log_end) {
        context.gossip_due.notify_one();
        counter!("cloverbend_configs_adopted_total").increment(1);
        info!(context.log, "configuration adopted"; "revision" => revision.0,
            "source" => source, "routes" => routes, "bytes" => document.len(),
            "packed_bytes" => packed_bytes);
    }
    Ok(())
}

/// Follows the backend servers until the entry stops.
pub async fn follow_backends(context: Arc<GatewayContext>) {
    let mut watch = DependencyWatch::new("store: backend servers");
    let rhythm = ReadSchedule::with_bound(context.settings.bounds.drain);
    let mut next: Option<LogOffset> = None;
    loop {
        wait_own_read(&context, rhythm, || backends_knowledge(&context, rhythm)).await;
        let asked_at = context.now();
        let store = &context.platform.store;
        let topic = LogTopic::Backends;
        let result = match next {
            None => store.read_latest(topic).await,
            Some(from) => store.read(topic, from, Duration::ZERO).await,
        };
        if watch.note(&context, &result) {
            let now = context.now();
            context.backends.lock().note_store_recovered(now);
        }
        match result {
            Ok(slice) if passes_over(&slice, next) => next = None,
            Ok(slice) => {
                let whole = next.is_none();
                next = Some(slice.end);
                apply_backends(&context, &slice, whole);
                context.backends.lock().confirm(asked_at);
                tokio::time::sleep(rhythm.poll_interval()).await;
            }
            Err(PlatformError::OffsetOutOfRange(_)) => next = None,
            Err(_) => watch.wait_after_failure(&context).await,
        }
    }
}

/// Takes over the list of another entry, which was the newest at `known_at`,
/// if the own one is older. Times are compared and not ages: the age that the
/// other told is from before its message was on its way.
pub fn adopt_backend_list(
    context: &GatewayContext,
    records: &[BackendRecord],
    known_at: Timestamp,
) {
    let now = context.now();
    let mut backends = context.backends.lock();
    let changes = backends.replace_if_newer(now, known_at, records.to_vec());
    drop(backends);
    note_heard_changes(context, &changes);
}

/// Takes over how the list of another entry differs from the own one. That list
/// was the newest at `known_at` and has the digest `target`.
pub fn adopt_backend_changes(
    context: &GatewayContext,
    changes: &ListChanges,
    target: u64,
    known_at: Timestamp,
) {
    let now = context.now();
    let mut backends = context.backends.lock();
    let made = backends.apply_changes(now, known_at, target, changes.clone());
    drop(backends);
    note_heard_changes(context, &made);
}

/// Takes over that servers leave, as another entry told.
pub fn note_draining(context: &GatewayContext, leaving: &[BackendId]) {
    let mut backends = context.backends.lock();
    let changes: Vec<BackendChange> = leaving
        .iter()
        .filter_map(|id| backends.mark_listed_draining(id))
        .collect();
    drop(backends);
    note_heard_changes(context, &changes);
}

/// Returns the last record of each key. Earlier ones must not be applied: this
/// entry may have learnt from others what came after them.
fn newest_by_key(slice: &LogSlice) -> BTreeMap<&str, &LogRecord> {
    let records = slice.records.iter();
    records
        .filter_map(|record| Some((record.key.as_deref()?, record)))
        .collect()
}

fn apply_backends(context: &GatewayContext, slice: &LogSlice, whole: bool) {
    let now = context.now();
    let mut records = Vec::new();
    let mut changes = Vec::new();
    let mut backends = context.backends.lock();
    for (key, record) in newest_by_key(slice) {
        let name = BackendName(key.to_owned());
        if record.value.is_empty() {
            changes.extend(backends.note_absent(now, &name));
            continue;
        }
        let decoded = context.platform.format.decode_backend(key, &record.value);
        match decoded.and_then(|decoded| check_start(&backends, decoded)) {
            Ok(decoded) if whole => records.push(decoded),
            Ok(decoded) => changes.extend(backends.put(decoded)),
            Err(error) => {
                changes.extend(backends.note_unusable(&name));
                note_refused_record(context, &name, &error);
            }
        }
    }
    if whole {
        changes.extend(backends.replace(now, records));
    }
    changes.extend(backends.expire_missing(now));
    drop(backends);
    for change in changes {
        note_backend_change(context, &change);
    }
}

/// Refuses a record without the start that its server told before.
fn check_start(backends: &BackendSet, record: BackendRecord) -> Result<BackendRecord, FormatError> {
    if backends.lacks_start(&record) {
        return Err(FormatError {
            subject: "backend server's record",
            cause: "the start of its life is missing".to_owned(),
        });
    }
    Ok(record)
}

/// Notes a record that names no server to use. Lines are bounded: whoever can
/// write one can write thousands.
fn note_refused_record(context: &GatewayContext, name: &BackendName, error: &FormatError) {
    counter!("cloverbend_backend_records_refused_total").increment(1);
    if context.may_log(&name.0, LineClass::Failure) {
        warn!(context.log, "backend server's record refused"; "backend" => %name,
            "error" => %error);
    }
}

/// Lets go of what this entry has of a server's earlier lives: connections, and
/// requests that will never be answered.
fn follow_change(context: &GatewayContext, change: &BackendChange) {
    match change {
        BackendChange::Joined(record) => {
            context.pool.close_replaced(&record.id);
            let ended = context.incarnations.cancel_replaced(&record.id);
            if ended > 0 {
                info!(context.log, "backend server started again"; "backend" => %record.id,
                    "requests_lost" => ended);
            }
        }
        BackendChange::Gone(id) => context.pool.close_idle(id),
        BackendChange::Draining(_) | BackendChange::Missing(_) => {}
    }
}

/// Notes changes that another entry told. Hundreds of entries learn of each, so
/// only those that read it in the store write a line about it, and the others
/// one a second with the numbers.
fn note_heard_changes(context: &GatewayContext, changes: &[BackendChange]) {
    counter!("cloverbend_backend_changes_total").increment(changes.len() as u64);
    let mut heard = context.change_counts.lock();
    for change in changes {
        heard.note(change);
    }
    drop(heard);
    for change in changes {
        follow_change(context, change);
    }
}

/// Notes a change that this entry read in the store.
fn note_backend_change(context: &GatewayContext, change: &BackendChange) {
    counter!("cloverbend_backend_changes_total").increment(1);
    follow_change(context, change);
    match change {
        BackendChange::Joined(record) => {
            info!(context.log, "backend server joined"; "backend" => %record.id,
                "service" => %record.service, "zone" => %record.zone,
                "address" => %record.address, "reclaimable" => record.reclaimable);
        }
        BackendChange::Draining(id) => {
            info!(context.log, "backend server leaving"; "backend" => %id);
        }
        BackendChange::Missing(id) => {
            info!(context.log, "backend server missing"; "backend" => %id);
        }
        BackendChange::Gone(id) => {
            info!(context.log, "backend server gone"; "backend" => %id);
        }
    }
}

/// An entry in the store's list of entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryListing {
    /// Where it listens for other entries.
    pub address: SocketAddr,
    /// How much it can carry as a hub; nothing in listings of older versions.
    #[serde(default)]
    pub strength: u32,
}

/// Lists this entry, then reads who else is listed: at once, again when all
/// that started together are listed, and whenever no other entry is heard.
///
/// The topic is read as a log, which is one call for any number of entries
/// while their records are recent and for those that came since. Its newest
/// records by key come in pages: with 295 entries that start together, 12 calls
/// of each of them.
pub async fn discover_entries(context: Arc<GatewayContext>) {
    let listing = EntryListing {
        address: context.settings.peer_advertised,
        strength: context.settings.hub_capacity.0,
    };
    // A struct of one address always has a JSON form.
    let Ok(value) = serde_json::to_vec(&listing) else {
        return;
    };
    let value = Bytes::from(value);
    let mut watch = DependencyWatch::new("store: entries");
    let store = &context.platform.store;
    let name = context.settings.name.as_str();
    loop {
        let appended = store
            .append(LogTopic::Entries, Some(name), value.clone(), None)
            .await;
        watch.note(&context, &appended);
        if appended.is_ok() {
            break;
        }
        tokio::time::sleep(LISTING_PAUSE).await;
    }
    let mut pause = RELIST_PAUSE;
    let mut next = Some(LogOffset(0));
    loop {
        let listed = match next {
            None => store.read_latest(LogTopic::Entries).await,
            Some(from) => store.read(LogTopic::Entries, from, Duration::ZERO).await,
        };
        watch.note(&context, &listed);
        let slice = match listed {
            Ok(slice) if passes_over(&slice, next) => {
                next = None;
                continue;
            }
            Ok(slice) => slice,
            Err(PlatformError::OffsetOutOfRange(_)) => {
                next = None;
                continue;
            }
            Err(_) => {
                tokio::time::sleep(LISTING_PAUSE).await;
                continue;
            }
        };
        next = Some(slice.end);
        note_listed(&context, &slice);
        tokio::time::sleep(pause).await;
        // The second read finds those that started together with this entry.
        // Two that read the list before the rest would hear only each other.
        if pause > RELIST_PAUSE {
            wait_until_alone(&context).await;
        }
        pause = (pause * 2).min(LONGEST_RELIST_PAUSE);
    }
}

/// Waits as long as any other entry is heard. Entries talk to hubs only: one
/// that is no hub, and that read the list before the hubs were on it, is told
/// nothing by anybody.
async fn wait_until_alone(context: &GatewayContext) {
    while context.peers.lock().entry_counts(context.now()).reachable > 1 {
        tokio::time::sleep(ALONE_CHECK).await;
    }
}

fn note_listed(context: &GatewayContext, slice: &LogSlice) {
    let now = context.now();
    let mut peers = context.peers.lock();
    for record in &slice.records {
        let name = record
            .key
            .as_deref()
            .and_then(|key| key.parse::<EntryName>().ok());
        let listing = serde_json::from_slice::<EntryListing>(&record.value);
        match (name, listing) {
            (Some(name), Ok(listing)) => {
                let strength = HubCapacity(listing.strength);
                peers.note_listed(now, name, listing.address, strength);
            }
            _ => warn!(context.log, "entry's listing refused"; "key" => record.key.as_deref()),
        }
    }
    peers.note_list_read();
}
