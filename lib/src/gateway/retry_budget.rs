//! Bounds how often requests are retried at another backend server.
//!
//! Pure logic: no I/O and no clock. Every entry earns retries in proportion to the
//! requests that it accepts itself, and gets an equal part of a reserve for all entries.
//! The retries of all entries thus stay below the bound without coordination, even during
//! a network partition.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

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

/// The share of the bound that is used. The remainder covers requests that begin or
/// end at the edges of the window.
const USED_SHARE: f64 = 0.8;

/// When requests for one service were sent within the window.
#[derive(Clone, Debug, Default)]
struct ServiceSends {
    first: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
    /// Retries that were refused since the last report.
    refused: u64,
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
    /// Retries that the entry may take with these requests.
    pub allowed: f64,
    /// Retries that were refused since the last report.
    pub refused: u64,
}

impl ServiceSends {
    fn allowed(&self, rule: &RetryBudgetRule, entries: usize) -> f64 {
        let reserve = rule.reserve / entries.max(1) as f64;
        (rule.ratio * self.first.len() as f64 + reserve) * USED_SHARE
    }
}

/// The requests and retries of one entry within the window, by service.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    services: BTreeMap<ServiceName, ServiceSends>,
}

impl RetryBudget {
    /// Returns a budget without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request for a service.
    pub fn note_request(&mut self, now: Timestamp, service: &ServiceName, rule: &RetryBudgetRule) {
        let sends = self.services.entry(service.clone()).or_default();
        sends.first.push_back(now);
        drop_expired(&mut sends.first, now, rule.window);
    }

    /// Takes one retry from the budget. Returns whether the budget allows it.
    /// `entries` is the number of entries that share the reserve.
    pub fn take(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        rule: &RetryBudgetRule,
        entries: usize,
    ) -> bool {
        let sends = self.services.entry(service.clone()).or_default();
        drop_expired(&mut sends.first, now, rule.window);
        drop_expired(&mut sends.retries, now, rule.window);
        if (sends.retries.len() + 1) as f64 > sends.allowed(rule, entries) {
            sends.refused += 1;
            return false;
        }
        sends.retries.push_back(now);
        true
    }

    /// Returns the use of the budget by service, and resets the counts of refused retries.
    pub fn take_usage(
        &mut self,
        now: Timestamp,
        rule: &RetryBudgetRule,
        entries: usize,
    ) -> Vec<RetryUsage> {
        let usage = |(service, sends): (&ServiceName, &mut ServiceSends)| {
            drop_expired(&mut sends.first, now, rule.window);
            drop_expired(&mut sends.retries, now, rule.window);
            RetryUsage {
                service: service.clone(),
                requests: sends.first.len(),
                taken: sends.retries.len(),
                allowed: sends.allowed(rule, entries),
                refused: std::mem::take(&mut sends.refused),
            }
        };
        self.services.iter_mut().map(usage).collect()
    }
}

fn drop_expired(times: &mut VecDeque<Timestamp>, now: Timestamp, window: Duration) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}
