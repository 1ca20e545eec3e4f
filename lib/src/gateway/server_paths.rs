//! What this entry knows of its network paths to backend servers.
//!
//! Pure logic: no I/O and no clock. A server that one entry cannot reach may be reachable
//! from others. Requests to such a server are relayed by another entry. An entry whose
//! recent attempts at different servers mostly failed is cut off, and does not try servers
//! directly before it relays.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use crate::gateway::backend_record::BackendId;
use crate::gateway::path_evidence::EVIDENCE_LIFETIME;
use crate::gateway::path_evidence::FailureNews;
use crate::gateway::path_evidence::PathEvidence;
use crate::gateway::path_evidence::RESTORING_PROBES;
use crate::quantity::Timestamp;

/// How long a server that failed is remembered, so that its next failure is no news. In this
/// time, probes in turn try 160 servers.
const FAILURE_MEMORY: Duration = Duration::from_secs(10);
/// The number of servers that must have failed before the entry needs others that relay.
const HELPERS_WANTED_FAILURES: usize = 3;
/// The number of servers that must have been tried, unless the entry knows fewer, before it
/// is cut off because most of all servers failed.
const MIN_TRIED_SERVERS: usize = 6;
/// The entry is cut off if all but one in this many servers failed. An entry that reaches
/// more servers has those relayed that it does not reach.
const CUT_OFF_DIVISOR: usize = 4;
/// If one in this many servers is relayed, the failure of a server of which nothing is known
/// hardly says anything.
const FAILED_PATHS_DIVISOR: usize = 4;
/// How long after the entry regained its paths an attempt may fail that began before: as long
/// as a connection may take to open.
const LATE_FAILURE_TIME: Duration = Duration::from_millis(250);
/// How long an entry that is cut off still sends directly to a server that it has reached.
const SUCCESS_LIFETIME: Duration = Duration::from_secs(1);
/// How long no request is relayed to a server that another entry could not reach either.
const DOWN_TIME: Duration = Duration::from_secs(1);
/// The interval of probes of one server whose path failed.
const FAILED_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// The shortest interval between probes of a server that fell silent.
const SILENT_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The most servers that are probed in turn at once, while the entry is cut off or in doubt.
const TURN_PROBES: usize = 4;
/// The same if the entry reaches some servers, so that it finds soon whether it reaches most,
/// or none any more.
const MIXED_PROBES: usize = 8;
/// The most probes that run at once.
const MAX_PROBES: usize = 16;
/// The most servers whose paths are remembered. Further ones are tried directly first.
const MAX_SERVERS: usize = 1_024;

/// The path that a request to a server takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerPath {
    /// The entry sends it itself.
    Direct,
    /// Another entry relays it.
    Relayed,
    /// No path is known: the entry is cut off, and another entry could not reach the
    /// server either.
    Down,
}

/// A change of whether the entry is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// It is cut off from now on.
    CutOff {
        /// The servers that failed.
        failed: usize,
        /// The servers that were tried.
        tried: usize,
    },
    /// It reaches servers again.
    Restored {
        /// How long it was cut off.
        after: Duration,
    },
}

/// What is known of the path to one server that failed or fell silent.
#[derive(Clone, Copy, Debug, Default)]
struct PathState {
    succeeded_at: Option<Timestamp>,
    failed_at: Option<Timestamp>,
    /// Another entry could not reach the server either until then.
    down_until: Timestamp,
    /// Another entry could not reach the server either, and none has reached it since.
    is_down: bool,
    /// The server failed before the entry regained its paths, and was not tried since.
    is_doubtful: bool,
    probed_at: Option<Timestamp>,
    is_relayed: bool,
    is_probing: bool,
    is_silent: bool,
}

impl PathState {
    fn has_failed(&self) -> bool {
        self.failed_at.is_some() && self.failed_at > self.succeeded_at
    }

    /// Returns whether the last attempt succeeded, if it is still known.
    fn is_reached(&self) -> bool {
        self.succeeded_at.is_some() && !self.has_failed()
    }

    /// Returns whether the server failed recently.
    fn is_failing(&self, now: Timestamp) -> bool {
        let is_recent = |at| now.since(at) < EVIDENCE_LIFETIME;
        self.has_failed() && self.failed_at.is_some_and(is_recent)
    }

    /// Has the server tried directly again if it failed before `regained_at`.
    fn doubt_failure(&mut self, regained_at: Timestamp) {
        let is_older = |at: Option<Timestamp>| at.is_some_and(|at| at < regained_at);
        if self.has_failed() && (is_older(self.failed_at) || is_older(self.probed_at)) {
            self.is_relayed = false;
            self.is_doubtful = true;
        }
    }

