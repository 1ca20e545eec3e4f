//! Keeps in the store which versions of servers and which shares of routes streams may have
//! begun with, so that it is known after the loss of all entries at once.
//!
//! The lease holder writes one small record when it changes. Hubs read it when they start, and
//! the streams that [`crate::gateway::stream_store`] keeps. An entry that has just started and
//! knows no such record takes nothing that it lists for certain.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use metrics::counter;
use serde::Deserialize;
use serde::Serialize;
use slog::info;
use slog::warn;

use crate::gateway::default_versions::DefaultVersions;
use crate::gateway::default_versions::next_defaults;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::peer_table::HUB_COUNT;
use crate::gateway::platform_interface::LogTopic;
use crate::gateway::platform_interface::PlatformError;
use crate::gateway::stream_exchange::answer_held_queries;
use crate::gateway::stream_exchange::knows_versions;
use crate::gateway::stream_records::ServedVersions;
use crate::gateway::stream_store::StoredStreams;
use crate::gateway::stream_store::StreamCleaner;
use crate::gateway::stream_store::read_streams;
use crate::gateway::stream_store::served_versions;
use crate::gateway::stream_store::streams_end;
use crate::gateway::version_binding::VersionSet;
use crate::gateway::weight_history::RouteKey;
use crate::gateway::weight_history::ShareDigest;
use crate::gateway::weight_history::StoredShares;
use crate::id::LogOffset;
use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// The key of the record in its topic.
const RECORD_KEY: &str = "history";
/// How often a starting entry checks whether it has to read the record.
const READ_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The same for one that has run for longer than [`START_TIME`].
const LATE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long an entry takes to start at most: until then, queries and requests wait for what it
/// reads.
pub const START_TIME: Duration = Duration::from_millis(1_500);
/// How often an entry checks whether the store may have other default versions.
const DEFAULTS_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The pause after a read of them, which doubles up to [`LAST_DEFAULTS_PAUSE`] while the store
/// has not what this entry expects.
const FIRST_DEFAULTS_PAUSE: Duration = Duration::from_millis(500);
const LAST_DEFAULTS_PAUSE: Duration = Duration::from_secs(60);
/// The pause after a read that failed.
const READ_PAUSE: Duration = Duration::from_millis(500);
/// The pause after a call of the lease holder that failed, and between its writes at least.
const CALL_PAUSE: Duration = Duration::from_secs(1);

/// The record in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredHistory {
    /// The versions that serve or did a short time ago; an empty text is an unknown one.
    versions: BTreeMap<String, BTreeSet<String>>,
    /// The shares of routes that did not change a short time ago.
    shares: BTreeMap<u64, u64>,
    /// Whether its writer did not know all that served a short time ago.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    is_partial: bool,
    /// The end of the topic of streams when this was written: earlier records of streams tell
    /// nothing of what served.
    #[serde(default, skip_serializing_if = "is_start")]
    streams_end: u64,
    /// The default version of each service. Records of earlier entries have none.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    defaults: BTreeMap<String, String>,
}

fn is_start(offset: &u64) -> bool {
    *offset == 0
}

impl StoredHistory {
    /// Builds the record.
    pub fn new(
        versions: BTreeMap<ServiceName, VersionSet>,
        shares: BTreeMap<RouteKey, ShareDigest>,
    ) -> Self {
        let write = |set: VersionSet| {
            let set = set.into_iter();
            let names = set.map(|version| version.map_or_else(String::new, |v| v.to_string()));
            names.collect()
        };
        let versions = versions.into_iter();
        let shares = shares.into_iter();
        Self {
            versions: versions
                .map(|(service, set)| (service.to_string(), write(set)))
                .collect(),
            shares: shares.map(|(route, digest)| (route.0, digest.0)).collect(),
            is_partial: false,
            streams_end: 0,
            defaults: BTreeMap::new(),
        }
    }

    /// Returns the record with default versions.
    #[must_use]
    pub fn with_defaults(mut self, defaults: &DefaultVersions) -> Self {
        let defaults = defaults.iter();
        self.defaults = defaults
            .map(|(service, version)| (service.to_string(), version.to_string()))
            .collect();
        self
    }

    /// Returns the default versions, or `None` if a name is invalid.
    pub fn defaults(&self) -> Option<DefaultVersions> {
        let defaults = self.defaults.iter();
        defaults
            .map(|(service, version)| Some((service.parse().ok()?, version.parse().ok()?)))
            .collect()
    }

