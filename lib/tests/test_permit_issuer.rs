//! A limit that hundreds of entries share, through hubs that are frozen, lost or
//! cut off, and with messages that are lost: what all entries together send stays
//! within it at each moment of a change, and is used where callers ask for more.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use cloverbend::gateway::backend_record::BackendId;
use cloverbend::gateway::backend_record::BackendRecord;
use cloverbend::gateway::backend_set::BackendSet;
use cloverbend::gateway::gossip_frame::GatewayGossipFrame;
use cloverbend::gateway::hub_capacity::HubCapacity;
use cloverbend::gateway::peer_gossip::GatewayGossip;
use cloverbend::gateway::peer_gossip::HubSummary;
use cloverbend::gateway::peer_gossip::HubView;
use cloverbend::gateway::peer_gossip::ServiceDemand;
use cloverbend::gateway::peer_table::PeerTable;
use cloverbend::gateway::peer_table::PermitShare;
use cloverbend::gateway::permit_issuer::PERMIT_LIFETIME;
use cloverbend::gateway::permit_issuer::PermitClient;
use cloverbend::gateway::send_permits::PermitGrant;
use cloverbend::gateway::server_limits::ServerLimits;
use cloverbend::gateway::server_report::LimitReport;
use cloverbend::gateway::server_report::ServerReport;
use cloverbend::id::EntryName;
use cloverbend::id::Incarnation;
use cloverbend::id::ServiceName;
use cloverbend::quantity::RequestRate;
use cloverbend::quantity::Timestamp;
use prost::Message as _;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

const STEP: Duration = Duration::from_millis(50);
const ROUND_STEPS: u64 = 5;
const LENGTH: Duration = Duration::from_secs(40);
/// The servers of the service, but where a test names others.
const SERVERS: usize = 4;
/// The window of the bound, and by how much a limit may be exceeded in it.
const WINDOW: Duration = Duration::from_secs(4);
const BORNE_FACTOR: f64 = 1.5;
const BORNE_REQUESTS: f64 = 5.0;
/// From when on requests count: all entries have heard of the limits and of each
/// other.
const COUNTED_FROM: Timestamp = Timestamp::from_millis(4_000);
/// The share of messages that are lost.
const LOST: f64 = 0.02;

fn name(number: usize) -> EntryName {
    format!("entry-{number}").parse().unwrap()
}

fn address(number: usize) -> std::net::SocketAddr {
    format!("127.0.0.1:{}", 1_000 + number).parse().unwrap()
}

fn pool() -> ServiceName {
    "pool".parse().unwrap()
}

fn server(number: usize) -> BackendRecord {
    BackendRecord {
        id: BackendId::without_start(format!("i-{number}")),
        service: pool(),
        address: address(number),
        zone: "zone-a".parse().unwrap(),
        slots: 12,
        draining: false,
        reclaimable: true,
    }
}

/// What an entry goes through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntryState {
    Runs,
    /// It does nothing, and goes on later.
    Frozen,
    /// It runs, and no message comes to or from it.
    CutOff,
    /// It is gone for good.
    Gone,
}

/// Which entries start again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Restarted {
    Hubs,
    All,
}

struct ModelEntry {
    state: EntryState,
    book: PeerTable,
    limits: ServerLimits,
    last_news: GatewayGossip,
}

fn strength(number: usize) -> HubCapacity {
    HubCapacity(if number < 4 { 500 } else { 120 })
}

fn client(name: &EntryName, demand: f64) -> PermitClient {
    PermitClient {
        name: name.clone(),
        demand: [(pool(), demand)].into(),
    }
}

/// Returns the limits at an entry that knows what all servers take.
fn limits_of(now: Timestamp, number: usize, backends: &BackendSet, limit: f64) -> ServerLimits {
    let mut limits = ServerLimits::new(name(number));
    let notice = ServerReport {
        limit: LimitReport::Limited(RequestRate(limit)),
        ..ServerReport::default()
    };
    for server in backends.iter() {
        let id = &server.record.id;
        limits.reports.apply_direct(now, id, &notice);
    }
    limits
}

