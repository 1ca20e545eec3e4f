//! Remembers which refused callers were asked to return, and when.
//!
//! Pure logic: no I/O and no clock. The load pattern is callers that are refused together
//! and return on new connections, at any entry, under other request IDs, beside clients
//! that retry at once and often. A promise is known by the digest of its request. A
//! caller that returns at its time is admitted before new requests; one that returns
//! sooner is asked again to wait for that time.
//!
//! Of two promises for one request the later one holds at every entry, so it does not
//! matter in which order their news arrives.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use crate::gateway::call_digest::CallDigest;
use crate::gateway::return_schedule::MAX_RETURN_DELAY;
use crate::gateway::return_schedule::ReturnPlan;
use crate::gateway::return_schedule::ReturnQuery;
use crate::gateway::return_schedule::ReturnSchedule;
use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// The most promises of this entry that are remembered.
pub const MAX_OWN_PROMISES: usize = 4_096;
/// The most promises of other entries that are remembered.
pub const MAX_PEER_PROMISES: usize = 8_192;
/// The most promises in one message. A promise takes about 6 bytes.
pub const MAX_NEWS: usize = 640;
/// How much sooner than promised a caller may return.
const EARLY_TOLERANCE: Duration = Duration::from_millis(50);
/// How long after the promised time a caller may return.
const LATE_TOLERANCE: Duration = Duration::from_secs(1);
/// The difference of two times that stand for the same promise: the transit time of a
/// message.
const TRANSIT_TOLERANCE: Duration = Duration::from_millis(100);
/// How long an entry repeats news, in case a message is lost: two rounds.
const NEWS_REPEAT_TIME: Duration = Duration::from_millis(600);

/// Half of the digest of a request. It halves the size of messages; among ten thousand
/// promises, one request in half a million takes another one's promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromiseKey(pub u32);

impl From<CallDigest> for PromiseKey {
    fn from(digest: CallDigest) -> Self {
        Self(digest.0 as u32)
    }
}

impl fmt::Display for PromiseKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl FromStr for PromiseKey {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u32::from_str_radix(text, 16).map(Self)
    }
}

/// What is known about a refused caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromiseState {
    /// A place is set aside for its return.
    Open,
    /// It got a time, but no room was set aside. Until then it is refused again, so that
    /// it has no more chances than a caller that waits.
    Deferred,
    /// It has returned and was admitted.
    Kept,
}

/// What an entry reports about a promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromiseNews {
    /// The request.
    pub key: PromiseKey,
    /// The time until the caller should return; zero if that is past.
    pub due_in: Duration,
    /// What is known about the caller.
    pub state: PromiseState,
}

/// What an entry reports about the promises for one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromiseList {
    /// The service.
    pub service: ServiceName,
    /// The promises.
    pub news: Vec<PromiseNews>,
}

/// Through whom an entry knows a promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromiseSource {
    /// This entry itself.
    Own,
    /// The entry that made or kept it.
    Direct,
    /// A hub.
    Relayed,
}

/// Whether a request is the return of a refused one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnStatus {
    /// No promise is known.
    New,
    /// The caller should return only after that time.
    Early(Duration),
    /// The caller returns at the given time, but no place is set aside.
    Deferred,
    /// The caller returns as promised.
    Promised,
}

#[derive(Clone, Debug)]
struct ReturnPromise {
    service: ServiceName,
    due: Timestamp,
    state: PromiseState,
    is_own: bool,
}

impl ReturnPromise {
    fn is_past(&self, now: Timestamp) -> bool {
        now > self.due.after(LATE_TOLERANCE)
    }
}

/// A change of a promise that is to be reported.
#[derive(Clone, Copy, Debug)]
struct RecentChange {
    at: Timestamp,
    key: PromiseKey,
    source: PromiseSource,
}

/// The promises that are known at one entry.
#[derive(Clone, Debug, Default)]
pub struct ReturnPromises {
    promises: HashMap<PromiseKey, ReturnPromise>,
    schedules: HashMap<ServiceName, ReturnSchedule>,
    own_count: usize,
    recent: VecDeque<RecentChange>,
}

