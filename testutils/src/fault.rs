//! Faults that a stand-in takes on by an admin call.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

/// A fault of a stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Fault {
    /// It works.
    #[default]
    None,
    /// Every request is answered with 503, without effect.
    Refuse,
    /// Every request waits first.
    Delay {
        /// How long.
        millis: u64,
    },
    /// Requests take effect, and their answers are lost.
    LoseAnswer,
    /// Connections are accepted, and nothing is answered.
    Freeze,
}

/// The fault in force, shared by the handlers of one stand-in.
#[derive(Clone, Debug, Default)]
pub struct FaultSwitch(Arc<Mutex<FaultState>>);

#[derive(Debug, Default)]
struct FaultState {
    fault: Fault,
    remaining: Option<u32>,
    posts_only: bool,
}

/// How a request must end after its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultVerdict {
    /// Answer.
    Answer,
    /// Answer 503 without effect.
    Refuse,
    /// Take effect, then never answer.
    Swallow,
}

/// The order that an admin call gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultOrder {
    /// The fault.
    pub fault: Fault,
    /// After how many requests it ends; never, if absent.
    #[serde(default)]
    pub requests: Option<u32>,
    /// Whether it meets only requests that change something.
    #[serde(default)]
    pub posts_only: bool,
}

impl FaultSwitch {
    /// Sets the fault in force.
    pub fn set(&self, order: FaultOrder) {
        let mut state = self.0.lock();
        state.fault = order.fault;
        state.remaining = order.requests;
        state.posts_only = order.posts_only;
    }

    fn take(&self, is_post: bool) -> Fault {
        let mut state = self.0.lock();
        if state.posts_only && !is_post {
            return Fault::None;
        }
        let fault = state.fault;
        if let Some(remaining) = &mut state.remaining {
            if *remaining == 0 {
                state.fault = Fault::None;
                state.remaining = None;
                return Fault::None;
            }
            *remaining -= 1;
        }
        fault
    }

    /// Returns the fault in force.
    pub fn current(&self) -> Fault {
        self.0.lock().fault
    }

    /// Suffers the fault in force before a request's effect.
    pub async fn suffer(&self, is_post: bool) -> FaultVerdict {
        match self.take(is_post) {
            Fault::None => FaultVerdict::Answer,
            Fault::Refuse => FaultVerdict::Refuse,
            Fault::Delay { millis } => {
                tokio::time::sleep(Duration::from_millis(millis)).await;
                FaultVerdict::Answer
            }
            Fault::LoseAnswer => FaultVerdict::Swallow,
            Fault::Freeze => {
                self.thawed().await;
                FaultVerdict::Answer
            }
        }
    }

    async fn thawed(&self) {
        while self.current() == Fault::Freeze {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}
