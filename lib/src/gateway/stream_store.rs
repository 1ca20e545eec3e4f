//! Keeps in the store which versions began streams, for as long as other versions or services
//! may be taken for those.
//!
//! Hubs write the streams that are announced to them. The first hub writes at once and reports
//! to the others what the store has; each further hub writes after a delay what was not
//! reported as written, so that a hub that is frozen, cut off or gone delays a write by little.
//! An entry that knows no hub yet writes its own streams. No writer needs the lease.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use slog::debug;
use slog::info;
use slog::warn;

use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::history_sync::START_TIME;
use crate::gateway::peer_table::HUB_COUNT;
use crate::gateway::platform_interface::LogTopic;
use crate::gateway::platform_interface::PlatformError;
use crate::gateway::stream_frames::StreamNotice;
use crate::gateway::stream_records::RecordAges;
use crate::gateway::stream_records::ServedVersions;
use crate::gateway::stream_records::StreamRecord;
use crate::gateway::stream_records::decode_record;
use crate::gateway::stream_versions::BegunStream;
use crate::gateway::stream_versions::KeyList;
use crate::gateway::stream_versions::MAX_STREAMS;
use crate::gateway::stream_waits::report_stored;
use crate::gateway::version_binding::VersionSet;
use crate::id::LogOffset;
use crate::quantity::Timestamp;
use crate::wire::PeerMessage;

/// The pause between two writes of one entry: what begins meanwhile is written together.
const WRITE_PAUSE: Duration = Duration::from_millis(40);
/// How much longer each further hub waits for the one before to have written a stream.
const DELAY_PER_RANK: Duration = Duration::from_millis(60);
/// How long an entry that stops takes to write its last streams at most.
const FLUSH_TIME: Duration = Duration::from_secs(1);
/// How often it checks whether they are written.
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The pause after a write that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);
/// The most streams that one write adds.
const MAX_STREAMS_PER_WRITE: usize = 1_024;
/// How often the lease holder looks for records that are too old.
const CLEANING_INTERVAL: Duration = Duration::from_secs(10);

/// Writes streams until the entry stops.
pub async fn write_streams(context: &GatewayContext) {
    let mut record = StreamRecord::new(context.incarnation);
    loop {
        context.stream_write_due.notified().await;
        while let Some(delay) = write_delay(context) {
            let now = context.now();
            let Some(noted_at) = context.streams.lock().unstored_since() else {
                break;
            };
            let age = now.since(noted_at);
            if age < delay {
                tokio::time::sleep(delay - age).await;
                continue;
            }
            let noted_until = noted_at.after(age - delay);
            let streams = context
                .streams
                .lock()
                .take_unstored(noted_until, MAX_STREAMS_PER_WRITE);
            if streams.is_empty() {
                continue;
            }
            record.add(now, streams.clone());
            let is_full = streams.len() == MAX_STREAMS_PER_WRITE;
            context.stream_flush.begin_write();
            write_batch(context, &mut record, streams).await;
            context.stream_flush.end_write();
            if !is_full {
                tokio::time::sleep(WRITE_PAUSE).await;
            }
        }
    }
}

/// Returns for how long a stream waits for another entry to write it, or `None` if this entry
/// does not write.
fn write_delay(context: &GatewayContext) -> Option<Duration> {
    if context.stream_flush.is_requested() {
        return Some(Duration::ZERO);
    }
    // Other entries may know of another version before this one does.
    if !may_mix_streams(context) && !context.stream_waits.are_any() {
        return None;
    }
    let now = context.now();
    let peers = context.peers.lock();
    let knows_hubs = peers.is_list_read() && !peers.stream_keepers(now).is_empty();
    let rank = peers.hub_rank(now);
    match rank {
        _ if !knows_hubs => Some(Duration::ZERO),
        HUB_COUNT.. => None,
        // Other hubs may not have received it, or not the report that the store has it.
        _ if context.is_draining() || is_starting(context) => Some(Duration::ZERO),
        _ => Some(DELAY_PER_RANK * rank as u32),
    }
}

