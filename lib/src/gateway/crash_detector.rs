//! Detects whether a backend server crashed when a response was interrupted,
//! and decides which requests are refused because of crashes.
//!
//! A response is also interrupted if only its connection is reset, and a server
//! that drains stops as planned. A server that crashed accepts no connections
//! until it has restarted, so this module tries to connect to it. It also tries
//! to connect to others: an entry whose own paths failed blames no request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::join_all;
use metrics::counter;
use parking_lot::Mutex;
use rand::seq::IteratorRandom;
use rand::seq::SliceRandom;
use slog::info;
use slog::warn;

use crate::gateway::backend_record::BackendId;
use crate::gateway::call_feature::CallFeature;
use crate::gateway::call_feature::CallFeatures;
use crate::gateway::crash_ledger::CrashReport;
use crate::gateway::crash_ledger::ResponseEnd;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::log_budget::LineClass;
use crate::gateway::path_monitor::note_path_failure;
use crate::gateway::path_monitor::probe_path;
use crate::quantity::Timestamp;

/// The number of other servers that must be reached before a crash is recorded. An entry that
/// is cut off reaches none. Requests that crash servers may have ended most of a service, so
/// this is no share of those that are probed.
const NEEDED_OTHERS: usize = 2;
/// How many are probed at once, and how many in all.
const OTHERS_AT_ONCE: usize = 5;
const OTHER_CANDIDATES: usize = 20;

/// A run of a request that was interrupted because its server crashed, or may
/// have crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InterruptedRun {
    /// The features of the request.
    pub features: CallFeatures,
    /// Whether its response had begun.
    pub has_begun: bool,
    /// When it started, as far as this entry knows.
    pub started_at: Timestamp,
    /// When it was interrupted.
    pub interrupted_at: Timestamp,
}

/// Interrupted runs, by the server that is being probed.
#[derive(Debug, Default)]
pub struct CrashDetector {
    pending: Mutex<HashMap<BackendId, Vec<InterruptedRun>>>,
}

impl CrashDetector {
    /// Returns a detector that probes no server.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a run. Returns whether a probe of its server has yet to be started.
    fn add(&self, id: &BackendId, run: InterruptedRun) -> bool {
        let mut pending = self.pending.lock();
        let runs = pending.entry(id.clone()).or_default();
        runs.push(run);
        runs.len() == 1
    }

    fn is_probing(&self, id: &BackendId) -> bool {
        self.pending.lock().contains_key(id)
    }

    fn take(&self, id: &BackendId) -> Vec<InterruptedRun> {
        self.pending.lock().remove(id).unwrap_or_default()
    }
}

/// Records an interrupted response, and tries to connect to its server, once
/// for all responses that were interrupted there.
pub fn probe_for_crash(
    context: &Arc<GatewayContext>,
    id: &BackendId,
    address: SocketAddr,
    run: InterruptedRun,
) {
    if !may_have_crashed(context, id) || !context.crash_detector.add(id, run) {
        return;
    }
    let (context, id) = (Arc::clone(context), id.clone());
    tokio::spawn(async move {
        let refuses_connections = context.pool.refuses_connections(address).await;
        if refuses_connections {
            note_path_failure(&context, &id);
        }
        let is_known = context.crashes.lock().knows_crash(&id);
        let has_crashed = refuses_connections && (is_known || reaches_others(&context, &id).await);
        let runs = context.crash_detector.take(&id);
        if has_crashed {
            counter!("cloverbend_backend_crashes_total").increment(1);
            log_crash(&context, &id, runs.len());
            record_crash(&context, &id, &runs);
        }
    });
}

/// Returns whether this entry reaches some other servers. If it does not, its own paths may
/// have failed, and it cannot tell which servers crashed. Whether it takes itself for cut off
/// does not matter: the crashes themselves may be the reason.
async fn reaches_others(context: &Arc<GatewayContext>, id: &BackendId) -> bool {
    let others = draw_others(context, id);
    let needed = others.len().div_ceil(2).min(NEEDED_OTHERS);
    let mut count = 0;
    for group in others.chunks(OTHERS_AT_ONCE) {
        let reached = join_all(group.iter().map(|other| probe_path(context, other))).await;
        count += reached.iter().filter(|reached| **reached).count();
        if count >= needed {
            break;
        }
    }
    count >= needed
}

