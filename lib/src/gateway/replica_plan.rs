//! How many replicas a service is to have in each availability zone.
//!
//! Pure. Most replicas are reclaimable, spread evenly over all zones, with
//! enough of them for the loss of the fullest zone. What is missing while they
//! are away is filled with others in the cheapest zones.

use std::time::Duration;

use crate::gateway::edge::ReplicaOrder;
use crate::gateway::site_config::ScaleRule;
use crate::id::ServiceName;
use crate::id::ZoneName;
use crate::quantity::Timestamp;

/// How busy a replica may be with reading prompts. Above, what generates
/// beside it slows down twofold and more.
const READING_FILLING: f64 = 0.4;
/// How full the slots of a replica may be on average.
const SLOT_FILLING: f64 = 0.5;
/// Replicas beside what demand needs, for what the average does not show.
const SPARE_REPLICAS: f64 = 1.0;
/// The share of the replicas there at the start that is kept until demand is
/// known: operators size a service for its busiest times.
const START_SHARE: f64 = 0.6;
/// How long less must have been enough before fewer are ordered: a replica
/// that leaves takes its kept prompts and its long streams along.
const SHRINK_AFTER: Duration = Duration::from_secs(6);
/// The fewest replicas that cannot be reclaimed.
const LEAST_FIXED: u32 = 1;
/// Over how many of the cheapest zones replicas that are not reclaimable are
/// dealt.
const FIXED_ZONES: usize = 2;

/// The demand on a service, in replicas that would be busy all the time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicaDemand {
    /// By the requests that run, over the slots of one replica.
    pub slots: f64,
    /// By the prompt tokens to be read, over what one replica reads.
    pub reading: f64,
}

impl ReplicaDemand {
    /// Returns how many replicas serve the demand well.
    pub fn replicas(self) -> f64 {
        self.reading / READING_FILLING + self.slots / SLOT_FILLING + SPARE_REPLICAS
    }
}

/// The replicas that take work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaSupply {
    /// Those that may be reclaimed.
    pub reclaimable: u32,
    /// The others.
    pub fixed: u32,
}

/// A number that rises at once and falls only after a while.
#[derive(Clone, Copy, Debug, Default)]
struct SlowFall {
    value: u32,
    lower_since: Option<Timestamp>,
}

impl SlowFall {
    fn update(&mut self, now: Timestamp, wanted: u32) -> u32 {
        if wanted >= self.value {
            self.value = wanted;
            self.lower_since = None;
            return self.value;
        }
        let since = *self.lower_since.get_or_insert(now);
        if now.since(since) >= SHRINK_AFTER {
            self.value = wanted;
            self.lower_since = None;
        }
        self.value
    }
}

/// Plans the replicas of one service over time.
#[derive(Clone, Debug, Default)]
pub struct ReplicaPlanner {
    start: Option<u32>,
    total: SlowFall,
    fixed: SlowFall,
}

impl ReplicaPlanner {
    /// Returns a planner that knows nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the orders for every zone, of both kinds.
    pub fn plan(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        rule: &ScaleRule,
        demand: ReplicaDemand,
        supply: ReplicaSupply,
    ) -> Vec<ReplicaOrder> {
        let there = supply.fixed + supply.reclaimable;
        let start = *self.start.get_or_insert(there);
        let least = (f64::from(start) * START_SHARE).ceil();
        let wanted = demand.replicas().ceil().max(least) as u32;
        let total = self.total.update(now, wanted);
        let missing = total.saturating_sub(supply.reclaimable);
        let fixed = self.fixed.update(now, missing.max(LEAST_FIXED));
        let zones = zones_by_price(rule);
        let spread = reclaimable_per_zone(total, zones.len());
        let mut orders = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            let fixed = share_of(fixed, FIXED_ZONES.min(zones.len()), index).min(rule.max);
            let room = rule.max - fixed;
            let reclaimable = spread.max(rule.min.saturating_sub(fixed)).min(room);
            for (reclaimable, count) in [(true, reclaimable), (false, fixed)] {
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
}

/// Returns how many reclaimable replicas every zone has, so that the others
/// carry the whole demand when one zone loses all of them.
fn reclaimable_per_zone(total: u32, zones: usize) -> u32 {
    let others = zones.saturating_sub(1).max(1) as u32;
    total.div_ceil(others)
}

fn zones_by_price(rule: &ScaleRule) -> Vec<&ZoneName> {
    let mut zones: Vec<(&ZoneName, f64)> = rule.zone_prices.iter().map(|(z, p)| (z, *p)).collect();
    zones.sort_by(|a, b| a.1.total_cmp(&b.1));
    zones.into_iter().map(|(zone, _)| zone).collect()
}

/// Deals `total` over the first `count` places; the first ones get what is
/// left over, and places after them nothing.
fn share_of(total: u32, count: usize, index: usize) -> u32 {
    if index >= count {
        return 0;
    }
    let extra = u32::from((index as u32) < total % count as u32);
    total / count as u32 + extra
}
