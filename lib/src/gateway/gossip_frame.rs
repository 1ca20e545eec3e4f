//! The `prost` frame of gossip messages between gateway entries.

use std::net::SocketAddr;

use bytes::Bytes;
use prost::Message;

use crate::gateway::account_demand::CrowdedDemand;
use crate::gateway::account_limits::AdmittedUnits;
use crate::gateway::backend_record::BackendId;
use crate::gateway::crash_frames::CrashReportFrame;
use crate::gateway::hub_capacity::HubCapacity;
use crate::gateway::list_frames::BackendListFrame;
use crate::gateway::list_frames::ListChangesFrame;
use crate::gateway::list_frames::PackedList;
use crate::gateway::list_frames::read_changes;
use crate::gateway::list_frames::read_list;
use crate::gateway::list_frames::write_changes;
use crate::gateway::list_frames::write_list;
use crate::gateway::peer_gossip::BackendLoad;
use crate::gateway::peer_gossip::FreshnessEcho;
use crate::gateway::peer_gossip::GatewayGossip;
use crate::gateway::peer_gossip::HubSummary;
use crate::gateway::peer_gossip::HubView;
use crate::gateway::peer_gossip::ServiceDemand;
use crate::gateway::peer_gossip::WantedLoans;
use crate::gateway::peer_gossip::WindowCount;
use crate::gateway::promise_frames::PromiseListFrame;
use crate::gateway::promise_frames::read_promises;
use crate::gateway::relay_helpers::RelayHelper;
use crate::gateway::report_frames::RelayedReportFrame;
use crate::gateway::report_frames::ServerCountFrame;
use crate::gateway::report_frames::read_reports;
use crate::gateway::retry_pool::PoolCredit;
use crate::gateway::retry_pool::PoolDraws;
use crate::gateway::rollout_frames::EvidenceFrame;
use crate::gateway::rollout_frames::RolloutNewsFrame;
use crate::gateway::rollout_frames::read_evidence;
use crate::gateway::rollout_frames::read_news;
use crate::id::EntryName;
use crate::id::FenceToken;
use crate::id::Incarnation;
use crate::id::LogOffset;
use crate::id::RevisionNumber;
use crate::wire_error::WireError;
use crate::wire_error::read_field;

#[derive(Clone, PartialEq, Eq, Message)]
struct EchoFrame {
    #[prost(fixed64, tag = "1")]
    incarnation: u64,
    #[prost(uint64, tag = "2")]
    sent_at: u64,
    #[prost(int64, optional, tag = "3")]
    age: Option<i64>,
    #[prost(int64, optional, tag = "4")]
    backends_age: Option<i64>,
    #[prost(uint64, optional, tag = "5")]
    fence: Option<u64>,
}

/// The number of requests of an account that began in a usage window. In lists of
/// admitted units, the window is 0 and the count is the total of the account.
#[derive(Clone, PartialEq, Eq, Message)]
struct CountFrame {
    #[prost(uint64, tag = "1")]
    window: u64,
    #[prost(string, tag = "2")]
    account: String,
    #[prost(uint64, tag = "3")]
    count: u64,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct ViewFrame {
    #[prost(uint64, tag = "1")]
    entries: u64,
    #[prost(uint64, tag = "2")]
    reachable: u64,
    #[prost(uint64, optional, tag = "3")]
    fence: Option<u64>,
    #[prost(message, repeated, tag = "4")]
    uses: Vec<BackendLoad>,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct HubFrame {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(string, tag = "2")]
    address: String,
    #[prost(uint32, tag = "3")]
    strength: u32,
}

/// One incarnation of a backend server.
#[derive(Clone, PartialEq, Eq, Message)]
struct IncarnationFrame {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "2")]
    start: u64,
}

/// The sender shares retries through hubs.
const SHARES_RETRIES: u32 = 1;
/// The sender does so, and keeps which versions began the streams of other entries.
const KEEPS_STREAMS: u32 = 2;

