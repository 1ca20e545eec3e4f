//! A model world for the lease: entries with clocks of their own, a store with
//! one topic, and a network between entries, with faults at any step.
//!
//! The world drives [`LeaseState`] as the daemon does. An entry that is frozen,
//! and a store or a link that is away, need no steps of their own: each step may
//! come at any time or never. Calls under a right last as long as the right.

mod appends;
mod exchanges;
mod rights;

use std::sync::Arc;
use std::time::Duration;

use cloverbend::gateway::duty_record::DutyRecord;
use cloverbend::gateway::duty_record::TenureInfo;
use cloverbend::gateway::lease_state::LeaseState;
use cloverbend::gateway::lease_timings::LeaseTimings;
use cloverbend::id::EntryName;
use cloverbend::id::FenceToken;
use cloverbend::id::Incarnation;
use cloverbend::id::LogOffset;
use cloverbend::id::StoreGeneration;
use cloverbend::quantity::Timestamp;

use crate::lease_step::BrokenLease;
use crate::lease_step::EntryIndex;
use crate::lease_step::LeaseFaults;
use crate::lease_step::LeaseStep;
use crate::lease_step::LeaseViolation;
use crate::lease_step::MessageSpeed;
use crate::lease_step::SuccessorChoice;
use crate::lease_store::ModelStore;
use crate::world_explorer::WorldRules;

/// How much faster the highest rate of a clock is than the lowest.
const FAST_FACTOR: u32 = 2;
/// The terms of the model. Clocks differ by up to as much as `drift_percent`
/// allows, so that every wait is tight.
const TERMS: LeaseTimings = LeaseTimings {
    short_term: Duration::from_millis(2),
    long_term: Duration::from_millis(4),
    drift_percent: 100,
    rank_step: Duration::ZERO,
    cooldown: Duration::from_millis(2),
};

/// The most messages, and the most appends, that are under way with nobody
/// waiting. The oldest are lost.
const MAX_UNDER_WAY: usize = 3;

/// What to explore.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseSetup {
    /// The time on an entry's clock that passes in a tick at the lowest rate:
    /// half a term, or a part of that.
    pub unit: Duration,
    /// Whether each entry's clock runs at the highest rate; one for each entry.
    pub fast: Vec<bool>,
    /// What records may name as successors. The first holder's claim names the
    /// first of them.
    pub successors: Vec<SuccessorChoice>,
    /// The ticks of a history, after the first entry's claim.
    pub ticks: u8,
    /// The faults of a history.
    pub faults: LeaseFaults,
    /// What is broken.
    pub broken: BrokenLease,
}

/// News that an entry received of a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ReceivedNews {
    life: u64,
    sent_at: Timestamp,
    fence: FenceToken,
}

/// An append that an entry waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OpenAppend {
    record: DutyRecord,
    sent_at: Timestamp,
    expected_end: Option<LogOffset>,
    /// What the store answered, once the append has arrived.
    answer: Option<Result<(LogOffset, StoreGeneration), LogOffset>>,
}

/// An append that nobody waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LateAppend {
    record: DutyRecord,
    expected_end: Option<LogOffset>,
}

/// A message between entries that is under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum PeerFlight {
    News {
        to: EntryIndex,
        from: EntryIndex,
        news: ReceivedNews,
        end: LogOffset,
    },
    Echo {
        to: EntryIndex,
        from: EntryIndex,
        news: ReceivedNews,
    },
}

/// A living entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelEntry {
    lease: LeaseState,
    now: Timestamp,
    life: u64,
    open: Option<OpenAppend>,
    /// By entry.
    received: Vec<Option<ReceivedNews>>,
    /// When any holder last sent news.
    received_at: Timestamp,
    /// A tenure that was given up and whose release may be appended.
    ended: Option<TenureInfo>,
}

/// The last call of an entry, at its latest arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OpenCall {
    /// How long it may still be under way, by the clock of the entry.
    left: Duration,
}

