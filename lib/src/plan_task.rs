//! Plans the VMs of each service whose lease this entry holds.
//!
//! Each round reads the lease stream to its end first: without the log nobody
//! plans. A slot's plan is appended before its VM is ordered, and ordered only
//! once it was read back under the current fence.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use slog::info;
use slog::warn;

use crate::configuration::ConfigView;
use crate::configuration::ServiceConfig;
use crate::entry_context::EntryContext;
use crate::http_client::HttpError;
use crate::id::ServiceName;
use crate::id::VmId;
use crate::lease::LeaseFollower;
use crate::lease::LeaseRecord;
use crate::lease::PlanningRight;
use crate::lease::SlotPlan;
use crate::lease::VmPlacement;
use crate::log_client::LEASE_STREAM;
use crate::member_record::MemberState;
use crate::planner::PlanTarget;
use crate::planner::SlotStatus;
use crate::planner::VmOffer;
use crate::planner::VmPlanner;
use crate::platform_client::VmMarket;
use crate::vm_roster::VmRoster;

/// The time between rounds.
const ROUND: Duration = Duration::from_secs(1);
/// The share of the needed replicas left when any one zone is lost.
const LEFT_AFTER_ZONE_LOSS: f64 = 0.6;
/// How long demand must be lower before a replica is given up.
const SHRINK_AFTER: Duration = Duration::from_secs(300);
/// The status of a VM that the cloud does not know any more.
const GONE: u16 = 404;
/// The status with which the cloud refuses a start.
const REFUSED: u16 = 503;

/// What is known of the VMs started for one service.
#[derive(Debug, Default)]
struct ServicePlan {
    planner: VmPlanner,
    roster: VmRoster,
    listed: BTreeSet<VmId>,
}

struct PlanRound {
    context: Arc<EntryContext>,
    follower: LeaseFollower,
    plans: BTreeMap<ServiceName, ServicePlan>,
}

/// Plans VMs until the entry stops.
pub async fn plan_vms(context: Arc<EntryContext>) {
    let mut round = PlanRound {
        context,
        follower: LeaseFollower::new(),
        plans: BTreeMap::new(),
    };
    loop {
        tokio::time::sleep(ROUND).await;
        round.run().await;
    }
}

impl PlanRound {
    async fn run(&mut self) {
        self.stop_due().await;
        let Some(config) = self.context.config() else {
            return;
        };
        let enabled = !config.document().classes.is_empty();
        let serving = self.context.state() == MemberState::Serving;
        if !enabled || !serving {
            return;
        }
        if let Err(error) = self.read_leases().await {
            slog::debug!(self.context.log, "no planning without the log"; "error" => %error);
            return;
        }
        self.retire_replaced();
        for service in config.services() {
            self.run_service(&config, service).await;
        }
    }

    async fn read_leases(&mut self) -> Result<(), HttpError> {
        loop {
            let from = self.follower.next_offset();
            let log = &self.context.log_service;
            let page = log.read(LEASE_STREAM, from, Duration::ZERO).await?;
            let now = self.context.now();
            for record in &page.records {
                self.follower.apply(now, record.offset, &record.body);
            }
            if self.follower.next_offset() >= page.next || page.records.is_empty() {
                return Ok(());
            }
        }
    }

    async fn append(&self, record: &LeaseRecord) {
        let Ok(body) = serde_json::to_string(record) else {
            return;
        };
        // Reading it back shows whether it counts.
        if let Err(error) = self.context.log_service.append(LEASE_STREAM, body).await {
            slog::debug!(self.context.log, "an append was not answered"; "error" => %error);
        }
    }

    async fn run_service(&mut self, config: &ConfigView, service: &ServiceConfig) {
        let name = &service.name;
        let now = self.context.now();
        let own = self.context.incarnation;
        if let Some(claim) = self.follower.claim(now, name, own) {
            self.follower.note_sent(self.context.now(), &claim);
            self.append(&claim).await;
        }
        let Some(right) = self.follower.right(self.context.now(), name, own) else {
            return;
        };
        let lease = self.follower.lease(name);
        let slots: Vec<SlotPlan> = lease.slots.values().cloned().collect();
        self.order_missing(name, right, &slots).await;
        // Plans need no end: they count only as long as their fence does.
        let changes = self.changes(config, service, &slots);
        for plan in changes {
            let record = LeaseRecord::Slot {
                service: name.clone(),
                fence: right.fence,
                plan,
            };
            self.append(&record).await;
        }
    }

