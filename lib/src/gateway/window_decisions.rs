//! The counts that lease holders decided for usage windows.
//!
//! Pure: it does no I/O. The first decision about a window is final. An entry keeps a
//! decision even if the store lost it, because it may have been reported already.

use std::collections::BTreeMap;

use crate::gateway::usage_table::WindowCounts;
use crate::gateway::usage_table::WindowNumber;

/// The number of windows whose decisions are kept. Each is reported within two windows.
const MAX_DECISIONS: usize = 16;

/// The decision about a window.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct WindowDecision {
    counts: WindowCounts,
    is_stored: bool,
}

/// The decisions that an entry knows, by window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct WindowDecisions {
    decisions: BTreeMap<WindowNumber, WindowDecision>,
}

impl WindowDecisions {
    /// Returns the counts that were decided for a window.
    pub fn counts(&self, window: WindowNumber) -> Option<&WindowCounts> {
        self.decisions.get(&window).map(|decision| &decision.counts)
    }

    /// Returns whether the store has the decision about a window. A store that was
    /// restored from an older copy may lack it.
    pub fn is_stored(&self, window: WindowNumber) -> bool {
        let decision = self.decisions.get(&window);
        decision.is_some_and(|decision| decision.is_stored)
    }

    /// Notes a decision that is in the store.
    pub fn note_stored(&mut self, window: WindowNumber, counts: WindowCounts) {
        let decision = WindowDecision {
            counts,
            is_stored: true,
        };
        let decision = self.decisions.entry(window).or_insert(decision);
        decision.is_stored = true;
        while self.decisions.len() > MAX_DECISIONS {
            self.decisions.pop_first();
        }
    }

    /// Notes that the store may have lost all decisions.
    pub fn note_store_lost(&mut self) {
        for decision in self.decisions.values_mut() {
            decision.is_stored = false;
        }
    }
}
