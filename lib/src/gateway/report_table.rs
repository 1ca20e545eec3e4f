//! What backend servers said of themselves in answers, as far as one entry knows:
//! the limits that they have named, and that they leave.
//!
//! Pure. A server tells the entry that it answers; the others hear of it from that
//! entry. Of two notices about the limit of one life the one that was said later
//! holds, whoever brings it and in whatever order: notices travel with their age.
//! That a life leaves holds from the first notice on.

use std::collections::BTreeMap;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use twox_hash::XxHash64;

use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_record::BackendName;
use crate::gateway::server_report::LimitReport;
use crate::gateway::server_report::NoticeChange;
use crate::gateway::server_report::ServerReport;
use crate::quantity::RequestRate;
use crate::quantity::Timestamp;

/// How long an entry repeats to others what it heard from a server itself, in
/// case a message is lost: four rounds.
const TOLD_FOR: Duration = Duration::from_secs(1);
/// How long a change is told to entries that know something else.
const RECENT: Duration = Duration::from_millis(1_500);
/// How long notices are kept of servers that are not listed, which may be listed
/// later or again, and of limits that are over, so that older notices are known as
/// such.
const KEPT_FOR: Duration = Duration::from_secs(60);

/// What a server said, as one entry tells another.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayedReport {
    /// The life that said it.
    pub id: BackendId,
    /// The requests a second that it takes from all entries; none if it named no
    /// limit.
    pub limit: Option<RequestRate>,
    /// Whether it leaves.
    pub draining: bool,
    /// How long ago it said so.
    pub age: Duration,
}

#[derive(Clone, Debug)]
struct KnownNotice {
    id: BackendId,
    limit: Option<RequestRate>,
    leaving: bool,
    said_at: Timestamp,
    /// When this entry last heard it from the server itself.
    heard_at: Option<Timestamp>,
    changed_at: Timestamp,
    listed_at: Timestamp,
}

impl KnownNotice {
    fn new(id: BackendId, now: Timestamp) -> Self {
        Self {
            id,
            limit: None,
            leaving: false,
            said_at: Timestamp(0),
            heard_at: None,
            changed_at: now,
            listed_at: now,
        }
    }

    fn note_limit(&mut self, notice: LimitReport) -> Option<NoticeChange> {
        let named = match notice {
            LimitReport::Unlimited => None,
            LimitReport::Limited(rate) => Some(rate),
            LimitReport::Unreadable => return None,
        };
        if std::mem::replace(&mut self.limit, named) == named {
            return None;
        }
        Some(named.map_or(NoticeChange::LimitOver, NoticeChange::Limited))
    }

    fn to_told(&self, now: Timestamp) -> RelayedReport {
        RelayedReport {
            id: self.id.clone(),
            limit: self.limit,
            draining: self.leaving,
            age: now.since(self.said_at),
        }
    }

    /// Returns whether the server takes requests like any other.
    fn says_nothing(&self) -> bool {
        self.limit.is_none() && !self.leaving
    }

    /// Returns what the notice adds to the digest of a book.
    fn digest(&self) -> u64 {
        if self.says_nothing() {
            return 0;
        }
        let mut hasher = XxHash64::with_seed(6);
        self.id.hash(&mut hasher);
        self.limit.map(|limit| limit.0.to_bits()).hash(&mut hasher);
        self.leaving.hash(&mut hasher);
        hasher.finish()
    }
}

/// What servers said, by their names.
#[derive(Clone, Debug, Default)]
pub struct ReportTable {
    notices: BTreeMap<BackendName, KnownNotice>,
}

impl ReportTable {
    /// Returns a book without notices.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the limit that a life has named, if it is in force.
    pub fn limit(&self, id: &BackendId) -> Option<RequestRate> {
        let known = self.notices.get(&id.name)?;
        known.limit.filter(|_| known.id == *id)
    }

    /// Iterates over all limits in force.
    pub fn limits(&self) -> impl Iterator<Item = (&BackendId, RequestRate)> {
        let notices = self.notices.values();
        notices.filter_map(|known| Some((&known.id, known.limit?)))
    }

