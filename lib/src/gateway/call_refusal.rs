//! Why a request is not served, and what its caller is told.

use std::time::Duration;

use http::StatusCode;
use rand::Rng;

use crate::gateway::call_head::HeadError;
use crate::gateway::crash_ledger::CRASH_RETENTION;

/// When a caller comes back that was refused for lack of knowledge or room.
const COME_BACK: Duration = Duration::from_millis(150);
/// The longest time that a caller is told to wait.
const LONGEST_COME_BACK: Duration = Duration::from_secs(5);

/// Why a request is not served. All but the last two are certain not to have
/// run.
#[derive(Clone, Debug, PartialEq)]
pub enum CallRefusal {
    /// The head cannot be decoded.
    BadHead(HeadError),
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body ended early.
    BodyBroken,
    /// There is no room for the body.
    NoRoom,
    /// No configuration is known, or it may no longer be in force.
    NoConfig,
    /// There is no such route.
    NoRoute,
    /// There is no such key.
    NoKey,
    /// The account's limit is used up.
    OverLimit(Duration),
    /// There is no backend server to send it to.
    NoBackend,
    /// The backend servers are full, and it would be late.
    Crowded(Duration),
    /// All backend servers have named limits that are used up here, or want to
    /// rest; the soonest may take it after that time.
    AllClosed(Duration),
    /// The backend servers refused it.
    AllFull,
    /// It crashes the backend servers that run it.
    CrashesServers,
    /// This entry is stopping.
    Leaving,
    /// The time is over and it was not sent.
    TooLate,
    /// It was sent, and its answer was lost.
    Lost,
    /// It was sent, and the time is over.
    TimedOut,
}

impl CallRefusal {
    /// Returns whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Lost | Self::TimedOut)
    }

    /// Returns the word that stands for the refusal in logs and metrics.
    pub fn word(&self) -> &'static str {
        match self {
            Self::BadHead(_) => "bad_head",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyBroken => "body_broken",
            Self::NoRoom => "no_room",
            Self::NoConfig => "no_config",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::OverLimit(_) => "over_limit",
            Self::NoBackend => "no_backend",
            Self::Crowded(_) => "crowded",
            Self::AllClosed(_) => "all_closed",
            Self::AllFull => "all_full",
            Self::CrashesServers => "crashes_servers",
            Self::Leaving => "leaving",
            Self::TooLate => "too_late",
            Self::Lost => "lost",
            Self::TimedOut => "timed_out",
        }
    }

    /// Returns the status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::BadHead(_) | Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::OverLimit(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::NoRoom
            | Self::NoConfig
            | Self::NoBackend
            | Self::Crowded(_)
            | Self::AllClosed(_)
            | Self::AllFull
            | Self::CrashesServers
            | Self::Leaving
            | Self::TooLate => StatusCode::SERVICE_UNAVAILABLE,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns when the caller may come back, if that would help.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::OverLimit(after) => Some((*after).clamp(COME_BACK, LONGEST_COME_BACK)),
            Self::Crowded(after) | Self::AllClosed(after) => {
                Some((*after).clamp(COME_BACK, LONGEST_COME_BACK))
            }
            Self::NoRoom | Self::NoConfig | Self::NoBackend | Self::AllFull => {
                Some(COME_BACK + COME_BACK.mul_f64(rand::rng().random()))
            }
            // It is remembered for that long after it last came.
            Self::CrashesServers => Some(CRASH_RETENTION),
            Self::Leaving => Some(Duration::from_millis(10)),
            _ => None,
        }
    }
}
