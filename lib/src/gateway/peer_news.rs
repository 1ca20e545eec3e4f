//! News between gateway entries, as a `prost` frame.

use std::net::SocketAddr;

use prost::Message;

use crate::gateway::account_limits::AdmittedUnits;
use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_record::BackendName;
use crate::gateway::backend_record::BackendRecord;
use crate::gateway::backend_record::LifeStart;
use crate::gateway::crash_ledger::CrashReport;
use crate::gateway::crash_news::CrashReportFrame;
use crate::gateway::limit_news::ServerCountFrame;
use crate::gateway::limit_news::ServerWordFrame;
use crate::gateway::limit_news::read_words;
use crate::gateway::list_history::ListChanges;
use crate::gateway::notice_book::ServerWord;
use crate::gateway::send_permits::LimitedSends;
use crate::gateway::send_permits::PermitGrant;
use crate::gateway::vm_strength::VmStrength;
use crate::id::AccountName;
use crate::id::EntryName;
use crate::id::FenceToken;
use crate::id::Incarnation;
use crate::id::RevisionNumber;
use crate::wire_error::WireError;
use crate::wire_error::read_field;

/// How old the sender's knowledge was when it received the message that it
/// answers. The receiver measures from its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigEcho {
    /// Whose message is answered.
    pub incarnation: Incarnation,
    /// The time in that message, by the clock of its sender, in microseconds.
    pub sent_at: u64,
    /// How old the knowledge of the configuration was then, in microseconds;
    /// below zero if it was confirmed only later. None if there is none.
    pub age: Option<i64>,
    /// The same for the list of backend servers.
    pub backends_age: Option<i64>,
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
        read_id(self.backend.clone(), self.start)
    }
}

/// The work that callers bring to an entry for a service.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServiceWork {
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
    pub heard: usize,
    /// The highest fence that an entry is heard to hold.
    pub fence: Option<FenceToken>,
    /// The load that all entries but the receiver put on backend servers.
    pub uses: Vec<BackendUse>,
}

/// What a hub adds to its answers.
#[derive(Clone, Debug, PartialEq)]
pub struct HubDigest {
    /// What all entries but the receiver admitted, as the hub counts.
    pub admitted: Vec<AdmittedUnits>,
    /// The hubs that the sender uses itself.
    pub hubs: Vec<(EntryName, SocketAddr, VmStrength)>,
    /// The backend servers, if the receiver's list differs and it is not known
    /// how.
    pub backends: Option<Vec<BackendRecord>>,
    /// How the list differs from the one that the receiver told to have.
    pub changes: Option<ListChanges>,
    /// Those that leave, while the list cannot be passed on.
    pub leaving: Vec<BackendId>,
    /// Limits that servers named, if the receiver knows others.
    pub words: Vec<ServerWord>,
    /// What the receiver may send to servers with a limit.
    pub permits: Vec<PermitGrant>,
}

/// What one entry tells another several times a second. It is always the
/// whole state, so that a lost message needs no repetition.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayNews {
    /// The sender's life.
    pub incarnation: Incarnation,
    /// The sender's name.
    pub name: EntryName,
    /// Where the sender listens for other entries.
    pub address: SocketAddr,
    /// How much the sender can carry as a hub.
    pub strength: VmStrength,
    /// Microseconds since the sender's start, at sending.
    pub sent_at: u64,
    /// Whether the sender is stopping.
    pub leaving: bool,
    /// The sender's revision of the configuration.
    pub revision: RevisionNumber,
    /// Whether the sender answers questions for parts of the configuration's
    /// document. Entries of earlier versions close the connection instead.
    pub answers_pulls: bool,
    /// Whether the sender takes differences of the list of backend servers.
    /// Entries of earlier versions pass over them.
    pub takes_changes: bool,
    /// The age of the sender's knowledge.
    pub echo: Option<ConfigEcho>,
    /// The fence of the lease, if the sender holds it.
    pub fence: Option<FenceToken>,
    /// Whether the sender tells its own news here, as to a hub.
    pub tells: bool,
    /// Whether the receiver is to answer with a digest each round.
    pub wants_digest: bool,
    /// The digest of the sender's list of backend servers.
    pub backends_hash: u64,
    /// What the sender admitted.
    pub admitted: Vec<AdmittedUnits>,
    /// What began at the sender.
    pub counts: Vec<WindowCount>,
    /// The load that the sender puts on backend servers.
    pub uses: Vec<BackendUse>,
    /// The work that the sender sends to services.
    pub work: Vec<ServiceWork>,
    /// Requests under which backend servers crashed.
    pub crashes: Vec<CrashReport>,
    /// Limits that servers named to the sender a moment ago.
    pub words: Vec<ServerWord>,
    /// The digest of the limits that the sender knows.
    pub limits_hash: u64,
    /// What the sender has sent to servers with a limit.
    pub sends: Vec<LimitedSends>,
    /// What the sender knows of all entries, if it answers as a hub.
    pub view: Option<HubView>,
    /// What the sender adds as a hub.
    pub digest: Option<HubDigest>,
}

