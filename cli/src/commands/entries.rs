//! `cloverbend entries`: lists the entries that callers can use.

use clap::Args;
use cloverbend::http_client::HttpClient;
use cloverbend::query_api::EntriesAnswer;
use cloverbend::query_api::EntryAddress;

use super::EntryArgs;
use crate::cli_error::CliError;
use crate::output::print_json;
use crate::output::print_table;
use crate::output::print_text;

/// How long an entry may take to respond.
const QUERY_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(3);

/// Arguments of `entries`.
#[derive(Debug, Args)]
pub struct EntriesArgs {
    #[command(flatten)]
    entry: EntryArgs,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

/// Runs `entries`.
pub async fn run(args: EntriesArgs) -> Result<(), CliError> {
    let answer = query_entries(&args).await?;
    if args.json {
        print_json(&answer);
        return Ok(());
    }
    let rows: Vec<Vec<String>> = answer.entries.iter().map(row).collect();
    print_table(&["NAME", "ADDRESS", "ZONE", "WEIGHT"], &rows);
    print_text(&format!("valid for {} s\n", answer.ttl_seconds));
    Ok(())
}

/// Returns the list of the first entry that responds.
async fn query_entries(args: &EntriesArgs) -> Result<EntriesAnswer, CliError> {
    let http = HttpClient::new();
    let mut last_error = None;
    for entry in &args.entry.entries {
        let url = format!("http://{entry}/v1/entries");
        match http.get_json(&url, QUERY_TIMEOUT).await {
            Ok(answer) => return Ok(answer),
            Err(error) => last_error = Some(error),
        }
    }
    Err(match last_error {
        Some(error) => CliError::Query(error),
        None => CliError::Usage("no entry address given".to_owned()),
    })
}

fn row(entry: &EntryAddress) -> Vec<String> {
    vec![
        entry.name.to_string(),
        entry.address.to_string(),
        entry.zone.to_string(),
        entry.weight.to_string(),
    ]
}