/// A right to act, as far as the rules look at it.
#[derive(Clone, Copy, Debug)]
struct SeenRight {
    index: EntryIndex,
    fence: FenceToken,
    left: Duration,
}

/// A state of the world.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseWorld {
    setup: Arc<LeaseSetup>,
    fast: Vec<bool>,
    entries: Vec<Option<Arc<ModelEntry>>>,
    calls: Vec<Option<OpenCall>>,
    incarnations: u64,
    store: ModelStore,
    late: Vec<LateAppend>,
    flights: Vec<PeerFlight>,
    faults: LeaseFaults,
    ticks: u8,
    /// The highest fence of a right so far, and whose it was.
    highest: Option<(FenceToken, EntryIndex)>,
}

fn entry_name(index: EntryIndex) -> EntryName {
    let name = format!("e{index}");
    name.parse().expect("the name is valid")
}

impl LeaseWorld {
    /// How the world is explored.
    pub const RULES: WorldRules<Self, LeaseStep, LeaseViolation> = WorldRules {
        enabled: Self::enabled,
        apply: Self::apply,
    };

    /// Returns a world in which no entry has run before.
    pub fn new(setup: LeaseSetup) -> Self {
        let count = setup.fast.len();
        let mut world = Self {
            fast: setup.fast.clone(),
            entries: vec![None; count],
            calls: vec![None; count],
            incarnations: 0,
            store: ModelStore::default(),
            late: Vec::new(),
            flights: Vec::new(),
            faults: setup.faults,
            ticks: setup.ticks,
            highest: None,
            setup: Arc::new(setup),
        };
        for index in 0..count {
            world.start(index, true);
        }
        world
    }

    /// Returns a world in which the first entry has just claimed, longer after
    /// the first start than the long term lasts, and all have read it.
    pub fn with_holder(setup: LeaseSetup) -> Self {
        let mut world = Self::new(setup);
        let ticks = world.ticks;
        let choice = world.setup.successors[0];
        world.read_all();
        while world.clock(0) < Timestamp(0).after(TERMS.long_term) {
            world.tick();
        }
        world.claim(0, choice, MessageSpeed::Prompt);
        world.read_all();
        world.ticks = ticks;
        world.note_rights();
        world
    }

    fn read_all(&mut self) {
        for index in 0..self.entries.len() {
            self.read_to_end(index);
        }
    }

    /// Ends all faults: no step is slow any longer, what is under way arrives or
    /// is lost, and entries may go on for `ticks`.
    pub fn end_faults(&mut self, ticks: u8) {
        self.flights.clear();
        self.late.clear();
        self.ticks = ticks;
        self.faults = LeaseFaults {
            renewals: u8::MAX,
            ..LeaseFaults::default()
        };
    }

    /// Returns the entries that have a right to act now.
    pub fn holders(&self) -> Vec<EntryIndex> {
        self.rights().iter().map(|right| right.index).collect()
    }

    fn breaks(&self, broken: BrokenLease) -> bool {
        self.setup.broken == broken
    }

    fn terms(&self) -> LeaseTimings {
        let drift_percent = match self.setup.broken {
            BrokenLease::NoDrift => 0,
            _ => TERMS.drift_percent,
        };
        LeaseTimings {
            drift_percent,
            ..TERMS
        }
    }

    fn clock(&self, index: EntryIndex) -> Timestamp {
        let entry = self.entries[index].as_ref();
        entry.map_or(Timestamp(0), |entry| entry.now)
    }

    fn entry_mut(&mut self, index: EntryIndex) -> Option<&mut ModelEntry> {
        self.entries[index].as_mut().map(Arc::make_mut)
    }

