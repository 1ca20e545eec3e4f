//! Reads and appends the records of the duties' topic.
//!
//! One call at a time: each append is made on the condition that the topic ends
//! where this entry knows it to end.

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
/// The store did not answer, or refused.
pub async fn read_duties(context: &Arc<GatewayContext>) -> Result<(), PlatformError> {
    let _turn = context.lease_call_lock.lock().await;
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
            // The topic is shorter than it was: the store is another copy.
            Err(PlatformError::OffsetOutOfRange(_)) if from > LogOffset(0) => {
                context.lease.lock().restart_reading(now);
                continue;
            }
            Err(error) => return Err(error),
        };
        context.note_store_response();
        let mut duties = context.lease.lock();
        duties.note_generation(now, slice.generation);
        let was_restarted = duties.next_offset() < from;
        drop(duties);
        if was_restarted {
            continue;
        }
        apply_duties(context, &slice);
        if slice.records.is_empty() {
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
                warn!(context.log, "duty's record refused"; "offset" => record.offset.0,
                    "error" => %error);
                let next = LogOffset(record.offset.0 + 1);
                context.lease.lock().skip_to(now, next);
            }
        }
    }
}

/// Claims the lease, if the topic has no record beyond those by which `allows`
/// found that this entry may.
///
/// # Errors
///
/// The store did not answer or refused, or another entry appended first.
pub async fn append_claim(
    context: &Arc<GatewayContext>,
    allows: impl Fn() -> bool,
) -> Result<Option<AppendPosition>, PlatformError> {
    let _turn = context.lease_call_lock.lock().await;
    read_to_end(context).await?;
    if !allows() {
        return Ok(None);
    }
    let record = context
        .lease
        .lock()
        .claim_record(choose_successors(context));
    append_record(context, record).await.map(Some)
}

/// Appends what `build` makes of this entry's tenure, while it holds the lease.
///
/// # Errors
///
/// The store did not answer or refused, another entry appended first, or this
/// entry does not hold the lease.
pub async fn append_duty(
    context: &Arc<GatewayContext>,
    build: impl FnOnce(TenureInfo) -> DutyRecord,
) -> Result<(), PlatformError> {
    let _turn = context.lease_call_lock.lock().await;
    let successors = choose_successors(context);
    let mark = context.lease.lock().own_tenure(context.now(), successors);
    let not_held =
        || PlatformError::NotApplied("the lease is not held, or not yet again".to_owned());
    let record = build(mark.ok_or_else(not_held)?);
    let appended = append_record(context, record).await;
    if let Err(PlatformError::Conflict(_)) = &appended {
        // Another entry appended, or an append of this one was done without an
        // answer.
        read_to_end(context).await?;
    }
    appended.map(drop)
}

/// Appends that this entry has ended its last call of a tenure, which it has
/// given up.
///
/// # Errors
///
/// The store did not answer or refused, or another entry appended first.
pub async fn append_release(
    context: &Arc<GatewayContext>,
    tenure: TenureInfo,
) -> Result<(), PlatformError> {
    let _turn = context.lease_call_lock.lock().await;
    let is_last = context.lease.lock().is_latest_tenure(&tenure);
    if !is_last {
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
        let mut duties = context.lease.lock();
        duties.note_sent(&record);
        duties.next_offset()
    };
    let sent_at = context.now();
    let store = &context.platform.store;
    let appended = store
        .append(LogTopic::Duties, None, Bytes::from(value), Some(end))
        .await;
    let now = context.now();
    let mut duties = context.lease.lock();
    match &appended {
        Ok(done) => {
            duties.note_appended(now, sent_at, done.generation, done.offset, record);
            drop(duties);
            context.note_store_response();
        }
        Err(PlatformError::OutcomeUnknown(_)) => duties.note_claim_unanswered(),
        Err(_) => duties.note_claim_rejected(),
    }
    appended
}

/// Returns the entries that are to come next: the hubs, who know the usage.
pub fn choose_successors(context: &GatewayContext) -> Vec<EntryName> {
    let mut names = context.peers.lock().hub_names(context.now());
    names.truncate(HUB_COUNT);
    names
}
