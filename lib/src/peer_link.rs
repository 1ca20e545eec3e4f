//! Connections between entries: length-delimited frames over TCP.
//!
//! Sending never waits. A frame that cannot be sent is dropped and counted,
//! since every decision that sends also repeats what was not answered. What
//! waits is bounded in bytes, for each link and for all of them, and no buffer
//! of a connection keeps the size of the largest frame that passed it. What is
//! read at one time is bounded by [`crate::frame_reader`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Buf;
use bytes::Bytes;
use futures_util::SinkExt;
use metrics::counter;
use parking_lot::Mutex;
use slog::Logger;
use slog::debug;
use slog::warn;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::sync::CancellationToken;

use crate::frame_reader::FrameError;
use crate::frame_reader::FrameReader;
use crate::frame_reader::LARGE_FRAMES_KB;
use crate::id::Incarnation;
use crate::link_queue::QueueRefusal;
use crate::link_queue::QueueUse;
use crate::link_queue::QueuedFrame;
use crate::wire::PeerMessage;

/// The most frames that wait for one connection; their bytes are bounded by
/// [`crate::link_queue`].
const QUEUE_LENGTH: usize = 8_192;
/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long to wait after a failed connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// How long a connection without traffic is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long writing one frame may take: the longest one of 8 MiB passes 10
/// Mbit/s in 7 s. A connection that takes longer is given up; what still waits
/// goes on with the next one, or is dropped if that does not open.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// From how many waiting bytes on a link counts as busy: news still go beside a
/// part of a document of 32 KiB.
const BUSY_BYTES: usize = 48 * 1024;
/// The size from which on a frame is written from where it lies instead of
/// being collected with others, in bytes. The collecting buffer would keep the
/// capacity of the largest frame for as long as the connection is open.
const DIRECT_FRAME: usize = 8 * 1024;
/// The pause between log lines about frames that did not fit.
const REFUSAL_LOG_PAUSE: Duration = Duration::from_secs(5);

/// One connection, as senders see it.
#[derive(Debug)]
struct PeerLink {
    frames: mpsc::Sender<QueuedFrame>,
    waiting: QueueUse,
    stop: CancellationToken,
}

impl Drop for PeerLink {
    /// Ends the connection also while a write to it hangs.
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Sends messages to other entries. Clones share connections.
///
/// Lock order: `routes` before `links`; both come after all tables.
#[derive(Clone, Debug)]
pub struct PeerSender {
    routes: Arc<Mutex<HashMap<Incarnation, SocketAddr>>>,
    links: Arc<Mutex<HashMap<SocketAddr, PeerLink>>>,
    waiting: QueueUse,
    refusal_logged: Arc<Mutex<Option<Instant>>>,
    stop: CancellationToken,
    log: Logger,
}

impl PeerSender {
    /// Returns a sender without connections. They end with `stop`.
    pub fn new(stop: CancellationToken, log: Logger) -> Self {
        Self {
            routes: Arc::default(),
            links: Arc::default(),
            waiting: QueueUse::default(),
            refusal_logged: Arc::default(),
            stop,
            log,
        }
    }

    /// Notes where an incarnation listens.
    pub fn set_route(&self, incarnation: Incarnation, address: SocketAddr) {
        let mut routes = self.routes.lock();
        // An address serves one process at a time, so older routes to it are
        // of no use; this also bounds the table.
        routes.retain(|_, other| *other != address);
        routes.insert(incarnation, address);
    }

    /// Sends to an incarnation, if its address is known.
    pub fn send_to(&self, incarnation: Incarnation, message: PeerMessage) {
        let route = self.routes.lock().get(&incarnation).copied();
        match route {
            Some(address) => self.send(address, message),
            None => count_dropped("no_route"),
        }
    }

    /// Sends to an address.
    pub fn send(&self, address: SocketAddr, message: PeerMessage) {
        let frame = message.encode();
        let length = frame.len();
        match self.queue(address, frame) {
            Ok(()) => {
                counter!("cloverbend_peer_sent_bytes_total").increment(length as u64);
                counter!("cloverbend_peer_sent_frames_total").increment(1);
            }
            Err(refusal) => {
                count_dropped(refusal.word());
                self.log_refusal(address, length, refusal);
            }
        }
    }

