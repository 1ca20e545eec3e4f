//! Relays event streams from backend servers to callers.
//!
//! A stream that ends inside an event was interrupted, however the end of its response is
//! marked: a server that crashes may still close its connection in order.
//!
//! When a caller disconnects, hyper drops the body. This closes the connection to
//! the backend server, so that the server stops its work.
//!
//! The head of a response is passed on with the first bytes of its body. Until then, a
//! stream that breaks off is refused with a status of its own.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http::HeaderValue;
use http::Response;
use http::header;
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
use crate::gateway::backend_pool::PooledConnection;
use crate::gateway::backend_record::BackendId;
use crate::gateway::byte_budget::ByteReservation;
use crate::gateway::call_admission::AdmittedCall;
use crate::gateway::call_admission::strip_hop_headers;
use crate::gateway::call_dispatch::BackendResponse;
use crate::gateway::call_dispatch::send_until_response;
use crate::gateway::call_log::count_usage;
use crate::gateway::call_log::log_send_failed;
use crate::gateway::call_refusal::CallRefusal;
use crate::gateway::event_pauses::EventPauses;
use crate::gateway::event_splitter::EventBatch;
use crate::gateway::event_splitter::EventSplitter;
use crate::gateway::gateway_context::CallGuard;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::late_bytes::LateBytes;
use crate::gateway::log_budget::LineClass;
use crate::gateway::relay_client::note_helper_lost;
use crate::gateway::response_framing::ResponseFraming;
use crate::gateway::retry_exchange::take_retry_budget;
use crate::gateway::retry_state::MIN_TIME_LEFT;
use crate::gateway::retry_state::RetryState;
use crate::gateway::send_choice::has_other_backend;
use crate::gateway::send_guard::RESPONSE_INTERRUPTED;
use crate::gateway::send_guard::SERVER_RESTARTED;
use crate::gateway::send_guard::SendGuard;
use crate::gateway::stall_detector::StallDetector;
use crate::gateway::stream_exchange::note_stream;
use crate::gateway::stream_exchange::note_stream_completed;
use crate::gateway::stream_waits::WaitError;
use crate::gateway::stream_waits::has_to_wait;
use crate::gateway::stream_waits::wait_until_stored;
use crate::gateway::version_binding::VersionBinding;
use crate::id::ServerVersion;

/// Why the body of a response ends early. hyper then closes the caller's
/// connection before the end of the body.
pub type RelayError = std::io::Error;

/// The body of a response to a caller.
pub type CallerBody = UnsyncBoxBody<Bytes, RelayError>;

/// Builds a body of bytes that are already in memory.
pub fn full_body(bytes: Bytes) -> CallerBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Buffered bytes of an event that do not count in the byte budget: as many as a
/// connection reads at once, so that usual events stay whole when the budget is
/// exhausted.
const UNCOUNTED_PENDING_BYTES: usize = 16 * 1024;

/// The media type of event streams.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// A response whose events are being relayed.
struct OpenResponse {
    body: Incoming,
    connection: PooledConnection,
    guard: SendGuard,
    keep_alive: Option<Duration>,
    /// The events that came in this response.
    events: usize,
}

/// Relays one event stream to its caller, from one backend server after another.
pub struct EventRelay {
    context: Arc<GatewayContext>,
    call: AdmittedCall,
    retry_state: RetryState,
    response: Option<OpenResponse>,
    /// The framing of the last response.
    framing: ResponseFraming,
    splitter: EventSplitter,
    late_bytes: LateBytes,
    /// The bytes that the splitter buffers.
    reservation: ByteReservation,
    /// The version of the last server that responded, if it is known.
    version: Option<ServerVersion>,
    /// The id of the last event that was passed on.
    last_event: Option<u64>,
    events: usize,
    first_event_delay: Option<Duration>,
    stall_detector: StallDetector,
    pauses: EventPauses,
    /// Whether the retry that resumes the stream was already taken out of the
    /// budget.
    has_resume_budget: bool,
    /// Whether the first event waited until the store has the stream, which is noted then.
    has_waited: bool,
    is_finished: bool,
    _call_guard: CallGuard,
}

