//! Passes streams of events on as they come.
//!
//! Dropping the body, as hyper does when a caller leaves, closes the
//! connection to the backend server, which stops its work.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use metrics::counter;
use metrics::histogram;
use slog::info;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::boot_clock::TimeOver;
use crate::gateway::backend_pool::KeptConnection;
use crate::gateway::backend_record::BackendOutcome;
use crate::gateway::byte_budget::HeldBytes;
use crate::gateway::call_admission::AdmittedCall;
use crate::gateway::call_admission::onward_headers;
use crate::gateway::call_dispatch::SendPlan;
use crate::gateway::call_dispatch::SentCall;
use crate::gateway::call_dispatch::has_other_server;
use crate::gateway::call_dispatch::next_send;
use crate::gateway::call_log::count_usage;
use crate::gateway::call_log::log_send;
use crate::gateway::call_log::note_outcome;
use crate::gateway::event_splitter::EventBatch;
use crate::gateway::event_splitter::EventSplitter;
use crate::gateway::gateway_context::CallGuard;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::log_budget::LineClass;
use crate::gateway::send_guard::RESPONSE_INTERRUPTED;
use crate::gateway::send_guard::SERVER_RESTARTED;
use crate::gateway::send_guard::SendGuard;
use crate::gateway::stall_detector::StallDetector;

/// Why the body of an answer ends early. hyper then closes the caller's
/// connection without an end of the body.
pub type RelayError = std::io::Error;

/// The body of an answer to a caller.
pub type CallBody = UnsyncBoxBody<Bytes, RelayError>;

/// Makes a body of bytes that are all there.
pub fn full_body(bytes: Bytes) -> CallBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Kept back bytes of an event that do not count in the budget: as many as a
/// connection reads at once, so that usual events pass whole when it is full.
const FREE_PENDING: usize = 16 * 1024;

struct OpenAnswer {
    body: Incoming,
    connection: KeptConnection,
    guard: SendGuard,
    keep_idle: Option<Duration>,
}

/// Relays one stream of events.
pub struct EventRelay {
    context: Arc<GatewayContext>,
    call: AdmittedCall,
    plan: SendPlan,
    answer: Option<OpenAnswer>,
    splitter: EventSplitter,
    /// The bytes that the splitter keeps back.
    held: HeldBytes,
    last_event: Option<u64>,
    events: usize,
    first_event_after: Option<Duration>,
    pauses: StallDetector,
    /// Whether the send that takes up the stream elsewhere is paid for.
    resume_paid: bool,
    finished: bool,
    _open: CallGuard,
}

impl EventRelay {
    /// Builds the answer to the caller from the head of the first stream.
    pub fn start(
        context: Arc<GatewayContext>,
        call: AdmittedCall,
        plan: SendPlan,
        sent: SentCall,
    ) -> Response<CallBody> {
        let mut call = call;
        if !call.route.may_repeat() {
            call.let_go_of_body();
        }
        let mut response = Response::new(());
        *response.status_mut() = sent.exchange.response.status();
        let headers = sent.exchange.response.headers().clone();
        *response.headers_mut() = onward_headers(headers);
        let now = Instant::now();
        let relay = Self {
            pauses: StallDetector::new(now, &call.route),
            resume_paid: false,
            _open: context.open_call(),
            last_event: call.head.last_event,
            held: HeldBytes::new(&context.byte_budget),
            context,
            call,
            plan,
            answer: Some(open_answer(sent)),
            splitter: EventSplitter::new(),
            events: 0,
            first_event_after: None,
            finished: false,
        };
        let frames = stream::unfold(relay, EventRelay::next_frame);
        response.map(|()| StreamBody::new(frames).boxed_unsync())
    }

    async fn next_frame(mut self) -> Option<(Result<Frame<Bytes>, RelayError>, Self)> {
        loop {
            if self.finished {
                return None;
            }
            let Some(answer) = self.answer.as_mut() else {
                return self.resume_or_break().await;
            };
            let frame = frame_before(&mut answer.body, self.pauses.stalled_at());
            let life_end = answer.guard.restart_token.clone();
            let frame = tokio::select! {
                biased;
                frame = self.context.clock.timeout_at(self.call.until, frame) => frame,
                () = life_end.cancelled() => {
                    self.drop_answer(SERVER_RESTARTED);
                    continue;
                }
            };
            match frame {
                Ok(Err(Silence)) => self.note_silence(),
                Err(TimeOver) => return Some(self.break_off("timed_out")),
                Ok(Ok(Some(Ok(frame)))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.pauses.note_bytes(Instant::now());
                    let batch = self.split(&data);
                    if !batch.bytes.is_empty() {
                        self.note_events(&batch);
                        return Some((Ok(Frame::data(batch.bytes)), self));
                    }
                }
                Ok(Ok(Some(Err(_)))) => {
                    self.drop_answer(RESPONSE_INTERRUPTED);
                }
                Ok(Ok(None)) => return self.finish(),
            }
        }
    }

    /// Takes bytes and returns the events that are whole by now, or the
    /// beginning of one that there is no room to keep back.
    fn split(&mut self, data: &[u8]) -> EventBatch {
        let mut batch = self.splitter.push(data);
        let pending = self.splitter.pending();
        let counted = if pending > FREE_PENDING { pending } else { 0 };
        let fits = self.held.resize(counted).is_ok();
        if !fits && batch.bytes.is_empty() {
            batch.bytes = self.splitter.flush_partial();
            // Giving back always succeeds.
            let _ = self.held.resize(0);
        }
        batch
    }

