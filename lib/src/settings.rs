//! Settings of one entry daemon, read from an INI file.
//!
//! [`EntrySettings::parse`] reports every problem of a file together, each
//! with its line.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::str::FromStr;
use std::time::Duration;

use crate::finding::FindingList;
use crate::id::EntryName;
use crate::id::VmId;
use crate::id::ZoneName;
use crate::quantity::ByteCount;
use crate::setting_reader::LOG_LEVEL;
use crate::setting_reader::SettingKey;
use crate::setting_reader::SettingReader;
use crate::setting_reader::log_format;
use crate::setting_reader::setting;

/// The form of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One readable line a record.
    Text,
    /// One JSON object a line.
    Json,
}

/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    /// Only errors.
    Error,
    /// Errors and warnings.
    Warning,
    /// The usual level.
    Info,
    /// Everything.
    Debug,
}

/// A text that is none of a closed set of words.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChoiceError {
    text: String,
    choices: &'static str,
}

impl fmt::Display for ChoiceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not one of {}", self.text, self.choices)
    }
}

impl std::error::Error for ChoiceError {}

impl FromStr for LogFormat {
    type Err = ChoiceError;

    fn from_str(text: &str) -> Result<Self, ChoiceError> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(ChoiceError {
                text: text.to_owned(),
                choices: "text, json",
            }),
        }
    }
}

impl FromStr for LogLevel {
    type Err = ChoiceError;

    fn from_str(text: &str) -> Result<Self, ChoiceError> {
        match text {
            "error" => Ok(Self::Error),
            "warning" => Ok(Self::Warning),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            _ => Err(ChoiceError {
                text: text.to_owned(),
                choices: "error, warning, info, debug",
            }),
        }
    }
}

/// The base address of an HTTP service of the platform, by IP number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BaseUrl(String);

impl BaseUrl {
    /// Builds the address of a service that listens on `address`.
    pub fn from_address(address: SocketAddr) -> Self {
        Self(format!("http://{address}"))
    }

    /// Returns the URL of `path`, which starts with a slash.
    pub fn join(&self, path: &str) -> String {
        format!("{}{path}", self.0)
    }
}

impl fmt::Display for BaseUrl {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A text that is not `http://IP:PORT`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BaseUrlError(String);

impl fmt::Display for BaseUrlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not of the form http://IP:PORT", self.0)
    }
}

impl std::error::Error for BaseUrlError {}

impl FromStr for BaseUrl {
    type Err = BaseUrlError;

    fn from_str(text: &str) -> Result<Self, BaseUrlError> {
        let error = || BaseUrlError(text.to_owned());
        let address = text.strip_prefix("http://").ok_or_else(error)?;
        let address: SocketAddr = address.trim_end_matches('/').parse().map_err(|_| error())?;
        Ok(Self::from_address(address))
    }
}

/// Every key of a settings file.
pub const SETTING_KEYS: &[SettingKey] = &[
    setting(
        "entry",
        "name",
        "name",
        None,
        "name of this entry VM; required",
    ),
    setting(
        "entry",
        "zone",
        "name",
        None,
        "availability zone of this entry VM; required",
    ),
    setting(
        "entry",
        "vm",
        "name",
        None,
        "identifier of this VM in the cloud API; defaults to the entry's name",
    ),
    setting(
        "entry",
        "http_address",
        "IP:PORT",
        None,
        "address for callers; required",
    ),
    setting(
        "entry",
        "peer_address",
        "IP:PORT",
        None,
        "address for other entries; required",
    ),
    setting(
        "entry",
        "weight",
        "number",
        Some("100"),
        "share of callers relative to other entries",
    ),
    setting(
        "peers",
        "*",
        "IP:PORT",
        None,
        "peer address of another entry, by its name",
    ),
    setting(
        "platform",
        "log_service",
        "http://IP:PORT",
        None,
        "the log service; required",
    ),
    setting(
        "platform",
        "vm_list",
        "http://IP:PORT",
        None,
        "the VM list; required",
    ),
    setting(
        "platform",
        "cloud_api",
        "http://IP:PORT",
        None,
        "the cloud API, for reclaim notices; required",
    ),
    log_format("text"),
    LOG_LEVEL,
    setting(
        "limits",
        "workers",
        "count",
        Some("2"),
        "worker threads; more than the VM has cores only adds switches",
    ),
    setting(
        "limits",
        "max_body",
        "bytes",
        Some("1048576"),
        "largest accepted request body",
    ),
    setting(
        "limits",
        "max_requests",
        "count",
        Some("4096"),
        "most requests held at once; further ones are refused",
    ),
    setting(
        "limits",
        "default_deadline",
        "milliseconds",
        Some("60000"),
        "deadline of a request that names none",
    ),
    setting(
        "limits",
        "drain",
        "milliseconds",
        Some("20000"),
        "how long a planned stop waits for running requests before it hands them over",
    ),
    setting(
        "limits",
        "answer_lifetime",
        "seconds",
        Some("5"),
        "how long callers keep an answer about entries",
    ),
    setting(
        "limits",
        "ticket_lifetime",
        "seconds",
        Some("300"),
        "how long a ticket is valid and its outcome is kept",
    ),
    setting(
        "traces",
        "collector",
        "http://IP:PORT",
        None,
        "OTLP collector; no export without it",
    ),
    setting(
        "traces",
        "kept",
        "count",
        Some("4096"),
        "spans kept in memory for the command line",
    ),
];

