//! Sample configurations of the two users, for the demonstration and tests.

use cloverbend::configuration::AccountConfig;
use cloverbend::configuration::ConfigDocument;
use cloverbend::configuration::KeyHash;
use cloverbend::configuration::PolicyConfig;
use cloverbend::configuration::RepeatRule;
use cloverbend::configuration::ServiceConfig;
use cloverbend::configuration::ServiceKind;
use cloverbend::quantity::RequestRate;

/// The key of the account that asks for reports.
pub const DEPOT_KEY: &str = "depot-key-0123456789abcdef";
/// The key of the account that dispatches alerts.
pub const DISPATCH_KEY: &str = "dispatch-key-0123456789abcdef";
/// The model service.
pub const REPORTS: &str = "excursion-reports";
/// The plain service, whose calls may run only once.
pub const ALERTS: &str = "alert-gateway";

/// The policy of the samples.
pub const POLICY: &str = r#"
// Dispatch is urgent; reports are not; nobody else is known.
if account == "dispatch" {
    #{ priority: 0 }
} else if account == "depots" && service == "excursion-reports" {
    #{ priority: if input_tokens > 4000 { 6 } else { 4 }, max_price: 5.0 }
} else {
    #{ allow: false, reason: "no rule for " + account }
}
"#;

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("sample names are valid")
}

fn service(text: &str, kind: ServiceKind, repeat: RepeatRule) -> ServiceConfig {
    ServiceConfig {
        name: name(text),
        kind,
        repeat,
        retry_percent: 20,
        refuse_beyond_ms: 600,
        recompute_weight: 0.6,
        requests_per_replica: 10,
        min_replicas: 1,
        max_replicas: 20,
    }
}

fn account(text: &str, key: &str) -> AccountConfig {
    AccountConfig {
        name: name(text),
        key_hash: KeyHash::of_key(key),
        policy: name("main"),
        request_rate: RequestRate(3_000.0),
        concurrency: 30_000,
    }
}

/// Returns the configuration of a cold chain: reports and alerts.
pub fn cold_chain() -> ConfigDocument {
    ConfigDocument {
        services: vec![
            service(REPORTS, ServiceKind::Model, RepeatRule::Repeatable),
            service(ALERTS, ServiceKind::Plain, RepeatRule::AtMostOnce),
        ],
        accounts: vec![
            account("depots", DEPOT_KEY),
            account("dispatch", DISPATCH_KEY),
        ],
        policies: vec![PolicyConfig {
            name: name("main"),
            program: POLICY.to_owned(),
        }],
        classes: Vec::new(),
        zones: Vec::new(),
    }
}
