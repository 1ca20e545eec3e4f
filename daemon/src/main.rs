//! `cloverbendd`, the daemon of every entry VM.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use cloverbend::entry::EntryDaemon;
use cloverbend::logging::build_logger;
use cloverbend::settings::EntrySettings;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// The exit code for settings that are not valid.
const BAD_SETTINGS: u8 = 2;
/// The exit code for a daemon that could not start.
const START_FAILED: u8 = 1;

/// Serves callers and keeps their requests safe. SIGTERM is a planned stop.
#[derive(Debug, Parser)]
#[command(name = "cloverbendd", version)]
struct DaemonArgs {
    /// The settings file (INI).
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let args = DaemonArgs::parse();
    let settings = match read_settings(&args) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if args.check {
        println!("{}: settings are valid", args.settings.display());
        return ExitCode::SUCCESS;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.limits.workers.get())
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run(settings)),
        Err(error) => Err(error.to_string()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::from(START_FAILED)
        }
    }
}

fn read_settings(args: &DaemonArgs) -> Result<EntrySettings, String> {
    let file = args.settings.display().to_string();
    let text = std::fs::read_to_string(&args.settings)
        .map_err(|error| format!("{file}: cannot be read: {error}"))?;
    EntrySettings::parse(&file, &text).map_err(|findings| findings.to_string())
}

async fn run(settings: EntrySettings) -> Result<(), String> {
    let log = build_logger(settings.log_format, settings.log_level);
    let daemon = EntryDaemon::start(settings, log)
        .await
        .map_err(|error| error.to_string())?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|error| error.to_string())?;
    // A reclaim notice stops the daemon without a signal.
    let stop = daemon.context().stop.clone();
    tokio::select! {
        _ = terminate.recv() => daemon.stop(),
        _ = interrupt.recv() => daemon.stop(),
        () = stop.cancelled() => {}
    }
    daemon.stopped().await;
    Ok(())
}
