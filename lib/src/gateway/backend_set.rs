//! The backend servers that this entry knows, and the state that it keeps for each.
//!
//! Pure logic: no I/O and no clock. The records come from the store. Load, failures
//! and recently sent prompt blocks come from the requests that this entry sends.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_record::BackendName;
use crate::gateway::backend_record::BackendOutcome;
use crate::gateway::backend_record::BackendRecord;
use crate::gateway::backend_record::LoadReport;
use crate::gateway::backend_state::BackendState;
use crate::gateway::draining_backends::DrainingBackends;
use crate::gateway::ended_incarnations::EndedIncarnations;
use crate::gateway::list_history::ListHistory;
use crate::gateway::list_update_cache::ListUpdateCache;
use crate::gateway::server_pace::PaceCounts;
use crate::gateway::server_pace::PaceSpread;
use crate::gateway::server_pace::pace_factors;
use crate::gateway::server_pace::usual_event_time;
use crate::gateway::service_times::ServiceTimes;
use crate::gateway::slot_forecast::OwnRun;
use crate::gateway::slot_forecast::RunId;
use crate::id::ServiceName;
use crate::quantity::Timestamp;

mod server_listing;

/// The duration of a server's first ejection. Each further connection failure doubles it.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// The maximum duration of an ejection. A server that has recovered is tried again
/// within it.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// The number of connection failures without a served request in between after which a
/// backend server is ejected. Failure responses do not count.
const FAILURES_TO_EJECT: u32 = 2;
/// The maximum back-off. A server that needs a longer one asks for it again in its
/// next response.
const MAX_BACK_OFF: Duration = Duration::from_secs(60);
/// The weight of the newest outcome in the failure share.
const FAILURE_WEIGHT: f64 = 0.1;

/// A change of the set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendChange {
    /// A backend server is new or has restarted.
    Joined(BackendRecord),
    /// A backend server accepts no new requests from now on.
    Draining(BackendId),
    /// A backend server's record is missing, perhaps only for a while.
    Missing(BackendId),
    /// A backend server is no longer listed.
    Gone(BackendId),
}

/// A period in which requests in flight are counted. Those of earlier periods are forgotten.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CountPeriod(u64);

/// The backend servers that this entry knows.
#[derive(Clone, Debug, Default)]
pub struct BackendSet {
    backends: BTreeMap<BackendName, BackendState>,
    /// The last incarnations of servers that are no longer listed.
    ended: EndedIncarnations,
    /// Incarnations that drain, listed or not.
    draining: DrainingBackends,
    /// The ends of the back-offs of incarnations, listed or not.
    back_offs: HashMap<BackendId, Timestamp>,
    digest: u64,
    history: ListHistory,
    updates: ListUpdateCache,
    /// The number of listed servers whose record is missing.
    missing: usize,
    /// The servers on which other entries put load.
    peer_loaded: Vec<BackendId>,
    times: BTreeMap<ServiceName, ServiceTimes>,
    /// The services whose servers report how long work takes there.
    paced_services: BTreeSet<ServiceName>,
    store_recovered_at: Option<Timestamp>,
    confirmed_at: Option<Timestamp>,
    count_period: CountPeriod,
}

impl BackendSet {
    /// Returns an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Iterates over all backend servers.
    pub fn iter(&self) -> impl Iterator<Item = &BackendState> {
        self.backends.values()
    }

