//! Reads the configuration from the log of the platform's store and keeps it up to date.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use metrics::counter;
use slog::info;
use slog::warn;

use crate::gateway::dependency_monitor::DependencyMonitor;
use crate::gateway::document_transfer::ReceivedDocument;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::log_budget::LineClass;
use crate::gateway::log_position::LogRead;
use crate::gateway::log_position::ReadProgress;
use crate::gateway::packed_document::PackedDocument;
use crate::gateway::platform_interface::LogSlice;
use crate::gateway::platform_interface::LogTopic;
use crate::gateway::platform_interface::PlatformError;
use crate::gateway::published_config::PublishedConfig;
use crate::gateway::read_schedule::ReadSchedule;
use crate::gateway::store_task::TopicView;
use crate::gateway::store_task::wait_until_read_due;
use crate::id::LogOffset;
use crate::id::RevisionNumber;
use crate::quantity::Timestamp;

fn config_view(context: &GatewayContext) -> TopicView {
    TopicView {
        confirmed_at: context.config.lock().confirmed_at(),
        // Reads are cheap: they return nothing while nothing changes.
        max_readers: usize::MAX,
    }
}

/// Keeps the configuration up to date until the entry stops.
pub async fn follow_config(context: Arc<GatewayContext>) {
    let mut monitor = DependencyMonitor::new("store: configuration");
    let schedule = ReadSchedule::with_bound(context.settings.bounds.config_apply);
    loop {
        wait_until_read_due(&context, schedule, || config_view(&context)).await;
        let requested_at = context.now();
        let known = context.peers.lock().highest_revision(requested_at);
        let store = &context.platform.store;
        let topic = LogTopic::Configuration;
        let read = context.config.lock().next_read();
        let result = match read {
            LogRead::Newest => store.read_latest(topic).await,
            LogRead::Hidden(from) => store.read(topic, from, Duration::ZERO).await,
            LogRead::Following(from) => {
                let timeout = monitor.poll_timeout(schedule.poll_timeout());
                store.read(topic, from, timeout).await
            }
        };
        monitor.record(&context, &result);
        match result {
            Ok(slice) => match apply_slice(&context, read, &slice, requested_at) {
                ReadProgress::Current => confirm_read(&context, known, requested_at),
                ReadProgress::Behind => {}
                ReadProgress::Contradicted => {
                    log_contradicted(&context, read, &slice);
                    monitor.wait_after_failure(&context).await;
                }
            },
            Err(PlatformError::OffsetOutOfRange(oldest)) => {
                let read_at = context.config.lock().note_dropped(oldest);
                if let Some(read_at) = read_at {
                    confirm_read(&context, known, read_at);
                }
            }
            Err(_) => monitor.wait_after_failure(&context).await,
        }
    }
}

/// Applies the result of a read that was sent at `requested_at`.
fn apply_slice(
    context: &GatewayContext,
    read: LogRead,
    slice: &LogSlice,
    requested_at: Timestamp,
) -> ReadProgress {
    let published = PublishedConfig::all_of(context.platform.format.as_ref(), slice);
    let mut follower = context.config.lock();
    let progress = follower.note_slice(read, slice, requested_at);
    let is_complete = follower.log_end().is_some();
    drop(follower);
    apply_config(context, &published, is_complete);
    log_passed_over(context, slice, &published);
    progress
}

/// Confirms the adopted configuration by a read that was sent at `requested_at`, when other
/// entries had revisions up to `known`. The store may no longer have the highest one.
fn confirm_read(context: &GatewayContext, known: RevisionNumber, requested_at: Timestamp) {
    let mut follower = context.config.lock();
    let newest = follower.revision().max(known);
    follower.confirm(newest, requested_at);
}

fn log_contradicted(context: &GatewayContext, read: LogRead, slice: &LogSlice) {
    counter!("cloverbend_config_reads_contradicted_total").increment(1);
    let revision = context.config.lock().revision();
    if context.may_log("configuration", LineClass::Failure) {
        info!(context.log, "configuration's log ends too early"; "revision" => revision.0,
            "log_end" => slice.end.0, "read" => %read);
    }
}

/// Adopts the highest revision among the configurations of a read, which need not be the
/// last of them: a write without a response may be done late. `is_complete` tells whether all
/// earlier records are known.
fn apply_config(context: &GatewayContext, published: &[PublishedConfig], is_complete: bool) {
    let in_force = context.config.lock().revision();
    for config in PublishedConfig::by_precedence(published, in_force) {
        let log_end = is_complete.then_some(config.log_end);
        if adopt_published(context, &config.document, log_end) {
            break;
        }
        let mut follower = context.config.lock();
        follower.note_unusable(config.log_end, config.revision);
    }
    // Another entry may have sent the document without its place in the log.
    let mut follower = context.config.lock();
    let in_force = Some(follower.revision());
    let adopted = published.iter().rfind(|config| config.revision == in_force);
    follower.note_place(adopted.map(|config| config.log_end));
}

/// Logs the configurations of a read that are not in force after it.
fn log_passed_over(context: &GatewayContext, slice: &LogSlice, published: &[PublishedConfig]) {
    let in_force = context.config.lock().revision();
    let is_passed_over = |config: &&PublishedConfig| config.revision != Some(in_force);
    let passed_over: Vec<_> = published.iter().filter(is_passed_over).collect();
    let Some(first) = passed_over.first() else {
        return;
    };
    let highest = passed_over
        .iter()
        .filter_map(|config| config.revision)
        .max();
    counter!("cloverbend_configs_passed_over_total").increment(passed_over.len() as u64);
    info!(context.log, "configurations passed over"; "log_end" => slice.end.0,
        "first_end" => first.log_end.0, "count" => passed_over.len(),
        "highest" => highest.map(|revision| revision.0), "in_force" => in_force.0);
}

/// Adopts a document from the store. `log_end` is the offset after its record, if all
/// earlier records are known. Returns whether the document could be read.
pub fn adopt_published(
    context: &GatewayContext,
    document: &Bytes,
    log_end: Option<LogOffset>,
) -> bool {
    let outcome = PackedDocument::pack(document)
        .map_err(|error| error.to_string())
        .and_then(|packed| adopt_if_newer(context, document, packed, log_end, "store"));
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
        context.stream_notice_due.notify_one();
        counter!("cloverbend_configs_adopted_total").increment(1);
        info!(context.log, "configuration adopted"; "revision" => revision.0,
            "source" => source, "routes" => routes, "bytes" => document.len(),
            "packed_bytes" => packed_bytes, "log_end" => log_end.map(|end| end.0));
    }
    Ok(())
}
