//! What the lease holder saves of open usage windows, at a thousand entries.

use cloverbend::gateway::duty_record::DutyRecord;
use cloverbend::gateway::interim_counts::InterimCounts;
use cloverbend::gateway::usage_table::IncarnationCounts;
use cloverbend::gateway::usage_table::UsageTable;
use cloverbend::id::Incarnation;
use cloverbend::quantity::Timestamp;

const WINDOW: u64 = 353_445_120;
const ACCOUNTS: u64 = 333;
/// The time between two saves.
const SAVE_MS: u64 = 250;
/// The longest record that the store takes.
const MAX_RECORD_BYTES: usize = 262_144;

/// Adds requests that began at entries, spread over entries and accounts.
fn add_requests(
    counts: &mut IncarnationCounts,
    window: u64,
    entries: u64,
    requests: std::ops::Range<u64>,
) {
    let incarnations = counts.entry(window).or_default();
    for request in requests {
        let incarnation = Incarnation(u64::MAX - request * 7_919 % entries);
        let account = format!("account-{:03}", request * 31 % ACCOUNTS);
        let accounts = incarnations.entry(incarnation).or_default();
        *accounts.entry(account.parse().unwrap()).or_default() += 1;
    }
}

fn record_bytes(windows: IncarnationCounts) -> usize {
    let record = DutyRecord::Interim {
        windows,
        tenure: None,
    };
    serde_json::to_vec(&record).unwrap().len()
}

/// Two windows are open, and each save brings as many new requests as the one before.
#[rstest::rstest]
#[case::a_thousand(986, 175)]
#[case::two_thousand(1_972, 350)]
fn records_have_only_what_changed(#[case] entries: u64, #[case] requests_per_save: u64) {
    let mut interim = InterimCounts::new();
    let mut current = IncarnationCounts::new();
    let mut largest = 0;
    let mut total = 0;
    let mut saves = 0;
    for window in [WINDOW, WINDOW + 1] {
        for step in 0..20 {
            add_requests(
                &mut current,
                window,
                entries,
                step * requests_per_save..(step + 1) * requests_per_save,
            );
            let now = Timestamp::from_millis(saves * SAVE_MS);
            let record = interim.next_record(now, &current);
            let bytes = record_bytes(record.clone());
            interim.note_saved(record);
            largest = largest.max(bytes);
            total += bytes;
            saves += 1;
        }
    }
    assert!(largest < MAX_RECORD_BYTES, "{largest}");
    let full = record_bytes(current) as u64;
    let mean = total as u64 / saves;
    assert!(mean * 5 < full, "{mean} of {full}");
}

/// A holder that reads all records has all counts, also if the first ones are gone for
/// longer than the time between two full saves.
#[test]
fn all_counts_are_restored_from_the_records_of_the_last_seconds() {
    let mut interim = InterimCounts::new();
    let mut current = IncarnationCounts::new();
    let mut records = Vec::new();
    for save in 0..60 {
        add_requests(&mut current, WINDOW, 1_972, save * 350..(save + 1) * 350);
        let now = Timestamp::from_millis(save * SAVE_MS);
        let record = interim.next_record(now, &current);
        interim.note_saved(record.clone());
        records.push((now, record));
    }
    // The last record may not have room for all.
    for save in 60..70 {
        let record = interim.next_record(Timestamp::from_millis(save * SAVE_MS), &current);
        interim.note_saved(record.clone());
        records.push((Timestamp::from_millis(save * SAVE_MS), record));
    }
    let kept_from = Timestamp::from_millis(70 * SAVE_MS - 8_000);
    let mut restored = UsageTable::new(Incarnation(1));
    for (_, record) in records.iter().filter(|(at, _)| *at >= kept_from) {
        restored.restore(record);
    }
    assert_eq!(restored.since(WINDOW), current);
}

#[test]
fn nothing_is_saved_twice_between_two_full_saves() {
    let mut interim = InterimCounts::new();
    let mut current = IncarnationCounts::new();
    add_requests(&mut current, WINDOW, 10, 0..100);
    let first = interim.next_record(Timestamp(0), &current);
    assert_eq!(first, current);
    // An append that failed is repeated.
    assert_eq!(
        interim.next_record(Timestamp::from_millis(250), &current),
        current
    );
    interim.note_saved(first);
    assert!(
        interim
            .next_record(Timestamp::from_millis(500), &current)
            .is_empty()
    );
    assert_eq!(
        interim.next_record(Timestamp::from_millis(4_000), &current),
        current
    );
}