    fn queue(&self, address: SocketAddr, frame: Bytes) -> Result<(), QueueRefusal> {
        let mut links = self.links.lock();
        if links
            .get(&address)
            .is_none_or(|link| link.frames.is_closed())
        {
            links.retain(|_, link| !link.frames.is_closed());
        }
        let link = links.entry(address).or_insert_with(|| self.open(address));
        let charged = QueuedFrame::charge(frame, &link.waiting, &self.waiting)?;
        link.frames.try_send(charged).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => QueueRefusal::LinkFull,
            mpsc::error::TrySendError::Closed(_) => QueueRefusal::Closed,
        })
    }

    fn log_refusal(&self, address: SocketAddr, length: usize, refusal: QueueRefusal) {
        let now = Instant::now();
        let mut logged = self.refusal_logged.lock();
        if logged.is_some_and(|at| now - at < REFUSAL_LOG_PAUSE) {
            return;
        }
        *logged = Some(now);
        warn!(self.log, "peer queue full"; "address" => %address, "cause" => %refusal,
            "frame_bytes" => length, "queued_bytes" => self.queued_bytes());
    }

    /// Returns whether much still waits for an address. What is always the whole
    /// state need not be sent then: the next message replaces it.
    pub fn is_busy(&self, address: SocketAddr) -> bool {
        let links = self.links.lock();
        links
            .get(&address)
            .is_some_and(|link| link.waiting.bytes() > BUSY_BYTES)
    }

    /// Returns the bytes that wait for all links.
    pub fn queued_bytes(&self) -> usize {
        self.waiting.bytes()
    }

    /// Returns the number of links that have not ended.
    pub fn link_count(&self) -> usize {
        let links = self.links.lock();
        links
            .values()
            .filter(|link| !link.frames.is_closed())
            .count()
    }

    /// Gives a link up whose peer does not answer; the next message opens
    /// another. A connection through a cut may hang for long after it.
    pub fn forget(&self, address: SocketAddr) {
        self.links.lock().remove(&address);
    }

    fn open(&self, address: SocketAddr) -> PeerLink {
        let (frames, receiver) = mpsc::channel(QUEUE_LENGTH);
        let stop = self.stop.child_token();
        let (stopped, log) = (stop.clone(), self.log.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => {}
                () = run_link(address, receiver, log) => {}
            }
        });
        PeerLink {
            frames,
            waiting: QueueUse::default(),
            stop,
        }
    }
}

fn count_dropped(cause: &'static str) {
    counter!("cloverbend_peer_dropped_frames_total", "cause" => cause).increment(1);
}

async fn run_link(address: SocketAddr, mut queue: mpsc::Receiver<QueuedFrame>, log: Logger) {
    loop {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let Ok(Ok(socket)) = connected else {
            // What waits is stale by the time the peer is back.
            while queue.try_recv().is_ok() {
                count_dropped("not_connected");
            }
            tokio::time::sleep(RECONNECT_PAUSE).await;
            if queue.is_empty() && queue.is_closed() {
                return;
            }
            match tokio::time::timeout(IDLE_TIMEOUT, queue.recv()).await {
                Ok(Some(_)) => count_dropped("not_connected"),
                Ok(None) | Err(_) => return,
            }
            continue;
        };
        // Small frames must not wait for one another.
        let _ = socket.set_nodelay(true);
        match send_frames(socket, &mut queue).await {
            LinkEnd::Idle => return,
            LinkEnd::Broken(cause) => {
                debug!(log, "link to an entry broke"; "address" => %address, "cause" => cause);
            }
        }
    }
}

enum LinkEnd {
    Idle,
    Broken(String),
}

async fn send_frames(socket: TcpStream, queue: &mut mpsc::Receiver<QueuedFrame>) -> LinkEnd {
    // Only what is shorter than `DIRECT_FRAME` passes this codec, so it needs
    // no bound of its own.
    let mut framed = Framed::new(socket, LengthDelimitedCodec::new());
    loop {
        let frame = match tokio::time::timeout(IDLE_TIMEOUT, queue.recv()).await {
            Ok(Some(frame)) => frame,
            Ok(None) | Err(_) => return LinkEnd::Idle,
        };
        if let Err(error) = write_waiting(&mut framed, frame, queue).await {
            return LinkEnd::Broken(error.to_string());
        }
    }
}

