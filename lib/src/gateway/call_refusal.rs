//! The reasons for refusing a request, and the response that its caller gets.

use std::time::Duration;

use http::StatusCode;
use rand::Rng;

use crate::gateway::call_head::HeadError;
use crate::gateway::crash_ledger::CallSafety;

/// The shortest time after which a caller should retry, unless the entry is
/// draining.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
/// The longest time after which a caller should retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// The shortest time after which a caller of an entry that is cut off should retry. Within
/// twice this time, probes find that the paths are back, or hubs name other entries.
const CUT_OFF_RETRY: Duration = Duration::from_millis(500);

/// The shortest time after which a caller should retry while another request shows whether its
/// prompt crashes servers.
const TRIAL_RETRY: Duration = Duration::from_secs(1);

/// When the caller of a refused request should retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryTime {
    /// The time after which it should retry, if that is known.
    pub after: Option<Duration>,
    /// Whether the caller was refused before and asked to return.
    pub is_return: bool,
}

/// Why a request is not served. With the last two reasons it may have run; with
/// all others it certainly did not.
#[derive(Clone, Debug, PartialEq)]
pub enum CallRefusal {
    /// The head cannot be decoded.
    BadHead(HeadError),
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body ended early.
    BodyBroken,
    /// The byte budget has no room for the body.
    NoRoom,
    /// There is no configuration, or it may be out of date.
    NoConfig,
    /// No route matches.
    NoRoute,
    /// The API key is missing or unknown.
    NoKey,
    /// The account has reached its limit; it may retry after that time.
    OverLimit(Duration),
    /// No backend server is available.
    NoBackend,
    /// The request takes a stream up, its route shares or shared streams among services, and
    /// nobody knows which of them began the stream.
    UnknownService,
    /// The request takes a stream up, servers of several versions serve or may serve, and
    /// nobody knows which of them began the stream.
    UnknownVersion,
    /// The stream of the request was begun by a version that no server runs any more.
    VersionGone,
    /// This entry is cut off from backend servers, and no other entry can relay.
    CutOff,
    /// The backend servers are full, and the response would be late; the caller
    /// may retry after that time.
    Crowded(RetryTime),
    /// Every backend server has reached its limit for this entry or asked for a
    /// back-off; the first one is available after that time.
    AllClosed(Duration),
    /// The backend servers refused the request without running it.
    AllFull(RetryTime),
    /// The request crashes the backend servers that run it.
    CrashesServers,
    /// A part of the prompt may crash the backend servers that run it. Another request finds
    /// out.
    MayCrashServers,
    /// This entry is draining.
    Draining,
    /// The request timed out before it was sent.
    TooLate,
    /// The request was sent, and its response was lost.
    Lost,
    /// The request was sent, and timed out.
    TimedOut,
}

impl CallRefusal {
    /// Returns the refusal of a request that crashes servers or may do so.
    pub fn of_safety(safety: CallSafety) -> Option<Self> {
        match safety {
            CallSafety::Harmless => None,
            CallSafety::Suspected => Some(Self::MayCrashServers),
            CallSafety::Fatal => Some(Self::CrashesServers),
        }
    }

    /// Returns whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Lost | Self::TimedOut)
    }

    /// Returns whether the caller was refused before and asked to return.
    pub fn is_return(&self) -> bool {
        match self {
            Self::Crowded(retry_time) | Self::AllFull(retry_time) => retry_time.is_return,
            _ => false,
        }
    }

    /// Returns the reason code for logs, metrics and the response body.
    pub fn code(&self) -> &'static str {
        match self {
            Self::BadHead(_) => "bad_head",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyBroken => "body_broken",
            Self::NoRoom => "no_room",
            Self::NoConfig => "no_config",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::OverLimit(_) => "over_limit",
            Self::NoBackend | Self::CutOff => "no_backend",
            Self::UnknownService => "unknown_service",
            Self::UnknownVersion => "unknown_version",
            Self::VersionGone => "version_gone",
            Self::Crowded(_) => "crowded",
            Self::AllClosed(_) => "all_closed",
            Self::AllFull(_) => "all_full",
            Self::CrashesServers => "crashes_servers",
            Self::MayCrashServers => "may_crash_servers",
            Self::Draining => "leaving",
            Self::TooLate => "too_late",
            Self::Lost => "lost",
            Self::TimedOut => "timed_out",
        }
    }

    /// Returns the HTTP status of the response.
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
            | Self::CutOff
            | Self::UnknownService
            | Self::UnknownVersion
            | Self::VersionGone
            | Self::Crowded(_)
            | Self::AllClosed(_)
            | Self::AllFull(_)
            | Self::CrashesServers
            | Self::MayCrashServers
            | Self::Draining
            | Self::TooLate => StatusCode::SERVICE_UNAVAILABLE,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the time after which the caller should retry, if a retry can help.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::OverLimit(after) => Some((*after).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)),
            Self::AllClosed(after)
            | Self::Crowded(RetryTime {
                after: Some(after), ..
            })
            | Self::AllFull(RetryTime {
                after: Some(after), ..
            }) => Some((*after).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)),
            Self::NoRoom
            | Self::NoConfig
            | Self::NoBackend
            | Self::Crowded(_)
            | Self::AllFull(_) => {
                Some(MIN_RETRY_AFTER + MIN_RETRY_AFTER.mul_f64(rand::rng().random()))
            }
            Self::CutOff => Some(CUT_OFF_RETRY + CUT_OFF_RETRY.mul_f64(rand::rng().random())),
            Self::MayCrashServers => Some(TRIAL_RETRY + TRIAL_RETRY.mul_f64(rand::rng().random())),
            Self::Draining => Some(Duration::from_millis(10)),
            _ => None,
        }
    }
}