impl EventRelay {
    /// Waits for the first bytes of the stream, and builds the response to the caller from
    /// the first response head.
    ///
    /// # Errors
    ///
    /// The stream broke off before its first bytes. The request may have run.
    pub async fn start(
        context: Arc<GatewayContext>,
        call: AdmittedCall,
        retry_state: RetryState,
        backend_response: BackendResponse,
    ) -> Result<Response<CallerBody>, CallRefusal> {
        let mut call = call;
        if !call.route.may_repeat() {
            call.release_body();
        }
        let mut response = Response::new(());
        *response.status_mut() = backend_response.exchange.response.status();
        let headers = backend_response.exchange.response.headers().clone();
        *response.headers_mut() = strip_hop_headers(headers);
        let now = Instant::now();
        let relay = Self {
            stall_detector: StallDetector::new(now, &call.route),
            pauses: EventPauses::new(),
            has_resume_budget: false,
            _call_guard: context.track_call(),
            version: backend_response.guard.version().cloned(),
            last_event: call.head.last_event,
            reservation: ByteReservation::new(&context.byte_budget),
            context,
            call,
            retry_state,
            framing: ResponseFraming::of(&backend_response.exchange.response),
            response: Some(open_response(backend_response)),
            splitter: EventSplitter::new(),
            late_bytes: LateBytes::default(),
            events: 0,
            first_event_delay: None,
            has_waited: false,
            is_finished: false,
        };
        match relay.next_frame().await {
            Some((Ok(first), relay)) => {
                let rest = stream::unfold(relay, Self::next_frame);
                let frames = stream::iter([Ok(first)]).chain(rest);
                Ok(response.map(|()| StreamBody::new(frames).boxed_unsync()))
            }
            Some((Err(_), relay)) => Err(relay.break_refusal()),
            None => Ok(response.map(|()| full_body(Bytes::new()))),
        }
    }

    /// Returns the refusal of a request whose stream broke off before its first bytes.
    fn break_refusal(&self) -> CallRefusal {
        if self.call.time_left() <= MIN_TIME_LEFT {
            CallRefusal::TimedOut
        } else {
            CallRefusal::Lost
        }
    }

    async fn next_frame(mut self) -> Option<(Result<Frame<Bytes>, RelayError>, Self)> {
        loop {
            if self.is_finished {
                return None;
            }
            let Some(response) = self.response.as_mut() else {
                if let Err(code) = self.resume().await {
                    return Some(self.interrupt(code));
                }
                continue;
            };
            let frame = frame_or_stall(&mut response.body, self.stall_detector.stalled_at());
            let restart_token = response.guard.restart_token.clone();
            let frame = tokio::select! {
                biased;
                frame = self.context.clock.timeout_at(self.call.deadline, frame) => frame,
                () = restart_token.cancelled() => {
                    self.drop_response(SERVER_RESTARTED);
                    continue;
                }
            };
            match frame {
                Ok(Err(Stalled)) => self.handle_stall(),
                Err(TimeOver) => return Some(self.interrupt("timed_out")),
                Ok(Ok(Some(Ok(frame)))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.stall_detector.note_bytes(Instant::now());
                    response.guard.note_bytes();
                    if self.late_bytes.is_exceeded_by(&self.call, data.len()) {
                        return Some(self.interrupt("timed_out"));
                    }
                    let batch = self.split(&data);
                    if !batch.bytes.is_empty() {
                        if let Err(code) = self.wait_for_store(&batch).await {
                            return Some(self.interrupt(code));
                        }
                        self.record_events(&batch);
                        return Some((Ok(Frame::data(batch.bytes)), self));
                    }
                }
                Ok(Ok(Some(Err(_)))) => {
                    if let Some(helper) = response.connection.helper() {
                        note_helper_lost(&self.context, helper);
                    }
                    self.drop_response(RESPONSE_INTERRUPTED);
                }
                Ok(Ok(None)) if self.ends_early() => {
                    let framing = self.framing.label();
                    counter!("cloverbend_streams_ended_early_total", "framing" => framing)
                        .increment(1);
                    self.drop_response(RESPONSE_INTERRUPTED);
                }
                Ok(Ok(None)) => return self.complete(),
            }
        }
    }

    /// Appends bytes and returns the complete events, or the beginning of an event
    /// that the byte budget has no room to buffer.
    fn split(&mut self, data: &[u8]) -> EventBatch {
        let mut batch = self.splitter.push(data);
        let pending = self.splitter.pending_len();
        let counted_bytes = if pending > UNCOUNTED_PENDING_BYTES {
            pending
        } else {
            0
        };
        let fits = self.reservation.resize(counted_bytes).is_ok();
        if !fits && batch.bytes.is_empty() {
            batch.bytes = self.splitter.flush_partial();
            // Releasing bytes always succeeds.
            let _ = self.reservation.resize(0);
        }
        batch
    }

    /// Returns whether the stream may resume at another backend server. It may not
    /// within an event: the caller would join parts of two events.
    fn may_resume(&self) -> bool {
        !self.splitter.is_inside_event() && self.retry_state.may_retry(&self.call)
    }

