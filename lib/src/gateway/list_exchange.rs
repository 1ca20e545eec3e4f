//! Sends the list of backend servers with gossip, in the form that the receiver accepts,
//! and adopts the list that a hub sends.

use metrics::counter;
use slog::warn;

use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_record::BackendRecord;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::list_frames::PackedList;
use crate::gateway::list_history::ListChanges;
use crate::gateway::list_history::ListUpdate;
use crate::gateway::peer_gossip::GatewayGossip;
use crate::gateway::peer_gossip::HubSummary;
use crate::gateway::peer_table::PeerState;
use crate::gateway::store_task::adopt_backend_changes;
use crate::gateway::store_task::adopt_backend_list;
use crate::quantity::Timestamp;

/// The form in which an entry accepts the list of backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListFormat {
    /// Packed updates.
    Packed,
    /// Changes, or the full list if they are unknown.
    Changes,
    /// The full list.
    Full,
}

impl ListFormat {
    /// Returns the form that an entry accepts.
    pub fn of(peer: &PeerState) -> Self {
        match (peer.accepts_packed_lists, peer.accepts_changes) {
            (true, _) => Self::Packed,
            (false, true) => Self::Changes,
            (false, false) => Self::Full,
        }
    }
}

/// The fields of a summary that carry the list of backend servers.
#[derive(Debug, Default)]
pub struct SentList {
    /// The packed update.
    pub packed: Option<PackedList>,
    /// The full list, for an entry of an earlier version.
    pub full: Option<Vec<BackendRecord>>,
    /// The changes, for an entry of an earlier version.
    pub changes: Option<ListChanges>,
}

/// Returns the update for an entry whose list has the digest `peer_digest`.
pub fn list_for(context: &GatewayContext, format: ListFormat, peer_digest: u64) -> SentList {
    let mut backends = context.backends.lock();
    if format == ListFormat::Packed {
        return SentList {
            packed: backends.packed_update(peer_digest),
            ..SentList::default()
        };
    }
    let known_digest = (format == ListFormat::Changes).then_some(peer_digest);
    match backends.list_update(known_digest) {
        ListUpdate::Nothing => SentList::default(),
        ListUpdate::Full(records) => SentList {
            full: Some(records),
            ..SentList::default()
        },
        ListUpdate::Changes(changes) => SentList {
            changes: Some(changes),
            ..SentList::default()
        },
    }
}

/// Returns the draining backend servers, if this entry cannot send its list.
/// A server never stops draining, so it does not matter which list is newer.
pub fn draining_backends(context: &GatewayContext, differs: bool) -> Vec<BackendId> {
    let backends = context.backends.lock();
    if !differs || !backends.has_missing() {
        return Vec::new();
    }
    let draining = backends
        .iter()
        .filter(|backend| !backend.accepts_requests());
    draining.map(|backend| backend.record.id.clone()).collect()
}

/// Adopts the list of backend servers in a summary, in whichever form it was sent.
pub fn adopt_sent_list(
    context: &GatewayContext,
    gossip: &GatewayGossip,
    summary: &HubSummary,
    confirmed_at: Timestamp,
) {
    let update = match (&summary.packed_list, &summary.backends, &summary.changes) {
        (Some(packed), _, _) => packed.unpack(),
        (None, Some(records), _) => Ok(ListUpdate::Full(records.clone())),
        (None, None, Some(changes)) => Ok(ListUpdate::Changes(changes.clone())),
        (None, None, None) => Ok(ListUpdate::Nothing),
    };
    match update {
        Ok(ListUpdate::Nothing) => {}
        Ok(ListUpdate::Full(records)) => adopt_backend_list(context, records, confirmed_at),
        Ok(ListUpdate::Changes(changes)) => {
            adopt_backend_changes(context, changes, gossip.backends_digest, confirmed_at);
        }
        Err(error) => {
            counter!("cloverbend_backend_lists_unreadable_total").increment(1);
            warn!(context.log, "backend server list refused"; "from" => %gossip.name,
                "error" => %error);
        }
    }
}
