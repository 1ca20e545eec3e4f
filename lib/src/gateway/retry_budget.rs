//! How often requests may be sent to a second backend server.
//!
//! Pure. Every entry earns a share of the requests it takes itself and has a
//! part of the fixed reserve of all entries, so that the sum over all entries
//! stays below the bound without any talk between them, whatever is cut.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// The bound on sends beyond the first, over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetRule {
    /// Sends beyond the first for each request in the window.
    pub ratio: f64,
    /// Sends beyond the first that are always allowed in the window.
    pub reserve: f64,
    /// The length of the window.
    pub window: Duration,
}

/// The part of the bound that is used; the rest covers requests that end and
/// begin at the edges of the window.
const USED_SHARE: f64 = 0.8;

#[derive(Clone, Debug, Default)]
struct ServiceSends {
    first: VecDeque<Timestamp>,
    again: VecDeque<Timestamp>,
}

/// The sends of one entry within the window, by service.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    services: BTreeMap<ServiceName, ServiceSends>,
}

impl RetryBudget {
    /// Returns a budget without any sends.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a request for a service.
    pub fn note_request(&mut self, now: Timestamp, service: &ServiceName, rule: &RetryBudgetRule) {
        let sends = self.services.entry(service.clone()).or_default();
        sends.first.push_back(now);
        drop_old(&mut sends.first, now, rule.window);
    }

    /// Takes one send beyond the first, if the budget allows it. `entries` is
    /// the number of entries that share the reserve.
    pub fn take(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        rule: &RetryBudgetRule,
        entries: usize,
    ) -> bool {
        let sends = self.services.entry(service.clone()).or_default();
        drop_old(&mut sends.first, now, rule.window);
        drop_old(&mut sends.again, now, rule.window);
        let reserve = rule.reserve / entries.max(1) as f64;
        let allowed = (rule.ratio * sends.first.len() as f64 + reserve) * USED_SHARE;
        if (sends.again.len() + 1) as f64 > allowed {
            return false;
        }
        sends.again.push_back(now);
        true
    }
}

fn drop_old(times: &mut VecDeque<Timestamp>, now: Timestamp, window: Duration) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}
