//! `cloverbend status`: shows the state of an entry, its peers and the backend
//! servers.

use std::time::Duration;

use clap::Args;
use cloverbend::http_client::HttpClient;
use cloverbend::query_api::BackendStatus;
use cloverbend::query_api::EntryStatus;
use cloverbend::query_api::StatusAnswer;

use super::EntryArgs;
use crate::cli_error::CliError;
use crate::output::print_json;
use crate::output::print_table;
use crate::output::print_text;

/// How long an entry may take to respond.
const QUERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Arguments of `status`.
#[derive(Debug, Args)]
pub struct StatusArgs {
    #[command(flatten)]
    entry: EntryArgs,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

/// Runs `status` against the first entry that responds.
pub async fn run(args: StatusArgs) -> Result<(), CliError> {
    let http = HttpClient::new();
    let mut last_error = None;
    for entry in &args.entry.entries {
        let url = format!("http://{entry}/v1/status");
        match http.get_json::<StatusAnswer>(&url, QUERY_TIMEOUT).await {
            Ok(answer) if args.json => {
                print_json(&answer);
                return Ok(());
            }
            Ok(answer) => {
                print_status(&answer);
                return Ok(());
            }
            Err(error) => last_error = Some(error),
        }
    }
    Err(match last_error {
        Some(error) => CliError::Query(error),
        None => CliError::Usage("no entry address given".to_owned()),
    })
}

fn print_status(answer: &StatusAnswer) {
    let mut entries = vec![entry_row(&answer.entry)];
    entries.extend(answer.others.iter().map(entry_row));
    let header = ["ENTRY", "ADDRESS", "ZONE", "HEALTH", "STATE", "REVISION"];
    print_table(&header, &entries);
    print_text("\n");
    let backends: Vec<Vec<String>> = answer.backends.iter().map(backend_row).collect();
    let header = [
        "VM", "SERVICE", "ZONE", "PRICE", "STATE", "RUNNING", "WAITING",
    ];
    print_table(&header, &backends);
    let publication = answer.publication.as_deref().unwrap_or("none");
    print_text(&format!(
        "\npublication {publication}; {} open requests, {} stored including ended ones, {} copies for other entries\n",
        answer.open_requests, answer.kept_requests, answer.copies
    ));
}

fn entry_row(entry: &EntryStatus) -> Vec<String> {
    vec![
        entry.name.to_string(),
        entry.address.to_string(),
        entry.zone.to_string(),
        entry.health.clone(),
        entry.state.clone(),
        entry.revision.to_string(),
    ]
}

fn backend_row(backend: &BackendStatus) -> Vec<String> {
    let state = if backend.leaving { "leaving" } else { "live" };
    vec![
        backend.vm.to_string(),
        backend.service.to_string(),
        backend.zone.to_string(),
        backend.price.to_string(),
        state.to_owned(),
        backend.running.to_string(),
        backend.waiting.to_string(),
    ]
}
