//! The state that all parts of a gateway entry share.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;

use metrics::histogram;
use parking_lot::Mutex;
use rand::Rng;
use slog::Logger;
use slog::info;
use tokio::sync::Mutex as AsyncMutex;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use crate::answer_delivery::DeliveryCount;
use crate::boot_clock::BootClock;
use crate::boot_clock::ClockSource;
use crate::gateway::account_limits::AccountLimits;
use crate::gateway::backend_pool::BackendPool;
use crate::gateway::backend_set::BackendSet;
use crate::gateway::byte_budget::ByteBudget;
use crate::gateway::call_work::WorkHistory;
use crate::gateway::change_counts::ChangeCounts;
use crate::gateway::config_follower::ConfigFollower;
use crate::gateway::crash_detector::CrashDetector;
use crate::gateway::crash_ledger::CrashLedger;
use crate::gateway::default_versions::DefaultView;
use crate::gateway::document_transfer::DocumentFetcher;
use crate::gateway::entry_queue::EntryQueue;
use crate::gateway::gateway_settings::GatewaySettings;
use crate::gateway::history_sync::HistoryReading;
use crate::gateway::incarnation_tracker::IncarnationTracker;
use crate::gateway::lease_state::LeaseState;
use crate::gateway::lease_timings::LeaseTimings;
use crate::gateway::log_budget::LineClass;
use crate::gateway::log_budget::LogBudget;
use crate::gateway::peer_table::PeerTable;
use crate::gateway::platform_interface::CloudApi;
use crate::gateway::platform_interface::LogStore;
use crate::gateway::platform_interface::PlatformFormat;
use crate::gateway::relay_helpers::RelayHelpers;
use crate::gateway::retry_budget::RetryBudget;
use crate::gateway::retry_pool::RetryPool;
use crate::gateway::return_promises::ReturnPromises;
use crate::gateway::rollout_table::RolloutTable;
use crate::gateway::server_labels::ServerLabels;
use crate::gateway::server_limits::ServerLimits;
use crate::gateway::server_paths::ServerPaths;
use crate::gateway::shared_admission::SharedAdmission;
use crate::gateway::stream_exchange::StreamQueries;
use crate::gateway::stream_rereads::StreamRereads;
use crate::gateway::stream_store::StreamFlush;
use crate::gateway::stream_versions::StreamVersions;
use crate::gateway::stream_waits::StreamWaits;
use crate::gateway::usage_table::UsageTable;
use crate::gateway::version_history::VersionHistory;
use crate::gateway::weight_history::WeightHistory;
use crate::gateway::work_meter::WorkMeter;
use crate::id::Incarnation;
use crate::peer_link::PeerSender;
use crate::quantity::Timestamp;

/// The gateway's interfaces to the platform.
#[derive(Clone)]
pub struct PlatformAdapters {
    /// The formats of requests and documents.
    pub format: Arc<dyn PlatformFormat>,
    /// The log store.
    pub store: Arc<dyn LogStore>,
    /// The cloud API.
    pub cloud: Arc<dyn CloudApi>,
    /// The clocks of the VM.
    pub clock: Arc<dyn ClockSource>,
}

