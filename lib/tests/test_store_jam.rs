//! Simulates hundreds of entries that receive nothing from their hubs for a while.
//!
//! All entries then read the list of backend servers from the store, which for 3,000
//! servers takes more bandwidth than the store has. Reads of the hubs wait behind
//! those reads, so that the hubs send old data when they are back, and the entries
//! keep reading. Such a jam does not end by itself: one lasted for the rest of a day,
//! and 98 % of the requests were refused, because entries that don't know whether an
//! API key is still valid refuse requests with it.

use std::time::Duration;

use cloverbend::gateway::read_schedule::ReadSchedule;
use cloverbend::gateway::read_schedule::ReaderState;
use cloverbend::quantity::Timestamp;
use rstest::rstest;

const STEP: Duration = Duration::from_millis(50);
const RUN_TIME: Duration = Duration::from_secs(40);
const BOUND: Duration = Duration::from_millis(2_000);
/// The age of its copy above which an entry refuses requests with an API key.
const MAX_COPY_AGE: Duration = Duration::from_millis(4_250);
/// The read bandwidth of the store.
const STORE_BYTES_PER_S: f64 = 80e6;
/// The size of one record in a read of the full list, in base64.
const LISTED_RECORD_BYTES: usize = 310;
/// The size of one record in a read of the log.
const LOGGED_RECORD_BYTES: f64 = 210.0;
/// How often each server writes a record.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
/// The store truncates longer responses; the reader then reads the full list instead.
const MAX_RESPONSE_BYTES: f64 = 1_024.0 * 1_024.0;
/// How long an entry waits for the first byte of a response.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// The age of a hub's data when other entries receive it.
const GOSSIP_DELAY: Duration = Duration::from_millis(400);
/// The time during which the hubs send nothing.
const HUB_OUTAGE: std::ops::Range<Timestamp> =
    Timestamp::from_millis(5_000)..Timestamp::from_millis(8_000);
/// When entries that start together have read the list of entries.
const ENTRY_LIST_READ_AT: Timestamp = Timestamp::from_millis(1_200);
/// From when on all entries must have a list after all were lost. The bound on the
/// recovery of the service is three times that.
const RESTARTED_AT: Timestamp = Timestamp::from_millis(4_500);
/// From when on all entries must have a fresh list. They receive one a second after
/// the hubs are back.
const RECOVERED_AT: Timestamp = Timestamp::from_millis(12_000);

#[derive(Clone, Copy)]
enum ReadState {
    Idle(Timestamp),
    Pending {
        requested_at: Timestamp,
        responded_at: Timestamp,
    },
}

#[derive(Clone, Copy)]
struct ModelEntry {
    /// When its copy of the list was last known to be the newest, if it has one.
    confirmed_at: Option<Timestamp>,
    /// When it sent its last successful read, if there was one.
    last_read_at: Option<Timestamp>,
    reading: ReadState,
}

struct StoreModel {
    entries: Vec<ModelEntry>,
    servers: usize,
    now: Timestamp,
    store_free_at: Timestamp,
    read_bytes: f64,
}

impl StoreModel {
    fn new(entries: usize, servers: usize, confirmed_at: Option<Timestamp>) -> Self {
        let entry = ModelEntry {
            confirmed_at,
            last_read_at: None,
            reading: ReadState::Idle(Timestamp(0)),
        };
        Self {
            entries: vec![entry; entries],
            servers,
            now: Timestamp(0),
            store_free_at: Timestamp(0),
            read_bytes: 0.0,
        }
    }

    /// Returns the size of the response to an entry's next read.
    fn next_bytes(&self, entry: &ModelEntry) -> f64 {
        let full_list = (self.servers * LISTED_RECORD_BYTES) as f64;
        let Some(last_read_at) = entry.last_read_at else {
            return full_list;
        };
        let heartbeats =
            self.now.since(last_read_at).as_secs_f64() / HEARTBEAT_INTERVAL.as_secs_f64();
        let logged = heartbeats * self.servers as f64 * LOGGED_RECORD_BYTES;
        if logged > MAX_RESPONSE_BYTES {
            MAX_RESPONSE_BYTES + full_list
        } else {
            logged
        }
    }

