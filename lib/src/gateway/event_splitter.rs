//! Splits a stream of server-sent events into whole events and reads their ids.
//!
//! An id is the position of the event in its stream. The bytes stay unchanged.
//! Only whole events are passed on, so that a stream that is interrupted within
//! an event can resume at another backend server. An event that is too long to
//! buffer is passed on in parts; until its end the stream cannot resume.

use bytes::Bytes;
use bytes::BytesMut;

/// The longest event that is buffered until its end arrives.
const MAX_BUFFERED_EVENT_BYTES: usize = 256 * 1024;

/// Whole events, or part of an event that is too long to buffer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventBatch {
    /// The bytes of the events, unchanged.
    pub bytes: Bytes,
    /// The number of events that end in this batch. Comments between them are none.
    pub count: usize,
    /// The id of the last event that has one.
    pub last_id: Option<u64>,
}

/// The longest unfinished end of an event: `\r\n\r\n` without its last byte.
const EVENT_END_TAIL_BYTES: usize = 3;
/// The longest line with an id: the field name, some blanks and twenty digits.
const MAX_ID_LINE_BYTES: usize = 32;

/// An event whose beginning was passed on, up to the middle of a line.
#[derive(Clone, Copy, Debug)]
struct PartialEvent {
    /// Its id, if the beginning contains it.
    id: Option<u64>,
}

/// Buffers the beginning of an event until its end arrives.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    partial: Option<PartialEvent>,
}

impl EventSplitter {
    /// Returns a splitter without pending bytes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends bytes and returns the events that are complete.
    pub fn push(&mut self, bytes: &[u8]) -> EventBatch {
        self.pending.extend_from_slice(bytes);
        let mut batch = EventBatch::default();
        let mut end = 0;
        while let Some(length) = event_length(&self.pending[end..], self.partial.is_some()) {
            let event = &self.pending[end..end + length];
            batch.last_id = self.id_in(event).or(batch.last_id);
            batch.count += usize::from(self.partial.is_some() || has_field(event));
            self.partial = None;
            end += length;
        }
        if end == 0 && self.pending.len() > MAX_BUFFERED_EVENT_BYTES {
            batch.bytes = self.flush_partial();
        } else {
            batch.bytes = self.pending.split_to(end).freeze();
        }
        batch
    }

    /// Returns the number of buffered bytes.
    pub fn pending_len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether the beginning of an event was passed on and its end has
    /// not arrived.
    pub fn is_inside_event(&self) -> bool {
        self.partial.is_some()
    }

    /// Returns whether the bytes so far end inside an event. Line ends and comments after the
    /// last event belong to none.
    pub fn has_unfinished_event(&self) -> bool {
        self.partial.is_some() || has_field(&self.pending)
    }

    /// Removes and returns the beginning of an event that cannot be buffered. Bytes
    /// that may belong to the event's end or to its id line stay in the buffer, so
    /// that both are recognized later.
    pub fn flush_partial(&mut self) -> Bytes {
        let length = self.pending.len();
        let newline = self.pending.iter().rposition(|byte| *byte == b'\n');
        let line_start = newline.map_or(0, |index| index + 1);
        let is_short = length - line_start <= MAX_ID_LINE_BYTES;
        let end = if is_short { line_start } else { length };
        let tail = self.pending[..end].iter().rev().take(EVENT_END_TAIL_BYTES);
        let tail_length = tail.take_while(|byte| is_newline_byte(**byte)).count();
        let bytes = self.pending.split_to(end - tail_length).freeze();
        if !bytes.is_empty() {
            let id = self.id_in(&bytes);
            self.partial = Some(PartialEvent { id });
        }
        bytes
    }

    /// Returns the id of the event to which `bytes` belong. They are its first
    /// bytes, or those after the beginning that was passed on.
    fn id_in(&self, bytes: &[u8]) -> Option<u64> {
        match self.partial {
            Some(partial) => partial.id.or_else(|| event_id(after_first_line(bytes))),
            None => event_id(bytes),
        }
    }

    /// Removes and returns the buffered bytes of an unfinished event.
    pub fn take_pending(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}

fn is_newline_byte(byte: u8) -> bool {
    byte == b'\n' || byte == b'\r'
}

/// Returns whether some line is neither empty nor a comment.
fn has_field(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|byte| *byte == b'\n');
    lines.any(|line| !matches!(line.first(), None | Some(b'\r' | b':')))
}

/// Returns the bytes after the first line.
fn after_first_line(bytes: &[u8]) -> &[u8] {
    let line_end = bytes.iter().position(|byte| *byte == b'\n');
    line_end.map_or(&[], |index| &bytes[index + 1..])
}

/// Returns the length of the first event, including the empty line that ends it.
/// If the bytes start in the middle of a line, the rest of that line does not
/// count as an empty line.
fn event_length(bytes: &[u8], starts_mid_line: bool) -> Option<usize> {
    let mut line_start = 0;
    let mut in_first_line = starts_mid_line;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        let is_empty = line.is_empty() || line == b"\r";
        if index > 0 && is_empty && !in_first_line {
            return Some(index + 1);
        }
        in_first_line = false;
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
