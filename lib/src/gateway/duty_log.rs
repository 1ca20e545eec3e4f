//! Reads and appends the records of the topic [`LogTopic::Duties`].
//!
//! Calls are made one at a time, because the store appends a record only if the topic
//! ends where this entry expects it to end.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use slog::warn;

use crate::gateway::duty_record::DutyRecord;
use crate::gateway::duty_record::TenureInfo;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::peer_table::HUB_COUNT;
use crate::gateway::platform_interface::AppendPosition;
use crate::gateway::platform_interface::LogSlice;
use crate::gateway::platform_interface::LogTopic;
use crate::gateway::platform_interface::PlatformError;
use crate::id::EntryName;
use crate::id::LogOffset;

/// Reads the topic up to its end.
///
/// # Errors
///
/// The store did not respond, or refused.
pub async fn read_duties(context: &Arc<GatewayContext>) -> Result<(), PlatformError> {
    let _guard = context.lease_call_lock.lock().await;
    read_to_end(context).await
}

async fn read_to_end(context: &Arc<GatewayContext>) -> Result<(), PlatformError> {
    loop {
        let from = context.lease.lock().next_offset();
        let store = &context.platform.store;
        let read = store.read(LogTopic::Duties, from, Duration::ZERO).await;
        let now = context.now();
        let slice = match read {
            Ok(slice) => slice,
            Err(PlatformError::OffsetOutOfRange(first)) if first > from => {
                context.lease.lock().skip_to(now, first);
                continue;
            }
            // The topic is shorter than before: the store was restored from a copy.
            Err(PlatformError::OffsetOutOfRange(_)) if from > LogOffset(0) => {
                context.lease.lock().restart_reading(now);
                continue;
            }
            Err(error) => return Err(error),
        };
        context.note_store_response();
        let mut lease = context.lease.lock();
        lease.note_generation(now, slice.generation);
        let was_restarted = lease.next_offset() < from;
        drop(lease);
        if was_restarted {
            continue;
        }
        apply_duties(context, &slice);
        if slice.records.is_empty() {
            // The store sends at least one record if there is one.
            if slice.end > from.max(slice.oldest) {
                let cause = "the response ends before its records".to_owned();
                return Err(PlatformError::OutcomeUnknown(cause));
            }
            context.lease.lock().note_read_end(now, slice.end);
            return Ok(());
        }
    }
}

fn apply_duties(context: &GatewayContext, slice: &LogSlice) {
    for record in &slice.records {
        let now = context.now();
        match serde_json::from_slice::<DutyRecord>(&record.value) {
            Ok(decoded) => {
                if let DutyRecord::Interim { windows, .. } = &decoded {
                    context.usage.lock().restore(windows);
                }
                context.lease.lock().note_read(now, record.offset, decoded);
            }
            Err(error) => {
                warn!(context.log, "duty record refused"; "offset" => record.offset.0,
                    "error" => %error);
                let next = LogOffset(record.offset.0 + 1);
                context.lease.lock().skip_to(now, next);
            }
        }
    }
}

/// Reads the topic to its end and then claims the lease, if `may_claim` still allows
/// it.
///
/// # Errors
///
/// The store did not respond or refused, or another entry appended first.
pub async fn append_claim(
    context: &Arc<GatewayContext>,
    may_claim: impl Fn() -> bool,
) -> Result<Option<AppendPosition>, PlatformError> {
    let _guard = context.lease_call_lock.lock().await;
    read_to_end(context).await?;
    if !may_claim() {
        return Ok(None);
    }
    let successors = choose_successors(context);
    let record = context.lease.lock().claim_record(successors);
    append_record(context, record).await.map(Some)
}

/// Appends the record that `build` returns for this entry's tenure, if this entry
/// holds the lease.
///
/// # Errors
///
/// The store did not respond or refused, another entry appended first, or this entry
/// does not hold the lease.
pub async fn append_duty(
    context: &Arc<GatewayContext>,
    build: impl FnOnce(TenureInfo) -> DutyRecord,
) -> Result<(), PlatformError> {
    let _guard = context.lease_call_lock.lock().await;
    let successors = choose_successors(context);
    let tenure = context.lease.lock().own_tenure(context.now(), successors);
    let not_held = || {
        PlatformError::NotApplied("the lease is not held, or has to be claimed again".to_owned())
    };
    let record = build(tenure.ok_or_else(not_held)?);
    let appended = append_record(context, record).await;
    if let Err(PlatformError::Conflict(_)) = &appended {
        // Another entry appended a record, or an earlier append of this entry took
        // effect without a response.
        read_to_end(context).await?;
    }
    appended.map(drop)
}

/// Appends the release of a tenure that this entry gave up. The last call with its
/// fencing token must have ended.
///
/// # Errors
///
/// The store did not respond or refused, another entry appended first, or the tenure is
/// not the latest one.
pub async fn append_release(
    context: &Arc<GatewayContext>,
    tenure: TenureInfo,
) -> Result<(), PlatformError> {
    let _guard = context.lease_call_lock.lock().await;
    let is_latest = context.lease.lock().is_latest_tenure(&tenure);
    if !is_latest {
        return Err(PlatformError::Fenced);
    }
    append_record(context, DutyRecord::Release { tenure })
        .await
        .map(drop)
}

async fn append_record(
    context: &Arc<GatewayContext>,
    record: DutyRecord,
) -> Result<AppendPosition, PlatformError> {
    let value =
        serde_json::to_vec(&record).map_err(|e| PlatformError::NotApplied(e.to_string()))?;
    let end = {
        let mut lease = context.lease.lock();
        lease.note_sent(&record);
        lease.next_offset()
    };
    let sent_at = context.now();
    let store = &context.platform.store;
    let appended = store
        .append(LogTopic::Duties, None, Bytes::from(value), Some(end))
        .await;
    let now = context.now();
    let mut lease = context.lease.lock();
    match &appended {
        Ok(done) => {
            lease.note_appended(now, sent_at, done.generation, done.offset, record);
            drop(lease);
            context.note_store_response();
        }
        Err(PlatformError::OutcomeUnknown(_)) => lease.note_claim_unanswered(),
        Err(_) => lease.note_claim_rejected(),
    }
    appended
}

/// Returns the entries that may claim the lease next: the hubs, which have the request
/// counts of all entries.
pub fn choose_successors(context: &GatewayContext) -> Vec<EntryName> {
    let mut names = context.peers.lock().hub_names(context.now());
    names.truncate(HUB_COUNT);
    names
}
