//! Rate limits of client accounts, shared by all entries.
//!
//! Pure: no I/O. Every entry keeps its own token bucket per account. The bucket
//! fills at the account's rate. The entry debits its own admissions at once,
//! and those of other entries when their gossip arrives. Late debits may push
//! the level below zero; then the bucket admits nothing until the rate has
//! earned the debt back.
//!
//! An entry that can't reach some of the others reserves an even fraction of the
//! rate for each of them: its bucket's capacity and fill rate cover only the
//! entries that it reaches. Both sides of a network partition do this, so what
//! they admit together stays below the limit. After a restart a bucket is nearly
//! empty, since the entry can't know what was admitted before, and an account that
//! exceeds its limit pays back what it holds (`start_debt`).

use std::collections::BTreeMap;
use std::time::Duration;

use twox_hash::XxHash64;

use crate::gateway::account_use::AccountUse;
use crate::gateway::account_use::PROPAGATION_TIME;
use crate::gateway::site_config::AccountRule;
use crate::gateway::start_debt::StartDebt;
use crate::id::AccountName;
use crate::id::Incarnation;
use crate::quantity::Timestamp;

/// The largest debt that debits of other entries may cause, in full buckets. It
/// bounds how long an account is refused for what other entries admitted.
const MAX_DEBT_BUCKETS: f64 = 2.0;

/// By how much an account may exceed its rate and burst, summed over all
/// entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSlack {
    /// The window over which use is measured.
    pub window: Duration,
    /// The allowed excess as a fraction of the limit over the window.
    pub overage: f64,
    /// The allowed excess in units, on top of that fraction.
    pub units: f64,
}

impl LimitSlack {
    /// Returns the capacity of a bucket: the burst and a fraction of the slack.
    /// The slack evens out single large requests, which would otherwise be
    /// refused although the account stays below its limit over the window.
    fn capacity(self, rule: &AccountRule) -> f64 {
        rule.burst + self.total(rule) * CAPACITY_SLACK
    }

    /// Returns by how many units an account may exceed its limit in a window.
    fn total(self, rule: &AccountRule) -> f64 {
        let limit = rule.rate * self.window.as_secs_f64() + rule.burst;
        limit * self.overage + self.units
    }
}

/// The age at which gossip is stale. From then on, an entry admits only its own
/// fraction of the limits. Entries gossip every 250 ms. Without gossip for more
/// than this time, what they admit together would exceed the slack.
const GOSSIP_STALE_AFTER: Duration = Duration::from_millis(700);
/// The interval at which entries gossip what they admitted.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
/// The fraction of the slack by which all entries together may overdraw their
/// buckets between two gossip messages. Each entry may admit its own fraction
/// of this and of the bucket's level, and one more request of any size.
const UNREPORTED_SLACK: f64 = 0.3;
/// The fraction of what a bucket earns during one propagation time that may be
/// admitted in that time. With 0, half a second of the rate would stay unused
/// after a restart. With 1, a large account that exceeds its limit would come
/// 3 % closer to its bound
/// (`a_large_account_over_its_limit_stays_within_its_bound`).
const EARNED_FRACTION: f64 = 0.5;
/// The smallest fraction of requests that is admitted while a bucket holds
/// enough. It bounds the retry delay that callers are given.
const MIN_ADMITTED_FRACTION: f64 = 0.05;
/// The fraction of the slack that bucket capacities include. The rest covers
/// what entries admit before they receive each other's gossip.
const CAPACITY_SLACK: f64 = 0.35;
/// The level, as a fraction of the capacity, at which a bucket admits a request
/// of any size. The largest requests take about half of a bucket.
const MAX_NEEDED_LEVEL: f64 = 0.1;

/// The level of a bucket when an entry starts, as a fraction of the capacity.
/// With empty buckets, a power loss of all entries would leave all accounts
/// refused for 2 to 6 s. With 0.3, two restarts of all entries within a window
/// would exceed the bound (`restarts_of_all_entries_stay_within_the_bound`).
const START_LEVEL: f64 = 0.2;

/// How many entries share the limits, and how many of them are reachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareView {
    /// Entries that may admit requests, including this one.
    pub entries: usize,
    /// Entries among them whose gossip arrived recently, including this one.
    pub reachable: usize,
}

impl ShareView {
    fn fraction(self) -> f64 {
        let entries = self.entries.max(1);
        self.reachable.clamp(1, entries) as f64 / entries as f64
    }
}

