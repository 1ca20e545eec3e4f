//! Gossip of sample entries, for tests.

use cloverbend::gateway::hub_capacity::HubCapacity;
use cloverbend::gateway::peer_gossip::GatewayGossip;
use cloverbend::id::EntryName;
use cloverbend::id::Incarnation;
use cloverbend::id::RevisionNumber;

/// The capacity of the sample entries.
pub const HUB_CAPACITY: HubCapacity = HubCapacity(100);

/// Names an entry.
pub fn entry_name(number: usize) -> EntryName {
    format!("entry-{number}").parse().unwrap()
}

/// Returns the gossip of an entry of which little is known.
pub fn entry_gossip(number: usize, sent_at: u64) -> GatewayGossip {
    GatewayGossip {
        sent_at,
        revision: RevisionNumber(1),
        ..GatewayGossip::new(
            Incarnation(number as u64 + 1),
            entry_name(number),
            format!("127.0.0.1:{}", 1_000 + number).parse().unwrap(),
            HUB_CAPACITY,
        )
    }
}
