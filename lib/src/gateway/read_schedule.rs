//! How often an entry reads the store, and which entries do.
//!
//! Pure. Each call to the store costs, and hundreds of entries that all ask are
//! refused by it. So one entry reads, the first hub, and the others hear from
//! it. The next hubs take its place once their knowledge is older than its
//! reads and the way of its news explain, and all others read for themselves
//! while there still is time to keep what operators are promised. Where that
//! is more than the store gives, they take turns: hundreds that read a long
//! list at once would keep the hubs' own reads from being answered, so that
//! news stay old and everybody goes on reading.

use std::time::Duration;

use crate::gateway::peer_table::HUB_COUNT;

/// The share of its bound for which a read of the configuration waits for news.
/// A change ends the wait at once. An empty answer proves that there was none,
/// so that knowledge is at least this old in places.
const WAIT_SHARE: f64 = 0.2;
/// The share of its bound between reads of the backend servers. Two ways of
/// news, a quarter of a second each, and a read that fails fit in beside it.
const PAUSE_SHARE: f64 = 0.3;
/// The shares of a bound from which on entries read for themselves: the first
/// hub always, the next ones one after the other, and the last one everybody,
/// with a quarter of the bound left for it.
const OWN_READ_SHARES: [f64; HUB_COUNT + 1] = [0.0, 0.55, 0.65, 0.75];
/// The part of what the store gives to all readers that goes to entries which
/// read the list of backend servers for themselves. All turns together take
/// four times as much at the worst, which leaves half for all other reads.
const OWN_READS_SHARE: f64 = 0.1;
/// The bytes of a server's record in a read of the whole list: some 190, in
/// base64, with its key and offset.
const LISTED_BYTES: f64 = 310.0;
/// How long entries that start for the first time, all together, wait for a
/// hub's word before they read the store themselves. Callers come later.
const FIRST_WORD: Duration = Duration::from_millis(3_000);
/// How much later the next of those read that have their turn after others.
const FIRST_TURN: Duration = Duration::from_millis(1_000);
/// How many entries read at once that know no list yet, nor how long it is: as
/// many as the store serves within a second with 3,000 servers listed.
const FIRST_READERS: usize = 64;

/// The rhythm of reads that keeps one bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadSchedule {
    bound: Duration,
}

impl ReadSchedule {
    /// Returns the rhythm by which a change is known everywhere within `bound`.
    pub fn with_bound(bound: Duration) -> Self {
        Self { bound }
    }

    /// Returns how long a read waits for news.
    pub fn wait(self) -> Duration {
        self.bound.mul_f64(WAIT_SHARE)
    }

    /// Returns the pause between reads that do not wait.
    pub fn poll_interval(self) -> Duration {
        self.bound.mul_f64(PAUSE_SHARE)
    }

    /// Returns how many entries may read a list of that many servers for
    /// themselves at once, from a store that gives `read_mb_s` to all readers.
    pub fn max_readers(self, read_mb_s: f64, servers: usize) -> usize {
        let bytes = OWN_READS_SHARE * read_mb_s * 1e6 * self.bound.as_secs_f64();
        let readers = bytes / (LISTED_BYTES * servers.max(1) as f64);
        (readers as usize).max(HUB_COUNT)
    }

    /// Returns the age of knowledge from which on the entry of a rank among
    /// the hubs reads for itself, where `readers` may do so at once.
    pub fn own_read_age(self, rank: usize, readers: usize) -> Duration {
        let share = OWN_READ_SHARES[rank.min(HUB_COUNT)];
        let turn = if rank < HUB_COUNT { 0 } else { rank / readers };
        self.bound.mul_f64(share) * (turn as u32 + 1)
    }
}

/// What an entry knows when it decides whether to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderState {
    /// How many entries that may be hubs come before it.
    pub rank: usize,
    /// How many entries may read for themselves at once.
    pub max_readers: usize,
    /// Whether it holds the lease. Its holder has to know whether the store
    /// answers it, and gives the lease up otherwise.
    pub holds_lease: bool,
    /// The age of its knowledge, if it has any.
    pub view_age: Option<Duration>,
    /// Whether all entries start for the first time.
    pub first_start: bool,
    /// Whether it has read which other entries there are.
    pub has_entry_list: bool,
    /// How long it has run.
    pub uptime: Duration,
}

impl ReaderState {
    /// Returns whether to read the store now.
    pub fn should_read_store(self, rhythm: ReadSchedule) -> bool {
        let Some(age) = self.view_age else {
            let is_reader = self.has_entry_list && self.rank < HUB_COUNT;
            let turn = (self.rank / FIRST_READERS) as u32;
            let waited = self.uptime >= FIRST_WORD + FIRST_TURN * turn;
            return !self.first_start || is_reader || waited;
        };
        self.holds_lease || age >= rhythm.own_read_age(self.rank, self.max_readers)
    }
}
