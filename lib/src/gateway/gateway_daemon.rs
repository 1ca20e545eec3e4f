//! Starts and stops a gateway entry.

use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use metrics::counter;
use metrics::gauge;
use slog::Logger;
use slog::info;
use slog::o;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::answer_delivery::DeliveryCount;
use crate::gateway::call_service::serve_call;
use crate::gateway::config_log::follow_config;
use crate::gateway::crash_detector::maintain_crashes;
use crate::gateway::duty_task::run_duties;
use crate::gateway::entry_discovery::discover_entries;
use crate::gateway::fatal_sync::read_without_lease;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::gateway_context::PlatformAdapters;
use crate::gateway::gateway_settings::GatewaySettings;
use crate::gateway::gossip_receiver::receive_gossip;
use crate::gateway::gossip_task::answer_pull;
use crate::gateway::gossip_task::receive_part;
use crate::gateway::gossip_task::run_gossip;
use crate::gateway::lease_task::maintain_lease;
use crate::gateway::path_monitor::monitor_paths;
use crate::gateway::relay_server::serve_relay_connection;
use crate::gateway::retry_exchange::report_usage;
use crate::gateway::rollout_task::run_rollouts;
use crate::gateway::state_sizes::SizeReporter;
use crate::gateway::store_task::follow_backends;
use crate::gateway::stream_exchange::receive_stream_notice;
use crate::gateway::stream_exchange::receive_stream_query;
use crate::gateway::stream_exchange::receive_stream_reply;
use crate::gateway::stream_exchange::run_stream_notices;
use crate::gateway::stream_store::flush_streams;
use crate::http_server::serve_connections;
use crate::metrics_export;
use crate::peer_link::receive_frames_or_requests;
use crate::quantity::Timestamp;
use crate::wire::PeerMessage;

/// How long after SIGTERM new requests are still served. The platform checks the
/// readiness every second and stops sending callers after two failed checks.
const SERVE_AFTER_STOP: Duration = Duration::from_millis(2_600);
/// How long before the end of the grace period the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// The interval of checks whether all answers have arrived.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The interval at which expired state is removed and the gauges are set.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);
/// The path that serves the metrics.
const METRICS_PATH: &str = "/metrics";

/// Why a gateway entry could not start.
#[derive(Debug)]
pub enum GatewayError {
    /// Listening on an address failed.
    Listen(SocketAddr, std::io::Error),
}

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, error) => write!(f, "cannot listen on {address}: {error}"),
        }
    }
}

impl std::error::Error for GatewayError {}

/// A running gateway entry.
#[derive(Debug)]
pub struct GatewayDaemon {
    context: Arc<GatewayContext>,
}

impl GatewayDaemon {
    /// Starts an entry. Must be called within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// See [`GatewayError`].
    pub async fn start(
        settings: GatewaySettings,
        platform: PlatformAdapters,
        log: Logger,
    ) -> Result<Self, GatewayError> {
        metrics_export::install_metrics();
        let caller_listener = listen(settings.caller_address).await?;
        let readiness_listener = listen(settings.readiness_address).await?;
        let peer_listener = listen(settings.peer_address).await?;
        let metrics_listener = match settings.metrics_address {
            Some(address) => Some(listen(address).await?),
            None => None,
        };
        let log = log.new(o!("entry" => settings.name.to_string()));
        let context = GatewayContext::new(settings, platform, log);
        info!(context.log, "starting"; "zone" => %context.settings.zone, "incarnation" => %context.incarnation,
            "callers" => %context.settings.caller_address);
        serve_readiness(&context, readiness_listener);
        if let Some(listener) = metrics_listener {
            serve_metrics(&context, listener);
        }
        serve_callers(&context, caller_listener);
        start_tasks(&context, peer_listener);
        Ok(Self { context })
    }

    /// Returns the shared state of this entry.
    pub fn context(&self) -> &Arc<GatewayContext> {
        &self.context
    }

