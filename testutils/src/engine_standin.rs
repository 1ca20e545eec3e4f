//! A stand-in for a model engine with the chat completions interface.
//!
//! Its answers are a function of the prompt, so that whoever knows the prompt
//! can check an answer word by word, see [`expected_answer`].

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cloverbend::chat_api::ChatBody;
use cloverbend::engine_client::CacheReport;
use cloverbend::engine_client::DONE;
use cloverbend::engine_client::EngineOptions;
use cloverbend::engine_client::KvExport;
use cloverbend::engine_client::LoadReport;
use cloverbend::prefix::BYTES_PER_TOKEN;
use cloverbend::prefix::prefix_blocks;
use futures_util::StreamExt;
use futures_util::stream;
use gotham::helpers::http::Body;
use http::Method;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use parking_lot::Mutex;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use twox_hash::XxHash64;

use crate::engine_model::CacheChange;
use crate::engine_model::EngineModel;
use crate::engine_model::EngineShape;
use crate::engine_model::ModelRequest;
use crate::engine_model::ModelToken;
use crate::engine_model::effective_prefill;
use crate::fault::Fault;
use crate::fault::FaultSwitch;
use crate::standin_server::Standin;
use crate::standin_server::StandinRequest;
use crate::standin_server::body_answer;
use crate::standin_server::json_answer;

/// The tokens of an answer that asks for none in particular.
const DEFAULT_ANSWER: u64 = 64;
/// The words of which answers are made.
const WORDS: [&str; 16] = [
    "fridge", "stayed", "within", "range", "since", "noon", "feed", "twice", "daily", "the", "box",
    "moves", "to", "Friday", "and", "holds",
];
/// The age of load reports.
const LOAD_LAG: Duration = Duration::from_millis(300);
/// The share of cache events that are never published.
const EVENT_GAPS: f64 = 0.05;
/// The most cache events kept.
const MAX_EVENTS: usize = 8_192;

/// Returns the word at a position of the answer to a prompt.
pub fn expected_word(prompt: &str, position: u64) -> String {
    let seed = XxHash64::oneshot(position, prompt.as_bytes());
    format!("{} ", WORDS[(seed % WORDS.len() as u64) as usize])
}

/// Returns the whole answer to a prompt.
pub fn expected_answer(prompt: &str, length: u64) -> String {
    (0..length)
        .map(|position| expected_word(prompt, position))
        .collect()
}

#[derive(Debug, Deserialize)]
struct EngineBody {
    #[serde(flatten)]
    chat: ChatBody,
    #[serde(flatten)]
    options: Option<EngineOptions>,
}

#[derive(Debug)]
struct OpenAttempt {
    name: String,
    prompt: String,
    blocks: Vec<u64>,
    prompt_tokens: u64,
    position: u64,
    sender: mpsc::UnboundedSender<Bytes>,
}

#[derive(Debug, Default)]
struct EventLog {
    number: u64,
    events: Vec<(u64, CacheChange)>,
}

#[derive(Debug)]
struct EngineState {
    model: EngineModel,
    attempts: HashMap<u64, OpenAttempt>,
    next: u64,
    imported: HashMap<String, u64>,
    events: EventLog,
    loads: Vec<(Instant, LoadReport)>,
    generator: StdRng,
    fence: u64,
    shape: EngineShape,
    speed: f64,
}

/// The state of an engine.
#[derive(Debug)]
pub struct EngineStandin {
    state: Mutex<EngineState>,
    work: Notify,
    faults: FaultSwitch,
    speed: f64,
    /// Streams of prompts with this text are cut before their first token.
    fatal: Mutex<Option<String>>,
    fatal_attempts: AtomicU64,
}

impl EngineStandin {
    /// Returns an engine that runs `speed` times as fast as its shape says,
    /// and starts its batch loop. Must be called within a tokio runtime.
    pub fn start(shape: EngineShape, speed: f64, seed: u64) -> Arc<Self> {
        let engine = Arc::new(Self {
            state: Mutex::new(EngineState {
                model: EngineModel::new(shape),
                attempts: HashMap::new(),
                next: 1,
                imported: HashMap::new(),
                events: EventLog::default(),
                loads: Vec::new(),
                generator: StdRng::seed_from_u64(seed),
                fence: 0,
                shape,
                speed,
            }),
            work: Notify::new(),
            faults: FaultSwitch::default(),
            speed,
            fatal: Mutex::default(),
            fatal_attempts: AtomicU64::new(0),
        });
        let weak = Arc::downgrade(&engine);
        tokio::spawn(async move {
            while let Some(engine) = weak.upgrade() {
                engine.run_step().await;
            }
        });
        engine
    }

