//! Accounts for a request while it is in flight at a backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use tokio_util::sync::CancellationToken;

use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_record::BackendOutcome;
use crate::gateway::backend_set::CountPeriod;
use crate::gateway::call_feature::CallFeatures;
use crate::gateway::call_log::note_outcome;
use crate::gateway::call_work::WorkEstimate;
use crate::gateway::crash_detector::InterruptedRun;
use crate::gateway::crash_detector::note_completed;
use crate::gateway::crash_detector::note_unsure_completion;
use crate::gateway::crash_detector::probe_for_crash;
use crate::gateway::crash_detector::record_crash;
use crate::gateway::crash_detector::watch_released;
use crate::gateway::crash_ledger::ResponseEnd;
use crate::gateway::crash_ledger::RunExtent;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::path_monitor::doubt_path;
use crate::gateway::response_framing::ResponseFraming;
use crate::gateway::sent_work::SentWork;
use crate::gateway::server_paths::ServerPath;
use crate::id::ServerVersion;
use crate::quantity::Timestamp;

/// The cause reported when a connection ended before a response.
pub const CONNECTION_LOST: &str = "lost";
/// The cause reported when the connection of another entry that relays ended before a
/// response. It says nothing about the server.
pub const RELAY_LOST: &str = "relay_lost";
/// The cause reported when the connection to another entry, which relays a request, ended
/// without a response. It says nothing about the server.
pub const HELPER_LOST: &str = "helper_lost";
/// The cause reported when a connection ended within a response.
pub const RESPONSE_INTERRUPTED: &str = "broken_off";
/// The cause reported when the backend server is known to have restarted.
pub const SERVER_RESTARTED: &str = "server_started_again";

/// What is known of a request when it is sent.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// The backend server that the request is sent to.
    pub backend: BackendId,
    /// The address of the backend server.
    pub address: SocketAddr,
    /// The version of the backend server, if it is known.
    pub version: Option<ServerVersion>,
    /// The features of the request.
    pub features: CallFeatures,
    /// Prompt tokens of the request that the server has to prefill.
    pub prefill_tokens: u64,
    /// Prompt tokens of other requests whose prefill is pending there.
    pub tokens_ahead: u64,
    /// Whether a slot seemed free.
    pub had_free_slot: bool,
    /// When the request is sent.
    pub sent_at: Timestamp,
    /// The period in which it counts at the server.
    pub count_period: CountPeriod,
    /// Its work, if work is estimated.
    pub work: Option<SentWork>,
}

/// What a server is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SentExtent {
    Whole,
    /// To go on with a stream that another server began.
    Rest,
    /// The same rest as a server before it that was interrupted after this time.
    RepeatedRest(Duration),
}

/// Counts a request at a backend server until the guard is dropped.
pub struct SendGuard {
    context: Arc<GatewayContext>,
    request: SentRequest,
    /// When the response began, or when the request was sent if there is none yet.
    started_at: Timestamp,
    is_prefilled: bool,
    extent: SentExtent,
    /// Whether the response has a status of success.
    is_success: bool,
    /// Whether the head of the response has arrived.
    has_head: bool,
    /// Whether another entry relays the response.
    is_relayed: bool,
    /// How the end of the response is marked.
    framing: ResponseFraming,
    /// Whether it is known what became of the request at the server.
    is_resolved: AtomicBool,
    /// Canceled when the server is known to have restarted.
    pub restart_token: CancellationToken,
}

impl SendGuard {
    /// Begins to count a request.
    pub fn new(context: &Arc<GatewayContext>, request: SentRequest) -> Self {
        Self {
            restart_token: context.incarnations.track_request(&request.backend),
            context: Arc::clone(context),
            started_at: request.sent_at,
            is_prefilled: false,
            extent: SentExtent::Whole,
            is_success: false,
            has_head: false,
            is_relayed: false,
            framing: ResponseFraming::Length,
            is_resolved: AtomicBool::new(false),
            request,
        }
    }

