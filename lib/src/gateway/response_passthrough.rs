//! Passes an answer on as it comes that cannot be held whole.
//!
//! It has begun at the caller, so it cannot be had elsewhere any more. Where
//! it breaks off, the caller's connection closes without an end of the body.

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

use crate::gateway::backend_record::BackendOutcome;
use crate::gateway::call_admission::AdmittedCall;
use crate::gateway::call_admission::onward_headers;
use crate::gateway::call_dispatch::SentCall;
use crate::gateway::call_log::log_end;
use crate::gateway::call_log::log_send;
use crate::gateway::call_log::note_outcome;
use crate::gateway::event_relay::CallBody;
use crate::gateway::event_relay::RelayError;
use crate::gateway::gateway_context::CallGuard;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::log_budget::LineClass;
use crate::gateway::response_body::BegunBody;
use crate::gateway::send_guard::RESPONSE_INTERRUPTED;
use crate::gateway::send_guard::SERVER_RESTARTED;

/// Passes one answer on.
pub struct AnswerPassage {
    context: Arc<GatewayContext>,
    call: AdmittedCall,
    status: StatusCode,
    /// What was read before the passage began, in order.
    read: std::array::IntoIter<Bytes, 2>,
    sent: Option<SentCall>,
    _open: CallGuard,
}

type PassedFrame = (Result<Frame<Bytes>, RelayError>, AnswerPassage);

impl AnswerPassage {
    /// Builds the answer to the caller.
    pub fn start(
        context: Arc<GatewayContext>,
        call: AdmittedCall,
        sent: SentCall,
        begun: BegunBody,
    ) -> Response<CallBody> {
        let mut call = call;
        call.let_go_of_body();
        let cause = begun.cause.word();
        counter!("cloverbend_answers_not_held_total", "cause" => cause).increment(1);
        let head = &sent.exchange.response;
        let status = head.status();
        let mut headers = onward_headers(head.headers().clone());
        // A length that was told shows where the answer ends.
        if let Some(length) = begun.length {
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
        }
        let passage = Self {
            _open: context.open_call(),
            context,
            call,
            status,
            read: begun.read.into_iter(),
            sent: Some(sent),
        };
        let frames = stream::unfold(passage, Self::next_frame);
        let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    async fn next_frame(mut self) -> Option<PassedFrame> {
        if let Some(bytes) = self.read.find(|bytes| !bytes.is_empty()) {
            return Some(self.pass(bytes));
        }
        loop {
            let sent = self.sent.as_mut()?;
            let life_end = sent.guard.restart_token.clone();
            let body = sent.exchange.response.body_mut();
            let frame = tokio::select! {
                biased;
                frame = self.context.clock.timeout_at(self.call.until, body.frame()) => frame,
                () = life_end.cancelled() => {
                    let sent = self.sent.take()?;
                    sent.guard.note_interrupted(SERVER_RESTARTED);
                    return Some(self.break_off(&sent, SERVER_RESTARTED));
                }
            };
            match frame {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Some(self.pass(data));
                    }
                }
                Ok(Some(Err(_))) => {
                    let sent = self.sent.take()?;
                    let backend = sent.guard.backend();
                    note_outcome(&self.context, backend, BackendOutcome::Broken);
                    sent.guard.note_interrupted(RESPONSE_INTERRUPTED);
                    return Some(self.break_off(&sent, RESPONSE_INTERRUPTED));
                }
                Err(_) => {
                    let sent = self.sent.take()?;
                    return Some(self.break_off(&sent, "timed_out"));
                }
                Ok(None) => {
                    self.finish();
                    return None;
                }
            }
        }
    }

    /// Passes bytes on. After the last ones of a length that was told, hyper
    /// asks for nothing more.
    fn pass(mut self, bytes: Bytes) -> PassedFrame {
        let all_read = self.read.as_slice().iter().all(Bytes::is_empty);
        let sent = self.sent.as_ref();
        let ended = sent.is_some_and(|sent| sent.exchange.response.body().is_end_stream());
        if all_read && ended {
            self.finish();
        }
        (Ok(Frame::data(bytes)), self)
    }

    fn break_off(self, sent: &SentCall, word: &str) -> PassedFrame {
        log_send(&self.context, &self.call, sent.guard.backend(), word);
        let error = std::io::Error::other(format!("the answer broke off: {word}"));
        (Err(error), self)
    }

    fn finish(&mut self) {
        let Some(sent) = self.sent.take() else {
            return;
        };
        sent.guard.note_completed();
        let backend = sent.guard.backend();
        let connection = sent.exchange.connection;
        self.context
            .pool
            .return_connection(backend, connection, sent.answer.keep_alive);
        let took = self.call.taken();
        histogram!("cloverbend_answer_seconds").record(took.as_secs_f64());
        log_end(&self.context, &self.call, backend, self.status);
    }
}

impl Drop for AnswerPassage {
    fn drop(&mut self) {
        let left = self.sent.is_some();
        if left
            && self
                .context
                .may_log(&self.call.head.id.0, LineClass::Failure)
        {
            info!(self.context.log, "caller left"; "request" => %self.call.head.id,
                "after_ms" => self.call.taken().as_millis() as u64);
        }
    }
}
