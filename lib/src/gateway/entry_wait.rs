//! Lets requests wait in the entry's queue.

use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use metrics::histogram;
use slog::info;

use crate::gateway::call_admission::AdmittedCall;
use crate::gateway::entry_queue::QueueWaiter;
use crate::gateway::entry_queue::WaitQuery;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::log_budget::LineClass;
use crate::gateway::retry_state::RetryState;
use crate::gateway::return_promises::ReturnStatus;
use crate::quantity::Timestamp;

/// How often a waiting request looks for a slot if none of this entry's requests ends.
/// Gossip and load reports may show one as well.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A request that waits until this is dropped.
pub struct QueuedCall {
    context: Arc<GatewayContext>,
    waiter: QueueWaiter,
    joined_at: Timestamp,
    until: Timestamp,
}

impl Drop for QueuedCall {
    fn drop(&mut self) {
        self.context.entry_queue.lock().leave(&self.waiter);
        // The next one may look for a slot now.
        self.context.slot_freed.notify_waiters();
    }
}

impl QueuedCall {
    /// Waits until the request is the next one and a slot may have become free. Returns
    /// false if its wait is over.
    pub async fn wait_for_turn(&self) -> bool {
        loop {
            let left = self.until.since(self.context.now());
            if left.is_zero() {
                return false;
            }
            let freed = self.context.slot_freed.notified();
            let _ = tokio::time::timeout(left.min(POLL_INTERVAL), freed).await;
            if self.context.entry_queue.lock().is_next(&self.waiter) {
                return true;
            }
        }
    }

    /// Notes that a slot was found.
    pub fn note_sent(&self, call: &AdmittedCall) {
        self.note_end(call, "sent");
    }

    /// Notes that no slot was found in time.
    pub fn note_refused(&self, call: &AdmittedCall) {
        self.note_end(call, "refused");
    }

    fn note_end(&self, call: &AdmittedCall, outcome: &'static str) {
        let context = &self.context;
        let waited = context.now().since(self.joined_at);
        counter!("cloverbend_entry_waits_total", "outcome" => outcome).increment(1);
        histogram!("cloverbend_entry_wait_seconds").record(waited.as_secs_f64());
        if context.may_log(&call.head.id.0, LineClass::Step) {
            info!(context.log, "request waited"; "request" => %call.head.id,
                "digest" => %call.digest, "route" => &call.route.name, "outcome" => outcome,
                "after_ms" => waited.as_millis() as u64);
        }
    }
}

/// Puts a request that would be shed into the queue, if a slot is probably free soon. A
/// caller that returned before its time does not wait.
pub fn join_entry_queue(
    context: &Arc<GatewayContext>,
    call: &AdmittedCall,
    retry_state: &RetryState,
    slot_wait: Duration,
) -> Option<QueuedCall> {
    if !context.settings.load.entry_queue || retry_state.has_waited {
        return None;
    }
    let now = context.now();
    let status = context.promises.lock().status(now, call.digest);
    if matches!(status, ReturnStatus::Early(_)) {
        return None;
    }
    let backends = context.backends.lock();
    let serving = backends.of_service(&call.service);
    let query = WaitQuery {
        slot_wait,
        target_latency: call.route.target_latency.min(call.time_left()),
        own_requests: serving.map(|backend| backend.in_flight).sum(),
        slot_time: backends.times(&call.service).processing_time,
        urgency: call.priority(),
    };
    drop(backends);
    let (waiter, until) = context
        .entry_queue
        .lock()
        .join(now, &call.service, &query)?;
    Some(QueuedCall {
        context: Arc::clone(context),
        waiter,
        joined_at: now,
        until,
    })
}
