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
use std::time::Duration;

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
use crate::gateway::crash_ledger::CallSafety;
use crate::gateway::crash_ledger::CrashReport;
use crate::gateway::crash_ledger::FoundGroup;
use crate::gateway::crash_ledger::ResponseEnd;
use crate::gateway::crash_ledger::RunExtent;
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

/// How long after an entry let go of a request a crash of its server counts as one under it.
const RELEASED_RETENTION: Duration = Duration::from_secs(4);
/// The time to the first probe of a server with released requests, and the longest one between
/// two: it doubles in between. A server takes longer than that to restart.
const FIRST_RELEASED_PROBE: Duration = Duration::from_millis(300);
const MAX_RELEASED_PAUSE: Duration = Duration::from_millis(1_200);
/// How long after a crash these probes go on.
const PROBED_AFTER_CRASH: Duration = Duration::from_secs(30);
/// The most servers that are watched for released requests, and the most of these requests at
/// one server.
const MAX_WATCHED_SERVERS: usize = 16;
const MAX_RELEASED_RUNS: usize = 32;

/// Interrupted runs, by the server that is being probed.
#[derive(Debug, Default)]
pub struct CrashDetector {
    pending: Mutex<HashMap<BackendId, Vec<InterruptedRun>>>,
    /// Runs that this entry let go of before their server responded completely: the caller
    /// left, or the request was given up. `interrupted_at` is the time of that.
    released: Mutex<HashMap<BackendId, ReleasedRuns>>,
}

/// The released runs at a server.
#[derive(Debug, Default)]
struct ReleasedRuns {
    runs: Vec<InterruptedRun>,
    /// Whether a task probes the server.
    is_watched: bool,
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

    /// Adds a released run. Returns whether its server has yet to be watched.
    fn add_released(&self, id: &BackendId, run: InterruptedRun) -> bool {
        let mut released = self.released.lock();
        if released.len() >= MAX_WATCHED_SERVERS && !released.contains_key(id) {
            return false;
        }
        let released = released.entry(id.clone()).or_default();
        if released.runs.len() < MAX_RELEASED_RUNS {
            released.runs.push(run);
        }
        !std::mem::replace(&mut released.is_watched, true)
    }

    /// Takes the released runs that are too old for a crash to count as one under them. Returns
    /// `None` if the server need not be watched any more.
    fn take_outlived(&self, id: &BackendId, now: Timestamp) -> Option<Vec<InterruptedRun>> {
        let mut released = self.released.lock();
        let runs = &mut released.get_mut(id)?.runs;
        if runs.is_empty() {
            released.remove(id);
            return None;
        }
        let is_old = |run: &mut InterruptedRun| now.since(run.interrupted_at) >= RELEASED_RETENTION;
        Some(runs.extract_if(.., is_old).collect())
    }

    /// Takes the released runs of a server that crashed at `crashed_at` at the latest.
    fn take_released(&self, id: &BackendId, crashed_at: Timestamp) -> Vec<InterruptedRun> {
        let mut released = self.released.lock();
        let runs = released.get_mut(id).map(|released| &mut released.runs);
        let mut runs = runs.map(std::mem::take).unwrap_or_default();
        runs.retain(|run| crashed_at.since(run.interrupted_at) < RELEASED_RETENTION);
        for run in &mut runs {
            run.interrupted_at = crashed_at;
        }
        runs
    }

    fn released_servers(&self) -> Vec<BackendId> {
        self.released.lock().keys().cloned().collect()
    }
}

/// Watches the server of a request that this entry lets go of, since it may crash under it
/// later: its probes are bounded by [`MAX_WATCHED_SERVERS`].
pub fn watch_released(
    context: &Arc<GatewayContext>,
    id: &BackendId,
    address: SocketAddr,
    run: InterruptedRun,
) {
    if !may_have_crashed(context, id) || !context.crash_detector.add_released(id, run) {
        return;
    }
    let (context, id) = (Arc::clone(context), id.clone());
    tokio::spawn(async move {
        let detector = &context.crash_detector;
        let mut pause = FIRST_RELEASED_PROBE;
        loop {
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_RELEASED_PAUSE);
            let Some(outlived) = detector.take_outlived(&id, context.now()) else {
                return;
            };
            if !may_have_crashed(&context, &id) {
                detector.take_released(&id, context.now());
            } else if !has_recent_crash(&context) {
                // Another entry or a later incarnation may still tell of a crash.
            } else if context.pool.refuses_connections(address).await {
                note_refused_connection(&context, &id).await;
            } else {
                // The server may have stopped the work when the request was let go of.
                for run in &outlived {
                    note_completed(
                        &context,
                        &run.features,
                        ResponseEnd::Unsure,
                        RunExtent::Whole,
                    );
                }
            }
        }
    });
}

/// Returns whether a crash became known a short time ago. Callers leave on calm days, too, and
/// a probe for each would be in vain.
fn has_recent_crash(context: &GatewayContext) -> bool {
    let now = context.now();
    let last = context.crashes.lock().last_crash_at();
    last.is_some_and(|at| now.since(at) < PROBED_AFTER_CRASH)
}

