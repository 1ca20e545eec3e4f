//! The backend servers that an entry knows, by VM and by service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use tokio_util::sync::CancellationToken;

use crate::configuration::ConfigView;
use crate::configuration::ServiceKind;
use crate::id::ServiceName;
use crate::id::VmId;
use crate::id::ZoneName;
use crate::platform_client::VmRecord;
use crate::platform_client::VmState;
use crate::quantity::Timestamp;
use crate::route_strategy::RouteStrategy;
use crate::routing::CostWeights;
use crate::routing::EngineInfo;
use crate::routing::EngineLoad;
use crate::routing::EngineTable;
use crate::routing::RouteChoice;
use crate::routing::RouteQuery;
use crate::routing::counted_sharers;

/// The assumed speed of an engine that has not reported one.
const DEFAULT_PREFILL_RATE: f64 = 8_000.0;
/// The assumed batch of an engine that has not reported one.
const DEFAULT_SLOTS: u32 = 16;

/// A backend server chosen for a request.
#[derive(Clone, Debug)]
pub struct ChosenBackend {
    /// The routing decision.
    pub choice: RouteChoice,
    /// The VM.
    pub record: VmRecord,
    /// Cancelled when the VM starts to leave.
    pub leaving: CancellationToken,
}

#[derive(Debug)]
struct KnownVm {
    record: VmRecord,
    leaving: CancellationToken,
}

/// All backend servers known.
#[derive(Debug, Default)]
pub struct BackendTable {
    vms: BTreeMap<VmId, KnownVm>,
    services: BTreeMap<ServiceName, EngineTable>,
    left: BTreeSet<VmId>,
    seed: u64,
    sharers: usize,
}

impl BackendTable {
    /// Returns a table without backend servers. The seed is for strategies
    /// that draw at random.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// Sets the number of entries that serve, this one included.
    pub fn set_entries(&mut self, entries: usize) {
        self.sharers = counted_sharers(entries);
        for table in self.services.values_mut() {
            table.set_sharers(self.sharers);
        }
    }

    /// Takes in a page of the VM list. VMs that are known to be leaving stay
    /// so, however late the list is. Returns the VMs that the list reports
    /// as leaving for the first time.
    pub fn update(&mut self, config: Option<&ConfigView>, vms: Vec<VmRecord>) -> Vec<VmId> {
        let listed: BTreeSet<VmId> = vms.iter().map(|vm| vm.vm.clone()).collect();
        let gone: Vec<VmId> = self
            .vms
            .keys()
            .filter(|vm| !listed.contains(*vm))
            .cloned()
            .collect();
        for vm in gone {
            self.remove(&vm);
        }
        self.left.retain(|vm| listed.contains(vm));
        let mut newly_leaving = Vec::new();
        for record in vms {
            let leaving = record.state == VmState::Leaving;
            let vm = record.vm.clone();
            if leaving && !self.is_leaving(&vm) {
                newly_leaving.push(vm.clone());
            }
            self.add(config, record);
            if leaving {
                self.set_leaving(&vm);
            }
        }
        newly_leaving
    }

    fn add(&mut self, config: Option<&ConfigView>, record: VmRecord) {
        if self.vms.contains_key(&record.vm) {
            return;
        }
        let seed = self.seed;
        let service = config.and_then(|config| config.service(&record.service));
        let kind = service.map_or(ServiceKind::Model, |service| service.kind);
        let mut weights = CostWeights::default();
        if let Some(service) = service {
            weights.recompute = service.recompute_weight;
        }
        let strategy = match kind {
            ServiceKind::Model => RouteStrategy::FullCost,
            ServiceKind::Plain => RouteStrategy::LeastLoaded,
        };
        let table = self
            .services
            .entry(record.service.clone())
            .or_insert_with(|| EngineTable::new(strategy, weights, seed));
        table.set_sharers(self.sharers);
        table.set_weights(weights);
        table.add(EngineInfo {
            vm: record.vm.clone(),
            zone: record.zone.clone(),
            price: record.price,
            prefill_rate: DEFAULT_PREFILL_RATE,
            slots: DEFAULT_SLOTS,
        });
        let leaving = CancellationToken::new();
        if self.left.contains(&record.vm) {
            table.set_leaving(&record.vm);
            leaving.cancel();
        }
        self.vms
            .insert(record.vm.clone(), KnownVm { record, leaving });
    }

