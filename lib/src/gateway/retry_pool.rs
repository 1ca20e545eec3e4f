//! A part of the reserve for retries that entries draw through a hub.
//!
//! Pure logic: no I/O and no clock. A hub gives every entry that reports to it a credit
//! for each service. The entry draws without asking, and reports the sum of its draws with
//! its gossip; the hub restores the credit while the pool has room. Whatever an entry may
//! have drawn before it restarted or fell silent counts as drawn, so the draws of all
//! entries within a window stay below the pool however often entries are lost.
//!
//! Credits are small, since all of them are reserved. An entry that has drawn recently, or
//! has restarted and has no part of the reserve yet, gets a whole retry if there is room.
//!
//! Each hub gives away the part of the pool that belongs to the entries which report to
//! it, so hubs that cannot reach each other divide the pool.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use prost::Message;

use crate::gateway::retry_budget::CREDIT_LIFETIME;
use crate::gateway::retry_budget::RetryBudgetRule;
use crate::id::EntryName;
use crate::id::Incarnation;
use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// The share of the reserve that is in the pool.
const POOL_SHARE: f64 = 0.4;
/// The share of the pool that all credits together reserve. The remainder restores credits
/// that were drawn.
const CREDIT_SHARE: f64 = 0.6;
/// The same where it is less than one retry for each entry: fractions of a retry are of use
/// only together with others.
const SMALL_CREDIT_SHARE: f64 = 0.9;
/// The share of the pool that counts as reserved at least. Two hubs, each of which counts
/// entries that the other does not, may together exceed the pool by the remainder.
const MIN_RESERVED_SHARE: f64 = 0.75;
/// An entry that has not reported for this time loses its credit. It reports every 250 ms.
const SILENCE: Duration = Duration::from_millis(1_200);
/// How long an entry that does not report is remembered.
const MEMORY: Duration = Duration::from_secs(60);
/// The most services that count for one entry, so that false reports stay small.
const MAX_SERVICES: usize = 64;
/// The least credit of an entry that is likely to draw: one retry.
const WHOLE_CREDIT_MILLI: u64 = 1_000;
/// Draws that arrive within this time are stored as one.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// Draws of an entry for a service since the entry started.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PoolDraws {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The draws in thousandths of a retry.
    #[prost(uint64, tag = "2")]
    pub milli: u64,
}

/// The credit of the receiver of a message at a hub.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PoolCredit {
    /// How much the receiver may draw for each service beyond the restored draws, in
    /// thousandths of a retry.
    #[prost(uint64, tag = "1")]
    pub milli: u64,
    /// The draws that the hub has restored.
    #[prost(message, repeated, tag = "2")]
    pub restored: Vec<PoolDraws>,
}

/// Draws that were counted within a short time of each other.
#[derive(Clone, Copy, Debug)]
struct DrawEvent {
    first_at: Timestamp,
    last_at: Timestamp,
    milli: u64,
}

/// Draws within a window.
#[derive(Clone, Debug, Default)]
struct RecentDraws {
    events: VecDeque<DrawEvent>,
    sum: u64,
}

impl RecentDraws {
    fn add(&mut self, now: Timestamp, milli: u64) {
        self.sum += milli;
        match self.events.back_mut() {
            Some(event) if now.since(event.first_at) < EVENT_INTERVAL => {
                event.last_at = now;
                event.milli += milli;
            }
            _ => self.events.push_back(DrawEvent {
                first_at: now,
                last_at: now,
                milli,
            }),
        }
    }

    fn drop_expired(&mut self, now: Timestamp, window: Duration) {
        while let Some(event) = self.events.front()
            && now.since(event.last_at) > window
        {
            self.sum -= event.milli;
            self.events.pop_front();
        }
    }
}

/// What a hub knows of an entry that reports to it.
#[derive(Clone, Debug)]
struct ReporterState {
    incarnation: Incarnation,
    /// When it first reported here; none if in the first window of a first start.
    known_since: Option<Timestamp>,
    reported_at: Timestamp,
    restarted_at: Option<Timestamp>,
    drew_at: Option<Timestamp>,
    /// Its credit; 0 if it has none.
    credit_milli: u64,
    drawn_milli: BTreeMap<ServiceName, u64>,
    restored_milli: BTreeMap<ServiceName, u64>,
}

