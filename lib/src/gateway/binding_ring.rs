//! Where the versions that began streams lie in the store: a fixed ring of keys, each with the
//! streams of one write.
//!
//! Pure: no I/O and no clock.

use bytes::Bytes;
use prost::Message;

use crate::gateway::platform_interface::LogRecord;
use crate::gateway::stream_frames::StreamNotice;
use crate::gateway::stream_frames::StreamNoticeFrame;

/// The keys of the ring. With one write a second they hold streams for longer than callers
/// take them up.
const SLOTS: u64 = 32;
/// How the keys of the ring begin.
const KEY_PREFIX: &str = "streams-";
/// The most streams of one write: some 33 kB.
pub const MAX_STREAMS_PER_WRITE: usize = 4_096;

/// The place of one write in the ring.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RingSlot(u64);

impl RingSlot {
    /// Returns the key of its record.
    pub fn key(self) -> String {
        format!("{KEY_PREFIX}{:02}", self.0)
    }

    /// Returns the slot of the next write.
    pub fn next(self) -> Self {
        Self((self.0 + 1) % SLOTS)
    }

    fn of_record(record: &LogRecord) -> Option<Self> {
        let number = record.key.as_deref()?.strip_prefix(KEY_PREFIX)?;
        Some(Self(number.parse().ok()?))
    }

    /// Returns the slot after the last write among the records of the topic.
    pub fn after(records: &[LogRecord]) -> Self {
        let written = records
            .iter()
            .filter_map(|record| Some((record.offset, Self::of_record(record)?)));
        let last = written.max_by_key(|(offset, _)| *offset);
        last.map_or(Self::default(), |(_, slot)| slot.next())
    }
}

/// Encodes the streams of one write.
pub fn encode_streams(notice: StreamNotice) -> Bytes {
    Bytes::from(StreamNoticeFrame::from(notice).encode_to_vec())
}

/// Returns the streams of all writes among the records of the topic, the oldest first.
/// Records that cannot be read are omitted.
pub fn decode_streams(records: &[LogRecord]) -> Vec<StreamNotice> {
    let mut written: Vec<&LogRecord> = records
        .iter()
        .filter(|record| RingSlot::of_record(record).is_some())
        .collect();
    written.sort_by_key(|record| record.offset);
    let decode = |record: &LogRecord| {
        let frame = StreamNoticeFrame::decode(record.value.clone()).ok()?;
        StreamNotice::try_from(frame).ok()
    };
    written.into_iter().filter_map(decode).collect()
}
