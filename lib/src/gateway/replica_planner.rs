//! Plans how many replicas a service has in each availability zone.
//!
//! Pure logic: no I/O and no clock. Most replicas are reclaimable and spread evenly over
//! all zones, with enough of them to survive the loss of one zone, or of two if they are
//! cheap. While reclaimable replicas are unavailable, on-demand replicas in the cheapest
//! zones replace them.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::gateway::platform_interface::ReplicaOrder;
use crate::gateway::site_config::ScaleRule;
use crate::id::ServiceName;
use crate::id::ZoneName;
use crate::quantity::Timestamp;

/// The share of a replica's time that it may spend on prefill. Above it, generation
/// beside the prefill slows down by a factor of two or more.
const PREFILL_UTILIZATION: f64 = 0.6;
/// The average share of a replica's slots that may be occupied.
const SLOT_UTILIZATION: f64 = 0.9;
/// Replicas on top of the average demand, for the variation around it.
const SPARE_REPLICAS: f64 = 2.0;
/// The lower bound of the needed replicas, as a share of the replicas present when the
/// planner starts. It is below 1 because operators size a service for its busiest
/// times.
const MIN_INITIAL_SHARE: f64 = 0.4;
/// How many times the highest measured need the replicas present at the start may count
/// for. Operators size a service for its busiest times, which may be a multiple of the
/// present demand; beyond that, replicas that no caller needs would only cost.
const MAX_UNPROVEN_RATIO: f64 = 4.0;
/// How long demand must have been measured before it limits the replicas present at the
/// start: until the average of the offered work has risen and all entries have sent it.
const DEMAND_MEASURED_AFTER: Duration = Duration::from_secs(3);
/// The price of a reclaimable replica, relative to an on-demand one, up to which enough
/// reclaimable replicas are kept for the loss of two zones. With four zones, this takes
/// reclaimable replicas for another 0.67 of the demand, compared with the loss of one
/// zone. Above the price, on-demand replicas replace those of the second zone, which
/// takes a third of the demand at the full price for 15 s at each loss.
const CHEAP_PRICE_RATIO: f64 = 0.3;
/// The window over which demand is averaged to order on-demand replicas. Shorter rises
/// are over before such replicas have started.
const STEADY_WINDOW: Duration = Duration::from_secs(6);
/// The share of the needed replicas up to which on-demand replicas replace missing
/// reclaimable ones. It is below 1 because the replicas can run above the planned
/// utilization, and on-demand replicas cost several times as much as reclaimable ones.
const ON_DEMAND_COVER: f64 = 0.65;
/// The same share after a loss. No reclaimable replicas are available then for 15 s, in
/// which all requests beyond the capacity are late. It is below 1 because ordering for
/// the whole need about doubles the additional cost for a small gain.
const ON_DEMAND_COVER_AFTER_LOSS: f64 = 0.8;
/// The number of further zones that are expected to be lost after a loss, before an order
/// takes effect. Reclaims come in groups, two of them within a second.
const EXPECTED_FURTHER_LOSSES: usize = 2;
/// The window whose highest need counts after a loss. It is longer than gossip takes to
/// deliver the demand of all entries.
const LOSS_NEED_WINDOW: Duration = Duration::from_secs(2);
/// How long fewer replicas must have been enough before the orders are lowered. A
/// replica that stops loses its cached prompts and its long streams.
const SCALE_DOWN_DELAY: Duration = Duration::from_secs(15);
/// The same for on-demand replicas, which cost several times as much. It is about the
/// time until the number of reclaimable replicas has settled.
const ON_DEMAND_SCALE_DOWN_DELAY: Duration = Duration::from_secs(3);
/// How long after a loss of reclaimable replicas another one is expected. Reclaims come
/// in groups within 15 s.
const LOSS_WINDOW: Duration = Duration::from_secs(15);
/// The time, in addition to its startup time, for which an ordered replica counts as
/// starting. Within it, the record of the replica reaches this entry.
const START_MARGIN: Duration = Duration::from_secs(2);
/// The number of cheapest zones that get on-demand replicas first.
const ON_DEMAND_ZONES: usize = 2;

/// The demand for a service, in replicas that would be busy all the time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicaDemand {
    /// The requests that run, divided by the slots of one replica.
    pub slots: f64,
    /// The prompt tokens that need prefill, divided by the prefill rate of one replica.
    pub prefill: f64,
}

impl ReplicaDemand {
    /// Returns the number of replicas that serve the demand well.
    pub fn replicas(self) -> f64 {
        self.prefill / PREFILL_UTILIZATION + self.slots / SLOT_UTILIZATION + SPARE_REPLICAS
    }
}

/// The replicas of one zone that accept requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaSupply {
    /// Replicas that may be reclaimed.
    pub reclaimable: u32,
    /// The other replicas.
    pub on_demand: u32,
}

