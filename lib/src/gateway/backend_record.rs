//! What a backend server tells of itself, and how requests end there.

use std::fmt;
use std::net::SocketAddr;

use crate::id::ServiceName;
use crate::id::ZoneName;

/// One life of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BackendId(pub String);

impl fmt::Display for BackendId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What a backend server tells of itself in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
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
    pub leaving: bool,
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
