//! Which configuration is in force, and how old that knowledge is.
//!
//! Pure. Only higher revisions are ever adopted. The knowledge that the
//! adopted one is the newest ages from the moment at which the question was
//! asked that the store answered, never from the answer's arrival: a process
//! may be frozen in between.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::gateway::site_config::SiteConfig;
use crate::id::RevisionNumber;
use crate::quantity::Timestamp;

/// A configuration together with the document it was decoded from.
#[derive(Clone, Debug)]
pub struct AdoptedConfig {
    /// The decoded configuration.
    pub config: Arc<SiteConfig>,
    /// The document, to pass on to other entries.
    pub document: Bytes,
}

/// Follows the configuration forwards.
#[derive(Clone, Debug, Default)]
pub struct ConfigFollower {
    adopted: Option<AdoptedConfig>,
    confirmed_at: Option<Timestamp>,
}

impl ConfigFollower {
    /// Returns a follower that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the configuration in force as far as this entry knows.
    pub fn adopted(&self) -> Option<&AdoptedConfig> {
        self.adopted.as_ref()
    }

    /// Returns the adopted revision; 0 if there is none.
    pub fn revision(&self) -> RevisionNumber {
        let none = RevisionNumber(0);
        self.adopted.as_ref().map_or(none, |a| a.config.revision)
    }

    /// Offers a configuration; returns whether it was adopted.
    pub fn offer(&mut self, config: SiteConfig, document: Bytes) -> bool {
        if config.revision <= self.revision() {
            return false;
        }
        let config = Arc::new(config);
        self.adopted = Some(AdoptedConfig { config, document });
        true
    }

    /// Notes that no revision above `newest` existed at `asked_at`. It counts
    /// only if this entry has adopted that revision.
    pub fn confirm(&mut self, newest: RevisionNumber, asked_at: Timestamp) {
        if newest > self.revision() || self.adopted.is_none() {
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
