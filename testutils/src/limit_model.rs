//! A model of rate limits that backend servers name, over many entries in virtual time.
//!
//! Reports, gossip and permits are those in use. Counted are the requests that arrive at a
//! server from the entries that passed its answers on: in some 4 s at most one and a half
//! times what its limit allows, and five requests.

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
use cloverbend::gateway::peer_gossip::WantedLoans;
use cloverbend::gateway::peer_table::PeerTable;
use cloverbend::gateway::peer_table::PermitShare;
use cloverbend::gateway::peer_table::ReportOffer;
use cloverbend::gateway::permit_issuer::PERMIT_LIFETIME;
use cloverbend::gateway::permit_issuer::PermitClient;
use cloverbend::gateway::permit_loans::LoanClient;
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

use crate::gossip_sample::entry_name;

/// The length of a step.
pub const STEP: Duration = Duration::from_millis(25);
const ROUND_STEPS: u64 = 10;
/// The number of servers.
pub const SERVERS: usize = 9;
/// The window in which requests are counted, and by how much they may exceed the limit in it.
const WINDOW: Duration = Duration::from_secs(4);
const TOLERATED_FACTOR: f64 = 1.5;
const TOLERATED_REQUESTS: f64 = 5.0;
/// How long after an answer the entry that got it is held to the limit in it.
const HELD_AFTER: Duration = Duration::from_millis(500);
/// How long after a server first names a limit requests count against it.
const NAMED_AFTER: Duration = Duration::from_secs(3);
/// The share of the requests that come to the busy entry.
const BUSY_SHARE: f64 = 0.9;
/// How long a process needs to start.
const START_TIME: Duration = Duration::from_millis(500);

/// Returns the address of the entry with a number.
pub fn entry_address(number: usize) -> std::net::SocketAddr {
    format!("127.0.0.1:{}", 1_000 + number).parse().unwrap()
}

/// Returns the name of the service whose servers have limits.
pub fn limited_service() -> ServiceName {
    "pool".parse().unwrap()
}

/// Returns the identity of the server with a number.
pub fn server_id(number: usize) -> BackendId {
    BackendId::without_start(format!("i-{number}"))
}

/// Returns the record of the server with a number.
pub fn listed_server(number: usize) -> BackendRecord {
    BackendRecord {
        id: server_id(number),
        service: limited_service(),
        address: entry_address(number),
        zone: "zone-a".parse().unwrap(),
        slots: 64,
        draining: false,
        reclaimable: true,
        version: None,
    }
}

/// Returns the capacity of the entry with a number: the first four are hubs.
pub fn hub_capacity(number: usize) -> HubCapacity {
    HubCapacity(if number < 4 { 500 } else { 120 })
}

/// The limit that servers name, from a time on.
#[derive(Clone, Copy, Debug)]
pub struct LimitChange {
    /// From when on.
    pub at: Timestamp,
    /// The limit, in requests per second.
    pub limit: Option<f64>,
}

/// A request on its way.
#[derive(Clone, Copy, Debug)]
struct ModelRequest {
    arrives_at: Timestamp,
    sent_at: Timestamp,
    entry: usize,
    incarnation: Incarnation,
    server: usize,
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
    sender: usize,
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
    /// Until when it stands still: requests arrive, in its sense, when it goes on.
    silent_until: Timestamp,
    /// When each process first got an answer with the limit in force.
    passed_on: BTreeMap<Incarnation, Timestamp>,
    /// Requests that count against the limit in force.
    counted: Vec<Timestamp>,
    /// When it first named a limit, since it last named none.
    named_at: Option<Timestamp>,
    limit: Option<f64>,
    /// The most requests in a window relative to what is allowed.
    largest_use: f64,
}

/// Entries that send to servers with limits.
pub struct LimitWorld {
    entries: Vec<ModelEntry>,
    servers: Vec<ModelServer>,
    backends: BackendSet,
    now: Timestamp,
    steps: u64,
    /// The requests per second of all callers.
    pub calls_per_s: f64,
    /// How the limit of servers changes.
    pub changes: Vec<LimitChange>,
    /// How many servers name limits.
    pub limited_servers: usize,
    /// The range of the time that a server takes for an answer.
    pub answer_ms: (u64, u64),
    /// The longest time that a request may take to arrive, and the share of such requests.
    pub lag: RequestLag,
    /// The share of messages between entries that are lost.
    pub message_loss: f64,
    /// Entries that hear no other, each of the first so many.
    pub alone: usize,
    /// The entry to which most callers come, if they are uneven.
    pub busy_entry: Option<usize>,
    /// How many loans entries got, their own ones included.
    pub loans: usize,
    in_flight: VecDeque<ModelMessage>,
    requests: Vec<ModelRequest>,
    answers: Vec<ModelAnswer>,
    next_incarnation: u64,
    /// When requests were refused.
    pub refused: Vec<Timestamp>,
    /// Draws what happens.
    pub random: StdRng,
}

/// How late requests arrive.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestLag {
    /// The share of requests that are late.
    pub share: f64,
    /// The longest delay, in milliseconds.
    pub longest_ms: u64,
}

