//! What a large configuration costs a hub with many slow entries around it.

use std::fmt;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cloverbend::http_client::HttpClient;
use cloverbend::id::RevisionNumber;
use cloverbend_platform_standin::cloud_standin::CloudStandin;
use cloverbend_platform_standin::entry_process::ByteCount;
use cloverbend_platform_standin::entry_process::EntryPlan;
use cloverbend_platform_standin::entry_process::EntryProcess;
use cloverbend_platform_standin::gateway_cluster::large_document;
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
/// The most memory that the entry may ever have: an eighth of its VM's 512 MB.
const MEMORY_BOUND: ByteCount = ByteCount(64 * MB);
/// The memory of an entry's VM. A case ends here, as the process would.
const VM_MEMORY: ByteCount = ByteCount(512 * MB);
/// Routes of the large document, which has about 1.1 MB with them.
const ROUTES: usize = 4_200;
/// Routes of the document with which all begin.
const FIRST_ROUTES: usize = 5;
/// The revision with which all begin.
const FIRST: u64 = 1;
/// The last revision.
const LAST: u64 = 4;
/// The pause between revisions.
const REVISION_PAUSE: Duration = Duration::from_millis(1_000);
/// How long the entry is watched after the last revision.
const WATCH_TIME: Duration = Duration::from_secs(5);
/// What the entry sent to others.
const SENT_BYTES: &str = "cloverbend_peer_sent_bytes_total";
/// The pause between looks at the entry.
const LOOK_PAUSE: Duration = Duration::from_millis(50);
/// How long the entries may take to hear each other.
const PATIENCE: Duration = Duration::from_secs(5);
/// Of how many entries one reads nothing.
const STALLED_EVERY: usize = 8;

/// Cases would take each other's processors and ports.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// A hub on the store, with other entries played around it.
struct HubWorld {
    store: Arc<StoreStandin>,
    entry: EntryProcess,
    http: HttpClient,
    stop: CancellationToken,
    _folder: TempDir,
}

impl Drop for HubWorld {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl HubWorld {
    async fn start(others: usize, held: HeldRevision, fault: StoreFault) -> Self {
        let stop = CancellationToken::new();
        let store = StoreStandin::new();
        store.publish(&large_document(FIRST, FIRST_ROUTES));
        let door = store.open_door(stop.clone()).await.unwrap();
        door.set_fault(fault);
        let cloud = CloudStandin::default().serve(stop.clone()).await.unwrap();
        let start = |number| {
            let pace = pace_of(number);
            let light = LightEntry::start(number, held.clone(), pace, stop.clone()).unwrap();
            light.join(&store);
            light
        };
        let lights: Vec<LightEntry> = (0..others).map(start).collect();
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
        for light in lights {
            light.follow(entry.peers);
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

    /// Waits until the hub has the first revision and hears all others.
    async fn wait_until_heard(&self, others: usize) {
        let begun = Instant::now();
        loop {
            let heard = self.entry.metric(&self.http, "cloverbend_entries_heard");
            let heard = heard.await.unwrap_or_default() as usize;
            if heard == others + 1 && self.entry.has_revision(&self.http, FIRST).await {
                return;
            }
            assert!(
                begun.elapsed() < PATIENCE,
                "{heard} of {} heard",
                others + 1
            );
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    }

    /// Watches the entry for a time, or until it has used its VM's memory;
    /// returns whether that came first.
    async fn fills_memory(&self, time: Duration) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < time {
            if self.entry.peak_memory().unwrap() >= VM_MEMORY {
                return true;
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        false
    }

    async fn publish_revisions(&self) {
        for version in FIRST + 1..=LAST {
            self.store.publish(&large_document(version, ROUTES));
            if self.fills_memory(REVISION_PAUSE).await {
                return;
            }
        }
        self.fills_memory(WATCH_TIME).await;
    }

    /// Measures the hub, and prints the figures.
    async fn measure(&self, others: usize) -> HubFigures {
        let peak = self.entry.peak_memory().unwrap();
        let sent = self.entry.metric(&self.http, SENT_BYTES).await;
        let sent = ByteCount(sent.unwrap_or_default() as u64);
        let has_last = self.entry.has_revision(&self.http, LAST).await;
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

/// What a hub came to.
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
            "{others} others: peak {peak:.1} MB, {sent:.1} MB sent, last revision {has_last}"
        )
    }
}

impl HubFigures {
    fn check(&self) {
        assert!(self.peak < MEMORY_BOUND, "memory over the bound; {self}");
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

/// Publishes to a hub of entries that lag behind, and measures it.
async fn spread(others: usize) -> HubFigures {
    let held = HeldRevision {
        number: RevisionNumber(FIRST),
        document: None,
    };
    let world = HubWorld::start(others, held, StoreFault::None).await;
    world.wait_until_heard(others).await;
    world.publish_revisions().await;
    world.measure(others).await
}

#[rstest]
#[case::alone(0)]
#[case::large_site(83)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_hub_of_slow_entries_keeps_its_memory(#[case] others: usize) {
    let _turn = ONE_AT_A_TIME.lock().await;
    let figures = spread(others).await;
    figures.check();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_memory_of_a_hub_does_not_grow_with_the_entries() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let small = spread(9).await;
    let large = spread(320).await;
    small.check();
    large.check();
}

/// Entries that run side by side may be of different versions, so that all may
/// tell the document unasked, as this version does, to one that starts anew.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_entry_that_all_send_the_document_keeps_its_memory() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let held = HeldRevision {
        number: RevisionNumber(LAST),
        document: Some(large_document(LAST, ROUTES).into()),
    };
    let world = HubWorld::start(83, held, StoreFault::Silent).await;
    world.fills_memory(WATCH_TIME).await;
    let figures = world.measure(83).await;
    figures.check();
}