impl GatewayNews {
    /// Returns the news of an entry that names itself and tells nothing more.
    pub fn of_entry(
        incarnation: Incarnation,
        name: EntryName,
        address: SocketAddr,
        strength: VmStrength,
    ) -> Self {
        Self {
            incarnation,
            name,
            address,
            strength,
            sent_at: 0,
            leaving: false,
            revision: RevisionNumber(0),
            answers_pulls: true,
            takes_changes: true,
            echo: None,
            fence: None,
            tells: false,
            wants_digest: false,
            backends_hash: 0,
            admitted: Vec::new(),
            counts: Vec::new(),
            uses: Vec::new(),
            work: Vec::new(),
            crashes: Vec::new(),
            words: Vec::new(),
            limits_hash: 0,
            sends: Vec::new(),
            view: None,
            digest: None,
        }
    }
}

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
}

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
    heard: u64,
    #[prost(uint64, optional, tag = "3")]
    fence: Option<u64>,
    #[prost(message, repeated, tag = "4")]
    uses: Vec<BackendUse>,
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

#[derive(Clone, PartialEq, Eq, Message)]
struct BackendFrame {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(string, tag = "2")]
    service: String,
    #[prost(string, tag = "3")]
    address: String,
    #[prost(string, tag = "4")]
    zone: String,
    #[prost(uint32, tag = "5")]
    slots: u32,
    #[prost(bool, tag = "6")]
    leaving: bool,
    #[prost(bool, tag = "7")]
    reclaimable: bool,
    #[prost(uint64, tag = "8")]
    start: u64,
}

