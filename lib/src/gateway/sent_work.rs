//! Accounts for the work of a request that is sent, and adds it to the history once the
//! response is complete.

use std::time::Duration;

use metrics::counter;
use metrics::histogram;

use crate::gateway::backend_choice::BackendChoice;
use crate::gateway::backend_set::BackendSet;
use crate::gateway::call_admission::AdmittedCall;
use crate::gateway::call_work::WorkEstimate;
use crate::gateway::call_work::WorkQuery;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::service_times::ServiceTimes;
use crate::gateway::slot_forecast::OwnRun;
use crate::gateway::slot_forecast::RunId;
use crate::quantity::Timestamp;
use crate::quantity::TokenCount;

/// Estimates the work of a request at a server that has to prefill `prefill_tokens`.
/// Returns `None` if the settings do not ask for estimates.
pub fn estimate_work(
    context: &GatewayContext,
    call: &AdmittedCall,
    times: &ServiceTimes,
    prefill_tokens: u64,
) -> Option<WorkEstimate> {
    if !context.settings.load.work_estimates {
        return None;
    }
    let query = work_query(call);
    let history = context.work_history.lock();
    let generation = history.estimate(&query, times.processing_time);
    let prefill_millis = times.prefill_speed.prefill_millis(prefill_tokens);
    Some(WorkEstimate {
        prefill_tokens: TokenCount(prefill_tokens),
        prefill_time: Duration::try_from_secs_f64(prefill_millis / 1_000.0).unwrap_or_default(),
        generation,
    })
}

fn work_query(call: &AdmittedCall) -> WorkQuery {
    WorkQuery {
        service: call.service.clone(),
        route: call.route.name.clone(),
        length_hint: call.head.length_hint,
        max_generated: call.head.tokens.map(|tokens| tokens.max_generated),
    }
}

/// The work of a request that was sent.
#[derive(Clone, Debug)]
pub struct SentWork {
    query: WorkQuery,
    estimate: WorkEstimate,
    /// The expected wait for a slot.
    slot_wait: Duration,
    sent_at: Timestamp,
    /// When the first event arrived.
    began_at: Option<Timestamp>,
    /// Whether the response is a stream, whose first event ends the prefill.
    is_stream: bool,
    /// Whether the response contains the whole generation.
    is_whole: bool,
    run: Option<RunId>,
}

impl SentWork {
    /// Adds a request that is sent now to the own runs at its server. `is_first` tells
    /// whether it was not sent before.
    pub fn begin(
        backends: &mut BackendSet,
        now: Timestamp,
        call: &AdmittedCall,
        choice: &BackendChoice,
        estimate: WorkEstimate,
        is_first: bool,
    ) -> Self {
        if is_first && call.head.has_bad_hint {
            counter!("cloverbend_length_hints_corrected_total").increment(1);
        }
        let is_stream = call.route.streaming;
        let slot_at = now.after(choice.slot_wait);
        let own_run = OwnRun {
            slot_at,
            begins_at: match is_stream {
                true => now.after(choice.first_event),
                false => slot_at.after(estimate.prefill_time),
            },
            awaits_event: is_stream,
            generation: estimate.generation.time,
        };
        Self {
            query: work_query(call),
            estimate,
            slot_wait: choice.slot_wait,
            sent_at: now,
            began_at: None,
            is_stream,
            is_whole: is_first && call.head.last_event.is_none(),
            run: backends.add_run(&choice.id, own_run),
        }
    }

    /// Returns the estimate.
    pub fn estimate(&self) -> &WorkEstimate {
        &self.estimate
    }

    /// Returns the own run at the server.
    pub fn run(&self) -> Option<RunId> {
        self.run
    }

    /// Notes that the first event has arrived.
    pub fn note_first_event(&mut self, now: Timestamp) {
        self.began_at = Some(now);
    }

    /// Adds the work to the history after a complete response.
    pub fn note_completed(&self, context: &GatewayContext) {
        let Some((prefill, generation)) = self.phases(context.now()) else {
            return;
        };
        let slot_time = prefill + generation;
        let estimated = self.estimate.slot_time().as_secs_f64();
        let ratio = slot_time.as_secs_f64() / estimated;
        let basis = self.estimate.generation.basis.label();
        histogram!("cloverbend_work_estimate_ratio", "basis" => basis).record(ratio);
        let mut backends = context.backends.lock();
        backends.note_slot_time(&self.query.service, slot_time);
        drop(backends);
        context.work_history.lock().note(&self.query, generation);
    }

    /// Returns the times of the prefill and of the generation until `now`, without the
    /// wait for a slot. Returns `None` if they are not known.
    fn phases(&self, now: Timestamp) -> Option<(Duration, Duration)> {
        if !self.is_whole {
            return None;
        }
        let prefill_time = self.estimate.prefill_time;
        if self.is_stream {
            let began_at = self.began_at?;
            let prefill_time = prefill_time.min(began_at.since(self.sent_at));
            return Some((prefill_time, now.since(began_at)));
        }
        let slot_time = now.since(self.sent_at).checked_sub(self.slot_wait)?;
        let prefill_time = prefill_time.min(slot_time);
        Some((prefill_time, slot_time - prefill_time))
    }
}
