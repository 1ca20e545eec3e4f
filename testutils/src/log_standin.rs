//! A stand-in for the platform's log service.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cloverbend::id::LogOffset;
use cloverbend::log_client::LogAppended;
use cloverbend::log_client::LogPage;
use cloverbend::log_client::LogRecord;
use gotham::helpers::http::Body;
use http::Method;
use http::Response;
use http::StatusCode;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::fault::FaultSwitch;
use crate::standin_server::Standin;
use crate::standin_server::StandinRequest;
use crate::standin_server::json_answer;

/// The longest that a read waits.
const MAX_WAIT: Duration = Duration::from_secs(10);

#[derive(Debug, Default)]
struct StreamState {
    first: u64,
    records: VecDeque<String>,
}

impl StreamState {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn page(&self, from: u64, limit: usize) -> LogPage {
        let start = from.max(self.first);
        let skipped = (start - self.first) as usize;
        let records = self
            .records
            .iter()
            .skip(skipped)
            .take(limit)
            .enumerate()
            .map(|(index, body)| LogRecord {
                offset: LogOffset(start + index as u64),
                body: body.clone(),
            })
            .collect();
        LogPage {
            first: LogOffset(self.first),
            next: LogOffset(self.next()),
            records,
        }
    }
}

/// The state of the log service.
#[derive(Debug)]
pub struct LogStandin {
    streams: Mutex<BTreeMap<String, StreamState>>,
    appended: Notify,
    faults: FaultSwitch,
    retained: usize,
    pace: Mutex<AppendPace>,
}

#[derive(Debug)]
struct AppendPace {
    per_second: f64,
    credit: f64,
    at: Instant,
}

impl AppendPace {
    fn take(&mut self) -> bool {
        let now = Instant::now();
        let earned = now.duration_since(self.at).as_secs_f64() * self.per_second;
        self.credit = (self.credit + earned).min(self.per_second);
        self.at = now;
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}

impl LogStandin {
    /// Returns a log that keeps `retained` records of each stream and takes
    /// `per_second` appends a second.
    pub fn new(retained: usize, per_second: f64) -> Self {
        Self {
            streams: Mutex::default(),
            appended: Notify::new(),
            faults: FaultSwitch::default(),
            retained: retained.max(1),
            pace: Mutex::new(AppendPace {
                per_second,
                credit: per_second,
                at: Instant::now(),
            }),
        }
    }

    fn append(&self, stream: &str, body: String) -> Option<LogOffset> {
        if !self.pace.lock().take() {
            return None;
        }
        let mut streams = self.streams.lock();
        let state = streams.entry(stream.to_owned()).or_default();
        let offset = LogOffset(state.next());
        state.records.push_back(body);
        while state.records.len() > self.retained {
            state.records.pop_front();
            state.first += 1;
        }
        drop(streams);
        self.appended.notify_waiters();
        Some(offset)
    }

    async fn read(&self, stream: &str, from: u64, limit: usize, wait: Duration) -> LogPage {
        let deadline = Instant::now() + wait.min(MAX_WAIT);
        loop {
            let appended = self.appended.notified();
            let page = {
                let mut streams = self.streams.lock();
                let state = streams.entry(stream.to_owned()).or_default();
                state.page(from, limit)
            };
            let left = deadline.saturating_duration_since(Instant::now());
            if !page.records.is_empty() || left.is_zero() {
                return page;
            }
            // A wait that ends by its time reads once more and returns.
            let _ = tokio::time::timeout(left, appended).await;
        }
    }
}

impl Standin for LogStandin {
    async fn answer(self: Arc<Self>, request: StandinRequest) -> Response<Body> {
        let segments = request.segments();
        let ["streams", stream, "records"] = segments[..] else {
            return json_answer(StatusCode::NOT_FOUND, &"no such path");
        };
        if request.method == Method::POST {
            let body = String::from_utf8_lossy(&request.body).into_owned();
            return match self.append(stream, body) {
                Some(offset) => json_answer(StatusCode::OK, &LogAppended { offset }),
                None => json_answer(StatusCode::TOO_MANY_REQUESTS, &"too many appends"),
            };
        }
        let from = request.query_number("from").unwrap_or(0);
        let limit = request.query_number("limit").unwrap_or(256) as usize;
        let wait = Duration::from_millis(request.query_number("wait_ms").unwrap_or(0));
        let page = self.read(stream, from, limit, wait).await;
        json_answer(StatusCode::OK, &page)
    }

    fn faults(&self) -> &FaultSwitch {
        &self.faults
    }
}
