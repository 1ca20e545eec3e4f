//! Which backend servers are listed: records of the store, and lists and changes that other
//! entries send.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_record::BackendName;
use crate::gateway::backend_record::BackendRecord;
use crate::gateway::backend_set::BackendChange;
use crate::gateway::backend_set::BackendSet;
use crate::gateway::backend_state::BackendState;
use crate::gateway::list_frames::PackedList;
use crate::gateway::list_history::ListChanges;
use crate::gateway::list_history::ListUpdate;
use crate::gateway::list_history::record_digest;
use crate::quantity::Timestamp;

/// The time after a recovery of the store within which a missing record does not mean
/// that the backend server is gone. By the platform's description, running servers write
/// their records within two seconds, and the list is read twice a second.
const MISSING_GRACE: Duration = Duration::from_millis(2_300);
/// The maximum age of a list that counts as kept fresh by other entries.
const FRESH_LIST_AGE: Duration = Duration::from_millis(2_000);

impl BackendSet {
    /// Returns the digest of the list. Equal lists have equal digests.
    pub fn list_digest(&self) -> u64 {
        self.digest
    }

    /// Updates the digest and the history after a server's record has changed. `before`
    /// and `after` are the digests of its record, or `None` if it was or is not listed.
    fn note_listing(&mut self, name: &BackendName, before: Option<u64>, after: Option<u64>) {
        if before == after {
            return;
        }
        self.history.note(self.digest, name, self.backends.len());
        for listing in [before, after].into_iter().flatten() {
            self.digest ^= listing;
        }
    }

    /// Returns what a server adds to the digest of the list, if it is listed.
    fn listing_digest(&self, name: &BackendName) -> Option<u64> {
        let backend = self.backends.get(name)?;
        Some(record_digest(&backend.record))
    }

    /// Returns what to send to another entry about the list. `known` is the digest of
    /// the other entry's list if that entry accepts changes. While records are missing,
    /// nothing is sent, because the servers may come back.
    pub fn list_update(&self, known: Option<u64>) -> ListUpdate {
        if self.has_missing() {
            return ListUpdate::Nothing;
        }
        match known.and_then(|digest| self.changes_since(digest)) {
            Some(changes) => ListUpdate::Changes(changes),
            None => ListUpdate::Full(self.records()),
        }
    }

    /// Returns the packed form of [`Self::list_update`] for an entry whose list has the
    /// digest `known`. Receivers with the same list get the same bytes.
    pub fn packed_update(&mut self, known: u64) -> Option<PackedList> {
        let known = self.history.contains(known).then_some(known);
        let mut updates = std::mem::take(&mut self.updates);
        let update = updates.get_or_pack(self.digest, known, || self.list_update(known));
        self.updates = updates;
        update
    }

    /// Returns the changes since the list had the digest `digest`, or `None` if the
    /// history does not go back to that state.
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

