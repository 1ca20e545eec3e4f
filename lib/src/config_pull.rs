//! Which other entry is asked for its configuration, and when.
//!
//! Pure. The answer to a question is a whole document, so one question is open
//! at a time: whatever its answer takes, nobody else is asked meanwhile.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use crate::id::EntryName;
use crate::id::RevisionNumber;
use crate::quantity::Timestamp;

/// How long an answer may take before another entry is asked: the longest
/// message of 8 MiB passes 10 Mbit/s in 7 s. Asking earlier would put a second
/// document beside the one that is on its way.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// What an entry lacks; a question is asked for one such state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigNeed {
    /// Its own revision.
    pub revision: RevisionNumber,
    /// Whether it has yet to learn that its revision is the one in force.
    pub starting: bool,
    /// The answers that have come so far. One that did not help leaves the same
    /// need, but no question open.
    pub answers: u64,
}

/// An entry that can answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigSource {
    /// Its name.
    pub name: EntryName,
    /// Its revision.
    pub revision: RevisionNumber,
    /// Where it listens for other entries.
    pub address: SocketAddr,
}

#[derive(Clone, Copy, Debug)]
struct OpenQuestion {
    need: ConfigNeed,
    asked_at: Timestamp,
}

/// The side that asks.
#[derive(Clone, Debug)]
pub struct ConfigAsker {
    own: EntryName,
    open: Option<OpenQuestion>,
    failures: usize,
}

impl ConfigAsker {
    /// Returns the asking side of an entry that has asked nothing yet.
    pub fn new(own: EntryName) -> Self {
        Self {
            own,
            open: None,
            failures: 0,
        }
    }

    /// Returns the entry that is to be asked now, if any, and notes that it is
    /// asked. A question stays open until its time has passed or what the entry
    /// lacks has changed; after one that was not answered in time the next
    /// entry is asked.
    pub fn next_question(
        &mut self,
        now: Timestamp,
        need: ConfigNeed,
        sources: Vec<ConfigSource>,
    ) -> Option<SocketAddr> {
        if sources.is_empty() || self.is_open(now, need) {
            return None;
        }
        self.failures = match self.open {
            Some(open) if open.need == need => self.failures + 1,
            _ => 0,
        };
        let asked_at = now;
        self.open = Some(OpenQuestion { need, asked_at });
        let ranked = self.rank(sources);
        let source = &ranked[self.failures % ranked.len()];
        Some(source.address)
    }

    fn is_open(&self, now: Timestamp, need: ConfigNeed) -> bool {
        self.open
            .is_some_and(|open| open.need == need && now.since(open.asked_at) < ANSWER_TIMEOUT)
    }

    /// Puts the newest in front, and among equals others for each entry that
    /// asks, so that none has to answer all.
    fn rank(&self, sources: Vec<ConfigSource>) -> Vec<ConfigSource> {
        let mut ranked = sources;
        ranked.sort_by_cached_key(|source| {
            let hash = self.own.pair_hash(&source.name);
            (Reverse(source.revision), hash)
        });
        ranked
    }
}
