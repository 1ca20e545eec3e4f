//! Reads the backend servers from the platform's store and keeps them up to date.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use slog::info;
use slog::warn;

use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_record::BackendName;
use crate::gateway::backend_record::BackendRecord;
use crate::gateway::backend_set::BackendChange;
use crate::gateway::backend_set::BackendSet;
use crate::gateway::crash_detector::record_replaced_crashes;
use crate::gateway::dependency_monitor::DependencyMonitor;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::list_history::ListChanges;
use crate::gateway::log_budget::LineClass;
use crate::gateway::platform_interface::FormatError;
use crate::gateway::platform_interface::LogRecord;
use crate::gateway::platform_interface::LogSlice;
use crate::gateway::platform_interface::LogTopic;
use crate::gateway::platform_interface::PlatformError;
use crate::gateway::read_schedule::ReadSchedule;
use crate::gateway::read_schedule::ReaderState;
use crate::id::LogOffset;
use crate::quantity::Timestamp;

/// How often an entry checks whether a topic has to be read.
const AGE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How many truncated responses in a row a reader of the backend list reads on from.
/// A longer backlog has more bytes than the full list.
const MAX_CONTINUED_READS: usize = 8;

/// Waits until this entry has to read a topic itself. It does not as long as the
/// messages of other entries keep its copy fresh.
pub async fn wait_until_read_due(
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
pub struct TopicView {
    /// When the copy was last known to be the newest.
    pub confirmed_at: Option<Timestamp>,
    /// How many entries may read the topic at the same time.
    pub max_readers: usize,
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
    let holds_lease = context.lease.lock().is_holder();
    let peers = context.peers.lock();
    ReaderState {
        rank: peers.hub_rank(now),
        entries: peers.direct_entry_counts(now).entries,
        max_readers: view.max_readers,
        holds_lease,
        view_age: view.confirmed_at.map(|at| now.since(at)),
        first_start: context.settings.first_start,
        has_entry_list: peers.is_list_read(),
        uptime: now.since(Timestamp(0)),
    }
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
            Some(from) => read_on(&context, topic, from).await,
        };
        if monitor.record(&context, &result) {
            let now = context.now();
            context.backends.lock().note_store_recovered(now);
        }
        match result {
            Ok(slice) if slice.misses_records(next) => next = None,
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

/// Reads a topic from an offset to its end, where the store truncates long responses.
/// The slice is returned as a whole: records in the middle of the topic may be older
/// than what other entries sent.
async fn read_on(
    context: &GatewayContext,
    topic: LogTopic,
    from: LogOffset,
) -> Result<LogSlice, PlatformError> {
    let store = &context.platform.store;
    let mut slice = store.read(topic, from, Duration::ZERO).await?;
    for _ in 0..MAX_CONTINUED_READS {
        if !slice.is_truncated() || slice.misses_first(from) {
            break;
        }
        let following = store.read(topic, slice.read_end, Duration::ZERO).await?;
        if !slice.extend(following) {
            break;
        }
    }
    Ok(slice)
}

/// Adopts the backend list of another entry, which was up to date at `known_at`, if
/// the list of this entry is older. Points in time are compared rather than ages:
/// an age in a message grows while the message is on its way.
pub fn adopt_backend_list(
    context: &GatewayContext,
    records: Vec<BackendRecord>,
    known_at: Timestamp,
) {
    let now = context.now();
    let mut backends = context.backends.lock();
    let changes = backends.replace_if_newer(now, known_at, records);
    drop(backends);
    note_received_changes(context, &changes);
}

/// Applies the changes that turn this entry's backend list into that of another
/// entry, which was up to date at `known_at` and has the digest `target`.
pub fn adopt_backend_changes(
    context: &GatewayContext,
    changes: ListChanges,
    target: u64,
    known_at: Timestamp,
) {
    let now = context.now();
    let mut backends = context.backends.lock();
    let applied = backends.apply_changes(now, known_at, target, changes);
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

/// Returns the records of each key, back to the last removal of the key. The last one need
/// not be the newest: a write without a response may be done late.
fn records_by_key(slice: &LogSlice) -> BTreeMap<&str, Vec<&LogRecord>> {
    let mut by_key: BTreeMap<&str, Vec<&LogRecord>> = BTreeMap::new();
    for record in &slice.records {
        let Some(key) = record.key.as_deref() else {
            continue;
        };
        let records = by_key.entry(key).or_default();
        let is_removed = records.last().is_some_and(|last| last.value.is_empty());
        if is_removed || record.value.is_empty() {
            records.clear();
        }
        records.push(record);
    }
    by_key
}

fn apply_backends(context: &GatewayContext, slice: &LogSlice, is_full_list: bool) {
    let now = context.now();
    let mut records = Vec::new();
    let mut changes = Vec::new();
    let mut backends = context.backends.lock();
    for (key, keyed) in records_by_key(slice) {
        let name = BackendName(key.to_owned());
        let Some((record, earlier)) = keyed.split_last() else {
            continue;
        };
        if record.value.is_empty() {
            changes.extend(backends.note_absent(now, &name));
            continue;
        }
        for record in earlier {
            let decoded = context.platform.format.decode_backend(key, &record.value);
            let usable = decoded.and_then(|decoded| check_start(&backends, decoded));
            changes.extend(usable.ok().and_then(|usable| backends.put(usable)));
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
/// server that restarted, and cancels the requests that those will never answer. Gives up
/// the requests that have not arrived at a server that leaves.
fn drop_stale_state(context: &GatewayContext, change: &BackendChange) {
    match change {
        BackendChange::Joined(record) => {
            context.pool.close_replaced(&record.id);
            let ended = context.incarnations.cancel_replaced(&record.id);
            record_replaced_crashes(context, &record.id);
            // Another version may serve now.
            context.stream_notice_due.notify_one();
            if ended > 0 {
                info!(context.log, "backend server restarted"; "backend" => %record.id,
                    "requests_lost" => ended);
            }
        }
        BackendChange::Gone(id) => {
            context.pool.close_idle(id);
            context.pool.limit_leaving(id);
        }
        BackendChange::Draining(id) => context.pool.limit_leaving(id),
        BackendChange::Missing(_) => {}
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
