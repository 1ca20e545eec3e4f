//! Which versions of servers served a short time ago.
//!
//! Pure: no I/O and no clock. A stream may have begun at a server that is no longer listed,
//! so a version counts as one that may have begun it for as long as streams are remembered.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gateway::stream_versions::STREAM_MEMORY;
use crate::gateway::version_binding::VersionSet;
use crate::id::ServerVersion;
use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// How long a version may be missing from the list and still count as listed all the time.
pub const LISTING_GAP: Duration = Duration::from_secs(10);

/// Since when, and until when, servers of a version were listed without a gap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedSpan {
    /// When the first one was listed.
    pub since: Timestamp,
    /// When the last one was.
    pub until: Timestamp,
}

/// When servers of each version were listed.
type ListedVersions = BTreeMap<Option<ServerVersion>, ListedSpan>;

/// The versions that an entry had listed a short time ago, by service.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    services: BTreeMap<ServiceName, ListedVersions>,
    /// Whether it goes on from the history of entries that were lost.
    is_restored: bool,
    /// Whether no entry ran before.
    is_first: bool,
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
            Some((_, span)) => {
                if now.since(span.until) >= LISTING_GAP {
                    span.since = now;
                }
                span.until = now;
            }
            None => {
                let span = ListedSpan {
                    since: now,
                    until: now,
                };
                versions.insert(version.cloned(), span);
            }
        }
    }

    /// Returns the versions of a service that are or were listed.
    pub fn recent(&self, now: Timestamp, service: &ServiceName) -> VersionSet {
        let versions = self.services.get(service).into_iter().flatten();
        let recent = versions.filter(|(_, span)| now.since(span.until) < STREAM_MEMORY);
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

    /// Notes that no entry ran before this one and those that started with it.
    pub fn note_first_start(&mut self) {
        self.is_restored = true;
        self.is_first = true;
    }

    /// Returns when servers of a version were listed lately, or `None` if they were not.
    pub fn listed_span(
        &self,
        service: &ServiceName,
        version: &ServerVersion,
    ) -> Option<ListedSpan> {
        let mut versions = self.services.get(service)?.iter();
        let listed = versions.find(|(known, _)| known.as_ref() == Some(version));
        listed.map(|(_, span)| *span)
    }

    /// Returns when the latest of the recent versions of a service was first listed.
    pub fn changed_at(&self, now: Timestamp, service: &ServiceName) -> Timestamp {
        let spans = self.services.get(service).into_iter().flatten();
        let recent = spans.filter(|(_, span)| now.since(span.until) < STREAM_MEMORY);
        let since = recent.map(|(_, span)| span.since);
        since.max().unwrap_or(Timestamp(0))
    }

    /// Returns the only version that may have begun streams of a service, if this entry knows
    /// by itself that no other served. What it restored may lack versions.
    pub fn sole_version(&self, now: Timestamp, service: &ServiceName) -> Option<ServerVersion> {
        let knows_by_itself = self.is_first || now.since(Timestamp(0)) >= STREAM_MEMORY;
        let mut recent = self.recent(now, service).into_iter();
        match (recent.next(), recent.next()) {
            (Some(version), None) if knows_by_itself => version,
            _ => None,
        }
    }

    /// Returns the services with servers that were listed lately.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Drops versions that were last listed too long ago.
    pub fn drop_old(&mut self, now: Timestamp) {
        for versions in self.services.values_mut() {
            versions.retain(|_, span| now.since(span.until) < STREAM_MEMORY);
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }
}
