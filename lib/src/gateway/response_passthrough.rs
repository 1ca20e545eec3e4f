//! Passes a response through to the caller if it cannot be buffered.
//!
//! The caller has received the beginning, so the request cannot be retried. If
//! the response is interrupted, the connection to the caller is closed before the
//! end of the body.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Body;
use hyper::body::Frame;
use metrics::counter;
use metrics::histogram;
use slog::info;

use crate::gateway::call_admission::AdmittedCall;
use crate::gateway::call_admission::strip_hop_headers;
use crate::gateway::call_dispatch::BackendResponse;
use crate::gateway::call_log::log_request_answered;
use crate::gateway::call_log::log_send_failed;
use crate::gateway::event_relay::CallerBody;
use crate::gateway::event_relay::RelayError;
use crate::gateway::gateway_context::CallGuard;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::late_bytes::LateBytes;
use crate::gateway::log_budget::LineClass;
use crate::gateway::response_body::PartialBody;
use crate::gateway::send_guard::RESPONSE_INTERRUPTED;
use crate::gateway::send_guard::SERVER_RESTARTED;

/// The body of a response that is passed through.
pub struct ResponsePassthrough {
    context: Arc<GatewayContext>,
    call: AdmittedCall,
    status: StatusCode,
    /// The bytes that were read before the passthrough began, in order.
    chunks: std::array::IntoIter<Bytes, 2>,
    backend_response: Option<BackendResponse>,
    late_bytes: LateBytes,
    _call_guard: CallGuard,
}

type PassthroughFrame = (Result<Frame<Bytes>, RelayError>, ResponsePassthrough);

impl ResponsePassthrough {
    /// Builds the response to the caller.
    pub fn start(
        context: Arc<GatewayContext>,
        call: AdmittedCall,
        backend_response: BackendResponse,
        partial: PartialBody,
    ) -> Response<CallerBody> {
        let mut call = call;
        call.release_body();
        let cause = partial.cause.label();
        counter!("cloverbend_answers_not_held_total", "cause" => cause).increment(1);
        let received = &backend_response.exchange.response;
        let status = received.status();
        let mut headers = strip_hop_headers(received.headers().clone());
        // With the length, the caller can detect an interrupted body.
        if let Some(length) = partial.length {
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
        }
        let passthrough = Self {
            _call_guard: context.track_call(),
            context,
            call,
            status,
            chunks: partial.chunks.into_iter(),
            backend_response: Some(backend_response),
            late_bytes: LateBytes::default(),
        };
        let frames = stream::unfold(passthrough, Self::next_frame);
        let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    async fn next_frame(mut self) -> Option<PassthroughFrame> {
        if let Some(bytes) = self.chunks.find(|bytes| !bytes.is_empty()) {
            return Some(self.forward(bytes));
        }
        loop {
            let backend_response = self.backend_response.as_mut()?;
            let restart_token = backend_response.guard.restart_token.clone();
            let body = backend_response.exchange.response.body_mut();
            let frame = tokio::select! {
                biased;
                frame = self.context.clock.timeout_at(self.call.deadline, body.frame()) => frame,
                () = restart_token.cancelled() => {
                    let backend_response = self.backend_response.take()?;
                    backend_response.guard.note_interrupted(SERVER_RESTARTED);
                    return Some(self.interrupt(&backend_response, SERVER_RESTARTED));
                }
            };
            match frame {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        if self.late_bytes.is_exceeded_by(&self.call, data.len()) {
                            let backend_response = self.backend_response.take()?;
                            return Some(self.interrupt(&backend_response, "timed_out"));
                        }
                        return Some(self.forward(data));
                    }
                }
                Ok(Some(Err(_))) => {
                    let backend_response = self.backend_response.take()?;
                    backend_response.guard.note_broken();
                    backend_response
                        .guard
                        .note_interrupted(RESPONSE_INTERRUPTED);
                    return Some(self.interrupt(&backend_response, RESPONSE_INTERRUPTED));
                }
                Err(_) => {
                    let backend_response = self.backend_response.take()?;
                    return Some(self.interrupt(&backend_response, "timed_out"));
                }
                Ok(None) => {
                    self.complete();
                    return None;
                }
            }
        }
    }

    /// Passes bytes on. If the length is known, hyper does not poll again after
    /// the last bytes, so this also completes the response.
    fn forward(mut self, bytes: Bytes) -> PassthroughFrame {
        let all_forwarded = self.chunks.as_slice().iter().all(Bytes::is_empty);
        let backend_response = self.backend_response.as_ref();
        let is_complete = backend_response.is_some_and(|backend_response| {
            backend_response.exchange.response.body().is_end_stream()
        });
        if all_forwarded && is_complete {
            self.complete();
        }
        (Ok(Frame::data(bytes)), self)
    }

    fn interrupt(self, backend_response: &BackendResponse, outcome: &str) -> PassthroughFrame {
        log_send_failed(
            &self.context,
            &self.call,
            backend_response.guard.backend(),
            outcome,
        );
        let error = std::io::Error::other(format!("the response was interrupted: {outcome}"));
        (Err(error), self)
    }

    fn complete(&mut self) {
        let Some(backend_response) = self.backend_response.take() else {
            return;
        };
        backend_response.guard.note_completed();
        let backend = backend_response.guard.backend();
        let connection = backend_response.exchange.connection;
        self.context
            .pool
            .return_connection(backend, connection, backend_response.head.keep_alive);
        let elapsed = self.call.elapsed();
        histogram!("cloverbend_answer_seconds").record(elapsed.as_secs_f64());
        log_request_answered(&self.context, &self.call, backend, self.status);
    }
}

impl Drop for ResponsePassthrough {
    fn drop(&mut self) {
        let caller_left = self.backend_response.is_some();
        if caller_left
            && self
                .context
                .may_log(&self.call.head.id.0, LineClass::Failure)
        {
            info!(self.context.log, "caller left"; "request" => %self.call.head.id,
                "after_ms" => self.call.elapsed().as_millis() as u64);
        }
    }
}
