//! Randomised histories of the protocol of holders and mirrors.

use cloverbend_testutils::histories::HistoryCounts;
use cloverbend_testutils::histories::HistoryShape;
use cloverbend_testutils::histories::run_history;
use cloverbend_testutils::pair_step::BrokenRule;
use rstest::rstest;

const HISTORIES: u64 = 60_000;

fn shape(broken: BrokenRule) -> HistoryShape {
    HistoryShape {
        entries: 4,
        requests: 3,
        steps: 50,
        broken,
    }
}

#[test]
fn no_history_breaks_a_rule() {
    let mut counts = HistoryCounts::default();
    for seed in 0..HISTORIES {
        if let Err(failed) = run_history(seed, shape(BrokenRule::None), &mut counts) {
            panic!("{failed}");
        }
    }
    insta::assert_debug_snapshot!(counts);
}

#[rstest]
fn a_broken_rule_is_found_by_a_history(
    #[values(
        BrokenRule::EarlyDidNotRun,
        BrokenRule::LicenceAfterTakeOver,
        BrokenRule::HandOverTwice,
        BrokenRule::LateLicenceHonoured,
        BrokenRule::MoveWithoutRelease,
        BrokenRule::RefuseAbsentEarly
    )]
    broken: BrokenRule,
) {
    let mut counts = HistoryCounts::default();
    let found = (0..HISTORIES).find_map(|seed| run_history(seed, shape(broken), &mut counts).err());
    assert!(found.is_some(), "{broken:?} was not found");
}
