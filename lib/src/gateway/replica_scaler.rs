//! Scales the replicas of services: plans how many are needed, and orders them.
//!
//! Every entry that may become the lease holder plans as a standby, so that the next
//! holder knows the losses and the demand of the last 15 s. Only the lease holder
//! orders replicas.

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
use crate::gateway::replica_planner::without_reductions;
use crate::gateway::rollout_state::RolloutPhase;
use crate::gateway::site_config::ScaleRule;
use crate::gateway::site_config::ServiceRule;
use crate::id::ServiceName;
use crate::id::ZoneName;
use crate::quantity::Timestamp;

/// The interval between plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(1_000);
/// The time without a plan after which an entry starts new planners. Some plans may be
/// skipped while the cloud responds slowly.
const STALE_PLAN_AGE: Duration = Duration::from_secs(6);
/// The time from an entry's start to its first plan, if the whole system starts at once.
/// All replicas have written their records by then, which they do at least every two
/// seconds.
const FIRST_PLAN_AT: Timestamp = Timestamp::from_millis(4_000);
/// The same for an entry that restarts later. The replicas' records are already in the
/// store then, and other entries have sent their load several times.
const FIRST_PLAN_AFTER_RESTART_AT: Timestamp = Timestamp::from_millis(1_200);
/// The time after which an order without a visible effect is repeated. It is longer than
/// the four seconds that a replica takes to start, since some orders take effect late.
const REORDER_INTERVAL: Duration = Duration::from_secs(7);
/// The same for a refused order. No replicas are available then for 15 s, and each second
/// without a replica costs more than another call.
const REFUSED_REORDER_INTERVAL: Duration = Duration::from_millis(2_500);

/// The last order for a service, a zone and a kind of replica.
#[derive(Clone, Copy)]
struct LastOrder {
    count: u32,
    repeat_at: Timestamp,
}

/// The planners of one entry, and the orders that it placed.
pub struct ReplicaScaler {
    planners: BTreeMap<ServiceName, ReplicaPlanner>,
    orders: BTreeMap<(ServiceName, ZoneName, bool), LastOrder>,
    planned_at: Option<Timestamp>,
}

impl Default for ReplicaScaler {
    fn default() -> Self {
        Self::new()
    }
}

impl ReplicaScaler {
    /// Returns a scaler without plans and orders.
    pub fn new() -> Self {
        Self {
            planners: BTreeMap::new(),
            orders: BTreeMap::new(),
            planned_at: None,
        }
    }

    /// Forgets the last orders, since another lease holder may have placed others.
    pub fn forget_orders(&mut self) {
        self.orders.clear();
    }

    /// Plans if a plan is due, without placing orders.
    pub fn plan_as_standby(&mut self, context: &GatewayContext) {
        self.plan(context);
    }

    /// Plans if a plan is due, and places the orders that changed or had no effect.
    ///
    /// # Errors
    ///
    /// A lease holder with a higher fencing token has made a call.
    pub async fn order(&mut self, context: &Arc<GatewayContext>) -> Result<(), PlatformError> {
        for order in self.plan(context) {
            self.place_order(context, order).await?;
        }
        Ok(())
    }

