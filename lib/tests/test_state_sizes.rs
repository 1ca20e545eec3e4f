//! Tests how the memory of a process is read, and when its growth is logged.

use cloverbend::gateway::state_sizes::GrowthDetector;
use cloverbend::quantity::Timestamp;
use cloverbend::resident_memory::ResidentBytes;
use cloverbend::resident_memory::parse_statm;
use cloverbend::resident_memory::read_resident;
use rstest::rstest;

#[rstest]
#[case::usual("24371 1563 1024 411 0 6044 0\n", Some(1_563 * 4_096))]
#[case::empty("", None)]
#[case::one_field("24371\n", None)]
#[case::not_a_number("24371 many 1024\n", None)]
#[case::negative("24371 -1 1024\n", None)]
#[case::beyond_64_bits("1 18446744073709551615 1\n", None)]
fn the_resident_size_is_parsed(#[case] text: &str, #[case] expected: Option<u64>) {
    assert_eq!(parse_statm(text), expected.map(ResidentBytes));
}

#[test]
fn resident_memory_grows_by_memory_written_to() {
    const TOUCHED: usize = 64 * 1024 * 1024;
    let before = read_resident().unwrap();
    let block = vec![1_u8; TOUCHED];
    let after = read_resident().unwrap();
    assert!(block.iter().all(|byte| *byte == 1));
    let grown = after.0 - before.0;
    assert!(grown >= TOUCHED as u64 * 9 / 10, "{grown}");
}

/// Returns the second and the megabytes of each line that is logged, if memory has one of
/// the given sizes in each second.
fn written(sizes: impl Iterator<Item = u64>) -> Vec<String> {
    let mut detector = GrowthDetector::default();
    let mut lines = Vec::new();
    for (second, megabytes) in (0_u64..).zip(sizes) {
        let now = Timestamp::from_millis(second * 1_000);
        if detector.detect(now, ResidentBytes(megabytes * 1_000_000)) {
            lines.push(format!("{second} s: {megabytes} MB"));
        }
    }
    lines
}

#[test]
fn growth_by_a_quarter_is_logged_at_most_every_ten_seconds() {
    let constant = [6; 20].into_iter();
    let growing = (1..=30).map(|step| 6 + 12 * step);
    let falling = [100; 20].into_iter();
    let slow = (0..200).map(|step| 370 + step);
    let sizes = constant.chain(growing).chain(falling).chain(slow);
    insta::assert_debug_snapshot!(written(sizes));
}

#[rstest]
#[case::below_a_quarter(499, 1)]
#[case::a_quarter(500, 2)]
fn growth_is_logged_from_a_quarter_on(#[case] later: u64, #[case] lines: usize) {
    let sizes = [400; 10].into_iter().chain([later]);
    assert_eq!(written(sizes).len(), lines);
}