/// What an entry admitted of an account since the entry started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmittedUnits {
    /// The account.
    pub account: AccountName,
    /// Units since the entry started.
    pub units: u64,
}

#[derive(Clone, Debug)]
struct AccountBucket {
    /// Units admitted since the last gossip message arrived.
    unreported: f64,
    /// Units that may be admitted until the next gossip message, in addition to
    /// what the rate earns. `None` until it is first computed.
    allowance: Option<f64>,
    /// When the gossip message arrived from which the allowance was computed.
    gossip_at: Timestamp,
    /// Units that the bucket holds; negative after debits of other entries.
    level: f64,
    capacity: f64,
    /// Units earned per second.
    fill_rate: f64,
    refilled_at: Timestamp,
    admitted: u64,
    /// The fraction of the limit for which the start level has been credited.
    started_fraction: f64,
    /// What the account owes for the start level.
    start_debt: StartDebt,
    /// This entry's fraction of the account's use when the last gossip arrived.
    own_fraction: f64,
    /// The number of random draws so far that decided which requests to refuse.
    draws: u64,
}

impl AccountBucket {
    /// Returns a bucket from which other entries took `excess` units more than
    /// it earned.
    fn new(now: Timestamp, capacity: f64, excess: f64, starts_full: bool) -> Self {
        let (level, started_fraction) = if starts_full {
            (capacity, 1.0)
        } else {
            (0.0, 0.0)
        };
        Self {
            unreported: 0.0,
            allowance: None,
            gossip_at: now,
            level: level - excess,
            capacity,
            fill_rate: 0.0,
            refilled_at: now,
            admitted: 0,
            started_fraction,
            start_debt: StartDebt::new(now),
            own_fraction: 0.0,
            draws: 0,
        }
    }

    /// Sets fill rate and capacity for this entry's fraction of the limit, and
    /// refills the bucket. `full_capacity` is the capacity for the whole limit, `slack`
    /// the units by which the account may exceed it.
    fn set_fraction(
        &mut self,
        now: Timestamp,
        rule: &AccountRule,
        full_capacity: f64,
        slack: f64,
        fraction: f64,
    ) {
        if fraction > self.started_fraction {
            let added = fraction - self.started_fraction;
            self.level += full_capacity * START_LEVEL * added;
            self.start_debt
                .add((full_capacity * START_LEVEL + slack) * added);
            self.started_fraction = fraction;
        }
        self.fill_rate = rule.rate * fraction;
        self.capacity = full_capacity * fraction;
        self.refill(now);
    }

