//! Records crashes of backend servers, and the features of requests that ran on them.
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
use crate::gateway::call_feature::CallFeature;
use crate::gateway::call_feature::CallFeatures;
use crate::gateway::crash_trials::CrashTrials;
use crate::gateway::crash_trials::TrialCase;
use crate::gateway::crash_verdict::CrashRecord;
use crate::gateway::crash_verdict::CrashTimes;
use crate::gateway::crash_verdict::CrashVerdict;
use crate::gateway::crash_verdict::FatalGroup;
use crate::gateway::crash_verdict::IncarnationDigest;
use crate::gateway::crash_verdict::MIN_CRASHES;
use crate::gateway::crash_verdict::SurvivorTag;
use crate::gateway::crash_verdict::judge_crashes;
use crate::quantity::Timestamp;

mod crash_reports;

pub use crash_reports::CrashReport;

/// How long a feature under which servers crashed is remembered after a request with it last
/// ran or arrived. Operators deploy fixed servers within this time. A caller
/// that repeats the request after it is forgotten crashes three servers at most
/// before it is refused again.
pub const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// The most features that are remembered. It suffices for the requests that run
/// during a few hundred crashes.
const MAX_RECORDS: usize = 1_024;
/// The most crashes that are remembered of one feature.
const MAX_CRASHES_PER_FEATURE: usize = 12;
/// The most survivors that are counted of one feature. This many outweigh all
/// its crashes twice, and entries then need not gossip about a popular
/// one any more.
const MAX_SURVIVORS_PER_FEATURE: usize = 8;
/// The most runs of requests without a part that are counted for it.
const MAX_CONTRASTS_PER_FEATURE: usize = 4;
/// The most crash times that are remembered, over all features.
const MAX_CRASH_TIMES: usize = 1_024;
/// The most features of completed requests that are remembered: a few of each request of
/// about 10 s of an entry's load. Popular ones repeat within that time.
const MAX_COMPLETED: usize = 8_192;
/// A repeated rest counts like the run that it repeats, if that one took at least one part in
/// this many of the usual time to a crash. A shorter one was cut off by something else.
const REPEAT_DIVISOR: u32 = 2;
/// How many responses that only the end of a connection ended count as one survivor: a crash
/// may have truncated each of them.
const UNSURE_PER_SURVIVOR: usize = 8;
/// A crash sooner after a request started is reported to other entries at once, so that a
/// fatal feature is known before its next requests arrive.
const SUSPICIOUS_RUN: Duration = Duration::from_millis(250);
/// After this many crashes under a part that no server has survived, requests with it get no
/// second server. Each retry would cost a server before the part is known to be fatal.
const CRASHES_BEFORE_LAST_RETRY: usize = 3;
/// The same if all of them came sooner than `SUSPICIOUS_RUN`.
const QUICK_CRASHES_BEFORE_LAST_RETRY: usize = 2;
/// After this many crashes under a part, each further one is reported to other entries at once.
const CRASHES_OF_SERIES: usize = 2;
/// The shortest time between two such reports. Crashes in between wait for the next gossip
/// round: hundreds of servers may crash together.
const URGENT_INTERVAL: Duration = Duration::from_millis(500);
/// The shortest time that a server takes to restart. A request that reaches it
/// sooner after a crash uses a connection to the old incarnation.
const MIN_RESTART_TIME: Duration = Duration::from_millis(500);
/// How long an entry repeats what it observed itself, in case a message is
/// lost: four rounds.
const REPORT_REPEAT_TIME: Duration = Duration::from_secs(1);
#[derive(Clone, Debug)]
struct KnownRecord {
    record: CrashRecord,
    seen_at: Timestamp,
    changed_at: Timestamp,
    /// When this entry last observed a crash or a survivor itself.
    observed_at: Option<Timestamp>,
    /// When this entry last learned of a crash.
    crashed_at: Timestamp,
    /// Completed requests that make no survivor yet.
    unsure: usize,
}

/// Whether a request may run, by the crashes that are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallSafety {
    /// No crash speaks against it.
    Harmless,
    /// Servers may crash under it. Single ones run.
    Suspected,
    /// Servers crash under it.
    Fatal,
}

