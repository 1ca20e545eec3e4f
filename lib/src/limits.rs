//! Limits of client accounts, split over the entries, and retry budgets.
//!
//! Pure. Each entry grants its share of an account's rate and concurrency.
//! The share is one over the number of entries that may be granting: those
//! that serve, and those that served in their last report. An entry
//! that died without a word is forgotten after ten minutes; until then its
//! share is unused, and entries cut off from each other grant no share twice.
//! After that, each part of a partition grants the whole limit.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::configuration::AccountConfig;
use crate::id::AccountName;
use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// How much of a second's rate may be used in one burst.
const BURST_SECONDS: f64 = 1.0;
/// The smallest and largest time after which a caller should come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Why a request was refused by a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitRefusal {
    /// The account's rate on this entry is used up.
    Rate {
        /// When the next request would be granted.
        retry_after: Duration,
    },
    /// The account has too many requests in progress on this entry.
    Concurrency {
        /// A time by which some will have ended.
        retry_after: Duration,
    },
}

#[derive(Clone, Debug)]
struct AccountUse {
    tokens: f64,
    filled_at: Timestamp,
    running: u32,
}

/// What each client account uses on this entry.
#[derive(Clone, Debug, Default)]
pub struct AccountLimiter {
    uses: BTreeMap<AccountName, AccountUse>,
}

impl AccountLimiter {
    /// Returns a limiter in which nobody has used anything.
    pub fn new() -> Self {
        Self::default()
    }

    /// Grants one request of an account, or says when to come back. `sharers`
    /// is the number of entries that may be granting, this one included.
    ///
    /// # Errors
    ///
    /// See [`LimitRefusal`]; nothing was counted then.
    pub fn grant(
        &mut self,
        now: Timestamp,
        account: &AccountConfig,
        sharers: usize,
    ) -> Result<(), LimitRefusal> {
        let share = 1.0 / sharers.max(1) as f64;
        let rate = account.request_rate.0 * share;
        let burst = (rate * BURST_SECONDS).max(1.0);
        let concurrency = (f64::from(account.concurrency) * share).floor().max(1.0) as u32;
        let used = self
            .uses
            .entry(account.name.clone())
            .or_insert_with(|| AccountUse {
                tokens: burst,
                filled_at: now,
                running: 0,
            });
        let elapsed = now.since(used.filled_at).as_secs_f64();
        used.tokens = (used.tokens + elapsed * rate).min(burst);
        used.filled_at = now;
        if used.running >= concurrency {
            let retry_after = MIN_RETRY_AFTER;
            return Err(LimitRefusal::Concurrency { retry_after });
        }
        if used.tokens < 1.0 {
            let seconds = (1.0 - used.tokens) / rate;
            let wait = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_AFTER);
            let retry_after = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            return Err(LimitRefusal::Rate { retry_after });
        }
        used.tokens -= 1.0;
        used.running += 1;
        Ok(())
    }

    /// Notes that a granted request ended.
    pub fn release(&mut self, account: &AccountName) {
        if let Some(used) = self.uses.get_mut(account) {
            assert!(used.running > 0, "only granted requests end");
            used.running -= 1;
        }
    }

    /// Returns the requests of an account in progress.
    pub fn running(&self, account: &AccountName) -> u32 {
        self.uses.get(account).map_or(0, |used| used.running)
    }
}

/// The most retries that a service can save up.
const MAX_SAVED_RETRIES: f64 = 20.0;
/// The first pause before a retry, before doubling.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// The longest pause before a retry.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Retries allowed for each service, as a share of its first tries, so that
/// retries cannot multiply an overload.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    saved: BTreeMap<ServiceName, f64>,
}

impl RetryBudget {
    /// Returns a budget in which every service has a full reserve.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a first try, which earns `percent` hundredths of a retry.
    pub fn earn(&mut self, service: &ServiceName, percent: u32) {
        let saved = self
            .saved
            .entry(service.clone())
            .or_insert(MAX_SAVED_RETRIES);
        *saved = (*saved + f64::from(percent) / 100.0).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry out of the budget, if there is one.
    pub fn spend(&mut self, service: &ServiceName) -> bool {
        let saved = self
            .saved
            .entry(service.clone())
            .or_insert(MAX_SAVED_RETRIES);
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }
}

/// Returns the pause before the retry numbered `attempt`, from 1. `fraction`
/// is drawn evenly from 0 to 1 and spreads retries over the whole pause.
pub fn retry_pause(attempt: u32, fraction: f64) -> Duration {
    let doubled = FIRST_PAUSE * (1 << attempt.min(10));
    doubled.min(LONGEST_PAUSE).mul_f64(fraction.clamp(0.0, 1.0))
}

/// Returns when a refused caller should come back: `base`, spread over as much
/// again by `fraction`, which is drawn evenly from 0 to 1, so that callers
/// refused together do not return together.
pub fn spread_retry_after(base: Duration, fraction: f64) -> Duration {
    let base = base.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    base + base.mul_f64(fraction.clamp(0.0, 1.0))
}
