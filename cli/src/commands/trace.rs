//! `cloverbend trace`: the spans of a trace, as the entries kept them.

use std::time::Duration;

use clap::Args;
use cloverbend::http_client::HttpClient;
use cloverbend::trace::SpanRecord;

use super::EntryArgs;
use crate::cli_error::CliError;
use crate::output::print_json;
use crate::output::print_table;

/// How long an entry may take to answer.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Arguments of `trace`.
#[derive(Debug, Args)]
pub struct TraceArgs {
    #[command(flatten)]
    entry: EntryArgs,
    /// The trace, 32 hexadecimal digits
    trace: String,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

/// Runs `trace`: asks every entry named, since each keeps its own hops.
pub async fn run(args: TraceArgs) -> Result<(), CliError> {
    let http = HttpClient::new();
    let mut spans: Vec<SpanRecord> = Vec::new();
    let mut answered = false;
    let mut last = None;
    for entry in &args.entry.entries {
        let url = format!("http://{entry}/v1/traces/{}", args.trace);
        match http.get_json::<Vec<SpanRecord>>(&url, TIMEOUT).await {
            Ok(found) => {
                answered = true;
                spans.extend(found);
            }
            Err(error) => last = Some(error),
        }
    }
    if let (false, Some(error)) = (answered, last) {
        return Err(error.into());
    }
    spans.sort_by_key(|span| span.start_us);
    if args.json {
        print_json(&spans);
        return Ok(());
    }
    let begin = spans.first().map_or(0, |span| span.start_us);
    let rows: Vec<Vec<String>> = spans.iter().map(|span| row(span, begin)).collect();
    print_table(&["START ms", "TIME ms", "ENTRY", "HOP", "DETAILS"], &rows);
    Ok(())
}

fn row(span: &SpanRecord, begin: u64) -> Vec<String> {
    vec![
        millis(span.start_us - begin),
        millis(span.duration_us),
        span.entry.clone(),
        span.name.clone(),
        span.attributes.join(" "),
    ]
}

fn millis(micros: u64) -> String {
    format!("{:.1}", micros as f64 / 1_000.0)
}
