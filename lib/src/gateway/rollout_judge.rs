//! Judges a new version by comparing its answers with those of the old version on the
//! same routes at the same time.
//!
//! Pure logic: no I/O and no clock. The load pattern is a roll-out in the middle of other
//! trouble: bursts, crashes and servers of either version that fail alone. Trouble that
//! hits both versions raises the control too. What fails at one group of servers only is
//! no fault of the version. For each class of routes and each kind of bad answer there is
//! a sequential test: a sum that rises with each bad answer and falls with each good one,
//! never below 0, so that a fault that begins late is found as soon as an early one.

use std::fmt;

use crate::gateway::rollout_evidence::AnswerCounts;
use crate::gateway::rollout_evidence::PACE_RANGES;
use crate::gateway::rollout_evidence::ROUTE_CLASSES;
use crate::gateway::rollout_evidence::RolloutEvidence;
use crate::gateway::rollout_evidence::RouteClass;
use crate::gateway::rollout_evidence::SERVER_GROUPS;
use crate::gateway::rollout_evidence::VersionSide;

/// The sum at which a version is bad: a chance of about one in a hundred thousand for a
/// sum that begins at 0.
const BAD_SUM: f64 = 12.0;
/// The sum from which a version is not good either.
const DOUBTFUL_SUM: f64 = 6.0;
/// The answers that a good version must have given in all.
const MIN_ANSWERS: u32 = 60;
/// The answers that it must have given in each class of routes that matters.
const MIN_CLASS_ANSWERS: u32 = 15;
/// A class matters if it has at least this share of the answers of old servers.
const MIN_CLASS_SHARE: f64 = 0.05;
/// The largest sum, so that a server that failed alone is forgotten in time.
const MAX_SUM: f64 = 2.0 * BAD_SUM;
/// The part of the long control that is kept from one comparison to the next. With four
/// comparisons a second it covers the last ten seconds or so.
const LONG_KEPT: f64 = 0.975;
/// The same for the short control, which covers about the last half second. It notices
/// trouble of both versions as soon as the new answers do.
const SHORT_KEPT: f64 = 0.5;
/// The answers of old servers that make a control.
const MIN_CONTROL_ANSWERS: f64 = 50.0;
/// The part of the answers of groups of servers that is kept from one comparison to the
/// next, so that a late fault is seen at them as soon as in all answers.
const GROUPS_KEPT: f64 = 0.99;
/// The errors of the estimate by which all groups but the worst have to exceed the
/// control, if more than one answers. Otherwise the worst one is blamed alone.
const GROUP_ERRORS: f64 = 2.0;
/// An answer is slow if its time is at least this many ranges above the median of the
/// control: 1.4 to 2 times as long.
const SLOW_RANGES: usize = 2;
/// The tests: one for each class of routes, and one for all together, which finds a fault
/// of all routes with fewer answers.
const TESTS: usize = ROUTE_CLASSES + 1;

/// A kind of bad answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadKind {
    /// Answers fail.
    Failing,
    /// Answers are much slower than usual.
    Slow,
}

impl BadKind {
    /// Every kind.
    pub const ALL: [Self; 2] = [Self::Failing, Self::Slow];

    /// The least share of bad answers that a sound version is assumed to give.
    fn least_share(self) -> f64 {
        match self {
            Self::Failing => 0.005,
            Self::Slow => 0.02,
        }
    }

    /// The share of bad answers beyond the control that makes a version bad.
    fn margin(self) -> f64 {
        match self {
            Self::Failing => 0.04,
            Self::Slow => 0.08,
        }
    }
}

impl fmt::Display for BadKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Failing => "failing",
            Self::Slow => "slow",
        })
    }
}

/// What the answers say of a new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutVerdict {
    /// Too few answers, or doubtful ones.
    Undecided,
    /// Enough answers, as good as those of the old version.
    Good,
    /// Worse than the old version.
    Bad(BadKind),
}

/// Numbers of answers and of bad ones.
#[derive(Clone, Copy, Debug, Default)]
struct BadCounts {
    answers: f64,
    bad: [f64; BadKind::ALL.len()],
}