    /// Returns every step that is possible now, in a fixed order.
    pub fn enabled(&self) -> Vec<LeaseStep> {
        let mut steps = Vec::new();
        if self.ticks > 0 {
            steps.push(LeaseStep::Tick);
        }
        for (index, entry) in self.entries.iter().enumerate() {
            match entry {
                Some(entry) => self.add_entry_steps(index, entry, &mut steps),
                None => steps.push(LeaseStep::Start(index)),
            }
            if self.faults.drifts > 0 {
                steps.push(LeaseStep::Drift(index));
            }
        }
        steps.extend((0..self.late.len()).map(LeaseStep::ArriveLate));
        steps.extend((0..self.flights.len()).map(LeaseStep::Hear));
        if self.faults.returns > 0 {
            let lengths = 0..=self.store.end().0 as usize;
            steps.extend(lengths.map(LeaseStep::Return));
        }
        if self.faults.forgets > 0 {
            steps.push(LeaseStep::Forget);
        }
        steps
    }

    fn add_entry_steps(&self, index: EntryIndex, entry: &ModelEntry, steps: &mut Vec<LeaseStep>) {
        if self.faults.crashes > 0 {
            steps.push(LeaseStep::Crash(index));
        }
        match &entry.open {
            Some(open) if open.answer.is_some() => {
                steps.push(LeaseStep::Answer(index));
                steps.push(LeaseStep::TimeOut(index));
            }
            Some(_) => {
                steps.push(LeaseStep::Arrive(index));
                steps.push(LeaseStep::TimeOut(index));
            }
            None => self.add_store_steps(index, entry, steps),
        }
        self.add_peer_steps(index, entry, steps);
    }

    fn add_store_steps(&self, index: EntryIndex, entry: &ModelEntry, steps: &mut Vec<LeaseStep>) {
        let is_news = entry.lease.next_offset() != self.store.end();
        let is_holder = entry.lease.is_holder();
        if is_news || entry.lease.generation() != Some(self.store.generation()) {
            steps.push(LeaseStep::Read(index));
        }
        let may_reclaim = entry.lease.may_reclaim(entry.now);
        let has_to_reclaim = entry.lease.must_reclaim();
        let may_claim = !is_holder && self.may_claim(entry);
        for speed in self.speeds(self.faults.slow_appends) {
            for choice in self.setup.successors.iter().copied() {
                if may_claim {
                    steps.push(LeaseStep::Claim(index, choice, speed));
                }
                if may_reclaim {
                    steps.push(LeaseStep::Reclaim(index, choice, speed));
                }
                if is_holder && !has_to_reclaim && self.faults.renewals > 0 {
                    steps.push(LeaseStep::Renew(index, choice, speed));
                }
            }
            if entry.ended.is_some() {
                steps.push(LeaseStep::Release(index, speed));
            }
        }
        let has_right = entry.lease.valid_lease(entry.now).is_some();
        let is_lost = has_to_reclaim && !has_right;
        if is_holder && (self.faults.give_ups > 0 || is_lost) {
            steps.push(LeaseStep::GiveUp(index));
        }
    }

    fn speeds(&self, slow: u8) -> impl Iterator<Item = MessageSpeed> + use<> {
        let slow = (slow > 0).then_some(MessageSpeed::Slow);
        [MessageSpeed::Prompt].into_iter().chain(slow)
    }

    fn add_peer_steps(&self, index: EntryIndex, entry: &ModelEntry, steps: &mut Vec<LeaseStep>) {
        let others = (0..self.entries.len()).filter(|other| *other != index);
        for other in others {
            if self.right_of(index).is_some() {
                if self.entries[other].is_some() {
                    steps.push(LeaseStep::Exchange(index, other));
                }
                if self.faults.slow_news > 0 {
                    steps.push(LeaseStep::Tell(index, other));
                }
            }
            if entry.received[other].is_some() && self.promises(entry) {
                for speed in self.speeds(self.faults.slow_news) {
                    steps.push(LeaseStep::Echo(index, other, speed));
                }
            }
        }
    }

    fn promises(&self, entry: &ModelEntry) -> bool {
        self.breaks(BrokenLease::PromiseWhileClaiming) || entry.lease.may_promise()
    }

