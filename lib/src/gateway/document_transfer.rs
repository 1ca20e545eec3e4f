//! How an entry with an old revision gets the configuration from other entries.
//!
//! Pure. The receiver pulls one part of one document from one source at a time.
//! This bounds what the receiver buffers and what is in flight to it, however
//! many entries have a newer revision, and a sender buffers only the parts that
//! were pulled. If a source does not answer, the receiver continues the document
//! from the next source.

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

/// How long a source may take to answer before the next one is asked. A hub with
/// 200 Mbit/s that a hundred entries ask at the same time sends each of them a
/// part within 140 ms.
const PULL_TIMEOUT: Duration = Duration::from_millis(600);
/// How long no source is asked again for an unusable revision or an older one, so
/// that a damaged document is not fetched continuously.
const UNUSABLE_RETRY_DELAY: Duration = Duration::from_secs(2);
/// The longest packed document, in bytes. Deflate adds a few bytes to each 64 KB
/// of incompressible data.
const MAX_PACKED_BYTES: usize = MAX_DOCUMENT_BYTES + MAX_DOCUMENT_BYTES / 1_024 + 1_024;
/// How long a replaced document stays cached after the last pull of it, so that
/// entries can finish it however often the configuration changes. It covers the
/// timeout of a pull and the next pull.
const OLDER_RETENTION: Duration = Duration::from_millis(1_500);

/// An entry from which a newer revision can be pulled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DocumentSource {
    /// The address at which it accepts connections of other entries.
    pub address: SocketAddr,
    /// Its revision.
    pub revision: RevisionNumber,
}

/// A completely received document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedDocument {
    /// The revision, as its sender stated it.
    pub revision: RevisionNumber,
    /// The document.
    pub document: PackedDocument,
    /// The offset of the next record in the log of the store, if known.
    pub log_end: Option<LogOffset>,
}

/// The parts of a document received so far.
#[derive(Clone, Debug)]
struct PartialDocument {
    revision: RevisionNumber,
    digest: u64,
    length: usize,
    bytes: BytesMut,
    log_end: Option<LogOffset>,
}

impl PartialDocument {
    fn from_first_part(part: &DocumentPart, length: usize) -> Self {
        Self {
            revision: part.revision,
            digest: part.digest,
            length,
            bytes: BytesMut::new(),
            log_end: part.log_end,
        }
    }

    fn matches(&self, part: &DocumentPart) -> bool {
        self.revision == part.revision && self.digest == part.digest
    }
}

/// The receiving side: fetches a document part by part.
#[derive(Clone, Debug, Default)]
pub struct DocumentFetcher {
    source: Option<SocketAddr>,
    /// When the pending pull was sent.
    pulled_at: Option<Timestamp>,
    partial: Option<PartialDocument>,
    failures: usize,
    /// The last unusable revision, and when it was found to be unusable.
    unusable: Option<(RevisionNumber, Timestamp)>,
}