    /// Iterates over the backend servers of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a BackendState> {
        let matches = move |backend: &&BackendState| backend.record.service == *service;
        self.backends.values().filter(matches)
    }

    /// Returns the number of backend servers.
    pub fn count(&self) -> usize {
        self.backends.len()
    }

    /// Returns the period in which a request is counted that is sent now.
    pub fn count_period(&self) -> CountPeriod {
        self.count_period
    }

    /// Forgets the requests that this entry has in flight, since they may hang on paths that
    /// failed, and begins a new period.
    pub fn forget_requests(&mut self) {
        self.count_period.0 += 1;
        for backend in self.backends.values_mut() {
            backend.in_flight = 0;
            backend.pending_tokens = 0;
        }
    }

    /// Forgets all failures and ends all ejections, because the path of this entry failed and
    /// not the servers.
    pub fn forget_ejections(&mut self) {
        for backend in self.backends.values_mut() {
            backend.ejected_until = Timestamp(0);
            backend.connection_failures = 0;
            backend.failure_share = 0.0;
        }
    }

    /// Finds an incarnation of a backend server, if the server has not restarted since.
    pub fn get(&self, id: &BackendId) -> Option<&BackendState> {
        let backend = self.backends.get(&id.name)?;
        (backend.record.id == *id).then_some(backend)
    }

    /// Like [`Self::get`], but mutable. Returns `None` for an earlier incarnation, so
    /// that its late events do not change the state of the present one.
    fn get_mut(&mut self, id: &BackendId) -> Option<&mut BackendState> {
        let backend = self.backends.get_mut(&id.name)?;
        (backend.record.id == *id).then_some(backend)
    }

    /// Returns the observed times of a service's requests.
    pub fn times(&self, service: &ServiceName) -> ServiceTimes {
        self.times.get(service).copied().unwrap_or_default()
    }

    /// Adds the observation that the first event of a response arrived `took` after the
    /// request was sent to a replica that had to prefill `prefill_tokens` prompt tokens
    /// of this request and, as far as this entry knows, none of other requests.
    pub fn note_first_event(&mut self, id: &BackendId, prefill_tokens: u64, took: Duration) {
        let Some(backend) = self.get(id) else {
            return;
        };
        let service = backend.record.service.clone();
        let times = self.times.entry(service).or_default();
        times.prefill_speed.note(prefill_tokens, took);
    }

    /// Counts a request that is sent to a backend server, and remembers its prompt
    /// blocks.
    pub fn note_sent(
        &mut self,
        now: Timestamp,
        id: &BackendId,
        prefill_tokens: u64,
        blocks: &[u64],
    ) {
        let Some(backend) = self.get_mut(id) else {
            return;
        };
        backend.in_flight += 1;
        backend.pending_tokens += prefill_tokens;
        for block in blocks {
            backend.note_block(now, *block);
        }
    }

    /// Subtracts the prompt tokens of a request whose prefill is done from the pending
    /// ones.
    pub fn note_prefilled(&mut self, id: &BackendId, prefill_tokens: u64) {
        if let Some(backend) = self.get_mut(id) {
            backend.pending_tokens = backend.pending_tokens.saturating_sub(prefill_tokens);
        }
    }

    /// Stops counting a request that has finished, and adds its time to the observed
    /// times of the service. `elapsed` is the time since the request was sent, if it says
    /// something of the server, and `had_free_slot` whether a slot seemed free when it was
    /// sent.
    pub fn note_finished(
        &mut self,
        id: &BackendId,
        elapsed: Option<Duration>,
        had_free_slot: bool,
    ) {
        let Some(backend) = self.get_mut(id) else {
            return;
        };
        backend.in_flight = backend.in_flight.saturating_sub(1);
        let Some(elapsed) = elapsed else {
            return;
        };
        let service = backend.record.service.clone();
        let times = self.times.entry(service).or_default();
        times.note_finished(elapsed, had_free_slot);
    }

    /// Adds an own run at a backend server.
    pub fn add_run(&mut self, id: &BackendId, run: OwnRun) -> Option<RunId> {
        self.get_mut(id)?.own_runs.add(run)
    }

    /// Notes that the generation of an own run has begun.
    pub fn note_run_began(&mut self, now: Timestamp, id: &BackendId, run: RunId) {
        if let Some(backend) = self.get_mut(id) {
            backend.own_runs.note_began(now, run);
        }
    }

    /// Removes an own run that has ended.
    pub fn remove_run(&mut self, id: &BackendId, run: RunId) {
        if let Some(backend) = self.get_mut(id) {
            backend.own_runs.remove(run);
        }
    }

    /// Adds the time for which a request occupied a slot to the observed times of the
    /// service.
    pub fn note_slot_time(&mut self, service: &ServiceName, took: Duration) {
        let times = self.times.entry(service.clone()).or_default();
        times.note_slot_time(took);
    }

    /// Remembers the load that a backend server reported.
    pub fn note_load(&mut self, now: Timestamp, id: &BackendId, load: LoadReport) {
        if let Some(backend) = self.get_mut(id) {
            backend.load = Some((now, load));
        }
    }

    /// Notes that a server reported in a response that it is draining.
    pub fn note_reported_draining(&mut self, id: &BackendId) {
        self.draining.note(id);
        if let Some(backend) = self.get_mut(id) {
            backend.reported_draining = true;
        }
    }

    /// Backs off from a server for a while. The back-off stays in force if the server's
    /// record lapses meanwhile.
    pub fn note_back_off(&mut self, now: Timestamp, id: &BackendId, back_off: Duration) {
        let until = now.after(back_off.min(MAX_BACK_OFF));
        self.back_offs.retain(|_, until| now < *until);
        let known = self.back_offs.entry(id.clone()).or_default();
        *known = until.max(*known);
        let until = *known;
        if let Some(backend) = self.get_mut(id) {
            backend.back_off_until = until;
        }
    }

    /// Sets how many requests other entries have in flight at a backend server, and how
    /// many of their prompt tokens are pending.
    pub fn note_peer_load(&mut self, id: &BackendId, in_flight: u32, pending_tokens: u64) {
        if let Some(backend) = self.get_mut(id) {
            backend.peer_in_flight = in_flight;
            backend.peer_pending_tokens = pending_tokens;
        }
    }

    /// Replaces the load that other entries put on servers: the requests in flight and
    /// the pending prompt tokens of each. It touches only servers with load, which are
    /// few among thousands.
    pub fn replace_peer_loads(&mut self, loads: impl IntoIterator<Item = (BackendId, u32, u64)>) {
        for id in std::mem::take(&mut self.peer_loaded) {
            self.note_peer_load(&id, 0, 0);
        }
        for (id, in_flight, pending_tokens) in loads {
            self.note_peer_load(&id, in_flight, pending_tokens);
            self.peer_loaded.push(id);
        }
    }

    /// Notes that a server reports how long work takes there. The paces of the servers of
    /// its service are estimated from then on.
    pub fn note_reports_pace(&mut self, id: &BackendId) {
        let Some(backend) = self.get(id) else {
            return;
        };
        if !self.paced_services.contains(&backend.record.service) {
            self.paced_services.insert(backend.record.service.clone());
        }
    }

    /// Adds a sample of the time of one event in a stream of a server.
    pub fn note_event_time(&mut self, now: Timestamp, id: &BackendId, event_time: Duration) {
        let Some(backend) = self.backends.get_mut(&id.name) else {
            return;
        };
        let is_paced = self.paced_services.contains(&backend.record.service);
        if is_paced && backend.record.id == *id {
            backend.pace_samples.note(now, event_time);
        }
    }

    /// Updates the paces of all servers, from the samples of this entry and from those of
    /// all other entries. Returns how far the paces of each service differ.
    pub fn update_paces(
        &mut self,
        now: Timestamp,
        peer_counts: impl IntoIterator<Item = (BackendId, PaceCounts)>,
    ) -> Vec<(ServiceName, PaceSpread)> {
        if self.paced_services.is_empty() {
            return Vec::new();
        }
        for backend in self.backends.values_mut() {
            backend.peer_pace = PaceCounts::default();
        }
        for (id, counts) in peer_counts {
            if let Some(backend) = self.get_mut(&id) {
                backend.peer_pace = counts;
            }
        }
        let services = self.paced_services.iter();
        let mut services: BTreeMap<&ServiceName, Vec<&mut BackendState>> =
            services.map(|service| (service, Vec::new())).collect();
        for backend in self.backends.values_mut() {
            if let Some(servers) = services.get_mut(&backend.record.service) {
                servers.push(backend);
            }
        }
        let spreads = services.into_iter().filter_map(|(service, mut servers)| {
            Some((service.clone(), set_paces(now, &mut servers)?))
        });
        spreads.collect()
    }

    /// Updates a server's failure share and its connection failures after a request.
    /// Returns the duration of the ejection if this outcome ejects the server.
    pub fn note_outcome(
        &mut self,
        now: Timestamp,
        id: &BackendId,
        outcome: BackendOutcome,
    ) -> Option<Duration> {
        let backend = self.get_mut(id)?;
        let failed = matches!(outcome, BackendOutcome::Failed | BackendOutcome::Broken);
        if outcome != BackendOutcome::Full {
            let newest = f64::from(u8::from(failed));
            backend.failure_share += (newest - backend.failure_share) * FAILURE_WEIGHT;
        }
        match outcome {
            BackendOutcome::Served => backend.connection_failures = 0,
            BackendOutcome::Failed | BackendOutcome::Full => {}
            BackendOutcome::Broken => {
                backend.connection_failures += 1;
                if backend.connection_failures >= FAILURES_TO_EJECT {
                    let doublings = (backend.connection_failures - FAILURES_TO_EJECT).min(4);
                    let ejection = (FIRST_EJECTION * (1 << doublings)).min(MAX_EJECTION);
                    backend.ejected_until = now.after(ejection);
                    return Some(ejection);
                }
            }
        }
        None
    }
}

/// Sets the paces of the servers of one service, and returns how far they differ.
fn set_paces(now: Timestamp, servers: &mut [&mut BackendState]) -> Option<PaceSpread> {
    let counts: Vec<PaceCounts> = servers
        .iter()
        .map(|backend| backend.pace_counts(now).plus(backend.peer_pace))
        .collect();
    let factors = pace_factors(&counts);
    let all_counts = counts
        .iter()
        .copied()
        .fold(PaceCounts::default(), PaceCounts::plus);
    let service_time = usual_event_time(all_counts);
    for ((backend, counts), factor) in servers.iter_mut().zip(counts).zip(&factors) {
        backend.pace = *factor;
        backend.event_time = usual_event_time(counts).or(service_time);
    }
    PaceSpread::of(&factors)
}
