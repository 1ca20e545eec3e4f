//! Entries and stand-ins as processes of their own, for tests that kill,
//! freeze and stop them.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cloverbend::caller_client::CallerClient;
use cloverbend::http_client::HttpClient;
use cloverbend::log_client::LogClient;
use cloverbend::platform_client::VmRecord;
use cloverbend::publisher::draw_publication;
use cloverbend::publisher::publish;
use cloverbend::query_api::StatusAnswer;
use cloverbend::settings::BaseUrl;
use http::Request;
use http_body_util::Full;
use serde_json::Value;
use serde_json::json;

use crate::cluster::EntryAddresses;
use crate::cluster::PlatformAddresses;
use crate::cluster::reserve_entries;
use crate::cluster::settings_text;
use crate::cluster::vm_record;
use crate::sample::ALERTS;
use crate::sample::REPORTS;
use crate::sample::cold_chain;

/// How long a deployment may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// How long an admin call may take.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);

/// A process that dies with its handle.
#[derive(Debug)]
pub struct OwnedProcess {
    child: Child,
}

impl Drop for OwnedProcess {
    fn drop(&mut self) {
        // A process that ended by itself needs no more killing.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl OwnedProcess {
    /// Sends a signal by name, such as `TERM`, `KILL`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// A signal that cannot be sent.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status()?;
        if status.success() {
            return Ok(());
        }
        Err(io::Error::other(format!("kill -{name} failed")))
    }

    /// Returns the processor time used so far, in seconds.
    ///
    /// # Errors
    ///
    /// A process that ended, or a machine without `/proc`.
    pub fn cpu_seconds(&self) -> io::Result<f64> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        // The fields after the name, which is in parentheses; user and system
        // time are the 14th and 15th of all, in ticks of 10 ms.
        let fields = text.rsplit(')').next().unwrap_or_default();
        let ticks: u64 = fields
            .split_whitespace()
            .skip(11)
            .take(2)
            .filter_map(|field| field.parse::<u64>().ok())
            .sum();
        Ok(ticks as f64 / 100.0)
    }

    /// Returns the resident memory in kB.
    ///
    /// # Errors
    ///
    /// A process that ended, or a machine without `/proc`.
    pub fn resident_kb(&self) -> io::Result<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        Ok(number.and_then(|number| number.parse().ok()).unwrap_or(0))
    }

    /// Waits until the process ended, and returns whether it succeeded.
    ///
    /// # Errors
    ///
    /// A process that does not end in time.
    pub fn wait(&mut self, timeout: Duration) -> io::Result<bool> {
        let begun = Instant::now();
        while begun.elapsed() < timeout {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.success());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::new(io::ErrorKind::TimedOut, "it still runs"))
    }
}

/// Finds a binary of this workspace beside the test that runs.
///
/// # Errors
///
/// A binary that was not built.
pub fn find_binary(name: &str) -> io::Result<PathBuf> {
    let test = std::env::current_exe()?;
    // Tests lie in a folder below the binaries, other binaries beside them.
    for folder in test.ancestors().skip(1).take(2) {
        let path = folder.join(name);
        if path.exists() {
            return Ok(path);
        }
    }
    let message = format!("{name} is not built: run `cargo build --workspace` first");
    Err(io::Error::new(io::ErrorKind::NotFound, message))
}

/// Starts a stand-in and reads where it listens.
///
/// # Errors
///
/// A stand-in that did not start.
pub fn start_standin(args: &[&str]) -> io::Result<(OwnedProcess, SocketAddr)> {
    let mut child = Command::new(find_binary("cloverbend-standin")?)
        .args(args)
        .stdout(Stdio::piped())
        .spawn()?;
    let output = child.stdout.take();
    let process = OwnedProcess { child };
    let output = output.ok_or_else(|| io::Error::other("no output"))?;
    let mut line = String::new();
    BufReader::new(output).read_line(&mut line)?;
    let address = line.trim().parse().map_err(io::Error::other)?;
    Ok((process, address))
}

