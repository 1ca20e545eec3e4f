//! Traces with a span for each hop, kept in memory for the command line and
//! exported over OTLP when the settings name a collector.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use opentelemetry::Context;
use opentelemetry::KeyValue;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::Span;
use opentelemetry::trace::SpanKind;
use opentelemetry::trace::Status;
use opentelemetry::trace::TraceContextExt;
use opentelemetry::trace::Tracer;
use opentelemetry::trace::TracerProvider;
use opentelemetry_otlp::Protocol;
use opentelemetry_otlp::SpanExporter;
use opentelemetry_otlp::WithExportConfig;
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::runtime;
use opentelemetry_sdk::trace::SdkTracer;
use opentelemetry_sdk::trace::SdkTracerProvider;
use opentelemetry_sdk::trace::SpanData;
use opentelemetry_sdk::trace::SpanProcessor;
use opentelemetry_sdk::trace::span_processor_with_async_runtime::BatchSpanProcessor;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

use crate::settings::BaseUrl;

/// The header that carries the trace context (W3C Trace Context).
pub const TRACEPARENT: &str = "traceparent";
/// The path of a collector that takes traces (OTLP over HTTP).
const COLLECTOR_PATH: &str = "/v1/traces";

/// A finished span, as the command line shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpanRecord {
    /// The trace, 32 hexadecimal digits.
    pub trace: String,
    /// The span, 16 hexadecimal digits.
    pub span: String,
    /// The span above it, all zeros if there is none.
    pub parent: String,
    /// The hop.
    pub name: String,
    /// The entry that made it.
    pub entry: String,
    /// When it started, in microseconds of the Unix epoch.
    pub start_us: u64,
    /// How long it took, in microseconds.
    pub duration_us: u64,
    /// What is known of it, as `key=value`.
    pub attributes: Vec<String>,
}

#[derive(Debug)]
struct KeptSpans {
    entry: String,
    capacity: usize,
    spans: Mutex<VecDeque<SpanRecord>>,
}

#[derive(Clone, Debug)]
struct KeepingProcessor(Arc<KeptSpans>);

fn micros(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as u64
}

impl SpanProcessor for KeepingProcessor {
    fn on_start(&self, _span: &mut opentelemetry_sdk::trace::Span, _context: &Context) {}

    fn on_end(&self, span: SpanData) {
        let start = micros(span.start_time);
        let record = SpanRecord {
            trace: span.span_context.trace_id().to_string(),
            span: span.span_context.span_id().to_string(),
            parent: span.parent_span_id.to_string(),
            name: span.name.to_string(),
            entry: self.0.entry.clone(),
            start_us: start,
            duration_us: micros(span.end_time).saturating_sub(start),
            attributes: span
                .attributes
                .iter()
                .map(|pair| format!("{}={}", pair.key, pair.value))
                .collect(),
        };
        let mut spans = self.0.spans.lock();
        if spans.len() >= self.0.capacity {
            spans.pop_front();
        }
        spans.push_back(record);
    }

    fn force_flush(&self) -> OTelSdkResult {
        Ok(())
    }

    fn shutdown_with_timeout(&self, _timeout: Duration) -> OTelSdkResult {
        Ok(())
    }
}

/// Why a collector cannot be used.
#[derive(Debug)]
pub struct CollectorError(String);

impl fmt::Display for CollectorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the collector cannot be used: {}", self.0)
    }
}

impl std::error::Error for CollectorError {}

/// Makes spans.
#[derive(Clone, Debug)]
pub struct SpanSource {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
    kept: Arc<KeptSpans>,
}

impl SpanSource {
    /// Returns a source that keeps the last `capacity` spans. With a collector
    /// it must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// An exporter that cannot be built.
    pub fn new(
        entry: &str,
        capacity: usize,
        collector: Option<&BaseUrl>,
    ) -> Result<Self, CollectorError> {
        let kept = Arc::new(KeptSpans {
            entry: entry.to_owned(),
            capacity: capacity.max(1),
            spans: Mutex::new(VecDeque::new()),
        });
        let resource = Resource::builder()
            .with_service_name("cloverbendd")
            .with_attribute(KeyValue::new("service.instance.id", entry.to_owned()))
            .build();
        let mut builder = SdkTracerProvider::builder()
            .with_resource(resource)
            .with_span_processor(KeepingProcessor(Arc::clone(&kept)));
        if let Some(collector) = collector {
            let exporter = SpanExporter::builder()
                .with_http()
                .with_protocol(Protocol::HttpBinary)
                .with_endpoint(collector.join(COLLECTOR_PATH))
                .build()
                .map_err(|error| CollectorError(error.to_string()))?;
            let batch = BatchSpanProcessor::builder(exporter, runtime::Tokio).build();
            builder = builder.with_span_processor(batch);
        }
        let provider = builder.build();
        let tracer = provider.tracer("cloverbend");
        Ok(Self {
            provider,
            tracer,
            kept,
        })
    }

    /// Starts the span of a hop below `parent`, which has the form of a
    /// `traceparent` header; an empty or malformed one starts a new trace.
    pub fn start(&self, name: &'static str, kind: SpanKind, parent: &str) -> HopSpan {
        let carrier = HashMap::from([(TRACEPARENT.to_owned(), parent.to_owned())]);
        let context = TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier);
        let span = self
            .tracer
            .span_builder(name)
            .with_kind(kind)
            .start_with_context(&self.tracer, &context);
        HopSpan { span }
    }

    /// Returns the kept spans of a trace in order of their start.
    pub fn trace(&self, trace: &str) -> Vec<SpanRecord> {
        let spans = self.kept.spans.lock();
        let mut found: Vec<SpanRecord> = spans
            .iter()
            .filter(|span| span.trace == trace)
            .cloned()
            .collect();
        found.sort_by_key(|span| span.start_us);
        found
    }

    /// Exports what is left. Blocks; call it off the runtime's workers.
    pub fn flush(&self) {
        // A collector that is away costs spans, never a stop.
        let _ = self.provider.force_flush();
    }
}

/// The span of one hop. It ends when dropped.
#[derive(Debug)]
pub struct HopSpan {
    span: opentelemetry_sdk::trace::Span,
}

impl HopSpan {
    /// Adds what is known of the hop.
    pub fn set(&mut self, key: &'static str, value: impl fmt::Display) {
        self.span
            .set_attribute(KeyValue::new(key, value.to_string()));
    }

    /// Marks the hop as failed.
    pub fn fail(&mut self, reason: impl fmt::Display) {
        self.span.set_status(Status::error(reason.to_string()));
        self.set("error", reason);
    }

    /// Returns the trace's identifier.
    pub fn trace(&self) -> String {
        self.span.span_context().trace_id().to_string()
    }

    /// Returns the context to pass on, as a `traceparent` header.
    pub fn traceparent(&self) -> String {
        let context = Context::new().with_remote_span_context(self.span.span_context().clone());
        let mut carrier = HashMap::new();
        TraceContextPropagator::new().inject_context(&context, &mut carrier);
        carrier.remove(TRACEPARENT).unwrap_or_default()
    }
}
