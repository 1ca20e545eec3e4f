//! Evidence of whether an entry lost its paths to backend servers, or has them again.
//!
//! Pure logic: no I/O and no clock. What is known of single servers is kept by
//! [`crate::gateway::server_paths`].

use std::collections::VecDeque;
use std::time::Duration;

use crate::gateway::backend_record::BackendId;
use crate::quantity::Timestamp;

/// The age up to which an attempt is evidence.
pub const EVIDENCE_LIFETIME: Duration = Duration::from_secs(3);
/// The number of servers whose last attempts show whether most fail.
const EVIDENCE_SERVERS: usize = 8;
/// If so many attempts failed one after another, others are probed.
const DOUBTFUL_FAILURES: usize = 2;
/// The weight of failures, without a success between them, that cut off an entry.
const CUT_OFF_WEIGHT: usize = 24;
/// The number of the newest probes in turn that decide whether an entry is restored, unless
/// it knows fewer servers: those of three quarters of a second.
pub const RESTORING_PROBES: usize = 24;
/// An entry is restored if this share of the probes reached their servers, in percent.
const RESTORED_PERCENT: usize = 55;
/// The number of servers, relayed before, that are reached without a failure between them,
/// after which failures of before say nothing any more.
const REGAINED_SERVERS: usize = 6;

/// What the failure of a server says of the paths to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureNews {
    /// Nothing: the server failed before.
    Repeated,
    /// Very little: nothing was known of the server, and many others are known to fail.
    Faint,
    /// Little: the server failed some time ago, or others did not reach it either.
    Weak,
    /// Much: the server was reached, or nothing was known of it.
    Strong,
}

impl FailureNews {
    fn weight(self) -> usize {
        match self {
            Self::Repeated => 0,
            Self::Faint => 1,
            Self::Weak => 2,
            Self::Strong => 4,
        }
    }
}

/// The result of the last attempt at a server.
#[derive(Clone, Debug)]
struct PathAttempt {
    id: BackendId,
    at: Timestamp,
    succeeded: bool,
}

/// The failure of a server since any was reached.
#[derive(Clone, Debug)]
struct ServerFailure {
    id: BackendId,
    at: Timestamp,
    weight: usize,
    /// How often it failed.
    count: usize,
}

/// A probe of the servers in turn.
#[derive(Clone, Debug)]
struct TurnProbe {
    id: BackendId,
    /// When the server was reached, or none if it was not.
    reached_at: Option<Timestamp>,
    has_ended: bool,
}

/// The attempts that decide whether an entry is cut off.
#[derive(Clone, Debug, Default)]
pub struct PathEvidence {
    /// The last attempts at different servers, the newest last, without probes that succeeded.
    attempts: VecDeque<PathAttempt>,
    /// The different servers that failed since any was reached.
    failures: Vec<ServerFailure>,
    /// The newest probes in turn since the entry was cut off, the newest last.
    turn_probes: VecDeque<TurnProbe>,
    /// The number of probes in turn that decide.
    turn_window: usize,
    /// The servers that were relayed and are reached again, since any failed, and when.
    regained: Vec<(BackendId, Timestamp)>,
}

impl PathEvidence {
    /// Notes that a server was reached. `was_relayed` is whether other entries relayed
    /// requests to it until now.
    pub fn note_success(
        &mut self,
        now: Timestamp,
        id: &BackendId,
        was_relayed: bool,
        is_probe: bool,
    ) {
        self.failures.clear();
        // Requests may be for other services than those of the servers that are probed.
        if !is_probe {
            self.note_attempt(now, id, true);
        }
        self.end_turn_probe(id, Some(now));
        if was_relayed && self.regained.iter().all(|(known, _)| known != id) {
            self.regained.push((id.clone(), now));
        }
    }

    /// Notes that a server was not reached.
    pub fn note_failure(&mut self, now: Timestamp, id: &BackendId, news: FailureNews) {
        let is_recent = |at| now.since(at) < EVIDENCE_LIFETIME;
        self.failures.retain(|failure| is_recent(failure.at));
        self.regained.clear();
        self.end_turn_probe(id, None);
        if let Some(failure) = self.failures.iter_mut().find(|known| known.id == *id) {
            failure.at = now;
            failure.count += 1;
        } else if news != FailureNews::Repeated {
            self.failures.push(ServerFailure {
                id: id.clone(),
                at: now,
                weight: news.weight(),
                count: 1,
            });
        }
        self.note_attempt(now, id, false);
    }