    /// Returns whether the end of the response is no end of the stream: it lies inside an
    /// event, or the connection ended before any event of this response. What the caller has
    /// of the stream does not count: a server that crashes ends its connection the same way
    /// as one that has no further event.
    fn ends_early(&self) -> bool {
        let is_empty = self.response.as_ref().is_some_and(|one| one.events == 0);
        let is_cut_before_event = is_empty && self.framing == ResponseFraming::Close;
        is_cut_before_event || self.splitter.has_unfinished_event()
    }

    fn may_log(&self, class: LineClass) -> bool {
        self.context.may_log(&self.call.head.id.0, class)
    }

    /// Has the first event of a stream wait until the store has the stream, if it has to.
    async fn wait_for_store(&mut self, batch: &EventBatch) -> Result<(), &'static str> {
        let is_first = batch.count > 0 && self.events == 0;
        if !is_first || !has_to_wait(&self.context, &self.call, self.version.as_ref()) {
            return Ok(());
        }
        self.has_waited = true;
        // Others know the stream as one of this version from now on.
        self.retry_state.binding = VersionBinding::Bound(self.version.clone());
        let waited = wait_until_stored(&self.context, &self.call, self.version.as_ref()).await;
        // The wait is no pause of the server.
        self.stall_detector.note_bytes(Instant::now());
        waited.map_err(|error| match error {
            WaitError::TimedOut => "timed_out",
            WaitError::NotWritten => "not_written",
        })
    }

    fn record_events(&mut self, batch: &EventBatch) {
        if self.first_event_delay.is_none() {
            count_usage(&self.context, self.call.account_name());
            let delay = self.call.elapsed();
            self.first_event_delay = Some(delay);
            histogram!("cloverbend_first_event_seconds").record(delay.as_secs_f64());
        }
        let event_time = self.pauses.note_event(Instant::now());
        if let Some(response) = self.response.as_mut() {
            response.events += batch.count;
            response.guard.note_first_event();
            if let Some(event_time) = event_time {
                response.guard.note_event_time(event_time);
            }
        }
        if batch.count > 0 && self.events == 0 {
            self.retry_state.binding = VersionBinding::Bound(self.version.clone());
            if !self.has_waited {
                note_stream(&self.context, &self.call, self.version.as_ref());
            }
        }
        self.events += batch.count;
        self.last_event = batch.last_id.or(self.last_event);
    }

    /// Counts and logs a stream that paused for longer than its route allows.
    fn record_longest_pause(&self, backend: &BackendId) {
        let longest = self.pauses.longest();
        histogram!("cloverbend_longest_pause_seconds").record(longest.as_secs_f64());
        if longest <= self.call.route.target_pause {
            return;
        }
        counter!("cloverbend_late_pauses_total").increment(1);
        if self.may_log(LineClass::Failure) {
            let backends = self.context.backends.lock();
            let state = backends.get(backend);
            let pace = state.map(|state| state.pace().to_string());
            let unread_tokens = state.map(|state| state.pending_tokens + state.peer_pending_tokens);
            drop(backends);
            info!(self.context.log, "stream paused for too long"; "request" => %self.call.head.id,
                "route" => &self.call.route.name, "backend" => %backend,
                "longest_pause_ms" => longest.as_millis() as u64,
                "target_pause_ms" => self.call.route.target_pause.as_millis() as u64,
                "pace" => pace, "unread_tokens" => unread_tokens);
        }
    }

    /// Drops a stalled response if the stream may resume at another backend
    /// server. Otherwise keeps waiting: the stalled response may still continue.
    fn handle_stall(&mut self) {
        let can_resume = self.may_resume()
            && has_other_backend(&self.context, &self.call, &self.retry_state)
            && take_retry_budget(&self.context, &self.call);
        if can_resume {
            self.drop_response("silent");
            self.has_resume_budget = true;
        } else {
            self.stall_detector.disarm();
        }
    }

    fn drop_response(&mut self, outcome: &str) {
        let Some(response) = self.response.take() else {
            return;
        };
        let backend = response.guard.backend();
        response.guard.note_broken();
        response.guard.note_interrupted(outcome);
        let ran = response.guard.run_time();
        self.retry_state.note_interrupted(ran);
        log_send_failed(&self.context, &self.call, backend, outcome);
        // The next backend server sends the unfinished event again.
        self.splitter.take_pending();
        // Releasing bytes always succeeds.
        let _ = self.reservation.resize(0);
    }

    /// Has another backend server go on with the stream. Otherwise returns why none does.
    async fn resume(&mut self) -> Result<(), &'static str> {
        let has_budget = std::mem::take(&mut self.has_resume_budget);
        let is_allowed =
            has_budget || (self.may_resume() && take_retry_budget(&self.context, &self.call));
        if !is_allowed {
            return Err(RESPONSE_INTERRUPTED);
        }
        let result = send_until_response(
            &self.context,
            &self.call,
            &mut self.retry_state,
            self.last_event,
        )
        .await;
        match result {
            Ok(backend_response) if is_event_stream(&backend_response.exchange.response) => {
                if self.may_log(LineClass::Failure) {
                    info!(self.context.log, "stream resumed"; "request" => %self.call.head.id,
                        "backend" => %backend_response.guard.backend(), "after_event" => self.last_event,
                        "service" => %self.call.service,
                        "version" => backend_response.guard.version().map(ServerVersion::as_str),
                        "began_version" => self.version.as_ref().map(ServerVersion::as_str));
                }
                counter!("cloverbend_streams_resumed_total").increment(1);
                self.framing = ResponseFraming::of(&backend_response.exchange.response);
                self.version = backend_response.guard.version().cloned();
                self.response = Some(open_response(backend_response));
                self.stall_detector.note_resumed(Instant::now());
                self.pauses.note_resumed();
                Ok(())
            }
            Ok(_) => Err("resume_refused"),
            Err(refusal) => Err(refusal.code()),
        }
    }

    fn interrupt(mut self, code: &str) -> (Result<Frame<Bytes>, RelayError>, Self) {
        counter!("cloverbend_streams_broken_total").increment(1);
        if self.may_log(LineClass::Failure) {
            info!(self.context.log, "stream broken off"; "request" => %self.call.head.id,
                "reason" => code, "events" => self.events, "framing" => %self.framing,
                "after_ms" => self.call.elapsed().as_millis() as u64);
        }
        self.is_finished = true;
        self.response = None;
        let error = std::io::Error::other(format!("the stream was interrupted: {code}"));
        (Err(error), self)
    }

    fn complete(mut self) -> Option<(Result<Frame<Bytes>, RelayError>, Self)> {
        self.is_finished = true;
        note_stream_completed(&self.context, &self.call);
        let response = self.response.take()?;
        let OpenResponse {
            connection,
            guard,
            keep_alive,
            ..
        } = response;
        self.context
            .pool
            .return_connection(guard.backend(), connection, keep_alive);
        guard.note_completed();
        counter!("cloverbend_calls_answered_total").increment(1);
        self.record_longest_pause(guard.backend());
        if self.may_log(LineClass::Step) {
            info!(self.context.log, "request answered"; "request" => %self.call.head.id,
                "backend" => %guard.backend(), "events" => self.events,
                "framing" => %self.framing,
                "longest_pause_ms" => self.pauses.longest().as_millis() as u64,
                "first_event_ms" => self.first_event_delay.map(|delay| delay.as_millis() as u64),
                "after_ms" => self.call.elapsed().as_millis() as u64);
        }
        // Line ends and comments after the last event.
        let pending = self.splitter.take_pending();
        (!pending.is_empty()).then(|| (Ok(Frame::data(pending)), self))
    }
}

