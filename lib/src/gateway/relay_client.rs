//! Sends a request to a backend server, directly or through another entry.
//!
//! All decisions about a request stay at this entry, also if another one relays it: the
//! server, retries, limits and deadlines. The other entry sends it once, to that server
//! only.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http_body_util::Full;
use metrics::counter;
use rand::Rng;

use crate::gateway::backend_pool::Exchange;
use crate::gateway::backend_pool::ExchangeError;
use crate::gateway::backend_record::BackendId;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::path_monitor::doubt_path;
use crate::gateway::path_monitor::note_path_failure;
use crate::gateway::path_monitor::note_path_success;
use crate::gateway::relay_helpers::HelperUse;
use crate::gateway::response_framing::ResponseFraming;
use crate::gateway::server_paths::ServerPath;
use crate::id::Incarnation;
use crate::quantity::Timestamp;

/// The incarnation of the entry that shall relay a request.
pub const RELAY_ENTRY: HeaderName = HeaderName::from_static("cloverbend-relay-entry");
/// The name of the backend server.
pub const RELAY_SERVER: HeaderName = HeaderName::from_static("cloverbend-relay-server");
/// The start of the backend server, as in [`crate::gateway::backend_record::StartTime`].
pub const RELAY_START: HeaderName = HeaderName::from_static("cloverbend-relay-start");
/// The time until the deadline of the request, in milliseconds.
pub const RELAY_TIME_LEFT: HeaderName = HeaderName::from_static("cloverbend-relay-time-left");
/// What became of the request, in a response.
pub const RELAY_RESULT: HeaderName = HeaderName::from_static("cloverbend-relay");

/// How the end of the body is marked, in a response of a backend server that only the end
/// of its connection ends. The way between entries marks each end.
pub const RELAY_FRAMING: HeaderName = HeaderName::from_static("cloverbend-relay-framing");

/// The most entries that are asked to relay one send.
const MAX_HELPERS_TRIED: usize = 3;
/// The number of entries that do not reach a server after which it counts as down.
const DOWN_HELPERS: usize = 2;
/// How long a send may wait for the first list of entries that relay, after this entry began
/// to want one. Hubs reply within two rounds of gossip.
const FIRST_LIST_WAIT: Duration = Duration::from_millis(600);
/// The shortest time left for which another entry is asked.
const MIN_TIME_LEFT: Duration = Duration::from_millis(10);

/// What became of a relayed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayResult {
    /// The backend server responded.
    Answer,
    /// The backend server could not be reached; no byte was sent to it.
    NotSent,
    /// The request may have run.
    Lost,
    /// The request names another incarnation of the entry. Nobody but an entry knows it.
    WrongEntry,
    /// The entry does not know the server.
    UnknownServer,
    /// The entry does not reach the server itself, but others.
    NoPath,
    /// The entry is cut off from backend servers itself.
    CutOff,
    /// The entry is draining.
    Draining,
    /// The entry has no room.
    NoRoom,
}

impl RelayResult {
    /// Every result.
    const ALL: [Self; 9] = [
        Self::Answer,
        Self::NotSent,
        Self::Lost,
        Self::WrongEntry,
        Self::UnknownServer,
        Self::NoPath,
        Self::CutOff,
        Self::Draining,
        Self::NoRoom,
    ];

    /// Returns the code in the response header, which is also the label in metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::NotSent => "not_sent",
            Self::Lost => "lost",
            Self::WrongEntry => "wrong_entry",
            Self::UnknownServer => "unknown_server",
            Self::NoPath => "no_path",
            Self::CutOff => "cut_off",
            Self::Draining => "draining",
            Self::NoRoom => "no_room",
        }
    }

    fn of(headers: &HeaderMap) -> Option<Self> {
        let code = headers.get(RELAY_RESULT)?.to_str().ok()?;
        Self::ALL.into_iter().find(|result| result.code() == code)
    }
}

/// Why a request got no response head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request reached the server.
    NotSent,
    /// The request may have run.
    Lost,
    /// The request may have run, and another entry relayed it.
    RelayLost,
    /// The request may have run. The connection to the entry that relayed it broke, which
    /// says nothing of the server.
    HelperLost,
    /// No other entry can relay the request, and no byte of it reached the server.
    NoPath,
}

