//! Finds what is fatal: the features of requests that crash the backend servers that run
//! them.
//!
//! Pure: no I/O. An entry observes that an incarnation of a server crashed
//! while certain requests ran on it. One of them may be the cause, or none. A
//! feature of requests, see [`CallFeature`], is found fatal if
//! - servers crash under requests with it, and no other fatal feature explains these crashes,
//! - they crash sooner after the request started than is likely by chance, and
//! - hardly any server survives a request with it.
//!
//! Features that come together in all of these requests are indistinguishable. Requests are
//! refused that have all of them, so that one that has only some runs and tells them apart.
//!
//! A part of a prompt is fatal only if servers survive requests to its service without it at
//! the same time. Until then, and with fewer crashes, it is suspected: single requests with it
//! run and decide. The time that a run takes is compared with the rate of other crashes and with
//! other runs only, since fast and slow servers take different times to crash.
//!
//! Load pattern: callers repeat one request at all entries, or send requests that share one
//! part of their prompts and nothing else, next to many requests that run once. Each of the
//! many is interrupted as often as it shares a server with the fatal ones. A popular request,
//! or a part that all requests of a service have, runs at every crash of a series that no
//! request causes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::gateway::call_feature::CallFeature;
use crate::gateway::call_feature::FeatureTag;
use crate::quantity::Timestamp;

/// The fewest crashes after which a request may be found fatal. The operators'
/// requirement counts from the third crash on.
pub const MIN_CRASHES: usize = 3;
/// The same for a part of a prompt, where the requirement counts from the fifth crash on.
/// A part that all requests of a service have is present at each of its crashes, so that the
/// rate of crashes without it is not known.
const MIN_PART_CRASHES: usize = 4;
/// The fewest crashes after which a request is fatal, however likely each crash
/// is by chance, unless servers survive the request. A part of a prompt may run at any crash
/// of a service, so this does not hold for parts.
const CERTAIN_CRASHES: usize = 5;
/// The lowest assumed probability per second that a server crashes for another
/// reason. 1 in 50 is above the rate in any hour of a bad day.
const MIN_HAZARD_PER_S: f64 = 0.02;
/// The shortest run that counts: a crash shows no sooner than a few tokens
/// after the request started.
const MIN_RUN: Duration = Duration::from_millis(50);
/// How much less likely the crashes under a feature must be by chance than if
/// it causes them, as a natural logarithm. Three crashes within 0.1 s
/// each reach this while one server in eleven crashes each second; three within
/// 0.7 s never do. Lower values refuse more requests that only ran during
/// unrelated crashes.
const MIN_SCORE: f64 = 14.0;
/// The same for a part of a prompt to be suspected.
const MIN_SUSPECT_SCORE: f64 = 9.0;
/// The fewest crashes under a part that no server survived after which it is suspected, however
/// likely each crash is by chance: runs may be so long that all of them are.
const SUSPICIOUS_CRASHES: usize = 6;
/// How many servers have to survive requests without a part, before the part is fatal.
const MIN_CONTRASTS: usize = 2;
/// A part that a server ran for this many times as long as any server ran the cause is no
/// companion of the cause.
const LONGER_RUN_FACTOR: u32 = 4;
/// How many crashes one surviving server outweighs. A truncated response of
/// unknown length looks complete, so one survivor proves nothing against many
/// crashes.
const CRASHES_PER_SURVIVOR: usize = 4;
/// The share of the crashes under a fatal feature at which another one has to be present to
/// be indistinguishable from it.
const TOGETHER_SHARE: f64 = 0.75;
/// How many unobserved crashes are added to the observed ones to estimate the
/// hazard. Entries observe a crash only by the requests that run on the server.
const UNOBSERVED_CRASHES: usize = 2;
/// How long before the first and after the last crash under a request other
/// crashes count towards the hazard at least: for as long as the longest run.
const HAZARD_MARGIN: Duration = Duration::from_millis(1_500);

/// The digest of an incarnation of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IncarnationDigest(pub u64);

/// Names a run that a server survived. Each entry draws its own, so that those of several
/// entries add up, however often they are reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SurvivorTag(pub u32);

/// What is known about a feature of requests under which servers crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashRecord {
    /// The incarnations that crashed while a request with it ran on them, and for how long
    /// it had run: of several runs of a whole request the shortest, of several requests with
    /// a part the longest.
    pub crashes: BTreeMap<IncarnationDigest, Duration>,
    /// The runs of requests with it that servers survived.
    pub survivors: BTreeSet<SurvivorTag>,
    /// The features of all requests with it under which servers crashed, as far as known.
    pub companions: BTreeSet<FeatureTag>,
    /// The runs that servers survived, since the first crash, of requests to the same service
    /// without it. Empty for a whole request.
    pub contrasts: BTreeSet<SurvivorTag>,
}

