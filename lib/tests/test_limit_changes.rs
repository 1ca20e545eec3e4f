//! Servers name limits, lower them, lift them and name them again, while entries are frozen,
//! lost or started and answers arrive late. Counted are the requests that arrive at a server
//! from the entries that it has told.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use cloverbend::gateway::backend_record::BackendId;
use cloverbend::gateway::backend_record::BackendRecord;
use cloverbend::gateway::backend_set::BackendSet;
use cloverbend::gateway::hub_capacity::HubCapacity;
use cloverbend::gateway::peer_gossip::GatewayGossip;
use cloverbend::gateway::peer_gossip::HubView;
use cloverbend::gateway::peer_gossip::ServiceDemand;
use cloverbend::gateway::peer_table::PeerTable;
use cloverbend::gateway::peer_table::PermitShare;
use cloverbend::gateway::peer_table::ReportOffer;
use cloverbend::gateway::permit_issuer::PERMIT_LIFETIME;
use cloverbend::gateway::permit_issuer::PermitClient;
use cloverbend::gateway::report_table::RelayedReport;
use cloverbend::gateway::send_permits::PermitGrant;
use cloverbend::gateway::server_limits::ServerLimits;
use cloverbend::gateway::server_report::LimitReport;
use cloverbend::gateway::server_report::ServerReport;
use cloverbend::id::EntryName;
use cloverbend::id::Incarnation;
use cloverbend::id::ServiceName;
use cloverbend::quantity::RequestRate;
use cloverbend::quantity::Timestamp;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

const STEP: Duration = Duration::from_millis(25);
const ROUND_STEPS: u64 = 10;
const SERVERS: usize = 9;
/// The window in which requests are counted, and by how much they may exceed the limit in it.
const WINDOW: Duration = Duration::from_secs(4);
const TOLERATED_FACTOR: f64 = 1.5;
const TOLERATED_REQUESTS: f64 = 5.0;
/// How long after an answer the entry that got it is held to the limit in it.
const TOLD_AFTER: Duration = Duration::from_millis(500);
/// How long after a server first names a limit requests count against it.
const NAMED_AFTER: Duration = Duration::from_secs(3);
/// How long a process needs to start.
const START_TIME: Duration = Duration::from_millis(500);

fn name(number: usize) -> EntryName {
    format!("entry-{number}").parse().unwrap()
}

fn address(number: usize) -> std::net::SocketAddr {
    format!("127.0.0.1:{}", 1_000 + number).parse().unwrap()
}

fn pool() -> ServiceName {
    "pool".parse().unwrap()
}

fn server_id(number: usize) -> BackendId {
    BackendId::without_start(format!("i-{number}"))
}

fn server(number: usize) -> BackendRecord {
    BackendRecord {
        id: server_id(number),
        service: pool(),
        address: address(number),
        zone: "zone-a".parse().unwrap(),
        slots: 64,
        draining: false,
        reclaimable: true,
        version: None,
    }
}

fn hub_capacity(number: usize) -> HubCapacity {
    HubCapacity(if number < 4 { 500 } else { 120 })
}

/// The limit that servers name, from a time on.
#[derive(Clone, Copy, Debug)]
struct LimitChange {
    at: Timestamp,
    limit: Option<f64>,
}

/// An answer on its way.
#[derive(Clone, Copy, Debug)]
struct ModelAnswer {
    arrives_at: Timestamp,
    sent_at: Timestamp,
    entry: usize,
    incarnation: Incarnation,
    server: usize,
    limit: Option<f64>,
}

struct ModelMessage {
    arrives_at: Timestamp,
    receiver: usize,
    gossip: GatewayGossip,
    reports: Vec<RelayedReport>,
    permits: Vec<PermitGrant>,
}

