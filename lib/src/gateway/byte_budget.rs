//! Limits the memory for request and response bodies that an entry buffers.
//!
//! Bytes are reserved as they arrive, not in advance for the largest allowed body,
//! so that only buffered bytes count. They are released when their last owner is
//! dropped: a request, or the connection that writes them.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use bytes::BytesMut;

/// The share of an entry's memory that buffered bodies may use. Buffers that
/// grow by doubling occupy up to twice the counted bytes, so half of the memory
/// is left for tables, connections and the process itself.
const BUFFER_SHARE: f64 = 0.25;
/// The unit of the setting `memory_mb`, in bytes.
const BYTES_PER_MEGABYTE: f64 = 1_000_000.0;

/// The budget has no room for more bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetExhausted;

impl fmt::Display for BudgetExhausted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the byte budget is exhausted")
    }
}

impl std::error::Error for BudgetExhausted {}

/// The number of bytes that may be buffered at once, and how many are in use.
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

    /// Returns the budget of a process that may use `memory_mb` megabytes.
    pub fn from_memory_mb(memory_mb: f64) -> Self {
        // The cast rounds down to whole bytes; a negative size becomes 0.
        Self::new((memory_mb * BYTES_PER_MEGABYTE * BUFFER_SHARE) as usize)
    }

    /// Returns whether `bytes` more bytes would fit now.
    pub fn has_room(&self, bytes: usize) -> bool {
        let sum = self.used().checked_add(bytes);
        sum.is_some_and(|sum| sum <= self.limit)
    }

    /// Returns the number of reserved bytes.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    fn reserve(&self, bytes: usize) -> Result<(), BudgetExhausted> {
        let add = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= self.limit);
        let reserved = self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        reserved.map(|_| ()).map_err(|_| BudgetExhausted)
    }

    fn release(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Bytes reserved in a budget; released on drop.
#[derive(Debug)]
pub struct ByteReservation {
    budget: Arc<ByteBudget>,
    reserved: usize,
}

impl ByteReservation {
    /// Returns a reservation of no bytes.
    pub fn new(budget: &Arc<ByteBudget>) -> Self {
        Self {
            budget: Arc::clone(budget),
            reserved: 0,
        }
    }

    /// Reserves or releases bytes until `bytes` are reserved.
    ///
    /// # Errors
    ///
    /// The budget is exhausted; the reservation is unchanged.
    pub fn resize(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        match bytes.checked_sub(self.reserved) {
            Some(more) => self.budget.reserve(more)?,
            None => self.budget.release(self.reserved - bytes),
        }
        self.reserved = bytes;
        Ok(())
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.budget.release(self.reserved);
    }
}

/// A buffer whose bytes are reserved in a budget.
#[derive(Debug)]
pub struct BudgetedBuffer {
    bytes: BytesMut,
    reservation: ByteReservation,
}

impl BudgetedBuffer {
    /// Returns an empty buffer.
    pub fn new(budget: &Arc<ByteBudget>) -> Self {
        Self {
            bytes: BytesMut::new(),
            reservation: ByteReservation::new(budget),
        }
    }

    /// Returns the number of buffered bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// The budget is exhausted; the buffer is unchanged.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), BudgetExhausted> {
        self.reservation.resize(self.bytes.len() + bytes.len())?;
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the bytes. They stay reserved until their last clone is dropped.
    pub fn freeze(self) -> Bytes {
        if self.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for BudgetedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