/// The shared tables and connections of one gateway entry.
pub struct GatewayContext {
    /// The settings.
    pub settings: GatewaySettings,
    /// Measures the time since the start of this process.
    pub clock: Arc<BootClock>,
    /// This incarnation of the entry.
    pub incarnation: Incarnation,
    /// The interfaces to the platform.
    pub platform: PlatformAdapters,
    /// The logger.
    pub log: Logger,
    /// The configuration.
    pub config: Mutex<ConfigFollower>,
    /// Fetches the configuration from another entry.
    pub transfer: Mutex<DocumentFetcher>,
    /// The backend servers.
    pub backends: Mutex<BackendSet>,
    /// The limits that backend servers reported.
    pub server_limits: Mutex<ServerLimits>,
    /// Who is admitted to services with too little room. Locked last.
    pub admission: Mutex<SharedAdmission>,
    /// The limits of client accounts.
    pub account_limits: Mutex<AccountLimits>,
    /// The budget for retries.
    pub retry_budget: Mutex<RetryBudget>,
    /// The pool from which other entries draw retries through this one.
    pub retry_pool: Mutex<RetryPool>,
    /// The demand for each service.
    pub work: Mutex<WorkMeter>,
    /// The observed work of requests by route.
    pub work_history: Mutex<WorkHistory>,
    /// The requests of each account that began to run.
    pub usage: Mutex<UsageTable>,
    /// The other entries.
    pub peers: Mutex<PeerTable>,
    /// The state of the lease.
    pub lease: Mutex<LeaseState>,
    /// Locked during each call to the store about the lease.
    pub lease_call_lock: AsyncMutex<()>,
    /// Locked during each call to the cloud.
    pub cloud_call_lock: AsyncMutex<()>,
    /// The crashes of backend servers and the requests that ran there.
    pub crashes: Mutex<CrashLedger>,
    /// Which refused callers were asked to return.
    pub promises: Mutex<ReturnPromises>,
    /// The roll-outs of new versions.
    pub rollouts: Mutex<RolloutTable>,
    /// Which versions of servers began streams.
    pub streams: Mutex<StreamVersions>,
    /// Which versions of servers served lately.
    pub version_history: Mutex<VersionHistory>,
    /// The default versions that this entry read in the store.
    pub default_view: Mutex<DefaultView>,
    /// Wakes streams that wait until the store has them.
    pub stream_stored: Notify,
    /// Streams that wait until the store has them, here and at other entries.
    pub stream_waits: StreamWaits,
    /// How routes of streams share their requests, and did a short time ago.
    pub weight_history: Mutex<WeightHistory>,
    /// Queries for streams that wait for replies.
    pub stream_queries: StreamQueries,
    /// Wakes the task that tells other entries of streams.
    pub stream_notice_due: Notify,
    /// Wakes the task that writes streams to the store.
    pub stream_write_due: Notify,
    /// The last writes of streams before this entry ends.
    pub stream_flush: StreamFlush,
    /// Until when hubs have this entry tell its streams, in microseconds.
    pub streams_wanted_until_us: AtomicU64,
    /// Whether what the store has of streams was read.
    pub history_reading: HistoryReading,
    /// The reads of streams after the start.
    pub stream_rereads: StreamRereads,
    /// Probes backend servers that may have crashed.
    pub crash_detector: CrashDetector,
    /// The budget for buffered bodies of requests and responses.
    pub byte_budget: Arc<ByteBudget>,
    /// The incarnations of backend servers that have requests of this entry.
    pub incarnations: IncarnationTracker,
    /// Connections to backend servers.
    pub pool: BackendPool,
    /// What is known of the paths to backend servers. Locked last.
    pub paths: Mutex<ServerPaths>,
    /// The entries that relay requests for this one. Locked last.
    pub helpers: Mutex<RelayHelpers>,
    /// Wakes requests that wait for the first list of these entries.
    pub helpers_named: Notify,
    /// The room for requests that this entry relays for others.
    pub relay_room: Arc<Semaphore>,
    /// Connections to other entries.
    pub links: PeerSender,
    /// The budget of log lines about requests.
    pub log_budget: Mutex<LogBudget>,
    /// Counts the changes of backend servers that other entries reported.
    pub change_counts: Mutex<ChangeCounts>,
    /// The backend servers that have their own metric labels.
    pub server_labels: ServerLabels,
    /// Requests that wait at this entry for a slot.
    pub entry_queue: Mutex<EntryQueue>,
    /// Wakes requests that wait for a slot when a request of this entry has ended.
    pub slot_freed: Notify,
    /// Wakes the task that probes servers.
    pub probe_due: Notify,
    /// Wakes the gossip task.
    pub gossip_due: Notify,
    /// Cancels all tasks.
    pub stop: CancellationToken,
    draining: AtomicBool,
    refusing: AtomicBool,
    has_responded: AtomicBool,
    /// The answers that have not reached callers, or other entries.
    pub deliveries: DeliveryCount,
    open_calls: AtomicUsize,
    store_response_us: AtomicU64,
    /// When a byte of a response last came directly from a backend server.
    server_bytes_us: AtomicU64,
    /// Until when a call to the cloud without a response may still take effect.
    pending_call_until_us: AtomicU64,
}

