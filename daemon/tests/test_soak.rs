//! Short runs of the fault soak with the real daemon, and the seeds that have failed
//! before.

use std::path::PathBuf;
use std::time::Duration;

use cloverbend_platform_standin::cloud_standin::CloudFencing;
use cloverbend_platform_standin::soak::LeasePlan;
use cloverbend_platform_standin::soak::SoakFaults;
use cloverbend_platform_standin::soak::SoakPlan;
use cloverbend_platform_standin::soak::StoreReturns;
use cloverbend_platform_standin::soak::run_soak;
use rstest::rstest;

/// The cloud does not check fencing tokens, and the store never returns to an older
/// state.
const UNFENCED: LeasePlan = LeasePlan {
    fencing: CloudFencing::Unchecked,
    returns: StoreReturns::Never,
};

#[rstest]
#[case::short(1, 0, SoakFaults::All)]
// A removed key was restored while a request waited at a paused entry; the check
// wrongly reported that the request ran with an expired key.
#[case::key_restored(31_008, 0, SoakFaults::All)]
// A restarted entry took old information of other entries for received since its
// start, and relayed it as current.
#[case::restarted_entry_relays_old_state(81_001, 0, SoakFaults::All)]
#[case::large_configuration(2, 2_000, SoakFaults::All)]
#[case::reports_of_replicas(3, 0, SoakFaults::Words)]
#[case::lease_without_fencing(70_100, 0, SoakFaults::Lease(UNFENCED))]
#[case::paths_cut(58_000, 0, SoakFaults::Paths)]
#[case::all_entries_lost_in_series(74_001, 0, SoakFaults::Losses)]
#[case::slow_callers_broken_heads_and_late_bytes(95_001, 0, SoakFaults::Deliveries)]
#[case::revisions_written_late(96_001, 0, SoakFaults::Changes)]
#[tokio::test]
async fn guarantees_hold_under_faults(
    #[case] seed: u64,
    #[case] routes: usize,
    #[case] faults: SoakFaults,
) {
    let folder = tempfile::tempdir().unwrap();
    let plan = SoakPlan {
        program: PathBuf::from(env!("CARGO_BIN_EXE_cloverbendd")),
        folder: folder.path().to_owned(),
        seed,
        entries: 3,
        time: Duration::from_secs(8),
        routes,
        faults,
    };
    let report = run_soak(plan).await.unwrap();
    assert_eq!(report.broken, [], "faults: {:#?}", report.faults);
    assert!(report.served > 0);
}