    fn plan(&mut self, context: &GatewayContext) -> Vec<ReplicaOrder> {
        let now = context.now();
        if !self.is_due(context, now) {
            return Vec::new();
        }
        if self.is_stale(now) {
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
        let first_plan_at = if context.settings.first_start {
            FIRST_PLAN_AT
        } else {
            FIRST_PLAN_AFTER_RESTART_AT
        };
        let interval_over = self
            .planned_at
            .is_none_or(|at| now.since(at) >= PLAN_INTERVAL);
        interval_over && now >= first_plan_at && context.backends.lock().confirmed_at().is_some()
    }

    /// Returns whether the last plan is older than [`STALE_PLAN_AGE`]. To the planners,
    /// losses since then would look like a sudden loss even if they were gradual.
    fn is_stale(&self, now: Timestamp) -> bool {
        self.planned_at
            .is_some_and(|at| now.since(at) > STALE_PLAN_AGE)
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
        let mut orders = planner.plan(now, &service.name, rule, demand, &supply);
        if is_rolled_out(context, now, &service.name) {
            orders = without_reductions(&supply, orders);
        }
        let present = total_supply(&supply);
        info!(context.log, "replicas planned"; "service" => %service.name,
            "demand_slots" => demand.slots, "demand_reading" => demand.prefill,
            "reclaimable" => present.reclaimable, "fixed" => present.on_demand,
            "planned_reclaimable" => total_ordered(&orders, true),
            "planned_fixed" => total_ordered(&orders, false));
        orders
    }

    async fn place_order(
        &mut self,
        context: &Arc<GatewayContext>,
        order: ReplicaOrder,
    ) -> Result<(), PlatformError> {
        let now = context.now();
        let key = (order.service.clone(), order.zone.clone(), order.reclaimable);
        let last = self.orders.get(&key).copied();
        let present = count_replicas(context, &order);
        let is_settled = |last: LastOrder| present == order.count || now < last.repeat_at;
        if last.is_some_and(|last| last.count == order.count && is_settled(last)) {
            return Ok(());
        }
        let cloud = &context.platform.cloud;
        let outcome = call_cloud(context, |credentials| {
            cloud.order_replicas(credentials, &order)
        })
        .await;
        // Without a valid lease no call was made. A later plan repeats the order.
        let Some(CallOutcome { call, result }) = outcome else {
            return Ok(());
        };
        info!(context.log, "replicas ordered"; "service" => %order.service, "zone" => %order.zone,
            "reclaimable" => order.reclaimable, "count" => order.count, "there" => present,
            "fence" => call.credentials.fencing_token.0, "began_ms" => call.began_ms,
            "right_until_ms" => call.lease_expires_ms,
            "error" => result.as_ref().err().map(ToString::to_string));
        let interval = match &result {
            Ok(()) => REORDER_INTERVAL,
            Err(_) => REFUSED_REORDER_INTERVAL,
        };
        let count = order.count;
        let repeat_at = now.after(interval);
        self.orders.insert(key, LastOrder { count, repeat_at });
        match result {
            Err(PlatformError::Fenced) => Err(PlatformError::Fenced),
            _ => Ok(()),
        }
    }
}

/// Returns whether a new version of a service is being rolled out.
fn is_rolled_out(context: &GatewayContext, now: Timestamp, service: &ServiceName) -> bool {
    let news = context.rollouts.lock().news_of(now, service);
    match news.map(|news| news.phase) {
        Some(RolloutPhase::Running | RolloutPhase::Moving) => true,
        Some(RolloutPhase::Completed | RolloutPhase::RolledBack) | None => false,
    }
}

fn count_replicas(context: &GatewayContext, order: &ReplicaOrder) -> u32 {
    let backends = context.backends.lock();
    let present = backends.of_service(&order.service).filter(|backend| {
        let record = &backend.record;
        record.zone == order.zone && record.reclaimable == order.reclaimable && !record.draining
    });
    present.count() as u32
}

/// Measures the demand. The busy slots are the larger of two numbers, the work that
/// callers offer and the requests that run: after a loss of replicas, the requests that
/// run are bounded by the remaining replicas, and entries of earlier versions do not send
/// the offered work.
fn measure_demand(context: &GatewayContext, service: &ServiceName, slots: u32) -> ReplicaDemand {
    let now = context.now();
    let (running, token_rate): (u32, f64) = {
        let backends = context.backends.lock();
        let of_service = backends.of_service(service);
        // Requests that wait are not counted. A queue from an earlier overload would
        // otherwise count as demand until it is gone.
        let running = of_service.map(|b| b.occupancy(now).min(slots)).sum();
        (
            running,
            backends.times(service).prefill_speed.token_rate().0,
        )
    };
    let own = own_demand(context);
    let own = own
        .iter()
        .filter(|demand| demand.service == service.as_str());
    let peers = context.peers.lock();
    let (mut tokens_per_s, mut busy_milli) = (0, 0);
    for demand in own.chain(peers.service_demand(now, service)) {
        tokens_per_s += demand.tokens_per_s;
        busy_milli += demand.busy_milli;
    }
    let busy = (busy_milli as f64 / 1_000.0).max(f64::from(running));
    ReplicaDemand {
        slots: busy / f64::from(slots.max(1)),
        prefill: tokens_per_s as f64 / token_rate,
    }
}

fn measure_supply(context: &GatewayContext, service: &ServiceName, rule: &ScaleRule) -> ZoneSupply {
    let backends = context.backends.lock();
    let zones = rule.zone_prices.keys().cloned();
    let mut supply: ZoneSupply = zones.map(|zone| (zone, ReplicaSupply::default())).collect();
    let available = backends
        .of_service(service)
        .filter(|backend| backend.accepts_requests() && !backend.is_missing());
    for backend in available {
        let zone = supply.entry(backend.record.zone.clone()).or_default();
        if backend.record.reclaimable {
            zone.reclaimable += 1;
        } else {
            zone.on_demand += 1;
        }
    }
    supply
}

/// Sums the replicas of all zones.
fn total_supply(supply: &ZoneSupply) -> ReplicaSupply {
    let sum = |count: fn(&ReplicaSupply) -> u32| supply.values().map(count).sum();
    ReplicaSupply {
        reclaimable: sum(|zone| zone.reclaimable),
        on_demand: sum(|zone| zone.on_demand),
    }
}

/// Sums the ordered replicas of one kind over all zones.
fn total_ordered(orders: &[ReplicaOrder], reclaimable: bool) -> u32 {
    let of_kind = orders.iter().filter(|o| o.reclaimable == reclaimable);
    of_kind.map(|order| order.count).sum()
}
