//! A small deployment on this machine: stand-ins within this process, and the
//! settings of entries, which run here or as processes of their own.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cloverbend::configuration::ConfigDocument;
use cloverbend::http_client::HttpClient;
use cloverbend::id::VmId;
use cloverbend::log_client::LogClient;
use cloverbend::platform_client::VmMarket;
use cloverbend::platform_client::VmRecord;
use cloverbend::platform_client::VmState;
use cloverbend::publisher::PublishError;
use cloverbend::publisher::PublishOutcome;
use cloverbend::publisher::draw_publication;
use cloverbend::publisher::publish;
use cloverbend::quantity::HourlyPrice;
use cloverbend::settings::BaseUrl;

use crate::cloud_standin::CloudStandin;
use crate::engine_model::EngineShape;
use crate::engine_standin::EngineStandin;
use crate::log_standin::LogStandin;
use crate::plain_standin::PlainStandin;
use crate::sample::ALERTS;
use crate::sample::REPORTS;
use crate::standin_server::StandinServer;

/// The availability zones of the deployment.
pub const ZONES: [&str; 4] = ["dakar-a", "dakar-b", "dakar-c", "dakar-d"];

/// Any free port of the loopback address.
pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Returns the zone of the part numbered `index`.
pub fn zone(index: usize) -> &'static str {
    ZONES[index % ZONES.len()]
}

/// The ports given to entries. They lie below those that the system gives to
/// outgoing connections, so that no other test can take one in between.
const FIRST_PORT: u16 = 20_000;
const PORT_COUNT: u16 = 12_000;
/// The ports between the first ones of two processes that run tests.
const PROCESS_STRIDE: u32 = 64;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns an address that nobody listens on and that is given only once.
///
/// # Errors
///
/// A machine without free ports.
pub fn free_address() -> io::Result<SocketAddr> {
    let start = (std::process::id() * PROCESS_STRIDE) % u32::from(PORT_COUNT);
    for _ in 0..PORT_COUNT {
        let step = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let offset = (start + u32::from(step)) % u32::from(PORT_COUNT);
        let port = FIRST_PORT + offset as u16;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::new(io::ErrorKind::AddrInUse, "no port is free"))
}

/// The addresses of one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryAddresses {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: &'static str,
    /// For callers.
    pub http: SocketAddr,
    /// For entries.
    pub peer: SocketAddr,
}

/// Reserves addresses for `count` entries.
///
/// # Errors
///
/// A machine without free ports.
pub fn reserve_entries(count: usize) -> io::Result<Vec<EntryAddresses>> {
    let entry = |index: usize| {
        Ok(EntryAddresses {
            name: format!("entry-{}", index + 1),
            zone: zone(index),
            http: free_address()?,
            peer: free_address()?,
        })
    };
    (0..count).map(entry).collect()
}

/// Where the platform is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformAddresses {
    /// The log service.
    pub log: SocketAddr,
    /// The cloud API and the VM list.
    pub cloud: SocketAddr,
}

/// Writes the settings of one entry.
pub fn settings_text(
    own: &EntryAddresses,
    all: &[EntryAddresses],
    platform: PlatformAddresses,
    extra: &str,
) -> String {
    let mut text = format!(
        "[entry]\nname = {}\nzone = {}\nhttp_address = {}\npeer_address = {}\n\n[peers]\n",
        own.name, own.zone, own.http, own.peer
    );
    for other in all.iter().filter(|other| other.name != own.name) {
        text.push_str(&format!("{} = {}\n", other.name, other.peer));
    }
    text.push_str(&format!(
        "\n[platform]\nlog_service = http://{}\nvm_list = http://{}\ncloud_api = http://{}\n\n{extra}",
        platform.log, platform.cloud, platform.cloud
    ));
    text
}

/// An engine of the deployment.
#[derive(Debug)]
pub struct RunningEngine {
    /// Its VM.
    pub vm: VmId,
    /// The engine.
    pub engine: Arc<EngineStandin>,
    /// Its server.
    pub server: StandinServer,
}

/// The platform and the backend servers, as stand-ins within this process.
#[derive(Debug)]
pub struct StandinPlatform {
    /// The log service.
    pub log: Arc<LogStandin>,
    /// The cloud.
    pub cloud: Arc<CloudStandin>,
    /// The engines.
    pub engines: Vec<RunningEngine>,
    /// The plain servers.
    pub plains: Vec<Arc<PlainStandin>>,
    log_server: StandinServer,
    cloud_server: StandinServer,
    plain_servers: Vec<StandinServer>,
}