impl BadCounts {
    /// Counts bad answers. Answers of the range `slow_from` or above are slow.
    fn of(counts: &AnswerCounts, slow_from: usize) -> Self {
        let slow = counts.paces.iter().skip(slow_from);
        Self {
            answers: f64::from(counts.answers),
            bad: [
                f64::from(counts.failed),
                slow.map(|count| f64::from(*count)).sum(),
            ],
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            answers: self.answers + other.answers,
            bad: [self.bad[0] + other.bad[0], self.bad[1] + other.bad[1]],
        }
    }

    fn times(self, factor: f64) -> Self {
        Self {
            answers: self.answers * factor,
            bad: self.bad.map(|bad| bad * factor),
        }
    }

    fn bad(&self, kind: BadKind) -> f64 {
        self.bad[kind as usize]
    }

    fn share(&self, kind: BadKind) -> f64 {
        self.bad(kind) / self.answers.max(1.0)
    }
}

/// The recent answers of old servers.
#[derive(Clone, Copy, Debug, Default)]
struct ControlCounts {
    long: BadCounts,
    short: BadCounts,
}

impl ControlCounts {
    /// Adds answers. Without any the last known control stays: old servers get none while
    /// all traffic moves.
    fn note(&mut self, added: BadCounts) {
        if added.answers > 0.0 {
            self.long = self.long.times(LONG_KEPT).plus(added);
            self.short = self.short.times(SHORT_KEPT).plus(added);
        }
    }

    fn is_known(&self) -> bool {
        self.long.answers >= MIN_CONTROL_ANSWERS
    }

    /// Returns the share of bad answers that a sound version may give now: that of the
    /// long control with one error of its estimate, or that of the short one.
    fn share(&self, kind: BadKind) -> f64 {
        let long = self.long.share(kind);
        let error = (long * (1.0 - long) / self.long.answers.max(1.0)).max(0.0);
        let long = long + error.sqrt();
        long.max(self.short.share(kind)).max(kind.least_share())
    }
}

/// The paces of recent answers of old servers on one class of routes.
#[derive(Clone, Copy, Debug, Default)]
struct PaceControl([f64; PACE_RANGES]);

impl PaceControl {
    fn note(&mut self, counts: &AnswerCounts) {
        if counts.answers > 0 {
            for (kept, added) in self.0.iter_mut().zip(counts.paces) {
                *kept = *kept * LONG_KEPT + f64::from(added);
            }
        }
    }

    /// Returns the first range whose answers are slow.
    fn slow_from(&self) -> usize {
        let half = self.0.iter().sum::<f64>() / 2.0;
        let mut below = 0.0;
        let median = self.0.iter().position(|count| {
            below += count;
            below >= half
        });
        median.unwrap_or(PACE_RANGES) + SLOW_RANGES
    }
}

/// Compares the versions of one roll-out.
#[derive(Clone, Debug, Default)]
pub struct RolloutJudge {
    seen: RolloutEvidence,
    paces: [PaceControl; ROUTE_CLASSES],
    controls: [ControlCounts; TESTS],
    sums: [[f64; BadKind::ALL.len()]; TESTS],
    /// The bad answers of each group of new servers.
    groups: [BadCounts; SERVER_GROUPS],
    bad: Option<BadKind>,
}

impl RolloutJudge {
    /// Returns a judge that has seen nothing. The first evidence that it gets may be that
    /// of a roll-out in progress.
    pub fn new() -> Self {
        Self::default()
    }

    /// Compares what was counted since the last call. `total` is the evidence of all
    /// entries. Returns the verdict; a bad one stays.
    pub fn judge(&mut self, total: &RolloutEvidence) -> RolloutVerdict {
        let added = total.since(&self.seen);
        self.seen = *total;
        self.add_answers(&added);
        let find = |kind: &BadKind| self.highest_sum(*kind) >= BAD_SUM && self.is_spread(*kind);
        self.bad = self.bad.or_else(|| BadKind::ALL.into_iter().find(find));
        match self.bad {
            Some(kind) => RolloutVerdict::Bad(kind),
            None if self.is_proved() => RolloutVerdict::Good,
            None => RolloutVerdict::Undecided,
        }
    }

