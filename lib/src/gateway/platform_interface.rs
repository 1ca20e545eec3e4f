//! The interface to the platform: its message formats, its log store and its cloud.
//!
//! The gateway makes all decisions. Implementations of these traits only translate
//! and make calls. Every future that they return ends within a bounded time.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::HeaderMap;

use crate::boot_clock::BootClock;
use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_record::BackendRecord;
use crate::gateway::backend_record::LoadReport;
use crate::gateway::call_head::CallHead;
use crate::gateway::call_head::HeadError;
use crate::gateway::rollout_state::RolloutOrder;
use crate::gateway::rollout_state::RolloutStatus;
use crate::gateway::server_report::ServerReport;
use crate::gateway::site_config::SiteConfig;
use crate::id::AccountName;
use crate::id::EntryName;
use crate::id::FenceToken;
use crate::id::LogOffset;
use crate::id::RevisionNumber;
use crate::id::ServiceName;
use crate::id::StoreGeneration;
use crate::id::ZoneName;
use crate::quantity::Timestamp;

/// Why a document could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FormatError {
    /// The document.
    pub subject: &'static str,
    /// What is wrong with it.
    pub cause: String,
}

impl fmt::Display for FormatError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the {} cannot be read: {}", self.subject, self.cause)
    }
}

impl std::error::Error for FormatError {}

/// What the gateway adds to the headers of a request that it forwards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardedHead<'a> {
    /// The only backend server that may run the request.
    pub backend: &'a BackendId,
    /// The time left until the request's deadline.
    pub time_left: Duration,
    /// The client account of the caller's API key.
    pub account: Option<&'a AccountName>,
    /// The priority; 0 is the most urgent.
    pub priority: Option<u8>,
    /// The last event received, after which the stream resumes.
    pub last_event: Option<u64>,
}

/// The headers of a backend server's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// The identifier of the request.
    pub request_id: Option<String>,
    /// Whether the backend server certainly did not run the request.
    pub not_executed: bool,
    /// The load of the backend server, if it reports it.
    pub load: Option<LoadReport>,
    /// Whether the backend server reports how long work takes there now.
    pub reports_pace: bool,
    /// What else the backend server reports of itself.
    pub report: ServerReport,
    /// How long the backend server keeps an idle connection open.
    pub keep_alive: Option<Duration>,
}

/// The formats of requests, responses and documents.
pub trait PlatformFormat: Send + Sync + 'static {
    /// Decodes the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Headers are missing or malformed.
    fn decode_call(&self, headers: &HeaderMap) -> Result<CallHead, HeadError>;

    /// Sets the headers of a request that is forwarded, and removes the caller's API
    /// key. Hop-by-hop headers were removed before.
    fn encode_request(&self, headers: &mut HeaderMap, head: &ForwardedHead<'_>);

    /// Decodes the headers of a backend server's response.
    fn decode_response(&self, status: http::StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// The document has another format.
    fn decode_config(&self, document: &[u8]) -> Result<SiteConfig, FormatError>;

    /// Decodes the revision of a configuration alone.
    ///
    /// # Errors
    ///
    /// The document has another format.
    fn decode_config_revision(&self, document: &[u8]) -> Result<RevisionNumber, FormatError>;

    /// Decodes the record of a backend server.
    ///
    /// # Errors
    ///
    /// The document has another format.
    fn decode_backend(&self, id: &str, document: &[u8]) -> Result<BackendRecord, FormatError>;

    /// Decodes an order for a roll-out from a record of [`LogTopic::Configuration`], or
    /// returns `None` if the key is that of another record.
    fn decode_rollout(
        &self,
        key: &str,
        document: &[u8],
    ) -> Option<Result<RolloutOrder, FormatError>>;

    /// Decodes the status of a roll-out and its service from a record of
    /// [`LogTopic::Statuses`], or returns `None` if the key is that of another record.
    fn decode_rollout_status(
        &self,
        key: &str,
        document: &[u8],
    ) -> Option<Result<(ServiceName, RolloutStatus), FormatError>>;

    /// Encodes the status of a roll-out.
    fn encode_rollout_status(&self, status: &RolloutStatus) -> Bytes;

    /// Returns the key of the status of a service's roll-out.
    fn rollout_key(&self, service: &ServiceName) -> String;

    /// Returns the path of readiness checks.
    fn readiness_path(&self) -> &'static str;

    /// Returns the key of the configuration among the records of its topic.
    fn config_key(&self) -> &'static str;
}

/// The topics of the log store that the gateway uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LogTopic {
    /// Keyed: the configuration and the orders that the operator publishes.
    Configuration,
    /// Keyed: what the gateway reports to the operator.
    Statuses,
    /// Keyed: the records that backend servers write about themselves.
    Backends,
    /// Keyed: the entries, by name.
    Entries,
    /// Keyed: requests that crash the backend servers that run them, by digest.
    FatalCalls,
    /// Keyed: the versions and the shares of routes with which streams may have begun.
    StreamHistory,
    /// Keyed: which versions of servers began which streams.
    Streams,
    /// Not keyed: claims of the lease, and decisions of its holders.
    Duties,
}

/// A record of the log. In keyed topics it has a key; an empty value deletes the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// Its offset in the topic.
    pub offset: LogOffset,
    /// The key, in keyed topics.
    pub key: Option<String>,
    /// The content.
    pub value: Bytes,
}

