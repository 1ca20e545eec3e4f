//! Reads the body of a caller's request, as far as there is room for it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::gateway::byte_budget::ByteBudget;
use crate::gateway::byte_budget::HeldBuffer;
use crate::gateway::call_refusal::CallRefusal;
use crate::gateway::gateway_context::GatewayContext;
use crate::quantity::Timestamp;

/// How long the rest of a refused body is read: a body of the usual limit of
/// 4 MB arrives within it at 16 Mbit/s. Slower callers may see a reset.
const DISCARD_TIME: Duration = Duration::from_secs(2);

/// How much of a body is read, and until when.
#[derive(Clone, Copy, Debug)]
pub struct BodyTerms {
    /// The longest body, in bytes.
    pub limit: usize,
    /// When the request's time is over.
    pub until: Timestamp,
    /// Whether the caller waits for a word before it sends the body. After a
    /// refusal it may send another request instead, which is not to be taken
    /// for the body.
    pub waits: bool,
}

/// Reads a body whole.
///
/// # Errors
///
/// A refusal. For lack of room it comes at once, and the rest of the body is
/// thrown away beside it: closing with unread bytes would reset the
/// connection, and the caller might not see the refusal.
pub async fn read_call_body(
    context: &GatewayContext,
    body: Incoming,
    terms: BodyTerms,
) -> Result<Bytes, CallRefusal> {
    let mut body = body;
    let read = collect_within(&context.byte_budget, &mut body, terms.limit);
    let result = context.clock.timeout_at(terms.until, read).await;
    let result = result.unwrap_or(Err(CallRefusal::TooLate));
    if result == Err(CallRefusal::NoRoom) && !terms.waits {
        tokio::spawn(discard_rest(body, terms.limit));
    }
    result
}

async fn collect_within(
    budget: &Arc<ByteBudget>,
    body: &mut Incoming,
    limit: usize,
) -> Result<Bytes, CallRefusal> {
    let told = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if told <= limit && !budget.has_room(told) {
        return Err(CallRefusal::NoRoom);
    }
    let mut buffer = HeldBuffer::new(budget);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CallRefusal::BodyBroken)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if buffer.len() + data.len() > limit {
            return Err(CallRefusal::BodyTooLarge);
        }
        buffer.push(data).map_err(|_| CallRefusal::NoRoom)?;
    }
    Ok(buffer.freeze())
}

/// Reads up to `limit` bytes and keeps none of them.
async fn discard_rest(body: Incoming, limit: usize) {
    let mut body = body;
    let discard = async {
        let mut read = 0;
        while let Some(Ok(frame)) = body.frame().await {
            read += frame.data_ref().map_or(0, Bytes::len);
            if read > limit {
                return;
            }
        }
    };
    // A caller that takes longer is cut off.
    let _ = tokio::time::timeout(DISCARD_TIME, discard).await;
}
