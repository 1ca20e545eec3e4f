//! Reads length-delimited frames of one connection.
//!
//! A codec would make room for a frame as soon as it knows its length: with
//! hundreds of entries that all send a megabyte at once, hundreds of megabytes.
//! Here a large frame is read only when there is room for it among those of all
//! connections; until then it waits at its sender.

use std::fmt;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use metrics::counter;
use metrics::gauge;
use tokio::io::AsyncReadExt;
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

use crate::wire::MAX_FRAME_LENGTH;
use crate::wire::PeerMessage;
use crate::wire_error::WireError;

/// The room for large frames of all connections together, in KiB: one of the
/// longest ones.
pub const LARGE_FRAMES_KB: usize = MAX_FRAME_LENGTH / KB;
/// The length up to which frames need no room of their own, in bytes: news of
/// an entry to a hub and parts of a document are shorter. With 320 connections
/// these come to 12 MB at most.
const SMALL_FRAME: usize = 36 * KB;
/// Bytes in a KiB.
const KB: usize = 1_024;
/// The read buffer of a connection, in bytes: some small frames.
const READ_BUFFER: usize = 4 * KB;
/// How long a connection on which nothing arrives is read. Its sender closes it
/// after half of that; one that is still open later has fallen silent.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a frame may take that has begun, beside the time for its bytes.
const FRAME_TIMEOUT: Duration = Duration::from_secs(3);
/// The lowest rate at which a frame may come, in bytes a second: less than half
/// of a link of 10 Mbit/s. Slower ones would keep the room from others.
const LOWEST_RATE: f64 = 500_000.0;

/// Why nothing more is read from a connection.
#[derive(Debug)]
pub enum FrameError {
    /// A frame is too long or cannot be decoded.
    Refused(WireError),
    /// The connection broke, or fell silent within a frame.
    Broken(io::Error),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(error) => write!(f, "refused: {error}"),
            Self::Broken(error) => write!(f, "broken: {error}"),
        }
    }
}

impl std::error::Error for FrameError {}

impl From<io::Error> for FrameError {
    fn from(error: io::Error) -> Self {
        Self::Broken(error)
    }
}

/// Reads the messages of one connection.
#[derive(Debug)]
pub struct FrameReader {
    socket: BufReader<TcpStream>,
    room: Arc<Semaphore>,
}

impl FrameReader {
    /// Reads a connection; `room` is shared with all others.
    pub fn new(socket: TcpStream, room: Arc<Semaphore>) -> Self {
        Self {
            socket: BufReader::with_capacity(READ_BUFFER, socket),
            room,
        }
    }

    /// Reads the next message; nothing if the connection was closed or has been
    /// silent for long.
    ///
    /// # Errors
    ///
    /// See [`FrameError`].
    pub async fn next(&mut self) -> Result<Option<PeerMessage>, FrameError> {
        let Ok(length) = tokio::time::timeout(SILENCE_TIMEOUT, self.socket.read_u32()).await else {
            return Ok(None);
        };
        let length = match length {
            Ok(length) => length as usize,
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
            Err(error) => return Err(error.into()),
        };
        if length > MAX_FRAME_LENGTH {
            return Err(FrameError::Refused(WireError::Invalid("length")));
        }
        // The room is given back when the message has been decoded; what it
        // keeps of the frame belongs to whoever receives it.
        let _room = take_room(&self.room, length).await;
        let most = FRAME_TIMEOUT + Duration::from_secs_f64(length as f64 / LOWEST_RATE);
        let frame = tokio::time::timeout(most, read_frame(&mut self.socket, length)).await;
        let frame = frame.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        counter!("cloverbend_peer_received_bytes_total").increment(length as u64);
        let message = PeerMessage::decode(frame).map_err(FrameError::Refused)?;
        Ok(Some(message))
    }
}

async fn take_room(room: &Semaphore, length: usize) -> Option<SemaphorePermit<'_>> {
    if length <= SMALL_FRAME {
        return None;
    }
    // Never more than there is, and the semaphore is never closed.
    let needed = length.div_ceil(KB).min(LARGE_FRAMES_KB);
    if room.available_permits() < needed {
        counter!("cloverbend_peer_frames_held_up_total").increment(1);
    }
    let taken = room.acquire_many(needed as u32).await.ok();
    let free = room.available_permits();
    gauge!("cloverbend_peer_frame_room_bytes").set((free * KB) as f64);
    taken
}

async fn read_frame(socket: &mut BufReader<TcpStream>, length: usize) -> io::Result<Bytes> {
    let mut frame = BytesMut::with_capacity(length);
    let mut rest = socket.take(length as u64);
    while frame.len() < length {
        if rest.read_buf(&mut frame).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(frame.freeze())
}
