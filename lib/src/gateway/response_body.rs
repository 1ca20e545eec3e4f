//! Collects the body of a backend server's answer, as far as it can be held.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::gateway::byte_budget::ByteBudget;
use crate::gateway::byte_budget::HeldBuffer;

/// The largest answer that is held whole, in bytes, before any of it is passed
/// on: well above whole generations, which are some bytes a token, so that
/// these can still be had elsewhere when their server breaks off.
const MAX_HELD_ANSWER: usize = 1_048_576;

/// Why an answer is not held whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PassageCause {
    /// It is larger than what is held.
    Large,
    /// The budget has no room for it.
    NoRoom,
}

impl PassageCause {
    /// Returns the word that stands for the cause in metrics.
    pub fn word(self) -> &'static str {
        match self {
            Self::Large => "large",
            Self::NoRoom => "no_room",
        }
    }
}

/// An answer of which more is to come.
#[derive(Debug)]
pub struct BegunBody {
    /// What was read, in order.
    pub read: [Bytes; 2],
    /// The length of the whole, if the backend server told it.
    pub length: Option<u64>,
    /// Why the rest was not read.
    pub cause: PassageCause,
}

/// What was read of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// All of it.
    Whole(Bytes),
    /// Its beginning.
    Begun(BegunBody),
}

/// Reads an answer until it is whole or can't be held.
///
/// # Errors
///
/// The answer broke off.
pub async fn collect_body(
    budget: &Arc<ByteBudget>,
    body: &mut Incoming,
) -> Result<AnswerBody, hyper::Error> {
    let length = body.size_hint().exact();
    let begun = |read, cause| {
        Ok(AnswerBody::Begun(BegunBody {
            read,
            length,
            cause,
        }))
    };
    let mut buffer = HeldBuffer::new(budget);
    if length.is_some_and(|length| length > MAX_HELD_ANSWER as u64) {
        return begun([Bytes::new(), Bytes::new()], PassageCause::Large);
    }
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > MAX_HELD_ANSWER {
            return begun([buffer.freeze(), data], PassageCause::Large);
        }
        if buffer.push(&data).is_err() {
            return begun([buffer.freeze(), data], PassageCause::NoRoom);
        }
    }
    Ok(AnswerBody::Whole(buffer.freeze()))
}
