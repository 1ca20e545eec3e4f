//! Tests the bound on log lines, and the search for a request in a log.

use cloverbend::gateway::log_budget::LineClass;
use cloverbend::gateway::log_budget::LogBudget;
use cloverbend::log_reader::read_request_lines;
use cloverbend::quantity::Timestamp;

const TEXT: &str = r#"  0.1 entry-2 {"msg":"request sent","level":"INFO","ts":"2026-01-01T00:00:00.2Z","entry":"entry-2","backend":"b-1","request":"abc"}
{"msg":"request sent","level":"INFO","ts":"2026-01-01T00:00:00.1Z","entry":"entry-1","request":"other"}
{"msg":"request answered","level":"INFO","ts":"2026-01-01T00:00:00.3Z","entry":"entry-2","status":200,"request":"abc","error":null}

a line of something else
{"msg":"cut
{"msg":"limit reached","level":"INFO","ts":"2026-01-01T00:00:00.1Z","entry":"entry-1","units":12,"request":"abc"}
"#;

#[test]
fn lines_of_a_request_are_found_in_order_and_bad_lines_reported() {
    let found = read_request_lines(TEXT, "abc");
    let lines: Vec<String> = found.lines.iter().map(ToString::to_string).collect();
    let bad: Vec<String> = found.bad.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(format!("{}\n--\n{}", lines.join("\n"), bad.join("\n")));
}

#[test]
fn high_load_logs_no_more_than_the_budget() {
    let mut budget = LogBudget::new();
    let mut written = [0_u32; 2];
    let mut dropped = 0;
    for step in 0..60_000_u64 {
        // 6,000 lines a second of each class, for ten seconds.
        let now = Timestamp::from_millis(step / 6);
        let request = format!("call-{}", step / 3);
        for (index, class) in [LineClass::Step, LineClass::Failure]
            .into_iter()
            .enumerate()
        {
            written[index] += u32::from(budget.admit(now, &request, class));
        }
        dropped += budget.take_dropped();
    }
    assert!(
        written.iter().all(|lines| (2_000..=3_300).contains(lines)),
        "{written:?}"
    );
    assert_eq!(dropped, 120_000 - u64::from(written[0] + written[1]));
}

#[test]
fn all_or_no_lines_of_a_request_are_kept() {
    let mut budget = LogBudget::new();
    for step in 0..1_000_u64 {
        budget.admit(
            Timestamp::from_millis(step),
            &format!("early-{step}"),
            LineClass::Step,
        );
    }
    let mut partly_logged = 0;
    for number in 0..200_u64 {
        let request = format!("call-{number}");
        let lines = (0..3).filter(|line| {
            let now = Timestamp::from_millis(1_000 + number * 4 + line);
            budget.admit(now, &request, LineClass::Step)
        });
        partly_logged += u32::from(!matches!(lines.count(), 0 | 3));
    }
    assert_eq!(partly_logged, 0);
}

#[test]
fn all_lines_are_logged_under_the_usual_load() {
    let mut budget = LogBudget::new();
    let kept = (0..2_000_u64).filter(|step| {
        let now = Timestamp::from_millis(step * 10);
        budget.admit(now, &format!("call-{step}"), LineClass::Step)
    });
    assert_eq!(kept.count(), 2_000);
}
