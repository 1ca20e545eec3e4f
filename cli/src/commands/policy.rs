//! `cloverbend policy`: shows what a policy decides for a client account, and why.

use std::path::PathBuf;

use clap::Args;
use clap::Subcommand;
use cloverbend::configuration::ConfigView;
use cloverbend::id::AccountName;
use cloverbend::id::ServiceName;
use cloverbend::id::ZoneName;
use cloverbend::policy::PolicyDecision;
use cloverbend::policy::PolicyQuery;
use cloverbend::quantity::TokenCount;

use super::read_file;
use crate::cli_error::CliError;
use crate::output::print_json;
use crate::output::print_text;

/// Subcommands of `policy`.
#[derive(Debug, Subcommand)]
pub enum PolicyCommand {
    /// Evaluate an account's policy for one request
    Test(TestArgs),
}

/// Arguments of `policy test`.
#[derive(Debug, Args)]
pub struct TestArgs {
    /// The configuration file (JSON)
    file: PathBuf,
    /// The client account that sends the request
    #[arg(long)]
    account: AccountName,
    /// The service that the request is for
    #[arg(long)]
    service: ServiceName,
    /// An availability zone that has backend servers; may be repeated
    #[arg(long = "zone")]
    zones: Vec<ZoneName>,
    /// The length of the input in tokens
    #[arg(long, default_value = "0")]
    input_tokens: TokenCount,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

/// Runs `policy`.
pub fn run(command: PolicyCommand) -> Result<(), CliError> {
    let PolicyCommand::Test(args) = command;
    let text = read_file(&args.file)?;
    let name = args.file.display().to_string();
    let view = ConfigView::parse(&name, &text).map_err(CliError::Findings)?;
    let decision = evaluate_policy(&view, &args)?;
    if args.json {
        print_json(&decision);
    } else {
        print_text(&format_decision(&args, &decision));
    }
    Ok(())
}

fn evaluate_policy(view: &ConfigView, args: &TestArgs) -> Result<PolicyDecision, CliError> {
    let account = view
        .account(&args.account)
        .ok_or_else(|| CliError::Usage(format!("no account is named {}", args.account)))?;
    view.service(&args.service)
        .ok_or_else(|| CliError::Usage(format!("no service is named {}", args.service)))?;
    let program = view
        .program(&account.policy)
        .ok_or_else(|| CliError::Usage(format!("no policy is named {}", account.policy)))?;
    let query = PolicyQuery {
        account: args.account.clone(),
        service: args.service.clone(),
        zones: args.zones.clone(),
        input_tokens: args.input_tokens,
    };
    program
        .evaluate(&query)
        .map_err(|error| CliError::Policy(format!("policy {}: {error}", account.policy)))
}

fn format_decision(args: &TestArgs, decision: &PolicyDecision) -> String {
    let verdict = if decision.allow { "allowed" } else { "refused" };
    let zones = match &decision.zones {
        Some(zones) => {
            let names: Vec<&str> = zones.iter().map(ZoneName::as_str).collect();
            names.join(", ")
        }
        None => "any".to_owned(),
    };
    let price = match decision.max_price {
        Some(price) => price.to_string(),
        None => "any".to_owned(),
    };
    format!(
        "{} to {}: {verdict}\npriority   {}\nzones      {zones}\nmax price  {price}\nreason     {}\n",
        args.account, args.service, decision.priority, decision.reason
    )
}
