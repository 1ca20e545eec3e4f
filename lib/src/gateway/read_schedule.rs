//! Decides which entries read the store, and how often.
//!
//! Pure: it does no I/O. Each call to the store costs, and the store refuses calls
//! when hundreds of entries read it at once. So only the first hub reads, and sends
//! what it read to the other entries. If their copies become too old, the other hubs
//! read the store themselves, one after the other, and finally all entries do, early
//! enough to meet the bound on staleness that operators set.
//!
//! If those reads take more bandwidth than the store has, entries take turns. If
//! hundreds of entries read a long list at once, the reads of the hubs would wait
//! behind them, the data that hubs send would stay old, and the entries would never
//! stop reading. Entries that restart wait for a hub as at the first start, since all of
//! them may have been lost at once.

use std::time::Duration;

use crate::gateway::peer_table::HUB_COUNT;

/// How long the store may delay its response to a read of the configuration, as a
/// fraction of the bound. It responds at once when the configuration changes. An
/// empty response only shows that nothing changed before the read was sent, so some
/// copies are at least this old when it arrives.
const POLL_TIMEOUT_FRACTION: f64 = 0.2;
/// The interval between reads of the backend servers, as a fraction of the bound. The
/// rest has room for two gossip hops of 250 ms each and one failed read.
const POLL_INTERVAL_FRACTION: f64 = 0.3;
/// The age of its copy, as a fraction of the bound, at which an entry reads the store
/// itself: an element for each hub by rank, then one for all other entries. The first
/// hub always reads. The last fraction leaves a quarter of the bound for the read.
const DIRECT_READ_FRACTIONS: [f64; HUB_COUNT + 1] = [0.0, 0.55, 0.65, 0.75];
/// The fraction of the store's read bandwidth for the entries that read the list of
/// backend servers themselves in one turn. In the worst case all turns together take
/// four times as much, which leaves half of the bandwidth for all other reads.
const DIRECT_READ_BANDWIDTH_FRACTION: f64 = 0.1;
/// The bytes that one record takes in a read of the full list: about 190 bytes, in
/// base64, with key and offset.
const LISTED_RECORD_BYTES: f64 = 310.0;
/// How long entries without a copy wait for one from a hub before they read the store
/// themselves, and for the list of entries, without which they don't know their rank.
/// At the first start callers connect later than that.
const HUB_WAIT: Duration = Duration::from_millis(3_000);
/// The time between two turns of such reads.
const FIRST_READ_TURN: Duration = Duration::from_millis(1_000);
/// How many entries read in one such turn. They don't know the length of the list
/// yet; the store serves this many within a second if it lists 3,000 servers.
const FIRST_READ_MAX_READERS: usize = 64;
/// The largest deployment whose entries all read at once when they restart. Callers
/// wait for them then, and the store serves so few readers in time.
const SMALL_DEPLOYMENT: usize = 128;

/// When to read a topic so that no copy of it becomes older than a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadSchedule {
    bound: Duration,
}

impl ReadSchedule {
    /// Returns the schedule by which all entries receive a change within `bound`.
    pub fn with_bound(bound: Duration) -> Self {
        Self { bound }
    }

    /// Returns how long the store may delay its response until a record arrives.
    pub fn poll_timeout(self) -> Duration {
        self.bound.mul_f64(POLL_TIMEOUT_FRACTION)
    }

    /// Returns the interval between reads to which the store responds at once.
    pub fn poll_interval(self) -> Duration {
        self.bound.mul_f64(POLL_INTERVAL_FRACTION)
    }

    /// Returns how many entries may read a list of `servers` at the same time, from a
    /// store with a read bandwidth of `read_mb_s`.
    pub fn max_readers(self, read_mb_s: f64, servers: usize) -> usize {
        let bytes = DIRECT_READ_BANDWIDTH_FRACTION * read_mb_s * 1e6 * self.bound.as_secs_f64();
        let readers = bytes / (LISTED_RECORD_BYTES * servers.max(1) as f64);
        (readers as usize).max(HUB_COUNT)
    }

    /// Returns the age of its copy at which the entry of a rank reads the store
    /// itself, if `max_readers` entries may do so at the same time.
    pub fn direct_read_age(self, rank: usize, max_readers: usize) -> Duration {
        let fraction = DIRECT_READ_FRACTIONS[rank.min(HUB_COUNT)];
        let turn = if rank < HUB_COUNT {
            0
        } else {
            rank / max_readers
        };
        self.bound.mul_f64(fraction) * (turn as u32 + 1)
    }
}

/// What an entry considers when it decides whether to read a topic from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderState {
    /// Its rank as a hub: 0 for the first hub.
    pub rank: usize,
    /// How many entries it knows, itself included.
    pub entries: usize,
    /// How many entries may read the topic at the same time.
    pub max_readers: usize,
    /// Whether it holds the lease. The holder always reads: it has to know whether
    /// the store responds to it, and gives the lease up if not.
    pub holds_lease: bool,
    /// The age of its copy of the topic, if it has one.
    pub view_age: Option<Duration>,
    /// Whether the deployment starts for the first time.
    pub first_start: bool,
    /// Whether it has read the list of entries.
    pub has_entry_list: bool,
    /// How long it has run.
    pub uptime: Duration,
}

impl ReaderState {
    /// Returns whether to read the store now.
    pub fn should_read_store(self, schedule: ReadSchedule) -> bool {
        match self.view_age {
            None => self.uptime >= self.first_read_at(),
            Some(age) => {
                self.holds_lease || age >= schedule.direct_read_age(self.rank, self.max_readers)
            }
        }
    }

    /// Returns the uptime at which this entry reads a topic of which it has no copy.
    /// Hubs read at once, and others usually receive a copy from one of them first. If
    /// hundreds of entries read a long list at once, none of the reads ends in time.
    fn first_read_at(self) -> Duration {
        if !self.has_entry_list {
            return HUB_WAIT;
        }
        let is_small = self.entries <= SMALL_DEPLOYMENT;
        if self.rank < HUB_COUNT || (is_small && !self.first_start) {
            return Duration::ZERO;
        }
        let turn = (self.rank / FIRST_READ_MAX_READERS) as u32;
        HUB_WAIT + FIRST_READ_TURN * turn
    }
}