    /// Notes that the list was up to date at the time `at`. A list with missing records
    /// is never confirmed.
    pub fn confirm(&mut self, at: Timestamp) {
        if self.has_missing() {
            return;
        }
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns the last time at which the list was known to be up to date.
    pub fn confirmed_at(&self) -> Option<Timestamp> {
        self.confirmed_at
    }

    /// Returns whether there are servers whose record is missing.
    pub fn has_missing(&self) -> bool {
        self.missing > 0
    }

    /// Notes that the store responds to this entry again, which starts the grace for
    /// missing records. If other entries kept the list fresh meanwhile, the store was not
    /// down and there is no grace: a missing record means that its server is gone.
    pub fn note_store_recovered(&mut self, now: Timestamp) {
        let is_fresh = |at| now.since(at) < FRESH_LIST_AGE;
        if !self.confirmed_at.is_some_and(is_fresh) {
            self.store_recovered_at = Some(now);
        }
    }

    /// Returns the record to list after `record` has arrived, or `None` if `record` is of
    /// an earlier incarnation and changes nothing. A draining incarnation never accepts
    /// requests again, so a record without `draining` is an older one.
    fn merge_record(&self, record: &BackendRecord) -> Option<BackendRecord> {
        let Some(known) = self.backends.get(&record.id.name) else {
            return (!self.ended.is_replaced(&record.id)).then(|| record.clone());
        };
        let known = &known.record;
        if known.id.replaces(&record.id) {
            return None;
        }
        let mut merged = record.clone();
        if known.id == record.id {
            merged.draining |= known.draining;
            // An entry that does not know versions relays records without them.
            merged.version = merged.version.or_else(|| known.version.clone());
        }
        Some(merged)
    }

    /// Returns whether a record lacks the start time that its server reported before.
    /// Such a record was not written by the server itself.
    pub fn lacks_start(&self, record: &BackendRecord) -> bool {
        let name = &record.id.name;
        let known = self.backends.get(name);
        let had_start = known.is_some_and(|backend| backend.record.id.start.is_known());
        !record.id.start.is_known() && (had_start || self.ended.contains(name))
    }

    /// Adds or updates a record. A record of a later incarnation discards the state kept
    /// for the earlier one. A late record of an earlier incarnation, from the store or
    /// from another entry, only ends the time for which the server counts as missing.
    pub fn put(&mut self, record: BackendRecord) -> Option<BackendChange> {
        let name = record.id.name.clone();
        let before = self.listing_digest(&name);
        let merged = self.merge_record(&record);
        if let Some(backend) = self.backends.get_mut(&name) {
            let was_missing = backend.missing_since.take().is_some();
            self.missing -= usize::from(was_missing);
        }
        let merged = merged?;
        if merged.draining {
            self.draining.note(&merged.id);
        }
        let after = Some(record_digest(&merged));
        let change = match self.backends.get_mut(&name) {
            Some(backend) if backend.record.id == merged.id => {
                let starts_draining = merged.draining && !backend.record.draining;
                let id = merged.id.clone();
                backend.record = merged;
                starts_draining.then_some(BackendChange::Draining(id))
            }
            _ => {
                let joined = BackendChange::Joined(merged.clone());
                let mut backend = BackendState::new(merged);
                let id = &backend.record.id;
                backend.reported_draining = self.draining.contains(id);
                backend.back_off_until = self.back_offs.get(id).copied().unwrap_or_default();
                self.backends.insert(name.clone(), backend);
                Some(joined)
            }
        };
        self.note_listing(&name, before, after);
        change
    }

    /// Marks a listed server as draining after another entry has reported that it drains.
    pub fn mark_listed_draining(&mut self, id: &BackendId) -> Option<BackendChange> {
        let before = self.listing_digest(&id.name);
        self.draining.note(id);
        let backend = self.get_mut(id)?;
        let was_draining = std::mem::replace(&mut backend.record.draining, true);
        let after = self.listing_digest(&id.name);
        self.note_listing(&id.name, before, after);
        (!was_draining).then(|| BackendChange::Draining(id.clone()))
    }

    /// Notes that the store has no record of a server. During the grace after the store
    /// has recovered, the server only counts as missing, unless it was draining.
    /// Otherwise it is removed.
    pub fn note_absent(&mut self, now: Timestamp, name: &BackendName) -> Option<BackendChange> {
        let backend = self.backends.get_mut(name)?;
        let in_grace = self
            .store_recovered_at
            .is_some_and(|recovered_at| now.since(recovered_at) < MISSING_GRACE);
        if in_grace && !backend.record.draining {
            let is_new = backend.missing_since.is_none();
            backend.missing_since.get_or_insert(now);
            self.missing += usize::from(is_new);
            return is_new.then(|| BackendChange::Missing(backend.record.id.clone()));
        }
        self.remove(name)
    }

    /// Removes a server whose record in the store cannot be used, even if an earlier
    /// record was usable. There is no grace, because the record is not missing: it
    /// exists, but does not describe a server.
    pub fn note_unusable(&mut self, name: &BackendName) -> Option<BackendChange> {
        self.remove(name)
    }

    fn remove(&mut self, name: &BackendName) -> Option<BackendChange> {
        let before = self.listing_digest(name);
        let removed = self.backends.remove(name)?;
        self.missing -= usize::from(removed.is_missing());
        let id = removed.record.id;
        self.ended.note(&id);
        self.note_listing(name, before, None);
        Some(BackendChange::Gone(id))
    }

    /// Replaces the list. Servers that are not in `records` are handled as by
    /// [`Self::note_absent`].
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

    /// Replaces the list with one that was up to date at `known_at`, unless the present
    /// list was confirmed at that time or later.
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

    /// Applies changes from another entry. They lead to the list that was up to date at
    /// `known_at` and has the digest `target`. Nothing changes if this entry's list was
    /// confirmed at `known_at` or later, or if the changes do not turn it into the target
    /// list, since they were then made for another list.
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
        let mut applied: Vec<BackendChange> = records.filter_map(|r| self.put(r)).collect();
        let gone = changes.gone.iter();
        applied.extend(gone.filter_map(|name| self.note_absent(now, name)));
        applied
    }

    /// Returns the digest that the list would have after changes.
    fn digest_after(&self, changes: &ListChanges) -> u64 {
        let mut digest = self.digest;
        for record in &changes.records {
            let Some(merged) = self.merge_record(record) else {
                continue;
            };
            digest ^= self.listing_digest(&record.id.name).unwrap_or(0);
            digest ^= record_digest(&merged);
        }
        for name in &changes.gone {
            digest ^= self.listing_digest(name).unwrap_or(0);
        }
        digest
    }

    /// Removes the servers whose records are still missing after the grace.
    pub fn expire_missing(&mut self, now: Timestamp) -> Vec<BackendChange> {
        let grace_over = self
            .store_recovered_at
            .is_none_or(|recovered_at| now.since(recovered_at) >= MISSING_GRACE);
        if !grace_over {
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
}
