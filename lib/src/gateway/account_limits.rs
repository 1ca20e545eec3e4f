//! The rate of each client account, shared by all entries.
//!
//! Pure. Every entry keeps its own copy of one bucket per account. It fills at
//! the account's rate and is emptied by what this entry admits at once, and by
//! what other entries admitted as soon as they tell. Debits that come late
//! push a bucket below zero, which is paid back before more is admitted.
//!
//! An entry that does not hear some of the others leaves them their even part
//! of the rate: its bucket holds, and fills with, the parts of those that it
//! hears. Both sides of a cut do this, so their sum stays below the limit. An entry that
//! has just started has a nearly empty bucket, since it cannot know what was
//! admitted before.

use std::collections::BTreeMap;
use std::time::Duration;

use twox_hash::XxHash64;

use crate::gateway::account_use::AccountUse;
use crate::gateway::account_use::TELLING_TIME;
use crate::gateway::site_config::AccountRule;
use crate::id::AccountName;
use crate::id::Incarnation;
use crate::quantity::Timestamp;

/// The most that debits from others may push a bucket below zero, in whole
/// buckets: a bound on how long an account is refused for what others did.
const MAX_DEBT_BUCKETS: f64 = 2.0;

/// How far an account may go beyond its rate and burst, over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSlack {
    /// The window over which use is measured.
    pub window: Duration,
    /// The share of rate and burst by which use may be over.
    pub overage: f64,
    /// Units by which use may be over beside that.
    pub units: f64,
}

impl LimitSlack {
    /// Returns what a bucket holds: the burst, and a part of the slack. It
    /// evens out single large requests, which would be refused although the
    /// account stays below its limit over the window.
    fn capacity(self, rule: &AccountRule) -> f64 {
        rule.burst + self.total(rule) * USED_SLACK
    }

    /// Returns by how many units an account may be over in a window.
    fn total(self, rule: &AccountRule) -> f64 {
        let limit = rule.rate * self.window.as_secs_f64() + rule.burst;
        limit * self.overage + self.units
    }
}

/// The age of the last news from which on an entry gives out its own part of
/// the limits only. News come every quarter of a second; what all entries
/// admit without hearing of each other for longer would exceed the slack.
const NEWS_OVERDUE: Duration = Duration::from_millis(700);
/// How often entries tell each other what they admitted.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
/// The part of the slack by which all entries together may overdraw their
/// buckets between news. Of it, and of what the bucket holds, every entry may
/// give out its part, and one request however large.
const UNHEARD_SLACK: f64 = 0.3;
/// The part of what a bucket earns until entries hear of each other that counts
/// as left. With none of it, half a second's rate is never used after a restart;
/// with all, a large account that presses comes 3 % closer to its bound
/// (`a_large_account_that_presses_stays_within_its_bound`).
const EARNED_PART: f64 = 0.5;
/// The least share of requests that is admitted while a bucket holds enough,
/// which bounds the time after which a caller is asked to come back.
const LEAST_SHARE: f64 = 0.05;
/// The part of the slack that buckets use. The rest covers what entries admit
/// before they hear of each other.
const USED_SLACK: f64 = 0.35;
/// The share of a full bucket from which on a request needs no more to be
/// admitted. The largest requests hold about half of a bucket.
const LARGE_REQUEST: f64 = 0.1;

/// What a bucket holds at the start of an entry, as a share of a full one: the
/// most of 0, 0.2, 0.3 and 0.4 with which two restarts of all entries within a
/// window stay below the bound (`restarts_of_all_entries_stay_within_the_bound`).
/// With empty buckets, all accounts were refused for two to six seconds after
/// all entries had lost power.
const START_LEVEL: f64 = 0.2;

/// How many entries share the limits, and how many of them are heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareView {
    /// Entries that may admit, this one included.
    pub entries: usize,
    /// Those among them that told what they admitted a moment ago, this one
    /// included.
    pub reachable: usize,
}

impl ShareView {
    fn part(self) -> f64 {
        let entries = self.entries.max(1);
        self.reachable.clamp(1, entries) as f64 / entries as f64
    }
}

/// What an entry admitted of an account since its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmittedUnits {
    /// The account.
    pub account: AccountName,
    /// Units since the start of the entry.
    pub units: u64,
}

