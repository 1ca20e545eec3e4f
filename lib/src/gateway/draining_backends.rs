//! The lives of backend servers that are known to leave.
//!
//! Pure. That a server leaves is final. An older record of it may come late from
//! the store or from another entry, also after its name was gone for a while.

use std::collections::HashSet;
use std::collections::VecDeque;

use crate::gateway::backend_record::BackendId;

/// How many lives are remembered: those of a few minutes in which several servers
/// leave each second. Records that come late are some seconds old.
const MAX_LIVES: usize = 1_024;

/// Lives that are known to leave.
#[derive(Clone, Debug, Default)]
pub struct LeavingLives {
    lives: HashSet<BackendId>,
    /// The same in the order in which they were noted.
    order: VecDeque<BackendId>,
}

impl LeavingLives {
    /// Notes that a life leaves.
    pub fn note(&mut self, id: &BackendId) {
        if !self.lives.insert(id.clone()) {
            return;
        }
        self.order.push_back(id.clone());
        if self.order.len() > MAX_LIVES {
            let oldest = self.order.pop_front();
            oldest.map(|id| self.lives.remove(&id));
        }
    }

    /// Returns whether a life is known to leave.
    pub fn contains(&self, id: &BackendId) -> bool {
        self.lives.contains(id)
    }
}
