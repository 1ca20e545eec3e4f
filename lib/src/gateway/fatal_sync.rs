//! Keeps the fatal requests in the store, for the loss of all entries at once.
//!
//! The holder of the lease reads them when it takes the lease and once a minute,
//! and writes each that is found or forgotten. A write carries no fence: one of
//! a former holder may arrive late, and is corrected after the next read. Other
//! entries hear of them in news. Reading needs no right: hubs read them when they
//! start, and an entry that hears nobody when it sees a crash itself.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use slog::info;
use slog::warn;

use crate::gateway::call_digest::CallDigest;
use crate::gateway::crash_detector::merge_crash_reports;
use crate::gateway::crash_ledger::CrashReport;
use crate::gateway::crash_verdict::CrashRecord;
use crate::gateway::crash_verdict::IncarnationDigest;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::peer_table::HUB_COUNT;
use crate::gateway::platform_interface::LogSlice;
use crate::gateway::platform_interface::LogTopic;
use crate::gateway::platform_interface::PlatformError;
use crate::quantity::Timestamp;

/// The pause between looks of an entry that may have to read without the lease:
/// it has to know a fatal request within seconds.
const WITHOUT_LEASE_PAUSE: Duration = Duration::from_secs(1);
/// The pause after a call that failed.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// The age of what was read of the store after which the holder reads again. A
/// former holder that stood still may have removed a request since.
const READ_AGAIN_AFTER: Duration = Duration::from_secs(60);

/// A fatal request as it stands in the store, under its digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoredRecord {
    /// The lives that ended under it, and the microseconds that it had run.
    crashes: BTreeMap<u64, u64>,
    survivors: usize,
}

impl StoredRecord {
    fn of(record: &CrashRecord) -> Self {
        let crashes = record.crashes.iter();
        let crashes = crashes.map(|(life, ran)| (life.0, ran.as_micros() as u64));
        Self {
            crashes: crashes.collect(),
            survivors: record.survivors,
        }
    }

    fn read(self) -> CrashRecord {
        let crashes = self.crashes.into_iter();
        let crashes =
            crashes.map(|(life, ran)| (IncarnationDigest(life), Duration::from_micros(ran)));
        CrashRecord {
            crashes: crashes.collect(),
            survivors: self.survivors,
        }
    }
}

/// What the store has of fatal requests, as far as the holder knows.
#[derive(Clone, Debug, Default)]
struct StoredCalls {
    digests: BTreeSet<CallDigest>,
    read_at: Timestamp,
}

/// What to do about the store next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FatalStep {
    /// Read all that it has.
    Read,
    /// Write a request that was found fatal.
    Write(CallDigest),
    /// Remove one that is fatal no more.
    Remove(CallDigest),
    /// Nothing changed.
    Wait,
}

/// What the holder has read and written of fatal requests.
#[derive(Debug, Default)]
pub struct FatalSync {
    /// None before it was read.
    stored: Option<StoredCalls>,
    /// When the store is called again at the earliest.
    due: Timestamp,
}

impl FatalSync {
    /// Begins as a new holder, who has read nothing.
    pub fn reset(&mut self) {
        self.stored = None;
    }

    /// Reads what is stored, or writes one change of it.
    pub async fn sync(&mut self, context: &GatewayContext) {
        let now = context.now();
        if now < self.due {
            return;
        }
        let known = context.crashes.lock().fatal_reports(now);
        let known: BTreeMap<CallDigest, CrashRecord> = known
            .into_iter()
            .map(|report| (report.digest, report.record))
            .collect();
        let digests = known.keys().copied().collect();
        let result = match self.next_step(now, &digests) {
            FatalStep::Read => self.read(context, now).await,
            FatalStep::Write(digest) => self.write(context, digest, known.get(&digest)).await,
            FatalStep::Remove(digest) => self.write(context, digest, None).await,
            FatalStep::Wait => Ok(()),
        };
        if let Err(error) = result {
            warn!(context.log, "fatal requests not kept"; "error" => %error);
            self.due = context.now().after(FAILURE_PAUSE);
        }
    }

