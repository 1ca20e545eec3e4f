//! Answers to chats as server-sent events, which callers can continue.

use std::io;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt;
use futures_util::TryStreamExt;
use futures_util::stream;
use http::StatusCode;
use http_body_util::BodyExt;
use serde::Serialize;
use serde_json::json;

use crate::answer_follower::AnswerFollower;
use crate::answer_follower::FollowEvent;
use crate::caller::CallerRequest;
use crate::caller::LAST_EVENT_ID;
use crate::engine_client::DONE;
use crate::id::ChunkPosition;
use crate::id::Incarnation;
use crate::id::ServiceName;
use crate::pair::RequestKey;
use crate::refusal::Refusal;
use crate::refusal::RefusalBody;
use crate::refusal::RefusalCode;
use crate::trace::HopSpan;

/// The position in a stream: the request, and the number of chunks before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventId {
    /// The request.
    pub key: RequestKey,
    /// The position behind the event.
    pub next: ChunkPosition,
}

impl std::fmt::Display for EventId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}", self.key, self.next)
    }
}

impl std::str::FromStr for EventId {
    type Err = Refusal;

    fn from_str(text: &str) -> Result<Self, Refusal> {
        let error = || {
            let message = format!("header {LAST_EVENT_ID}: {text:?} is not an event of a stream");
            Refusal::not_run(RefusalCode::BadRequest, message)
        };
        let (key, next) = text.split_once(':').ok_or_else(error)?;
        Ok(Self {
            key: key.parse().map_err(|_| error())?,
            next: next.parse().map_err(|_| error())?,
        })
    }
}

/// The usual size of an event with one chunk, in bytes.
const EVENT_SIZE: usize = 320;

#[derive(Serialize)]
struct ChunkDelta<'a> {
    content: &'a str,
}

#[derive(Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    delta: ChunkDelta<'a>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct ChunkEvent<'a> {
    id: &'a str,
    object: &'a str,
    model: &'a str,
    choices: [ChunkChoice<'a>; 1],
}

struct FrameState {
    follower: AnswerFollower,
    pending: Option<FollowEvent>,
    model: ServiceName,
    request: CallerRequest,
    // Ends with the stream, so that its time covers the whole answer.
    _span: HopSpan,
    done: bool,
}

/// Returns the bytes of a stream, starting with an event that was received. It ends with an
/// error if another entry goes on with it and the connection there breaks: an end without
/// one would look like the end of the answer.
pub fn stream_frames(
    follower: AnswerFollower,
    first: FollowEvent,
    model: ServiceName,
    request: CallerRequest,
    span: HopSpan,
) -> impl Stream<Item = io::Result<Bytes>> + Send {
    let state = FrameState {
        follower,
        pending: Some(first),
        model,
        request,
        _span: span,
        done: false,
    };
    let parts = stream::unfold(state, |mut state| async move {
        if state.done {
            return None;
        }
        let event = match state.pending.take() {
            Some(event) => event,
            None => state.follower.next().await,
        };
        let part = state.render(event).await;
        Some((part, state))
    });
    parts.flatten()
}

type FramePart = stream::BoxStream<'static, io::Result<Bytes>>;

impl FrameState {
    async fn render(&mut self, event: FollowEvent) -> FramePart {
        match event {
            FollowEvent::Chunks(from, chunks) => whole_part(self.render_chunks(from, &chunks)),
            FollowEvent::Complete => {
                self.done = true;
                whole_part(self.render_end())
            }
            FollowEvent::Failed(refusal) => {
                self.done = true;
                whole_part(render_failure(refusal))
            }
            FollowEvent::Moved(to) => {
                self.done = true;
                self.relay(to).await
            }
        }
    }

    /// Relays the rest of a stream from the entry that holds it now.
    async fn relay(&self, to: Incarnation) -> FramePart {
        let key = self.follower.key();
        let context = self.follower.context();
        let resumed = resume_request(&self.request, key, self.follower.position());
        let response = match resumed {
            Ok(request) => context.forward_to(&request, to).await,
            Err(refusal) => Err(refusal),
        };
        match response {
            Ok(response) if response.status() == StatusCode::OK => {
                // A stream cut here is continued by its caller elsewhere.
                let data = response.into_body().into_data_stream();
                data.map_err(io::Error::other).boxed()
            }
            Ok(response) => {
                let body = response.into_body().collect().await;
                let bytes = body.map(|body| body.to_bytes()).unwrap_or_default();
                let refusal = serde_json::from_slice::<RefusalBody>(&bytes);
                let refusal = refusal.map_or_else(|_| stream_moved(), |body| body.error);
                whole_part(render_failure(refusal))
            }
            Err(refusal) => whole_part(render_failure(refusal)),
        }
    }

    fn render_chunks(&self, from: ChunkPosition, chunks: &[Bytes]) -> Bytes {
        let key = self.follower.key();
        let id = key.to_string();
        let mut text = Vec::with_capacity(chunks.len() * EVENT_SIZE);
        for (index, chunk) in chunks.iter().enumerate() {
            let next = ChunkPosition(from.0 + index as u64 + 1);
            let content = String::from_utf8_lossy(chunk);
            let event = ChunkEvent {
                id: &id,
                object: "chat.completion.chunk",
                model: self.model.as_str(),
                choices: [ChunkChoice {
                    index: 0,
                    delta: ChunkDelta { content: &content },
                    finish_reason: None,
                }],
            };
            text.extend_from_slice(format!("id: {id}:{next}\ndata: ").as_bytes());
            // Writing these plain fields to memory cannot fail.
            let _ = serde_json::to_writer(&mut text, &event);
            text.extend_from_slice(b"\n\n");
        }
        text.into()
    }

    fn render_end(&self) -> Bytes {
        let data = json!({
            "id": self.follower.key().to_string(),
            "object": "chat.completion.chunk",
            "model": self.model.as_str(),
            "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        });
        format!("data: {data}\n\ndata: {DONE}\n\n").into()
    }
}

fn whole_part(text: Bytes) -> FramePart {
    stream::once(async move { Ok(text) }).boxed()
}

fn stream_moved() -> Refusal {
    let message = "the stream moved; continue it at another entry with Last-Event-ID";
    Refusal::unknown(RefusalCode::OutcomeUnknown, message)
}

fn render_failure(refusal: Refusal) -> Bytes {
    let body = json!(RefusalBody { error: refusal });
    format!("event: error\ndata: {body}\n\n").into()
}

/// Builds the request that continues a stream at another entry.
///
/// # Errors
///
/// A position that cannot be a header; this does not happen.
pub fn resume_request(
    request: &CallerRequest,
    key: RequestKey,
    next: ChunkPosition,
) -> Result<CallerRequest, Refusal> {
    let event = EventId { key, next };
    let mut request = request.clone();
    let value = http::HeaderValue::try_from(event.to_string())
        .map_err(|error| Refusal::unknown(RefusalCode::OutcomeUnknown, error))?;
    request.headers.insert(LAST_EVENT_ID, value);
    Ok(request)
}
