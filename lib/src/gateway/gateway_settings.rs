//! Settings of a gateway entry, read from an INI file.

use std::net::SocketAddr;
use std::time::Duration;

use crate::finding::FindingList;
use crate::gateway::account_limits::LimitSlack;
use crate::gateway::address_translation::AddressTranslation;
use crate::gateway::hub_capacity::HubCapacity;
use crate::gateway::retry_budget::RetryBudgetRule;
use crate::gateway::rollout_exposure::RolloutBounds;
use crate::id::EntryName;
use crate::id::ZoneName;
use crate::setting_reader::LOG_LEVEL;
use crate::setting_reader::SettingKey;
use crate::setting_reader::SettingReader;
use crate::setting_reader::log_format;
use crate::setting_reader::setting;
use crate::settings::LogFormat;
use crate::settings::LogLevel;

/// Every key of a gateway's settings file.
pub const GATEWAY_KEYS: &[SettingKey] = &[
    setting(
        "gateway",
        "name",
        "name",
        None,
        "name of this entry VM; required",
    ),
    setting(
        "gateway",
        "zone",
        "name",
        None,
        "availability zone; required",
    ),
    setting(
        "gateway",
        "caller_address",
        "IP:PORT",
        None,
        "address for callers; required",
    ),
    setting(
        "gateway",
        "readiness_address",
        "IP:PORT",
        None,
        "address of the readiness check; required",
    ),
    setting(
        "gateway",
        "peer_address",
        "IP:PORT",
        None,
        "address for other entries; required",
    ),
    setting(
        "gateway",
        "peer_advertised",
        "IP:PORT",
        None,
        "address under which other entries reach this one, if addresses are translated; peer_address if absent",
    ),
    setting(
        "gateway",
        "metrics_address",
        "IP:PORT",
        None,
        "address of /metrics; none if absent",
    ),
    setting(
        "gateway",
        "server_addresses",
        "IP:PORT>IP:PORT, separated by commas",
        None,
        "where this entry reaches backend servers whose listed addresses are translated, as LISTED>REACHED; none if absent",
    ),
    setting(
        "gateway",
        "link_mbps",
        "Mbit/s",
        Some("1000"),
        "bandwidth of the VM's network link; VMs with enough capacity serve as hubs for the gossip of all entries",
    ),
    setting(
        "gateway",
        "cpu_share",
        "cores",
        Some("1"),
        "share of a CPU core that the VM has; also decides whether the VM serves as a hub",
    ),
    setting(
        "gateway",
        "memory_mb",
        "MB",
        Some("160"),
        "memory that the process may use; a quarter of it is for buffered request and response bodies",
    ),
    setting(
        "gateway",
        "first_start",
        "true or false",
        Some("false"),
        "whether this is the first start of all entries",
    ),
    setting(
        "store",
        "address",
        "IP:PORT",
        None,
        "the platform's log store; required",
    ),
    setting(
        "store",
        "read_mb_s",
        "MB/s",
        Some("80"),
        "read throughput of the store for all readers together; entries that no hub reaches read within a share of it",
    ),
    setting(
        "cloud",
        "address",
        "IP:PORT",
        None,
        "address of the cloud API for usage and replicas; required",
    ),
    setting(
        "bounds",
        "key_age_ms",
        "milliseconds",
        Some("5000"),
        "the longest time after which a revoked key may still work",
    ),
    setting(
        "bounds",
        "fail_closed",
        "true or false",
        Some("true"),
        "whether requests with a key are refused once a revoked key could go unnoticed for longer",
    ),
    setting(
        "bounds",
        "drain_ms",
        "milliseconds",
        Some("2000"),
        "how long a draining backend server may get new requests",
    ),
    setting(
        "bounds",
        "config_apply_ms",
        "milliseconds",
        Some("2000"),
        "how long a new configuration may take until every entry uses it",
    ),
    setting(
        "bounds",
        "grace_s",
        "seconds",
        Some("8"),
        "time from SIGTERM to the end of the process",
    ),
    setting(
        "bounds",
        "lease_ms",
        "milliseconds",
        Some("3000"),
        "how long an entry that lost the lease must not claim it again",
    ),
    setting(
        "bounds",
        "resend_ratio",
        "share",
        Some("0.2"),
        "retries allowed per request",
    ),
    setting(
        "bounds",
        "resend_reserve",
        "number",
        Some("50"),
        "retries that are always allowed, over all entries",
    ),
    setting(
        "bounds",
        "resend_window_s",
        "seconds",
        Some("10"),
        "window of resend_ratio and resend_reserve",
    ),
    setting(
        "bounds",
        "limit_window_s",
        "seconds",
        Some("8"),
        "window over which the use of an account is measured",
    ),
    setting(
        "bounds",
        "limit_overage",
        "share",
        Some("0.1"),
        "share by which an account may exceed its rate and burst",
    ),
    setting(
        "bounds",
        "limit_slack",
        "units",
        Some("0"),
        "units by which an account may exceed its limit in addition, over all entries",
    ),
    setting(
        "bounds",
        "usage_window_s",
        "seconds",
        Some("5"),
        "length of a usage window",
    ),
    setting(
        "load",
        "server_pace",
        "true or false",
        Some("false"),
        "whether servers are weighed by how fast they work, for services whose servers report it",
    ),
    setting(
        "load",
        "prompt_pacing",
        "true or false",
        Some("false"),
        "whether prompts go to servers whose streams have time for them, for services whose servers report how fast they work",
    ),
    setting(
        "load",
        "work_estimates",
        "true or false",
        Some("false"),
        "whether the time of a request is estimated by its route and length",
    ),
    setting(
        "load",
        "shared_admission",
        "true or false",
        Some("false"),
        "whether all entries share one level of admission by urgency and account",
    ),
    setting(
        "load",
        "entry_queue",
        "true or false",
        Some("false"),
        "whether a request may wait at the entry for a slot that is free soon",
    ),
    setting(
        "load",
        "return_promises",
        "true or false",
        Some("false"),
        "whether callers that return when a refusal asked them to are served first",
    ),
    setting(
        "rollout",
        "expose_share",
        "share",
        None,
        "largest share of the requests of a service that a version not yet proved may get; roll-outs are off if absent",
    ),
    setting(
        "rollout",
        "expose_slack",
        "number",
        Some("50"),
        "requests that such a version may get in addition, over all entries",
    ),
    setting(
        "rollout",
        "rollback_ms",
        "milliseconds",
        Some("5000"),
        "how long after its 50th bad answer a version may still get requests",
    ),
    log_format("json"),
    LOG_LEVEL,
];

