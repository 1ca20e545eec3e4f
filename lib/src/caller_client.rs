//! A caller's side: asks which entries to use, sends requests, continues cut
//! streams at another entry, and retries calls with their ticket.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::Event;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::AUTHORIZATION;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

use crate::call_api::CALL_PREFIX;
use crate::caller::DEADLINE_HEADER;
use crate::caller::LAST_EVENT_ID;
use crate::chat_api::TRACE_ID_HEADER;
use crate::engine_client::DONE;
use crate::http_client::HttpClient;
use crate::http_client::HttpError;
use crate::http_client::build_request;
use crate::http_client::read_body;
use crate::id::ServiceName;
use crate::plain_runner::IDEMPOTENCY_KEY;
use crate::query_api::EntriesAnswer;
use crate::refusal::RanReport;
use crate::refusal::Refusal;
use crate::refusal::RefusalBody;
use crate::trace::TRACEPARENT;

/// The most times that one request is tried.
const MAX_TRIES: u32 = 40;
/// The shortest and longest pause before another try.
const MIN_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// How long a query of an entry may take.
const QUERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a request had no answer.
#[derive(Clone, Debug)]
pub enum CallerError {
    /// No entry could be reached.
    NoEntry(String),
    /// An entry refused.
    Refused(Refusal),
    /// The outcome stayed unknown.
    Unknown(String),
    /// An answer has an unexpected form.
    BadAnswer(String),
}

impl fmt::Display for CallerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoEntry(cause) => write!(f, "no entry could be reached: {cause}"),
            Self::Refused(refusal) => write!(f, "refused: {refusal}"),
            Self::Unknown(cause) => write!(f, "the outcome is not known: {cause}"),
            Self::BadAnswer(cause) => write!(f, "bad answer: {cause}"),
        }
    }
}

impl std::error::Error for CallerError {}

/// A whole answer to a chat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChatOutcome {
    /// The text.
    pub text: String,
    /// The number of chunks.
    pub chunks: u64,
    /// How often the stream was continued at another entry.
    pub resumed: u32,
    /// The trace, if the entry named it.
    pub trace: Option<String>,
}

/// An answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallOutcome {
    /// The HTTP status of the backend server.
    pub status: u16,
    /// The body.
    pub body: Bytes,
    /// The ticket of the call.
    pub ticket: String,
    /// How often the call was sent.
    pub tries: u32,
    /// The trace, if the entry named it.
    pub trace: Option<String>,
}

/// What a caller asks of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCall {
    /// The service.
    pub service: ServiceName,
    /// The path below the service, which starts with a slash.
    pub path: String,
    /// The body, as JSON.
    pub body: String,
    /// How long to wait.
    pub deadline: Option<Duration>,
}

#[derive(Debug, Deserialize)]
struct StreamDelta {
    content: Option<String>,
}

#[derive(Debug, Deserialize)]
struct StreamChoice {
    delta: StreamDelta,
}

#[derive(Debug, Deserialize)]
struct StreamBody {
    choices: Vec<StreamChoice>,
}

/// How one connection of a stream ended.
enum StreamEnd {
    Done,
    Cut(String),
    Refused(Refusal),
}

struct StreamState {
    outcome: ChatOutcome,
    last_event: Option<String>,
}

/// A caller with a key.
#[derive(Clone, Debug)]
pub struct CallerClient {
    http: HttpClient,
    entries: Vec<SocketAddr>,
    key: String,
    next: usize,
    traceparent: Option<String>,
}

impl CallerClient {
    /// Returns a caller that knows some entries.
    pub fn new(http: HttpClient, entries: Vec<SocketAddr>, key: impl Into<String>) -> Self {
        Self {
            http,
            entries,
            key: key.into(),
            next: 0,
            traceparent: None,
        }
    }

    /// Sets the trace that requests belong to.
    pub fn set_traceparent(&mut self, traceparent: String) {
        self.traceparent = Some(traceparent);
    }

    /// Returns the entries known.
    pub fn known_entries(&self) -> &[SocketAddr] {
        &self.entries
    }

    fn address(&self) -> SocketAddr {
        self.entries[self.next % self.entries.len()]
    }

    fn turn(&mut self) {
        self.next += 1;
    }

    /// Asks which entries to use, and for tickets. The answer replaces the
    /// entries known, behind which the ones given at first are kept.
    ///
    /// # Errors
    ///
    /// No entry that could be reached, or a wrong key.
    pub async fn entries(&mut self, tickets: u32) -> Result<EntriesAnswer, CallerError> {
        let mut cause = "no entry is known".to_owned();
        for _ in 0..self.entries.len() {
            let url = format!("http://{}/v1/entries?tickets={tickets}", self.address());
            let builder = Request::get(url).header(AUTHORIZATION, self.bearer());
            let request = build_request(builder, Bytes::new()).map_err(bad_answer)?;
            match self
                .http
                .fetch_json::<EntriesAnswer>(request, QUERY_TIMEOUT)
                .await
            {
                Ok(answer) => {
                    self.learn(&answer);
                    return Ok(answer);
                }
                Err(error) => cause = error.to_string(),
            }
            self.turn();
        }
        Err(CallerError::NoEntry(cause))
    }

