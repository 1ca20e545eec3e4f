//! The lease as decided by the order of the log, the usage decisions, and the plan of
//! replicas.

use std::collections::BTreeMap;
use std::time::Duration;

use cloverbend::gateway::duty_record::DutyRecord;
use cloverbend::gateway::lease_state::LeaseState;
use cloverbend::gateway::lease_timings::LeaseTimings;
use cloverbend::gateway::replica_planner::ReplicaDemand;
use cloverbend::gateway::replica_planner::ReplicaPlanner;
use cloverbend::gateway::replica_planner::ReplicaSupply;
use cloverbend::gateway::replica_planner::ZoneSupply;
use cloverbend::gateway::site_config::ScaleRule;
use cloverbend::id::Incarnation;
use cloverbend::id::LogOffset;
use cloverbend::id::StoreGeneration;
use cloverbend::quantity::Timestamp;
use proptest::prelude::*;
use rstest::rstest;

const LEASE_TERM: Duration = Duration::from_secs(3);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn claim(number: u64) -> DutyRecord {
    DutyRecord::Claim {
        entry: format!("entry-{number}").parse().unwrap(),
        incarnation: Incarnation(number),
        generation: Some(StoreGeneration(0)),
        successors: Vec::new(),
    }
}

fn usage(window: u64, count: u64) -> DutyRecord {
    let counts = BTreeMap::from([("depots".parse().unwrap(), count)]);
    DutyRecord::Usage {
        window,
        counts,
        tenure: None,
    }
}

fn entry(number: u64) -> LeaseState {
    let name = format!("entry-{number}").parse().unwrap();
    let timings = LeaseTimings::with_cooldown(LEASE_TERM);
    LeaseState::new(at(0), name, Incarnation(number), timings, false)
}

fn read(lease: &mut LeaseState, offset: u64, record: DutyRecord) {
    lease.note_generation(at(0), StoreGeneration(0));
    lease.note_read(at(0), LogOffset(offset), record);
}

#[test]
fn the_last_claim_holds_the_lease() {
    let mut lease = entry(1);
    read(&mut lease, 4, claim(1));
    assert!(lease.is_holder());
    read(&mut lease, 5, claim(2));
    assert!(!lease.is_holder());
    // A record that was already read changes nothing.
    read(&mut lease, 4, claim(1));
    assert!(!lease.is_holder());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]
    /// Holders append any records in any order, and entries begin to read at any offset.
    /// All entries that read a decision know the same one, and at most one entry that has
    /// read all records holds the lease.
    #[test]
    fn entries_agree_on_holder_and_decisions(
        records in prop::collection::vec((0_u64..3, 0_u64..4, 0_u64..9), 1..40),
        starts in prop::collection::vec(0_usize..40, 3),
    ) {
        let records: Vec<DutyRecord> = records
            .into_iter()
            .map(|(holder, window, count)| {
                if count == 0 { claim(holder) } else { usage(window, count) }
            })
            .collect();
        let mut leases = Vec::new();
        for (number, start) in starts.iter().enumerate() {
            let mut lease = entry(number as u64);
            for (offset, record) in records.iter().enumerate().skip(*start) {
                read(&mut lease, offset as u64, record.clone());
            }
            leases.push((*start, lease));
        }
        let holders = leases.iter().filter(|(_, lease)| lease.is_holder());
        prop_assert!(holders.count() <= 1);
        for window in 0..4 {
            let first = records.iter().position(|record| {
                matches!(record, DutyRecord::Usage { window: w, .. } if *w == window)
            });
            for (start, lease) in &leases {
                if first.is_some_and(|first| first >= *start) {
                    let record = &records[first.unwrap()];
                    let DutyRecord::Usage { counts, .. } = record else { continue };
                    prop_assert_eq!(lease.decisions().counts(window), Some(counts));
                }
            }
        }
    }
}

fn scale_rule() -> ScaleRule {
    let prices = [("a", 1.0), ("b", 0.8), ("c", 1.25), ("d", 0.9)];
    ScaleRule {
        min: 1,
        max: 6,
        startup: Duration::from_secs(4),
        reclaimable_price: 0.18,
        zone_prices: prices
            .iter()
            .map(|(zone, price)| (zone.parse().unwrap(), *price))
            .collect(),
    }
}

fn supply(reclaimable: [u32; 4], on_demand: [u32; 4]) -> ZoneSupply {
    let zones = ["a", "b", "c", "d"]
        .iter()
        .zip(reclaimable.iter().zip(on_demand));
    zones
        .map(|(zone, (reclaimable, on_demand))| {
            let supply = ReplicaSupply {
                reclaimable: *reclaimable,
                on_demand,
            };
            (zone.parse().unwrap(), supply)
        })
        .collect()
}

