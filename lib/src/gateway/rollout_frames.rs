//! Frames of news of roll-outs, and of the answers counted in them, in the gossip between
//! entries.

use std::time::Duration;

use prost::Message;

use crate::gateway::rollout_evidence::RolloutEvidence;
use crate::gateway::rollout_state::RolloutOrder;
use crate::gateway::rollout_state::RolloutPhase;
use crate::gateway::rollout_table::EvidenceReport;
use crate::gateway::rollout_table::RolloutNews;
use crate::id::FenceToken;
use crate::id::LogOffset;

/// The most roll-outs that are read from one message.
const MAX_FRAMES: usize = 8;

/// The frame of [`RolloutNews`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RolloutNewsFrame {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(string, tag = "2")]
    target: String,
    #[prost(uint64, tag = "3")]
    duration_ms: u64,
    #[prost(uint64, tag = "4")]
    number: u64,
    #[prost(uint64, tag = "5")]
    fence: u64,
    #[prost(uint32, tag = "6")]
    phase: u32,
    #[prost(uint64, tag = "7")]
    age_ms: u64,
    #[prost(uint64, tag = "8")]
    news_age_ms: u64,
    #[prost(uint32, tag = "9")]
    new_answers: u32,
}

/// The frame of [`EvidenceReport`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EvidenceFrame {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(uint64, tag = "2")]
    number: u64,
    #[prost(uint32, repeated, tag = "3")]
    counts: Vec<u32>,
}

/// Returns whole milliseconds, the most that fit for a duration that another entry made up.
fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn phase_number(phase: RolloutPhase) -> u32 {
    match phase {
        RolloutPhase::Running => 1,
        RolloutPhase::Moving => 2,
        RolloutPhase::Completed => 3,
        RolloutPhase::RolledBack => 4,
    }
}

impl From<RolloutNews> for RolloutNewsFrame {
    fn from(news: RolloutNews) -> Self {
        Self {
            service: news.order.service.into(),
            target: news.order.target.into(),
            duration_ms: whole_millis(news.order.duration),
            number: news.number.0,
            fence: news.fence.0,
            phase: phase_number(news.phase),
            age_ms: whole_millis(news.age),
            news_age_ms: whole_millis(news.news_age),
            new_answers: news.new_answers,
        }
    }
}

impl RolloutNewsFrame {
    fn read(self) -> Option<RolloutNews> {
        let mut phases = RolloutPhase::ALL.into_iter();
        let phase = phases.find(|phase| phase_number(*phase) == self.phase)?;
        Some(RolloutNews {
            order: RolloutOrder {
                service: self.service.parse().ok()?,
                target: self.target.parse().ok()?,
                duration: Duration::from_millis(self.duration_ms),
            },
            number: LogOffset(self.number),
            fence: FenceToken(self.fence),
            phase,
            age: Duration::from_millis(self.age_ms),
            news_age: Duration::from_millis(self.news_age_ms),
            new_answers: self.new_answers,
        })
    }
}

impl From<EvidenceReport> for EvidenceFrame {
    fn from(report: EvidenceReport) -> Self {
        Self {
            service: report.service.into(),
            number: report.number.0,
            counts: report.evidence.to_numbers(),
        }
    }
}

impl EvidenceFrame {
    fn read(self) -> Option<EvidenceReport> {
        Some(EvidenceReport {
            service: self.service.parse().ok()?,
            number: LogOffset(self.number),
            evidence: RolloutEvidence::from_numbers(&self.counts)?,
        })
    }
}

/// Decodes news. Frames that are not valid, or too many, are left out.
pub fn read_news(frames: Vec<RolloutNewsFrame>) -> Vec<RolloutNews> {
    let frames = frames.into_iter().take(MAX_FRAMES);
    frames.filter_map(RolloutNewsFrame::read).collect()
}

/// Decodes answers that were counted. Frames that are not valid, or too many, are left
/// out.
pub fn read_evidence(frames: Vec<EvidenceFrame>) -> Vec<EvidenceReport> {
    let frames = frames.into_iter().take(MAX_FRAMES);
    frames.filter_map(EvidenceFrame::read).collect()
}
