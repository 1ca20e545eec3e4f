//! Messages with which an entry pulls the configuration document from another,
//! one part at a time, and their `prost` frames.

use std::net::SocketAddr;

use bytes::Bytes;
use prost::Message;

use crate::id::LogOffset;
use crate::id::RevisionNumber;
use crate::wire_error::WireError;

/// The most bytes of a packed document in one part. A part takes 26 ms on a link
/// of 10 Mbit/s, so gossip never waits long behind it.
pub const PART_BYTES: usize = 32 * 1024;

/// Asks for a part of a packed document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DocumentPull {
    /// The address to which the part is sent.
    pub reply_to: SocketAddr,
    /// The wanted revision. If it is no longer cached, the sender answers with a
    /// newer one.
    pub revision: RevisionNumber,
    /// The offset of the part in the packed document, in bytes.
    pub from: u64,
}

/// A part of a packed document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentPart {
    /// The revision of the document.
    pub revision: RevisionNumber,
    /// The length of the whole packed document, in bytes.
    pub length: u64,
    /// The digest of the whole packed document.
    pub digest: u64,
    /// The offset of the part in the packed document, in bytes.
    pub from: u64,
    /// The bytes of the part.
    pub bytes: Bytes,
    /// An offset in the log of the store before which no record has a higher revision, if
    /// one is known.
    pub log_end: Option<LogOffset>,
}

impl DocumentPart {
    /// Returns whether this is the last part of the document.
    pub fn is_last(&self) -> bool {
        self.from + self.bytes.len() as u64 >= self.length
    }
}

/// The frame of [`DocumentPull`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DocumentPullFrame {
    #[prost(string, tag = "1")]
    reply_to: String,
    #[prost(uint64, tag = "2")]
    revision: u64,
    #[prost(uint64, tag = "3")]
    from: u64,
}

/// The frame of [`DocumentPart`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DocumentPartFrame {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(uint64, tag = "2")]
    length: u64,
    #[prost(fixed64, tag = "3")]
    digest: u64,
    #[prost(uint64, tag = "4")]
    from: u64,
    #[prost(bytes = "bytes", tag = "5")]
    bytes: Bytes,
    /// For entries of earlier versions. What they send here is the offset after the record,
    /// and records before it may have a higher revision.
    #[prost(uint64, optional, tag = "6")]
    record_end: Option<u64>,
    #[prost(uint64, optional, tag = "7")]
    log_end: Option<u64>,
}

impl From<DocumentPull> for DocumentPullFrame {
    fn from(pull: DocumentPull) -> Self {
        Self {
            reply_to: pull.reply_to.to_string(),
            revision: pull.revision.0,
            from: pull.from,
        }
    }
}

impl TryFrom<DocumentPullFrame> for DocumentPull {
    type Error = WireError;

    fn try_from(frame: DocumentPullFrame) -> Result<Self, WireError> {
        let reply_to = frame.reply_to.parse();
        Ok(Self {
            reply_to: reply_to.map_err(|_| WireError::Invalid("reply_to"))?,
            revision: RevisionNumber(frame.revision),
            from: frame.from,
        })
    }
}

impl From<DocumentPart> for DocumentPartFrame {
    fn from(part: DocumentPart) -> Self {
        Self {
            revision: part.revision.0,
            length: part.length,
            digest: part.digest,
            from: part.from,
            bytes: part.bytes,
            record_end: part.log_end.map(|end| end.0),
            log_end: part.log_end.map(|end| end.0),
        }
    }
}

impl From<DocumentPartFrame> for DocumentPart {
    fn from(frame: DocumentPartFrame) -> Self {
        Self {
            revision: RevisionNumber(frame.revision),
            length: frame.length,
            digest: frame.digest,
            from: frame.from,
            bytes: frame.bytes,
            log_end: frame.log_end.map(LogOffset),
        }
    }
}