    /// Returns the highest sum of the tests for one kind of bad answers.
    pub fn highest_sum(&self, kind: BadKind) -> f64 {
        let sums = self.sums.iter().map(|sums| sums[kind as usize]);
        sums.fold(0.0, f64::max)
    }

    fn add_answers(&mut self, added: &RolloutEvidence) {
        let mut old = [BadCounts::default(); TESTS];
        let mut new = [BadCounts::default(); TESTS];
        let mut slowest = PACE_RANGES;
        for (index, class) in RouteClass::all().enumerate() {
            let counts = added.of_class(VersionSide::Old, class);
            self.paces[index].note(&counts);
            let slow_from = self.paces[index].slow_from();
            slowest = slowest.min(slow_from);
            old[index] = BadCounts::of(&counts, slow_from);
            let counts = added.of_class(VersionSide::New, class);
            new[index] = BadCounts::of(&counts, slow_from);
            old[ROUTE_CLASSES] = old[ROUTE_CLASSES].plus(old[index]);
            new[ROUTE_CLASSES] = new[ROUTE_CLASSES].plus(new[index]);
        }
        for (control, old) in self.controls.iter_mut().zip(old) {
            control.note(old);
        }
        for (group, counts) in self.groups.iter_mut().zip(added.groups()) {
            *group = group
                .times(GROUPS_KEPT)
                .plus(BadCounts::of(counts, slowest));
        }
        let pooled = self.controls[ROUTE_CLASSES];
        if !pooled.is_known() {
            return;
        }
        for (index, sums) in self.sums.iter_mut().enumerate() {
            let own = self.controls[index];
            let control = if own.is_known() { own } else { pooled };
            for kind in BadKind::ALL {
                let sum = &mut sums[kind as usize];
                *sum += log_likelihood(kind, &new[index], &control);
                *sum = sum.clamp(0.0, MAX_SUM);
            }
        }
    }

    /// Returns whether bad answers are no fault of one group of servers alone, if more
    /// than one group answers: the others exceed the control too.
    fn is_spread(&self, kind: BadKind) -> bool {
        let usual = self.controls[ROUTE_CLASSES].share(kind);
        let excess = |group: &BadCounts| group.bad(kind) - usual * group.answers;
        let mut groups: Vec<&BadCounts> = self
            .groups
            .iter()
            .filter(|group| group.answers > 0.0)
            .collect();
        groups.sort_by(|a, b| excess(a).total_cmp(&excess(b)));
        let Some((_, others @ [_, ..])) = groups.split_last() else {
            return true;
        };
        let others = others.iter().copied().copied();
        let others = others.fold(BadCounts::default(), BadCounts::plus);
        let expected = usual * others.answers;
        others.bad(kind) > expected + GROUP_ERRORS * (expected + 1.0).sqrt()
    }

    fn is_proved(&self) -> bool {
        let old_answers = f64::from(self.seen.answers(VersionSide::Old));
        let has_answers = |class: RouteClass| {
            let old = self.seen.of_class(VersionSide::Old, class).answers;
            let new = self.seen.of_class(VersionSide::New, class).answers;
            f64::from(old) < old_answers * MIN_CLASS_SHARE || new >= MIN_CLASS_ANSWERS
        };
        let is_doubtful =
            |kind: BadKind| self.highest_sum(kind) >= DOUBTFUL_SUM && self.is_spread(kind);
        self.seen.answers(VersionSide::New) >= MIN_ANSWERS
            && RouteClass::all().all(has_answers)
            && !BadKind::ALL.into_iter().any(is_doubtful)
    }
}

/// Returns by how much answers are likelier for a bad version than for one as good as the
/// control, as a logarithm.
fn log_likelihood(kind: BadKind, counts: &BadCounts, control: &ControlCounts) -> f64 {
    let sound = control.share(kind).min(0.9);
    let faulty = (sound + kind.margin()).min(0.95);
    let bad = counts.bad(kind);
    let good = counts.answers - bad;
    bad * (faulty / sound).ln() + good * ((1.0 - faulty) / (1.0 - sound)).ln()
}