    /// Returns the backend server.
    pub fn backend(&self) -> &BackendId {
        &self.request.backend
    }

    /// Returns the version of the backend server, if it was known when the request was sent.
    pub fn version(&self) -> Option<&ServerVersion> {
        self.request.version.as_ref()
    }

    /// Returns the estimated work, if work is estimated.
    pub fn work_estimate(&self) -> Option<&WorkEstimate> {
        self.request.work.as_ref().map(SentWork::estimate)
    }

    /// Returns the prompt tokens of the request that the server has to prefill.
    pub fn prefill_tokens(&self) -> u64 {
        self.request.prefill_tokens
    }

    /// Returns when the request was sent.
    pub fn sent_at(&self) -> Timestamp {
        self.request.sent_at
    }

    /// Returns the time since the request was sent.
    pub fn since_sent(&self) -> Duration {
        self.context.now().since(self.request.sent_at)
    }

    /// Notes what the server is asked for.
    pub fn note_extent(&mut self, extent: SentExtent) {
        self.extent = extent;
    }

    /// Returns how long the request has run, as far as this entry knows.
    pub fn run_time(&self) -> Duration {
        self.context.now().since(self.started_at)
    }

    /// Notes that the head of the response has arrived.
    pub fn note_head(&mut self, status: StatusCode, framing: ResponseFraming, is_relayed: bool) {
        self.framing = framing;
        self.has_head = true;
        self.is_relayed = is_relayed;
        self.started_at = self.context.now();
        self.is_success = status.is_success();
    }

    /// Notes that a part of the response has arrived.
    pub fn note_bytes(&self) {
        if !self.is_relayed {
            self.context.note_server_bytes();
        }
    }

    /// Charges the server with a request that it did not respond to, or not completely,
    /// unless the path of this entry to it has failed meanwhile.
    pub fn note_broken(&self) {
        let sent_at = self.request.sent_at;
        let paths = self.context.paths.lock();
        // Without a head, the path that a request took is known only if there was no cut
        // since it was sent.
        let is_relayed = match self.has_head {
            true => self.is_relayed,
            false => {
                let path = paths.path(self.context.now(), self.backend());
                path == ServerPath::Relayed && !paths.was_cut_off_since(sent_at)
            }
        };
        let is_whole = paths.is_whole_since(self.backend(), sent_at);
        drop(paths);
        if is_relayed || is_whole {
            note_outcome(&self.context, self.backend(), BackendOutcome::Broken);
        }
    }

    /// Handles an interrupted response. The cause may be a crash of the server, which
    /// interrupts all of its responses.
    pub fn note_interrupted(&self, cause: &str) {
        let (context, backend) = (&self.context, self.backend());
        if cause == RESPONSE_INTERRUPTED && !self.is_relayed {
            doubt_path(context, backend);
        }
        match cause {
            CONNECTION_LOST | RELAY_LOST | RESPONSE_INTERRUPTED if self.may_probe(cause) => {
                probe_for_crash(context, backend, self.request.address, self.run());
            }
            SERVER_RESTARTED => record_crash(context, backend, &[self.run()]),
            _ => return,
        }
        self.note_resolved();
    }

    /// Notes that the request did not run, or that it is known how its run ended. The server
    /// of any other request is watched for a crash when the request is let go of.
    pub fn note_resolved(&self) {
        self.is_resolved.store(true, Ordering::Relaxed);
    }

    /// Returns whether an attempt to connect to the server tells if it crashed: this entry
    /// did not fail to reach it before. The other entry that relays may have ended itself, or
    /// lost its path.
    fn may_probe(&self, cause: &str) -> bool {
        let was_relayed = self.is_relayed || cause == RELAY_LOST;
        !was_relayed || !self.context.paths.lock().has_failed(self.backend())
    }