impl std::fmt::Debug for GatewayContext {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("GatewayContext")
            .field("name", &self.settings.name)
            .field("incarnation", &self.incarnation)
            .finish_non_exhaustive()
    }
}

impl GatewayContext {
    /// Builds the context of a starting entry.
    pub fn new(settings: GatewaySettings, platform: PlatformAdapters, log: Logger) -> Arc<Self> {
        let stop = CancellationToken::new();
        let incarnation = Incarnation(rand::rng().random());
        let clock = Arc::new(BootClock::new(Arc::clone(&platform.clock)));
        Arc::new(Self {
            incarnation,
            platform,
            config: Mutex::new(ConfigFollower::new()),
            transfer: Mutex::new(DocumentFetcher::new()),
            backends: Mutex::new(BackendSet::new()),
            server_limits: Mutex::new(ServerLimits::new(settings.name.clone())),
            admission: Mutex::new(SharedAdmission::new()),
            account_limits: Mutex::new(AccountLimits::new(
                incarnation,
                settings.first_start,
                settings.bounds.limit_slack,
            )),
            retry_budget: Mutex::new(RetryBudget::new(settings.first_start)),
            retry_pool: Mutex::new(RetryPool::new(
                settings.bounds.retry_budget,
                settings.first_start,
            )),
            work: Mutex::new(WorkMeter::new()),
            work_history: Mutex::new(WorkHistory::default()),
            usage: Mutex::new(UsageTable::new(incarnation)),
            peers: Mutex::new(PeerTable::new(settings.name.clone(), settings.hub_capacity)),
            lease: Mutex::new(new_lease(&settings, incarnation)),
            lease_call_lock: AsyncMutex::new(()),
            cloud_call_lock: AsyncMutex::new(()),
            crashes: Mutex::new(CrashLedger::new()),
            promises: Mutex::new(ReturnPromises::new()),
            rollouts: Mutex::new(RolloutTable::new()),
            streams: Mutex::new(StreamVersions::new()),
            version_history: Mutex::new(VersionHistory::new()),
            default_view: Mutex::default(),
            stream_stored: Notify::new(),
            stream_waits: StreamWaits::default(),
            weight_history: Mutex::new(WeightHistory::new()),
            stream_queries: StreamQueries::default(),
            stream_notice_due: Notify::new(),
            stream_write_due: Notify::new(),
            stream_flush: StreamFlush::default(),
            streams_wanted_until_us: AtomicU64::new(0),
            history_reading: HistoryReading::default(),
            stream_rereads: StreamRereads::default(),
            crash_detector: CrashDetector::new(),
            byte_budget: Arc::new(ByteBudget::from_memory_mb(settings.memory_mb)),
            incarnations: IncarnationTracker::new(),
            pool: BackendPool::new(Arc::clone(&clock), settings.server_addresses.clone()),
            paths: Mutex::new(ServerPaths::new()),
            helpers: Mutex::new(RelayHelpers::new()),
            helpers_named: Notify::new(),
            relay_room: Arc::new(Semaphore::new(relay_room(settings.memory_mb))),
            links: PeerSender::new(stop.clone(), log.clone()),
            log_budget: Mutex::new(LogBudget::new()),
            change_counts: Mutex::new(ChangeCounts::default()),
            server_labels: ServerLabels::default(),
            entry_queue: Mutex::new(EntryQueue::new()),
            slot_freed: Notify::new(),
            probe_due: Notify::new(),
            gossip_due: Notify::new(),
            stop,
            draining: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            has_responded: AtomicBool::new(false),
            deliveries: DeliveryCount::default(),
            open_calls: AtomicUsize::new(0),
            store_response_us: AtomicU64::new(0),
            server_bytes_us: AtomicU64::new(0),
            pending_call_until_us: AtomicU64::new(0),
            clock,
            settings,
            log,
        })
    }

    /// Returns the time since the start of this process, suspensions included.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns whether the log budget allows a line about a request.
    pub fn may_log(&self, request: &str, class: LineClass) -> bool {
        self.log_budget.lock().admit(self.now(), request, class)
    }

    /// Returns the number of the current usage window by the wall clock.
    pub fn usage_window(&self) -> u64 {
        let unix_time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        // A clock before 1970 is wrong; its counts would be refused anyway.
        let seconds = unix_time.unwrap_or(Duration::ZERO).as_secs();
        seconds / self.settings.bounds.usage_window_s
    }