    /// Notes what a server said in an answer that came just now; returns what that
    /// changed for others too.
    pub fn apply_direct(
        &mut self,
        now: Timestamp,
        id: &BackendId,
        notice: &ServerReport,
    ) -> Vec<NoticeChange> {
        let says_nothing = notice.limit == LimitReport::Unlimited && !notice.draining;
        if says_nothing && !self.notices.contains_key(&id.name) {
            return Vec::new();
        }
        let Some(known) = self.known_mut(now, id) else {
            return Vec::new();
        };
        known.said_at = known.said_at.max(now);
        known.heard_at = Some(now);
        let mut changes = Vec::new();
        changes.extend(known.note_limit(notice.limit));
        if notice.draining && !std::mem::replace(&mut known.leaving, true) {
            changes.push(NoticeChange::Leaving);
        }
        if !changes.is_empty() {
            known.changed_at = now;
        }
        changes
    }

    /// Takes over what another entry told. Returns whether something changed.
    pub fn take_over(&mut self, now: Timestamp, notice: &RelayedReport) -> bool {
        let said_at = Timestamp(now.0.saturating_sub(notice.age.as_micros() as u64));
        let Some(known) = self.known_mut(now, &notice.id) else {
            return false;
        };
        let leaves = notice.draining && !std::mem::replace(&mut known.leaving, true);
        let is_newer = said_at > known.said_at;
        let limit_changed = is_newer && known.limit != notice.limit;
        if is_newer {
            known.said_at = said_at;
            known.limit = notice.limit;
        }
        if leaves || limit_changed {
            known.changed_at = now;
        }
        leaves || limit_changed
    }

    /// Returns what is known of a life; none if a later one is known. What was
    /// known of an earlier one ends.
    fn known_mut(&mut self, now: Timestamp, id: &BackendId) -> Option<&mut KnownNotice> {
        let new = || KnownNotice::new(id.clone(), now);
        let known = self.notices.entry(id.name.clone()).or_insert_with(new);
        if known.id.replaces(id) {
            return None;
        }
        if known.id != *id {
            *known = new();
        }
        Some(known)
    }

    /// Returns a digest of what listed servers said. Entries that know the same
    /// have the same digest.
    pub fn digest(&self, is_listed: impl Fn(&BackendId) -> bool) -> u64 {
        let listed = self.notices.values().filter(|known| is_listed(&known.id));
        listed.fold(0, |digest, known| digest ^ known.digest())
    }

    /// Returns what this entry heard itself a moment ago.
    pub fn direct_reports(&self, now: Timestamp) -> Vec<RelayedReport> {
        let heard =
            |known: &&KnownNotice| known.heard_at.is_some_and(|at| now.since(at) < TOLD_FOR);
        let notices = self.notices.values().filter(heard);
        notices.map(|known| known.to_told(now)).collect()
    }

    /// Returns what changed a moment ago.
    pub fn recent_notices(&self, now: Timestamp) -> Vec<RelayedReport> {
        let recent = |known: &&KnownNotice| now.since(known.changed_at) < RECENT;
        let notices = self.notices.values().filter(recent);
        notices.map(|known| known.to_told(now)).collect()
    }

    /// Returns all that is known, also of limits that are over.
    pub fn all_notices(&self, now: Timestamp) -> Vec<RelayedReport> {
        let notices = self.notices.values();
        notices.map(|known| known.to_told(now)).collect()
    }

    /// Forgets servers that have not been listed for long, and limits that have
    /// been over for long.
    pub fn sweep(&mut self, now: Timestamp, is_listed: impl Fn(&BackendId) -> bool) {
        self.notices.retain(|_, known| {
            if is_listed(&known.id) {
                known.listed_at = now;
            }
            let is_over = known.says_nothing() && now.since(known.changed_at) >= KEPT_FOR;
            !is_over && now.since(known.listed_at) < KEPT_FOR
        });
    }
}
