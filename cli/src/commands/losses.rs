//! `cloverbend losses`: counts lost and late requests by route, size and cause.

use std::path::PathBuf;

use clap::Args;
use cloverbend::loss_report::LossGroup;
use cloverbend::loss_report::read_losses;

use super::read_logs;
use crate::cli_error::CliError;
use crate::output::print_json;
use crate::output::print_table;
use crate::output::print_text;

/// The columns of the table.
const COLUMNS: [&str; 5] = ["requests", "route", "prefill tokens", "cause", "examples"];

/// Arguments of `losses`.
#[derive(Debug, Args)]
pub struct LossesArgs {
    /// Log files of entries; reads standard input if none is given
    files: Vec<PathBuf>,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

/// Runs `losses`.
pub fn run(args: LossesArgs) -> Result<(), CliError> {
    let text = read_logs(&args.files)?;
    let (report, log) = read_losses(&text);
    for bad in &log.bad {
        eprintln!("skipped: {bad}");
    }
    if args.json {
        print_json(&report);
        return Ok(());
    }
    let (lost, ended) = (report.lost, report.ended);
    print_text(&format!("{lost} of {ended} requests were lost or late\n"));
    let rows: Vec<Vec<String>> = report.groups.iter().map(row).collect();
    print_table(&COLUMNS, &rows);
    Ok(())
}

fn row(group: &LossGroup) -> Vec<String> {
    vec![
        group.count.to_string(),
        group.route.clone(),
        group.size.to_owned(),
        group.cause.clone(),
        group.requests.join(" "),
    ]
}
