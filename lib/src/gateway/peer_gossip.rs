//! Gossip messages between gateway entries.

use std::net::SocketAddr;

use prost::Message;

use crate::gateway::account_demand::CrowdedDemand;
use crate::gateway::account_limits::AdmittedUnits;
use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_record::BackendRecord;
use crate::gateway::crash_ledger::CrashReport;
use crate::gateway::hub_capacity::HubCapacity;
use crate::gateway::list_frames::PackedList;
use crate::gateway::list_history::ListChanges;
use crate::gateway::relay_helpers::RelayHelper;
use crate::gateway::report_table::RelayedReport;
use crate::gateway::retry_pool::PoolCredit;
use crate::gateway::retry_pool::PoolDraws;
use crate::gateway::return_promises::PromiseList;
use crate::gateway::rollout_table::EvidenceReport;
use crate::gateway::rollout_table::RolloutNews;
use crate::gateway::send_permits::LimitedSends;
use crate::gateway::send_permits::PermitGrant;
use crate::gateway::server_pace::PaceCounts;
use crate::id::AccountName;
use crate::id::EntryName;
use crate::id::FenceToken;
use crate::id::Incarnation;
use crate::id::LogOffset;
use crate::id::RevisionNumber;

/// Reports to the receiver how old the sender's state was when the sender received
/// the receiver's last message. The receiver knows by its own clock when it sent
/// that message, so the two clocks need not agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessEcho {
    /// The incarnation that sent the echoed message.
    pub incarnation: Incarnation,
    /// The send time in the echoed message, in microseconds by the clock of the
    /// entry that sent it.
    pub sent_at: u64,
    /// The time since the configuration was last confirmed as the newest, in
    /// microseconds; negative if it was confirmed after the echoed message came.
    /// None if it was never confirmed.
    pub config_age: Option<i64>,
    /// The same for the list of backend servers.
    pub backends_age: Option<i64>,
    /// The fencing token in the echoed message. By echoing it, the sender promises
    /// not to claim the lease for one term, counted from the arrival of that
    /// message.
    pub fence: Option<FenceToken>,
}

/// The load that an entry puts on a backend server.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BackendLoad {
    /// The backend server's name.
    #[prost(string, tag = "1")]
    pub backend: String,
    /// Requests of the entry that are in flight at the server.
    #[prost(uint32, tag = "2")]
    pub in_flight: u32,
    /// Prompt tokens of the requests to which the server has not begun to respond.
    #[prost(uint64, tag = "3")]
    pub unread: u64,
    /// When this incarnation of the server started, in milliseconds since 1970 by
    /// its own clock; 0 if the server does not report it.
    #[prost(uint64, tag = "4")]
    pub start: u64,
    /// The weight of the samples of event times there, in thousandths.
    #[prost(uint32, tag = "5")]
    pub pace_weight: u32,
    /// The weighted sum of the logarithms of these times in milliseconds, in thousandths.
    #[prost(sint64, tag = "6")]
    pub pace_log: i64,
}

impl BackendLoad {
    /// Returns the samples of event times.
    pub fn pace_counts(&self) -> PaceCounts {
        PaceCounts {
            weight_milli: self.pace_weight,
            log_milli: self.pace_log,
        }
    }

    /// Limits the weight of the samples to that of one entry.
    pub fn limit_pace(&mut self) {
        self.set_pace(self.pace_counts().of_one_entry());
    }

    /// Sets the samples of event times.
    pub fn set_pace(&mut self, counts: PaceCounts) {
        self.pace_weight = counts.weight_milli;
        self.pace_log = counts.log_milli;
    }

    /// Returns whether it reports anything.
    pub fn is_empty(&self) -> bool {
        self.in_flight == 0 && self.pace_weight == 0
    }

    /// Returns the incarnation of the server that has the requests.
    pub fn id(&self) -> BackendId {
        BackendId::with_start(self.backend.clone(), self.start)
    }
}

