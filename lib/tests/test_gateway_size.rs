//! What a fleet of hundreds of entries knows of a thousand backend servers, and
//! what that costs in calls to the store and in bytes.

use std::time::Duration;

use cloverbend::gateway::backend_record::BackendId;
use cloverbend::gateway::backend_record::BackendRecord;
use cloverbend::gateway::backend_set::BackendSet;
use cloverbend::gateway::gossip_frame::GatewayGossipFrame;
use cloverbend::gateway::hub_capacity::HubCapacity;
use cloverbend::gateway::list_history::ListUpdate;
use cloverbend::gateway::peer_gossip::GatewayGossip;
use cloverbend::gateway::peer_gossip::HubSummary;
use cloverbend::gateway::peer_table::DueMessage;
use cloverbend::gateway::peer_table::PeerTable;
use cloverbend::gateway::read_schedule::ReadSchedule;
use cloverbend::gateway::read_schedule::ReaderState;
use cloverbend::id::EntryName;
use cloverbend::id::Incarnation;
use cloverbend::id::RevisionNumber;
use cloverbend::quantity::Timestamp;
use prost::Message;

const ENTRIES: usize = 300;
const SERVERS: usize = 1_000;
const ZONES: usize = 6;
/// Records on a page of the store's list.
const PAGE: usize = 50;
const STEP_MS: u64 = 50;
const ROUND_MS: u64 = 250;
const BOUND: Duration = Duration::from_millis(4_000);

fn name(number: usize) -> EntryName {
    format!("entry-{number}").parse().unwrap()
}

fn address(number: usize) -> std::net::SocketAddr {
    format!("127.0.0.1:{}", 1_000 + number).parse().unwrap()
}

fn strength(number: usize) -> HubCapacity {
    HubCapacity(if number < 18 { 500 } else { 120 })
}

fn server(number: usize) -> BackendRecord {
    BackendRecord {
        id: BackendId::without_start(format!("i-{number:08}")),
        service: "pool".parse().unwrap(),
        address: address(number % 60_000),
        zone: format!("zone-{}", number % ZONES).parse().unwrap(),
        slots: 12,
        draining: false,
        reclaimable: true,
    }
}

struct SizeEntry {
    book: PeerTable,
    list: BackendSet,
    /// When it may read the store again.
    rested_at: Timestamp,
    has_read: bool,
    sent_bytes: usize,
}

/// Entries that follow a list which changes, in steps of 50 ms. A message
/// arrives a step after it was sent.
struct SizeWorld {
    entries: Vec<SizeEntry>,
    listed: BackendSet,
    next_server: usize,
    now: Timestamp,
    calls: usize,
    on_the_way: Vec<(usize, GatewayGossip)>,
    dead: Vec<usize>,
}

impl SizeWorld {
    fn new() -> Self {
        let entry = |number| {
            let mut book = PeerTable::new(name(number), strength(number));
            for other in 0..ENTRIES {
                book.note_listed(Timestamp(0), name(other), address(other), strength(other));
            }
            book.note_list_read();
            SizeEntry {
                book,
                list: BackendSet::new(),
                rested_at: Timestamp(0),
                has_read: false,
                sent_bytes: 0,
            }
        };
        let mut listed = BackendSet::new();
        for number in 0..SERVERS {
            listed.put(server(number));
        }
        Self {
            entries: (0..ENTRIES).map(entry).collect(),
            listed,
            next_server: SERVERS,
            now: Timestamp(0),
            calls: 0,
            on_the_way: Vec::new(),
            dead: Vec::new(),
        }
    }

    /// Replaces the server that is listed longest.
    fn replace_server(&mut self) {
        let oldest = self.listed.iter().next().unwrap().record.id.clone();
        self.listed.note_absent(self.now, &oldest.name);
        self.listed.put(server(self.next_server));
        self.next_server += 1;
    }

    fn lose_zone(&mut self) {
        let zone = server(0).zone;
        let in_zone = self.listed.iter().filter(|b| b.record.zone == zone);
        let lost: Vec<BackendId> = in_zone.map(|b| b.record.id.clone()).collect();
        for id in lost {
            self.listed.note_absent(self.now, &id.name);
        }
    }

