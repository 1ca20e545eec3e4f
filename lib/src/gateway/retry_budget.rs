//! Bounds how often requests are retried at another backend server.
//!
//! Pure logic: no I/O and no clock. The retries of all entries together stay within one
//! bound, which is a share of the requests and a reserve. An entry has three sources of
//! retries:
//!
//! 1. its own requests, each of which earns a fraction of a retry ([`EarnedRetries`]);
//! 2. an equal part of one half of the reserve;
//! 3. a credit out of the [`RetryPool`] of a hub, which the hub restores after it has
//!    counted what was drawn.
//!
//! An entry that restarts does not know what its predecessor took. An entry without a
//! connection to the store, direct or through hubs, may not know how many others there are,
//! and others may not count it. Both have no part of the reserve until they have been
//! connected for a whole window, and give no credit. Such an entry depends on its own requests
//! and on the credit of a hub that knows what its predecessor drew.
//!
//! [`EarnedRetries`]: crate::gateway::earned_retries::EarnedRetries
//! [`RetryPool`]: crate::gateway::retry_pool::RetryPool

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::gateway::earned_retries::EarnedRetries;
use crate::gateway::retry_pool::PoolCredit;
use crate::gateway::retry_pool::PoolDraws;
use crate::id::EntryName;
use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// The bound on retries over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetRule {
    /// Retries for each request within the window.
    pub ratio: f64,
    /// Retries that are always allowed within the window.
    pub reserve: f64,
    /// The length of the window.
    pub window: Duration,
}

/// The share of the reserve that is divided equally among the entries.
const DIVIDED_SHARE: f64 = 0.5;
/// For how long the credit of a hub can be drawn after the last message of this entry that
/// the hub is known to have received.
pub const CREDIT_LIFETIME: Duration = Duration::from_secs(2);
/// For how long the highest number of entries is used at least. Entries that are gone, or
/// only unreachable, may still count in the window of the bound.
const ENTRY_COUNT_MEMORY: Duration = Duration::from_secs(60);
/// The age of the list of backend servers from which on the number of entries is not
/// trusted. It is shorter than the time after which the store drops the record of an entry
/// that no longer writes there, so no other entry divides by a lower number before.
const LIST_LIFETIME: Duration = Duration::from_secs(3);
/// The most services for which an entry draws from pools, so that its reports stay small.
const MAX_POOL_SERVICES: usize = 64;
/// The most hubs whose credit is stored.
const MAX_CREDITING_HUBS: usize = 8;
/// Thousandths of a retry, in which draws are reported.
const MILLI: f64 = 1_000.0;
/// The tolerance for sums of fractions.
const ROUNDING: f64 = 1e-6;

/// A retry that was taken.
#[derive(Clone, Copy, Debug)]
struct TakenRetry {
    at: Timestamp,
    /// The part that the entry's own requests had earned.
    earned: f64,
    /// The part that came out of the entry's part of the reserve.
    divided: f64,
}

/// The requests for one service and their retries.
#[derive(Clone, Debug, Default)]
struct ServiceSends {
    /// The requests, and what they have earned.
    earned: EarnedRetries,
    /// The retries within the window.
    retries: VecDeque<TakenRetry>,
    /// Thousandths of retries that came out of pools since the start of the entry.
    drawn_milli: u64,
    /// Retries that were refused since the last report.
    refused: u64,
}

impl ServiceSends {
    fn drop_expired(&mut self, now: Timestamp, window: Duration) {
        let is_over = |at: Timestamp| now.since(at) > window;
        while self.retries.front().is_some_and(|retry| is_over(retry.at)) {
            self.retries.pop_front();
        }
    }
}

/// What the sources of an entry still have for a service, in retries.
#[derive(Clone, Copy, Debug, Default)]
struct AvailableRetries {
    earned: f64,
    divided: f64,
    credit: f64,
}

impl AvailableRetries {
    fn sum(self) -> f64 {
        self.earned + self.divided + self.credit
    }
}

/// The credit of one hub for this entry.
#[derive(Clone, Debug)]
struct HubCredit {
    /// When this entry sent the last message that the hub is known to have received.
    confirmed_at: Timestamp,
    /// How much may be drawn for each service beyond the restored draws.
    milli: u64,
    /// Draws since the start of this entry that the hub has counted and restored.
    restored_milli: BTreeMap<ServiceName, u64>,
}

/// The highest number of entries over the last one to two memory times.
#[derive(Clone, Copy, Debug, Default)]
struct HighestCount {
    began_at: Timestamp,
    current: usize,
    previous: usize,
}

