//! How the versions that began streams lie in the store: records that are added to for a
//! short time, each by one writer.
//!
//! Pure: no I/O and no clock. What a record says stays true, so writers need no agreement. A
//! writer never uses a key again: a write that takes effect late can only restore a record
//! that was removed, and hides no other.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use crate::gateway::platform_interface::LogSlice;
use crate::gateway::stream_frames::StreamNotice;
use crate::gateway::stream_frames::StreamNoticeFrame;
use crate::gateway::stream_versions::BegunStream;
use crate::gateway::stream_versions::STREAM_MEMORY;
use crate::id::Incarnation;
use crate::id::LogOffset;
use crate::id::StoreGeneration;
use crate::quantity::Timestamp;

/// How long streams are added to one record. Each write repeats what it had before.
const RECORD_SPAN: Duration = Duration::from_secs(1);
/// The streams after which a record gets no further ones: some 8 kB.
const FULL_RECORD: usize = 1_024;
/// The largest record that is read.
const MAX_RECORD_BYTES: usize = 262_144;

/// The record to which one writer adds streams.
#[derive(Clone, Debug)]
pub struct StreamRecord {
    writer: Incarnation,
    number: u64,
    begun_at: Timestamp,
    streams: Vec<BegunStream>,
}

impl StreamRecord {
    /// Returns the first record of a writer.
    pub fn new(writer: Incarnation) -> Self {
        Self {
            writer,
            number: 0,
            begun_at: Timestamp(0),
            streams: Vec::new(),
        }
    }

    /// Returns its key.
    pub fn key(&self) -> String {
        format!("{:016x}-{:08}", self.writer.0, self.number)
    }

    /// Adds streams. They are in a new record if this one is full or was begun too long ago.
    pub fn add(&mut self, now: Timestamp, streams: Vec<BegunStream>) {
        let is_old = now.since(self.begun_at) >= RECORD_SPAN;
        if is_old || self.streams.len() >= FULL_RECORD {
            self.number += 1;
            self.begun_at = now;
            self.streams.clear();
        }
        self.streams.extend(streams);
    }

    /// Moves its streams to a new record, since a write of this one may take effect late.
    pub fn renew(&mut self, now: Timestamp) {
        self.number += 1;
        self.begun_at = now;
    }

    /// Returns its content.
    pub fn encode(&self) -> Bytes {
        let notice = StreamNotice::new(self.streams.iter().cloned());
        Bytes::from(StreamNoticeFrame::from(notice).encode_to_vec())
    }
}

/// Returns the streams of a record, or `None` if it is invalid.
pub fn decode_record(value: &Bytes) -> Option<StreamNotice> {
    if value.len() > MAX_RECORD_BYTES {
        return None;
    }
    let frame = StreamNoticeFrame::decode(value.clone()).ok()?;
    StreamNotice::try_from(frame).ok()
}

/// Finds records whose streams are too old to go on.
#[derive(Clone, Debug, Default)]
pub struct RecordAges {
    /// The generation of the store in which they were seen.
    generation: StoreGeneration,
    /// When each record was first seen as it is.
    seen: BTreeMap<String, (LogOffset, Timestamp)>,
}

impl RecordAges {
    /// Notes the records of the topic, and returns the keys of those that have not changed
    /// for as long as streams are remembered.
    pub fn note(&mut self, now: Timestamp, slice: &LogSlice) -> Vec<String> {
        let mut earlier = std::mem::take(&mut self.seen);
        if self.generation != slice.generation {
            earlier.clear();
        }
        self.generation = slice.generation;
        let mut old = Vec::new();
        for record in &slice.records {
            let Some(key) = &record.key else {
                continue;
            };
            let seen = earlier
                .get(key)
                .filter(|(offset, _)| *offset == record.offset);
            let seen_at = seen.map_or(now, |(_, seen_at)| *seen_at);
            if now.since(seen_at) >= STREAM_MEMORY {
                old.push(key.clone());
            }
            self.seen.insert(key.clone(), (record.offset, seen_at));
        }
        old
    }
}
