//! Reads log lines of entries, all of them or what they say about one request.

use std::fmt;

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// A line that was read.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LogLine {
    /// When it was written, by the clock of its entry.
    pub at: String,
    /// The entry that wrote it; empty if it does not say.
    pub entry: String,
    /// What it says.
    pub message: String,
    /// Everything else, by name.
    pub fields: Map<String, Value>,
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.at, self.entry, self.message)?;
        for (name, value) in &self.fields {
            match value {
                Value::Null => {}
                Value::String(text) => write!(f, " {name}={text}")?,
                other => write!(f, " {name}={other}")?,
            }
        }
        Ok(())
    }
}

/// A line that could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadLine {
    /// The number of the line, from 1.
    pub number: usize,
    /// What is wrong with it.
    pub cause: String,
}

impl fmt::Display for BadLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.number, self.cause)
    }
}

/// Lines in the order of their time, and those that could not be read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogText {
    /// The lines that were read.
    pub lines: Vec<LogLine>,
    /// The others.
    pub bad: Vec<BadLine>,
}

/// The names under which `slog` writes what every line has.
const OWN_NAMES: [&str; 3] = ["ts", "msg", "level"];

/// Reads the lines that name a request, without that name.
pub fn read_request_lines(text: &str, request: &str) -> LogText {
    let mut found = read_lines(text);
    found.lines.retain(|line| names_request(line, request));
    for line in &mut found.lines {
        line.fields.remove("request");
    }
    found
}

fn names_request(line: &LogLine, request: &str) -> bool {
    line.fields.get("request").and_then(Value::as_str) == Some(request)
}

/// Reads all lines. What stands before the first brace of a line, such as the
/// prefix of a collector, is passed over; empty lines too.
pub fn read_lines(text: &str) -> LogText {
    let mut found = LogText::default();
    for (index, line) in text.lines().enumerate() {
        let Some(start) = line.find('{') else {
            if !line.trim().is_empty() {
                found.bad.push(BadLine {
                    number: index + 1,
                    cause: "it has no JSON object".to_owned(),
                });
            }
            continue;
        };
        match serde_json::from_str::<Map<String, Value>>(&line[start..]) {
            Ok(fields) => found.lines.push(read_line(fields)),
            Err(error) => found.bad.push(BadLine {
                number: index + 1,
                cause: error.to_string(),
            }),
        }
    }
    found.lines.sort_by(|a, b| a.at.cmp(&b.at));
    found
}

fn read_line(fields: Map<String, Value>) -> LogLine {
    let text = |name: &str| {
        let value = fields.get(name).and_then(Value::as_str);
        value.unwrap_or_default().to_owned()
    };
    let (at, entry, message) = (text("ts"), text("entry"), text("msg"));
    let hidden = |name: &str| OWN_NAMES.contains(&name) || name == "entry";
    let fields = fields.into_iter().filter(|(name, _)| !hidden(name));
    LogLine {
        at,
        entry,
        message,
        fields: fields.collect(),
    }
}
