//! News between gateway entries, as a `prost` frame.

use std::net::SocketAddr;

use prost::Message;

use crate::gateway::account_limits::AdmittedUnits;
use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_record::BackendRecord;
use crate::gateway::crash_ledger::CrashReport;
use crate::gateway::hub_capacity::HubCapacity;
use crate::gateway::list_history::ListChanges;
use crate::gateway::report_table::RelayedReport;
use crate::gateway::send_permits::LimitedSends;
use crate::gateway::send_permits::PermitGrant;
use crate::id::AccountName;
use crate::id::EntryName;
use crate::id::FenceToken;
use crate::id::Incarnation;
use crate::id::LogOffset;
use crate::id::RevisionNumber;

/// How old the sender's knowledge was when it received the message that it
/// answers. The receiver measures from its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessEcho {
    /// Whose message is answered.
    pub incarnation: Incarnation,
    /// The time in that message, by the clock of its sender, in microseconds.
    pub sent_at: u64,
    /// How old the knowledge of the configuration was then, in microseconds;
    /// below zero if it was confirmed only later. None if there is none.
    pub config_age: Option<i64>,
    /// The same for the list of backend servers.
    pub backends_age: Option<i64>,
    /// The fence that the message told of its sender. With it the sender of this
    /// promises not to claim the lease for a term from when the message came.
    pub fence: Option<FenceToken>,
}

/// The load that an entry puts on a backend server.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BackendUse {
    /// The backend server's name.
    #[prost(string, tag = "1")]
    pub backend: String,
    /// Requests that it has from the entry.
    #[prost(uint32, tag = "2")]
    pub in_flight: u32,
    /// Prompt tokens of those that have not begun to answer.
    #[prost(uint64, tag = "3")]
    pub unread: u64,
    /// The start of its life, in milliseconds since 1970 by its own clock; 0 if
    /// it does not tell.
    #[prost(uint64, tag = "4")]
    pub start: u64,
}

impl BackendUse {
    /// Returns the life that has the requests.
    pub fn id(&self) -> BackendId {
        BackendId::with_start(self.backend.clone(), self.start)
    }
}

/// The work that callers bring to an entry for a service.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServiceDemand {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Prompt tokens to be read in a second.
    #[prost(uint64, tag = "2")]
    pub tokens_per_s: u64,
    /// Thousandths of slots that its requests occupy on the average.
    #[prost(uint64, tag = "3")]
    pub busy_milli: u64,
    /// Thousandths of requests in a second.
    #[prost(uint64, tag = "4")]
    pub requests_milli: u64,
}

/// Requests of an account that began in a window at an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WindowCount {
    /// The window.
    pub window: u64,
    /// The account.
    pub account: AccountName,
    /// The requests.
    pub count: u64,
}

/// What a hub told of all entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HubView {
    /// Entries that may admit requests.
    pub entries: usize,
    /// Those that the hub hears, itself included.
    pub reachable: usize,
    /// The highest fence that an entry is heard to hold.
    pub fence: Option<FenceToken>,
    /// The load that all entries but the receiver put on backend servers.
    pub backend_loads: Vec<BackendUse>,
}

/// What a hub adds to its answers.
#[derive(Clone, Debug, PartialEq)]
pub struct HubSummary {
    /// What all entries but the receiver admitted, as the hub counts.
    pub admitted: Vec<AdmittedUnits>,
    /// The hubs that the sender uses itself.
    pub hubs: Vec<(EntryName, SocketAddr, HubCapacity)>,
    /// The backend servers, if the receiver's list differs and it is not known
    /// how.
    pub backends: Option<Vec<BackendRecord>>,
    /// How the list differs from the one that the receiver told to have.
    pub changes: Option<ListChanges>,
    /// Those that leave, while the list cannot be passed on.
    pub draining: Vec<BackendId>,
    /// Limits that servers named, if the receiver knows others.
    pub reports: Vec<RelayedReport>,
    /// What the receiver may send to servers with a limit.
    pub permits: Vec<PermitGrant>,
}

/// What one entry tells another several times a second. It is always the
/// whole state, so that a lost message needs no repetition.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayGossip {
    /// The sender's life.
    pub incarnation: Incarnation,
    /// The sender's name.
    pub name: EntryName,
    /// Where the sender listens for other entries.
    pub address: SocketAddr,
    /// How much the sender can carry as a hub.
    pub hub_capacity: HubCapacity,
    /// Microseconds since the sender's start, at sending.
    pub sent_at: u64,
    /// Whether the sender is stopping.
    pub draining: bool,
    /// The sender's revision of the configuration.
    pub revision: RevisionNumber,
    /// Whether the sender answers questions for parts of the configuration's
    /// document. Entries of earlier versions close the connection instead.
    pub answers_pulls: bool,
    /// Whether the sender takes differences of the list of backend servers.
    /// Entries of earlier versions pass over them.
    pub accepts_changes: bool,
    /// The age of the sender's knowledge.
    pub echo: Option<FreshnessEcho>,
    /// The fence of the lease, if the sender has the right to act.
    pub fence: Option<FenceToken>,
    /// Up to where the records of the lease go that the sender knows.
    pub duties_end: LogOffset,
    /// Whether the sender tells its own news here, as to a hub.
    pub reports_state: bool,
    /// Whether the receiver is to answer with a digest each round.
    pub wants_summary: bool,
    /// The digest of the sender's list of backend servers.
    pub backends_hash: u64,
    /// What the sender admitted.
    pub admitted: Vec<AdmittedUnits>,
    /// What began at the sender.
    pub counts: Vec<WindowCount>,
    /// The load that the sender puts on backend servers.
    pub backend_loads: Vec<BackendUse>,
    /// The work that the sender sends to services.
    pub service_demand: Vec<ServiceDemand>,
    /// Requests under which backend servers crashed.
    pub crashes: Vec<CrashReport>,
    /// Limits that servers named to the sender a moment ago.
    pub reports: Vec<RelayedReport>,
    /// The digest of the limits that the sender knows.
    pub reports_hash: u64,
    /// What the sender has sent to servers with a limit.
    pub sends: Vec<LimitedSends>,
    /// What the sender knows of all entries, if it answers as a hub.
    pub view: Option<HubView>,
    /// What the sender adds as a hub.
    pub summary: Option<HubSummary>,
}

impl GatewayGossip {
    /// Returns the news of an entry that names itself and tells nothing more.
    pub fn new(
        incarnation: Incarnation,
        name: EntryName,
        address: SocketAddr,
        hub_capacity: HubCapacity,
    ) -> Self {
        Self {
            incarnation,
            name,
            address,
            hub_capacity,
            sent_at: 0,
            draining: false,
            revision: RevisionNumber(0),
            answers_pulls: true,
            accepts_changes: true,
            echo: None,
            fence: None,
            duties_end: LogOffset(0),
            reports_state: false,
            wants_summary: false,
            backends_hash: 0,
            admitted: Vec::new(),
            counts: Vec::new(),
            backend_loads: Vec::new(),
            service_demand: Vec::new(),
            crashes: Vec::new(),
            reports: Vec::new(),
            reports_hash: 0,
            sends: Vec::new(),
            view: None,
            summary: None,
        }
    }
}
