//! A model of the retries of all entries of a deployment, with entries that are lost, stand
//! still or are cut off.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use cloverbend::gateway::retry_budget::RetryBudget;
use cloverbend::gateway::retry_budget::RetryBudgetRule;
use cloverbend::gateway::retry_pool::PoolCredit;
use cloverbend::gateway::retry_pool::PoolDraws;
use cloverbend::gateway::retry_pool::RetryPool;
use cloverbend::id::Incarnation;
use cloverbend::id::ServiceName;
use cloverbend::quantity::Timestamp;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::gossip_sample::entry_name;

const WINDOW: Duration = Duration::from_secs(10);
const WINDOW_MS: u64 = 10_000;
const RATIO: f64 = 0.2;
/// The length of a step of the model.
pub const STEP_MS: u64 = 50;
/// The interval of gossip rounds.
const ROUND_MS: u64 = 250;
/// How long a process needs to start.
const START_MS: u64 = 500;
/// How many entries are hubs.
const HUBS: usize = 3;
/// How often half of the entries are cut off, and for how long.
const SPLIT_INTERVAL_MS: u64 = 20_000;
const SPLIT_MS: u64 = 18_000;
/// How often a request may be retried.
const MAX_RETRIES: usize = 3;
/// How long a hub replies to an entry that does not report.
const REPLY_MS: u64 = 1_200;
/// How long a hub counts an entry that does not report.
const ENTRY_MEMORY_MS: u64 = 60_000;
/// How long the store keeps the record of an entry that does not write there.
const RECORD_MS: u64 = 3_600;

/// The reserve of deployments of these sizes.
fn reserve_of(entries: usize) -> f64 {
    match entries {
        0..=9 => 56.0,
        10..=78 => 196.0,
        79..=302 => 630.0,
        _ => 1_040.0,
    }
}

fn rule(entries: usize) -> RetryBudgetRule {
    RetryBudgetRule {
        ratio: RATIO,
        reserve: reserve_of(entries),
        window: WINDOW,
    }
}

fn service() -> ServiceName {
    "pool".parse().unwrap()
}

/// What happens to the entries of a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    Calm,
    /// Six in ten are killed again and again.
    SomeKilled,
    /// All are killed at once, again and again.
    AllKilled,
    /// Half of them stand still for seconds, again and again.
    Frozen,
    /// Half of them cannot reach the other half, which is killed meanwhile.
    Cut,
    /// The same, and the first half cannot reach the store.
    StoreCut,
    /// All of them cannot reach the store, and six in ten are killed meanwhile.
    StoreDown,
    /// Entries are added and removed.
    Resized,
    /// All of this at random.
    Mixed,
}

/// The last report of an entry at a hub.
#[derive(Clone, Copy)]
struct LastReport {
    at_ms: u64,
    sent_at: Timestamp,
    incarnation: Incarnation,
}

/// A running process of an entry.
pub struct EntryLife {
    began_ms: u64,
    incarnation: Incarnation,
    budget: RetryBudget,
    pool: RetryPool,
    /// The last report of each entry that reported here.
    reports: BTreeMap<usize, LastReport>,
    /// When the list of backend servers was last known to be the newest.
    list_confirmed_ms: Option<u64>,
    /// How many entries it knows.
    pub known_entries: usize,
}

impl EntryLife {
    fn now(&self, at_ms: u64) -> Timestamp {
        Timestamp::from_millis(at_ms - self.began_ms)
    }
}

/// An entry and what is wrong with it.
#[derive(Default)]
pub struct EntrySlot {
    /// Its process, if one runs.
    pub life: Option<EntryLife>,
    /// When its next process starts.
    pub starts_ms: Option<u64>,
    frozen_until_ms: u64,
    store_cut_until_ms: u64,
    side_until_ms: u64,
    is_removed: bool,
    /// When the store last had its heartbeat.
    pub recorded_ms: u64,
    /// What callers send to it.
    pub requests_per_s: f64,
}

enum ModelMessage {
    Report {
        hub: usize,
        from: usize,
        incarnation: Incarnation,
        sent_at: Timestamp,
        draws: Vec<PoolDraws>,
    },
    Credit {
        to: usize,
        hub: usize,
        incarnation: Incarnation,
        echoed: Timestamp,
        credit: Option<PoolCredit>,
        list_confirmed_ms: Option<u64>,
        entries: usize,
    },
}

/// A deployment in which every backend server refuses every request, unless they are well.
pub struct RetryModel {
    rule: RetryBudgetRule,
    rng: StdRng,
    /// The entries.
    pub slots: Vec<EntrySlot>,
    messages: VecDeque<(u64, ModelMessage)>,
    requests: Vec<u64>,
    retries: Vec<u64>,
    next_incarnation: u64,
    /// Whether the backend servers serve every request.
    pub servers_are_well: bool,
    /// The longest time after which a retry arrives.
    pub longest_delay_ms: u64,
}

