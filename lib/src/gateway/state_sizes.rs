//! Tells how much memory an entry holds, and what of its state may hold it.

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

/// The shortest time between two lines of sizes. With growth by quarters, an
/// entry that goes from 6 MB to a limit of 512 MB writes 20 lines at most.
const LINE_PAUSE: Duration = Duration::from_secs(10);
/// A line is written when memory has grown by one part in this many: small
/// enough to see where growth begins, and above the noise of the allocator.
const GROWTH_PART: u64 = 4;

/// Decides when a line of sizes is written.
#[derive(Clone, Debug, Default)]
pub struct GrowthWatch {
    told: Option<(Timestamp, ResidentBytes)>,
}

impl GrowthWatch {
    /// Returns whether a line is due, and takes it as written. The first one
    /// always is: growth is counted from it.
    pub fn takes(&mut self, now: Timestamp, resident: ResidentBytes) -> bool {
        let due = self.told.is_none_or(|(told_at, told)| {
            let grown = resident.0 >= told.0.saturating_add(told.0 / GROWTH_PART);
            grown && now.since(told_at) >= LINE_PAUSE
        });
        if due {
            self.told = Some((now, resident));
        }
        due
    }
}

/// What of an entry's state may hold much memory.
#[derive(Clone, Copy, Debug)]
struct StateSizes {
    /// Bytes that wait in the links to other entries.
    queued: usize,
    links: usize,
    /// Bytes of the documents that other entries may ask for.
    kept: usize,
    /// Bytes of the document that is on its way here.
    arriving: usize,
    revision: RevisionNumber,
}

impl StateSizes {
    fn of(context: &GatewayContext) -> Self {
        let arriving = context.transfer.lock().buffered_bytes();
        let config = context.config.lock();
        Self {
            queued: context.links.queued_bytes(),
            links: context.links.link_count(),
            kept: config.cached_bytes(),
            arriving,
            revision: config.revision(),
        }
    }

    fn set_gauges(&self) {
        gauge!("cloverbend_peer_queued_bytes").set(self.queued as f64);
        gauge!("cloverbend_peer_links").set(self.links as f64);
        gauge!("cloverbend_config_document_bytes").set(self.kept as f64);
        gauge!("cloverbend_config_arriving_bytes").set(self.arriving as f64);
        gauge!("cloverbend_config_revision").set(self.revision.0 as f64);
    }
}

/// Sets the gauges of sizes, and logs them when memory grows.
#[derive(Clone, Debug, Default)]
pub struct SizeReporter {
    growth: GrowthWatch,
    is_blind: bool,
}

impl SizeReporter {
    /// Reports the sizes of this moment.
    pub fn report(&mut self, context: &GatewayContext) {
        let sizes = StateSizes::of(context);
        sizes.set_gauges();
        match read_resident() {
            Ok(resident) => self.report_resident(context, &sizes, resident),
            Err(error) => self.note_unreadable(context, &error),
        }
    }

    fn report_resident(
        &mut self,
        context: &GatewayContext,
        sizes: &StateSizes,
        resident: ResidentBytes,
    ) {
        gauge!("cloverbend_resident_bytes").set(resident.0 as f64);
        if self.growth.takes(context.now(), resident) {
            info!(context.log, "state sizes"; "resident_mb" => resident.mebibytes(),
                "queued_bytes" => sizes.queued, "links" => sizes.links,
                "document_bytes" => sizes.kept, "arriving_bytes" => sizes.arriving,
                "revision" => sizes.revision.0);
        }
    }

    /// Says once that the memory cannot be read: it stays so.
    fn note_unreadable(&mut self, context: &GatewayContext, error: &io::Error) {
        if !self.is_blind {
            self.is_blind = true;
            warn!(context.log, "resident memory unreadable"; "error" => %error);
        }
    }
}
