//! Findings about an input, each with its place, reported together.

use std::fmt;

/// Where in an input a finding lies. Absent parts are unknown or do not apply.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InputPlace {
    /// The file or other source of the input.
    pub file: Option<String>,
    /// The line, counted from 1.
    pub line: Option<usize>,
    /// The section of an INI file, or the path inside a JSON document.
    pub section: Option<String>,
    /// The key within the section.
    pub key: Option<String>,
}

impl InputPlace {
    /// A place inside a document, named by its path only.
    pub fn path(path: impl Into<String>) -> Self {
        Self {
            section: Some(path.into()),
            ..Self::default()
        }
    }
}

impl fmt::Display for InputPlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut parts = Vec::new();
        parts.extend(self.file.clone());
        parts.extend(self.line.map(|line| line.to_string()));
        let names = match (&self.section, &self.key) {
            (Some(section), Some(key)) => Some(format!("[{section}] {key}")),
            (Some(section), None) => Some(section.clone()),
            (None, Some(key)) => Some(key.clone()),
            (None, None) => None,
        };
        let place = parts.join(":");
        match names {
            Some(names) if place.is_empty() => f.write_str(&names),
            Some(names) => write!(f, "{place}: {names}"),
            None => f.write_str(&place),
        }
    }
}

/// One thing that is wrong with an input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InputFinding {
    /// Where it is wrong.
    pub place: InputPlace,
    /// What is wrong, as a sentence without a full stop.
    pub message: String,
}

impl fmt::Display for InputFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}

/// All findings of one check, in the order of the input.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FindingList(pub Vec<InputFinding>);

impl FindingList {
    /// Adds a finding.
    pub fn add(&mut self, place: InputPlace, message: impl fmt::Display) {
        self.0.push(InputFinding {
            place,
            message: message.to_string(),
        });
    }

    /// Returns `value` if nothing was found, else the findings.
    pub fn into_result<T>(self, value: T) -> Result<T, FindingList> {
        if self.0.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for FindingList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(|finding| finding.to_string()).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for FindingList {}