struct ModelEntry {
    frozen_until: Timestamp,
    starts_at: Option<Timestamp>,
    peers: PeerTable,
    limits: ServerLimits,
    gossip: GatewayGossip,
    /// When the entry was last frozen, woken, ended or started.
    disturbed_at: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct ModelServer {
    /// When each process first got an answer with the limit in force.
    told: BTreeMap<Incarnation, Timestamp>,
    /// Requests that count against the limit in force.
    counted: Vec<Timestamp>,
    named_at: Timestamp,
    limit: Option<f64>,
    /// The most requests in a window relative to what is allowed.
    largest_use: f64,
}

struct LimitWorld {
    entries: Vec<ModelEntry>,
    servers: Vec<ModelServer>,
    backends: BackendSet,
    now: Timestamp,
    steps: u64,
    calls_per_s: f64,
    changes: Vec<LimitChange>,
    /// How many servers name limits.
    limited_servers: usize,
    /// The range of the time that a server takes for an answer.
    answer_ms: (u64, u64),
    in_flight: VecDeque<ModelMessage>,
    answers: Vec<ModelAnswer>,
    next_incarnation: u64,
    /// When requests were refused.
    refused: Vec<Timestamp>,
    random: StdRng,
}

impl LimitWorld {
    fn new(entries: usize, calls_per_s: f64, seed: u64) -> Self {
        let mut backends = BackendSet::new();
        for number in 0..SERVERS {
            backends.put(server(number));
        }
        let mut world = Self {
            entries: Vec::new(),
            servers: vec![ModelServer::default(); SERVERS],
            backends,
            now: Timestamp(1),
            steps: 0,
            calls_per_s,
            changes: Vec::new(),
            limited_servers: SERVERS,
            answer_ms: (60, 400),
            in_flight: VecDeque::new(),
            answers: Vec::new(),
            next_incarnation: 1,
            refused: Vec::new(),
            random: StdRng::seed_from_u64(seed),
        };
        for number in 0..entries {
            let entry = world.new_entry(number, entries);
            world.entries.push(entry);
        }
        world
    }

    fn new_entry(&mut self, number: usize, entries: usize) -> ModelEntry {
        let capacity = hub_capacity(number);
        let mut peers = PeerTable::new(name(number), capacity);
        for other in 0..entries {
            peers.note_listed(self.now, name(other), address(other), hub_capacity(other));
        }
        peers.note_list_read();
        let incarnation = Incarnation(self.next_incarnation);
        self.next_incarnation += 1;
        ModelEntry {
            frozen_until: Timestamp(0),
            starts_at: None,
            peers,
            limits: ServerLimits::new(name(number)),
            gossip: GatewayGossip::new(incarnation, name(number), address(number), capacity),
            disturbed_at: Timestamp(0),
        }
    }

    fn kill(&mut self, number: usize) {
        let at = self.now.after(START_TIME);
        let entry = &mut self.entries[number];
        entry.starts_at = Some(at);
        entry.disturbed_at = at;
        let incarnation = entry.gossip.incarnation;
        self.answers
            .retain(|answer| answer.incarnation != incarnation);
    }

    fn freeze(&mut self, number: usize, length: Duration) {
        let until = self.now.after(length);
        let entry = &mut self.entries[number];
        entry.frozen_until = until;
        entry.disturbed_at = until;
    }

    fn runs(&self, number: usize) -> bool {
        let entry = &self.entries[number];
        entry.starts_at.is_none() && self.now >= entry.frozen_until
    }

    fn step(&mut self) {
        self.now = self.now.after(STEP);
        self.steps += 1;
        self.change_limits();
        for number in 0..self.entries.len() {
            if self.entries[number]
                .starts_at
                .is_some_and(|at| at <= self.now)
            {
                let disturbed_at = self.entries[number].disturbed_at;
                self.entries[number] = self.new_entry(number, self.entries.len());
                self.entries[number].disturbed_at = disturbed_at;
            }
        }
        self.deliver_messages();
        self.deliver_answers();
        for number in 0..self.entries.len() {
            let phase = number as u64 % ROUND_STEPS;
            if self.steps % ROUND_STEPS == phase && self.runs(number) {
                self.send_gossip(number, (self.steps / ROUND_STEPS) as u32);
            }
        }
        self.call();
    }

    fn change_limits(&mut self) {
        let mut changes = self.changes.iter();
        let due = changes.rfind(|change| change.at <= self.now);
        let Some(limit) = due.map(|change| change.limit) else {
            return;
        };
        for server in &mut self.servers[..self.limited_servers] {
            if server.limit != limit {
                server.limit = limit;
                server.named_at = self.now;
                server.told.clear();
                server.counted.clear();
            }
        }
    }

    fn deliver_messages(&mut self) {
        for _ in 0..self.in_flight.len() {
            let Some(message) = self.in_flight.pop_front() else {
                return;
            };
            let number = message.receiver;
            if message.arrives_at > self.now || self.now < self.entries[number].frozen_until {
                self.in_flight.push_back(message);
                continue;
            }
            if self.entries[number].starts_at.is_none() {
                self.receive(message);
            }
        }
    }

