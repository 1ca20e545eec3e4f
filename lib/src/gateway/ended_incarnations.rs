//! The last incarnations of backend servers that are no longer listed.
//!
//! Pure logic: no I/O and no clock. A record of an earlier incarnation may arrive
//! late from the store or from another entry, and must not list the server again.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_record::BackendName;
use crate::gateway::backend_record::StartTime;

/// The most ended incarnations remembered: those of a few minutes in which several
/// servers end each second. Late records are some seconds old.
const MAX_ENDED: usize = 1_024;

/// The last incarnation of each server that is no longer listed.
#[derive(Clone, Debug, Default)]
pub struct EndedIncarnations {
    starts: HashMap<BackendName, StartTime>,
    /// The names in the order in which the servers ended.
    order: VecDeque<BackendName>,
}

impl EndedIncarnations {
    /// Remembers an incarnation that is no longer listed.
    pub fn note(&mut self, id: &BackendId) {
        // A server that does not report its start time has only one incarnation.
        if !id.start.is_known() {
            return;
        }
        if self.starts.insert(id.name.clone(), id.start).is_none() {
            self.order.push_back(id.name.clone());
        }
        if self.order.len() > MAX_ENDED {
            let oldest = self.order.pop_front();
            oldest.map(|name| self.starts.remove(&name));
        }
    }

    /// Returns whether an incarnation of the server is remembered.
    pub fn contains(&self, name: &BackendName) -> bool {
        self.starts.contains_key(name)
    }

    /// Returns whether a later incarnation of the server has already ended. An ended
    /// incarnation itself may be listed again: its record lapses while the store is
    /// unavailable.
    pub fn is_replaced(&self, id: &BackendId) -> bool {
        let ended = self.starts.get(&id.name);
        ended.is_some_and(|last| *last > id.start)
    }
}
