//! What the parts of a gateway entry share.

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
use tokio_util::sync::CancellationToken;

use crate::boot_clock::BootClock;
use crate::boot_clock::ClockSource;
use crate::gateway::account_limits::AccountLimits;
use crate::gateway::backend_pool::BackendPool;
use crate::gateway::backend_set::BackendSet;
use crate::gateway::byte_budget::ByteBudget;
use crate::gateway::change_counts::ChangeCounts;
use crate::gateway::config_follower::ConfigFollower;
use crate::gateway::crash_detector::CrashDetector;
use crate::gateway::crash_ledger::CrashLedger;
use crate::gateway::document_transfer::DocumentFetcher;
use crate::gateway::gateway_settings::GatewaySettings;
use crate::gateway::incarnation_tracker::IncarnationTracker;
use crate::gateway::lease_state::LeaseState;
use crate::gateway::lease_timings::LeaseTimings;
use crate::gateway::log_budget::LineClass;
use crate::gateway::log_budget::LogBudget;
use crate::gateway::peer_table::PeerTable;
use crate::gateway::platform_interface::CloudApi;
use crate::gateway::platform_interface::LogStore;
use crate::gateway::platform_interface::PlatformFormat;
use crate::gateway::retry_budget::RetryBudget;
use crate::gateway::server_labels::ServerLabels;
use crate::gateway::server_limits::ServerLimits;
use crate::gateway::usage_table::UsageTable;
use crate::gateway::work_meter::WorkMeter;
use crate::id::Incarnation;
use crate::peer_link::PeerSender;
use crate::quantity::Timestamp;

/// The platform, as the gateway sees it.
#[derive(Clone)]
pub struct PlatformAdapters {
    /// Formats of requests and documents.
    pub format: Arc<dyn PlatformFormat>,
    /// The log store.
    pub store: Arc<dyn LogStore>,
    /// Calls to the cloud.
    pub cloud: Arc<dyn CloudApi>,
    /// The clocks of the VM.
    pub clock: Arc<dyn ClockSource>,
}

/// The tables and connections of one gateway entry.
pub struct GatewayContext {
    /// The settings.
    pub settings: GatewaySettings,
    /// The time since the start of this process.
    pub clock: Arc<BootClock>,
    /// This life of the entry.
    pub incarnation: Incarnation,
    /// The platform.
    pub platform: PlatformAdapters,
    /// The log.
    pub log: Logger,
    /// The configuration.
    pub config: Mutex<ConfigFollower>,
    /// The configuration on its way here from another entry.
    pub transfer: Mutex<DocumentFetcher>,
    /// The backend servers.
    pub backends: Mutex<BackendSet>,
    /// The limits that backend servers have named.
    pub server_limits: Mutex<ServerLimits>,
    /// The accounts' limits.
    pub account_limits: Mutex<AccountLimits>,
    /// The budget of sends beyond the first.
    pub retry_budget: Mutex<RetryBudget>,
    /// The work sent to each service.
    pub work: Mutex<WorkMeter>,
    /// Requests that began to run.
    pub usage: Mutex<UsageTable>,
    /// The other entries.
    pub peers: Mutex<PeerTable>,
    /// The lease.
    pub lease: Mutex<LeaseState>,
    /// Held over each call to the store about the lease.
    pub lease_call_lock: AsyncMutex<()>,
    /// Held over each call to the cloud.
    pub cloud_call_lock: AsyncMutex<()>,
    /// Crashes of backend servers, and the requests that ran there.
    pub crashes: Mutex<CrashLedger>,
    /// Servers that are asked whether they crashed.
    pub crash_detector: CrashDetector,
    /// The bytes of bodies and whole answers that are held.
    pub byte_budget: Arc<ByteBudget>,
    /// The lives of backend servers that have requests of this entry.
    pub incarnations: IncarnationTracker,
    /// Connections to backend servers.
    pub pool: BackendPool,
    /// Connections to other entries.
    pub links: PeerSender,
    /// The budget of log lines about requests.
    pub log_budget: Mutex<LogBudget>,
    /// Changes of the list of backend servers that others told.
    pub change_counts: Mutex<ChangeCounts>,
    /// The backend servers that have counters of their own.
    pub server_labels: ServerLabels,
    /// Wakes the exchange of news.
    pub gossip_due: Notify,
    /// Ends all tasks.
    pub stop: CancellationToken,
    leaving: AtomicBool,
    refusing: AtomicBool,
    has_answered: AtomicBool,
    open_calls: AtomicUsize,
    store_seen_us: AtomicU64,
    /// Until when a call to the cloud that got no answer may still arrive.
    open_call_until_us: AtomicU64,
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
    /// Builds the context of an entry that starts.
    pub fn new(settings: GatewaySettings, edges: PlatformAdapters, log: Logger) -> Arc<Self> {
        let stop = CancellationToken::new();
        let incarnation = Incarnation(rand::rng().random());
        let clock = Arc::new(BootClock::new(Arc::clone(&edges.clock)));
        Arc::new(Self {
            incarnation,
            platform: edges,
            config: Mutex::new(ConfigFollower::new()),
            transfer: Mutex::new(DocumentFetcher::new()),
            backends: Mutex::new(BackendSet::new()),
            server_limits: Mutex::new(ServerLimits::new(settings.name.clone())),
            account_limits: Mutex::new(AccountLimits::new(
                incarnation,
                settings.first_start,
                settings.bounds.limit_slack,
            )),
            retry_budget: Mutex::new(RetryBudget::new()),
            work: Mutex::new(WorkMeter::new()),
            usage: Mutex::new(UsageTable::new(incarnation)),
            peers: Mutex::new(PeerTable::new(settings.name.clone(), settings.hub_capacity)),
            lease: Mutex::new(new_lease(&settings, incarnation)),
            lease_call_lock: AsyncMutex::new(()),
            cloud_call_lock: AsyncMutex::new(()),
            crashes: Mutex::new(CrashLedger::new()),
            crash_detector: CrashDetector::new(),
            byte_budget: Arc::new(ByteBudget::of_memory(settings.memory_mb)),
            incarnations: IncarnationTracker::new(),
            pool: BackendPool::new(Arc::clone(&clock)),
            links: PeerSender::new(stop.clone(), log.clone()),
            log_budget: Mutex::new(LogBudget::new()),
            change_counts: Mutex::new(ChangeCounts::default()),
            server_labels: ServerLabels::default(),
            gossip_due: Notify::new(),
            stop,
            leaving: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            has_answered: AtomicBool::new(false),
            open_calls: AtomicUsize::new(0),
            store_seen_us: AtomicU64::new(0),
            open_call_until_us: AtomicU64::new(0),
            clock,
            settings,
            log,
        })
    }

