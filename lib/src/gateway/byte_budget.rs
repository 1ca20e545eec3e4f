//! One budget, in bytes, for the bodies and whole answers that an entry holds.
//!
//! Bytes are taken from the budget as they arrive, never a limit up front, so
//! that only what is there counts. What is taken is given back when the last
//! owner of the bytes is dropped, be it a request or a connection that writes.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use bytes::BytesMut;

/// The share of an entry's memory that bodies and answers may take. Buffers
/// that grow by doubling occupy up to twice what is counted, so half of the
/// memory is left for tables, connections and the process itself.
const HELD_SHARE: f64 = 0.25;
/// Bytes in a megabyte of the setting.
const MEGABYTE: f64 = 1_000_000.0;

/// The budget has no room for more bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

impl fmt::Display for NoRoom {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no room for more bytes")
    }
}

impl std::error::Error for NoRoom {}

/// The bytes that may be held at once, and those that are.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    used: AtomicUsize,
}

impl ByteBudget {
    /// Returns a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: AtomicUsize::new(0),
        }
    }

    /// Returns the budget of a process that may use so many megabytes.
    pub fn of_memory(memory_mb: f64) -> Self {
        // The cast keeps whole bytes; a negative size leaves no room.
        Self::new((memory_mb * MEGABYTE * HELD_SHARE) as usize)
    }

    /// Returns whether so many bytes would fit now.
    pub fn has_room(&self, bytes: usize) -> bool {
        let sum = self.used().checked_add(bytes);
        sum.is_some_and(|sum| sum <= self.limit)
    }

    /// Returns the bytes that are held.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    fn take(&self, bytes: usize) -> Result<(), NoRoom> {
        let add = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= self.limit);
        let taken = self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        taken.map(|_| ()).map_err(|_| NoRoom)
    }

    fn give_back(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Bytes taken from a budget, given back on drop.
#[derive(Debug)]
pub struct HeldBytes {
    budget: Arc<ByteBudget>,
    taken: usize,
}

impl HeldBytes {
    /// Returns a guard that has taken nothing.
    pub fn new(budget: &Arc<ByteBudget>) -> Self {
        Self {
            budget: Arc::clone(budget),
            taken: 0,
        }
    }

    /// Takes as many more or gives as many back as lead to `bytes`.
    ///
    /// # Errors
    ///
    /// The budget has no room for more; what was taken stays.
    pub fn resize(&mut self, bytes: usize) -> Result<(), NoRoom> {
        match bytes.checked_sub(self.taken) {
            Some(more) => self.budget.take(more)?,
            None => self.budget.give_back(self.taken - bytes),
        }
        self.taken = bytes;
        Ok(())
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.budget.give_back(self.taken);
    }
}

/// Collects bytes that are taken from a budget.
#[derive(Debug)]
pub struct HeldBuffer {
    bytes: BytesMut,
    held: HeldBytes,
}

impl HeldBuffer {
    /// Returns a buffer that holds nothing.
    pub fn new(budget: &Arc<ByteBudget>) -> Self {
        Self {
            bytes: BytesMut::new(),
            held: HeldBytes::new(budget),
        }
    }

    /// Returns how many bytes it has.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether it has none.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Adds bytes to the end.
    ///
    /// # Errors
    ///
    /// The budget has no room for them; the buffer is as before.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), NoRoom> {
        self.held.resize(self.bytes.len() + bytes.len())?;
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the bytes. They count until their last clone is dropped.
    pub fn freeze(self) -> Bytes {
        if self.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for HeldBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
