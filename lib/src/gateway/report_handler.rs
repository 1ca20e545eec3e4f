//! Applies what backend servers report in their responses, and counts and logs
//! the changes.

use metrics::counter;
use metrics::gauge;
use slog::info;

use crate::gateway::backend_record::BackendId;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::log_budget::LineClass;
use crate::gateway::server_labels::NO_LIMIT;
use crate::gateway::server_report::ReportChange;
use crate::gateway::server_report::ServerReport;

/// Applies the report of a response that just arrived.
pub fn handle_report(context: &GatewayContext, id: &BackendId, report: &ServerReport) {
    let now = context.now();
    let changes = context
        .server_limits
        .lock()
        .reports
        .apply_direct(now, id, report);
    if !changes.is_empty() {
        // Until they learn of the change, other entries send to the server as
        // before.
        context.gossip_due.notify_one();
    }
    if report.draining {
        context.backends.lock().note_reported_draining(id);
    }
    if let Some(back_off) = report.back_off {
        context.backends.lock().note_back_off(now, id, back_off);
    }
    let back_off = report.back_off.map(ReportChange::BackOff);
    for change in changes.into_iter().chain(back_off) {
        log_change(context, id, change);
    }
}

/// Counts and logs a change of what a server reports.
fn log_change(context: &GatewayContext, id: &BackendId, change: ReportChange) {
    let label = context.server_labels.label(id);
    let may_log = context.may_log(&id.name.0, LineClass::Failure);
    match change {
        ReportChange::Limited(rate) => {
            gauge!("cloverbend_backend_limit", "backend" => label.clone()).set(rate.0);
            counter!("cloverbend_backend_limits_named_total", "backend" => label).increment(1);
            if may_log {
                info!(context.log, "backend server reported a rate limit"; "backend" => %id,
                    "requests_per_s" => rate.0);
            }
        }
        ReportChange::LimitLifted => {
            gauge!("cloverbend_backend_limit", "backend" => label.clone()).set(NO_LIMIT);
            counter!("cloverbend_backend_limits_over_total", "backend" => label).increment(1);
            if may_log {
                info!(context.log, "backend server lifted its rate limit"; "backend" => %id);
            }
        }
        ReportChange::Draining => {
            counter!("cloverbend_backend_leaves_told_total", "backend" => label).increment(1);
            if may_log {
                info!(context.log, "backend server reported that it drains"; "backend" => %id);
            }
        }
        ReportChange::BackOff(back_off) => {
            counter!("cloverbend_backend_rests_asked_total", "backend" => label).increment(1);
            if may_log {
                info!(context.log, "backend server asked to back off"; "backend" => %id,
                    "for_ms" => back_off.as_millis() as u64);
            }
        }
    }
}