/// A backend server as a process.
#[derive(Debug)]
pub struct BackendProcess {
    /// Its VM.
    pub record: VmRecord,
    /// The process.
    pub process: OwnedProcess,
}

/// A deployment of processes.
#[derive(Debug)]
pub struct ProcessCluster {
    /// The entries' addresses.
    pub addresses: Vec<EntryAddresses>,
    /// The entries; none where one was taken out.
    pub entries: Vec<OwnedProcess>,
    /// The engines.
    pub engines: Vec<BackendProcess>,
    /// The plain servers.
    pub plains: Vec<BackendProcess>,
    /// The log service.
    pub log: OwnedProcess,
    /// The cloud.
    pub cloud: OwnedProcess,
    platform: PlatformAddresses,
    settings: tempfile::TempDir,
    http: HttpClient,
}

impl ProcessCluster {
    /// Starts stand-ins and entries and waits until all are ready.
    ///
    /// # Errors
    ///
    /// A part that did not start in time.
    pub async fn start(entries: usize, engines: usize, plains: usize) -> io::Result<Self> {
        Self::start_with(entries, engines, plains, &[]).await
    }

    /// Starts a deployment whose engines get further arguments.
    ///
    /// # Errors
    ///
    /// A part that did not start in time.
    pub async fn start_with(
        entries: usize,
        engines: usize,
        plains: usize,
        engine_args: &[String],
    ) -> io::Result<Self> {
        let (log, log_address) = start_standin(&["log"])?;
        let (cloud, cloud_address) = start_standin(&["cloud", "--lag", "300"])?;
        let platform = PlatformAddresses {
            log: log_address,
            cloud: cloud_address,
        };
        let mut cluster = Self {
            addresses: reserve_entries(entries)?,
            entries: Vec::new(),
            engines: Vec::new(),
            plains: Vec::new(),
            log,
            cloud,
            platform,
            settings: tempfile::tempdir()?,
            http: HttpClient::new(),
        };
        for index in 0..engines {
            let backend = cluster
                .start_backend("engine", REPORTS, index, engine_args)
                .await?;
            cluster.engines.push(backend);
        }
        for index in 0..plains {
            let backend = cluster.start_backend("plain", ALERTS, index, &[]).await?;
            cluster.plains.push(backend);
        }
        cluster.publish().await?;
        for index in 0..entries {
            let process = cluster.start_entry(index)?;
            cluster.entries.push(process);
        }
        cluster.await_ready().await?;
        Ok(cluster)
    }

    async fn start_backend(
        &self,
        kind: &str,
        service: &str,
        index: usize,
        more: &[String],
    ) -> io::Result<BackendProcess> {
        let mut args = vec![kind];
        args.extend(more.iter().map(String::as_str));
        let (process, address) = start_standin(&args)?;
        let vm = format!("{kind}-{}", index + 1);
        let record = vm_record(&vm, address, service, index);
        self.admin("/admin/vms", &json!(record)).await?;
        Ok(BackendProcess { record, process })
    }

    async fn publish(&self) -> io::Result<()> {
        let log = LogClient::new(self.http.clone(), BaseUrl::from_address(self.platform.log));
        publish(&log, draw_publication(), cold_chain(), None)
            .await
            .map(drop)
            .map_err(io::Error::other)
    }

    /// Starts the entry numbered `index`, or starts it anew.
    ///
    /// # Errors
    ///
    /// An entry that cannot be started.
    pub fn start_entry(&self, index: usize) -> io::Result<OwnedProcess> {
        let own = &self.addresses[index];
        let extra = "[log]\nlevel = error\n\n[limits]\nanswer_lifetime = 1\ndrain = 8000\n";
        let text = settings_text(own, &self.addresses, self.platform, extra);
        let file = self.settings.path().join(format!("{}.ini", own.name));
        std::fs::write(&file, text)?;
        let child = Command::new(find_binary("cloverbendd")?)
            .arg("--settings")
            .arg(&file)
            .spawn()?;
        Ok(OwnedProcess { child })
    }