/// The size and speed of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct PlatformShape {
    /// The number of engines.
    pub engines: usize,
    /// The number of plain servers.
    pub plains: usize,
    /// The shape of the engines.
    pub engine: EngineShape,
    /// How much faster than their shape the engines run.
    pub speed: f64,
    /// How long a plain call takes.
    pub work: Duration,
    /// How far the VM list lags.
    pub lag: Duration,
}

impl Default for PlatformShape {
    fn default() -> Self {
        Self {
            engines: 4,
            plains: 2,
            engine: EngineShape::default(),
            speed: 1.0,
            work: Duration::from_millis(5),
            lag: Duration::from_millis(200),
        }
    }
}

impl StandinPlatform {
    /// Starts the stand-ins.
    ///
    /// # Errors
    ///
    /// A machine without free ports.
    pub async fn start(shape: PlatformShape) -> io::Result<Self> {
        let log = Arc::new(LogStandin::new(10_000, 100.0));
        let cloud = Arc::new(CloudStandin::new(shape.lag));
        let log_server = StandinServer::start(any_port(), Arc::clone(&log)).await?;
        let cloud_server = StandinServer::start(any_port(), Arc::clone(&cloud)).await?;
        let mut platform = Self {
            log,
            cloud,
            engines: Vec::new(),
            plains: Vec::new(),
            log_server,
            cloud_server,
            plain_servers: Vec::new(),
        };
        for index in 0..shape.engines {
            platform.add_engine(index, shape).await?;
        }
        for index in 0..shape.plains {
            platform.add_plain(index, shape).await?;
        }
        Ok(platform)
    }

    async fn add_engine(&mut self, index: usize, shape: PlatformShape) -> io::Result<()> {
        let engine = EngineStandin::start(shape.engine, shape.speed, index as u64);
        let server = StandinServer::start(any_port(), Arc::clone(&engine)).await?;
        let vm = format!("engine-{}", index + 1);
        let record = vm_record(&vm, server.address(), REPORTS, index);
        self.cloud.add_vm(record.clone());
        self.engines.push(RunningEngine {
            vm: record.vm,
            engine,
            server,
        });
        Ok(())
    }

    async fn add_plain(&mut self, index: usize, shape: PlatformShape) -> io::Result<()> {
        let plain = Arc::new(PlainStandin::new(shape.work, index.is_multiple_of(2)));
        let server = StandinServer::start(any_port(), Arc::clone(&plain)).await?;
        let vm = format!("alerts-{}", index + 1);
        self.cloud
            .add_vm(vm_record(&vm, server.address(), ALERTS, index));
        self.plains.push(plain);
        self.plain_servers.push(server);
        Ok(())
    }

    /// Returns where the platform is.
    pub fn addresses(&self) -> PlatformAddresses {
        PlatformAddresses {
            log: self.log_server.address(),
            cloud: self.cloud_server.address(),
        }
    }

    /// Returns a client of the log service.
    pub fn log_client(&self) -> LogClient {
        let base = BaseUrl::from_address(self.log_server.address());
        LogClient::new(HttpClient::new(), base)
    }

    /// Publishes a configuration.
    ///
    /// # Errors
    ///
    /// See [`PublishError`].
    pub async fn publish(&self, document: ConfigDocument) -> Result<PublishOutcome, PublishError> {
        publish(&self.log_client(), draw_publication(), document, None).await
    }

    /// Returns how often the call with a ticket ran, over all plain servers.
    pub fn runs(&self, ticket: &str) -> u32 {
        let counts = self.plains.iter().map(|plain| plain.runs());
        counts
            .map(|runs| runs.get(ticket).copied().unwrap_or(0))
            .sum()
    }

    /// Returns the most runs of any one ticket.
    pub fn most_runs(&self) -> u32 {
        let tickets: Vec<String> = self
            .plains
            .iter()
            .flat_map(|p| p.runs().into_keys())
            .collect();
        tickets
            .iter()
            .map(|ticket| self.runs(ticket))
            .max()
            .unwrap_or(0)
    }
}

/// Builds the record of a VM of the deployment.
///
/// # Panics
///
/// A name that is not valid.
pub fn vm_record(vm: &str, address: SocketAddr, service: &str, index: usize) -> VmRecord {
    VmRecord {
        vm: vm.parse().expect("a valid name"),
        address,
        zone: zone(index).parse().expect("a valid name"),
        class: "small".parse().expect("a valid name"),
        service: service.parse().expect("a valid name"),
        market: VmMarket::Reclaimable,
        price: HourlyPrice(1.0),
        state: VmState::Live,
    }
}
