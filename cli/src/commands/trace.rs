//! `cloverbend trace`: collects the spans of a trace from the entries.

use std::time::Duration;

use clap::Args;
use cloverbend::http_client::HttpClient;
use cloverbend::trace::SpanRecord;

use super::EntryArgs;
use crate::cli_error::CliError;
use crate::output::print_json;
use crate::output::print_table;

/// How long an entry may take to respond.
const QUERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Arguments of `trace`.
#[derive(Debug, Args)]
pub struct TraceArgs {
    #[command(flatten)]
    entry: EntryArgs,
    /// The trace identifier, 32 hexadecimal digits
    trace: String,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

/// Runs `trace`. Queries every entry given, since each stores only its own
/// spans.
pub async fn run(args: TraceArgs) -> Result<(), CliError> {
    let http = HttpClient::new();
    let mut spans: Vec<SpanRecord> = Vec::new();
    let mut any_responded = false;
    let mut last_error = None;
    for entry in &args.entry.entries {
        let url = format!("http://{entry}/v1/traces/{}", args.trace);
        match http.get_json::<Vec<SpanRecord>>(&url, QUERY_TIMEOUT).await {
            Ok(found) => {
                any_responded = true;
                spans.extend(found);
            }
            Err(error) => last_error = Some(error),
        }
    }
    if let (false, Some(error)) = (any_responded, last_error) {
        return Err(error.into());
    }
    spans.sort_by_key(|span| span.start_us);
    if args.json {
        print_json(&spans);
        return Ok(());
    }
    let trace_start = spans.first().map_or(0, |span| span.start_us);
    let rows: Vec<Vec<String>> = spans.iter().map(|span| row(span, trace_start)).collect();
    print_table(&["START ms", "TIME ms", "ENTRY", "HOP", "DETAILS"], &rows);
    Ok(())
}

fn row(span: &SpanRecord, trace_start: u64) -> Vec<String> {
    vec![
        format_millis(span.start_us - trace_start),
        format_millis(span.duration_us),
        span.entry.clone(),
        span.name.clone(),
        span.attributes.join(" "),
    ]
}

fn format_millis(micros: u64) -> String {
    format!("{:.1}", micros as f64 / 1_000.0)
}