/// The replicas that accept requests, by zone.
pub type ZoneSupply = BTreeMap<ZoneName, ReplicaSupply>;

/// A number that increases immediately, but decreases only after lower numbers have been
/// wanted throughout a delay.
#[derive(Clone, Copy, Debug)]
struct DelayedDecrease {
    value: u32,
    delay: Duration,
    lower_since: Option<Timestamp>,
}

impl DelayedDecrease {
    fn new(value: u32, delay: Duration) -> Self {
        Self {
            value,
            delay,
            lower_since: None,
        }
    }

    fn update(&mut self, now: Timestamp, wanted: u32) -> u32 {
        if wanted >= self.value {
            self.value = wanted;
            self.lower_since = None;
            return self.value;
        }
        let since = *self.lower_since.get_or_insert(now);
        if now.since(since) >= self.delay {
            self.value = wanted;
            self.lower_since = None;
        }
        self.value
    }
}

/// The values within a time window.
#[derive(Clone, Debug)]
struct RecentValues {
    window: Duration,
    values: VecDeque<(Timestamp, u32)>,
}

impl RecentValues {
    fn new(window: Duration) -> Self {
        let values = VecDeque::new();
        Self { window, values }
    }

    fn note(&mut self, now: Timestamp, value: u32) {
        self.values.push_back((now, value));
        let window = self.window;
        self.values.retain(|(at, _)| now.since(*at) <= window);
    }

    /// Lowers the values above a limit.
    fn limit(&mut self, limit: u32) {
        for (_, value) in &mut self.values {
            *value = limit.min(*value);
        }
    }

    fn highest(&self) -> u32 {
        let values = self.values.iter().map(|(_, value)| *value);
        values.max().unwrap_or(0)
    }

    fn average(&self) -> u32 {
        let sum: u32 = self.values.iter().map(|(_, value)| *value).sum();
        sum.div_ceil(self.values.len().max(1) as u32)
    }
}

/// The on-demand replicas ordered for a zone that have not all started, and when they
/// were ordered.
#[derive(Clone, Copy, Debug)]
struct PendingReplicas {
    count: u32,
    since: Timestamp,
}

/// The need that the demand of callers showed.
#[derive(Clone, Copy, Debug)]
struct ProvenNeed {
    since: Timestamp,
    highest: u32,
}

/// Plans the replicas of one service over time.
#[derive(Clone, Debug)]
pub struct ReplicaPlanner {
    /// The lower bound of the needed replicas.
    min_needed: u32,
    /// The replicas present when the planner started, without the spare ones for the loss
    /// of zones.
    initial: u32,
    /// Since when there is demand, and the highest need that it showed.
    proven: Option<ProvenNeed>,
    /// The needed replicas within [`SCALE_DOWN_DELAY`], to order reclaimable ones.
    recent: RecentValues,
    /// The needed replicas within [`STEADY_WINDOW`], to order on-demand ones.
    steady: RecentValues,
    /// The needed replicas within [`LOSS_NEED_WINDOW`], to order on-demand ones after a
    /// loss.
    latest: RecentValues,
    on_demand: DelayedDecrease,
    /// On-demand replicas that were ordered and have not all started.
    pending: BTreeMap<ZoneName, PendingReplicas>,
    /// The reclaimable replicas of each zone at the last plan.
    last_reclaimable: BTreeMap<ZoneName, u32>,
    /// When zones lost their reclaimable replicas, within [`LOSS_WINDOW`].
    losses: Vec<Timestamp>,
    /// Whether this is the first plan since the whole system started, before which
    /// there were no callers.
    is_first_plan: bool,
}

impl ReplicaPlanner {
    /// Returns a planner that starts from the present replicas, which also result from
    /// the orders of earlier lease holders. `first_start` may only be true for the
    /// first lease holder since the whole system started.
    pub fn new(rule: &ScaleRule, supply: &ZoneSupply, first_start: bool) -> Self {
        let reclaimable: u32 = supply.values().map(|zone| zone.reclaimable).sum();
        let on_demand: u32 = supply.values().map(|zone| zone.on_demand).sum();
        let zones = supply.len().max(1) as u32;
        let without_spare = reclaimable * demand_zones(rule, supply.len()) / zones;
        let min_needed = (f64::from(on_demand + reclaimable) * MIN_INITIAL_SHARE).ceil() as u32;
        let initial = on_demand + without_spare;
        Self {
            min_needed,
            initial,
            proven: None,
            recent: RecentValues::new(SCALE_DOWN_DELAY),
            steady: RecentValues::new(STEADY_WINDOW),
            latest: RecentValues::new(LOSS_NEED_WINDOW),
            on_demand: DelayedDecrease::new(on_demand.min(initial), ON_DEMAND_SCALE_DOWN_DELAY),
            pending: BTreeMap::new(),
            last_reclaimable: BTreeMap::new(),
            losses: Vec::new(),
            is_first_plan: first_start,
        }
    }

