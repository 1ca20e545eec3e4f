//! Takes over what backend servers say of themselves in their answers, and tells
//! operators of it.

use metrics::counter;
use metrics::gauge;
use slog::info;

use crate::gateway::backend_record::BackendId;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::log_budget::LineClass;
use crate::gateway::server_labels::NO_LIMIT;
use crate::gateway::server_report::NoticeChange;
use crate::gateway::server_report::ServerReport;

/// Takes over what a server said with an answer that came just now.
pub fn handle_report(context: &GatewayContext, id: &BackendId, notice: &ServerReport) {
    let now = context.now();
    let changes = context
        .server_limits
        .lock()
        .reports
        .apply_direct(now, id, notice);
    if !changes.is_empty() {
        // Others send there until they are told.
        context.gossip_due.notify_one();
    }
    if notice.draining {
        context.backends.lock().note_reported_draining(id);
    }
    if let Some(rest) = notice.back_off {
        context.backends.lock().note_back_off(now, id, rest);
    }
    let rest = notice.back_off.map(NoticeChange::Rest);
    for change in changes.into_iter().chain(rest) {
        tell_change(context, id, change);
    }
}

/// Counts and logs what a server said anew.
fn tell_change(context: &GatewayContext, id: &BackendId, change: NoticeChange) {
    let label = context.server_labels.label(id);
    let logs = context.may_log(&id.name.0, LineClass::Failure);
    match change {
        NoticeChange::Limited(rate) => {
            gauge!("cloverbend_backend_limit", "backend" => label.clone()).set(rate.0);
            counter!("cloverbend_backend_limits_named_total", "backend" => label).increment(1);
            if logs {
                info!(context.log, "backend server named a limit"; "backend" => %id,
                    "requests_per_s" => rate.0);
            }
        }
        NoticeChange::LimitOver => {
            gauge!("cloverbend_backend_limit", "backend" => label.clone()).set(NO_LIMIT);
            counter!("cloverbend_backend_limits_over_total", "backend" => label).increment(1);
            if logs {
                info!(context.log, "backend server's limit is over"; "backend" => %id);
            }
        }
        NoticeChange::Leaving => {
            counter!("cloverbend_backend_leaves_told_total", "backend" => label).increment(1);
            if logs {
                info!(context.log, "backend server said that it leaves"; "backend" => %id);
            }
        }
        NoticeChange::Rest(rest) => {
            counter!("cloverbend_backend_rests_asked_total", "backend" => label).increment(1);
            if logs {
                info!(context.log, "backend server asked for rest"; "backend" => %id,
                    "for_ms" => rest.as_millis() as u64);
            }
        }
    }
}
