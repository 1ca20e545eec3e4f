//! Publishes configuration: names the revision it replaces, survives lost
//! answers, and reports who won and where the outcome is in force.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use crate::configuration::ConfigDocument;
use crate::configuration::ConfigView;
use crate::finding::FindingList;
use crate::http_client::HttpClient;
use crate::http_client::HttpError;
use crate::id::RevisionNumber;
use crate::log_client::CONFIG_STREAM;
use crate::log_client::LogClient;
use crate::log_client::LogPage;
use crate::query_api::StatusAnswer;
use crate::revision::ConfigRecord;
use crate::revision::PublicationId;
use crate::revision::RecordOutcome;
use crate::revision::RevisionFollower;

/// How often an append whose answer was lost is tried again.
const MAX_TRIES: u32 = 5;
/// How long to wait before looking for a record whose append was not
/// answered, since the append may still take effect.
const LOST_ANSWER_PAUSE: Duration = Duration::from_millis(300);
/// How long an entry may take to say which revision it has in force.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a configuration was not published.
#[derive(Debug)]
pub enum PublishError {
    /// The configuration breaks checks; nothing was published.
    Invalid(FindingList),
    /// The log service cannot be used; nothing was published.
    NotPublished(HttpError),
    /// The log service stopped answering; the record may be there.
    Unknown(HttpError),
    /// The configuration cannot be encoded; nothing was published.
    Encode(String),
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(findings) => write!(f, "not valid, not published:\n{findings}"),
            Self::NotPublished(error) => write!(f, "not published: log service: {error}"),
            Self::Unknown(error) => write!(
                f,
                "it is not known whether it was published: log service: {error}"
            ),
            Self::Encode(error) => write!(f, "not published: {error}"),
        }
    }
}

impl std::error::Error for PublishError {}

/// How a publication ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// It is accepted as this revision and never reverts.
    Accepted(RevisionNumber),
    /// Another publication replaced the same revision first.
    Lost {
        /// The revision in force.
        current: RevisionNumber,
        /// The publication that won it.
        winner: PublicationId,
    },
}

/// Where a revision is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ForceReport {
    /// Entries that have it, or a newer one, in force.
    pub in_force: Vec<SocketAddr>,
    /// Entries that have an older one, or do not answer.
    pub missing: Vec<SocketAddr>,
}

/// What the log says is current.
#[derive(Clone, Debug)]
pub struct LogView {
    /// The follower after the last record.
    pub follower: RevisionFollower,
    outcomes: Vec<(PublicationId, RecordOutcome)>,
}

fn view_of(page: &LogPage) -> LogView {
    let mut follower = RevisionFollower::new();
    follower.start_at(page.first);
    let mut outcomes = Vec::new();
    for record in &page.records {
        let outcome = follower.apply(record.offset, &record.body);
        if let Ok(ConfigRecord::Publication { publication, .. }) =
            serde_json::from_str(&record.body)
        {
            outcomes.push((publication, outcome));
        }
    }
    LogView { follower, outcomes }
}

/// Reads what the log says is current.
///
/// # Errors
///
/// See [`HttpError`].
pub async fn read_log(log: &LogClient) -> Result<LogView, HttpError> {
    let page = log.read_all(CONFIG_STREAM).await?;
    Ok(view_of(&page))
}

impl LogView {
    /// Returns how a publication ended, if its record is there. The first
    /// record decides; repetitions change nothing.
    fn outcome_of(&self, publication: &PublicationId) -> Option<PublishOutcome> {
        let (_, outcome) = self.outcomes.iter().find(|(id, _)| id == publication)?;
        match outcome {
            RecordOutcome::Applied(number) => Some(PublishOutcome::Accepted(*number)),
            RecordOutcome::Lost {
                current, winner, ..
            } => Some(PublishOutcome::Lost {
                current: *current,
                winner: winner.clone(),
            }),
            _ => None,
        }
    }
}

/// Publishes a configuration that replaces revision `replaces`, or the one in
/// force if none is given. The same `publication` is never applied twice.
///
/// # Errors
///
/// See [`PublishError`].
pub async fn publish(
    log: &LogClient,
    publication: PublicationId,
    document: ConfigDocument,
    replaces: Option<RevisionNumber>,
) -> Result<PublishOutcome, PublishError> {
    ConfigView::check(document.clone()).map_err(PublishError::Invalid)?;
    let before = read_log(log).await.map_err(PublishError::NotPublished)?;
    let replaces = replaces.unwrap_or(before.follower.number());
    let record = ConfigRecord::Publication {
        publication: publication.clone(),
        replaces,
        document,
    };
    let body =
        serde_json::to_string(&record).map_err(|error| PublishError::Encode(error.to_string()))?;
    let mut sent = false;
    let mut last = HttpError::TimedOut;
    for _ in 0..MAX_TRIES {
        match read_log(log).await {
            Ok(view) => {
                if let Some(outcome) = view.outcome_of(&publication) {
                    return Ok(outcome);
                }
            }
            Err(error) => {
                last = error;
                tokio::time::sleep(LOST_ANSWER_PAUSE).await;
                continue;
            }
        }
        if let Err(error) = log.append(CONFIG_STREAM, body.clone()).await {
            sent |= !error.was_not_sent();
            last = error;
            tokio::time::sleep(LOST_ANSWER_PAUSE).await;
            continue;
        }
        sent = true;
    }
    let view = read_log(log).await;
    match view.map(|view| view.outcome_of(&publication)) {
        Ok(Some(outcome)) => Ok(outcome),
        Ok(None) | Err(_) if sent => Err(PublishError::Unknown(last)),
        Ok(None) => Err(PublishError::NotPublished(last)),
        Err(error) => Err(PublishError::NotPublished(error)),
    }
}

/// Asks entries, until `patience` ends, whether a revision is in force.
pub async fn await_force(
    http: &HttpClient,
    entries: &[SocketAddr],
    number: RevisionNumber,
    patience: Duration,
) -> ForceReport {
    let begun = tokio::time::Instant::now();
    loop {
        let mut report = ForceReport::default();
        for entry in entries {
            let url = format!("http://{entry}/v1/status");
            let status = http.get_json::<StatusAnswer>(&url, STATUS_TIMEOUT).await;
            let there = status.is_ok_and(|status| status.entry.revision >= number);
            if there {
                report.in_force.push(*entry);
            } else {
                report.missing.push(*entry);
            }
        }
        if report.missing.is_empty() || begun.elapsed() >= patience {
            return report;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Draws the name of a publication attempt.
pub fn draw_publication() -> PublicationId {
    PublicationId(format!("{:032x}", rand::random::<u128>()))
}
