//! Frames of crash reports in the gossip between entries.

use std::time::Duration;

use prost::Message;

use crate::gateway::call_digest::CallDigest;
use crate::gateway::call_feature::CallFeature;
use crate::gateway::call_feature::FeatureTag;
use crate::gateway::call_feature::PromptPart;
use crate::gateway::crash_ledger::CrashReport;
use crate::gateway::crash_verdict::CrashRecord;
use crate::gateway::crash_verdict::IncarnationDigest;
use crate::gateway::crash_verdict::SurvivorTag;

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
    /// The digest of a request, or the identifier of a part.
    #[prost(fixed64, tag = "1")]
    digest: u64,
    #[prost(message, repeated, tag = "2")]
    crashes: Vec<CrashFrame>,
    /// The number of survivors, for entries of earlier versions.
    #[prost(uint64, tag = "3")]
    survivors: u64,
    #[prost(uint64, tag = "4")]
    idle_ms: u64,
    /// The digest of the service, if the feature is a part of prompts. Entries of earlier
    /// versions take the part for a request that never comes.
    #[prost(fixed32, optional, tag = "5")]
    part_of: Option<u32>,
    /// The tags of the features that come with it.
    #[prost(fixed32, repeated, tag = "6")]
    companions: Vec<u32>,
    /// Survivors as entries of earlier versions count them: runs that went on for a while among
    /// them. Written for these, and not read.
    #[prost(fixed32, repeated, tag = "7")]
    old_survivor_tags: Vec<u32>,
    /// Runs that servers survived of requests without the part.
    #[prost(fixed32, repeated, tag = "8")]
    contrasts: Vec<u32>,
    #[prost(fixed32, repeated, tag = "9")]
    survivor_tags: Vec<u32>,
}

impl From<CrashReport> for CrashReportFrame {
    fn from(report: CrashReport) -> Self {
        let crashes = report.record.crashes.iter();
        let frame = |(incarnation, ran): (&IncarnationDigest, &Duration)| CrashFrame {
            life: incarnation.0,
            ran_us: ran.as_micros() as u64,
        };
        let (digest, part_of) = match report.feature {
            CallFeature::Request(digest) => (digest.0, None),
            CallFeature::Part(part) => (part.id, Some(part.service)),
        };
        Self {
            digest,
            part_of,
            companions: report.record.companions.iter().map(|tag| tag.0).collect(),
            crashes: crashes.map(frame).collect(),
            survivors: report.record.survivors.len() as u64,
            old_survivor_tags: report.record.survivors.iter().map(|tag| tag.0).collect(),
            survivor_tags: report.record.survivors.iter().map(|tag| tag.0).collect(),
            contrasts: report.record.contrasts.iter().map(|tag| tag.0).collect(),
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
            feature: match frame.part_of {
                Some(service) => CallFeature::Part(PromptPart {
                    id: frame.digest,
                    service,
                }),
                None => CallFeature::Request(CallDigest(frame.digest)),
            },
            record: CrashRecord {
                crashes: crashes.map(decode).collect(),
                survivors: frame.survivor_tags.into_iter().map(SurvivorTag).collect(),
                companions: frame.companions.into_iter().map(FeatureTag).collect(),
                contrasts: frame.contrasts.into_iter().map(SurvivorTag).collect(),
            },
            idle: Duration::from_millis(frame.idle_ms),
        }
    }
}