    /// Returns whether the stream may go on at another backend server. Within
    /// an event it may not: the caller would join parts of two.
    fn may_resume(&self) -> bool {
        !self.splitter.is_inside_event() && self.plan.may_run_again(&self.call)
    }

    fn logs(&self, class: LineClass) -> bool {
        self.context.may_log(&self.call.head.id.0, class)
    }

    fn note_events(&mut self, batch: &EventBatch) {
        if self.first_event_after.is_none() {
            count_usage(&self.context, self.call.account_name());
            let after = self.call.taken();
            self.first_event_after = Some(after);
            histogram!("cloverbend_first_event_seconds").record(after.as_secs_f64());
        }
        if let Some(answer) = self.answer.as_mut() {
            answer.guard.note_first_event();
        }
        self.events += batch.count;
        self.last_event = batch.last_id.or(self.last_event);
    }

    /// Gives a silent stream up if it may go on at another backend server. Else
    /// it is kept: silence alone does not end what cannot go on elsewhere.
    fn note_silence(&mut self) {
        let may_move = self.may_resume()
            && has_other_server(&self.context, &self.call, &self.plan)
            && self.plan.take_budget(&self.context, &self.call);
        if may_move {
            self.drop_answer("silent");
            self.resume_paid = true;
        } else {
            self.pauses.disarm();
        }
    }

    fn drop_answer(&mut self, word: &str) {
        let Some(answer) = self.answer.take() else {
            return;
        };
        let backend = answer.guard.backend();
        note_outcome(&self.context, backend, BackendOutcome::Broken);
        answer.guard.note_interrupted(word);
        log_send(&self.context, &self.call, backend, word);
        // The rest of an event is sent again by the next backend server.
        self.splitter.take_rest();
        // Giving back always succeeds.
        let _ = self.held.resize(0);
    }

    async fn resume_or_break(mut self) -> Option<(Result<Frame<Bytes>, RelayError>, Self)> {
        let paid = std::mem::take(&mut self.resume_paid);
        let again = paid || (self.may_resume() && self.plan.take_budget(&self.context, &self.call));
        if !again {
            return Some(self.break_off(RESPONSE_INTERRUPTED));
        }
        let resumed = next_send(&self.context, &self.call, &mut self.plan, self.last_event).await;
        match resumed {
            Ok(sent) if sent.exchange.response.status().is_success() => {
                if self.logs(LineClass::Failure) {
                    info!(self.context.log, "stream resumed"; "request" => %self.call.head.id,
                        "backend" => %sent.guard.backend(), "after_event" => self.last_event);
                }
                counter!("cloverbend_streams_resumed_total").increment(1);
                self.answer = Some(open_answer(sent));
                self.pauses.note_resumed(Instant::now());
                let empty = Frame::data(Bytes::new());
                Some((Ok(empty), self))
            }
            Ok(_) => Some(self.break_off("resume_refused")),
            Err(refusal) => Some(self.break_off(refusal.word())),
        }
    }

    fn break_off(mut self, word: &str) -> (Result<Frame<Bytes>, RelayError>, Self) {
        counter!("cloverbend_streams_broken_total").increment(1);
        if self.logs(LineClass::Failure) {
            info!(self.context.log, "stream broken off"; "request" => %self.call.head.id,
                "reason" => word, "events" => self.events,
                "after_ms" => self.call.taken().as_millis() as u64);
        }
        self.finished = true;
        self.answer = None;
        let error = std::io::Error::other(format!("the stream broke off: {word}"));
        (Err(error), self)
    }

    fn finish(mut self) -> Option<(Result<Frame<Bytes>, RelayError>, Self)> {
        self.finished = true;
        let answer = self.answer.take()?;
        let OpenAnswer {
            connection,
            guard,
            keep_idle,
            ..
        } = answer;
        self.context
            .pool
            .return_connection(guard.backend(), connection, keep_idle);
        guard.note_completed();
        counter!("cloverbend_calls_answered_total").increment(1);
        if self.logs(LineClass::Step) {
            info!(self.context.log, "request answered"; "request" => %self.call.head.id,
                "backend" => %guard.backend(), "events" => self.events,
                "first_event_ms" => self.first_event_after.map(|after| after.as_millis() as u64),
                "after_ms" => self.call.taken().as_millis() as u64);
        }
        let rest = self.splitter.take_rest();
        (!rest.is_empty()).then(|| (Ok(Frame::data(rest)), self))
    }
}

impl Drop for EventRelay {
    fn drop(&mut self) {
        if !self.finished && self.logs(LineClass::Failure) {
            info!(self.context.log, "caller left"; "request" => %self.call.head.id,
                "events" => self.events,
                "after_ms" => self.call.taken().as_millis() as u64);
        }
    }
}

/// Nothing came for longer than a pause lasts.
struct Silence;

/// Waits for the next frame until the stream counts as silent.
async fn frame_before(
    body: &mut Incoming,
    silent_at: Option<Instant>,
) -> Result<Option<Result<Frame<Bytes>, hyper::Error>>, Silence> {
    match silent_at {
        None => Ok(body.frame().await),
        Some(at) => timeout_at(at, body.frame()).await.map_err(|_| Silence),
    }
}

fn open_answer(sent: SentCall) -> OpenAnswer {
    OpenAnswer {
        body: sent.exchange.response.into_body(),
        connection: sent.exchange.connection,
        guard: sent.guard,
        keep_idle: sent.answer.keep_alive,
    }
}
