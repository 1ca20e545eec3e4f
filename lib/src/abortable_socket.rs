//! A server's socket that is reset unless it is shut down.
//!
//! Callers that speak HTTP/1.0 know no chunks: the end of the connection marks the end of
//! a body without a length. An aborted response must not end like a complete one, so its
//! connection is reset, also if the process is killed.
//!
//! A socket that is closed with unread bytes is reset too, and drops what its client has not
//! received. A shutdown therefore reads on until the client has received all.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use http::Request;
use http::Response;
use http::Version;
use hyper::service::Service;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::answer_delivery::AnswerDeadline;
use crate::answer_delivery::AnswerDelivery;
use crate::answer_delivery::CHECK_INTERVAL;
use crate::answer_delivery::TrackedBody;
use crate::answer_delivery::has_confirmed_all;

/// How long a client may take to receive what the system holds when its connection ends.
const MAX_CLOSE_TIME: Duration = Duration::from_secs(30);
/// How many unread bytes are read at once from a connection that ends.
const DISCARD_BYTES: usize = 1_024;
/// The most reads of such bytes before other tasks run.
const MAX_DISCARDS: usize = 64;

/// Whether a connection must end with a reset unless it is shut down. Set while requests
/// are read, and applied before responses are written.
#[derive(Clone, Debug, Default)]
struct ResetRule(Arc<AtomicBool>);

/// A socket that is reset when it is closed without a shutdown, if its client speaks
/// HTTP/1.0.
#[derive(Debug)]
pub struct AbortableSocket {
    socket: TcpStream,
    rule: ResetRule,
    will_reset: bool,
    close_wait: Option<Box<CloseWait>>,
    delivery: Arc<AnswerDelivery>,
}

/// The wait of a connection that ends for its client.
#[derive(Debug)]
struct CloseWait {
    next_check: Pin<Box<Sleep>>,
    until: Instant,
    /// Whether the client sends no more.
    has_ended: bool,
}

impl CloseWait {
    fn new() -> Self {
        Self {
            next_check: Box::pin(tokio::time::sleep(CHECK_INTERVAL)),
            until: Instant::now() + MAX_CLOSE_TIME,
            has_ended: false,
        }
    }
}

impl Drop for AbortableSocket {
    fn drop(&mut self) {
        self.delivery.note_closed();
    }
}

/// A service that records for the socket of its connection which version of HTTP the
/// client speaks, and when answers begin and end.
#[derive(Debug)]
pub struct CallRecorder<S> {
    service: S,
    rule: ResetRule,
    delivery: Arc<AnswerDelivery>,
}

/// Connects a socket with the service that serves its requests.
pub fn abortable<S>(
    socket: TcpStream,
    service: S,
    delivery: &Arc<AnswerDelivery>,
) -> (AbortableSocket, CallRecorder<S>) {
    let rule = ResetRule::default();
    let socket = AbortableSocket {
        socket,
        rule: rule.clone(),
        will_reset: false,
        close_wait: None,
        delivery: Arc::clone(delivery),
    };
    let recorder = CallRecorder {
        service,
        rule,
        delivery: Arc::clone(delivery),
    };
    (socket, recorder)
}

impl<S, Q, B> Service<Request<Q>> for CallRecorder<S>
where
    S: Service<Request<Q>, Response = Response<B>>,
    S::Future: Send + 'static,
{
    type Response = Response<TrackedBody<B>>;
    type Error = S::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, S::Error>> + Send>>;

    fn call(&self, request: Request<Q>) -> Self::Future {
        if request.version() < Version::HTTP_11 {
            self.rule.0.store(true, Ordering::Relaxed);
        }
        self.delivery.note_begun();
        let response = self.service.call(request);
        let delivery = Arc::clone(&self.delivery);
        Box::pin(async move {
            let mut response = response.await?;
            if let Some(AnswerDeadline(at)) = response.extensions_mut().remove() {
                delivery.set_deadline(at);
            }
            Ok(response.map(|body| TrackedBody::new(body, delivery)))
        })
    }
}

impl AbortableSocket {
    fn apply_rule(&mut self) -> io::Result<()> {
        if !self.will_reset && self.rule.0.load(Ordering::Relaxed) {
            self.socket.set_zero_linger()?;
            self.will_reset = true;
        }
        Ok(())
    }

    /// Reads and drops what the client still sends. Returns whether it has closed its side
    /// or is gone.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<bool> {
        let mut bytes = [0; DISCARD_BYTES];
        for _ in 0..MAX_DISCARDS {
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = Pin::new(&mut self.socket).poll_read(context, &mut buffer);
            if ready!(read).is_err() || buffer.filled().is_empty() {
                return Poll::Ready(true);
            }
        }
        context.waker().wake_by_ref();
        Poll::Ready(false)
    }
}

impl AsyncRead for AbortableSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(context, buffer)
    }
}

impl AsyncWrite for AbortableSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.apply_rule()?;
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.apply_rule()?;
        Pin::new(&mut self.socket).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.socket).poll_flush(context))?;
        self.delivery.note_flushed(&self.socket);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.will_reset {
            #[expect(deprecated, reason = "without a linger time, closing never blocks")]
            self.socket.set_linger(None)?;
            self.will_reset = false;
        }
        let mut wait = match self.close_wait.take() {
            Some(wait) => wait,
            None => {
                ready!(Pin::new(&mut self.socket).poll_shutdown(context))?;
                Box::new(CloseWait::new())
            }
        };
        wait.has_ended = wait.has_ended || self.poll_discard(context) == Poll::Ready(true);
        loop {
            let is_over = wait.until <= Instant::now();
            if is_over || has_confirmed_all(&self.socket) {
                return Poll::Ready(Ok(()));
            }
            if wait.next_check.as_mut().poll(context).is_pending() {
                self.close_wait = Some(wait);
                return Poll::Pending;
            }
            wait.next_check
                .as_mut()
                .reset(Instant::now() + CHECK_INTERVAL);
        }
    }
}
