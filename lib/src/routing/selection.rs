//! How the strategies choose among the engines of a table.

use std::collections::BTreeMap;

use rand::Rng;

use crate::prefix::BLOCK_TOKENS;
use crate::prefix::EngineIndex;
use crate::quantity::Timestamp;
use crate::route_strategy::RouteStrategy;
use crate::routing::BUCKETS;
use crate::routing::EngineTable;
use crate::routing::RouteQuery;

/// An engine counts as overloaded if its bucket load exceeds the mean by this.
const OVERLOAD: f64 = 1.25;

/// One look over the engines for a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouteScan<'a> {
    now: Timestamp,
    query: &'a RouteQuery<'a>,
    /// Whether engines to avoid are left out.
    strict: bool,
}

impl<'a> RouteScan<'a> {
    pub(super) fn new(now: Timestamp, query: &'a RouteQuery<'a>, strict: bool) -> Self {
        Self { now, query, strict }
    }
}

impl EngineTable {
    fn may_serve(&self, index: usize, scan: RouteScan<'_>) -> bool {
        let slot = &self.slots[index];
        if !slot.present || slot.leaving {
            return false;
        }
        if scan
            .query
            .zones
            .is_some_and(|zones| !zones.contains(&slot.info.zone))
        {
            return false;
        }
        if scan
            .query
            .max_price
            .is_some_and(|price| slot.info.price > price)
        {
            return false;
        }
        let avoided = scan.query.avoid == Some(&slot.info.vm) || scan.now < slot.avoid_until;
        !(scan.strict && avoided)
    }

    pub(super) fn choose_index(&mut self, scan: RouteScan<'_>) -> Option<EngineIndex> {
        let sharers = self.sharers;
        match self.strategy {
            RouteStrategy::RoundRobin => self.choose_next(scan),
            RouteStrategy::LeastLoaded => {
                self.choose_lowest(scan, |index| self.slots[index].load_seconds(sharers))
            }
            RouteStrategy::TwoChoices => self.choose_of_two(scan),
            RouteStrategy::PrefixHash => self.choose_by_hash(scan),
            RouteStrategy::BucketHash => self.choose_by_bucket(scan),
            RouteStrategy::FullCost => self.choose_by_cost(scan),
        }
    }

    fn choose_next(&mut self, scan: RouteScan<'_>) -> Option<EngineIndex> {
        let count = self.slots.len();
        let offset = (0..count)
            .map(|step| (self.next + step) % count)
            .find(|index| self.may_serve(*index, scan))?;
        self.next = offset + 1;
        Some(offset as EngineIndex)
    }

