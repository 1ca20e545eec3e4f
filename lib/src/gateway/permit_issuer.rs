//! Issues permits to send requests to backend servers that report a rate limit.
//!
//! Pure: no I/O. Load pattern: a server accepts one request a second from
//! hundreds of entries, so one request from each of them would be far too many.
//! Each entry subscribes to one hub, which replies to it in every gossip round
//! and issues permits to its subscribers in proportion to their demand. So no
//! entry needs a round trip for a request. A hub issues its subscribers'
//! fraction of a limit, so hubs need no agreement with each other, and no
//! election has to replace a lost hub. A permit that is not used in time
//! returns to the hub. Entries report in gossip what they sent.
//!
//! Rejected alternatives: one owner of each server among the entries (with
//! three servers, all but three entries could not send), a fixed fraction of
//! the rate for each entry (hundreds of entries that each saved up one request
//! would exceed the limit at once), and one hub for all (two thirds of the
//! entries receive its gossip only once a second).

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use twox_hash::XxHash64;

use crate::gateway::backend_record::BackendId;
use crate::gateway::permit_loans::IssuedLoans;
use crate::gateway::permit_loans::LoanClient;
use crate::gateway::permit_loans::LoanLedger;
use crate::gateway::permit_loans::ReportTimes;
use crate::gateway::send_permits::LimitedSends;
use crate::gateway::send_permits::PermitGrant;
use crate::id::EntryName;
use crate::id::Incarnation;
use crate::id::ServiceName;
use crate::quantity::RequestRate;
use crate::quantity::Timestamp;

/// How long a permit is valid, counted from the receiver's last message before
/// it was issued. If hundreds of entries get one request every 2 s each, they
/// use most of their permits in this time.
pub const PERMIT_LIFETIME: Duration = Duration::from_secs(3);
/// How long after its expiry a permit counts as possibly used, because its use
/// may not be reported yet: two gossip rounds.
const REPORT_GRACE: Duration = Duration::from_millis(600);
/// The most that all hubs together may save up and issue at once: a number of
/// requests, plus what the rate earns in `BURST_TIME`. Operators tolerate 5
/// requests, and what 2 s of the rate earn, above a limit.
const BURST_REQUESTS: f64 = 5.0;
const BURST_TIME: Duration = Duration::from_millis(1_500);
/// The window in which operators count the requests that arrive at a server, and what they
/// tolerate in it, as a multiple of the limit, beside `BURST_REQUESTS`.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(4);
const TOLERATED_FACTOR: f64 = 1.5;
/// How much later than it was sent a request may arrive. A healthy server may stand still for
/// a second, and then reads at once what was sent to it meanwhile.
const LONGEST_DELAY: Duration = Duration::from_millis(1_250);
/// The lowest rate at which a server gets requests, even if it reports a lower
/// limit. Without requests, no entry would learn that the limit is lifted.
const MIN_RATE: RequestRate = RequestRate(0.1);
/// Entries with a lower demand get no permits, in requests per second.
pub const MIN_DEMAND_PER_S: f64 = 0.05;
/// How far an entry's permits may lag behind those of the entry that got the
/// most, in seconds of its demand. Without this, an entry after a long idle
/// time would get all permits until it has caught up.
const MAX_LAG_S: f64 = 5.0;
/// For how long the permits that an entry holds should cover its demand.
const COVERED_TIME: Duration = Duration::from_secs(1);

/// A server that has reported a rate limit.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitedServer {
    /// This incarnation of the server.
    pub id: BackendId,
    /// Its service.
    pub service: ServiceName,
    /// The requests per second that it accepts from all entries together.
    pub limit: RequestRate,
}

/// An entry that gets permits from this hub.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitClient {
    /// Its name.
    pub name: EntryName,
    /// The requests per second that callers send to it, by service.
    pub demand: BTreeMap<ServiceName, f64>,
}

/// Whether an entry lacks permits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PermitSupply {
    /// All entries have what they can use.
    #[default]
    Ample,
    /// An entry asks for loans.
    Short,
}

/// What an entry last reported of its requests to a server.
#[derive(Clone, Debug)]
struct ClientUse {
    incarnation: Incarnation,
    sent: u64,
}

#[derive(Clone, Debug)]
struct OpenPermit {
    client: EntryName,
    expires_at: Timestamp,
}

