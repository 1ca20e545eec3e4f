//! The state that this entry keeps for a backend server.
//!
//! Pure logic: no I/O and no clock. The state belongs to one incarnation of the
//! server and ends with it.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::backend_record::BackendRecord;
use crate::gateway::backend_record::LoadReport;
use crate::gateway::server_pace::PaceCounts;
use crate::gateway::server_pace::PaceEvidence;
use crate::gateway::server_pace::PaceFactor;
use crate::gateway::slot_forecast::OwnRuns;
use crate::quantity::Timestamp;

/// The most prompt blocks remembered for a backend server.
const MAX_BLOCKS: usize = 512;
/// How long a load report of the server is used. After that, only the requests that
/// entries count themselves are.
const LOAD_REPORT_LIFETIME: Duration = Duration::from_millis(1_500);

/// The state that this entry keeps for a backend server.
#[derive(Clone, Debug)]
pub struct BackendState {
    /// The newest record of the server.
    pub record: BackendRecord,
    /// Requests that this entry has in flight there.
    pub in_flight: u32,
    /// Prompt tokens of this entry's requests whose prefill is pending.
    pub pending_tokens: u64,
    /// Requests that other entries have in flight there, by their last gossip.
    pub peer_in_flight: u32,
    /// Prompt tokens of other entries' requests whose prefill is pending.
    pub peer_pending_tokens: u64,
    /// The share of requests that failed, as a moving average.
    pub failure_share: f64,
    /// This entry's runs there, if work is estimated.
    pub own_runs: OwnRuns,
    pub(super) load: Option<(Timestamp, LoadReport)>,
    /// Connection failures since the last request that the server served.
    pub(super) connection_failures: u32,
    pub(super) ejected_until: Timestamp,
    pub(super) missing_since: Option<Timestamp>,
    /// Whether the server reported in a response that it is draining.
    pub(super) reported_draining: bool,
    /// The end of the back-off that the server requested from this entry.
    pub(super) back_off_until: Timestamp,
    /// When this entry last sent each prompt block there.
    sent_blocks: HashMap<u64, Timestamp>,
    /// Samples of event times in streams of this entry.
    pub(super) pace_samples: PaceEvidence,
    /// The same of all other entries, by their last gossip.
    pub(super) peer_pace: PaceCounts,
    /// How fast the server works, relative to its service.
    pub(super) pace: PaceFactor,
    /// The usual time of one event, if it is known.
    pub(super) event_time: Option<Duration>,
}

impl BackendState {
    pub(super) fn new(record: BackendRecord) -> Self {
        Self {
            record,
            in_flight: 0,
            pending_tokens: 0,
            peer_in_flight: 0,
            peer_pending_tokens: 0,
            failure_share: 0.0,
            own_runs: OwnRuns::default(),
            load: None,
            connection_failures: 0,
            ejected_until: Timestamp(0),
            missing_since: None,
            reported_draining: false,
            back_off_until: Timestamp(0),
            sent_blocks: HashMap::new(),
            pace_samples: PaceEvidence::default(),
            peer_pace: PaceCounts::default(),
            pace: PaceFactor::default(),
            event_time: None,
        }
    }

    /// Returns whether new requests may be sent to the server, which is so until its
    /// record or a response from it says that it is draining.
    pub fn accepts_requests(&self) -> bool {
        !self.record.draining && !self.reported_draining
    }

    /// Returns whether the server is ejected for now because of failures.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Returns whether the server's record is missing, perhaps only for a while.
    pub fn is_missing(&self) -> bool {
        self.missing_since.is_some()
    }

    /// Estimates the requests that all entries together have at the server.
    pub fn occupancy(&self, now: Timestamp) -> u32 {
        let counted = self.in_flight + self.peer_in_flight;
        match self.load {
            Some((at, load)) if now.since(at) < LOAD_REPORT_LIFETIME => {
                counted.max(load.running.saturating_add(load.waiting))
            }
            _ => counted,
        }
    }

    /// Returns whether the server's pace is estimated.
    pub fn is_paced(&self) -> bool {
        self.event_time.is_some()
    }

    /// Returns how fast the server works, relative to its service.
    pub fn pace(&self) -> PaceFactor {
        self.pace
    }

    /// Returns the usual time of one event of a stream there, if it is known.
    pub fn event_time(&self) -> Option<Duration> {
        self.event_time
    }

    /// Returns the samples of event times in streams of this entry.
    pub fn pace_counts(&self, now: Timestamp) -> PaceCounts {
        self.pace_samples.counts(now)
    }

    /// Returns when this entry last sent a prompt block to the server.
    pub fn block_sent_at(&self, block: u64) -> Option<Timestamp> {
        self.sent_blocks.get(&block).copied()
    }

    /// Returns how long the server's back-off still lasts, if one is in force.
    pub fn back_off_left(&self, now: Timestamp) -> Option<Duration> {
        let left = self.back_off_until.since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Remembers that a prompt block was sent to the server, and forgets the one sent
    /// longest ago beyond [`MAX_BLOCKS`].
    pub(super) fn note_block(&mut self, now: Timestamp, block: u64) {
        self.sent_blocks.insert(block, now);
        if self.sent_blocks.len() > MAX_BLOCKS {
            let oldest = self
                .sent_blocks
                .iter()
                .min_by_key(|(_, at)| **at)
                .map(|(id, _)| *id);
            oldest.map(|id| self.sent_blocks.remove(&id));
        }
    }
}
