//! `cloverbend explain`: what log lines say about one request.

use std::io::Read;
use std::path::PathBuf;

use clap::Args;
use cloverbend::log_reader::read_request_lines;

use super::read_file;
use crate::cli_error::CliError;
use crate::output::print_json;
use crate::output::print_text;

/// Arguments of `explain`.
#[derive(Debug, Args)]
pub struct ExplainArgs {
    /// The identifier of the request
    request: String,
    /// Log files of entries; standard input without any
    files: Vec<PathBuf>,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

/// Runs `explain`.
pub fn run(args: ExplainArgs) -> Result<(), CliError> {
    let mut text = String::new();
    for file in &args.files {
        text.push_str(&read_file(file)?);
        text.push('\n');
    }
    if args.files.is_empty() {
        let read = std::io::stdin().read_to_string(&mut text);
        read.map_err(|error| CliError::ReadFile("standard input".to_owned(), error))?;
    }
    let found = read_request_lines(&text, &args.request);
    for bad in &found.bad {
        eprintln!("passed over: {bad}");
    }
    if found.lines.is_empty() {
        return Err(CliError::NothingFound(args.request));
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