    fn may_claim(&self, entry: &ModelEntry) -> bool {
        let now = entry.now;
        let lease = &entry.lease;
        let short = self.terms().short_term * (100 + self.terms().drift_percent) / 100;
        let is_short_over = |(_, last_sign_at)| now.since(last_sign_at) >= short;
        let may_early = match self.setup.broken {
            BrokenLease::NewsAlone => return now.since(entry.received_at) >= short,
            BrokenLease::ShortWait => lease.known_holder().is_some_and(is_short_over),
            BrokenLease::RestartClaim => entry.life >= self.entries.len() as u64,
            _ => false,
        };
        may_early || lease.may_claim(now, 0)
    }

    /// Takes a step; returns the rule that it broke.
    pub fn apply(&mut self, step: &LeaseStep) -> Option<LeaseViolation> {
        match *step {
            LeaseStep::Tick => self.tick(),
            LeaseStep::Drift(index) => {
                self.faults.drifts -= 1;
                self.fast[index] = !self.fast[index];
            }
            LeaseStep::Claim(index, choice, speed) => self.claim(index, choice, speed),
            LeaseStep::Reclaim(index, choice, speed) => self.reclaim(index, choice, speed),
            LeaseStep::Renew(index, choice, speed) => self.renew(index, choice, speed),
            LeaseStep::GiveUp(index) => self.give_up(index),
            LeaseStep::Release(index, speed) => self.release(index, speed),
            LeaseStep::Arrive(index) => self.arrive(index),
            LeaseStep::Answer(index) => self.answer(index),
            LeaseStep::TimeOut(index) => self.time_out(index),
            LeaseStep::ArriveLate(number) => {
                let late = self.late.remove(number);
                let _ = self.store.append(late.record, late.expected_end);
            }
            LeaseStep::Read(index) => self.read_to_end(index),
            LeaseStep::Exchange(from, to) => self.exchange(from, to),
            LeaseStep::Tell(from, to) => self.tell(from, to),
            LeaseStep::Echo(from, to, speed) => self.echo(from, to, speed),
            LeaseStep::Hear(number) => {
                let flight = self.flights.remove(number);
                self.hear(flight);
            }
            LeaseStep::Crash(index) => self.crash(index),
            LeaseStep::Start(index) => self.start(index, false),
            LeaseStep::Return(length) => {
                self.faults.returns -= 1;
                self.store.restore(length);
            }
            LeaseStep::Forget => {
                self.faults.forgets -= 1;
                self.store.forget();
            }
        }
        self.note_rights()
    }

    fn tick(&mut self) {
        self.ticks = self.ticks.saturating_sub(1);
        for index in 0..self.entries.len() {
            let factor = if self.fast[index] { FAST_FACTOR } else { 1 };
            let passed = self.setup.unit * factor;
            if let Some(entry) = self.entry_mut(index) {
                entry.now = entry.now.after(passed);
            }
            self.calls[index] = self.calls[index].and_then(|call| call.after(passed));
        }
    }

    fn start(&mut self, index: EntryIndex, first_start: bool) {
        let life = self.incarnations;
        self.incarnations += 1;
        let now = Timestamp(0);
        let own = Incarnation(life);
        let lease = LeaseState::new(now, entry_name(index), own, self.terms(), first_start);
        self.entries[index] = Some(Arc::new(ModelEntry {
            lease,
            now,
            life,
            open: None,
            received: vec![None; self.entries.len()],
            received_at: now,
            ended: None,
        }));
    }

    fn crash(&mut self, index: EntryIndex) {
        self.faults.crashes -= 1;
        if let Some(open) = self.entry_mut(index).and_then(|entry| entry.open.take()) {
            self.note_late(open);
        }
        self.entries[index] = None;
    }

    fn note_late(&mut self, open: OpenAppend) {
        if open.answer.is_none() {
            self.late.push(LateAppend {
                record: open.record,
                expected_end: open.expected_end,
            });
            lose_oldest(&mut self.late);
        }
    }
}

fn lose_oldest<Message>(under_way: &mut Vec<Message>) {
    if under_way.len() > MAX_UNDER_WAY {
        under_way.remove(0);
    }
}