impl HighestCount {
    fn note(&mut self, now: Timestamp, count: usize) {
        if now.since(self.began_at) > ENTRY_COUNT_MEMORY {
            *self = Self {
                began_at: now,
                current: 0,
                previous: self.current,
            };
        }
        self.current = self.current.max(count);
    }

    fn get(self) -> Option<usize> {
        let highest = self.current.max(self.previous);
        (highest > 0).then_some(highest)
    }
}

/// How much of the budget for a service one entry has used within the window.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryUsage {
    /// The service.
    pub service: ServiceName,
    /// Requests of callers.
    pub requests: usize,
    /// Retries that were taken.
    pub taken: usize,
    /// The part of these retries that its own requests had earned.
    pub earned: f64,
    /// The part that came out of its part of the reserve. The remainder was drawn from pools.
    pub divided: f64,
    /// Retries that the entry may take with these requests.
    pub allowed: f64,
    /// Retries that were refused since the last report.
    pub refused: u64,
}

/// The requests and retries of one entry within the window, by service.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    services: BTreeMap<ServiceName, ServiceSends>,
    hub_credits: BTreeMap<EntryName, HubCredit>,
    entries: HighestCount,
    /// When the list of backend servers was last known to be the newest.
    list_confirmed_at: Option<Timestamp>,
    /// When the number of entries was last recorded.
    noted_at: Timestamp,
    /// Since when the number of entries can be trusted.
    trusted_since: Option<Timestamp>,
    is_first_start: bool,
}

impl RetryBudget {
    /// Returns the budget of an entry that starts. `is_first_start` may only be true if no
    /// entry ran before.
    pub fn new(is_first_start: bool) -> Self {
        Self {
            is_first_start,
            ..Self::default()
        }
    }

    /// Records how many entries are known to share the budget. `is_complete` is false while
    /// there may be others. `list_confirmed_at` is when the list of backend servers was last
    /// confirmed.
    pub fn note_entries(
        &mut self,
        now: Timestamp,
        entries: usize,
        is_complete: bool,
        list_confirmed_at: Option<Timestamp>,
    ) {
        self.entries.note(now, entries);
        // A process that was suspended may have missed that its knowledge was too old.
        let was_suspended = now.since(self.noted_at) > LIST_LIFETIME;
        self.noted_at = now;
        self.list_confirmed_at = list_confirmed_at;
        if was_suspended || !self.has_recent_list(now) {
            self.trusted_since = None;
        }
        if self.has_recent_list(now) && is_complete {
            self.trusted_since.get_or_insert(now);
        }
    }

    fn has_recent_list(&self, now: Timestamp) -> bool {
        let is_recent = |at| now.since(at) <= LIST_LIFETIME;
        self.list_confirmed_at.is_some_and(is_recent)
    }

    /// Returns the number of entries by which the reserve is divided; none if it has not
    /// been known for a whole window.
    pub fn dividing_entries(&self, now: Timestamp, rule: &RetryBudgetRule) -> Option<usize> {
        // In the first window of a first start there are no earlier retries to wait for.
        let is_first_window =
            |at: Timestamp| self.is_first_start && at < Timestamp(0).after(rule.window);
        if is_first_window(now) {
            return self.entries.get();
        }
        let since = self.trusted_since?;
        let is_settled = is_first_window(since) || now.since(since) >= rule.window;
        let is_trusted = is_settled && self.has_recent_list(now);
        is_trusted.then(|| self.entries.get()).flatten()
    }

    /// Counts a request for a service.
    pub fn note_request(&mut self, now: Timestamp, service: &ServiceName, rule: &RetryBudgetRule) {
        let sends = self.services.entry(service.clone()).or_default();
        sends.earned.note_request(now, rule.window);
        sends.drop_expired(now, rule.window);
    }

    /// Takes one retry from the budget. Returns whether the budget allows it.
    pub fn take(&mut self, now: Timestamp, service: &ServiceName, rule: &RetryBudgetRule) -> bool {
        let sends = self.services.entry(service.clone()).or_default();
        sends.drop_expired(now, rule.window);
        let available = self.available(now, service, rule);
        let Some(sends) = self.services.get_mut(service) else {
            return false;
        };
        if available.sum() + ROUNDING < 1.0 {
            sends.refused += 1;
            return false;
        }
        // Credit is used before the part of the reserve: a hub restores it, and learns from
        // the draw that this entry needs more.
        let earned = available.earned.min(1.0);
        let drawn = available.credit.min(1.0 - earned);
        let divided = available.divided.min(1.0 - earned - drawn);
        sends.earned.note_taken(now, rule.window, earned);
        sends.drawn_milli += (drawn * MILLI).ceil() as u64;
        sends.retries.push_back(TakenRetry {
            at: now,
            earned,
            divided,
        });
        true
    }

