//! The backend servers that are known, and what is believed of each.
//!
//! Pure. Records come from the store; load, failures and recently sent prompt
//! parts are learnt from the requests that this entry sends.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_record::BackendName;
use crate::gateway::backend_record::BackendOutcome;
use crate::gateway::backend_record::BackendRecord;
use crate::gateway::backend_record::LoadReport;
use crate::gateway::backend_state::BackendState;
use crate::gateway::draining_backends::LeavingLives;
use crate::gateway::ended_incarnations::EndedLives;
use crate::gateway::list_history::ListChanges;
use crate::gateway::list_history::ListHistory;
use crate::gateway::list_history::ListUpdate;
use crate::gateway::list_history::record_digest;
use crate::gateway::service_times::ServiceTimes;
use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// How long a record may be missing after the store came back before the
/// backend server counts as gone: servers that live write theirs within two
/// seconds, by the platform's description, and the list is read twice a second.
const MISSING_GRACE: Duration = Duration::from_millis(2_300);
/// The age up to which a list counts as kept fresh by other entries.
const KEPT_FRESH: Duration = Duration::from_millis(2_000);
/// The first time for which a backend server is left out after failures.
const FIRST_EXCLUSION: Duration = Duration::from_millis(500);
/// The longest such time; a server that is back is tried within it.
const LONGEST_EXCLUSION: Duration = Duration::from_secs(4);
/// Failures in a row after which a backend server is left out.
const FAILURES_TO_EXCLUDE: u32 = 2;
/// The longest rest that is granted. One that lasts longer is asked for again by
/// the answer that follows.
const LONGEST_REST: Duration = Duration::from_secs(60);
/// The weight of the newest outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.1;

/// What changed in the set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendChange {
    /// A backend server is new, or has started again.
    Joined(BackendRecord),
    /// It takes no new work any more.
    Draining(BackendId),
    /// Its record is missing; it may be back.
    Missing(BackendId),
    /// It is gone.
    Gone(BackendId),
}

/// All backend servers that are known.
#[derive(Clone, Debug, Default)]
pub struct BackendSet {
    backends: BTreeMap<BackendName, BackendState>,
    /// The last lives of servers that are no longer listed.
    ended: EndedLives,
    /// Lives that leave, listed or not.
    leaving: LeavingLives,
    /// Until when lives want no request from this entry, listed or not.
    rests: HashMap<BackendId, Timestamp>,
    digest: u64,
    history: ListHistory,
    times: BTreeMap<ServiceName, ServiceTimes>,
    store_back_at: Option<Timestamp>,
    confirmed_at: Option<Timestamp>,
}

impl BackendSet {
    /// Returns an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Iterates over all backend servers.
    pub fn iter(&self) -> impl Iterator<Item = &BackendState> {
        self.backends.values()
    }

