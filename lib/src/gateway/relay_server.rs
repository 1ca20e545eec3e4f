//! Relays requests of other entries that are cut off from backend servers.
//!
//! A request is sent once, to the server that the other entry named, at the address that
//! this entry has listed for it. It is never relayed onward. Accounts, limits and retries
//! are not considered here: the other entry has counted the request.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::str::FromStr;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Version;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::Either;
use http_body_util::Empty;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use metrics::counter;
use metrics::gauge;
use subtle::ConstantTimeEq;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Sleep;

use crate::abortable_socket::abortable;
use crate::answer_delivery::AnswerDeadline;
use crate::answer_delivery::AnswerDelivery;
use crate::gateway::backend_pool::Exchange;
use crate::gateway::backend_pool::ExchangeError;
use crate::gateway::backend_pool::PooledConnection;
use crate::gateway::backend_record::BackendId;
use crate::gateway::byte_budget::BudgetedBuffer;
use crate::gateway::call_admission::strip_hop_headers;
use crate::gateway::call_body::discard_rest;
use crate::gateway::gateway_context::CallGuard;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::limit_exchange::count_limited_relay;
use crate::gateway::path_monitor::doubt_path;
use crate::gateway::path_monitor::note_path_success;
use crate::gateway::relay_client::RELAY_ENTRY;
use crate::gateway::relay_client::RELAY_FRAMING;
use crate::gateway::relay_client::RELAY_RESULT;
use crate::gateway::relay_client::RELAY_SERVER;
use crate::gateway::relay_client::RELAY_START;
use crate::gateway::relay_client::RELAY_TIME_LEFT;
use crate::gateway::relay_client::RelayResult;
use crate::gateway::response_framing::ResponseFraming;
use crate::gateway::server_paths::ServerPath;

/// How long another entry may take to send the head of a request, and keep a connection
/// open without a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(20);
/// The largest read buffer of a connection.
const READ_BUFFER_BYTES: usize = 64 * 1_024;
/// The most headers of a request: as many as the HTTP library takes from a caller, and those
/// that the other entry adds.
const MAX_HEADERS: usize = 128;
/// The longest time for which a request is relayed, in milliseconds.
const MAX_TIME_LEFT_MS: u64 = 600_000;

/// The most bytes of a request that are read after it was refused.
const MAX_DISCARDED_BYTES: usize = 16 * 1_024 * 1_024;

/// A response to another entry: that of the backend server, or an empty one.
type RelayResponse = Response<Either<RelayedBody, Empty<Bytes>>>;

/// Serves one connection of another entry until it ends.
pub async fn serve_relay_connection(context: Arc<GatewayContext>, socket: TcpStream) {
    // Small events must not wait for one another; a failure only adds delay.
    let _ = socket.set_nodelay(true);
    let delivery = AnswerDelivery::new(context.deliveries.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let context = Arc::clone(&context);
        async move { Ok::<_, Infallible>(serve_relay(context, request).await) }
    });
    let (socket, service) = abortable(socket, service, &delivery);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .max_buf_size(READ_BUFFER_BYTES)
        .max_headers(MAX_HEADERS)
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(socket), service);
    delivery.drive(connection).await;
}

async fn serve_relay(context: Arc<GatewayContext>, request: Request<Incoming>) -> RelayResponse {
    match relay_once(&context, request).await {
        Ok(response) => {
            count(RelayResult::Answer);
            response.map(Either::Left)
        }
        Err(result) => {
            count(result);
            let mut response = Response::new(Either::Right(Empty::new()));
            *response.status_mut() = match result {
                RelayResult::WrongEntry => StatusCode::FORBIDDEN,
                RelayResult::NotSent | RelayResult::Lost => StatusCode::BAD_GATEWAY,
                _ => StatusCode::SERVICE_UNAVAILABLE,
            };
            mark(response.headers_mut(), result);
            response
        }
    }
}

fn count(result: RelayResult) {
    counter!("cloverbend_relayed_for_others_total", "outcome" => result.code()).increment(1);
}

fn mark(headers: &mut HeaderMap, result: RelayResult) {
    headers.insert(RELAY_RESULT, HeaderValue::from_static(result.code()));
}

