//! `cloverbend-demo`: the main job on embedded stand-ins.

use std::process::ExitCode;

use cloverbend_testutils::demo::run_demo;

#[tokio::main]
async fn main() -> ExitCode {
    match run_demo().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the demonstration failed: {error}");
            ExitCode::FAILURE
        }
    }
}