/// The times and rates that the gateway guarantees to operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GatewayBounds {
    /// How long after its revocation a key may still work.
    pub key_age: Duration,
    /// Whether requests with a key are refused while `key_age` cannot be ensured.
    pub fail_closed: bool,
    /// How long a draining backend server may get new requests.
    pub drain: Duration,
    /// How long a new configuration may take until every entry uses it.
    pub config_apply: Duration,
    /// The grace period: the time from SIGTERM to the end of the process.
    pub grace: Duration,
    /// How long an entry that lost the lease must not claim it again.
    pub lease_cooldown: Duration,
    /// The bound on retries.
    pub retry_budget: RetryBudgetRule,
    /// How far accounts may exceed their limits.
    pub limit_slack: LimitSlack,
    /// The length of a usage window in seconds.
    pub usage_window_s: u64,
}

/// Which decisions under load are in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadSettings {
    /// Whether servers are weighed by how fast they work.
    pub server_pace: bool,
    /// Whether prompts go to servers whose streams have time for them.
    pub prompt_pacing: bool,
    /// Whether the time of a request is estimated by its route and length.
    pub work_estimates: bool,
    /// Whether all entries share one level of admission by urgency and account.
    pub shared_admission: bool,
    /// Whether a request may wait at the entry for a slot that is free soon.
    pub entry_queue: bool,
    /// Whether callers that return as asked are served first.
    pub return_promises: bool,
}

/// The checked settings of one gateway entry.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// The name of this entry VM.
    pub name: EntryName,
    /// The availability zone of this entry VM.
    pub zone: ZoneName,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address of the readiness check.
    pub readiness_address: SocketAddr,
    /// The address for other entries.
    pub peer_address: SocketAddr,
    /// The address under which other entries reach this one.
    pub peer_advertised: SocketAddr,
    /// The address for the metrics, if they are served.
    pub metrics_address: Option<SocketAddr>,
    /// Where backend servers are reached whose listed addresses are translated.
    pub server_addresses: AddressTranslation,
    /// The capacity of this VM as a hub.
    pub hub_capacity: HubCapacity,
    /// The memory that the process may use, in megabytes.
    pub memory_mb: f64,
    /// Whether this is the first start of all entries.
    pub first_start: bool,
    /// The address of the log store.
    pub store_address: SocketAddr,
    /// The read throughput of the store for all readers together, in megabytes per
    /// second.
    pub store_read_mb_s: f64,
    /// The address of the cloud API.
    pub cloud_address: SocketAddr,
    /// The guarantees to operators.
    pub bounds: GatewayBounds,
    /// Which decisions under load are in use.
    pub load: LoadSettings,
    /// The bounds of roll-outs, or `None` if the entry takes no part in them.
    pub rollout: Option<RolloutBounds>,
    /// The format of log lines.
    pub log_format: LogFormat,
    /// The least severe level that is logged.
    pub log_level: LogLevel,
}

impl GatewaySettings {
    /// Parses the text of a settings file. `file` only names it in error messages.
    ///
    /// # Errors
    ///
    /// Every unknown section or key, missing key and malformed value.
    pub fn parse(file: &str, text: &str) -> Result<Self, FindingList> {
        SettingReader::read_file(file, text, GATEWAY_KEYS, read_settings)
    }
}