    fn is_probe_due(&self, now: Timestamp) -> bool {
        let interval = match self.is_silent {
            true => SILENT_PROBE_INTERVAL,
            false => FAILED_PROBE_INTERVAL,
        };
        let is_due = |at| now.since(at) >= interval;
        let is_wanted = self.is_silent || self.is_relayed;
        is_wanted && !self.is_probing && self.probed_at.is_none_or(is_due)
    }
}

/// The paths of one entry to backend servers.
#[derive(Clone, Debug, Default)]
pub struct ServerPaths {
    evidence: PathEvidence,
    states: HashMap<BackendId, PathState>,
    cut_off_since: Option<Timestamp>,
    /// When the entry last became cut off.
    cut_off_at: Option<Timestamp>,
    /// When it was last cut off no longer.
    restored_at: Option<Timestamp>,
    /// The number of servers that the entry knows.
    known: usize,
    /// The number of probes in turn so far.
    probe_turn: usize,
}

impl ServerPaths {
    /// Returns paths of which nothing is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the path that a request to a server takes now.
    pub fn path(&self, now: Timestamp, id: &BackendId) -> ServerPath {
        let state = self.states.get(id);
        let is_down = state.is_some_and(|state| now < state.down_until);
        let is_reached = state.is_some_and(|state| {
            let is_fresh = |at| now.since(at) < SUCCESS_LIFETIME;
            state.is_reached() && state.succeeded_at.is_some_and(is_fresh)
        });
        match self.cut_off_since {
            Some(_) if is_reached => ServerPath::Direct,
            Some(_) if is_down => ServerPath::Down,
            Some(_) => ServerPath::Relayed,
            None if is_down => ServerPath::Direct,
            None if state.is_some_and(|state| state.is_relayed) => ServerPath::Relayed,
            None => ServerPath::Direct,
        }
    }

    /// Returns the servers that this entry has reached directly a short time ago.
    pub fn reached(&self, now: Timestamp) -> HashSet<BackendId> {
        let is_reached = |state: &PathState| {
            let is_recent = |at| now.since(at) < EVIDENCE_LIFETIME;
            state.is_reached() && state.succeeded_at.is_some_and(is_recent)
        };
        let reached = self.states.iter().filter(|(_, state)| is_reached(state));
        reached.map(|(id, _)| id.clone()).collect()
    }

    /// Returns whether another entry may relay requests to a server: none failed to reach it
    /// within the last second.
    pub fn may_relay(&self, now: Timestamp, id: &BackendId) -> bool {
        let state = self.states.get(id);
        state.is_none_or(|state| now >= state.down_until)
    }

    /// Returns whether the time of a request that was sent at `sent_at` says something of
    /// its server: its path has not failed since.
    pub fn is_whole_since(&self, id: &BackendId, sent_at: Timestamp) -> bool {
        let has_failed = self.has_failed(id);
        let was_cut_off = self.restored_at.is_some_and(|at| sent_at < at);
        !has_failed && !was_cut_off && !self.is_cut_off()
    }

    /// Returns whether the entry became cut off after `sent_at`. Requests that were sent
    /// before may hang, and do not count at their servers any more.
    pub fn was_cut_off_since(&self, sent_at: Timestamp) -> bool {
        self.cut_off_at.is_some_and(|at| sent_at < at)
    }

    /// Returns whether this entry failed to reach a server, and has not reached it since.
    pub fn has_failed(&self, id: &BackendId) -> bool {
        self.states.get(id).is_some_and(PathState::has_failed)
    }

    /// Returns whether the entry is cut off.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// Returns since when the entry is cut off.
    pub fn cut_off_since(&self) -> Option<Timestamp> {
        self.cut_off_since
    }

    /// Returns the number of servers whose last direct attempt failed.
    pub fn failed_count(&self) -> usize {
        let failed = self.states.values().filter(|state| state.has_failed());
        failed.count()
    }

    /// Returns whether the entry needs to know entries that relay requests.
    pub fn wants_helpers(&self, now: Timestamp) -> bool {
        let is_failing = |state: &&PathState| state.is_failing(now);
        let is_relaying = || self.states.values().any(|state| state.is_relayed);
        self.is_cut_off()
            || self.states.values().filter(is_failing).count() >= HELPERS_WANTED_FAILURES
            || is_relaying()
    }

