//! Which engine serves a request.
//!
//! Pure. An [`EngineTable`] holds what one entry knows of the engines of one
//! service: load reports, which lag, and the entry's own work since each
//! report. [`EngineTable::choose`] compares the engines under a
//! [`RouteStrategy`]. docs/MEASUREMENTS.md compares the strategies.

use std::collections::HashMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;

mod selection;

use self::selection::RouteScan;
use crate::id::VmId;
use crate::id::ZoneName;
use crate::prefix::BLOCK_TOKENS;
use crate::prefix::EngineIndex;
use crate::prefix::PrefixIndex;
use crate::quantity::HourlyPrice;
use crate::quantity::Timestamp;
use crate::quantity::TokenCount;
use crate::route_strategy::RouteStrategy;

/// The blocks that a prefix index remembers.
const PREFIX_CAPACITY: usize = 65_536;
/// The number of buckets of [`RouteStrategy::BucketHash`].
const BUCKETS: usize = 256;
/// The weights of [`RouteStrategy::FullCost`], in seconds of first-token time
/// that one unit is worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostWeights {
    /// For a thousand tokens computed that some engine has cached.
    pub recompute: f64,
    /// For a unit of hourly price of the VM.
    pub price: f64,
    /// For each request that decodes on the engine already.
    pub crowding: f64,
}

impl Default for CostWeights {
    fn default() -> Self {
        Self {
            recompute: 0.6,
            price: 0.02,
            crowding: 0.02,
        }
    }
}

/// What an engine reported of its load, some time ago.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Requests that decode.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Prompt tokens that wait to be computed.
    pub waiting_tokens: u64,
    /// When the report was true.
    pub as_of: Timestamp,
}

/// Which requests are refused at once because they would be late. Without a
/// queue nothing is refused: a long prompt on an idle engine is not lateness
/// that a refusal could mend. With one, requests that need much prefill go
/// first, so that those with cached prefixes still meet the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRule {
    /// The wait behind others that does not count as a queue.
    pub queue_floor: Duration,
    /// The longest expected time until the first token, behind a queue.
    pub limit: Duration,
}

impl AdmissionRule {
    /// Returns the rule with a limit and the usual floor.
    pub const fn with_limit(limit: Duration) -> Self {
        Self {
            queue_floor: Duration::from_millis(100),
            limit,
        }
    }

    /// Returns whether a request with this best choice is admitted.
    pub fn admits(&self, choice: &RouteChoice) -> bool {
        choice.queue_wait <= self.queue_floor || choice.expected_wait <= self.limit
    }
}

/// Returns how many entries each takes to send as much as itself, of `entries`
/// that serve. Counting all would spread requests further than their prefixes
/// are worth; the square root did best, see docs/MEASUREMENTS.md.
pub fn counted_sharers(entries: usize) -> usize {
    (entries.max(1) as f64).sqrt().round() as usize
}

/// What is fixed about an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineInfo {
    /// Its VM.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The price of its VM.
    pub price: HourlyPrice,
    /// Prompt tokens computed a second.
    pub prefill_rate: f64,
    /// Requests that decode at once.
    pub slots: u32,
}

/// A request, as far as routing needs it.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteQuery<'a> {
    /// Hashes of the prompt's prefixes.
    pub blocks: &'a [u64],
    /// The length of the prompt.
    pub prompt: TokenCount,
    /// The availability zones allowed; `None` means all.
    pub zones: Option<&'a std::collections::BTreeSet<ZoneName>>,
    /// The highest price allowed.
    pub max_price: Option<HourlyPrice>,
    /// An engine to avoid if there is another, as a retry does.
    pub avoid: Option<&'a VmId>,
}

/// The engine chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteChoice {
    /// Its number in the table.
    pub index: EngineIndex,
    /// Its VM.
    pub vm: VmId,
    /// The expected time until the first token.
    pub expected_wait: Duration,
    /// The part of that for which the request waits behind others.
    pub queue_wait: Duration,
    /// The prompt tokens believed cached there.
    pub cached: TokenCount,
}

#[derive(Clone, Debug)]
struct EngineSlot {
    info: EngineInfo,
    load: EngineLoad,
    leaving: bool,
    present: bool,
    /// Own requests sent and not ended.
    own_running: u32,
    /// Own prompt tokens sent since the last report, with their times.
    own_recent: Vec<(Timestamp, u64)>,
    own_recent_tokens: u64,
    /// Work dispatched by this entry to the buckets, for `BucketHash`.
    failures: u32,
    avoid_until: Timestamp,
}