    /// Notes that the response is complete. One of an error does not show that the server
    /// survived the request: it may not have run.
    pub fn note_completed(&self) {
        self.context.note_first_response();
        self.note_resolved();
        let features = &self.request.features;
        let extent = self.run_extent();
        match self.framing {
            _ if !self.is_success => {}
            ResponseFraming::Length | ResponseFraming::Chunks => {
                note_completed(&self.context, features, ResponseEnd::Marked, extent);
            }
            ResponseFraming::Close if self.is_relayed => {
                note_completed(&self.context, features, ResponseEnd::Unsure, extent);
            }
            ResponseFraming::Close => {
                note_unsure_completion(&self.context, self.request.address, features, extent);
            }
        }
        if let Some(work) = self.request.work.as_ref().filter(|_| self.is_success) {
            work.note_completed(&self.context);
        }
    }

    fn run_extent(&self) -> RunExtent {
        match self.extent {
            SentExtent::Whole => RunExtent::Whole,
            SentExtent::Rest => RunExtent::Rest(self.run_time()),
            SentExtent::RepeatedRest(interrupted_after) => RunExtent::RepeatedRest {
                ran: self.run_time(),
                interrupted_after,
            },
        }
    }

    fn run(&self) -> InterruptedRun {
        InterruptedRun {
            features: self.request.features.clone(),
            has_begun: self.has_head,
            started_at: self.started_at,
            interrupted_at: self.context.now(),
        }
    }

    /// Returns whether the times of this request are about those of the server. A path that
    /// failed adds to them. A relayed request counts: without any, an entry that is cut off
    /// would keep what it assumed when it started.
    fn is_timed(&self) -> bool {
        let paths = self.context.paths.lock();
        self.is_relayed || paths.is_whole_since(&self.request.backend, self.request.sent_at)
    }

    /// Notes the time that the server took for an event, while it did little else.
    pub fn note_event_time(&self, event_time: Duration) {
        if !self.context.settings.load.server_pace || !self.is_timed() {
            return;
        }
        let now = self.context.now();
        let mut backends = self.context.backends.lock();
        backends.note_event_time(now, &self.request.backend, event_time);
    }

    /// Notes that the first event has arrived, which means that the prefill of the
    /// prompt is done.
    pub fn note_first_event(&mut self) {
        if std::mem::replace(&mut self.is_prefilled, true) {
            return;
        }
        let is_timed = self.is_timed();
        let now = self.context.now();
        let took = now.since(self.request.sent_at);
        let mut backends = self.context.backends.lock();
        if backends.count_period() == self.request.count_period {
            backends.note_prefilled(&self.request.backend, self.request.prefill_tokens);
        }
        // The way through another entry would make prompts seem slow to read.
        if self.request.tokens_ahead == 0 && is_timed && !self.is_relayed {
            backends.note_first_event(&self.request.backend, self.request.prefill_tokens, took);
        }
        if let Some(work) = &mut self.request.work {
            work.note_first_event(now);
            if let Some(run) = work.run() {
                backends.note_run_began(now, &self.request.backend, run);
            }
        }
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        let is_timed = self.is_timed();
        let elapsed = self.context.now().since(self.request.sent_at);
        let mut backends = self.context.backends.lock();
        let is_counted = backends.count_period() == self.request.count_period;
        if !self.is_prefilled && is_counted {
            backends.note_prefilled(&self.request.backend, self.request.prefill_tokens);
        }
        if is_counted {
            let elapsed = is_timed.then_some(elapsed);
            backends.note_finished(&self.request.backend, elapsed, self.request.had_free_slot);
        }
        if let Some(run) = self.request.work.as_ref().and_then(SentWork::run) {
            backends.remove_run(&self.request.backend, run);
        }
        drop(backends);
        self.context
            .incarnations
            .untrack_request(&self.request.backend);
        self.context.slot_freed.notify_waiters();
        if !self.is_resolved.load(Ordering::Relaxed) {
            let (backend, address) = (self.backend(), self.request.address);
            watch_released(&self.context, backend, address, self.run());
        }
    }
}
