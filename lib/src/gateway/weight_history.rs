//! How routes of streams shared their requests among services a short time ago.
//!
//! Pure: no I/O and no clock. A stream goes on at the service that began it. If nobody knows
//! which one that is, it can be drawn again only while the shares are those of the time at
//! which the stream may have begun.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::Hash;
use std::hash::Hasher;

use twox_hash::XxHash64;

use crate::gateway::site_config::RouteRule;
use crate::gateway::site_config::SiteConfig;
use crate::gateway::stream_versions::STREAM_MEMORY;
use crate::id::RevisionNumber;
use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// Identifies a route by the requests that match it: a hash of its host and prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RouteKey(pub u64);

impl RouteKey {
    /// Returns the key of a route.
    pub fn of(route: &RouteRule) -> Self {
        let mut hasher = XxHash64::with_seed(9);
        route.host.to_ascii_lowercase().hash(&mut hasher);
        route.prefix.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// Identifies the services of a route and their shares: equal ones draw the same service for
/// the same attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ShareDigest(pub u64);

impl ShareDigest {
    /// Returns the digest of the shares of a route.
    pub fn of(route: &RouteRule) -> Self {
        let mut hasher = XxHash64::with_seed(10);
        let is_shared = route.serving_targets().count() > 1;
        for target in route.serving_targets() {
            target.service.as_str().hash(&mut hasher);
            // The only service gets all requests, whatever its weight.
            let weight = if is_shared { target.weight } else { 1 };
            weight.hash(&mut hasher);
        }
        Self(hasher.finish())
    }
}

/// How a route shares its requests, as an entry knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteShares {
    /// It did so for as long as streams go on.
    Steady(ShareDigest),
    /// It did so otherwise a short time ago, or has appeared since.
    Changed,
}

/// The shares of one route in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct NotedShares {
    digest: ShareDigest,
    /// Since when they are known to be in force.
    since: ShareStart,
}

/// Since when shares are known to be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShareStart {
    /// They were in force before the entry started, for as long as streams go on.
    Earlier,
    /// They were those of the first configuration that the entry received.
    Started(Timestamp),
    /// They changed then.
    Changed(Timestamp),
}

/// The shares that entries had in force before they were lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredShares {
    /// There were no entries.
    NothingServed,
    /// The shares that had not changed a short time before.
    Known(BTreeMap<RouteKey, ShareDigest>),
}

impl StoredShares {
    fn has(&self, route: RouteKey, digest: ShareDigest) -> bool {
        match self {
            Self::NothingServed => true,
            Self::Known(shares) => shares.get(&route) == Some(&digest),
        }
    }
}

/// The shares of the routes of streams, and when they changed.
#[derive(Clone, Debug, Default)]
pub struct WeightHistory {
    revision: Option<RevisionNumber>,
    routes: BTreeMap<RouteKey, NotedShares>,
    /// What entries had in force before they were lost, if it is known.
    stored: Option<StoredShares>,
    /// The services that have streams.
    streaming: BTreeSet<ServiceName>,
    /// The services that share the streams of a route with others.
    shared: BTreeSet<ServiceName>,
    /// When the shares of a route of each service last changed.
    changed: BTreeMap<ServiceName, Timestamp>,
}

impl WeightHistory {
    /// Returns the history of an entry that starts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes the configuration in force.
    pub fn note(&mut self, now: Timestamp, config: &SiteConfig) {
        if self.revision == Some(config.revision) {
            return;
        }
        let since = match self.revision {
            None => ShareStart::Started(now),
            Some(_) => ShareStart::Changed(now),
        };
        self.revision = Some(config.revision);
        let earlier = std::mem::take(&mut self.routes);
        self.shared.clear();
        self.streaming.clear();
        for route in config.routes.iter().filter(|route| route.streaming) {
            let digest = ShareDigest::of(route);
            let known = earlier.get(&RouteKey::of(route));
            let shares = match known {
                Some(known) if known.digest == digest => *known,
                _ => NotedShares { digest, since },
            };
            self.routes.insert(RouteKey::of(route), shares);
            let is_shared = route.serving_targets().count() > 1;
            for target in route.serving_targets() {
                let service = &target.service;
                self.streaming.insert(service.clone());
                if is_shared {
                    self.shared.insert(service.clone());
                }
                if shares.since == ShareStart::Changed(now) {
                    self.changed.insert(service.clone(), now);
                }
            }
        }
        self.changed
            .retain(|_, changed_at| now.since(*changed_at) < STREAM_MEMORY);
        self.apply_stored();
    }

    /// Adds the shares that entries had in force before they were lost.
    pub fn restore(&mut self, stored: StoredShares) {
        self.stored = Some(stored);
        self.apply_stored();
    }

    fn apply_stored(&mut self) {
        let Some(stored) = &self.stored else {
            return;
        };
        for (route, shares) in &mut self.routes {
            let is_started = matches!(shares.since, ShareStart::Started(_));
            if is_started && stored.has(*route, shares.digest) {
                shares.since = ShareStart::Earlier;
            }
        }
    }

    /// Returns how a route shares its requests, or `None` if it is not known how it did a short
    /// time ago.
    pub fn shares(&self, now: Timestamp, route: RouteKey) -> Option<RouteShares> {
        self.revision?;
        let Some(shares) = self.routes.get(&route) else {
            return Some(RouteShares::Changed);
        };
        match shares.since {
            ShareStart::Started(at) if now.since(at) < STREAM_MEMORY => None,
            ShareStart::Changed(at) if now.since(at) < STREAM_MEMORY => Some(RouteShares::Changed),
            ShareStart::Earlier | ShareStart::Started(_) | ShareStart::Changed(_) => {
                Some(RouteShares::Steady(shares.digest))
            }
        }
    }

    /// Returns the shares of all routes that did not change a short time ago.
    pub fn all_steady(&self, now: Timestamp) -> BTreeMap<RouteKey, ShareDigest> {
        let routes = self.routes.keys();
        let steady = routes.filter_map(|route| match self.shares(now, *route)? {
            RouteShares::Steady(digest) => Some((*route, digest)),
            RouteShares::Changed => None,
        });
        steady.collect()
    }

    /// Returns whether the shares of any route changed a short time ago.
    pub fn has_changed(&self, now: Timestamp) -> bool {
        let mut changed = self.changed.values();
        changed.any(|changed_at| now.since(*changed_at) < STREAM_MEMORY)
    }

    /// Returns whether it is not known of any route how it shared its requests a short time
    /// ago.
    pub fn is_uncertain(&self, now: Timestamp) -> bool {
        let mut routes = self.routes.keys();
        routes.any(|route| self.shares(now, *route).is_none())
    }

    /// Returns whether there is a configuration.
    pub fn has_revision(&self) -> bool {
        self.revision.is_some()
    }

    /// Returns whether a service has streams.
    pub fn has_streams(&self, service: &ServiceName) -> bool {
        self.streaming.contains(service)
    }

    /// Returns whether another service may have begun a stream on a route of this one, so that
    /// its streams have to be announced to other entries.
    pub fn is_shared(&self, now: Timestamp, service: &ServiceName) -> bool {
        let changed_at = self.changed.get(service);
        self.shared.contains(service)
            || changed_at.is_some_and(|changed_at| now.since(*changed_at) < STREAM_MEMORY)
    }
}