    /// Returns whether two records tell the same of what served.
    fn tells_same(&self, other: &Self) -> bool {
        let is_same = self.versions == other.versions && self.shares == other.shares;
        is_same && self.is_partial == other.is_partial && self.defaults == other.defaults
    }

    /// Returns the versions by service, or `None` if a name is invalid.
    pub fn versions(&self) -> Option<BTreeMap<ServiceName, VersionSet>> {
        let read = |name: &String| match name.as_str() {
            "" => Some(None),
            name => Some(Some(name.parse().ok()?)),
        };
        let versions = self.versions.iter();
        let versions = versions.map(|(service, names)| {
            let set: Option<VersionSet> = names.iter().map(read).collect();
            Some((service.parse().ok()?, set?))
        });
        versions.collect()
    }

    /// Returns the shares by route.
    pub fn shares(&self) -> BTreeMap<RouteKey, ShareDigest> {
        let shares = self.shares.iter();
        shares
            .map(|(route, digest)| (RouteKey(*route), ShareDigest(*digest)))
            .collect()
    }
}

/// What the store has, as far as the lease holder knows.
#[derive(Debug)]
struct StoreState {
    history: StoredHistory,
    /// The end of the topic. A write of a former holder moves it.
    end: LogOffset,
}

/// What the lease holder has read and written.
#[derive(Debug, Default)]
pub struct HistorySync {
    /// `None` until the first read.
    stored: Option<StoreState>,
    cleaner: StreamCleaner,
    /// The earliest time of the next store call.
    next_call_at: Timestamp,
}

impl HistorySync {
    /// Discards what was read during an earlier lease.
    pub fn reset(&mut self) {
        self.stored = None;
        self.cleaner.reset();
    }

    /// Reads the record, or writes it if it changed, or removes streams that are too old.
    pub async fn sync(&mut self, context: &GatewayContext) {
        if let Err(error) = self.cleaner.clean(context).await {
            info!(context.log, "old streams not removed from the store"; "error" => %error);
        }
        if context.now() < self.next_call_at {
            return;
        }
        let result = match &mut self.stored {
            None => match read_all(context).await {
                Ok(stored) => {
                    self.stored = Some(stored);
                    return;
                }
                Err(error) => Err(error),
            },
            Some(stored) => {
                let has_config = context.weight_history.lock().has_revision();
                // Without a list of servers it would have to be written once more.
                let has_list = context.backends.lock().confirmed_at().is_some();
                let present = present_history(context, &stored.history);
                if !has_config || !has_list || present.tells_same(&stored.history) {
                    return;
                }
                write_record(context, stored).await
            }
        };
        self.next_call_at = context.now().after(CALL_PAUSE);
        if let Err(error) = result {
            // The record may be another one now.
            self.stored = None;
            warn!(context.log, "sync of the history of streams with the store failed"; "error" => %error);
        }
    }
}

/// Whether an entry that starts has to read what the store has of streams, and has read it.
#[derive(Debug, Default)]
pub struct HistoryReading {
    is_wanted: AtomicBool,
    is_done: AtomicBool,
}

impl HistoryReading {
    /// Has this entry read although it may be no hub.
    pub fn request(&self) {
        self.is_wanted.store(true, Ordering::Relaxed);
    }

    /// Returns whether it has read.
    pub fn is_done(&self) -> bool {
        self.is_done.load(Ordering::Relaxed)
    }
}

/// Returns whether an entry is about to know more of what served before it started.
pub fn is_reading(context: &GatewayContext) -> bool {
    let now = context.now();
    now.since(Timestamp(0)) < START_TIME
        && !context.history_reading.is_done()
        && !context.version_history.lock().is_complete(now)
}

/// Reads what the store has once, if this entry starts as a hub or is asked for it.
pub async fn read_at_start(context: &GatewayContext) {
    loop {
        if !is_reading(context) {
            answer_held_queries(context);
        }
        let now = context.now();
        let reading = &context.history_reading;
        if reading.is_done() || context.version_history.lock().is_complete(now) {
            return;
        }
        if is_hub(context) || reading.is_wanted.load(Ordering::Relaxed) {
            let Err(error) = read_all(context).await else {
                reading.is_done.store(true, Ordering::Relaxed);
                continue;
            };
            warn!(context.log, "reading the history of streams from the store failed"; "error" => %error);
            tokio::time::sleep(READ_PAUSE).await;
            continue;
        }
        let interval = match now.since(Timestamp(0)) < START_TIME {
            true => READ_CHECK_INTERVAL,
            false => LATE_CHECK_INTERVAL,
        };
        tokio::time::sleep(interval).await;
    }
}