/// A group of features that was newly found fatal or suspected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FoundGroup {
    /// The features.
    pub group: FatalGroup,
    /// What was found.
    pub safety: CallSafety,
    /// What is known of one of them.
    pub record: CrashRecord,
}

/// How a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseEnd {
    /// By its length, or a last chunk.
    Marked,
    /// By the end of its connection, as a truncated one does.
    Unsure,
}

/// How much of a request a server ran until its response was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunExtent {
    Whole,
    /// What another server had left of a stream, for this long.
    Rest(Duration),
    /// The same rest, for this long, as a server before it that was interrupted.
    RepeatedRest {
        ran: Duration,
        interrupted_after: Duration,
    },
}

impl RunExtent {
    /// Returns whether the run shows that a server survives what others crashed under. The rest
    /// of a stream may be complete before the time at which they did.
    fn outlasts_crashes(self, record: Option<&CrashRecord>) -> bool {
        let usual_run = record.and_then(CrashRecord::usual_run);
        match self {
            Self::Whole => true,
            Self::Rest(ran) => usual_run.is_some_and(|usual| ran >= usual),
            Self::RepeatedRest {
                ran,
                interrupted_after,
            } => usual_run
                .is_none_or(|usual| ran >= usual || interrupted_after >= usual / REPEAT_DIVISOR),
        }
    }
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
    records: HashMap<CallFeature, KnownRecord>,
    crash_times: CrashTimes,
    completed: HashMap<CallFeature, usize>,
    completed_order: VecDeque<CallFeature>,
    verdict: CrashVerdict,
    trials: CrashTrials,
    urgent_report_at: Option<Timestamp>,
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

    /// Returns whether a request is known to crash the servers that run it, or may do so. If
    /// so, records that it arrived.
    pub fn judge(&mut self, now: Timestamp, features: &CallFeatures) -> CallSafety {
        let Some((group, safety)) = matching_group(&self.verdict, features) else {
            return CallSafety::Harmless;
        };
        for feature in group {
            if let Some(known) = self.records.get_mut(feature) {
                known.seen_at = known.seen_at.max(now);
            }
        }
        safety
    }

    /// Returns whether a request is refused, unless it runs as a trial.
    pub fn refuses(&mut self, now: Timestamp, features: &CallFeatures) -> bool {
        self.judge(now, features) != CallSafety::Harmless
    }

    /// Returns whether a request must not run again at another server after its server may have
    /// crashed: a part of its prompt may become fatal with the next crashes.
    pub fn forbids_retry(&self, features: &CallFeatures) -> bool {
        let mut known = features.iter().filter_map(|feature| match feature {
            CallFeature::Request(_) => None,
            CallFeature::Part(_) => self.records.get(&feature),
        });
        known.any(|known| {
            let crashes = &known.record.crashes;
            let is_quick = crashes.values().all(|ran| *ran <= SUSPICIOUS_RUN);
            let max_crashes = match is_quick {
                true => QUICK_CRASHES_BEFORE_LAST_RETRY,
                false => CRASHES_BEFORE_LAST_RETRY,
            };
            crashes.len() >= max_crashes && !known.record.is_cleared()
        })
    }

    /// Returns whether a request that is refused may run all the same, to find out whether
    /// servers crash under it. If so, records that it runs. `rank` is the place of this entry
    /// among all.
    pub fn begin_trial(&mut self, now: Timestamp, features: &CallFeatures, rank: usize) -> bool {
        let Some((group, safety)) = matching_group(&self.verdict, features) else {
            return false;
        };
        let known = group.iter().filter_map(|feature| self.records.get(feature));
        let crashed_at = known.clone().map(|known| known.crashed_at).max();
        let survivors = known
            .clone()
            .map(|known| known.record.survivors.len())
            .min();
        let usual_run = known.filter_map(|known| known.record.usual_run()).max();
        let Some(crashed_at) = crashed_at else {
            return false;
        };
        let case = TrialCase {
            safety,
            crashed_at,
            survivors: survivors.unwrap_or(0),
            usual_run: usual_run.unwrap_or_default(),
        };
        self.trials.begin(now, group, case, rank)
    }

    /// Returns what is refused.
    pub fn fatal_groups(&self) -> &BTreeSet<FatalGroup> {
        &self.verdict.fatal
    }

    /// Returns the groups of parts of which single requests run.
    pub fn suspected_groups(&self) -> &BTreeSet<FatalGroup> {
        &self.verdict.suspected
    }

