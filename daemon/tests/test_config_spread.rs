//! Tests of `measure_spread`, which measures how a configuration spreads over the
//! entries, with three entries.

use std::path::PathBuf;
use std::time::Duration;

use cloverbend_platform_standin::config_documents::large_document;
use cloverbend_platform_standin::config_spread::SpreadEnd;
use cloverbend_platform_standin::config_spread::SpreadPlan;
use cloverbend_platform_standin::config_spread::measure_spread;
use cloverbend_platform_standin::entry_process::ByteCount;

const ENTRIES: usize = 3;
const ROUTES: usize = 20;
const REVISIONS: u64 = 2;
const MEMORY_LIMIT: ByteCount = ByteCount(512 * 1_024 * 1_024);

fn small_plan(folder: PathBuf, memory_limit: ByteCount) -> SpreadPlan {
    SpreadPlan {
        program: PathBuf::from(env!("CARGO_BIN_EXE_cloverbendd")),
        folder,
        entries: ENTRIES,
        routes: ROUTES,
        revisions: REVISIONS,
        pause: Duration::from_millis(100),
        memory_limit,
    }
}

#[tokio::test]
async fn the_spread_of_a_configuration_is_measured_at_every_entry() {
    let folder = tempfile::tempdir().unwrap();
    let plan = small_plan(folder.path().to_owned(), MEMORY_LIMIT);
    let figures = measure_spread(plan).await.unwrap();
    let last = large_document(1 + REVISIONS, ROUTES);
    assert_eq!(figures.end, SpreadEnd::Settled);
    assert_eq!(figures.in_force.len(), ENTRIES);
    assert_eq!(
        figures.in_force_at(ENTRIES),
        figures.in_force.last().copied()
    );
    assert_eq!(figures.document, ByteCount(last.len() as u64));
    assert!(figures.sent.unwrap() > ByteCount::default());
    assert!(figures.mean_peak > ByteCount::default());
    assert!(figures.highest_peak >= figures.mean_peak);
}

#[tokio::test]
async fn a_run_ends_with_an_error_when_entries_exceed_the_memory_limit() {
    let folder = tempfile::tempdir().unwrap();
    let plan = small_plan(folder.path().to_owned(), ByteCount(1));
    let error = measure_spread(plan).await.unwrap_err();
    assert!(error.to_string().contains("MB in all"), "{error}");
}
