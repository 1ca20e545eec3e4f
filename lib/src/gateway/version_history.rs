//! Which versions of servers served a short time ago.
//!
//! Pure: no I/O and no clock. A stream may have begun at a server that is no longer listed,
//! so a version counts as one that may have begun it for as long as streams are remembered.

use std::collections::BTreeMap;

use crate::gateway::stream_versions::STREAM_MEMORY;
use crate::gateway::version_binding::VersionSet;
use crate::id::ServerVersion;
use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// When servers of each version were last listed.
type LastListed = BTreeMap<Option<ServerVersion>, Timestamp>;

/// The versions that an entry had listed a short time ago, by service.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    services: BTreeMap<ServiceName, LastListed>,
    /// Whether it goes on from the history of entries that were lost.
    is_restored: bool,
}

impl VersionHistory {
    /// Returns the history of an entry that starts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a server of a version is listed.
    pub fn note(&mut self, now: Timestamp, service: &ServiceName, version: Option<&ServerVersion>) {
        let versions = match self.services.get_mut(service) {
            Some(versions) => versions,
            None => self.services.entry(service.clone()).or_default(),
        };
        let known = versions
            .iter_mut()
            .find(|(known, _)| known.as_ref() == version);
        match known {
            Some((_, listed_at)) => *listed_at = now,
            None => {
                versions.insert(version.cloned(), now);
            }
        }
    }

    /// Returns the versions of a service that are or were listed.
    pub fn recent(&self, now: Timestamp, service: &ServiceName) -> VersionSet {
        let versions = self.services.get(service).into_iter().flatten();
        let recent = versions.filter(|(_, listed_at)| now.since(**listed_at) < STREAM_MEMORY);
        recent.map(|(version, _)| version.clone()).collect()
    }

    /// Returns the versions of all services that are or were listed.
    pub fn all_recent(&self, now: Timestamp) -> BTreeMap<ServiceName, VersionSet> {
        let services = self.services.keys();
        let recent = services.map(|service| (service.clone(), self.recent(now, service)));
        recent
            .filter(|(_, versions)| !versions.is_empty())
            .collect()
    }

    /// Adds the versions that entries had listed before they were lost, or nothing if there
    /// were no entries.
    pub fn restore(&mut self, now: Timestamp, stored: &BTreeMap<ServiceName, VersionSet>) {
        self.is_restored = true;
        for (service, versions) in stored {
            for version in versions {
                self.note(now, service, version.as_ref());
            }
        }
    }

    /// Returns whether the history goes back as far as streams are remembered.
    pub fn is_complete(&self, now: Timestamp) -> bool {
        self.is_restored || now.since(Timestamp(0)) >= STREAM_MEMORY
    }

    /// Drops versions that were last listed too long ago.
    pub fn drop_old(&mut self, now: Timestamp) {
        for versions in self.services.values_mut() {
            versions.retain(|_, listed_at| now.since(*listed_at) < STREAM_MEMORY);
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }
}