    fn receive(&mut self, message: ModelMessage) {
        let entry = &mut self.entries[message.receiver];
        let gossip = message.gossip;
        entry.peers.apply_gossip(self.now, &gossip);
        let own = entry.gossip.incarnation;
        let echo = gossip.echo.filter(|echo| echo.incarnation == own);
        let sent_after = echo.map(|echo| Timestamp(echo.sent_at));
        for report in gossip.reports.iter().chain(&message.reports) {
            entry
                .limits
                .reports
                .apply_relayed(self.now, sent_after, report);
        }
        if gossip.reports_state && gossip.wants_summary {
            entry
                .limits
                .note_reported_sends(&gossip.name, gossip.incarnation, &gossip.sends);
        }
        if let Some(sent_after) = sent_after {
            let expires_at = sent_after.after(PERMIT_LIFETIME);
            entry.limits.add_permits(&message.permits, expires_at);
        }
    }

    fn deliver_answers(&mut self) {
        let due = |answer: &ModelAnswer| answer.arrives_at <= self.now && self.runs(answer.entry);
        let (due, rest): (Vec<_>, Vec<_>) = self.answers.iter().copied().partition(due);
        self.answers = rest;
        for answer in due {
            let server = &mut self.servers[answer.server];
            if answer.limit.is_some() && answer.limit == server.limit {
                server.told.entry(answer.incarnation).or_insert(self.now);
            }
            let report = ServerReport {
                limit: answer.limit.map_or(LimitReport::Unlimited, |limit| {
                    LimitReport::Limited(RequestRate(limit))
                }),
                ..ServerReport::default()
            };
            let limits = &mut self.entries[answer.entry].limits;
            limits.reports.apply_direct(
                self.now,
                answer.sent_at,
                &server_id(answer.server),
                &report,
            );
        }
    }

    fn send_gossip(&mut self, number: usize, round: u32) {
        let now = self.now;
        let demand = self.calls_per_s / self.entries.len() as f64;
        let work = vec![ServiceDemand {
            service: pool().to_string(),
            tokens_per_s: 0,
            busy_milli: 0,
            requests_milli: (demand * 1_000.0) as u64,
        }];
        let own = name(number);
        let entry = &mut self.entries[number];
        let incarnation = entry.gossip.incarnation;
        let mut granted = BTreeMap::new();
        if entry.limits.sweep(now, &self.backends) {
            let share = entry.peers.permit_share(now);
            let client = |name: EntryName, work: &[ServiceDemand]| PermitClient {
                name,
                demand: [(pool(), work[0].requests_milli as f64 / 1_000.0)].into(),
            };
            let (fraction, clients) = match share {
                PermitShare::Nobody => (0.0, Vec::new()),
                PermitShare::Own { fraction } => (fraction, vec![client(own.clone(), &work)]),
                PermitShare::Subscribers { fraction } => {
                    let subscribers = entry.peers.subscribers(now);
                    let clients = subscribers.map(|(name, work)| client(name.clone(), work));
                    (fraction, clients.collect())
                }
            };
            if let PermitShare::Own { .. } = share {
                let sends = entry.limits.recent_sends(now);
                entry.limits.note_reported_sends(&own, incarnation, &sends);
            }
            if share != PermitShare::Nobody {
                granted = entry.limits.issue(now, &self.backends, fraction, &clients);
            }
        }
        let own_grants = granted.remove(&own).unwrap_or_default();
        entry
            .limits
            .add_permits(&own_grants, now.after(PERMIT_LIFETIME));
        let counts = entry.peers.direct_entry_counts(now);
        let digest = entry.limits.digest(&self.backends);
        for due in entry.peers.take_due_messages(now, round) {
            let mut gossip = entry.gossip.clone();
            gossip.sent_at = now.0;
            gossip.reports_digest = digest;
            gossip.reports_state = due.reports_state;
            gossip.wants_summary = due.wants_summary;
            gossip.service_demand.clone_from(&work);
            if due.reports_state {
                gossip.reports = entry.limits.reports.direct_reports(now);
            }
            if due.wants_summary {
                gossip.sends = entry.limits.recent_sends(now);
            }
            gossip.echo = entry.peers.echo(&due.name, None, None);
            let mut reports = Vec::new();
            if due.has_summary {
                gossip.view = Some(HubView {
                    entries: counts.entries,
                    reachable: counts.reachable,
                    ..HubView::default()
                });
                reports = match entry.peers.offer_reports(now, &due.name, digest) {
                    ReportOffer::Nothing => Vec::new(),
                    ReportOffer::Recent => entry.limits.reports.recent_reports(now),
                    ReportOffer::All => entry.limits.reports.all_reports(now),
                };
            }
            let permits = granted.remove(&due.name).unwrap_or_default();
            self.in_flight.push_back(ModelMessage {
                arrives_at: now.after(STEP),
                receiver: due.address.port() as usize - 1_000,
                gossip,
                reports,
                permits,
            });
        }
    }