    /// Returns what to do where `known` are fatal.
    pub fn next_step(&self, now: Timestamp, known: &BTreeSet<CallDigest>) -> FatalStep {
        let Some(stored) = &self.stored else {
            return FatalStep::Read;
        };
        // A former holder's write may arrive after the first read.
        if now.since(stored.read_at) >= READ_AGAIN_AFTER {
            return FatalStep::Read;
        }
        let new = known.difference(&stored.digests).next();
        let gone = stored.digests.difference(known).next();
        match (new, gone) {
            (Some(digest), _) => FatalStep::Write(*digest),
            (None, Some(digest)) => FatalStep::Remove(*digest),
            (None, None) => FatalStep::Wait,
        }
    }

    /// Notes what the store had at a time. Returns those requests among them of
    /// which this holder did not know that they are stored.
    pub fn note_read(
        &mut self,
        read_at: Timestamp,
        digests: BTreeSet<CallDigest>,
    ) -> BTreeSet<CallDigest> {
        let before = self.stored.take().unwrap_or_default();
        let new = digests.difference(&before.digests).copied().collect();
        self.stored = Some(StoredCalls { digests, read_at });
        new
    }

    async fn read(
        &mut self,
        context: &GatewayContext,
        now: Timestamp,
    ) -> Result<(), PlatformError> {
        let reports = read_stored(context).await?;
        let digests = reports.iter().map(|report| report.digest).collect();
        let new = self.note_read(now, digests);
        let new_reports = reports.into_iter();
        let new_reports = new_reports.filter(|report| new.contains(&report.digest));
        let new_reports: Vec<CrashReport> = new_reports.collect();
        merge_crash_reports(context, &new_reports);
        Ok(())
    }

    /// Writes what is known of a request, or that it is fatal no more.
    async fn write(
        &mut self,
        context: &GatewayContext,
        digest: CallDigest,
        record: Option<&CrashRecord>,
    ) -> Result<(), PlatformError> {
        // A record without a value takes its key away.
        let value = record.map_or(Ok(Bytes::new()), encode)?;
        let key = digest.to_string();
        let store = &context.platform.store;
        store
            .append(LogTopic::FatalCalls, Some(&key), value, None)
            .await?;
        let Some(stored) = &mut self.stored else {
            return Ok(());
        };
        if record.is_some() {
            stored.digests.insert(digest);
        } else {
            stored.digests.remove(&digest);
        }
        Ok(())
    }
}

/// Reads the fatal requests once, if this entry starts as a hub, so that they
/// are known after the loss of all entries before one holds the lease. Reads
/// them again whenever servers crash under requests of this entry while it hears
/// no other: it may be cut off from those who know them.
pub async fn read_without_lease(context: Arc<GatewayContext>) {
    let mut is_read = false;
    loop {
        tokio::time::sleep(WITHOUT_LEASE_PAUSE).await;
        if !has_to_read(&context, is_read) {
            continue;
        }
        match read_stored(&context).await {
            Ok(reports) => {
                is_read = true;
                merge_crash_reports(&context, &reports);
            }
            Err(error) => {
                warn!(context.log, "fatal requests not read"; "error" => %error);
            }
        }
    }
}

fn has_to_read(context: &GatewayContext, is_read: bool) -> bool {
    let now = context.now();
    let peers = context.peers.lock();
    let view = peers.entry_counts(now);
    let is_hub = peers.is_list_read() && peers.hub_rank(now) < HUB_COUNT;
    drop(peers);
    let is_alone = view.reachable <= 1 && view.entries > 1;
    let meets_crashes = is_alone && context.crashes.lock().is_fresh(now);
    (is_hub && !is_read) || meets_crashes
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
    let value = serde_json::to_vec(&StoredRecord::of(record));
    let value = value.map_err(|error| PlatformError::NotApplied(error.to_string()))?;
    Ok(Bytes::from(value))
}

fn read_reports(context: &GatewayContext, slice: &LogSlice) -> Vec<CrashReport> {
    let mut reports = Vec::new();
    for record in &slice.records {
        let digest = record.key.as_deref().and_then(|key| key.parse().ok());
        let stored = serde_json::from_slice::<StoredRecord>(&record.value);
        match (digest, stored) {
            (Some(digest), Ok(stored)) => reports.push(CrashReport {
                digest,
                record: stored.read(),
                idle: Duration::ZERO,
            }),
            _ => {
                warn!(context.log, "fatal request's record refused"; "key" => record.key.as_deref())
            }
        }
    }
    reports
}
