//! Applies what backend servers report in their responses, and counts and logs
//! the changes.

use std::time::Duration;

use metrics::counter;
use metrics::gauge;
use slog::info;

use crate::gateway::backend_record::BackendId;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::log_budget::LineClass;
use crate::gateway::server_labels::NO_LIMIT;
use crate::gateway::server_report::ReportChange;
use crate::gateway::server_report::ServerReport;
use crate::quantity::Timestamp;

/// When a server reported a change, as far as this entry can tell.
struct ReportTimes {
    /// The time since the request was sent whose response has the report.
    response_time: Duration,
    /// The time since the limit that held before was last reported, if there was one.
    limit_age: Option<Duration>,
}

/// Applies the report of a response that just arrived, to a request sent at `sent_at`.
pub fn handle_report(
    context: &GatewayContext,
    id: &BackendId,
    sent_at: Timestamp,
    report: &ServerReport,
) {
    let now = context.now();
    let mut limits = context.server_limits.lock();
    let times = ReportTimes {
        response_time: now.since(sent_at),
        limit_age: limits.reports.limit_age(now, id),
    };
    let changes = limits.reports.apply_direct(now, sent_at, id, report);
    drop(limits);
    if !changes.is_empty() {
        // Until they learn of the change, other entries send to the server as
        // before.
        context.gossip_due.notify_one();
    }
    if report.draining {
        context.backends.lock().note_reported_draining(id);
        context.pool.limit_leaving(id);
    }
    if let Some(back_off) = report.back_off {
        context.backends.lock().note_back_off(now, id, back_off);
    }
    let back_off = report.back_off.map(ReportChange::BackOff);
    for change in changes.into_iter().chain(back_off) {
        log_change(context, id, change, &times);
    }
}

/// Counts and logs a change of what a server reports.
fn log_change(context: &GatewayContext, id: &BackendId, change: ReportChange, times: &ReportTimes) {
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
                info!(context.log, "backend server lifted its rate limit"; "backend" => %id,
                    "response_ms" => times.response_time.as_millis() as u64,
                    "limit_age_ms" => times.limit_age.map(|age| age.as_millis() as u64));
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