/// The last writes of an entry that stops.
#[derive(Debug, Default)]
pub struct StreamFlush {
    is_requested: AtomicBool,
    is_writing: AtomicBool,
}

impl StreamFlush {
    fn is_requested(&self) -> bool {
        self.is_requested.load(Ordering::Relaxed)
    }

    fn begin_write(&self) {
        self.is_writing.store(true, Ordering::Relaxed);
    }

    fn end_write(&self) {
        self.is_writing.store(false, Ordering::Relaxed);
    }
}

/// Writes the streams that the store may not have, also while one version serves: another one
/// may before any entry does again. Waits until `stop_at` at most.
pub async fn flush_streams(context: &GatewayContext, stop_at: Timestamp) {
    let until = context.now().after(FLUSH_TIME).min(stop_at);
    let flush = &context.stream_flush;
    flush.is_requested.store(true, Ordering::Relaxed);
    context.stream_write_due.notify_one();
    let has_unstored = || context.streams.lock().unstored_since().is_some();
    while context.now() < until && (has_unstored() || flush.is_writing.load(Ordering::Relaxed)) {
        tokio::time::sleep(FLUSH_CHECK_INTERVAL).await;
    }
}

/// Wakes the task that writes if there is anything to write: a service may have got servers of
/// another version since its streams were noted.
pub fn check_unstored(context: &GatewayContext) {
    let has_unstored = context.streams.lock().unstored_since().is_some();
    if has_unstored && write_delay(context).is_some() {
        context.stream_write_due.notify_one();
    }
}

/// Returns whether streams that nobody knows cannot go on, because several versions or
/// services may have begun them, as far as this entry knows.
pub fn may_mix_streams(context: &GatewayContext) -> bool {
    if is_uncertain(context) {
        return true;
    }
    let now = context.now();
    let recent = context.version_history.lock().all_recent(now);
    let history = context.weight_history.lock();
    let mut recent = recent.iter();
    history.has_changed(now)
        || history.is_uncertain(now)
        || recent.any(|(service, versions)| versions.len() > 1 && history.has_streams(service))
}

/// Returns whether this entry does not know yet what served, or no entry can have written it.
pub fn is_uncertain(context: &GatewayContext) -> bool {
    let is_known = context.version_history.lock().is_complete(context.now());
    match context.settings.first_start {
        true => is_starting(context),
        false => !is_known,
    }
}

fn is_starting(context: &GatewayContext) -> bool {
    context.now().since(Timestamp(0)) < START_TIME
}

/// Writes a record until the store has it, and tells the other hubs which streams were added.
async fn write_batch(context: &GatewayContext, record: &mut StreamRecord, added: Vec<BegunStream>) {
    let notice = StreamNotice {
        is_stored: true,
        ..StreamNotice::new(added.clone())
    };
    loop {
        let value = record.encode(&served_versions(context));
        counter!("cloverbend_stream_writes_total").increment(1);
        counter!("cloverbend_stream_written_bytes_total").increment(value.len() as u64);
        let store = &context.platform.store;
        let key = record.key();
        let written = store
            .append(LogTopic::Streams, Some(&key), value, None)
            .await;
        let Err(error) = written else {
            break;
        };
        info!(context.log, "streams not written"; "error" => %error);
        record.renew(context.now());
        tokio::time::sleep(FAILURE_PAUSE).await;
    }
    log_streams(context, "streams written", &notice);
    let keys = added.iter().map(|(key, _)| *key);
    context.streams.lock().note_written(keys);
    context.stream_stored.notify_waiters();
    report_stored(context, &added);
    let count: usize = notice.groups.iter().map(|(_, keys)| keys.len()).sum();
    counter!("cloverbend_streams_stored_total").increment(count as u64);
    let keepers = context.peers.lock().stream_keepers(context.now());
    for keeper in keepers {
        let message = PeerMessage::StreamNotice(notice.clone());
        context.links.send(keeper, message);
    }
}

