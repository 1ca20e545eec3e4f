//! Tests of the subcommands that contact entries, against a deployment that runs
//! in the test's process.

use std::process::Command;

use cloverbend_testutils::cluster::PlatformShape;
use cloverbend_testutils::demo::LocalDeployment;
use cloverbend_testutils::sample::DEPOT_KEY;
use cloverbend_testutils::sample::DISPATCH_KEY;
use cloverbend_testutils::sample::cold_chain;

/// Runs the command with the environment set for the deployment; returns its exit
/// code and its output.
async fn run_cli(deployment: &LocalDeployment, key: &str, args: &[&str]) -> (i32, String) {
    let entries: Vec<String> = deployment
        .addresses
        .iter()
        .map(|entry| entry.http.to_string())
        .collect();
    let log = format!("http://{}", deployment.platform.addresses().log);
    let mut command = Command::new(env!("CARGO_BIN_EXE_cloverbend"));
    command
        .args(args)
        .env("CLOVERBEND_ENTRIES", entries.join(","))
        .env("CLOVERBEND_LOG_SERVICE", log)
        .env("CLOVERBEND_KEY", key);
    let output = tokio::task::spawn_blocking(move || command.output().unwrap());
    let output = output.await.unwrap();
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8_lossy(&text).into_owned();
    (output.status.code().unwrap_or(-1), text)
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_of_operators_and_callers_work_against_two_entries() {
    let deployment = LocalDeployment::start(2, PlatformShape::default(), "")
        .await
        .unwrap();
    let (code, text) = run_cli(&deployment, "", &["entries"]).await;
    assert_eq!(code, 0, "{text}");
    assert!(
        text.contains("entry-1") && text.contains("valid for 5 s"),
        "{text}"
    );

    let (code, text) = run_cli(&deployment, "", &["status"]).await;
    assert_eq!(code, 0, "{text}");
    assert!(
        text.contains("engine-4") && text.contains("serving"),
        "{text}"
    );

    let args = [
        "request",
        "chat",
        "--model",
        "excursion-reports",
        "--max-tokens",
        "5",
        "hello",
    ];
    let (code, text) = run_cli(&deployment, DEPOT_KEY, &args).await;
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("5 chunks, continued 0 times"), "{text}");
    let trace = text.trim_end().rsplit(' ').next().unwrap().to_owned();
    let (code, text) = run_cli(&deployment, "", &["trace", &trace]).await;
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("entry") && text.contains("engine"), "{text}");

    let args = [
        "request",
        "call",
        "--service",
        "alert-gateway",
        "--path",
        "/dispatch",
        "{}",
    ];
    let (code, text) = run_cli(&deployment, DISPATCH_KEY, &args).await;
    assert_eq!(code, 0, "{text}");
    assert!(
        text.contains("status 200") && text.contains("\"run\":1"),
        "{text}"
    );

    let (code, text) = run_cli(&deployment, "wrong", &args).await;
    assert_eq!(code, 1, "{text}");

    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("next.json");
    std::fs::write(&file, serde_json::to_string(&cold_chain()).unwrap()).unwrap();
    let file = file.display().to_string();
    let (code, text) = run_cli(&deployment, "", &["publish", &file]).await;
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("accepted as revision 2"), "{text}");
    assert!(text.contains("in force at 2 of 2 entries"), "{text}");
    let args = ["publish", &file, "--replaces", "1"];
    let (code, text) = run_cli(&deployment, "", &args).await;
    assert_eq!(code, 1, "{text}");
    assert!(text.contains("another publication won"), "{text}");
}
