//! `cloverbend explain`: prints the log lines of one request in order of time.

use std::path::PathBuf;

use clap::Args;
use cloverbend::log_reader::read_request_lines;

use super::read_logs;
use crate::cli_error::CliError;
use crate::output::print_json;
use crate::output::print_text;

/// Arguments of `explain`.
#[derive(Debug, Args)]
pub struct ExplainArgs {
    /// The identifier of the request
    request: String,
    /// Log files of entries; reads standard input if none is given
    files: Vec<PathBuf>,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

/// Runs `explain`.
pub fn run(args: ExplainArgs) -> Result<(), CliError> {
    let text = read_logs(&args.files)?;
    let found = read_request_lines(&text, &args.request);
    for bad in &found.bad {
        eprintln!("skipped: {bad}");
    }
    if found.lines.is_empty() {
        return Err(CliError::RequestNotFound(args.request));
    }
    if args.json {
        print_json(&found.lines);
        return Ok(());
    }
    for line in &found.lines {
        print_text(&format!("{line}\n"));
    }
    Ok(())
}
