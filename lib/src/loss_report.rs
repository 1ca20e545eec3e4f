//! Where requests are lost or late, from the log lines of entries.
//!
//! Pure. Requests are grouped by route, by how many prompt tokens were unread,
//! and by cause; each group names a few of them, to be followed one by one.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::log_reader::LogLine;
use crate::log_reader::LogText;
use crate::log_reader::read_lines;

/// Requests that a group names.
const NAMED_REQUESTS: usize = 3;
/// The least unread tokens of the classes of size, smallest class first.
const SIZE_STEPS: [(u64, &str); 4] = [
    (0, "under 1,000"),
    (1_000, "1,000 up"),
    (5_000, "5,000 up"),
    (20_000, "20,000 up"),
];

/// Stands for the class of size of a request that was never answered.
const NOT_SENT: &str = "not sent";

/// What the lines of one request tell of its end.
#[derive(Clone, Debug, Default)]
struct RequestStory {
    route: String,
    unread: Option<u64>,
    target_ms: Option<u64>,
    first_event_ms: Option<u64>,
    last_send_failure: Option<String>,
    end: Option<RequestEnd>,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
enum RequestEnd {
    /// The answer was passed on, with this status if it was no stream.
    Answered(Option<u64>),
    /// It was refused or broken off for this reason.
    Lost(String),
    /// Its caller left.
    Left,
}

/// Requests of one route and size that were lost or late for one cause.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LossGroup {
    /// The route; empty if the request was refused before one was found.
    pub route: String,
    /// The class of size.
    pub size: &'static str,
    /// The cause.
    pub cause: String,
    /// The number of requests.
    pub count: usize,
    /// Some of them.
    pub requests: Vec<String>,
}

impl fmt::Display for LossGroup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { route, size, .. } = self;
        write!(f, "{} {route} {size} {}", self.count, self.cause)
    }
}

/// Losses by group, the largest first, and what they are losses of.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LossReport {
    /// Requests whose end the lines tell.
    pub ended: usize,
    /// Requests that were lost or late.
    pub lost: usize,
    /// The groups.
    pub groups: Vec<LossGroup>,
}

/// Reads log lines and groups what was lost or late. Lines that could not be
/// read are returned beside it.
pub fn read_losses(text: &str) -> (LossReport, LogText) {
    let mut log = read_lines(text);
    let mut stories: BTreeMap<String, RequestStory> = BTreeMap::new();
    for line in log.lines.drain(..) {
        let Some(request) = line.fields.get("request").and_then(Value::as_str) else {
            continue;
        };
        let story = stories.entry(request.to_owned()).or_default();
        story.note(&line);
    }
    (report(&stories), log)
}

fn report(stories: &BTreeMap<String, RequestStory>) -> LossReport {
    let mut groups: BTreeMap<(String, &'static str, String), LossGroup> = BTreeMap::new();
    let ended = stories.values().filter(|story| story.end.is_some()).count();
    let mut lost = 0;
    for (request, story) in stories {
        let Some(cause) = story.cause() else {
            continue;
        };
        lost += 1;
        let size = size_class(story.unread);
        let key = (story.route.clone(), size, cause.clone());
        let group = groups.entry(key).or_insert_with(|| LossGroup {
            route: story.route.clone(),
            size,
            cause,
            count: 0,
            requests: Vec::new(),
        });
        group.count += 1;
        if group.requests.len() < NAMED_REQUESTS {
            group.requests.push(request.clone());
        }
    }
    let mut groups: Vec<LossGroup> = groups.into_values().collect();
    // A stable sort: equal counts stay in order of route, size and cause.
    groups.sort_by_key(|group| std::cmp::Reverse(group.count));
    LossReport {
        ended,
        lost,
        groups,
    }
}

fn size_class(unread: Option<u64>) -> &'static str {
    let Some(unread) = unread else {
        return NOT_SENT;
    };
    let reached = SIZE_STEPS.iter().rev().find(|(least, _)| unread >= *least);
    reached.map_or(NOT_SENT, |(_, name)| name)
}

impl RequestStory {
    fn note(&mut self, line: &LogLine) {
        let fields = &line.fields;
        if let Some(route) = text_field(fields, "route") {
            self.route = route;
        }
        match line.message.as_str() {
            "request sent" => {
                self.unread = number_field(fields, "unread_tokens");
                self.target_ms = number_field(fields, "target_ms");
            }
            "send failed" => self.last_send_failure = text_field(fields, "outcome"),
            "request answered" => {
                self.first_event_ms = number_field(fields, "first_event_ms");
                self.end = Some(RequestEnd::Answered(number_field(fields, "status")));
            }
            "request refused" | "stream broken off" => {
                let reason = text_field(fields, "reason").unwrap_or_default();
                self.end = Some(RequestEnd::Lost(reason));
            }
            "caller left" => self.end = Some(RequestEnd::Left),
            _ => {}
        }
    }

    /// Returns why the request was lost or late, if it was.
    fn cause(&self) -> Option<String> {
        let after = |word: &str| match &self.last_send_failure {
            Some(outcome) => format!("{word} after {outcome}"),
            None => word.to_owned(),
        };
        match self.end.as_ref()? {
            RequestEnd::Lost(reason) => Some(after(reason)),
            RequestEnd::Left => Some(after("caller left")),
            RequestEnd::Answered(Some(status)) if *status >= 500 => {
                Some(after(&format!("answered {status}")))
            }
            RequestEnd::Answered(_) => {
                let late = self.first_event_ms? > self.target_ms?;
                late.then(|| after("late first event"))
            }
        }
    }
}

fn text_field(fields: &Map<String, Value>, name: &str) -> Option<String> {
    fields.get(name)?.as_str().map(str::to_owned)
}

fn number_field(fields: &Map<String, Value>, name: &str) -> Option<u64> {
    fields.get(name)?.as_u64()
}
