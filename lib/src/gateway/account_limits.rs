//! The rate of each client account, shared by all entries.
//!
//! Pure. Every entry keeps its own copy of one bucket per account. It fills at
//! the account's rate and is emptied by what this entry admits at once, and by
//! what other entries admitted as soon as they tell. Debits that come late
//! push a bucket below zero, which is paid back before more is admitted.
//!
//! An entry that does not hear some of the others leaves them their even part
//! of the rate: its bucket fills with the parts of those that it hears. Both
//! sides of a cut do this, so their sum stays below the rate. An entry that
//! has just started has an empty bucket, since it cannot know what was
//! admitted before.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gateway::site_config::AccountRule;
use crate::id::AccountName;
use crate::id::Incarnation;
use crate::quantity::Timestamp;

/// The most that debits from others may push a bucket below zero, in bursts:
/// a bound on how long an account is refused for what went wrong elsewhere.
const MAX_DEBT_BURSTS: f64 = 3.0;

/// How many entries share the limits, and how many of them are heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareView {
    /// Entries that may admit, this one included.
    pub entries: usize,
    /// Those among them that told what they admitted a moment ago, this one
    /// included.
    pub heard: usize,
}

impl ShareView {
    fn part(self) -> f64 {
        let entries = self.entries.max(1);
        self.heard.clamp(1, entries) as f64 / entries as f64
    }
}

#[derive(Clone, Debug)]
struct AccountBucket {
    level: f64,
    filled_at: Timestamp,
    admitted: u64,
}

/// The buckets of all accounts on one entry.
#[derive(Clone, Debug, Default)]
pub struct AccountLimits {
    buckets: BTreeMap<AccountName, AccountBucket>,
    told: BTreeMap<(Incarnation, AccountName), u64>,
    starts_full: bool,
}

impl AccountLimits {
    /// Returns limits of an entry that starts. `starts_full` is only right for
    /// the first start of all entries, when nothing was admitted before.
    pub fn new(starts_full: bool) -> Self {
        Self {
            starts_full,
            ..Self::default()
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
        let starts_full = self.starts_full;
        let bucket = self
            .buckets
            .entry(rule.name.clone())
            .or_insert_with(|| AccountBucket {
                level: if starts_full { rule.burst } else { 0.0 },
                filled_at: now,
                admitted: 0,
            });
        let fill = rule.rate * view.part();
        let passed = now.since(bucket.filled_at).as_secs_f64();
        bucket.level = (bucket.level + passed * fill).min(rule.burst);
        bucket.filled_at = now;
        // A request larger than the whole bucket is admitted when it is full.
        let needed = (units as f64).min(rule.burst);
        if bucket.level < needed {
            let missing = (needed - bucket.level) / fill.max(f64::MIN_POSITIVE);
            return Err(Duration::try_from_secs_f64(missing).unwrap_or(Duration::MAX));
        }
        bucket.level -= units as f64;
        bucket.admitted += units;
        Ok(())
    }

    /// Gives back units whose request certainly did not run.
    pub fn give_back(&mut self, account: &AccountName, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.level += units as f64;
            bucket.admitted = bucket.admitted.saturating_sub(units);
        }
    }

    /// Returns what this entry admitted since its start, by account.
    pub fn admitted(&self) -> impl Iterator<Item = (&AccountName, u64)> {
        self.buckets.iter().map(|(name, b)| (name, b.admitted))
    }

    /// Notes what another entry admitted since its start. The first word of an
    /// incarnation counts only from there on if `joined_late`.
    pub fn note_told(
        &mut self,
        from: Incarnation,
        account: &AccountName,
        admitted: u64,
        burst: f64,
        joined_late: bool,
    ) {
        let key = (from, account.clone());
        let known = self.told.insert(key, admitted);
        let before = known.unwrap_or(if joined_late { admitted } else { 0 });
        let debit = admitted as f64 - before as f64;
        if let Some(bucket) = self.buckets.get_mut(account) {
            let floor = -MAX_DEBT_BURSTS * burst;
            bucket.level = (bucket.level - debit).max(floor).min(burst);
        }
    }

    /// Forgets an incarnation that is gone.
    pub fn forget(&mut self, gone: Incarnation) {
        self.told.retain(|(from, _), _| *from != gone);
    }
}