/// Draws some servers other than `id` that accept requests. Those that have crashed tell
/// nothing of the paths; many crash in a short time if requests crash them. Those that are
/// being probed themselves come last: all are if this entry is cut off.
fn draw_others(context: &GatewayContext, id: &BackendId) -> Vec<BackendId> {
    let backends = context.backends.lock();
    let crashes = context.crashes.lock();
    let listed = backends.iter().filter(|backend| {
        let is_other = backend.record.id != *id && backend.accepts_requests();
        is_other && !backend.is_missing() && !crashes.knows_crash(&backend.record.id)
    });
    let drawn = listed.choose_multiple(&mut rand::rng(), OTHER_CANDIDATES);
    let drawn = drawn.into_iter().map(|backend| backend.record.id.clone());
    let mut others: Vec<BackendId> = drawn.collect();
    others.shuffle(&mut rand::rng());
    others.sort_by_key(|other| context.crash_detector.is_probing(other));
    others
}

/// Logs a crash if the log budget allows it: hundreds of entries observe
/// hundreds of crashes at once.
fn log_crash(context: &GatewayContext, id: &BackendId, requests: usize) {
    if context.may_log(&id.name.0, LineClass::Failure) {
        info!(context.log, "backend server crashed"; "backend" => %id, "requests" => requests);
    }
}

/// Returns whether the server may have crashed. One that drains, or whose
/// record is gone or missing, stops as planned.
fn may_have_crashed(context: &GatewayContext, id: &BackendId) -> bool {
    let backends = context.backends.lock();
    let backend = backends.get(id);
    backend.is_some_and(|backend| backend.accepts_requests() && !backend.is_missing())
}

/// Records that a server crashed while requests ran on it.
pub fn record_crash(context: &GatewayContext, id: &BackendId, runs: &[InterruptedRun]) {
    let mut is_new = false;
    let mut is_urgent = false;
    {
        let mut ledger = context.crashes.lock();
        for run in runs {
            let (at, started_at) = (run.interrupted_at, run.started_at);
            let features = match run.has_begun {
                true => &run.features,
                false => &run.features.whole_request(),
            };
            if ledger.note_crash(at, features, id, started_at) {
                is_new = true;
                is_urgent |= ledger.claim_urgent_report(at, started_at);
            }
        }
    }
    // What was newly found fatal is gossiped at once, and so are some crashes that may be
    // the first of a series; all else waits for the next round. Otherwise, hubs would
    // exchange messages about a popular request with each response to it, and each of
    // hundreds of crashes would cost a round.
    if is_new && (update_fatal(context) || is_urgent) {
        context.gossip_due.notify_one();
    }
}

/// Records that a server completed a request.
pub fn note_completed(context: &GatewayContext, features: &CallFeatures, end: ResponseEnd) {
    let now = context.now();
    let may_clear = context.crashes.lock().note_completed(now, features, end);
    if may_clear {
        update_fatal(context);
    }
}

/// Records that a server ended a response with its connection. If servers crashed under the
/// same request, one that still accepts connections has survived it.
pub fn note_unsure_completion(
    context: &Arc<GatewayContext>,
    address: SocketAddr,
    features: &CallFeatures,
) {
    if !context.crashes.lock().has_crashes(features) {
        note_completed(context, features, ResponseEnd::Unsure);
        return;
    }
    let (context, features) = (Arc::clone(context), features.clone());
    tokio::spawn(async move {
        let end = match context.pool.opens_connection(address).await {
            true => ResponseEnd::Marked,
            false => ResponseEnd::Unsure,
        };
        note_completed(&context, &features, end);
    });
}

/// Merges the crash reports of another entry.
pub fn merge_crash_reports(context: &GatewayContext, reports: &[CrashReport]) {
    let now = context.now();
    let is_new = context.crashes.lock().merge_reports(now, reports);
    if is_new && update_fatal(context) {
        context.gossip_due.notify_one();
    }
}

/// Recomputes what is refused. Returns whether any of it was not refused
/// before.
fn update_fatal(context: &GatewayContext) -> bool {
    let server_count = context.backends.lock().iter().count();
    let newly_fatal = context.crashes.lock().update_fatal(server_count);
    for (group, record) in &newly_fatal {
        let longest_run = record.crashes.values().max();
        let features: Vec<String> = group.iter().map(CallFeature::to_string).collect();
        let is_request = matches!(group.first(), Some(CallFeature::Request(_)));
        let kind = if is_request { "request" } else { "part" };
        counter!("cloverbend_fatal_requests_found_total", "kind" => kind).increment(1);
        warn!(context.log, "request found fatal"; "kind" => kind, "features" => features.join(","),
            "crashes" => record.crashes.len(), "survivors" => record.survivors.len(),
            "longest_run_ms" => longest_run.map(|ran| ran.as_millis() as u64));
    }
    !newly_fatal.is_empty()
}
