//! Runs an accepted chat on engines until its answer is whole.
//!
//! Each attempt has an identifier of its own. When an engine fails, or its VM
//! starts to leave, the next attempt continues behind the chunks delivered,
//! on the engine with the lowest cost, with the KV cache moved if it can be.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use metrics::counter;
use opentelemetry::trace::SpanKind;
use rand::Rng;
use slog::info;
use tokio_util::sync::CancellationToken;

use crate::backend_table::ChosenBackend;
use crate::engine_client::EngineClient;
use crate::engine_client::EngineEvent;
use crate::engine_client::EngineOptions;
use crate::engine_client::ResumePoint;
use crate::entry_context::EntryContext;
use crate::http_client::HttpError;
use crate::id::ChunkPosition;
use crate::id::ServiceName;
use crate::id::VmId;
use crate::id::ZoneName;
use crate::limits::retry_pause;
use crate::pair::RequestKey;
use crate::quantity::HourlyPrice;
use crate::quantity::TokenCount;
use crate::refusal::RanReport;
use crate::refusal::Refusal;
use crate::refusal::RefusalCode;
use crate::request::AcceptedRequest;
use crate::routing::RouteQuery;

/// How long an engine may be silent before another one is tried.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the move of a KV cache may take.
const MOVE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a caller waits before asking again when no engine is there.
const NO_ENGINE_RETRY: Duration = Duration::from_secs(2);
/// How long to look for an engine before giving up on a request.
const NO_ENGINE_PATIENCE: u32 = 20;

/// The engines that may end their streams under one chat. It may be what ends
/// them: bounded by the retries of its service, and asked to come back, one
/// chat was sent to engines 86 times, in place of 3.
const MAX_CUT_STREAMS: u32 = 3;

/// How one attempt ended.
enum AttemptEnd {
    /// The answer is whole.
    Complete,
    /// The request no longer runs here.
    Stopped,
    /// The engine's VM is leaving.
    EngineLeaving,
    /// The engine failed.
    Failed(HttpError),
}

struct ChatRun {
    context: Arc<EntryContext>,
    engines: EngineClient,
    key: RequestKey,
    request: AcceptedRequest,
    service: ServiceName,
    zones: Option<BTreeSet<ZoneName>>,
    cancel: CancellationToken,
    attempt: u32,
    avoid: Option<VmId>,
    former: Option<(SocketAddr, String)>,
}

/// Runs a chat to its end. Ends early when `cancel` is cancelled.
pub async fn run_chat(
    context: Arc<EntryContext>,
    key: RequestKey,
    request: AcceptedRequest,
    cancel: CancellationToken,
) {
    // A name that does not parse was refused before the request was accepted.
    let Ok(service) = request.service.parse() else {
        return;
    };
    let zones: BTreeSet<ZoneName> = request
        .zones
        .iter()
        .filter_map(|zone| zone.parse().ok())
        .collect();
    let run = ChatRun {
        engines: EngineClient::new(context.http.clone()),
        context,
        key,
        request,
        service,
        zones: (!zones.is_empty()).then_some(zones),
        cancel,
        attempt: 0,
        avoid: None,
        former: None,
    };
    run.run().await;
}

impl ChatRun {
    async fn run(mut self) {
        if self.is_whole_already() {
            return;
        }
        let mut failures = 0;
        let mut cut_streams = 0;
        loop {
            if self.cancel.is_cancelled() {
                return;
            }
            let Some(backend) = self.find_engine().await else {
                self.fail(RefusalCode::NoBackend, "no engine may serve this request");
                return;
            };
            let end = self.run_attempt(&backend).await;
            self.note_end(&backend, &end);
            match end {
                AttemptEnd::Complete | AttemptEnd::Stopped => return,
                AttemptEnd::EngineLeaving => {}
                AttemptEnd::Failed(error) => {
                    failures += 1;
                    cut_streams += u32::from(matches!(error, HttpError::Interrupted(_)));
                    if cut_streams >= MAX_CUT_STREAMS {
                        // A caller who knows when to come back would bring it again.
                        self.refuse(RefusalCode::BackendFailed, &error.to_string(), None);
                        return;
                    }
                    if !self.may_retry() {
                        self.fail(RefusalCode::BackendFailed, &error.to_string());
                        return;
                    }
                    let pause = retry_pause(failures, rand::rng().random());
                    tokio::time::sleep(pause).await;
                }
            }
        }
    }