    /// Stops the entry gracefully. It first reports that it is not ready and still
    /// serves new requests, then refuses them and waits until the open ones have
    /// their answers and these have reached their callers, at most until shortly
    /// before the end of the grace period.
    pub async fn stop(self) {
        let context = self.context;
        let stop_began = context.now();
        let grace = context.settings.bounds.grace;
        context.begin_draining();
        context.deliveries.watch();
        info!(context.log, "stopping"; "open_requests" => context.open_calls(),
            "grace_ms" => grace.as_millis() as u64);
        let serve_time = SERVE_AFTER_STOP.min(grace / 2);
        tokio::time::sleep(serve_time).await;
        context.begin_refusing();
        let drain_end = stop_began.after(grace.saturating_sub(EXIT_MARGIN));
        if context.deliveries.open() > 0 {
            info!(context.log, "waiting for callers"; "open_requests" => context.open_calls(),
                "unread_answers" => context.deliveries.open(),
                "until_ms" => drain_end.since(stop_began).as_millis() as u64);
        }
        while context.deliveries.open() > 0 && context.now() < drain_end {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        flush_streams(&context, drain_end).await;
        info!(context.log, "stopped"; "open_requests" => context.open_calls(),
            "unread_answers" => context.deliveries.open(),
            "after_ms" => context.now().since(stop_began).as_millis() as u64);
        context.stop.cancel();
    }

    /// Stops the entry at once.
    pub fn kill(&self) {
        self.context.stop.cancel();
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| GatewayError::Listen(address, error))
}

fn serve_callers(context: &Arc<GatewayContext>, listener: TcpListener) {
    let shared = Arc::clone(context);
    let service = move |_: SocketAddr| {
        let context = Arc::clone(&shared);
        service_fn(move |request: Request<Incoming>| {
            let context = Arc::clone(&context);
            async move {
                let call_guard = context.track_call();
                let response = serve_call(context, request).await;
                drop(call_guard);
                Ok::<_, Infallible>(response)
            }
        })
    };
    let deliveries = context.deliveries.clone();
    spawn_server(context, listener, service, deliveries);
}

fn spawn_server<M, S, B>(
    context: &Arc<GatewayContext>,
    listener: TcpListener,
    make_service: M,
    deliveries: DeliveryCount,
) where
    M: Fn(SocketAddr) -> S + Send + 'static,
    S: hyper::service::Service<Request<Incoming>, Response = Response<B>, Error = Infallible>
        + Send
        + 'static,
    S::Future: Send + 'static,
    B: hyper::body::Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let stop = context.stop.clone();
    tokio::spawn(serve_connections(
        listener,
        make_service,
        stop,
        Duration::ZERO,
        deliveries,
    ));
}

fn serve_readiness(context: &Arc<GatewayContext>, listener: TcpListener) {
    let shared = Arc::clone(context);
    let service = move |_: SocketAddr| {
        let context = Arc::clone(&shared);
        service_fn(move |request: Request<Incoming>| {
            let is_known_path = request.uri().path() == context.platform.format.readiness_path();
            let status = match (is_known_path, context.is_ready()) {
                (true, true) => StatusCode::OK,
                (true, false) => StatusCode::SERVICE_UNAVAILABLE,
                (false, _) => StatusCode::NOT_FOUND,
            };
            async move { Ok::<_, Infallible>(short_response(status, Bytes::new())) }
        })
    };
    spawn_server(context, listener, service, DeliveryCount::default());
}

fn serve_metrics(context: &Arc<GatewayContext>, listener: TcpListener) {
    let service = move |_: SocketAddr| {
        service_fn(move |request: Request<Incoming>| {
            let is_known_path = request.uri().path() == METRICS_PATH;
            async move {
                Ok::<_, Infallible>(if is_known_path {
                    let text = metrics_export::render_metrics();
                    short_response(StatusCode::OK, Bytes::from(text))
                } else {
                    short_response(StatusCode::NOT_FOUND, Bytes::new())
                })
            }
        })
    };
    spawn_server(context, listener, service, DeliveryCount::default());
}

