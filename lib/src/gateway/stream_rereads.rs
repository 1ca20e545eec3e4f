//! Reads once more which streams the store has, at an entry that has run on.
//!
//! The hubs that know a stream may be lost together with the entry that relayed it.
//! An entry that would refuse such a stream reads what they wrote first, and so does one that
//! becomes a hub. One read serves all requests that wait for it.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use parking_lot::Mutex;
use slog::info;
use tokio::sync::Notify;

use crate::gateway::default_versions::DefaultVersions;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::history_sync::START_TIME;
use crate::gateway::history_sync::is_hub;
use crate::gateway::history_sync::read_defaults;
use crate::gateway::platform_interface::PlatformError;
use crate::gateway::stream_exchange::answer_held_queries;
use crate::gateway::stream_store::may_mix_streams;
use crate::gateway::stream_store::read_streams;
use crate::id::LogOffset;
use crate::id::ServerVersion;
use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// The time between the begins of two reads at least: identifiers that callers make up cost
/// no more than that.
const MIN_REREAD_INTERVAL: Duration = Duration::from_millis(400);
/// How much longer it is for each entry, so that all together read no more the more they are.
const REREAD_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(40);
/// The pause between looks whether a read has ended.
const REREAD_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The reads of an entry after its start.
#[derive(Debug, Default)]
pub struct StreamRereads {
    /// Wakes the task that reads.
    due: Notify,
    /// When the last read began, in microseconds.
    begun_at_us: AtomicU64,
    /// When the last read began that has ended, in microseconds.
    ended_begun_at_us: AtomicU64,
    /// When the next read may begin, in microseconds.
    next_at_us: AtomicU64,
    /// What the last read proves, and when it began. `None` if it failed.
    proof: Mutex<Option<(Timestamp, DefaultVersions)>>,
    is_hub: AtomicBool,
    /// Whether this entry has become a hub and has not read since.
    is_hub_read_due: AtomicBool,
}

impl StreamRereads {
    /// Returns whether this entry is about to know the streams that were announced to the hubs before it.
    pub fn is_hub_read_due(&self) -> bool {
        self.is_hub_read_due.load(Ordering::Relaxed)
    }

    /// Returns the version that began a stream of a service which this entry does not know, by
    /// a read that began after `asked_at`.
    pub fn proved_default(
        &self,
        asked_at: Timestamp,
        service: &ServiceName,
    ) -> Option<ServerVersion> {
        let proof = self.proof.lock();
        let (begun_at, defaults) = proof.as_ref()?;
        let version = defaults.get(service)?;
        (*begun_at >= asked_at).then(|| version.clone())
    }

    fn has_begun_since(&self, asked_at: Timestamp) -> bool {
        self.begun_at_us.load(Ordering::Relaxed) >= asked_at.0
    }

    fn may_begin_before(&self, until: Timestamp) -> bool {
        self.next_at_us.load(Ordering::Relaxed) < until.0
    }

    fn has_ended_since(&self, asked_at: Timestamp) -> bool {
        self.ended_begun_at_us.load(Ordering::Relaxed) >= asked_at.0
    }
}

/// Reads when it is asked to, until the entry stops.
pub async fn reread_streams(context: &GatewayContext) {
    let rereads = &context.stream_rereads;
    loop {
        rereads.due.notified().await;
        let begun_at = context.now();
        let next_at = begun_at.after(reread_interval(context));
        rereads.next_at_us.store(next_at.0, Ordering::Relaxed);
        rereads.begun_at_us.store(begun_at.0, Ordering::Relaxed);
        counter!("cloverbend_stream_rereads_total").increment(1);
        let proof = match read_proof(context).await {
            Ok(defaults) => defaults.map(|defaults| (begun_at, defaults)),
            Err(error) => {
                info!(context.log, "streams not read from the store"; "error" => %error);
                None
            }
        };
        *rereads.proof.lock() = proof;
        // Requests are not held up by a store that does not respond.
        rereads
            .ended_begun_at_us
            .store(begun_at.0, Ordering::Relaxed);
        rereads.is_hub_read_due.store(false, Ordering::Relaxed);
        answer_held_queries(context);
        while context.now() < next_at && !rereads.is_hub_read_due() {
            tokio::time::sleep(REREAD_CHECK_INTERVAL).await;
        }
    }
}

/// Reads the streams of the store and the default versions: a stream that is not among them
/// began at the default version of its service. Returns `None` if there may be others.
async fn read_proof(context: &GatewayContext) -> Result<Option<DefaultVersions>, PlatformError> {
    let streams = read_streams(context, LogOffset(0)).await?;
    let defaults = read_defaults(context).await?;
    Ok(streams.are_all_known.then_some(defaults))
}

fn reread_interval(context: &GatewayContext) -> Duration {
    let entries = context.peers.lock().entry_counts(context.now()).entries;
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    MIN_REREAD_INTERVAL.max(REREAD_INTERVAL_PER_ENTRY.saturating_mul(entries))
}

/// Waits until a read has ended that began after `asked_at`, or until a time. Does not wait if
/// no read may begin before that.
pub async fn wait_for_reread(context: &GatewayContext, asked_at: Timestamp, until: Timestamp) {
    let rereads = &context.stream_rereads;
    if !rereads.has_begun_since(asked_at) {
        if !rereads.may_begin_before(until) {
            return;
        }
        rereads.due.notify_one();
    }
    while !rereads.has_ended_since(asked_at) && context.now() < until {
        tokio::time::sleep(REREAD_CHECK_INTERVAL).await;
    }
}

/// Has this entry read when it becomes a hub after its start, if streams that nobody knows
/// cannot go on.
pub fn note_hub(context: &GatewayContext) {
    let rereads = &context.stream_rereads;
    let is_hub = is_hub(context);
    let was_hub = rereads.is_hub.swap(is_hub, Ordering::Relaxed);
    let has_started = context.now().since(Timestamp(0)) >= START_TIME;
    if is_hub && !was_hub && has_started && may_mix_streams(context) {
        rereads.is_hub_read_due.store(true, Ordering::Relaxed);
        rereads.due.notify_one();
    }
}