/// The demand of the callers of an entry for a service.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServiceDemand {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Prompt tokens to prefill per second.
    #[prost(uint64, tag = "2")]
    pub tokens_per_s: u64,
    /// Slots that its requests occupy on average, in thousandths.
    #[prost(uint64, tag = "3")]
    pub busy_milli: u64,
    /// Requests per second, in thousandths.
    #[prost(uint64, tag = "4")]
    pub requests_milli: u64,
}

/// How many permits an entry lacks for a service.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct WantedLoans {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The number of permits.
    #[prost(uint32, tag = "2")]
    pub count: u32,
}

/// The number of requests of an account that began in a usage window at an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WindowCount {
    /// The usage window.
    pub window: u64,
    /// The account.
    pub account: AccountName,
    /// The number of requests.
    pub count: u64,
}

/// What a hub knows about all entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HubView {
    /// Entries that may admit requests.
    pub entries: usize,
    /// Entries that the hub reaches, itself included.
    pub reachable: usize,
    /// The highest fencing token that an entry reports.
    pub fencing_token: Option<FenceToken>,
    /// The load that all entries but the receiver put on backend servers.
    pub backend_loads: Vec<BackendLoad>,
}

/// What a hub adds to its gossip for an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct HubSummary {
    /// The units that all entries but the receiver admitted, as the hub counts
    /// them.
    pub admitted: Vec<AdmittedUnits>,
    /// The hubs to which the sender itself sends its state.
    pub hubs: Vec<(EntryName, SocketAddr, HubCapacity)>,
    /// The update from the list of backend servers of the receiver to the one of the
    /// sender.
    pub packed_list: Option<PackedList>,
    /// The same for a receiver of an earlier version: all backend servers, if the
    /// changes between the two lists are unknown.
    pub backends: Option<Vec<BackendRecord>>,
    /// The same for a receiver of an earlier version: the changes between the two lists.
    pub changes: Option<ListChanges>,
    /// Draining backend servers, while the sender cannot send its list.
    pub draining: Vec<BackendId>,
    /// Server reports, if the receiver has other ones.
    pub reports: Vec<RelayedReport>,
    /// Permits for the receiver to send requests to servers with a limit.
    pub permits: Vec<PermitGrant>,
    /// Recent return promises of all entries.
    pub promises: Vec<PromiseList>,
    /// Entries that relay requests of the receiver, if it asked for them.
    pub helpers: Vec<RelayHelper>,
}

