//! A backend server and what is believed of it.
//!
//! Pure. Beliefs are of one life of the server, and end with it.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::backend_record::BackendRecord;
use crate::gateway::backend_record::LoadReport;
use crate::quantity::Timestamp;

/// The most prompt parts remembered for a backend server.
const MAX_PARTS: usize = 512;
/// How long a report of load counts; later only the own count does.
const LOAD_LIFETIME: Duration = Duration::from_millis(1_500);

/// A backend server and what is believed of it.
#[derive(Clone, Debug)]
pub struct BackendState {
    /// Its newest record.
    pub record: BackendRecord,
    /// Requests of this entry that it has.
    pub in_flight: u32,
    /// Prompt tokens of those that have not begun to answer.
    pub pending_tokens: u64,
    /// Requests of other entries, as they told last.
    pub others_in_flight: u32,
    /// Unread prompt tokens of other entries.
    pub peer_pending_tokens: u64,
    /// The share of requests that failed, weighted to the newest.
    pub failure_share: f64,
    pub(super) load: Option<(Timestamp, LoadReport)>,
    pub(super) failures_in_row: u32,
    pub(super) excluded_until: Timestamp,
    pub(super) missing_since: Option<Timestamp>,
    /// Whether it said in an answer that it leaves.
    pub(super) said_leaving: bool,
    /// Until when it wants no request from this entry.
    pub(super) rests_until: Timestamp,
    parts: HashMap<u64, Timestamp>,
}

impl BackendState {
    pub(super) fn new(record: BackendRecord) -> Self {
        Self {
            record,
            in_flight: 0,
            pending_tokens: 0,
            others_in_flight: 0,
            peer_pending_tokens: 0,
            failure_share: 0.0,
            load: None,
            failures_in_row: 0,
            excluded_until: Timestamp(0),
            missing_since: None,
            said_leaving: false,
            rests_until: Timestamp(0),
            parts: HashMap::new(),
        }
    }

    /// Returns whether new work may go to it: neither its record says that it
    /// leaves, nor an answer.
    pub fn accepts_requests(&self) -> bool {
        !self.record.draining && !self.said_leaving
    }

    /// Returns whether it is left out for now because of failures.
    pub fn is_excluded(&self, now: Timestamp) -> bool {
        now < self.excluded_until
    }

    /// Returns whether its record is missing, though perhaps not for good.
    pub fn is_missing(&self) -> bool {
        self.missing_since.is_some()
    }

    /// Returns the requests that it probably has from all entries.
    pub fn occupancy(&self, now: Timestamp) -> u32 {
        let counted = self.in_flight + self.others_in_flight;
        match self.load {
            Some((at, load)) if now.since(at) < LOAD_LIFETIME => {
                counted.max(load.running + load.waiting)
            }
            _ => counted,
        }
    }

    /// Returns when this entry last sent it a part.
    pub fn part_used_at(&self, part: u64) -> Option<Timestamp> {
        self.parts.get(&part).copied()
    }

    /// Returns how much longer it wants no request from this entry.
    pub fn rest_left(&self, now: Timestamp) -> Option<Duration> {
        let left = self.rests_until.since(now);
        (!left.is_zero()).then_some(left)
    }

    pub(super) fn note_part(&mut self, now: Timestamp, part: u64) {
        self.parts.insert(part, now);
        if self.parts.len() > MAX_PARTS {
            let oldest = self
                .parts
                .iter()
                .min_by_key(|(_, at)| **at)
                .map(|(id, _)| *id);
            oldest.map(|id| self.parts.remove(&id));
        }
    }
}
