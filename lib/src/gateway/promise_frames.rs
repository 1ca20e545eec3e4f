//! Frames of return promises in the gossip between entries.

use std::time::Duration;

use prost::Message;

use crate::gateway::return_promises::PromiseKey;
use crate::gateway::return_promises::PromiseList;
use crate::gateway::return_promises::PromiseNews;
use crate::gateway::return_promises::PromiseState;
use crate::wire_error::WireError;
use crate::wire_error::read_field;

/// The frame of [`PromiseList`]. The columns have one value for each promise.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PromiseListFrame {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(fixed32, repeated, tag = "2")]
    keys: Vec<u32>,
    /// Four times the time until the promise is due, in milliseconds, plus the number of
    /// the state.
    #[prost(uint32, repeated, tag = "3")]
    states: Vec<u32>,
}

fn state_number(state: PromiseState) -> u32 {
    match state {
        PromiseState::Open => 0,
        PromiseState::Kept => 1,
        PromiseState::Deferred => 2,
    }
}

/// Returns the state with a number. An unknown one promises nothing.
fn state_of(number: u32) -> PromiseState {
    match number {
        0 => PromiseState::Open,
        1 => PromiseState::Kept,
        _ => PromiseState::Deferred,
    }
}

impl From<PromiseList> for PromiseListFrame {
    fn from(list: PromiseList) -> Self {
        let state = |news: &PromiseNews| {
            let due_ms = news.due_in.as_millis().min(u128::from(u32::MAX / 4)) as u32;
            due_ms * 4 + state_number(news.state)
        };
        Self {
            service: list.service.into(),
            keys: list.news.iter().map(|news| news.key.0).collect(),
            states: list.news.iter().map(state).collect(),
        }
    }
}

impl TryFrom<PromiseListFrame> for PromiseList {
    type Error = WireError;

    /// Values without a counterpart in the other column are ignored.
    fn try_from(frame: PromiseListFrame) -> Result<Self, WireError> {
        let news = |(key, state): (u32, u32)| PromiseNews {
            key: PromiseKey(key),
            due_in: Duration::from_millis(u64::from(state / 4)),
            state: state_of(state % 4),
        };
        let columns = frame.keys.into_iter().zip(frame.states);
        Ok(Self {
            service: read_field("service", &frame.service)?,
            news: columns.map(news).collect(),
        })
    }
}

/// Decodes the lists of a message.
///
/// # Errors
///
/// The name of a service is malformed.
pub fn read_promises(frames: Vec<PromiseListFrame>) -> Result<Vec<PromiseList>, WireError> {
    frames.into_iter().map(TryInto::try_into).collect()
}
