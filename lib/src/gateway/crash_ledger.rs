//! Crashes of backend servers, and the requests that ran there.
//!
//! Pure. Each entry notes what it sees itself and takes over what others tell;
//! both are sets that only grow, so that a word that comes twice, late or by a
//! detour changes nothing.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use twox_hash::XxHash64;

use crate::gateway::backend_record::BackendId;
use crate::gateway::call_digest::CallDigest;
use crate::gateway::crash_verdict::CrashRecord;
use crate::gateway::crash_verdict::CrashTimes;
use crate::gateway::crash_verdict::IncarnationDigest;
use crate::gateway::crash_verdict::LEAST_CRASHES;
use crate::gateway::crash_verdict::find_fatal;
use crate::quantity::Timestamp;

/// How long a request under which a server ended is remembered after it last
/// ran or came. Whoever mends the servers publishes them within that time, and
/// a caller who still repeats it then costs three servers at most.
pub const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// The most requests that are remembered: those beside a few hundred crashes.
const MAX_RECORDS: usize = 1_024;
/// The most crashes that are remembered of one request.
const MAX_CRASHES: usize = 8;
/// The most survivors that are counted of one request: as many outweigh all its
/// crashes four times, and a popular request has nothing new to tell from then on.
const MAX_SURVIVORS: usize = MAX_CRASHES;
/// The most crashes of all requests that are remembered.
const MAX_TIMES: usize = 1_024;
/// The most requests that were answered whole of which the digest is kept:
/// some ten seconds of an entry's load. Popular ones come again within that.
const MAX_ANSWERED: usize = 2_048;
/// How long a server takes to start, at least. What reaches it sooner after its
/// end met the old life's connections.
const LEAST_RESTART: Duration = Duration::from_millis(500);
/// How long an entry repeats what it saw itself, in case a message is lost: four
/// rounds.
const TOLD_FOR: Duration = Duration::from_secs(1);
/// The most requests told in one message. A report takes 25 to 170 bytes.
const MAX_TOLD: usize = 32;

/// What an entry tells of a request under which servers ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The request.
    pub digest: CallDigest,
    /// What is known of it.
    pub record: CrashRecord,
    /// How long ago it last came or crashed a server.
    pub idle: Duration,
}

#[derive(Clone, Debug)]
struct KnownRecord {
    record: CrashRecord,
    seen_at: Timestamp,
    changed_at: Timestamp,
    /// When this entry last saw something of it itself.
    noted_at: Option<Timestamp>,
}

impl KnownRecord {
    fn is_told(&self, now: Timestamp) -> bool {
        self.noted_at.is_some_and(|at| now.since(at) < TOLD_FOR)
    }
}

/// The crashes that are known on one entry.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    records: HashMap<CallDigest, KnownRecord>,
    times: CrashTimes,
    answered: HashMap<CallDigest, usize>,
    answered_order: VecDeque<CallDigest>,
    fatal: BTreeSet<CallDigest>,
}

/// Returns the digest of a life, the same at all entries.
fn life_digest(id: &BackendId) -> IncarnationDigest {
    let mut hasher = XxHash64::with_seed(4);
    id.hash(&mut hasher);
    IncarnationDigest(hasher.finish())
}

impl CrashLedger {
    /// Returns a ledger without crashes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether a request is known to crash the servers that run it, and
    /// notes that it came.
    pub fn refuses(&mut self, now: Timestamp, digest: CallDigest) -> bool {
        if !self.fatal.contains(&digest) {
            return false;
        }
        if let Some(known) = self.records.get_mut(&digest) {
            known.seen_at = known.seen_at.max(now);
        }
        true
    }

    /// Returns the number of requests that are refused.
    pub fn fatal_count(&self) -> usize {
        self.fatal.len()
    }

    /// Notes that a server crashed while a request ran there since `began`.
    /// Returns whether that is new.
    pub fn note_crash(
        &mut self,
        now: Timestamp,
        digest: CallDigest,
        id: &BackendId,
        began: Timestamp,
    ) -> bool {
        let Some(life) = self.life_at(id, began) else {
            return false;
        };
        self.times.entry(life).or_insert(now);
        let mut record = CrashRecord::default();
        record.crashes.insert(life, now.since(began));
        let changed = self.merge(now, digest, &record, now);
        if let Some(known) = self.records.get_mut(&digest) {
            known.noted_at = Some(now);
        }
        changed
    }

    /// Returns the life that a request met which began at a time; none if the
    /// server had just ended. Records of a new life come later than its first
    /// requests, so a server that ended before may have lived again.
    fn life_at(&self, id: &BackendId, began: Timestamp) -> Option<IncarnationDigest> {
        let mut life = life_digest(id);
        while let Some(ended) = self.times.get(&life) {
            if began < *ended {
                return Some(life);
            }
            if began.since(*ended) < LEAST_RESTART {
                return None;
            }
            life = IncarnationDigest(XxHash64::oneshot(5, &life.0.to_le_bytes()));
        }
        Some(life)
    }

    /// Notes that a server answered a request to the end and still lives.
    /// Returns whether that may change which requests are refused.
    pub fn note_answered(&mut self, now: Timestamp, digest: CallDigest) -> bool {
        *self.answered.entry(digest).or_insert(0) += 1;
        self.answered_order.push_back(digest);
        if self.answered_order.len() > MAX_ANSWERED {
            self.forget_oldest_answer();
        }
        let Some(known) = self.records.get_mut(&digest) else {
            return false;
        };
        if known.record.survivors >= MAX_SURVIVORS {
            return false;
        }
        known.record.survivors += 1;
        known.changed_at = now;
        known.noted_at = Some(now);
        known.record.crashes.len() >= LEAST_CRASHES
    }

