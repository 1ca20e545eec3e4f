//! Plans the replicas of the services that may be scaled, and orders them.
//!
//! Every entry that may come to hold the lease plans along, so that the next
//! holder knows the losses and the demand of the last quarter of a minute. Only
//! the holder gives orders.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use slog::info;

use crate::gateway::duty_call::CallOutcome;
use crate::gateway::duty_call::call_cloud;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::gossip_task::own_demand;
use crate::gateway::platform_interface::PlatformError;
use crate::gateway::platform_interface::ReplicaOrder;
use crate::gateway::replica_planner::ReplicaDemand;
use crate::gateway::replica_planner::ReplicaPlanner;
use crate::gateway::replica_planner::ReplicaSupply;
use crate::gateway::replica_planner::ZoneSupply;
use crate::gateway::site_config::ScaleRule;
use crate::gateway::site_config::ServiceRule;
use crate::id::ServiceName;
use crate::id::ZoneName;
use crate::quantity::Timestamp;

/// The pause between looks at the replicas.
const PLAN_PAUSE: Duration = Duration::from_millis(1_000);
/// How long after its last plan an entry begins to plan anew: some plans may
/// be missed while the cloud answers slowly.
const STALE_PLANS_AFTER: Duration = Duration::from_secs(6);
/// How long after the first start of the whole system replicas are first
/// planned: all of them have written their records by then, at least one every
/// two seconds.
const SETTLED_AFTER: Timestamp = Timestamp::from_millis(4_000);
/// The same for an entry that starts again later: the replicas' records are in
/// the store already, and other entries have told their load several times.
const RESTART_SETTLED_AFTER: Timestamp = Timestamp::from_millis(1_200);
/// After how long an order that seems not to be carried out is given again:
/// a replica starts in four seconds, and some orders are done late.
const REORDER_AFTER: Duration = Duration::from_secs(7);
/// The same for an order that was refused: none are to be had for a quarter of
/// a minute, and each second without costs more than a call.
const REFUSED_REORDER_AFTER: Duration = Duration::from_millis(2_500);

/// An order as it was given last.
#[derive(Clone, Copy)]
struct GivenOrder {
    count: u32,
    again_at: Timestamp,
}

/// The plans of one entry, and the orders that it gave.
pub struct ReplicaScaler {
    planners: BTreeMap<ServiceName, ReplicaPlanner>,
    orders: BTreeMap<(ServiceName, ZoneName, bool), GivenOrder>,
    planned_at: Option<Timestamp>,
}

impl Default for ReplicaScaler {
    fn default() -> Self {
        Self::new()
    }
}

impl ReplicaScaler {
    /// Returns a desk that has planned nothing.
    pub fn new() -> Self {
        Self {
            planners: BTreeMap::new(),
            orders: BTreeMap::new(),
            planned_at: None,
        }
    }

    /// Forgets the orders that were given: another holder may have given others.
    pub fn forget_orders(&mut self) {
        self.orders.clear();
    }

    /// Plans if it is time to, without giving orders.
    pub fn plan_as_standby(&mut self, context: &GatewayContext) {
        self.plan(context);
    }

    /// Plans if it is time to, and gives the orders that changed or were not
    /// carried out.
    ///
    /// # Errors
    ///
    /// A holder with a higher fence has called.
    pub async fn order(&mut self, context: &Arc<GatewayContext>) -> Result<(), PlatformError> {
        for order in self.plan(context) {
            self.give_order(context, order).await?;
        }
        Ok(())
    }

    fn plan(&mut self, context: &GatewayContext) -> Vec<ReplicaOrder> {
        let now = context.now();
        if !self.is_due(context, now) {
            return Vec::new();
        }
        if self.has_missed_plans(now) {
            self.planners.clear();
        }
        self.planned_at = Some(now);
        let config = context.config.lock().adopted().cloned();
        let Some(config) = config else {
            return Vec::new();
        };
        let services = config.services.values();
        let scaled = services.filter_map(|service| Some((service, service.scale.as_ref()?)));
        scaled
            .flat_map(|(service, rule)| self.plan_service(context, now, service, rule))
            .collect()
    }

    fn is_due(&self, context: &GatewayContext, now: Timestamp) -> bool {
        let settled = if context.settings.first_start {
            SETTLED_AFTER
        } else {
            RESTART_SETTLED_AFTER
        };
        let rested = self.planned_at.is_none_or(|at| now.since(at) >= PLAN_PAUSE);
        rested && now >= settled && context.backends.lock().confirmed_at().is_some()
    }

    /// Returns whether this entry stood by, then did not for a while, so that
    /// what it takes for lost now may have gone long ago.
    fn has_missed_plans(&self, now: Timestamp) -> bool {
        self.planned_at
            .is_some_and(|at| now.since(at) > STALE_PLANS_AFTER)
    }

