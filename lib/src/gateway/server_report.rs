//! What a backend server says of itself in the heads of its answers, beside its
//! load.
//!
//! Pure. A notice is of the life that gave it: a server that starts again, or
//! another one at its address, has said nothing yet.

use std::time::Duration;

use crate::quantity::RequestRate;

/// What an answer says of the requests that its server takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitReport {
    /// It names no limit: there is none, or none any more.
    #[default]
    Unlimited,
    /// It takes so many requests a second from all entries together.
    Limited(RequestRate),
    /// It names one that cannot be read, which changes nothing.
    Unreadable,
}

/// What a backend server says of itself with one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerReport {
    /// How much it takes.
    pub limit: LimitReport,
    /// Whether it leaves and takes no new requests.
    pub draining: bool,
    /// For how long it wants no request from the entry that it answers.
    pub back_off: Option<Duration>,
}

/// What a notice changed in what is believed of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NoticeChange {
    /// It has named a limit, or another one.
    Limited(RequestRate),
    /// It names no limit any more.
    LimitOver,
    /// It leaves.
    Leaving,
    /// It wants to rest from this entry.
    Rest(Duration),
}
