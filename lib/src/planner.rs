//! Which VMs a service shall have.
//!
//! Pure. Demand gives the number of replicas; they are spread so that losing
//! any one availability zone leaves a stated share of them, cheapest places
//! first. Refused places rest for a while that doubles; when every
//! reclaimable place rests, on-demand ones are taken. Shrinking waits until
//! demand was low for a while.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::VmId;
use crate::id::ZoneName;
use crate::lease::SlotPlan;
use crate::lease::VmPlacement;
use crate::platform_client::VmMarket;
use crate::quantity::HourlyPrice;
use crate::quantity::Timestamp;

/// The first rest of a place after a refused start.
const FIRST_REST: Duration = Duration::from_secs(10);
/// The most doublings of a rest.
const MAX_DOUBLINGS: u32 = 5;

/// What the planner aims at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanTarget {
    /// The fewest replicas.
    pub min: u32,
    /// The most replicas.
    pub max: u32,
    /// Requests at once that one replica shall carry.
    pub requests_per_replica: f64,
    /// The share of the needed replicas that must be left when any one zone
    /// is lost, from 0 to 1.
    pub left_after_zone_loss: f64,
    /// How long demand must be lower before a replica is given up.
    pub shrink_after: Duration,
}

/// A place where a VM may be started.
#[derive(Clone, Debug, PartialEq)]
pub struct VmOffer {
    /// Where and what.
    pub placement: VmPlacement,
    /// What it costs.
    pub price: HourlyPrice,
}

/// A slot and what is known of its VM.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotStatus {
    /// The plan.
    pub plan: SlotPlan,
    /// The VM, if the cloud named it.
    pub vm: Option<VmId>,
    /// Whether the VM is leaving or gone.
    pub lost: bool,
}

#[derive(Clone, Copy, Debug)]
struct PlaceRest {
    until: Timestamp,
    refusals: u32,
}

/// Plans the VMs of one service.
#[derive(Clone, Debug, Default)]
pub struct VmPlanner {
    rests: BTreeMap<VmPlacement, PlaceRest>,
    low_since: Option<Timestamp>,
}

impl VmPlanner {
    /// Returns a planner to which no start was refused.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a start at a place was refused.
    pub fn refused(&mut self, now: Timestamp, placement: &VmPlacement) {
        let rest = self.rests.entry(placement.clone()).or_insert(PlaceRest {
            until: now,
            refusals: 0,
        });
        let doublings = rest.refusals.min(MAX_DOUBLINGS);
        rest.until = now.after(FIRST_REST * (1 << doublings));
        rest.refusals += 1;
    }

    /// Notes that a start at a place succeeded.
    pub fn started(&mut self, placement: &VmPlacement) {
        self.rests.remove(placement);
    }

    fn rests(&self, now: Timestamp, placement: &VmPlacement) -> bool {
        self.rests
            .get(placement)
            .is_some_and(|rest| now < rest.until)
    }

    /// Returns the changed plans of slots, given the requests at once that the
    /// service has now.
    pub fn plan(
        &mut self,
        now: Timestamp,
        target: &PlanTarget,
        demand: f64,
        slots: &[SlotStatus],
        offers: &[VmOffer],
    ) -> Vec<SlotPlan> {
        let mut changes: Vec<SlotPlan> = Vec::new();
        let mut kept: Vec<&SlotStatus> = Vec::new();
        for slot in slots {
            let resting = slot.vm.is_none()
                && slot
                    .plan
                    .placement
                    .as_ref()
                    .is_some_and(|placement| self.rests(now, placement));
            if slot.plan.placement.is_none() {
                continue;
            }
            if slot.lost || resting {
                changes.push(emptied(&slot.plan));
            } else {
                kept.push(slot);
            }
        }
        let wanted = self.replicas(now, target, demand, kept.len() as u32);
        let mut zones = count_zones(kept.iter().filter_map(|slot| slot.plan.placement.as_ref()));
        let missing = wanted.saturating_sub(kept.len() as u32);
        for _ in 0..missing {
            let Some(offer) = self.choose_offer(now, wanted, target, &zones, offers) else {
                break;
            };
            *zones.entry(offer.placement.zone.clone()).or_default() += 1;
            fill_slot(&mut changes, slots, offer.placement.clone());
        }
        let excess = (kept.len() as u32).saturating_sub(wanted);
        shrink(&mut changes, kept, excess, &mut zones);
        changes
    }