    /// Checks that the level suffices for a request, and returns the retry
    /// delay if it doesn't. Large requests need no higher level than
    /// `MAX_NEEDED_LEVEL`, or they would hardly ever be admitted. The bucket
    /// earns back what they overdraw before it admits more.
    fn check_level(&self, units: u64) -> Result<(), Duration> {
        let needed = (units as f64).min(self.capacity * MAX_NEEDED_LEVEL);
        if self.level >= needed {
            return Ok(());
        }
        let missing = (needed - self.level) / self.fill_rate.max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(missing).unwrap_or(Duration::MAX))
    }

    fn note_admitted(&mut self, now: Timestamp, units: u64) {
        self.start_debt.note_admitted(now, units as f64);
        self.unreported += units as f64;
        self.level -= units as f64;
        self.admitted += units;
    }

    /// Records that a request was refused. It is a sign of an account over its limit
    /// only while the bucket is nearly empty.
    fn note_refused(&mut self, now: Timestamp, units: u64) {
        if self.level < self.capacity * MAX_NEEDED_LEVEL {
            self.start_debt.note_refused(now, units as f64);
        }
    }

    /// Adds what the rate earned since the last refill, without what the account pays
    /// back.
    fn refill(&mut self, now: Timestamp) {
        let earned = now.since(self.refilled_at).as_secs_f64() * self.fill_rate;
        let earned = self.start_debt.pay(now, earned);
        self.level = (self.level + earned).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Computes a new allowance if new gossip arrived: this entry's `fraction`
    /// of the level and of the slack.
    fn renew_allowance(&mut self, gossip_at: Timestamp, fraction: f64, slack: f64) {
        if self.gossip_at == gossip_at && self.allowance.is_some() {
            return;
        }
        self.gossip_at = gossip_at;
        self.unreported = 0.0;
        self.own_fraction = fraction;
        self.allowance = Some((self.level.max(0.0) + slack) * fraction);
    }

    /// Checks that a request fits into the allowance and what the rate earned
    /// since the last gossip, and returns the retry delay if it doesn't.
    fn check_allowance(
        &self,
        now: Timestamp,
        rate: f64,
        gossip_state: &GossipState,
        units: u64,
    ) -> Result<(), Duration> {
        let elapsed = now.since(gossip_state.gossip_at);
        let fraction = if gossip_state.is_fresh {
            self.own_fraction
        } else {
            1.0 / gossip_state.entries
        };
        let fill_rate = rate * fraction;
        let allowed = self.allowance.unwrap_or(0.0) + fill_rate * elapsed.as_secs_f64();
        let missing = self.unreported + units as f64 - allowed;
        if self.unreported <= 0.0 || missing <= 0.0 {
            return Ok(());
        }
        let earned_after = Duration::try_from_secs_f64(missing / fill_rate.max(f64::MIN_POSITIVE));
        let gossip_after = GOSSIP_INTERVAL
            .checked_sub(elapsed)
            .unwrap_or(GOSSIP_INTERVAL);
        Err(earned_after.unwrap_or(Duration::MAX).min(gossip_after))
    }

    /// Refuses a random part of the requests if all entries together would admit
    /// too much before they receive each other's gossip: more than the bucket's
    /// level plus a fraction of what it earns in that time. `expected_use` is
    /// what they will probably admit in that time. Without this, hundreds of
    /// entries that each admit one request between two gossip messages would far
    /// exceed the limit.
    fn thin_out(&mut self, own: Incarnation, expected_use: f64) -> Result<(), Duration> {
        let earned = self.fill_rate * PROPAGATION_TIME.as_secs_f64() * EARNED_FRACTION;
        let left = self.level.max(0.0) + earned;
        let admitted_fraction = (left / expected_use.max(1.0)).max(MIN_ADMITTED_FRACTION);
        if admitted_fraction >= 1.0 {
            return Ok(());
        }
        self.draws += 1;
        let drawn = XxHash64::oneshot(own.0, &self.draws.to_le_bytes());
        if (drawn as f64) < admitted_fraction * u64::MAX as f64 {
            return Ok(());
        }
        Err(PROPAGATION_TIME.div_f64(admitted_fraction))
    }
}

/// What an entry knows of the other entries when it decides about a request.
#[derive(Clone, Copy, Debug)]
struct GossipState {
    /// When the last gossip arrived.
    gossip_at: Timestamp,
    /// Whether it is recent enough to rely on.
    is_fresh: bool,
    /// How many entries share the limits.
    entries: f64,
}

/// What another entry reported that it admitted.
#[derive(Clone, Copy, Debug)]
struct ReportedUnits {
    /// The part of the total that does not count: the first total received, or
    /// 0 if this entry has received the other's gossip from its start on.
    base: u64,
    /// The highest total received.
    units: u64,
}

/// The buckets of all accounts at one entry.
#[derive(Clone, Debug)]
pub struct AccountLimits {
    own: Incarnation,
    buckets: BTreeMap<AccountName, AccountBucket>,
    uses: BTreeMap<AccountName, AccountUse>,
    reported: BTreeMap<Incarnation, BTreeMap<AccountName, ReportedUnits>>,
    /// The sums over all other entries, including those that are gone. They are
    /// updated with each message, not recomputed: a hub of 300 entries and 40
    /// accounts reads them 2,000 times a second, and computing them each time
    /// would take a whole core.
    reported_totals: BTreeMap<AccountName, u64>,
    debited: BTreeMap<AccountName, u64>,
    /// By sender and account, the units debited before the sender's first total,
    /// and that total.
    first_totals: BTreeMap<Incarnation, BTreeMap<AccountName, (u64, u64)>>,
    starts_full: bool,
    slack: LimitSlack,
    gossip_at: Timestamp,
    /// When this entry first received a request or gossip.
    used_since: Option<Timestamp>,
}

impl AccountLimits {
    /// Returns the limits of an entry that starts. `starts_full` may only be
    /// set at the first start of all entries, when nothing was admitted before.
    pub fn new(own: Incarnation, starts_full: bool, slack: LimitSlack) -> Self {
        Self {
            own,
            buckets: BTreeMap::new(),
            uses: BTreeMap::new(),
            reported: BTreeMap::new(),
            reported_totals: BTreeMap::new(),
            debited: BTreeMap::new(),
            first_totals: BTreeMap::new(),
            starts_full,
            slack,
            gossip_at: Timestamp(0),
            used_since: None,
        }
    }