impl ReporterState {
    /// Returns whether the entry or its predecessors have reported here for a window. Only
    /// then does its part of the pool belong to this hub: before, it may have drawn from the
    /// pool of another one.
    fn is_known(&self, now: Timestamp, window: Duration) -> bool {
        self.known_since
            .is_none_or(|since| now.since(since) >= window)
    }

    /// Returns whether it has drawn or restarted within a window.
    fn is_likely_to_draw(&self, now: Timestamp, window: Duration) -> bool {
        let is_recent = |at: Timestamp| now.since(at) <= window;
        self.restarted_at.is_some_and(is_recent) || self.drew_at.is_some_and(is_recent)
    }

    fn is_reporting(&self, now: Timestamp) -> bool {
        now.since(self.reported_at) < SILENCE
    }
}

/// The pool of one hub.
#[derive(Clone, Debug)]
pub struct RetryPool {
    rule: RetryBudgetRule,
    is_first_start: bool,
    /// The number of entries that share the reserve; none while it is not known.
    entries: Option<usize>,
    reporters: BTreeMap<EntryName, ReporterState>,
    /// The sum of all credits.
    credits_milli: u64,
    /// The part of the pool for the entries that report here, in thousandths.
    pool_milli: u64,
    draws: BTreeMap<ServiceName, RecentDraws>,
    /// What entries may have drawn of any service before they were lost.
    lost_credits: RecentDraws,
}

impl RetryPool {
    /// Returns the pool of an entry that starts. `is_first_start` may only be true if no
    /// entry ran before.
    pub fn new(rule: RetryBudgetRule, is_first_start: bool) -> Self {
        Self {
            rule,
            is_first_start,
            entries: None,
            reporters: BTreeMap::new(),
            credits_milli: 0,
            pool_milli: 0,
            draws: BTreeMap::new(),
            lost_credits: RecentDraws::default(),
        }
    }

    /// Updates the pool once a round. `entries` is the number of entries that share the
    /// reserve; while it is not known, no entry has credit.
    pub fn update(&mut self, now: Timestamp, entries: Option<usize>) {
        self.entries = entries;
        let window = self.rule.window;
        self.draws
            .values_mut()
            .for_each(|draws| draws.drop_expired(now, window));
        self.draws.retain(|_, draws| draws.sum > 0);
        self.lost_credits
            .drop_expired(now, window + CREDIT_LIFETIME);
        let silent = self.reporters.values_mut();
        let silent = silent.filter(|state| entries.is_none() || !state.is_reporting(now));
        let lost_milli = silent
            .map(|state| std::mem::take(&mut state.credit_milli))
            .sum();
        self.lose_credit(now, lost_milli);
        self.reporters
            .retain(|_, state| now.since(state.reported_at) < MEMORY);
        let is_counted =
            |state: &&ReporterState| state.is_known(now, window) && state.is_reporting(now);
        let counted = self.reporters.values().filter(is_counted).count();
        let fraction = entries.map_or(0.0, |entries| counted as f64 / entries.max(1) as f64);
        self.pool_milli = (self.rule.reserve * POOL_SHARE * fraction.min(1.0) * 1_000.0) as u64;
    }

    /// Counts a report of an entry, and gives the entry credit if the pool has room.
    pub fn note_report(
        &mut self,
        now: Timestamp,
        name: &EntryName,
        incarnation: Incarnation,
        draws: &[PoolDraws],
    ) {
        let is_beginning = self.is_first_start && now < Timestamp(0).after(self.rule.window);
        let state = self
            .reporters
            .entry(name.clone())
            .or_insert_with(|| ReporterState {
                incarnation,
                known_since: (!is_beginning).then_some(now),
                reported_at: now,
                restarted_at: (!is_beginning).then_some(now),
                drew_at: None,
                credit_milli: 0,
                drawn_milli: BTreeMap::new(),
                restored_milli: BTreeMap::new(),
            });
        state.reported_at = now;
        let mut lost_milli = 0;
        if state.incarnation != incarnation {
            lost_milli = std::mem::take(&mut state.credit_milli);
            state.incarnation = incarnation;
            state.restarted_at = Some(now);
            state.drawn_milli.clear();
            state.restored_milli.clear();
        }
        for item in draws.iter().take(MAX_SERVICES) {
            let Ok(service) = item.service.parse::<ServiceName>() else {
                continue;
            };
            let counted = state.drawn_milli.entry(service.clone()).or_default();
            let drawn = item.milli.saturating_sub(*counted);
            if drawn > 0 {
                *counted = item.milli;
                state.drew_at = Some(now);
                // More than the whole reserve is never drawn; a false report of more would
                // overflow the sum.
                let drawn = drawn.min((self.rule.reserve * 1_000.0) as u64);
                self.draws.entry(service).or_default().add(now, drawn);
            }
        }
        self.lose_credit(now, lost_milli);
        self.adjust_credit(now, name);
    }