impl EngineSlot {
    /// Own work since the report, times the entries that send as much.
    fn queued_tokens(&self, sharers: f64) -> f64 {
        self.load.waiting_tokens as f64 + self.own_recent_tokens as f64 * sharers
    }

    fn requests(&self, sharers: f64) -> f64 {
        let reported = self.load.running + self.load.waiting;
        f64::from(reported) + self.own_recent.len() as f64 * sharers
    }

    /// Returns the expected seconds until the first token of a request that
    /// has `uncached` prompt tokens to compute.
    fn wait_seconds(&self, uncached: f64, sharers: f64) -> f64 {
        let rate = self.info.prefill_rate.max(1.0);
        let slots = f64::from(self.info.slots.max(1));
        let beyond = (self.requests(sharers) - slots).max(0.0);
        // A request beyond the slots waits for a slot to become free, which
        // takes about one request's time over the number of slots.
        let slot_wait = beyond / slots * SLOT_HOLD_SECONDS;
        (self.queued_tokens(sharers) + uncached) / rate + slot_wait
    }
}

impl EngineSlot {
    /// Returns one number for how loaded the engine is.
    fn load_seconds(&self, sharers: f64) -> f64 {
        self.wait_seconds(0.0, sharers) + self.requests(sharers) * 1e-3
    }
}

/// The assumed time for which a request holds a slot of an engine.
const SLOT_HOLD_SECONDS: f64 = 4.0;

/// The engines of one service, as one entry knows them.
#[derive(Clone, Debug)]
pub struct EngineTable {
    strategy: RouteStrategy,
    weights: CostWeights,
    sharers: f64,
    slots: Vec<EngineSlot>,
    by_vm: HashMap<VmId, EngineIndex>,
    prefixes: PrefixIndex,
    next: usize,
    buckets: Vec<EngineIndex>,
    bucket_load: Vec<f64>,
    generator: StdRng,
}

impl EngineTable {
    /// Returns a table without engines.
    pub fn new(strategy: RouteStrategy, weights: CostWeights, seed: u64) -> Self {
        Self {
            strategy,
            weights,
            sharers: 1.0,
            slots: Vec::new(),
            by_vm: HashMap::new(),
            prefixes: PrefixIndex::new(PREFIX_CAPACITY),
            next: 0,
            buckets: Vec::new(),
            bucket_load: vec![0.0; BUCKETS],
            generator: StdRng::seed_from_u64(seed),
        }
    }

    /// Sets the weights of full cost.
    pub fn set_weights(&mut self, weights: CostWeights) {
        self.weights = weights;
    }

    /// Sets the number of entries that send requests to these engines, this
    /// one included. What they sent since the last report is not known, and
    /// is taken to be as much as this entry sent.
    pub fn set_sharers(&mut self, sharers: usize) {
        self.sharers = sharers.max(1) as f64;
    }

    /// Adds an engine, or brings one back.
    pub fn add(&mut self, info: EngineInfo) -> EngineIndex {
        if let Some(index) = self.by_vm.get(&info.vm).copied() {
            let slot = &mut self.slots[index as usize];
            slot.present = true;
            slot.info = info;
            return index;
        }
        let free = self.slots.iter().position(|slot| !slot.present);
        let index = free.unwrap_or(self.slots.len());
        let slot = EngineSlot {
            info: info.clone(),
            load: EngineLoad::default(),
            leaving: false,
            present: true,
            own_running: 0,
            own_recent: Vec::new(),
            own_recent_tokens: 0,
            failures: 0,
            avoid_until: Timestamp(0),
        };
        if index == self.slots.len() {
            self.slots.push(slot);
        } else {
            self.by_vm.remove(&self.slots[index].info.vm);
            self.slots[index] = slot;
        }
        self.by_vm.insert(info.vm, index as EngineIndex);
        index as EngineIndex
    }

    /// Removes an engine and what was known of its cache.
    pub fn remove(&mut self, vm: &VmId) {
        let Some(index) = self.by_vm.get(vm).copied() else {
            return;
        };
        self.slots[index as usize].present = false;
        self.prefixes.remove_engine(index);
    }

    /// Returns the engines present, with whether each is leaving.
    pub fn engines(&self) -> impl Iterator<Item = (&EngineInfo, bool)> {
        self.slots
            .iter()
            .filter(|slot| slot.present)
            .map(|slot| (&slot.info, slot.leaving))
    }

    /// Returns the load last reported by an engine.
    pub fn load(&self, vm: &VmId) -> Option<EngineLoad> {
        let index = self.by_vm.get(vm)?;
        Some(self.slots[*index as usize].load)
    }

