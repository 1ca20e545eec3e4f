//! Frames of server reports, counts of sends, and permits in the gossip between
//! entries.

use std::time::Duration;

use prost::Message;

use crate::gateway::backend_record::BackendId;
use crate::gateway::report_table::RelayedReport;
use crate::gateway::send_permits::LimitedSends;
use crate::gateway::send_permits::PermitGrant;
use crate::quantity::RequestRate;

/// The frame of [`RelayedReport`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RelayedReportFrame {
    #[prost(string, tag = "1")]
    backend: String,
    #[prost(uint64, tag = "2")]
    start: u64,
    /// Requests per second as the bits of an `f64`, since entries that know the
    /// same limit must have exactly the same value. `None` if there is no
    /// limit.
    #[prost(fixed64, optional, tag = "3")]
    limit_bits: Option<u64>,
    #[prost(uint64, tag = "4")]
    age_ms: u64,
    #[prost(bool, tag = "5")]
    leaving: bool,
    #[prost(uint64, tag = "6")]
    uncertainty_ms: u64,
}

/// The frame of [`LimitedSends`] and [`PermitGrant`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServerCountFrame {
    #[prost(string, tag = "1")]
    backend: String,
    #[prost(uint64, tag = "2")]
    start: u64,
    #[prost(uint64, tag = "3")]
    count: u64,
}

impl ServerCountFrame {
    fn new(id: BackendId, count: u64) -> Self {
        Self {
            backend: id.name.0,
            start: id.start.0,
            count,
        }
    }
}

impl From<RelayedReport> for RelayedReportFrame {
    fn from(report: RelayedReport) -> Self {
        let age_ms = report.age.as_millis() as u64;
        // Rounded so that the report never seems newer than it may be.
        let oldest = report.age + report.uncertainty;
        let oldest_ms = oldest.as_micros().div_ceil(1_000) as u64;
        Self {
            backend: report.id.name.0,
            start: report.id.start.0,
            limit_bits: report.limit.map(|rate| rate.0.to_bits()),
            age_ms,
            leaving: report.draining,
            uncertainty_ms: oldest_ms.saturating_sub(age_ms),
        }
    }
}

/// Decodes reports, and skips those with an invalid rate.
pub fn read_reports(frames: Vec<RelayedReportFrame>) -> Vec<RelayedReport> {
    frames.into_iter().filter_map(read_report).collect()
}

fn read_report(frame: RelayedReportFrame) -> Option<RelayedReport> {
    let rate =
        |bits: u64| Some(f64::from_bits(bits)).filter(|rate| rate.is_finite() && *rate >= 0.0);
    let limit = match frame.limit_bits {
        Some(bits) => Some(RequestRate(rate(bits)?)),
        None => None,
    };
    Some(RelayedReport {
        id: BackendId::with_start(frame.backend, frame.start),
        limit,
        draining: frame.leaving,
        age: Duration::from_millis(frame.age_ms),
        uncertainty: Duration::from_millis(frame.uncertainty_ms),
    })
}

impl From<LimitedSends> for ServerCountFrame {
    fn from(sends: LimitedSends) -> Self {
        Self::new(sends.id, sends.sent)
    }
}

impl From<ServerCountFrame> for LimitedSends {
    fn from(frame: ServerCountFrame) -> Self {
        Self {
            id: BackendId::with_start(frame.backend, frame.start),
            sent: frame.count,
        }
    }
}

impl From<PermitGrant> for ServerCountFrame {
    fn from(grant: PermitGrant) -> Self {
        Self::new(grant.id, grant.count.into())
    }
}

impl From<ServerCountFrame> for PermitGrant {
    fn from(frame: ServerCountFrame) -> Self {
        Self {
            id: BackendId::with_start(frame.backend, frame.start),
            count: u32::try_from(frame.count)
                .unwrap_or(0)
                .min(MAX_GRANT_PERMITS),
        }
    }
}

/// The most permits in one grant: what the fastest server accepts from one
/// entry during their lifetime. A higher count can only come from a damaged
/// frame.
const MAX_GRANT_PERMITS: u32 = 4_096;
