//! The last lives of backend servers that are no longer listed.
//!
//! Pure. A record of an earlier life may come late from the store or from
//! another entry.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_record::BackendName;
use crate::gateway::backend_record::StartTime;

/// How many ended lives are remembered: those of a few minutes in which several
/// servers end each second. Records that come late are some seconds old.
const MAX_ENDED: usize = 1_024;

/// The last lives of servers that are no longer listed, so that an old record
/// which comes late does not bring an earlier one back.
#[derive(Clone, Debug, Default)]
pub struct EndedLives {
    starts: HashMap<BackendName, StartTime>,
    /// The names in the order of their ends.
    order: VecDeque<BackendName>,
}

impl EndedLives {
    /// Notes that a life is no longer listed.
    pub fn note(&mut self, id: &BackendId) {
        // A server that does not tell its start has no second life.
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

    /// Returns whether a life of the server is remembered.
    pub fn knows(&self, name: &BackendName) -> bool {
        self.starts.contains_key(name)
    }

    /// Returns whether a later life of the server has ended already. The same
    /// life may be back: its record lapses while the store is away.
    pub fn is_replaced(&self, id: &BackendId) -> bool {
        let ended = self.starts.get(&id.name);
        ended.is_some_and(|last| *last > id.start)
    }
}
