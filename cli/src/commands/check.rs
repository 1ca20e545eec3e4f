//! `cloverbend check`: checks a configuration without publishing it.

use std::path::PathBuf;

use clap::Args;
use cloverbend::configuration::ConfigView;

use super::read_file;
use crate::cli_error::CliError;
use crate::output::print_text;

/// Arguments of `check`.
#[derive(Debug, Args)]
pub struct CheckArgs {
    /// The configuration file (JSON)
    file: PathBuf,
}

/// Runs `check`.
pub fn run(args: CheckArgs) -> Result<(), CliError> {
    let text = read_file(&args.file)?;
    let name = args.file.display().to_string();
    let view = ConfigView::parse(&name, &text).map_err(CliError::Findings)?;
    print_text(&format!(
        "{name}: valid: {} services, {} accounts, {} policies\n",
        view.services().count(),
        view.accounts().count(),
        view.document().policies.len(),
    ));
    Ok(())
}
