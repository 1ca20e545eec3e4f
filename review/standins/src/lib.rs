//! What the review's cases share: a deployment of entries as separate processes on
//! loopback, with the project's own stand-ins of the store, the cloud and the replicas.

use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use cloverbend_platform_standin::cloud_standin::CloudStandin;
use cloverbend_platform_standin::entry_process::spawn_daemon;
use cloverbend_platform_standin::loopback_ports::free_addresses;
use cloverbend_platform_standin::store_standin::StoreDoor;
use cloverbend_platform_standin::store_standin::StoreStandin;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// The exit codes that a case ends with.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// The host and the key of all routes.
pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// Returns whether the disruption of the case is on.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Writes what happens to `record.txt`, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the file that the variable RECORD names.
    pub fn create() -> std::io::Result<Self> {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started: Instant::now(),
        })
    }

    /// Writes one line.
    pub fn note(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at:8.3} s  {}", text.as_ref());
        }
    }
}

/// An entry that runs as a process of its own. It ends with this value.
pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub door: StoreDoor,
    child: Child,
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Entry {
    /// Sends a signal by its name, such as TERM.
    pub fn signal(&self, name: &str) -> std::io::Result<()> {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status()?;
        match status.success() {
            true => Ok(()),
            false => Err(std::io::Error::other("the process is gone")),
        }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Returns whether it says that it is ready.
    pub async fn is_ready(&self) -> bool {
        let ask = async {
            let mut socket = TcpStream::connect(self.readiness).await.ok()?;
            let request = "GET /-/ready HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n";
            socket.write_all(request.as_bytes()).await.ok()?;
            let mut text = String::new();
            socket.read_to_string(&mut text).await.ok()?;
            Some(text.starts_with("HTTP/1.1 200"))
        };
        let answer = tokio::time::timeout(Duration::from_secs(1), ask).await;
        answer.ok().flatten() == Some(true)
    }
}

/// The bounds of the settings, as in the sheet of a small deployment (kbowl-route).
pub const BOUNDS: &str = "key_age_ms = 5000\nfail_closed = true\ndrain_ms = 2000\n\
    config_apply_ms = 2000\ngrace_s = 8\nlease_ms = 3000\nresend_ratio = 0.2\n\
    resend_reserve = 58\nresend_window_s = 10\nlimit_window_s = 8\nlimit_overage = 0.1\n\
    limit_slack = 140000\nusage_window_s = 5\n";

/// Entries with the store and the cloud that they use.
pub struct Deployment {
    pub store: Arc<StoreStandin>,
    pub cloud: CloudStandin,
    pub entries: Vec<Entry>,
    pub stop: CancellationToken,
    pub folder: PathBuf,
    program: PathBuf,
}

impl Deployment {
    /// Returns a deployment without entries.
    pub fn new() -> std::io::Result<Self> {
        let variable = |name: &str| {
            std::env::var(name).map_err(|_| std::io::Error::other(format!("{name} is not set")))
        };
        Ok(Self {
            store: StoreStandin::new(),
            cloud: CloudStandin::default(),
            entries: Vec::new(),
            stop: CancellationToken::new(),
            folder: variable("WORK_FOLDER")?.into(),
            program: variable("PROGRAM")?.into(),
        })
    }

    /// Starts one more entry, with the settings of `deploy/settings.ini`.
    pub async fn add_entry(&mut self, zone: &str) -> std::io::Result<()> {
        let name = format!("frontend-{zone}-{}", self.entries.len() + 1);
        let door = self.store.open_door(self.stop.clone()).await?;
        let cloud = self
            .cloud
            .open_door(Some(name.clone()), self.stop.clone())
            .await?;
        let [callers, readiness, peers, metrics] = free_addresses().await?;
        let text = format!(
            "[gateway]\nname = {name}\nzone = {zone}\ncaller_address = {callers}\n\
             readiness_address = {readiness}\npeer_address = {peers}\n\
             metrics_address = {metrics}\nlink_mbps = 1000.0\ncpu_share = 0.25\n\
             memory_mb = 260\nfirst_start = true\n\n[store]\naddress = {}\n\
             read_mb_s = 80.0\n\n[cloud]\naddress = {cloud}\n\n[bounds]\n{BOUNDS}\n\
             [load]\nserver_pace = true\nprompt_pacing = true\nwork_estimates = true\n\n\
             [log]\nformat = json\nlevel = info\n",
            door.address
        );
        let settings = self.folder.join(format!("{name}.ini"));
        std::fs::write(&settings, text)?;
        let log = self.folder.join(format!("{name}.log"));
        let child = spawn_daemon(Path::new(&self.program), &settings, &log)?;
        self.entries.push(Entry {
            name,
            callers,
            readiness,
            door,
            child,
        });
        Ok(())
    }

    /// Waits until all entries say that they are ready.
    pub async fn wait_until_ready(&self) -> std::io::Result<()> {
        let deadline = Instant::now() + Duration::from_secs(20);
        for entry in &self.entries {
            while !entry.is_ready().await {
                if Instant::now() > deadline {
                    return Err(std::io::Error::other(format!(
                        "{} is not ready",
                        entry.name
                    )));
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }
}

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Opens a connection as over a network with packets of 1,500 bytes: loopback would
/// otherwise send 64 KB at once, and buffer as much as no real path does.
pub async fn connect_as_remote(
    address: SocketAddr,
    receive_buffer: u32,
) -> std::io::Result<TcpStream> {
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    const ETHERNET_SEGMENT: i32 = 1_448;
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(receive_buffer)?;
    // SAFETY: the descriptor is open, and the value is a readable integer of that length.
    let result = unsafe {
        setsockopt(
            socket.as_raw_fd(),
            IPPROTO_TCP,
            TCP_MAXSEG,
            &ETHERNET_SEGMENT,
            4,
        )
    };
    if result != 0 {
        return Err(std::io::Error::last_os_error());
    }
    socket.connect(address).await
}