    fn step(&mut self) {
        self.now = self.now.after(Duration::from_millis(STEP_MS));
        for (receiver, news) in std::mem::take(&mut self.on_the_way) {
            self.receive(receiver, &news);
        }
        for number in 0..ENTRIES {
            if self.dead.contains(&number) {
                continue;
            }
            self.read(number);
            let phase = (number as u64 % (ROUND_MS / STEP_MS)) * STEP_MS;
            let millis = self.now.0 / 1_000;
            if millis % ROUND_MS == phase {
                self.send(number, (millis / ROUND_MS) as u32);
            }
        }
    }

    fn read(&mut self, number: usize) {
        let now = self.now;
        let entry = &mut self.entries[number];
        let rhythm = ReadSchedule::with_bound(BOUND);
        let state = ReaderState {
            rank: entry.book.hub_rank(now),
            max_readers: rhythm.max_readers(80.0, entry.list.iter().count()),
            holds_lease: false,
            view_age: entry.list.confirmed_at().map(|at| now.since(at)),
            first_start: true,
            has_entry_list: true,
            uptime: now.since(Timestamp(0)),
        };
        if now < entry.rested_at || !state.should_read_store(rhythm) {
            return;
        }
        let pages = self.listed.iter().count().div_ceil(PAGE);
        self.calls += if entry.has_read { 1 } else { pages };
        entry.has_read = true;
        entry.list.replace(now, self.listed.records());
        entry.list.confirm(now);
        entry.rested_at = now.after(rhythm.poll_interval());
    }

    fn send(&mut self, number: usize, round: u32) {
        let now = self.now;
        for message in self.entries[number].book.take_due_messages(now, round) {
            let news = self.news(number, &message);
            self.entries[number].sent_bytes += GatewayGossipFrame::from(news.clone()).encoded_len();
            let receiver = (0..ENTRIES).find(|other| name(*other) == message.name);
            let receiver = receiver.filter(|other| !self.dead.contains(other));
            self.on_the_way.extend(receiver.map(|other| (other, news)));
        }
    }

    fn news(&mut self, number: usize, message: &DueMessage) -> GatewayGossip {
        let now = self.now;
        let entry = &mut self.entries[number];
        let receiver = entry.book.get(&message.name);
        let known = receiver.map_or(0, |peer| peer.backends_hash);
        let hash = entry.list.list_digest();
        let offers = message.has_summary
            && known != hash
            && entry.book.offers_list(now, &message.name, hash);
        let (backends, changes) = match offers.then(|| entry.list.list_update(Some(known))) {
            None | Some(ListUpdate::Nothing) => (None, None),
            Some(ListUpdate::Full(records)) => (Some(records), None),
            Some(ListUpdate::Changes(changes)) => (None, Some(changes)),
        };
        GatewayGossip {
            sent_at: now.0,
            revision: RevisionNumber(1),
            echo: entry
                .book
                .echo(&message.name, None, entry.list.confirmed_at()),
            reports_state: message.reports_state,
            wants_summary: message.wants_summary,
            backends_hash: hash,
            summary: message.has_summary.then(|| HubSummary {
                admitted: Vec::new(),
                hubs: Vec::new(),
                backends,
                changes,
                draining: Vec::new(),
                reports: Vec::new(),
                permits: Vec::new(),
            }),
            ..GatewayGossip::new(
                Incarnation(number as u64 + 1),
                name(number),
                address(number),
                strength(number),
            )
        }
    }

    fn receive(&mut self, number: usize, news: &GatewayGossip) {
        let now = self.now;
        let entry = &mut self.entries[number];
        entry.book.apply_gossip(now, news);
        let own = Incarnation(number as u64 + 1);
        let Some(echo) = news.echo.filter(|echo| echo.incarnation == own) else {
            return;
        };
        let Some(age) = echo.backends_age else {
            return;
        };
        let known_at = Timestamp(echo.sent_at.saturating_add_signed(age.saturating_neg()));
        let hash = news.backends_hash;
        if let Some(digest) = &news.summary {
            if let Some(records) = &digest.backends {
                entry.list.replace_if_newer(now, known_at, records.clone());
            }
            if let Some(changes) = &digest.changes {
                entry
                    .list
                    .apply_changes(now, known_at, hash, changes.clone());
            }
        }
        if entry.list.list_digest() == hash {
            entry.list.confirm(known_at);
        }
    }

