//! A connection to a backend server, or to another entry, with one request at a time.
//!
//! hyper passes over any number of interim responses. This module limits the bytes that may
//! arrive between a request and the head of its response, so that a server that sends them
//! without end costs little until the request is sent elsewhere.

use std::io::Error;
use std::io::ErrorKind;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::request_socket::RequestEnd;
use crate::request_socket::RequestSocket;
use crate::request_socket::SocketUse;

/// The largest read buffer of a connection. Response heads are small.
const READ_BUFFER_BYTES: usize = 16 * 1_024;
/// The most bytes up to the end of a response head, with interim responses and the beginning
/// of the body, which hyper may read before it hands over the head.
const MAX_HEAD_BYTES: usize = 8 * READ_BUFFER_BYTES;
/// Stands for no limit.
const UNLIMITED: usize = usize::MAX;

/// A connection that serves one request after another. When it is dropped, it closes in
/// order, or is reset if its request is not over.
#[derive(Debug)]
pub struct ServerConnection {
    sender: SendRequest<Full<Bytes>>,
    head_limit: Arc<HeadLimit>,
    socket_use: Arc<SocketUse>,
}

/// A request whose answer was not read completely yet.
#[derive(Debug)]
pub struct OpenRequest(Arc<SocketUse>);

impl OpenRequest {
    /// Gives the connection up if its bytes are not acknowledged soon.
    pub fn limit_unacknowledged(&self) {
        self.0.limit_unacknowledged();
    }
}

impl ServerConnection {
    /// Speaks HTTP/1.1 on a connection that is open.
    ///
    /// # Errors
    ///
    /// The connection is closed.
    pub async fn open(socket: TcpStream) -> Result<Self, Error> {
        let head_limit = Arc::new(HeadLimit::default());
        let socket = RequestSocket::new(socket, RequestEnd::Told)?;
        let socket_use = socket.socket_use();
        let socket = LimitedSocket {
            socket,
            head_limit: Arc::clone(&head_limit),
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(socket))
            .await
            .map_err(Error::other)?;
        // The request that waits for a response gets any error of the connection.
        tokio::spawn(async move { drop(connection.await) });
        Ok(Self {
            sender,
            head_limit,
            socket_use,
        })
    }

    /// Returns the request that the connection carries next.
    pub fn open_request(&self) -> OpenRequest {
        OpenRequest(Arc::clone(&self.socket_use))
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// No response, with the request if no byte of it was sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.head_limit.set(MAX_HEAD_BYTES);
        self.socket_use.begin();
        let result = self.sender.try_send_request(request).await;
        self.head_limit.set(UNLIMITED);
        result
    }

    /// Notes that the response was read completely.
    pub fn complete(&self) {
        self.socket_use.complete();
    }

    /// Returns whether the connection must not be kept, since a server leaves to which it
    /// carried a request.
    pub fn is_limited(&self) -> bool {
        self.socket_use.is_limited()
    }

    /// Returns whether the next request can be sent now: the last response ended cleanly.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Drop for ServerConnection {
    fn drop(&mut self) {
        self.socket_use.release();
    }
}

/// How many more bytes may arrive before the head of a response is complete.
#[derive(Debug)]
struct HeadLimit(AtomicUsize);

impl Default for HeadLimit {
    fn default() -> Self {
        Self(AtomicUsize::new(UNLIMITED))
    }
}

impl HeadLimit {
    fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Counts bytes that arrived. Returns whether they are too many.
    fn is_exceeded_by(&self, bytes: usize) -> bool {
        let subtract = |left| (left != UNLIMITED).then(|| usize::saturating_sub(left, bytes));
        let left = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract);
        left.is_ok_and(|left| left < bytes)
    }
}

/// A socket that fails once too much has arrived before a response head.
struct LimitedSocket {
    socket: RequestSocket,
    head_limit: Arc<HeadLimit>,
}

impl AsyncRead for LimitedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<(), Error>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(cx, buffer))?;
        let arrived = buffer.filled().len() - before;
        if self.head_limit.is_exceeded_by(arrived) {
            let cause = format!("no response head within {MAX_HEAD_BYTES} bytes");
            return Poll::Ready(Err(Error::new(ErrorKind::InvalidData, cause)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize, Error>> {
        Pin::new(&mut self.socket).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize, Error>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}