/// An entry that relays requests.
#[derive(Clone, PartialEq, Eq, Message)]
struct HelperFrame {
    #[prost(string, tag = "1")]
    address: String,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct SummaryFrame {
    #[prost(message, repeated, tag = "1")]
    admitted: Vec<CountFrame>,
    #[prost(message, repeated, tag = "2")]
    hubs: Vec<HubFrame>,
    #[prost(message, optional, tag = "3")]
    backends: Option<BackendListFrame>,
    #[prost(message, repeated, tag = "6")]
    leaving: Vec<IncarnationFrame>,
    #[prost(message, optional, tag = "5")]
    changes: Option<ListChangesFrame>,
    #[prost(message, repeated, tag = "7")]
    notices: Vec<RelayedReportFrame>,
    #[prost(message, repeated, tag = "8")]
    permits: Vec<ServerCountFrame>,
    #[prost(bytes = "bytes", optional, tag = "9")]
    packed_list: Option<Bytes>,
    #[prost(message, repeated, tag = "10")]
    promises: Vec<PromiseListFrame>,
    #[prost(message, repeated, tag = "11")]
    helpers: Vec<HelperFrame>,
}

/// The frame of [`GatewayGossip`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct GatewayGossipFrame {
    #[prost(fixed64, tag = "1")]
    incarnation: u64,
    #[prost(string, tag = "2")]
    name: String,
    #[prost(string, tag = "3")]
    address: String,
    #[prost(uint64, tag = "4")]
    sent_at: u64,
    #[prost(bool, tag = "5")]
    leaving: bool,
    #[prost(uint64, tag = "6")]
    revision: u64,
    #[prost(message, optional, tag = "8")]
    echo: Option<EchoFrame>,
    #[prost(uint64, optional, tag = "9")]
    fence: Option<u64>,
    #[prost(message, repeated, tag = "10")]
    admitted: Vec<CountFrame>,
    #[prost(message, repeated, tag = "11")]
    counts: Vec<CountFrame>,
    #[prost(message, repeated, tag = "12")]
    uses: Vec<BackendLoad>,
    #[prost(message, repeated, tag = "13")]
    work: Vec<ServiceDemand>,
    #[prost(bool, tag = "14")]
    tells: bool,
    #[prost(bool, tag = "15")]
    wants_digest: bool,
    #[prost(fixed64, tag = "16")]
    backends_hash: u64,
    #[prost(message, optional, tag = "17")]
    view: Option<ViewFrame>,
    #[prost(message, optional, tag = "18")]
    digest: Option<SummaryFrame>,
    #[prost(uint32, tag = "19")]
    strength: u32,
    #[prost(bool, tag = "20")]
    answers_pulls: bool,
    #[prost(bool, tag = "21")]
    takes_changes: bool,
    #[prost(message, repeated, tag = "22")]
    crashes: Vec<CrashReportFrame>,
    #[prost(message, repeated, tag = "23")]
    notices: Vec<RelayedReportFrame>,
    #[prost(fixed64, tag = "24")]
    notices_hash: u64,
    #[prost(message, repeated, tag = "25")]
    sends: Vec<ServerCountFrame>,
    #[prost(message, repeated, tag = "50")]
    loan_sends: Vec<ServerCountFrame>,
    #[prost(message, repeated, tag = "51")]
    wanted_loans: Vec<WantedLoans>,
    #[prost(message, repeated, tag = "52")]
    loans: Vec<ServerCountFrame>,
    #[prost(uint64, tag = "26")]
    duties_end: u64,
    #[prost(bool, tag = "27")]
    accepts_packed_lists: bool,
    #[prost(message, repeated, tag = "28")]
    promises: Vec<PromiseListFrame>,
    #[prost(message, repeated, tag = "40")]
    crowded_demand: Vec<CrowdedDemand>,
    #[prost(message, repeated, tag = "41")]
    crowded_sums: Vec<CrowdedDemand>,
    /// What the sender takes part in: [`SHARES_RETRIES`] or [`KEEPS_STREAMS`]. Entries that
    /// know only the former read it as a truth value.
    #[prost(uint32, tag = "42")]
    takes_part: u32,
    #[prost(message, repeated, tag = "43")]
    pool_draws: Vec<PoolDraws>,
    #[prost(message, optional, tag = "44")]
    pool_credit: Option<PoolCredit>,
    #[prost(bool, tag = "45")]
    relays: bool,
    #[prost(bool, tag = "46")]
    wants_helpers: bool,
    #[prost(message, repeated, tag = "30")]
    rollouts: Vec<RolloutNewsFrame>,
    #[prost(message, repeated, tag = "31")]
    rollout_evidence: Vec<EvidenceFrame>,
}

fn write_admitted(admitted: Vec<AdmittedUnits>) -> Vec<CountFrame> {
    let frame = |item: AdmittedUnits| CountFrame {
        window: 0,
        account: item.account.into(),
        count: item.units,
    };
    admitted.into_iter().map(frame).collect()
}