    /// Makes an admin call of the cloud.
    ///
    /// # Errors
    ///
    /// A call that fails.
    pub async fn admin(&self, path: &str, body: &Value) -> io::Result<()> {
        self.admin_at(self.platform.cloud, path, body).await
    }

    /// Makes an admin call of any stand-in.
    ///
    /// # Errors
    ///
    /// A call that fails.
    pub async fn admin_at(&self, address: SocketAddr, path: &str, body: &Value) -> io::Result<()> {
        let url = format!("http://{address}{path}");
        self.http
            .post_json::<Value>(&url, body.to_string(), ADMIN_TIMEOUT)
            .await
            .map(drop)
            .map_err(io::Error::other)
    }

    /// Gives notice to a VM.
    ///
    /// # Errors
    ///
    /// A call that fails.
    pub async fn give_notice(&self, vm: &str, left: Duration) -> io::Result<()> {
        let body = json!({"vm": vm, "left_ms": left.as_millis() as u64});
        self.admin("/admin/notices", &body).await
    }

    /// Sets a fault of the log service.
    ///
    /// # Errors
    ///
    /// A call that fails.
    pub async fn fault_log(&self, fault: &Value) -> io::Result<()> {
        let body = json!({"fault": fault});
        self.admin_at(self.platform.log, "/admin/fault", &body)
            .await
    }

    /// Returns the status of an entry.
    ///
    /// # Errors
    ///
    /// An entry that does not answer.
    pub async fn status(&self, index: usize) -> io::Result<StatusAnswer> {
        let url = format!("http://{}/v1/status", self.addresses[index].http);
        self.http
            .get_json(&url, Duration::from_secs(1))
            .await
            .map_err(io::Error::other)
    }

    /// Waits until an entry's status fulfils a condition.
    ///
    /// # Errors
    ///
    /// A condition that is not fulfilled in time.
    pub async fn await_status(
        &self,
        index: usize,
        what: &str,
        fulfilled: impl Fn(&StatusAnswer) -> bool,
    ) -> io::Result<()> {
        let begun = Instant::now();
        while begun.elapsed() < READY_TIMEOUT {
            if self
                .status(index)
                .await
                .is_ok_and(|status| fulfilled(&status))
            {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Err(io::Error::new(io::ErrorKind::TimedOut, what.to_owned()))
    }

    async fn await_ready(&self) -> io::Result<()> {
        let backends = self.engines.len() + self.plains.len();
        for index in 0..self.entries.len() {
            self.await_status(index, "an entry did not get ready", |status| {
                let serving = status.entry.state == "serving";
                let paired = status.entry.mirror.is_some();
                let alive = status.others.iter().filter(|e| e.health == "alive").count();
                let others = alive + 1 == self.entries.len();
                serving && paired && others && status.backends.len() == backends
            })
            .await?;
        }
        Ok(())
    }

    /// Returns a caller that knows all entries, the one given first.
    pub fn caller(&self, first: usize, key: &str) -> CallerClient {
        let count = self.addresses.len();
        let entries = (0..count)
            .map(|step| self.addresses[(first + step) % count].http)
            .collect();
        CallerClient::new(self.http.clone(), entries, key)
    }

    /// Returns the most runs of any one ticket over all plain servers.
    ///
    /// # Errors
    ///
    /// A server that does not answer.
    pub async fn most_runs(&self) -> io::Result<u64> {
        let mut runs: std::collections::BTreeMap<String, u64> = std::collections::BTreeMap::new();
        for plain in &self.plains {
            let url = format!("http://{}/admin/runs", plain.record.address);
            let request = Request::get(url)
                .body(Full::new(Bytes::new()))
                .map_err(io::Error::other)?;
            let counts: std::collections::BTreeMap<String, u64> = self
                .http
                .fetch_json(request, ADMIN_TIMEOUT)
                .await
                .map_err(io::Error::other)?;
            for (ticket, count) in counts {
                *runs.entry(ticket).or_default() += count;
            }
        }
        Ok(runs.values().copied().max().unwrap_or(0))
    }
}
