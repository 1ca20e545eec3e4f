//! The packed updates of the list of backend servers, so that each is built once and
//! not for every receiver.
//!
//! Pure logic: no I/O and no clock. Hundreds of entries follow a hub, and most of them
//! have the same earlier list.

use std::collections::HashMap;

use crate::gateway::list_frames::PackedList;
use crate::gateway::list_history::ListUpdate;

/// The most updates kept: a receiver acknowledges a list within a few gossip intervals,
/// in each of which the list may change. Further updates are built again.
const MAX_UPDATES: usize = 16;

/// The packed updates that lead to one list.
#[derive(Clone, Debug, Default)]
pub struct ListUpdateCache {
    /// The digest of the list to which the updates lead.
    digest: u64,
    /// The updates by the digest of the receiver's list; `None` for the full list.
    updates: HashMap<Option<u64>, PackedList>,
}

impl ListUpdateCache {
    /// Returns the update from the list `known` to the list `digest`, which `build`
    /// builds if it is not kept. Returns `None` if there is nothing to send.
    pub fn get_or_pack(
        &mut self,
        digest: u64,
        known: Option<u64>,
        build: impl FnOnce() -> ListUpdate,
    ) -> Option<PackedList> {
        if self.digest != digest {
            self.digest = digest;
            self.updates.clear();
        }
        if let Some(update) = self.updates.get(&known) {
            return Some(update.clone());
        }
        let update = PackedList::pack(build())?;
        if self.updates.len() >= MAX_UPDATES {
            self.updates.clear();
        }
        self.updates.insert(known, update.clone());
        Some(update)
    }
}
