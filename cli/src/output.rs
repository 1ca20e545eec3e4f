//! Prints text, tables and JSON on standard output.

use std::io::Write;

use serde::Serialize;

/// Prints text. Exits with code 0 if it cannot be written, for example because the
/// reader closed the pipe.
pub fn print_text(text: &str) {
    let mut output = std::io::stdout().lock();
    if output.write_all(text.as_bytes()).is_err() || output.flush().is_err() {
        std::process::exit(0);
    }
}

/// Prints a value as indented JSON.
pub fn print_json<T: Serialize>(value: &T) {
    let text = serde_json::to_string_pretty(value).unwrap_or_default();
    print_text(&format!("{text}\n"));
}

/// Prints a table whose columns are as wide as their widest cell.
pub fn print_table(header: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let header: Vec<String> = header.iter().map(|cell| (*cell).to_owned()).collect();
    let mut text = String::new();
    for row in std::iter::once(&header).chain(rows) {
        let cells = row.iter().zip(&widths);
        let line: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        text.push_str(line.join("  ").trim_end());
        text.push('\n');
    }
    print_text(&text);
}
