//! The configuration that an operator publishes, with lookups in it.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use sha2::Digest;
use sha2::Sha256;
use twox_hash::XxHash64;

use crate::gateway::call_head::CallId;
use crate::id::AccountName;
use crate::id::RevisionNumber;
use crate::id::ServiceName;
use crate::id::ZoneName;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatRule {
    /// At most once for each attempt of a caller.
    AtMostOnce,
    /// Any number of times.
    Idempotent,
}

/// A service to which a route forwards, and its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// The share, relative to the other targets.
    pub weight: u32,
}

/// A route: which requests match it, and how they are served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// The route's name.
    pub name: String,
    /// The host that a request must name.
    pub host: String,
    /// The prefix that the path of a request must have.
    pub prefix: String,
    /// The services to which requests are forwarded.
    pub targets: Vec<RouteTarget>,
    /// Whether a request may run more than once.
    pub repeat: RepeatRule,
    /// Whether the response is a stream of events.
    pub streaming: bool,
    /// Whether another backend server can resume a stream.
    pub resumable: bool,
    /// The longest time that a request may take.
    pub timeout: Duration,
    /// The latency up to which a response has its full value.
    pub target_latency: Duration,
    /// The pause between events up to which a stream has its full value.
    pub target_pause: Duration,
    /// The most backend servers on which one attempt of a caller may run.
    pub max_attempts: u32,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no API key.
    pub public: bool,
}

impl RouteRule {
    /// Returns whether a request may be sent a second time.
    pub fn may_repeat(&self) -> bool {
        match self.repeat {
            RepeatRule::Idempotent => true,
            RepeatRule::AtMostOnce => self.streaming && self.resumable,
        }
    }

    /// Returns the targets that get requests.
    pub fn serving_targets(&self) -> impl Iterator<Item = &RouteTarget> {
        self.targets.iter().filter(|target| target.weight > 0)
    }

    /// Returns the service that runs an attempt of a caller, if nothing binds it to another.
    pub fn service_of(&self, id: &CallId) -> Option<&ServiceName> {
        self.target(XxHash64::oneshot(0, id.0.as_bytes()))
    }

    /// Chooses a target by a number that is the same for all attempts of a call.
    pub fn target(&self, number: u64) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut remaining = number.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if remaining < weight {
                return Some(&target.service);
            }
            remaining -= weight;
        }
        None
    }
}

/// How many replicas of a service may be ordered, and at which price.
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleRule {
    /// The fewest replicas in each zone.
    pub min: u32,
    /// The most replicas in each zone.
    pub max: u32,
    /// How long a new replica takes until it serves requests.
    pub startup: Duration,
    /// The price of a reclaimable replica relative to an on-demand one.
    pub reclaimable_price: f64,
    /// The relative price of a replica in each zone.
    pub zone_prices: BTreeMap<ZoneName, f64>,
}

/// The capacity of a model replica of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRule {
    /// Requests that run concurrently.
    pub slots: u32,
    /// Tokens that fit into the KV cache.
    pub kv_capacity_tokens: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// The service's name.
    pub name: ServiceName,
    /// Connections that one backend server accepts in total.
    pub max_connections: u32,
    /// The capacity of a model replica, if the service runs a model.
    pub engine: Option<EngineRule>,
    /// How replicas may be ordered; none if they may not.
    pub scale: Option<ScaleRule>,
}

/// Limits on the size of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The longest request head, in bytes.
    pub head_bytes: usize,
    /// The longest request body, in bytes.
    pub body_bytes: usize,
}

/// The unit in which the limits of an account are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitUnit {
    /// Requests.
    Requests,
    /// Tokens of the prompt and of the generated text together.
    Tokens {
        /// The tokens counted for a request that states none.
        default_tokens: u64,
    },
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountRule {
    /// The account's name.
    pub name: AccountName,
    /// The priority of its requests, which overrides that of the route.
    pub priority: Option<u8>,
    /// The unit of its limits.
    pub unit: LimitUnit,
    /// Units per second over all entries; 0 for no limit.
    pub rate: f64,
    /// Units that may be used at once in addition.
    pub burst: f64,
}

/// The digest of an API key. Keys are looked up by digest, so that the time of a
/// lookup reveals nothing about the existing keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

/// A complete configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteConfig {
    /// The revision, which increases with every change.
    pub revision: RevisionNumber,
    /// All routes.
    pub routes: Vec<RouteRule>,
    /// All services.
    pub services: BTreeMap<ServiceName, ServiceRule>,
    /// Limits on the size of requests.
    pub limits: CallerLimits,
    /// All client accounts. Without any, requests need no API key.
    pub accounts: Vec<AccountRule>,
    /// The index in `accounts` by the digest of an API key.
    keys: HashMap<KeyDigest, usize>,
    /// The shortest target latency among the routes of each service, separately
    /// for streaming routes (true) and others.
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

    /// Returns the shortest target latency among the routes of a service that are
    /// streaming like `route`, or not streaming like it.
    pub fn shortest_target(&self, service: &ServiceName, route: &RouteRule) -> Duration {
        let key = (service.clone(), route.streaming);
        let shortest = self.shortest_targets.get(&key).copied();
        shortest.unwrap_or(route.target_latency)
    }

    /// Adds an account with its API keys.
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

    /// Finds the route of a host and path; the longest matching prefix wins.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Finds the account to which an API key belongs.
    pub fn find_account(&self, key: &str) -> Option<&AccountRule> {
        let index = self.keys.get(&KeyDigest::of(key))?;
        self.accounts.get(*index)
    }

    /// Returns whether requests on a route need an API key.
    pub fn needs_key(&self, route: &RouteRule) -> bool {
        !route.public && !self.accounts.is_empty()
    }
}