    /// Returns the orders of reclaimable and on-demand replicas for every zone.
    pub fn plan(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        rule: &ScaleRule,
        demand: ReplicaDemand,
        supply: &ZoneSupply,
    ) -> Vec<ReplicaOrder> {
        self.note_demand(now, demand);
        let zones = zones_by_price(rule);
        let needed = self.recent.highest();
        let per_zone = needed.div_ceil(demand_zones(rule, zones.len()));
        self.note_losses(now, supply, per_zone);
        let missing = self.missing_replicas(supply);
        if self.is_first_plan && demand == ReplicaDemand::default() {
            self.on_demand = DelayedDecrease::new(missing, ON_DEMAND_SCALE_DOWN_DELAY);
        }
        self.is_first_plan = false;
        let on_demand = self.on_demand.update(now, missing);
        let counts = distribute(on_demand, &self.on_demand_zones(now, rule, &zones, supply));
        self.note_pending(now, &zones, &counts, supply);
        let mut orders = Vec::new();
        for (zone, on_demand) in zones.iter().zip(counts) {
            let min_reclaimable = rule.min.saturating_sub(on_demand);
            let reclaimable = per_zone.max(min_reclaimable).min(rule.max - on_demand);
            for (reclaimable, count) in [(true, reclaimable), (false, on_demand)] {
                orders.push(ReplicaOrder {
                    service: service.clone(),
                    zone: (*zone).clone(),
                    reclaimable,
                    count,
                });
            }
        }
        orders
    }

    /// Returns for each zone the on-demand replicas that run or start there, and the most
    /// that may be there. Starting replicas count, because the room in zones changes from
    /// plan to plan: if a later plan placed them in another zone, replicas would start in
    /// both.
    fn on_demand_zones(
        &self,
        now: Timestamp,
        rule: &ScaleRule,
        zones: &[&ZoneName],
        supply: &ZoneSupply,
    ) -> Vec<OnDemandZone> {
        let on_demand_zone = |zone: &&ZoneName| {
            let present = supply.get(*zone).copied().unwrap_or_default();
            let pending = self
                .pending
                .get(*zone)
                .filter(|pending| now.since(pending.since) < rule.startup + START_MARGIN);
            OnDemandZone {
                replicas: present
                    .on_demand
                    .max(pending.map_or(0, |pending| pending.count)),
                // Ordered reclaimable replicas take no room: they may be unavailable,
                // and must not displace the on-demand ones that serve instead.
                room: rule.max.saturating_sub(present.reclaimable),
            }
        };
        zones.iter().map(on_demand_zone).collect()
    }

    /// Remembers the zones that get more on-demand replicas than they have.
    fn note_pending(
        &mut self,
        now: Timestamp,
        zones: &[&ZoneName],
        counts: &[u32],
        supply: &ZoneSupply,
    ) {
        for (zone, count) in zones.iter().zip(counts) {
            let present = supply.get(*zone).map_or(0, |zone| zone.on_demand);
            let known = self.pending.get(*zone).map_or(0, |pending| pending.count);
            if *count <= present {
                self.pending.remove(*zone);
            } else if *count != known {
                let pending = PendingReplicas {
                    count: *count,
                    since: now,
                };
                self.pending.insert((*zone).clone(), pending);
            }
        }
    }

    /// Returns the number of on-demand replicas that have to replace reclaimable ones.
    fn missing_replicas(&self, supply: &ZoneSupply) -> u32 {
        let (needed, losses) = if self.losses.is_empty() {
            (f64::from(self.steady.average()) * ON_DEMAND_COVER, 0)
        } else {
            // The highest need already includes the variation that the spare replicas
            // are for.
            let needed = f64::from(self.latest.highest()) - SPARE_REPLICAS;
            (needed * ON_DEMAND_COVER_AFTER_LOSS, EXPECTED_FURTHER_LOSSES)
        };
        let covered = needed.max(0.0).ceil() as u32;
        covered.saturating_sub(remaining_reclaimable(losses, supply))
    }

    /// Adds the number of replicas needed now. Zero demand means that there are no
    /// callers yet and the need is unknown. Reclaimable replicas are then ordered as if
    /// all initial replicas were needed, and on-demand ones only for the lower bound.
    fn note_demand(&mut self, now: Timestamp, demand: ReplicaDemand) {
        let shown = (demand != ReplicaDemand::default()).then(|| demand.replicas().ceil() as u32);
        if let Some(shown) = shown {
            self.note_proven(now, shown);
        }
        let limit = self.unproven_limit(now);
        for values in [&mut self.recent, &mut self.steady, &mut self.latest] {
            values.limit(limit);
        }
        let initial = self.initial.min(limit);
        let min_needed = self.min_needed.min(limit);
        let needed = shown.map_or(initial, |shown| shown.max(min_needed));
        let needed_on_demand = shown.map_or(min_needed, |shown| shown.max(min_needed));
        if self.recent.values.is_empty() {
            // The demand before this planner started is unknown. The initial replicas are
            // taken as the need at that time.
            self.recent.note(now, initial);
        }
        self.recent.note(now, needed);
        self.steady.note(now, needed_on_demand);
        self.latest.note(now, needed_on_demand);
    }

