//! `cloverbend publish`: publishes a configuration and waits until the entries
//! have put it in force.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use cloverbend::configuration::ConfigView;
use cloverbend::http_client::HttpClient;
use cloverbend::id::RevisionNumber;
use cloverbend::log_client::LogClient;
use cloverbend::publisher::PublishOutcome;
use cloverbend::publisher::await_force;
use cloverbend::publisher::draw_publication;
use cloverbend::publisher::publish;
use cloverbend::revision::PublicationId;
use cloverbend::settings::BaseUrl;

use super::read_file;
use crate::cli_error::CliError;
use crate::output::print_text;

/// Arguments of `publish`.
#[derive(Debug, Args)]
pub struct PublishArgs {
    /// The configuration file (JSON)
    file: PathBuf,
    /// The address of the platform's log service
    #[arg(long, value_name = "http://IP:PORT", env = "CLOVERBEND_LOG_SERVICE")]
    log_service: BaseUrl,
    /// The revision that this configuration replaces; by default the one in force
    #[arg(long, value_name = "NUMBER")]
    replaces: Option<RevisionNumber>,
    /// The name of this publication, random by default; a publication is applied at most once
    #[arg(long, value_name = "NAME")]
    publication: Option<PublicationId>,
    /// The address of an entry that is to put the new revision in force; may be repeated
    #[arg(
        long = "entry",
        value_name = "IP:PORT",
        env = "CLOVERBEND_ENTRIES",
        value_delimiter = ','
    )]
    entries: Vec<SocketAddr>,
    /// How long to wait for the entries to put the revision in force, in seconds
    #[arg(long, default_value_t = 5)]
    wait: u64,
}

/// Runs `publish`.
pub async fn run(args: PublishArgs) -> Result<(), CliError> {
    let text = read_file(&args.file)?;
    let name = args.file.display().to_string();
    let view = ConfigView::parse(&name, &text).map_err(CliError::Findings)?;
    let http = HttpClient::new();
    let log = LogClient::new(http.clone(), args.log_service.clone());
    let publication = args.publication.clone().unwrap_or_else(draw_publication);
    print_text(&format!("publication  {publication}\n"));
    let document = view.document().clone();
    let outcome = publish(&log, publication, document, args.replaces).await?;
    match outcome {
        PublishOutcome::Accepted(number) => {
            print_text(&format!("accepted as revision {number}\n"));
            report_entries_in_force(&http, &args, number).await
        }
        PublishOutcome::Lost { current, winner } => Err(CliError::Conflict(format!(
            "another publication won: revision {current} is {winner}"
        ))),
    }
}

/// Waits until the entries have put the revision in force or the wait time is over.
/// Prints the number of entries that have it in force; fails if some do not.
async fn report_entries_in_force(
    http: &HttpClient,
    args: &PublishArgs,
    number: RevisionNumber,
) -> Result<(), CliError> {
    if args.entries.is_empty() {
        return Ok(());
    }
    let timeout = Duration::from_secs(args.wait);
    let report = await_force(http, &args.entries, number, timeout).await;
    let checked = args.entries.len();
    let reached = report.in_force.len();
    print_text(&format!("in force at {reached} of {checked} entries\n"));
    if report.missing.is_empty() {
        return Ok(());
    }
    let missing: Vec<String> = report.missing.iter().map(SocketAddr::to_string).collect();
    Err(CliError::NotInForce(format!(
        "not in force yet at {}",
        missing.join(", ")
    )))
}