impl RetryModel {
    /// Returns a deployment whose entries have just started for the first time.
    pub fn new(entries: usize, seed: u64, requests_per_s: f64) -> Self {
        let mut model = Self {
            rule: rule(entries),
            rng: StdRng::seed_from_u64(seed),
            slots: Vec::new(),
            messages: VecDeque::new(),
            requests: Vec::new(),
            retries: Vec::new(),
            next_incarnation: 1,
            servers_are_well: false,
            longest_delay_ms: 0,
        };
        for number in 0..entries {
            // Some entries get many requests, others hardly any.
            let weight = [0.05, 0.5, 1.0, 2.45][number % 4];
            model.slots.push(EntrySlot {
                requests_per_s: requests_per_s * weight,
                ..EntrySlot::default()
            });
        }
        for number in 0..entries {
            model.begin_life(number, 0, true);
        }
        model
    }

    /// Starts a process of an entry.
    pub fn begin_life(&mut self, number: usize, at_ms: u64, is_first_start: bool) {
        let has_store = self.slots[number].store_cut_until_ms <= at_ms;
        let listed = self.listed_entries(at_ms);
        self.slots[number].life = Some(EntryLife {
            began_ms: at_ms,
            incarnation: Incarnation(self.next_incarnation),
            budget: RetryBudget::new(is_first_start),
            pool: RetryPool::new(self.rule, is_first_start),
            reports: BTreeMap::new(),
            list_confirmed_ms: has_store.then_some(at_ms),
            known_entries: match (has_store, is_first_start) {
                (_, true) => self.slots.len(),
                (true, false) => listed.max(1),
                (false, false) => 0,
            },
        });
        self.next_incarnation += 1;
    }

    /// Returns how many entries have a record in the store that has not lapsed.
    fn listed_entries(&self, at_ms: u64) -> usize {
        let is_listed = |slot: &&EntrySlot| at_ms < slot.recorded_ms + RECORD_MS;
        self.slots.iter().filter(is_listed).count()
    }

    /// Ends the process of an entry, which starts again unless the entry was removed.
    pub fn kill(&mut self, number: usize, at_ms: u64) {
        let slot = &mut self.slots[number];
        slot.life = None;
        slot.starts_ms = (!slot.is_removed).then_some(at_ms + START_MS);
    }

    fn is_connected(&self, one: usize, other: usize, at_ms: u64) -> bool {
        let is_split = |slot: &EntrySlot| at_ms < slot.side_until_ms;
        is_split(&self.slots[one]) == is_split(&self.slots[other])
    }

    /// Returns the hubs to which an entry reports: the first that run on its side.
    fn hubs_of(&self, number: usize, at_ms: u64) -> Vec<usize> {
        let is_hub = |hub: &usize| {
            self.slots[*hub].life.is_some()
                && *hub != number
                && self.is_connected(number, *hub, at_ms)
        };
        (0..self.slots.len()).filter(is_hub).take(HUBS).collect()
    }

    /// Draws some of the entries.
    fn choose(&mut self, fraction: f64) -> Vec<usize> {
        let numbers = 0..self.slots.len();
        numbers.filter(|_| self.rng.random_bool(fraction)).collect()
    }

    fn apply_trouble(&mut self, trouble: Trouble, at_ms: u64) {
        match trouble {
            Trouble::Calm => {}
            Trouble::SomeKilled => {
                if at_ms.is_multiple_of(2_500) {
                    for number in self.choose(0.6) {
                        self.kill(number, at_ms);
                    }
                }
            }
            Trouble::AllKilled => {
                if at_ms.is_multiple_of(4_000) {
                    for number in 0..self.slots.len() {
                        self.kill(number, at_ms);
                    }
                }
            }
            Trouble::Frozen => {
                if at_ms.is_multiple_of(3_000) {
                    for number in self.choose(0.5) {
                        let until = at_ms + self.rng.random_range(200..4_000);
                        self.slots[number].frozen_until_ms = until;
                    }
                }
            }
            Trouble::Cut => self.split(at_ms, false),
            Trouble::StoreCut => self.split(at_ms, true),
            Trouble::StoreDown => {
                if at_ms.is_multiple_of(15_000) {
                    for slot in &mut self.slots {
                        slot.store_cut_until_ms = at_ms + 9_000;
                    }
                }
                if at_ms % 15_000 == 2_000 {
                    for number in self.choose(0.6) {
                        self.kill(number, at_ms);
                    }
                }
            }
            Trouble::Resized => {
                if at_ms.is_multiple_of(4_000) {
                    self.resize(at_ms);
                }
            }
            Trouble::Mixed => {
                if at_ms.is_multiple_of(500) {
                    let troubles = [
                        Trouble::SomeKilled,
                        Trouble::AllKilled,
                        Trouble::Frozen,
                        Trouble::Cut,
                        Trouble::StoreCut,
                        Trouble::Resized,
                    ];
                    let trouble = troubles[self.rng.random_range(0..troubles.len())];
                    self.apply_trouble(trouble, at_ms);
                }
            }
        }
    }

