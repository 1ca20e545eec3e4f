//! Runs an entry with the product's own interface.

use cloverbend::entry::EntryDaemon;
use cloverbend::logging::build_logger;
use cloverbend::settings::EntrySettings;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Runs the entry until SIGTERM, SIGINT or a reclaim notice stops it.
///
/// # Errors
///
/// Fails if the entry cannot start or a signal handler cannot be installed.
pub async fn run(settings: EntrySettings) -> Result<(), String> {
    let log = build_logger(settings.log_format, settings.log_level);
    let daemon = EntryDaemon::start(settings, log)
        .await
        .map_err(|error| error.to_string())?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|error| error.to_string())?;
    // A reclaim notice cancels this token; no signal is sent.
    let stop = daemon.context().stop.clone();
    tokio::select! {
        _ = terminate.recv() => daemon.stop(),
        _ = interrupt.recv() => daemon.stop(),
        () = stop.cancelled() => {}
    }
    daemon.stopped().await;
    Ok(())
}
