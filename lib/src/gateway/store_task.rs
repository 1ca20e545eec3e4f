//! Reads the configuration, the backend servers and the list of entries from the
//! platform's store and keeps them up to date.

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

/// How often an entry checks whether a topic has to be read.
const AGE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The delay after a first failed call to the store. It doubles with each failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The longest such delay, for an entry that receives the store's changes from
/// other entries. Calls that the store refuses cost as much as others: with five calls
/// a second by each of 87 entries, an outage of five seconds cost 1.6 % of a day's value.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// The delay after a failed call to the store about the list of entries.
const LISTING_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The delay before the list of entries is read a second time. Entries of one
/// deployment that start together do so within a third of a second.
const FIRST_RELIST_DELAY: Duration = Duration::from_millis(1_000);
/// The longest delay between reads of the list while no other entry is reachable.
const MAX_RELIST_DELAY: Duration = Duration::from_millis(8_000);
/// How often an entry checks whether other entries are reachable.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Tracks whether a dependency responds, and logs each change once.
struct DependencyMonitor {
    name: &'static str,
    is_up: bool,
    retry_delay: Duration,
}

impl DependencyMonitor {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            is_up: true,
            retry_delay: MIN_RETRY_DELAY,
        }
    }

    /// Waits after a failed call. The delay grows with each failure, unless this entry
    /// has to notice early that the store responds again.
    async fn wait_after_failure(&mut self, context: &GatewayContext) {
        let reaches_others = context.peers.lock().entry_counts(context.now()).reachable > 1;
        let longest = if reaches_others && !always_reads(context) {
            MAX_RETRY_DELAY
        } else {
            MIN_RETRY_DELAY
        };
        tokio::time::sleep(self.retry_delay.min(longest)).await;
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
    }

    /// Returns how long the store may delay its response to a read until a record
    /// arrives. After a failure it has to respond at once, so that this entry soon
    /// knows the newest record.
    fn poll_timeout(&self, default: Duration) -> Duration {
        if self.is_up { default } else { Duration::ZERO }
    }

    /// Records the result of a call. Returns whether it ended an outage.
    fn record<T>(&mut self, context: &GatewayContext, result: &Result<T, PlatformError>) -> bool {
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
            self.retry_delay = MIN_RETRY_DELAY;
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

/// Returns whether this entry has to read the store itself, whatever it receives
/// from others. The first hub does because the others get the changes from it, and
/// the lease holder because it has to know whether the store responds to it.
fn always_reads(context: &GatewayContext) -> bool {
    let rank = context.peers.lock().hub_rank(context.now());
    rank == 0 || context.lease.lock().is_holder()
}

/// Waits until this entry has to read a topic itself. It does not as long as the
/// messages of other entries keep its copy fresh.
async fn wait_until_read_due(
    context: &GatewayContext,
    schedule: ReadSchedule,
    view: impl Fn() -> TopicView,
) {
    while !reader_state(context, view()).should_read_store(schedule) {
        tokio::time::sleep(AGE_CHECK_INTERVAL).await;
    }
}

/// The state of an entry's copy of a topic, as far as it decides whether the entry
/// reads the store.
struct TopicView {
    /// When the copy was last known to be the newest.
    confirmed_at: Option<Timestamp>,
    /// How many entries may read the topic at the same time.
    max_readers: usize,
}

fn config_view(context: &GatewayContext) -> TopicView {
    TopicView {
        confirmed_at: context.config.lock().confirmed_at(),
        // Reads are cheap: they return nothing while nothing changes.
        max_readers: usize::MAX,
    }
}

fn backends_view(context: &GatewayContext, schedule: ReadSchedule) -> TopicView {
    let backends = context.backends.lock();
    let servers = backends.iter().count();
    TopicView {
        confirmed_at: backends.confirmed_at(),
        max_readers: schedule.max_readers(context.settings.store_read_mb_s, servers),
    }
}

fn reader_state(context: &GatewayContext, view: TopicView) -> ReaderState {
    let now = context.now();
    let peers = context.peers.lock();
    ReaderState {
        rank: peers.hub_rank(now),
        max_readers: view.max_readers,
        holds_lease: context.lease.lock().is_holder(),
        view_age: view.confirmed_at.map(|at| now.since(at)),
        first_start: context.settings.first_start,
        has_entry_list: peers.is_list_read(),
        uptime: now.since(Timestamp(0)),
    }
}

/// Keeps the configuration up to date until the entry stops.
pub async fn follow_config(context: Arc<GatewayContext>) {
    let mut monitor = DependencyMonitor::new("store: configuration");
    let schedule = ReadSchedule::with_bound(context.settings.bounds.config_apply);
    loop {
        wait_until_read_due(&context, schedule, || config_view(&context)).await;
        let requested_at = context.now();
        let store = &context.platform.store;
        let topic = LogTopic::Configuration;
        let next = context.config.lock().log_end();
        let result = match next {
            None => store.read_latest(topic).await,
            Some(from) => {
                store
                    .read(topic, from, monitor.poll_timeout(schedule.poll_timeout()))
                    .await
            }
        };
        monitor.record(&context, &result);
        match result {
            Ok(slice) if misses_records(&slice, next) => context.config.lock().reset_log_end(),
            Ok(slice) => {
                apply_config(&context, &slice);
                let mut config = context.config.lock();
                config.note_read(slice.end);
                let revision = config.revision();
                config.confirm(revision, requested_at);
            }
            Err(PlatformError::OffsetOutOfRange(_)) => context.config.lock().reset_log_end(),
            Err(_) => monitor.wait_after_failure(&context).await,
        }
    }
}

/// Returns whether a slice lacks records after offset `next`, because the store no
/// longer keeps them or truncated its response. The caller then reads the latest
/// record of each key instead, since only those count in a keyed topic.
fn misses_records(slice: &LogSlice, next: Option<LogOffset>) -> bool {
    slice.is_truncated() || next.is_some_and(|from| slice.oldest > from)
}

/// Adopts the newest configuration of a slice and ignores earlier ones.
fn apply_config(context: &GatewayContext, slice: &LogSlice) {
    let key = context.platform.format.config_key();
    let published =
        |record: &&LogRecord| record.key.as_deref() == Some(key) && !record.value.is_empty();
    let Some(record) = slice.records.iter().rev().find(published) else {
        return;
    };
    let log_end = LogOffset(record.offset.0 + 1);
    let known = context.config.lock().log_end();
    // Another entry may have sent the document before the store returned it.
    if known.is_some_and(|known| known >= log_end) {
        return;
    }
    if !adopt_published(context, &record.value, log_end) {
        context.config.lock().note_unusable(log_end);
    }
}

/// Adopts a document from the store. `log_end` is the offset after its record.
/// Returns whether the document could be read.
pub fn adopt_published(context: &GatewayContext, document: &Bytes, log_end: LogOffset) -> bool {
    let outcome = PackedDocument::pack(document)
        .map_err(|error| error.to_string())
        .and_then(|packed| adopt_if_newer(context, document, packed, Some(log_end), "store"));
    log_unreadable(context, "store", &outcome);
    outcome.is_ok()
}

/// Adopts a complete document from another entry. Returns whether its revision, or
/// a later one, is now in force here.
pub fn adopt_received(context: &GatewayContext, received: ReceivedDocument) -> bool {
    let ReceivedDocument {
        revision,
        document,
        log_end,
    } = received;
    let outcome = document
        .unpack()
        .map_err(|error| error.to_string())
        .and_then(|unpacked| adopt_if_newer(context, &unpacked, document, log_end, "entry"));
    log_unreadable(context, "entry", &outcome);
    context.config.lock().revision() >= revision
}

fn log_unreadable(context: &GatewayContext, source: &str, outcome: &Result<(), String>) {
    if let Err(error) = outcome {
        counter!("cloverbend_configs_unreadable_total").increment(1);
        warn!(context.log, "configuration refused"; "source" => source, "error" => error);
    }
}

/// Decodes a configuration and adopts it if it is newer.
fn adopt_if_newer(
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

/// Keeps the list of backend servers up to date until the entry stops.
pub async fn follow_backends(context: Arc<GatewayContext>) {
    let mut monitor = DependencyMonitor::new("store: backend servers");
    let schedule = ReadSchedule::with_bound(context.settings.bounds.drain);
    let mut next: Option<LogOffset> = None;
    loop {
        wait_until_read_due(&context, schedule, || backends_view(&context, schedule)).await;
        let requested_at = context.now();
        let store = &context.platform.store;
        let topic = LogTopic::Backends;
        let result = match next {
            None => store.read_latest(topic).await,
            Some(from) => store.read(topic, from, Duration::ZERO).await,
        };
        if monitor.record(&context, &result) {
            let now = context.now();
            context.backends.lock().note_store_recovered(now);
        }
        match result {
            Ok(slice) if misses_records(&slice, next) => next = None,
            Ok(slice) => {
                let is_full_list = next.is_none();
                next = Some(slice.end);
                apply_backends(&context, &slice, is_full_list);
                context.backends.lock().confirm(requested_at);
                tokio::time::sleep(schedule.poll_interval()).await;
            }
            Err(PlatformError::OffsetOutOfRange(_)) => next = None,
            Err(_) => monitor.wait_after_failure(&context).await,
        }
    }
}

/// Adopts the backend list of another entry, which was up to date at `known_at`, if
/// the list of this entry is older. Points in time are compared rather than ages:
/// an age in a message grows while the message is on its way.
pub fn adopt_backend_list(
    context: &GatewayContext,
    records: &[BackendRecord],
    known_at: Timestamp,
) {
    let now = context.now();
    let mut backends = context.backends.lock();
    let changes = backends.replace_if_newer(now, known_at, records.to_vec());
    drop(backends);
    note_received_changes(context, &changes);
}

/// Applies the changes that turn this entry's backend list into that of another
/// entry, which was up to date at `known_at` and has the digest `target`.
pub fn adopt_backend_changes(
    context: &GatewayContext,
    changes: &ListChanges,
    target: u64,
    known_at: Timestamp,
) {
    let now = context.now();
    let mut backends = context.backends.lock();
    let applied = backends.apply_changes(now, known_at, target, changes.clone());
    drop(backends);
    note_received_changes(context, &applied);
}

/// Marks backend servers as draining that another entry reported as such.
pub fn note_draining(context: &GatewayContext, draining: &[BackendId]) {
    let mut backends = context.backends.lock();
    let changes: Vec<BackendChange> = draining
        .iter()
        .filter_map(|id| backends.mark_listed_draining(id))
        .collect();
    drop(backends);
    note_received_changes(context, &changes);
}

/// Returns the last record of each key. Earlier ones must not be applied, because
/// this entry may have received later ones from other entries.
fn latest_by_key(slice: &LogSlice) -> BTreeMap<&str, &LogRecord> {
    let records = slice.records.iter();
    records
        .filter_map(|record| Some((record.key.as_deref()?, record)))
        .collect()
}

fn apply_backends(context: &GatewayContext, slice: &LogSlice, is_full_list: bool) {
    let now = context.now();
    let mut records = Vec::new();
    let mut changes = Vec::new();
    let mut backends = context.backends.lock();
    for (key, record) in latest_by_key(slice) {
        let name = BackendName(key.to_owned());
        if record.value.is_empty() {
            changes.extend(backends.note_absent(now, &name));
            continue;
        }
        let decoded = context.platform.format.decode_backend(key, &record.value);
        match decoded.and_then(|decoded| check_start(&backends, decoded)) {
            Ok(decoded) if is_full_list => records.push(decoded),
            Ok(decoded) => changes.extend(backends.put(decoded)),
            Err(error) => {
                changes.extend(backends.note_unusable(&name));
                log_refused_record(context, &name, &error);
            }
        }
    }
    if is_full_list {
        changes.extend(backends.replace(now, records));
    }
    changes.extend(backends.expire_missing(now));
    drop(backends);
    for change in changes {
        note_stored_change(context, &change);
    }
}

/// Refuses a record without a start time if earlier records of its server had one.
fn check_start(backends: &BackendSet, record: BackendRecord) -> Result<BackendRecord, FormatError> {
    if backends.lacks_start(&record) {
        return Err(FormatError {
            subject: "backend server's record",
            cause: "the start time of the server is missing".to_owned(),
        });
    }
    Ok(record)
}

/// Logs a record that cannot be used. The number of lines is bounded, because
/// whoever can write one such record can write thousands.
fn log_refused_record(context: &GatewayContext, name: &BackendName, error: &FormatError) {
    counter!("cloverbend_backend_records_refused_total").increment(1);
    if context.may_log(&name.0, LineClass::Failure) {
        warn!(context.log, "backend server's record refused"; "backend" => %name,
            "error" => %error);
    }
}

/// Closes idle connections to a server that is gone, or to earlier incarnations of a
/// server that restarted, and cancels the requests that those will never answer.
fn drop_stale_state(context: &GatewayContext, change: &BackendChange) {
    match change {
        BackendChange::Joined(record) => {
            context.pool.close_replaced(&record.id);
            let ended = context.incarnations.cancel_replaced(&record.id);
            if ended > 0 {
                info!(context.log, "backend server restarted"; "backend" => %record.id,
                    "requests_lost" => ended);
            }
        }
        BackendChange::Gone(id) => context.pool.close_idle(id),
        BackendChange::Draining(_) | BackendChange::Missing(_) => {}
    }
}

/// Handles changes received from another entry. Hundreds of entries receive each
/// change. To bound the log, an entry that reads a change from the store logs it,
/// and all others log one line a second with counts.
fn note_received_changes(context: &GatewayContext, changes: &[BackendChange]) {
    counter!("cloverbend_backend_changes_total").increment(changes.len() as u64);
    let mut counts = context.change_counts.lock();
    for change in changes {
        counts.note(change);
    }
    drop(counts);
    for change in changes {
        drop_stale_state(context, change);
    }
}

/// Handles a change that this entry read from the store.
fn note_stored_change(context: &GatewayContext, change: &BackendChange) {
    counter!("cloverbend_backend_changes_total").increment(1);
    drop_stale_state(context, change);
    match change {
        BackendChange::Joined(record) => {
            info!(context.log, "backend server joined"; "backend" => %record.id,
                "service" => %record.service, "zone" => %record.zone,
                "address" => %record.address, "reclaimable" => record.reclaimable);
        }
        BackendChange::Draining(id) => {
            info!(context.log, "backend server draining"; "backend" => %id);
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
    /// Its [`HubCapacity`]; 0 in listings that older versions wrote.
    #[serde(default)]
    pub strength: u32,
}

/// Adds this entry to the list of entries, then reads the list: at once, again when
/// all entries that started together are on it, and whenever no other entry is
/// reachable.
///
/// The topic is read as a log, from the last offset read on. That takes one call for
/// any number of entries, as long as the store still keeps their records. Reading
/// the latest record of each key takes one call per page. When 295 entries start
/// together, that is 12 calls by each of them.
pub async fn discover_entries(context: Arc<GatewayContext>) {
    let listing = EntryListing {
        address: context.settings.peer_advertised,
        strength: context.settings.hub_capacity.0,
    };
    // An address and a number can always be serialized as JSON.
    let Ok(value) = serde_json::to_vec(&listing) else {
        return;
    };
    let value = Bytes::from(value);
    let mut monitor = DependencyMonitor::new("store: entries");
    let store = &context.platform.store;
    let name = context.settings.name.as_str();
    loop {
        let appended = store
            .append(LogTopic::Entries, Some(name), value.clone(), None)
            .await;
        monitor.record(&context, &appended);
        if appended.is_ok() {
            break;
        }
        tokio::time::sleep(LISTING_RETRY_DELAY).await;
    }
    let mut relist_delay = FIRST_RELIST_DELAY;
    let mut next = Some(LogOffset(0));
    loop {
        let listed = match next {
            None => store.read_latest(LogTopic::Entries).await,
            Some(from) => store.read(LogTopic::Entries, from, Duration::ZERO).await,
        };
        monitor.record(&context, &listed);
        let slice = match listed {
            Ok(slice) if misses_records(&slice, next) => {
                next = None;
                continue;
            }
            Ok(slice) => slice,
            Err(PlatformError::OffsetOutOfRange(_)) => {
                next = None;
                continue;
            }
            Err(_) => {
                tokio::time::sleep(LISTING_RETRY_DELAY).await;
                continue;
            }
        };
        next = Some(slice.end);
        note_listings(&context, &slice);
        tokio::time::sleep(relist_delay).await;
        // The second read finds the entries that started together with this one.
        // Without it, two entries that read the list before the others were on it
        // would only reach each other.
        if relist_delay > FIRST_RELIST_DELAY {
            wait_until_alone(&context).await;
        }
        relist_delay = (relist_delay * 2).min(MAX_RELIST_DELAY);
    }
}

/// Waits until no other entry is reachable. Entries exchange messages with hubs
/// only, so an entry that is no hub and read the list before the hubs were on it
/// receives none.
async fn wait_until_alone(context: &GatewayContext) {
    while context.peers.lock().entry_counts(context.now()).reachable > 1 {
        tokio::time::sleep(PEER_CHECK_INTERVAL).await;
    }
}

fn note_listings(context: &GatewayContext, slice: &LogSlice) {
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
                let capacity = HubCapacity(listing.strength);
                peers.note_listed(now, name, listing.address, capacity);
            }
            _ => warn!(context.log, "entry's listing refused"; "key" => record.key.as_deref()),
        }
    }
    peers.note_list_read();
}