impl std::fmt::Display for SendError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::NotSent => "not sent",
            Self::Lost => "lost",
            Self::RelayLost => "lost by another entry",
            Self::HelperLost => "lost with another entry",
            Self::NoPath => "no path",
        })
    }
}

impl std::error::Error for SendError {}

/// The destination of a request.
#[derive(Clone, Copy, Debug)]
pub struct SendTarget<'a> {
    /// The backend server.
    pub backend: &'a BackendId,
    /// Its address.
    pub address: SocketAddr,
    /// The deadline of the request.
    pub deadline: Timestamp,
}

/// Sends a request that `build` returns, and waits for the response head. If the server
/// cannot be reached directly, another entry relays the request; that is no retry, since no
/// byte of it reached the server before.
///
/// # Errors
///
/// See [`SendError`].
pub async fn exchange_by_path(
    context: &GatewayContext,
    target: SendTarget<'_>,
    build: impl Fn() -> Request<Full<Bytes>>,
) -> Result<Exchange, SendError> {
    let path = context.paths.lock().path(context.now(), target.backend);
    match path {
        ServerPath::Down => Err(SendError::NotSent),
        ServerPath::Direct => match send_directly(context, target, &build).await {
            Err(SendError::NotSent) if may_relay(context, target.backend) => {
                relay(context, target, &build).await
            }
            result => result,
        },
        ServerPath::Relayed => match relay(context, target, &build).await {
            // Others may know no path either; this entry has not tried its own yet.
            Err(SendError::NoPath) if !context.paths.lock().is_cut_off() => {
                send_directly(context, target, &build).await
            }
            result => result,
        },
    }
}

async fn send_directly(
    context: &GatewayContext,
    target: SendTarget<'_>,
    build: &impl Fn() -> Request<Full<Bytes>>,
) -> Result<Exchange, SendError> {
    let backend = target.backend;
    let exchange = context.pool.exchange(backend, target.address, build());
    match exchange.await {
        Ok(exchange) => {
            context.note_server_bytes();
            note_path_success(context, backend);
            Ok(exchange)
        }
        Err(ExchangeError::Lost(_)) => {
            doubt_path(context, backend);
            Err(SendError::Lost)
        }
        Err(ExchangeError::NotSent(_)) => {
            note_path_failure(context, backend);
            Err(SendError::NotSent)
        }
    }
}

/// Returns whether another entry may relay requests to a server. A single server that fails
/// is no reason to ask others: it is likely down.
fn may_relay(context: &GatewayContext, id: &BackendId) -> bool {
    let now = context.now();
    let paths = context.paths.lock();
    paths.wants_helpers(now) && paths.may_relay(now, id)
}

/// Has another entry relay a request.
async fn relay(
    context: &GatewayContext,
    target: SendTarget<'_>,
    build: &impl Fn() -> Request<Full<Bytes>>,
) -> Result<Exchange, SendError> {
    wait_for_helpers(context, target.deadline).await;
    let mut tried: Vec<Incarnation> = Vec::new();
    let mut unreached = 0;
    while tried.len() < MAX_HELPERS_TRIED {
        let time_left = context.clock.left(target.deadline);
        if time_left <= MIN_TIME_LEFT {
            break;
        }
        let Some(helper) = choose_helper(context, &tried) else {
            break;
        };
        let incarnation = helper.helper.incarnation;
        let mut request = build();
        add_relay_headers(
            request.headers_mut(),
            incarnation,
            target.backend,
            time_left,
        );
        let mut relay_wait = RelayWait {
            context,
            incarnation,
            has_ended: false,
        };
        let result = {
            let pool = &context.pool;
            pool.exchange_with_helper(target.backend, helper, request)
                .await
        };
        relay_wait.has_ended = true;
        let outcome = match &result {
            // Whoever answers without a result is no entry, and may have used the request.
            Ok(exchange) => {
                Some(RelayResult::of(exchange.response.headers()).unwrap_or(RelayResult::Lost))
            }
            Err(_) => None,
        };
        let label = match &result {
            Err(ExchangeError::Lost(_)) => "helper_lost",
            _ => outcome.map_or("no_connection", RelayResult::code),
        };
        counter!("cloverbend_relayed_sends_total", "outcome" => label).increment(1);
        let mut paths = context.paths.lock();
        match (outcome, result) {
            (Some(RelayResult::Answer), Ok(mut exchange)) => {
                paths.note_relayed(target.backend);
                drop(paths);
                take_relay_marks(&mut exchange.response);
                return Ok(exchange);
            }
            // That is about this server. The entry may reach others.
            (Some(RelayResult::NotSent | RelayResult::UnknownServer | RelayResult::NoPath), _) => {
                drop(paths)
            }
            (Some(RelayResult::Lost), _) => return Err(SendError::RelayLost),
            (_, Err(ExchangeError::Lost(_))) => {
                drop(paths);
                note_helper_lost(context, incarnation);
                return Err(SendError::HelperLost);
            }
            _ => {
                drop(paths);
                context.helpers.lock().suspend(context.now(), incarnation);
            }
        }
        tried.push(incarnation);
        // One entry may lack only the path to this server.
        unreached += usize::from(outcome == Some(RelayResult::NotSent));
        if unreached == DOWN_HELPERS {
            break;
        }
    }
    if unreached == 0 {
        return Err(SendError::NoPath);
    }
    let mut paths = context.paths.lock();
    paths.note_down(context.now(), target.backend);
    Err(SendError::NotSent)
}

