//! The limits that backend servers have named, as far as one entry knows them.
//!
//! Pure. A server tells its limit to the entry that it answers; the others hear of
//! it from that entry. Of two words about one life the one that was said later
//! holds, whoever brings it and in whatever order: words travel with their age.

use std::collections::BTreeMap;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use twox_hash::XxHash64;

use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_record::BackendName;
use crate::gateway::server_notice::LimitNotice;
use crate::gateway::server_notice::NoticeChange;
use crate::quantity::RequestRate;
use crate::quantity::Timestamp;

/// How long an entry repeats to others what it heard from a server itself, in
/// case a message is lost: four rounds.
const TOLD_FOR: Duration = Duration::from_secs(1);
/// How long a change is told to entries that know something else.
const RECENT: Duration = Duration::from_millis(1_500);
/// How long words are kept of servers that are not listed, which may be listed
/// later or again, and of limits that are over, so that older words are known as
/// such.
const KEPT_FOR: Duration = Duration::from_secs(60);

/// What a server said, as one entry tells another.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerWord {
    /// The life that said it.
    pub id: BackendId,
    /// The requests a second that it takes from all entries; none if it named no
    /// limit.
    pub limit: Option<RequestRate>,
    /// How long ago it said so.
    pub age: Duration,
}

#[derive(Clone, Debug)]
struct KnownWord {
    id: BackendId,
    limit: Option<RequestRate>,
    said_at: Timestamp,
    /// When this entry last heard it from the server itself.
    heard_at: Option<Timestamp>,
    changed_at: Timestamp,
    listed_at: Timestamp,
}

impl KnownWord {
    fn new(id: BackendId, now: Timestamp) -> Self {
        Self {
            id,
            limit: None,
            said_at: Timestamp(0),
            heard_at: None,
            changed_at: now,
            listed_at: now,
        }
    }

    fn to_told(&self, now: Timestamp) -> ServerWord {
        ServerWord {
            id: self.id.clone(),
            limit: self.limit,
            age: now.since(self.said_at),
        }
    }

    /// Returns what the word adds to the digest of a book.
    fn digest(&self) -> u64 {
        let Some(limit) = self.limit else {
            return 0;
        };
        let mut hasher = XxHash64::with_seed(6);
        self.id.hash(&mut hasher);
        limit.0.to_bits().hash(&mut hasher);
        hasher.finish()
    }
}

/// What servers said, by their names.
#[derive(Clone, Debug, Default)]
pub struct NoticeBook {
    words: BTreeMap<BackendName, KnownWord>,
}

impl NoticeBook {
    /// Returns a book without words.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the limit that a life has named, if it is in force.
    pub fn limit(&self, id: &BackendId) -> Option<RequestRate> {
        let known = self.words.get(&id.name)?;
        known.limit.filter(|_| known.id == *id)
    }

    /// Iterates over all limits in force.
    pub fn limits(&self) -> impl Iterator<Item = (&BackendId, RequestRate)> {
        let words = self.words.values();
        words.filter_map(|known| Some((&known.id, known.limit?)))
    }

    /// Notes what a server said in an answer that came just now.
    pub fn note_answer(
        &mut self,
        now: Timestamp,
        id: &BackendId,
        notice: LimitNotice,
    ) -> Option<NoticeChange> {
        let limit = match notice {
            LimitNotice::Unlimited => None,
            LimitNotice::Limited(rate) => Some(rate),
            LimitNotice::Unreadable => return None,
        };
        if limit.is_none() && !self.words.contains_key(&id.name) {
            return None;
        }
        let before = self.limit(id);
        let known = self.known_mut(now, id)?;
        known.said_at = known.said_at.max(now);
        known.heard_at = Some(now);
        known.limit = limit;
        if before == limit {
            return None;
        }
        known.changed_at = now;
        Some(limit.map_or(NoticeChange::LimitOver, NoticeChange::Limited))
    }

    /// Takes over what another entry told. Returns whether something changed.
    pub fn take_over(&mut self, now: Timestamp, word: &ServerWord) -> bool {
        let said_at = Timestamp(now.0.saturating_sub(word.age.as_micros() as u64));
        let Some(known) = self.known_mut(now, &word.id) else {
            return false;
        };
        if said_at <= known.said_at {
            return false;
        }
        known.said_at = said_at;
        if known.limit == word.limit {
            return false;
        }
        known.limit = word.limit;
        known.changed_at = now;
        true
    }

    /// Returns what is known of a life; none if a later one is known. What was
    /// known of an earlier one ends.
    fn known_mut(&mut self, now: Timestamp, id: &BackendId) -> Option<&mut KnownWord> {
        let new = || KnownWord::new(id.clone(), now);
        let known = self.words.entry(id.name.clone()).or_insert_with(new);
        if known.id.replaces(id) {
            return None;
        }
        if known.id != *id {
            *known = new();
        }
        Some(known)
    }

    /// Returns a digest of the limits in force at listed servers. Entries that
    /// know the same ones have the same digest.
    pub fn digest(&self, is_listed: impl Fn(&BackendId) -> bool) -> u64 {
        let listed = self.words.values().filter(|known| is_listed(&known.id));
        listed.fold(0, |digest, known| digest ^ known.digest())
    }

    /// Returns what this entry heard itself a moment ago.
    pub fn heard_words(&self, now: Timestamp) -> Vec<ServerWord> {
        let heard = |known: &&KnownWord| known.heard_at.is_some_and(|at| now.since(at) < TOLD_FOR);
        let words = self.words.values().filter(heard);
        words.map(|known| known.to_told(now)).collect()
    }

    /// Returns what changed a moment ago.
    pub fn recent_words(&self, now: Timestamp) -> Vec<ServerWord> {
        let recent = |known: &&KnownWord| now.since(known.changed_at) < RECENT;
        let words = self.words.values().filter(recent);
        words.map(|known| known.to_told(now)).collect()
    }

    /// Returns all that is known, also of limits that are over.
    pub fn all_words(&self, now: Timestamp) -> Vec<ServerWord> {
        let words = self.words.values();
        words.map(|known| known.to_told(now)).collect()
    }

    /// Forgets servers that have not been listed for long, and limits that have
    /// been over for long.
    pub fn sweep(&mut self, now: Timestamp, is_listed: impl Fn(&BackendId) -> bool) {
        self.words.retain(|_, known| {
            if is_listed(&known.id) {
                known.listed_at = now;
            }
            let is_over = known.limit.is_none() && now.since(known.changed_at) >= KEPT_FOR;
            !is_over && now.since(known.listed_at) < KEPT_FOR
        });
    }
}
