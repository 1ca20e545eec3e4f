//! A pool of connections to backend servers, and to entries that relay requests to them,
//! each with one request at a time.
//!
//! A connection is reused only if the previous response was read completely and
//! no bytes followed it: hyper closes a connection if bytes arrive that belong to
//! no request.

use std::collections::HashMap;
use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use metrics::counter;
use parking_lot::Mutex;
use tokio::net::TcpStream;

use crate::boot_clock::BootClock;
use crate::gateway::address_translation::AddressTranslation;
use crate::gateway::backend_record::BackendId;
use crate::gateway::relay_helpers::HelperUse;
use crate::gateway::server_connection::OpenRequest;
use crate::gateway::server_connection::ServerConnection;
use crate::http_client::check_status;
use crate::id::Incarnation;
use crate::quantity::Timestamp;

/// How long a connection may take to open. A round trip within a region takes
/// 2 ms; an unreachable server never responds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a probed connection must stay open: some round trips within a region.
const STAY_OPEN_TIME: Duration = Duration::from_millis(25);
/// How long an idle connection is kept if the server sends no `Keep-Alive`
/// timeout. The shortest timeouts of servers are some seconds.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(2_000);
/// How long before the server's timeout an idle connection is closed.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(800);
/// The largest number of idle connections to one backend server.
const MAX_IDLE_PER_BACKEND: usize = 8;
/// The largest number of idle connections in total: enough for 20 requests a
/// second, the load of a weak VM, to servers that keep connections for 12 s. With
/// two buffers of 16 KB each, they take at most 8 MB.
const MAX_IDLE_TOTAL: usize = 256;

/// Why a request got no response head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    NotSent(String),
    /// The request may have reached the server.
    Lost(String),
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::Lost(cause) => write!(f, "lost: {cause}"),
        }
    }
}

impl std::error::Error for ExchangeError {}

/// The other end of a connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum PoolTarget {
    /// A backend server.
    Server(BackendId),
    /// Another entry, which relays requests.
    Helper(Incarnation),
}

struct IdleConnection {
    connection: ServerConnection,
    expires_at: Timestamp,
}

/// A response and its connection. Dropping it before the body is complete resets
/// the connection, so that the backend server stops its work and gets nothing more.
pub struct Exchange {
    /// The response.
    pub response: Response<Incoming>,
    /// The connection, to be returned to the pool after the body.
    pub connection: PooledConnection,
}

/// A connection that a request uses; it may be returned to the pool.
pub struct PooledConnection {
    connection: ServerConnection,
    /// The entry that relays the request, if one does.
    helper: Option<HelperUse>,
    _request: Arc<OpenRequest>,
}

impl PooledConnection {
    /// Returns whether another entry relays the request.
    pub fn is_relayed(&self) -> bool {
        self.helper.is_some()
    }

    /// Returns the entry that relays the request, if one does.
    pub fn helper(&self) -> Option<Incarnation> {
        self.helper.as_ref().map(|one| one.helper.incarnation)
    }
}

/// The idle connections of one entry to backend servers.
pub struct BackendPool {
    /// This clock continues while the VM is suspended, because servers close idle
    /// connections during that time.
    clock: Arc<BootClock>,
    addresses: AddressTranslation,
    idle: Mutex<HashMap<PoolTarget, Vec<IdleConnection>>>,
    /// The requests that are not over, by server.
    open: Mutex<HashMap<BackendId, Vec<Weak<OpenRequest>>>>,
}

impl fmt::Debug for BackendPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BackendPool").finish_non_exhaustive()
    }
}

impl BackendPool {
    /// Returns a pool without connections, which reaches servers at translated
    /// addresses.
    pub fn new(clock: Arc<BootClock>, addresses: AddressTranslation) -> Self {
        Self {
            clock,
            addresses,
            idle: Mutex::default(),
            open: Mutex::default(),
        }
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::NotSent`] only if certainly no byte was sent.
    pub async fn exchange(
        &self,
        id: &BackendId,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, ExchangeError> {
        let target = PoolTarget::Server(id.clone());
        let reached = self.addresses.translate(address);
        self.exchange_with(&target, id, reached, request).await
    }

    /// Sends a request to another entry, which relays it to the server `id`, and waits for the response head.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::NotSent`] only if certainly no byte was sent.
    pub async fn exchange_with_helper(
        &self,
        id: &BackendId,
        helper: HelperUse,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, ExchangeError> {
        let target = PoolTarget::Helper(helper.helper.incarnation);
        let address = helper.helper.address;
        let mut exchange = self.exchange_with(&target, id, address, request).await?;
        exchange.connection.helper = Some(helper);
        Ok(exchange)
    }

    async fn exchange_with(
        &self,
        target: &PoolTarget,
        id: &BackendId,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, ExchangeError> {
        let mut request = request;
        // An idle connection may turn out to be closed before anything is written.
        // hyper then returns the request, and another connection is used.
        while let Some(mut connection) = self.take_idle(target) {
            let open = self.track(id, &connection);
            match connection.send(request).await {
                Ok(response) => return Exchange::new(response, connection, open),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(ExchangeError::Lost(error.into_error().to_string())),
                },
            }
        }
        let mut connection = connect(address).await?;
        let open = self.track(id, &connection);
        match connection.send(request).await {
            Ok(response) => Exchange::new(response, connection, open),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let cause = error.into_error().to_string();
                Err(if unsent {
                    ExchangeError::NotSent(cause)
                } else {
                    ExchangeError::Lost(cause)
                })
            }
        }
    }

