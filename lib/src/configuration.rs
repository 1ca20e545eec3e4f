//! The configuration that operators publish: services, client accounts and
//! policies, as one JSON document.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::finding::FindingList;
use crate::finding::InputPlace;
use crate::id::AccountName;
use crate::id::MachineClass;
use crate::id::PolicyName;
use crate::id::ServiceName;
use crate::id::ZoneName;
use crate::policy::PolicyProgram;
use crate::quantity::HourlyPrice;
use crate::quantity::RequestRate;

/// What kind of backend server a service has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// Model engines with the chat completions interface.
    Model,
    /// Plain HTTP servers.
    Plain,
}

/// Whether a call may be sent to a backend server again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatRule {
    /// A call may be sent again, as long as the caller gets one whole answer.
    Repeatable,
    /// A call runs at most once.
    AtMostOnce,
}

/// A service that callers address by name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// The name in requests.
    pub name: ServiceName,
    /// The kind of its backend servers.
    pub kind: ServiceKind,
    /// Whether its calls may be repeated.
    pub repeat: RepeatRule,
    /// Retries allowed per hundred first tries.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: u32,
    /// The expected time until the first token, in milliseconds, beyond which
    /// a request that would have to queue is refused at once.
    #[serde(default = "default_refuse_beyond_ms")]
    pub refuse_beyond_ms: u64,
    /// The seconds of first-token time that a thousand recomputed tokens are
    /// worth; more keeps prompts where their prefixes are cached.
    #[serde(default = "default_recompute_weight")]
    pub recompute_weight: f64,
    /// The requests at once that one backend server shall carry.
    #[serde(default = "default_requests_per_replica")]
    pub requests_per_replica: u32,
    /// The fewest backend servers to keep.
    #[serde(default)]
    pub min_replicas: u32,
    /// The most backend servers to run.
    #[serde(default = "default_max_replicas")]
    pub max_replicas: u32,
}

fn default_retry_percent() -> u32 {
    10
}

fn default_refuse_beyond_ms() -> u64 {
    600
}

fn default_recompute_weight() -> f64 {
    0.6
}

fn default_requests_per_replica() -> u32 {
    10
}

fn default_max_replicas() -> u32 {
    64
}

/// The SHA-256 hash of a client account's key. Keys are random and long, so
/// that a plain hash is enough to keep them out of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key.
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Compares two hashes in constant time.
    pub fn matches(&self, other: &KeyHash) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// A text that is not 64 hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyHashError;

impl fmt::Display for KeyHashError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a key hash is 64 hexadecimal digits")
    }
}

impl std::error::Error for KeyHashError {}

impl FromStr for KeyHash {
    type Err = KeyHashError;

    fn from_str(text: &str) -> Result<Self, KeyHashError> {
        if text.len() != 64 || !text.is_ascii() {
            return Err(KeyHashError);
        }
        let mut hash = [0; 32];
        for (index, byte) in hash.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| KeyHashError)?;
        }
        Ok(Self(hash))
    }
}

impl TryFrom<String> for KeyHash {
    type Error = KeyHashError;

    fn try_from(text: String) -> Result<Self, KeyHashError> {
        text.parse()
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> String {
        hash.to_string()
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountConfig {
    /// The name in policies and metrics.
    pub name: AccountName,
    /// The hash of its key.
    pub key_hash: KeyHash,
    /// The policy that decides on its requests.
    pub policy: PolicyName,
    /// The most requests a second, over all entries.
    pub request_rate: RequestRate,
    /// The most requests at once, over all entries.
    pub concurrency: u32,
}

/// A policy program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyConfig {
    /// The name in client accounts.
    pub name: PolicyName,
    /// The program's text.
    pub program: String,
}

/// A kind of VM that the planner may start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassConfig {
    /// The cloud's name of the class.
    pub class: MachineClass,
    /// The price of an on-demand VM.
    pub on_demand: HourlyPrice,
    /// The price of a reclaimable VM.
    pub reclaimable: HourlyPrice,
}

/// One whole configuration, as operators write it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// The services.
    pub services: Vec<ServiceConfig>,
    /// The client accounts.
    pub accounts: Vec<AccountConfig>,
    /// The policies.
    pub policies: Vec<PolicyConfig>,
    /// The classes of VM that may be started. Without any, no VM is.
    #[serde(default)]
    pub classes: Vec<ClassConfig>,
    /// The availability zones in which VMs may be started.
    #[serde(default)]
    pub zones: Vec<ZoneName>,
}

/// A checked configuration, indexed and with compiled policies. Immutable.
#[derive(Debug)]
pub struct ConfigView {
    document: ConfigDocument,
    services: BTreeMap<ServiceName, ServiceConfig>,
    accounts: BTreeMap<AccountName, AccountConfig>,
    programs: BTreeMap<PolicyName, PolicyProgram>,
}

impl ConfigView {
    /// Parses and checks a JSON document. `file` is only used to name places.
    ///
    /// # Errors
    ///
    /// A syntax error with its line, or all findings of the checks.
    pub fn parse(file: &str, text: &str) -> Result<Self, FindingList> {
        let document: ConfigDocument = serde_json::from_str(text).map_err(|error| {
            let mut findings = FindingList::default();
            let place = InputPlace {
                file: Some(file.to_owned()),
                line: Some(error.line()),
                ..InputPlace::default()
            };
            findings.add(place, error);
            findings
        })?;
        Self::check(document)
    }