fn read_admitted(frames: Vec<CountFrame>) -> Result<Vec<AdmittedUnits>, WireError> {
    let read = |frame: CountFrame| {
        Ok(AdmittedUnits {
            account: read_field("account", &frame.account)?,
            units: frame.count,
        })
    };
    frames.into_iter().map(read).collect()
}

fn write_counts(counts: Vec<WindowCount>) -> Vec<CountFrame> {
    let frame = |item: WindowCount| CountFrame {
        window: item.window,
        account: item.account.into(),
        count: item.count,
    };
    counts.into_iter().map(frame).collect()
}

fn read_counts(frames: Vec<CountFrame>) -> Result<Vec<WindowCount>, WireError> {
    let read = |frame: CountFrame| {
        Ok(WindowCount {
            window: frame.window,
            account: read_field("account", &frame.account)?,
            count: frame.count,
        })
    };
    frames.into_iter().map(read).collect()
}

fn write_summary(summary: HubSummary) -> SummaryFrame {
    let hub = |(name, address, capacity): (EntryName, SocketAddr, HubCapacity)| HubFrame {
        name: name.into(),
        address: address.to_string(),
        strength: capacity.0,
    };
    let incarnation = |id: BackendId| IncarnationFrame {
        name: id.name.0,
        start: id.start.0,
    };
    let helper = |helper: RelayHelper| HelperFrame {
        address: helper.address.to_string(),
        incarnation: helper.incarnation.0,
    };
    SummaryFrame {
        admitted: write_admitted(summary.admitted),
        hubs: summary.hubs.into_iter().map(hub).collect(),
        backends: summary.backends.map(write_list),
        leaving: summary.draining.into_iter().map(incarnation).collect(),
        changes: summary.changes.map(write_changes),
        notices: summary.reports.into_iter().map(Into::into).collect(),
        permits: summary.permits.into_iter().map(Into::into).collect(),
        packed_list: summary.packed_list.map(|list| list.bytes().clone()),
        promises: summary.promises.into_iter().map(Into::into).collect(),
        helpers: summary.helpers.into_iter().map(helper).collect(),
    }
}

fn read_summary(frame: SummaryFrame) -> Result<HubSummary, WireError> {
    let hub = |hub: HubFrame| {
        let name = read_field("name", &hub.name)?;
        let address = read_field("address", &hub.address)?;
        Ok((name, address, HubCapacity(hub.strength)))
    };
    let incarnation = |frame: IncarnationFrame| BackendId::with_start(frame.name, frame.start);
    let helper = |helper: HelperFrame| {
        Ok(RelayHelper {
            address: read_field("address", &helper.address)?,
            incarnation: Incarnation(helper.incarnation),
        })
    };
    let helpers = frame.helpers.into_iter().map(helper);
    Ok(HubSummary {
        admitted: read_admitted(frame.admitted)?,
        hubs: frame.hubs.into_iter().map(hub).collect::<Result<_, _>>()?,
        backends: frame.backends.map(read_list).transpose()?,
        draining: frame.leaving.into_iter().map(incarnation).collect(),
        changes: frame.changes.map(read_changes).transpose()?,
        reports: read_reports(frame.notices),
        permits: frame.permits.into_iter().map(Into::into).collect(),
        packed_list: frame.packed_list.map(PackedList::from_bytes),
        promises: read_promises(frame.promises)?,
        helpers: helpers.collect::<Result<_, WireError>>()?,
    })
}

