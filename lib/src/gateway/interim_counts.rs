//! Chooses which counts of open usage windows the lease holder saves next.
//!
//! Pure logic: no I/O and no clock. Counts never decrease and are merged when they are
//! restored, so a record needs only those that changed. A full save four times a second
//! would grow with the entries times their accounts, beyond the longest record of the
//! store at two thousand entries.

use std::time::Duration;

use crate::gateway::usage_table::IncarnationCounts;
use crate::quantity::Timestamp;

/// The most counts in one record: about 160 KB, where the store takes 256 KB. The others
/// follow in the next record.
const MAX_RECORD_COUNTS: usize = 4_000;
/// The time after which all counts are saved again. The store may drop its history, and
/// with it the earlier records.
const FULL_SAVE_INTERVAL: Duration = Duration::from_secs(4);

/// What the lease holder saved of the windows that are not decided yet.
#[derive(Clone, Debug, Default)]
pub struct InterimCounts {
    saved: IncarnationCounts,
    /// When the last full save began.
    full_save_at: Option<Timestamp>,
}

impl InterimCounts {
    /// Returns counts of which nothing is saved.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the counts to save next, or nothing if all are saved. `current` holds the
    /// counts of all windows that are not decided yet.
    pub fn next_record(
        &mut self,
        now: Timestamp,
        current: &IncarnationCounts,
    ) -> IncarnationCounts {
        let is_full_due = self
            .full_save_at
            .is_none_or(|at| now.since(at) >= FULL_SAVE_INTERVAL);
        if is_full_due {
            self.saved.clear();
            self.full_save_at = Some(now);
        }
        self.saved.retain(|window, _| current.contains_key(window));
        let mut record = IncarnationCounts::new();
        let mut left = MAX_RECORD_COUNTS;
        for (window, incarnations) in current {
            for (incarnation, counts) in incarnations {
                let saved = self
                    .saved
                    .get(window)
                    .and_then(|saved| saved.get(incarnation));
                let is_saved = |account, count| saved.and_then(|s| s.get(account)) == Some(count);
                for (account, count) in counts {
                    if left == 0 || is_saved(account, count) {
                        continue;
                    }
                    left -= 1;
                    let incarnations = record.entry(*window).or_default();
                    let counts = incarnations.entry(*incarnation).or_default();
                    counts.insert(account.clone(), *count);
                }
            }
        }
        record
    }

    /// Notes that a record was appended.
    pub fn note_saved(&mut self, record: IncarnationCounts) {
        for (window, incarnations) in record {
            let saved = self.saved.entry(window).or_default();
            for (incarnation, counts) in incarnations {
                saved.entry(incarnation).or_default().extend(counts);
            }
        }
    }
}
