//! Records crashes of backend servers, and the requests that ran on them.
//!
//! Pure: no I/O. Each entry records what it observes itself, and merges the
//! reports of other entries. Both are sets that only grow, so a report that
//! arrives twice, late or through another entry changes nothing.

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
use crate::gateway::crash_verdict::MIN_CRASHES;
use crate::gateway::crash_verdict::find_fatal;
use crate::quantity::Timestamp;

/// How long a request under which servers crashed is remembered after it last
/// ran or arrived. Operators deploy fixed servers within this time. A caller
/// that repeats the request after it is forgotten crashes three servers at most
/// before it is refused again.
pub const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// The most requests that are remembered. It suffices for the requests that run
/// during a few hundred crashes.
const MAX_RECORDS: usize = 1_024;
/// The most crashes that are remembered of one request.
const MAX_CRASHES_PER_REQUEST: usize = 8;
/// The most survivors that are counted of one request. This many outweigh all
/// its crashes four times, and entries then need not gossip about a popular
/// request any more.
const MAX_SURVIVORS_PER_REQUEST: usize = MAX_CRASHES_PER_REQUEST;
/// The most crash times that are remembered, over all requests.
const MAX_CRASH_TIMES: usize = 1_024;
/// The most completed requests whose digests are remembered: about 10 s of an
/// entry's load. Popular requests repeat within that time.
const MAX_COMPLETED: usize = 2_048;
/// The shortest time that a server takes to restart. A request that reaches it
/// sooner after a crash uses a connection to the old incarnation.
const MIN_RESTART_TIME: Duration = Duration::from_millis(500);
/// How long an entry repeats what it observed itself, in case a message is
/// lost: four rounds.
const REPORT_REPEAT_TIME: Duration = Duration::from_secs(1);
/// The most reports in one message. A report takes 25 to 170 bytes.
const MAX_REPORTS: usize = 32;

/// What an entry reports about a request under which servers crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The request.
    pub digest: CallDigest,
    /// What is known about it.
    pub record: CrashRecord,
    /// The time since it last arrived or crashed a server.
    pub idle: Duration,
}

#[derive(Clone, Debug)]
struct KnownRecord {
    record: CrashRecord,
    seen_at: Timestamp,
    changed_at: Timestamp,
    /// When this entry last observed a crash or a survivor itself.
    observed_at: Option<Timestamp>,
}

impl KnownRecord {
    fn was_recently_observed(&self, now: Timestamp) -> bool {
        self.observed_at
            .is_some_and(|at| now.since(at) < REPORT_REPEAT_TIME)
    }
}

/// The crashes that are known at one entry.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    records: HashMap<CallDigest, KnownRecord>,
    crash_times: CrashTimes,
    completed: HashMap<CallDigest, usize>,
    completed_order: VecDeque<CallDigest>,
    fatal: BTreeSet<CallDigest>,
}

/// Returns the digest of an incarnation, which is the same at all entries.
fn incarnation_digest(id: &BackendId) -> IncarnationDigest {
    let mut hasher = XxHash64::with_seed(4);
    id.hash(&mut hasher);
    IncarnationDigest(hasher.finish())
}

impl CrashLedger {
    /// Returns a ledger without crashes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether a request is known to crash the servers that run it. If
    /// so, records that it arrived.
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

    /// Records that a server crashed while a request ran on it since
    /// `started_at`. Returns whether this is new.
    pub fn note_crash(
        &mut self,
        now: Timestamp,
        digest: CallDigest,
        id: &BackendId,
        started_at: Timestamp,
    ) -> bool {
        let Some(incarnation) = self.incarnation_at(id, started_at) else {
            return false;
        };
        self.crash_times.entry(incarnation).or_insert(now);
        let mut record = CrashRecord::default();
        record.crashes.insert(incarnation, now.since(started_at));
        let changed = self.merge(now, digest, &record, now);
        if let Some(known) = self.records.get_mut(&digest) {
            known.observed_at = Some(now);
        }
        changed
    }

    /// Returns the incarnation that a request reached when it started, or
    /// `None` if the server had just crashed. The record of a new incarnation
    /// arrives after its first requests, so a server with a known crash may
    /// have restarted since. A digest derived from the old one then stands for
    /// the new incarnation.
    fn incarnation_at(&self, id: &BackendId, started_at: Timestamp) -> Option<IncarnationDigest> {
        let mut incarnation = incarnation_digest(id);
        while let Some(crashed_at) = self.crash_times.get(&incarnation) {
            if started_at < *crashed_at {
                return Some(incarnation);
            }
            if started_at.since(*crashed_at) < MIN_RESTART_TIME {
                return None;
            }
            incarnation = IncarnationDigest(XxHash64::oneshot(5, &incarnation.0.to_le_bytes()));
        }
        Some(incarnation)
    }

    /// Records that a server completed a request and did not crash. Returns
    /// whether this may change which requests are refused.
    pub fn note_completed(&mut self, now: Timestamp, digest: CallDigest) -> bool {
        *self.completed.entry(digest).or_insert(0) += 1;
        self.completed_order.push_back(digest);
        if self.completed_order.len() > MAX_COMPLETED {
            self.forget_oldest_completed();
        }
        let Some(known) = self.records.get_mut(&digest) else {
            return false;
        };
        if known.record.survivors >= MAX_SURVIVORS_PER_REQUEST {
            return false;
        }
        known.record.survivors += 1;
        known.changed_at = now;
        known.observed_at = Some(now);
        known.record.crashes.len() >= MIN_CRASHES
    }

