//! `cloverbend completions`: prints a completion script for a shell.

use clap::Args;
use clap::CommandFactory;
use clap_complete::Shell;

use crate::CliArgs;
use crate::cli_error::CliError;
use crate::output::print_text;

/// Arguments of `completions`.
#[derive(Debug, Args)]
pub struct CompletionsArgs {
    /// The shell to print completions for
    shell: Shell,
}

/// Runs `completions`.
pub fn run(args: CompletionsArgs) -> Result<(), CliError> {
    let mut command = CliArgs::command();
    let mut text = Vec::new();
    clap_complete::generate(args.shell, &mut command, "cloverbend", &mut text);
    print_text(&String::from_utf8_lossy(&text));
    Ok(())
}
