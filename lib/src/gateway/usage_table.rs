//! Counts requests that began to run, by window of the wall clock and account.
//!
//! Pure: no I/O. Every entry counts its own requests and keeps the last counts
//! that each other incarnation reported, including incarnations that are gone,
//! so that little is lost when an entry is killed.

use std::collections::BTreeMap;

use crate::id::AccountName;
use crate::id::Incarnation;

/// The number of a window, counted from the start of 1970.
pub type WindowNumber = u64;

/// How many windows before the newest one are kept. The report of a window is
/// due two windows after its end.
const KEPT_WINDOWS: u64 = 6;

/// The requests of one window, by account.
pub type WindowCounts = BTreeMap<AccountName, u64>;

/// The counts of several windows, by the incarnation of the entry that counted.
pub type IncarnationCounts = BTreeMap<WindowNumber, BTreeMap<Incarnation, WindowCounts>>;

/// The counts known at one entry.
#[derive(Clone, Debug)]
pub struct UsageTable {
    own: Incarnation,
    counts: IncarnationCounts,
}

impl UsageTable {
    /// Returns the empty table of an entry.
    pub fn new(own: Incarnation) -> Self {
        Self {
            own,
            counts: BTreeMap::new(),
        }
    }

    /// Counts one request that began to run here.
    pub fn count(&mut self, window: WindowNumber, account: &AccountName) {
        let own = self.own;
        let counts = self
            .counts
            .entry(window)
            .or_default()
            .entry(own)
            .or_default();
        *counts.entry(account.clone()).or_default() += 1;
        self.drop_old(window);
    }

    /// Records a count of another incarnation. Counts never decrease, so an
    /// older message changes nothing.
    pub fn note_peer_count(
        &mut self,
        from: Incarnation,
        window: WindowNumber,
        account: &AccountName,
        count: u64,
    ) {
        if from == self.own {
            return;
        }
        let counts = self
            .counts
            .entry(window)
            .or_default()
            .entry(from)
            .or_default();
        let known = counts.entry(account.clone()).or_default();
        *known = count.max(*known);
    }

    /// Returns this entry's own counts of all kept windows.
    pub fn own_counts(&self) -> impl Iterator<Item = (WindowNumber, &WindowCounts)> {
        let own = self.own;
        self.counts
            .iter()
            .filter_map(move |(window, counts_by_incarnation)| {
                counts_by_incarnation
                    .get(&own)
                    .map(|counts| (*window, counts))
            })
    }

    /// Returns all known counts of the windows from `oldest` on.
    pub fn since(&self, oldest: WindowNumber) -> IncarnationCounts {
        let recent = self.counts.range(oldest..);
        let recent = recent.map(|(window, incarnations)| (*window, incarnations.clone()));
        recent.collect()
    }

    /// Merges the counts that an earlier lease holder recorded. The counts of
    /// an incarnation never decrease, so merging a known count changes nothing.
    pub fn restore(&mut self, windows: &IncarnationCounts) {
        for (window, incarnations) in windows {
            for (incarnation, counts) in incarnations {
                for (account, count) in counts {
                    self.note_peer_count(*incarnation, *window, account, *count);
                }
            }
        }
    }

    /// Returns the counts of a window, summed over all entries.
    pub fn total(&self, window: WindowNumber) -> WindowCounts {
        let mut total = WindowCounts::new();
        let counts_by_incarnation = self
            .counts
            .get(&window)
            .into_iter()
            .flat_map(BTreeMap::values);
        for (account, count) in counts_by_incarnation.flatten() {
            *total.entry(account.clone()).or_default() += count;
        }
        total
    }

    /// Removes windows more than `KEPT_WINDOWS` before `newest`.
    pub fn drop_old(&mut self, newest: WindowNumber) {
        let oldest = newest.saturating_sub(KEPT_WINDOWS);
        self.counts.retain(|window, _| *window >= oldest);
    }
}
