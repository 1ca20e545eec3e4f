//! `cloverbendd`, the daemon that runs on every entry VM.

mod gateway_entry;
mod own_entry;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use clap::ValueEnum;
use cloverbend::finding::FindingList;
use cloverbend::gateway::gateway_settings::GatewaySettings;
use cloverbend::settings::EntrySettings;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

/// The exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// The exit code for a daemon that cannot start.
const EXIT_FAILURE: u8 = 1;

/// Which interface the daemon offers to callers and uses with the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum InterfaceKind {
    /// The product's own interface: tickets, chats and calls.
    Own,
    /// The interface of the platform that the services run on.
    Platform,
}

/// Serves callers and forwards their requests to backend servers. SIGTERM starts
/// a planned stop, which lets open requests end. With the product's own interface,
/// requests that are still open after the drain time are handed over to other entries.
#[derive(Debug, Parser)]
#[command(name = "cloverbendd", version)]
struct DaemonArgs {
    /// The settings file (INI).
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Which interface to serve.
    #[arg(long, value_enum, default_value = "own")]
    interface: InterfaceKind,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
}

/// Parsed settings, for either interface.
enum DaemonSettings {
    Own(Box<EntrySettings>),
    Platform(Box<GatewaySettings>),
}

fn main() -> ExitCode {
    let args = DaemonArgs::parse();
    let settings = match read_settings(&args) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if args.check {
        println!("{}: settings are valid", args.settings.display());
        return ExitCode::SUCCESS;
    }
    let result = match build_runtime(&settings) {
        Ok(runtime) => runtime.block_on(async {
            match settings {
                DaemonSettings::Own(settings) => own_entry::run(*settings).await,
                DaemonSettings::Platform(settings) => {
                    gateway_entry::run(*settings, &args.settings).await
                }
            }
        }),
        Err(error) => Err(error.to_string()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Builds the async runtime. With the platform interface an entry has a quarter of
/// a core: one thread is the most efficient there and needs the least memory.
fn build_runtime(settings: &DaemonSettings) -> std::io::Result<Runtime> {
    match settings {
        DaemonSettings::Own(settings) => Builder::new_multi_thread()
            .worker_threads(settings.limits.workers.get())
            .enable_all()
            .build(),
        DaemonSettings::Platform(_) => Builder::new_current_thread().enable_all().build(),
    }
}

fn read_settings(args: &DaemonArgs) -> Result<DaemonSettings, String> {
    let file = args.settings.display().to_string();
    let text = std::fs::read_to_string(&args.settings)
        .map_err(|error| format!("{file}: cannot be read: {error}"))?;
    let to_message = |findings: FindingList| findings.to_string();
    match args.interface {
        InterfaceKind::Own => EntrySettings::parse(&file, &text)
            .map(|settings| DaemonSettings::Own(Box::new(settings)))
            .map_err(to_message),
        InterfaceKind::Platform => GatewaySettings::parse(&file, &text)
            .map(|settings| DaemonSettings::Platform(Box::new(settings)))
            .map_err(to_message),
    }
}