/// Notes that a connection to an entry that relays broke under a request. The entry may be
/// lost, or a server broke off behind it: others are asked first, and a connection to it is
/// opened anew, so that nothing is sent to an entry that is gone.
pub fn note_helper_lost(context: &GatewayContext, incarnation: Incarnation) {
    context.helpers.lock().note_slow(context.now(), incarnation);
    context.pool.close_idle_helper(incarnation);
}

/// Removes what the other entry added to a response, and notes the framing that the backend
/// server gave it.
fn take_relay_marks<B>(response: &mut Response<B>) {
    response.headers_mut().remove(RELAY_RESULT);
    if response.headers_mut().remove(RELAY_FRAMING).is_some() {
        response.extensions_mut().insert(ResponseFraming::Close);
    }
}

/// Notes that a helper is slow if it is dropped before a response came.
struct RelayWait<'a> {
    context: &'a GatewayContext,
    incarnation: Incarnation,
    has_ended: bool,
}

impl Drop for RelayWait<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            let now = self.context.now();
            self.context.helpers.lock().note_slow(now, self.incarnation);
        }
    }
}

/// Waits for the first list of entries that relay, for a short time after this entry began
/// to want one.
async fn wait_for_helpers(context: &GatewayContext, deadline: Timestamp) {
    let named = context.helpers_named.notified();
    let Some(since) = context.helpers.lock().list_wanted_since() else {
        return;
    };
    let now = context.now();
    if context.peers.lock().direct_entry_counts(now).entries <= 1 {
        return;
    }
    let left = context.clock.left(deadline).saturating_sub(MIN_TIME_LEFT);
    let until = since.after(FIRST_LIST_WAIT).min(now.after(left));
    // Without a list in time, there is no helper to choose.
    let _ = context.clock.timeout_at(until, named).await;
}

/// Returns the servers that this entry reached directly a short time ago, if it is cut off
/// and no other entry relays. Only they can get a request then.
pub fn only_reachable(context: &GatewayContext) -> Option<HashSet<BackendId>> {
    let now = context.now();
    let paths = context.paths.lock();
    let since = paths.cut_off_since()?;
    let helpers = context.helpers.lock();
    let is_list_due = helpers.is_empty() && now < since.after(FIRST_LIST_WAIT);
    if is_list_due || helpers.has_usable(now) {
        return None;
    }
    Some(paths.reached(now))
}

fn choose_helper(context: &GatewayContext, tried: &[Incarnation]) -> Option<HelperUse> {
    let draws = [rand::rng().random(), rand::rng().random()].map(|draw: u32| draw as usize);
    let now = context.now();
    context.helpers.lock().choose(now, tried, draws)
}

fn add_relay_headers(
    headers: &mut HeaderMap,
    entry: Incarnation,
    backend: &BackendId,
    time_left: Duration,
) {
    let texts = [
        (RELAY_ENTRY, entry.to_string()),
        (RELAY_SERVER, backend.name.to_string()),
        (RELAY_START, backend.start.0.to_string()),
        (RELAY_TIME_LEFT, time_left.as_millis().to_string()),
    ];
    for (name, text) in texts {
        // The caller may have named it. A name that no header can carry is refused as unknown.
        headers.remove(&name);
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(name, value);
        }
    }
}