#[derive(Clone, Debug)]
struct ServerBudget {
    /// How many requests may be permitted; negative after sends without a
    /// permit.
    level: f64,
    refilled_at: Timestamp,
    /// Permits that may still be used, or whose use may not be reported yet.
    open: Vec<OpenPermit>,
    /// Requests reported as sent since the last refill.
    newly_sent: u64,
    /// Requests that may not have arrived yet, or count in a window that has not ended, by
    /// the time of the refill after their report.
    recent_sends: VecDeque<(Timestamp, u64)>,
    /// The most requests that may be sent in `ARRIVAL_WINDOW` and `LONGEST_DELAY` together.
    window_limit: f64,
    uses: HashMap<EntryName, ClientUse>,
    /// Permits issued to subscribers of other hubs.
    loans: LoanLedger,
}

impl ServerBudget {
    /// Returns a budget of up to one request. It differs between hubs, so that
    /// they don't all issue their first permit at the same moment.
    fn new(now: Timestamp, own: &EntryName, id: &BackendId) -> Self {
        let mut hasher = XxHash64::with_seed(7);
        own.as_str().hash(&mut hasher);
        id.hash(&mut hasher);
        Self {
            level: hasher.finish() as f64 / u64::MAX as f64,
            refilled_at: now,
            open: Vec::new(),
            newly_sent: 0,
            recent_sends: VecDeque::new(),
            window_limit: 0.0,
            uses: HashMap::new(),
            loans: LoanLedger::default(),
        }
    }

    /// Adds what a fraction of the rate earned since the last refill, and
    /// removes expired permits and loans.
    fn refill(&mut self, now: Timestamp, rate: f64, fraction: f64, reports: &ReportTimes) {
        let presumed = self.loans.settle(now, reports);
        self.debit(presumed);
        let burst = BURST_REQUESTS + rate * BURST_TIME.as_secs_f64();
        let max_level = (burst * fraction).max(1.0);
        let earned = now.since(self.refilled_at).as_secs_f64() * rate * fraction;
        self.level = (self.level + earned).clamp(-max_level, max_level);
        self.refilled_at = now;
        self.open
            .retain(|permit| now < permit.expires_at.after(REPORT_GRACE));
        let tolerated = rate * ARRIVAL_WINDOW.as_secs_f64() * TOLERATED_FACTOR + BURST_REQUESTS;
        // A hub without subscribers may still hold what it earned for those that it had.
        self.window_limit = match fraction > 0.0 {
            true => (tolerated * fraction).max(1.0),
            false => 0.0,
        };
        let newly_sent = std::mem::take(&mut self.newly_sent);
        if newly_sent > 0 {
            self.recent_sends.push_back((now, newly_sent));
        }
        let is_over = |at: Timestamp| now.since(at) >= ARRIVAL_WINDOW + LONGEST_DELAY;
        while self
            .recent_sends
            .front()
            .is_some_and(|(at, _)| is_over(*at))
        {
            self.recent_sends.pop_front();
        }
    }

    /// Returns whether a request may be permitted: the rate has earned it, and even if all
    /// requests that may be sent arrive together, the server gets no more than is tolerated.
    fn has_room(&self) -> bool {
        let open = (self.open.len() + self.loans.open_count()) as f64;
        let sent: u64 = self.recent_sends.iter().map(|(_, count)| count).sum();
        self.level - open >= 1.0 && self.window_limit - open - sent as f64 >= 1.0
    }

    fn debit(&mut self, newly_sent: u64) {
        self.level -= newly_sent as f64;
        self.newly_sent += newly_sent;
    }

    fn count_open(&self, client: &EntryName) -> u64 {
        let open = self.open.iter().filter(|permit| permit.client == *client);
        open.count() as u64
    }

    /// Records how many requests an entry reported to have sent.
    fn note_sent(&mut self, client: &EntryName, incarnation: Incarnation, sent: u64) {
        let reported = ClientUse { incarnation, sent };
        let previous = self.uses.insert(client.clone(), reported);
        let previous =
            previous.filter(|known| known.incarnation == incarnation && known.sent <= sent);
        let newly_sent = match previous {
            Some(known) => sent - known.sent,
            // The count may include requests sent without a permit of this
            // hub. They are in the past or count at another hub, so at most
            // the open permits are counted as used.
            None => sent.min(self.count_open(client)),
        };
        self.debit(newly_sent);
        for _ in 0..newly_sent {
            let used = self.open.iter().position(|permit| permit.client == *client);
            let Some(used) = used else { break };
            self.open.remove(used);
        }
    }
}

/// An entry's position in the queue for permits of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ClientTurn {
    /// The permits issued to the entry divided by its demand, as in weighted
    /// fair queuing. The entry with the lowest value is next.
    virtual_time: f64,
    client: usize,
    /// How many more permits the entry can use.
    room: u32,
}

impl Eq for ClientTurn {}

impl PartialOrd for ClientTurn {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ClientTurn {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_virtual_time = other.virtual_time.total_cmp(&self.virtual_time);
        by_virtual_time.then_with(|| other.client.cmp(&self.client))
    }
}