/// Returns the versions that serve or did a short time ago, of the services with streams.
pub fn served_versions(context: &GatewayContext) -> ServedVersions {
    let versions = context.version_history.lock().all_recent(context.now());
    let history = context.weight_history.lock();
    let versions = versions.into_iter();
    versions
        .filter(|(service, _)| history.has_streams(service))
        .collect()
}

/// What the store has of streams.
#[derive(Debug, Default)]
pub struct StoredStreams {
    /// The versions that began them.
    pub begun_by: VersionSet,
    /// What served when they were written, as far as the history of streams may lack it.
    pub served: ServedVersions,
    /// Whether this entry now knows all of them.
    pub are_all_known: bool,
}

fn log_streams(context: &GatewayContext, message: &'static str, notice: &StreamNotice) {
    for (_, keys) in &notice.groups {
        debug!(context.log, "{}", message; "streams" => %KeyList(keys));
    }
}

/// Reads all streams that the store has. Records before `covered` were written before the
/// history of streams was, which has what served then.
///
/// # Errors
///
/// The store did not respond, or refused.
pub async fn read_streams(
    context: &GatewayContext,
    covered: LogOffset,
) -> Result<StoredStreams, PlatformError> {
    let slice = context
        .platform
        .store
        .read_latest(LogTopic::Streams)
        .await?;
    let mut stored = StoredStreams::default();
    let (mut count, mut invalid) = (0, 0);
    for record in &slice.records {
        let Some((notice, served)) = decode_record(&record.value) else {
            invalid += 1;
            continue;
        };
        log_streams(context, "streams read", &notice);
        let now = context.now();
        let mut streams = context.streams.lock();
        let is_covered = record.offset < covered;
        for (service, versions) in served.into_iter().filter(|_| !is_covered) {
            stored.served.entry(service).or_default().extend(versions);
        }
        for (version, keys) in &notice.groups {
            if !is_covered {
                stored.begun_by.insert(version.clone());
            }
            count += keys.len();
            for key in keys {
                streams.note_read(now, *key, version.as_ref());
            }
        }
    }
    // One line for all, since whoever can write one such record can write thousands.
    if invalid > 0 {
        warn!(context.log, "invalid records of streams ignored"; "records" => invalid);
    }
    stored.are_all_known = invalid == 0 && count < MAX_STREAMS;
    info!(context.log, "streams read from the store"; "records" => slice.records.len(),
        "streams" => count);
    Ok(stored)
}

/// Returns the end of the topic of streams.
///
/// # Errors
///
/// The store did not respond, or refused.
pub async fn streams_end(context: &GatewayContext) -> Result<LogOffset, PlatformError> {
    let store = &context.platform.store;
    Ok(store.read_latest(LogTopic::Streams).await?.end)
}

/// Removes records of streams that are too old to go on. The lease holder does this.
#[derive(Debug, Default)]
pub struct StreamCleaner {
    ages: RecordAges,
    next_at: Timestamp,
    /// Whether it has looked for records since the lease was claimed.
    has_looked: bool,
}

impl StreamCleaner {
    /// Has it look for records even if this entry knows of none.
    pub fn reset(&mut self) {
        self.has_looked = false;
    }

    /// Removes old records if it is time to do so and there may be any.
    ///
    /// # Errors
    ///
    /// The store did not respond, or refused.
    pub async fn clean(&mut self, context: &GatewayContext) -> Result<(), PlatformError> {
        let now = context.now();
        let may_have_records = !self.has_looked || context.streams.lock().are_any_stored();
        if now < self.next_at || !may_have_records {
            return Ok(());
        }
        self.next_at = now.after(CLEANING_INTERVAL);
        self.has_looked = true;
        let store = &context.platform.store;
        let is_mixed = may_mix_streams(context);
        let slice = store.read_latest(LogTopic::Streams).await?;
        let old = self.ages.note(now, &slice);
        if !old.is_empty() {
            store.remove(LogTopic::Streams, &old).await?;
        }
        let mut streams = context.streams.lock();
        if old.len() < slice.records.len() {
            streams.note_some_stored();
        } else if !is_mixed {
            streams.note_none_stored();
        }
        Ok(())
    }
}