    /// Notes that this entry has reached a server directly.
    pub fn note_success(&mut self, now: Timestamp, id: &BackendId) -> Option<PathChange> {
        let state = self.states.get(id);
        let was_relayed = state.is_some_and(|state| state.is_relayed);
        let is_probe = state.is_some_and(|state| state.is_probing);
        self.evidence.note_success(now, id, was_relayed, is_probe);
        if let Some(state) = self.states.get_mut(id) {
            state.succeeded_at = Some(now);
            state.is_relayed = false;
            state.is_silent = false;
            state.is_down = false;
            state.is_doubtful = false;
            state.down_until = Timestamp(0);
        } else if self.is_cut_off() || self.has_failed_paths(now) {
            let state = PathState {
                succeeded_at: Some(now),
                ..PathState::default()
            };
            self.insert(now, id, state);
        }
        if self.is_cut_off() {
            return self.update_restored(now);
        }
        if let Some(regained_at) = self.evidence.take_regained() {
            let states = self.states.values_mut();
            states.for_each(|state| state.doubt_failure(regained_at));
        }
        None
    }

    /// Notes that this entry could not reach a server directly, or lost its connection.
    /// `known` is the number of servers that the entry knows.
    pub fn note_failure(
        &mut self,
        now: Timestamp,
        id: &BackendId,
        known: usize,
    ) -> Option<PathChange> {
        self.known = known;
        let is_late = |at| now.since(at) <= LATE_FAILURE_TIME;
        let is_late = self.restored_at.is_some_and(is_late);
        let news = match is_late {
            true => FailureNews::Repeated,
            false => self.failure_news(now, id),
        };
        self.evidence.note_failure(now, id, news);
        match self.states.get_mut(id) {
            Some(state) => {
                state.failed_at = Some(now);
                state.is_silent = false;
                state.is_doubtful = is_late;
            }
            None => {
                let state = PathState {
                    failed_at: Some(now),
                    is_doubtful: is_late,
                    ..PathState::default()
                };
                self.insert(now, id, state);
            }
        }
        if self.is_cut_off() {
            return None;
        }
        let (failed, tried) = self.count_cut_off(now)?;
        self.cut_off_since = Some(now);
        self.cut_off_at = Some(now);
        self.evidence.forget_turn_probes();
        Some(PathChange::CutOff { failed, tried })
    }

    /// Notes that another entry has reached a server whose direct path failed.
    pub fn note_relayed(&mut self, id: &BackendId) {
        if let Some(state) = self.states.get_mut(id) {
            state.is_relayed = state.has_failed();
            state.is_down = false;
            state.down_until = Timestamp(0);
        }
    }

    /// Notes that another entry could not reach a server either.
    pub fn note_down(&mut self, now: Timestamp, id: &BackendId) {
        let down_until = now.after(DOWN_TIME);
        self.evidence.note_down(id);
        match self.states.get_mut(id) {
            Some(state) => {
                state.down_until = down_until;
                state.is_down = true;
                state.is_relayed = false;
            }
            None => {
                let state = PathState {
                    down_until,
                    is_down: true,
                    ..PathState::default()
                };
                self.insert(now, id, state);
            }
        }
    }

    /// Notes that a server did not respond to a request in time, so that it is probed.
    pub fn note_silence(&mut self, now: Timestamp, id: &BackendId) {
        match self.states.get_mut(id) {
            Some(state) => state.is_silent = true,
            None => {
                let state = PathState {
                    is_silent: true,
                    ..PathState::default()
                };
                self.insert(now, id, state);
            }
        }
    }

    /// Returns whether a server that fell silent may be probed now.
    pub fn may_probe_silent(&self, now: Timestamp, id: &BackendId) -> bool {
        let is_due = |at| now.since(at) >= SILENT_PROBE_INTERVAL;
        self.states.get(id).is_none_or(|state| {
            !state.is_probing && !state.is_silent && state.probed_at.is_none_or(is_due)
        })
    }

