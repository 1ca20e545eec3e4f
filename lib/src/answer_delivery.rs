//! Tells whether answers have reached their callers.
//!
//! hyper drops a body once it has taken its last bytes, and the system takes bytes that a
//! caller has no room for yet. An answer has arrived when the caller's system has confirmed
//! all of its bytes.

use std::os::fd::AsRawFd;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// How often a connection is checked for bytes that have not arrived.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(50);

nix::ioctl_read_bad!(
    /// Reads the number of bytes that the peer of a socket has not confirmed.
    read_unconfirmed,
    nix::libc::TIOCOUTQ,
    nix::libc::c_int
);

/// Returns whether the peer has confirmed all bytes that were written to a socket, or is gone.
pub fn has_confirmed_all(socket: &TcpStream) -> bool {
    // A connection that was reset keeps its count of unconfirmed bytes.
    if socket.peer_addr().is_err() {
        return true;
    }
    let mut unconfirmed = 0;
    // SAFETY: the descriptor is open while the socket is borrowed, and the request writes
    // one integer.
    let result = unsafe { read_unconfirmed(socket.as_raw_fd(), &raw mut unconfirmed) };
    // A socket that cannot tell has ended.
    result.is_err() || unconfirmed == 0
}

/// Until when a response is worth waiting for, as an extension of it.
#[derive(Clone, Copy, Debug)]
pub struct AnswerDeadline(pub Instant);

/// Counts the connections with answers that have not arrived. Connections that are idle
/// count too until [`DeliveryCount::watch`] is called.
#[derive(Clone, Debug, Default)]
pub struct DeliveryCount {
    open: Arc<AtomicUsize>,
    watch: CancellationToken,
}

impl DeliveryCount {
    /// Starts to check connections for what has arrived.
    pub fn watch(&self) {
        self.watch.cancel();
    }

    /// Returns the number of connections with answers that have not arrived and whose time
    /// is not over.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

/// How far the latest answer of a connection is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum DeliveryPhase {
    /// There is none, or all of it has arrived.
    #[default]
    Arrived,
    /// Its request has come.
    Begun,
    /// hyper has its last bytes.
    Encoded,
    /// The system has them.
    Written,
    /// The connection has ended. hyper may drop a body after its socket.
    Closed,
}

#[derive(Debug, Default)]
struct DeliveryState {
    phase: DeliveryPhase,
    deadline: Option<Instant>,
    is_counted: bool,
}

/// The answers of one connection.
#[derive(Debug)]
pub struct AnswerDelivery {
    count: DeliveryCount,
    state: Mutex<DeliveryState>,
}

impl AnswerDelivery {
    /// Returns the deliveries of a new connection.
    pub fn new(count: DeliveryCount) -> Arc<Self> {
        Arc::new(Self {
            count,
            state: Mutex::default(),
        })
    }

    /// Drives a connection to its end, and checks it as long as it is watched.
    pub async fn drive<C: Future>(self: Arc<Self>, connection: C) {
        let mut connection = std::pin::pin!(connection);
        loop {
            tokio::select! {
                biased;
                // A broken connection is the client's affair; its request goes on.
                _ = &mut connection => return,
                // The connection is polled next, and flushes its socket.
                () = self.wait_for_check() => self.change(|_| {}),
            }
        }
    }

    async fn wait_for_check(&self) {
        self.count.watch.cancelled().await;
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            if self.state.lock().is_counted {
                return;
            }
        }
    }

    /// Records that a request has come.
    pub fn note_begun(&self) {
        self.change(|state| {
            state.phase = DeliveryPhase::Begun;
            state.deadline = None;
        });
    }

    /// Records until when the answer is worth waiting for.
    pub fn set_deadline(&self, deadline: Instant) {
        self.change(|state| state.deadline = Some(deadline));
    }

    /// Records that all bytes that hyper had were written to the socket.
    pub fn note_flushed(&self, socket: &TcpStream) {
        let mut state = self.state.lock();
        if state.phase == DeliveryPhase::Encoded {
            state.phase = DeliveryPhase::Written;
        }
        let is_watched = self.count.watch.is_cancelled();
        if state.phase == DeliveryPhase::Written && is_watched && has_confirmed_all(socket) {
            state.phase = DeliveryPhase::Arrived;
        }
        self.recount(&mut state);
    }

    /// Records that the connection has ended.
    pub fn note_closed(&self) {
        self.change(|state| state.phase = DeliveryPhase::Closed);
    }

    fn note_encoded(&self) {
        self.change(|state| state.phase = DeliveryPhase::Encoded);
    }

    fn change(&self, apply: impl FnOnce(&mut DeliveryState)) {
        let mut state = self.state.lock();
        if state.phase != DeliveryPhase::Closed {
            apply(&mut state);
        }
        self.recount(&mut state);
    }

    fn recount(&self, state: &mut DeliveryState) {
        let is_over = || state.deadline.is_some_and(|at| at <= Instant::now());
        let is_open = match state.phase {
            DeliveryPhase::Arrived | DeliveryPhase::Closed => false,
            DeliveryPhase::Begun | DeliveryPhase::Encoded | DeliveryPhase::Written => !is_over(),
        };
        match (state.is_counted, is_open) {
            (false, true) => self.count.open.fetch_add(1, Ordering::Relaxed),
            (true, false) => self.count.open.fetch_sub(1, Ordering::Relaxed),
            (true, true) | (false, false) => return,
        };
        state.is_counted = is_open;
    }
}

/// The body of an answer, which records when hyper has taken it.
#[derive(Debug)]
pub struct TrackedBody<B> {
    body: B,
    delivery: Arc<AnswerDelivery>,
}

impl<B> TrackedBody<B> {
    /// Returns a body that records its end.
    pub fn new(body: B, delivery: Arc<AnswerDelivery>) -> Self {
        Self { body, delivery }
    }
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.delivery.note_encoded();
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