    /// Records that a server crashed while a request ran on it, or waited there, since
    /// `started_at`. Returns whether this is new.
    pub fn note_crash(
        &mut self,
        now: Timestamp,
        features: &CallFeatures,
        id: &BackendId,
        started_at: Timestamp,
    ) -> bool {
        let ran = now.since(started_at);
        let Some(incarnation) = self.incarnation_at(id, started_at) else {
            return false;
        };
        self.crash_times.entry(incarnation).or_insert(now);
        let record = CrashRecord {
            crashes: [(incarnation, ran)].into(),
            survivors: BTreeSet::new(),
            companions: features.tags(),
            contrasts: BTreeSet::new(),
        };
        let mut changed = false;
        for feature in features.iter() {
            changed |= self.merge(now, feature, &record, now);
            if let Some(known) = self.records.get_mut(&feature) {
                known.observed_at = Some(now);
            }
        }
        changed
    }

    /// Returns whether a crash that interrupted a request started at `started_at` is reported to
    /// other entries at once. If so, the next ones have to wait.
    pub fn claim_urgent_report(
        &mut self,
        now: Timestamp,
        features: &CallFeatures,
        started_at: Timestamp,
    ) -> bool {
        let is_suspicious = now.since(started_at) <= SUSPICIOUS_RUN || self.is_in_series(features);
        let last = self.urgent_report_at;
        let is_due = last.is_none_or(|at| now.since(at) >= URGENT_INTERVAL);
        if is_suspicious && is_due {
            self.urgent_report_at = Some(now);
        }
        is_suspicious && is_due
    }