/// Returns whether other entries tell this one of their streams.
pub fn is_hub(context: &GatewayContext) -> bool {
    let peers = context.peers.lock();
    peers.is_list_read() && peers.hub_rank(context.now()) < HUB_COUNT
}

/// Reads the record, and streams if this entry does not know what served: what the record
/// proves of streams that nobody knows holds only for an entry that knows those of the store.
async fn read_all(context: &GatewayContext) -> Result<StoreState, PlatformError> {
    let is_known = context.version_history.lock().is_complete(context.now());
    let record = read_record(context).await?;
    let streams = match is_known || context.settings.first_start {
        true => StoredStreams::default(),
        false => read_streams(context, record.content.streams_end()).await?,
    };
    apply_record(context, &record, streams);
    let history = match record.content {
        RecordContent::Known(history, _) => history,
        RecordContent::Missing | RecordContent::Invalid => StoredHistory::default(),
    };
    let end = record.end;
    Ok(StoreState { history, end })
}

/// Reads the record, and notes the default versions that it has.
async fn read_record(context: &GatewayContext) -> Result<HistoryRecord, PlatformError> {
    let begun_at = context.now();
    let record = fetch_record(context).await?;
    let mut view = context.default_view.lock();
    view.note(begun_at, record.content.defaults());
    drop(view);
    // Streams that wait may be those of the default version.
    context.stream_stored.notify_waiters();
    Ok(record)
}

/// Reads which default versions the store has.
///
/// # Errors
///
/// The store did not respond, or refused.
pub async fn read_defaults(context: &GatewayContext) -> Result<DefaultVersions, PlatformError> {
    Ok(read_record(context).await?.content.defaults())
}

/// Reads which default versions the store has when this entry starts, and while it may have
/// others than this entry read, until the entry stops.
pub async fn follow_defaults(context: &GatewayContext) {
    let mut pause = FIRST_DEFAULTS_PAUSE;
    loop {
        if !is_behind(context) {
            pause = FIRST_DEFAULTS_PAUSE;
            tokio::time::sleep(DEFAULTS_CHECK_INTERVAL).await;
            continue;
        }
        counter!("cloverbend_default_version_reads_total").increment(1);
        if let Err(error) = read_defaults(context).await {
            info!(context.log, "default versions not read from the store"; "error" => %error);
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LAST_DEFAULTS_PAUSE);
    }
}

fn is_behind(context: &GatewayContext) -> bool {
    let now = context.now();
    let services: Vec<ServiceName> = served_versions(context).into_keys().collect();
    let history = context.version_history.lock();
    let view = context.default_view.lock();
    let mut services = services.iter();
    view.read_at().is_none() || services.any(|service| view.is_behind(now, &history, service))
}

/// The record as it was read.
struct HistoryRecord {
    content: RecordContent,
    end: LogOffset,
}

enum RecordContent {
    /// No entry wrote one.
    Missing,
    Known(StoredHistory, ServedVersions),
    /// It tells nothing, or its writer did not know what served. The lease holder replaces it.
    Invalid,
}

impl RecordContent {
    fn streams_end(&self) -> LogOffset {
        match self {
            Self::Known(history, _) => LogOffset(history.streams_end),
            Self::Missing | Self::Invalid => LogOffset(0),
        }
    }

    fn defaults(&self) -> DefaultVersions {
        match self {
            Self::Known(history, _) => history.defaults().unwrap_or_default(),
            Self::Missing | Self::Invalid => DefaultVersions::new(),
        }
    }
}

async fn fetch_record(context: &GatewayContext) -> Result<HistoryRecord, PlatformError> {
    let topic = LogTopic::StreamHistory;
    let slice = context.platform.store.read_latest(topic).await?;
    let is_record = |key: Option<&str>| key == Some(RECORD_KEY);
    let mut records = slice.records.iter();
    let record = records.rfind(|record| is_record(record.key.as_deref()));
    let content = match record.map(|record| decode_history(&record.value)) {
        None => RecordContent::Missing,
        Some(Some((history, versions))) if !history.is_partial => {
            RecordContent::Known(history, versions)
        }
        Some(Some(_)) => RecordContent::Invalid,
        Some(None) => {
            warn!(context.log, "invalid history of streams ignored"; "key" => RECORD_KEY);
            RecordContent::Invalid
        }
    };
    let end = slice.end;
    Ok(HistoryRecord { content, end })
}

