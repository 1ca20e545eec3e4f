//! A stand-in for a plain service, which counts how often each call ran.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use gotham::helpers::http::Body;
use http::Method;
use http::Response;
use http::StatusCode;
use parking_lot::Mutex;
use serde_json::json;

use crate::fault::FaultSwitch;
use crate::standin_server::Standin;
use crate::standin_server::StandinRequest;
use crate::standin_server::json_answer;

/// The header in which a fenced order carries its fence.
pub const FENCE_HEADER: &str = "x-fence";

#[derive(Debug, Default)]
struct PlainState {
    runs: BTreeMap<String, u32>,
    fence: u64,
}

/// The state of a plain service.
#[derive(Debug)]
pub struct PlainStandin {
    state: Mutex<PlainState>,
    faults: FaultSwitch,
    work: Duration,
    checks_fences: bool,
}

impl PlainStandin {
    /// Returns a service whose calls take `work`. With `checks_fences` it
    /// refuses orders with an older fence than the highest seen.
    pub fn new(work: Duration, checks_fences: bool) -> Self {
        Self {
            state: Mutex::default(),
            faults: FaultSwitch::default(),
            work,
            checks_fences,
        }
    }

    /// Returns how often the call with each ticket ran.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.state.lock().runs.clone()
    }

    fn fence_is_old(&self, request: &StandinRequest) -> bool {
        let fence = request.header(FENCE_HEADER);
        let Some(fence) = fence.and_then(|fence| fence.parse().ok()) else {
            return false;
        };
        let mut state = self.state.lock();
        let old = fence < state.fence;
        state.fence = state.fence.max(fence);
        old && self.checks_fences
    }
}

impl Standin for PlainStandin {
    async fn answer(self: Arc<Self>, request: StandinRequest) -> Response<Body> {
        if request.uri.path() == "/admin/runs" && request.method == Method::GET {
            return json_answer(StatusCode::OK, &self.runs());
        }
        if self.fence_is_old(&request) {
            return json_answer(StatusCode::CONFLICT, &"old fence");
        }
        let ticket = request.header("idempotency-key").unwrap_or("none");
        let count = {
            let mut state = self.state.lock();
            let runs = state.runs.entry(ticket.to_owned()).or_insert(0);
            *runs += 1;
            *runs
        };
        tokio::time::sleep(self.work).await;
        let answer = json!({
            "path": request.uri.path(),
            "echo": String::from_utf8_lossy(&request.body),
            "run": count,
        });
        json_answer(StatusCode::OK, &answer)
    }

    fn faults(&self) -> &FaultSwitch {
        &self.faults
    }
}
