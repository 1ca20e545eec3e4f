//! What the parts of one entry daemon share.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use parking_lot::Mutex;
use parking_lot::RwLock;
use rand::Rng;
use slog::Logger;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::backend_table::BackendTable;
use crate::boot_clock::BootClock;
use crate::boot_clock::SystemClock;
use crate::configuration::ConfigView;
use crate::http_client::HttpClient;
use crate::id::Incarnation;
use crate::id::RevisionNumber;
use crate::limits::AccountLimiter;
use crate::limits::RetryBudget;
use crate::limits::spread_retry_after;
use crate::log_client::LogClient;
use crate::member_record::MemberHealth;
use crate::member_record::MemberRecord;
use crate::member_record::MemberState;
use crate::membership::GossipTiming;
use crate::membership::MemberTable;
use crate::peer_link::PeerSender;
use crate::platform_client::PlatformClient;
use crate::quantity::Timestamp;
use crate::request_table::RequestTable;
use crate::revision::ConfigRevision;
use crate::revision::RevisionFollower;
use crate::settings::EntrySettings;
use crate::trace::SpanSource;

/// Limits and budgets.
#[derive(Debug, Default)]
pub struct LimitTable {
    /// Limits of client accounts.
    pub accounts: AccountLimiter,
    /// Retry budgets of services.
    pub retries: RetryBudget,
}

/// The shared tables of an entry.
///
/// Lock order: `config`, `members`, `backends`, `requests`, `limits`, then the
/// locks inside [`PeerSender`]. Whoever holds one may only take later ones,
/// and none is held across an `await`.
#[derive(Debug)]
pub struct EntryTables {
    /// The configuration in force.
    pub config: RwLock<RevisionFollower>,
    /// The other entries.
    pub members: Mutex<MemberTable>,
    /// The backend servers.
    pub backends: Mutex<BackendTable>,
    /// Requests and answers.
    pub requests: Mutex<RequestTable>,
    /// Limits and budgets.
    pub limits: Mutex<LimitTable>,
}

/// What the parts of one entry daemon share.
#[derive(Debug)]
pub struct EntryContext {
    /// The settings.
    pub settings: EntrySettings,
    /// This run of the daemon.
    pub incarnation: Incarnation,
    /// The shared tables.
    pub tables: EntryTables,
    /// Links to other entries.
    pub peers: PeerSender,
    /// The HTTP client.
    pub http: HttpClient,
    /// The log service.
    pub log_service: LogClient,
    /// The VM list and the cloud API.
    pub platform: PlatformClient,
    /// Traces.
    pub spans: SpanSource,
    /// Structured logs.
    pub log: Logger,
    /// Ends everything, without draining.
    pub stop: CancellationToken,
    /// Notified when the pair, or one mirrored here, may have to change.
    pub pair_check: Notify,
    /// How many configurations other entries have sent.
    pub config_answers: AtomicU64,
    /// The time since the start of this run.
    pub clock: BootClock,
}

/// Draws the number of a new run. Later runs have larger numbers as long as
/// the clock does not go back by more than a millisecond; nothing but the
/// choice between two records of one entry depends on that.
pub fn draw_incarnation() -> Incarnation {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let random: u16 = rand::rng().random();
    Incarnation((since.as_millis() as u64) << 16 | u64::from(random))
}

impl EntryContext {
    /// Builds the context of a new run.
    pub fn new(settings: EntrySettings, spans: SpanSource, log: Logger) -> Arc<Self> {
        let incarnation = draw_incarnation();
        let stop = CancellationToken::new();
        let http = HttpClient::new();
        let own = own_record(&settings, incarnation);
        let seeds = settings.peers.values().copied().collect();
        let timing = GossipTiming::default();
        let members = MemberTable::new(own, seeds, timing, incarnation.0);
        let peers = PeerSender::new(stop.clone(), log.clone());
        peers.set_route(incarnation, settings.peer_address);
        Arc::new(Self {
            incarnation,
            tables: EntryTables {
                config: RwLock::new(RevisionFollower::new()),
                members: Mutex::new(members),
                backends: Mutex::new(BackendTable::new(incarnation.0)),
                limits: Mutex::default(),
                requests: Mutex::new(RequestTable::new(incarnation)),
            },
            peers,
            log_service: LogClient::new(http.clone(), settings.log_service.clone()),
            platform: PlatformClient::new(
                http.clone(),
                settings.vm_list.clone(),
                settings.cloud_api.clone(),
            ),
            http,
            spans,
            log,
            stop,
            pair_check: Notify::new(),
            config_answers: AtomicU64::new(0),
            clock: BootClock::new(Arc::new(SystemClock)),
            settings,
        })
    }

    /// Returns the time since the start of this run, suspensions included.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the configuration in force, if one is known.
    pub fn revision(&self) -> Option<ConfigRevision> {
        self.tables.config.read().current().cloned()
    }

    /// Returns the view of the configuration in force, if one is known.
    pub fn config(&self) -> Option<Arc<ConfigView>> {
        self.revision().map(|revision| revision.view)
    }

    /// Returns what this entry does for callers.
    pub fn state(&self) -> MemberState {
        self.tables.members.lock().own().state
    }

    /// Returns the number of requests held here that have not ended.
    pub fn open_requests(&self) -> usize {
        let table = self.tables.requests.lock();
        table.holder.open_requests().count()
    }

    /// Returns when a caller refused now should come back.
    pub fn come_back(&self, base: Duration) -> Duration {
        spread_retry_after(base, rand::rng().random())
    }
}

fn own_record(settings: &EntrySettings, incarnation: Incarnation) -> MemberRecord {
    MemberRecord {
        name: settings.name.clone(),
        incarnation,
        version: 1,
        health: MemberHealth::Alive,
        state: MemberState::Starting,
        zone: settings.zone.clone(),
        http_address: settings.http_address,
        peer_address: settings.peer_address,
        weight: settings.weight,
        revision: RevisionNumber(0),
        mirror: None,
    }
}