    /// Orders the VMs of slots whose VM is not known. Orders that were sent by
    /// an earlier holder, or whose answer was lost, return the same VM.
    /// None is under way when the right to order ends.
    async fn order_missing(
        &mut self,
        name: &ServiceName,
        right: PlanningRight,
        slots: &[SlotPlan],
    ) {
        for slot in slots {
            let plan = self.plans.entry(name.clone()).or_default();
            let is_missing = plan.roster.vm(slot).is_none();
            let Some(order) = slot.order(name).filter(|_| is_missing) else {
                continue;
            };
            let placement = slot.placement.clone();
            let context = &self.context;
            if context.clock.left(right.until).is_zero() {
                return;
            }
            let call = context.platform.start_vm(&order);
            let Ok(answer) = context.clock.timeout_at(right.until, call).await else {
                return;
            };
            match answer {
                Ok(started) => {
                    info!(self.context.log, "a VM was started"; "service" => %name,
                        "token" => &order.token, "vm" => %started.vm,
                        "fence" => right.fence.0,
                        "right_left_ms" => self.context.clock.left(right.until).as_millis() as u64);
                    counter!("cloverbend_vm_starts_total", "outcome" => "started").increment(1);
                    plan.roster.note_started(slot, started.vm);
                    if let Some(placement) = &placement {
                        plan.planner.started(placement);
                    }
                }
                Err(HttpError::Status(REFUSED, _)) => {
                    warn!(self.context.log, "a start was refused"; "token" => &order.token);
                    counter!("cloverbend_vm_starts_total", "outcome" => "refused").increment(1);
                    if let Some(placement) = &placement {
                        plan.planner.refused(self.context.now(), placement);
                    }
                }
                // The next round sends the same order again.
                Err(_) => {
                    counter!("cloverbend_vm_starts_total", "outcome" => "lost").increment(1);
                }
            }
        }
    }

    fn changes(
        &mut self,
        config: &ConfigView,
        service: &ServiceConfig,
        slots: &[SlotPlan],
    ) -> Vec<SlotPlan> {
        let now = self.context.now();
        let plan = self.plans.entry(service.name.clone()).or_default();
        let own: BTreeSet<&VmId> = plan.roster.vms().collect();
        let mut demand = 0.0;
        let mut foreign = 0;
        let mut live = BTreeSet::new();
        {
            let backends = self.context.tables.backends.lock();
            for (record, leaving) in backends.vms() {
                if record.service != service.name || leaving {
                    continue;
                }
                let load = backends.load(record).unwrap_or_default();
                demand += f64::from(load.running + load.waiting);
                foreign += u32::from(!own.contains(&record.vm));
                live.insert(record.vm.clone());
            }
        }
        let statuses: Vec<SlotStatus> = slots
            .iter()
            .map(|slot| {
                let vm = plan.roster.vm(slot).cloned();
                // A VM that the list never named may not have got there yet.
                let lost = vm
                    .as_ref()
                    .is_some_and(|vm| plan.listed.contains(vm) && !live.contains(vm));
                SlotStatus {
                    plan: slot.clone(),
                    vm,
                    lost,
                }
            })
            .collect();
        plan.listed.extend(live);
        let target = plan_target(service, foreign);
        let carried = f64::from(foreign * service.requests_per_replica);
        let offers = offers(config);
        plan.planner.plan(
            now,
            &target,
            (demand - carried).max(0.0),
            &statuses,
            &offers,
        )
    }

    /// Lets work leave the VMs whose plan was replaced, by what was read from the
    /// log and not by what was appended.
    fn retire_replaced(&mut self) {
        let now = self.context.now();
        for (name, plan) in &mut self.plans {
            let lease = self.follower.lease(name);
            let slots: Vec<SlotPlan> = lease.slots.values().cloned().collect();
            for vm in plan.roster.retire_replaced(now, &slots) {
                self.context.announce_leaving_vm(vm);
            }
        }
    }

    /// Stops the VMs that work has left. Those that the cloud refused to stop, or
    /// did not answer about, are left to the next round.
    async fn stop_due(&mut self) {
        let now = self.context.now();
        for plan in self.plans.values_mut() {
            for vm in plan.roster.due_stops(now) {
                let answer = self.context.platform.stop_vm(&vm).await;
                match answer {
                    Ok(()) | Err(HttpError::Status(GONE, _) | HttpError::BadAnswer(_)) => {
                        plan.roster.note_stopped(&vm);
                    }
                    Err(error) => {
                        slog::debug!(self.context.log, "a VM was not stopped"; "vm" => %vm,
                            "error" => %error);
                    }
                }
            }
        }
    }
}

/// VMs that were not started from here count as kept.
fn plan_target(service: &ServiceConfig, foreign: u32) -> PlanTarget {
    PlanTarget {
        min: service.min_replicas.saturating_sub(foreign),
        max: service.max_replicas.saturating_sub(foreign),
        requests_per_replica: f64::from(service.requests_per_replica),
        left_after_zone_loss: LEFT_AFTER_ZONE_LOSS,
        shrink_after: SHRINK_AFTER,
    }
}

fn offers(config: &ConfigView) -> Vec<VmOffer> {
    let document = config.document();
    let mut offers = Vec::new();
    for zone in &document.zones {
        for class in &document.classes {
            let markets = [
                (VmMarket::Reclaimable, class.reclaimable),
                (VmMarket::OnDemand, class.on_demand),
            ];
            for (market, price) in markets {
                let placement = VmPlacement {
                    zone: zone.clone(),
                    class: class.class.clone(),
                    market,
                };
                offers.push(VmOffer { placement, price });
            }
        }
    }
    offers
}
