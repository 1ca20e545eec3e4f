//! Runs an entry with the platform interface: the formats and APIs of the platform
//! that the services run on.

use std::path::Path;
use std::sync::Arc;

use cloverbend::boot_clock::SystemClock;
use cloverbend::gateway::gateway_context::PlatformAdapters;
use cloverbend::gateway::gateway_daemon::GatewayDaemon;
use cloverbend::gateway::gateway_settings::GatewaySettings;
use cloverbend::http_client::HttpClient;
use cloverbend::logging::build_logger;
use cloverbend_platform::CloudCalls;
use cloverbend_platform::StoreCalls;
use cloverbend_platform::WireFormat;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Runs the entry until SIGTERM or SIGINT stops it.
///
/// # Errors
///
/// Fails if an address cannot be listened on or a signal handler cannot be
/// installed.
pub async fn run(settings: GatewaySettings, file: &Path) -> Result<(), String> {
    let log = build_logger(settings.log_format, settings.log_level);
    let http = HttpClient::new();
    let adapters = PlatformAdapters {
        format: Arc::new(WireFormat),
        store: Arc::new(StoreCalls::new(http, settings.store_address)),
        cloud: Arc::new(CloudCalls::new(settings.cloud_address)),
        clock: Arc::new(SystemClock),
    };
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|error| error.to_string())?;
    let mut hangup = signal(SignalKind::hangup()).map_err(|error| error.to_string())?;
    let daemon = GatewayDaemon::start(settings.clone(), adapters, log.clone())
        .await
        .map_err(|error| error.to_string())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&settings, file, &log),
        }
    }
    daemon.stop().await;
    Ok(())
}

/// Reads and checks the settings file again. Applies nothing: changes take effect
/// only with a restart. The log line states whether one is needed, so that nobody
/// assumes that the new settings are in force.
fn reload(settings: &GatewaySettings, file: &Path, log: &Logger) {
    let name = file.display().to_string();
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => {
            warn!(log, "settings not reloaded"; "file" => name, "error" => %error);
            return;
        }
    };
    match GatewaySettings::parse(&name, &text) {
        Ok(new_settings) => {
            info!(log, "settings reloaded";
                "file" => name, "needs_restart" => new_settings != *settings);
        }
        Err(findings) => {
            warn!(log, "settings not reloaded"; "file" => name, "error" => %findings);
        }
    }
}
