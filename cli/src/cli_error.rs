//! Errors of the command line: formats every error for the user, with a hint on
//! what to do next.

use std::fmt;

use cloverbend::caller_client::CallerError;
use cloverbend::finding::FindingList;
use cloverbend::http_client::HttpError;
use cloverbend::publisher::PublishError;
use cloverbend::refusal::RefusalCode;

/// Why a command failed.
#[derive(Debug)]
pub enum CliError {
    /// A configuration is invalid.
    Findings(FindingList),
    /// A file cannot be read.
    ReadFile(String, std::io::Error),
    /// An argument is missing or refers to something that the configuration does
    /// not define.
    Usage(String),
    /// A query to an entry failed.
    Query(HttpError),
    /// A request to a service failed.
    Caller(CallerError),
    /// Publishing a configuration failed.
    Publish(PublishError),
    /// Another publication replaced the same revision first.
    Conflict(String),
    /// A new revision is not in force at every entry yet.
    NotInForce(String),
    /// The program of a policy failed.
    Policy(String),
    /// No log line mentions the request.
    RequestNotFound(String),
}

/// The exit code for invalid arguments and files.
const EXIT_INVALID_INPUT: u8 = 2;
/// The exit code for all other errors.
const EXIT_FAILURE: u8 = 1;

impl CliError {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Findings(_) | Self::ReadFile(..) | Self::Usage(_) => EXIT_INVALID_INPUT,
            Self::Publish(PublishError::Invalid(_)) => EXIT_INVALID_INPUT,
            _ => EXIT_FAILURE,
        }
    }

    fn hint(&self) -> Option<&'static str> {
        match self {
            Self::Findings(_) => Some("fix each finding listed above and check again"),
            Self::ReadFile(..) => Some("pass a file that exists and can be read"),
            Self::Usage(_) => Some("see --help"),
            Self::Query(_) | Self::Caller(CallerError::NoEntry(_)) => {
                Some("pass the address of a running entry with --entry IP:PORT")
            }
            Self::Caller(CallerError::Refused(refusal)) => refusal_hint(refusal.code),
            Self::Caller(CallerError::Unknown(_)) => {
                Some("send it as a new request only if it is safe to run twice")
            }
            Self::Caller(CallerError::BadAnswer(_)) => {
                Some("check that the address belongs to an entry")
            }
            Self::Publish(PublishError::Invalid(_)) => {
                Some("fix each finding listed above and publish again")
            }
            Self::Publish(PublishError::Unknown(_)) => Some(
                "publish again with the same --publication; a publication is applied at most once",
            ),
            Self::Publish(_) => Some("check --log-service and publish again"),
            Self::Conflict(_) => {
                Some("compare with the revision in force, merge, and publish again")
            }
            Self::NotInForce(_) => Some("check again with `cloverbend status`"),
            Self::Policy(_) => Some("fix the policy's program and test again"),
            Self::RequestNotFound(_) => {
                Some("pass the logs of all entries; each retry has an identifier of its own")
            }
        }
    }
}

fn refusal_hint(code: RefusalCode) -> Option<&'static str> {
    match code {
        RefusalCode::WrongKey => Some("pass the account's key with --key-file or CLOVERBEND_KEY"),
        RefusalCode::UnknownService => {
            Some("`cloverbend status` shows which publication is in force")
        }
        RefusalCode::NotAllowed => Some("`cloverbend policy test` shows why"),
        RefusalCode::NoBackend => Some("`cloverbend status` shows the backend servers"),
        _ => None,
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Findings(findings) => write!(f, "Error: invalid configuration:\n{findings}")?,
            Self::ReadFile(file, error) => write!(f, "Error: {file}: {error}")?,
            Self::Usage(message) => write!(f, "Error: {message}")?,
            Self::Query(error) => write!(f, "Error: query to the entry failed: {error}")?,
            Self::Caller(error) => write!(f, "Error: {error}")?,
            Self::Publish(error) => write!(f, "Error: {error}")?,
            Self::RequestNotFound(request) => {
                write!(f, "Error: no log line mentions request {request}")?
            }
            Self::Conflict(message) | Self::NotInForce(message) | Self::Policy(message) => {
                write!(f, "Error: {message}")?
            }
        }
        match self.hint() {
            Some(hint) => write!(f, "\nHint: {hint}"),
            None => Ok(()),
        }
    }
}

impl std::error::Error for CliError {}

impl From<HttpError> for CliError {
    fn from(error: HttpError) -> Self {
        Self::Query(error)
    }
}

impl From<CallerError> for CliError {
    fn from(error: CallerError) -> Self {
        Self::Caller(error)
    }
}

impl From<PublishError> for CliError {
    fn from(error: PublishError) -> Self {
        Self::Publish(error)
    }
}