    /// Notes that other entries did not reach a server either.
    pub fn note_down(&mut self, id: &BackendId) {
        if let Some(failure) = self.failures.iter_mut().find(|known| known.id == *id) {
            failure.weight = failure.weight.min(FailureNews::Weak.weight());
        }
    }

    /// Notes that probes in turn begin. `known` is the number of servers that are probed.
    pub fn begin_turn_probes(&mut self, ids: &[BackendId], known: usize) {
        let probes = ids.iter().map(|id| TurnProbe {
            id: id.clone(),
            reached_at: None,
            has_ended: false,
        });
        self.turn_probes.extend(probes);
        self.turn_window = known.min(RESTORING_PROBES);
        let excess = self.turn_probes.len().saturating_sub(self.turn_window);
        self.turn_probes.drain(..excess);
    }

    /// Returns whether any of the newest probes in turn reached its server.
    pub fn has_reached_some(&self) -> bool {
        let mut probes = self.turn_probes.iter();
        probes.any(|probe| probe.reached_at.is_some())
    }

    /// Forgets probes of before the entry was cut off.
    pub fn forget_turn_probes(&mut self) {
        self.turn_probes.clear();
    }

    /// Returns how many servers failed since any was reached, if they are enough to cut off
    /// the entry.
    pub fn unbroken_failures(&self) -> Option<usize> {
        let weight: usize = self.failures.iter().map(|failure| failure.weight).sum();
        (weight >= CUT_OFF_WEIGHT).then_some(self.failures.len())
    }

    /// Returns whether a server failed since any was reached.
    pub fn has_just_failed(&self, id: &BackendId) -> bool {
        self.failures.iter().any(|failure| failure.id == *id)
    }

    /// Returns whether paths may have failed: most of the recent attempts failed, or the
    /// newest ones did. If paths to some servers have failed, one more is enough.
    pub fn is_doubtful(&self, now: Timestamp, has_failed_paths: bool) -> bool {
        let is_recent = |at| now.since(at) < EVIDENCE_LIFETIME;
        let (failed, tried) = self.count_attempts(now);
        let newest = self.failures.iter().filter(|known| is_recent(known.at));
        let newest: usize = newest.map(|failure| failure.count).sum();
        let needed = if has_failed_paths {
            1
        } else {
            DOUBTFUL_FAILURES
        };
        failed * 2 > tried || newest >= needed
    }

    /// Returns how many of the last attempts at different servers failed, and their number.
    pub fn count_attempts(&self, now: Timestamp) -> (usize, usize) {
        let is_recent = |attempt: &&PathAttempt| now.since(attempt.at) < EVIDENCE_LIFETIME;
        let recent = self.attempts.iter().filter(is_recent);
        let tried = recent.clone().count();
        (recent.filter(|attempt| !attempt.succeeded).count(), tried)
    }

    /// Returns since when the probes in turn have shown that the entry reaches servers
    /// again, if they do. A probe that has not begun or ended counts as one that failed.
    pub fn restored_since(&self) -> Option<Timestamp> {
        let reached = self.turn_probes.iter().filter_map(|probe| probe.reached_at);
        let count = reached.clone().count();
        let is_enough = count > 0 && count * 100 >= self.turn_window * RESTORED_PERCENT;
        reached.min().filter(|_| is_enough)
    }

    /// Returns since when servers that were relayed have been reached again, if they are
    /// enough to doubt the failures of before, and forgets them.
    pub fn take_regained(&mut self) -> Option<Timestamp> {
        if self.regained.len() < REGAINED_SERVERS {
            return None;
        }
        let first = self.regained.iter().map(|(_, at)| *at).min();
        self.regained.clear();
        first
    }

    fn note_attempt(&mut self, now: Timestamp, id: &BackendId, succeeded: bool) {
        self.attempts.retain(|attempt| attempt.id != *id);
        self.attempts.push_back(PathAttempt {
            id: id.clone(),
            at: now,
            succeeded,
        });
        if self.attempts.len() > EVIDENCE_SERVERS {
            self.attempts.pop_front();
        }
    }

    fn end_turn_probe(&mut self, id: &BackendId, reached_at: Option<Timestamp>) {
        let running = |probe: &&mut TurnProbe| probe.id == *id && !probe.has_ended;
        for probe in self.turn_probes.iter_mut().filter(running) {
            probe.has_ended = true;
            probe.reached_at = reached_at;
        }
    }
}