    /// Returns all prompt tokens computed so far.
    pub fn computed(&self) -> u64 {
        self.state.lock().model.computed()
    }

    /// Cuts the stream of every attempt whose body holds a text.
    pub fn set_fatal(&self, text: &str) {
        *self.fatal.lock() = Some(text.to_owned());
    }

    /// Returns how many streams were cut for it.
    pub fn fatal_attempts(&self) -> u64 {
        self.fatal_attempts.load(Ordering::Relaxed)
    }

    fn is_fatal(&self, body: &Bytes) -> bool {
        let fatal = self.fatal.lock();
        let text = String::from_utf8_lossy(body);
        fatal.as_ref().is_some_and(|fatal| text.contains(fatal))
    }

    async fn run_step(&self) {
        let frozen = self.faults.current() == Fault::Freeze;
        let idle = self.state.lock().model.is_idle();
        if idle || frozen {
            // Wakes now and then so that the loop ends with the engine.
            let wait = Duration::from_millis(if frozen { 10 } else { 100 });
            let _ = tokio::time::timeout(wait, self.work.notified()).await;
            return;
        }
        let outcome = self.state.lock().model.step();
        tokio::time::sleep(outcome.duration.div_f64(self.speed)).await;
        let mut state = self.state.lock();
        for token in outcome.tokens {
            state.deliver(token);
        }
        state.publish_events();
        state.note_load();
    }

