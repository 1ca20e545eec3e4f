//! What entries tell each other of themselves, and the messages that carry it.

use std::fmt;
use std::net::SocketAddr;

use serde::Serialize;

use crate::id::EntryName;
use crate::id::Incarnation;
use crate::id::RevisionNumber;
use crate::id::VmId;
use crate::id::ZoneName;

/// What an entry does for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It does not know the configuration in force yet.
    Starting,
    /// It takes requests.
    Serving,
    /// It takes no new requests and will stop.
    Leaving,
}

/// Whether an entry is believed to run. Later variants override earlier ones
/// of the same version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberHealth {
    /// It answers, or nothing else is known.
    Alive,
    /// A probe was not answered.
    Suspect,
    /// It did not object to being suspected, or has stopped.
    Gone,
}

/// What is known of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MemberRecord {
    /// Its name.
    pub name: EntryName,
    /// Its current run.
    pub incarnation: Incarnation,
    /// Raised by the entry itself with each change of its own record.
    pub version: u64,
    /// Whether it is believed to run.
    pub health: MemberHealth,
    /// What it does for callers.
    pub state: MemberState,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers reach it.
    pub http_address: SocketAddr,
    /// Where entries reach it.
    pub peer_address: SocketAddr,
    /// Its share of callers.
    pub weight: u32,
    /// The configuration it has in force.
    pub revision: RevisionNumber,
    /// The mirror of its current pair, if it has one.
    pub mirror: Option<Incarnation>,
}

impl MemberRecord {
    pub(crate) fn rank(&self) -> (Incarnation, u64, MemberHealth) {
        (self.incarnation, self.version, self.health)
    }

    /// Returns whether callers may be sent to it.
    pub fn takes_requests(&self) -> bool {
        self.health == MemberHealth::Alive && self.state == MemberState::Serving
    }
}

impl fmt::Display for MemberRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} {:?} {:?}",
            self.name, self.incarnation, self.health, self.state
        )
    }
}

/// A piece of news that spreads to every entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberNews {
    /// A member's record.
    Member(MemberRecord),
    /// A VM of a backend server will be reclaimed or stopped.
    VmLeaving(VmId),
}

/// A message of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipBody {
    /// "Do you run?"
    Probe {
        /// Repeated in the answer.
        number: u64,
    },
    /// "I run."
    ProbeAnswer {
        /// The number of the probe.
        number: u64,
    },
    /// "Ask that one for me."
    IndirectProbe {
        /// Repeated in the answer.
        number: u64,
        /// Whom to ask.
        target: SocketAddr,
    },
    /// "Tell me all you know." The answer is a message with all records.
    SyncRequest,
    /// News only.
    News,
}

/// A message with the news that travels on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipMessage {
    /// What it asks or answers.
    pub body: GossipBody,
    /// Where to answer.
    pub reply_to: SocketAddr,
    /// The news.
    pub news: Vec<MemberNews>,
}