/// The queue of the entries with requests for one service.
type ServiceTurns = BinaryHeap<ClientTurn>;

/// The permits that one hub issues.
#[derive(Clone, Debug)]
pub struct PermitIssuer {
    own: EntryName,
    servers: HashMap<BackendId, ServerBudget>,
    supply: PermitSupply,
    /// The last reports of entries that may hold loans.
    loan_reports: ReportTimes,
    /// The virtual time of each entry for a service, kept between rounds.
    virtual_times: HashMap<(EntryName, ServiceName), f64>,
}

impl PermitIssuer {
    /// Returns an issuer that has issued nothing.
    pub fn new(own: EntryName) -> Self {
        Self {
            own,
            servers: HashMap::new(),
            supply: PermitSupply::Ample,
            loan_reports: ReportTimes::new(),
            virtual_times: HashMap::new(),
        }
    }

    /// Records what an entry reported to have sent to servers with a limit.
    pub fn note_reported_sends(
        &mut self,
        client: &EntryName,
        incarnation: Incarnation,
        sends: &[LimitedSends],
    ) {
        for sends in sends {
            if let Some(budget) = self.servers.get_mut(&sends.id) {
                budget.note_sent(client, incarnation, sends.sent);
            }
        }
    }

    /// Sets whether an entry lacks permits.
    pub fn set_supply(&mut self, supply: PermitSupply) {
        self.supply = supply;
    }

    /// Returns how many permits an entry should hold. While others lack permits, one that
    /// sends less than a request in the lifetime of a permit gets no spare one: the spare
    /// ones of many such entries would take up all that a hub may have out.
    fn covering_permits(&self, demand: f64) -> u32 {
        let is_idle = demand * PERMIT_LIFETIME.as_secs_f64() < 1.0;
        let spare = match self.supply {
            PermitSupply::Short if is_idle => 0,
            PermitSupply::Short | PermitSupply::Ample => 1,
        };
        (demand * COVERED_TIME.as_secs_f64()).ceil() as u32 + spare
    }

    /// Records what an entry reported to have sent on loans of this hub, in a message that it
    /// sent at `sent_at` by its clock. A report that is older than the last one is ignored.
    pub fn note_loan_sends(
        &mut self,
        client: &EntryName,
        incarnation: Incarnation,
        sent_at: Timestamp,
        sends: &[LimitedSends],
    ) {
        if self.servers.is_empty() {
            return;
        }
        let report = (incarnation, sent_at);
        let known = self.loan_reports.get(client);
        if known.is_some_and(|(known, at)| *known == incarnation && *at >= sent_at) {
            return;
        }
        self.loan_reports.insert(client.clone(), report);
        for sends in sends {
            if let Some(budget) = self.servers.get_mut(&sends.id) {
                let newly_sent = budget.loans.note_sent(client, incarnation, sends.sent);
                budget.debit(newly_sent);
            }
        }
    }

    /// Issues what the subscribers of this entry can't use to subscribers of other hubs. The
    /// one that wants the most is next.
    pub fn lend(
        &mut self,
        now: Timestamp,
        limited: &[LimitedServer],
        clients: &[LoanClient],
    ) -> BTreeMap<EntryName, IssuedLoans> {
        let mut queues: BTreeMap<&ServiceName, BinaryHeap<(u32, usize)>> = BTreeMap::new();
        for (number, client) in clients.iter().enumerate() {
            for (service, wanted) in client.wanted.iter().filter(|(_, wanted)| **wanted > 0) {
                queues.entry(service).or_default().push((*wanted, number));
            }
        }
        let mut loans: BTreeMap<EntryName, IssuedLoans> = BTreeMap::new();
        for server in limited {
            let Some(queue) = queues.get_mut(&server.service) else {
                continue;
            };
            let Some(budget) = self.servers.get_mut(&server.id) else {
                continue;
            };
            while budget.has_room() {
                let Some((wanted, number)) = queue.pop() else {
                    break;
                };
                let client = &clients[number];
                budget.loans.lend(now, client);
                let issued = loans.entry(client.name.clone());
                let issued = issued.or_insert_with(|| IssuedLoans::new(client));
                add_permit(&mut issued.grants, &server.id);
                if wanted > 1 {
                    queue.push((wanted - 1, number));
                }
            }
        }
        loans
    }