impl ReturnPromises {
    /// Returns a memory without promises.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of remembered promises.
    pub fn len(&self) -> usize {
        self.promises.len()
    }

    /// Returns whether no promise is remembered.
    pub fn is_empty(&self) -> bool {
        self.promises.is_empty()
    }

    /// Returns whether a request is the return of a refused one.
    pub fn status(&self, now: Timestamp, digest: CallDigest) -> ReturnStatus {
        let promise = self.promises.get(&digest.into());
        let Some(promise) = promise.filter(|known| !known.is_past(now)) else {
            return ReturnStatus::New;
        };
        let left = promise.due.since(now);
        match promise.state {
            PromiseState::Kept => ReturnStatus::New,
            _ if left > EARLY_TOLERANCE => ReturnStatus::Early(left),
            PromiseState::Deferred => ReturnStatus::Deferred,
            PromiseState::Open => ReturnStatus::Promised,
        }
    }

    /// Decides when the caller of a refused request should return, and remembers it. A
    /// caller that was asked to return later gets the rest of that time.
    pub fn promise(
        &mut self,
        now: Timestamp,
        digest: CallDigest,
        service: &ServiceName,
        query: &ReturnQuery,
    ) -> ReturnPlan {
        let key = PromiseKey::from(digest);
        if let ReturnStatus::Early(left) = self.status(now, digest) {
            let known = self.promises.get(&key);
            return match known.is_some_and(|known| known.state == PromiseState::Open) {
                true => ReturnPlan::Room(left),
                false => ReturnPlan::NoRoom(left),
            };
        }
        let schedule = self.schedules.entry(service.clone()).or_default();
        let plan = schedule.plan(now, query);
        let (state, after) = match plan {
            ReturnPlan::Room(after) => (PromiseState::Open, after),
            ReturnPlan::NoRoom(after) => (PromiseState::Deferred, after),
        };
        let promise = ReturnPromise {
            service: service.clone(),
            due: now.after(after),
            state,
            is_own: true,
        };
        // A broken promise is replaced by the new one.
        self.forget(now, key);
        self.insert(now, key, promise, PromiseSource::Own);
        plan
    }

    /// Records that the caller has returned and is admitted. The promise does not serve
    /// again, and its place is free if it was not due yet.
    pub fn note_kept(&mut self, now: Timestamp, digest: CallDigest) {
        self.keep(now, digest.into(), PromiseSource::Own);
    }

    /// Merges the news of another entry. Returns how many promises were ignored because
    /// they are malformed or too many.
    pub fn merge(&mut self, now: Timestamp, lists: &[PromiseList], source: PromiseSource) -> usize {
        let mut seen = 0;
        let mut accepted = 0;
        for list in lists {
            seen += list.news.len();
            let room = MAX_NEWS - accepted;
            for news in list.news.iter().take(room) {
                let is_accepted = self.merge_news(now, &list.service, *news, source);
                accepted += usize::from(is_accepted);
            }
        }
        seen - accepted
    }

    fn merge_news(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        news: PromiseNews,
        source: PromiseSource,
    ) -> bool {
        if news.due_in > MAX_RETURN_DELAY {
            return false;
        }
        let due = now.after(news.due_in);
        let known = self.promises.get(&news.key);
        // Of a time in the past, it is not known when it was: no reason to replace one
        // that is known here.
        let is_later = |known: &ReturnPromise| {
            !news.due_in.is_zero() && due > known.due.after(TRANSIT_TOLERANCE)
        };
        if known.is_none_or(is_later) {
            self.forget(now, news.key);
            let promise = ReturnPromise {
                service: service.clone(),
                due,
                state: news.state,
                is_own: false,
            };
            return self.insert(now, news.key, promise, source);
        }
        let is_same = known.is_some_and(|known| known.due <= due.after(TRANSIT_TOLERANCE));
        if news.state == PromiseState::Kept && is_same {
            self.keep(now, news.key, source);
        }
        true
    }

