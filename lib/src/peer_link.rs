//! Connections between entries: length-delimited frames over TCP.
//!
//! Sending never waits. A frame that cannot be sent is dropped and counted,
//! since every decision that sends also repeats what was not answered.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use metrics::counter;
use parking_lot::Mutex;
use slog::Logger;
use slog::debug;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::sync::CancellationToken;

use crate::id::Incarnation;
use crate::link_ledger::LinkLedger;
use crate::link_ledger::QueuedFrame;
use crate::wire::MAX_FRAME_LENGTH;
use crate::wire::PeerMessage;

/// The most frames that wait for one connection.
const QUEUE_LENGTH: usize = 8_192;
/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long to wait after a failed connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// How long a connection without traffic is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_LENGTH)
        .new_codec()
}

/// Sends messages to other entries. Clones share connections.
///
/// Lock order: `routes` before `links`; both come after all tables.
#[derive(Clone, Debug)]
pub struct PeerSender {
    routes: Arc<Mutex<HashMap<Incarnation, SocketAddr>>>,
    links: Arc<Mutex<HashMap<SocketAddr, mpsc::Sender<QueuedFrame>>>>,
    ledger: LinkLedger,
    stop: CancellationToken,
    log: Logger,
}

impl PeerSender {
    /// Returns a sender without connections. They end with `stop`.
    pub fn new(stop: CancellationToken, log: Logger) -> Self {
        Self {
            routes: Arc::default(),
            links: Arc::default(),
            ledger: LinkLedger::default(),
            stop,
            log,
        }
    }

    /// Returns the counts of what waits.
    pub fn ledger(&self) -> &LinkLedger {
        &self.ledger
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
        counter!("cloverbend_peer_sent_bytes_total").increment(frame.len() as u64);
        counter!("cloverbend_peer_sent_frames_total").increment(1);
        let mut links = self.links.lock();
        let known = links.get(&address).filter(|link| !link.is_closed());
        let link = match known {
            Some(link) => link.clone(),
            None => {
                let link = self.open(address);
                links.insert(address, link.clone());
                link
            }
        };
        if link.try_send(self.ledger.enqueue(frame)).is_err() {
            count_dropped("queue_full");
        }
    }

    /// Gives a link up whose peer does not answer; the next message opens
    /// another. A connection through a cut may hang for long after it.
    pub fn forget(&self, address: SocketAddr) {
        self.links.lock().remove(&address);
    }

    fn open(&self, address: SocketAddr) -> mpsc::Sender<QueuedFrame> {
        let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
        let stop = self.stop.clone();
        let log = self.log.clone();
        let open_link = self.ledger.open_link();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = run_link(address, receiver, log) => {}
            }
            drop(open_link);
        });
        sender
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
    let mut framed = Framed::new(socket, frame_codec());
    loop {
        let QueuedFrame { frame, mut share } =
            match tokio::time::timeout(IDLE_TIMEOUT, queue.recv()).await {
                Ok(Some(queued)) => queued,
                Ok(None) | Err(_) => return LinkEnd::Idle,
            };
        if let Err(error) = framed.feed(frame).await {
            return LinkEnd::Broken(error.to_string());
        }
        while let Ok(next) = queue.try_recv() {
            if let Err(error) = framed.feed(next.frame).await {
                return LinkEnd::Broken(error.to_string());
            }
            // Before it takes a frame, the writer empties its buffer of all but
            // a few kilobytes: the frame before this one no longer waits.
            share = next.share;
        }
        if let Err(error) = SinkExt::<Bytes>::flush(&mut framed).await {
            return LinkEnd::Broken(error.to_string());
        }
        drop(share);
    }
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
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((socket, peer)) = accepted else {
            tokio::time::sleep(RECONNECT_PAUSE).await;
            continue;
        };
        let receive = receive.clone();
        let stop = stop.clone();
        let log = log.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = read_link(socket, peer, receive, log) => {}
            }
        });
    }
}

async fn read_link<F: Fn(PeerMessage)>(
    socket: TcpStream,
    peer: SocketAddr,
    receive: F,
    log: Logger,
) {
    let mut framed = Framed::new(socket, frame_codec());
    while let Some(frame) = framed.next().await {
        let Ok(frame) = frame else {
            return;
        };
        counter!("cloverbend_peer_received_bytes_total").increment(frame.len() as u64);
        match PeerMessage::decode(frame.freeze()) {
            Ok(message) => receive(message),
            Err(error) => {
                warn!(log, "a frame was refused"; "peer" => %peer, "error" => %error);
                counter!("cloverbend_peer_refused_frames_total").increment(1);
                return;
            }
        }
    }
}