    /// Returns the number of replicas, which shrinks only after a while.
    fn replicas(&mut self, now: Timestamp, target: &PlanTarget, demand: f64, has: u32) -> u32 {
        let needed = (demand / target.requests_per_replica).ceil() as u32;
        let wanted = needed.clamp(target.min, target.max);
        if wanted >= has {
            self.low_since = None;
            return wanted;
        }
        let since = *self.low_since.get_or_insert(now);
        if now.since(since) < target.shrink_after {
            return has;
        }
        wanted
    }

    /// Chooses the cheapest place that rests not and keeps the spread, and
    /// gives up the spread before it gives up a replica.
    fn choose_offer<'a>(
        &self,
        now: Timestamp,
        wanted: u32,
        target: &PlanTarget,
        zones: &BTreeMap<ZoneName, u32>,
        offers: &'a [VmOffer],
    ) -> Option<&'a VmOffer> {
        let may_lose = f64::from(wanted) * (1.0 - target.left_after_zone_loss);
        let most = (may_lose.floor() as u32).max(1);
        let count = |offer: &VmOffer| zones.get(&offer.placement.zone).copied().unwrap_or(0);
        let free = |offer: &&VmOffer| !self.rests(now, &offer.placement);
        let cheapest = |spread: bool, market: VmMarket| {
            offers
                .iter()
                .filter(free)
                .filter(|offer| offer.placement.market == market)
                .filter(|offer| !spread || count(offer) < most)
                .min_by(|a, b| {
                    let price = a.price.0.total_cmp(&b.price.0);
                    price.then(count(a).cmp(&count(b)))
                })
        };
        cheapest(true, VmMarket::Reclaimable)
            .or_else(|| cheapest(true, VmMarket::OnDemand))
            .or_else(|| cheapest(false, VmMarket::Reclaimable))
            .or_else(|| cheapest(false, VmMarket::OnDemand))
    }
}

fn emptied(plan: &SlotPlan) -> SlotPlan {
    SlotPlan {
        slot: plan.slot,
        generation: plan.generation + 1,
        placement: None,
    }
}

fn count_zones<'a>(placements: impl Iterator<Item = &'a VmPlacement>) -> BTreeMap<ZoneName, u32> {
    let mut zones = BTreeMap::new();
    for placement in placements {
        *zones.entry(placement.zone.clone()).or_default() += 1;
    }
    zones
}

/// Plans a placement in a slot that is emptied now, or empty, or new.
fn fill_slot(changes: &mut Vec<SlotPlan>, slots: &[SlotStatus], placement: VmPlacement) {
    if let Some(change) = changes.iter_mut().find(|change| change.placement.is_none()) {
        change.placement = Some(placement);
        return;
    }
    let taken = |slot: u32| changes.iter().any(|change| change.slot == slot);
    let empty = slots
        .iter()
        .find(|slot| slot.plan.placement.is_none() && !taken(slot.plan.slot));
    if let Some(slot) = empty {
        changes.push(SlotPlan {
            slot: slot.plan.slot,
            generation: slot.plan.generation + 1,
            placement: Some(placement),
        });
        return;
    }
    let highest = slots.iter().map(|slot| slot.plan.slot);
    let highest = highest
        .chain(changes.iter().map(|change| change.slot))
        .max();
    changes.push(SlotPlan {
        slot: highest.map_or(0, |slot| slot + 1),
        generation: 1,
        placement: Some(placement),
    });
}

/// Empties slots, on-demand ones first, then those of the fullest zone.
fn shrink(
    changes: &mut Vec<SlotPlan>,
    mut kept: Vec<&SlotStatus>,
    excess: u32,
    zones: &mut BTreeMap<ZoneName, u32>,
) {
    for _ in 0..excess {
        let dearest = kept.iter().enumerate().max_by_key(|(_, slot)| {
            let placement = slot.plan.placement.as_ref();
            let market = placement.map(|placement| placement.market);
            let zone = placement.and_then(|placement| zones.get(&placement.zone));
            (market, zone.copied(), slot.plan.slot)
        });
        let Some((index, _)) = dearest else {
            return;
        };
        let slot = kept.swap_remove(index);
        let placement = slot.plan.placement.as_ref();
        if let Some(count) = placement.and_then(|placement| zones.get_mut(&placement.zone)) {
            *count -= 1;
        }
        changes.push(emptied(&slot.plan));
    }
}