impl CrashRecord {
    /// Returns whether enough servers survived to rule out the feature as the cause.
    pub fn is_cleared(&self) -> bool {
        let survivors = self.survivors.len();
        survivors * CRASHES_PER_SURVIVOR >= self.crashes.len() && survivors > 0
    }

    /// Returns whether enough servers survived requests without the feature.
    pub fn has_contrast(&self) -> bool {
        self.contrasts.len() >= MIN_CONTRASTS
    }

    /// Returns the median of the times after which servers crashed.
    pub fn usual_run(&self) -> Option<Duration> {
        let mut runs: Vec<Duration> = self.crashes.values().copied().collect();
        runs.sort_unstable();
        runs.get(runs.len() / 2).copied()
    }

    fn longest_run(&self) -> Duration {
        self.crashes.values().max().copied().unwrap_or_default()
    }

    /// Returns whether servers ran this for so long that the cause would have crashed them.
    fn outlasts(&self, cause: &Self) -> bool {
        self.longest_run() > cause.longest_run().max(MIN_RUN) * LONGER_RUN_FACTOR
    }

    /// Returns whether most crashes of another record are also in this one.
    fn covers(&self, other: &Self) -> bool {
        let crashes = other.crashes.keys();
        let common = crashes.filter(|incarnation| self.crashes.contains_key(incarnation));
        common.count() as f64 >= other.crashes.len() as f64 * TOGETHER_SHARE
    }
}

/// When incarnations of servers crashed.
pub type CrashTimes = BTreeMap<IncarnationDigest, Timestamp>;

/// Features of which a request has to have all to be refused.
pub type FatalGroup = BTreeSet<CallFeature>;

/// What is found out about groups of features.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashVerdict {
    /// Groups that crash servers.
    pub fatal: BTreeSet<FatalGroup>,
    /// Groups of parts that may do so.
    pub suspected: BTreeSet<FatalGroup>,
}

/// A feature that may be fatal.
struct Suspect<'a> {
    score: f64,
    feature: CallFeature,
    record: &'a CrashRecord,
}

/// Returns what is fatal or suspected. `server_count` is the number of servers that may
/// crash.
pub fn judge_crashes<'a>(
    records: impl Iterator<Item = (CallFeature, &'a CrashRecord)>,
    crash_times: &CrashTimes,
    server_count: usize,
) -> CrashVerdict {
    let candidates =
        records.filter(|(feature, record)| record.crashes.len() >= min_crashes(feature));
    let suspects = candidates.filter(|(feature, record)| !is_survived(feature, record));
    let mut suspects: Vec<Suspect<'_>> = suspects
        .map(|(feature, record)| Suspect {
            score: score(record, crash_times, server_count),
            feature,
            record,
        })
        .collect();
    // The most likely cause comes first, so that requests that ran beside it
    // are not blamed for the crashes that it explains.
    suspects.sort_by(|a, b| {
        let by_score = b.score.total_cmp(&a.score);
        by_score.then(a.feature.cmp(&b.feature))
    });
    let mut explained = BTreeSet::new();
    let mut verdict = CrashVerdict::default();
    for suspect in &suspects {
        let incarnations = suspect.record.crashes.keys().copied();
        let unexplained: Vec<IncarnationDigest> = incarnations
            .filter(|incarnation| !explained.contains(incarnation))
            .collect();
        let is_likely = suspect.score >= min_score(&suspect.feature)
            && unexplained.len() >= min_crashes(&suspect.feature);
        let is_certain = match suspect.feature {
            CallFeature::Request(_) => unexplained.len() >= CERTAIN_CRASHES,
            CallFeature::Part(_) => {
                unexplained.len() >= SUSPICIOUS_CRASHES && suspect.record.survivors.is_empty()
            }
        };
        if is_likely || is_certain {
            let cause = most_specific(suspect, &suspects);
            let group = group_of(cause, &suspects);
            match cause.is_proved() || refuses_one_request(&group, cause) {
                true => verdict.fatal.insert(group),
                false => verdict.suspected.insert(group),
            };
            explained.extend(unexplained);
            explained.extend(cause.record.crashes.keys().copied());
        }
    }
    verdict
}

impl CrashVerdict {
    /// Returns whether a feature is in any of the groups.
    pub fn contains(&self, feature: &CallFeature) -> bool {
        let mut groups = self.fatal.iter().chain(&self.suspected);
        groups.any(|group| group.contains(feature))
    }
}

