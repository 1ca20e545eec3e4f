//! Limits what of a response is passed on after the time of its request.
//!
//! Bytes that are there are delivered, also late, so a response whose next bytes are always
//! there would never end.

use crate::gateway::call_admission::AdmittedCall;

/// The most bytes that are passed on late: what was ready by then lies in the buffers of a
/// connection, which hold less.
const MAX_LATE_BYTES: usize = 8 * 1_024 * 1_024;

/// Counts the bytes that are passed on late.
#[derive(Clone, Copy, Debug, Default)]
pub struct LateBytes {
    count: usize,
}

impl LateBytes {
    /// Counts bytes that have just arrived. Returns whether the response ends here.
    pub fn is_exceeded_by(&mut self, call: &AdmittedCall, bytes: usize) -> bool {
        if call.time_left().is_zero() {
            self.count += bytes;
        }
        self.count > MAX_LATE_BYTES
    }
}
