//! Cancels the requests at a backend server that has restarted.
//!
//! A connection on which this entry only waits for a response shows nothing when its
//! server crashes without closing it. The record of a later incarnation proves that
//! the response will never come; without this module the request would wait until the
//! caller's deadline.

use std::collections::HashMap;

use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use crate::gateway::backend_record::BackendId;

/// The requests at one incarnation of a server.
#[derive(Debug)]
struct TrackedIncarnation {
    requests: usize,
    restart_token: CancellationToken,
}

/// The incarnations of backend servers that have requests of this entry.
#[derive(Debug, Default)]
pub struct IncarnationTracker {
    incarnations: Mutex<HashMap<BackendId, TrackedIncarnation>>,
}

impl IncarnationTracker {
    /// Returns a tracker without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request that is sent to an incarnation. The returned token is
    /// canceled when a later incarnation of the server is known.
    pub fn track_request(&self, id: &BackendId) -> CancellationToken {
        let mut incarnations = self.incarnations.lock();
        let incarnation = incarnations
            .entry(id.clone())
            .or_insert_with(|| TrackedIncarnation {
                requests: 0,
                restart_token: CancellationToken::new(),
            });
        incarnation.requests += 1;
        incarnation.restart_token.clone()
    }

    /// Stops counting a request that has ended.
    pub fn untrack_request(&self, id: &BackendId) {
        let mut incarnations = self.incarnations.lock();
        if let Some(incarnation) = incarnations.get_mut(id) {
            incarnation.requests -= 1;
            if incarnation.requests == 0 {
                incarnations.remove(id);
            }
        }
    }

    /// Cancels the requests at all earlier incarnations of a server. Returns their
    /// number.
    pub fn cancel_replaced(&self, id: &BackendId) -> usize {
        let incarnations = self.incarnations.lock();
        let replaced = incarnations.iter().filter(|(other, _)| id.replaces(other));
        let canceled = replaced.map(|(_, incarnation)| {
            incarnation.restart_token.cancel();
            incarnation.requests
        });
        canceled.sum()
    }
}
