//! Counts the changes of backend servers that other entries reported, for one
//! log line a second.
//!
//! Pure: no I/O. If each of 295 entries logged every change while 200 servers are
//! replaced, these would be 284,000 of 306,000 log lines within 24 s.

use crate::gateway::backend_set::BackendChange;

/// The changes received since the last log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChangeCounts {
    /// Servers that are new.
    pub joined: u32,
    /// Servers that accept no new requests any more.
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

    /// Returns the counts since the last call, if there are any.
    pub fn take(&mut self) -> Option<Self> {
        let counts = std::mem::take(self);
        (counts != Self::default()).then_some(counts)
    }
}
