//! Decides when a request that is refused runs all the same, to find out whether servers crash
//! under it.
//!
//! Pure: no I/O. Load pattern: callers go on at all entries, while a few of their requests show
//! whether servers were fixed, or whether a suspected part is the cause. The entries agree by
//! their order alone, so that one after the other tries.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gateway::crash_ledger::CallSafety;
use crate::gateway::crash_verdict::FatalGroup;
use crate::quantity::Timestamp;

/// How long after the last crash a request with a fatal feature is let through again, to find
/// out whether servers were fixed. The time doubles with each one that crashes its server.
const FIRST_TRIAL_AFTER: Duration = Duration::from_secs(60);
/// The most times that it doubles.
const MAX_DOUBLINGS: u32 = 6;
/// The time to the next such request after one that a server survived.
const NEXT_TRIAL_AFTER: Duration = Duration::from_secs(1);
/// How long after the last crash the first of all entries lets a request with a suspected part
/// through at least.
const MIN_SUSPECT_PAUSE: Duration = Duration::from_secs(1);
/// The same at most: the part may be innocent, and all requests with it are refused meanwhile.
/// Requests that crash servers later than that may run at once.
const MAX_SUSPECT_PAUSE: Duration = Duration::from_secs(5);
/// Between these bounds, the pause as a multiple of the time that servers usually take to
/// crash: the end of one request is known before the next one runs.
const PAUSE_PER_RUN: u32 = 2;
/// How many further entries wait for those before them to know an end. The rest are seldom the
/// first that get a request with the part, and each waits [`MIN_SUSPECT_PAUSE`] longer.
const SPACED_ENTRIES: u32 = 8;

/// What is known of a group of features whose requests are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialCase {
    /// Whether the group is fatal or suspected.
    pub safety: CallSafety,
    /// When this entry last learned of a crash.
    pub crashed_at: Timestamp,
    /// The survivors that are known.
    pub survivors: usize,
    /// How long servers usually run a request of the group until they crash.
    pub usual_run: Duration,
}

impl TrialCase {
    /// Returns how long after a crash the first request with a suspected part runs.
    fn suspect_pause(&self, rank: usize) -> Duration {
        let pause = self.usual_run * PAUSE_PER_RUN;
        let pause = pause.clamp(MIN_SUSPECT_PAUSE, MAX_SUSPECT_PAUSE);
        let rank = rank as u32;
        let spaced = rank.min(SPACED_ENTRIES);
        // Each crash doubles the pause of its entry. Odd multiples stay different then.
        pause * (2 * spaced + 1) + MIN_SUSPECT_PAUSE * (rank - spaced)
    }

    /// Returns how long after a crash the first request runs, at the entry with this place
    /// among all, or `None` if none does. The first entry alone tries what is fatal.
    fn first_pause(&self, rank: usize) -> Option<Duration> {
        match self.safety {
            CallSafety::Suspected => Some(self.suspect_pause(rank)),
            CallSafety::Fatal if rank == 0 => Some(FIRST_TRIAL_AFTER),
            CallSafety::Fatal | CallSafety::Harmless => None,
        }
    }
}

/// The requests of a group that this entry let through.
#[derive(Clone, Copy, Debug)]
struct PastTrial {
    started_at: Timestamp,
    count: u32,
    /// The survivors that were known before the last one.
    survivors: usize,
}

/// The requests that this entry let through, by group.
#[derive(Clone, Debug, Default)]
pub struct CrashTrials {
    past: BTreeMap<FatalGroup, PastTrial>,
}

impl CrashTrials {
    /// Returns whether a request runs although its group is refused. If so, records it.
    pub fn begin(
        &mut self,
        now: Timestamp,
        group: &FatalGroup,
        case: TrialCase,
        rank: usize,
    ) -> bool {
        let Some(first_pause) = case.first_pause(rank) else {
            return false;
        };
        let past = self.past.get(group).copied();
        let due_at = match past {
            None => case.crashed_at.after(first_pause),
            Some(past) if case.survivors > past.survivors => {
                past.started_at.after(NEXT_TRIAL_AFTER)
            }
            Some(past) => {
                let pause = first_pause * 2_u32.pow(past.count.min(MAX_DOUBLINGS));
                past.started_at.max(case.crashed_at).after(pause)
            }
        };
        if now < due_at {
            return false;
        }
        let trial = PastTrial {
            started_at: now,
            count: past.map_or(1, |past| past.count + 1),
            survivors: case.survivors,
        };
        self.past.insert(group.clone(), trial);
        true
    }

    /// Forgets the requests of all groups but some.
    pub fn retain(&mut self, is_kept: impl Fn(&FatalGroup) -> bool) {
        self.past.retain(|group, _| is_kept(group));
    }
}
