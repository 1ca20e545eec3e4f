//! The configuration in force, and when it was last confirmed as the newest.
//!
//! Pure. Only higher revisions are ever adopted. A confirmation by the store
//! counts from the time at which the request was sent, not from the arrival of
//! the response, since the process may be suspended in between.

use std::sync::Arc;
use std::time::Duration;

use crate::gateway::document_parts::DocumentPart;
use crate::gateway::document_parts::DocumentPull;
use crate::gateway::document_transfer::CachedDocument;
use crate::gateway::document_transfer::DocumentCache;
use crate::gateway::log_position::LogPosition;
use crate::gateway::log_position::LogRead;
use crate::gateway::log_position::ReadProgress;
use crate::gateway::packed_document::PackedDocument;
use crate::gateway::platform_interface::LogSlice;
use crate::gateway::site_config::SiteConfig;
use crate::id::LogOffset;
use crate::id::RevisionNumber;
use crate::quantity::Timestamp;

/// Tracks the newest configuration and caches its document for other entries.
#[derive(Clone, Debug, Default)]
pub struct ConfigFollower {
    adopted: Option<Arc<SiteConfig>>,
    /// When the first configuration was adopted.
    first_adopted_at: Option<Timestamp>,
    cache: DocumentCache,
    confirmed_at: Option<Timestamp>,
    position: LogPosition,
    /// The log offset after the last unusable document without a revision.
    unusable_end: Option<LogOffset>,
    /// The highest revision whose document is unusable.
    unusable_revision: Option<RevisionNumber>,
}

impl ConfigFollower {
    /// Returns a follower without a configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the adopted configuration, the newest usable one that this entry has
    /// received.
    pub fn adopted(&self) -> Option<&Arc<SiteConfig>> {
        self.adopted.as_ref()
    }

    /// Returns the adopted revision; 0 if there is none.
    pub fn revision(&self) -> RevisionNumber {
        let no_revision = RevisionNumber(0);
        self.adopted
            .as_ref()
            .map_or(no_revision, |config| config.revision)
    }

    /// Adopts a configuration if its revision is higher; returns whether it was
    /// adopted. No record before the offset `log_end` has a higher one, if that is known.
    pub fn offer(
        &mut self,
        now: Timestamp,
        config: SiteConfig,
        document: PackedDocument,
        log_end: Option<LogOffset>,
    ) -> bool {
        if config.revision <= self.revision() {
            return false;
        }
        let cached = CachedDocument {
            revision: config.revision,
            document,
            log_end,
        };
        self.cache.put(now, cached);
        self.adopted = Some(Arc::new(config));
        self.first_adopted_at = self.first_adopted_at.or(Some(now));
        if let Some(end) = log_end {
            self.position.note_sent(end);
        }
        self.note_place(log_end);
        let revision = self.revision();
        self.unusable_revision = self.unusable_revision.filter(|other| *other > revision);
        true
    }

    /// Records an unusable document, after which the log continues at `end`. The adopted
    /// configuration no longer counts as the newest until one is adopted that is newer than
    /// the document: by its `revision`, or else by its place.
    pub fn note_unusable(&mut self, end: LogOffset, revision: Option<RevisionNumber>) {
        match revision {
            Some(revision) => {
                let newer = Some(revision).filter(|revision| *revision > self.revision());
                self.unusable_revision = self.unusable_revision.max(newer);
            }
            None => self.unusable_end = self.unusable_end.max(Some(end)),
        }
    }

    /// Records that the adopted configuration lies before the offset `log_end`.
    pub fn note_place(&mut self, log_end: Option<LogOffset>) {
        self.unusable_end = self.unusable_end.filter(|end| Some(*end) > log_end);
    }

    /// Returns the part of a document that another entry pulls.
    pub fn part_for(&mut self, now: Timestamp, pull: &DocumentPull) -> Option<DocumentPart> {
        self.cache.part_for(now, pull)
    }

    /// Drops documents that are no longer pulled.
    pub fn drop_unrequested(&mut self, now: Timestamp) {
        self.cache.drop_unrequested(now);
    }

    /// Returns the number of bytes of the cached documents.
    pub fn cached_bytes(&self) -> usize {
        self.cache.cached_bytes()
    }

    /// Returns the offset before which all records of the log are known here, from reads
    /// or from other entries. None if older records may have to be read.
    pub fn log_end(&self) -> Option<LogOffset> {
        self.position.complete_end()
    }

    /// Returns the next read of the log.
    pub fn next_read(&self) -> LogRead {
        self.position.next_read()
    }

    /// Records the result of a read of the log that was sent at `requested_at`.
    pub fn note_slice(
        &mut self,
        read: LogRead,
        slice: &LogSlice,
        requested_at: Timestamp,
    ) -> ReadProgress {
        // An empty log is not the one in which an earlier configuration was published.
        let had_config = self.first_adopted_at.is_some_and(|at| at < requested_at);
        if slice.end == LogOffset(0) && had_config {
            self.position = LogPosition::Unread;
            return ReadProgress::Contradicted;
        }
        self.position.note_slice(read, slice, requested_at)
    }

    /// Records that the log no longer has the records before `oldest`, which were to be read
    /// next. If a read of the newest records hid none that are left, returns when that read
    /// was sent: the adopted configuration was the newest then.
    pub fn note_dropped(&mut self, oldest: LogOffset) -> Option<Timestamp> {
        self.position.note_dropped(oldest)
    }

    /// Records that no revision above `newest` existed at `requested_at`. This
    /// confirms the adopted configuration unless `newest` is higher than its revision
    /// or an unusable document may be newer.
    pub fn confirm(&mut self, newest: RevisionNumber, requested_at: Timestamp) {
        let has_unusable = self.unusable_end.is_some() || self.unusable_revision.is_some();
        let is_newest = newest <= self.revision() && !has_unusable;
        if !is_newest || self.adopted.is_none() {
            return;
        }
        self.confirmed_at = self.confirmed_at.max(Some(requested_at));
    }

    /// Returns when the adopted revision was last confirmed as the newest.
    pub fn confirmed_at(&self) -> Option<Timestamp> {
        self.confirmed_at
    }

    /// Returns the time since the last confirmation, if there was one.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }
}