    fn learn(&mut self, answer: &EntriesAnswer) {
        let mut entries: Vec<SocketAddr> = answer.entries.iter().map(|e| e.address).collect();
        for old in &self.entries {
            if !entries.contains(old) {
                entries.push(*old);
            }
        }
        if !entries.is_empty() {
            self.entries = entries;
            self.next = 0;
        }
    }

    fn bearer(&self) -> String {
        format!("Bearer {}", self.key)
    }

    fn builder(&self, method: &str, path: &str) -> http::request::Builder {
        let builder = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address()))
            .header(AUTHORIZATION, self.bearer())
            .header(CONTENT_TYPE, "application/json");
        match &self.traceparent {
            Some(traceparent) => builder.header(TRACEPARENT, traceparent),
            None => builder,
        }
    }

    /// Streams a chat to its end and hands each piece of text to `on_text`.
    ///
    /// # Errors
    ///
    /// A refusal, or a stream that could not be continued anywhere.
    pub async fn chat(
        &mut self,
        body: String,
        deadline: Option<Duration>,
        mut on_text: impl FnMut(&str),
    ) -> Result<ChatOutcome, CallerError> {
        let mut state = StreamState {
            outcome: ChatOutcome::default(),
            last_event: None,
        };
        let mut last = CallerError::NoEntry("no entry is known".to_owned());
        for attempt in 0..MAX_TRIES {
            if attempt > 0 {
                self.turn();
            }
            let end = self
                .stream_once(&body, deadline, &mut state, &mut on_text)
                .await;
            match end {
                StreamEnd::Done => return Ok(state.outcome),
                StreamEnd::Cut(cause) => {
                    last = CallerError::Unknown(cause);
                    tokio::time::sleep(MIN_PAUSE).await;
                }
                StreamEnd::Refused(refusal) => {
                    let again = refusal.retry_after_ms.is_some() || !refusal.entries.is_empty();
                    let started = state.last_event.is_some();
                    let pause = pause_of(&refusal);
                    last = CallerError::Refused(refusal);
                    if !again && !started {
                        return Err(last);
                    }
                    tokio::time::sleep(pause).await;
                }
            }
            if state.last_event.is_some() {
                state.outcome.resumed += 1;
            }
        }
        Err(last)
    }

    async fn stream_once(
        &self,
        body: &str,
        deadline: Option<Duration>,
        state: &mut StreamState,
        on_text: &mut impl FnMut(&str),
    ) -> StreamEnd {
        let mut builder = match &state.last_event {
            Some(event) => {
                let name = event.split(':').next().unwrap_or_default();
                self.builder("GET", &format!("/v1/streams/{name}"))
                    .header(LAST_EVENT_ID, event)
            }
            None => self.builder("POST", "/v1/chat/completions"),
        };
        if let Some(deadline) = deadline {
            builder = builder.header(DEADLINE_HEADER, deadline.as_millis().to_string());
        }
        let content = if state.last_event.is_some() { "" } else { body };
        let request = match build_request(builder, content.to_owned().into()) {
            Ok(request) => request,
            Err(error) => return StreamEnd::Cut(error.to_string()),
        };
        let response = match self.http.send(request).await {
            Ok(response) => response,
            Err(error) => return StreamEnd::Cut(error.to_string()),
        };
        if response.status() != StatusCode::OK {
            return match read_refusal(response).await {
                Ok(refusal) => StreamEnd::Refused(refusal),
                Err(error) => StreamEnd::Cut(error.to_string()),
            };
        }
        state.outcome.trace = header_text(&response, TRACE_ID_HEADER);
        read_events(response, state, on_text).await
    }

    /// Makes a call that runs at most once: fetches a ticket, sends the call,
    /// and on a lost answer asks again with the same ticket.
    ///
    /// # Errors
    ///
    /// A refusal, or an outcome that stays unknown.
    pub async fn call(&mut self, call: &ServiceCall) -> Result<CallOutcome, CallerError> {
        let mut ticket = self.fetch_ticket().await?;
        let mut last = CallerError::Unknown("not sent".to_owned());
        for tries in 1..=MAX_TRIES {
            let sent = self.call_once(call, &ticket, tries).await;
            match sent {
                Ok(outcome) => return Ok(outcome),
                Err(CallerError::Refused(refusal)) => {
                    let fresh = refusal.ticket.clone();
                    let may_try = refusal.retry_after_ms.is_some()
                        || fresh.is_some()
                        || !refusal.entries.is_empty();
                    let did_not_run = refusal.ran == RanReport::No;
                    let pause = pause_of(&refusal);
                    last = CallerError::Refused(refusal);
                    if !may_try {
                        return Err(last);
                    }
                    // A call that did not run may be sent as a new one.
                    if let Some(fresh) = fresh.filter(|_| did_not_run) {
                        ticket = fresh;
                    } else if did_not_run {
                        self.turn();
                        ticket = self.fetch_ticket().await?;
                    }
                    tokio::time::sleep(pause).await;
                }
                Err(error) => {
                    last = error;
                    self.turn();
                    tokio::time::sleep(MIN_PAUSE).await;
                }
            }
        }
        Err(last)
    }

    async fn fetch_ticket(&mut self) -> Result<String, CallerError> {
        let answer = self.entries(1).await?;
        let ticket = answer.tickets.into_iter().next();
        ticket.ok_or_else(|| CallerError::BadAnswer("no ticket was given".to_owned()))
    }

    /// Sends a call once.
    ///
    /// # Errors
    ///
    /// A refusal, a broken connection, a bad answer.
    pub async fn call_once(
        &self,
        call: &ServiceCall,
        ticket: &str,
        tries: u32,
    ) -> Result<CallOutcome, CallerError> {
        let path = format!("{CALL_PREFIX}{}{}", call.service, call.path);
        let mut builder = self.builder("POST", &path).header(IDEMPOTENCY_KEY, ticket);
        if let Some(deadline) = call.deadline {
            builder = builder.header(DEADLINE_HEADER, deadline.as_millis().to_string());
        }
        let request = build_request(builder, call.body.clone().into()).map_err(bad_answer)?;
        let response = self.http.send(request).await.map_err(unknown)?;
        let status = response.status();
        let trace = header_text(&response, TRACE_ID_HEADER);
        // Answers of backend servers name their trace; refusals do not.
        if trace.is_none() && !status.is_success() {
            let refusal = read_refusal(response).await.map_err(unknown)?;
            return Err(CallerError::Refused(refusal));
        }
        let body = read_body(response.into_body()).await.map_err(unknown)?;
        Ok(CallOutcome {
            status: status.as_u16(),
            body,
            ticket: ticket.to_owned(),
            tries,
            trace,
        })
    }
}