    fn note_proven(&mut self, now: Timestamp, shown: u32) {
        let first = ProvenNeed {
            since: now,
            highest: shown,
        };
        let proven = self.proven.get_or_insert(first);
        proven.highest = proven.highest.max(shown);
    }

    /// Returns the most replicas that may count as needed although no demand shows it.
    fn unproven_limit(&self, now: Timestamp) -> u32 {
        match self.proven {
            Some(proven) if now.since(proven.since) >= DEMAND_MEASURED_AFTER => {
                (f64::from(proven.highest) * MAX_UNPROVEN_RATIO) as u32
            }
            _ => u32::MAX,
        }
    }

    /// Remembers zones that lost at least half of their reclaimable replicas without an
    /// order. Further losses often follow within seconds, and no new reclaimable replicas
    /// are available then. Smaller losses are crashes of single replicas, after which no
    /// further loss is expected.
    fn note_losses(&mut self, now: Timestamp, supply: &ZoneSupply, per_zone: u32) {
        for (zone, present) in supply {
            let last = self.last_reclaimable.entry(zone.clone()).or_default();
            *last = (*last).min(per_zone);
            if *last > 0 && present.reclaimable * 2 <= *last {
                self.losses.push(now);
            }
            *last = present.reclaimable;
        }
        self.losses.retain(|at| now.since(*at) < LOSS_WINDOW);
    }
}

/// Removes the orders for fewer replicas than are present. While a new version is rolled
/// out, replicas of both versions are present. The cloud ends any of them if fewer are
/// ordered, and the new version could not be judged.
pub fn without_reductions(supply: &ZoneSupply, mut orders: Vec<ReplicaOrder>) -> Vec<ReplicaOrder> {
    orders.retain(|order| {
        let present = supply.get(&order.zone).copied().unwrap_or_default();
        let present = match order.reclaimable {
            true => present.reclaimable,
            false => present.on_demand,
        };
        order.count >= present
    });
    orders
}

/// Returns how many reclaimable replicas remain if `losses` zones are lost, those with
/// the most replicas first.
fn remaining_reclaimable(losses: usize, supply: &ZoneSupply) -> u32 {
    let mut counts: Vec<u32> = supply.values().map(|zone| zone.reclaimable).collect();
    counts.sort_unstable();
    let remaining = counts.len().saturating_sub(losses);
    counts[..remaining].iter().sum()
}

/// Returns the number of zones whose reclaimable replicas together carry the whole
/// demand. Those of the other zones are spare for losses.
fn demand_zones(rule: &ScaleRule, zones: usize) -> u32 {
    let spare = if rule.reclaimable_price <= CHEAP_PRICE_RATIO {
        2
    } else {
        1
    };
    zones.saturating_sub(spare).max(1) as u32
}

fn zones_by_price(rule: &ScaleRule) -> Vec<&ZoneName> {
    let mut zones: Vec<(&ZoneName, f64)> = rule.zone_prices.iter().map(|(z, p)| (z, *p)).collect();
    zones.sort_by(|a, b| a.1.total_cmp(&b.1));
    zones.into_iter().map(|(zone, _)| zone).collect()
}

/// The on-demand replicas of a zone.
#[derive(Clone, Copy, Debug)]
struct OnDemandZone {
    /// The replicas that run or start.
    replicas: u32,
    /// The most replicas that may be there.
    room: u32,
}

/// Distributes `total` replicas over zones in order of price. Present replicas stay in
/// their zones, because moving one costs two replicas for the time of a start. The
/// others are spread evenly over the first [`ON_DEMAND_ZONES`], then over all zones.
fn distribute(total: u32, zones: &[OnDemandZone]) -> Vec<u32> {
    let mut counts = Vec::new();
    let mut left = total;
    for zone in zones {
        let kept = zone.replicas.min(zone.room).min(left);
        counts.push(kept);
        left -= kept;
    }
    for group in [0..ON_DEMAND_ZONES.min(zones.len()), 0..zones.len()] {
        loop {
            let has_room = |index: &usize| counts[*index] < zones[*index].room;
            let open: Vec<usize> = group.clone().filter(has_room).collect();
            if left == 0 || open.is_empty() {
                break;
            }
            for index in open {
                if left > 0 {
                    counts[index] += 1;
                    left -= 1;
                }
            }
        }
    }
    counts
}
