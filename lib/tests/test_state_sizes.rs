//! The memory of a process, and when its growth is logged.

use cloverbend::gateway::state_sizes::GrowthWatch;
use cloverbend::quantity::Timestamp;
use cloverbend::resident_memory::ResidentBytes;
use cloverbend::resident_memory::parse_statm;
use cloverbend::resident_memory::read_resident;
use rstest::rstest;

#[rstest]
#[case::usual("24371 1563 1024 411 0 6044 0\n", Some(1_563 * 4_096))]
#[case::empty("", None)]
#[case::one_field("24371\n", None)]
#[case::no_number("24371 many 1024\n", None)]
#[case::negative("24371 -1 1024\n", None)]
#[case::beyond_64_bits("1 18446744073709551615 1\n", None)]
fn the_resident_field_is_found(#[case] text: &str, #[case] expected: Option<u64>) {
    assert_eq!(parse_statm(text), expected.map(ResidentBytes));
}

#[test]
fn touched_memory_is_resident() {
    const TOUCHED: usize = 64 * 1024 * 1024;
    let before = read_resident().unwrap();
    let block = vec![1_u8; TOUCHED];
    let after = read_resident().unwrap();
    assert!(block.iter().all(|byte| *byte == 1));
    let grown = after.0 - before.0;
    assert!(grown >= TOUCHED as u64 * 9 / 10, "{grown}");
}

/// Lists the second and megabytes of each line that is written when memory
/// has the given sizes, one a second.
fn written(sizes: impl Iterator<Item = u64>) -> Vec<String> {
    let mut watch = GrowthWatch::default();
    let mut lines = Vec::new();
    for (second, megabytes) in (0_u64..).zip(sizes) {
        let now = Timestamp::from_millis(second * 1_000);
        if watch.takes(now, ResidentBytes(megabytes * 1_000_000)) {
            lines.push(format!("{second} s: {megabytes} MB"));
        }
    }
    lines
}

#[test]
fn growth_is_logged_by_quarters_and_ten_seconds_apart() {
    let still = [6; 20].into_iter();
    let growing = (1..=30).map(|step| 6 + 12 * step);
    let falling = [100; 20].into_iter();
    let creeping = (0..200).map(|step| 370 + step);
    let sizes = still.chain(growing).chain(falling).chain(creeping);
    insta::assert_debug_snapshot!(written(sizes));
}

#[rstest]
#[case::below_a_quarter(499, 1)]
#[case::a_quarter(500, 2)]
fn a_quarter_is_enough(#[case] later: u64, #[case] lines: usize) {
    let sizes = [400; 10].into_iter().chain([later]);
    assert_eq!(written(sizes).len(), lines);
}