    fn call(&mut self) {
        let expected = self.calls_per_s * STEP.as_secs_f64();
        let calls = expected as usize + usize::from(self.random.random_bool(expected.fract()));
        for _ in 0..calls {
            let number = self.random.random_range(0..self.entries.len());
            if !self.runs(number) {
                continue;
            }
            let first = self.random.random_range(0..SERVERS);
            let now = self.now;
            let limits = &mut self.entries[number].limits;
            let mut order = (0..SERVERS).map(|offset| (first + offset) % SERVERS);
            match order.find(|server| limits.may_send(now, &server_id(*server))) {
                Some(server) => {
                    limits.note_sent(now, &server_id(server));
                    self.send(number, server);
                }
                None => self.refused.push(now),
            }
        }
    }

    fn send(&mut self, number: usize, server_number: usize) {
        let now = self.now;
        let entry = &self.entries[number];
        let incarnation = entry.gossip.incarnation;
        let server = &mut self.servers[server_number];
        let is_told = server
            .told
            .get(&incarnation)
            .is_some_and(|at| now.since(*at) >= TOLD_AFTER);
        let is_undisturbed = now.since(entry.disturbed_at) >= NAMED_AFTER;
        let counts = is_told && is_undisturbed && now.since(server.named_at) >= NAMED_AFTER;
        if let Some(limit) = server.limit.filter(|_| counts) {
            server.counted.push(now);
            let counted = server.counted.iter().rev();
            let in_window = counted.take_while(|at| now.since(**at) < WINDOW).count();
            let allowed =
                (limit * WINDOW.as_secs_f64() * TOLERATED_FACTOR + TOLERATED_REQUESTS).floor();
            server.largest_use = server.largest_use.max(in_window as f64 / allowed);
        }
        let (from, to) = self.answer_ms;
        let delay = Duration::from_millis(self.random.random_range(from..=to));
        // The head of an answer says what held when the server began it.
        self.answers.push(ModelAnswer {
            arrives_at: now.after(delay),
            sent_at: now,
            entry: number,
            incarnation,
            server: server_number,
            limit: server.limit,
        });
    }

    fn run(&mut self, until_ms: u64) {
        while self.now < Timestamp::from_millis(until_ms) {
            self.step();
        }
    }

    fn largest_use(&self) -> f64 {
        let uses = self.servers.iter().map(|server| server.largest_use);
        uses.fold(0.0, f64::max)
    }
}

/// What happens to entries while limits are in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    Calm,
    /// A third of the entries stand still again and again.
    Frozen,
    /// A third of the entries are lost again and again.
    Lost,
    /// Callers come in bursts after idle times.
    Bursts,
    /// Both of the former.
    BurstsAndLost,
    /// Bursts, and entries that stand still.
    BurstsAndFrozen,
}

impl Trouble {
    fn apply(self, world: &mut LimitWorld, at_ms: u64, calls_per_s: f64) {
        let entries = world.entries.len();
        let freezes = matches!(self, Self::Frozen | Self::BurstsAndFrozen);
        let loses = matches!(self, Self::Lost | Self::BurstsAndLost);
        let bursts = matches!(
            self,
            Self::Bursts | Self::BurstsAndLost | Self::BurstsAndFrozen
        );
        if freezes && at_ms.is_multiple_of(2_500) {
            for _ in 0..entries / 3 {
                let number = world.random.random_range(0..entries);
                let length = Duration::from_millis(world.random.random_range(300..4_000));
                world.freeze(number, length);
            }
        }
        if loses && at_ms.is_multiple_of(2_500) {
            for _ in 0..entries / 3 {
                let number = world.random.random_range(0..entries);
                world.kill(number);
            }
        }
        if bursts {
            let is_burst = (at_ms / 1_000) % 10 >= 7;
            world.calls_per_s = if is_burst { calls_per_s } else { 1.0 };
        }
    }
}

/// How the limit changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LimitShape {
    Steady,
    /// It is lowered to a quarter and raised again.
    Lowered,
    /// It is lifted and named again.
    Lifted,
}

impl LimitShape {
    const CHANGES: u64 = 10;
    const FIRST_MS: u64 = 4_000;
    const INTERVAL_MS: u64 = 4_500;

