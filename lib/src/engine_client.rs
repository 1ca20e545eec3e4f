//! The published interface of model engines: chat completions as server-sent
//! events, with positions, priorities, resumption, KV cache export and import,
//! load reports and cache events.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::Stream;
use futures_util::StreamExt;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::http_client::HttpClient;
use crate::http_client::HttpError;
use crate::http_client::build_request;
use crate::http_client::read_body;
use crate::trace::TRACEPARENT;

/// How long a short query of an engine may take.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// The data of the event that ends a stream.
pub const DONE: &str = "[DONE]";

/// Where to continue an answer that another engine began.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumePoint {
    /// The number of chunks delivered.
    pub position: u64,
    /// Their text.
    pub text: String,
}

/// What the engine is sent besides the caller's own fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOptions {
    /// Identifies the attempt, for cancelling and for KV cache export.
    pub request_id: String,
    /// The priority, 0 being the most urgent.
    pub priority: u32,
    /// Where to continue.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub resume: Option<ResumePoint>,
}

/// An event of an engine's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A chunk of text at a position.
    Chunk {
        /// The position, counted from the start of the whole answer.
        position: u64,
        /// The text.
        text: String,
    },
    /// The answer ended behind this position, and the engine computed so many
    /// prompt tokens anew.
    End {
        /// The number of chunks of the whole answer.
        position: u64,
        /// Prompt tokens that were not cached.
        computed: u64,
    },
}

#[derive(Clone, Debug, Deserialize)]
struct ChunkDelta {
    #[serde(default)]
    content: Option<String>,
}

#[derive(Clone, Debug, Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: Option<ChunkDelta>,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Clone, Debug, Deserialize)]
struct ChunkBody {
    choices: Vec<ChunkChoice>,
    position: u64,
    #[serde(default)]
    computed_tokens: u64,
}

/// A load report of an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that decode.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Prompt tokens that wait to be computed.
    pub waiting_tokens: u64,
    /// The age of the report when it was sent, in milliseconds.
    pub age_ms: u64,
    /// Requests that can decode at once, if the engine tells.
    #[serde(default)]
    pub slots: Option<u32>,
    /// Prompt tokens computed a second with a full batch, if it tells.
    #[serde(default)]
    pub prefill_rate: Option<f64>,
}

/// Cache events of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheReport {
    /// The number of the last event.
    pub last: u64,
    /// Blocks stored since.
    pub stored: Vec<u64>,
    /// Blocks evicted since.
    pub evicted: Vec<u64>,
}

/// A client of engines.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: HttpClient,
}

impl EngineClient {
    /// Returns a client that uses `http`.
    pub fn new(http: HttpClient) -> Self {
        Self { http }
    }

    /// Starts a chat and returns its events as they come.
    ///
    /// # Errors
    ///
    /// A failed connection or a status other than success. Errors within the
    /// stream come as its items; a stream without an `End` was cut.
    pub async fn chat(
        &self,
        address: SocketAddr,
        body: &Bytes,
        options: &EngineOptions,
        traceparent: &str,
    ) -> Result<impl Stream<Item = Result<EngineEvent, HttpError>> + use<>, HttpError> {
        let request = chat_request(address, body, options, traceparent)?;
        let response = self.http.send(request).await?;
        let status = response.status();
        if !status.is_success() {
            let text = read_body(response.into_body()).await.unwrap_or_default();
            let text = String::from_utf8_lossy(&text).into_owned();
            return Err(HttpError::Status(status.as_u16(), text));
        }
        let events = response.into_body().into_data_stream().eventsource();
        let events = events.filter_map(|event| async {
            match event {
                Ok(event) if event.data == DONE => None,
                Ok(event) => Some(read_event(&event.data)),
                Err(error) => Some(Err(HttpError::Interrupted(error.to_string()))),
            }
        });
        Ok(events)
    }

    /// Asks for the load.
    ///
    /// # Errors
    ///
    /// See [`HttpError`].
    pub async fn load(&self, address: SocketAddr) -> Result<LoadReport, HttpError> {
        let url = format!("http://{address}/load");
        self.http.get_json(&url, QUERY_TIMEOUT).await
    }

    /// Asks for cache events after a number.
    ///
    /// # Errors
    ///
    /// See [`HttpError`].
    pub async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> Result<CacheReport, HttpError> {
        let url = format!("http://{address}/cache/events?after={after}");
        self.http.get_json(&url, QUERY_TIMEOUT).await
    }

    /// Cancels an attempt. The engine may have ended it already.
    ///
    /// # Errors
    ///
    /// See [`HttpError`].
    pub async fn cancel(&self, address: SocketAddr, request_id: &str) -> Result<Value, HttpError> {
        let url = format!("http://{address}/requests/{request_id}/cancel");
        self.http.post_json(&url, "{}", QUERY_TIMEOUT).await
    }

    /// Moves the KV cache of an attempt from one engine to another, within
    /// `timeout`. Returns the number of tokens moved.
    ///
    /// # Errors
    ///
    /// See [`HttpError`]; the target then computes the tokens again.
    pub async fn move_kv(
        &self,
        from: SocketAddr,
        to: SocketAddr,
        request_id: &str,
        timeout: Duration,
    ) -> Result<u64, HttpError> {
        let url = format!("http://{from}/kv/{request_id}");
        let exported: KvExport = self.http.get_json(&url, timeout).await?;
        let body = serde_json::to_string(&exported)
            .map_err(|error| HttpError::BadAnswer(error.to_string()))?;
        let url = format!("http://{to}/kv");
        let _: Value = self.http.post_json(&url, body, timeout).await?;
        Ok(exported.tokens)
    }
}

/// An exported KV cache. Its content is opaque here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// The tokens covered.
    pub tokens: u64,
    /// Hashes of the prefixes covered.
    pub blocks: Vec<u64>,
    /// The content.
    pub content: String,
}

fn chat_request(
    address: SocketAddr,
    body: &Bytes,
    options: &EngineOptions,
    traceparent: &str,
) -> Result<Request<Full<Bytes>>, HttpError> {
    let bad = |error: serde_json::Error| HttpError::NotSent(error.to_string());
    let mut fields: Value = serde_json::from_slice(body).map_err(bad)?;
    let options = serde_json::to_value(options).map_err(bad)?;
    if let (Value::Object(fields), Value::Object(options)) = (&mut fields, options) {
        fields.extend(options);
        fields.insert("stream".to_owned(), Value::Bool(true));
    }
    let builder = Request::post(format!("http://{address}/v1/chat/completions"))
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(TRACEPARENT, traceparent);
    build_request(builder, fields.to_string().into())
}

fn read_event(data: &str) -> Result<EngineEvent, HttpError> {
    let body: ChunkBody =
        serde_json::from_str(data).map_err(|error| HttpError::BadAnswer(error.to_string()))?;
    let choice = body
        .choices
        .into_iter()
        .next()
        .ok_or_else(|| HttpError::BadAnswer("an event without choices".to_owned()))?;
    if choice.finish_reason.is_some() {
        return Ok(EngineEvent::End {
            position: body.position,
            computed: body.computed_tokens,
        });
    }
    let text = choice.delta.and_then(|delta| delta.content);
    Ok(EngineEvent::Chunk {
        position: body.position,
        text: text.unwrap_or_default(),
    })
}
