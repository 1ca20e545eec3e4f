//! How an entry that is behind gets the configuration from others.
//!
//! Pure. The receiver asks, for one part of one document from one entry at a
//! time: what it holds and what is on its way to it are bounded, however many
//! entries are ahead of it, and a sender holds no more than the parts that were
//! asked for. An entry that does not answer is passed over for the next one,
//! which goes on where the document was left off.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;

use crate::gateway::document_parts::DocumentPart;
use crate::gateway::document_parts::DocumentPull;
use crate::gateway::document_parts::PART_BYTES;
use crate::gateway::packed_document::MAX_DOCUMENT_BYTES;
use crate::gateway::packed_document::PackedDocument;
use crate::id::LogOffset;
use crate::id::RevisionNumber;
use crate::quantity::Timestamp;

/// How long an answer may take before another entry is asked. A hub of 200
/// Mbit/s that a hundred entries ask at once sends each of them a part within
/// 140 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// How long nobody is asked after a document that cannot be used, so that a
/// damaged one is not fetched over and over.
const UNUSABLE_PAUSE: Duration = Duration::from_secs(2);
/// The longest packed document: deflate adds some bytes to each 64 KB of what
/// cannot be compressed.
const MAX_PACKED_BYTES: usize = MAX_DOCUMENT_BYTES + MAX_DOCUMENT_BYTES / 1_024 + 1_024;
/// How long a document that was just asked for is kept when a newer one comes,
/// so that entries finish what they began however often it changes. It covers
/// an answer's time-out and the next question.
const KEPT_FOR: Duration = Duration::from_millis(1_500);

/// An entry that has a newer revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DocumentSource {
    /// Where it listens for other entries.
    pub address: SocketAddr,
    /// Its revision.
    pub revision: RevisionNumber,
}

/// A whole document that arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedDocument {
    /// The revision that its sender gave.
    pub revision: RevisionNumber,
    /// The document.
    pub document: PackedDocument,
    /// Where the log of the store goes on after it, if known.
    pub log_end: Option<LogOffset>,
}

#[derive(Clone, Debug)]
struct PartialDocument {
    revision: RevisionNumber,
    digest: u64,
    length: usize,
    bytes: BytesMut,
    log_end: Option<LogOffset>,
}

impl PartialDocument {
    fn begin(part: &DocumentPart, length: usize) -> Self {
        Self {
            revision: part.revision,
            digest: part.digest,
            length,
            bytes: BytesMut::new(),
            log_end: part.log_end,
        }
    }

    fn is_of(&self, part: &DocumentPart) -> bool {
        self.revision == part.revision && self.digest == part.digest
    }
}

/// The receiving side.
#[derive(Clone, Debug, Default)]
pub struct DocumentFetcher {
    source: Option<SocketAddr>,
    asked_at: Option<Timestamp>,
    partial: Option<PartialDocument>,
    failures: usize,
    unusable: Option<(RevisionNumber, Timestamp)>,
}

impl DocumentFetcher {
    /// Returns a transfer that has not begun.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the question that is due, if any. `sources` are the entries that
    /// are ahead, the one to be asked first in front; `address` is where this
    /// entry listens.
    pub fn next_pull(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        sources: &[DocumentSource],
    ) -> Option<(SocketAddr, DocumentPull)> {
        if sources.is_empty() {
            // Nobody is ahead any more: what came in parts is of no use.
            *self = Self::default();
            return None;
        }
        let sources: Vec<DocumentSource> = sources
            .iter()
            .filter(|source| self.is_usable(now, source.revision))
            .copied()
            .collect();
        if sources.is_empty() {
            return None;
        }
        if let Some(asked_at) = self.asked_at {
            if now.since(asked_at) < ANSWER_TIMEOUT {
                return None;
            }
            self.give_up_source(sources.len());
        }
        let source = self.choose(&sources);
        self.source = Some(source.address);
        self.asked_at = Some(now);
        let (revision, from) = match &self.partial {
            Some(partial) => (partial.revision, partial.bytes.len() as u64),
            None => (source.revision, 0),
        };
        let pull = DocumentPull {
            reply_to: address,
            revision,
            from,
        };
        Some((source.address, pull))
    }

    /// Stays with the entry that answers: it keeps the document that it was
    /// asked for, which others may have replaced by a newer one.
    fn choose(&self, sources: &[DocumentSource]) -> DocumentSource {
        let same = |source: &&DocumentSource| Some(source.address) == self.source;
        let other = &sources[self.failures % sources.len()];
        *sources.iter().find(same).unwrap_or(other)
    }

    /// Leaves the entry that did not answer. What came of a document that no
    /// entry goes on with is dropped after all were asked: others may have it in
    /// another packed form.
    fn give_up_source(&mut self, sources: usize) {
        self.failures += 1;
        self.source = None;
        if self.failures.is_multiple_of(sources.max(1) + 1) {
            self.partial = None;
        }
    }

    fn is_usable(&self, now: Timestamp, revision: RevisionNumber) -> bool {
        self.unusable.is_none_or(|(unusable, noted_at)| {
            revision > unusable || now.since(noted_at) >= UNUSABLE_PAUSE
        })
    }