struct Message {
    arrives: Timestamp,
    receiver: usize,
    news: GatewayGossip,
    permits: Vec<PermitGrant>,
}

struct LimitWorld {
    entries: Vec<ModelEntry>,
    backends: BackendSet,
    now: Timestamp,
    steps: u64,
    calls_per_s: f64,
    /// Bytes of counts and permits that each entry has sent.
    bytes: Vec<usize>,
    sent: Vec<Vec<Timestamp>>,
    refused: usize,
    on_the_way: VecDeque<Message>,
    /// Senders and receivers between which no message comes.
    cut: HashSet<(usize, usize)>,
    limit: f64,
    random: StdRng,
}

impl LimitWorld {
    fn new(entries: usize, limit: f64, calls_per_s: f64, seed: u64) -> Self {
        Self::with_servers(SERVERS, entries, limit, calls_per_s, seed)
    }

    fn with_servers(
        servers: usize,
        entries: usize,
        limit: f64,
        calls_per_s: f64,
        seed: u64,
    ) -> Self {
        let mut backends = BackendSet::new();
        for number in 0..servers {
            backends.put(server(number));
        }
        let entry = |number: usize| {
            let mut book = PeerTable::new(name(number), strength(number));
            for other in 0..entries {
                book.note_listed(Timestamp(0), name(other), address(other), strength(other));
            }
            book.note_list_read();
            let limits = limits_of(Timestamp(1), number, &backends, limit);
            let incarnation = Incarnation(number as u64 + 1);
            let last_news =
                GatewayGossip::new(incarnation, name(number), address(number), strength(number));
            ModelEntry {
                state: EntryState::Runs,
                book,
                limits,
                last_news,
            }
        };
        Self {
            entries: (0..entries).map(entry).collect(),
            backends,
            now: Timestamp(1),
            steps: 0,
            calls_per_s,
            bytes: vec![0; entries],
            sent: vec![Vec::new(); servers],
            refused: 0,
            on_the_way: VecDeque::new(),
            cut: HashSet::new(),
            limit,
            random: StdRng::seed_from_u64(seed),
        }
    }

    fn step(&mut self) {
        self.now = self.now.after(STEP);
        self.steps += 1;
        while let Some(message) = self.on_the_way.front() {
            if message.arrives > self.now {
                break;
            }
            let message = self.on_the_way.pop_front().unwrap();
            self.receive(message);
        }
        for number in 0..self.entries.len() {
            let phase = number as u64 % ROUND_STEPS;
            let round = self.steps / ROUND_STEPS;
            if self.steps % ROUND_STEPS == phase && self.runs(number) {
                self.send_news(number, round as u32);
            }
        }
        self.call();
    }

    fn runs(&self, number: usize) -> bool {
        let state = self.entries[number].state;
        matches!(state, EntryState::Runs | EntryState::CutOff)
    }

    fn demand(&self) -> f64 {
        self.calls_per_s / self.entries.len() as f64
    }

