//! Counts the answers of old and new servers of a service during a roll-out.
//!
//! Pure logic: no I/O and no clock. The load pattern is a version that fails or is slow
//! on one route only, while hundreds of entries each see few of its answers. Every entry
//! counts in a fixed number of classes, so that what it tells others is small, and the
//! counts of all entries add up. Broken connections and requests that were not run do not
//! count: they come from crashes and full servers of any version.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use twox_hash::XxHash64;

use crate::gateway::backend_record::BackendId;
use crate::id::Incarnation;

/// The number of classes of routes. Routes of the same hash share one.
pub const ROUTE_CLASSES: usize = 8;
/// The number of groups of new servers.
pub const SERVER_GROUPS: usize = 8;
/// The number of ranges of paces.
pub const PACE_RANGES: usize = 16;
/// The numbers of one class or group: answers, failures and paces.
const COUNTS: usize = 2 + PACE_RANGES;
/// The numbers in the encoded form of [`RolloutEvidence`].
const ENCODED_NUMBERS: usize = (2 * ROUTE_CLASSES + SERVER_GROUPS) * COUNTS;
/// The most incarnations of entries whose counts are kept. Further ones are ignored.
const MAX_INCARNATIONS: usize = 4_096;
/// The ranges of paces per factor of two.
const RANGES_PER_DOUBLING: f64 = 2.0;
/// The range that begins at the expected time.
const EXPECTED_RANGE: f64 = 10.0;

/// The class of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RouteClass(u8);

impl RouteClass {
    /// Returns the class of the route with a name.
    pub fn of(route: &str) -> Self {
        Self((XxHash64::oneshot(0, route.as_bytes()) % ROUTE_CLASSES as u64) as u8)
    }

    /// Returns every class.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..ROUTE_CLASSES as u8).map(Self)
    }

    fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// The versions that are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionSide {
    /// The servers of other versions, which are the control.
    Old,
    /// The servers of the version that is rolled out.
    New,
}

impl VersionSide {
    /// Returns the name of the side in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Old => "old",
            Self::New => "new",
        }
    }
}

/// The range of the time of an answer relative to the expected time. The expected time
/// covers the length of a prompt, what of it is cached, and the queue. Each range is wider
/// than the one before by the square root of two.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PaceRange(u8);

impl PaceRange {
    /// Returns the range of an answer that took `ratio` times the expected time, or `None`
    /// if that is not a positive number.
    pub fn of(ratio: f64) -> Option<Self> {
        if !(ratio.is_finite() && ratio > 0.0) {
            return None;
        }
        let range = (ratio.log2() * RANGES_PER_DOUBLING + EXPECTED_RANGE).floor();
        Some(Self(range.clamp(0.0, (PACE_RANGES - 1) as f64) as u8))
    }

    fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// How a server answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// With a failure of its own.
    Failed,
    /// As expected, in a time of this range.
    Served(PaceRange),
}

/// Counts of answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// All answers.
    pub answers: u32,
    /// Those that failed.
    pub failed: u32,
    /// The others, by the range of their time.
    pub paces: [u32; PACE_RANGES],
}

impl AnswerCounts {
    fn note(&mut self, kind: AnswerKind) {
        let counted = match kind {
            AnswerKind::Failed => &mut self.failed,
            AnswerKind::Served(range) => &mut self.paces[range.index()],
        };
        *counted = counted.saturating_add(1);
        self.answers = self.answers.saturating_add(1);
    }

    fn map(self, other: Self, combine: impl Fn(u32, u32) -> u32 + Copy) -> Self {
        Self {
            answers: combine(self.answers, other.answers),
            failed: combine(self.failed, other.failed),
            paces: std::array::from_fn(|range| combine(self.paces[range], other.paces[range])),
        }
    }

    fn to_numbers(self) -> impl Iterator<Item = u32> {
        [self.answers, self.failed].into_iter().chain(self.paces)
    }

    /// Reads counts, and bounds them so that all kinds together are no more than the
    /// answers.
    fn from_numbers(numbers: &[u32]) -> Self {
        let mut counts = Self::default();
        let mut numbers = numbers.iter().copied();
        counts.answers = numbers.next().unwrap_or(0);
        let mut left = counts.answers;
        let kinds = std::iter::once(&mut counts.failed).chain(&mut counts.paces);
        for (kind, number) in kinds.zip(numbers) {
            *kind = number.min(left);
            left -= *kind;
        }
        counts
    }
}

