//! Reads the body of a caller's request into memory, within the byte budget.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::gateway::byte_budget::BudgetedBuffer;
use crate::gateway::byte_budget::ByteBudget;
use crate::gateway::call_refusal::CallRefusal;
use crate::gateway::gateway_context::GatewayContext;
use crate::quantity::Timestamp;

/// How long the rest of a refused body is read: enough for the usual limit of
/// 4 MB at 16 Mbit/s. Slower callers may see a connection reset.
const DISCARD_TIME: Duration = Duration::from_secs(2);

/// Limits on reading a request body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// The longest body, in bytes.
    pub max_bytes: usize,
    /// When the request times out.
    pub deadline: Timestamp,
    /// Whether the caller sent `Expect` and waits for `100 Continue` before it
    /// sends the body. After a refusal it may send another request instead, which
    /// must not be read as the body.
    pub expects_continue: bool,
}

/// Reads a whole body.
///
/// # Errors
///
/// A refusal. If the byte budget is exhausted, this returns at once and a
/// background task discards the rest of the body: closing the connection with
/// unread bytes would reset it, and the caller might not see the refusal.
pub async fn read_call_body(
    context: &GatewayContext,
    body: Incoming,
    limits: BodyLimits,
) -> Result<Bytes, CallRefusal> {
    let mut body = body;
    let read = collect_body(&context.byte_budget, &mut body, limits.max_bytes);
    let result = context.clock.timeout_at(limits.deadline, read).await;
    let result = result.unwrap_or(Err(CallRefusal::TooLate));
    if result == Err(CallRefusal::NoRoom) && !limits.expects_continue {
        tokio::spawn(discard_rest(body, limits.max_bytes));
    }
    result
}

async fn collect_body(
    budget: &Arc<ByteBudget>,
    body: &mut Incoming,
    max_bytes: usize,
) -> Result<Bytes, CallRefusal> {
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced <= max_bytes && !budget.has_room(announced) {
        return Err(CallRefusal::NoRoom);
    }
    let mut buffer = BudgetedBuffer::new(budget);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CallRefusal::BodyBroken)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if buffer.len() + data.len() > max_bytes {
            return Err(CallRefusal::BodyTooLarge);
        }
        buffer.push(data).map_err(|_| CallRefusal::NoRoom)?;
    }
    Ok(buffer.freeze())
}

/// Reads and discards the rest of a body, up to `max_bytes`.
pub async fn discard_rest(body: Incoming, max_bytes: usize) {
    let mut body = body;
    let discard = async {
        let mut read = 0;
        while let Some(Ok(frame)) = body.frame().await {
            read += frame.data_ref().map_or(0, Bytes::len);
            if read > max_bytes {
                return;
            }
        }
    };
    // The connection to a caller that takes longer is closed.
    let _ = tokio::time::timeout(DISCARD_TIME, discard).await;
}
