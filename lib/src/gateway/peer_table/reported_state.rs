//! What other entries reported of their leases, demand and load.

use std::collections::BTreeMap;

use crate::gateway::account_demand::CrowdedDemand;
use crate::gateway::backend_record::BackendId;
use crate::gateway::peer_gossip::BackendLoad;
use crate::gateway::peer_gossip::ServiceDemand;
use crate::gateway::peer_table::PeerTable;
use crate::id::EntryName;
use crate::id::FenceToken;
use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// The most requests of all entries that count at one backend server, so that sums of
/// false reports do not overflow.
const MAX_SERVER_LOAD: u32 = 1 << 20;
/// The most pending prompt tokens of all entries that count at one backend server.
const MAX_SERVER_TOKENS: u64 = 1 << 40;

impl PeerTable {
    /// Returns the highest fencing token that another entry reports, directly or
    /// through a hub.
    pub fn highest_fence(&self, now: Timestamp) -> Option<FenceToken> {
        let direct = self.peers.values().filter(|peer| peer.is_reporting(now));
        let direct = direct.filter_map(|peer| peer.fencing_token);
        let views = self.peers.values().filter_map(|peer| peer.recent_view(now));
        direct
            .chain(views.filter_map(|view| view.fencing_token))
            .max()
    }

    /// Returns the fencing token in the last gossip of an entry.
    pub fn fencing_token_of(&self, name: &EntryName) -> Option<FenceToken> {
        self.peers.get(name)?.fencing_token
    }

    /// Returns the highest fencing token in the gossip that came here directly.
    pub fn highest_direct_fence(&self, now: Timestamp) -> Option<FenceToken> {
        let direct = self.peers.values().filter(|peer| peer.is_reporting(now));
        direct.filter_map(|peer| peer.fencing_token).max()
    }

    /// Iterates over the demand for a service at each entry that sends its state
    /// here.
    pub fn service_demand<'a>(
        &'a self,
        now: Timestamp,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a ServiceDemand> {
        let reporting = self
            .peers
            .values()
            .filter(move |peer| peer.is_reporting(now));
        reporting
            .flat_map(|peer| &peer.service_demand)
            .filter(|demand| demand.service == service.as_str())
    }

    /// Iterates over what callers of the entries that send their state here ask of
    /// crowded services.
    pub fn crowded_demand(&self, now: Timestamp) -> impl Iterator<Item = &[CrowdedDemand]> {
        let reporting = self
            .peers
            .values()
            .filter(move |peer| peer.is_reporting(now));
        reporting.map(|peer| peer.crowded_demand.as_slice())
    }

    /// Sums the load that other entries put on each backend server. The sums come
    /// from the hub that reaches the most entries, or from the gossip that came
    /// here directly if this entry reaches as many.
    pub fn backend_loads(&self, now: Timestamp) -> BTreeMap<BackendId, BackendLoad> {
        let direct = self.direct_entry_counts(now).reachable;
        let views = self.peers.values().filter_map(|peer| peer.recent_view(now));
        match views.max_by_key(|view| view.reachable) {
            Some(view) if view.reachable > direct => sum_loads(&view.backend_loads),
            _ => self.direct_backend_loads(now),
        }
    }

    /// Sums the load that other entries reported here directly, to be sent to
    /// other entries.
    pub fn direct_backend_loads(&self, now: Timestamp) -> BTreeMap<BackendId, BackendLoad> {
        let reporting = self.peers.values().filter(|peer| peer.is_reporting(now));
        sum_loads(reporting.flat_map(|peer| &peer.backend_loads))
    }

    /// Returns the load that one entry reported, to be subtracted in its summary.
    pub fn backend_loads_of(&self, name: &EntryName) -> &[BackendLoad] {
        self.peers.get(name).map_or(&[], |peer| &peer.backend_loads)
    }
}

fn sum_loads<'a>(
    loads: impl IntoIterator<Item = &'a BackendLoad>,
) -> BTreeMap<BackendId, BackendLoad> {
    let mut sums = BTreeMap::new();
    add_loads(&mut sums, loads);
    sums
}

/// Adds loads to the sums by backend server.
pub fn add_loads<'a>(
    sums: &mut BTreeMap<BackendId, BackendLoad>,
    loads: impl IntoIterator<Item = &'a BackendLoad>,
) {
    for load in loads {
        match sums.get_mut(&load.id()) {
            Some(sum) => {
                sum.in_flight = sum.in_flight.saturating_add(load.in_flight);
                sum.in_flight = sum.in_flight.min(MAX_SERVER_LOAD);
                sum.unread = sum.unread.saturating_add(load.unread);
                sum.unread = sum.unread.min(MAX_SERVER_TOKENS);
                sum.set_pace(sum.pace_counts().plus(load.pace_counts()));
            }
            None => {
                let mut sum = load.clone();
                sum.in_flight = sum.in_flight.min(MAX_SERVER_LOAD);
                sum.unread = sum.unread.min(MAX_SERVER_TOKENS);
                sums.insert(load.id(), sum);
            }
        }
    }
}