    /// Cuts half of the entries off from the others, and then kills the others. With
    /// `cuts_store` the first half is cut off from the store, too.
    fn split(&mut self, at_ms: u64, cuts_store: bool) {
        let phase = at_ms % SPLIT_INTERVAL_MS;
        if phase == 0 {
            for number in self.choose(0.5) {
                let until = at_ms + SPLIT_MS;
                self.slots[number].side_until_ms = until;
                if cuts_store {
                    self.slots[number].store_cut_until_ms = until;
                }
            }
        }
        if phase == RECORD_MS + 2 * STEP_MS {
            let is_other = |number: &usize| at_ms >= self.slots[*number].side_until_ms;
            let others: Vec<usize> = (0..self.slots.len()).filter(is_other).collect();
            for number in others {
                self.kill(number, at_ms);
            }
        }
    }

    fn resize(&mut self, at_ms: u64) {
        let added = 1 + self.slots.len() / 10;
        for number in self.choose(0.1) {
            self.slots[number].is_removed = true;
            self.kill(number, at_ms);
        }
        for _ in 0..added {
            self.add_entry(at_ms, 1.0);
        }
    }

    /// Adds an entry, whose process starts soon. Returns its number.
    pub fn add_entry(&mut self, at_ms: u64, requests_per_s: f64) -> usize {
        self.slots.push(EntrySlot {
            starts_ms: Some(at_ms + START_MS),
            requests_per_s,
            recorded_ms: at_ms,
            ..EntrySlot::default()
        });
        self.slots.len() - 1
    }

    /// Runs one step of the model.
    pub fn step(&mut self, trouble: Trouble, at_ms: u64) {
        self.apply_trouble(trouble, at_ms);
        for number in 0..self.slots.len() {
            if self.slots[number].starts_ms.is_some_and(|at| at <= at_ms) {
                self.slots[number].starts_ms = None;
                self.begin_life(number, at_ms, false);
            }
        }
        self.deliver(at_ms);
        for number in 0..self.slots.len() {
            let slot = &self.slots[number];
            if slot.life.is_none() || at_ms < slot.frozen_until_ms {
                continue;
            }
            if (at_ms + number as u64 * STEP_MS).is_multiple_of(ROUND_MS) {
                self.run_round(number, at_ms);
            }
            self.send_requests(number, at_ms);
        }
    }

    fn run_round(&mut self, number: usize, at_ms: u64) {
        let listed = self.listed_entries(at_ms);
        let slot = &mut self.slots[number];
        let has_store = slot.store_cut_until_ms <= at_ms;
        if has_store {
            slot.recorded_ms = at_ms;
        }
        let Some(life) = &mut slot.life else { return };
        if has_store {
            life.list_confirmed_ms = Some(at_ms);
            life.known_entries = life.known_entries.max(listed);
        }
        let now = life.now(at_ms);
        let reports = life.reports.values();
        let counted = reports.filter(|report| at_ms < report.at_ms + ENTRY_MEMORY_MS);
        let entries = life.known_entries.max(counted.count() + 1);
        let list_confirmed_at = life
            .list_confirmed_ms
            .and_then(|confirmed_ms| confirmed_ms.checked_sub(life.began_ms))
            .map(Timestamp::from_millis);
        let is_complete = life.known_entries > 0;
        life.budget
            .note_entries(now, entries, is_complete, list_confirmed_at);
        let dividing_entries = life.budget.dividing_entries(now, &self.rule);
        let draws = life.budget.pool_draws();
        life.pool.update(now, dividing_entries);
        let name = entry_name(number);
        life.pool.note_report(now, &name, life.incarnation, &draws);
        let own_credit = life.pool.restore(&name);
        life.budget.note_credit(&name, now, own_credit.as_ref());
        let incarnation = life.incarnation;
        let list_confirmed_ms = life.list_confirmed_ms;
        let reports = life.reports.iter();
        let recent = reports.filter(|(_, report)| at_ms < report.at_ms + REPLY_MS);
        for (reporter, report) in recent {
            let message = ModelMessage::Credit {
                to: *reporter,
                hub: number,
                incarnation: report.incarnation,
                echoed: report.sent_at,
                credit: life.pool.restore(&entry_name(*reporter)),
                list_confirmed_ms,
                entries,
            };
            self.messages.push_back((at_ms + STEP_MS, message));
        }
        for hub in self.hubs_of(number, at_ms) {
            let message = ModelMessage::Report {
                hub,
                from: number,
                incarnation,
                sent_at: now,
                draws: draws.clone(),
            };
            self.messages.push_back((at_ms + STEP_MS, message));
        }
    }

