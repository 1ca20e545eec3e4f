//! Tells requests that their backend server has started again.
//!
//! A server that crashed without a word answers nothing any more, and a
//! connection on which only an answer is awaited shows nothing of it. The record
//! of a later life proves that the request will never be answered: whoever waits
//! would wait until the caller's time is over.

use std::collections::HashMap;

use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use crate::gateway::backend_record::BackendId;

/// The requests at one life of a server.
#[derive(Debug)]
struct WatchedLife {
    requests: usize,
    end: CancellationToken,
}

/// The lives of backend servers that have requests of this entry.
#[derive(Debug, Default)]
pub struct IncarnationTracker {
    lives: Mutex<HashMap<BackendId, WatchedLife>>,
}

impl IncarnationTracker {
    /// Returns a watch of no lives.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a request goes to a life. The token is cancelled when a later
    /// life of the server is known.
    pub fn enter(&self, id: &BackendId) -> CancellationToken {
        let mut lives = self.lives.lock();
        let life = lives.entry(id.clone()).or_insert_with(|| WatchedLife {
            requests: 0,
            end: CancellationToken::new(),
        });
        life.requests += 1;
        life.end.clone()
    }

    /// Notes that a request is no longer there.
    pub fn leave(&self, id: &BackendId) {
        let mut lives = self.lives.lock();
        if let Some(life) = lives.get_mut(id) {
            life.requests -= 1;
            if life.requests == 0 {
                lives.remove(id);
            }
        }
    }

    /// Ends the wait at all earlier lives of a server. Returns how many requests
    /// were there.
    pub fn cancel_replaced(&self, id: &BackendId) -> usize {
        let lives = self.lives.lock();
        let earlier = lives.iter().filter(|(other, _)| id.replaces(other));
        let ended = earlier.map(|(_, life)| {
            life.end.cancel();
            life.requests
        });
        ended.sum()
    }
}
