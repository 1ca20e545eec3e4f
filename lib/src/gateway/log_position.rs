//! How far the log of a keyed topic was read, where the newest record of a key need not be
//! the one that counts.
//!
//! Pure. A read of the newest records hides earlier ones of the same key. They are read too,
//! as far as the store still has them, so that an entry that starts knows as much as one
//! that read every record as it came.

use std::fmt;

use crate::gateway::platform_interface::LogSlice;
use crate::id::LogOffset;
use crate::quantity::Timestamp;

/// The next read of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogRead {
    /// The newest record of each key.
    Newest,
    /// The records from an offset on that a read of the newest ones hid.
    Hidden(LogOffset),
    /// The records from an offset on, when there are any.
    Following(LogOffset),
}

impl fmt::Display for LogRead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Newest => write!(f, "newest"),
            Self::Hidden(from) => write!(f, "hidden from {from}"),
            Self::Following(from) => write!(f, "from {from}"),
        }
    }
}

/// What is known of a log after a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadProgress {
    /// Everything up to the end that the log had when the read was sent.
    Current,
    /// There is more to be read.
    Behind,
    /// Nothing: the response contradicts what was read before.
    Contradicted,
}

/// How far a log was read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogPosition {
    /// Not at all, or records after the last read are gone.
    #[default]
    Unread,
    /// The newest records up to `end` were read, and all records before `from`.
    Partial {
        /// The first record that may be hidden.
        from: LogOffset,
        /// The end of the log at the read of the newest records.
        end: LogOffset,
        /// When that read was sent.
        read_at: Timestamp,
    },
    /// All records before an offset were read.
    Complete(LogOffset),
}

impl LogPosition {
    /// Returns the read that continues from here.
    pub fn next_read(self) -> LogRead {
        match self {
            Self::Unread => LogRead::Newest,
            Self::Partial { from, .. } => LogRead::Hidden(from),
            Self::Complete(end) => LogRead::Following(end),
        }
    }

    /// Returns the offset before which all records were read.
    pub fn complete_end(self) -> Option<LogOffset> {
        match self {
            Self::Unread | Self::Partial { .. } => None,
            Self::Complete(end) => Some(end),
        }
    }

    /// Moves on by the result of `read`, which was sent at `read_at`.
    pub fn note_slice(
        &mut self,
        read: LogRead,
        slice: &LogSlice,
        read_at: Timestamp,
    ) -> ReadProgress {
        match read {
            // The log was longer before: it is another one, or an older copy.
            LogRead::Hidden(from) | LogRead::Following(from) if slice.end < from => {
                *self = Self::Unread;
                ReadProgress::Contradicted
            }
            LogRead::Newest => self.note_newest(slice, read_at),
            LogRead::Hidden(from) => self.note_hidden(from, slice),
            LogRead::Following(from) => self.note_following(from, slice),
        }
    }

    fn note_newest(&mut self, slice: &LogSlice, read_at: Timestamp) -> ReadProgress {
        let records = slice.records.iter();
        let newest = records.filter(|record| record.offset < slice.end).count();
        let hides_none = newest as u64 >= slice.end.0;
        let read = if hides_none {
            Self::Complete(slice.end)
        } else {
            Self::Partial {
                from: LogOffset(0),
                end: slice.end,
                read_at,
            }
        };
        // Another entry may have sent what it knows during the read.
        let sent = std::mem::replace(self, read).complete_end();
        if let Some(sent) = sent {
            self.note_sent(sent);
        }
        self.progress(slice)
    }

    fn note_hidden(&mut self, from: LogOffset, slice: &LogSlice) -> ReadProgress {
        if slice.read_end <= from {
            // Nothing follows although the newest records do: the log has no more to tell.
            if let Self::Partial { end, .. } = *self {
                *self = Self::Complete(end);
            }
            return ReadProgress::Behind;
        }
        self.note_sent(slice.read_end);
        self.progress(slice)
    }

    fn note_following(&mut self, from: LogOffset, slice: &LogSlice) -> ReadProgress {
        let is_stuck = slice.is_truncated() && slice.read_end <= from;
        if slice.misses_first(from) || is_stuck {
            *self = Self::Unread;
            return ReadProgress::Behind;
        }
        self.note_sent(slice.read_end);
        self.progress(slice)
    }

    fn progress(self, slice: &LogSlice) -> ReadProgress {
        match self {
            Self::Complete(end) if end >= slice.end => ReadProgress::Current,
            _ => ReadProgress::Behind,
        }
    }

    /// Notes that all records before `end` are known, from reads or from another entry.
    pub fn note_sent(&mut self, end: LogOffset) {
        *self = match *self {
            Self::Unread => Self::Complete(end),
            Self::Complete(known) => Self::Complete(known.max(end)),
            Self::Partial { end: newest, .. } if end >= newest => Self::Complete(end),
            Self::Partial {
                from,
                end: newest,
                read_at,
            } => Self::Partial {
                from: from.max(end),
                end: newest,
                read_at,
            },
        };
    }

    /// Notes that the store has no record before `oldest` any more. If there is nothing
    /// hidden left to read, returns when the newest records were read.
    pub fn note_dropped(&mut self, oldest: LogOffset) -> Option<Timestamp> {
        let Self::Partial { from, end, read_at } = *self else {
            *self = Self::Unread;
            return None;
        };
        if oldest > end || oldest <= from {
            // Records after the read of the newest ones are gone, or the answer makes no sense.
            *self = Self::Unread;
            return None;
        }
        self.note_sent(oldest);
        (oldest == end).then_some(read_at)
    }
}
