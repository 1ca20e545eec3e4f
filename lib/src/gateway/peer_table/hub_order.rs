//! The order of entries in which they become hubs.

use std::cmp::Reverse;
use std::net::SocketAddr;

use twox_hash::XxHash64;

use crate::gateway::hub_capacity::HubCapacity;
use crate::gateway::peer_table::HUB_COUNT;
use crate::gateway::peer_table::PeerState;
use crate::gateway::peer_table::PeerTable;
use crate::id::EntryName;
use crate::quantity::Timestamp;

/// The sort key of hubs: the highest capacity first, ties by hash.
type OrderKey<'a> = (Reverse<HubCapacity>, u64, &'a EntryName);

fn order_key(name: &EntryName, hub_capacity: HubCapacity) -> OrderKey<'_> {
    let hash = XxHash64::oneshot(0, name.as_str().as_bytes());
    (Reverse(hub_capacity), hash, name)
}

impl PeerTable {
    /// Returns the primary hub of this entry, which replies in every round.
    /// Entries choose different hubs, so that no single link carries all replies.
    pub(super) fn primary(&self, hubs: &[EntryName]) -> Option<EntryName> {
        let number = XxHash64::oneshot(1, self.own_name.as_str().as_bytes());
        let index = number.checked_rem(hubs.len() as u64)?;
        hubs.get(index as usize).cloned()
    }

    pub(super) fn first_hubs(&self, count: usize) -> Vec<EntryName> {
        first_in_order(self.peers.iter(), count)
    }

    /// Returns the hubs to which this entry sends its state, in order.
    pub(super) fn hubs(&self, now: Timestamp) -> Vec<EntryName> {
        let responsive = self.peers.iter().filter(|(_, peer)| !peer.is_suspect(now));
        first_in_order(responsive, HUB_COUNT)
    }

    /// Returns the addresses of the entries that keep the streams of this one: its hubs.
    /// If all others stop, those that do so still reply.
    pub fn stream_keepers(&self, now: Timestamp) -> Vec<SocketAddr> {
        let mut hubs = self.hubs(now);
        if hubs.is_empty() {
            let stopping = self.peers.iter().filter(|(_, peer)| peer.draining);
            hubs = first_in_order(stopping, HUB_COUNT);
        }
        let peers = hubs.iter().filter_map(|name| self.peers.get(name));
        let keepers = peers.filter(|peer| peer.keeps_streams);
        keepers.map(|peer| peer.address).collect()
    }

    /// Returns the addresses of the entries that send their state to this one.
    pub fn reporting_addresses(&self, now: Timestamp) -> Vec<SocketAddr> {
        let peers = self.peers.values();
        let reporting = peers.filter(|peer| peer.is_reporting(now) && peer.keeps_streams);
        reporting.map(|peer| peer.address).collect()
    }

    /// Returns the names of the hubs, in order.
    pub fn hub_names(&self, now: Timestamp) -> Vec<EntryName> {
        self.hubs(now)
    }

    /// Returns the hubs with their addresses, to be sent to other entries. Hubs
    /// from which no gossip has arrived yet are omitted.
    pub fn hub_addresses(&self, now: Timestamp) -> Vec<(EntryName, SocketAddr, HubCapacity)> {
        let hubs = self.hubs(now);
        let address = |name: EntryName| {
            let peer = self.peers.get(&name)?;
            peer.has_gossiped
                .then_some((name, peer.address, peer.hub_capacity))
        };
        hubs.into_iter().filter_map(address).collect()
    }

    /// Returns the place of this entry in the order of hubs: how many responsive
    /// entries come before it.
    pub fn hub_rank(&self, now: Timestamp) -> usize {
        let own_key = order_key(&self.own_name, self.own_capacity);
        let is_earlier = |name, peer: &PeerState| order_key(name, peer.hub_capacity) < own_key;
        let before = self
            .peers
            .iter()
            .filter(|(name, peer)| is_earlier(name, peer));
        before.filter(|(_, peer)| !peer.is_suspect(now)).count()
    }
}

fn first_in_order<'a>(
    peers: impl Iterator<Item = (&'a EntryName, &'a PeerState)>,
    count: usize,
) -> Vec<EntryName> {
    let mut ordered: Vec<OrderKey<'_>> = peers
        .map(|(name, peer)| order_key(name, peer.hub_capacity))
        .collect();
    ordered.sort();
    ordered.truncate(count);
    ordered
        .into_iter()
        .map(|(_, _, name)| name.clone())
        .collect()
}
