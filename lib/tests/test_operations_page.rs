//! The operators' page names every metric and log line of the gateway.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

const PAGE: &str = include_str!("../../docs/OPERATIONS.md");

fn gateway_sources() -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let links = ["peer_link.rs", "frame_reader.rs"];
    let read = |name: &str| fs::read_to_string(folder.join(name)).unwrap();
    let mut text: String = links.map(read).concat();
    for entry in fs::read_dir(folder.join("gateway")).unwrap() {
        text.push_str(&fs::read_to_string(entry.unwrap().path()).unwrap());
    }
    text
}

/// Returns the first quoted text after each occurrence of a mark.
fn quoted_after(text: &str, mark: &str) -> BTreeSet<String> {
    let rests = text.split(mark).skip(1);
    let quoted = rests.filter_map(|rest| rest.split('"').nth(1));
    quoted.map(str::to_owned).collect()
}

#[test]
fn every_metric_is_described_and_every_description_is_of_one() {
    let sources = gateway_sources();
    let mut served = BTreeSet::new();
    for mark in ["counter!(", "gauge!(", "histogram!("] {
        served.extend(quoted_after(&sources, mark));
    }
    let described: BTreeSet<String> = PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("| `cloverbend_"))
        .filter_map(|rest| rest.split('`').next())
        .map(|name| format!("cloverbend_{name}"))
        .collect();
    assert_eq!(served, described);
}

#[test]
fn every_log_line_of_a_request_is_described() {
    let sources = gateway_sources();
    for mark in ["info!(context.log, ", "info!(self.context.log, "] {
        for message in quoted_after(&sources, mark) {
            let last = message.rsplit(' ').next().unwrap_or_default();
            let described = PAGE.contains(&format!("`{message}`"))
                || (message.starts_with("backend server") && PAGE.contains(&format!("`{last}`")))
                || (message.starts_with("backend server") && message.ends_with("left out"));
            assert!(described, "docs/OPERATIONS.md lacks: {message}");
        }
    }
}