    fn send_news(&mut self, number: usize, round: u32) {
        let now = self.now;
        let demand = self.demand();
        let work = vec![ServiceDemand {
            service: pool().to_string(),
            tokens_per_s: 0,
            busy_milli: 0,
            requests_milli: (demand * 1_000.0) as u64,
        }];
        let entry = &mut self.entries[number];
        let own = name(number);
        let share = entry.book.permit_share(now);
        if let PermitShare::Own { .. } = share {
            let sends = entry.limits.recent_sends(now);
            let incarnation = entry.last_news.incarnation;
            entry.limits.note_sends(&own, incarnation, &sends);
        }
        let mut granted = match share {
            PermitShare::Nobody => BTreeMap::new(),
            PermitShare::Own { fraction: part } => {
                let clients = [client(&own, demand)];
                entry.limits.issue(now, &self.backends, part, &clients)
            }
            PermitShare::Subscribers { fraction: part } => {
                let answered = entry.book.subscribers(now);
                let demand = |work: &[ServiceDemand]| work[0].requests_milli as f64 / 1_000.0;
                let clients = answered.map(|(name, work)| client(name, demand(work)));
                let clients: Vec<PermitClient> = clients.collect();
                entry.limits.issue(now, &self.backends, part, &clients)
            }
        };
        let own_grants = granted.remove(&own).unwrap_or_default();
        entry
            .limits
            .take_permits(&own_grants, now.after(PERMIT_LIFETIME));
        let direct = entry.book.direct_entry_counts(now);
        let due = entry.book.take_due_messages(now, round);
        let asked = due.iter().filter(|message| message.wants_summary).count();
        assert!(asked <= 1, "entry {number} asks {asked} hubs for permits");
        for message in due {
            let mut news = entry.last_news.clone();
            news.sent_at = now.0;
            news.reports_state = message.reports_state;
            news.wants_summary = message.wants_summary;
            news.service_demand.clone_from(&work);
            if message.wants_summary {
                news.sends = entry.limits.recent_sends(now);
            }
            news.echo = entry.book.echo(&message.name, None, None);
            news.view = message.has_summary.then(|| HubView {
                entries: direct.entries,
                reachable: direct.reachable,
                ..HubView::default()
            });
            let permits = granted.remove(&message.name).unwrap_or_default();
            self.bytes[number] += added_bytes(&news, &permits);
            let receiver = message.address.port() as usize - 1_000;
            let cut = entry.state == EntryState::CutOff || self.cut.contains(&(number, receiver));
            if !cut && !self.random.random_bool(LOST) {
                self.on_the_way.push_back(Message {
                    arrives: now.after(STEP),
                    receiver,
                    news,
                    permits,
                });
            }
        }
    }

    fn receive(&mut self, message: Message) {
        let entry = &mut self.entries[message.receiver];
        match entry.state {
            EntryState::CutOff | EntryState::Gone => return,
            // What comes meanwhile is read when it goes on.
            EntryState::Frozen => {
                self.on_the_way.push_back(Message {
                    arrives: self.now.after(STEP),
                    ..message
                });
                return;
            }
            EntryState::Runs => {}
        }
        let news = message.news;
        entry.book.apply_gossip(self.now, &news);
        if news.reports_state && news.wants_summary {
            let limits = &mut entry.limits;
            limits.note_sends(&news.name, news.incarnation, &news.sends);
        }
        let own = entry.last_news.incarnation;
        if let Some(echo) = news.echo.filter(|echo| echo.incarnation == own) {
            let until = Timestamp(echo.sent_at).after(PERMIT_LIFETIME);
            entry.limits.take_permits(&message.permits, until);
        }
    }

    /// Callers bring requests to entries at random.
    fn call(&mut self) {
        let expected = self.calls_per_s * STEP.as_secs_f64();
        let calls = expected as usize + usize::from(self.random.random_bool(expected.fract()));
        for _ in 0..calls {
            let number = self.random.random_range(0..self.entries.len());
            if !self.runs(number) {
                continue;
            }
            let servers = self.sent.len();
            let first = self.random.random_range(0..servers);
            let limits = &mut self.entries[number].limits;
            let order = (0..servers).map(|offset| (first + offset) % servers);
            let open = |server: &usize| limits.may_send(self.now, &server_id(*server));
            match order.into_iter().find(open) {
                Some(server) => {
                    limits.note_sent(self.now, &server_id(server));
                    self.sent[server].push(self.now);
                }
                None => self.refused += 1,
            }
        }
    }

    fn run(&mut self, until: Duration) {
        while self.now.since(Timestamp(0)) < until {
            self.step();
        }
    }

