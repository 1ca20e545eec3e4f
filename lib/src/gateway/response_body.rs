//! Buffers the body of a backend server's response, if the limits allow it.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::gateway::byte_budget::BudgetedBuffer;
use crate::gateway::byte_budget::ByteBudget;

/// The largest response that is buffered before any of it is passed on. A complete
/// generation has a few bytes per token and is much smaller, so that its request
/// can be retried if the backend server fails.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 1_048_576;

/// Why a response is passed through instead of buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PassthroughCause {
    /// It is too large to be buffered.
    Large,
    /// The byte budget has no room for it.
    NoRoom,
}

impl PassthroughCause {
    /// Returns the label of the cause in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Large => "large",
            Self::NoRoom => "no_room",
        }
    }
}

/// The beginning of a response body.
#[derive(Debug)]
pub struct PartialBody {
    /// The bytes that were read, in order.
    pub chunks: [Bytes; 2],
    /// The length of the whole body, if the backend server sent it.
    pub length: Option<u64>,
    /// Why the rest is not buffered.
    pub cause: PassthroughCause,
}

/// The part of a response body that was read.
#[derive(Debug)]
pub enum ResponseBody {
    /// The whole body.
    Complete(Bytes),
    /// The beginning of the body.
    Partial(PartialBody),
}

/// Reads a response body until it is complete or can no longer be buffered.
///
/// # Errors
///
/// The connection failed before the end of the body.
pub async fn collect_response_body(
    budget: &Arc<ByteBudget>,
    body: &mut Incoming,
) -> Result<ResponseBody, hyper::Error> {
    let length = body.size_hint().exact();
    let partial = |chunks, cause| {
        Ok(ResponseBody::Partial(PartialBody {
            chunks,
            length,
            cause,
        }))
    };
    let mut buffer = BudgetedBuffer::new(budget);
    if length.is_some_and(|length| length > MAX_BUFFERED_RESPONSE_BYTES as u64) {
        return partial([Bytes::new(), Bytes::new()], PassthroughCause::Large);
    }
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > MAX_BUFFERED_RESPONSE_BYTES {
            return partial([buffer.freeze(), data], PassthroughCause::Large);
        }
        if buffer.push(&data).is_err() {
            return partial([buffer.freeze(), data], PassthroughCause::NoRoom);
        }
    }
    Ok(ResponseBody::Complete(buffer.freeze()))
}