/// Plans, and shows the orders as `zone: reclaimable + on-demand`.
fn plan(planner: &mut ReplicaPlanner, now: u64, demand: f64, present: &ZoneSupply) -> String {
    let demand = ReplicaDemand {
        slots: 0.0,
        prefill: demand,
    };
    let service = "pool".parse().unwrap();
    let orders = planner.plan(at(now), &service, &scale_rule(), demand, present);
    let mut zones: BTreeMap<String, [u32; 2]> = BTreeMap::new();
    for order in orders {
        let counts = zones.entry(order.zone.to_string()).or_default();
        counts[usize::from(!order.reclaimable)] = order.count;
        assert!(counts[0] + counts[1] <= scale_rule().max);
    }
    let shown = zones
        .iter()
        .map(|(zone, [reclaimable, on_demand])| format!("{zone}: {reclaimable} + {on_demand}"));
    shown.collect::<Vec<_>>().join(", ")
}

#[test]
fn on_demand_replicas_replace_reclaimable_ones_while_these_are_unavailable() {
    let start = supply([0; 4], [3, 2, 2, 2]);
    let mut planner = ReplicaPlanner::new(&scale_rule(), &start, true);
    let mut steps = vec![plan(&mut planner, 0, 0.0, &start)];
    let present = supply([2; 4], [0, 2, 0, 2]);
    steps.push(plan(&mut planner, 5_000, 0.6, &present));
    steps.push(plan(&mut planner, 11_000, 0.6, &present));
    // A zone is reclaimed, and the zone with the most replicas may be the next one.
    let present = supply([2, 0, 2, 2], [0, 1, 0, 0]);
    steps.push(plan(&mut planner, 12_000, 0.6, &present));
    let present = supply([0; 4], [0, 3, 0, 2]);
    steps.push(plan(&mut planner, 14_000, 0.6, &present));
    // The reclaimable replicas are back, and the on-demand ones are kept for a while.
    let present = supply([2; 4], [0, 3, 0, 2]);
    steps.push(plan(&mut planner, 30_000, 0.6, &present));
    steps.push(plan(&mut planner, 36_000, 0.6, &present));
    insta::assert_snapshot!(steps.join("\n"));
}

#[test]
fn unavailable_reclaimable_replicas_do_not_displace_on_demand_ones() {
    let start = supply([0; 4], [0, 4, 0, 4]);
    let mut planner = ReplicaPlanner::new(&scale_rule(), &start, true);
    let shown = plan(&mut planner, 1_000, 12.0, &start);
    assert!(on_demand_in(&shown) >= 8, "{shown}");
}

/// Sums the on-demand replicas in the text that [`plan`] returns.
fn on_demand_in(shown: &str) -> u32 {
    let zones = shown.split(", ");
    let counts = zones.map(|zone| zone.rsplit(' ').next().unwrap().parse::<u32>().unwrap());
    counts.sum()
}

#[test]
fn a_short_rise_of_demand_orders_few_on_demand_replicas() {
    let present = supply([4; 4], [0; 4]);
    let mut planner = ReplicaPlanner::new(&scale_rule(), &present, false);
    for second in 0..10 {
        plan(&mut planner, second * 1_000, 3.0, &present);
    }
    // For two seconds the demand is twice what all replicas can serve.
    for second in 10..12 {
        let shown = plan(&mut planner, second * 1_000, 20.0, &present);
        assert!(on_demand_in(&shown) <= 4, "{shown}");
    }
}

#[rstest]
#[case::within_a_start(1_000)]
#[case::far_apart(6_000)]
fn two_losses_in_a_row_order_on_demand_replicas_before_a_third(#[case] apart: u64) {
    let present = supply([3; 4], [0; 4]);
    let mut planner = ReplicaPlanner::new(&scale_rule(), &present, false);
    for second in 0..10 {
        let shown = plan(&mut planner, second * 1_000, 2.0, &present);
        assert_eq!(on_demand_in(&shown), 0, "{shown}");
    }
    let present = supply([0, 3, 3, 3], [0; 4]);
    let first = plan(&mut planner, 10_000, 2.0, &present);
    let present = supply([0, 0, 3, 3], [0; 4]);
    let second = plan(&mut planner, 10_000 + apart, 2.0, &present);
    insta::assert_snapshot!(
        format!("losses_{apart}_ms_apart"),
        format!("{first}\n{second}")
    );
}

/// Sums the reclaimable replicas in the text that [`plan`] returns.
fn reclaimable_in(shown: &str) -> u32 {
    let zones = shown.split(", ");
    let counts = zones.map(|zone| zone.split(' ').nth(1).unwrap().parse::<u32>().unwrap());
    counts.sum()
}

#[test]
fn crashes_of_single_replicas_do_not_count_as_losses() {
    let present = supply([5; 4], [0; 4]);
    let mut planner = ReplicaPlanner::new(&scale_rule(), &present, false);
    for second in 0..20 {
        plan(&mut planner, second * 1_000, 7.8, &present);
    }
    let present = supply([4; 4], [0; 4]);
    let shown = plan(&mut planner, 20_000, 7.8, &present);
    assert_eq!(on_demand_in(&shown), 0, "{shown}");
}

