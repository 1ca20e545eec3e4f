//! The load pattern of a sudden loss: two of four zones lose their reclaimable
//! replicas within a second and a third six seconds later, ten seconds after a
//! first one, and none are to be had for a while.

use std::collections::BTreeMap;
use std::time::Duration;

use cloverbend::gateway::backend_record::BackendId;
use cloverbend::gateway::backend_record::BackendRecord;
use cloverbend::gateway::backend_set::BackendSet;
use cloverbend::gateway::replica_planner::ReplicaDemand;
use cloverbend::gateway::replica_planner::ReplicaPlanner;
use cloverbend::gateway::replica_planner::ReplicaSupply;
use cloverbend::gateway::replica_planner::ZoneSupply;
use cloverbend::gateway::site_config::ScaleRule;
use cloverbend::quantity::Timestamp;

const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// Seconds until an ordered replica serves.
const STARTUP: u64 = 4;
/// Seconds between the notice of a reclaim and its end.
const NOTICE: u64 = 2;
/// Seconds after a reclaim in which no reclaimable replica is to be had.
const DRY: u64 = 13;

fn scale_rule() -> ScaleRule {
    let prices = [0.85, 1.2, 1.0, 1.1];
    let zones = ZONES.iter().zip(prices);
    ScaleRule {
        min: 1,
        max: 56,
        startup: Duration::from_secs(STARTUP),
        reclaimable_price: 0.18,
        zone_prices: zones
            .map(|(zone, price)| (zone.parse().unwrap(), price))
            .collect(),
    }
}

/// Replicas that come four seconds after their order and leave at a reclaim.
struct ReplicaWorld {
    planner: ReplicaPlanner,
    /// What serves, by zone: reclaimable and fixed.
    serving: BTreeMap<&'static str, [u32; 2]>,
    /// Those that serve on after the notice: until when, and how many.
    leaving: Vec<(u64, u32)>,
    /// What was ordered: when it serves, the zone, the kind, how many in all.
    ordered: Vec<(u64, &'static str, usize, u32)>,
    dry_until: u64,
}

impl ReplicaWorld {
    fn new(each: u32) -> Self {
        let serving: BTreeMap<_, _> = ZONES.iter().map(|zone| (*zone, [each, 0])).collect();
        let planner = ReplicaPlanner::new(&scale_rule(), &supply_of(&serving), false);
        Self {
            planner,
            serving,
            leaving: Vec::new(),
            ordered: Vec::new(),
            dry_until: 0,
        }
    }

    fn reclaim(&mut self, second: u64, zone: &'static str) {
        let there = self.serving.get_mut(zone).unwrap();
        let gone = std::mem::take(&mut there[0]);
        self.leaving.push((second + NOTICE, gone));
        self.dry_until = second + DRY;
        self.ordered.retain(|(_, _, kind, _)| *kind == 1);
    }