    fn chat(&self, body: &Bytes) -> Response<Body> {
        if self.is_fatal(body) {
            self.fatal_attempts.fetch_add(1, Ordering::Relaxed);
            return body_answer(StatusCode::OK, "text/event-stream", Bytes::new());
        }
        let body: EngineBody = match serde_json::from_slice(body) {
            Ok(body) => body,
            Err(error) => return json_answer(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let (sender, receiver) = mpsc::unbounded_channel();
        self.state.lock().open(body, sender);
        self.work.notify_one();
        let frames = stream::unfold(receiver, |mut receiver| async move {
            let bytes = receiver.recv().await?;
            Some((bytes, receiver))
        });
        let frames = frames.map(|bytes| Ok::<_, std::convert::Infallible>(Frame::data(bytes)));
        let body = Body::new(StreamBody::new(frames).map_err(|never| match never {}));
        let mut response = body_answer(StatusCode::OK, "text/event-stream", Bytes::new());
        *response.body_mut() = body;
        response
    }
}

impl EngineState {
    fn open(&mut self, body: EngineBody, sender: mpsc::UnboundedSender<Bytes>) {
        let id = self.next;
        self.next += 1;
        let prompt = body.chat.prompt_text();
        let blocks = prefix_blocks(prompt.as_bytes());
        let prompt_tokens = prompt.len().div_ceil(BYTES_PER_TOKEN) as u64;
        let options = body.options;
        let resume = options.as_ref().and_then(|options| options.resume.clone());
        let resumed = resume.map_or(0, |resume| resume.position);
        let name = options
            .as_ref()
            .map(|options| options.request_id.clone())
            .unwrap_or_default();
        let base = base_name(&name).to_owned();
        let imported = self.imported.remove(&base).unwrap_or(0);
        self.model.submit(ModelRequest {
            id,
            priority: options.map_or(5, |options| options.priority),
            blocks: blocks.clone(),
            prompt: prompt_tokens,
            resumed,
            imported,
            answer: body.chat.max_tokens.unwrap_or(DEFAULT_ANSWER),
        });
        let attempt = OpenAttempt {
            name,
            prompt,
            blocks,
            prompt_tokens,
            position: resumed,
            sender,
        };
        self.attempts.insert(id, attempt);
    }

    fn deliver(&mut self, token: ModelToken) {
        let Some(attempt) = self.attempts.get_mut(&token.id) else {
            return;
        };
        attempt.position = token.position + 1;
        let word = expected_word(&attempt.prompt, token.position);
        let mut text = event_text(&json!({
            "choices": [{"index": 0, "delta": {"content": word}, "finish_reason": null}],
            "position": token.position,
        }));
        if token.last {
            text.push_str(&event_text(&json!({
                "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
                "position": token.position + 1,
                "computed_tokens": token.computed,
            })));
            text.push_str(&format!("data: {DONE}\n\n"));
        }
        let gone = attempt.sender.send(text.into()).is_err();
        if gone {
            self.model.cancel(token.id);
        }
        if token.last || gone {
            self.attempts.remove(&token.id);
        }
    }

    fn publish_events(&mut self) {
        for change in self.model.take_changes() {
            if self.generator.random_bool(EVENT_GAPS) {
                continue;
            }
            self.events.number += 1;
            let number = self.events.number;
            self.events.events.push((number, change));
        }
        let excess = self.events.events.len().saturating_sub(MAX_EVENTS);
        self.events.events.drain(..excess);
    }

    fn note_load(&mut self) {
        let report = LoadReport {
            running: self.model.running() as u32,
            waiting: self.model.waiting() as u32,
            waiting_tokens: self.model.waiting_tokens(),
            age_ms: 0,
            slots: Some(self.shape.slots as u32),
            prefill_rate: Some(effective_prefill(self.shape) * self.speed),
        };
        let now = Instant::now();
        self.loads.push((now, report));
        self.loads
            .retain(|(at, _)| now.duration_since(*at) < LOAD_LAG * 2);
    }

    fn load(&mut self) -> LoadReport {
        self.note_load();
        let now = Instant::now();
        let old = |(at, _): &&(Instant, LoadReport)| now.duration_since(*at) >= LOAD_LAG;
        let lagging = self.loads.iter().rev().find(old);
        let lagging = lagging.or(self.loads.first());
        let Some((at, report)) = lagging.cloned() else {
            unreachable!("a report was noted above");
        };
        LoadReport {
            age_ms: now.duration_since(at).as_millis() as u64,
            ..report
        }
    }

    fn cache_report(&self, after: u64) -> CacheReport {
        let mut report = CacheReport {
            last: self.events.number,
            ..CacheReport::default()
        };
        for (number, change) in &self.events.events {
            if *number <= after {
                continue;
            }
            match change {
                CacheChange::Stored(block) => report.stored.push(*block),
                CacheChange::Evicted(block) => report.evicted.push(*block),
            }
        }
        report
    }

    fn export(&self, name: &str) -> Option<KvExport> {
        let attempt = self.attempts.values().find(|a| a.name == name)?;
        Some(KvExport {
            tokens: attempt.prompt_tokens + attempt.position,
            blocks: attempt.blocks.clone(),
            content: format!("{}|{}", base_name(name), attempt.position),
        })
    }

    fn import(&mut self, export: &KvExport) {
        self.model.import(&export.blocks);
        if let Some((base, position)) = export.content.split_once('|') {
            let position = position.parse().unwrap_or(0);
            self.imported.insert(base.to_owned(), position);
        }
    }

    fn cancel(&mut self, name: &str) -> bool {
        let found = self.attempts.iter().find(|(_, a)| a.name == name);
        let Some(id) = found.map(|(id, _)| *id) else {
            return false;
        };
        self.attempts.remove(&id);
        self.model.cancel(id).is_some()
    }
}

/// Returns the name of a request without the number of its attempt.
fn base_name(name: &str) -> &str {
    name.rsplit_once('-').map_or(name, |(base, _)| base)
}

fn event_text(value: &serde_json::Value) -> String {
    format!("data: {value}\n\n")
}

impl Standin for EngineStandin {
    async fn answer(self: Arc<Self>, request: StandinRequest) -> Response<Body> {
        let segments = request.segments();
        match (&request.method, &segments[..]) {
            (&Method::POST, ["v1", "chat", "completions"]) => self.chat(&request.body),
            (&Method::GET, ["load"]) => json_answer(StatusCode::OK, &self.state.lock().load()),
            (&Method::GET, ["cache", "events"]) => {
                let after = request.query_number("after").unwrap_or(0);
                json_answer(StatusCode::OK, &self.state.lock().cache_report(after))
            }
            (&Method::POST, ["requests", name, "cancel"]) => {
                let found = self.state.lock().cancel(name);
                json_answer(StatusCode::OK, &json!({"cancelled": found}))
            }
            (&Method::GET, ["kv", name]) => match self.state.lock().export(name) {
                Some(export) => json_answer(StatusCode::OK, &export),
                None => json_answer(StatusCode::NOT_FOUND, &"no such attempt"),
            },
            (&Method::POST, ["kv"]) => match serde_json::from_slice::<KvExport>(&request.body) {
                Ok(export) => {
                    self.state.lock().import(&export);
                    json_answer(StatusCode::OK, &json!({"imported": export.tokens}))
                }
                Err(error) => json_answer(StatusCode::BAD_REQUEST, &error.to_string()),
            },
            (&Method::POST, ["orders"]) => {
                let fence = request.query_number("fence").unwrap_or(0);
                let mut state = self.state.lock();
                if fence < state.fence {
                    return json_answer(StatusCode::CONFLICT, &"old fence");
                }
                state.fence = fence;
                json_answer(StatusCode::OK, &json!({"fence": fence}))
            }
            _ => json_answer(StatusCode::NOT_FOUND, &"no such path"),
        }
    }

    fn faults(&self) -> &FaultSwitch {
        &self.faults
    }
}