/// Writes a frame and those that wait behind it.
async fn write_waiting(
    framed: &mut Framed<TcpStream, LengthDelimitedCodec>,
    first: QueuedFrame,
    queue: &mut mpsc::Receiver<QueuedFrame>,
) -> std::io::Result<()> {
    let mut next = Some(first);
    while let Some(frame) = next {
        in_time(write_frame(framed, frame)).await?;
        next = queue.try_recv().ok();
    }
    in_time(SinkExt::<Bytes>::flush(framed)).await
}

async fn in_time(write: impl Future<Output = std::io::Result<()>>) -> std::io::Result<()> {
    let written = tokio::time::timeout(WRITE_TIMEOUT, write).await;
    written.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
}

async fn write_frame(
    framed: &mut Framed<TcpStream, LengthDelimitedCodec>,
    frame: QueuedFrame,
) -> std::io::Result<()> {
    if frame.bytes.len() < DIRECT_FRAME {
        return framed.feed(frame.bytes.clone()).await;
    }
    SinkExt::<Bytes>::flush(framed).await?;
    let length = u32::try_from(frame.bytes.len()).map_err(std::io::Error::other)?;
    let prefix = Bytes::copy_from_slice(&length.to_be_bytes());
    let mut whole = prefix.chain(frame.bytes.clone());
    framed.get_mut().write_all_buf(&mut whole).await
}

/// Receives messages of other entries until `stop`, and hands each to
/// `receive`. A frame that cannot be decoded closes its connection.
pub async fn receive_frames<F>(
    listener: TcpListener,
    stop: CancellationToken,
    log: Logger,
    receive: F,
) where
    F: Fn(PeerMessage) + Clone + Send + Sync + 'static,
{
    accept_links(listener, stop, move |socket, peer, room| {
        read_link(socket, room, peer, receive.clone(), log.clone())
    })
    .await;
}

/// The same for a listener that also serves HTTP. Frames are so short that the first byte
/// of their length is zero, and a request begins with the letters of its method. `serve`
/// handles a connection with requests.
pub async fn receive_frames_or_requests<F, S, H>(
    listener: TcpListener,
    stop: CancellationToken,
    log: Logger,
    receive: F,
    serve: S,
) where
    F: Fn(PeerMessage) + Clone + Send + Sync + 'static,
    S: Fn(TcpStream) -> H + Clone + Send + Sync + 'static,
    H: Future<Output = ()> + Send,
{
    accept_links(listener, stop, move |socket, peer, room| {
        let (receive, serve, log) = (receive.clone(), serve.clone(), log.clone());
        async move {
            let mut first = [0];
            let peeked = tokio::time::timeout(IDLE_TIMEOUT, socket.peek(&mut first)).await;
            match peeked {
                Ok(Ok(1)) if first[0].is_ascii_alphabetic() => serve(socket).await,
                Ok(Ok(1)) => read_link(socket, room, peer, receive, log).await,
                _ => {}
            }
        }
    })
    .await;
}

async fn accept_links<F, H>(listener: TcpListener, stop: CancellationToken, handle: F)
where
    F: Fn(TcpStream, SocketAddr, Arc<Semaphore>) -> H,
    H: Future<Output = ()> + Send + 'static,
{
    let room = Arc::new(Semaphore::new(LARGE_FRAMES_KB));
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((socket, peer)) = accepted else {
            tokio::time::sleep(RECONNECT_PAUSE).await;
            continue;
        };
        let stop = stop.clone();
        let link = handle(socket, peer, Arc::clone(&room));
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = link => {}
            }
        });
    }
}

async fn read_link<F: Fn(PeerMessage)>(
    socket: TcpStream,
    room: Arc<Semaphore>,
    peer: SocketAddr,
    receive: F,
    log: Logger,
) {
    let mut reader = FrameReader::new(socket, room);
    loop {
        match reader.next().await {
            Ok(Some(message)) => receive(message),
            Ok(None) => return,
            Err(FrameError::Refused(error)) => {
                warn!(log, "a frame was refused"; "peer" => %peer, "error" => %error);
                counter!("cloverbend_peer_refused_frames_total").increment(1);
                return;
            }
            Err(FrameError::Broken(error)) => {
                debug!(log, "link from an entry broke"; "peer" => %peer, "cause" => %error);
                return;
            }
        }
    }
}