fn short_response(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

fn start_tasks(context: &Arc<GatewayContext>, peer_listener: TcpListener) {
    let message_context = Arc::clone(context);
    let receive = move |message| receive_message(&message_context, message);
    let (stop, log) = (context.stop.clone(), context.log.clone());
    let relay_context = Arc::clone(context);
    let serve = move |socket| serve_relay_connection(Arc::clone(&relay_context), socket);
    tokio::spawn(receive_frames_or_requests(
        peer_listener,
        stop,
        log,
        receive,
        serve,
    ));
    let shared_context = || Arc::clone(context);
    spawn_until_stop(&context.stop, follow_config(shared_context()));
    spawn_until_stop(&context.stop, follow_backends(shared_context()));
    spawn_until_stop(&context.stop, discover_entries(shared_context()));
    spawn_until_stop(&context.stop, run_gossip(shared_context()));
    spawn_until_stop(&context.stop, run_stream_notices(shared_context()));
    spawn_until_stop(&context.stop, maintain_lease(shared_context()));
    spawn_until_stop(&context.stop, run_duties(shared_context()));
    spawn_until_stop(&context.stop, run_rollouts(shared_context()));
    spawn_until_stop(&context.stop, read_without_lease(shared_context()));
    spawn_until_stop(&context.stop, monitor_paths(shared_context()));
    spawn_until_stop(&context.stop, run_maintenance(shared_context()));
}

fn receive_message(context: &GatewayContext, message: PeerMessage) {
    match message {
        PeerMessage::News(gossip) => receive_gossip(context, *gossip),
        PeerMessage::DocumentPull(pull) => answer_pull(context, &pull),
        PeerMessage::DocumentPart(part) => receive_part(context, &part),
        PeerMessage::StreamNotice(notice) => receive_stream_notice(context, &notice),
        PeerMessage::StreamQuery(query) => receive_stream_query(context, &query),
        PeerMessage::StreamReply(reply) => receive_stream_reply(context, &reply),
        _ => slog::warn!(context.log, "peer message refused"; "cause" => "not for a gateway"),
    }
}

async fn run_maintenance(context: Arc<GatewayContext>) {
    let mut sizes = SizeReporter::default();
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        context.pool.close_expired();
        context.config.lock().drop_unrequested(context.now());
        // An entry without usage of its own still receives the counts of others.
        let window = context.usage_window();
        context.usage.lock().drop_old(window);
        maintain_crashes(&context);
        let dropped = context.log_budget.lock().take_dropped();
        if dropped > 0 {
            counter!("cloverbend_log_lines_dropped_total").increment(dropped);
            info!(context.log, "log lines dropped"; "lines" => dropped);
        }
        let change_counts = context.change_counts.lock().take();
        if let Some(change_counts) = change_counts {
            info!(context.log, "backend server changes received"; "joined" => change_counts.joined,
                "leaving" => change_counts.draining, "gone" => change_counts.gone);
        }
        report_usage(&context);
        record_gauges(&context, &mut sizes);
        metrics_export::run_upkeep();
    }
}

/// Sets the gauges: ages of the configuration and the backend list in seconds,
/// and sizes of tables.
fn record_gauges(context: &GatewayContext, sizes: &mut SizeReporter) {
    let now = context.now();
    let seconds = |at: Option<Timestamp>| at.map_or(-1.0, |at| now.since(at).as_secs_f64());
    let confirmed_at = context.config.lock().confirmed_at();
    gauge!("cloverbend_config_age_seconds").set(seconds(confirmed_at));
    let backends = context.backends.lock();
    gauge!("cloverbend_backends_age_seconds").set(seconds(backends.confirmed_at()));
    gauge!("cloverbend_backends").set(backends.iter().count() as f64);
    drop(backends);
    let entry_counts = context.peers.lock().entry_counts(now);
    gauge!("cloverbend_entries").set(entry_counts.entries as f64);
    gauge!("cloverbend_entries_heard").set(entry_counts.reachable as f64);
    gauge!("cloverbend_open_requests").set(context.open_calls() as f64);
    gauge!("cloverbend_held_bytes").set(context.byte_budget.used() as f64);
    gauge!("cloverbend_backend_idle_connections").set(context.pool.idle_count() as f64);
    let limits = context.server_limits.lock().reports.limits().count();
    gauge!("cloverbend_backend_limits").set(limits as f64);
    let streams = context.streams.lock().count();
    gauge!("cloverbend_streams_known").set(streams as f64);
    gauge!("cloverbend_suspended_seconds").set(context.clock.suspended().as_secs_f64());
    let crashes = context.crashes.lock();
    gauge!("cloverbend_fatal_requests").set(crashes.fatal_groups().len() as f64);
    gauge!("cloverbend_suspected_parts").set(crashes.suspected_groups().len() as f64);
    drop(crashes);
    let has_lease = context.lease.lock().valid_lease(now).is_some();
    gauge!("cloverbend_lease_held").set(f64::from(u8::from(has_lease)));
    sizes.report(context);
}

fn spawn_until_stop<F>(stop: &CancellationToken, task: F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let stop = stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = task => {}
        }
    });
}
