//! Counts what other entries told of the backend servers, for one log line a
//! second.
//!
//! Pure. With 295 entries and 200 servers that were replaced once, lines about
//! each change at each entry were 284,000 of 306,000 lines in 24 seconds.

use crate::gateway::backend_set::BackendChange;

/// The changes heard since the last line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChangeCounts {
    /// Servers that are new.
    pub joined: u32,
    /// Servers that take no new work any more.
    pub draining: u32,
    /// Servers that are gone, or whose record is missing.
    pub gone: u32,
}

impl ChangeCounts {
    /// Counts a change.
    pub fn note(&mut self, change: &BackendChange) {
        match change {
            BackendChange::Joined(_) => self.joined += 1,
            BackendChange::Draining(_) => self.draining += 1,
            BackendChange::Missing(_) | BackendChange::Gone(_) => self.gone += 1,
        }
    }

    /// Returns what was counted since the last call, if anything was.
    pub fn take(&mut self) -> Option<Self> {
        let taken = std::mem::take(self);
        (taken != Self::default()).then_some(taken)
    }
}
