//! `cloverbend request`: sends a chat or a call to a service.

use std::time::Duration;

use clap::Args;
use clap::Subcommand;
use cloverbend::caller_client::ServiceCall;
use cloverbend::chat_api::ChatBody;
use cloverbend::chat_api::ChatMessage;
use cloverbend::id::ServiceName;

use super::EntryArgs;
use super::KeyArgs;
use super::build_caller;
use crate::cli_error::CliError;
use crate::output::print_text;

/// Subcommands of `request`.
#[derive(Debug, Subcommand)]
pub enum RequestCommand {
    /// Send a chat message to a model service and stream the response
    Chat(ChatArgs),
    /// Call a plain service; the call runs at most once
    Call(CallArgs),
}

/// Arguments of `request chat`.
#[derive(Debug, Args)]
pub struct ChatArgs {
    #[command(flatten)]
    entry: EntryArgs,
    #[command(flatten)]
    key: KeyArgs,
    /// The model service
    #[arg(long)]
    model: ServiceName,
    /// The maximum number of tokens to generate
    #[arg(long)]
    max_tokens: Option<u64>,
    /// How long the request may take, in milliseconds
    #[arg(long)]
    deadline: Option<u64>,
    /// The text of the message
    text: String,
}

/// Arguments of `request call`.
#[derive(Debug, Args)]
pub struct CallArgs {
    #[command(flatten)]
    entry: EntryArgs,
    #[command(flatten)]
    key: KeyArgs,
    /// The plain service
    #[arg(long)]
    service: ServiceName,
    /// The path on the service
    #[arg(long, default_value = "/")]
    path: String,
    /// How long the request may take, in milliseconds
    #[arg(long)]
    deadline: Option<u64>,
    /// The request body (JSON)
    body: String,
}

/// Runs `request`.
pub async fn run(command: RequestCommand) -> Result<(), CliError> {
    match command {
        RequestCommand::Chat(args) => send_chat(args).await,
        RequestCommand::Call(args) => send_call(args).await,
    }
}

async fn send_chat(args: ChatArgs) -> Result<(), CliError> {
    let mut caller = build_caller(&args.entry, &args.key)?;
    let body = ChatBody {
        model: args.model,
        messages: vec![ChatMessage {
            role: "user".to_owned(),
            content: args.text,
        }],
        max_tokens: args.max_tokens,
        stream: true,
    };
    let body = serde_json::to_string(&body).map_err(|e| CliError::Usage(e.to_string()))?;
    let deadline = args.deadline.map(Duration::from_millis);
    let outcome = caller.chat(body, deadline, print_text).await?;
    print_text("\n");
    let trace = outcome.trace.unwrap_or_default();
    eprintln!(
        "{} chunks, continued {} times, trace {trace}",
        outcome.chunks, outcome.resumed
    );
    Ok(())
}

async fn send_call(args: CallArgs) -> Result<(), CliError> {
    let mut caller = build_caller(&args.entry, &args.key)?;
    let call = ServiceCall {
        service: args.service,
        path: args.path,
        body: args.body,
        deadline: args.deadline.map(Duration::from_millis),
    };
    let outcome = caller.call(&call).await?;
    print_text(&format!("{}\n", String::from_utf8_lossy(&outcome.body)));
    let trace = outcome.trace.unwrap_or_default();
    eprintln!(
        "status {}, ticket {}, sent {} times, trace {trace}",
        outcome.status, outcome.ticket, outcome.tries
    );
    Ok(())
}
