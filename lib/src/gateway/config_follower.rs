//! Which configuration is in force, and how old that knowledge is.
//!
//! Pure. Only higher revisions are ever adopted. The knowledge that the
//! adopted one is the newest ages from the moment at which the question was
//! asked that the store answered, never from the answer's arrival: a process
//! may be frozen in between.

use std::sync::Arc;
use std::time::Duration;

use crate::gateway::document_parts::DocumentPart;
use crate::gateway::document_parts::DocumentPull;
use crate::gateway::document_transfer::CachedDocument;
use crate::gateway::document_transfer::DocumentCache;
use crate::gateway::packed_document::PackedDocument;
use crate::gateway::site_config::SiteConfig;
use crate::id::LogOffset;
use crate::id::RevisionNumber;
use crate::quantity::Timestamp;

/// Follows the configuration forwards.
#[derive(Clone, Debug, Default)]
pub struct ConfigFollower {
    adopted: Option<Arc<SiteConfig>>,
    shelf: DocumentCache,
    confirmed_at: Option<Timestamp>,
    log_end: Option<LogOffset>,
    /// Where the log goes on after a document that cannot be used, if it is the
    /// newest one that is known.
    unusable_end: Option<LogOffset>,
}

impl ConfigFollower {
    /// Returns a follower that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the configuration in force as far as this entry knows.
    pub fn adopted(&self) -> Option<&Arc<SiteConfig>> {
        self.adopted.as_ref()
    }

    /// Returns the adopted revision; 0 if there is none.
    pub fn revision(&self) -> RevisionNumber {
        let none = RevisionNumber(0);
        self.adopted.as_ref().map_or(none, |config| config.revision)
    }

    /// Offers a configuration; returns whether it was adopted. `log_end` is
    /// where the log goes on after it, if known.
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
        let kept = CachedDocument {
            revision: config.revision,
            document,
            log_end,
        };
        self.shelf.put(now, kept);
        self.adopted = Some(Arc::new(config));
        self.log_end = self.log_end.max(log_end);
        self.unusable_end = self.unusable_end.filter(|end| Some(*end) > log_end);
        true
    }

    /// Notes that the log has a document that cannot be used, and goes on at
    /// `end` after it. What is adopted is not the newest then, until a later one
    /// is.
    pub fn note_unusable(&mut self, end: LogOffset) {
        self.note_read(end);
        self.unusable_end = self.unusable_end.max(Some(end));
    }

    /// Returns the part of a document that another entry asks for.
    pub fn answer(&mut self, now: Timestamp, pull: &DocumentPull) -> Option<DocumentPart> {
        self.shelf.part_for(now, pull)
    }

    /// Lets go of documents that nobody asks for any more.
    pub fn drop_unrequested(&mut self, now: Timestamp) {
        self.shelf.drop_unasked(now);
    }

    /// Returns the bytes of the documents kept.
    pub fn cached_bytes(&self) -> usize {
        self.shelf.kept_bytes()
    }

    /// Returns from where the log is to be read; none if the newest record is
    /// to be asked for. What came from other entries is not read again.
    pub fn log_end(&self) -> Option<LogOffset> {
        self.log_end
    }

    /// Notes that the log was read up to `end`.
    pub fn note_read(&mut self, end: LogOffset) {
        self.log_end = self.log_end.max(Some(end));
    }

    /// Notes that the log no longer has the records that would come next.
    pub fn reset_log_end(&mut self) {
        self.log_end = None;
    }

    /// Notes that no revision above `newest` existed at `asked_at`. It counts
    /// only if this entry has adopted that revision.
    pub fn confirm(&mut self, newest: RevisionNumber, asked_at: Timestamp) {
        let is_newest = newest <= self.revision() && self.unusable_end.is_none();
        if !is_newest || self.adopted.is_none() {
            return;
        }
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
    }

    /// Returns when the adopted revision was last known to be the newest.
    pub fn confirmed_at(&self) -> Option<Timestamp> {
        self.confirmed_at
    }

    /// Returns the age of the knowledge, if there is any.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }
}