/// Adds a record, and what the store has of streams, to what this entry knows. A version that
/// began streams and is not known to have served may be that of any service.
fn apply_record(context: &GatewayContext, record: &HistoryRecord, streams: StoredStreams) {
    let now = context.now();
    let is_start = !context.version_history.lock().is_complete(now);
    let evidence = match &record.content {
        RecordContent::Missing if context.settings.first_start => {
            Some((BTreeMap::new(), StoredShares::NothingServed))
        }
        // Entries may have been lost before they wrote it.
        RecordContent::Missing | RecordContent::Invalid => None,
        RecordContent::Known(history, versions) => {
            let mut versions = versions.clone();
            for (service, served) in streams.served {
                versions.entry(service).or_default().extend(served);
            }
            let known: VersionSet = versions.values().flatten().cloned().collect();
            for set in versions.values_mut() {
                set.extend(streams.begun_by.difference(&known).cloned());
            }
            Some((versions, StoredShares::Known(history.shares())))
        }
    };
    info!(context.log, "history of streams read"; "is_known" => evidence.is_some(),
        "is_first" => matches!(record.content, RecordContent::Missing),
        "services" => evidence.as_ref().map_or(0, |(versions, _)| versions.len()),
        "is_start" => is_start);
    if let Some((versions, shares)) = evidence {
        let mut history = context.version_history.lock();
        if let StoredShares::NothingServed = shares {
            history.note_first_start();
        }
        history.restore(now, &versions);
        drop(history);
        context.weight_history.lock().restore(shares);
    }
}

fn decode_history(value: &[u8]) -> Option<(StoredHistory, BTreeMap<ServiceName, VersionSet>)> {
    let history: StoredHistory = serde_json::from_slice(value).ok()?;
    let versions = history.versions()?;
    history.defaults()?;
    Some((history, versions))
}

/// Returns what this entry knows, as it has to be in the store in place of a record.
fn present_history(context: &GatewayContext, stored: &StoredHistory) -> StoredHistory {
    let now = context.now();
    let shares = context.weight_history.lock().all_steady(now);
    let is_known = context.version_history.lock().is_complete(now);
    let history = StoredHistory {
        is_partial: !is_known,
        ..StoredHistory::new(served_versions(context), shares)
    };
    history.with_defaults(&present_defaults(context, stored))
}

/// Returns the default versions in place of those of a record. There are none while an entry
/// takes part whose streams do not wait.
fn present_defaults(context: &GatewayContext, stored: &StoredHistory) -> DefaultVersions {
    let now = context.now();
    if !context.peers.lock().all_wait_for_store() {
        return DefaultVersions::new();
    }
    let stored = stored.defaults().unwrap_or_default();
    let is_fresh = knows_versions(context);
    let history = context.version_history.lock();
    next_defaults(now, &history, &stored, is_fresh)
}

async fn write_record(
    context: &GatewayContext,
    stored: &mut StoreState,
) -> Result<(), PlatformError> {
    let has_streams = context.streams.lock().are_any_stored();
    let streams_end = match has_streams {
        true => streams_end(context).await?.0,
        false => stored.history.streams_end,
    };
    let begun_at = context.now();
    let history = StoredHistory {
        streams_end,
        ..present_history(context, &stored.history)
    };
    let value = serde_json::to_vec(&history);
    let value = value.map_err(|error| PlatformError::NotApplied(error.to_string()))?;
    append(context, stored, RECORD_KEY, Bytes::from(value)).await?;
    let defaults = history.defaults().unwrap_or_default();
    context.default_view.lock().note(begun_at, defaults);
    stored.history = history;
    Ok(())
}

async fn append(
    context: &GatewayContext,
    stored: &mut StoreState,
    key: &str,
    value: Bytes,
) -> Result<(), PlatformError> {
    counter!("cloverbend_stream_history_writes_total").increment(1);
    counter!("cloverbend_stream_history_bytes_total").increment(value.len() as u64);
    let store = &context.platform.store;
    let topic = LogTopic::StreamHistory;
    let position = store
        .append(topic, Some(key), value, Some(stored.end))
        .await?;
    stored.end = LogOffset(position.offset.0 + 1);
    Ok(())
}
