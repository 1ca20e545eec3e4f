//! Requests that began to run, by window of the wall clock and account.
//!
//! Pure. Every entry counts its own and remembers what each other incarnation
//! told last, also of those that are gone, so that a kill loses little.

use std::collections::BTreeMap;

use crate::id::AccountName;
use crate::id::Incarnation;

/// The number of a window: windows are counted from the start of 1970.
pub type WindowNumber = u64;

/// How many windows are kept. Reports are due two windows after the end.
const KEPT_WINDOWS: u64 = 6;

/// Counts of one window.
pub type WindowCounts = BTreeMap<AccountName, u64>;

/// Counts of several windows, by the life of the entry that counted.
pub type IncarnationCounts = BTreeMap<WindowNumber, BTreeMap<Incarnation, WindowCounts>>;

/// The counts that are known on one entry.
#[derive(Clone, Debug)]
pub struct UsageTable {
    own: Incarnation,
    counts: IncarnationCounts,
}

impl UsageTable {
    /// Returns an empty table of an entry.
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

    /// Notes what another incarnation counted. Counts only rise, so an older
    /// word changes nothing.
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
            .filter_map(move |(window, told)| told.get(&own).map(|counts| (*window, counts)))
    }

    /// Returns all that is known of the windows from `oldest` on.
    pub fn since(&self, oldest: WindowNumber) -> IncarnationCounts {
        let recent = self.counts.range(oldest..);
        let recent = recent.map(|(window, lives)| (*window, lives.clone()));
        recent.collect()
    }

    /// Takes over what an earlier holder of the lease knew. Counts of a life only
    /// rise, so what is known twice counts once.
    pub fn restore(&mut self, windows: &IncarnationCounts) {
        for (window, lives) in windows {
            for (life, counts) in lives {
                for (account, count) in counts {
                    self.note_peer_count(*life, *window, account, *count);
                }
            }
        }
    }

    /// Returns the sum of a window over all entries.
    pub fn total(&self, window: WindowNumber) -> WindowCounts {
        let mut total = WindowCounts::new();
        let told = self
            .counts
            .get(&window)
            .into_iter()
            .flat_map(BTreeMap::values);
        for (account, count) in told.flatten() {
            *total.entry(account.clone()).or_default() += count;
        }
        total
    }

    /// Forgets the windows before those that are kept beside `newest`.
    pub fn drop_old(&mut self, newest: WindowNumber) {
        let oldest = newest.saturating_sub(KEPT_WINDOWS);
        self.counts.retain(|window, _| *window >= oldest);
    }
}
