//! How many replicas a service is to have in each availability zone.
//!
//! Pure. Most replicas are reclaimable, spread evenly over all zones, with
//! enough of them for the loss of one zone, or of two where they are cheap.
//! What is missing while they are away is filled with others in the cheapest
//! zones.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::gateway::platform_interface::ReplicaOrder;
use crate::gateway::site_config::ScaleRule;
use crate::id::ServiceName;
use crate::id::ZoneName;
use crate::quantity::Timestamp;

/// How busy a replica may be with reading prompts. Above, what generates
/// beside it slows down twofold and more.
const READING_FILLING: f64 = 0.6;
/// How full the slots of a replica may be on average.
const SLOT_FILLING: f64 = 0.9;
/// Replicas beside what demand needs, for what the average does not show.
const SPARE_REPLICAS: f64 = 2.0;
/// The share of the replicas there at the start that is kept until demand is
/// known: operators size a service for its busiest times.
const START_SHARE: f64 = 0.4;
/// The price of a reclaimable replica, relative to another, up to which enough
/// of them are kept for the loss of two zones. With four zones that costs 0.67
/// of the demand more than for one; replacing a second zone's by others costs
/// a third of the demand at the full price for a quarter of a minute each time.
const CHEAP_PRICE: f64 = 0.3;
/// Over how long demand is averaged before replicas that are not reclaimable
/// are ordered for it: shorter rises are over before such replicas start.
const STEADY_TIME: Duration = Duration::from_secs(6);
/// The share of the need for which replicas that are not reclaimable are
/// ordered: what demand needs has room for such a rise of filling, and they
/// cost several times as much as the others. Measured: 0.65, 0.8, 1.
const BARE_COVER: f64 = 0.65;
/// The share of the need for which they are ordered after a loss. None of the
/// others is to be had then for a quarter of a minute, in which every caller
/// beyond what is there is late. With 1.0 in place of 0.75, whole days are served
/// better by 0.025 to 0.001, and replicas cost twice as much more (four days, two
/// paired plays each).
const ALARM_COVER: f64 = 0.8;
/// How many further zones may be lost after one before an order is carried out.
/// Reclaims come in groups, two of them within a second. With one, the same
/// days are served 0.879 and 0.862 in place of 0.896 and 0.900 (cover of 0.75).
const EXPECTED_LOSSES: usize = 2;
/// Over how long the highest need counts after a loss: longer than entries take
/// to hear of the demand of all others.
const ALARM_NEED_TIME: Duration = Duration::from_secs(2);
/// How long less must have been enough before fewer are ordered: a replica
/// that leaves takes its kept prompts and its long streams along.
const SHRINK_AFTER: Duration = Duration::from_secs(15);
/// The same for replicas that are not reclaimable, which cost several times
/// as much: about the time in which reclaimable ones settle.
const FIXED_SHRINK_AFTER: Duration = Duration::from_secs(3);
/// How long after a loss of reclaimable replicas another is expected. Reclaims
/// come in groups within a quarter of a minute.
const ALARM_TIME: Duration = Duration::from_secs(15);
/// How much longer than its start an ordered replica is waited for: until an
/// entry hears of its record.
const COMING_MARGIN: Duration = Duration::from_secs(2);
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

/// The values seen within a while.
#[derive(Clone, Debug)]
struct RecentValues {
    span: Duration,
    values: VecDeque<(Timestamp, u32)>,
}

impl RecentValues {
    fn new(span: Duration) -> Self {
        let values = VecDeque::new();
        Self { span, values }
    }

