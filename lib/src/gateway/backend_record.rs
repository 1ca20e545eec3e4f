//! What a backend server tells of itself, and how requests end there.

use std::fmt;
use std::net::SocketAddr;

use crate::id::ServiceName;
use crate::id::ZoneName;

/// The name under which a backend server keeps its record. One that starts
/// again may have the name that it had.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BackendName(pub String);

impl fmt::Display for BackendName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// When a life of a backend server began, in milliseconds since 1970 by its own
/// clock. It is compared only with other lives under the same name, never with
/// the clock of an entry. 0 for servers that do not tell it, which have a new
/// name for each life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StartTime(pub u64);

impl StartTime {
    /// Returns whether the server tells when it started.
    pub fn is_known(self) -> bool {
        self != Self::default()
    }
}

/// One life of a backend server. What is known of a life says nothing about the
/// next one under the same name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BackendId {
    /// The name, which outlives the life.
    pub name: BackendName,
    /// When this life began.
    pub start: StartTime,
}

impl BackendId {
    /// Returns the only life of a server that does not tell when it started.
    pub fn without_start(name: impl Into<String>) -> Self {
        Self {
            name: BackendName(name.into()),
            start: StartTime::default(),
        }
    }

    /// Returns the life of a server that began at `start`, in milliseconds since 1970
    /// by its own clock; 0 if it does not tell.
    pub fn with_start(name: impl Into<String>, start: u64) -> Self {
        Self {
            name: BackendName(name.into()),
            start: StartTime(start),
        }
    }

    /// Returns whether this is a later life of the server that had `other`.
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

/// What a backend server tells of itself in the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BackendRecord {
    /// This life of the server.
    pub id: BackendId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it takes no new work because it is about to leave.
    pub draining: bool,
    /// Whether its VM may be reclaimed.
    pub reclaimable: bool,
}

/// The load that a backend server tells with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// How a request ended at a backend server, as far as it tells of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendOutcome {
    /// It answered as it should.
    Served,
    /// It answered with a failure of its own.
    Failed,
    /// It could not be reached, or broke off.
    Broken,
    /// It refused for lack of room.
    Full,
}
