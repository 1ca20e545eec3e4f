//! Gives out what entries may send to backend servers that have named a limit.
//!
//! Pure. The load pattern: a server takes one request a second from hundreds of
//! entries, so that one request of each is far too much. Each entry asks one hub
//! to answer it in every round, and that hub gives out permits to these entries,
//! by the requests that they have: no entry needs a round trip for a request. A
//! hub gives out its entries' part of a limit, so the hubs need no agreement, and
//! none that was lost has to be replaced by an election. A permit that is not
//! used in time goes back; what was used is told with the news.
//!
//! Ways that were weighed: a fixed owner of each server among the entries (three
//! servers leave all but three entries without service), a share of the rate for
//! each entry (hundreds that have saved up one request each exceed the limit at
//! once), one hub for all (two thirds of the entries hear it once a second only).

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use twox_hash::XxHash64;

use crate::gateway::backend_record::BackendId;
use crate::gateway::send_permits::LimitedSends;
use crate::gateway::send_permits::PermitGrant;
use crate::id::EntryName;
use crate::id::Incarnation;
use crate::id::ServiceName;
use crate::quantity::RequestRate;
use crate::quantity::Timestamp;

/// How long a permit holds, from when its receiver last wrote before it was given.
/// Entries with a request in two seconds, as each of hundreds has, use most of
/// theirs in that time.
pub const PERMIT_LIFETIME: Duration = Duration::from_secs(3);
/// How long after its end a permit counts as perhaps used: two rounds of news.
const REPORT_GRACE: Duration = Duration::from_millis(600);
/// What all hubs together may have given out and saved up at once: some requests,
/// and what the rate earns in some time. Operators bear five requests, and what
/// two seconds earn, above a limit.
const SAVED_REQUESTS: f64 = 5.0;
const SAVED_TIME: Duration = Duration::from_millis(1_500);
/// The least rate at which a server is asked, also one that names next to nothing:
/// else nobody would hear when its limit is over.
const LEAST_RATE: RequestRate = RequestRate(0.1);
/// The demand below which an entry gets no permits, in requests a second.
const LEAST_DEMAND: f64 = 0.05;
/// How far an entry's permits may lie behind those of the one that got the most,
/// in seconds of its demand. One that had no requests for long does not get all
/// permits until it has caught up.
const LONGEST_LAG: f64 = 5.0;
/// For how long an entry's demand is covered by the permits that it holds.
const COVERED_TIME: Duration = Duration::from_secs(1);

/// A server that has named a limit.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitedServer {
    /// This life of it.
    pub id: BackendId,
    /// Its service.
    pub service: ServiceName,
    /// The requests a second that it takes from all entries.
    pub limit: RequestRate,
}

/// An entry that gets permits here.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitClient {
    /// Its name.
    pub name: EntryName,
    /// The requests a second that callers bring it, by service.
    pub demand: BTreeMap<ServiceName, f64>,
}

/// What is known of one entry's use of a server.
#[derive(Clone, Debug)]
struct ClientUse {
    incarnation: Incarnation,
    sent: u64,
}

#[derive(Clone, Debug)]
struct OpenPermit {
    client: EntryName,
    until: Timestamp,
}

#[derive(Clone, Debug)]
struct ServerAccount {
    /// What may be sent, in requests; below zero after sends without a permit.
    level: f64,
    filled_at: Timestamp,
    /// Permits that may still be used, or may have been.
    open: Vec<OpenPermit>,
    uses: HashMap<EntryName, ClientUse>,
}

impl ServerAccount {
    /// Opens an account that holds up to one request, differently at each hub, so
    /// that hubs don't all give their first permit in the same moment.
    fn open(now: Timestamp, own: &EntryName, id: &BackendId) -> Self {
        let mut hasher = XxHash64::with_seed(7);
        own.as_str().hash(&mut hasher);
        id.hash(&mut hasher);
        Self {
            level: hasher.finish() as f64 / u64::MAX as f64,
            filled_at: now,
            open: Vec::new(),
            uses: HashMap::new(),
        }
    }

    /// Adds what a part of the rate earned since the last time.
    fn refill(&mut self, now: Timestamp, rate: f64, part: f64) {
        let saved = SAVED_REQUESTS + rate * SAVED_TIME.as_secs_f64();
        let most = (saved * part).max(1.0);
        let earned = now.since(self.filled_at).as_secs_f64() * rate * part;
        self.level = (self.level + earned).clamp(-most, most);
        self.filled_at = now;
        self.open
            .retain(|permit| now < permit.until.after(REPORT_GRACE));
    }

    fn has_room(&self) -> bool {
        self.level - self.open.len() as f64 >= 1.0
    }

    fn open_permits(&self, client: &EntryName) -> u64 {
        let open = self.open.iter().filter(|permit| permit.client == *client);
        open.count() as u64
    }

    /// Notes what an entry told that it has sent.
    fn note_sent(&mut self, client: &EntryName, incarnation: Incarnation, sent: u64) {
        let told = ClientUse { incarnation, sent };
        let before = self.uses.insert(client.clone(), told);
        let before = before.filter(|known| known.incarnation == incarnation && known.sent <= sent);
        let new = match before {
            Some(known) => sent - known.sent,
            // What it sent without a permit of this hub is in the past, or counts
            // at another hub.
            None => sent.min(self.open_permits(client)),
        };
        self.level -= new as f64;
        for _ in 0..new {
            let used = self.open.iter().position(|permit| permit.client == *client);
            let Some(used) = used else { break };
            self.open.remove(used);
        }
    }
}

