//! An answer as it grows: chunks by position, and its end marker.
//!
//! Pure. Chunks may come late, repeated or reordered and from more than one
//! attempt. A position is filled once and never changes; an answer is whole
//! when its end marker and all positions before it are there.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::id::ChunkPosition;

/// The status and form of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
}

/// How an answer ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// All chunks before the end were produced.
    Complete,
    /// No backend server could complete it.
    Failed(String),
}

/// What became of a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkOutcome {
    /// It extended the contiguous part of the answer.
    Placed,
    /// It is kept until the positions before it are filled.
    Early,
    /// Its position is filled already; the chunk was dropped.
    Repeated,
    /// It lies behind the end marker, or too far ahead; it was dropped.
    OutOfRange,
}

/// How far ahead of the contiguous part a chunk may lie.
const MAX_EARLY: u64 = 1_024;

/// One answer.
#[derive(Clone, Debug, Default)]
pub struct AnswerLog {
    head: Option<AnswerHead>,
    chunks: Vec<Bytes>,
    early: BTreeMap<u64, Bytes>,
    end_position: Option<u64>,
    end: Option<AnswerEnd>,
    confirmed: u64,
}

impl AnswerLog {
    /// Returns an answer without content.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the head. The first one stays.
    pub fn set_head(&mut self, head: AnswerHead) {
        self.head.get_or_insert(head);
    }

    /// Returns the head, if it is known.
    pub fn head(&self) -> Option<&AnswerHead> {
        self.head.as_ref()
    }

    /// Returns the number of contiguous chunks.
    pub fn len(&self) -> ChunkPosition {
        ChunkPosition(self.chunks.len() as u64)
    }

    /// Returns whether there is no contiguous chunk.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Returns the contiguous chunks from `position` on.
    pub fn chunks_from(&self, position: ChunkPosition) -> &[Bytes] {
        let start = (position.0 as usize).min(self.chunks.len());
        &self.chunks[start..]
    }

    /// Places a chunk.
    pub fn place(&mut self, position: ChunkPosition, chunk: Bytes) -> ChunkOutcome {
        let next = self.chunks.len() as u64;
        if position.0 < next {
            return ChunkOutcome::Repeated;
        }
        let behind_end = self.end_position.is_some_and(|end| position.0 >= end);
        if self.end.is_some() || behind_end || position.0 > next + MAX_EARLY {
            return ChunkOutcome::OutOfRange;
        }
        if position.0 > next {
            self.early.entry(position.0).or_insert(chunk);
            return ChunkOutcome::Early;
        }
        self.chunks.push(chunk);
        self.place_early();
        self.check_complete();
        ChunkOutcome::Placed
    }

    fn place_early(&mut self) {
        while let Some(chunk) = self.early.remove(&(self.chunks.len() as u64)) {
            self.chunks.push(chunk);
        }
    }

    /// Sets the end marker behind the last position. A second marker, or one
    /// before a filled position, is ignored.
    pub fn place_end(&mut self, position: ChunkPosition) {
        if self.end_position.is_none() && position >= self.len() {
            self.end_position = Some(position.0);
            self.early.retain(|early, _| *early < position.0);
        }
        self.check_complete();
    }

    fn check_complete(&mut self) {
        let whole = self.end_position == Some(self.chunks.len() as u64);
        if whole && self.end.is_none() {
            assert!(self.early.is_empty(), "nothing may lie behind the end");
            self.end = Some(AnswerEnd::Complete);
        }
    }

    /// Ends the answer without its end marker. A complete one stays complete.
    pub fn fail(&mut self, reason: impl Into<String>) {
        self.end.get_or_insert(AnswerEnd::Failed(reason.into()));
    }

    /// Returns how the answer ended, if it did.
    pub fn end(&self) -> Option<&AnswerEnd> {
        self.end.as_ref()
    }

    /// Drops what came ahead of the contiguous part, when another attempt
    /// continues from there.
    pub fn drop_early(&mut self) {
        self.early.clear();
    }

    /// Notes that the mirror has the chunks before `position`.
    pub fn confirm(&mut self, position: ChunkPosition) {
        let position = position.0.min(self.chunks.len() as u64);
        self.confirmed = self.confirmed.max(position);
    }

    /// Returns how many chunks the mirror has, which callers may be shown.
    pub fn confirmed(&self) -> ChunkPosition {
        ChunkPosition(self.confirmed)
    }
}
