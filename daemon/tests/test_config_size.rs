//! Tests that a hub stays within its memory while it sends a large configuration
//! to many slow entries.

use std::fmt;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cloverbend::http_client::HttpClient;
use cloverbend::id::RevisionNumber;
use cloverbend_platform_standin::cloud_standin::CloudStandin;
use cloverbend_platform_standin::config_documents::large_document;
use cloverbend_platform_standin::entry_process::ByteCount;
use cloverbend_platform_standin::entry_process::EntryPlan;
use cloverbend_platform_standin::entry_process::EntryProcess;
use cloverbend_platform_standin::light_entry::HeldRevision;
use cloverbend_platform_standin::light_entry::LightEntry;
use cloverbend_platform_standin::light_entry::ReadingPace;
use cloverbend_platform_standin::store_standin::StoreFault;
use cloverbend_platform_standin::store_standin::StoreStandin;
use rstest::rstest;
use tempfile::TempDir;
use tokio::sync::Mutex;
use tokio_util::sync::CancellationToken;

const MB: u64 = 1_024 * 1_024;
/// The limit of the hub's peak memory: an eighth of its VM's 512 MB.
const MEMORY_LIMIT: ByteCount = ByteCount(64 * MB);
/// The memory of an entry's VM. A case ends early when the hub uses all of it.
const VM_MEMORY: ByteCount = ByteCount(512 * MB);
/// The number of routes in the large document, which makes it about 1.1 MB.
const ROUTES: usize = 4_200;
/// The number of routes in the first document.
const FIRST_ROUTES: usize = 5;
/// The revision that all entries start with.
const FIRST_REVISION: u64 = 1;
/// The last revision that is published.
const LAST_REVISION: u64 = 4;
/// The time between two revisions.
const REVISION_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long the hub is observed after the last revision.
const OBSERVATION_TIME: Duration = Duration::from_secs(5);
/// The metric of the bytes that the hub sent to other entries.
const SENT_BYTES_METRIC: &str = "cloverbend_peer_sent_bytes_total";
/// The time between two queries of the hub.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long the hub may take to receive gossip from all other entries.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(5);
/// One in this many entries accepts connections and reads nothing.
const STALLED_EVERY: usize = 8;

/// Held by the case that runs: cases in parallel would compete for processors and
/// ports.
static CASE_LOCK: Mutex<()> = Mutex::const_new(());

/// A hub that reads from the store, with simulated entries as its peers.
struct HubDeployment {
    store: Arc<StoreStandin>,
    entry: EntryProcess,
    http: HttpClient,
    stop: CancellationToken,
    _folder: TempDir,
}

impl Drop for HubDeployment {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl HubDeployment {
    async fn start(others: usize, revision: HeldRevision, fault: StoreFault) -> Self {
        let stop = CancellationToken::new();
        let store = StoreStandin::new();
        store.publish(&large_document(FIRST_REVISION, FIRST_ROUTES));
        let door = store.open_door(stop.clone()).await.unwrap();
        door.set_fault(fault);
        let cloud = CloudStandin::default().serve(stop.clone()).await.unwrap();
        let start = |number| {
            let pace = pace_of(number);
            let entry = LightEntry::start(number, revision.clone(), pace, stop.clone()).unwrap();
            entry.join(&store);
            entry
        };
        let peers: Vec<LightEntry> = (0..others).map(start).collect();
        let folder = tempfile::tempdir().unwrap();
        let plan = EntryPlan {
            program: PathBuf::from(env!("CARGO_BIN_EXE_cloverbendd")),
            folder: folder.path().to_owned(),
            name: "hub".to_owned(),
            link_mbps: 1_000,
            cpu_share: 4.0,
            store: door.address,
            cloud,
        };
        let entry = EntryProcess::start(&plan).await.unwrap();
        for peer in peers {
            peer.follow(entry.peers);
        }
        let http = HttpClient::new();
        Self {
            store,
            entry,
            http,
            stop,
            _folder: folder,
        }
    }