/// One life of a backend server.
#[derive(Clone, PartialEq, Eq, Message)]
struct LifeFrame {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "2")]
    start: u64,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct BackendListFrame {
    #[prost(message, repeated, tag = "1")]
    backends: Vec<BackendFrame>,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct ListChangesFrame {
    #[prost(message, repeated, tag = "1")]
    records: Vec<BackendFrame>,
    #[prost(string, repeated, tag = "2")]
    gone: Vec<String>,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct DigestFrame {
    #[prost(message, repeated, tag = "1")]
    admitted: Vec<CountFrame>,
    #[prost(message, repeated, tag = "2")]
    hubs: Vec<HubFrame>,
    #[prost(message, optional, tag = "3")]
    backends: Option<BackendListFrame>,
    #[prost(message, repeated, tag = "6")]
    leaving: Vec<LifeFrame>,
    #[prost(message, optional, tag = "5")]
    changes: Option<ListChangesFrame>,
    #[prost(message, repeated, tag = "7")]
    words: Vec<ServerWordFrame>,
    #[prost(message, repeated, tag = "8")]
    permits: Vec<ServerCountFrame>,
}

/// The frame of [`GatewayNews`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct NewsFrame {
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
    uses: Vec<BackendUse>,
    #[prost(message, repeated, tag = "13")]
    work: Vec<ServiceWork>,
    #[prost(bool, tag = "14")]
    tells: bool,
    #[prost(bool, tag = "15")]
    wants_digest: bool,
    #[prost(fixed64, tag = "16")]
    backends_hash: u64,
    #[prost(message, optional, tag = "17")]
    view: Option<ViewFrame>,
    #[prost(message, optional, tag = "18")]
    digest: Option<DigestFrame>,
    #[prost(uint32, tag = "19")]
    strength: u32,
    #[prost(bool, tag = "20")]
    answers_pulls: bool,
    #[prost(bool, tag = "21")]
    takes_changes: bool,
    #[prost(message, repeated, tag = "22")]
    crashes: Vec<CrashReportFrame>,
    #[prost(message, repeated, tag = "23")]
    words: Vec<ServerWordFrame>,
    #[prost(fixed64, tag = "24")]
    limits_hash: u64,
    #[prost(message, repeated, tag = "25")]
    sends: Vec<ServerCountFrame>,
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

fn read_id(name: String, start: u64) -> BackendId {
    BackendId {
        name: BackendName(name),
        start: LifeStart(start),
    }
}

fn write_backend(record: BackendRecord) -> BackendFrame {
    BackendFrame {
        id: record.id.name.0,
        service: record.service.into(),
        address: record.address.to_string(),
        zone: record.zone.into(),
        slots: record.slots,
        leaving: record.leaving,
        reclaimable: record.reclaimable,
        start: record.id.start.0,
    }
}

fn read_backend(frame: BackendFrame) -> Result<BackendRecord, WireError> {
    Ok(BackendRecord {
        id: read_id(frame.id, frame.start),
        service: read_field("service", &frame.service)?,
        address: read_field("address", &frame.address)?,
        zone: read_field("zone", &frame.zone)?,
        slots: frame.slots,
        leaving: frame.leaving,
        reclaimable: frame.reclaimable,
    })
}

fn write_changes(changes: ListChanges) -> ListChangesFrame {
    ListChangesFrame {
        records: changes.records.into_iter().map(write_backend).collect(),
        gone: changes.gone.into_iter().map(|name| name.0).collect(),
    }
}

fn read_changes(frame: ListChangesFrame) -> Result<ListChanges, WireError> {
    let records = frame.records.into_iter().map(read_backend);
    Ok(ListChanges {
        records: records.collect::<Result<_, _>>()?,
        gone: frame.gone.into_iter().map(BackendName).collect(),
    })
}

fn write_digest(digest: HubDigest) -> DigestFrame {
    let hub = |(name, address, strength): (EntryName, SocketAddr, VmStrength)| HubFrame {
        name: name.into(),
        address: address.to_string(),
        strength: strength.0,
    };
    let life = |id: BackendId| LifeFrame {
        name: id.name.0,
        start: id.start.0,
    };
    let list = |records: Vec<BackendRecord>| BackendListFrame {
        backends: records.into_iter().map(write_backend).collect(),
    };
    DigestFrame {
        admitted: write_admitted(digest.admitted),
        hubs: digest.hubs.into_iter().map(hub).collect(),
        backends: digest.backends.map(list),
        leaving: digest.leaving.into_iter().map(life).collect(),
        changes: digest.changes.map(write_changes),
        words: digest.words.into_iter().map(Into::into).collect(),
        permits: digest.permits.into_iter().map(Into::into).collect(),
    }
}

fn read_digest(frame: DigestFrame) -> Result<HubDigest, WireError> {
    let hub = |hub: HubFrame| {
        let name = read_field("name", &hub.name)?;
        let address = read_field("address", &hub.address)?;
        Ok((name, address, VmStrength(hub.strength)))
    };
    let life = |frame: LifeFrame| read_id(frame.name, frame.start);
    let list = |list: BackendListFrame| list.backends.into_iter().map(read_backend).collect();
    Ok(HubDigest {
        admitted: read_admitted(frame.admitted)?,
        hubs: frame.hubs.into_iter().map(hub).collect::<Result<_, _>>()?,
        backends: frame.backends.map(list).transpose()?,
        leaving: frame.leaving.into_iter().map(life).collect(),
        changes: frame.changes.map(read_changes).transpose()?,
        words: read_words(frame.words),
        permits: frame.permits.into_iter().map(Into::into).collect(),
    })
}

impl From<GatewayNews> for NewsFrame {
    fn from(news: GatewayNews) -> Self {
        Self {
            incarnation: news.incarnation.0,
            name: news.name.into(),
            address: news.address.to_string(),
            strength: news.strength.0,
            sent_at: news.sent_at,
            leaving: news.leaving,
            revision: news.revision.0,
            answers_pulls: news.answers_pulls,
            takes_changes: news.takes_changes,
            echo: news.echo.map(|echo| EchoFrame {
                incarnation: echo.incarnation.0,
                sent_at: echo.sent_at,
                age: echo.age,
                backends_age: echo.backends_age,
            }),
            fence: news.fence.map(|fence| fence.0),
            admitted: write_admitted(news.admitted),
            counts: write_counts(news.counts),
            uses: news.uses,
            work: news.work,
            crashes: news.crashes.into_iter().map(Into::into).collect(),
            words: news.words.into_iter().map(Into::into).collect(),
            limits_hash: news.limits_hash,
            sends: news.sends.into_iter().map(Into::into).collect(),
            tells: news.tells,
            wants_digest: news.wants_digest,
            backends_hash: news.backends_hash,
            view: news.view.map(|view| ViewFrame {
                entries: view.entries as u64,
                heard: view.heard as u64,
                fence: view.fence.map(|fence| fence.0),
                uses: view.uses,
            }),
            digest: news.digest.map(write_digest),
        }
    }
}

impl TryFrom<NewsFrame> for GatewayNews {
    type Error = WireError;

    fn try_from(frame: NewsFrame) -> Result<Self, WireError> {
        Ok(Self {
            incarnation: Incarnation(frame.incarnation),
            name: read_field("name", &frame.name)?,
            address: read_field("address", &frame.address)?,
            strength: VmStrength(frame.strength),
            sent_at: frame.sent_at,
            leaving: frame.leaving,
            revision: RevisionNumber(frame.revision),
            answers_pulls: frame.answers_pulls,
            takes_changes: frame.takes_changes,
            echo: frame.echo.map(|echo| ConfigEcho {
                incarnation: Incarnation(echo.incarnation),
                sent_at: echo.sent_at,
                age: echo.age,
                backends_age: echo.backends_age,
            }),
            fence: frame.fence.map(FenceToken),
            tells: frame.tells,
            wants_digest: frame.wants_digest,
            backends_hash: frame.backends_hash,
            admitted: read_admitted(frame.admitted)?,
            counts: read_counts(frame.counts)?,
            uses: frame.uses,
            work: frame.work,
            crashes: frame.crashes.into_iter().map(Into::into).collect(),
            words: read_words(frame.words),
            limits_hash: frame.limits_hash,
            sends: frame.sends.into_iter().map(Into::into).collect(),
            view: frame.view.map(|view| HubView {
                entries: view.entries as usize,
                heard: view.heard as usize,
                fence: view.fence.map(FenceToken),
                uses: view.uses,
            }),
            digest: frame.digest.map(read_digest).transpose()?,
        })
    }
}