    fn run(&mut self, seconds: u64, changes_a_second: u64) -> SizeFigures {
        let calls = self.calls;
        let sent: Vec<usize> = self.entries.iter().map(|entry| entry.sent_bytes).collect();
        let mut oldest = Duration::ZERO;
        for step in 0..seconds * 1_000 / STEP_MS {
            if changes_a_second > 0 && step % (1_000 / STEP_MS / changes_a_second) == 0 {
                self.replace_server();
            }
            self.step();
            oldest = oldest.max(self.oldest_knowledge());
        }
        let entries = self.entries.iter().zip(sent);
        let rate =
            |(entry, before): (&SizeEntry, usize)| (entry.sent_bytes - before) as u64 / seconds;
        let mut rates: Vec<u64> = entries.map(rate).collect();
        rates.sort_unstable();
        SizeFigures {
            calls: self.calls - calls,
            oldest_ms: oldest.as_millis() as u64,
            hub_bytes_per_s: rates[ENTRIES - 1],
            median_bytes_per_s: rates[ENTRIES / 2],
        }
    }

    /// Returns the greatest age of any living entry's list.
    fn oldest_knowledge(&self) -> Duration {
        let living = (0..ENTRIES).filter(|number| !self.dead.contains(number));
        let known = living.map(|number| self.entries[number].list.confirmed_at());
        known
            .map(|at| self.now.since(at.unwrap_or_default()))
            .max()
            .unwrap_or_default()
    }

    /// Returns how many entries have another list than the store.
    fn behind(&self) -> usize {
        let hash = self.listed.list_digest();
        let lists = self.entries.iter().map(|entry| entry.list.list_digest());
        lists.filter(|other| *other != hash).count()
    }
}

#[derive(Debug, PartialEq, Eq)]
struct SizeFigures {
    calls: usize,
    oldest_ms: u64,
    hub_bytes_per_s: u64,
    median_bytes_per_s: u64,
}

#[test]
fn a_start_of_all_entries_reads_the_list_a_few_times() {
    let mut world = SizeWorld::new();
    let figures = world.run(5, 0);
    assert_eq!(world.behind(), 0);
    insta::assert_debug_snapshot!(figures, @r"
    SizeFigures {
        calls: 64,
        oldest_ms: 1650,
        hub_bytes_per_s: 1718220,
        median_bytes_per_s: 973,
    }
    ");
}

/// Ten servers are replaced each second, then a zone's are gone at once.
#[test]
fn a_list_that_changes_all_the_time_is_known_everywhere_through_one_reader() {
    let mut world = SizeWorld::new();
    world.run(5, 0);
    let churn = world.run(20, 10);
    world.lose_zone();
    let loss = world.run(3, 0);
    assert_eq!(world.behind(), 0);
    insta::assert_debug_snapshot!((churn, loss), @r"
    (
        SizeFigures {
            calls: 16,
            oldest_ms: 1850,
            hub_bytes_per_s: 290039,
            median_bytes_per_s: 1018,
        },
        SizeFigures {
            calls: 3,
            oldest_ms: 1850,
            hub_bytes_per_s: 183098,
            median_bytes_per_s: 1027,
        },
    )
    ");
}

/// The first two hubs end without a word.
#[test]
fn the_loss_of_the_readers_makes_few_others_read() {
    let mut world = SizeWorld::new();
    world.run(5, 0);
    let mut ranked: Vec<usize> = (0..ENTRIES).collect();
    ranked.sort_by_key(|number| world.entries[*number].book.hub_rank(world.now));
    world.dead = ranked[..2].to_vec();
    let figures = world.run(10, 10);
    insta::assert_debug_snapshot!(figures, @r"
    SizeFigures {
        calls: 7,
        oldest_ms: 2250,
        hub_bytes_per_s: 175580,
        median_bytes_per_s: 1168,
    }
    ");
}