    /// Marks an engine as leaving: it gets no new work from now on.
    pub fn set_leaving(&mut self, vm: &VmId) {
        if let Some(index) = self.by_vm.get(vm) {
            self.slots[*index as usize].leaving = true;
        }
    }

    /// Takes in a load report. Own work that it covers is no longer added.
    pub fn report_load(&mut self, vm: &VmId, load: EngineLoad) {
        let Some(index) = self.by_vm.get(vm) else {
            return;
        };
        let slot = &mut self.slots[*index as usize];
        if load.as_of < slot.load.as_of {
            return;
        }
        slot.load = load;
        slot.own_recent.retain(|(at, _)| *at > load.as_of);
        slot.own_recent_tokens = slot.own_recent.iter().map(|(_, tokens)| tokens).sum();
    }

    /// Takes in what an engine tells of its speed and size.
    pub fn report_shape(&mut self, vm: &VmId, slots: Option<u32>, prefill_rate: Option<f64>) {
        let Some(index) = self.by_vm.get(vm) else {
            return;
        };
        let info = &mut self.slots[*index as usize].info;
        info.slots = slots.filter(|slots| *slots > 0).unwrap_or(info.slots);
        let usable = |rate: &f64| rate.is_finite() && *rate > 0.0;
        info.prefill_rate = prefill_rate.filter(usable).unwrap_or(info.prefill_rate);
    }

    /// Takes in cache events of an engine: blocks stored and blocks evicted.
    pub fn report_cache(&mut self, vm: &VmId, stored: &[u64], evicted: &[u64]) {
        let Some(index) = self.by_vm.get(vm).copied() else {
            return;
        };
        for block in evicted {
            self.prefixes.evict(index, *block);
        }
        self.prefixes.note(index, stored);
    }

    /// Chooses an engine, or none if no engine may serve the request.
    pub fn choose(&mut self, now: Timestamp, query: &RouteQuery<'_>) -> Option<RouteChoice> {
        let index = self
            .choose_index(RouteScan::new(now, query, true))
            .or_else(|| self.choose_index(RouteScan::new(now, query, false)))?;
        let cached = self.cached_tokens(index, query);
        let slot = &self.slots[index as usize];
        assert!(!slot.leaving, "a leaving engine must get no new work");
        let uncached = query.prompt.0.saturating_sub(cached);
        Some(RouteChoice {
            index,
            vm: slot.info.vm.clone(),
            expected_wait: Duration::from_secs_f64(
                slot.wait_seconds(uncached as f64, self.sharers),
            ),
            queue_wait: Duration::from_secs_f64(slot.wait_seconds(0.0, self.sharers)),
            cached: TokenCount(cached),
        })
    }

    fn cached_tokens(&self, index: EngineIndex, query: &RouteQuery<'_>) -> u64 {
        self.prefixes
            .matches(query.blocks)
            .iter()
            .find(|(engine, _)| *engine == index)
            .map_or(0, |(_, blocks)| *blocks as u64 * BLOCK_TOKENS)
    }

    /// Notes that a request was sent to the engine chosen.
    pub fn sent(&mut self, now: Timestamp, choice: &RouteChoice, query: &RouteQuery<'_>) {
        let uncached = query.prompt.0.saturating_sub(choice.cached.0);
        let slot = &mut self.slots[choice.index as usize];
        slot.own_running += 1;
        slot.own_recent.push((now, uncached));
        slot.own_recent_tokens += uncached;
        self.prefixes.note(choice.index, query.blocks);
    }

    /// Notes that a request sent to an engine ended, well or not. A failure
    /// keeps new work away for a time that doubles with each in a row.
    pub fn ended(&mut self, now: Timestamp, vm: &VmId, failed: bool) {
        let Some(index) = self.by_vm.get(vm) else {
            return;
        };
        let slot = &mut self.slots[*index as usize];
        slot.own_running = slot.own_running.saturating_sub(1);
        if failed {
            slot.failures = (slot.failures + 1).min(MAX_FAILURES);
            slot.avoid_until = now.after(FAILURE_PAUSE * (1 << slot.failures));
        } else {
            slot.failures = 0;
        }
    }

    /// Returns this entry's own requests in progress on an engine.
    pub fn own_running(&self, vm: &VmId) -> u32 {
        let index = self.by_vm.get(vm);
        index.map_or(0, |index| self.slots[*index as usize].own_running)
    }
}

/// The first pause after a failure, before doubling.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);
/// The number of failures after which the pause no longer grows.
const MAX_FAILURES: u32 = 6;