    fn track(&self, id: &BackendId, connection: &ServerConnection) -> Arc<OpenRequest> {
        let request = Arc::new(connection.open_request());
        let mut open = self.open.lock();
        if let Some(requests) = open.get_mut(id) {
            requests.retain(|request| request.strong_count() > 0);
            requests.push(Arc::downgrade(&request));
        } else {
            open.retain(|_, requests| requests.iter().any(|one| one.strong_count() > 0));
            open.insert(id.clone(), vec![Arc::downgrade(&request)]);
        }
        request
    }

    /// Gives up the requests to a server that leaves whose bytes are not acknowledged soon:
    /// they would arrive when it is gone. Those that have arrived go on.
    pub fn limit_leaving(&self, id: &BackendId) {
        let requests = self.open.lock().remove(id).unwrap_or_default();
        for request in requests.iter().filter_map(Weak::upgrade) {
            request.limit_unacknowledged();
        }
    }

    /// Returns whether a server refuses connections. A crashed server does; one
    /// that is only unreachable sends nothing.
    pub async fn refuses_connections(&self, address: SocketAddr) -> bool {
        counter!("cloverbend_backend_connections_total").increment(1);
        let reached = self.addresses.translate(address);
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(reached)).await;
        let refusals = [ErrorKind::ConnectionRefused, ErrorKind::ConnectionReset];
        matches!(opened, Ok(Err(error)) if refusals.contains(&error.kind()))
    }

    /// Returns whether a connection to a server opens and stays open.
    pub async fn opens_connection(&self, address: SocketAddr) -> bool {
        counter!("cloverbend_backend_connections_total").increment(1);
        let reached = self.addresses.translate(address);
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(reached)).await;
        let Ok(Ok(socket)) = opened else {
            return false;
        };
        // A server sends nothing before a request; a path that is cut may reset.
        let reset = tokio::time::timeout(STAY_OPEN_TIME, socket.peek(&mut [0])).await;
        reset.is_err()
    }

    /// Returns a connection to the pool after its last response was read completely. `id`
    /// is the server that responded, directly or through another entry.
    pub fn return_connection(
        &self,
        id: &BackendId,
        connection: PooledConnection,
        keep_alive: Option<Duration>,
    ) {
        connection.connection.complete();
        let idle_time = match keep_alive {
            Some(keep_alive) => keep_alive.saturating_sub(KEEP_ALIVE_MARGIN),
            None => DEFAULT_KEEP_ALIVE,
        };
        let cannot_be_kept =
            connection.connection.is_closed() || connection.connection.is_limited();
        if idle_time.is_zero() || cannot_be_kept {
            return;
        }
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        // Closing the connection is cheap: a later request opens a new one.
        if idle.values().map(Vec::len).sum::<usize>() >= MAX_IDLE_TOTAL {
            return;
        }
        let target = match &connection.helper {
            Some(helper) => PoolTarget::Helper(helper.helper.incarnation),
            None => PoolTarget::Server(id.clone()),
        };
        let connections = idle.entry(target).or_default();
        connections.retain(|idle| idle.expires_at > now && !idle.connection.is_closed());
        if connections.len() < MAX_IDLE_PER_BACKEND {
            connections.push(IdleConnection {
                connection: connection.connection,
                expires_at: now.after(idle_time),
            });
        }
    }

    /// Closes the idle connections to a backend server that is gone.
    pub fn close_idle(&self, id: &BackendId) {
        self.idle.lock().remove(&PoolTarget::Server(id.clone()));
    }

    /// Closes the idle connections to another entry, which may be lost. Their end may be
    /// noticed only after they took a request, which then may have run.
    pub fn close_idle_helper(&self, incarnation: Incarnation) {
        self.idle.lock().remove(&PoolTarget::Helper(incarnation));
    }

    /// Closes the idle connections to all backend servers.
    pub fn close_idle_servers(&self) {
        let is_helper = |target: &PoolTarget| matches!(target, PoolTarget::Helper(_));
        self.idle.lock().retain(|target, _| is_helper(target));
    }

    /// Closes the idle connections to earlier incarnations of a backend server.
    pub fn close_replaced(&self, id: &BackendId) {
        let is_replaced =
            |target: &PoolTarget| matches!(target, PoolTarget::Server(other) if id.replaces(other));
        self.idle.lock().retain(|target, _| !is_replaced(target));
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle.lock().values().map(Vec::len).sum()
    }

    /// Closes the idle connections that have expired.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        for connections in idle.values_mut() {
            connections.retain(|idle| idle.expires_at > now && !idle.connection.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn take_idle(&self, target: &PoolTarget) -> Option<ServerConnection> {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(target)?;
        while let Some(idle) = connections.pop() {
            // If a connection is not ready, its last response did not end cleanly.
            if idle.expires_at > now && idle.connection.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }
}

impl Exchange {
    fn new(
        response: Response<Incoming>,
        connection: ServerConnection,
        request: Arc<OpenRequest>,
    ) -> Result<Self, ExchangeError> {
        if let Err(error) = check_status(response.status()) {
            counter!("cloverbend_backend_invalid_statuses_total").increment(1);
            return Err(ExchangeError::Lost(error.to_string()));
        }
        let connection = PooledConnection {
            connection,
            helper: None,
            _request: request,
        };
        Ok(Self {
            response,
            connection,
        })
    }
}

async fn connect(address: SocketAddr) -> Result<ServerConnection, ExchangeError> {
    counter!("cloverbend_backend_connections_total").increment(1);
    let not_sent = |cause: String| ExchangeError::NotSent(cause);
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let socket = match opened {
        Ok(Ok(socket)) => socket,
        Ok(Err(error)) => return Err(not_sent(error.to_string())),
        Err(_) => return Err(not_sent("timed out while connecting".to_owned())),
    };
    let connection = ServerConnection::open(socket).await;
    connection.map_err(|error| not_sent(error.to_string()))
}
