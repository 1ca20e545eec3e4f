//! The incarnations of backend servers that are known to drain.
//!
//! Pure logic: no I/O and no clock. A server that drains never accepts requests again.
//! An older record of it may arrive late from the store or from another entry, even
//! after the server was unlisted for a while.

use std::collections::HashSet;
use std::collections::VecDeque;

use crate::gateway::backend_record::BackendId;

/// The most incarnations remembered: those of a few minutes in which several servers
/// drain each second. Late records are some seconds old.
const MAX_INCARNATIONS: usize = 1_024;

/// The incarnations that are known to drain.
#[derive(Clone, Debug, Default)]
pub struct DrainingBackends {
    incarnations: HashSet<BackendId>,
    /// The same incarnations in the order in which they were noted.
    order: VecDeque<BackendId>,
}

impl DrainingBackends {
    /// Remembers that an incarnation drains.
    pub fn note(&mut self, id: &BackendId) {
        if !self.incarnations.insert(id.clone()) {
            return;
        }
        self.order.push_back(id.clone());
        if self.order.len() > MAX_INCARNATIONS {
            let oldest = self.order.pop_front();
            oldest.map(|id| self.incarnations.remove(&id));
        }
    }

    /// Returns whether an incarnation is known to drain.
    pub fn contains(&self, id: &BackendId) -> bool {
        self.incarnations.contains(id)
    }
}
