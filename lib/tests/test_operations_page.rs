//! Tests that the operators' page describes every metric and log line of the gateway.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

const PAGE: &str = include_str!("../../docs/OPERATIONS.md");

fn gateway_sources() -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let link_files = ["peer_link.rs", "frame_reader.rs", "request_socket.rs"];
    let read = |name: &str| fs::read_to_string(folder.join(name)).unwrap();
    let mut text: String = link_files.map(read).concat();
    add_sources(&folder.join("gateway"), &mut text);
    text
}

/// Adds the sources in a folder and in those below it.
fn add_sources(folder: &Path, text: &mut String) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            add_sources(&path, text);
        } else {
            text.push_str(&fs::read_to_string(path).unwrap());
        }
    }
}

/// Returns the first quoted text after each occurrence of `mark`.
fn quoted_after(text: &str, mark: &str) -> BTreeSet<String> {
    let tails = text.split(mark).skip(1);
    let quoted = tails.filter_map(|tail| tail.split('"').nth(1));
    quoted.map(str::to_owned).collect()
}

#[test]
fn the_page_describes_exactly_the_metrics_of_the_gateway() {
    let sources = gateway_sources();
    let mut served = BTreeSet::new();
    for mark in ["counter!(", "gauge!(", "histogram!("] {
        served.extend(quoted_after(&sources, mark));
    }
    let described: BTreeSet<String> = PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("| `cloverbend_"))
        .filter_map(|row| row.split('`').next())
        .map(|name| format!("cloverbend_{name}"))
        .collect();
    assert_eq!(served, described);
}

#[test]
fn the_page_describes_every_info_line() {
    let sources = gateway_sources();
    for mark in ["info!(context.log, ", "info!(self.context.log, "] {
        for message in quoted_after(&sources, mark) {
            let last = message.rsplit(' ').next().unwrap_or_default();
            let described = PAGE.contains(&format!("`{message}`"))
                || (message.starts_with("backend server") && PAGE.contains(&format!("`{last}`")))
                || (message.starts_with("backend server") && message.ends_with("ejected"));
            assert!(described, "docs/OPERATIONS.md lacks: {message}");
        }
    }
}