    /// Notes that the document of a revision cannot be used as it arrived. It is
    /// not asked for again for a while, and then at another entry.
    pub fn note_unusable(&mut self, now: Timestamp, revision: RevisionNumber) {
        self.failures += 1;
        self.source = None;
        self.unusable = Some((revision, now));
    }

    /// Returns how often another entry had to be asked since the last whole
    /// document.
    pub fn failures(&self) -> usize {
        self.failures
    }

    /// Returns the bytes of the document that have arrived.
    pub fn buffered_bytes(&self) -> usize {
        self.partial
            .as_ref()
            .map_or(0, |partial| partial.bytes.len())
    }

    /// Takes a part over. Returns the document once it is whole. `own` is the
    /// revision that this entry has; parts of others that are no newer, and
    /// parts that do not continue what is there, change nothing.
    pub fn take_part(
        &mut self,
        own: RevisionNumber,
        part: &DocumentPart,
    ) -> Option<ReceivedDocument> {
        let length = usize::try_from(part.length).ok()?;
        if part.revision <= own || length > MAX_PACKED_BYTES || part.bytes.is_empty() {
            return None;
        }
        if !self.fits(part) {
            return None;
        }
        self.asked_at = None;
        let known = self.partial.take().filter(|partial| partial.is_of(part));
        let mut partial = known.unwrap_or_else(|| PartialDocument::begin(part, length));
        partial.bytes.extend_from_slice(&part.bytes);
        if partial.bytes.len() < partial.length {
            self.partial = Some(partial);
            return None;
        }
        self.failures = 0;
        let document = PackedDocument::from_packed(partial.bytes.freeze());
        if document.digest() != partial.digest {
            self.source = None;
            return None;
        }
        Some(ReceivedDocument {
            revision: partial.revision,
            document,
            log_end: partial.log_end,
        })
    }

    /// Returns whether a part goes on with what is there, or begins a newer
    /// document. One that was packed otherwise is begun anew.
    fn fits(&mut self, part: &DocumentPart) -> bool {
        let Some(partial) = &self.partial else {
            return part.from == 0;
        };
        if partial.is_of(part) {
            let there = partial.bytes.len();
            let room = partial.length.saturating_sub(there);
            return part.from == there as u64 && part.bytes.len() <= room;
        }
        if partial.revision == part.revision {
            self.partial = None;
            self.asked_at = None;
            return part.from == 0;
        }
        part.revision > partial.revision && part.from == 0
    }
}

/// A document that may be asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedDocument {
    /// Its revision.
    pub revision: RevisionNumber,
    /// The document.
    pub document: PackedDocument,
    /// Where the log of the store goes on after it, if known.
    pub log_end: Option<LogOffset>,
}

/// The sending side: the newest document, and at most one older one that an
/// entry was asking for when the newest came.
#[derive(Clone, Debug, Default)]
pub struct DocumentCache {
    newest: Option<CachedDocument>,
    asked_at: Option<Timestamp>,
    older: Option<(CachedDocument, Timestamp)>,
}

impl DocumentCache {
    /// Returns a shelf without documents.
    pub fn new() -> Self {
        Self::default()
    }

    /// Puts the newest document in front.
    pub fn put(&mut self, now: Timestamp, kept: CachedDocument) {
        self.drop_unasked(now);
        let before = self.newest.replace(kept);
        let asked_at = self.asked_at.take();
        let recent = asked_at.filter(|at| now.since(*at) < KEPT_FOR);
        if self.older.is_none() {
            self.older = before.zip(recent);
        }
    }

    /// Drops the older document once nobody asks for it any more.
    pub fn drop_unasked(&mut self, now: Timestamp) {
        self.older
            .take_if(|(_, asked_at)| now.since(*asked_at) >= KEPT_FOR);
    }

    /// Returns the newest document.
    pub fn newest(&self) -> Option<&CachedDocument> {
        self.newest.as_ref()
    }

    /// Returns the bytes of all documents kept.
    pub fn kept_bytes(&self) -> usize {
        let older = self.older.iter().map(|(kept, _)| kept);
        let kept = self.newest.iter().chain(older);
        kept.map(|kept| kept.document.bytes().len()).sum()
    }

    /// Returns the part that answers a question; nothing if this entry is not
    /// ahead of whoever asks.
    pub fn part_for(&mut self, now: Timestamp, pull: &DocumentPull) -> Option<DocumentPart> {
        if let Some((kept, asked_at)) = &mut self.older
            && kept.revision == pull.revision
        {
            *asked_at = now;
            return part_of(kept, pull.from);
        }
        let newest = self.newest.as_ref()?;
        if newest.revision < pull.revision {
            return None;
        }
        self.asked_at = Some(now);
        let from = if newest.revision == pull.revision {
            pull.from
        } else {
            0
        };
        part_of(newest, from)
    }
}

fn part_of(kept: &CachedDocument, from: u64) -> Option<DocumentPart> {
    let bytes = kept.document.bytes();
    let begin = usize::try_from(from).ok().filter(|at| *at < bytes.len())?;
    let end = bytes.len().min(begin + PART_BYTES);
    Some(DocumentPart {
        revision: kept.revision,
        length: bytes.len() as u64,
        digest: kept.document.digest(),
        from,
        bytes: Bytes::copy_from_slice(&bytes[begin..end]),
        log_end: kept.log_end,
    })
}
