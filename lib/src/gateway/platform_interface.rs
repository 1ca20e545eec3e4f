//! The edges of the gateway: formats, the log store and the cloud's orders.
//!
//! The gateway decides; what stands behind these traits only translates and
//! calls. All futures end by themselves within a bounded time.

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
use crate::gateway::server_report::ServerReport;
use crate::gateway::site_config::SiteConfig;
use crate::id::AccountName;
use crate::id::EntryName;
use crate::id::FenceToken;
use crate::id::LogOffset;
use crate::id::ServiceName;
use crate::id::StoreGeneration;
use crate::id::ZoneName;
use crate::quantity::Timestamp;

/// A document that could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FormatError {
    /// What was being decoded.
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

/// What the gateway adds to a request that it sends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardedHead<'a> {
    /// The only backend server that may run it.
    pub backend: &'a BackendId,
    /// The time that is left.
    pub time_left: Duration,
    /// The client account of the caller's key.
    pub account: Option<&'a AccountName>,
    /// The urgency, 0 the most urgent.
    pub priority: Option<u8>,
    /// The last event that was received, to resume after it.
    pub last_event: Option<u64>,
}

/// What a backend server's answer says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// The request that it answers.
    pub request_id: Option<String>,
    /// Whether the backend server certainly did not run the request.
    pub not_executed: bool,
    /// The load of the backend server, if it tells.
    pub load: Option<LoadReport>,
    /// What else the backend server says of itself.
    pub report: ServerReport,
    /// How long the backend server keeps the connection when idle.
    pub keep_alive: Option<Duration>,
}

/// The formats of requests, answers and documents.
pub trait PlatformFormat: Send + Sync + 'static {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Headers that are missing or malformed.
    fn decode_call(&self, headers: &HeaderMap) -> Result<CallHead, HeadError>;

    /// Sets the headers of a request that is sent on. Those that concern one
    /// connection are already gone; the caller's key is removed here.
    fn encode_request(&self, headers: &mut HeaderMap, terms: &ForwardedHead<'_>);

    /// Decodes the head of a backend server's answer.
    fn decode_response(&self, status: http::StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// A document of another form.
    fn decode_config(&self, document: &[u8]) -> Result<SiteConfig, FormatError>;

    /// Decodes the record of a backend server.
    ///
    /// # Errors
    ///
    /// A document of another form.
    fn decode_backend(&self, id: &str, document: &[u8]) -> Result<BackendRecord, FormatError>;

    /// Returns the path at which the readiness address is asked.
    fn readiness_path(&self) -> &'static str;

    /// Returns the key of the configuration among the records of its topic.
    fn config_key(&self) -> &'static str;
}

/// The topics of the log store that the gateway uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LogTopic {
    /// Keyed: the configuration that the operator publishes.
    Configuration,
    /// Keyed: the records that backend servers keep of themselves.
    Backends,
    /// Keyed: the entries, by name.
    Entries,
    /// Keyed: requests that crash the backend servers that run them, by digest.
    FatalCalls,
    /// Not keyed: claims of the lease, and what its holders decided.
    Duties,
}

/// A record of the log. Records of keyed topics have a key; without a value
/// the key is gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// The position.
    pub offset: LogOffset,
    /// The key, in keyed topics.
    pub key: Option<String>,
    /// The content.
    pub value: Bytes,
}

/// A contiguous part of a topic, or the newest records of a keyed one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogSlice {
    /// The records.
    pub records: Vec<LogRecord>,
    /// The oldest offset that is kept.
    pub oldest: LogOffset,
    /// The offset after the last record that was looked at. The store cuts
    /// long answers, so this may lie before the end.
    pub read_end: LogOffset,
    /// The offset that the next append will get.
    pub end: LogOffset,
    /// The store's generation in which this was read.
    pub generation: StoreGeneration,
}

/// Where a record was appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendPosition {
    /// The position.
    pub offset: LogOffset,
    /// The store's generation.
    pub generation: StoreGeneration,
}

impl LogSlice {
    /// Returns whether there are records that the answer has no room for. It
    /// proves nothing about what is newest then.
    pub fn is_truncated(&self) -> bool {
        self.read_end < self.end
    }
}

/// Why a call to the store or the cloud failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// It was refused, and certainly not done.
    NotApplied(String),
    /// No connection was made, so nothing was sent.
    NotSent(String),
    /// There was no usable answer; it may have been done, or be done later.
    OutcomeUnknown(String),
    /// The records asked for are no longer kept; the oldest kept is told.
    OffsetOutOfRange(LogOffset),
    /// The condition did not hold; the topic ends elsewhere.
    Conflict(LogOffset),
    /// A call with a higher fence was seen.
    Fenced,
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotApplied(cause) => write!(f, "not done: {cause}"),
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::OutcomeUnknown(cause) => write!(f, "no usable answer: {cause}"),
            Self::OffsetOutOfRange(first) => write!(f, "the records before {first} are gone"),
            Self::Conflict(end) => write!(f, "the topic ends at {end}"),
            Self::Fenced => write!(f, "a higher fence was seen"),
        }
    }
}

impl std::error::Error for PlatformError {}

/// The platform's log store.
pub trait LogStore: Send + Sync + 'static {
    /// Reads records from an offset on; waits up to `wait` for the first.
    fn read(
        &self,
        topic: LogTopic,
        from: LogOffset,
        wait: Duration,
    ) -> BoxFuture<'_, Result<LogSlice, PlatformError>>;

    /// Reads the newest record of each key of a keyed topic.
    fn read_latest(&self, topic: LogTopic) -> BoxFuture<'_, Result<LogSlice, PlatformError>>;

    /// Appends one record; with `expected_end` only if the topic ends there.
    fn append(
        &self,
        topic: LogTopic,
        key: Option<&str>,
        value: Bytes,
        expected_end: Option<LogOffset>,
    ) -> BoxFuture<'_, Result<AppendPosition, PlatformError>>;
}

/// The number of replicas wanted of a service in one zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplicaOrder {
    /// The service.
    pub service: ServiceName,
    /// The zone.
    pub zone: ZoneName,
    /// Whether the VMs may be reclaimed.
    pub reclaimable: bool,
    /// How many there are to be.
    pub count: u32,
}

/// What a holder calls the cloud with.
#[derive(Clone, Debug)]
pub struct CallCredentials {
    /// The holder.
    pub holder: EntryName,
    /// Its fence.
    pub fencing_token: FenceToken,
    /// When nothing of the call may be under way any more.
    pub deadline: Timestamp,
    /// The clock of that time.
    pub clock: Arc<BootClock>,
}

impl CallCredentials {
    /// Returns whether the time of the call is over.
    pub fn is_expired(&self) -> bool {
        self.clock.left(self.deadline).is_zero()
    }
}

/// Calls that one entry at a time may make. None is repeated by itself: each try
/// needs terms of its own.
pub trait CloudApi: Send + Sync + 'static {
    /// Reports the requests of each account that began in a window.
    fn report_usage(
        &self,
        terms: &CallCredentials,
        window: u64,
        counts: &BTreeMap<AccountName, u64>,
    ) -> BoxFuture<'_, Result<(), PlatformError>>;

    /// Orders a number of replicas.
    fn order_replicas(
        &self,
        terms: &CallCredentials,
        order: &ReplicaOrder,
    ) -> BoxFuture<'_, Result<(), PlatformError>>;
}