    /// Returns the most requests that a server got in a window.
    fn most_in_window(&self) -> usize {
        let most_of = |sent: &Vec<Timestamp>| {
            let counted: Vec<Timestamp> = sent
                .iter()
                .copied()
                .filter(|at| *at >= COUNTED_FROM)
                .collect();
            let window = |(index, first): (usize, &Timestamp)| {
                let within = |at: &&Timestamp| at.since(*first) < WINDOW;
                counted[index..].iter().take_while(within).count()
            };
            counted.iter().enumerate().map(window).max().unwrap_or(0)
        };
        self.sent.iter().map(most_of).max().unwrap_or(0)
    }

    /// Returns the share of what the limits allow that was sent in a span.
    fn used_share(&self, limit: f64, from: Timestamp, to: Timestamp) -> f64 {
        let sent = self.sent.iter().flatten();
        let sent = sent.filter(|at| **at >= from && **at < to).count();
        sent as f64 / (limit * self.sent.len() as f64 * to.since(from).as_secs_f64())
    }

    fn first_hubs(&self) -> Vec<usize> {
        let mut ranks: BTreeMap<usize, usize> = BTreeMap::new();
        for (number, entry) in self.entries.iter().enumerate() {
            ranks.insert(entry.book.hub_rank(self.now), number);
        }
        ranks.into_values().take(3).collect()
    }

    /// Draws anew which entries reach which of the hubs, in each direction.
    fn draw_cuts(&mut self, hubs: &[usize]) {
        self.cut.clear();
        for number in 0..self.entries.len() {
            for hub in hubs {
                for pair in [(number, *hub), (*hub, number)] {
                    if self.random.random_bool(0.5) {
                        self.cut.insert(pair);
                    }
                }
            }
        }
    }

    /// Starts an entry again, which knows no other.
    fn restart(&mut self, number: usize) {
        let entries = self.entries.len() as u64;
        let entry = &mut self.entries[number];
        let incarnation = Incarnation(entry.last_news.incarnation.0 + entries);
        let strength = strength(number);
        entry.book = PeerTable::new(name(number), strength);
        entry.limits = limits_of(self.now, number, &self.backends, self.limit);
        entry.last_news = GatewayGossip::new(incarnation, name(number), address(number), strength);
    }

    /// Lets an entry read which others there are.
    fn read_list(&mut self, number: usize) {
        let entries = self.entries.len();
        let book = &mut self.entries[number].book;
        for other in 0..entries {
            book.note_listed(self.now, name(other), address(other), strength(other));
        }
        book.note_list_read();
    }

    fn set_state(&mut self, numbers: &[usize], state: EntryState) {
        for number in numbers {
            self.entries[*number].state = state;
        }
    }
}

/// Returns the bytes that counts and permits add to a message.
fn added_bytes(news: &GatewayGossip, permits: &[PermitGrant]) -> usize {
    let bare = GatewayGossip {
        sends: Vec::new(),
        ..news.clone()
    };
    let digest = |permits: Vec<PermitGrant>| HubSummary {
        admitted: Vec::new(),
        hubs: Vec::new(),
        backends: None,
        changes: None,
        draining: Vec::new(),
        reports: Vec::new(),
        permits,
    };
    let full = GatewayGossip {
        summary: Some(digest(permits.to_vec())),
        ..news.clone()
    };
    let bare = GatewayGossip {
        summary: Some(digest(Vec::new())),
        ..bare
    };
    GatewayGossipFrame::from(full).encoded_len() - GatewayGossipFrame::from(bare).encoded_len()
}

fn server_id(number: usize) -> BackendId {
    BackendId::without_start(format!("i-{number}"))
}

fn allowed(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() * BORNE_FACTOR + BORNE_REQUESTS) as usize
}