impl Drop for EventRelay {
    fn drop(&mut self) {
        if !self.is_finished && self.may_log(LineClass::Failure) {
            info!(self.context.log, "caller left"; "request" => %self.call.head.id,
                "events" => self.events,
                "after_ms" => self.call.elapsed().as_millis() as u64);
        }
    }
}

/// Returns whether a response succeeded and has events. A response without a content type
/// has what its route says.
pub fn is_event_stream<B>(response: &Response<B>) -> bool {
    let content_type = response.headers().get(header::CONTENT_TYPE);
    let is_events = |value: &HeaderValue| {
        let media_type = value.as_bytes().split(|byte| *byte == b';').next();
        media_type.is_some_and(|text| text.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM))
    };
    response.status().is_success() && content_type.is_none_or(is_events)
}

/// No bytes arrived until the stream counted as stalled.
struct Stalled;

/// Waits for the next frame until the stream counts as stalled.
async fn frame_or_stall(
    body: &mut Incoming,
    stalled_at: Option<Instant>,
) -> Result<Option<Result<Frame<Bytes>, hyper::Error>>, Stalled> {
    match stalled_at {
        None => Ok(body.frame().await),
        Some(at) => timeout_at(at, body.frame()).await.map_err(|_| Stalled),
    }
}

fn open_response(backend_response: BackendResponse) -> OpenResponse {
    OpenResponse {
        body: backend_response.exchange.response.into_body(),
        connection: backend_response.exchange.connection,
        guard: backend_response.guard,
        keep_alive: backend_response.head.keep_alive,
        events: 0,
    }
}