fn header_text(response: &Response<Incoming>, name: &str) -> Option<String> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

fn bad_answer(error: HttpError) -> CallerError {
    CallerError::BadAnswer(error.to_string())
}

fn unknown(error: HttpError) -> CallerError {
    CallerError::Unknown(error.to_string())
}

fn pause_of(refusal: &Refusal) -> Duration {
    let asked = refusal.retry_after_ms.map(Duration::from_millis);
    asked.unwrap_or(MIN_PAUSE).clamp(MIN_PAUSE, MAX_PAUSE)
}

async fn read_refusal(response: Response<Incoming>) -> Result<Refusal, HttpError> {
    let status = response.status().as_u16();
    let body = read_body(response.into_body()).await?;
    serde_json::from_slice::<RefusalBody>(&body)
        .map(|body| body.error)
        .map_err(|_| HttpError::Status(status, String::from_utf8_lossy(&body).into_owned()))
}

async fn read_events(
    response: Response<Incoming>,
    state: &mut StreamState,
    on_text: &mut impl FnMut(&str),
) -> StreamEnd {
    let events = response.into_body().into_data_stream().eventsource();
    let mut events = std::pin::pin!(events);
    while let Some(event) = events.next().await {
        let event = match event {
            Ok(event) => event,
            Err(error) => return StreamEnd::Cut(error.to_string()),
        };
        if event.data == DONE {
            return StreamEnd::Done;
        }
        if event.event == "error" {
            return match serde_json::from_str::<RefusalBody>(&event.data) {
                Ok(body) => StreamEnd::Refused(body.error),
                Err(error) => StreamEnd::Cut(error.to_string()),
            };
        }
        take_in_event(event, state, on_text);
    }
    StreamEnd::Cut("the stream ended without its end marker".to_owned())
}

fn take_in_event(event: Event, state: &mut StreamState, on_text: &mut impl FnMut(&str)) {
    // The library repeats the last identifier on events that have none, such
    // as the one that tells the finish reason; those have no content.
    let Ok(body) = serde_json::from_str::<StreamBody>(&event.data) else {
        return;
    };
    let choice = body.choices.into_iter().next();
    let Some(text) = choice.and_then(|choice| choice.delta.content) else {
        return;
    };
    state.last_event = Some(event.id);
    state.outcome.chunks += 1;
    state.outcome.text.push_str(&text);
    on_text(&text);
}
