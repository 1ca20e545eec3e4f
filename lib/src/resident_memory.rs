//! Reads how much memory this process holds.

use std::fs;
use std::io;
use std::io::ErrorKind;

/// Where the kernel tells the sizes of this process, in pages.
const STATM_PATH: &str = "/proc/self/statm";
/// The place of the resident size among the fields, by proc_pid_statm(5).
const RESIDENT_FIELD: usize = 1;
/// The bytes of a page on x86-64, and on ARM with the usual kernels.
const PAGE_BYTES: u64 = 4_096;
/// The bytes of a mebibyte.
const MEBIBYTE: u64 = 1_024 * 1_024;

/// Resident memory of a process, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ResidentBytes(pub u64);

impl ResidentBytes {
    /// Returns the size in whole mebibytes.
    pub fn mebibytes(self) -> u64 {
        self.0 / MEBIBYTE
    }
}

/// Reads the resident memory of this process.
///
/// # Errors
///
/// If the kernel's file is absent, or has another form.
pub fn read_resident() -> io::Result<ResidentBytes> {
    let text = fs::read_to_string(STATM_PATH)?;
    parse_statm(&text).ok_or_else(|| ErrorKind::InvalidData.into())
}

/// Finds the resident memory in the text of a statm file.
pub fn parse_statm(text: &str) -> Option<ResidentBytes> {
    let field = text.split_whitespace().nth(RESIDENT_FIELD)?;
    let pages: u64 = field.parse().ok()?;
    pages.checked_mul(PAGE_BYTES).map(ResidentBytes)
}