    /// Returns what to report to a hub: the recent changes at this entry; or, with
    /// `is_hub`, what to report as a hub: also those that other entries reported here.
    /// Promises that callers may still return for come first, and of them the newest
    /// ones, since the others were reported before.
    pub fn news(&self, now: Timestamp, is_hub: bool) -> Vec<PromiseList> {
        let is_due = |change: &&RecentChange| {
            let is_recent = now.since(change.at) < NEWS_REPEAT_TIME;
            is_recent && (is_hub || change.source == PromiseSource::Own)
        };
        let recent = self.recent.iter().rev().filter(is_due);
        let known = recent.filter_map(|change| {
            let promise = self.promises.get(&change.key)?;
            Some((change.key, promise))
        });
        let is_open = |known: &(PromiseKey, &ReturnPromise)| known.1.state == PromiseState::Open;
        let (open, others): (Vec<_>, Vec<_>) = known.partition(is_open);
        let mut lists: Vec<PromiseList> = Vec::new();
        for (key, promise) in open.into_iter().chain(others).take(MAX_NEWS) {
            let news = PromiseNews {
                key,
                due_in: promise.due.since(now),
                state: promise.state,
            };
            match lists
                .iter_mut()
                .find(|list| list.service == promise.service)
            {
                Some(list) => list.news.push(news),
                None => lists.push(PromiseList {
                    service: promise.service.clone(),
                    news: vec![news],
                }),
            }
        }
        lists
    }

    /// Forgets promises whose time is past. Returns how many promises of this entry no
    /// caller returned for, as far as is known here.
    pub fn purge(&mut self, now: Timestamp) -> usize {
        let mut expired = 0;
        let mut own_count = 0;
        self.promises.retain(|_, promise| {
            let is_past = promise.is_past(now);
            let is_open = promise.state == PromiseState::Open;
            expired += usize::from(is_past && promise.is_own && is_open);
            own_count += usize::from(!is_past && promise.is_own);
            !is_past
        });
        self.own_count = own_count;
        self.schedules.retain(|_, schedule| schedule.purge(now));
        while let Some(change) = self.recent.front()
            && now.since(change.at) >= NEWS_REPEAT_TIME
        {
            self.recent.pop_front();
        }
        expired
    }

    fn keep(&mut self, now: Timestamp, key: PromiseKey, source: PromiseSource) {
        let Some(promise) = self.promises.get_mut(&key) else {
            return;
        };
        let earlier = std::mem::replace(&mut promise.state, PromiseState::Kept);
        if earlier == PromiseState::Kept {
            return;
        }
        if promise.due > now
            && earlier == PromiseState::Open
            && let Some(schedule) = self.schedules.get_mut(&promise.service)
        {
            schedule.release(promise.due);
        }
        self.note_change(now, key, source);
    }

    /// Removes a promise, and gives its place back if it was not due yet.
    fn forget(&mut self, now: Timestamp, key: PromiseKey) {
        let Some(promise) = self.promises.remove(&key) else {
            return;
        };
        self.own_count -= usize::from(promise.is_own);
        if promise.due > now
            && promise.state == PromiseState::Open
            && let Some(schedule) = self.schedules.get_mut(&promise.service)
        {
            schedule.release(promise.due);
        }
    }

    /// Remembers a promise unless there are too many. Returns whether there was room.
    fn insert(
        &mut self,
        now: Timestamp,
        key: PromiseKey,
        promise: ReturnPromise,
        source: PromiseSource,
    ) -> bool {
        let has_room = match promise.is_own {
            true => self.own_count < MAX_OWN_PROMISES,
            false => self.promises.len() - self.own_count < MAX_PEER_PROMISES,
        };
        if !has_room {
            return false;
        }
        if promise.state == PromiseState::Open {
            let schedule = self.schedules.entry(promise.service.clone()).or_default();
            schedule.take(now, promise.due, promise.is_own);
        }
        self.own_count += usize::from(promise.is_own);
        self.promises.insert(key, promise);
        self.note_change(now, key, source);
        true
    }

    fn note_change(&mut self, now: Timestamp, key: PromiseKey, source: PromiseSource) {
        if source == PromiseSource::Relayed {
            return;
        }
        self.recent.push_back(RecentChange {
            at: now,
            key,
            source,
        });
        if self.recent.len() > MAX_OWN_PROMISES {
            self.recent.pop_front();
        }
    }
}