impl LimitWorld {
    /// Returns entries that know each other.
    pub fn new(entries: usize, calls_per_s: f64, seed: u64) -> Self {
        let mut backends = BackendSet::new();
        for number in 0..SERVERS {
            backends.put(listed_server(number));
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
            lag: RequestLag::default(),
            message_loss: 0.0,
            alone: 0,
            busy_entry: None,
            loans: 0,
            in_flight: VecDeque::new(),
            requests: Vec::new(),
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
        let mut peers = PeerTable::new(entry_name(number), capacity);
        for other in 0..entries {
            peers.note_listed(
                self.now,
                entry_name(other),
                entry_address(other),
                hub_capacity(other),
            );
        }
        peers.note_list_read();
        let incarnation = Incarnation(self.next_incarnation);
        self.next_incarnation += 1;
        ModelEntry {
            frozen_until: Timestamp(0),
            starts_at: None,
            peers,
            limits: ServerLimits::new(entry_name(number)),
            gossip: GatewayGossip::new(
                incarnation,
                entry_name(number),
                entry_address(number),
                capacity,
            ),
            disturbed_at: Timestamp(0),
        }
    }

    /// Returns the number of entries.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Starts further entries, which know the others and are not known to them.
    pub fn join(&mut self, count: usize) {
        let entries = self.entries.len() + count;
        for number in self.entries.len()..entries {
            let mut entry = self.new_entry(number, entries);
            entry.disturbed_at = self.now;
            self.entries.push(entry);
        }
    }

    /// Ends the process of an entry; it starts again after a while.
    pub fn kill(&mut self, number: usize) {
        let at = self.now.after(START_TIME);
        let entry = &mut self.entries[number];
        entry.starts_at = Some(at);
        entry.disturbed_at = at;
        let incarnation = entry.gossip.incarnation;
        self.answers
            .retain(|answer| answer.incarnation != incarnation);
    }

    /// Makes a server stand still.
    pub fn silence(&mut self, server: usize, length: Duration) {
        self.servers[server].silent_until = self.now.after(length);
    }

    /// Suspends an entry.
    pub fn freeze(&mut self, number: usize, length: Duration) {
        let until = self.now.after(length);
        let entry = &mut self.entries[number];
        entry.frozen_until = until;
        entry.disturbed_at = until;
    }

    fn runs(&self, number: usize) -> bool {
        let entry = &self.entries[number];
        entry.starts_at.is_none() && self.now >= entry.frozen_until
    }

    /// Goes on by [`STEP`].
    pub fn step(&mut self) {
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
        self.deliver_requests();
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
                if server.limit.is_none() {
                    server.named_at = None;
                }
                server.limit = limit;
                server.passed_on.clear();
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
            let is_lost = number < self.alone
                || message.sender < self.alone
                || self.random.random_bool(self.message_loss);
            if self.entries[number].starts_at.is_none() && !is_lost {
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
        if gossip.reports_state {
            entry.limits.note_loan_sends(
                &gossip.name,
                gossip.incarnation,
                Timestamp(gossip.sent_at),
                &gossip.loan_sends,
            );
        }
        if let Some(sent_after) = sent_after {
            let expires_at = sent_after.after(PERMIT_LIFETIME);
            entry
                .limits
                .add_loans(&gossip.name, &gossip.loans, expires_at);
            self.loans += gossip.loans.len();
            entry.limits.add_permits(&message.permits, expires_at);
        }
    }

    /// Returns the requests per second that callers send to an entry.
    fn demand(&self, number: usize) -> f64 {
        let even = self.calls_per_s / self.entries.len() as f64;
        match self.busy_entry {
            None => even,
            Some(busy) if busy == number => {
                self.calls_per_s * BUSY_SHARE + even * (1.0 - BUSY_SHARE)
            }
            Some(_) => even * (1.0 - BUSY_SHARE),
        }
    }

    /// Draws the entry to which a caller sends a request.
    fn draw_entry(&mut self) -> usize {
        match self.busy_entry {
            Some(busy) if self.random.random_bool(BUSY_SHARE) => busy,
            Some(_) | None => self.random.random_range(0..self.entries.len()),
        }
    }

    fn deliver_answers(&mut self) {
        let due = |answer: &ModelAnswer| answer.arrives_at <= self.now && self.runs(answer.entry);
        let (due, rest): (Vec<_>, Vec<_>) = self.answers.iter().copied().partition(due);
        self.answers = rest;
        for answer in due {
            let server = &mut self.servers[answer.server];
            if answer.limit.is_some() && answer.limit == server.limit {
                server
                    .passed_on
                    .entry(answer.incarnation)
                    .or_insert(self.now);
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
        let demand = self.demand(number);
        let work = vec![ServiceDemand {
            service: limited_service().to_string(),
            tokens_per_s: 0,
            busy_milli: 0,
            requests_milli: (demand * 1_000.0) as u64,
        }];
        let own = entry_name(number);
        let entry = &mut self.entries[number];
        let incarnation = entry.gossip.incarnation;
        let due_messages = entry.peers.take_due_messages(now, round);
        let mut granted = BTreeMap::new();
        let mut lent = BTreeMap::new();
        let own_demand = [(limited_service(), demand)];
        let wanted = entry.limits.wanted_loans(now, &self.backends, own_demand);
        if entry.limits.sweep(now, &self.backends) {
            let share = entry.peers.permit_share(now);
            let client = |name: EntryName, work: &[ServiceDemand]| PermitClient {
                name,
                demand: [(limited_service(), work[0].requests_milli as f64 / 1_000.0)].into(),
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
                entry.limits.set_supply(entry.peers.permit_supply(now));
                let loan_sends = entry.limits.recent_loan_sends(now, &own);
                entry
                    .limits
                    .note_loan_sends(&own, incarnation, now, &loan_sends);
                granted = entry.limits.issue(now, &self.backends, fraction, &clients);
            }
            if let PermitShare::Subscribers { .. } = share {
                let mut loan_clients = entry.peers.loan_clients(now, &due_messages);
                if !wanted.is_empty() {
                    loan_clients.push(LoanClient {
                        name: own.clone(),
                        incarnation,
                        sent_at: now,
                        wanted: wanted.clone(),
                    });
                }
                lent = entry.limits.lend(now, &self.backends, &loan_clients);
            }
        }
        if let Some(loans) = lent.remove(&own) {
            let expires_at = now.after(PERMIT_LIFETIME);
            entry.limits.add_loans(&own, &loans.grants, expires_at);
            self.loans += loans.grants.len();
        }
        let wanted = wanted.into_iter().map(|(service, count)| WantedLoans {
            service: service.to_string(),
            count,
        });
        let wanted: Vec<WantedLoans> = wanted.collect();
        let own_grants = granted.remove(&own).unwrap_or_default();
        entry
            .limits
            .add_permits(&own_grants, now.after(PERMIT_LIFETIME));
        let counts = entry.peers.direct_entry_counts(now);
        let digest = entry.limits.digest(&self.backends);
        for due in due_messages {
            let mut gossip = entry.gossip.clone();
            gossip.sent_at = now.0;
            gossip.reports_digest = digest;
            gossip.reports_state = due.reports_state;
            gossip.wants_summary = due.wants_summary;
            gossip.service_demand.clone_from(&work);
            if due.reports_state {
                gossip.reports = entry.limits.reports.direct_reports(now);
                gossip.wanted_loans.clone_from(&wanted);
                gossip.loan_sends = entry.limits.recent_loan_sends(now, &due.name);
            }
            if due.wants_summary {
                gossip.sends = entry.limits.recent_sends(now);
            }
            gossip.echo = entry.peers.echo(&due.name, None, None);
            if let Some(loans) = lent.remove(&due.name) {
                gossip.loans = loans.grants_with(gossip.echo.as_ref());
            }
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
                sender: number,
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
            let number = self.draw_entry();
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

    fn send(&mut self, number: usize, server: usize) {
        let is_late = self.lag.share > 0.0 && self.random.random_bool(self.lag.share);
        let delay_ms = match is_late {
            true => self.random.random_range(0..=self.lag.longest_ms),
            false => 0,
        };
        self.requests.push(ModelRequest {
            arrives_at: self.now.after(Duration::from_millis(delay_ms)),
            sent_at: self.now,
            entry: number,
            incarnation: self.entries[number].gossip.incarnation,
            server,
        });
        self.deliver_requests();
    }

    fn deliver_requests(&mut self) {
        let due = |request: &ModelRequest| {
            let silent_until = self.servers[request.server].silent_until;
            request.arrives_at.max(silent_until) <= self.now
        };
        let (due, rest): (Vec<_>, Vec<_>) = self.requests.iter().copied().partition(due);
        self.requests = rest;
        for request in due {
            self.arrive(request);
        }
    }

    fn arrive(&mut self, request: ModelRequest) {
        let now = self.now;
        let entry = &self.entries[request.entry];
        let server = &mut self.servers[request.server];
        let has_passed_on = server
            .passed_on
            .get(&request.incarnation)
            .is_some_and(|at| now.since(*at) >= HELD_AFTER);
        if server.limit.is_some() {
            server.named_at.get_or_insert(now);
        }
        let named_for = server.named_at.map(|at| now.since(at));
        let is_undisturbed = now.since(entry.disturbed_at) >= NAMED_AFTER;
        let counts = has_passed_on && is_undisturbed && named_for >= Some(NAMED_AFTER);
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
            sent_at: request.sent_at,
            entry: request.entry,
            incarnation: request.incarnation,
            server: request.server,
            limit: server.limit,
        });
    }

    /// Goes on until a time.
    pub fn run(&mut self, until_ms: u64) {
        while self.now < Timestamp::from_millis(until_ms) {
            self.step();
        }
    }

    /// Returns the highest use of a limit, relative to what is allowed.
    pub fn largest_use(&self) -> f64 {
        let uses = self.servers.iter().map(|server| server.largest_use);
        uses.fold(0.0, f64::max)
    }
}