#[rstest]
#[case::nine_slow(9, 1.0)]
#[case::nine_fast(9, 20.0)]
#[case::many(87, 1.4)]
#[case::many_fast(87, 20.0)]
#[case::hundreds(302, 1.0)]
#[case::hundreds_fast(302, 20.0)]
fn a_calm_day_keeps_the_limit_and_uses_it(#[case] entries: usize, #[case] limit: f64) {
    let calls = limit * SERVERS as f64 * 3.0;
    let mut world = LimitWorld::new(entries, limit, calls.max(entries as f64 / 2.0), 1);
    world.run(LENGTH);
    let most = world.most_in_window();
    assert!(most <= allowed(limit), "{most} of {}", allowed(limit));
    let from = Timestamp::from_millis(10_000);
    let used = world.used_share(limit, from, world.now);
    assert!(used >= 0.8, "{used:.2} of the limits");
    assert!(used <= 1.05, "{used:.2} of the limits");
}

#[rstest]
#[case::nine_slow(9, 1.0)]
#[case::nine_fast(9, 20.0)]
#[case::many(87, 1.4)]
#[case::hundreds(302, 1.0)]
#[case::hundreds_fast(302, 20.0)]
fn a_limit_holds_through_changes_of_hubs(
    #[case] entries: usize,
    #[case] limit: f64,
    #[values(EntryState::Frozen, EntryState::CutOff, EntryState::Gone)] state: EntryState,
    #[values(1, 2, 3)] seed: u64,
) {
    let calls = (limit * SERVERS as f64 * 3.0).max(entries as f64 / 2.0);
    let mut world = LimitWorld::new(entries, limit, calls, seed);
    world.run(Duration::from_secs(8));
    let hubs = world.first_hubs();
    let struck = &hubs[..seed as usize];
    world.set_state(struck, state);
    world.run(Duration::from_secs(14));
    if state != EntryState::Gone {
        world.set_state(struck, EntryState::Runs);
    }
    world.run(Duration::from_secs(24));
    let most = world.most_in_window();
    assert!(most <= allowed(limit), "{most} of {}", allowed(limit));
    // Entries that were struck do not keep the others from the servers for long.
    let from = Timestamp::from_millis(18_000);
    let used = world.used_share(limit, from, world.now);
    assert!(used >= 0.5, "{used:.2} of the limits");
}

/// Which entry reaches which hub, in which direction, changes all the time: hubs
/// disagree on whom they serve, and entries change their hub again and again.
#[rstest]
#[case::nine_slow(9, 1.0)]
#[case::nine_fast(9, 20.0)]
#[case::many(87, 1.4)]
#[case::hundreds(302, 1.0)]
#[case::hundreds_fast(302, 20.0)]
fn a_limit_holds_while_hubs_disagree_on_whom_they_serve(
    #[case] entries: usize,
    #[case] limit: f64,
    #[values(1_300, 2_300)] pause_ms: u64,
) {
    let calls = (limit * SERVERS as f64 * 3.0).max(entries as f64 / 2.0);
    let mut world = LimitWorld::new(entries, limit, calls, 3);
    world.run(Duration::from_secs(8));
    let hubs = world.first_hubs();
    let pause = Duration::from_millis(pause_ms);
    let mut until = Duration::from_secs(8);
    while until < LENGTH {
        world.draw_cuts(&hubs);
        until += pause;
        world.run(until);
    }
    let most = world.most_in_window();
    assert!(most <= allowed(limit), "{most} of {}", allowed(limit));
}

/// Entries that start again hear of limits before they have read which others
/// there are.
#[rstest]
#[case::nine_slow(9, 1.0)]
#[case::nine_fast(9, 20.0)]
#[case::many(87, 1.4)]
#[case::hundreds(302, 1.0)]
#[case::hundreds_fast(302, 20.0)]
fn a_limit_holds_while_entries_start_that_know_no_others(
    #[case] entries: usize,
    #[case] limit: f64,
    #[values(Restarted::Hubs, Restarted::All)] restarted: Restarted,
) {
    let calls = (limit * SERVERS as f64 * 3.0).max(entries as f64 / 2.0);
    let mut world = LimitWorld::new(entries, limit, calls, 4);
    world.run(Duration::from_secs(8));
    let numbers = match restarted {
        Restarted::Hubs => world.first_hubs(),
        Restarted::All => (0..entries).collect(),
    };
    for number in &numbers {
        world.restart(*number);
    }
    world.run(Duration::from_secs(11));
    for number in &numbers {
        world.read_list(*number);
    }
    world.run(Duration::from_secs(24));
    let most = world.most_in_window();
    assert!(most <= allowed(limit), "{most} of {}", allowed(limit));
}

