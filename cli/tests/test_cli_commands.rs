//! Tests of the subcommands that need no entry, and of usage errors.

use std::path::Path;
use std::process::Command;
use std::process::Output;

use cloverbend_testutils::sample::cold_chain;

fn run_cli(folder: &Path, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cloverbend"))
        .args(args)
        .current_dir(folder)
        .env_remove("CLOVERBEND_ENTRIES")
        .env_remove("CLOVERBEND_KEY")
        .env_remove("CLOVERBEND_LOG_SERVICE")
        .output()
        .unwrap()
}

fn format_report(output: &Output) -> String {
    let code = output.status.code().unwrap_or(-1);
    let out = String::from_utf8_lossy(&output.stdout);
    let err = String::from_utf8_lossy(&output.stderr);
    format!("exit {code}\n{out}{err}")
}

/// Returns a folder with a valid configuration in `good.json` and an invalid one
/// in `bad.json`.
fn sample_folder() -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    let good = config_json(&cold_chain());
    std::fs::write(folder.path().join("good.json"), good).unwrap();
    let mut bad = cold_chain();
    bad.accounts[1] = bad.accounts[0].clone();
    bad.accounts[0].policy = "nobody".parse().unwrap();
    bad.policies[0].program = "#{ allow: ".to_owned();
    bad.services[0].min_replicas = 90;
    let bad = config_json(&bad);
    std::fs::write(folder.path().join("bad.json"), bad).unwrap();
    folder
}

fn config_json(document: &cloverbend::configuration::ConfigDocument) -> String {
    serde_json::to_string_pretty(document).unwrap()
}

#[test]
fn check_reports_every_finding_with_its_place() {
    let folder = sample_folder();
    let good = run_cli(folder.path(), &["check", "good.json"]);
    insta::assert_snapshot!(format_report(&good), @r"
    exit 0
    good.json: valid: 2 services, 2 accounts, 1 policies
    ");
    let bad = run_cli(folder.path(), &["check", "bad.json"]);
    insta::assert_snapshot!("check_bad", format_report(&bad));
}

#[test]
fn policy_test_prints_the_decision_for_an_account() {
    let folder = sample_folder();
    let allowed = run_cli(
        folder.path(),
        &[
            "policy",
            "test",
            "good.json",
            "--account",
            "depots",
            "--service",
            "excursion-reports",
        ],
    );
    insta::assert_snapshot!(format_report(&allowed), @r"
    exit 0
    depots to excursion-reports: allowed
    priority   4
    zones      any
    max price  5
    reason
    ");
    let refused = run_cli(
        folder.path(),
        &[
            "policy",
            "test",
            "good.json",
            "--account",
            "depots",
            "--service",
            "alert-gateway",
        ],
    );
    insta::assert_snapshot!(format_report(&refused), @r"
    exit 0
    depots to alert-gateway: refused
    priority   5
    zones      any
    max price  any
    reason     no rule for depots
    ");
}

#[test]
fn a_missing_key_or_file_is_reported_with_a_hint() {
    let folder = sample_folder();
    let args = [
        "request",
        "call",
        "--entry",
        "127.0.0.1:9",
        "--service",
        "x",
        "{}",
    ];
    let no_key = run_cli(folder.path(), &args);
    insta::assert_snapshot!(format_report(&no_key), @r"
    exit 2
    Error: no key: pass --key-file or set CLOVERBEND_KEY
    Hint: see --help
    ");
    let no_file = run_cli(folder.path(), &["check", "absent.json"]);
    insta::assert_snapshot!(format_report(&no_file), @r"
    exit 2
    Error: absent.json: No such file or directory (os error 2)
    Hint: pass a file that exists and can be read
    ");
}

#[test]
fn a_new_key_is_printed_with_its_hash() {
    let folder = sample_folder();
    let new_key = format_report(&run_cli(folder.path(), &["key", "new"]));
    let value_of = |name: &str| {
        let line = new_key
            .lines()
            .find(|line| line.starts_with(&format!("{name} ")));
        line.and_then(|line| line.split_whitespace().nth(1))
            .unwrap()
            .to_owned()
    };
    std::fs::write(folder.path().join("key"), value_of("key")).unwrap();
    let hash = format_report(&run_cli(
        folder.path(),
        &["key", "hash", "--key-file", "key"],
    ));
    assert_eq!(hash.trim_end(), format!("exit 0\n{}", value_of("key_hash")));
}

#[test]
fn completions_prints_a_bash_script() {
    let folder = sample_folder();
    let text = format_report(&run_cli(folder.path(), &["completions", "bash"]));
    assert!(text.starts_with("exit 0") && text.contains("_cloverbend"));
}

#[test]
fn losses_prints_a_table_and_reports_invalid_lines() {
    let folder = sample_folder();
    let lines = [
        r#"{"msg":"request sent","ts":"1","request":"a","route":"chat","unread_tokens":26000,"target_ms":500}"#,
        r#"{"msg":"request answered","ts":"2","request":"a","events":9,"first_event_ms":683}"#,
        r#"{"msg":"request refused","ts":"1","request":"d","reason":"over_limit"}"#,
        "{cut",
    ];
    std::fs::write(folder.path().join("entry.log"), lines.join("\n")).unwrap();
    let table = run_cli(folder.path(), &["losses", "entry.log"]);
    let missing = run_cli(folder.path(), &["losses", "no-such.log"]);
    insta::assert_snapshot!(format!(
        "{}--\n{}",
        format_report(&table),
        format_report(&missing)
    ));
}

#[test]
fn explain_prints_the_log_lines_of_a_request() {
    let folder = sample_folder();
    let log = r#"{"msg":"request sent","ts":"2","entry":"entry-1","request":"abc","backend":"b-1"}
broken
{"msg":"limit reached","ts":"1","entry":"entry-1","request":"abc","units":12}
"#;
    std::fs::write(folder.path().join("entry.log"), log).unwrap();
    let lines = run_cli(folder.path(), &["explain", "abc", "entry.log"]);
    let missing = run_cli(folder.path(), &["explain", "xyz", "entry.log"]);
    let json = run_cli(folder.path(), &["explain", "abc", "entry.log", "--json"]);
    let reports = [lines, missing, json].map(|output| format_report(&output));
    insta::assert_snapshot!(reports.join("--\n"));
}