    /// Waits until the hub has the first revision and has received gossip from all
    /// others.
    async fn wait_until_connected(&self, others: usize) {
        let started_at = Instant::now();
        loop {
            let count = self.entry.metric(&self.http, "cloverbend_entries_heard");
            let count = count.await.unwrap_or_default() as usize;
            if count == others + 1 && self.entry.has_revision(&self.http, FIRST_REVISION).await {
                return;
            }
            assert!(
                started_at.elapsed() < DISCOVERY_TIMEOUT,
                "gossip received from {count} of {} entries",
                others + 1
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Observes the hub until `time` has passed or it has used its VM's memory;
    /// returns whether it has used the memory.
    async fn exhausts_memory(&self, time: Duration) -> bool {
        let started_at = Instant::now();
        while started_at.elapsed() < time {
            if self.entry.peak_memory().unwrap() >= VM_MEMORY {
                return true;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        false
    }

    /// Publishes the large revisions in turn. Stops early once the hub has used its
    /// VM's memory.
    async fn publish_revisions(&self) {
        for version in FIRST_REVISION + 1..=LAST_REVISION {
            self.store.publish(&large_document(version, ROUTES));
            if self.exhausts_memory(REVISION_INTERVAL).await {
                return;
            }
        }
        self.exhausts_memory(OBSERVATION_TIME).await;
    }

    /// Reads the hub's peak memory, sent bytes and revision, and prints them.
    async fn measure(&self, others: usize) -> HubFigures {
        let peak = self.entry.peak_memory().unwrap();
        let sent = self.entry.metric(&self.http, SENT_BYTES_METRIC).await;
        let sent = ByteCount(sent.unwrap_or_default() as u64);
        let has_last = self.entry.has_revision(&self.http, LAST_REVISION).await;
        let figures = HubFigures {
            others,
            peak,
            sent,
            has_last,
        };
        println!("{figures}");
        figures
    }
}

/// The memory and traffic of a hub in one case.
struct HubFigures {
    others: usize,
    peak: ByteCount,
    sent: ByteCount,
    has_last: bool,
}

impl fmt::Display for HubFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (peak, sent) = (self.peak.megabytes(), self.sent.megabytes());
        let (others, has_last) = (self.others, self.has_last);
        write!(
            f,
            "{others} others: peak {peak:.1} MB, {sent:.1} MB sent, has last revision: {has_last}"
        )
    }
}

impl HubFigures {
    fn check(&self) {
        assert!(self.peak < MEMORY_LIMIT, "memory over the limit; {self}");
        assert!(self.has_last, "the last revision is not in force; {self}");
    }
}

fn pace_of(number: usize) -> ReadingPace {
    if number.is_multiple_of(STALLED_EVERY) {
        ReadingPace::Stalled
    } else {
        ReadingPace::Link
    }
}

/// Publishes large revisions while the hub's peers read slowly or not at all, and
/// measures the hub.
async fn publish_and_measure(others: usize) -> HubFigures {
    let revision = HeldRevision {
        number: RevisionNumber(FIRST_REVISION),
        document: None,
    };
    let deployment = HubDeployment::start(others, revision, StoreFault::None).await;
    deployment.wait_until_connected(others).await;
    deployment.publish_revisions().await;
    deployment.measure(others).await
}

#[rstest]
#[case::alone(0)]
#[case::large_site(83)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_hub_with_slow_entries_stays_within_its_memory_limit(#[case] others: usize) {
    let _guard = CASE_LOCK.lock().await;
    let figures = publish_and_measure(others).await;
    figures.check();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_memory_limit_of_a_hub_holds_for_9_and_320_entries() {
    let _guard = CASE_LOCK.lock().await;
    let small = publish_and_measure(9).await;
    let large = publish_and_measure(320).await;
    small.check();
    large.check();
}

/// Entries of different versions may run side by side, and all entries of an earlier
/// version send the document unasked to an entry that has just started.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_entry_stays_within_its_memory_limit_when_all_others_send_the_document() {
    let _guard = CASE_LOCK.lock().await;
    let revision = HeldRevision {
        number: RevisionNumber(LAST_REVISION),
        document: Some(large_document(LAST_REVISION, ROUTES).into()),
    };
    let deployment = HubDeployment::start(83, revision, StoreFault::Silent).await;
    deployment.exhausts_memory(OBSERVATION_TIME).await;
    let figures = deployment.measure(83).await;
    figures.check();
}