    /// Admits `units` of an account, or returns the retry delay.
    ///
    /// # Errors
    ///
    /// The time after which a retry will probably be admitted.
    pub fn admit(
        &mut self,
        now: Timestamp,
        rule: &AccountRule,
        units: u64,
        view: ShareView,
    ) -> Result<(), Duration> {
        if rule.rate <= 0.0 {
            return Ok(());
        }
        let admission = self.decide(now, rule, units, view);
        if admission.is_err() {
            self.note_refused(now, rule, units, view);
        }
        admission
    }

    fn decide(
        &mut self,
        now: Timestamp,
        rule: &AccountRule,
        units: u64,
        view: ShareView,
    ) -> Result<(), Duration> {
        let used_since = *self.used_since.get_or_insert(now);
        let fraction = self.fraction(now, view);
        let gossip_state = GossipState {
            gossip_at: self.gossip_at,
            is_fresh: view.reachable > 1 && now.since(self.gossip_at) < GOSSIP_STALE_AFTER,
            entries: view.entries.max(1) as f64,
        };
        let full_capacity = self.slack.capacity(rule);
        let slack = self.slack.total(rule);
        let account_use = self
            .uses
            .entry(rule.name.clone())
            .or_insert_with(|| AccountUse::new(now));
        let bucket = self.buckets.entry(rule.name.clone()).or_insert_with(|| {
            // Other entries may have emptied the bucket before its first
            // request here.
            let max_debt = MAX_DEBT_BUCKETS * full_capacity * fraction;
            let excess = account_use.excess(now, rule.rate).min(max_debt);
            AccountBucket::new(now, full_capacity * fraction, excess, self.starts_full)
        });
        if now.since(used_since) >= self.slack.window {
            bucket.start_debt.forgive();
        }
        bucket.set_fraction(now, rule, full_capacity, slack, fraction);
        bucket.check_level(units)?;
        // Bounds what is admitted before the other entries learn of it.
        let expected_use = account_use
            .expected_use(now)
            .filter(|_| gossip_state.is_fresh);
        let own_fraction =
            account_use.own_fraction(now, rule.rate, (fraction * gossip_state.entries).max(1.0));
        let unreported_slack = slack * UNREPORTED_SLACK;
        bucket.renew_allowance(gossip_state.gossip_at, own_fraction, unreported_slack);
        bucket.check_allowance(now, rule.rate, &gossip_state, units)?;
        if let Some(expected_use) = expected_use {
            bucket.thin_out(self.own, expected_use)?;
        }
        account_use.note_own_units(now, units as f64);
        bucket.note_admitted(now, units);
        Ok(())
    }

    /// Records that a request was refused. Until gossip arrives, a bucket covers a small
    /// part of the limit, which accounts below their limits empty too.
    fn note_refused(&mut self, now: Timestamp, rule: &AccountRule, units: u64, view: ShareView) {
        let is_fresh = now.since(self.gossip_at) < GOSSIP_STALE_AFTER;
        let covers_all = view.entries <= 1 || (view.reachable > 1 && is_fresh);
        let bucket = self.buckets.get_mut(&rule.name);
        if let Some(bucket) = bucket.filter(|_| covers_all) {
            bucket.note_refused(now, units);
        }
    }

    /// Records that gossip about what other entries admitted arrived.
    pub fn note_gossip(&mut self, now: Timestamp) {
        self.used_since.get_or_insert(now);
        self.gossip_at = now;
    }

    /// Returns the fraction of every limit that the buckets of this entry cover:
    /// that of all reachable entries, or only its own once gossip is stale.
    fn fraction(&self, now: Timestamp, view: ShareView) -> f64 {
        let is_fresh = now.since(self.gossip_at) < GOSSIP_STALE_AFTER;
        let reachable = if is_fresh { view.reachable } else { 1 };
        ShareView { reachable, ..view }.fraction()
    }

    /// Returns the level of an account's bucket, if the account has one here.
    pub fn level(&self, account: &AccountName) -> Option<f64> {
        self.buckets.get(account).map(|bucket| bucket.level)
    }

