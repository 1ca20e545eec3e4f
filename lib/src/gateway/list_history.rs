//! The last changes of the list of backend servers, so that an entry which knows
//! an earlier state is told the difference and not the whole list.
//!
//! Pure. States are named by the digest of the list. Digests do not depend on
//! the order of changes, so two entries that know the same servers name the
//! same state, whoever told them.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::hash::Hash;
use std::hash::Hasher;

use twox_hash::XxHash64;

use crate::gateway::backend_record::BackendName;
use crate::gateway::backend_record::BackendRecord;

/// The changes that are remembered: those of a minute in which ten servers come
/// or go each second. Whoever is further behind is told the whole list.
const MAX_CHANGES: usize = 600;

/// What an entry is told that knows an earlier state of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListChanges {
    /// The records of servers that are new or changed.
    pub records: Vec<BackendRecord>,
    /// The servers that are no longer listed.
    pub gone: Vec<BackendName>,
}

impl ListChanges {
    /// Returns the number of servers that it tells of.
    pub fn len(&self) -> usize {
        self.records.len() + self.gone.len()
    }

    /// Returns whether it tells nothing.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// What an entry is told of the list of backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Nothing: the own list proves nothing.
    Nothing,
    /// The whole list.
    Full(Vec<BackendRecord>),
    /// How it differs from the list that the entry has. With 200 servers of
    /// which some come or go each second this is a hundredth of the whole.
    Changes(ListChanges),
}

/// Returns what a server adds to the digest of the list: all that entries tell
/// each other of it, so that a server which starts again under its name is told.
pub fn record_digest(record: &BackendRecord) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    record.hash(&mut hasher);
    hasher.finish()
}

/// The last changes of a list.
#[derive(Clone, Debug, Default)]
pub struct ListHistory {
    /// The digest before each change, and the server that changed.
    changes: VecDeque<(u64, BackendName)>,
}

impl ListHistory {
    /// Notes that a server of the list with the digest `before` changes.
    pub fn note(&mut self, before: u64, name: &BackendName) {
        self.changes.push_back((before, name.clone()));
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Returns the servers that changed since the list had a digest; none if
    /// that is forgotten or never was.
    pub fn changed_since(&self, digest: u64) -> Option<BTreeSet<&BackendName>> {
        // The last time that the list was in that state counts.
        let first = self
            .changes
            .iter()
            .rposition(|(before, _)| *before == digest)?;
        let changed = self.changes.range(first..).map(|(_, name)| name);
        Some(changed.collect())
    }
}