    /// Iterates over those of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a BackendState> {
        let of = move |backend: &&BackendState| backend.record.service == *service;
        self.backends.values().filter(of)
    }

    /// Finds a backend server, unless it has started again since.
    pub fn get(&self, id: &BackendId) -> Option<&BackendState> {
        let backend = self.backends.get(&id.name)?;
        (backend.record.id == *id).then_some(backend)
    }

    /// Finds what is believed of a life, to be changed. What an earlier life
    /// did changes nothing of a later one.
    fn get_mut(&mut self, id: &BackendId) -> Option<&mut BackendState> {
        let backend = self.backends.get_mut(&id.name)?;
        (backend.record.id == *id).then_some(backend)
    }

    /// Returns how long the requests of a service take, as observed.
    pub fn times(&self, service: &ServiceName) -> ServiceTimes {
        self.times.get(service).copied().unwrap_or_default()
    }

    /// Notes when the first event of an answer came from a replica that had
    /// `unread` prompt tokens to read and, as far as known, none before them.
    pub fn note_first_event(&mut self, id: &BackendId, unread: u64, took: Duration) {
        let Some(backend) = self.get(id) else {
            return;
        };
        let service = backend.record.service.clone();
        let times = self.times.entry(service).or_default();
        times.prefill_speed.note(unread, took);
    }

    /// Returns a digest of the list: equal lists have equal digests.
    pub fn list_digest(&self) -> u64 {
        self.digest
    }

    /// Notes that a server is listed otherwise than before. Both are what it
    /// adds to the digest; `None` if it is not listed.
    fn note_listing(&mut self, name: &BackendName, before: Option<u64>, after: Option<u64>) {
        if before == after {
            return;
        }
        self.history.note(self.digest, name);
        for part in [before, after].into_iter().flatten() {
            self.digest ^= part;
        }
    }

    /// Returns what a server adds to the digest of the list, if it is listed.
    fn listing(&self, name: &BackendName) -> Option<u64> {
        let backend = self.backends.get(name)?;
        Some(record_digest(&backend.record))
    }

    /// Returns what an entry is told whose list has the digest `known`, if it
    /// takes differences. A list with missing records is not passed on: they
    /// may be back.
    pub fn list_update(&self, known: Option<u64>) -> ListUpdate {
        if self.has_missing() {
            return ListUpdate::Nothing;
        }
        match known.and_then(|digest| self.changes_since(digest)) {
            Some(changes) => ListUpdate::Changes(changes),
            None => ListUpdate::Full(self.records()),
        }
    }

    /// Returns how the list differs from the one with a digest, if that is
    /// remembered.
    fn changes_since(&self, digest: u64) -> Option<ListChanges> {
        let mut changes = ListChanges::default();
        for name in self.history.changed_since(digest)? {
            match self.backends.get(name) {
                Some(backend) => changes.records.push(backend.record.clone()),
                None => changes.gone.push(name.clone()),
            }
        }
        Some(changes)
    }

    /// Returns all records.
    pub fn records(&self) -> Vec<BackendRecord> {
        let backends = self.backends.values();
        backends.map(|backend| backend.record.clone()).collect()
    }

    /// Notes that the list was known to be the newest at some time. A list
    /// that still has servers without a record is nobody's proof.
    pub fn confirm(&mut self, at: Timestamp) {
        if self.has_missing() {
            return;
        }
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns when the list was last known to be the newest.
    pub fn confirmed_at(&self) -> Option<Timestamp> {
        self.confirmed_at
    }

    /// Returns whether there are servers whose record is missing.
    pub fn has_missing(&self) -> bool {
        self.backends.values().any(BackendState::is_missing)
    }

    /// Notes that the store answers this entry again. Where other entries kept
    /// the list fresh meanwhile, the store was not away, and what is missing
    /// is gone.
    pub fn note_store_recovered(&mut self, now: Timestamp) {
        let fresh = |at| now.since(at) < KEPT_FRESH;
        if !self.confirmed_at.is_some_and(fresh) {
            self.store_back_at = Some(now);
        }
    }

    /// Returns how a record would be listed beside what is known; `None` if it
    /// tells of an earlier life and changes nothing. A life that leaves does
    /// not take work again, so a record that says otherwise is older.
    fn merged(&self, record: &BackendRecord) -> Option<BackendRecord> {
        let Some(known) = self.backends.get(&record.id.name) else {
            return (!self.ended.is_replaced(&record.id)).then(|| record.clone());
        };
        let known = &known.record;
        if known.id.replaces(&record.id) {
            return None;
        }
        let mut merged = record.clone();
        merged.draining |= known.draining && known.id == record.id;
        Some(merged)
    }

    /// Returns whether a record lacks the start that its server told before, as
    /// only another writer's does.
    pub fn lacks_start(&self, record: &BackendRecord) -> bool {
        let name = &record.id.name;
        let known = self.backends.get(name);
        let told = known.is_some_and(|backend| backend.record.id.start.is_known());
        !record.id.start.is_known() && (told || self.ended.knows(name))
    }

    /// Takes over a record. One of a later life ends all that was believed of
    /// the one before; one of an earlier life, which comes late from the store
    /// or from another entry, changes nothing but that the name is there.
    pub fn put(&mut self, record: BackendRecord) -> Option<BackendChange> {
        let name = record.id.name.clone();
        let before = self.listing(&name);
        let merged = self.merged(&record);
        if let Some(backend) = self.backends.get_mut(&name) {
            backend.missing_since = None;
        }
        let merged = merged?;
        if merged.draining {
            self.leaving.note(&merged.id);
        }
        let after = Some(record_digest(&merged));
        let change = match self.backends.get_mut(&name) {
            Some(backend) if backend.record.id == merged.id => {
                let leaves = merged.draining && !backend.record.draining;
                let id = merged.id.clone();
                backend.record = merged;
                leaves.then_some(BackendChange::Draining(id))
            }
            _ => {
                let joined = BackendChange::Joined(merged.clone());
                let mut backend = BackendState::new(merged);
                let id = &backend.record.id;
                backend.said_leaving = self.leaving.contains(id);
                backend.rests_until = self.rests.get(id).copied().unwrap_or_default();
                self.backends.insert(name.clone(), backend);
                Some(joined)
            }
        };
        self.note_listing(&name, before, after);
        change
    }

    /// Notes that a server leaves, as another entry told.
    pub fn mark_listed_draining(&mut self, id: &BackendId) -> Option<BackendChange> {
        let before = self.listing(&id.name);
        self.leaving.note(id);
        let backend = self.get_mut(id)?;
        let left_before = std::mem::replace(&mut backend.record.draining, true);
        let after = self.listing(&id.name);
        self.note_listing(&id.name, before, after);
        (!left_before).then(|| BackendChange::Draining(id.clone()))
    }

    /// Notes that a record is not in the store.
    pub fn note_absent(&mut self, now: Timestamp, name: &BackendName) -> Option<BackendChange> {
        let backend = self.backends.get_mut(name)?;
        let in_grace = self
            .store_back_at
            .is_some_and(|back| now.since(back) < MISSING_GRACE);
        if in_grace && !backend.record.draining {
            let first = backend.missing_since.is_none();
            backend.missing_since.get_or_insert(now);
            return first.then(|| BackendChange::Missing(backend.record.id.clone()));
        }
        self.remove(name)
    }

    /// Notes that a record in the store cannot be used. It names no server,
    /// also where a good one stood before, and no grace holds: the record is
    /// there, and what it says is not that of a server.
    pub fn note_unusable(&mut self, name: &BackendName) -> Option<BackendChange> {
        self.remove(name)
    }

    fn remove(&mut self, name: &BackendName) -> Option<BackendChange> {
        let before = self.listing(name);
        let id = self.backends.remove(name)?.record.id;
        self.ended.note(&id);
        self.note_listing(name, before, None);
        Some(BackendChange::Gone(id))
    }

    /// Takes over a whole list; what it does not have is absent.
    pub fn replace(&mut self, now: Timestamp, records: Vec<BackendRecord>) -> Vec<BackendChange> {
        let listed: BTreeSet<BackendName> = records
            .iter()
            .map(|record| record.id.name.clone())
            .collect();
        let mut changes: Vec<BackendChange> =
            records.into_iter().filter_map(|r| self.put(r)).collect();
        let absent: Vec<BackendName> = self
            .backends
            .keys()
            .filter(|name| !listed.contains(name))
            .cloned()
            .collect();
        changes.extend(absent.iter().filter_map(|name| self.note_absent(now, name)));
        changes
    }

    /// Takes over a whole list that was the newest at `known_at`, unless the
    /// own one was confirmed later than that.
    pub fn replace_if_newer(
        &mut self,
        now: Timestamp,
        known_at: Timestamp,
        records: Vec<BackendRecord>,
    ) -> Vec<BackendChange> {
        if self.confirmed_at.is_some_and(|own| own >= known_at) {
            return Vec::new();
        }
        self.replace(now, records)
    }

    /// Takes over how the list of another entry, which was the newest at
    /// `known_at` and has the digest `target`, differs from an earlier one.
    /// Nothing changes if the own list was confirmed later, or would not become
    /// that list: then it was not the earlier one.
    pub fn apply_changes(
        &mut self,
        now: Timestamp,
        known_at: Timestamp,
        target: u64,
        changes: ListChanges,
    ) -> Vec<BackendChange> {
        let is_older = self.confirmed_at.is_none_or(|own| own < known_at);
        if !is_older || self.digest_after(&changes) != target {
            return Vec::new();
        }
        let records = changes.records.into_iter();
        let mut made: Vec<BackendChange> = records.filter_map(|r| self.put(r)).collect();
        let gone = changes.gone.iter();
        made.extend(gone.filter_map(|name| self.note_absent(now, name)));
        made
    }

    /// Returns the digest that the list would have after changes.
    fn digest_after(&self, changes: &ListChanges) -> u64 {
        let mut digest = self.digest;
        for record in &changes.records {
            let Some(merged) = self.merged(record) else {
                continue;
            };
            digest ^= self.listing(&record.id.name).unwrap_or(0);
            digest ^= record_digest(&merged);
        }
        for name in &changes.gone {
            digest ^= self.listing(name).unwrap_or(0);
        }
        digest
    }

    /// Removes those that are still missing when the grace has passed.
    pub fn expire_missing(&mut self, now: Timestamp) -> Vec<BackendChange> {
        let over = self
            .store_back_at
            .is_none_or(|back| now.since(back) >= MISSING_GRACE);
        if !over {
            return Vec::new();
        }
        let gone: Vec<BackendName> = self
            .backends
            .iter()
            .filter(|(_, backend)| backend.is_missing())
            .map(|(name, _)| name.clone())
            .collect();
        gone.iter().filter_map(|name| self.remove(name)).collect()
    }

    /// Notes that a request goes to a backend server.
    pub fn note_sent(&mut self, now: Timestamp, id: &BackendId, unread: u64, parts: &[u64]) {
        let Some(backend) = self.get_mut(id) else {
            return;
        };
        backend.in_flight += 1;
        backend.pending_tokens += unread;
        for part in parts {
            backend.note_part(now, *part);
        }
    }

    /// Notes that a request's prompt was read.
    pub fn note_prefilled(&mut self, id: &BackendId, unread: u64) {
        if let Some(backend) = self.get_mut(id) {
            backend.pending_tokens = backend.pending_tokens.saturating_sub(unread);
        }
    }

    /// Notes that a request that was `held` so long is no longer there, and
    /// whether a slot seemed free when it was sent.
    pub fn note_left(&mut self, id: &BackendId, held: Duration, had_room: bool) {
        let Some(backend) = self.get_mut(id) else {
            return;
        };
        backend.in_flight = backend.in_flight.saturating_sub(1);
        let service = backend.record.service.clone();
        let times = self.times.entry(service).or_default();
        times.note_left(held, had_room);
    }

    /// Notes the load that a backend server told.
    pub fn note_load(&mut self, now: Timestamp, id: &BackendId, load: LoadReport) {
        if let Some(backend) = self.get_mut(id) {
            backend.load = Some((now, load));
        }
    }

    /// Notes that a server said in an answer that it leaves.
    pub fn note_reported_draining(&mut self, id: &BackendId) {
        self.leaving.note(id);
        if let Some(backend) = self.get_mut(id) {
            backend.said_leaving = true;
        }
    }

    /// Notes that a server wants no request from this entry for a while, also if
    /// its record lapses meanwhile.
    pub fn note_back_off(&mut self, now: Timestamp, id: &BackendId, rest: Duration) {
        let until = now.after(rest.min(LONGEST_REST));
        self.rests.retain(|_, until| now < *until);
        let known = self.rests.entry(id.clone()).or_default();
        *known = until.max(*known);
        let until = *known;
        if let Some(backend) = self.get_mut(id) {
            backend.rests_until = until;
        }
    }

    /// Notes what other entries have at a backend server.
    pub fn note_peer_load(&mut self, id: &BackendId, in_flight: u32, unread: u64) {
        if let Some(backend) = self.get_mut(id) {
            backend.others_in_flight = in_flight;
            backend.peer_pending_tokens = unread;
        }
    }

    /// Notes how a request ended. Returns the time for which the backend
    /// server is left out, if it is from now on.
    pub fn note_outcome(
        &mut self,
        now: Timestamp,
        id: &BackendId,
        outcome: BackendOutcome,
    ) -> Option<Duration> {
        let backend = self.get_mut(id)?;
        let failed = matches!(outcome, BackendOutcome::Failed | BackendOutcome::Broken);
        if outcome != BackendOutcome::Full {
            let newest = f64::from(u8::from(failed));
            backend.failure_share += (newest - backend.failure_share) * FAILURE_WEIGHT;
        }
        match outcome {
            BackendOutcome::Served => backend.failures_in_row = 0,
            BackendOutcome::Failed | BackendOutcome::Full => {}
            BackendOutcome::Broken => {
                backend.failures_in_row += 1;
                if backend.failures_in_row >= FAILURES_TO_EXCLUDE {
                    let doublings = (backend.failures_in_row - FAILURES_TO_EXCLUDE).min(4);
                    let pause = (FIRST_EXCLUSION * (1 << doublings)).min(LONGEST_EXCLUSION);
                    backend.excluded_until = now.after(pause);
                    return Some(pause);
                }
            }
        }
        None
    }
}