    fn choose_lowest(
        &self,
        scan: RouteScan<'_>,
        cost: impl Fn(usize) -> f64,
    ) -> Option<EngineIndex> {
        let mut best: Option<(f64, usize)> = None;
        for index in 0..self.slots.len() {
            if !self.may_serve(index, scan) {
                continue;
            }
            let cost = cost(index);
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, index));
            }
        }
        best.map(|(_, index)| index as EngineIndex)
    }

    fn choose_of_two(&mut self, scan: RouteScan<'_>) -> Option<EngineIndex> {
        let candidates: Vec<usize> = (0..self.slots.len())
            .filter(|index| self.may_serve(*index, scan))
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let first = candidates[self.generator.random_range(0..candidates.len())];
        let second = candidates[self.generator.random_range(0..candidates.len())];
        let load = |index: usize| self.slots[index].load_seconds(self.sharers);
        let lower = if load(second) < load(first) {
            second
        } else {
            first
        };
        Some(lower as EngineIndex)
    }

    fn choose_by_hash(&self, scan: RouteScan<'_>) -> Option<EngineIndex> {
        let key = hash_key(scan.query);
        (0..self.slots.len())
            .filter(|index| self.may_serve(*index, scan))
            .max_by_key(|index| mix(key ^ mix(*index as u64 + 1)))
            .map(|index| index as EngineIndex)
    }

    fn choose_by_bucket(&mut self, scan: RouteScan<'_>) -> Option<EngineIndex> {
        let sharers = self.sharers;
        let bucket = (mix(hash_key(scan.query)) % BUCKETS as u64) as usize;
        if self.buckets.is_empty() {
            let count = self.slots.len().max(1);
            self.buckets = (0..BUCKETS).map(|b| (b % count) as EngineIndex).collect();
        }
        let current = self.buckets[bucket] as usize;
        let usable = current < self.slots.len() && self.may_serve(current, scan);
        if !usable {
            let target = self.choose_lowest(scan, |index| self.slots[index].requests(sharers))?;
            self.buckets[bucket] = target;
        }
        self.bucket_load[bucket] += scan.query.prompt.0 as f64;
        Some(self.buckets[bucket])
    }

    /// Moves the heaviest buckets from overloaded engines to underloaded ones,
    /// with few moves. Only [`RouteStrategy::BucketHash`] needs it, about once
    /// a second. Returns the number of buckets moved.
    pub fn rebalance_buckets(&mut self) -> usize {
        if self.buckets.is_empty() {
            return 0;
        }
        let live: Vec<usize> = (0..self.slots.len())
            .filter(|index| self.slots[*index].present && !self.slots[*index].leaving)
            .collect();
        let mut load: BTreeMap<usize, f64> = live.iter().map(|index| (*index, 0.0)).collect();
        for (bucket, engine) in self.buckets.iter().enumerate() {
            if let Some(sum) = load.get_mut(&(*engine as usize)) {
                *sum += self.bucket_load[bucket];
            }
        }
        let mean = load.values().sum::<f64>() / live.len().max(1) as f64;
        let mut order: Vec<usize> = (0..self.buckets.len()).collect();
        order.sort_by(|a, b| self.bucket_load[*b].total_cmp(&self.bucket_load[*a]));
        let mut moves = 0;
        for bucket in order {
            let from = self.buckets[bucket] as usize;
            let weight = self.bucket_load[bucket];
            let Some(excess) = load.get(&from).map(|sum| sum - mean * OVERLOAD) else {
                continue;
            };
            let lowest = load.iter().min_by(|a, b| a.1.total_cmp(b.1));
            let Some((to, room)) = lowest.map(|(index, sum)| (*index, mean - sum)) else {
                break;
            };
            if excess <= 0.0 || weight <= 0.0 || weight > room {
                continue;
            }
            *load.entry(from).or_default() -= weight;
            *load.entry(to).or_default() += weight;
            self.buckets[bucket] = to as EngineIndex;
            moves += 1;
        }
        for weight in &mut self.bucket_load {
            *weight *= 0.5;
        }
        moves
    }

    fn choose_by_cost(&self, scan: RouteScan<'_>) -> Option<EngineIndex> {
        let matches = self.prefixes.matches(scan.query.blocks);
        let longest = matches.iter().map(|(_, blocks)| *blocks).max().unwrap_or(0);
        let longest = longest as u64 * BLOCK_TOKENS;
        let uncached = |index| self.cost(index, scan.query, 0, longest);
        let base = self.choose_lowest(scan, uncached)?;
        // Only engines with a match can be cheaper than they look without it.
        let mut best = (uncached(base as usize), base);
        for (engine, blocks) in matches {
            let index = engine as usize;
            if !self.may_serve(index, scan) {
                continue;
            }
            let cost = self.cost(index, scan.query, blocks as u64 * BLOCK_TOKENS, longest);
            if cost < best.0 {
                best = (cost, engine);
            }
        }
        Some(best.1)
    }

    fn cost(&self, index: usize, query: &RouteQuery<'_>, cached: u64, longest: u64) -> f64 {
        let slot = &self.slots[index];
        let uncached = query.prompt.0.saturating_sub(cached) as f64;
        let again = longest.saturating_sub(cached) as f64 / 1_000.0;
        slot.wait_seconds(uncached, self.sharers)
            + again * self.weights.recompute
            + slot.info.price.0 * self.weights.price
            + slot.requests(self.sharers) * self.weights.crowding
    }
}

fn hash_key(query: &RouteQuery<'_>) -> u64 {
    query.blocks.first().copied().unwrap_or(query.prompt.0)
}

/// Mixes the bits of a number (the finalizer of SplitMix64).
fn mix(number: u64) -> u64 {
    let mut z = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