    fn note(&mut self, now: Timestamp, value: u32) {
        self.values.push_back((now, value));
        let span = self.span;
        self.values.retain(|(at, _)| now.since(*at) <= span);
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

/// How many replicas are to be in a zone, and since when.
#[derive(Clone, Copy, Debug)]
struct ComingReplicas {
    count: u32,
    since: Timestamp,
}

/// Plans the replicas of one service over time.
#[derive(Clone, Debug)]
pub struct ReplicaPlanner {
    /// The fewest replicas that are kept.
    least: u32,
    /// What was there, as far as losses of zones leave it.
    start: u32,
    /// What was needed within [`SHRINK_AFTER`], for reclaimable replicas.
    recent: RecentValues,
    /// What was needed within [`STEADY_TIME`], for others.
    steady: RecentValues,
    /// What was needed within [`ALARM_NEED_TIME`], for others after a loss.
    latest: RecentValues,
    fixed: SlowFall,
    /// Replicas that are not reclaimable and were ordered lately.
    coming: BTreeMap<ZoneName, ComingReplicas>,
    /// The reclaimable replicas of each zone at the last plan.
    reached: BTreeMap<ZoneName, u32>,
    /// When zones lost theirs, within [`ALARM_TIME`].
    losses: Vec<Timestamp>,
    /// Whether this is the first plan since the whole system started, before
    /// which there were no callers.
    is_first_plan: bool,
}

impl ReplicaPlanner {
    /// Returns a planner that begins with the replicas that are there. What
    /// an earlier holder of the lease ordered shows in them. `first_start` is
    /// only right for the first holder since the whole system started.
    pub fn new(rule: &ScaleRule, supply: &ZoneSupply, first_start: bool) -> Self {
        let reclaimable: u32 = supply.values().map(|zone| zone.reclaimable).sum();
        let fixed: u32 = supply.values().map(|zone| zone.fixed).sum();
        let zones = supply.len().max(1) as u32;
        let carried = reclaimable * carrying_zones(rule, supply.len()) / zones;
        let least = (f64::from(fixed + reclaimable) * START_SHARE).ceil() as u32;
        let there = fixed + carried;
        Self {
            least,
            start: there,
            recent: RecentValues::new(SHRINK_AFTER),
            steady: RecentValues::new(STEADY_TIME),
            latest: RecentValues::new(ALARM_NEED_TIME),
            fixed: SlowFall::new(fixed.min(there), FIXED_SHRINK_AFTER),
            coming: BTreeMap::new(),
            reached: BTreeMap::new(),
            losses: Vec::new(),
            is_first_plan: first_start,
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
        self.note_demand(now, demand);
        let zones = zones_by_price(rule);
        let total = self.recent.highest();
        let spread = total.div_ceil(carrying_zones(rule, zones.len()));
        self.watch_losses(now, supply, spread);
        let missing = self.missing_replicas(supply);
        if self.is_first_plan && demand == ReplicaDemand::default() {
            self.fixed = SlowFall::new(missing, FIXED_SHRINK_AFTER);
        }
        self.is_first_plan = false;
        let fixed = self.fixed.update(now, missing);
        let dealt = deal(fixed, &self.fixed_places(now, rule, &zones, supply));
        self.note_coming(now, &zones, &dealt, supply);
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

    /// Returns where replicas that are not reclaimable are, or come soon, and may
    /// be. Those that come count: zones are filled in other orders as room in them
    /// changes, and what is dealt elsewhere meanwhile would come beside them.
    fn fixed_places(
        &self,
        now: Timestamp,
        rule: &ScaleRule,
        zones: &[&ZoneName],
        supply: &ZoneSupply,
    ) -> Vec<FixedPlace> {
        let place = |zone: &&ZoneName| {
            let there = supply.get(*zone).copied().unwrap_or_default();
            let coming = self
                .coming
                .get(*zone)
                .filter(|coming| now.since(coming.since) < rule.startup + COMING_MARGIN);
            FixedPlace {
                there: there.fixed.max(coming.map_or(0, |coming| coming.count)),
                // Only those that are there take room: what cannot be had now must
                // not push out what serves in its place.
                room: rule.max.saturating_sub(there.reclaimable),
            }
        };
        zones.iter().map(place).collect()
    }

    /// Notes the zones to which replicas that are not reclaimable are to come.
    fn note_coming(
        &mut self,
        now: Timestamp,
        zones: &[&ZoneName],
        dealt: &[u32],
        supply: &ZoneSupply,
    ) {
        for (zone, count) in zones.iter().zip(dealt) {
            let there = supply.get(*zone).map_or(0, |zone| zone.fixed);
            let known = self.coming.get(*zone).map_or(0, |coming| coming.count);
            if *count <= there {
                self.coming.remove(*zone);
            } else if *count != known {
                let coming = ComingReplicas {
                    count: *count,
                    since: now,
                };
                self.coming.insert((*zone).clone(), coming);
            }
        }
    }

    /// Returns how many replicas that are not reclaimable there have to be.
    fn missing_replicas(&self, supply: &ZoneSupply) -> u32 {
        let (needed, losses) = if self.losses.is_empty() {
            (f64::from(self.steady.average()) * BARE_COVER, 0)
        } else {
            // The highest need shows what spare replicas are there for.
            let needed = f64::from(self.latest.highest()) - SPARE_REPLICAS;
            (needed * ALARM_COVER, EXPECTED_LOSSES)
        };
        let bare = needed.max(0.0).ceil() as u32;
        bare.saturating_sub(left_after(losses, supply))
    }

    /// Notes how many replicas are needed now. Without any demand there are no
    /// callers yet, and nothing is known: reclaimable ones come as if all that
    /// was there were needed, and few others wait for them.
    fn note_demand(&mut self, now: Timestamp, demand: ReplicaDemand) {
        let (needed, needed_surely) = if demand == ReplicaDemand::default() {
            (self.start, self.least)
        } else {
            let needed = (demand.replicas().ceil() as u32).max(self.least);
            (needed, needed)
        };
        if self.recent.values.is_empty() {
            // What an earlier holder saw is not known here, only its orders.
            self.recent.note(now, self.start);
        }
        self.recent.note(now, needed);
        self.steady.note(now, needed_surely);
        self.latest.note(now, needed_surely);
    }

    /// Notes zones that lost half of their reclaimable replicas or more without
    /// an order. Others often follow within seconds, and new ones are not to be
    /// had then. Fewer are crashes of single replicas, which announce nothing.
    fn watch_losses(&mut self, now: Timestamp, supply: &ZoneSupply, spread: u32) {
        for (zone, there) in supply {
            let reached = self.reached.entry(zone.clone()).or_default();
            *reached = (*reached).min(spread);
            if *reached > 0 && there.reclaimable * 2 <= *reached {
                self.losses.push(now);
            }
            *reached = there.reclaimable;
        }
        self.losses.retain(|at| now.since(*at) < ALARM_TIME);
    }
}

/// Returns how many reclaimable replicas are left once so many more zones lose
/// theirs, those that have the most first.
fn left_after(losses: usize, supply: &ZoneSupply) -> u32 {
    let mut there: Vec<u32> = supply.values().map(|zone| zone.reclaimable).collect();
    there.sort_unstable();
    let kept = there.len().saturating_sub(losses);
    there[..kept].iter().sum()
}

/// Returns in how many of the zones the reclaimable replicas carry the whole
/// demand together; those in the others are there for losses.
fn carrying_zones(rule: &ScaleRule, zones: usize) -> u32 {
    let spare = if rule.reclaimable_price <= CHEAP_PRICE {
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

/// Where replicas that are not reclaimable may be.
#[derive(Clone, Copy, Debug)]
struct FixedPlace {
    there: u32,
    room: u32,
}

/// Deals `total` over places in order of price. Those that are there stay:
/// moving one costs two for the time of a start. Others come evenly over the
/// first [`FIXED_ZONES`], then over the rest.
fn deal(total: u32, places: &[FixedPlace]) -> Vec<u32> {
    let mut dealt = Vec::new();
    let mut left = total;
    for place in places {
        let kept = place.there.min(place.room).min(left);
        dealt.push(kept);
        left -= kept;
    }
    for group in [0..FIXED_ZONES.min(places.len()), 0..places.len()] {
        loop {
            let has_room = |index: &usize| dealt[*index] < places[*index].room;
            let open: Vec<usize> = group.clone().filter(has_room).collect();
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
