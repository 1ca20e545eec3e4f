//! Counts what waits in the links to other entries.
//!
//! Each count belongs to a value and ends with it, so that a frame is counted
//! until it is written or dropped, wherever that happens.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;

/// The counts of all links of a sender. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct LinkLedger {
    counts: Arc<LinkCounts>,
}

#[derive(Debug, Default)]
struct LinkCounts {
    queued_bytes: AtomicU64,
    links: AtomicUsize,
}

impl LinkLedger {
    /// Counts a frame until its [`QueueShare`] is dropped.
    pub fn enqueue(&self, frame: Bytes) -> QueuedFrame {
        let bytes = frame.len() as u64;
        let counts = Arc::clone(&self.counts);
        counts.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
        let share = QueueShare { counts, bytes };
        QueuedFrame { frame, share }
    }

    /// Counts a link until the returned value is dropped.
    pub fn open_link(&self) -> OpenLink {
        let counts = Arc::clone(&self.counts);
        counts.links.fetch_add(1, Ordering::Relaxed);
        OpenLink { counts }
    }

    /// Returns the bytes that wait in all links.
    pub fn queued_bytes(&self) -> u64 {
        self.counts.queued_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of links, also of those that were given up and still
    /// write what they hold.
    pub fn links(&self) -> usize {
        self.counts.links.load(Ordering::Relaxed)
    }
}

/// A frame that waits for its connection.
#[derive(Debug)]
pub struct QueuedFrame {
    /// The frame.
    pub frame: Bytes,
    /// What it adds to the counts.
    pub share: QueueShare,
}

/// The part of the queued bytes that belongs to one frame.
#[derive(Debug)]
pub struct QueueShare {
    counts: Arc<LinkCounts>,
    bytes: u64,
}

impl Drop for QueueShare {
    fn drop(&mut self) {
        let queued = &self.counts.queued_bytes;
        queued.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Counts as a link while it lives.
#[derive(Debug)]
pub struct OpenLink {
    counts: Arc<LinkCounts>,
}

impl Drop for OpenLink {
    fn drop(&mut self) {
        self.counts.links.fetch_sub(1, Ordering::Relaxed);
    }
}
