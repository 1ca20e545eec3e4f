//! The last changes of the list of backend servers. An entry with an earlier state of
//! the list gets only the changes since then instead of the full list.
//!
//! Pure logic: no I/O and no clock. The digest of a list identifies its state.
//! Digests do not depend on the order of changes, so two entries that list the same
//! servers have the same digest, whichever entries sent them the changes.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::hash::Hash;
use std::hash::Hasher;

use twox_hash::XxHash64;

use crate::gateway::backend_record::BackendName;
use crate::gateway::backend_record::BackendRecord;

/// The least number of changes remembered: those of a minute in which ten servers come
/// or go each second. An entry further behind gets the full list.
const MIN_CHANGES: usize = 600;

/// The changes from an earlier state of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListChanges {
    /// The records of servers that are new or changed.
    pub records: Vec<BackendRecord>,
    /// The servers that are no longer listed.
    pub gone: Vec<BackendName>,
}

impl ListChanges {
    /// Returns the number of servers that changed.
    pub fn len(&self) -> usize {
        self.records.len() + self.gone.len()
    }

    /// Returns whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// What this entry sends to another one about the list of backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Nothing, because this entry's list may be incomplete.
    Nothing,
    /// The full list.
    Full(Vec<BackendRecord>),
    /// The changes from the list that the other entry has. With 200 servers, some of
    /// which come or go each second, they are a hundredth of the size of the full list.
    Changes(ListChanges),
}

/// Returns what a server adds to the digest of the list. It covers every field of the
/// record, so that the start time of a restarted server changes the digest too.
pub fn record_digest(record: &BackendRecord) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    record.hash(&mut hasher);
    hasher.finish()
}

/// The last changes of a list.
#[derive(Clone, Debug, Default)]
pub struct ListHistory {
    /// The digest of the list before each change, and the server that changed.
    changes: VecDeque<(u64, BackendName)>,
    /// The most servers that were listed at once. As many changes are remembered, since
    /// they are no longer than the full list: when most servers of a long list come or
    /// go at once, hundreds of entries would get the full list several times a second.
    most_listed: usize,
}

impl ListHistory {
    /// Remembers that a server changed in the list with the digest `before`, which has
    /// `listed` servers now.
    pub fn note(&mut self, before: u64, name: &BackendName, listed: usize) {
        self.most_listed = self.most_listed.max(listed);
        self.changes.push_back((before, name.clone()));
        if self.changes.len() > self.most_listed.max(MIN_CHANGES) {
            self.changes.pop_front();
        }
    }

    /// Returns whether the changes since the list had the digest `digest` are remembered.
    pub fn contains(&self, digest: u64) -> bool {
        self.changes.iter().any(|(before, _)| *before == digest)
    }

    /// Returns the servers that changed since the list had the digest `digest`, or `None`
    /// if that state is no longer remembered or never existed.
    pub fn changed_since(&self, digest: u64) -> Option<BTreeSet<&BackendName>> {
        // The list may have had this digest several times; the last time counts.
        let first = self
            .changes
            .iter()
            .rposition(|(before, _)| *before == digest)?;
        let changed = self.changes.range(first..).map(|(_, name)| name);
        Some(changed.collect())
    }
}
