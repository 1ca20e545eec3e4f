//! A stand-in for the cloud API and the VM list, which lags behind it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cloverbend::id::VmId;
use cloverbend::platform_client::NoticePage;
use cloverbend::platform_client::ReclaimNotice;
use cloverbend::platform_client::VmMarket;
use cloverbend::platform_client::VmOrder;
use cloverbend::platform_client::VmPage;
use cloverbend::platform_client::VmRecord;
use cloverbend::platform_client::VmStarted;
use cloverbend::platform_client::VmState;
use cloverbend::quantity::HourlyPrice;
use gotham::helpers::http::Body;
use http::Method;
use http::Response;
use http::StatusCode;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

use crate::fault::FaultSwitch;
use crate::standin_server::Standin;
use crate::standin_server::StandinRequest;
use crate::standin_server::json_answer;

#[derive(Debug)]
struct GivenNotice {
    vm: VmId,
    reclaim_at: Instant,
}

#[derive(Debug, Default)]
struct CloudState {
    vms: BTreeMap<VmId, VmRecord>,
    history: VecDeque<(Instant, Vec<VmRecord>)>,
    notices: Vec<GivenNotice>,
    orders: BTreeMap<String, VmId>,
    spare: VecDeque<SocketAddr>,
    started: u64,
}

/// An admin call that gives notice to a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoticeOrder {
    /// The VM.
    pub vm: VmId,
    /// The time until it is taken back, in milliseconds.
    pub left_ms: u64,
}

/// The state of the cloud.
#[derive(Debug)]
pub struct CloudStandin {
    state: Mutex<CloudState>,
    faults: FaultSwitch,
    lag: Duration,
    held: Mutex<Option<Vec<VmRecord>>>,
}

impl CloudStandin {
    /// Returns a cloud without VMs, whose list lags by `lag`.
    pub fn new(lag: Duration) -> Self {
        Self {
            state: Mutex::default(),
            faults: FaultSwitch::default(),
            lag,
            held: Mutex::new(None),
        }
    }

    /// Adds a VM that runs already.
    pub fn add_vm(&self, record: VmRecord) {
        let mut state = self.state.lock();
        state.vms.insert(record.vm.clone(), record);
        state.remember();
    }

    /// Adds the address of a server that the next started VM will have.
    pub fn add_spare(&self, address: SocketAddr) {
        self.state.lock().spare.push_back(address);
    }

    /// Gives notice that a VM will be taken back.
    pub fn give_notice(&self, vm: VmId, left: Duration) {
        let mut state = self.state.lock();
        if let Some(record) = state.vms.get_mut(&vm) {
            record.state = VmState::Leaving;
        }
        state.notices.push(GivenNotice {
            vm,
            reclaim_at: Instant::now() + left,
        });
        state.remember();
    }

    /// Takes a VM off the list.
    pub fn remove_vm(&self, vm: &VmId) {
        let mut state = self.state.lock();
        state.vms.remove(vm);
        state.remember();
    }

    /// Returns the number of VMs started by orders.
    pub fn started(&self) -> u64 {
        self.state.lock().started
    }

    /// Holds the VM list as it is now, as if it lagged without end.
    pub fn hold_list(&self) {
        let listed = self.listed();
        *self.held.lock() = Some(listed);
    }

    fn listed(&self) -> Vec<VmRecord> {
        if let Some(held) = &*self.held.lock() {
            return held.clone();
        }
        let mut state = self.state.lock();
        let Some(seen_at) = Instant::now().checked_sub(self.lag) else {
            return Vec::new();
        };
        while state.history.len() > 1 && state.history[1].0 <= seen_at {
            state.history.pop_front();
        }
        let oldest = state.history.front();
        oldest
            .filter(|(at, _)| *at <= seen_at)
            .map(|(_, vms)| vms.clone())
            .unwrap_or_default()
    }

    fn notices(&self, after: u64) -> NoticePage {
        let state = self.state.lock();
        let now = Instant::now();
        let notices = state
            .notices
            .iter()
            .enumerate()
            .map(|(index, notice)| ReclaimNotice {
                number: index as u64 + 1,
                vm: notice.vm.clone(),
                left_ms: notice.reclaim_at.saturating_duration_since(now).as_millis() as u64,
            })
            .filter(|notice| notice.number > after)
            .collect();
        NoticePage { notices }
    }

    fn start_vm(&self, order: VmOrder) -> Response<Body> {
        let mut state = self.state.lock();
        if let Some(vm) = state.orders.get(&order.token) {
            return json_answer(StatusCode::OK, &VmStarted { vm: vm.clone() });
        }
        let Some(address) = state.spare.pop_front() else {
            return json_answer(StatusCode::SERVICE_UNAVAILABLE, &"no capacity");
        };
        state.started += 1;
        let name = format!("vm-started-{}", state.started);
        let Ok(vm) = name.parse::<VmId>() else {
            return json_answer(StatusCode::INTERNAL_SERVER_ERROR, &"bad name");
        };
        let price = match order.market {
            VmMarket::Reclaimable => HourlyPrice(1.0),
            VmMarket::OnDemand => HourlyPrice(3.0),
        };
        let record = VmRecord {
            vm: vm.clone(),
            address,
            zone: order.zone,
            class: order.class,
            service: order.service,
            market: order.market,
            price,
            state: VmState::Live,
        };
        state.vms.insert(vm.clone(), record);
        state.orders.insert(order.token, vm.clone());
        state.remember();
        json_answer(StatusCode::OK, &VmStarted { vm })
    }
}

impl CloudState {
    fn remember(&mut self) {
        let vms = self.vms.values().cloned().collect();
        self.history.push_back((Instant::now(), vms));
    }
}

impl Standin for CloudStandin {
    async fn answer(self: Arc<Self>, request: StandinRequest) -> Response<Body> {
        let segments = request.segments();
        match (&request.method, &segments[..]) {
            (&Method::GET, ["vms"]) => {
                let page = VmPage { vms: self.listed() };
                json_answer(StatusCode::OK, &page)
            }
            (&Method::GET, ["notices"]) => {
                let after = request.query_number("after").unwrap_or(0);
                json_answer(StatusCode::OK, &self.notices(after))
            }
            (&Method::POST, ["vms"]) => match serde_json::from_slice(&request.body) {
                Ok(order) => self.start_vm(order),
                Err(error) => json_answer(StatusCode::BAD_REQUEST, &error.to_string()),
            },
            (&Method::DELETE, ["vms", name]) => {
                if let Ok(vm) = name.parse() {
                    self.remove_vm(&vm);
                }
                json_answer(StatusCode::OK, &"stopped")
            }
            (&Method::POST, ["admin", "vms"]) => match serde_json::from_slice(&request.body) {
                Ok(record) => {
                    self.add_vm(record);
                    json_answer(StatusCode::OK, &"added")
                }
                Err(error) => json_answer(StatusCode::BAD_REQUEST, &error.to_string()),
            },
            (&Method::POST, ["admin", "notices"]) => {
                match serde_json::from_slice::<NoticeOrder>(&request.body) {
                    Ok(order) => {
                        self.give_notice(order.vm, Duration::from_millis(order.left_ms));
                        json_answer(StatusCode::OK, &"given")
                    }
                    Err(error) => json_answer(StatusCode::BAD_REQUEST, &error.to_string()),
                }
            }
            _ => json_answer(StatusCode::NOT_FOUND, &"no such path"),
        }
    }

    fn faults(&self) -> &FaultSwitch {
        &self.faults
    }
}
