//! What a backend server reports about itself in response headers, in addition
//! to its load.
//!
//! Pure: no I/O. A report is about the incarnation that sent it: a server that
//! restarted, or another one at its address, has reported nothing yet.

use std::time::Duration;

use crate::quantity::RequestRate;

/// The rate limit in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitReport {
    /// The response names no limit: the server has none, or has lifted it.
    #[default]
    Unlimited,
    /// The server accepts this many requests per second from all entries
    /// together.
    Limited(RequestRate),
    /// The limit can't be parsed; the last known one stays in force.
    Unreadable,
}

/// What a backend server reports about itself in one response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerReport {
    /// The rate limit.
    pub limit: LimitReport,
    /// Whether the server drains and accepts no new requests.
    pub draining: bool,
    /// How long the entry that receives the response should send no requests to
    /// the server.
    pub back_off: Option<Duration>,
}

/// How a report changed the known state of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReportChange {
    /// It reported a limit, or another limit than before.
    Limited(RequestRate),
    /// It no longer reports a limit.
    LimitLifted,
    /// It began to drain.
    Draining,
    /// It asked this entry to back off.
    BackOff(Duration),
}
