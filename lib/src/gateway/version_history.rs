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
pub struct VersionHistory(BTreeMap<ServiceName, LastListed>);

impl VersionHistory {
    /// Returns the history of an entry that starts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a server of a version is listed.
    pub fn note(&mut self, now: Timestamp, service: &ServiceName, version: Option<&ServerVersion>) {
        let versions = match self.0.get_mut(service) {
            Some(versions) => versions,
            None => self.0.entry(service.clone()).or_default(),
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
        let versions = self.0.get(service).into_iter().flatten();
        let recent = versions.filter(|(_, listed_at)| now.since(**listed_at) < STREAM_MEMORY);
        recent.map(|(version, _)| version.clone()).collect()
    }

    /// Returns whether the history goes back as far as streams are remembered.
    pub fn is_complete(&self, now: Timestamp) -> bool {
        now.since(Timestamp(0)) >= STREAM_MEMORY
    }

    /// Drops versions that were last listed too long ago.
    pub fn drop_old(&mut self, now: Timestamp) {
        for versions in self.0.values_mut() {
            versions.retain(|_, listed_at| now.since(*listed_at) < STREAM_MEMORY);
        }
        self.0.retain(|_, versions| !versions.is_empty());
    }
}