    /// Returns the servers to probe now, and notes that their probes begin. `servers` are
    /// the servers that the entry knows.
    pub fn take_due_probes(&mut self, now: Timestamp, servers: &[BackendId]) -> Vec<BackendId> {
        let running = self.states.values().filter(|state| state.is_probing);
        let room = MAX_PROBES.saturating_sub(running.count());
        let mut due: Vec<BackendId> = Vec::new();
        if self.is_cut_off() || self.is_in_doubt(now) {
            if !self.is_cut_off() && self.has_failed_paths(now) {
                due.extend(self.reached_longest_ago(servers));
                due.truncate(room);
            }
            let turn = self.probe_turn;
            let wanted = match self.is_cut_off() && self.evidence.has_reached_some() {
                true => MIXED_PROBES,
                false => TURN_PROBES,
            };
            let count = servers.len().min(wanted).min(room);
            let in_turn = servers.iter().cycle().skip(turn % servers.len().max(1));
            let mut passed = 0;
            for id in in_turn.take(servers.len()) {
                if due.len() >= count {
                    break;
                }
                passed += 1;
                if self.is_cut_off() || !(due.contains(id) || self.is_known_to_fail(id)) {
                    due.push(id.clone());
                }
            }
            self.probe_turn = turn.wrapping_add(passed);
        }
        if self.is_cut_off() {
            self.evidence.begin_turn_probes(&due, servers.len());
        } else {
            let states = self.states.iter().filter(|(id, _)| !due.contains(id));
            let mut wanted: Vec<(Option<Timestamp>, &BackendId)> = states
                .filter(|(_, state)| state.is_probe_due(now))
                .map(|(id, state)| (state.probed_at, id))
                .collect();
            // Each gets its turn if there are more than may be probed at once.
            wanted.sort_unstable();
            let wanted = wanted.into_iter().take(room - due.len());
            due.extend(wanted.map(|(_, id)| id.clone()).collect::<Vec<_>>());
        }
        for id in &due {
            if !self.states.contains_key(id) {
                self.insert(now, id, PathState::default());
            }
            if let Some(state) = self.states.get_mut(id) {
                state.is_probing = true;
                state.is_silent = false;
                state.probed_at = Some(now);
            }
        }
        due
    }

    /// Notes that a probe has ended. Its result is noted as that of any attempt.
    pub fn note_probe_ended(&mut self, id: &BackendId) {
        if let Some(state) = self.states.get_mut(id) {
            state.is_probing = false;
        }
    }

    /// Returns whether any probe may be due.
    pub fn needs_probes(&self, now: Timestamp) -> bool {
        let wants_probe = |state: &PathState| state.is_silent || state.is_relayed;
        self.is_cut_off() || self.is_in_doubt(now) || self.states.values().any(wants_probe)
    }

    /// Returns whether paths may have failed, but too few servers did to decide.
    pub fn is_in_doubt(&self, now: Timestamp) -> bool {
        let is_relaying = self.states.values().any(|state| state.is_relayed);
        !self.is_cut_off() && self.evidence.is_doubtful(now, is_relaying)
    }

    /// Returns whether the next probes are to begin soon: the entry is in doubt, or it is cut
    /// off and reaches some servers. They begin at once when this becomes true.
    pub fn is_undecided(&self, now: Timestamp) -> bool {
        self.is_in_doubt(now) || (self.is_cut_off() && self.evidence.has_reached_some())
    }

    /// Forgets servers of which nothing recent is known. Ends a cut of an entry that knows
    /// no servers any more.
    pub fn expire(&mut self, now: Timestamp, known: usize) -> Option<PathChange> {
        let is_recent =
            |at: Option<Timestamp>| at.is_some_and(|at| now.since(at) < EVIDENCE_LIFETIME);
        let is_remembered =
            |at: Option<Timestamp>| at.is_some_and(|at| now.since(at) < FAILURE_MEMORY);
        let has_failed_paths = self.has_failed_paths(now);
        self.states.retain(|_, state| {
            state.is_relayed
                || is_recent(state.probed_at)
                || state.is_probing
                || state.is_silent
                || now < state.down_until
                || is_recent(state.succeeded_at)
                || (has_failed_paths && is_remembered(state.succeeded_at))
                || (state.has_failed() && is_remembered(state.failed_at))
        });
        if known == 0 {
            self.restore(now, now)
        } else {
            None
        }
    }

    /// Returns the number of servers that are remembered.
    pub fn state_count(&self) -> usize {
        self.states.len()
    }

    /// Returns whether a large share of servers is relayed, or the entry was
    /// cut off a short time ago. Then it knows which servers it reached. Servers that failed
    /// since any was reached do not count: all paths may have failed with theirs.
    fn has_failed_paths(&self, now: Timestamp) -> bool {
        let is_recent = |at| now.since(at) < FAILURE_MEMORY;
        let states = self.states.iter().filter(|(_, state)| state.is_relayed);
        let relayed = states.filter(|(id, _)| !self.evidence.has_just_failed(id));
        let relayed = relayed.count();
        let is_large_share =
            relayed >= HELPERS_WANTED_FAILURES && relayed * FAILED_PATHS_DIVISOR >= self.known;
        self.restored_at.is_some_and(is_recent) || is_large_share
    }

