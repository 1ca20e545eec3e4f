//! Reads INI files by a table of keys, and reports every problem together.
//!
//! `rust-ini` does not keep line numbers, so they are found in the text again.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use ini::Ini;

use crate::finding::FindingList;
use crate::finding::InputPlace;

/// One key that a settings file may have. The table of these is the single
/// source for parsing, for `--check` and for the operators' page.
#[derive(Clone, Copy, Debug)]
pub struct SettingKey {
    /// The section, without brackets.
    pub section: &'static str,
    /// The key, or `*` for any name.
    pub key: &'static str,
    /// The unit or form of the value.
    pub unit: &'static str,
    /// The default as text, or `None` if the key is required or optional.
    pub default: Option<&'static str>,
    /// What the key means.
    pub help: &'static str,
}

/// Builds the row of one key.
pub const fn setting(
    section: &'static str,
    key: &'static str,
    unit: &'static str,
    default: Option<&'static str>,
    help: &'static str,
) -> SettingKey {
    SettingKey {
        section,
        key,
        unit,
        default,
        help,
    }
}

/// Builds the row of the form of log lines.
pub const fn log_format(default: &'static str) -> SettingKey {
    let unit = "text or json";
    setting("log", "format", unit, Some(default), "form of log lines")
}

/// The row of the least severe level that is logged.
pub const LOG_LEVEL: SettingKey = setting(
    "log",
    "level",
    "error, warning, info or debug",
    Some("info"),
    "least severe level logged",
);

fn syntax_finding(file: &str, error: &ini::ParseError) -> FindingList {
    let mut findings = FindingList::default();
    let place = InputPlace {
        file: Some(file.to_owned()),
        line: Some(error.line),
        ..InputPlace::default()
    };
    findings.add(place, &error.msg);
    findings
}

/// Finds the lines of sections and keys in the text of an INI file.
struct LineIndex {
    sections: BTreeMap<String, usize>,
    keys: BTreeMap<(String, String), usize>,
}

impl LineIndex {
    fn new(text: &str) -> Self {
        let mut index = Self {
            sections: BTreeMap::new(),
            keys: BTreeMap::new(),
        };
        let mut section = String::new();
        for (number, line) in text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[') {
                section = name.trim_end_matches(']').trim().to_owned();
                index.sections.entry(section.clone()).or_insert(number + 1);
            } else if let Some((key, _)) = line.split_once(['=', ':']) {
                let key = (section.clone(), key.trim().to_owned());
                index.keys.entry(key).or_insert(number + 1);
            }
        }
        index
    }

    fn line(&self, section: &str, key: &str) -> Option<usize> {
        let key = (section.to_owned(), key.to_owned());
        let section_line = || self.sections.get(section).copied();
        self.keys.get(&key).copied().or_else(section_line)
    }
}

/// Reads the values of a settings file and collects what is wrong with them.
pub struct SettingReader<'a> {
    keys: &'static [SettingKey],
    file: &'a str,
    lines: LineIndex,
    ini: &'a Ini,
    findings: FindingList,
}

impl SettingReader<'_> {
    /// Reads a file of the keys of a table with `read`, which returns nothing
    /// if a value is missing or malformed.
    ///
    /// # Errors
    ///
    /// Every unknown section or key, missing key and malformed value.
    pub fn read_file<T>(
        file: &str,
        text: &str,
        keys: &'static [SettingKey],
        read: impl FnOnce(&mut SettingReader<'_>) -> Option<T>,
    ) -> Result<T, FindingList> {
        let ini = Ini::load_from_str(text).map_err(|error| syntax_finding(file, &error))?;
        let mut reader = SettingReader {
            keys,
            file,
            lines: LineIndex::new(text),
            ini: &ini,
            findings: FindingList::default(),
        };
        reader.check_unknown_keys();
        match read(&mut reader) {
            Some(settings) => reader.findings.into_result(settings),
            None => Err(reader.findings),
        }
    }

    fn place(&self, section: &str, key: &str) -> InputPlace {
        InputPlace {
            file: Some(self.file.to_owned()),
            line: self.lines.line(section, key),
            section: Some(section.to_owned()),
            key: Some(key.to_owned()),
        }
    }

    /// Returns the keys and values of a section.
    pub(crate) fn section(&self, name: &str) -> Vec<(String, String)> {
        let section = self.ini.section(Some(name));
        let pairs = section.into_iter().flat_map(|section| section.iter());
        pairs
            .map(|(key, text)| (key.to_owned(), text.trim().to_owned()))
            .collect()
    }

    fn check_unknown_keys(&mut self) {
        let ini = self.ini;
        for (section, properties) in ini.iter() {
            let section = section.unwrap_or("");
            for (key, _) in properties.iter() {
                let known = self
                    .keys
                    .iter()
                    .any(|k| k.section == section && (k.key == key || k.key == "*"));
                if !known {
                    let place = self.place(section, key);
                    self.findings.add(place, "this key is not known");
                }
            }
        }
    }

    /// Reads a value that may be absent.
    pub fn optional<T: FromStr>(&mut self, section: &str, key: &str) -> Option<T>
    where
        T::Err: fmt::Display,
    {
        let text = self.ini.get_from(Some(section), key)?;
        self.parse_value(section, key, text.trim())
    }

    /// Reads a value that must be there.
    pub fn required<T: FromStr>(&mut self, section: &str, key: &str) -> Option<T>
    where
        T::Err: fmt::Display,
    {
        if self.ini.get_from(Some(section), key).is_none() {
            let place = self.place(section, key);
            self.findings.add(place, "this key is required");
            return None;
        }
        self.optional(section, key)
    }

    /// Reads a value, or takes the default of its key.
    pub fn defaulted<T: FromStr>(&mut self, section: &str, key: &str) -> Option<T>
    where
        T::Err: fmt::Display,
    {
        let default = self
            .keys
            .iter()
            .find(|k| k.section == section && k.key == key)
            .and_then(|k| k.default)?;
        let text = self.ini.get_from(Some(section), key).unwrap_or(default);
        self.parse_value(section, key, text.trim())
    }

    /// Parses a value and notes what is wrong with it.
    pub(crate) fn parse_value<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        text: &str,
    ) -> Option<T>
    where
        T::Err: fmt::Display,
    {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                let place = self.place(section, key);
                self.findings.add(place, error);
                None
            }
        }
    }
}