    /// Puts back the units of a request that certainly did not run.
    pub fn refund(&mut self, account: &AccountName, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.level += units as f64;
            bucket.admitted = bucket.admitted.saturating_sub(units);
        }
    }

    /// Returns what this entry admitted since it started, by account.
    pub fn admitted(&self) -> impl Iterator<Item = (&AccountName, u64)> {
        self.buckets.iter().map(|(name, b)| (name, b.admitted))
    }

    /// Records the total that another entry admitted since it started.
    /// `received_from_start` is whether this entry has received the other's
    /// gossip from its start on. If not, the first total does not count.
    pub fn note_peer_total(
        &mut self,
        from: Incarnation,
        account: &AccountName,
        units: u64,
        received_from_start: bool,
    ) {
        let accounts = self.reported.entry(from).or_default();
        let known = match accounts.get_mut(account) {
            Some(known) => known,
            None => accounts.entry(account.clone()).or_insert(ReportedUnits {
                base: if received_from_start { 0 } else { units },
                units: if received_from_start { 0 } else { units },
            }),
        };
        let increase = units.saturating_sub(known.units);
        known.units += increase;
        match self.reported_totals.get_mut(account) {
            Some(total) => *total += increase,
            None => {
                self.reported_totals.insert(account.clone(), increase);
            }
        }
    }

    /// Debits the totals that the other entries reported to this one.
    pub fn merge_peer_totals<'a>(
        &mut self,
        now: Timestamp,
        own: Incarnation,
        accounts: impl IntoIterator<Item = &'a AccountName>,
    ) {
        self.note_gossip(now);
        for account in accounts {
            let units = self.reported_totals.get(account).copied().unwrap_or(0);
            self.merge_total(now, own, account, units);
        }
    }

    /// Debits a total of what other entries admitted, as the entry `sender` sums
    /// it. Senders begin to sum at different times, so each total is compared
    /// with the first one of its sender. Units that several senders report are
    /// debited once: the highest result counts.
    pub fn merge_total(
        &mut self,
        now: Timestamp,
        sender: Incarnation,
        account: &AccountName,
        units: u64,
    ) {
        self.note_gossip(now);
        let debited = self.debited.entry(account.clone()).or_default();
        let first_total = (*debited, units);
        let first_totals = self.first_totals.entry(sender).or_default();
        let (first_debited, first_units) =
            *first_totals.entry(account.clone()).or_insert(first_total);
        let total = first_debited + units.saturating_sub(first_units);
        let debit = total.saturating_sub(*debited);
        *debited += debit;
        let account_use = self.uses.entry(account.clone());
        let account_use = account_use.or_insert_with(|| AccountUse::new(now));
        account_use.note_peer_units(now, debit as f64);
        if let Some(bucket) = self.buckets.get_mut(account) {
            // Refill first: if requests of the account are seconds apart, the
            // debit would otherwise be limited by the floor before the units
            // earned between the requests are added.
            bucket.refill(now);
            let floor = -MAX_DEBT_BUCKETS * bucket.capacity;
            let lowered = bucket.level - debit as f64;
            bucket.level = lowered.max(floor.min(bucket.level));
        }
    }

    /// Returns what all entries admitted, this one included, except for the
    /// `receiver` of the totals.
    pub fn totals_without(&self, receiver: Option<Incarnation>) -> Vec<AdmittedUnits> {
        let receiver_counts = receiver.and_then(|incarnation| self.reported.get(&incarnation));
        let receiver_units = |account: &AccountName| {
            let reported = receiver_counts.and_then(|accounts| accounts.get(account));
            reported.map_or(0, |reported| reported.units - reported.base)
        };
        let own_units = |account: &AccountName| self.buckets.get(account).map(|b| b.admitted);
        let reported = self.reported_totals.iter().map(|(account, total)| {
            let units = total - receiver_units(account) + own_units(account).unwrap_or(0);
            (account, units)
        });
        let own_only = self.admitted();
        let own_only = own_only.filter(|(account, _)| !self.reported_totals.contains_key(*account));
        let totals = reported.chain(own_only);
        totals
            .map(|(account, units)| AdmittedUnits {
                account: account.clone(),
                units,
            })
            .collect()
    }

    /// Removes the reports of an incarnation that is gone. Its units stay in
    /// the totals.
    pub fn retire(&mut self, gone: Incarnation) {
        self.first_totals.remove(&gone);
        self.reported.remove(&gone);
    }
}
