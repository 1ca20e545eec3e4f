//! The record of a case.

use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;

/// The file to which a case writes what was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<Mutex<std::fs::File>>);

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self(Arc::new(Mutex::new(std::fs::File::create(path)?))))
    }

    /// Writes a line with the time since the case began.
    pub fn line(&self, began: Instant, at: Instant, text: &str) {
        let time = at.saturating_duration_since(began).as_secs_f64();
        self.text(&format!("{time:8.3} s  {text}"));
    }

    /// Writes a line.
    pub fn text(&self, text: &str) {
        let _ = writeln!(self.0.lock(), "{text}");
    }
}