    /// Issues permits for a `fraction` of each limit to the subscribers of this
    /// entry.
    pub fn issue(
        &mut self,
        now: Timestamp,
        fraction: f64,
        limited: &[LimitedServer],
        clients: &[PermitClient],
    ) -> BTreeMap<EntryName, Vec<PermitGrant>> {
        self.retain_limited(limited);
        let mut services: BTreeMap<&ServiceName, ServiceTurns> = BTreeMap::new();
        let mut grants: BTreeMap<EntryName, Vec<PermitGrant>> = BTreeMap::new();
        for server in limited {
            let rate = server.limit.0.max(MIN_RATE.0);
            let own = &self.own;
            let budget = self.servers.entry(server.id.clone());
            let budget = budget.or_insert_with(|| ServerBudget::new(now, own, &server.id));
            budget.refill(now, rate, fraction, &self.loan_reports);
            if !budget.has_room() {
                continue;
            }
            if !services.contains_key(&server.service) {
                let turns = self.service_turns(&server.service, limited, clients);
                services.insert(&server.service, turns);
            }
            let Some(turns) = services.get_mut(&server.service) else {
                continue;
            };
            self.issue_for_server(now, server, turns, clients, &mut grants);
        }
        grants
    }

    /// Issues the permits of one server.
    fn issue_for_server(
        &mut self,
        now: Timestamp,
        server: &LimitedServer,
        turns: &mut ServiceTurns,
        clients: &[PermitClient],
        grants: &mut BTreeMap<EntryName, Vec<PermitGrant>>,
    ) {
        let Some(budget) = self.servers.get_mut(&server.id) else {
            return;
        };
        while budget.has_room() {
            let Some(mut turn) = turns.pop() else {
                return;
            };
            let client = &clients[turn.client];
            budget.open.push(OpenPermit {
                client: client.name.clone(),
                expires_at: now.after(PERMIT_LIFETIME),
            });
            add_permit(grants.entry(client.name.clone()).or_default(), &server.id);
            turn.virtual_time += 1.0 / demand_of(client, &server.service);
            turn.room -= 1;
            let key = (client.name.clone(), server.service.clone());
            self.virtual_times.insert(key, turn.virtual_time);
            if turn.room > 0 {
                turns.push(turn);
            }
        }
    }

    /// Returns the queue of the entries that can use permits for a service.
    fn service_turns(
        &self,
        service: &ServiceName,
        limited: &[LimitedServer],
        clients: &[PermitClient],
    ) -> ServiceTurns {
        let held = self.held_permits(service, limited);
        let virtual_time = |client: &PermitClient| {
            let key = (client.name.clone(), service.clone());
            self.virtual_times.get(&key).copied()
        };
        let with_demand = clients.iter().enumerate();
        let with_demand =
            with_demand.filter(|(_, client)| demand_of(client, service) >= MIN_DEMAND_PER_S);
        let known = with_demand
            .clone()
            .filter_map(|(_, client)| virtual_time(client));
        let min_virtual_time = known.max_by(f64::total_cmp).unwrap_or(0.0) - MAX_LAG_S;
        let turn = |(number, client): (usize, &PermitClient)| {
            let wanted = self.covering_permits(demand_of(client, service));
            let held = held.get(&client.name).copied().unwrap_or(0);
            ClientTurn {
                virtual_time: virtual_time(client)
                    .unwrap_or(min_virtual_time)
                    .max(min_virtual_time),
                client: number,
                room: wanted.saturating_sub(held),
            }
        };
        let turns = with_demand.map(turn);
        turns.filter(|turn| turn.room > 0).collect()
    }

    /// Counts the permits that each entry holds for a service.
    fn held_permits(
        &self,
        service: &ServiceName,
        limited: &[LimitedServer],
    ) -> HashMap<EntryName, u32> {
        let mut held = HashMap::new();
        let of_service = limited.iter().filter(|server| server.service == *service);
        for budget in of_service.filter_map(|server| self.servers.get(&server.id)) {
            for permit in &budget.open {
                *held.entry(permit.client.clone()).or_insert(0) += 1;
            }
        }
        held
    }

    /// Forgets all servers, because no limit is in force.
    pub fn clear(&mut self) {
        self.servers.clear();
        self.loan_reports.clear();
        self.virtual_times.clear();
    }

    /// Forgets servers whose limit is no longer in force.
    fn retain_limited(&mut self, limited: &[LimitedServer]) {
        let ids: HashSet<&BackendId> = limited.iter().map(|server| &server.id).collect();
        self.servers.retain(|id, _| ids.contains(id));
    }
}

fn demand_of(client: &PermitClient, service: &ServiceName) -> f64 {
    client.demand.get(service).copied().unwrap_or(0.0)
}

fn add_permit(grants: &mut Vec<PermitGrant>, id: &BackendId) {
    match grants.iter_mut().find(|grant| grant.id == *id) {
        Some(grant) => grant.count += 1,
        None => grants.push(PermitGrant {
            id: id.clone(),
            count: 1,
        }),
    }
}
