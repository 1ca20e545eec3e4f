//! A small deployment: entries as processes of their own, with stand-ins of the store, the
//! cloud and the backend servers. All addresses are loopback addresses.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use cloverbend_platform_standin::cloud_standin::CloudFencing;
use cloverbend_platform_standin::cloud_standin::CloudStandin;
use cloverbend_platform_standin::loopback_ports::free_addresses;
use cloverbend_platform_standin::replica_standin::ReplicaStandin;
use cloverbend_platform_standin::store_standin::StoreDoor;
use cloverbend_platform_standin::store_standin::StoreStandin;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// The program, as the deploy file names it, from the root of the repository.
const PROGRAM: &str = "target/release/cloverbendd";
/// How long the parts of the deployment may take to start.
const START_TIMEOUT: Duration = Duration::from_secs(15);
const START_CHECK: Duration = Duration::from_millis(20);

/// The bounds of a small deployment, as in `sites/kbowl-route.toml`.
const BOUNDS: &str = "\
[bounds]
key_age_ms = 5000
fail_closed = true
drain_ms = 2000
config_apply_ms = 2000
grace_s = 8
lease_ms = 3000
resend_ratio = 0.2
resend_reserve = 58
resend_window_s = 10
limit_window_s = 8
limit_overage = 0.1
limit_slack = 140000
usage_window_s = 5

[load]
server_pace = true
prompt_pacing = true
work_estimates = true

[log]
format = json
level = info
";

/// One entry. Its process ends with this value.
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Where clients reach it.
    pub callers: SocketAddr,
    /// Where it says whether it is ready.
    pub readiness: SocketAddr,
    /// Where other entries reach it.
    pub peers: SocketAddr,
    /// Its way to the store.
    pub door: StoreDoor,
    metrics: SocketAddr,
    cloud: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
}

impl Entry {
    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let ended = self.child.as_mut().map(|child| child.try_wait());
        matches!(ended, Some(Ok(Some(_))))
    }

    /// Starts the process with the settings of an entry that starts for the first time, or not.
    pub fn start(&mut self, root: &Path, is_first: bool) -> std::io::Result<()> {
        let text = format!(
            "[gateway]\nname = {}\nzone = zone-a\ncaller_address = {}\nreadiness_address = {}\n\
             peer_address = {}\nmetrics_address = {}\nlink_mbps = 1000\ncpu_share = 0.25\n\
             memory_mb = 260\nfirst_start = {is_first}\n\n[store]\naddress = {}\nread_mb_s = 80\n\n\
             [cloud]\naddress = {}\n\n{BOUNDS}",
            self.name,
            self.callers,
            self.readiness,
            self.peers,
            self.metrics,
            self.door.address,
            self.cloud,
        );
        let settings = self.folder.join(format!("{}.ini", self.name));
        std::fs::write(&settings, text)?;
        let log = self.folder.join(format!("{}.log", self.name));
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(log)?;
        let child = Command::new(root.join(PROGRAM))
            .args(["--interface", "platform", "--settings"])
            .arg(&settings)
            .env("TZ", "UTC")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Waits until the entry says that it is ready.
    pub async fn wait_until_ready(&mut self) -> std::io::Result<()> {
        let until = tokio::time::Instant::now() + START_TIMEOUT;
        while tokio::time::Instant::now() < until {
            if self.has_ended() {
                return Err(std::io::Error::other("an entry ended at its start"));
            }
            if is_ready(self.readiness).await {
                return Ok(());
            }
            tokio::time::sleep(START_CHECK).await;
        }
        Err(std::io::Error::other("an entry did not become ready"))
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Asks an entry whether it is ready.
pub async fn is_ready(address: SocketAddr) -> bool {
    use tokio::io::AsyncReadExt;
    use tokio::io::AsyncWriteExt;
    let ask = async {
        let mut socket = TcpStream::connect(address).await?;
        let head = "GET /-/ready HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n";
        socket.write_all(head.as_bytes()).await?;
        let mut answer = Vec::new();
        socket.read_to_end(&mut answer).await?;
        Ok::<_, std::io::Error>(answer.starts_with(b"HTTP/1.1 200"))
    };
    matches!(
        tokio::time::timeout(Duration::from_secs(1), ask).await,
        Ok(Ok(true))
    )
}

/// Entries and stand-ins.
pub struct Deployment {
    /// The store.
    pub store: Arc<StoreStandin>,
    /// The interface for the duties.
    pub cloud: CloudStandin,
    /// The backend servers.
    pub replicas: Vec<ReplicaStandin>,
    /// The entries.
    pub entries: Vec<Entry>,
    root: PathBuf,
    stop: CancellationToken,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.entries.clear();
        self.stop.cancel();
    }
}

impl Deployment {
    /// Starts the stand-ins, and entries that have no configuration yet.
    pub async fn start(root: &Path, folder: &Path, entries: usize) -> std::io::Result<Self> {
        let stop = CancellationToken::new();
        let mut deployment = Self {
            store: StoreStandin::new(),
            cloud: CloudStandin::new(CloudFencing::Checked),
            replicas: Vec::new(),
            entries: Vec::new(),
            root: root.to_owned(),
            stop,
        };
        for number in 0..entries {
            let name = format!("frontend-zone-a-{}", number + 1);
            let [callers, readiness, peers, metrics] = free_addresses().await?;
            let door = deployment.store.open_door(deployment.stop.clone()).await?;
            let cloud = &deployment.cloud;
            let cloud = cloud.open_door(Some(name.clone()), deployment.stop.clone());
            let entry = Entry {
                name,
                callers,
                readiness,
                peers,
                door,
                metrics,
                cloud: cloud.await?,
                folder: folder.to_owned(),
                child: None,
            };
            deployment.entries.push(entry);
        }
        for entry in &mut deployment.entries {
            entry.start(&deployment.root, true)?;
        }
        Ok(deployment)
    }

    /// Starts a backend server of a service, whose streams have so many events.
    pub async fn add_replica(
        &mut self,
        service: &str,
        slots: u32,
        events: u64,
        pause: Duration,
    ) -> std::io::Result<()> {
        let id = format!("{service}-{}", self.replicas.len());
        let replica = ReplicaStandin::start(&id, events, pause, self.stop.clone()).await?;
        let record = replica.record(service, "zone-a", "ready");
        let record = record.replace("\"slots\":8", &format!("\"slots\":{slots}"));
        self.store.put("keyed.servers", &id, record.as_bytes());
        self.replicas.push(replica);
        Ok(())
    }
}
