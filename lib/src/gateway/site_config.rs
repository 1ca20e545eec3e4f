//! The configuration that an operator publishes, with its look-ups.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use sha2::Digest;
use sha2::Sha256;

use crate::id::AccountName;
use crate::id::RevisionNumber;
use crate::id::ServiceName;
use crate::id::ZoneName;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatRule {
    /// At most once for each try of a caller.
    AtMostOnce,
    /// Any number of times.
    Idempotent,
}

/// A service that a route leads to, and its share of the route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// The share, relative to the other targets.
    pub weight: u32,
}

/// A route: which requests it takes, and how they are to be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// The route's name.
    pub name: String,
    /// The host that requests must name.
    pub host: String,
    /// What the path must begin with.
    pub prefix: String,
    /// Where requests go.
    pub targets: Vec<RouteTarget>,
    /// Whether requests may be repeated.
    pub repeat: RepeatRule,
    /// Whether the answer is a series of events.
    pub streaming: bool,
    /// Whether a stream may go on at another backend server.
    pub resumable: bool,
    /// The longest time that the operator wants a request held.
    pub timeout: Duration,
    /// The time within which an answer has its full value.
    pub target_latency: Duration,
    /// The longest pause between events with which a stream has its full value.
    pub target_pause: Duration,
    /// The most backend servers that one try may run on.
    pub max_attempts: u32,
    /// The urgency, 0 the most urgent.
    pub priority: u8,
    /// Whether no key is needed.
    pub public: bool,
}

impl RouteRule {
    /// Returns whether a request may run a second time.
    pub fn may_repeat(&self) -> bool {
        match self.repeat {
            RepeatRule::Idempotent => true,
            RepeatRule::AtMostOnce => self.streaming && self.resumable,
        }
    }

    /// Chooses a target by a number that is the same for all tries of a call.
    pub fn target(&self, number: u64) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut left = number.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(&target.service);
            }
            left -= weight;
        }
        None
    }
}

/// How replicas of a service may be ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleRule {
    /// The fewest replicas in each zone.
    pub min: u32,
    /// The most replicas in each zone.
    pub max: u32,
    /// How long a new replica takes to serve.
    pub startup: Duration,
    /// The price of a reclaimable replica relative to another.
    pub reclaimable_price: f64,
    /// The relative price of a replica in each zone.
    pub zone_prices: BTreeMap<ZoneName, f64>,
}

/// What a service's model replicas can hold.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRule {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that the memory holds.
    pub kv_capacity_tokens: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// The service's name.
    pub name: ServiceName,
    /// Connections that one backend server accepts from all callers.
    pub max_connections: u32,
    /// Model replicas, if the service has them.
    pub engine: Option<EngineRule>,
    /// Whether and how replicas may be ordered.
    pub scale: Option<ScaleRule>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The longest head, in bytes.
    pub head_bytes: usize,
    /// The longest body, in bytes.
    pub body_bytes: usize,
}

/// What an account's limits count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitUnit {
    /// Requests.
    Requests,
    /// Tokens of prompt and generation together.
    Tokens {
        /// What a request counts that states no tokens.
        default_tokens: u64,
    },
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountRule {
    /// The account's name.
    pub name: AccountName,
    /// The urgency of its requests, which goes before that of the route.
    pub priority: Option<u8>,
    /// What its limits count.
    pub unit: LimitUnit,
    /// Units a second over all entries; 0 for no limit.
    pub rate: f64,
    /// Units that may be used at once on top.
    pub burst: f64,
}

/// The digest of an API key. Keys are found by it, so that the time of a
/// look-up tells nothing about the keys that exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

/// One whole configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteConfig {
    /// The revision, which rises with every change.
    pub revision: RevisionNumber,
    /// All routes.
    pub routes: Vec<RouteRule>,
    /// All services.
    pub services: BTreeMap<ServiceName, ServiceRule>,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
    /// All client accounts; if there are none, no key is needed.
    pub accounts: Vec<AccountRule>,
    keys: HashMap<KeyDigest, usize>,
    /// The shortest target latency among the routes of each service, of streams
    /// and of others.
    shortest_targets: BTreeMap<(ServiceName, bool), Duration>,
}

impl SiteConfig {
    /// Builds a configuration without accounts.
    pub fn new(revision: RevisionNumber, limits: CallerLimits) -> Self {
        Self {
            revision,
            routes: Vec::new(),
            services: BTreeMap::new(),
            limits,
            accounts: Vec::new(),
            keys: HashMap::new(),
            shortest_targets: BTreeMap::new(),
        }
    }

    /// Adds a route.
    pub fn add_route(&mut self, route: RouteRule) {
        for target in &route.targets {
            let key = (target.service.clone(), route.streaming);
            let shortest = self.shortest_targets.entry(key);
            let shortest = shortest.or_insert(route.target_latency);
            *shortest = (*shortest).min(route.target_latency);
        }
        self.routes.push(route);
    }

    /// Returns the shortest target latency among the routes of a service that
    /// answer as `route` does, with streams or not.
    pub fn shortest_target(&self, service: &ServiceName, route: &RouteRule) -> Duration {
        let key = (service.clone(), route.streaming);
        let shortest = self.shortest_targets.get(&key).copied();
        shortest.unwrap_or(route.target_latency)
    }

    /// Adds an account with its keys.
    pub fn add_account<'a>(
        &mut self,
        account: AccountRule,
        keys: impl IntoIterator<Item = &'a str>,
    ) {
        let index = self.accounts.len();
        self.accounts.push(account);
        for key in keys {
            self.keys.insert(KeyDigest::of(key), index);
        }
    }

    /// Finds the route of a host and path: the longest prefix wins.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Finds the account that holds a key.
    pub fn find_account(&self, key: &str) -> Option<&AccountRule> {
        let index = self.keys.get(&KeyDigest::of(key))?;
        self.accounts.get(*index)
    }

    /// Returns whether requests on a route need a key.
    pub fn needs_key(&self, route: &RouteRule) -> bool {
        !route.public && !self.accounts.is_empty()
    }
}
