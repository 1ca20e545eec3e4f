//! Keeps what is fatal to servers, requests and parts of prompts, in the store, so that it
//! is known after the loss of all entries at once.
//!
//! The lease holder reads them when it acquires the lease and once a minute,
//! and writes each change. Its writes carry no fencing token: a write of a
//! former holder may arrive late, and is corrected after the next read. Other
//! entries receive fatal requests by gossip. Reading needs no lease: hubs read
//! when they start, and an entry that reaches no other reads when it observes a
//! crash itself.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use slog::info;
use slog::warn;

use crate::gateway::call_feature::CallFeature;
use crate::gateway::call_feature::FeatureTag;
use crate::gateway::crash_detector::merge_crash_reports;
use crate::gateway::crash_ledger::CrashReport;
use crate::gateway::crash_verdict::CrashRecord;
use crate::gateway::crash_verdict::IncarnationDigest;
use crate::gateway::crash_verdict::SurvivorTag;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::peer_table::HUB_COUNT;
use crate::gateway::platform_interface::LogSlice;
use crate::gateway::platform_interface::LogTopic;
use crate::gateway::platform_interface::PlatformError;
use crate::quantity::Timestamp;

/// The interval at which an entry checks whether it must read without the
/// lease. It has to know a fatal request within seconds.
const READ_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The same for the first checks of an entry that has not read: each request with a fatal part
/// that it sends before costs a server.
const FIRST_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How many these are: an entry knows within their time whether it is a hub.
const FIRST_CHECKS: usize = 100;
/// The pause after a store call that failed.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// How old the last read may be before the holder reads again. A former holder
/// that was suspended may have removed a request since.
const MAX_READ_AGE: Duration = Duration::from_secs(60);

/// The record of a fatal feature in the store. Its key is the feature.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoredRecord {
    /// The incarnations that crashed under it, and how long it had run, in
    /// microseconds.
    crashes: BTreeMap<u64, u64>,
    /// The number of survivors, for entries of earlier versions.
    survivors: usize,
    /// The survivors. Entries of earlier versions write none.
    #[serde(default)]
    survivor_tags: BTreeSet<u32>,
    /// The tags of the features that come with it. Entries of earlier versions write none.
    #[serde(default)]
    companions: BTreeSet<u32>,
    /// The runs that servers survived of requests without it. Entries of earlier versions write
    /// none.
    #[serde(default)]
    contrasts: BTreeSet<u32>,
}

impl StoredRecord {
    fn new(record: &CrashRecord) -> Self {
        let crashes = record.crashes.iter();
        let crashes = crashes.map(|(incarnation, ran)| (incarnation.0, ran.as_micros() as u64));
        Self {
            crashes: crashes.collect(),
            survivors: record.survivors.len(),
            survivor_tags: record.survivors.iter().map(|tag| tag.0).collect(),
            companions: record.companions.iter().map(|tag| tag.0).collect(),
            contrasts: record.contrasts.iter().map(|tag| tag.0).collect(),
        }
    }

    fn into_record(self) -> CrashRecord {
        let crashes = self.crashes.into_iter();
        let crashes = crashes
            .map(|(incarnation, ran)| (IncarnationDigest(incarnation), Duration::from_micros(ran)));
        CrashRecord {
            crashes: crashes.collect(),
            survivors: self.survivor_tags.into_iter().map(SurvivorTag).collect(),
            companions: self.companions.into_iter().map(FeatureTag).collect(),
            contrasts: self.contrasts.into_iter().map(SurvivorTag).collect(),
        }
    }
}

/// The fatal requests in the store, as far as the holder knows.
#[derive(Clone, Debug, Default)]
struct StoredRequests {
    features: BTreeSet<CallFeature>,
    read_at: Timestamp,
}

/// What to do next with the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncStep {
    /// Read all fatal requests.
    Read,
    /// Write a request that was found fatal.
    Write(CallFeature),
    /// Remove a request that is no longer fatal.
    Remove(CallFeature),
    /// Do nothing, because nothing changed.
    Wait,
}

/// What the lease holder has read and written of fatal requests.
#[derive(Debug, Default)]
pub struct FatalSync {
    /// `None` until the first read.
    stored: Option<StoredRequests>,
    /// The earliest time of the next store call.
    next_call_at: Timestamp,
}

impl FatalSync {
    /// Discards what was read during an earlier lease.
    pub fn reset(&mut self) {
        self.stored = None;
    }

    /// Reads the stored requests, or writes one change.
    pub async fn sync(&mut self, context: &GatewayContext) {
        let now = context.now();
        if now < self.next_call_at {
            return;
        }
        let known = context.crashes.lock().fatal_reports(now);
        let known: BTreeMap<CallFeature, CrashRecord> = known
            .into_iter()
            .map(|report| (report.feature, report.record))
            .collect();
        let features = known.keys().copied().collect();
        let result = match self.next_step(now, &features) {
            SyncStep::Read => self.read(context, now).await,
            SyncStep::Write(feature) => self.write(context, feature, known.get(&feature)).await,
            SyncStep::Remove(feature) => self.write(context, feature, None).await,
            SyncStep::Wait => Ok(()),
        };
        if let Err(error) = result {
            warn!(context.log, "sync of fatal requests with the store failed"; "error" => %error);
            self.next_call_at = context.now().after(FAILURE_PAUSE);
        }
    }