    /// Plays a second and returns how many replicas serve in it, and how many
    /// of them are paid in full.
    fn step(&mut self, second: u64, demand: ReplicaDemand) -> (u32, u32) {
        for (at, zone, kind, count) in std::mem::take(&mut self.ordered) {
            if at > second {
                self.ordered.push((at, zone, kind, count));
                continue;
            }
            let there = self.serving.get_mut(zone).unwrap();
            there[kind] = count;
        }
        self.leaving.retain(|(until, _)| *until > second);
        let now = Timestamp::from_millis(second * 1_000);
        let service = "pool".parse().unwrap();
        let supply = supply_of(&self.serving);
        let orders = self
            .planner
            .plan(now, &service, &scale_rule(), demand, &supply);
        for order in orders {
            let zone = ZONES.iter().find(|zone| **zone == order.zone.as_str());
            let zone = *zone.unwrap();
            let kind = usize::from(!order.reclaimable);
            if order.reclaimable && second < self.dry_until {
                continue;
            }
            let there = self.serving.get_mut(zone).unwrap();
            if order.count < there[kind] {
                there[kind] = order.count;
            } else if order.count > there[kind] {
                let known =
                    |o: &(u64, &str, usize, u32)| (o.1, o.2, o.3) == (zone, kind, order.count);
                if !self.ordered.iter().any(known) {
                    self.ordered
                        .push((second + STARTUP, zone, kind, order.count));
                }
            }
        }
        let fixed = self.serving.values().map(|there| there[1]).sum();
        let reclaimable: u32 = self.serving.values().map(|there| there[0]).sum();
        let leaving: u32 = self.leaving.iter().map(|(_, count)| count).sum();
        (fixed + reclaimable + leaving, fixed)
    }
}

fn supply_of(serving: &BTreeMap<&'static str, [u32; 2]>) -> ZoneSupply {
    let zone = |(zone, [reclaimable, fixed]): (&&str, &[u32; 2])| {
        let supply = ReplicaSupply {
            reclaimable: *reclaimable,
            on_demand: *fixed,
        };
        (zone.parse().unwrap(), supply)
    };
    serving.iter().map(zone).collect()
}

/// Callers need 33 replicas all the time. What serves is shown by second, from
/// the first reclaim on.
#[test]
fn most_of_the_need_serves_while_zones_are_reclaimed_one_after_the_other() {
    let demand = ReplicaDemand {
        slots: 15.0,
        prefill: 9.0,
    };
    let needed = demand.replicas().ceil() as u32;
    let mut world = ReplicaWorld::new(18);
    let mut shown = format!("needed {needed}\n");
    let (mut lacking, mut paid) = (0, 0);
    for second in 0..60 {
        for (at, zone) in [(20, "a"), (30, "b"), (31, "c"), (37, "d")] {
            if at == second {
                world.reclaim(second, zone);
            }
        }
        let (serving, fixed) = world.step(second, demand);
        lacking += needed.saturating_sub(serving);
        paid += fixed;
        if (20..56).contains(&second) && second % 2 == 0 {
            shown += &format!("{second} s: {serving} serve, {fixed} fixed\n");
        }
    }
    shown += &format!("lacking {lacking} and paid in full {paid} replica seconds");
    insta::assert_snapshot!(shown);
}

/// What is on its way to a zone is not dealt once more to a cheaper one in which
/// room has been made meanwhile: both would come.
#[test]
fn what_is_on_its_way_is_not_dealt_to_other_zones_again() {
    let there = |in_a: u32, in_d: u32| {
        BTreeMap::from([
            ("a", [in_a, 0]),
            ("b", [0, 0]),
            ("c", [0, 0]),
            ("d", [in_d, 0]),
        ])
    };
    let mut planner = ReplicaPlanner::new(&scale_rule(), &supply_of(&there(56, 10)), false);
    let demand = ReplicaDemand {
        slots: 27.0,
        prefill: 16.8,
    };
    let mut shown = Vec::new();
    // Zone d loses its replicas while a, the cheapest, has no room; then a loses
    // all that it has.
    for (second, in_a, in_d) in [(0, 56, 10), (1, 56, 0), (2, 0, 0), (3, 0, 0)] {
        let now = Timestamp::from_millis(second * 1_000);
        let service = "pool".parse().unwrap();
        let supply = supply_of(&there(in_a, in_d));
        let orders = planner.plan(now, &service, &scale_rule(), demand, &supply);
        let fixed = orders.iter().filter(|order| !order.reclaimable);
        let fixed = fixed.map(|order| format!("{} {}", order.zone, order.count));
        shown.push(fixed.collect::<Vec<_>>().join(", "));
    }
    insta::assert_snapshot!(shown.join("\n"));
}

/// What a request takes of a replica is learnt where a slot was free: queues
/// would be taken for demand, and more replicas for a reason to order more.
#[test]
fn queues_do_not_lengthen_what_a_request_is_known_to_take() {
    let service = "pool".parse().unwrap();
    let mut set = BackendSet::new();
    let id = BackendId::without_start("a");
    set.put(BackendRecord {
        id: id.clone(),
        service: "pool".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots: 4,
        draining: false,
        reclaimable: true,
    });
    let mut shown = Vec::new();
    for (held, had_room) in [(900, true), (900, true), (6_000, false), (6_000, false)] {
        set.note_left(&id, Duration::from_millis(held), had_room);
        shown.push((
            set.times(&service).processing_time,
            set.times(&service).hold,
        ));
    }
    insta::assert_debug_snapshot!(shown);
}
