//! Adds this entry to the list of entries in the store, and finds the others there.
//!
//! The topic is read as a log, from the last offset read on. That takes one call for
//! any number of entries, as long as the store still keeps their records. Reading the
//! latest record of each key takes one call per page.
//!
//! Only hubs have to know all entries. Every other entry has to find one that is
//! alive, whose gossip names the hubs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use slog::warn;

use crate::gateway::dependency_monitor::DependencyMonitor;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::gateway_settings::GatewaySettings;
use crate::gateway::hub_capacity::HubCapacity;
use crate::gateway::peer_table::HUB_COUNT;
use crate::gateway::platform_interface::LogRecord;
use crate::gateway::platform_interface::LogSlice;
use crate::gateway::platform_interface::LogTopic;
use crate::gateway::platform_interface::PlatformError;
use crate::id::EntryName;
use crate::id::LogOffset;

/// The delay after a failed call to the store about the list of entries.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// The delay before the list of entries is read a second time. Entries of one
/// deployment that start together do so within a third of a second.
const FIRST_RELIST_DELAY: Duration = Duration::from_millis(1_000);
/// The longest delay between reads of the list while no other entry is reachable.
const MAX_RELIST_DELAY: Duration = Duration::from_millis(8_000);
/// How often an entry checks whether other entries are reachable.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// An entry in the store's list of entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryListing {
    /// Where it listens for other entries.
    pub address: SocketAddr,
    /// Its [`HubCapacity`]; 0 in listings that older versions wrote.
    #[serde(default)]
    pub strength: u32,
}

impl EntryListing {
    fn of(settings: &GatewaySettings) -> Self {
        Self {
            address: settings.peer_advertised,
            strength: settings.hub_capacity.0,
        }
    }
}

/// Lists this entry and reads the list until the entry stops.
pub async fn discover_entries(context: Arc<GatewayContext>) {
    let own = EntryListing::of(&context.settings);
    let mut reader = ListingReader::new(context.settings.first_start);
    let mut is_listed = false;
    if context.settings.first_start {
        append_listing(&context, &mut reader.monitor, &own).await;
        is_listed = true;
    }
    let mut relist_delay = FIRST_RELIST_DELAY;
    loop {
        let slice = reader.read(&context).await;
        note_listings(&context, &slice);
        // The listing of an earlier incarnation usually still holds. Hundreds of
        // appends in a row would take seconds.
        if !is_listed && !names_entry(&slice, &context.settings.name, &own) {
            append_listing(&context, &mut reader.monitor, &own).await;
        }
        is_listed = true;
        tokio::time::sleep(relist_delay).await;
        let is_young = relist_delay < MAX_RELIST_DELAY;
        while !is_relist_due(&context, is_young) {
            tokio::time::sleep(PEER_CHECK_INTERVAL).await;
        }
        relist_delay = (relist_delay * 2).min(MAX_RELIST_DELAY);
    }
}

/// Returns whether the list has to be read again. Without any reachable entry it has
/// to be. An entry that takes itself for a hub soon after its start may have read the
/// list before the hubs were on it, and others may follow it.
fn is_relist_due(context: &GatewayContext, is_young: bool) -> bool {
    let now = context.now();
    let peers = context.peers.lock();
    let is_alone = peers.entry_counts(now).reachable <= 1;
    is_alone || (is_young && peers.hub_rank(now) < HUB_COUNT)
}

async fn append_listing(
    context: &GatewayContext,
    monitor: &mut DependencyMonitor,
    listing: &EntryListing,
) {
    // An address and a number can always be serialized as JSON.
    let Ok(value) = serde_json::to_vec(listing) else {
        return;
    };
    let value = Bytes::from(value);
    let store = &context.platform.store;
    let name = context.settings.name.as_str();
    loop {
        let appended = store
            .append(LogTopic::Entries, Some(name), value.clone(), None)
            .await;
        monitor.record(context, &appended);
        if appended.is_ok() {
            return;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Reads the list of entries, each time from the last offset read on.
struct ListingReader {
    monitor: DependencyMonitor,
    /// The offset from which to read, or `None` to read the latest records.
    next: Option<LogOffset>,
}

impl ListingReader {
    /// Returns a reader that has read nothing. The log has all listings only if the
    /// deployment starts for the first time.
    fn new(first_start: bool) -> Self {
        Self {
            monitor: DependencyMonitor::new("store: entries"),
            next: first_start.then_some(LogOffset(0)),
        }
    }

    /// Reads what was listed since the last read. Retries until the store responds.
    async fn read(&mut self, context: &GatewayContext) -> LogSlice {
        let store = &context.platform.store;
        loop {
            let listed = match self.next {
                None => store.read_latest(LogTopic::Entries).await,
                Some(from) => store.read(LogTopic::Entries, from, Duration::ZERO).await,
            };
            self.monitor.record(context, &listed);
            match listed {
                Ok(slice) if slice.misses_records(self.next) => self.next = None,
                Ok(slice) => {
                    self.next = Some(slice.end);
                    return slice;
                }
                Err(PlatformError::OffsetOutOfRange(_)) => self.next = None,
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }
}

fn read_listing(record: &LogRecord) -> Option<(EntryName, EntryListing)> {
    let name = record.key.as_deref()?.parse().ok()?;
    let listing = serde_json::from_slice(&record.value).ok()?;
    Some((name, listing))
}

/// Returns whether the last listing of an entry in a slice is `listing`.
fn names_entry(slice: &LogSlice, name: &EntryName, listing: &EntryListing) -> bool {
    let listings = slice.records.iter().rev().filter_map(read_listing);
    let mut own = listings.filter(|(listed, _)| listed == name);
    own.next().is_some_and(|(_, last)| last == *listing)
}

fn note_listings(context: &GatewayContext, slice: &LogSlice) {
    let now = context.now();
    let mut peers = context.peers.lock();
    for record in &slice.records {
        match read_listing(record) {
            Some((name, listing)) => {
                let capacity = HubCapacity(listing.strength);
                peers.note_listed(now, name, listing.address, capacity);
            }
            None => warn!(context.log, "entry's listing refused"; "key" => record.key.as_deref()),
        }
    }
    peers.note_list_read();
}
