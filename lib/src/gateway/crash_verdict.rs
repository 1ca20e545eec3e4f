//! Finds the fatal requests: those that crash the backend servers that run
//! them.
//!
//! Pure: no I/O. An entry observes that an incarnation of a server crashed
//! while certain requests ran on it. One of them may be the cause, or none. A
//! request is found fatal if
//! - servers crash under it, and no other fatal request explains these crashes,
//! - they crash sooner after it started than is likely by chance, and
//! - hardly any server survives it.
//!
//! Load pattern: callers repeat one request at all entries, next to many
//! requests that run once. Each of the many is interrupted as often as it
//! shares a server with the repeated one. A popular request runs at every crash
//! of a series that no request causes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::gateway::call_digest::CallDigest;
use crate::quantity::Timestamp;

/// The fewest crashes after which a request may be found fatal. The operators'
/// requirement counts from the third crash on.
pub const MIN_CRASHES: usize = 3;
/// The fewest crashes after which a request is fatal, however likely each crash
/// is by chance, unless servers survive the request.
const CERTAIN_CRASHES: usize = 5;
/// The lowest assumed probability per second that a server crashes for another
/// reason. 1 in 50 is above the rate in any hour of a bad day.
const MIN_HAZARD_PER_S: f64 = 0.02;
/// The shortest run that counts: a crash shows no sooner than a few tokens
/// after the request started.
const MIN_RUN: Duration = Duration::from_millis(50);
/// How much less likely the crashes under a request must be by chance than if
/// the request causes them, as a natural logarithm. Three crashes within 0.1 s
/// each reach this while one server in eleven crashes each second; three within
/// 0.7 s never do. Lower values refuse more requests that only ran during
/// unrelated crashes: 10 without `UNOBSERVED_CRASHES` refuses 3 of 57,632 at 40
/// crashes per simulated day, instead of 1.
const MIN_SCORE: f64 = 14.0;
/// How many crashes one surviving server outweighs. A truncated response of
/// unknown length looks complete, so one survivor proves nothing against many
/// crashes.
const CRASHES_PER_SURVIVOR: usize = 4;
/// How many unobserved crashes are added to the observed ones to estimate the
/// hazard. Entries observe a crash only by the requests that run on the server.
const UNOBSERVED_CRASHES: usize = 2;
/// How long before the first and after the last crash under a request other
/// crashes count towards the hazard.
const HAZARD_MARGIN: Duration = Duration::from_millis(1_500);

/// The digest of an incarnation of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IncarnationDigest(pub u64);

/// What is known about a request under which servers crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashRecord {
    /// The incarnations that crashed while it ran on them, and how long it had
    /// run.
    pub crashes: BTreeMap<IncarnationDigest, Duration>,
    /// How many servers completed it.
    pub survivors: usize,
}

impl CrashRecord {
    /// Returns whether enough servers survived the request to rule it out as
    /// the cause.
    fn is_cleared(&self) -> bool {
        self.survivors * CRASHES_PER_SURVIVOR >= self.crashes.len() && self.survivors > 0
    }
}

/// When incarnations of servers crashed.
pub type CrashTimes = BTreeMap<IncarnationDigest, Timestamp>;

/// Returns the fatal requests. `server_count` is the number of servers that may
/// crash.
pub fn find_fatal<'a>(
    records: impl Iterator<Item = (CallDigest, &'a CrashRecord)>,
    crash_times: &CrashTimes,
    server_count: usize,
) -> BTreeSet<CallDigest> {
    let candidates = records.filter(|(_, record)| record.crashes.len() >= MIN_CRASHES);
    let suspects = candidates.filter(|(_, record)| !record.is_cleared());
    let mut suspects: Vec<_> = suspects
        .map(|(digest, record)| (score(record, crash_times, server_count), digest, record))
        .collect();
    // The most likely cause comes first, so that requests that ran beside it
    // are not blamed for the crashes that it explains.
    suspects.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    let mut explained = BTreeSet::new();
    let mut fatal = BTreeSet::new();
    for (score, digest, record) in suspects {
        let incarnations = record.crashes.keys().copied();
        let unexplained: Vec<IncarnationDigest> = incarnations
            .filter(|incarnation| !explained.contains(incarnation))
            .collect();
        let is_likely = score >= MIN_SCORE && unexplained.len() >= MIN_CRASHES;
        if is_likely || unexplained.len() >= CERTAIN_CRASHES {
            fatal.insert(digest);
            explained.extend(unexplained);
        }
    }
    fatal
}

/// Returns how much less likely the crashes under a request are by chance than
/// if the request causes them, as a natural logarithm.
fn score(record: &CrashRecord, crash_times: &CrashTimes, server_count: usize) -> f64 {
    let hazard = background_hazard(record, crash_times, server_count);
    let chances = record.crashes.values().map(|ran| {
        let run_seconds = ran.max(&MIN_RUN).as_secs_f64();
        (hazard * run_seconds).min(1.0)
    });
    chances.map(|chance| -chance.ln()).sum()
}

/// Returns the crashes per second and server that happened without the request,
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
    let window_start = Timestamp(first.0.saturating_sub(HAZARD_MARGIN.as_micros() as u64));
    let window_end = last.after(HAZARD_MARGIN);
    let other_crashes = crash_times
        .iter()
        .filter(|(incarnation, at)| {
            (window_start..=window_end).contains(at) && !record.crashes.contains_key(incarnation)
        })
        .count();
    let server_seconds = window_end.since(window_start).as_secs_f64() * server_count.max(1) as f64;
    ((other_crashes + UNOBSERVED_CRASHES) as f64 / server_seconds).max(MIN_HAZARD_PER_S)
}
