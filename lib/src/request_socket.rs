//! A client's socket of which nothing arrives any more once its request was let go.
//!
//! The system goes on sending what was written to a connection that is closed, for minutes
//! where packets are lost. A connection that is reset sends nothing. One without an open
//! request is closed in order.

use std::io::Error;
use std::os::fd::AsRawFd;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use futures_util::task::AtomicWaker;
use hyper_util::client::legacy::connect::Connected;
use hyper_util::client::legacy::connect::Connection;
use metrics::counter;
use nix::libc;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// How long bytes to a server that leaves may lack an acknowledgment before its connection
/// is given up: longer than a lost packet takes to be sent again.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(500);

/// What shows that the request on a connection is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The first bytes of an answer, where nobody tells.
    AnswerBegins,
    /// [`SocketUse::complete`].
    Told,
}

/// The request on a connection, as its user and its socket know it.
#[derive(Debug)]
pub struct SocketUse {
    end: RequestEnd,
    has_request: AtomicBool,
    /// Whether bytes were written since the request began.
    has_bytes: AtomicBool,
    /// Whether the user has dropped the connection, or there is none that tells.
    is_released: AtomicBool,
    /// Whether the receiver leaves.
    is_limited: AtomicBool,
    waker: AtomicWaker,
}

impl SocketUse {
    /// Notes that a request begins.
    pub fn begin(&self) {
        self.has_bytes.store(false, Ordering::Release);
        self.has_request.store(true, Ordering::Release);
    }

    /// Notes that the answer was read completely.
    pub fn complete(&self) {
        self.has_request.store(false, Ordering::Release);
        self.waker.wake();
    }

    /// Notes that the connection was dropped.
    pub fn release(&self) {
        self.is_released.store(true, Ordering::Release);
        self.waker.wake();
    }

    /// Gives the connection up if its bytes are not acknowledged soon. What has arrived
    /// stays unaffected.
    pub fn limit_unacknowledged(&self) {
        self.is_limited.store(true, Ordering::Release);
        self.waker.wake();
    }

    /// Returns whether unacknowledged bytes are limited, so that the connection must not be
    /// kept.
    pub fn is_limited(&self) -> bool {
        self.is_limited.load(Ordering::Acquire)
    }

    /// Returns whether a request is open of which bytes may be under way. A request may begin
    /// on a connection that ends before it takes any.
    fn has_request(&self) -> bool {
        self.has_request.load(Ordering::Acquire) && self.has_bytes.load(Ordering::Acquire)
    }
}

/// A socket that is reset if it ends with an open request.
#[derive(Debug)]
pub struct RequestSocket {
    socket: TcpStream,
    socket_use: Arc<SocketUse>,
    has_limit: bool,
}

impl RequestSocket {
    /// Takes over a connection that is open.
    ///
    /// # Errors
    ///
    /// The connection is closed.
    pub fn new(socket: TcpStream, end: RequestEnd) -> Result<Self, Error> {
        // Small requests must not wait for Nagle's algorithm.
        socket.set_nodelay(true)?;
        // Also if the process is killed.
        socket.set_zero_linger()?;
        let socket_use = SocketUse {
            end,
            has_request: AtomicBool::new(false),
            has_bytes: AtomicBool::new(false),
            is_released: AtomicBool::new(end == RequestEnd::AnswerBegins),
            is_limited: AtomicBool::new(false),
            waker: AtomicWaker::new(),
        };
        Ok(Self {
            socket,
            socket_use: Arc::new(socket_use),
            has_limit: false,
        })
    }

    /// Returns what its user tells.
    pub fn socket_use(&self) -> Arc<SocketUse> {
        Arc::clone(&self.socket_use)
    }

    fn apply_limit(&mut self) -> Result<(), Error> {
        if !self.has_limit && self.socket_use.is_limited() {
            self.has_limit = true;
            limit_unacknowledged(&self.socket)?;
        }
        Ok(())
    }

    fn note_written(&self) {
        if self.socket_use.end == RequestEnd::AnswerBegins {
            self.socket_use.begin();
        }
        self.socket_use.has_bytes.store(true, Ordering::Release);
    }

    fn close_in_order(&self) -> Result<(), Error> {
        #[expect(deprecated, reason = "without a linger time, closing never blocks")]
        self.socket.set_linger(None)
    }
}

/// Ends a connection whose bytes are not acknowledged for [`UNACKNOWLEDGED_LIMIT`].
fn limit_unacknowledged(socket: &TcpStream) -> Result<(), Error> {
    let limit_ms = UNACKNOWLEDGED_LIMIT.as_millis() as libc::c_uint;
    // SAFETY: the descriptor is open while the socket is borrowed, and the option is read from
    // one integer of the given size.
    let result = unsafe {
        libc::setsockopt(
            socket.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_USER_TIMEOUT,
            (&raw const limit_ms).cast(),
            size_of_val(&limit_ms) as libc::socklen_t,
        )
    };
    match result {
        0 => Ok(()),
        _ => Err(Error::last_os_error()),
    }
}

impl Drop for RequestSocket {
    fn drop(&mut self) {
        if self.socket_use.has_request() {
            counter!("cloverbend_connections_reset_total").increment(1);
        } else {
            // A connection that has failed is closed already.
            let _ = self.close_in_order();
        }
    }
}

impl AsyncRead for RequestSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<(), Error>> {
        self.socket_use.waker.register(cx.waker());
        self.apply_limit()?;
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(cx, buffer))?;
        if self.socket_use.end == RequestEnd::AnswerBegins && buffer.filled().len() > before {
            self.socket_use.complete();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RequestSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize, Error>> {
        self.note_written();
        Pin::new(&mut self.socket).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize, Error>> {
        self.note_written();
        Pin::new(&mut self.socket).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    /// Waits until the user has reported whether the answer was read completely: the connection
    /// may end with the answer.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        self.socket_use.waker.register(cx.waker());
        if !self.socket_use.has_request() {
            self.close_in_order()?;
            return Pin::new(&mut self.socket).poll_shutdown(cx);
        }
        match self.socket_use.is_released.load(Ordering::Acquire) {
            true => Poll::Ready(Ok(())),
            false => Poll::Pending,
        }
    }
}

impl Connection for RequestSocket {
    fn connected(&self) -> Connected {
        self.socket.connected()
    }
}