    fn forget_oldest_answer(&mut self) {
        let Some(oldest) = self.answered_order.pop_front() else {
            return;
        };
        if let Some(count) = self.answered.get_mut(&oldest) {
            *count -= 1;
            if *count == 0 {
                self.answered.remove(&oldest);
            }
        }
    }

    /// Takes over what another entry tells. Returns whether anything is new.
    pub fn take_over(&mut self, now: Timestamp, reports: &[CrashReport]) -> bool {
        let mut changed = false;
        for report in reports {
            let seen_at = Timestamp(now.0.saturating_sub(report.idle.as_micros() as u64));
            for life in report.record.crashes.keys() {
                self.times.entry(*life).or_insert(now);
            }
            changed |= self.merge(now, report.digest, &report.record, seen_at);
        }
        changed
    }

    fn merge(
        &mut self,
        now: Timestamp,
        digest: CallDigest,
        told: &CrashRecord,
        seen_at: Timestamp,
    ) -> bool {
        let answered = self.answered.get(&digest).copied().unwrap_or(0);
        let known = self.records.entry(digest).or_insert_with(|| KnownRecord {
            record: CrashRecord {
                survivors: answered.min(MAX_SURVIVORS),
                ..CrashRecord::default()
            },
            seen_at,
            changed_at: now,
            noted_at: None,
        });
        known.seen_at = known.seen_at.max(seen_at);
        let mut changed = false;
        for (life, ran) in &told.crashes {
            let is_full = known.record.crashes.len() >= MAX_CRASHES;
            match known.record.crashes.get_mut(life) {
                Some(shortest) if *shortest <= *ran => {}
                Some(shortest) => {
                    *shortest = *ran;
                    changed = true;
                }
                None if is_full => {}
                None => {
                    known.record.crashes.insert(*life, *ran);
                    changed = true;
                }
            }
        }
        let told_survivors = told.survivors.min(MAX_SURVIVORS);
        changed |= told_survivors > known.record.survivors;
        known.record.survivors = known.record.survivors.max(told_survivors);
        if changed {
            known.changed_at = now;
        }
        changed
    }

    /// Decides anew which requests are fatal, among `servers` servers. Returns
    /// those that were not before.
    pub fn judge(&mut self, servers: usize) -> Vec<(CallDigest, CrashRecord)> {
        let records = self.records.iter();
        let records = records.map(|(digest, known)| (*digest, &known.record));
        let fatal = find_fatal(records, &self.times, servers);
        let found = fatal.difference(&self.fatal);
        let found = found
            .filter_map(|digest| Some((*digest, self.records.get(digest)?.record.clone())))
            .collect();
        self.fatal = fatal;
        found
    }

    /// Returns whether crashes were noted or told in the last moments.
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        let mut records = self.records.values();
        records.any(|known| now.since(known.changed_at) < TOLD_FOR)
    }

    /// Returns what other entries are told: what this one saw in the last moments
    /// itself, and all that is known of fatal requests. Hubs hear all entries, so
    /// that they find what is fatal; passing all the rest on to hundreds of entries
    /// would cost half of what else they tell, while many servers end at once.
    pub fn reports(&self, now: Timestamp) -> Vec<CrashReport> {
        let fatal = self
            .fatal
            .iter()
            .filter_map(|digest| self.report(now, *digest));
        let fresh = self
            .records
            .iter()
            .filter(|(digest, known)| known.is_told(now) && !self.fatal.contains(*digest));
        let mut fresh: Vec<(&CallDigest, &KnownRecord)> = fresh.collect();
        fresh.sort_by_key(|(digest, known)| {
            let rank = (known.record.crashes.len(), known.changed_at);
            (std::cmp::Reverse(rank), **digest)
        });
        let fresh = fresh
            .iter()
            .filter_map(|(digest, _)| self.report(now, **digest));
        fatal.chain(fresh).take(MAX_TOLD).collect()
    }

    /// Returns what is known of fatal requests.
    pub fn fatal_reports(&self, now: Timestamp) -> Vec<CrashReport> {
        let fatal = self.fatal.iter();
        fatal
            .filter_map(|digest| self.report(now, *digest))
            .collect()
    }

    fn report(&self, now: Timestamp, digest: CallDigest) -> Option<CrashReport> {
        let known = self.records.get(&digest)?;
        Some(CrashReport {
            digest,
            record: known.record.clone(),
            idle: now.since(known.seen_at),
        })
    }

    /// Forgets what is old, and the least telling of what is too much.
    pub fn drop_old(&mut self, now: Timestamp) {
        self.records
            .retain(|_, known| now.since(known.seen_at) < CRASH_RETENTION);
        self.times.retain(|_, at| now.since(*at) < CRASH_RETENTION);
        self.fatal
            .retain(|digest| self.records.contains_key(digest));
        drop_least(&mut self.records, MAX_RECORDS, |known| {
            (known.record.crashes.len(), known.seen_at)
        });
        while self.times.len() > MAX_TIMES {
            let oldest = self.times.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(life, _)| *life);
            oldest.map(|life| self.times.remove(&life));
        }
    }
}

/// Removes the records of least rank until `most` are left.
fn drop_least<R: Ord>(
    records: &mut HashMap<CallDigest, KnownRecord>,
    most: usize,
    rank: impl Fn(&KnownRecord) -> R,
) {
    if records.len() <= most {
        return;
    }
    let mut ranked: Vec<(R, CallDigest)> = records
        .iter()
        .map(|(digest, known)| (rank(known), *digest))
        .collect();
    ranked.sort();
    for (_, digest) in ranked.iter().take(records.len() - most) {
        records.remove(digest);
    }
}