/// Most entries are cut off from all others, and callers still reach them.
#[rstest]
#[case::nine(9, 1.0)]
#[case::many(87, 1.4)]
#[case::hundreds(302, 1.0)]
fn entries_that_hear_nobody_stay_within_the_limit_together(
    #[case] entries: usize,
    #[case] limit: f64,
) {
    let calls = (limit * SERVERS as f64 * 3.0).max(entries as f64 / 2.0);
    let mut world = LimitWorld::new(entries, limit, calls, 5);
    world.run(Duration::from_secs(8));
    let cut: Vec<usize> = (0..entries).filter(|number| number % 3 > 0).collect();
    world.set_state(&cut, EntryState::CutOff);
    world.run(Duration::from_secs(30));
    let most = world.most_in_window();
    assert!(most <= allowed(limit), "{most} of {}", allowed(limit));
}

/// Nobody calls for a while, so that all that may be saved up is; then callers
/// come at once, and hubs are lost in the same moment.
#[rstest]
#[case::nine_slow(9, 1.0)]
#[case::nine_fast(9, 20.0)]
#[case::many(87, 1.4)]
#[case::hundreds(302, 1.0)]
#[case::hundreds_fast(302, 20.0)]
fn a_burst_after_a_pause_keeps_the_limit(
    #[case] entries: usize,
    #[case] limit: f64,
    #[values(0, 1, 2, 3)] lost_hubs: usize,
    #[values(0, 500, 1_500)] lost_after_ms: u64,
) {
    let calls = (limit * SERVERS as f64 * 3.0).max(entries as f64 * 2.0);
    let mut world = LimitWorld::new(entries, limit, calls, 7);
    world.run(Duration::from_secs(5));
    // Too few to be counted as demand for long, but enough to be known.
    world.calls_per_s = entries as f64 * 0.06;
    world.run(Duration::from_secs(14));
    world.calls_per_s = calls;
    world.run(Duration::from_millis(14_000 + lost_after_ms));
    let hubs = world.first_hubs();
    world.set_state(&hubs[..lost_hubs], EntryState::Gone);
    world.run(Duration::from_secs(26));
    let most = world.most_in_window();
    assert!(most <= allowed(limit), "{most} of {}", allowed(limit));
}

/// The bytes a second that permits may cost the busiest hub, a hundredth of a
/// link of 200 Mbit/s.
const MOST_BYTES: f64 = 250_000.0;

/// All of 3,000 servers are in need at once.
#[test]
fn permits_for_thousands_of_servers_are_few_bytes() {
    let mut world = LimitWorld::with_servers(3_000, 302, 1.0, 2_000.0, 1);
    let begun = Duration::from_secs(4);
    world.run(begun);
    world.bytes.fill(0);
    let length = Duration::from_secs(4);
    world.run(begun + length);
    let per_s = |bytes: usize| bytes as f64 / length.as_secs_f64();
    let busiest = per_s(world.bytes.iter().copied().max().unwrap());
    let mut sorted = world.bytes.clone();
    sorted.sort_unstable();
    let middle = per_s(sorted[sorted.len() / 2]);
    println!("busiest {busiest:.0}, middle {middle:.0} bytes a second");
    assert!(busiest <= MOST_BYTES, "{busiest:.0} bytes a second");
    let from = Timestamp::from_millis(4_000);
    let used = world.used_share(1.0, from, world.now);
    println!("{used:.2} of the limits, {} refused", world.refused);
    let most = world.most_in_window();
    assert!(most <= allowed(1.0), "{most} of {}", allowed(1.0));
}