async fn relay_once(
    context: &Arc<GatewayContext>,
    request: Request<Incoming>,
) -> Result<Response<RelayedBody>, RelayResult> {
    let (parts, body) = request.into_parts();
    if !is_for_this_entry(context, &parts.headers) {
        return Err(RelayResult::WrongEntry);
    }
    let (backend, address) = match check_request(context, &parts.headers) {
        Ok(checked) => checked,
        Err(result) => {
            // With unread bytes, the connection would be reset, and the other entry might
            // not see that nothing was sent.
            discard_rest(body, MAX_DISCARDED_BYTES).await;
            return Err(result);
        }
    };
    send_once(context, parts, body, &backend, address).await
}

/// Finds the server that a request names, if this entry can relay to it.
fn check_request(
    context: &GatewayContext,
    headers: &HeaderMap,
) -> Result<(BackendId, SocketAddr), RelayResult> {
    if context.is_refusing() || context.is_draining() {
        return Err(RelayResult::Draining);
    }
    if context.relay_room.available_permits() == 0 {
        return Err(RelayResult::NoRoom);
    }
    let backend = read_backend(headers).ok_or(RelayResult::UnknownServer)?;
    let paths = context.paths.lock();
    let path = paths.path(context.now(), &backend);
    let is_cut_off = paths.is_cut_off();
    drop(paths);
    match path {
        ServerPath::Direct => {}
        _ if is_cut_off => return Err(RelayResult::CutOff),
        _ => return Err(RelayResult::NoPath),
    }
    let listed = context
        .backends
        .lock()
        .get(&backend)
        .map(|b| b.record.address);
    let address = listed.ok_or(RelayResult::UnknownServer)?;
    Ok((backend, address))
}

async fn send_once(
    context: &Arc<GatewayContext>,
    parts: Parts,
    body: Incoming,
    backend: &BackendId,
    address: SocketAddr,
) -> Result<Response<RelayedBody>, RelayResult> {
    let mut parts = parts;
    let time_left = read_header::<u64>(&parts.headers, &RELAY_TIME_LEFT).unwrap_or_default();
    let time_left = Duration::from_millis(time_left.min(MAX_TIME_LEFT_MS));
    let deadline = context.now().after(time_left);
    let room = Arc::clone(&context.relay_room).try_acquire_owned();
    let room = OpenRelay::new(context, room.map_err(|_| RelayResult::NoRoom)?);
    let body = collect_body(context, body);
    let body = context.clock.timeout_at(deadline, body).await;
    let body = body.unwrap_or(Err(RelayResult::NoRoom))?;
    for name in [RELAY_ENTRY, RELAY_SERVER, RELAY_START, RELAY_TIME_LEFT] {
        parts.headers.remove(name);
    }
    parts.headers = strip_hop_headers(parts.headers);
    let request = Request::from_parts(parts, Full::new(body));
    count_limited_relay(context, backend);
    let exchange = context.pool.exchange(backend, address, request);
    let exchange = match context.clock.timeout_at(deadline, exchange).await {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(ExchangeError::NotSent(_))) => {
            doubt_path(context, backend);
            return Err(RelayResult::NotSent);
        }
        Ok(Err(ExchangeError::Lost(_))) => {
            doubt_path(context, backend);
            return Err(RelayResult::Lost);
        }
        Err(_) => return Err(RelayResult::Lost),
    };
    context.note_server_bytes();
    note_path_success(context, backend);
    let sleep = Box::pin(tokio::time::sleep(context.clock.left(deadline)));
    let answer_deadline = AnswerDeadline(sleep.deadline());
    let mut response = relayed_response(context, backend.clone(), exchange, room, sleep);
    response.extensions_mut().insert(answer_deadline);
    Ok(response)
}

/// Returns whether a request names this incarnation, which nobody but an entry knows.
fn is_for_this_entry(context: &GatewayContext, headers: &HeaderMap) -> bool {
    let named = headers.get(RELAY_ENTRY).map(HeaderValue::as_bytes);
    let own = context.incarnation.to_string();
    named.is_some_and(|named| bool::from(named.ct_eq(own.as_bytes())))
}

fn read_backend(headers: &HeaderMap) -> Option<BackendId> {
    let name: String = read_header(headers, &RELAY_SERVER)?;
    let start = read_header(headers, &RELAY_START)?;
    Some(BackendId::with_start(name, start))
}

