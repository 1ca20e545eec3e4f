//! What entries remember and tell of crashes.

use std::time::Duration;

use cloverbend::gateway::backend_record::BackendId;
use cloverbend::gateway::backend_record::BackendName;
use cloverbend::gateway::backend_record::StartTime;
use cloverbend::gateway::call_digest::CallDigest;
use cloverbend::gateway::crash_frames::CrashReportFrame;
use cloverbend::gateway::crash_ledger::CRASH_RETENTION;
use cloverbend::gateway::crash_ledger::CrashLedger;
use cloverbend::gateway::crash_ledger::CrashReport;
use cloverbend::gateway::crash_verdict::CrashRecord;
use cloverbend::gateway::crash_verdict::IncarnationDigest;
use cloverbend::quantity::Timestamp;
use prost::Message;
use rstest::rstest;

const SERVERS: usize = 20;
const FATAL: CallDigest = CallDigest(7);
const BESIDE: CallDigest = CallDigest(8);

fn server(number: u64) -> BackendId {
    BackendId {
        name: BackendName(format!("server-{number}")),
        start: StartTime(1),
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Notes that a server crashed 80 ms after a request had begun there.
fn crash(ledger: &mut CrashLedger, digest: CallDigest, number: u64, millis: u64) {
    ledger.note_crash(at(millis), digest, &server(number), at(millis - 80));
    ledger.judge(SERVERS);
}

#[test]
fn what_three_entries_saw_once_each_is_enough() {
    let mut ledgers: Vec<CrashLedger> = (0..3).map(|_| CrashLedger::new()).collect();
    for (number, ledger) in ledgers.iter_mut().enumerate() {
        crash(ledger, FATAL, number as u64, 1_000);
        assert!(!ledger.refuses(at(1_000), FATAL));
    }
    let told: Vec<Vec<CrashReport>> = ledgers.iter().map(|one| one.reports(at(1_100))).collect();
    // A word that comes twice changes nothing.
    for reports in told.iter().chain(&told) {
        ledgers[0].take_over(at(1_200), reports);
    }
    ledgers[0].judge(SERVERS);
    assert!(ledgers[0].refuses(at(1_200), FATAL));
}

#[test]
fn one_crash_seen_by_many_entries_is_one() {
    let mut ledger = CrashLedger::new();
    for entry in 0..9 {
        crash(&mut ledger, FATAL, 1, 1_000 + entry);
    }
    assert!(!ledger.refuses(at(1_100), FATAL));
}

/// A server that has started again under its name ends as another life, also
/// where its new record is not known yet.
#[test]
fn a_server_that_crashes_again_counts_again() {
    let mut ledger = CrashLedger::new();
    for millis in [1_000, 4_000, 7_000] {
        crash(&mut ledger, FATAL, 1, millis);
    }
    assert!(ledger.refuses(at(7_100), FATAL));
}

/// What was sent to a server that had just ended met connections of a life that
/// is over, and did not end it.
#[test]
fn what_comes_after_the_crash_did_not_cause_it() {
    let mut ledger = CrashLedger::new();
    for number in 1..=3 {
        crash(&mut ledger, BESIDE, number, 1_000);
        let late = ledger.note_crash(at(1_020), FATAL, &server(number), at(1_010));
        assert!(!late);
    }
}

#[test]
fn what_runs_beside_a_fatal_request_is_explained_by_it() {
    let mut ledger = CrashLedger::new();
    for number in 1..=4 {
        let millis = number * 1_000;
        ledger.note_crash(at(millis), BESIDE, &server(number), at(millis - 600));
        crash(&mut ledger, FATAL, number, millis);
    }
    let now = at(4_000);
    assert_eq!(
        (ledger.refuses(now, FATAL), ledger.refuses(now, BESIDE)),
        (true, false)
    );
}

/// The servers were mended, or the verdict was wrong: whoever still sends it,
/// where nothing is known of it, shows that it runs.
#[test]
fn answers_acquit() {
    let mut ledger = CrashLedger::new();
    for number in 1..=4 {
        crash(&mut ledger, FATAL, number, 1_000 * number);
    }
    assert!(ledger.refuses(at(4_000), FATAL));
    assert!(ledger.note_answered(at(4_100), FATAL));
    ledger.judge(SERVERS);
    assert!(!ledger.refuses(at(4_200), FATAL));
}

#[rstest]
#[case::while_it_comes(CRASH_RETENTION / 2, true)]
#[case::long_after(CRASH_RETENTION, false)]
fn a_fatal_request_is_remembered_while_it_comes(#[case] later: Duration, #[case] refused: bool) {
    let mut ledger = CrashLedger::new();
    for number in 1..=3 {
        crash(&mut ledger, FATAL, number, 1_000);
    }
    let mut now = at(1_000);
    for _ in 0..3 {
        now = now.after(later);
        ledger.drop_old(now);
        assert_eq!(ledger.refuses(now, FATAL), refused);
    }
}

/// Bounded in number, whatever comes: those with most crashes are kept.
#[test]
fn what_is_remembered_and_told_is_bounded() {
    let mut ledger = CrashLedger::new();
    for number in 1..=3 {
        crash(&mut ledger, FATAL, number, 1_000);
    }
    for number in 0..5_000 {
        let beside = CallDigest(100 + number);
        ledger.note_crash(at(2_000), beside, &server(number), at(1_500));
        ledger.note_answered(at(2_000), CallDigest(10_000 + number));
    }
    ledger.drop_old(at(2_000));
    ledger.judge(SERVERS);
    let reports = ledger.reports(at(2_000));
    let bytes: usize = reports
        .iter()
        .map(|report| CrashReportFrame::from(report.clone()).encoded_len())
        .sum();
    insta::assert_debug_snapshot!((reports.len(), reports[0].digest, bytes));
}

/// A popular request is answered many times a second; once enough is known of it
/// there is nothing to tell.
#[test]
fn answers_of_a_popular_request_are_not_told_for_ever() {
    let mut ledger = CrashLedger::new();
    crash(&mut ledger, BESIDE, 1, 1_000);
    for number in 0..100 {
        ledger.note_answered(at(1_000 + number), BESIDE);
    }
    let told = ledger.reports(at(2_000));
    assert_eq!(told[0].record.survivors, 8);
    ledger.note_answered(at(4_000), BESIDE);
    assert_eq!(ledger.reports(at(4_000)), []);
}

/// What an entry saw run well counts also where others saw the crashes.
#[test]
fn answers_from_before_the_crashes_acquit() {
    let mut ledger = CrashLedger::new();
    ledger.note_answered(at(500), FATAL);
    let mut other = CrashLedger::new();
    for number in 1..=4 {
        crash(&mut other, FATAL, number, 1_000);
    }
    ledger.take_over(at(1_100), &other.reports(at(1_100)));
    ledger.judge(SERVERS);
    assert!(!ledger.refuses(at(1_100), FATAL));
}

#[test]
fn reports_survive_the_wire() {
    let report = CrashReport {
        digest: FATAL,
        record: CrashRecord {
            crashes: [(IncarnationDigest(u64::MAX), Duration::from_micros(81_250))].into(),
            survivors: 3,
        },
        idle: Duration::from_millis(250),
    };
    let bytes = CrashReportFrame::from(report.clone()).encode_to_vec();
    let read = CrashReportFrame::decode(bytes.as_slice()).unwrap();
    assert_eq!(CrashReport::from(read), report);
}
