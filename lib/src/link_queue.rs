//! What waits to be sent to other entries, bounded in bytes.
//!
//! A count of messages bounds nothing: one message may hold a hundred bytes or
//! a megabyte. Each frame is charged to its link and to the entry until it is
//! written or dropped, and what does not fit is refused.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;

/// The most bytes that wait for one link, unless a single frame is larger:
/// four news of an entry that knows 1,000 backend servers (110 KB each) and
/// some parts of a document.
pub const LINK_BYTES: usize = 1024 * 1024;
/// The most bytes that wait for all links of an entry: a tenth of the memory
/// of the smallest VM (160 MB).
pub const ENTRY_BYTES: usize = 16 * 1024 * 1024;

/// What of these is kept for short frames, so that news and heartbeats pass
/// while long ones fill the rest.
const SHORT_FRAMES_RESERVE: usize = 2 * 1024 * 1024;
/// The length up to which a frame is short, in bytes.
const SHORT_FRAME: usize = 4 * 1024;

/// Why a frame was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueRefusal {
    /// Too many bytes wait for the link.
    LinkFull,
    /// Too many bytes wait for all links together.
    EntryFull,
    /// The link is gone.
    Closed,
}

impl QueueRefusal {
    /// Returns the refusal as a metric's label.
    pub fn word(self) -> &'static str {
        match self {
            Self::LinkFull => "link_full",
            Self::EntryFull => "entry_full",
            Self::Closed => "closed",
        }
    }
}

impl fmt::Display for QueueRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.word())
    }
}

/// The bytes that wait somewhere. Clones count together.
#[derive(Clone, Debug, Default)]
pub struct QueueUse(Arc<AtomicUsize>);

impl QueueUse {
    /// Returns the bytes.
    pub fn bytes(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Takes room for a frame; a frame of any size finds room where nothing
    /// waits if `alone_fits`.
    fn take(&self, length: usize, most: usize, alone_fits: bool) -> bool {
        let update = |used: usize| {
            let fits = used + length <= most || (alone_fits && used == 0);
            fits.then_some(used + length)
        };
        let order = Ordering::Relaxed;
        self.0.fetch_update(order, order, update).is_ok()
    }

    fn give_back(&self, length: usize) {
        self.0.fetch_sub(length, Ordering::Relaxed);
    }
}

/// A frame that waits. Dropping it gives its room back.
#[derive(Debug)]
pub struct QueuedFrame {
    /// The content.
    pub bytes: Bytes,
    link: QueueUse,
    entry: QueueUse,
}

impl QueuedFrame {
    /// Charges a frame to its link and to the entry.
    ///
    /// # Errors
    ///
    /// No room at either.
    pub fn charge(bytes: Bytes, link: &QueueUse, entry: &QueueUse) -> Result<Self, QueueRefusal> {
        let length = bytes.len();
        if !link.take(length, LINK_BYTES, true) {
            return Err(QueueRefusal::LinkFull);
        }
        let reserve = if length > SHORT_FRAME {
            SHORT_FRAMES_RESERVE
        } else {
            0
        };
        if !entry.take(length, ENTRY_BYTES - reserve, false) {
            link.give_back(length);
            return Err(QueueRefusal::EntryFull);
        }
        Ok(Self {
            bytes,
            link: link.clone(),
            entry: entry.clone(),
        })
    }
}

impl Drop for QueuedFrame {
    fn drop(&mut self) {
        let length = self.bytes.len();
        self.link.give_back(length);
        self.entry.give_back(length);
    }
}