    fn step(&mut self) {
        self.now = self.now.after(STEP);
        let schedule = ReadSchedule::with_bound(BOUND);
        let entries = self.entries.len();
        // Reads of the same moment reach the store in any order.
        let shift = (self.now.0 / 1_000) as usize;
        for position in 0..entries {
            let rank = (position + shift) % entries;
            let mut entry = self.entries[rank];
            match entry.reading {
                ReadState::Pending { responded_at, .. } if self.now < responded_at => {}
                ReadState::Pending {
                    requested_at,
                    responded_at,
                } => {
                    let in_time = responded_at.since(requested_at) < READ_TIMEOUT;
                    let pause = if in_time {
                        schedule.poll_interval()
                    } else {
                        RETRY_DELAY
                    };
                    if in_time {
                        entry.confirmed_at = entry.confirmed_at.max(Some(requested_at));
                        entry.last_read_at = Some(requested_at);
                    }
                    entry.reading = ReadState::Idle(self.now.after(pause));
                }
                ReadState::Idle(until) if self.now < until => {}
                ReadState::Idle(_) => self.try_read(rank, &mut entry, schedule),
            }
            self.entries[rank] = entry;
        }
        self.receive_gossip();
    }

    fn try_read(&mut self, rank: usize, entry: &mut ModelEntry, schedule: ReadSchedule) {
        let state = ReaderState {
            rank,
            entries: self.entries.len(),
            max_readers: schedule.max_readers(STORE_BYTES_PER_S / 1e6, self.servers),
            holds_lease: false,
            view_age: entry.confirmed_at.map(|at| self.now.since(at)),
            first_start: false,
            has_entry_list: self.now >= ENTRY_LIST_READ_AT,
            uptime: self.now.since(Timestamp(0)),
        };
        if !state.should_read_store(schedule) {
            return;
        }
        let bytes = self.next_bytes(entry);
        self.read_bytes += bytes;
        let begins = self.store_free_at.max(self.now);
        // The store writes the response even if the reader has given up.
        self.store_free_at = begins.after(Duration::from_secs_f64(bytes / STORE_BYTES_PER_S));
        let responded_at = self.store_free_at.min(self.now.after(READ_TIMEOUT));
        entry.reading = ReadState::Pending {
            requested_at: self.now,
            responded_at,
        };
    }

    /// Gives all entries the data that the first entry had a moment ago.
    fn receive_gossip(&mut self) {
        if HUB_OUTAGE.contains(&self.now) {
            return;
        }
        let Some(hub_confirmed_at) = self.entries[0].confirmed_at else {
            return;
        };
        let has_arrived = self.now.since(hub_confirmed_at) >= GOSSIP_DELAY;
        for entry in self.entries.iter_mut().filter(|_| has_arrived) {
            entry.confirmed_at = entry.confirmed_at.max(Some(hub_confirmed_at));
        }
    }

    fn stale_count(&self) -> usize {
        let is_stale = |entry: &&ModelEntry| {
            let age = entry.confirmed_at.map(|at| self.now.since(at));
            age.is_none_or(|age| age > MAX_COPY_AGE)
        };
        self.entries.iter().filter(is_stale).count()
    }
}

#[rstest]
#[case::three_thousand_servers(302, 3_000)]
#[case::a_thousand_servers(302, 1_000)]
#[case::a_hundred_entries(102, 1_000)]
#[case::a_small_deployment(9, 22)]
fn all_entries_have_a_fresh_list_soon_after_the_hubs_are_back(
    #[case] entries: usize,
    #[case] servers: usize,
) {
    let mut model = StoreModel::new(entries, servers, Some(Timestamp(0)));
    let mut stale_count = 0;
    while model.now < Timestamp(0).after(RUN_TIME) {
        model.step();
        if model.now >= RECOVERED_AT {
            stale_count = stale_count.max(model.stale_count());
        }
    }
    assert_eq!(stale_count, 0, "{:.1} GB read", model.read_bytes / 1e9);
}

/// All entries are lost at once and restart without any copy of the list.
#[rstest]
#[case::ten_thousand_servers(986, 10_000)]
#[case::twice_as_many(1_972, 20_000)]
#[case::three_thousand_servers(302, 3_000)]
#[case::a_hundred_entries(102, 1_000)]
#[case::a_small_deployment(9, 22)]
fn all_entries_have_a_list_soon_after_all_were_lost(
    #[case] entries: usize,
    #[case] servers: usize,
) {
    let mut model = StoreModel::new(entries, servers, None);
    while model.now < RESTARTED_AT {
        model.step();
    }
    let read = model.read_bytes / 1e9;
    assert_eq!(model.stale_count(), 0, "{read:.1} GB read");
}
