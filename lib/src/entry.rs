//! An entry daemon as a whole: its start, its planned stop, its end.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::api::build_api;
use crate::config_task;
use crate::entry_context::EntryContext;
use crate::holder_action::HolderPhase;
use crate::http_server::serve_router;
use crate::member_record::MemberState;
use crate::member_task;
use crate::metrics_export;
use crate::pair::RequestKey;
use crate::peer_link::receive_frames;
use crate::plan_task;
use crate::platform_task;
use crate::request_table::RequestTable;
use crate::request_work::RESEND_AFTER;
use crate::settings::EntrySettings;
use crate::trace::CollectorError;
use crate::trace::SpanSource;

/// The part of a reclaim notice that is kept for handing over.
const HAND_OVER_TIME: Duration = Duration::from_millis(1_500);
/// How long handed-over streams are relayed before their callers are cut, who
/// then continue elsewhere.
const RELAY_TIME: Duration = Duration::from_secs(2);
/// The time between looks at whether a stop is done.
const STOP_CHECK: Duration = Duration::from_millis(20);
/// The time between sweeps of old requests.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Why an entry did not start.
#[derive(Debug)]
pub enum EntryError {
    /// An address cannot be listened on.
    Listen(SocketAddr, io::Error),
    /// The collector of the settings cannot be used.
    Collector(CollectorError),
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, error) => write!(f, "cannot listen on {address}: {error}"),
            Self::Collector(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for EntryError {}

/// When an entry must have stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopOrder {
    None,
    /// A planned stop: nobody presses.
    Planned,
    /// The VM will be taken back at this time.
    Reclaimed(Instant),
}

/// A running entry daemon.
#[derive(Debug)]
pub struct EntryDaemon {
    context: Arc<EntryContext>,
    order: watch::Sender<StopOrder>,
    done: JoinHandle<()>,
}

impl EntryDaemon {
    /// Starts an entry. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// See [`EntryError`].
    pub async fn start(settings: EntrySettings, log: Logger) -> Result<Self, EntryError> {
        metrics_export::install_metrics();
        let spans = SpanSource::new(
            settings.name.as_str(),
            settings.kept_spans,
            settings.collector.as_ref(),
        )
        .map_err(EntryError::Collector)?;
        let peer_listener = listen(settings.peer_address).await?;
        let http_listener = listen(settings.http_address).await?;
        let context = EntryContext::new(settings, spans, log);
        info!(context.log, "starting"; "entry" => %context.settings.name,
            "incarnation" => %context.incarnation, "address" => %context.settings.http_address);
        let (order, _) = watch::channel(StopOrder::None);
        let stop_accepting = CancellationToken::new();
        let server = tokio::spawn(serve_router(
            http_listener,
            build_api(Arc::clone(&context)),
            stop_accepting.clone(),
            RELAY_TIME,
        ));
        start_tasks(&context, peer_listener, &order);
        let done = tokio::spawn(stop_when_ordered(
            Arc::clone(&context),
            order.subscribe(),
            stop_accepting,
            server,
        ));
        Ok(Self {
            context,
            order,
            done,
        })
    }

    /// Returns what the parts of this entry share.
    pub fn context(&self) -> &Arc<EntryContext> {
        &self.context
    }

    /// Orders a planned stop. It cuts off no request.
    pub fn stop(&self) {
        self.order.send_if_modified(|order| {
            let first = *order == StopOrder::None;
            if first {
                *order = StopOrder::Planned;
            }
            first
        });
    }

    /// Waits until the entry has stopped.
    pub async fn stopped(self) {
        // A panic in the stop was logged by its thread; there is no more to do.
        let _ = self.done.await;
    }

    /// Ends the entry at once, as the death of its process does.
    pub fn kill(&self) {
        self.context.stop.cancel();
        self.done.abort();
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, EntryError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| EntryError::Listen(address, error))
}

fn start_tasks(
    context: &Arc<EntryContext>,
    peer_listener: TcpListener,
    order: &watch::Sender<StopOrder>,
) {
    let receiving = Arc::clone(context);
    let receive = move |message| receiving.receive(message);
    let stop = context.stop.clone();
    let log = context.log.clone();
    tokio::spawn(receive_frames(peer_listener, stop, log, receive));
    let order = order.clone();
    let reclaimed = move |left: Duration| {
        let at = Instant::now() + left;
        order.send_if_modified(|order| {
            let sooner = match *order {
                StopOrder::Reclaimed(other) => at < other,
                StopOrder::None | StopOrder::Planned => true,
            };
            if sooner {
                *order = StopOrder::Reclaimed(at);
            }
            sooner
        });
    };
    let share = || Arc::clone(context);
    spawn_until_stop(context, config_task::follow_log(share()));
    spawn_until_stop(context, config_task::pull_from_entries(share()));
    spawn_until_stop(context, member_task::run_membership(share()));
    spawn_until_stop(context, member_task::keep_pair(share()));
    spawn_until_stop(context, platform_task::follow_vms(share()));
    spawn_until_stop(context, platform_task::follow_engines(share()));
    spawn_until_stop(context, platform_task::follow_notices(share(), reclaimed));
    spawn_until_stop(context, plan_task::plan_vms(share()));
    spawn_until_stop(context, resend_pending(share()));
    spawn_until_stop(context, sweep(share()));
}