/// Limits of one entry daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryLimits {
    /// The number of worker threads.
    pub workers: NonZeroUsize,
    /// The largest accepted request body.
    pub max_body: ByteCount,
    /// The most requests held at once.
    pub max_requests: usize,
    /// The deadline of a request that names none.
    pub default_deadline: Duration,
    /// How long a planned stop waits for running requests.
    pub drain: Duration,
    /// How long callers keep an answer about entries.
    pub answer_lifetime: Duration,
    /// How long a ticket is valid.
    pub ticket_lifetime: Duration,
}

/// The checked settings of one entry daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// The name of this entry VM.
    pub name: EntryName,
    /// The availability zone of this entry VM.
    pub zone: ZoneName,
    /// The identifier of this VM in the cloud API.
    pub vm: VmId,
    /// The address for callers.
    pub http_address: SocketAddr,
    /// The address for other entries.
    pub peer_address: SocketAddr,
    /// The share of callers relative to other entries.
    pub weight: u32,
    /// The peer addresses of the other entries.
    pub peers: BTreeMap<EntryName, SocketAddr>,
    /// The log service.
    pub log_service: BaseUrl,
    /// The VM list.
    pub vm_list: BaseUrl,
    /// The cloud API.
    pub cloud_api: BaseUrl,
    /// The form of log lines.
    pub log_format: LogFormat,
    /// The least severe level logged.
    pub log_level: LogLevel,
    /// Limits on requests.
    pub limits: EntryLimits,
    /// The OTLP collector, if any.
    pub collector: Option<BaseUrl>,
    /// The number of spans kept in memory.
    pub kept_spans: usize,
}

impl EntrySettings {
    /// Parses the text of a settings file. `file` is only used to name places.
    ///
    /// # Errors
    ///
    /// Every unknown section or key, missing key and malformed value.
    pub fn parse(file: &str, text: &str) -> Result<Self, FindingList> {
        SettingReader::read_file(file, text, SETTING_KEYS, |reader| reader.read_settings())
    }
}

impl SettingReader<'_> {
    fn read_peers(&mut self) -> BTreeMap<EntryName, SocketAddr> {
        let mut peers = BTreeMap::new();
        for (key, text) in self.section("peers") {
            let name = self.parse_value::<EntryName>("peers", &key, &key);
            let address = self.parse_value::<SocketAddr>("peers", &key, &text);
            if let (Some(name), Some(address)) = (name, address) {
                peers.insert(name, address);
            }
        }
        peers
    }

    fn read_limits(&mut self) -> Option<EntryLimits> {
        let workers = self.defaulted("limits", "workers");
        let max_body = self.defaulted("limits", "max_body");
        let max_requests = self.defaulted("limits", "max_requests");
        let default_deadline = self.defaulted("limits", "default_deadline");
        let drain = self.defaulted("limits", "drain");
        let answer_lifetime = self.defaulted("limits", "answer_lifetime");
        let ticket_lifetime = self.defaulted("limits", "ticket_lifetime");
        Some(EntryLimits {
            workers: workers?,
            max_body: max_body?,
            max_requests: max_requests?,
            default_deadline: Duration::from_millis(default_deadline?),
            drain: Duration::from_millis(drain?),
            answer_lifetime: Duration::from_secs(answer_lifetime?),
            ticket_lifetime: Duration::from_secs(ticket_lifetime?),
        })
    }

    fn read_settings(&mut self) -> Option<EntrySettings> {
        let name = self.required::<EntryName>("entry", "name");
        let zone = self.required("entry", "zone");
        let vm = self.optional("entry", "vm");
        let http_address = self.required("entry", "http_address");
        let peer_address = self.required("entry", "peer_address");
        let weight = self.defaulted("entry", "weight");
        let peers = self.read_peers();
        let log_service = self.required("platform", "log_service");
        let vm_list = self.required("platform", "vm_list");
        let cloud_api = self.required("platform", "cloud_api");
        let log_format = self.defaulted("log", "format");
        let log_level = self.defaulted("log", "level");
        let limits = self.read_limits();
        let collector = self.optional("traces", "collector");
        let kept_spans = self.defaulted("traces", "kept");
        let name = name?;
        // An entry's name and a VM's identifier have the same alphabet.
        let vm = vm.or_else(|| name.as_str().parse().ok());
        Some(EntrySettings {
            vm: vm?,
            name,
            zone: zone?,
            http_address: http_address?,
            peer_address: peer_address?,
            weight: weight?,
            peers,
            log_service: log_service?,
            vm_list: vm_list?,
            cloud_api: cloud_api?,
            log_format: log_format?,
            log_level: log_level?,
            limits: limits?,
            collector,
            kept_spans: kept_spans?,
        })
    }
}