    /// Returns what the sources have for a service. Times before the window must have been
    /// dropped.
    fn available(
        &self,
        now: Timestamp,
        service: &ServiceName,
        rule: &RetryBudgetRule,
    ) -> AvailableRetries {
        let Some(sends) = self.services.get(service) else {
            return AvailableRetries::default();
        };
        let divided: f64 = sends.retries.iter().map(|retry| retry.divided).sum();
        let part = |entries| rule.reserve * DIVIDED_SHARE / entries as f64;
        let part = self.dividing_entries(now, rule).map_or(0.0, part);
        AvailableRetries {
            earned: sends.earned.available(now, rule.window, rule.ratio),
            divided: (part - divided).max(0.0),
            credit: self.credit(now, service),
        }
    }

    /// Returns what is left of the credit at the hub that gives the most.
    fn credit(&self, now: Timestamp, service: &ServiceName) -> f64 {
        let sends = self.services.get(service);
        let drawn = sends.map_or(0, |sends| sends.drawn_milli);
        let has_drawn = |sends: &&ServiceSends| sends.drawn_milli > 0;
        if drawn == 0 && self.services.values().filter(has_drawn).count() >= MAX_POOL_SERVICES {
            return 0.0;
        }
        let is_fresh = |credit: &&HubCredit| now.since(credit.confirmed_at) <= CREDIT_LIFETIME;
        let left = |credit: &HubCredit| {
            let restored = credit.restored_milli.get(service).copied().unwrap_or(0);
            (credit.milli + restored).saturating_sub(drawn)
        };
        let hub_credits = self.hub_credits.values().filter(is_fresh);
        hub_credits.map(left).max().unwrap_or(0) as f64 / MILLI
    }

    /// Returns what was drawn from pools since the start of the entry, to be reported.
    pub fn pool_draws(&self) -> Vec<PoolDraws> {
        let has_drawn = self
            .services
            .iter()
            .filter(|(_, sends)| sends.drawn_milli > 0);
        let draws = has_drawn.map(|(service, sends)| PoolDraws {
            service: service.to_string(),
            milli: sends.drawn_milli,
        });
        draws.collect()
    }

    /// Records a reply of a hub to the message that this entry sent at `confirmed_at`: the
    /// credit of this entry there, if it has one.
    pub fn note_credit(
        &mut self,
        hub: &EntryName,
        confirmed_at: Timestamp,
        credit: Option<&PoolCredit>,
    ) {
        let Some(credit) = credit else {
            self.hub_credits.remove(hub);
            return;
        };
        let known = self.hub_credits.get(hub);
        if known.is_some_and(|known| confirmed_at < known.confirmed_at) {
            return;
        }
        if known.is_none() && self.hub_credits.len() >= MAX_CREDITING_HUBS {
            self.hub_credits
                .retain(|_, known| confirmed_at.since(known.confirmed_at) <= CREDIT_LIFETIME);
        }
        let restored = credit.restored.iter();
        let restored_milli =
            restored.filter_map(|draws| Some((draws.service.parse().ok()?, draws.milli)));
        let hub_credit = HubCredit {
            confirmed_at,
            milli: credit.milli,
            restored_milli: restored_milli.collect(),
        };
        self.hub_credits.insert(hub.clone(), hub_credit);
    }

    /// Returns the use of the budget by service, and resets the counts of refused retries.
    pub fn take_usage(&mut self, now: Timestamp, rule: &RetryBudgetRule) -> Vec<RetryUsage> {
        for sends in self.services.values_mut() {
            sends.drop_expired(now, rule.window);
        }
        let services: Vec<ServiceName> = self.services.keys().cloned().collect();
        let usage = |service: ServiceName| {
            let left = self.available(now, &service, rule).sum();
            let sends = self.services.get_mut(&service)?;
            let allowed = sends.retries.len() as f64 + left;
            Some(RetryUsage {
                requests: sends.earned.requests(now, rule.window),
                taken: sends.retries.len(),
                earned: sends.retries.iter().map(|retry| retry.earned).sum(),
                divided: sends.retries.iter().map(|retry| retry.divided).sum(),
                allowed,
                refused: std::mem::take(&mut sends.refused),
                service,
            })
        };
        services.into_iter().filter_map(usage).collect()
    }
}