    /// Returns what a failure of a server says of the paths to others.
    fn failure_news(&self, now: Timestamp, id: &BackendId) -> FailureNews {
        let unknown = PathState::default();
        let state = self.states.get(id).unwrap_or(&unknown);
        let is_known = state.has_failed() || state.is_reached();
        match self.has_failed_paths(now) {
            true if !is_known || state.is_doubtful || state.is_down => FailureNews::Faint,
            _ if state.is_down || state.is_doubtful => FailureNews::Weak,
            _ if state.has_failed() => FailureNews::Repeated,
            _ => FailureNews::Strong,
        }
    }

    /// Returns how many servers failed and how many were tried, if that cuts off the entry:
    /// many failed and none was reached since, or most of all servers failed.
    fn count_cut_off(&self, now: Timestamp) -> Option<(usize, usize)> {
        if let Some(failed) = self.evidence.unbroken_failures() {
            return Some((failed, failed));
        }
        // Of more servers, not all would be tried.
        if self.known > RESTORING_PROBES {
            return None;
        }
        let is_failing = |state: &&PathState| state.is_failing(now) && !state.is_doubtful;
        let failing = self.states.values().filter(is_failing);
        let failed = failing.clone().count();
        let down = failing.filter(|state| state.is_down).count();
        let (newest_failed, newest) = self.evidence.count_attempts(now);
        let tried = failed + newest - newest_failed;
        let min_tried = MIN_TRIED_SERVERS.min(self.known);
        let is_share = |failed: usize, of: usize| {
            failed > 0 && failed * CUT_OFF_DIVISOR >= of * (CUT_OFF_DIVISOR - 1)
        };
        // The newest attempts alone are too few once it is known which servers fail.
        if newest >= min_tried && is_share(newest_failed, newest) && !self.has_failed_paths(now) {
            return Some((newest_failed, newest));
        }
        // Servers that others do not reach either say nothing of the paths of this entry.
        let (failed_here, up) = (failed - down, self.known.saturating_sub(down));
        let is_most = tried >= min_tried && is_share(failed_here, up);
        let is_cut_off = failed >= self.known || is_most;
        is_cut_off.then_some((failed, tried))
    }

    fn update_restored(&mut self, now: Timestamp) -> Option<PathChange> {
        let restored_since = self.evidence.restored_since()?;
        self.restore(now, restored_since)
    }

    /// Ends a cut. Servers that failed before `regained_at` are tried directly again: only
    /// one whose path still fails costs a connection that times out. The others stay relayed.
    fn restore(&mut self, now: Timestamp, regained_at: Timestamp) -> Option<PathChange> {
        let since = self.cut_off_since.take()?;
        self.restored_at = Some(now);
        for state in self.states.values_mut() {
            state.is_relayed = state.has_failed() && !state.is_down;
            state.doubt_failure(regained_at);
        }
        Some(PathChange::Restored {
            after: now.since(since),
        })
    }

    /// Returns whether another failure of a server would say nothing of the paths to others.
    fn is_known_to_fail(&self, id: &BackendId) -> bool {
        let state = self.states.get(id);
        let has_failed = state.is_some_and(|state| state.has_failed() && !state.is_doubtful);
        has_failed && !self.evidence.has_just_failed(id)
    }

    /// Returns some servers that this entry reached. Many others are known to fail, so only
    /// these show whether it lost its paths to all.
    fn reached_longest_ago(&self, servers: &[BackendId]) -> Vec<BackendId> {
        let states = servers
            .iter()
            .filter_map(|id| Some((self.states.get(id)?, id)));
        let reached = states.filter(|(state, _)| state.is_reached() && !state.is_probing);
        let mut reached: Vec<_> = reached.map(|(state, id)| (state.probed_at, id)).collect();
        reached.sort_unstable();
        let reached = reached.into_iter().take(MIXED_PROBES);
        reached.map(|(_, id)| id.clone()).collect()
    }

    fn insert(&mut self, now: Timestamp, id: &BackendId, state: PathState) {
        if self.states.len() >= MAX_SERVERS {
            self.expire(now, MAX_SERVERS);
        }
        if self.states.len() < MAX_SERVERS {
            self.states.insert(id.clone(), state);
        }
    }
}