    /// Records a response of the store to this entry.
    pub fn note_store_response(&self) {
        self.store_response_us
            .store(self.now().0, Ordering::Relaxed);
    }

    /// Returns the time since the last response of the store to this entry.
    pub fn since_store_response(&self) -> Duration {
        let response_at = Timestamp(self.store_response_us.load(Ordering::Relaxed));
        self.now().since(response_at)
    }

    /// Records that a part of a response came directly from a backend server.
    pub fn note_server_bytes(&self) {
        self.server_bytes_us.store(self.now().0, Ordering::Relaxed);
    }

    /// Returns the time since a part of a response last came directly from a backend
    /// server.
    pub fn since_server_bytes(&self) -> Duration {
        let at = Timestamp(self.server_bytes_us.load(Ordering::Relaxed));
        self.now().since(at)
    }

    /// Records that a call to the cloud got no response. It may still take effect
    /// until the lease that it was made under has expired.
    pub fn note_unanswered_call(&self, until: Timestamp) {
        self.pending_call_until_us
            .fetch_max(until.0, Ordering::Relaxed);
    }

    /// Returns whether a call to the cloud may still take effect.
    pub fn has_pending_call(&self) -> bool {
        self.now().0 < self.pending_call_until_us.load(Ordering::Relaxed)
    }

    /// Returns whether this entry reports itself as ready.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.config.lock().adopted().is_some()
    }

    /// Returns whether this entry is draining for a planned stop.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Starts draining for a planned stop.
    pub fn begin_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Returns whether new requests are refused.
    pub fn is_refusing(&self) -> bool {
        self.refusing.load(Ordering::Relaxed)
    }

    /// Starts refusing new requests.
    pub fn begin_refusing(&self) {
        self.refusing.store(true, Ordering::Relaxed);
    }

    /// Records the time from the start of the process to its first complete response.
    /// A restart affects callers for that long. Further calls have no effect.
    pub fn note_first_response(&self) {
        if self.has_responded.swap(true, Ordering::Relaxed) {
            return;
        }
        let elapsed = self.now().since(Timestamp(0));
        histogram!("cloverbend_first_answer_seconds").record(elapsed.as_secs_f64());
        info!(self.log, "first request answered"; "after_ms" => elapsed.as_millis() as u64);
    }

    /// Returns the number of requests without a complete response.
    pub fn open_calls(&self) -> usize {
        self.open_calls.load(Ordering::Relaxed)
    }

    /// Counts a request as open until the guard is dropped.
    pub fn track_call(self: &Arc<Self>) -> CallGuard {
        self.open_calls.fetch_add(1, Ordering::Relaxed);
        CallGuard {
            context: Arc::clone(self),
        }
    }
}

/// The memory of the process per request that it relays for other entries: two buffers of
/// 64 KiB and a body of the usual size take less.
const MEGABYTES_PER_RELAY: f64 = 2.0;
/// The fewest requests that an entry relays at once.
const MIN_RELAYS: usize = 8;

/// Returns how many requests an entry with that many megabytes relays at once.
fn relay_room(memory_mb: f64) -> usize {
    // The cast rounds down; a negative size becomes 0.
    ((memory_mb / MEGABYTES_PER_RELAY) as usize).clamp(MIN_RELAYS, Semaphore::MAX_PERMITS)
}

/// Added to the setting `lease_ms`: a former holder of the lease waits for the sum
/// before it claims the lease again.
const COOLDOWN_MARGIN: Duration = Duration::from_millis(1_000);

fn new_lease(settings: &GatewaySettings, incarnation: Incarnation) -> LeaseState {
    let timings = LeaseTimings::with_cooldown(settings.bounds.lease_cooldown + COOLDOWN_MARGIN);
    let name = settings.name.clone();
    LeaseState::new(
        Timestamp(0),
        name,
        incarnation,
        timings,
        settings.first_start,
    )
}

/// Counts a request as open until it is dropped.
#[derive(Debug)]
pub struct CallGuard {
    context: Arc<GatewayContext>,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.context.open_calls.fetch_sub(1, Ordering::Relaxed);
    }
}