    fn deliver(&mut self, at_ms: u64) {
        for _ in 0..self.messages.len() {
            let Some((due_ms, message)) = self.messages.pop_front() else {
                return;
            };
            let (receiver, sender) = match &message {
                ModelMessage::Report { hub, from, .. } => (*hub, *from),
                ModelMessage::Credit { to, hub, .. } => (*to, *hub),
            };
            let is_lost = !self.is_connected(receiver, sender, at_ms);
            // Messages to a process that stands still wait in its socket.
            if due_ms > at_ms || at_ms < self.slots[receiver].frozen_until_ms {
                self.messages.push_back((due_ms, message));
                continue;
            }
            let Some(life) = self.slots[receiver].life.as_mut().filter(|_| !is_lost) else {
                continue;
            };
            let now = life.now(at_ms);
            match message {
                ModelMessage::Report {
                    from,
                    incarnation,
                    sent_at,
                    draws,
                    ..
                } => {
                    let name = entry_name(from);
                    life.pool.note_report(now, &name, incarnation, &draws);
                    let report = LastReport {
                        at_ms,
                        sent_at,
                        incarnation,
                    };
                    life.reports.insert(from, report);
                }
                ModelMessage::Credit {
                    hub,
                    incarnation,
                    echoed,
                    credit,
                    list_confirmed_ms,
                    entries,
                    ..
                } => {
                    if incarnation != life.incarnation {
                        continue;
                    }
                    life.budget
                        .note_credit(&entry_name(hub), echoed, credit.as_ref());
                    life.list_confirmed_ms = life.list_confirmed_ms.max(list_confirmed_ms);
                    life.known_entries = life.known_entries.max(entries);
                }
            }
        }
    }

    fn send_requests(&mut self, number: usize, at_ms: u64) {
        let per_step = self.slots[number].requests_per_s * STEP_MS as f64 / 1_000.0;
        let is_sent = self.rng.random_bool(per_step.fract());
        let retries = if self.servers_are_well {
            0
        } else {
            MAX_RETRIES
        };
        for _ in 0..per_step as usize + usize::from(is_sent) {
            self.send_request(number, at_ms, retries);
        }
    }

    /// Sends a request with this many retries. Returns how many the budget allowed.
    pub fn send_request(&mut self, number: usize, at_ms: u64, retries: usize) -> usize {
        let Some(life) = &mut self.slots[number].life else {
            return 0;
        };
        let now = life.now(at_ms);
        life.budget.note_request(now, &service(), &self.rule);
        self.requests.push(at_ms);
        for taken in 0..retries {
            if !life.budget.take(now, &service(), &self.rule) {
                return taken;
            }
            let delay_ms = match self.longest_delay_ms {
                0 => 0,
                longest => self.rng.random_range(0..longest),
            };
            self.retries.push(at_ms + delay_ms);
        }
        retries
    }

    /// Returns the largest share of the bound that was used in any window. The requests of
    /// a window are those within it, in the window before, or in the one half a window
    /// before, whichever are the most.
    pub fn largest_use(&self) -> f64 {
        let count = |times: &[u64], begin: i64, end: i64| {
            let below = |limit: i64| times.partition_point(|at| (*at as i64) < limit);
            (below(end) - below(begin)) as f64
        };
        let window = WINDOW_MS as i64;
        let begins: BTreeSet<u64> = self.retries.iter().copied().collect();
        let mut retries = self.retries.clone();
        retries.sort_unstable();
        let use_from = |begin: &u64| {
            let begin = *begin as i64;
            let requests = [0, window / 2, window]
                .map(|back| count(&self.requests, begin - back, begin - back + window));
            let requests = requests.into_iter().fold(0.0, f64::max);
            let retries = count(&retries, begin, begin + window);
            retries / (RATIO * requests + self.rule.reserve)
        };
        begins.iter().map(use_from).fold(0.0, f64::max)
    }

    /// Returns the retries from some time on, as a share of what the ratio allows for the
    /// requests from then on.
    pub fn used_ratio(&self, from_ms: u64) -> f64 {
        let count = |times: &[u64]| times.iter().filter(|at| **at >= from_ms).count() as f64;
        count(&self.retries) / (RATIO * count(&self.requests))
    }

    pub fn run(&mut self, trouble: Trouble, from_ms: u64, until_ms: u64) {
        for at_ms in (from_ms..until_ms).step_by(STEP_MS as usize) {
            self.step(trouble, at_ms);
        }
    }
}