#[derive(Clone, Debug)]
struct AccountBucket {
    /// Units that were admitted since the last news.
    unheard: f64,
    /// How many may be, beside what the rate earns, once that was computed.
    allowance: Option<f64>,
    /// The last news that were taken into account.
    heard_at: Timestamp,
    level: f64,
    capacity: f64,
    /// Units that it earns in a second.
    fill: f64,
    filled_at: Timestamp,
    admitted: u64,
    /// The part of the limit for which this entry has had its first units.
    started_part: f64,
    /// This entry's part of the account's use when the last news came.
    own_part: f64,
    /// The draws made so far, by which requests are thinned out.
    draws: u64,
}

impl AccountBucket {
    /// Opens a bucket from which others took `excess` more than was earned.
    fn open(now: Timestamp, capacity: f64, excess: f64, starts_full: bool) -> Self {
        let (level, started_part) = if starts_full {
            (capacity, 1.0)
        } else {
            (0.0, 0.0)
        };
        Self {
            unheard: 0.0,
            allowance: None,
            heard_at: now,
            level: level - excess,
            capacity,
            fill: 0.0,
            filled_at: now,
            admitted: 0,
            started_part,
            own_part: 0.0,
            draws: 0,
        }
    }

    /// Fills the bucket at this entry's part of the limit. `whole` is what the
    /// bucket holds if all entries are heard.
    fn set_part(&mut self, now: Timestamp, rule: &AccountRule, whole: f64, part: f64) {
        if part > self.started_part {
            self.level += whole * START_LEVEL * (part - self.started_part);
            self.started_part = part;
        }
        self.fill = rule.rate * part;
        self.capacity = whole * part;
        self.refill(now);
    }

    /// Returns when to come back if the bucket holds too little for a request.
    /// Large ones need no fuller bucket than others, else they would hardly ever
    /// be admitted; what they overdraw is paid back first.
    fn check_level(&self, units: u64) -> Result<(), Duration> {
        let needed = (units as f64).min(self.capacity * LARGE_REQUEST);
        if self.level >= needed {
            return Ok(());
        }
        let missing = (needed - self.level) / self.fill.max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(missing).unwrap_or(Duration::MAX))
    }

    fn note_admitted(&mut self, units: u64) {
        self.unheard += units as f64;
        self.level -= units as f64;
        self.admitted += units;
    }

    /// Adds what the rate earned since the last time.
    fn refill(&mut self, now: Timestamp) {
        let earned = now.since(self.filled_at).as_secs_f64() * self.fill;
        self.level = (self.level + earned).min(self.capacity);
        self.filled_at = self.filled_at.max(now);
    }

    /// Begins to count anew once news came. `part` of the level and of the slack
    /// is this entry's.
    fn renew_allowance(&mut self, heard_at: Timestamp, part: f64, slack: f64) {
        if self.heard_at == heard_at && self.allowance.is_some() {
            return;
        }
        self.heard_at = heard_at;
        self.unheard = 0.0;
        self.own_part = part;
        self.allowance = Some((self.level.max(0.0) + slack) * part);
    }

    /// Returns when to come back if this entry's part of the level, which grows
    /// since the last news, has no room for a request.
    fn take_allowance(
        &self,
        now: Timestamp,
        rate: f64,
        news: &NewsView,
        units: u64,
    ) -> Result<(), Duration> {
        let passed = now.since(news.heard_at);
        let part = if news.is_fresh {
            self.own_part
        } else {
            1.0 / news.entries
        };
        let fill = rate * part;
        let allowed = self.allowance.unwrap_or(0.0) + fill * passed.as_secs_f64();
        let missing = self.unheard + units as f64 - allowed;
        if self.unheard <= 0.0 || missing <= 0.0 {
            return Ok(());
        }
        let earned_after = Duration::try_from_secs_f64(missing / fill.max(f64::MIN_POSITIVE));
        let news_after = GOSSIP_INTERVAL
            .checked_sub(passed)
            .unwrap_or(GOSSIP_INTERVAL);
        Err(earned_after.unwrap_or(Duration::MAX).min(news_after))
    }

    /// Admits every request as long as all entries together leave something of
    /// the bucket, and of a part of what it earns, until they hear of each other,
    /// and the share of them that is left otherwise. Without this, hundreds of entries that admit one request
    /// each between news exceed a limit by far.
    fn thin_out(&mut self, own: Incarnation, until_told: f64) -> Result<(), Duration> {
        let earned = self.fill * TELLING_TIME.as_secs_f64() * EARNED_PART;
        let left = self.level.max(0.0) + earned;
        let share = (left / until_told.max(1.0)).max(LEAST_SHARE);
        if share >= 1.0 {
            return Ok(());
        }
        self.draws += 1;
        let number = XxHash64::oneshot(own.0, &self.draws.to_le_bytes());
        if (number as f64) < share * u64::MAX as f64 {
            return Ok(());
        }
        Err(TELLING_TIME.div_f64(share))
    }
}