/// Finds out whether a server that refuses connections crashed, and if so, records it with all
/// requests that were interrupted there or released.
async fn note_refused_connection(context: &Arc<GatewayContext>, id: &BackendId) {
    note_path_failure(context, id);
    let is_known = context.crashes.lock().knows_crash(id);
    if !is_known && !reaches_others(context, id).await {
        return;
    }
    let mut runs = context.crash_detector.take(id);
    let released = context.crash_detector.take_released(id, context.now());
    counter!("cloverbend_crashed_released_runs_total").increment(released.len() as u64);
    runs.extend(released);
    if runs.is_empty() {
        return;
    }
    counter!("cloverbend_backend_crashes_total").increment(1);
    log_crash(context, id, &runs);
    record_crash(context, id, &runs);
}

/// Records the crashes of earlier incarnations of a server that has restarted, with the
/// requests that this entry released there.
pub fn record_replaced_crashes(context: &GatewayContext, id: &BackendId) {
    for released in context.crash_detector.released_servers() {
        if id.replaces(&released) {
            record_released(context, &released);
        }
    }
}

/// Records a crash that is known for certain, with the requests that this entry released
/// there.
fn record_released(context: &GatewayContext, id: &BackendId) {
    let mut released = context.crash_detector.take_released(id, context.now());
    // Requests sent after a known crash reached a server that has restarted.
    let crashed_at = context.crashes.lock().crashed_at(id);
    released.retain(|run| crashed_at.is_none_or(|at| run.started_at < at));
    counter!("cloverbend_crashed_released_runs_total").increment(released.len() as u64);
    record_crash(context, id, &released);
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
        if context.pool.refuses_connections(address).await {
            note_refused_connection(&context, &id).await;
        }
        // The connection alone may have failed, or the server is back already.
        for run in context.crash_detector.take(&id) {
            watch_released(&context, &id, address, run);
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
fn log_crash(context: &GatewayContext, id: &BackendId, runs: &[InterruptedRun]) {
    for run in runs {
        let phase = if run.has_begun {
            "response"
        } else {
            "no_response"
        };
        counter!("cloverbend_crashed_runs_total", "phase" => phase).increment(1);
    }
    if !context.may_log(&id.name.0, LineClass::Failure) {
        return;
    }
    let without_response = runs.iter().filter(|run| !run.has_begun).count();
    let run_times = runs
        .iter()
        .map(|run| run.interrupted_at.since(run.started_at));
    info!(context.log, "backend server crashed"; "backend" => %id, "requests" => runs.len(),
        "without_response" => without_response,
        "longest_run_ms" => run_times.max().map(|ran| ran.as_millis() as u64));
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
            if ledger.note_crash(at, &run.features, id, started_at) {
                is_new = true;
                is_urgent |= ledger.claim_urgent_report(at, &run.features, started_at);
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

/// Records that a server completed a request, or the rest of one.
pub fn note_completed(
    context: &GatewayContext,
    features: &CallFeatures,
    end: ResponseEnd,
    extent: RunExtent,
) {
    let now = context.now();
    let mut ledger = context.crashes.lock();
    let may_clear = ledger.note_completed(now, features, end, extent);
    drop(ledger);
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
    extent: RunExtent,
) {
    if !context.crashes.lock().has_crashes(features) {
        note_completed(context, features, ResponseEnd::Unsure, extent);
        return;
    }
    let (context, features) = (Arc::clone(context), features.clone());
    tokio::spawn(async move {
        let end = match context.pool.opens_connection(address).await {
            true => ResponseEnd::Marked,
            false => ResponseEnd::Unsure,
        };
        note_completed(&context, &features, end, extent);
    });
}

/// Merges the crash reports of another entry.
pub fn merge_crash_reports(context: &GatewayContext, reports: &[CrashReport]) {
    let now = context.now();
    let is_new = context.crashes.lock().merge_reports(now, reports);
    if !is_new {
        return;
    }
    for id in context.crash_detector.released_servers() {
        if context.crashes.lock().knows_crash(&id) {
            record_released(context, &id);
        }
    }
    if update_fatal(context) {
        context.gossip_due.notify_one();
    }
}

/// Forgets crashes that are too old, and recomputes what is refused: it depends on the number of
/// servers, which an entry that starts learns after the crashes.
pub fn maintain_crashes(context: &GatewayContext) {
    context.crashes.lock().drop_old(context.now());
    update_fatal(context);
}

/// Recomputes what is refused. Returns whether any of it was not refused, or only suspected,
/// before.
fn update_fatal(context: &GatewayContext) -> bool {
    let server_count = context.backends.lock().iter().count();
    let newly_found = context.crashes.lock().update_fatal(server_count);
    for FoundGroup {
        group,
        safety,
        record,
    } in &newly_found
    {
        let longest_run = record.crashes.values().max();
        let longest_run_ms = longest_run.map(|ran| ran.as_millis() as u64);
        let features: Vec<String> = group.iter().map(CallFeature::to_string).collect();
        let features = features.join(",");
        let is_request = matches!(group.first(), Some(CallFeature::Request(_)));
        let kind = if is_request { "request" } else { "part" };
        let (crashes, survivors) = (record.crashes.len(), record.survivors.len());
        if *safety == CallSafety::Suspected {
            counter!("cloverbend_suspected_parts_found_total").increment(1);
            warn!(context.log, "part suspected of crashes"; "features" => features,
                "crashes" => crashes, "contrasts" => record.contrasts.len(),
                "longest_run_ms" => longest_run_ms);
        } else {
            counter!("cloverbend_fatal_requests_found_total", "kind" => kind).increment(1);
            warn!(context.log, "request found fatal"; "kind" => kind, "features" => features,
                "crashes" => crashes, "survivors" => survivors,
                "longest_run_ms" => longest_run_ms);
        }
    }
    !newly_found.is_empty()
}