    /// Returns whether several servers crashed under a part of a request and none survived it.
    fn is_in_series(&self, features: &CallFeatures) -> bool {
        let known = features.iter().filter_map(|feature| match feature {
            CallFeature::Request(_) => None,
            CallFeature::Part(_) => self.records.get(&feature),
        });
        let mut records = known.map(|known| &known.record);
        records.any(|record| record.crashes.len() >= CRASHES_OF_SERIES && !record.is_cleared())
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

    /// Returns whether an incarnation is known to have crashed.
    pub fn knows_crash(&self, id: &BackendId) -> bool {
        self.crashed_at(id).is_some()
    }

    /// Returns when this entry last learned that a server crashed.
    pub fn last_crash_at(&self) -> Option<Timestamp> {
        self.crash_times.values().max().copied()
    }

    /// Returns when this entry learned that an incarnation crashed.
    pub fn crashed_at(&self, id: &BackendId) -> Option<Timestamp> {
        self.crash_times.get(&incarnation_digest(id)).copied()
    }

    /// Returns whether servers are known to have crashed under the same request.
    pub fn has_crashes(&self, features: &CallFeatures) -> bool {
        let request = features.whole_request();
        let mut known = request.iter();
        known.any(|feature| self.records.contains_key(&feature))
    }

    /// Records that a server completed a request, or the rest of one, and did not crash. Returns
    /// whether this may change which requests are refused.
    pub fn note_completed(
        &mut self,
        now: Timestamp,
        features: &CallFeatures,
        end: ResponseEnd,
        extent: RunExtent,
    ) -> bool {
        let mut may_clear = false;
        for feature in features.iter() {
            let known = self.records.get(&feature);
            if extent.outlasts_crashes(known.map(|known| &known.record)) {
                may_clear |= self.note_survivor(now, feature, end);
            }
        }
        match end {
            ResponseEnd::Marked => may_clear | self.note_contrasts(now, features, extent),
            ResponseEnd::Unsure => may_clear,
        }
    }

    /// Counts a request that a server survived for the parts that it lacks. Returns whether this
    /// may change which requests are refused.
    fn note_contrasts(
        &mut self,
        now: Timestamp,
        features: &CallFeatures,
        extent: RunExtent,
    ) -> bool {
        let mut may_change = false;
        for (feature, known) in &mut self.records {
            let CallFeature::Part(part) = feature else {
                continue;
            };
            let is_full = known.record.contrasts.len() >= MAX_CONTRASTS_PER_FEATURE;
            if is_full || known.record.crashes.len() < CRASHES_OF_SERIES || !features.lacks(part) {
                continue;
            }
            if !extent.outlasts_crashes(Some(&known.record)) {
                continue;
            }
            known.record.contrasts.insert(SurvivorTag(rand::random()));
            known.changed_at = now;
            known.observed_at = Some(now);
            may_change |= known.record.crashes.len() >= MIN_CRASHES;
        }
        may_change
    }

    fn note_survivor(&mut self, now: Timestamp, feature: CallFeature, end: ResponseEnd) -> bool {
        if end == ResponseEnd::Marked {
            *self.completed.entry(feature).or_insert(0) += 1;
            self.completed_order.push_back(feature);
            if self.completed_order.len() > MAX_COMPLETED {
                self.forget_oldest_completed();
            }
        }
        let Some(known) = self.records.get_mut(&feature) else {
            return false;
        };
        if known.record.survivors.len() >= MAX_SURVIVORS_PER_FEATURE {
            return false;
        }
        if end == ResponseEnd::Unsure {
            known.unsure += 1;
            if known.unsure < UNSURE_PER_SURVIVOR {
                return false;
            }
            known.unsure = 0;
        }
        known.record.survivors.insert(SurvivorTag(rand::random()));
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

    /// Recomputes what is fatal or suspected, given the number of servers. Returns what was
    /// neither, or only suspected, before.
    pub fn update_fatal(&mut self, server_count: usize) -> Vec<FoundGroup> {
        let records = self.records.iter();
        let records = records.map(|(feature, known)| (*feature, &known.record));
        let verdict = judge_crashes(records, &self.crash_times, server_count);
        let found = |group: &FatalGroup, safety| {
            Some(FoundGroup {
                group: group.clone(),
                safety,
                record: self.records.get(group.first()?)?.record.clone(),
            })
        };
        let fatal = verdict.fatal.difference(&self.verdict.fatal);
        let suspected = verdict.suspected.difference(&self.verdict.suspected);
        let suspected = suspected.filter(|group| !self.verdict.fatal.contains(*group));
        let newly_found = fatal
            .filter_map(|group| found(group, CallSafety::Fatal))
            .chain(suspected.filter_map(|group| found(group, CallSafety::Suspected)));
        let newly_found = newly_found.collect();
        let is_same = |group: &FatalGroup| {
            let known = &self.verdict;
            verdict.fatal.contains(group) && known.fatal.contains(group)
                || verdict.suspected.contains(group) && known.suspected.contains(group)
        };
        self.trials.retain(is_same);
        self.verdict = verdict;
        newly_found
    }

    /// Removes what is too old. If there are too many records, also removes
    /// those with the fewest crashes.
    pub fn drop_old(&mut self, now: Timestamp) {
        self.records
            .retain(|_, known| now.since(known.seen_at) < CRASH_RETENTION);
        self.crash_times
            .retain(|_, at| now.since(*at) < CRASH_RETENTION);
        let records = &self.records;
        let is_known = |group: &FatalGroup| group.iter().all(|one| records.contains_key(one));
        self.verdict.fatal.retain(is_known);
        self.verdict.suspected.retain(is_known);
        self.trials.retain(is_known);
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

/// Returns a group all of whose features a request has; a fatal one, if there is one.
fn matching_group<'a>(
    verdict: &'a CrashVerdict,
    features: &CallFeatures,
) -> Option<(&'a FatalGroup, CallSafety)> {
    let has_all = |group: &&FatalGroup| group.iter().all(|feature| features.contains(feature));
    let fatal = verdict.fatal.iter().find(has_all);
    let fatal = fatal.map(|group| (group, CallSafety::Fatal));
    fatal.or_else(|| {
        let suspected = verdict.suspected.iter().find(has_all);
        suspected.map(|group| (group, CallSafety::Suspected))
    })
}

/// Removes the records with the lowest ranks until `max_records` are left.
fn drop_lowest<R: Ord>(
    records: &mut HashMap<CallFeature, KnownRecord>,
    max_records: usize,
    rank: impl Fn(&KnownRecord) -> R,
) {
    if records.len() <= max_records {
        return;
    }
    let mut ranked: Vec<(R, CallFeature)> = records
        .iter()
        .map(|(feature, known)| (rank(known), *feature))
        .collect();
    ranked.sort();
    for (_, feature) in ranked.iter().take(records.len() - max_records) {
        records.remove(feature);
    }
}
