//! Answers to requests that are refused or given up on.
//!
//! Each has a stable code, says whether the request ran, and where it makes
//! sense when and where to come back.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

/// Whether a refused request ran. Said only when it is certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RanReport {
    /// It did not run and never will.
    No,
    /// It may have run, or may yet run.
    Unknown,
}

impl fmt::Display for RanReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::No => "no",
            Self::Unknown => "unknown",
        })
    }
}

/// Why a request was refused. The text forms are stable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The body or a header is malformed.
    BadRequest,
    /// No client account has this key.
    WrongKey,
    /// The policy does not allow the request.
    NotAllowed,
    /// The policy program failed on the request.
    PolicyFailed,
    /// No service has this name.
    UnknownService,
    /// No such path.
    UnknownPath,
    /// The body is larger than the limit.
    TooLarge,
    /// The service's calls may run only once and need a ticket.
    TicketRequired,
    /// The ticket is malformed.
    BadTicket,
    /// The ticket can no longer be used; a fresh one is needed.
    StaleTicket,
    /// The ticket belongs to another client account.
    ForeignTicket,
    /// The client account's rate is used up.
    RateLimit,
    /// The client account has too many requests in progress.
    ConcurrencyLimit,
    /// The entry holds too many requests.
    Overloaded,
    /// The deadline cannot be met.
    WouldBeLate,
    /// The deadline passed.
    DeadlinePassed,
    /// The entry does not know the configuration in force yet.
    Starting,
    /// The entry is leaving.
    Leaving,
    /// No backend server may serve the request now.
    NoBackend,
    /// The backend servers that were tried failed.
    BackendFailed,
    /// The entries that could know the outcome cannot be reached.
    OutcomeUnknown,
}

impl RefusalCode {
    /// Returns the HTTP status that goes with the code.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest | Self::BadTicket => StatusCode::BAD_REQUEST,
            Self::WrongKey => StatusCode::UNAUTHORIZED,
            Self::NotAllowed | Self::ForeignTicket => StatusCode::FORBIDDEN,
            Self::UnknownService | Self::UnknownPath => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TicketRequired => StatusCode::PRECONDITION_REQUIRED,
            Self::StaleTicket => StatusCode::CONFLICT,
            Self::RateLimit | Self::ConcurrencyLimit => StatusCode::TOO_MANY_REQUESTS,
            Self::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            Self::PolicyFailed => StatusCode::INTERNAL_SERVER_ERROR,
            Self::BackendFailed => StatusCode::BAD_GATEWAY,
            Self::Overloaded
            | Self::WouldBeLate
            | Self::Starting
            | Self::Leaving
            | Self::NoBackend
            | Self::OutcomeUnknown => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl fmt::Display for RefusalCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The serialized form is the stable one.
        let text = serde_json::to_value(self).unwrap_or_default();
        f.write_str(text.as_str().unwrap_or("unknown"))
    }
}

/// A refusal as it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub code: RefusalCode,
    /// Why, for people.
    pub message: String,
    /// Whether the request ran.
    pub ran: RanReport,
    /// When to come back, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
    /// Entries to use instead.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub entries: Vec<SocketAddr>,
    /// A fresh ticket, where one is needed.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub ticket: Option<String>,
}

/// The JSON body of a refusal, in the usual shape of chat completion errors.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// The refusal.
    pub error: Refusal,
}

impl Refusal {
    /// A refusal before the request was accepted.
    pub fn not_run(code: RefusalCode, message: impl fmt::Display) -> Self {
        Self::new(code, message, RanReport::No)
    }

    /// A refusal of a request that may have run.
    pub fn unknown(code: RefusalCode, message: impl fmt::Display) -> Self {
        Self::new(code, message, RanReport::Unknown)
    }

    /// A refusal with the given report.
    pub fn new(code: RefusalCode, message: impl fmt::Display, ran: RanReport) -> Self {
        Self {
            code,
            message: message.to_string(),
            ran,
            retry_after_ms: None,
            entries: Vec::new(),
            ticket: None,
        }
    }

    /// Adds when to come back.
    pub fn retry_after(mut self, duration: Duration) -> Self {
        self.retry_after_ms = Some(duration.as_millis() as u64);
        self
    }

    /// Adds where to go instead.
    pub fn at_entries(mut self, entries: Vec<SocketAddr>) -> Self {
        self.entries = entries;
        self
    }

    /// Adds a fresh ticket.
    pub fn with_ticket(mut self, ticket: impl fmt::Display) -> Self {
        self.ticket = Some(ticket.to_string());
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} (ran: {}): {}", self.code, self.ran, self.message)
    }
}

impl std::error::Error for Refusal {}
