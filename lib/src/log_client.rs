//! The platform's log service: append-only streams with offsets.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::http_client::HttpClient;
use crate::http_client::HttpError;
use crate::id::LogOffset;
use crate::settings::BaseUrl;

/// The stream that carries configuration.
pub const CONFIG_STREAM: &str = "configuration";
/// The stream that carries leases.
pub const LEASE_STREAM: &str = "leases";
/// How long an append may take.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// How much longer than its wait a read may take.
const READ_MARGIN: Duration = Duration::from_secs(1);
/// The most records of one read.
const READ_LIMIT: u32 = 256;

/// A record as it was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its position.
    pub offset: LogOffset,
    /// Its content.
    pub body: String,
}

/// The answer to a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// The oldest offset that is still kept.
    pub first: LogOffset,
    /// The offset that the next append will get.
    pub next: LogOffset,
    /// Records in order, starting at the offset asked for or at `first`.
    pub records: Vec<LogRecord>,
}

/// The answer to an append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogAppended {
    /// The record's position.
    pub offset: LogOffset,
}

/// A client of the log service.
#[derive(Clone, Debug)]
pub struct LogClient {
    http: HttpClient,
    base: BaseUrl,
}

impl LogClient {
    /// Returns a client of the service at `base`.
    pub fn new(http: HttpClient, base: BaseUrl) -> Self {
        Self { http, base }
    }

    /// Appends a record. After any error but `NotSent` and `Status`, the
    /// record may have been appended all the same.
    ///
    /// # Errors
    ///
    /// See [`HttpError`].
    pub async fn append(&self, stream: &str, body: String) -> Result<LogOffset, HttpError> {
        let url = self.base.join(&format!("/streams/{stream}/records"));
        let appended: LogAppended = self.http.post_json(&url, body, APPEND_TIMEOUT).await?;
        Ok(appended.offset)
    }

    /// Reads records from an offset on; waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// See [`HttpError`].
    pub async fn read(
        &self,
        stream: &str,
        from: LogOffset,
        wait: Duration,
    ) -> Result<LogPage, HttpError> {
        let path = format!(
            "/streams/{stream}/records?from={from}&limit={READ_LIMIT}&wait_ms={}",
            wait.as_millis()
        );
        let url = self.base.join(&path);
        self.http.get_json(&url, wait + READ_MARGIN).await
    }

    /// Reads all records that are kept.
    ///
    /// # Errors
    ///
    /// See [`HttpError`].
    pub async fn read_all(&self, stream: &str) -> Result<LogPage, HttpError> {
        let mut whole = self.read(stream, LogOffset(0), Duration::ZERO).await?;
        loop {
            let last = whole.records.last().map(|record| record.offset.0 + 1);
            let from = last.unwrap_or(whole.next.0);
            if from >= whole.next.0 {
                return Ok(whole);
            }
            let page = self.read(stream, LogOffset(from), Duration::ZERO).await?;
            if page.records.is_empty() {
                return Ok(whole);
            }
            whole.next = page.next;
            whole.records.extend(page.records);
        }
    }
}