/// The gossip message that an entry sends to another several times a second. It
/// always carries the whole state, so a lost message need not be resent.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayGossip {
    /// The incarnation of the sender.
    pub incarnation: Incarnation,
    /// The name of the sender.
    pub name: EntryName,
    /// The address at which the sender accepts connections of other entries.
    pub address: SocketAddr,
    /// How much gossip the sender can handle as a hub.
    pub hub_capacity: HubCapacity,
    /// When the message was sent, in microseconds since the start of the sender.
    pub sent_at: u64,
    /// Whether the sender is draining.
    pub draining: bool,
    /// The revision of the sender's configuration.
    pub revision: RevisionNumber,
    /// Whether the sender answers pulls of parts of the configuration document.
    /// Earlier versions close the connection instead.
    pub answers_pulls: bool,
    /// Whether the sender accepts incremental changes of the list of backend
    /// servers. Earlier versions ignore them.
    pub accepts_changes: bool,
    /// Whether the sender accepts packed updates of that list. Earlier versions ignore
    /// them.
    pub accepts_packed_lists: bool,
    /// The echo of the receiver's last message.
    pub echo: Option<FreshnessEcho>,
    /// The fencing token, if the sender holds a valid lease.
    pub fencing_token: Option<FenceToken>,
    /// The end of the duty log as the sender knows it, if it holds a valid lease.
    pub duty_log_end: LogOffset,
    /// Whether the message carries the sender's state, as to a hub.
    pub reports_state: bool,
    /// Whether the receiver should reply with a summary in every round.
    pub wants_summary: bool,
    /// The digest of the sender's list of backend servers.
    pub backends_digest: u64,
    /// The units that the sender admitted.
    pub admitted: Vec<AdmittedUnits>,
    /// The requests that began at the sender.
    pub window_counts: Vec<WindowCount>,
    /// The load that the sender puts on backend servers.
    pub backend_loads: Vec<BackendLoad>,
    /// The demand of the sender's callers for each service.
    pub service_demand: Vec<ServiceDemand>,
    /// Crashes of backend servers, by the request that ran there.
    pub crashes: Vec<CrashReport>,
    /// Recent server reports in responses to the sender.
    pub reports: Vec<RelayedReport>,
    /// The digest of the server reports that the sender has.
    pub reports_digest: u64,
    /// Requests that the sender has sent to servers with a limit.
    pub sends: Vec<LimitedSends>,
    /// Requests that the sender has sent on loans of the receiver.
    pub loan_sends: Vec<LimitedSends>,
    /// How many permits the sender lacks. Earlier versions ask for none and get none.
    pub wanted_loans: Vec<WantedLoans>,
    /// Permits for a receiver that subscribes to another hub.
    pub loans: Vec<PermitGrant>,
    /// Return promises that the sender made or kept recently.
    pub promises: Vec<PromiseList>,
    /// Whether the sender reports what it draws from the pools of hubs. Earlier versions
    /// divide the whole reserve for retries instead.
    pub shares_retries: bool,
    /// What the sender has drawn from pools.
    pub pool_draws: Vec<PoolDraws>,
    /// The credit of the receiver in the pool of the sender, if the sender replies as a hub.
    pub pool_credit: Option<PoolCredit>,
    /// What callers of the sender ask of crowded services.
    pub crowded_demand: Vec<CrowdedDemand>,
    /// What callers of all entries ask of crowded services, if the sender replies as a
    /// hub.
    pub crowded_sums: Vec<CrowdedDemand>,
    /// What the sender knows of roll-outs.
    pub rollouts: Vec<RolloutNews>,
    /// The answers that the sender counted in roll-outs.
    pub rollout_evidence: Vec<EvidenceReport>,
    /// Whether the sender keeps which versions began the streams of other entries, and
    /// replies to queries for them.
    pub keeps_streams: bool,
    /// Whether the sender relays requests of entries that are cut off from backend
    /// servers. Earlier versions do not, nor do entries that know no servers yet. Only hubs
    /// need to know.
    pub relays: bool,
    /// Whether the sender asks for entries that relay its requests.
    pub wants_helpers: bool,
    /// What the sender knows about all entries, if it replies as a hub.
    pub view: Option<HubView>,
    /// What the sender adds for the receiver, if it replies as a hub.
    pub summary: Option<HubSummary>,
}

impl GatewayGossip {
    /// Returns a message that identifies its sender and carries no state.
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
            accepts_packed_lists: true,
            echo: None,
            fencing_token: None,
            duty_log_end: LogOffset(0),
            reports_state: false,
            wants_summary: false,
            backends_digest: 0,
            admitted: Vec::new(),
            window_counts: Vec::new(),
            backend_loads: Vec::new(),
            service_demand: Vec::new(),
            crashes: Vec::new(),
            reports: Vec::new(),
            reports_digest: 0,
            sends: Vec::new(),
            loan_sends: Vec::new(),
            wanted_loans: Vec::new(),
            loans: Vec::new(),
            promises: Vec::new(),
            shares_retries: true,
            pool_draws: Vec::new(),
            pool_credit: None,
            crowded_demand: Vec::new(),
            crowded_sums: Vec::new(),
            rollouts: Vec::new(),
            rollout_evidence: Vec::new(),
            keeps_streams: true,
            relays: true,
            wants_helpers: false,
            view: None,
            summary: None,
        }
    }
}
