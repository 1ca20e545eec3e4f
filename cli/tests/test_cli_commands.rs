//! Subcommands that need no entry: checks, policies, keys, completions, usage.

use std::path::Path;
use std::process::Command;
use std::process::Output;

use cloverbend_testutils::sample::cold_chain;

fn cloverbend(folder: &Path, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cloverbend"))
        .args(args)
        .current_dir(folder)
        .env_remove("CLOVERBEND_ENTRIES")
        .env_remove("CLOVERBEND_KEY")
        .env_remove("CLOVERBEND_LOG_SERVICE")
        .output()
        .unwrap()
}

fn report(output: &Output) -> String {
    let code = output.status.code().unwrap_or(-1);
    let out = String::from_utf8_lossy(&output.stdout);
    let err = String::from_utf8_lossy(&output.stderr);
    format!("exit {code}\n{out}{err}")
}

fn folder() -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    let good = serde_json_text(&cold_chain());
    std::fs::write(folder.path().join("good.json"), good).unwrap();
    let mut bad = cold_chain();
    bad.accounts[1] = bad.accounts[0].clone();
    bad.accounts[0].policy = "nobody".parse().unwrap();
    bad.policies[0].program = "#{ allow: ".to_owned();
    bad.services[0].min_replicas = 90;
    let bad = serde_json_text(&bad);
    std::fs::write(folder.path().join("bad.json"), bad).unwrap();
    folder
}

fn serde_json_text(document: &cloverbend::configuration::ConfigDocument) -> String {
    serde_json::to_string_pretty(document).unwrap()
}

#[test]
fn check_reports_every_finding_with_its_place() {
    let folder = folder();
    let good = cloverbend(folder.path(), &["check", "good.json"]);
    insta::assert_snapshot!(report(&good), @r"
    exit 0
    good.json: valid: 2 services, 2 accounts, 1 policies
    ");
    let bad = cloverbend(folder.path(), &["check", "bad.json"]);
    insta::assert_snapshot!("check_bad", report(&bad));
}

#[test]
fn policy_test_tells_what_an_account_would_get() {
    let folder = folder();
    let allowed = cloverbend(
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
    insta::assert_snapshot!(report(&allowed), @r"
    exit 0
    depots to excursion-reports: allowed
    priority   4
    zones      any
    max price  5
    reason
    ");
    let refused = cloverbend(
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
    insta::assert_snapshot!(report(&refused), @r"
    exit 0
    depots to alert-gateway: refused
    priority   5
    zones      any
    max price  any
    reason     no rule for depots
    ");
}

#[test]
fn missing_input_is_named_with_a_hint() {
    let folder = folder();
    let args = [
        "request",
        "call",
        "--entry",
        "127.0.0.1:9",
        "--service",
        "x",
        "{}",
    ];
    let no_key = cloverbend(folder.path(), &args);
    insta::assert_snapshot!(report(&no_key), @r"
    exit 2
    Error: no key: give --key-file or CLOVERBEND_KEY
    Hint: see --help
    ");
    let no_file = cloverbend(folder.path(), &["check", "absent.json"]);
    insta::assert_snapshot!(report(&no_file), @r"
    exit 2
    Error: absent.json: No such file or directory (os error 2)
    Hint: name a file that exists and can be read
    ");
}

#[test]
fn a_new_key_and_its_hash_belong_together() {
    let folder = folder();
    let made = report(&cloverbend(folder.path(), &["key", "new"]));
    let value = |name: &str| {
        let line = made
            .lines()
            .find(|line| line.starts_with(&format!("{name} ")));
        line.and_then(|line| line.split_whitespace().nth(1))
            .unwrap()
            .to_owned()
    };
    std::fs::write(folder.path().join("key"), value("key")).unwrap();
    let hash = report(&cloverbend(
        folder.path(),
        &["key", "hash", "--key-file", "key"],
    ));
    assert_eq!(hash.trim_end(), format!("exit 0\n{}", value("key_hash")));
}

#[test]
fn completions_are_printed() {
    let folder = folder();
    let text = report(&cloverbend(folder.path(), &["completions", "bash"]));
    assert!(text.starts_with("exit 0") && text.contains("_cloverbend"));
}

#[test]
fn losses_are_shown_as_a_table_and_bad_lines_named() {
    let folder = folder();
    let lines = [
        r#"{"msg":"request sent","ts":"1","request":"a","route":"chat","unread_tokens":26000,"target_ms":500}"#,
        r#"{"msg":"request answered","ts":"2","request":"a","events":9,"first_event_ms":683}"#,
        r#"{"msg":"request refused","ts":"1","request":"d","reason":"over_limit"}"#,
        "{cut",
    ];
    std::fs::write(folder.path().join("entry.log"), lines.join("\n")).unwrap();
    let shown = cloverbend(folder.path(), &["losses", "entry.log"]);
    let missing = cloverbend(folder.path(), &["losses", "no-such.log"]);
    insta::assert_snapshot!(format!("{}--\n{}", report(&shown), report(&missing)));
}

#[test]
fn explain_shows_what_logs_say_of_a_request() {
    let folder = folder();
    let log = r#"{"msg":"request sent","ts":"2","entry":"entry-1","request":"abc","backend":"b-1"}
broken
{"msg":"limit reached","ts":"1","entry":"entry-1","request":"abc","units":12}
"#;
    std::fs::write(folder.path().join("entry.log"), log).unwrap();
    let found = cloverbend(folder.path(), &["explain", "abc", "entry.log"]);
    let missing = cloverbend(folder.path(), &["explain", "xyz", "entry.log"]);
    let json = cloverbend(folder.path(), &["explain", "abc", "entry.log", "--json"]);
    let reports = [found, missing, json].map(|output| report(&output));
    insta::assert_snapshot!(reports.join("--\n"));
}
