//! Finds out whether a server crashed where an answer broke off, and which
//! requests are refused for it.
//!
//! An answer also breaks off where only its connection was reset, and a server
//! that was told to leave ends as planned. One that crashed takes no connection
//! until it has started again, so it is asked for one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use metrics::counter;
use parking_lot::Mutex;
use slog::info;
use slog::warn;

use crate::gateway::backend_record::BackendId;
use crate::gateway::call_digest::CallDigest;
use crate::gateway::crash_ledger::CrashReport;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::log_budget::LineClass;
use crate::quantity::Timestamp;

/// A run of a request that ended with its server, or perhaps did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InterruptedRun {
    /// The request.
    pub digest: CallDigest,
    /// When it began, as far as this entry knows.
    pub started_at: Timestamp,
    /// When it broke off.
    pub interrupted_at: Timestamp,
}

/// Runs that broke off at servers that are being asked whether they live.
#[derive(Debug, Default)]
pub struct CrashDetector {
    asked: Mutex<HashMap<BackendId, Vec<InterruptedRun>>>,
}

impl CrashDetector {
    /// Returns a watch of no servers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a run. Returns whether its server is still to be asked.
    fn add(&self, id: &BackendId, run: InterruptedRun) -> bool {
        let mut asked = self.asked.lock();
        let runs = asked.entry(id.clone()).or_default();
        runs.push(run);
        runs.len() == 1
    }

    fn take(&self, id: &BackendId) -> Vec<InterruptedRun> {
        self.asked.lock().remove(id).unwrap_or_default()
    }
}

/// Notes that an answer broke off, and asks its server for a connection, once
/// for all that broke off there.
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
        let refuses = context.pool.refuses_connections(address).await;
        let runs = context.crash_detector.take(&id);
        if refuses {
            counter!("cloverbend_backend_crashes_total").increment(1);
            log_crash(&context, &id, runs.len());
            record_crash(&context, &id, &runs);
        }
    });
}

/// Logs a crash within the budget of lines: hundreds of entries see hundreds of
/// crashes at once.
fn log_crash(context: &GatewayContext, id: &BackendId, requests: usize) {
    if context.may_log(&id.name.0, LineClass::Failure) {
        info!(context.log, "backend server crashed"; "backend" => %id, "requests" => requests);
    }
}

/// Returns whether a server was not expected to end. One that leaves, or whose
/// record is gone or missing, ends as planned.
fn may_have_crashed(context: &GatewayContext, id: &BackendId) -> bool {
    let backends = context.backends.lock();
    let backend = backends.get(id);
    backend.is_some_and(|backend| backend.accepts_requests() && !backend.is_missing())
}

/// Notes that a server crashed while requests ran there.
pub fn record_crash(context: &GatewayContext, id: &BackendId, runs: &[InterruptedRun]) {
    let mut is_new = false;
    {
        let mut ledger = context.crashes.lock();
        for run in runs {
            is_new |= ledger.note_crash(run.interrupted_at, run.digest, id, run.started_at);
        }
    }
    // What is new is told with the next round; only a verdict is told at once.
    // Hurried, news of a popular request would go to and fro between hubs with
    // each answer that it gets, and each of hundreds of crashes cost a round.
    if is_new && judge(context) {
        context.gossip_due.notify_one();
    }
}

/// Notes that a server answered a request to the end.
pub fn note_completed(context: &GatewayContext, digest: CallDigest) {
    let now = context.now();
    let may_acquit = context.crashes.lock().note_answered(now, digest);
    if may_acquit {
        judge(context);
    }
}

/// Takes over what another entry saw of crashes.
pub fn merge_crash_reports(context: &GatewayContext, reports: &[CrashReport]) {
    let now = context.now();
    let is_new = context.crashes.lock().take_over(now, reports);
    if is_new && judge(context) {
        context.gossip_due.notify_one();
    }
}

/// Decides anew which requests are refused. Returns whether one is refused that
/// was not before.
fn judge(context: &GatewayContext) -> bool {
    let servers = context.backends.lock().iter().count();
    let found = context.crashes.lock().judge(servers);
    for (digest, record) in &found {
        counter!("cloverbend_fatal_requests_found_total").increment(1);
        let longest = record.crashes.values().max();
        warn!(context.log, "request found fatal"; "digest" => %digest,
            "crashes" => record.crashes.len(), "survivors" => record.survivors,
            "longest_run_ms" => longest.map(|ran| ran.as_millis() as u64));
    }
    !found.is_empty()
}