#[test]
fn a_new_holder_scales_down_only_after_the_delay() {
    let present = supply([6; 4], [0; 4]);
    let mut planner = ReplicaPlanner::new(&scale_rule(), &present, false);
    let first = plan(&mut planner, 0, 0.6, &present);
    assert_eq!(reclaimable_in(&first), 24, "{first}");
    let later = plan(&mut planner, 16_000, 0.6, &present);
    assert!(reclaimable_in(&later) < 24, "{later}");
}

/// An entry that planned as a standby before it holds the lease knows of earlier losses. An
/// entry that starts to plan as the holder does not.
#[test]
fn a_holder_that_planned_as_standby_is_ready_for_the_next_loss() {
    let present = supply([4; 4], [0; 4]);
    let mut standby = ReplicaPlanner::new(&scale_rule(), &present, false);
    for second in 0..20 {
        plan(&mut standby, second * 1_000, 2.0, &present);
    }
    let present = supply([0, 4, 4, 4], [0; 4]);
    plan(&mut standby, 20_000, 2.0, &present);
    let present = supply([0, 0, 4, 4], [0; 4]);
    plan(&mut standby, 22_000, 2.0, &present);
    // The lease holder changes here. The next zone may be lost while the ordered
    // on-demand replicas are still starting.
    let mut new_planner = ReplicaPlanner::new(&scale_rule(), &present, false);
    let by_standby = plan(&mut standby, 23_000, 2.0, &present);
    let by_new = plan(&mut new_planner, 23_000, 2.0, &present);
    assert!(
        on_demand_in(&by_standby) > on_demand_in(&by_new),
        "{by_standby}; {by_new}"
    );
}

/// The replicas in the order of the planner, over all zones.
fn ordered_in(shown: &str) -> u32 {
    reclaimable_in(shown) + on_demand_in(shown)
}

fn large_supply(reclaimable: u32, on_demand: u32) -> ZoneSupply {
    let zone = ReplicaSupply {
        reclaimable,
        on_demand,
    };
    let zones = ["a", "b", "c", "d"];
    zones.map(|name| (name.parse().unwrap(), zone)).into()
}

fn large_rule() -> ScaleRule {
    ScaleRule {
        max: 3_000,
        ..scale_rule()
    }
}

fn plan_large(planner: &mut ReplicaPlanner, now: u64, demand: f64, present: &ZoneSupply) -> u32 {
    let demand = ReplicaDemand {
        slots: 0.0,
        prefill: demand,
    };
    let service = "pool".parse().unwrap();
    let orders = planner.plan(at(now), &service, &large_rule(), demand, present);
    orders.iter().map(|order| order.count).sum()
}

/// An operator runs ten thousand replicas for callers that need a hundred. The others are
/// given back within seconds of the first requests, and a rise of the demand to its
/// fourfold still finds replicas.
#[test]
fn replicas_that_no_demand_shows_to_be_needed_are_given_back() {
    const NEEDED: u32 = 100;
    let demand = f64::from(NEEDED) * 0.6;
    let present = large_supply(0, 2_500);
    let mut planner = ReplicaPlanner::new(&large_rule(), &present, true);
    for second in 4..24 {
        plan_large(&mut planner, second * 1_000, 0.0, &present);
    }
    let present = large_supply(2_500, 0);
    let mut ordered = 0;
    for second in 24..30 {
        ordered = plan_large(&mut planner, second * 1_000, demand, &present);
    }
    assert!((4 * NEEDED..=10 * NEEDED).contains(&ordered), "{ordered}");
    // Callers that stop for a while do not bring the others back.
    for second in 30..50 {
        ordered = plan_large(&mut planner, second * 1_000, 0.0, &present);
    }
    assert!(ordered <= 10 * NEEDED, "{ordered}");
}

/// Where demand is as high as the operator expected, nothing is given back before the
/// delay of all decreases is over.
#[test]
fn replicas_of_a_well_sized_deployment_are_kept_at_first() {
    let present = supply([6; 4], [0; 4]);
    let mut planner = ReplicaPlanner::new(&scale_rule(), &present, false);
    let orders = |second: u64| (second * 1_000, 3.0);
    for (now, demand) in (0..14).map(orders) {
        let shown = plan(&mut planner, now, demand, &present);
        assert_eq!(ordered_in(&shown), 24, "{shown}");
    }
}

#[test]
fn a_new_holder_starts_from_the_present_replicas() {
    let present = supply([3; 4], [0, 1, 0, 0]);
    let mut planner = ReplicaPlanner::new(&scale_rule(), &present, false);
    insta::assert_snapshot!(plan(&mut planner, 0, 0.0, &present));
}