/// What an entry has heard of the others when it decides about a request.
#[derive(Clone, Copy, Debug)]
struct NewsView {
    /// When the last news came.
    heard_at: Timestamp,
    /// Whether they are recent enough to go by.
    is_fresh: bool,
    /// How many entries share the limits.
    entries: f64,
}

/// What one entry told that it admitted.
#[derive(Clone, Copy, Debug)]
struct ToldUnits {
    base: u64,
    units: u64,
}

/// The buckets of all accounts on one entry.
#[derive(Clone, Debug)]
pub struct AccountLimits {
    own: Incarnation,
    buckets: BTreeMap<AccountName, AccountBucket>,
    uses: BTreeMap<AccountName, AccountUse>,
    told: BTreeMap<Incarnation, BTreeMap<AccountName, ToldUnits>>,
    /// What all others told, those that are gone included. It is kept and not
    /// summed anew: a hub of 300 entries and 40 accounts needs it two thousand
    /// times a second, and would spend a whole core on sums.
    told_totals: BTreeMap<AccountName, u64>,
    debited: BTreeMap<AccountName, u64>,
    counters: BTreeMap<Incarnation, BTreeMap<AccountName, (u64, u64)>>,
    starts_full: bool,
    slack: LimitSlack,
    heard_at: Timestamp,
}

impl AccountLimits {
    /// Returns limits of an entry that starts. `starts_full` is only right for
    /// the first start of all entries, when nothing was admitted before.
    pub fn new(own: Incarnation, starts_full: bool, slack: LimitSlack) -> Self {
        Self {
            own,
            buckets: BTreeMap::new(),
            uses: BTreeMap::new(),
            told: BTreeMap::new(),
            told_totals: BTreeMap::new(),
            debited: BTreeMap::new(),
            counters: BTreeMap::new(),
            starts_full,
            slack,
            heard_at: Timestamp(0),
        }
    }