/// The answers that one entry, or all entries together, counted in a roll-out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutEvidence {
    old: [AnswerCounts; ROUTE_CLASSES],
    new: [AnswerCounts; ROUTE_CLASSES],
    groups: [AnswerCounts; SERVER_GROUPS],
}

impl RolloutEvidence {
    /// Counts an answer.
    pub fn note(&mut self, side: VersionSide, class: RouteClass, id: &BackendId, kind: AnswerKind) {
        match side {
            VersionSide::Old => self.old[class.index()].note(kind),
            VersionSide::New => {
                self.new[class.index()].note(kind);
                let hash = XxHash64::oneshot(id.start.0, id.name.0.as_bytes());
                self.groups[(hash % SERVER_GROUPS as u64) as usize].note(kind);
            }
        }
    }

    /// Returns the counts of a class of routes.
    pub fn of_class(&self, side: VersionSide, class: RouteClass) -> AnswerCounts {
        match side {
            VersionSide::Old => self.old[class.index()],
            VersionSide::New => self.new[class.index()],
        }
    }

    /// Returns the counts of groups of new servers.
    pub fn groups(&self) -> &[AnswerCounts] {
        &self.groups
    }

    /// Returns the answers of one side.
    pub fn answers(&self, side: VersionSide) -> u32 {
        let counts = RouteClass::all().map(|class| self.of_class(side, class).answers);
        counts.fold(0, u32::saturating_add)
    }

    /// Returns the failures of one side.
    pub fn failures(&self, side: VersionSide) -> u32 {
        let counts = RouteClass::all().map(|class| self.of_class(side, class).failed);
        counts.fold(0, u32::saturating_add)
    }

    /// Returns the sum of two counts.
    pub fn plus(&self, other: &Self) -> Self {
        self.map(other, u32::saturating_add)
    }

    /// Returns what was counted since `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        self.map(earlier, u32::saturating_sub)
    }

    fn map(&self, other: &Self, combine: impl Fn(u32, u32) -> u32 + Copy) -> Self {
        let mut combined = *self;
        let own = combined.all_counts_mut();
        let others = other.all_counts();
        for (count, other) in own.zip(others) {
            *count = count.map(*other, combine);
        }
        combined
    }

    fn all_counts(&self) -> impl Iterator<Item = &AnswerCounts> {
        self.old.iter().chain(&self.new).chain(&self.groups)
    }

    fn all_counts_mut(&mut self) -> impl Iterator<Item = &mut AnswerCounts> {
        let classes = self.old.iter_mut().chain(&mut self.new);
        classes.chain(&mut self.groups)
    }

    /// Encodes the counts for other entries.
    pub fn to_numbers(&self) -> Vec<u32> {
        let counts = self.all_counts();
        counts.flat_map(|counts| counts.to_numbers()).collect()
    }

    /// Decodes the counts of another entry. Returns `None` if there are too many or too
    /// few numbers. Counts that contradict each other are bounded.
    pub fn from_numbers(numbers: &[u32]) -> Option<Self> {
        if numbers.len() != ENCODED_NUMBERS {
            return None;
        }
        let mut evidence = Self::default();
        let read = numbers.chunks_exact(COUNTS);
        for (counts, numbers) in evidence.all_counts_mut().zip(read) {
            *counts = AnswerCounts::from_numbers(numbers);
        }
        Some(evidence)
    }
}

/// The counts of all entries, by incarnation.
#[derive(Clone, Debug, Default)]
pub struct EvidenceTable(BTreeMap<Incarnation, RolloutEvidence>);

impl EvidenceTable {
    /// Notes the counts of an entry. They only grow while the entry runs, so an earlier
    /// message that arrives late changes nothing. Returns false if they were ignored
    /// because the table is full.
    pub fn note(&mut self, entry: Incarnation, evidence: &RolloutEvidence) -> bool {
        let is_full = self.0.len() >= MAX_INCARNATIONS;
        match self.0.entry(entry) {
            Entry::Vacant(_) if is_full => return false,
            Entry::Vacant(vacant) => {
                vacant.insert(*evidence);
            }
            Entry::Occupied(mut known) => {
                let newest = known.get().map(evidence, u32::max);
                known.insert(newest);
            }
        }
        true
    }

    /// Returns the sum over all entries.
    pub fn total(&self) -> RolloutEvidence {
        let entries = self.0.values();
        entries.fold(RolloutEvidence::default(), |sum, entry| sum.plus(entry))
    }
}