    fn forget_oldest_completed(&mut self) {
        let Some(oldest) = self.completed_order.pop_front() else {
            return;
        };
        if let Some(count) = self.completed.get_mut(&oldest) {
            *count -= 1;
            if *count == 0 {
                self.completed.remove(&oldest);
            }
        }
    }

    /// Merges the reports of another entry. Returns whether anything is new.
    pub fn merge_reports(&mut self, now: Timestamp, reports: &[CrashReport]) -> bool {
        let mut changed = false;
        for report in reports {
            let seen_at = Timestamp(now.0.saturating_sub(report.idle.as_micros() as u64));
            for incarnation in report.record.crashes.keys() {
                self.crash_times.entry(*incarnation).or_insert(now);
            }
            changed |= self.merge(now, report.digest, &report.record, seen_at);
        }
        changed
    }

    fn merge(
        &mut self,
        now: Timestamp,
        digest: CallDigest,
        reported: &CrashRecord,
        seen_at: Timestamp,
    ) -> bool {
        let completed = self.completed.get(&digest).copied().unwrap_or(0);
        let known = self.records.entry(digest).or_insert_with(|| KnownRecord {
            record: CrashRecord {
                survivors: completed.min(MAX_SURVIVORS_PER_REQUEST),
                ..CrashRecord::default()
            },
            seen_at,
            changed_at: now,
            observed_at: None,
        });
        known.seen_at = known.seen_at.max(seen_at);
        let mut changed = false;
        for (incarnation, ran) in &reported.crashes {
            let is_full = known.record.crashes.len() >= MAX_CRASHES_PER_REQUEST;
            match known.record.crashes.get_mut(incarnation) {
                Some(shortest) if *shortest <= *ran => {}
                Some(shortest) => {
                    *shortest = *ran;
                    changed = true;
                }
                None if is_full => {}
                None => {
                    known.record.crashes.insert(*incarnation, *ran);
                    changed = true;
                }
            }
        }
        let reported_survivors = reported.survivors.min(MAX_SURVIVORS_PER_REQUEST);
        changed |= reported_survivors > known.record.survivors;
        known.record.survivors = known.record.survivors.max(reported_survivors);
        if changed {
            known.changed_at = now;
        }
        changed
    }

    /// Recomputes which requests are fatal, given the number of servers.
    /// Returns those that were not fatal before.
    pub fn update_fatal(&mut self, server_count: usize) -> Vec<(CallDigest, CrashRecord)> {
        let records = self.records.iter();
        let records = records.map(|(digest, known)| (*digest, &known.record));
        let fatal = find_fatal(records, &self.crash_times, server_count);
        let newly_fatal = fatal.difference(&self.fatal);
        let newly_fatal = newly_fatal
            .filter_map(|digest| Some((*digest, self.records.get(digest)?.record.clone())))
            .collect();
        self.fatal = fatal;
        newly_fatal
    }

    /// Returns whether a record of a request with crashes changed recently.
    pub fn has_recent_changes(&self, now: Timestamp) -> bool {
        let mut records = self.records.values();
        records.any(|known| now.since(known.changed_at) < REPORT_REPEAT_TIME)
    }

    /// Returns the reports to gossip: what this entry recently observed itself,
    /// and all that is known about fatal requests. Hubs receive the reports of
    /// all entries, so they find out which requests are fatal. If hubs relayed
    /// all other reports to hundreds of entries, gossip would grow by half
    /// while many servers crash at once.
    pub fn reports(&self, now: Timestamp) -> Vec<CrashReport> {
        let fatal = self
            .fatal
            .iter()
            .filter_map(|digest| self.report(now, *digest));
        let recent = self.records.iter().filter(|(digest, known)| {
            known.was_recently_observed(now) && !self.fatal.contains(*digest)
        });
        let mut recent: Vec<(&CallDigest, &KnownRecord)> = recent.collect();
        recent.sort_by_key(|(digest, known)| {
            let rank = (known.record.crashes.len(), known.changed_at);
            (std::cmp::Reverse(rank), **digest)
        });
        let recent = recent
            .iter()
            .filter_map(|(digest, _)| self.report(now, **digest));
        fatal.chain(recent).take(MAX_REPORTS).collect()
    }

    /// Returns the reports about fatal requests.
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

    /// Removes what is too old. If there are too many records, also removes
    /// those with the fewest crashes.
    pub fn drop_old(&mut self, now: Timestamp) {
        self.records
            .retain(|_, known| now.since(known.seen_at) < CRASH_RETENTION);
        self.crash_times
            .retain(|_, at| now.since(*at) < CRASH_RETENTION);
        self.fatal
            .retain(|digest| self.records.contains_key(digest));
        drop_lowest(&mut self.records, MAX_RECORDS, |known| {
            (known.record.crashes.len(), known.seen_at)
        });
        while self.crash_times.len() > MAX_CRASH_TIMES {
            let oldest = self.crash_times.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(incarnation, _)| *incarnation);
            oldest.map(|incarnation| self.crash_times.remove(&incarnation));
        }
    }
}

/// Removes the records with the lowest ranks until `max_records` are left.
fn drop_lowest<R: Ord>(
    records: &mut HashMap<CallDigest, KnownRecord>,
    max_records: usize,
    rank: impl Fn(&KnownRecord) -> R,
) {
    if records.len() <= max_records {
        return;
    }
    let mut ranked: Vec<(R, CallDigest)> = records
        .iter()
        .map(|(digest, known)| (rank(known), *digest))
        .collect();
    ranked.sort();
    for (_, digest) in ranked.iter().take(records.len() - max_records) {
        records.remove(digest);
    }
}