/// A contiguous part of a topic, or the latest record of each key of a keyed topic.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogSlice {
    /// The records.
    pub records: Vec<LogRecord>,
    /// The oldest offset that the store keeps.
    pub oldest: LogOffset,
    /// The offset after the last record that was read. It is less than `end` if the
    /// store truncated a long response.
    pub read_end: LogOffset,
    /// The offset of the next append.
    pub end: LogOffset,
    /// The generation of the store.
    pub generation: StoreGeneration,
}

/// Where a record was appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendPosition {
    /// The offset of the record.
    pub offset: LogOffset,
    /// The generation of the store.
    pub generation: StoreGeneration,
}

impl LogSlice {
    /// Returns whether the store truncated its response. Then the topic has newer
    /// records than this slice.
    pub fn is_truncated(&self) -> bool {
        self.read_end < self.end
    }

    /// Returns whether the store no longer keeps the record at offset `from`.
    pub fn misses_first(&self, from: LogOffset) -> bool {
        self.oldest > from
    }

    /// Returns whether the slice lacks records after offset `next`, because the store no
    /// longer keeps them or truncated its response. The caller then reads the latest
    /// record of each key instead, since only those count in a keyed topic.
    pub fn misses_records(&self, next: Option<LogOffset>) -> bool {
        self.is_truncated() || next.is_some_and(|from| self.misses_first(from))
    }

    /// Adds the slice that was read from the end of this one on. Returns false, and adds
    /// nothing, if records between the two are gone or the store was restored meanwhile.
    pub fn extend(&mut self, following: Self) -> bool {
        let is_adjacent = !following.misses_first(self.read_end)
            && following.generation == self.generation
            && following.read_end > self.read_end;
        if is_adjacent {
            self.records.extend(following.records);
            self.read_end = following.read_end;
            self.end = following.end;
        }
        is_adjacent
    }
}

/// Why a call to the store or the cloud failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// The call was refused and certainly had no effect.
    NotApplied(String),
    /// No connection was made, so nothing was sent.
    NotSent(String),
    /// There was no usable response. The call may have taken effect, or may do so later.
    OutcomeUnknown(String),
    /// The store does not have the requested offset. Carries the oldest offset that it
    /// keeps.
    OffsetOutOfRange(LogOffset),
    /// The topic does not end at the expected offset. Carries the offset of its end.
    Conflict(LogOffset),
    /// A call with a higher fencing token was made before.
    Fenced,
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotApplied(cause) => write!(f, "not applied: {cause}"),
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::OutcomeUnknown(cause) => write!(f, "no usable response: {cause}"),
            Self::OffsetOutOfRange(oldest) => write!(f, "the records before {oldest} are gone"),
            Self::Conflict(end) => write!(f, "the topic ends at {end}"),
            Self::Fenced => write!(f, "a call with a higher fencing token was made"),
        }
    }
}

impl std::error::Error for PlatformError {}

/// The platform's log store.
pub trait LogStore: Send + Sync + 'static {
    /// Reads records from an offset on. If there are none yet, the store delays its
    /// response by up to `wait` until the first one is appended.
    fn read(
        &self,
        topic: LogTopic,
        from: LogOffset,
        wait: Duration,
    ) -> BoxFuture<'_, Result<LogSlice, PlatformError>>;

    /// Reads the latest record of each key of a keyed topic.
    fn read_latest(&self, topic: LogTopic) -> BoxFuture<'_, Result<LogSlice, PlatformError>>;

    /// Appends one record. With `expected_end`, only if the topic ends at that offset.
    fn append(
        &self,
        topic: LogTopic,
        key: Option<&str>,
        value: Bytes,
        expected_end: Option<LogOffset>,
    ) -> BoxFuture<'_, Result<AppendPosition, PlatformError>>;

    /// Removes keys of a keyed topic, in one call.
    fn remove(
        &self,
        topic: LogTopic,
        keys: &[String],
    ) -> BoxFuture<'_, Result<AppendPosition, PlatformError>>;
}

/// An order for a number of replicas of a service in one zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplicaOrder {
    /// The service.
    pub service: ServiceName,
    /// The zone.
    pub zone: ZoneName,
    /// Whether the replicas run on reclaimable VMs.
    pub reclaimable: bool,
    /// The total number of replicas wanted.
    pub count: u32,
}

/// What a call to the cloud needs to prove that its caller holds the lease.
#[derive(Clone, Debug)]
pub struct CallCredentials {
    /// The lease holder.
    pub holder: EntryName,
    /// Its fencing token.
    pub fencing_token: FenceToken,
    /// When the call has to have ended.
    pub deadline: Timestamp,
    /// The clock of the deadline.
    pub clock: Arc<BootClock>,
}

impl CallCredentials {
    /// Returns whether the deadline is over.
    pub fn is_expired(&self) -> bool {
        self.clock.left(self.deadline).is_zero()
    }
}

/// Calls to the cloud, which only the lease holder may make. Implementations do not
/// retry: each attempt needs new credentials.
pub trait CloudApi: Send + Sync + 'static {
    /// Reports how many requests of each account began in a window.
    fn report_usage(
        &self,
        credentials: &CallCredentials,
        window: u64,
        counts: &BTreeMap<AccountName, u64>,
    ) -> BoxFuture<'_, Result<(), PlatformError>>;

    /// Orders replicas.
    fn order_replicas(
        &self,
        credentials: &CallCredentials,
        order: &ReplicaOrder,
    ) -> BoxFuture<'_, Result<(), PlatformError>>;
}