    /// Returns the credit of an entry, after restoring the draws for which the pool has
    /// room. None if the entry has no credit.
    pub fn restore(&mut self, name: &EntryName) -> Option<PoolCredit> {
        let reserved = self.reserved_milli();
        let state = self.reporters.get_mut(name)?;
        if state.credit_milli == 0 {
            return None;
        }
        for (service, drawn) in &state.drawn_milli {
            let used = self.draws.get(service).map_or(0, |draws| draws.sum);
            if reserved + used <= self.pool_milli {
                state.restored_milli.insert(service.clone(), *drawn);
            }
        }
        let restored = state.restored_milli.iter();
        let restored = restored.map(|(service, milli)| PoolDraws {
            service: service.to_string(),
            milli: *milli,
        });
        Some(PoolCredit {
            milli: state.credit_milli,
            restored: restored.collect(),
        })
    }

    /// Returns what is drawn or reserved of the service that has used the most, and the
    /// size of the pool of this hub, both in retries.
    pub fn use_and_size(&self) -> (f64, f64) {
        let used = self.reserved_milli() + self.highest_draws();
        (used as f64 / 1_000.0, self.pool_milli as f64 / 1_000.0)
    }

    /// Gives an entry the credit that it should have, as far as the pool has room.
    fn adjust_credit(&mut self, now: Timestamp, name: &EntryName) {
        let usual = self.usual_credit_milli();
        let Some(state) = self.reporters.get(name) else {
            return;
        };
        let before = state.credit_milli;
        let wanted = if usual > 0 && state.is_likely_to_draw(now, self.rule.window) {
            usual.max(WHOLE_CREDIT_MILLI)
        } else {
            usual
        };
        let others = self.credits_milli - before;
        let drawn = self.highest_draws();
        let fits = |credit| self.reserved_with(others + credit) + drawn <= self.pool_milli;
        let credit = if wanted <= before || fits(wanted) {
            wanted
        } else if before == 0 && fits(usual) {
            usual
        } else {
            before
        };
        let Some(state) = self.reporters.get_mut(name) else {
            return;
        };
        if before == 0 {
            state.restored_milli = state.drawn_milli.clone();
        }
        state.credit_milli = credit;
        self.credits_milli += credit.saturating_sub(before);
        self.lose_credit(now, before.saturating_sub(credit));
    }

    /// Counts a credit that was taken from an entry, which may have drawn it.
    fn lose_credit(&mut self, now: Timestamp, milli: u64) {
        if milli > 0 {
            self.credits_milli -= milli;
            self.lost_credits.add(now, milli);
        }
    }

    /// Returns the most that entries may draw without a reply of this hub, or may have drawn
    /// without a report.
    fn reserved_milli(&self) -> u64 {
        self.reserved_with(self.credits_milli)
    }

    /// Returns the same if all credits were `credits_milli`.
    fn reserved_with(&self, credits_milli: u64) -> u64 {
        let least = self.pool_milli as f64 * MIN_RESERVED_SHARE;
        (credits_milli + self.lost_credits.sum).max(least as u64)
    }

    fn highest_draws(&self) -> u64 {
        let sums = self.draws.values().map(|draws| draws.sum);
        sums.max().unwrap_or(0)
    }

    fn usual_credit_milli(&self) -> u64 {
        let Some(entries) = self.entries else {
            return 0;
        };
        let pool_milli = self.rule.reserve * POOL_SHARE * 1_000.0;
        let each = |share: f64| (pool_milli * share / entries.max(1) as f64) as u64;
        let small = each(SMALL_CREDIT_SHARE).min(WHOLE_CREDIT_MILLI);
        each(CREDIT_SHARE).max(small)
    }
}