    /// An adopted request may have its whole answer already.
    fn is_whole_already(&self) -> bool {
        let mut table = self.context.tables.requests.lock();
        let whole = table
            .answers
            .get(&self.key)
            .is_some_and(|entry| entry.log.end().is_some());
        if whole {
            self.context.send_progress(&mut table, self.key, true);
        }
        whole
    }

    async fn find_engine(&self) -> Option<ChosenBackend> {
        for _ in 0..NO_ENGINE_PATIENCE {
            if let Some(backend) = self.choose_engine() {
                return Some(backend);
            }
            if self.attempt == 0 || self.cancel.is_cancelled() {
                return None;
            }
            // Work in progress is worth waiting for a replacement.
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        None
    }

    fn choose_engine(&self) -> Option<ChosenBackend> {
        let query = RouteQuery {
            blocks: &self.request.prefix_blocks,
            prompt: TokenCount(self.request.prompt_tokens),
            zones: self.zones.as_ref(),
            max_price: self.request.max_price.map(HourlyPrice),
            avoid: self.avoid.as_ref(),
        };
        let now = self.context.now();
        let mut backends = self.context.tables.backends.lock();
        backends.choose(now, &self.service, &query)
    }

    fn may_retry(&self) -> bool {
        let mut limits = self.context.tables.limits.lock();
        limits.retries.spend(&self.service)
    }

    fn note_end(&mut self, backend: &ChosenBackend, end: &AttemptEnd) {
        let failed = matches!(end, AttemptEnd::Failed(_));
        let now = self.context.now();
        let vm = &backend.record.vm;
        {
            let mut backends = self.context.tables.backends.lock();
            backends.ended(now, &self.service, vm, failed);
        }
        if failed {
            self.avoid = Some(vm.clone());
            counter!("cloverbend_attempts_failed_total").increment(1);
        }
        if matches!(end, AttemptEnd::EngineLeaving) {
            counter!("cloverbend_attempts_moved_total").increment(1);
            info!(self.context.log, "a chat leaves its engine"; "request" => %self.key, "vm" => %vm);
        }
    }

    async fn run_attempt(&mut self, backend: &ChosenBackend) -> AttemptEnd {
        self.attempt += 1;
        let address = backend.record.address;
        let options = EngineOptions {
            request_id: format!("{}-{}", self.key, self.attempt),
            priority: self.request.priority,
            resume: self.resume_point(),
        };
        let mut span =
            self.context
                .spans
                .start("engine", SpanKind::Client, &self.request.traceparent);
        span.set("vm", &backend.record.vm);
        span.set("attempt", self.attempt);
        self.bring_kv(address).await;
        let end = self.stream(backend, &options, &span.traceparent()).await;
        match &end {
            AttemptEnd::Failed(error) => span.fail(error),
            AttemptEnd::EngineLeaving => span.set("moved", true),
            AttemptEnd::Complete | AttemptEnd::Stopped => {}
        }
        if !matches!(end, AttemptEnd::Complete) {
            self.leave_engine(address, options.request_id);
        }
        end
    }

    /// Moves the KV cache of the attempt before, if its engine still runs.
    async fn bring_kv(&mut self, address: SocketAddr) {
        let Some((from, request_id)) = self.former.take() else {
            return;
        };
        let moved = self
            .engines
            .move_kv(from, address, &request_id, MOVE_TIMEOUT)
            .await;
        let outcome = if moved.is_ok() { "moved" } else { "failed" };
        counter!("cloverbend_kv_moves_total", "outcome" => outcome).increment(1);
        // The engine may be gone by now, and with it the attempt.
        let _ = self.engines.cancel(from, &request_id).await;
    }

    fn leave_engine(&mut self, address: SocketAddr, request_id: String) {
        if self.cancel.is_cancelled() {
            let engines = self.engines.clone();
            tokio::spawn(async move {
                // An attempt whose cancellation fails only wastes work.
                let _ = engines.cancel(address, &request_id).await;
            });
            return;
        }
        self.former = Some((address, request_id));
    }

    fn resume_point(&self) -> Option<ResumePoint> {
        let mut table = self.context.tables.requests.lock();
        let entry = table.answers.get_mut(&self.key)?;
        entry.log.drop_early();
        if entry.log.is_empty() {
            return None;
        }
        let text: Vec<&str> = entry
            .log
            .chunks_from(ChunkPosition(0))
            .iter()
            .map(|chunk| std::str::from_utf8(chunk).unwrap_or_default())
            .collect();
        Some(ResumePoint {
            position: entry.log.len().0,
            text: text.concat(),
        })
    }

    async fn stream(
        &self,
        backend: &ChosenBackend,
        options: &EngineOptions,
        traceparent: &str,
    ) -> AttemptEnd {
        let address = backend.record.address;
        let chat = self
            .engines
            .chat(address, &self.request.body, options, traceparent);
        let events = tokio::select! {
            () = self.cancel.cancelled() => return AttemptEnd::Stopped,
            () = backend.leaving.cancelled() => return AttemptEnd::EngineLeaving,
            events = tokio::time::timeout(SILENCE_TIMEOUT, chat) => events,
        };
        let events = match events {
            Ok(Ok(events)) => events,
            Ok(Err(error)) => return AttemptEnd::Failed(error),
            Err(_) => return AttemptEnd::Failed(HttpError::TimedOut),
        };
        let mut events = std::pin::pin!(events);
        loop {
            let event = tokio::select! {
                () = self.cancel.cancelled() => return AttemptEnd::Stopped,
                () = backend.leaving.cancelled() => return AttemptEnd::EngineLeaving,
                event = tokio::time::timeout(SILENCE_TIMEOUT, events.next()) => event,
            };
            match event {
                Ok(Some(Ok(EngineEvent::Chunk { position, text }))) => {
                    let position = ChunkPosition(position);
                    if !self.context.place_chunk(self.key, position, text.into()) {
                        return AttemptEnd::Stopped;
                    }
                }
                Ok(Some(Ok(EngineEvent::End { position, computed }))) => {
                    counter!("cloverbend_prompt_tokens_computed_total").increment(computed);
                    return self.end_at(position);
                }
                Ok(Some(Err(error))) => return AttemptEnd::Failed(error),
                Ok(None) => {
                    let cause = "the stream was cut".to_owned();
                    return AttemptEnd::Failed(HttpError::Interrupted(cause));
                }
                Err(_) => return AttemptEnd::Failed(HttpError::TimedOut),
            }
        }
    }

    /// Ends the answer if all chunks before the end marker are there.
    fn end_at(&self, position: u64) -> AttemptEnd {
        let position = ChunkPosition(position);
        self.context.place_end(self.key, position);
        let table = self.context.tables.requests.lock();
        let whole = table
            .answers
            .get(&self.key)
            .is_none_or(|entry| entry.log.end().is_some());
        if whole {
            return AttemptEnd::Complete;
        }
        let cause = "chunks are missing before the end".to_owned();
        AttemptEnd::Failed(HttpError::BadAnswer(cause))
    }

    fn fail(&self, code: RefusalCode, message: &str) {
        let pause = self.context.come_back(NO_ENGINE_RETRY);
        self.refuse(code, message, Some(pause));
    }

    /// Ends the chat with a refusal; `pause` is when its caller may come back.
    fn refuse(&self, code: RefusalCode, message: &str, pause: Option<Duration>) {
        let started = self.attempt > 0;
        let ran = if started {
            RanReport::Unknown
        } else {
            RanReport::No
        };
        let refusal = Refusal::new(code, message, ran);
        let refusal = match pause {
            Some(pause) => refusal.retry_after(pause),
            None => refusal,
        };
        self.context.fail_request(self.key, refusal);
    }
}