impl DocumentFetcher {
    /// Returns a fetcher that has not begun.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the pull to send now, if any, and its receiver. `sources` are the
    /// entries with a newer revision, in the order in which to ask them; `address`
    /// is the address of this entry.
    pub fn next_pull(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        sources: &[DocumentSource],
    ) -> Option<(SocketAddr, DocumentPull)> {
        if sources.is_empty() {
            // No entry has a newer revision any more, so the parts are useless.
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
        if let Some(pulled_at) = self.pulled_at {
            if now.since(pulled_at) < PULL_TIMEOUT {
                return None;
            }
            self.abandon_source(sources.len());
        }
        let source = self.choose_source(&sources);
        self.source = Some(source.address);
        self.pulled_at = Some(now);
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

    /// Chooses the same source again while it answers. It still caches the document
    /// that is being pulled, while other sources may have only a newer one.
    fn choose_source(&self, sources: &[DocumentSource]) -> DocumentSource {
        let same = |source: &&DocumentSource| Some(source.address) == self.source;
        let next = &sources[self.failures % sources.len()];
        *sources.iter().find(same).unwrap_or(next)
    }

    /// Abandons the source that did not answer. Once all sources were asked and none
    /// continued the document, drops its buffered parts, since the sources may have
    /// the document in another packed form.
    fn abandon_source(&mut self, source_count: usize) {
        self.failures += 1;
        self.source = None;
        if self.failures.is_multiple_of(source_count.max(1) + 1) {
            self.partial = None;
        }
    }

    fn is_usable(&self, now: Timestamp, revision: RevisionNumber) -> bool {
        self.unusable.is_none_or(|(unusable, rejected_at)| {
            revision > unusable || now.since(rejected_at) >= UNUSABLE_RETRY_DELAY
        })
    }

    /// Records that the received document of a revision is unusable. It is pulled
    /// again after a delay, from another source.
    pub fn note_unusable(&mut self, now: Timestamp, revision: RevisionNumber) {
        self.failures += 1;
        self.source = None;
        self.unusable = Some((revision, now));
    }

    /// Returns how often a source failed since the last complete document.
    pub fn failures(&self) -> usize {
        self.failures
    }

    /// Returns the number of buffered bytes of an incomplete document.
    pub fn buffered_bytes(&self) -> usize {
        self.partial
            .as_ref()
            .map_or(0, |partial| partial.bytes.len())
    }

    /// Adds a part. Returns the document once it is complete. Parts of revisions
    /// up to `own_revision`, the one of this entry, and parts that do not continue
    /// the buffered ones change nothing.
    pub fn take_part(
        &mut self,
        own_revision: RevisionNumber,
        part: &DocumentPart,
    ) -> Option<ReceivedDocument> {
        let length = usize::try_from(part.length).ok()?;
        if part.revision <= own_revision || length > MAX_PACKED_BYTES || part.bytes.is_empty() {
            return None;
        }
        if !self.accepts(part) {
            return None;
        }
        self.pulled_at = None;
        let partial = self.partial.take().filter(|partial| partial.matches(part));
        let mut partial = partial.unwrap_or_else(|| PartialDocument::from_first_part(part, length));
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

    /// Returns whether a part continues the buffered ones or begins a newer
    /// document. If the same revision comes in another packed form, the buffered
    /// parts are dropped.
    fn accepts(&mut self, part: &DocumentPart) -> bool {
        let Some(partial) = &self.partial else {
            return part.from == 0;
        };
        if partial.matches(part) {
            let received = partial.bytes.len();
            let remaining = partial.length.saturating_sub(received);
            return part.from == received as u64 && part.bytes.len() <= remaining;
        }
        if partial.revision == part.revision {
            self.partial = None;
            self.pulled_at = None;
            return part.from == 0;
        }
        part.revision > partial.revision && part.from == 0
    }
}

/// A document that other entries may pull.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedDocument {
    /// Its revision.
    pub revision: RevisionNumber,
    /// The document.
    pub document: PackedDocument,
    /// The offset of the next record in the log of the store, if known.
    pub log_end: Option<LogOffset>,
}

/// The sending side: the newest document, and at most one older document that an
/// entry was pulling when the newest one came.
#[derive(Clone, Debug, Default)]
pub struct DocumentCache {
    newest: Option<CachedDocument>,
    /// When a part of the newest document was last pulled.
    requested_at: Option<Timestamp>,
    /// The older document, and when a part of it was last pulled.
    older: Option<(CachedDocument, Timestamp)>,
}

impl DocumentCache {
    /// Returns an empty cache.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the newest document.
    pub fn put(&mut self, now: Timestamp, cached: CachedDocument) {
        self.drop_unrequested(now);
        let replaced = self.newest.replace(cached);
        let requested_at = self.requested_at.take();
        let recent = requested_at.filter(|at| now.since(*at) < OLDER_RETENTION);
        if self.older.is_none() {
            self.older = replaced.zip(recent);
        }
    }

    /// Drops the older document once it is no longer pulled.
    pub fn drop_unrequested(&mut self, now: Timestamp) {
        self.older
            .take_if(|(_, requested_at)| now.since(*requested_at) >= OLDER_RETENTION);
    }

    /// Returns the newest document.
    pub fn newest(&self) -> Option<&CachedDocument> {
        self.newest.as_ref()
    }

    /// Returns the number of bytes of all cached documents.
    pub fn cached_bytes(&self) -> usize {
        let older = self.older.iter().map(|(cached, _)| cached);
        let cached = self.newest.iter().chain(older);
        cached.map(|cached| cached.document.bytes().len()).sum()
    }

    /// Returns the part that a pull asks for. If the requested revision is not
    /// cached, returns the first part of the newest document, or none if that is
    /// older than the requested revision.
    pub fn part_for(&mut self, now: Timestamp, pull: &DocumentPull) -> Option<DocumentPart> {
        if let Some((cached, requested_at)) = &mut self.older
            && cached.revision == pull.revision
        {
            *requested_at = now;
            return part_of(cached, pull.from);
        }
        let newest = self.newest.as_ref()?;
        if newest.revision < pull.revision {
            return None;
        }
        self.requested_at = Some(now);
        let from = if newest.revision == pull.revision {
            pull.from
        } else {
            0
        };
        part_of(newest, from)
    }
}

fn part_of(cached: &CachedDocument, from: u64) -> Option<DocumentPart> {
    let bytes = cached.document.bytes();
    let begin = usize::try_from(from).ok().filter(|at| *at < bytes.len())?;
    let end = bytes.len().min(begin + PART_BYTES);
    Some(DocumentPart {
        revision: cached.revision,
        length: bytes.len() as u64,
        digest: cached.document.digest(),
        from,
        bytes: Bytes::copy_from_slice(&bytes[begin..end]),
        log_end: cached.log_end,
    })
}