    fn remove(&mut self, vm: &VmId) {
        let Some(known) = self.vms.remove(vm) else {
            return;
        };
        known.leaving.cancel();
        if let Some(table) = self.services.get_mut(&known.record.service) {
            table.remove(vm);
        }
    }

    fn is_leaving(&self, vm: &VmId) -> bool {
        self.left.contains(vm)
    }

    /// Marks a VM as leaving, known or not: it gets no new work from now on,
    /// and work in progress on it has to move.
    pub fn set_leaving(&mut self, vm: &VmId) {
        self.left.insert(vm.clone());
        let Some(known) = self.vms.get(vm) else {
            return;
        };
        known.leaving.cancel();
        if let Some(table) = self.services.get_mut(&known.record.service) {
            table.set_leaving(vm);
        }
    }

    /// Returns the zones that have backend servers of a service.
    pub fn zones(&self, service: &ServiceName) -> Vec<ZoneName> {
        let zones: BTreeSet<ZoneName> = self
            .vms
            .values()
            .filter(|known| known.record.service == *service)
            .map(|known| known.record.zone.clone())
            .collect();
        zones.into_iter().collect()
    }

    /// Returns all VMs, with whether each is leaving.
    pub fn vms(&self) -> impl Iterator<Item = (&VmRecord, bool)> {
        self.vms
            .values()
            .map(|known| (&known.record, known.leaving.is_cancelled()))
    }

    /// Chooses a backend server and counts the request as sent there.
    pub fn choose(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        query: &RouteQuery<'_>,
    ) -> Option<ChosenBackend> {
        let table = self.services.get_mut(service)?;
        let choice = table.choose(now, query)?;
        let known = self.vms.get(&choice.vm)?;
        table.sent(now, &choice, query);
        Some(ChosenBackend {
            record: known.record.clone(),
            leaving: known.leaving.clone(),
            choice,
        })
    }

    /// Returns what would be chosen now, without sending.
    pub fn preview(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        query: &RouteQuery<'_>,
    ) -> Option<RouteChoice> {
        self.services.get_mut(service)?.choose(now, query)
    }

    /// Notes that a request ended on a backend server.
    pub fn ended(&mut self, now: Timestamp, service: &ServiceName, vm: &VmId, failed: bool) {
        if let Some(table) = self.services.get_mut(service) {
            table.ended(now, vm, failed);
        }
    }

    /// Takes in an engine's load report.
    pub fn report_load(&mut self, service: &ServiceName, vm: &VmId, load: EngineLoad) {
        if let Some(table) = self.services.get_mut(service) {
            table.report_load(vm, load);
        }
    }

    /// Takes in what an engine tells of its speed and size.
    pub fn report_shape(
        &mut self,
        service: &ServiceName,
        vm: &VmId,
        slots: Option<u32>,
        prefill_rate: Option<f64>,
    ) {
        if let Some(table) = self.services.get_mut(service) {
            table.report_shape(vm, slots, prefill_rate);
        }
    }

    /// Takes in an engine's cache events.
    pub fn report_cache(
        &mut self,
        service: &ServiceName,
        vm: &VmId,
        stored: &[u64],
        evicted: &[u64],
    ) {
        if let Some(table) = self.services.get_mut(service) {
            table.report_cache(vm, stored, evicted);
        }
    }

    /// Returns the load last reported by a VM's engine.
    pub fn load(&self, record: &VmRecord) -> Option<EngineLoad> {
        self.services.get(&record.service)?.load(&record.vm)
    }
}
