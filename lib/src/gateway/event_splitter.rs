//! Cuts a stream of events at their ends, and reads their positions.
//!
//! Bytes pass unchanged. Only whole events are let through, so that a stream
//! whose backend server breaks off in the middle of an event can go on at
//! another one. Of an event that is too long to be kept back, the beginning is
//! let through; the stream may then go on elsewhere only after its end.

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

/// The most bytes that end a line and the empty line after it, but for one.
const END_BYTES: usize = 3;
/// The longest line that may name a position, in bytes: twenty digits with the
/// field's name and some blanks.
const POSITION_LINE: usize = 32;

/// An event of which the beginning was let through, up to the middle of a line.
#[derive(Clone, Copy, Debug)]
struct BegunEvent {
    /// Its position, if the beginning names it.
    id: Option<u64>,
}

/// Keeps the beginning of an event until its end comes.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    begun: Option<BegunEvent>,
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
        while let Some(length) = event_length(&self.pending[end..], self.begun.is_some()) {
            let event = &self.pending[end..end + length];
            batch.last_id = self.id_in(event).or(batch.last_id);
            self.begun = None;
            batch.count += 1;
            end += length;
        }
        if end == 0 && self.pending.len() > MAX_EVENT_BYTES {
            batch.bytes = self.flush_partial();
        } else {
            batch.bytes = self.pending.split_to(end).freeze();
        }
        batch
    }

    /// Returns how many bytes are kept back.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether the beginning of an event was let through, and its end
    /// has not come.
    pub fn is_inside_event(&self) -> bool {
        self.begun.is_some()
    }

    /// Lets the beginning of an event through that can't be kept back. Bytes
    /// stay that may belong to its end or to a line that names its position, so
    /// that both are recognised.
    pub fn flush_partial(&mut self) -> Bytes {
        let length = self.pending.len();
        let newline = self.pending.iter().rposition(|byte| *byte == b'\n');
        let line_start = newline.map_or(0, |index| index + 1);
        let is_short = length - line_start <= POSITION_LINE;
        let end = if is_short { line_start } else { length };
        let tail = self.pending[..end].iter().rev().take(END_BYTES);
        let kept = tail.take_while(|byte| is_line_end(**byte)).count();
        let bytes = self.pending.split_to(end - kept).freeze();
        if !bytes.is_empty() {
            let id = self.id_in(&bytes);
            self.begun = Some(BegunEvent { id });
        }
        bytes
    }

    /// Returns the position of the event that `bytes` are of, the first ones or
    /// those after what was let through.
    fn id_in(&self, bytes: &[u8]) -> Option<u64> {
        match self.begun {
            Some(begun) => begun.id.or_else(|| event_id(whole_lines(bytes))),
            None => event_id(bytes),
        }
    }

    /// Returns the bytes of an event whose end has not come.
    pub fn take_rest(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}

fn is_line_end(byte: u8) -> bool {
    byte == b'\n' || byte == b'\r'
}

/// Returns what follows the first end of a line.
fn whole_lines(bytes: &[u8]) -> &[u8] {
    let line_end = bytes.iter().position(|byte| *byte == b'\n');
    line_end.map_or(&[], |index| &bytes[index + 1..])
}

/// Returns the length of the first event with the empty line that ends it.
/// Bytes that begin in the middle of a line have no empty line before its end.
fn event_length(bytes: &[u8], mid_line: bool) -> Option<usize> {
    let mut line_start = 0;
    let mut in_first = mid_line;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        let is_empty = line.is_empty() || line == b"\r";
        if index > 0 && is_empty && !in_first {
            return Some(index + 1);
        }
        in_first = false;
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
