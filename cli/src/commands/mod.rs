//! One module for each subcommand.

mod check;
mod completions;
mod entries;
mod explain;
mod key;
mod losses;
mod policy;
mod publish;
mod request;
mod status;
mod trace;

use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use clap::Args;
use clap::Subcommand;
use cloverbend::caller_client::CallerClient;
use cloverbend::http_client::HttpClient;

use crate::cli_error::CliError;

/// The subcommands: queries first, then commands that change something.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Which entries to use
    Entries(entries::EntriesArgs),
    /// How an entry, the others and the backend servers do
    Status(status::StatusArgs),
    /// The spans of a trace
    Trace(trace::TraceArgs),
    /// Check a configuration without publishing it
    Check(check::CheckArgs),
    /// What log lines say about one request
    Explain(explain::ExplainArgs),
    /// Where requests were lost or late, by route, size and cause
    Losses(losses::LossesArgs),
    /// Try out policies
    #[command(subcommand)]
    Policy(policy::PolicyCommand),
    /// Publish a configuration
    Publish(publish::PublishArgs),
    /// Send a request
    #[command(subcommand)]
    Request(request::RequestCommand),
    /// Make keys of client accounts
    #[command(subcommand)]
    Key(key::KeyCommand),
    /// Print completions for a shell
    Completions(completions::CompletionsArgs),
}

impl Command {
    /// Runs the subcommand.
    pub async fn run(self) -> Result<(), CliError> {
        match self {
            Self::Entries(args) => entries::run(args).await,
            Self::Status(args) => status::run(args).await,
            Self::Trace(args) => trace::run(args).await,
            Self::Check(args) => check::run(args),
            Self::Explain(args) => explain::run(args),
            Self::Losses(args) => losses::run(args),
            Self::Policy(command) => policy::run(command),
            Self::Publish(args) => publish::run(args).await,
            Self::Request(command) => request::run(command).await,
            Self::Key(command) => key::run(command),
            Self::Completions(args) => completions::run(args),
        }
    }
}

/// Which entries to ask.
#[derive(Debug, Args)]
pub struct EntryArgs {
    /// The address of an entry; may be given more than once
    #[arg(
        long = "entry",
        value_name = "IP:PORT",
        env = "CLOVERBEND_ENTRIES",
        value_delimiter = ',',
        required = true
    )]
    pub entries: Vec<SocketAddr>,
}

/// The key of a client account.
#[derive(Debug, Args)]
pub struct KeyArgs {
    /// A file with the account's key
    #[arg(long, value_name = "FILE")]
    key_file: Option<PathBuf>,
    /// The account's key, from the environment only
    #[arg(
        env = "CLOVERBEND_KEY",
        hide = true,
        long = "key",
        hide_env_values = true
    )]
    key: Option<String>,
}

impl KeyArgs {
    /// Returns the key.
    pub fn read(&self) -> Result<String, CliError> {
        if let Some(file) = &self.key_file {
            return Ok(read_file(file)?.trim().to_owned());
        }
        let missing = || CliError::Usage("no key: give --key-file or CLOVERBEND_KEY".to_owned());
        self.key.clone().ok_or_else(missing)
    }
}

/// Builds a caller.
pub fn caller(entries: &EntryArgs, key: &KeyArgs) -> Result<CallerClient, CliError> {
    let key = key.read()?;
    Ok(CallerClient::new(
        HttpClient::new(),
        entries.entries.clone(),
        key,
    ))
}

/// Reads log files whole, or standard input if there are none.
fn read_logs(files: &[PathBuf]) -> Result<String, CliError> {
    let mut text = String::new();
    for file in files {
        text.push_str(&read_file(file)?);
        text.push('\n');
    }
    if files.is_empty() {
        let read = std::io::stdin().read_to_string(&mut text);
        read.map_err(|error| CliError::ReadFile("standard input".to_owned(), error))?;
    }
    Ok(text)
}

/// Reads a file as text.
pub fn read_file(file: &Path) -> Result<String, CliError> {
    let name = file.display().to_string();
    std::fs::read_to_string(file).map_err(|error| CliError::ReadFile(name, error))
}