/// An entry's turn among those with requests for a service.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ClientTurn {
    /// What it was given so far, relative to its demand. The least is next.
    due: f64,
    client: usize,
    /// How many more permits it can use.
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
        let by_due = other.due.total_cmp(&self.due);
        by_due.then_with(|| other.client.cmp(&self.client))
    }
}

/// The turns of the entries with requests for one service.
type ServiceTurns = BinaryHeap<ClientTurn>;

/// The permits that one hub gives out.
#[derive(Clone, Debug)]
pub struct PermitIssuer {
    own: EntryName,
    servers: HashMap<BackendId, ServerAccount>,
    /// What each entry was given so far for a service, relative to its demand.
    given: HashMap<(EntryName, ServiceName), f64>,
}

impl PermitIssuer {
    /// Returns an issuer at an entry that has given nothing.
    pub fn new(own: EntryName) -> Self {
        Self {
            own,
            servers: HashMap::new(),
            given: HashMap::new(),
        }
    }

    /// Notes what an entry told that it has sent to servers with a limit.
    pub fn note_sends(
        &mut self,
        client: &EntryName,
        incarnation: Incarnation,
        sends: &[LimitedSends],
    ) {
        for sends in sends {
            if let Some(account) = self.servers.get_mut(&sends.id) {
                account.note_sent(client, incarnation, sends.sent);
            }
        }
    }

    /// Gives out permits of `part` of each limit to the entries that this one
    /// answers.
    pub fn issue(
        &mut self,
        now: Timestamp,
        part: f64,
        limited: &[LimitedServer],
        clients: &[PermitClient],
    ) -> BTreeMap<EntryName, Vec<PermitGrant>> {
        self.keep(limited);
        let mut services: BTreeMap<&ServiceName, ServiceTurns> = BTreeMap::new();
        let mut grants: BTreeMap<EntryName, Vec<PermitGrant>> = BTreeMap::new();
        for server in limited {
            let rate = server.limit.0.max(LEAST_RATE.0);
            let own = &self.own;
            let account = self.servers.entry(server.id.clone());
            let account = account.or_insert_with(|| ServerAccount::open(now, own, &server.id));
            account.refill(now, rate, part);
            if !account.has_room() {
                continue;
            }
            if !services.contains_key(&server.service) {
                let turns = self.service_turns(&server.service, limited, clients);
                services.insert(&server.service, turns);
            }
            let Some(turns) = services.get_mut(&server.service) else {
                continue;
            };
            self.issue_of(now, server, turns, clients, &mut grants);
        }
        grants
    }

    /// Gives out what one server takes.
    fn issue_of(
        &mut self,
        now: Timestamp,
        server: &LimitedServer,
        turns: &mut ServiceTurns,
        clients: &[PermitClient],
        grants: &mut BTreeMap<EntryName, Vec<PermitGrant>>,
    ) {
        let Some(account) = self.servers.get_mut(&server.id) else {
            return;
        };
        while account.has_room() {
            let Some(mut turn) = turns.pop() else {
                return;
            };
            let client = &clients[turn.client];
            account.open.push(OpenPermit {
                client: client.name.clone(),
                until: now.after(PERMIT_LIFETIME),
            });
            add_permit(grants.entry(client.name.clone()).or_default(), &server.id);
            turn.due += 1.0 / demand_of(client, &server.service);
            turn.room -= 1;
            let key = (client.name.clone(), server.service.clone());
            self.given.insert(key, turn.due);
            if turn.room > 0 {
                turns.push(turn);
            }
        }
    }

    /// Returns the turns of the entries that can use permits for a service.
    fn service_turns(
        &self,
        service: &ServiceName,
        limited: &[LimitedServer],
        clients: &[PermitClient],
    ) -> ServiceTurns {
        let held = self.held_permits(service, limited);
        let given = |client: &PermitClient| {
            let key = (client.name.clone(), service.clone());
            self.given.get(&key).copied()
        };
        let with_demand = clients.iter().enumerate();
        let with_demand =
            with_demand.filter(|(_, client)| demand_of(client, service) >= LEAST_DEMAND);
        let known = with_demand.clone().filter_map(|(_, client)| given(client));
        let least = known.max_by(f64::total_cmp).unwrap_or(0.0) - LONGEST_LAG;
        let turn = |(number, client): (usize, &PermitClient)| {
            let useful = demand_of(client, service) * COVERED_TIME.as_secs_f64();
            let held = held.get(&client.name).copied().unwrap_or(0);
            ClientTurn {
                due: given(client).unwrap_or(least).max(least),
                client: number,
                room: (useful.ceil() as u32 + 1).saturating_sub(held),
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
        for account in of_service.filter_map(|server| self.servers.get(&server.id)) {
            for permit in &account.open {
                *held.entry(permit.client.clone()).or_insert(0) += 1;
            }
        }
        held
    }

    /// Forgets all servers: no limit is in force.
    pub fn clear(&mut self) {
        self.servers.clear();
        self.given.clear();
    }

    /// Forgets servers whose limit is over.
    fn keep(&mut self, limited: &[LimitedServer]) {
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