fn read_header<T: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Collects the body of a request. A body that does not arrive says nothing about the server.
async fn collect_body(context: &GatewayContext, body: Incoming) -> Result<Bytes, RelayResult> {
    let mut body = body;
    let mut buffer = BudgetedBuffer::new(&context.byte_budget);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RelayResult::NoRoom)?;
        if let Some(data) = frame.data_ref() {
            buffer.push(data).map_err(|_| RelayResult::NoRoom)?;
        }
    }
    Ok(buffer.freeze())
}

fn relayed_response(
    context: &Arc<GatewayContext>,
    backend: BackendId,
    exchange: Exchange,
    open_relay: OpenRelay,
    deadline: Pin<Box<Sleep>>,
) -> Response<RelayedBody> {
    let framing = ResponseFraming::of(&exchange.response);
    let (mut parts, body) = exchange.response.into_parts();
    let is_ended_by_close = framing == ResponseFraming::Close && !body.is_end_stream();
    let head = context
        .platform
        .format
        .decode_response(parts.status, &parts.headers);
    parts.version = Version::HTTP_11;
    parts.headers = strip_hop_headers(parts.headers);
    mark(&mut parts.headers, RelayResult::Answer);
    // A backend server may name this header itself.
    parts.headers.remove(RELAY_FRAMING);
    if is_ended_by_close {
        let label = HeaderValue::from_static(framing.label());
        parts.headers.insert(RELAY_FRAMING, label);
    }
    let mut body = RelayedBody {
        context: Arc::clone(context),
        backend,
        body,
        connection: Some(exchange.connection),
        keep_alive: head.keep_alive,
        lacks_end: is_ended_by_close,
        deadline,
        _open_relay: open_relay,
    };
    body.return_if_ended();
    Response::from_parts(parts, body)
}

/// Counts an open request of another entry until it is dropped.
struct OpenRelay {
    context: Arc<GatewayContext>,
    _permit: OwnedSemaphorePermit,
    _call_guard: CallGuard,
}

impl OpenRelay {
    fn new(context: &Arc<GatewayContext>, permit: OwnedSemaphorePermit) -> Self {
        gauge!("cloverbend_open_relayed_requests").increment(1.0);
        Self {
            context: Arc::clone(context),
            _permit: permit,
            _call_guard: context.track_call(),
        }
    }
}

impl Drop for OpenRelay {
    fn drop(&mut self) {
        gauge!("cloverbend_open_relayed_requests").decrement(1.0);
        self.context.slot_freed.notify_waiters();
    }
}

/// The body of a backend server's response, passed on as it comes. If it breaks, the
/// response to the other entry breaks too.
struct RelayedBody {
    context: Arc<GatewayContext>,
    backend: BackendId,
    body: Incoming,
    connection: Option<PooledConnection>,
    keep_alive: Option<Duration>,
    /// Whether nothing has come of a response that only the end of its connection ends.
    /// Such an end is no sign that the response is complete.
    lacks_end: bool,
    deadline: Pin<Box<Sleep>>,
    _open_relay: OpenRelay,
}

impl RelayedBody {
    /// Returns the connection to the pool once the body was read completely.
    fn return_if_ended(&mut self) {
        if self.body.is_end_stream() {
            self.return_connection();
        }
    }

    fn return_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            let pool = &self.context.pool;
            pool.return_connection(&self.backend, connection, self.keep_alive);
        }
    }
}

impl Body for RelayedBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.context.note_server_bytes();
                self.lacks_end = false;
                self.return_if_ended();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.connection = None;
                Poll::Ready(Some(Err(std::io::Error::other(error))))
            }
            Poll::Ready(None) if self.lacks_end => {
                let error = std::io::ErrorKind::UnexpectedEof.into();
                Poll::Ready(Some(Err(error)))
            }
            Poll::Ready(None) => {
                self.return_connection();
                Poll::Ready(None)
            }
            Poll::Pending => match self.deadline.as_mut().poll(cx) {
                Poll::Ready(()) => {
                    let error = std::io::ErrorKind::TimedOut.into();
                    Poll::Ready(Some(Err(error)))
                }
                Poll::Pending => Poll::Pending,
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
