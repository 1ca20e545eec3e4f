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

/// The subcommands of `cloverbend`.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// List the entries that callers can use
    Entries(entries::EntriesArgs),
    /// Show the state of an entry, its peers and the backend servers
    Status(status::StatusArgs),
    /// Show the spans of a trace
    Trace(trace::TraceArgs),
    /// Check a configuration without publishing it
    Check(check::CheckArgs),
    /// Print the log lines of one request in order of time
    Explain(explain::ExplainArgs),
    /// Count lost and late requests by route, size and cause
    Losses(losses::LossesArgs),
    /// Test policies
    #[command(subcommand)]
    Policy(policy::PolicyCommand),
    /// Publish a configuration
    Publish(publish::PublishArgs),
    /// Send a request
    #[command(subcommand)]
    Request(request::RequestCommand),
    /// Generate and hash keys of client accounts
    #[command(subcommand)]
    Key(key::KeyCommand),
    /// Print a completion script for a shell
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

/// The entries to contact.
#[derive(Debug, Args)]
pub struct EntryArgs {
    /// The address of an entry; may be repeated
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
    /// A file that contains the account's key
    #[arg(long, value_name = "FILE")]
    key_file: Option<PathBuf>,
    /// The account's key. Hidden from the help, since other processes can read
    /// arguments; the environment variable is the way to pass it.
    #[arg(
        env = "CLOVERBEND_KEY",
        hide = true,
        long = "key",
        hide_env_values = true
    )]
    key: Option<String>,
}

impl KeyArgs {
    /// Returns the key from the file, or else from `--key` or the environment.
    pub fn read(&self) -> Result<String, CliError> {
        if let Some(file) = &self.key_file {
            return Ok(read_file(file)?.trim().to_owned());
        }
        let missing =
            || CliError::Usage("no key: pass --key-file or set CLOVERBEND_KEY".to_owned());
        self.key.clone().ok_or_else(missing)
    }
}

/// Builds a client that sends requests with the account's key.
pub fn build_caller(entries: &EntryArgs, key: &KeyArgs) -> Result<CallerClient, CliError> {
    let key = key.read()?;
    Ok(CallerClient::new(
        HttpClient::new(),
        entries.entries.clone(),
        key,
    ))
}

/// Reads and joins log files, or reads standard input if there are none.
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
