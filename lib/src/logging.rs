//! Structured logs on standard output.

use std::io;
use std::sync::Mutex;

use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::o;

use crate::settings::LogFormat;
use crate::settings::LogLevel;

/// The most records that wait to be written; further ones are counted and
/// dropped, so that a slow terminal never delays a request.
const QUEUE_LENGTH: usize = 4_096;

/// Builds a logger of a form and level.
pub fn build_logger(format: LogFormat, level: LogLevel) -> Logger {
    let level = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainSyncDecorator::new(io::stdout());
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            finish(drain, level)
        }
        LogFormat::Json => {
            let drain = Mutex::new(slog_json::Json::default(io::stdout())).fuse();
            finish(drain, level)
        }
    }
}

fn finish<D>(drain: D, level: Level) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let drain = slog::LevelFilter::new(drain, level).fuse();
    let drain = slog_async::Async::new(drain)
        .chan_size(QUEUE_LENGTH)
        .build()
        .fuse();
    Logger::root(drain, o!())
}

/// Builds a logger that drops everything.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}
