//! A stand-in for the rate-limited weight store.

use std::sync::Arc;
use std::time::Duration;

use gotham::helpers::http::Body;
use http::Response;
use http::StatusCode;
use serde_json::json;
use tokio::sync::Mutex;

use crate::fault::FaultSwitch;
use crate::standin_server::Standin;
use crate::standin_server::StandinRequest;
use crate::standin_server::json_answer;

/// The state of the weight store: one load at a time, each taking a while.
#[derive(Debug)]
pub struct WeightStandin {
    turn: Mutex<u64>,
    faults: FaultSwitch,
    load_time: Duration,
}

impl WeightStandin {
    /// Returns a store in which one load takes `load_time`.
    pub fn new(load_time: Duration) -> Self {
        Self {
            turn: Mutex::new(0),
            faults: FaultSwitch::default(),
            load_time,
        }
    }
}

impl Standin for WeightStandin {
    async fn answer(self: Arc<Self>, request: StandinRequest) -> Response<Body> {
        let mut loads = self.turn.lock().await;
        tokio::time::sleep(self.load_time).await;
        *loads += 1;
        let answer = json!({"weights": request.uri.path(), "loads": *loads});
        json_answer(StatusCode::OK, &answer)
    }

    fn faults(&self) -> &FaultSwitch {
        &self.faults
    }
}