    /// Returns the time since the start of this process, suspensions included.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns whether a line about a request is within the log's budget.
    pub fn may_log(&self, request: &str, class: LineClass) -> bool {
        self.log_budget.lock().admit(self.now(), request, class)
    }

    /// Returns the window of usage at this moment by the wall clock.
    pub fn usage_window(&self) -> u64 {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        // A clock before 1970 is broken; its counts would be refused anyway.
        let seconds = since.unwrap_or(Duration::ZERO).as_secs();
        seconds / self.settings.bounds.usage_window_s
    }

    /// Notes that the store answered this entry.
    pub fn note_store_response(&self) {
        self.store_seen_us.store(self.now().0, Ordering::Relaxed);
    }

    /// Returns how long ago the store answered this entry.
    pub fn since_store_response(&self) -> Duration {
        let seen = Timestamp(self.store_seen_us.load(Ordering::Relaxed));
        self.now().since(seen)
    }

    /// Notes that a call to the cloud got no answer, so that it may arrive until
    /// its right has ended.
    pub fn note_unanswered_call(&self, until: Timestamp) {
        self.open_call_until_us
            .fetch_max(until.0, Ordering::Relaxed);
    }

    /// Returns whether a call to the cloud may still arrive.
    pub fn has_pending_call(&self) -> bool {
        self.now().0 < self.open_call_until_us.load(Ordering::Relaxed)
    }

    /// Returns whether this entry calls itself ready.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.config.lock().adopted().is_some()
    }

    /// Returns whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Begins a planned stop.
    pub fn begin_draining(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns whether new requests are refused.
    pub fn is_refusing(&self) -> bool {
        self.refusing.load(Ordering::Relaxed)
    }

    /// Refuses new requests from now on.
    pub fn begin_refusing(&self) {
        self.refusing.store(true, Ordering::Relaxed);
    }

    /// Notes that a request was answered to the end. How long the first took
    /// since the start is what callers feel of a restart.
    pub fn note_first_response(&self) {
        if self.has_answered.swap(true, Ordering::Relaxed) {
            return;
        }
        let after = self.now().since(Timestamp(0));
        histogram!("cloverbend_first_answer_seconds").record(after.as_secs_f64());
        info!(self.log, "first request answered"; "after_ms" => after.as_millis() as u64);
    }

    /// Returns the number of requests that have no whole answer yet.
    pub fn open_calls(&self) -> usize {
        self.open_calls.load(Ordering::Relaxed)
    }

    /// Counts a request as open until the guard is dropped.
    pub fn open_call(self: &Arc<Self>) -> CallGuard {
        self.open_calls.fetch_add(1, Ordering::Relaxed);
        CallGuard {
            context: Arc::clone(self),
        }
    }
}

/// How much longer than operators ask for a former holder waits to claim.
const COOLDOWN_MARGIN: Duration = Duration::from_millis(1_000);

fn new_lease(settings: &GatewaySettings, incarnation: Incarnation) -> LeaseState {
    let terms = LeaseTimings::with_cooldown(settings.bounds.lease + COOLDOWN_MARGIN);
    let name = settings.name.clone();
    LeaseState::new(Timestamp(0), name, incarnation, terms, settings.first_start)
}

/// Counts a request as open.
#[derive(Debug)]
pub struct CallGuard {
    context: Arc<GatewayContext>,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.context.open_calls.fetch_sub(1, Ordering::Relaxed);
    }
}