impl Suspect<'_> {
    /// Returns whether requests with this feature need not run to find out more.
    fn is_proved(&self) -> bool {
        match self.feature {
            CallFeature::Request(_) => true,
            CallFeature::Part(_) => self.score >= MIN_SCORE && self.record.has_contrast(),
        }
    }
}

/// Returns whether a group has a whole request, which needs no contrasts whichever of the
/// features that it came with is taken for the cause.
fn refuses_one_request(group: &FatalGroup, cause: &Suspect<'_>) -> bool {
    let mut features = group.iter();
    let has_request = features.any(|feature| matches!(feature, CallFeature::Request(_)));
    has_request && cause.score >= MIN_SCORE
}

/// Returns whether enough servers survived to rule out the feature as the cause. While nothing
/// tells what requests without a part do, one server that survives the part is enough.
fn is_survived(feature: &CallFeature, record: &CrashRecord) -> bool {
    match feature {
        CallFeature::Part(_) if !record.has_contrast() => !record.survivors.is_empty(),
        CallFeature::Part(_) | CallFeature::Request(_) => record.is_cleared(),
    }
}

/// Returns the score at which something is done about a feature.
fn min_score(feature: &CallFeature) -> f64 {
    match feature {
        CallFeature::Request(_) => MIN_SCORE,
        CallFeature::Part(_) => MIN_SUSPECT_SCORE,
    }
}

fn min_crashes(feature: &CallFeature) -> usize {
    match feature {
        CallFeature::Request(_) => MIN_CRASHES,
        CallFeature::Part(_) => MIN_PART_CRASHES,
    }
}

/// Returns the suspect with the most companions of those that were present at the same crashes
/// as `suspect`. A part that all requests of a service have is present wherever another one of
/// their parts crashes a server.
fn most_specific<'a>(suspect: &'a Suspect<'a>, suspects: &'a [Suspect<'a>]) -> &'a Suspect<'a> {
    let same = suspects.iter().filter(|other| {
        other.score >= min_score(&other.feature)
            && other.record.covers(suspect.record)
            && suspect.record.covers(other.record)
    });
    // Of several, the last one is returned, and the most likely one comes first.
    let best = same.rev().max_by_key(|other| other.record.companions.len());
    best.filter(|best| best.record.companions.len() > suspect.record.companions.len())
        .unwrap_or(suspect)
}

/// Returns a suspect and the others that all its requests have, too.
fn group_of(cause: &Suspect<'_>, suspects: &[Suspect<'_>]) -> FatalGroup {
    let companions = suspects.iter().filter(|other| {
        let is_companion = cause.record.companions.contains(&other.feature.tag());
        is_companion && other.record.covers(cause.record) && !other.record.outlasts(cause.record)
    });
    let mut group: FatalGroup = companions.map(|other| other.feature).collect();
    group.insert(cause.feature);
    group
}

/// Returns how much less likely the crashes under a feature are by chance than
/// if it causes them, as a natural logarithm.
fn score(record: &CrashRecord, crash_times: &CrashTimes, server_count: usize) -> f64 {
    let hazard = background_hazard(record, crash_times, server_count);
    let chances = record.crashes.values().map(|ran| {
        let run_seconds = ran.max(&MIN_RUN).as_secs_f64();
        (hazard * run_seconds).min(1.0)
    });
    chances.map(|chance| -chance.ln()).sum()
}

/// Returns the crashes per second and server that happened without the feature,
/// around the time of the crashes under it.
fn background_hazard(record: &CrashRecord, crash_times: &CrashTimes, server_count: usize) -> f64 {
    let own_times = record
        .crashes
        .keys()
        .filter_map(|incarnation| crash_times.get(incarnation));
    let (first, last) = own_times.fold((None::<Timestamp>, Timestamp(0)), |(first, last), at| {
        (
            Some(first.map_or(*at, |first| first.min(*at))),
            last.max(*at),
        )
    });
    let Some(first) = first else {
        return MIN_HAZARD_PER_S;
    };
    let margin = HAZARD_MARGIN.max(record.longest_run());
    let window_start = Timestamp(first.0.saturating_sub(margin.as_micros() as u64));
    let window_end = last.after(margin);
    let other_crashes = crash_times
        .iter()
        .filter(|(incarnation, at)| {
            (window_start..=window_end).contains(at) && !record.crashes.contains_key(incarnation)
        })
        .count();
    let server_seconds = window_end.since(window_start).as_secs_f64() * server_count.max(1) as f64;
    ((other_crashes + UNOBSERVED_CRASHES) as f64 / server_seconds).max(MIN_HAZARD_PER_S)
}