    fn plan_service(
        &mut self,
        context: &GatewayContext,
        now: Timestamp,
        service: &ServiceRule,
        rule: &ScaleRule,
    ) -> Vec<ReplicaOrder> {
        let slots = service.engine.as_ref().map_or(1, |engine| engine.slots);
        let demand = measure_demand(context, &service.name, slots);
        let supply = measure_supply(context, &service.name, rule);
        let first_start = context.settings.first_start;
        let planner = self
            .planners
            .entry(service.name.clone())
            .or_insert_with(|| ReplicaPlanner::new(rule, &supply, first_start));
        let orders = planner.plan(now, &service.name, rule, demand, &supply);
        let there = supply_totals(&supply);
        info!(context.log, "replicas planned"; "service" => %service.name,
            "demand_slots" => demand.slots, "demand_reading" => demand.reading,
            "reclaimable" => there.reclaimable, "fixed" => there.fixed,
            "planned_reclaimable" => ordered(&orders, true),
            "planned_fixed" => ordered(&orders, false));
        orders
    }

    async fn give_order(
        &mut self,
        context: &Arc<GatewayContext>,
        order: ReplicaOrder,
    ) -> Result<(), PlatformError> {
        let now = context.now();
        let key = (order.service.clone(), order.zone.clone(), order.reclaimable);
        let given = self.orders.get(&key).copied();
        let there = count_replicas(context, &order);
        let is_done = |given: GivenOrder| there == order.count || now < given.again_at;
        if given.is_some_and(|given| given.count == order.count && is_done(given)) {
            return Ok(());
        }
        let cloud = &context.platform.cloud;
        let made = call_cloud(context, |terms| cloud.order_replicas(terms, &order)).await;
        // Without the right to act the order is given with a later plan.
        let Some(CallOutcome { call, result }) = made else {
            return Ok(());
        };
        info!(context.log, "replicas ordered"; "service" => %order.service, "zone" => %order.zone,
            "reclaimable" => order.reclaimable, "count" => order.count, "there" => there,
            "fence" => call.credentials.fencing_token.0, "began_ms" => call.began_ms,
            "right_until_ms" => call.lease_expires_ms,
            "error" => result.as_ref().err().map(ToString::to_string));
        let pause = match &result {
            Ok(()) => REORDER_AFTER,
            Err(_) => REFUSED_REORDER_AFTER,
        };
        let count = order.count;
        let again_at = now.after(pause);
        self.orders.insert(key, GivenOrder { count, again_at });
        match result {
            Err(PlatformError::Fenced) => Err(PlatformError::Fenced),
            _ => Ok(()),
        }
    }
}

fn count_replicas(context: &GatewayContext, order: &ReplicaOrder) -> u32 {
    let backends = context.backends.lock();
    let there = backends.of_service(&order.service).filter(|backend| {
        let record = &backend.record;
        record.zone == order.zone && record.reclaimable == order.reclaimable && !record.draining
    });
    there.count() as u32
}

/// Measures demand as it is offered, and as it runs. Where replicas are lost, what
/// runs is bounded by what is left; entries of earlier versions do not tell what
/// is offered.
fn measure_demand(context: &GatewayContext, service: &ServiceName, slots: u32) -> ReplicaDemand {
    let now = context.now();
    let (running, token_rate): (u32, f64) = {
        let backends = context.backends.lock();
        let of_service = backends.of_service(service);
        // Requests that wait are not counted: a queue that built up once would
        // be taken for demand until it is gone.
        let running = of_service.map(|b| b.occupancy(now).min(slots)).sum();
        (
            running,
            backends.times(service).prefill_speed.token_rate().0,
        )
    };
    let own = own_demand(context);
    let own = own.iter().filter(|work| work.service == service.as_str());
    let peers = context.peers.lock();
    let (mut tokens_per_s, mut busy_milli) = (0, 0);
    for work in own.chain(peers.service_demand(now, service)) {
        tokens_per_s += work.tokens_per_s;
        busy_milli += work.busy_milli;
    }
    let busy = (busy_milli as f64 / 1_000.0).max(f64::from(running));
    ReplicaDemand {
        slots: busy / f64::from(slots.max(1)),
        reading: tokens_per_s as f64 / token_rate,
    }
}

fn measure_supply(context: &GatewayContext, service: &ServiceName, rule: &ScaleRule) -> ZoneSupply {
    let backends = context.backends.lock();
    let zones = rule.zone_prices.keys().cloned();
    let mut supply: ZoneSupply = zones.map(|zone| (zone, ReplicaSupply::default())).collect();
    let working = backends
        .of_service(service)
        .filter(|backend| backend.accepts_requests() && !backend.is_missing());
    for backend in working {
        let zone = supply.entry(backend.record.zone.clone()).or_default();
        if backend.record.reclaimable {
            zone.reclaimable += 1;
        } else {
            zone.fixed += 1;
        }
    }
    supply
}

/// Sums the replicas that take work over all zones.
fn supply_totals(supply: &ZoneSupply) -> ReplicaSupply {
    let sum = |count: fn(&ReplicaSupply) -> u32| supply.values().map(count).sum();
    ReplicaSupply {
        reclaimable: sum(|zone| zone.reclaimable),
        fixed: sum(|zone| zone.fixed),
    }
}

/// Sums the replicas of one kind that are ordered over all zones.
fn ordered(orders: &[ReplicaOrder], reclaimable: bool) -> u32 {
    let of_kind = orders.iter().filter(|o| o.reclaimable == reclaimable);
    of_kind.map(|order| order.count).sum()
}