    /// Returns the next step, given that the requests `known` are fatal.
    pub fn next_step(&self, now: Timestamp, known: &BTreeSet<CallFeature>) -> SyncStep {
        let Some(stored) = &self.stored else {
            return SyncStep::Read;
        };
        // A write of a former holder may arrive after the first read.
        if now.since(stored.read_at) >= MAX_READ_AGE {
            return SyncStep::Read;
        }
        let new = known.difference(&stored.features).next();
        let outdated = stored.features.difference(known).next();
        match (new, outdated) {
            (Some(feature), _) => SyncStep::Write(*feature),
            (None, Some(feature)) => SyncStep::Remove(*feature),
            (None, None) => SyncStep::Wait,
        }
    }

    /// Records which requests the store had at `read_at`. Returns those that
    /// this holder did not know to be stored.
    pub fn note_read(
        &mut self,
        read_at: Timestamp,
        features: BTreeSet<CallFeature>,
    ) -> BTreeSet<CallFeature> {
        let previous = self.stored.take().unwrap_or_default();
        let new = features.difference(&previous.features).copied().collect();
        self.stored = Some(StoredRequests { features, read_at });
        new
    }

    async fn read(
        &mut self,
        context: &GatewayContext,
        now: Timestamp,
    ) -> Result<(), PlatformError> {
        let reports = read_stored(context).await?;
        let features = reports.iter().map(|report| report.feature).collect();
        let new = self.note_read(now, features);
        let new_reports = reports.into_iter();
        let new_reports = new_reports.filter(|report| new.contains(&report.feature));
        let new_reports: Vec<CrashReport> = new_reports.collect();
        merge_crash_reports(context, &new_reports);
        Ok(())
    }

    /// Writes the record of a request, or removes it if there is none.
    async fn write(
        &mut self,
        context: &GatewayContext,
        feature: CallFeature,
        record: Option<&CrashRecord>,
    ) -> Result<(), PlatformError> {
        // An empty value removes the key.
        let value = record.map_or(Ok(Bytes::new()), encode)?;
        let key = feature.to_string();
        let store = &context.platform.store;
        store
            .append(LogTopic::FatalCalls, Some(&key), value, None)
            .await?;
        let Some(stored) = &mut self.stored else {
            return Ok(());
        };
        if record.is_some() {
            stored.features.insert(feature);
        } else {
            stored.features.remove(&feature);
        }
        Ok(())
    }
}

/// Reads the fatal requests once if this entry starts as a hub, so that they
/// are known after a loss of all entries before one of them holds the lease.
/// Reads them again whenever servers crash under requests of this entry while
/// it reaches no other, since it may be cut off from the entries that know
/// them.
pub async fn read_without_lease(context: Arc<GatewayContext>) {
    let mut is_read = false;
    let mut checks = 0;
    loop {
        let interval = match checks < FIRST_CHECKS && !is_read {
            true => FIRST_CHECK_INTERVAL,
            false => READ_CHECK_INTERVAL,
        };
        checks += 1;
        tokio::time::sleep(interval).await;
        if !must_read(&context, is_read) {
            continue;
        }
        match read_stored(&context).await {
            Ok(reports) => {
                is_read = true;
                merge_crash_reports(&context, &reports);
            }
            Err(error) => {
                warn!(context.log, "reading fatal requests from the store failed"; "error" => %error);
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

fn must_read(context: &GatewayContext, is_read: bool) -> bool {
    let now = context.now();
    let peers = context.peers.lock();
    let view = peers.entry_counts(now);
    let is_hub = peers.is_list_read() && peers.hub_rank(now) < HUB_COUNT;
    drop(peers);
    let is_alone = view.reachable <= 1 && view.entries > 1;
    let observes_crashes = is_alone && context.crashes.lock().has_recent_changes(now);
    (is_hub && !is_read) || observes_crashes
}

async fn read_stored(context: &GatewayContext) -> Result<Vec<CrashReport>, PlatformError> {
    let slice = context
        .platform
        .store
        .read_latest(LogTopic::FatalCalls)
        .await?;
    let reports = read_reports(context, &slice);
    if !reports.is_empty() {
        info!(context.log, "fatal requests read"; "requests" => reports.len());
    }
    Ok(reports)
}

fn encode(record: &CrashRecord) -> Result<Bytes, PlatformError> {
    let value = serde_json::to_vec(&StoredRecord::new(record));
    let value = value.map_err(|error| PlatformError::NotApplied(error.to_string()))?;
    Ok(Bytes::from(value))
}

fn read_reports(context: &GatewayContext, slice: &LogSlice) -> Vec<CrashReport> {
    let mut reports = Vec::new();
    for record in &slice.records {
        let feature = record.key.as_deref().and_then(|key| key.parse().ok());
        let stored = serde_json::from_slice::<StoredRecord>(&record.value);
        match (feature, stored) {
            (Some(feature), Ok(stored)) => reports.push(CrashReport {
                feature,
                record: stored.into_record(),
                idle: Duration::ZERO,
            }),
            _ => {
                warn!(context.log, "invalid record of a fatal request ignored"; "key" => record.key.as_deref())
            }
        }
    }
    reports
}
