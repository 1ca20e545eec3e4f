//! Reports how much memory an entry uses, and the sizes of the state that may use it.

use std::io;
use std::time::Duration;

use metrics::gauge;
use slog::info;
use slog::warn;

use crate::gateway::gateway_context::GatewayContext;
use crate::id::RevisionNumber;
use crate::quantity::Timestamp;
use crate::resident_memory::ResidentBytes;
use crate::resident_memory::read_resident;

/// The shortest time between two log lines. With a line for each growth by a quarter, an
/// entry that grows from 6 MB to a limit of 512 MB writes at most 20 lines.
const MIN_LINE_INTERVAL: Duration = Duration::from_secs(10);
/// A line is logged when memory has grown by one part in this many: small enough to see
/// when growth begins, but above the noise of the allocator.
const GROWTH_DIVISOR: u64 = 4;

/// Detects when memory has grown so much that the sizes should be logged.
#[derive(Clone, Debug, Default)]
pub struct GrowthDetector {
    logged: Option<(Timestamp, ResidentBytes)>,
}

impl GrowthDetector {
    /// Returns whether to log the sizes now. If so, further growth is counted from the
    /// current size. The first call always returns true.
    pub fn detect(&mut self, now: Timestamp, resident: ResidentBytes) -> bool {
        let due = self.logged.is_none_or(|(logged_at, logged)| {
            let grown = resident.0 >= logged.0.saturating_add(logged.0 / GROWTH_DIVISOR);
            grown && now.since(logged_at) >= MIN_LINE_INTERVAL
        });
        if due {
            self.logged = Some((now, resident));
        }
        due
    }
}

/// The sizes of the parts of an entry's state that may use much memory.
#[derive(Clone, Copy, Debug)]
struct StateSizes {
    /// Bytes that are queued for other entries.
    queued_bytes: usize,
    link_count: usize,
    /// Bytes of cached documents, which other entries may request.
    document_bytes: usize,
    /// Bytes received so far of a document from another entry.
    arriving_bytes: usize,
    revision: RevisionNumber,
}

impl StateSizes {
    fn of(context: &GatewayContext) -> Self {
        let arriving_bytes = context.transfer.lock().buffered_bytes();
        let config = context.config.lock();
        Self {
            queued_bytes: context.links.queued_bytes(),
            link_count: context.links.link_count(),
            document_bytes: config.cached_bytes(),
            arriving_bytes,
            revision: config.revision(),
        }
    }

    fn set_gauges(&self) {
        gauge!("cloverbend_peer_queued_bytes").set(self.queued_bytes as f64);
        gauge!("cloverbend_peer_links").set(self.link_count as f64);
        gauge!("cloverbend_config_document_bytes").set(self.document_bytes as f64);
        gauge!("cloverbend_config_arriving_bytes").set(self.arriving_bytes as f64);
        gauge!("cloverbend_config_revision").set(self.revision.0 as f64);
    }
}

/// Sets the gauges of the sizes, and logs the sizes when memory grows.
#[derive(Clone, Debug, Default)]
pub struct SizeReporter {
    growth_detector: GrowthDetector,
    logged_unreadable: bool,
}

impl SizeReporter {
    /// Reports the current sizes.
    pub fn report(&mut self, context: &GatewayContext) {
        let sizes = StateSizes::of(context);
        sizes.set_gauges();
        match read_resident() {
            Ok(resident) => self.report_resident(context, &sizes, resident),
            Err(error) => self.log_unreadable_once(context, &error),
        }
    }

    fn report_resident(
        &mut self,
        context: &GatewayContext,
        sizes: &StateSizes,
        resident: ResidentBytes,
    ) {
        gauge!("cloverbend_resident_bytes").set(resident.0 as f64);
        if self.growth_detector.detect(context.now(), resident) {
            info!(context.log, "state sizes"; "resident_mb" => resident.mebibytes(),
                "queued_bytes" => sizes.queued_bytes, "links" => sizes.link_count,
                "document_bytes" => sizes.document_bytes, "arriving_bytes" => sizes.arriving_bytes,
                "revision" => sizes.revision.0);
        }
    }

    /// Logs that memory use cannot be read. It does so once, because that does not change.
    fn log_unreadable_once(&mut self, context: &GatewayContext, error: &io::Error) {
        if !self.logged_unreadable {
            self.logged_unreadable = true;
            warn!(context.log, "resident memory unreadable"; "error" => %error);
        }
    }
}
