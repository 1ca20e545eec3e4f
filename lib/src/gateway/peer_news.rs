//! News between gateway entries, as a `prost` frame.

use std::net::SocketAddr;

use bytes::Bytes;
use prost::Message;

use crate::id::AccountName;
use crate::id::EntryName;
use crate::id::FenceToken;
use crate::id::Incarnation;
use crate::id::RevisionNumber;
use crate::wire::WireError;

/// How old the sender's knowledge of the configuration was when it received
/// the message that it answers. The receiver measures from its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigEcho {
    /// Whose message is answered.
    pub incarnation: Incarnation,
    /// The time in that message, by the clock of its sender, in microseconds.
    pub sent_at: u64,
    /// How old the knowledge was then, in microseconds; 0 if it was confirmed
    /// only later.
    pub age: u64,
}

/// The load that an entry puts on a backend server.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BackendUse {
    /// The backend server.
    #[prost(string, tag = "1")]
    pub backend: String,
    /// Requests that it has from the entry.
    #[prost(uint32, tag = "2")]
    pub in_flight: u32,
    /// Prompt tokens of those that have not begun to answer.
    #[prost(uint64, tag = "3")]
    pub unread: u64,
}

/// The work that an entry sends to a service.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServiceWork {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Prompt tokens to be read in a second.
    #[prost(uint64, tag = "2")]
    pub tokens_per_s: u64,
}

/// What an entry admitted of an account since its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmittedUnits {
    /// The account.
    pub account: AccountName,
    /// Units since the start of the entry.
    pub units: u64,
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

/// What one entry tells another several times a second. It is always the
/// whole state, so that a lost message needs no repetition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayNews {
    /// The sender's life.
    pub incarnation: Incarnation,
    /// The sender's name.
    pub name: EntryName,
    /// Where the sender listens for other entries.
    pub address: SocketAddr,
    /// Microseconds since the sender's start, at sending.
    pub sent_at: u64,
    /// Whether the sender is stopping.
    pub leaving: bool,
    /// The sender's revision of the configuration.
    pub revision: RevisionNumber,
    /// The configuration's document, if the receiver's is older.
    pub document: Option<Bytes>,
    /// The age of the sender's knowledge of it.
    pub echo: Option<ConfigEcho>,
    /// The fence of the lease, if the sender holds it.
    pub fence: Option<FenceToken>,
    /// What the sender admitted.
    pub admitted: Vec<AdmittedUnits>,
    /// What began at the sender.
    pub counts: Vec<WindowCount>,
    /// The load that the sender puts on backend servers.
    pub uses: Vec<BackendUse>,
    /// The work that the sender sends to services.
    pub work: Vec<ServiceWork>,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct EchoFrame {
    #[prost(fixed64, tag = "1")]
    incarnation: u64,
    #[prost(uint64, tag = "2")]
    sent_at: u64,
    #[prost(uint64, tag = "3")]
    age: u64,
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
    #[prost(bytes = "bytes", optional, tag = "7")]
    document: Option<Bytes>,
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
}

impl From<GatewayNews> for NewsFrame {
    fn from(news: GatewayNews) -> Self {
        let admitted = news.admitted.into_iter().map(|item| CountFrame {
            window: 0,
            account: item.account.into(),
            count: item.units,
        });
        let counts = news.counts.into_iter().map(|item| CountFrame {
            window: item.window,
            account: item.account.into(),
            count: item.count,
        });
        Self {
            incarnation: news.incarnation.0,
            name: news.name.into(),
            address: news.address.to_string(),
            sent_at: news.sent_at,
            leaving: news.leaving,
            revision: news.revision.0,
            document: news.document,
            echo: news.echo.map(|echo| EchoFrame {
                incarnation: echo.incarnation.0,
                sent_at: echo.sent_at,
                age: echo.age,
            }),
            fence: news.fence.map(|fence| fence.0),
            admitted: admitted.collect(),
            counts: counts.collect(),
            uses: news.uses,
            work: news.work,
        }
    }
}

impl TryFrom<NewsFrame> for GatewayNews {
    type Error = WireError;

    fn try_from(frame: NewsFrame) -> Result<Self, WireError> {
        let account = |text: &str| text.parse().map_err(|_| WireError::Invalid("account"));
        let mut admitted = Vec::with_capacity(frame.admitted.len());
        for item in frame.admitted {
            admitted.push(AdmittedUnits {
                account: account(&item.account)?,
                units: item.count,
            });
        }
        let mut counts = Vec::with_capacity(frame.counts.len());
        for item in frame.counts {
            counts.push(WindowCount {
                window: item.window,
                account: account(&item.account)?,
                count: item.count,
            });
        }
        let address = frame.address.parse();
        Ok(Self {
            incarnation: Incarnation(frame.incarnation),
            name: frame.name.parse().map_err(|_| WireError::Invalid("name"))?,
            address: address.map_err(|_| WireError::Invalid("address"))?,
            sent_at: frame.sent_at,
            leaving: frame.leaving,
            revision: RevisionNumber(frame.revision),
            document: frame.document,
            echo: frame.echo.map(|echo| ConfigEcho {
                incarnation: Incarnation(echo.incarnation),
                sent_at: echo.sent_at,
                age: echo.age,
            }),
            fence: frame.fence.map(FenceToken),
            admitted,
            counts,
            uses: frame.uses,
            work: frame.work,
        })
    }
}