fn spawn_until_stop<F>(context: &Arc<EntryContext>, task: F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let stop = context.stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = task => {}
        }
    });
}

async fn resend_pending(context: Arc<EntryContext>) {
    loop {
        tokio::time::sleep(RESEND_AFTER / 2).await;
        context.resend_pending();
    }
}

async fn sweep(context: Arc<EntryContext>) {
    let lifetime = context.settings.limits.ticket_lifetime;
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        let now = context.now();
        context.tables.requests.lock().expire(now, lifetime);
        metrics_export::run_upkeep();
    }
}

async fn stop_when_ordered(
    context: Arc<EntryContext>,
    mut order: watch::Receiver<StopOrder>,
    stop_accepting: CancellationToken,
    server: JoinHandle<()>,
) {
    let ordered = |order: &StopOrder| *order != StopOrder::None;
    if order.wait_for(ordered).await.is_err() {
        return;
    }
    announce_leaving(&context);
    let drain = context.settings.limits.drain;
    let begun = Instant::now();
    // Callers with an old answer keep coming until it expires.
    wait_or_pressed(&order, begun + context.answers_live_for()).await;
    leave(&context);
    wait_idle(&context, &order, begun + drain).await;
    wait_handed_over(&context, &order).await;
    stop_accepting.cancel();
    // Relayed streams go on for a while; their callers continue elsewhere.
    let _ = server.await;
    info!(context.log, "stopped");
    context.spans.flush();
    context.stop.cancel();
}

fn announce_leaving(context: &Arc<EntryContext>) {
    info!(context.log, "leaving");
    let actions = {
        let mut members = context.tables.members.lock();
        members.update_own(|own| own.state = MemberState::Leaving)
    };
    context.run_gossip_actions(actions);
}

fn leave(context: &Arc<EntryContext>) {
    let mut table = context.tables.requests.lock();
    let actions = table.holder.leave();
    context.run_holder_actions(&mut table, actions);
}

fn pressed_at(order: &watch::Receiver<StopOrder>) -> Option<Instant> {
    match *order.borrow() {
        StopOrder::Reclaimed(at) => Some(at.checked_sub(HAND_OVER_TIME).unwrap_or(at)),
        StopOrder::None | StopOrder::Planned => None,
    }
}

/// Waits until `until`, or until a reclaim leaves only time to hand over.
async fn wait_or_pressed(order: &watch::Receiver<StopOrder>, until: Instant) {
    loop {
        let pressed = pressed_at(order);
        // With a reclaim coming, addresses that callers keep do not matter as
        // much as the time to finish what runs.
        let until = pressed.map_or(until, |at| at.min(until));
        if Instant::now() >= until {
            return;
        }
        tokio::time::sleep(STOP_CHECK.min(until - Instant::now())).await;
    }
}

async fn wait_idle(
    context: &Arc<EntryContext>,
    order: &watch::Receiver<StopOrder>,
    until: Instant,
) {
    loop {
        let open = context.open_requests();
        let pressed = pressed_at(order);
        let until = pressed.map_or(until, |at| at.min(until));
        if open == 0 || Instant::now() >= until {
            return;
        }
        tokio::time::sleep(STOP_CHECK).await;
    }
}

/// Hands running requests over whose mirror has every chunk that their callers
/// were shown; it would continue the others from fewer, with other words.
/// Returns whether some still wait.
fn hand_over(context: &Arc<EntryContext>) -> bool {
    let mut table = context.tables.requests.lock();
    let running: Vec<RequestKey> = table
        .holder
        .open_requests()
        .filter(|(_, phase)| *phase == HolderPhase::Running)
        .map(|(key, _)| key)
        .collect();
    for key in running {
        if !mirror_has_shown(&table, key) {
            context.send_progress(&mut table, key, false);
            continue;
        }
        let actions = table.holder.pass_on_running(key);
        context.run_holder_actions(&mut table, actions);
    }
    let mut open = table.holder.open_requests();
    open.any(|(key, phase)| match phase {
        HolderPhase::PassingOn => true,
        HolderPhase::Running => !mirror_has_shown(&table, key),
        _ => false,
    })
}

fn mirror_has_shown(table: &RequestTable, key: RequestKey) -> bool {
    let carrier = table.holder.carrier(key);
    let entry = table.answers.get(&key);
    carrier
        .zip(entry)
        .is_none_or(|(carrier, entry)| entry.copied_length(carrier) >= entry.log.confirmed())
}

async fn wait_handed_over(context: &Arc<EntryContext>, order: &watch::Receiver<StopOrder>) {
    let open = context.open_requests();
    if open > 0 {
        warn!(context.log, "handing over"; "requests" => open);
    }
    let begun = Instant::now();
    let last = match *order.borrow() {
        StopOrder::Reclaimed(at) => at,
        StopOrder::None | StopOrder::Planned => begun + HAND_OVER_TIME,
    };
    while hand_over(context) && Instant::now() < last {
        tokio::time::sleep(STOP_CHECK).await;
    }
}
