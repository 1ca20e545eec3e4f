//! `cloverbend`, the command-line tool for operators and callers.

mod cli_error;
mod commands;
mod output;

use std::process::ExitCode;

use clap::Parser;

use crate::commands::Command;

/// Publishes configurations, queries entries and sends requests.
#[derive(Debug, Parser)]
#[command(name = "cloverbend", version, max_term_width = 100)]
struct CliArgs {
    #[command(subcommand)]
    command: Command,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args = CliArgs::parse();
    match args.command.run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}
