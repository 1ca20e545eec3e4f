//! Hundreds of entries that hear nothing of their hubs for a while.
//!
//! All of them read the list of 3,000 backend servers for themselves then, which
//! is more than the store gives in a second. The hubs' own reads wait behind
//! theirs, so that what hubs tell is old when they are back, and everybody goes
//! on reading. One such jam lasted to the end of a day: 98 % of the requests were
//! refused, since nobody knew any longer which keys were in force.

use std::time::Duration;

use cloverbend::gateway::read_schedule::ReadSchedule;
use cloverbend::gateway::read_schedule::ReaderState;
use cloverbend::quantity::Timestamp;
use rstest::rstest;

const STEP: Duration = Duration::from_millis(50);
const LENGTH: Duration = Duration::from_secs(40);
const BOUND: Duration = Duration::from_millis(2_000);
/// The age from which on requests with a key are refused.
const TOO_OLD: Duration = Duration::from_millis(4_250);
/// What the store gives to all readers in a second.
const STORE_BYTES_PER_S: f64 = 80e6;
/// A record among the newest of all keys, in base64.
const LISTED_BYTES: usize = 310;
/// A record of the log, of which each server writes one in 1.2 s.
const LOGGED_BYTES: f64 = 210.0;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// A longer answer of the log is cut, and the whole list asked for instead.
const LONGEST_ANSWER: f64 = 1_024.0 * 1_024.0;
/// How long an entry waits for the first byte of an answer.
const PATIENCE: Duration = Duration::from_millis(900);
const FAILURE_PAUSE: Duration = Duration::from_millis(500);
/// How old what a hub knows is when others hear it.
const WAY_OF_NEWS: Duration = Duration::from_millis(400);
/// When the hubs tell nothing, and when they are back.
const SILENT: std::ops::Range<Timestamp> =
    Timestamp::from_millis(5_000)..Timestamp::from_millis(8_000);
/// By when all entries have to know the list again, which they hear a second
/// after the hubs are back.
const KNOWN_AGAIN: Timestamp = Timestamp::from_millis(12_000);

#[derive(Clone, Copy)]
enum Reading {
    Rests(Timestamp),
    Waits {
        asked_at: Timestamp,
        answered_at: Timestamp,
    },
}

#[derive(Clone, Copy)]
struct ModelEntry {
    known_at: Timestamp,
    /// Up to when it has read the log itself, if it has.
    read_to: Option<Timestamp>,
    reading: Reading,
}

struct JamWorld {
    entries: Vec<ModelEntry>,
    servers: usize,
    now: Timestamp,
    store_free_at: Timestamp,
    read_bytes: f64,
}

impl JamWorld {
    fn new(entries: usize, servers: usize) -> Self {
        let entry = ModelEntry {
            known_at: Timestamp(0),
            read_to: None,
            reading: Reading::Rests(Timestamp(0)),
        };
        Self {
            entries: vec![entry; entries],
            servers,
            now: Timestamp(0),
            store_free_at: Timestamp(0),
            read_bytes: 0.0,
        }
    }

    /// Returns how many bytes an entry's next read takes.
    fn next_bytes(&self, entry: &ModelEntry) -> f64 {
        let whole = (self.servers * LISTED_BYTES) as f64;
        let Some(read_to) = entry.read_to else {
            return whole;
        };
        let beats = self.now.since(read_to).as_secs_f64() / HEARTBEAT.as_secs_f64();
        let logged = beats * self.servers as f64 * LOGGED_BYTES;
        if logged > LONGEST_ANSWER {
            LONGEST_ANSWER + whole
        } else {
            logged
        }
    }

    fn step(&mut self) {
        self.now = self.now.after(STEP);
        let rhythm = ReadSchedule::with_bound(BOUND);
        for rank in 0..self.entries.len() {
            let mut entry = self.entries[rank];
            match entry.reading {
                Reading::Waits { answered_at, .. } if self.now < answered_at => {}
                Reading::Waits {
                    asked_at,
                    answered_at,
                } => {
                    let in_time = answered_at.since(asked_at) < PATIENCE;
                    let pause = if in_time {
                        rhythm.poll_interval()
                    } else {
                        FAILURE_PAUSE
                    };
                    if in_time {
                        entry.known_at = entry.known_at.max(asked_at);
                        entry.read_to = Some(asked_at);
                    }
                    entry.reading = Reading::Rests(self.now.after(pause));
                }
                Reading::Rests(until) if self.now < until => {}
                Reading::Rests(_) => self.ask(rank, &mut entry, rhythm),
            }
            self.entries[rank] = entry;
        }
        self.hear();
    }

    fn ask(&mut self, rank: usize, entry: &mut ModelEntry, rhythm: ReadSchedule) {
        let state = ReaderState {
            rank,
            max_readers: rhythm.max_readers(STORE_BYTES_PER_S / 1e6, self.servers),
            holds_lease: false,
            view_age: Some(self.now.since(entry.known_at)),
            first_start: false,
            has_entry_list: true,
            uptime: self.now.since(Timestamp(0)),
        };
        if !state.should_read_store(rhythm) {
            return;
        }
        let bytes = self.next_bytes(entry);
        self.read_bytes += bytes;
        let begins = self.store_free_at.max(self.now);
        // Whoever gives up has its answer written all the same.
        self.store_free_at = begins.after(Duration::from_secs_f64(bytes / STORE_BYTES_PER_S));
        let answered_at = self.store_free_at.min(self.now.after(PATIENCE));
        entry.reading = Reading::Waits {
            asked_at: self.now,
            answered_at,
        };
    }

    /// All entries hear what the first of them knew a moment ago.
    fn hear(&mut self) {
        if SILENT.contains(&self.now) {
            return;
        }
        let told = self.entries[0].known_at;
        let is_told = self.now.since(told) >= WAY_OF_NEWS;
        for entry in self.entries.iter_mut().filter(|_| is_told) {
            entry.known_at = entry.known_at.max(told);
        }
    }

    fn too_old(&self) -> usize {
        let ages = self
            .entries
            .iter()
            .map(|entry| self.now.since(entry.known_at));
        ages.filter(|age| *age > TOO_OLD).count()
    }
}

#[rstest]
#[case::three_thousand_servers(302, 3_000)]
#[case::a_thousand_servers(302, 1_000)]
#[case::a_hundred_entries(102, 1_000)]
#[case::a_small_deployment(9, 22)]
fn entries_that_heard_nothing_know_again_when_hubs_are_back(
    #[case] entries: usize,
    #[case] servers: usize,
) {
    let mut world = JamWorld::new(entries, servers);
    let mut too_old = 0;
    while world.now < Timestamp(0).after(LENGTH) {
        world.step();
        if world.now >= KNOWN_AGAIN {
            too_old = too_old.max(world.too_old());
        }
    }
    assert_eq!(too_old, 0, "{:.1} GB read", world.read_bytes / 1e9);
}
