//! Connections to backend servers: one request at a time on each.
//!
//! A connection is kept for another request only if the answer before was
//! read whole and nothing came after it. hyper closes a connection on which
//! bytes arrive that no request waits for.

use std::collections::HashMap;
use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use metrics::counter;
use parking_lot::Mutex;
use tokio::net::TcpStream;

use crate::boot_clock::BootClock;
use crate::gateway::backend_record::BackendId;
use crate::quantity::Timestamp;

/// How long a connection may take to open. A round trip within a region takes
/// two milliseconds; a dark server never answers.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long an idle connection is kept when the server does not say: the
/// shortest time that servers tell is some seconds.
const DEFAULT_KEEP_IDLE: Duration = Duration::from_millis(2_000);
/// How long before the server's own limit an idle connection is given up.
const KEEP_IDLE_MARGIN: Duration = Duration::from_millis(800);
/// The most idle connections kept for one backend server.
const MAX_IDLE: usize = 8;
/// The most idle connections kept in all: what 20 requests a second leave, a
/// weak VM's part of the load, to servers that keep connections for twelve
/// seconds. With two buffers of 16 KB each they take at most 8 MB.
const MAX_IDLE_IN_ALL: usize = 256;
/// The largest read buffer of a connection; answers' heads are small.
const READ_BUFFER: usize = 16 * 1024;

/// Why a request got no answer's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// Nothing of it left this process.
    NotSent(String),
    /// It may have arrived.
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

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    keep_until: Timestamp,
}

/// An answer together with the connection it comes on. Dropping it before the
/// body was read whole closes the connection, which stops the backend server.
pub struct Exchange {
    /// The answer.
    pub response: Response<Incoming>,
    /// The connection, to be put back after the body.
    pub connection: KeptConnection,
}

/// A connection that is in use.
pub struct KeptConnection {
    sender: SendRequest<Full<Bytes>>,
}

/// Idle connections of one entry.
pub struct BackendPool {
    /// Servers close idle connections also while this VM is suspended.
    clock: Arc<BootClock>,
    idle: Mutex<HashMap<BackendId, Vec<IdleConnection>>>,
}

impl fmt::Debug for BackendPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BackendPool").finish_non_exhaustive()
    }
}

impl BackendPool {
    /// Returns a pool without connections.
    pub fn new(clock: Arc<BootClock>) -> Self {
        Self {
            clock,
            idle: Mutex::default(),
        }
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::NotSent`] only if certainly nothing was sent.
    pub async fn exchange(
        &self,
        id: &BackendId,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, ExchangeError> {
        let mut request = request;
        // A kept connection may turn out closed before anything is written;
        // hyper then gives the request back, and a new connection takes it.
        while let Some(mut sender) = self.take_idle(id) {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok(Exchange::new(response, sender)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(ExchangeError::Lost(error.into_error().to_string())),
                },
            }
        }
        let mut sender = connect(address).await?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok(Exchange::new(response, sender)),
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

    /// Returns whether nothing listens at an address: a server that crashed takes
    /// no connection, and one that is only cut off says nothing.
    pub async fn refuses_connections(&self, address: SocketAddr) -> bool {
        counter!("cloverbend_backend_connections_total").increment(1);
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let refusals = [ErrorKind::ConnectionRefused, ErrorKind::ConnectionReset];
        matches!(opened, Ok(Err(error)) if refusals.contains(&error.kind()))
    }

    /// Keeps a connection whose last answer was read whole.
    pub fn return_connection(
        &self,
        id: &BackendId,
        connection: KeptConnection,
        keep_idle: Option<Duration>,
    ) {
        let keep = match keep_idle {
            Some(told) => told.saturating_sub(KEEP_IDLE_MARGIN),
            None => DEFAULT_KEEP_IDLE,
        };
        if keep.is_zero() || connection.sender.is_closed() {
            return;
        }
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        // A closed connection costs a further request the opening of one.
        if idle.values().map(Vec::len).sum::<usize>() >= MAX_IDLE_IN_ALL {
            return;
        }
        let connections = idle.entry(id.clone()).or_default();
        connections.retain(|c| c.keep_until > now && !c.sender.is_closed());
        if connections.len() < MAX_IDLE {
            connections.push(IdleConnection {
                sender: connection.sender,
                keep_until: now.after(keep),
            });
        }
    }

    /// Closes the idle connections of a backend server that is gone.
    pub fn close_idle(&self, id: &BackendId) {
        self.idle.lock().remove(id);
    }

    /// Closes the idle connections to earlier lives of a backend server.
    pub fn close_replaced(&self, id: &BackendId) {
        self.idle.lock().retain(|other, _| !id.replaces(other));
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle.lock().values().map(Vec::len).sum()
    }

    /// Closes idle connections whose time is over.
    pub fn sweep(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        for connections in idle.values_mut() {
            connections.retain(|c| c.keep_until > now && !c.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn take_idle(&self, id: &BackendId) -> Option<SendRequest<Full<Bytes>>> {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(id)?;
        while let Some(connection) = connections.pop() {
            // One that is not ready has not finished its last answer cleanly.
            if connection.keep_until > now && connection.sender.is_ready() {
                return Some(connection.sender);
            }
        }
        None
    }
}

impl Exchange {
    fn new(response: Response<Incoming>, sender: SendRequest<Full<Bytes>>) -> Self {
        let connection = KeptConnection { sender };
        Self {
            response,
            connection,
        }
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, ExchangeError> {
    counter!("cloverbend_backend_connections_total").increment(1);
    let not_sent = |cause: String| ExchangeError::NotSent(cause);
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let socket = match opened {
        Ok(Ok(socket)) => socket,
        Ok(Err(error)) => return Err(not_sent(error.to_string())),
        Err(_) => return Err(not_sent("the connection did not open in time".to_owned())),
    };
    // Small requests must not wait for one another; a failure only adds delay.
    let _ = socket.set_nodelay(true);
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(READ_BUFFER)
        .handshake(TokioIo::new(socket))
        .await
        .map_err(|error| not_sent(error.to_string()))?;
    // How the connection ends is told to whoever waits for its answer.
    tokio::spawn(async move { drop(connection.await) });
    Ok(sender)
}