impl From<GatewayGossip> for GatewayGossipFrame {
    fn from(gossip: GatewayGossip) -> Self {
        Self {
            incarnation: gossip.incarnation.0,
            name: gossip.name.into(),
            address: gossip.address.to_string(),
            strength: gossip.hub_capacity.0,
            sent_at: gossip.sent_at,
            leaving: gossip.draining,
            revision: gossip.revision.0,
            answers_pulls: gossip.answers_pulls,
            takes_changes: gossip.accepts_changes,
            accepts_packed_lists: gossip.accepts_packed_lists,
            echo: gossip.echo.map(|echo| EchoFrame {
                incarnation: echo.incarnation.0,
                sent_at: echo.sent_at,
                age: echo.config_age,
                backends_age: echo.backends_age,
                fence: echo.fence.map(|token| token.0),
            }),
            fence: gossip.fencing_token.map(|token| token.0),
            duties_end: gossip.duty_log_end.0,
            admitted: write_admitted(gossip.admitted),
            counts: write_counts(gossip.window_counts),
            uses: gossip.backend_loads,
            work: gossip.service_demand,
            crashes: gossip.crashes.into_iter().map(Into::into).collect(),
            notices: gossip.reports.into_iter().map(Into::into).collect(),
            notices_hash: gossip.reports_digest,
            sends: gossip.sends.into_iter().map(Into::into).collect(),
            loan_sends: gossip.loan_sends.into_iter().map(Into::into).collect(),
            wanted_loans: gossip.wanted_loans,
            loans: gossip.loans.into_iter().map(Into::into).collect(),
            promises: gossip.promises.into_iter().map(Into::into).collect(),
            takes_part: match (gossip.keeps_streams, gossip.shares_retries) {
                (true, _) => KEEPS_STREAMS,
                (false, true) => SHARES_RETRIES,
                (false, false) => 0,
            },
            pool_draws: gossip.pool_draws,
            pool_credit: gossip.pool_credit,
            crowded_demand: gossip.crowded_demand,
            crowded_sums: gossip.crowded_sums,
            rollouts: gossip.rollouts.into_iter().map(Into::into).collect(),
            rollout_evidence: gossip
                .rollout_evidence
                .into_iter()
                .map(Into::into)
                .collect(),
            relays: gossip.relays,
            wants_helpers: gossip.wants_helpers,
            tells: gossip.reports_state,
            wants_digest: gossip.wants_summary,
            backends_hash: gossip.backends_digest,
            view: gossip.view.map(|view| ViewFrame {
                entries: view.entries as u64,
                reachable: view.reachable as u64,
                fence: view.fencing_token.map(|token| token.0),
                uses: view.backend_loads,
            }),
            digest: gossip.summary.map(write_summary),
        }
    }
}

impl TryFrom<GatewayGossipFrame> for GatewayGossip {
    type Error = WireError;

    fn try_from(frame: GatewayGossipFrame) -> Result<Self, WireError> {
        Ok(Self {
            incarnation: Incarnation(frame.incarnation),
            name: read_field("name", &frame.name)?,
            address: read_field("address", &frame.address)?,
            hub_capacity: HubCapacity(frame.strength),
            sent_at: frame.sent_at,
            draining: frame.leaving,
            revision: RevisionNumber(frame.revision),
            answers_pulls: frame.answers_pulls,
            accepts_changes: frame.takes_changes,
            accepts_packed_lists: frame.accepts_packed_lists,
            echo: frame.echo.map(|echo| FreshnessEcho {
                incarnation: Incarnation(echo.incarnation),
                sent_at: echo.sent_at,
                config_age: echo.age,
                backends_age: echo.backends_age,
                fence: echo.fence.map(FenceToken),
            }),
            fencing_token: frame.fence.map(FenceToken),
            duty_log_end: LogOffset(frame.duties_end),
            reports_state: frame.tells,
            wants_summary: frame.wants_digest,
            backends_digest: frame.backends_hash,
            admitted: read_admitted(frame.admitted)?,
            window_counts: read_counts(frame.counts)?,
            backend_loads: frame.uses,
            service_demand: frame.work,
            crashes: frame.crashes.into_iter().map(Into::into).collect(),
            reports: read_reports(frame.notices),
            reports_digest: frame.notices_hash,
            sends: frame.sends.into_iter().map(Into::into).collect(),
            loan_sends: frame.loan_sends.into_iter().map(Into::into).collect(),
            wanted_loans: frame.wanted_loans,
            loans: frame.loans.into_iter().map(Into::into).collect(),
            promises: read_promises(frame.promises)?,
            shares_retries: frame.takes_part >= SHARES_RETRIES,
            pool_draws: frame.pool_draws,
            pool_credit: frame.pool_credit,
            crowded_demand: frame.crowded_demand,
            crowded_sums: frame.crowded_sums,
            rollouts: read_news(frame.rollouts),
            rollout_evidence: read_evidence(frame.rollout_evidence),
            keeps_streams: frame.takes_part >= KEEPS_STREAMS,
            relays: frame.relays,
            wants_helpers: frame.wants_helpers,
            view: frame.view.map(|view| HubView {
                entries: view.entries as usize,
                reachable: view.reachable as usize,
                fencing_token: view.fence.map(FenceToken),
                backend_loads: view.uses,
            }),
            summary: frame.digest.map(read_summary).transpose()?,
        })
    }
}