    /// Admits `units` of an account, or returns when to come back.
    ///
    /// # Errors
    ///
    /// The time after which the bucket will probably hold enough.
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
        let part = self.part(now, view);
        let news = NewsView {
            heard_at: self.heard_at,
            is_fresh: view.reachable > 1 && now.since(self.heard_at) < NEWS_OVERDUE,
            entries: view.entries.max(1) as f64,
        };
        let whole = self.slack.capacity(rule);
        let slack = self.slack.total(rule) * UNHEARD_SLACK;
        let recent = self
            .uses
            .entry(rule.name.clone())
            .or_insert_with(|| AccountUse::new(now));
        let bucket = self.buckets.entry(rule.name.clone()).or_insert_with(|| {
            // Others may have emptied the bucket before its first request here.
            let most = MAX_DEBT_BUCKETS * whole * part;
            let excess = recent.excess(now, rule.rate).min(most);
            AccountBucket::open(now, whole * part, excess, self.starts_full)
        });
        bucket.set_part(now, rule, whole, part);
        bucket.check_level(units)?;
        // What is admitted before others hear of it is bounded too.
        let until_told = recent.until_told(now).filter(|_| news.is_fresh);
        let own_part = recent.part(now, rule.rate, (part * news.entries).max(1.0));
        bucket.renew_allowance(news.heard_at, own_part, slack);
        bucket.take_allowance(now, rule.rate, &news, units)?;
        if let Some(until_told) = until_told {
            bucket.thin_out(self.own, until_told)?;
        }
        recent.note_own(now, units as f64);
        bucket.note_admitted(units);
        Ok(())
    }

    /// Notes that a hub told what others admitted.
    pub fn note_gossip(&mut self, now: Timestamp) {
        self.heard_at = now;
    }

    /// Returns the part of every limit that this entry may give out: that of
    /// the entries that are heard, or its own alone once news are overdue.
    fn part(&self, now: Timestamp, view: ShareView) -> f64 {
        let fresh = now.since(self.heard_at) < NEWS_OVERDUE;
        let heard = if fresh { view.reachable } else { 1 };
        ShareView {
            reachable: heard,
            ..view
        }
        .part()
    }

    /// Returns the level of an account's bucket, if anything was admitted.
    pub fn level(&self, account: &AccountName) -> Option<f64> {
        self.buckets.get(account).map(|bucket| bucket.level)
    }

    /// Gives back units whose request certainly did not run.
    pub fn refund(&mut self, account: &AccountName, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.level += units as f64;
            bucket.admitted = bucket.admitted.saturating_sub(units);
        }
    }

    /// Returns what this entry admitted since its start, by account.
    pub fn admitted(&self) -> impl Iterator<Item = (&AccountName, u64)> {
        self.buckets.iter().map(|(name, b)| (name, b.admitted))
    }

    /// Notes what another entry told that it admitted since its start. One
    /// that was not heard from its start on, so not `young`, counts only from
    /// its first word on.
    pub fn note_peer_total(
        &mut self,
        from: Incarnation,
        account: &AccountName,
        units: u64,
        young: bool,
    ) {
        let accounts = self.told.entry(from).or_default();
        let known = match accounts.get_mut(account) {
            Some(known) => known,
            None => accounts.entry(account.clone()).or_insert(ToldUnits {
                base: if young { 0 } else { units },
                units: if young { 0 } else { units },
            }),
        };
        let risen = units.saturating_sub(known.units);
        known.units += risen;
        match self.told_totals.get_mut(account) {
            Some(total) => *total += risen,
            None => {
                self.told_totals.insert(account.clone(), risen);
            }
        }
    }

    /// Takes what was told here of some accounts into account.
    pub fn merge_peer_totals<'a>(
        &mut self,
        now: Timestamp,
        own: Incarnation,
        accounts: impl IntoIterator<Item = &'a AccountName>,
    ) {
        self.note_gossip(now);
        for account in accounts {
            let units = self.told_totals.get(account).copied().unwrap_or(0);
            self.merge_total(now, own, account, units);
        }
    }

    /// Takes a count of what others admitted into account, as one entry, the
    /// counter, sums it. Each counter begins somewhere else, so counts are
    /// compared from the first word of each; the highest is the one.
    pub fn merge_total(
        &mut self,
        now: Timestamp,
        counter: Incarnation,
        account: &AccountName,
        units: u64,
    ) {
        self.note_gossip(now);
        let debited = self.debited.entry(account.clone()).or_default();
        let begun = (*debited, units);
        let counters = self.counters.entry(counter).or_default();
        let (debited_then, units_then) = *counters.entry(account.clone()).or_insert(begun);
        let total = debited_then + units.saturating_sub(units_then);
        let debit = total.saturating_sub(*debited);
        *debited += debit;
        let recent = self.uses.entry(account.clone());
        let recent = recent.or_insert_with(|| AccountUse::new(now));
        recent.note_others(now, debit as f64);
        if let Some(bucket) = self.buckets.get_mut(account) {
            // What was earned counts first: an entry that sees a request of the
            // account every few seconds would forget debts beyond the floor.
            bucket.refill(now);
            let floor = -MAX_DEBT_BUCKETS * bucket.capacity;
            let lowered = bucket.level - debit as f64;
            bucket.level = lowered.max(floor.min(bucket.level));
        }
    }

    /// Returns what all entries but one admitted, this one included.
    pub fn totals_without(&self, left_out: Option<Incarnation>) -> Vec<AdmittedUnits> {
        let left_out = left_out.and_then(|incarnation| self.told.get(&incarnation));
        let theirs = |account: &AccountName| {
            let told = left_out.and_then(|accounts| accounts.get(account));
            told.map_or(0, |told| told.units - told.base)
        };
        let own = |account: &AccountName| self.buckets.get(account).map(|b| b.admitted);
        let told = self.told_totals.iter().map(|(account, total)| {
            let units = total - theirs(account) + own(account).unwrap_or(0);
            (account, units)
        });
        let untold = self.admitted();
        let untold = untold.filter(|(account, _)| !self.told_totals.contains_key(*account));
        let totals = told.chain(untold);
        totals
            .map(|(account, units)| AdmittedUnits {
                account: account.clone(),
                units,
            })
            .collect()
    }

    /// Forgets what an incarnation that is gone told of itself; it stays in
    /// the totals.
    pub fn retire(&mut self, gone: Incarnation) {
        self.counters.remove(&gone);
        self.told.remove(&gone);
    }
}
