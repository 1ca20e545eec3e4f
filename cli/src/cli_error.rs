//! Errors of the command line: the only place that turns errors into text for
//! people, with a hint of what to do next.

use std::fmt;

use cloverbend::caller_client::CallerError;
use cloverbend::finding::FindingList;
use cloverbend::http_client::HttpError;
use cloverbend::publisher::PublishError;
use cloverbend::refusal::RefusalCode;

/// Why a command failed.
#[derive(Debug)]
pub enum CliError {
    /// An input has findings.
    Findings(FindingList),
    /// A file cannot be read.
    ReadFile(String, std::io::Error),
    /// The arguments do not go together.
    Usage(String),
    /// An entry did not answer a query.
    Query(HttpError),
    /// A request had no answer.
    Caller(CallerError),
    /// A configuration was not published.
    Publish(PublishError),
    /// Another publication won.
    Lost(String),
    /// A publication is not in force at every entry yet.
    NotEverywhere(String),
    /// A policy failed or refused.
    Policy(String),
    /// No log line names a request.
    NothingFound(String),
}

/// The exit code for inputs that are not valid.
const BAD_INPUT: u8 = 2;
/// The exit code for everything else.
const FAILED: u8 = 1;

impl CliError {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Findings(_) | Self::ReadFile(..) | Self::Usage(_) => BAD_INPUT,
            Self::Publish(PublishError::Invalid(_)) => BAD_INPUT,
            _ => FAILED,
        }
    }

    fn hint(&self) -> Option<&'static str> {
        match self {
            Self::Findings(_) => Some("mend each place named above and check again"),
            Self::ReadFile(..) => Some("name a file that exists and can be read"),
            Self::Usage(_) => Some("see --help"),
            Self::Query(_) | Self::Caller(CallerError::NoEntry(_)) => {
                Some("name an entry that runs with --entry IP:PORT")
            }
            Self::Caller(CallerError::Refused(refusal)) => refusal_hint(refusal.code),
            Self::Caller(CallerError::Unknown(_)) => {
                Some("do not send it as a new request unless it may run twice")
            }
            Self::Caller(CallerError::BadAnswer(_)) => Some("is that address an entry?"),
            Self::Publish(PublishError::Invalid(_)) => {
                Some("mend each place named above and publish again")
            }
            Self::Publish(PublishError::Unknown(_)) => {
                Some("publish again with the same --publication: it is never applied twice")
            }
            Self::Publish(_) => Some("check --log-service and publish again"),
            Self::Lost(_) => Some("look at the revision in force, merge, and publish again"),
            Self::NotEverywhere(_) => Some("ask again with `cloverbend status`"),
            Self::Policy(_) => Some("mend the program and test again"),
            Self::NothingFound(_) => {
                Some("give the logs of all entries; a retry has another identifier")
            }
        }
    }
}

fn refusal_hint(code: RefusalCode) -> Option<&'static str> {
    match code {
        RefusalCode::WrongKey => Some("give the account's key with --key-file or CLOVERBEND_KEY"),
        RefusalCode::UnknownService => Some("`cloverbend status` shows what is in force"),
        RefusalCode::NotAllowed => Some("`cloverbend policy test` shows why"),
        RefusalCode::NoBackend => Some("`cloverbend status` shows the backend servers"),
        _ => None,
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Findings(findings) => write!(f, "Error: not valid:\n{findings}")?,
            Self::ReadFile(file, error) => write!(f, "Error: {file}: {error}")?,
            Self::Usage(message) => write!(f, "Error: {message}")?,
            Self::Query(error) => write!(f, "Error: the entry did not answer: {error}")?,
            Self::Caller(error) => write!(f, "Error: {error}")?,
            Self::Publish(error) => write!(f, "Error: {error}")?,
            Self::NothingFound(request) => write!(f, "Error: no line names request {request}")?,
            Self::Lost(message) | Self::NotEverywhere(message) | Self::Policy(message) => {
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
