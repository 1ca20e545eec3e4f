//! A request while a backend server has it.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use crate::gateway::backend_record::BackendId;
use crate::gateway::call_digest::CallDigest;
use crate::gateway::crash_detector::InterruptedRun;
use crate::gateway::crash_detector::note_completed;
use crate::gateway::crash_detector::probe_for_crash;
use crate::gateway::crash_detector::record_crash;
use crate::gateway::gateway_context::GatewayContext;
use crate::quantity::Timestamp;

/// The word for a send whose connection ended without an answer.
pub const CONNECTION_LOST: &str = "lost";
/// The word for an answer whose connection ended before it.
pub const RESPONSE_INTERRUPTED: &str = "broken_off";
/// The word for a request whose backend server is known to have started again.
pub const SERVER_RESTARTED: &str = "server_started_again";

/// What is known of a request when it is sent.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// The backend server.
    pub backend: BackendId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The request.
    pub digest: CallDigest,
    /// Prompt tokens that the server has to read.
    pub prefill_tokens: u64,
    /// Prompt tokens of others that it had to read before.
    pub tokens_ahead: u64,
    /// Whether a slot seemed free.
    pub had_free_slot: bool,
    /// The moment.
    pub sent_at: Timestamp,
}

/// Counts a request at a backend server until it is dropped.
pub struct SendGuard {
    context: Arc<GatewayContext>,
    terms: SentRequest,
    /// When its answer began, or else when it was sent.
    began: Timestamp,
    is_read: bool,
    /// Cancelled when the server is known to have started again.
    pub restart_token: CancellationToken,
}

impl SendGuard {
    /// Begins to count a request.
    pub fn new(context: &Arc<GatewayContext>, terms: SentRequest) -> Self {
        Self {
            restart_token: context.incarnations.enter(&terms.backend),
            context: Arc::clone(context),
            began: terms.sent_at,
            is_read: false,
            terms,
        }
    }

    /// Returns the backend server.
    pub fn backend(&self) -> &BackendId {
        &self.terms.backend
    }

    /// Notes that the head of the answer came.
    pub fn note_head(&mut self) {
        self.began = self.context.now();
    }

    /// Notes that the answer was cut; `word` tells how. All answers break off
    /// where a server crashes.
    pub fn note_interrupted(&self, word: &str) {
        let (context, backend) = (&self.context, self.backend());
        match word {
            CONNECTION_LOST | RESPONSE_INTERRUPTED => {
                probe_for_crash(context, backend, self.terms.address, self.run());
            }
            SERVER_RESTARTED => record_crash(context, backend, &[self.run()]),
            _ => {}
        }
    }

    /// Notes that the answer came to its end.
    pub fn note_completed(&self) {
        self.context.note_first_response();
        note_completed(&self.context, self.terms.digest);
    }

    fn run(&self) -> InterruptedRun {
        InterruptedRun {
            digest: self.terms.digest,
            started_at: self.began,
            interrupted_at: self.context.now(),
        }
    }

    /// Notes that the first event came, so that the prompt was read.
    pub fn note_first_event(&mut self) {
        if std::mem::replace(&mut self.is_read, true) {
            return;
        }
        let took = self.context.now().since(self.terms.sent_at);
        let mut backends = self.context.backends.lock();
        backends.note_prefilled(&self.terms.backend, self.terms.prefill_tokens);
        if self.terms.tokens_ahead == 0 {
            backends.note_first_event(&self.terms.backend, self.terms.prefill_tokens, took);
        }
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        let held = self.context.now().since(self.terms.sent_at);
        let mut backends = self.context.backends.lock();
        if !self.is_read {
            backends.note_prefilled(&self.terms.backend, self.terms.prefill_tokens);
        }
        backends.note_left(&self.terms.backend, held, self.terms.had_free_slot);
        drop(backends);
        self.context.incarnations.leave(&self.terms.backend);
    }
}
