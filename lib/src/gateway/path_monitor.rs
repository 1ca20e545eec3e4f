//! Observes the paths of this entry to backend servers, and probes those that failed.

use std::sync::Arc;
use std::time::Duration;

use metrics::gauge;
use slog::info;

use crate::gateway::backend_record::BackendId;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::server_paths::PathChange;

/// The interval of rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// If no server has sent anything for this time although requests are in flight, some of
/// their servers are probed.
const SILENCE: Duration = Duration::from_millis(500);
/// The most servers that are probed in every second round because nothing arrives.
const SILENT_PROBES: usize = 2;

/// Notes that this entry has reached a server directly.
pub fn note_path_success(context: &GatewayContext, id: &BackendId) {
    let now = context.now();
    let change = context.paths.lock().note_success(now, id);
    apply_change(context, change);
}

/// Notes that this entry could not reach a server directly, or lost its connection.
pub fn note_path_failure(context: &GatewayContext, id: &BackendId) {
    let now = context.now();
    let known = context.backends.lock().count();
    let mut paths = context.paths.lock();
    let wanted_helpers = paths.wants_helpers(now);
    let change = paths.note_failure(now, id, known);
    let wants_helpers = paths.wants_helpers(now);
    drop(paths);
    context.pool.close_idle(id);
    if wants_helpers {
        context.helpers.lock().note_wanted(now);
    }
    if wants_helpers && !wanted_helpers {
        context.gossip_due.notify_one();
    }
    apply_change(context, change);
}

/// Has a server probed of which a connection broke. The server may have ended it, so that
/// alone is no sign of the path.
pub fn doubt_path(context: &GatewayContext, id: &BackendId) {
    context.pool.close_idle(id);
    context.paths.lock().note_silence(context.now(), id);
    context.probe_due.notify_one();
}

fn apply_change(context: &GatewayContext, change: Option<PathChange>) {
    match change {
        None => return,
        Some(PathChange::CutOff { failed, tried }) => {
            // Bytes on connections that are open may go nowhere.
            context.pool.close_idle_servers();
            let mut backends = context.backends.lock();
            backends.forget_ejections();
            backends.forget_requests();
            drop(backends);
            info!(context.log, "cut off from backend servers"; "failed" => failed,
                "tried" => tried);
        }
        Some(PathChange::Restored { after }) => {
            context.backends.lock().forget_ejections();
            info!(context.log, "paths to backend servers restored";
                "after_ms" => after.as_millis() as u64);
        }
    }
    set_gauges(context);
}

fn set_gauges(context: &GatewayContext) {
    let now = context.now();
    let paths = context.paths.lock();
    let failed = paths.failed_count();
    let cut_off_since = paths.cut_off_since();
    drop(paths);
    gauge!("cloverbend_backend_paths_failed").set(failed as f64);
    let cut_off = cut_off_since.map_or(-1.0, |since| now.since(since).as_secs_f64());
    gauge!("cloverbend_cut_off_seconds").set(cut_off);
}

/// Probes servers whose paths failed until the entry stops.
pub async fn monitor_paths(context: Arc<GatewayContext>) {
    let mut is_second = false;
    loop {
        let notified = tokio::time::timeout(PROBE_INTERVAL, context.probe_due.notified()).await;
        let now = context.now();
        is_second ^= notified.is_err();
        if is_second && notified.is_err() {
            note_silent_servers(&context);
        }
        if context.paths.lock().needs_probes(now) {
            let servers = servers_in_probe_order(&context);
            let due = context.paths.lock().take_due_probes(now, &servers);
            for id in due {
                tokio::spawn(probe(Arc::clone(&context), id));
            }
        }
        let known = context.backends.lock().count();
        let change = context.paths.lock().expire(now, known);
        apply_change(&context, change);
        if !context.paths.lock().wants_helpers(now) {
            context.helpers.lock().clear();
        }
        set_gauges(&context);
    }
}

/// Has a server probed that has requests, if no server sends anything.
fn note_silent_servers(context: &GatewayContext) {
    if context.since_server_bytes() < SILENCE || context.open_calls() == 0 {
        return;
    }
    let backends = context.backends.lock();
    let in_flight = backends.iter().filter(|backend| backend.in_flight > 0);
    let silent: Vec<BackendId> = in_flight.map(|backend| backend.record.id.clone()).collect();
    drop(backends);
    let now = context.now();
    let mut paths = context.paths.lock();
    let mut unprobed = silent;
    unprobed.retain(|id| paths.may_probe_silent(now, id));
    for id in unprobed.iter().take(SILENT_PROBES) {
        paths.note_silence(now, id);
    }
}

fn servers_in_probe_order(context: &GatewayContext) -> Vec<BackendId> {
    let backends = context.backends.lock();
    let accepting = backends.iter().filter(|backend| backend.accepts_requests());
    accepting.map(|backend| backend.record.id.clone()).collect()
}

async fn probe(context: Arc<GatewayContext>, id: BackendId) {
    probe_path(&context, &id).await;
    context.paths.lock().note_probe_ended(&id);
}

/// Connects to a server, and notes whether this entry reaches it. Returns false for a server
/// that is no longer listed.
pub async fn probe_path(context: &GatewayContext, id: &BackendId) -> bool {
    let address = context.backends.lock().get(id).map(|b| b.record.address);
    let Some(address) = address else {
        return false;
    };
    let is_reached = context.pool.opens_connection(address).await;
    match is_reached {
        true => note_path_success(context, id),
        false => note_path_failure(context, id),
    }
    is_reached
}