    fn changes(self, limit: f64) -> Vec<LimitChange> {
        let limit_at = |index: u64| match (self, index % 2) {
            (Self::Steady, _) | (Self::Lifted, 0) | (Self::Lowered, 1) => Some(limit),
            (Self::Lowered, _) => Some(limit * 4.0),
            (Self::Lifted, _) => None,
        };
        let change = |index| LimitChange {
            at: Timestamp::from_millis(Self::FIRST_MS + index * Self::INTERVAL_MS),
            limit: limit_at(index),
        };
        (0..Self::CHANGES).map(change).collect()
    }
}

/// The parameters of a day.
#[derive(Clone, Copy, Debug)]
struct LimitDay {
    entries: usize,
    limit: f64,
    limited_servers: usize,
    shape: LimitShape,
    trouble: Trouble,
    longest_answer_ms: u64,
}

impl LimitDay {
    const LENGTH_MS: u64 = 45_000;

    /// Returns the highest use of a limit, relative to what is allowed, over some seeds.
    fn largest_use(self) -> f64 {
        let use_with = |seed| {
            let calls_per_s = (self.limit * SERVERS as f64 * 4.0).max(60.0);
            let mut world = LimitWorld::new(self.entries, calls_per_s, seed);
            world.limited_servers = self.limited_servers;
            world.answer_ms = (60, self.longest_answer_ms);
            world.changes = self.shape.changes(self.limit);
            for at_ms in (0..Self::LENGTH_MS).step_by(STEP.as_millis() as usize) {
                self.trouble.apply(&mut world, at_ms, calls_per_s);
                world.step();
            }
            world.largest_use()
        };
        (1..=3).map(use_with).fold(0.0, f64::max)
    }
}

/// A server begins an answer before it names a limit; the answer arrives when entries know of
/// the limit.
#[test]
fn answers_that_arrive_late_lift_no_limit() {
    let mut exceeded = Vec::new();
    for (entries, limit) in [(8, 1.0), (8, 3.0), (87, 12.0)] {
        for shape in [LimitShape::Steady, LimitShape::Lowered, LimitShape::Lifted] {
            for trouble in [Trouble::Calm, Trouble::Frozen] {
                let day = LimitDay {
                    entries,
                    limit,
                    limited_servers: SERVERS,
                    shape,
                    trouble,
                    longest_answer_ms: 3_000,
                };
                let used = day.largest_use();
                println!("{used:.2} of what is allowed: {day:?}");
                if used > 1.0 {
                    exceeded.push((day, used));
                }
            }
        }
    }
    assert!(exceeded.is_empty(), "{exceeded:#?}");
}

#[rstest]
fn limits_that_change_hold_while_entries_are_lost(
    #[values(8, 87)] entries: usize,
    #[values(1.0, 12.0)] limit: f64,
    #[values(3, SERVERS)] limited_servers: usize,
    #[values(LimitShape::Steady, LimitShape::Lowered, LimitShape::Lifted)] shape: LimitShape,
    #[values(
        Trouble::Calm,
        Trouble::Frozen,
        Trouble::Lost,
        Trouble::Bursts,
        Trouble::BurstsAndLost,
        Trouble::BurstsAndFrozen
    )]
    trouble: Trouble,
) {
    let day = LimitDay {
        entries,
        limit,
        limited_servers,
        shape,
        trouble,
        longest_answer_ms: 400,
    };
    let used = day.largest_use();
    println!("{used:.2} of what is allowed: {day:?}");
    assert!(used <= 1.0, "{used:.2} of what is allowed");
}

/// How soon after a limit was lifted all entries have to know it.
const OVER_WITHIN: Duration = Duration::from_secs(2);

#[rstest]
fn a_lifted_limit_is_over_soon(#[values(8, 87, 302)] entries: usize) {
    let lifted_at = Timestamp::from_millis(12_000);
    let mut world = LimitWorld::new(entries, 100.0, 1);
    world.changes = vec![
        LimitChange {
            at: Timestamp::from_millis(4_000),
            limit: Some(2.0),
        },
        LimitChange {
            at: lifted_at,
            limit: None,
        },
    ];
    world.run(18_000);
    let over_at = lifted_at.after(OVER_WITHIN);
    let late = world.refused.iter().filter(|at| **at >= over_at).count();
    let last = world.refused.last().map_or(0, |at| at.0 / 1_000);
    println!("{entries} entries: the last refusal at {last} ms");
    assert_eq!(late, 0, "the last refusal at {last} ms");
}
