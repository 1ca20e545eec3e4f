//! Cuts a stream of events at their ends, and reads their positions.
//!
//! Bytes pass unchanged. Only whole events are let through, so that a stream
//! whose backend server breaks off in the middle of an event can go on at
//! another one.

use bytes::Bytes;
use bytes::BytesMut;

/// The longest event that is kept back until its end comes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Whole events, as their bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventBatch {
    /// The bytes of the events, unchanged.
    pub bytes: Bytes,
    /// How many events there are.
    pub count: usize,
    /// The position of the last event that names one.
    pub last_id: Option<u64>,
}

/// Keeps the beginning of an event until its end comes.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

impl EventSplitter {
    /// Returns a splitter without pending bytes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes bytes and returns the events that are whole by now.
    pub fn push(&mut self, bytes: &[u8]) -> EventBatch {
        self.pending.extend_from_slice(bytes);
        let mut batch = EventBatch::default();
        let mut end = 0;
        while let Some(length) = event_length(&self.pending[end..]) {
            let event = &self.pending[end..end + length];
            batch.last_id = event_id(event).or(batch.last_id);
            batch.count += 1;
            end += length;
        }
        if end == 0 && self.pending.len() > MAX_EVENT_BYTES {
            // No such event exists; what comes is passed on as it is.
            end = self.pending.len();
        }
        batch.bytes = self.pending.split_to(end).freeze();
        batch
    }

    /// Returns the bytes of an event whose end has not come.
    pub fn take_rest(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}

/// Returns the length of the first event with the empty line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if index > 0 && (line.is_empty() || line == b"\r") {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        let text = std::str::from_utf8(value).ok()?;
        text.trim().parse().ok()
    })
}
