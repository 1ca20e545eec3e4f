//! Frames of crash reports in the gossip between entries.

use std::time::Duration;

use prost::Message;

use crate::gateway::call_digest::CallDigest;
use crate::gateway::crash_ledger::CrashReport;
use crate::gateway::crash_verdict::CrashRecord;
use crate::gateway::crash_verdict::IncarnationDigest;

/// An incarnation that crashed while a request ran on it.
#[derive(Clone, PartialEq, Eq, Message)]
struct CrashFrame {
    #[prost(fixed64, tag = "1")]
    life: u64,
    #[prost(uint64, tag = "2")]
    ran_us: u64,
}

/// The frame of [`CrashReport`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CrashReportFrame {
    #[prost(fixed64, tag = "1")]
    digest: u64,
    #[prost(message, repeated, tag = "2")]
    crashes: Vec<CrashFrame>,
    #[prost(uint64, tag = "3")]
    survivors: u64,
    #[prost(uint64, tag = "4")]
    idle_ms: u64,
}

impl From<CrashReport> for CrashReportFrame {
    fn from(report: CrashReport) -> Self {
        let crashes = report.record.crashes.iter();
        let frame = |(incarnation, ran): (&IncarnationDigest, &Duration)| CrashFrame {
            life: incarnation.0,
            ran_us: ran.as_micros() as u64,
        };
        Self {
            digest: report.digest.0,
            crashes: crashes.map(frame).collect(),
            survivors: report.record.survivors as u64,
            idle_ms: report.idle.as_millis() as u64,
        }
    }
}

impl From<CrashReportFrame> for CrashReport {
    fn from(frame: CrashReportFrame) -> Self {
        let crashes = frame.crashes.into_iter();
        let decode = |crash: CrashFrame| {
            (
                IncarnationDigest(crash.life),
                Duration::from_micros(crash.ran_us),
            )
        };
        Self {
            digest: CallDigest(frame.digest),
            record: CrashRecord {
                crashes: crashes.map(decode).collect(),
                survivors: frame.survivors as usize,
            },
            idle: Duration::from_millis(frame.idle_ms),
        }
    }
}
