//! Records, identifiers and load reports of backend servers, and how requests end
//! there.

use std::fmt;
use std::net::SocketAddr;

use crate::id::ServerVersion;
use crate::id::ServiceName;
use crate::id::ZoneName;

/// The key of a backend server's record in the store. A server may keep its name
/// when it restarts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BackendName(pub String);

impl fmt::Display for BackendName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// When an incarnation of a backend server started, in milliseconds since the Unix epoch
/// by the server's own clock. Start times are compared only with those of other
/// incarnations under the same name, never with an entry's clock. 0 for a server that
/// does not report it; such a server takes a new name for each incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StartTime(pub u64);

impl StartTime {
    /// Returns whether the server reports its start time.
    pub fn is_known(self) -> bool {
        self != Self::default()
    }
}

/// An incarnation of a backend server: the time from one start to the next. State
/// kept for an incarnation does not apply to the next one under the same name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BackendId {
    /// The server's name, which may stay the same over incarnations.
    pub name: BackendName,
    /// When this incarnation started.
    pub start: StartTime,
}

impl BackendId {
    /// Returns the only incarnation of a server that does not report its start time.
    pub fn without_start(name: impl Into<String>) -> Self {
        Self {
            name: BackendName(name.into()),
            start: StartTime::default(),
        }
    }

    /// Returns the incarnation of a server that started at `start`, as in [`StartTime`].
    pub fn with_start(name: impl Into<String>, start: u64) -> Self {
        Self {
            name: BackendName(name.into()),
            start: StartTime(start),
        }
    }

    /// Returns whether this is a later incarnation of the same server than `other`.
    pub fn replaces(&self, other: &Self) -> bool {
        self.name == other.name && self.start > other.start
    }
}

impl fmt::Display for BackendId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.name.0)?;
        if self.start.is_known() {
            write!(f, "@{}", self.start.0)?;
        }
        Ok(())
    }
}

/// The record that a backend server keeps of itself in the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BackendRecord {
    /// The server's present incarnation.
    pub id: BackendId,
    /// The service that the server belongs to.
    pub service: ServiceName,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The server's availability zone.
    pub zone: ZoneName,
    /// The number of requests that the server runs at once.
    pub slots: u32,
    /// Whether the server accepts no new requests because it is about to stop.
    pub draining: bool,
    /// Whether the server's VM may be reclaimed.
    pub reclaimable: bool,
    /// The version of the server's software. None if the server's record has no valid
    /// one, or if an entry that does not know versions relayed the record.
    pub version: Option<ServerVersion>,
}

/// The load that a backend server reports with a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// How a request ended at a backend server, as an indication of the server's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendOutcome {
    /// The server responded as expected.
    Served,
    /// The server responded with a failure of its own.
    Failed,
    /// The server was unreachable, or the connection broke.
    Broken,
    /// The server refused the request because it was full.
    Full,
}
