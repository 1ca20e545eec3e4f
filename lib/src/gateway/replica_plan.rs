//! How many replicas a service is to have in each availability zone.
//!
//! Pure. Most replicas are reclaimable, spread evenly over all zones, with
//! enough of them for the loss of the fullest zone. What is missing while they
//! are away is filled with others in the cheapest zones.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gateway::edge::ReplicaOrder;
use crate::gateway::site_config::ScaleRule;
use crate::id::ServiceName;
use crate::id::ZoneName;
use crate::quantity::Timestamp;

/// How busy a replica may be with reading prompts. Above, what generates
/// beside it slows down twofold and more.
const READING_FILLING: f64 = 0.6;
/// How full the slots of a replica may be on average.
const SLOT_FILLING: f64 = 0.7;
/// Replicas beside what demand needs, for what the average does not show.
const SPARE_REPLICAS: f64 = 2.0;
/// The share of the replicas there at the start that is kept until demand is
/// known: operators size a service for its busiest times.
const START_SHARE: f64 = 0.4;
/// How long less must have been enough before fewer are ordered: a replica
/// that leaves takes its kept prompts and its long streams along.
const SHRINK_AFTER: Duration = Duration::from_secs(15);
/// The same for replicas that are not reclaimable, which cost several times
/// as much: about the time in which reclaimable ones settle.
const FIXED_SHRINK_AFTER: Duration = Duration::from_secs(3);
/// How long after a loss of reclaimable replicas another is expected. Reclaims
/// come in groups within a quarter of a minute.
const ALARM_TIME: Duration = Duration::from_secs(15);
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

/// The replicas of one zone that take work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaSupply {
    /// Those that may be reclaimed.
    pub reclaimable: u32,
    /// The others.
    pub fixed: u32,
}

/// The replicas that take work, by zone.
pub type ZoneSupply = BTreeMap<ZoneName, ReplicaSupply>;

/// A number that rises at once and falls only after a while.
#[derive(Clone, Copy, Debug)]
struct SlowFall {
    value: u32,
    fall_after: Duration,
    lower_since: Option<Timestamp>,
}

impl SlowFall {
    fn new(value: u32, fall_after: Duration) -> Self {
        Self {
            value,
            fall_after,
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
        if now.since(since) >= self.fall_after {
            self.value = wanted;
            self.lower_since = None;
        }
        self.value
    }
}

/// Plans the replicas of one service over time.
#[derive(Clone, Debug)]
pub struct ReplicaPlanner {
    least: u32,
    total: SlowFall,
    fixed: SlowFall,
    reached: BTreeMap<ZoneName, u32>,
    alarm_until: Timestamp,
}

impl ReplicaPlanner {
    /// Returns a planner that begins with the replicas that are there. What
    /// an earlier holder of the lease ordered shows in them.
    pub fn new(supply: &ZoneSupply) -> Self {
        let reclaimable: u32 = supply.values().map(|zone| zone.reclaimable).sum();
        let fixed: u32 = supply.values().map(|zone| zone.fixed).sum();
        let zones = supply.len().max(1) as u32;
        let carried = reclaimable * zones.saturating_sub(1) / zones;
        let least = (f64::from(fixed + reclaimable) * START_SHARE).ceil() as u32;
        Self {
            least,
            total: SlowFall::new(carried.max(least), SHRINK_AFTER),
            fixed: SlowFall::new(fixed.min(carried.max(least)), FIXED_SHRINK_AFTER),
            reached: BTreeMap::new(),
            alarm_until: Timestamp(0),
        }
    }

    /// Returns the orders for every zone, of both kinds.
    pub fn plan(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        rule: &ScaleRule,
        demand: ReplicaDemand,
        supply: &ZoneSupply,
    ) -> Vec<ReplicaOrder> {
        let wanted = demand.replicas().ceil() as u32;
        let total = self.total.update(now, wanted.max(self.least));
        let zones = zones_by_price(rule);
        let spread = reclaimable_per_zone(total, zones.len());
        self.watch_losses(now, supply, spread);
        let alarmed = now < self.alarm_until;
        let sure = sure_replicas(supply, alarmed);
        let missing = total.saturating_sub(sure).max(LEAST_FIXED);
        let fixed = self.fixed.update(now, missing);
        let rooms: Vec<u32> = zones
            .iter()
            .map(|zone| {
                // Only those that are there take room: what cannot be had now
                // must not push out what serves in its place.
                let there = supply.get(*zone).map_or(0, |s| s.reclaimable);
                rule.max.saturating_sub(there)
            })
            .collect();
        let dealt = deal(fixed, &rooms);
        let mut orders = Vec::new();
        for (zone, fixed) in zones.iter().zip(dealt) {
            let least = rule.min.saturating_sub(fixed);
            let reclaimable = spread.max(least).min(rule.max - fixed);
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

    /// Notes zones that lost reclaimable replicas without an order. Others
    /// often follow within seconds, and new ones are not to be had then.
    fn watch_losses(&mut self, now: Timestamp, supply: &ZoneSupply, spread: u32) {
        for (zone, there) in supply {
            let reached = self.reached.entry(zone.clone()).or_default();
            *reached = (*reached).min(spread);
            if there.reclaimable < *reached {
                self.alarm_until = now.after(ALARM_TIME);
            }
            *reached = there.reclaimable;
        }
    }
}

/// Returns how many reclaimable replicas can be counted on: in an alarm, the
/// fullest zone may be the next to lose its own.
fn sure_replicas(supply: &ZoneSupply, alarmed: bool) -> u32 {
    let total: u32 = supply.values().map(|zone| zone.reclaimable).sum();
    let fullest = supply.values().map(|zone| zone.reclaimable).max();
    if alarmed {
        total - fullest.unwrap_or(0)
    } else {
        total
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

/// Deals `total` over places with limited room: evenly over the first
/// [`FIXED_ZONES`], then to the others in order.
fn deal(total: u32, rooms: &[u32]) -> Vec<u32> {
    let mut dealt = vec![0; rooms.len()];
    let mut left = total;
    for group in [0..FIXED_ZONES.min(rooms.len()), 0..rooms.len()] {
        loop {
            let open: Vec<usize> = group.clone().filter(|i| dealt[*i] < rooms[*i]).collect();
            if left == 0 || open.is_empty() {
                break;
            }
            for index in open {
                if left > 0 {
                    dealt[index] += 1;
                    left -= 1;
                }
            }
        }
    }
    dealt
}