    /// Checks a document and compiles its policies.
    ///
    /// # Errors
    ///
    /// All findings, each with the path of its place in the document.
    pub fn check(document: ConfigDocument) -> Result<Self, FindingList> {
        let mut findings = FindingList::default();
        let programs = compile_policies(&document, &mut findings);
        check_unique_names(&document, &mut findings);
        check_accounts(&document, &mut findings);
        check_services(&document, &mut findings);
        let services = document
            .services
            .iter()
            .map(|service| (service.name.clone(), service.clone()))
            .collect();
        let accounts = document
            .accounts
            .iter()
            .map(|account| (account.name.clone(), account.clone()))
            .collect();
        findings.into_result(Self {
            document,
            services,
            accounts,
            programs,
        })
    }

    /// Returns the document that this view was built from.
    pub fn document(&self) -> &ConfigDocument {
        &self.document
    }

    /// Finds a service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceConfig> {
        self.services.get(name)
    }

    /// Returns all services in order of name.
    pub fn services(&self) -> impl Iterator<Item = &ServiceConfig> {
        self.services.values()
    }

    /// Finds a client account by name.
    pub fn account(&self, name: &AccountName) -> Option<&AccountConfig> {
        self.accounts.get(name)
    }

    /// Returns all client accounts in order of name.
    pub fn accounts(&self) -> impl Iterator<Item = &AccountConfig> {
        self.accounts.values()
    }

    /// Finds the client account that has a key.
    pub fn account_of_key(&self, key: &str) -> Option<&AccountConfig> {
        let hash = KeyHash::of_key(key);
        self.accounts
            .values()
            .find(|account| account.key_hash.matches(&hash))
    }

    /// Finds a policy program by name.
    pub fn program(&self, name: &PolicyName) -> Option<&PolicyProgram> {
        self.programs.get(name)
    }
}

fn compile_policies(
    document: &ConfigDocument,
    findings: &mut FindingList,
) -> BTreeMap<PolicyName, PolicyProgram> {
    let mut programs = BTreeMap::new();
    for (index, policy) in document.policies.iter().enumerate() {
        match PolicyProgram::compile(&policy.program) {
            Ok(program) => {
                programs.insert(policy.name.clone(), program);
            }
            Err(error) => {
                let place = InputPlace::path(format!("policies[{index}].program"));
                findings.add(place, format!("policy {}: {error}", policy.name));
            }
        }
    }
    programs
}

fn check_unique<'a, T: Ord + fmt::Display + 'a>(
    list: &str,
    names: impl Iterator<Item = &'a T>,
    findings: &mut FindingList,
) {
    let mut seen = BTreeSet::new();
    for (index, name) in names.enumerate() {
        if !seen.insert(name) {
            let place = InputPlace::path(format!("{list}[{index}].name"));
            findings.add(place, format!("{name} is defined twice"));
        }
    }
}

fn check_unique_names(document: &ConfigDocument, findings: &mut FindingList) {
    check_unique(
        "services",
        document.services.iter().map(|s| &s.name),
        findings,
    );
    check_unique(
        "accounts",
        document.accounts.iter().map(|a| &a.name),
        findings,
    );
    check_unique(
        "policies",
        document.policies.iter().map(|p| &p.name),
        findings,
    );
}

fn check_accounts(document: &ConfigDocument, findings: &mut FindingList) {
    let policies: BTreeSet<&PolicyName> = document.policies.iter().map(|p| &p.name).collect();
    for (index, account) in document.accounts.iter().enumerate() {
        let place = |key: &str| InputPlace::path(format!("accounts[{index}].{key}"));
        if !policies.contains(&account.policy) {
            findings.add(
                place("policy"),
                format!("policy {} is not defined", account.policy),
            );
        }
        if !(account.request_rate.0.is_finite() && account.request_rate.0 > 0.0) {
            findings.add(place("request_rate"), "a rate must be more than zero");
        }
        if account.concurrency == 0 {
            findings.add(place("concurrency"), "a concurrency must be at least 1");
        }
        let key_is_taken = document.accounts[..index]
            .iter()
            .any(|other| other.key_hash.matches(&account.key_hash));
        if key_is_taken {
            findings.add(place("key_hash"), "two accounts have the same key");
        }
    }
}

fn check_services(document: &ConfigDocument, findings: &mut FindingList) {
    for (index, service) in document.services.iter().enumerate() {
        let place = |key: &str| InputPlace::path(format!("services[{index}].{key}"));
        let weight = service.recompute_weight;
        if !(weight.is_finite() && weight >= 0.0) {
            findings.add(place("recompute_weight"), "must be zero or more");
        }
        if service.requests_per_replica == 0 {
            findings.add(place("requests_per_replica"), "must be at least 1");
        }
        if service.min_replicas > service.max_replicas {
            findings.add(
                place("min_replicas"),
                format!(
                    "{} is more than max_replicas, {}",
                    service.min_replicas, service.max_replicas
                ),
            );
        }
        if service.kind == ServiceKind::Model && service.repeat == RepeatRule::AtMostOnce {
            findings.add(
                place("repeat"),
                "a model service must be repeatable, since its answers are resumed",
            );
        }
    }
}

/// Draws a key for a client account: 256 random bits as hexadecimal digits.
pub fn draw_key() -> String {
    let mut bytes = [0_u8; 32];
    rand::Rng::fill(&mut rand::rng(), &mut bytes);
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