fn read_settings(reader: &mut SettingReader<'_>) -> Option<GatewaySettings> {
    let name = reader.required("gateway", "name");
    let zone = reader.required("gateway", "zone");
    let caller_address = reader.required("gateway", "caller_address");
    let readiness_address = reader.required("gateway", "readiness_address");
    let peer_address = reader.required("gateway", "peer_address");
    let peer_advertised = reader.optional("gateway", "peer_advertised");
    let metrics_address = reader.optional("gateway", "metrics_address");
    // A malformed value is a finding of its own, which fails the whole file.
    let server_addresses = reader.optional("gateway", "server_addresses");
    let link_mbps: Option<f64> = reader.defaulted("gateway", "link_mbps");
    let cpu_share: Option<f64> = reader.defaulted("gateway", "cpu_share");
    let memory_mb = reader.defaulted("gateway", "memory_mb");
    let first_start = reader.defaulted("gateway", "first_start");
    let store_address = reader.required("store", "address");
    let store_read_mb_s = reader.defaulted("store", "read_mb_s");
    let cloud_address = reader.required("cloud", "address");
    let bounds = read_bounds(reader);
    let load = read_load(reader);
    let rollout = read_rollout(reader);
    let log_format = reader.defaulted("log", "format");
    let log_level = reader.defaulted("log", "level");
    Some(GatewaySettings {
        name: name?,
        zone: zone?,
        caller_address: caller_address?,
        readiness_address: readiness_address?,
        peer_address: peer_address?,
        peer_advertised: peer_advertised.or(peer_address)?,
        metrics_address,
        server_addresses: server_addresses.unwrap_or_default(),
        hub_capacity: HubCapacity::of(link_mbps?, cpu_share?),
        memory_mb: memory_mb?,
        first_start: first_start?,
        store_address: store_address?,
        store_read_mb_s: store_read_mb_s?,
        cloud_address: cloud_address?,
        bounds: bounds?,
        load: load?,
        rollout: rollout?,
        log_format: log_format?,
        log_level: log_level?,
    })
}

fn read_bounds(reader: &mut SettingReader<'_>) -> Option<GatewayBounds> {
    let key_age = reader.defaulted("bounds", "key_age_ms");
    let fail_closed = reader.defaulted("bounds", "fail_closed");
    let drain = reader.defaulted("bounds", "drain_ms");
    let config_apply = reader.defaulted("bounds", "config_apply_ms");
    let grace = reader.defaulted("bounds", "grace_s");
    let lease_cooldown = reader.defaulted("bounds", "lease_ms");
    let ratio = reader.defaulted("bounds", "resend_ratio");
    let reserve = reader.defaulted("bounds", "resend_reserve");
    let window = reader.defaulted("bounds", "resend_window_s");
    let limit_window = reader.defaulted("bounds", "limit_window_s");
    let overage = reader.defaulted("bounds", "limit_overage");
    let units = reader.defaulted("bounds", "limit_slack");
    let usage_window_s: Option<u64> = reader.defaulted("bounds", "usage_window_s");
    Some(GatewayBounds {
        key_age: Duration::from_millis(key_age?),
        fail_closed: fail_closed?,
        drain: Duration::from_millis(drain?),
        config_apply: Duration::from_millis(config_apply?),
        grace: Duration::from_secs(grace?),
        lease_cooldown: Duration::from_millis(lease_cooldown?),
        retry_budget: RetryBudgetRule {
            ratio: ratio?,
            reserve: reserve?,
            window: Duration::from_secs(window?),
        },
        limit_slack: LimitSlack {
            window: Duration::from_secs(limit_window?),
            overage: overage?,
            units: units?,
        },
        usage_window_s: usage_window_s?.max(1),
    })
}

fn read_load(reader: &mut SettingReader<'_>) -> Option<LoadSettings> {
    let server_pace = reader.defaulted("load", "server_pace");
    let prompt_pacing = reader.defaulted("load", "prompt_pacing");
    let work_estimates = reader.defaulted("load", "work_estimates");
    let shared_admission = reader.defaulted("load", "shared_admission");
    let entry_queue = reader.defaulted("load", "entry_queue");
    let return_promises = reader.defaulted("load", "return_promises");
    Some(LoadSettings {
        server_pace: server_pace?,
        prompt_pacing: prompt_pacing?,
        work_estimates: work_estimates?,
        shared_admission: shared_admission?,
        entry_queue: entry_queue?,
        return_promises: return_promises?,
    })
}

/// Returns `Some(None)` if the file sets no bounds of roll-outs, and `None` if one of
/// them is malformed.
fn read_rollout(reader: &mut SettingReader<'_>) -> Option<Option<RolloutBounds>> {
    let is_used = reader
        .section("rollout")
        .iter()
        .any(|(key, _)| key == "expose_share");
    let share = reader.optional("rollout", "expose_share");
    let slack = reader.defaulted("rollout", "expose_slack");
    let rollback = reader.defaulted("rollout", "rollback_ms");
    let bounds = || {
        Some(RolloutBounds {
            share: share?,
            slack: slack?,
            rollback: Duration::from_millis(rollback?),
        })
    };
    if is_used {
        bounds().map(Some)
    } else {
        Some(None)
    }
}
