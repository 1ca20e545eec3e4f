//! Engines and demand in virtual time, for comparing decisions under load.
//!
//! An event queue drives [`EngineModel`]s and the library's own
//! [`EngineTable`], one for each entry, with load reports and cache events
//! that lag and have gaps, as in the daemon. Everything is drawn from a seed.

mod reclaims;

use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use cloverbend::id::VmId;
use cloverbend::id::ZoneName;
use cloverbend::prefix::BLOCK_TOKENS;
use cloverbend::quantity::HourlyPrice;
use cloverbend::quantity::Timestamp;
use cloverbend::quantity::TokenCount;
use cloverbend::route_strategy::RouteStrategy;
use cloverbend::routing::AdmissionRule;
use cloverbend::routing::EngineInfo;
use cloverbend::routing::EngineLoad;
use cloverbend::routing::EngineTable;
use cloverbend::routing::RouteQuery;
use hdrhistogram::Histogram;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::engine_model::CacheChange;
use crate::engine_model::EngineModel;
use crate::engine_model::ModelRequest;
use crate::engine_model::ModelToken;
use crate::engine_model::effective_prefill;
use crate::load_run::Admission;
use crate::load_run::DemandKind;
use crate::load_run::LoadFigures;
use crate::load_run::LoadRun;
use crate::load_run::Scenario;

/// The time between load reports of an engine.
const REPORT_PERIOD: Duration = Duration::from_millis(500);
/// How late a load report is.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// How late cache events are.
const EVENT_LAG: Duration = Duration::from_millis(1_000);
/// The share of cache events that never come.
const EVENT_GAPS: f64 = 0.05;
/// The time between moves of hash buckets.
const REBALANCE_PERIOD: Duration = Duration::from_secs(1);
/// The notice of a reclaim.
const NOTICE: Duration = Duration::from_secs(5);
/// How long a replacement takes to start.
const REPLACEMENT: Duration = Duration::from_secs(45);
/// The first-token time that counts as within the target.
pub const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(1_600);
/// The number of zones.
const ZONES: usize = 4;
/// How much slower the slow engine is.
const SLOWDOWN: u32 = 4;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum LoadEvent {
    Arrival,
    StepDone(usize, u64),
    Report(usize),
    ReportArrives(usize, u32, u32, u64, Timestamp),
    CacheArrives(usize, Vec<u64>, Vec<u64>),
    Rebalance,
    Notice,
    Reclaim,
    Replace,
}

#[derive(Clone, Debug)]
struct OpenRequest {
    arrival: Timestamp,
    last_token: Option<Timestamp>,
    first_token: Option<Timestamp>,
    entry: usize,
    engine: usize,
    blocks: Vec<u64>,
    prompt: u64,
    answer: u64,
    position: u64,
    moves: u32,
}

struct LoadEngine {
    model: EngineModel,
    vm: VmId,
    zone: usize,
    up: bool,
    stepping: bool,
    generation: u64,
    pending: Vec<ModelToken>,
}

struct LoadWorld {
    run: LoadRun,
    now: Timestamp,
    queue: BinaryHeap<std::cmp::Reverse<(Timestamp, u64, LoadEvent)>>,
    number: u64,
    engines: Vec<LoadEngine>,
    tables: Vec<EngineTable>,
    requests: HashMap<u64, OpenRequest>,
    next_request: u64,
    sessions: Vec<Vec<u64>>,
    seen: HashSet<u64>,
    generator: StdRng,
    first_tokens: Histogram<u64>,
    between: Histogram<u64>,
    arrived: u64,
    within: u64,
    within_tokens: u64,
    generated: u64,
    recomputed: u64,
    recomputed_moved: u64,
    refused: u64,
    moved: u64,
}

fn zone_name(zone: usize) -> ZoneName {
    format!("zone-{zone}").parse().expect("a valid name")
}

/// The price of a reclaimable VM for an hour, by zone.
fn zone_price(zone: usize) -> f64 {
    1.0 + 0.15 * zone as f64
}

/// Runs one experiment.
pub fn run_load(run: LoadRun) -> LoadFigures {
    let mut world = LoadWorld::new(run);
    world.start();
    while let Some(std::cmp::Reverse((at, _, event))) = world.queue.pop() {
        world.now = at;
        world.handle(event);
    }
    world.figures()
}

impl LoadWorld {
    fn new(run: LoadRun) -> Self {
        let engines = (0..run.engines)
            .map(|index| {
                let mut shape = run.shape;
                if run.scenario == Scenario::SlowEngine && index == 0 {
                    shape.step_base *= SLOWDOWN;
                    shape.step_per_request *= SLOWDOWN;
                    shape.prefill_rate /= f64::from(SLOWDOWN);
                }
                LoadEngine {
                    model: EngineModel::new(shape),
                    vm: format!("engine-{index}").parse().expect("a valid name"),
                    zone: index % ZONES,
                    up: true,
                    stepping: false,
                    generation: 0,
                    pending: Vec::new(),
                }
            })
            .collect();
        let tables = (0..run.entries)
            .map(|entry| {
                let seed = run.seed + entry as u64;
                let mut table = EngineTable::new(run.strategy, run.weights, seed);
                table.set_sharers(run.sharers);
                table
            })
            .collect();
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        Self {
            run,
            now: Timestamp(0),
            queue: BinaryHeap::new(),
            number: 0,
            engines,
            tables,
            requests: HashMap::new(),
            next_request: 1,
            sessions: Vec::new(),
            seen: HashSet::new(),
            generator: StdRng::seed_from_u64(run.seed),
            first_tokens: histogram(),
            between: histogram(),
            arrived: 0,
            within: 0,
            within_tokens: 0,
            generated: 0,
            recomputed: 0,
            recomputed_moved: 0,
            refused: 0,
            moved: 0,
        }
    }

    fn at(&mut self, time: Timestamp, event: LoadEvent) {
        self.number += 1;
        self.queue
            .push(std::cmp::Reverse((time, self.number, event)));
    }

    fn after(&mut self, delay: Duration, event: LoadEvent) {
        self.at(self.now.after(delay), event);
    }

    fn start(&mut self) {
        for index in 0..self.engines.len() {
            self.add_to_tables(index);
            let offset = REPORT_PERIOD.mul_f64(index as f64 / self.engines.len() as f64);
            self.after(offset, LoadEvent::Report(index));
        }
        self.after(Duration::ZERO, LoadEvent::Arrival);
        self.after(REBALANCE_PERIOD, LoadEvent::Rebalance);
        let reclaims = matches!(self.run.scenario, Scenario::ZoneReclaim | Scenario::Refused);
        if reclaims {
            self.after(self.run.duration.mul_f64(0.4), LoadEvent::Notice);
        }
    }

    fn add_to_tables(&mut self, index: usize) {
        let engine = &self.engines[index];
        let info = EngineInfo {
            vm: engine.vm.clone(),
            zone: zone_name(engine.zone),
            price: HourlyPrice(zone_price(engine.zone)),
            prefill_rate: effective_prefill(self.run.shape),
            slots: self.run.shape.slots as u32,
        };
        for table in &mut self.tables {
            table.add(info.clone());
        }
    }

    fn is_over(&self) -> bool {
        self.now.0 >= self.run.duration.as_micros() as u64
    }

    fn handle(&mut self, event: LoadEvent) {
        match event {
            LoadEvent::Arrival => self.arrive(),
            LoadEvent::StepDone(index, generation) => self.step_done(index, generation),
            LoadEvent::Report(index) => self.report(index),
            LoadEvent::ReportArrives(index, running, waiting, waiting_tokens, as_of) => {
                let vm = self.engines[index].vm.clone();
                let load = EngineLoad {
                    running,
                    waiting,
                    waiting_tokens,
                    as_of,
                };
                for table in &mut self.tables {
                    table.report_load(&vm, load);
                }
            }
            LoadEvent::CacheArrives(index, stored, evicted) => {
                let vm = self.engines[index].vm.clone();
                for table in &mut self.tables {
                    table.report_cache(&vm, &stored, &evicted);
                }
            }
            LoadEvent::Rebalance => {
                if self.run.strategy == RouteStrategy::BucketHash {
                    for table in &mut self.tables {
                        table.rebalance_buckets();
                    }
                }
                if !self.is_over() {
                    self.after(REBALANCE_PERIOD, LoadEvent::Rebalance);
                }
            }
            LoadEvent::Notice => self.notice(),
            LoadEvent::Reclaim => self.reclaim(),
            LoadEvent::Replace => self.replace(),
        }
    }

    fn arrive(&mut self) {
        if self.is_over() {
            return;
        }
        let gap = -self.generator.random_range(f64::MIN_POSITIVE..1.0).ln() / self.run.rate;
        self.after(Duration::from_secs_f64(gap), LoadEvent::Arrival);
        let (blocks, prompt, answer) = self.draw_request();
        self.arrived += 1;
        let entry = self.generator.random_range(0..self.run.entries);
        let id = self.next_request;
        self.next_request += 1;
        let request = OpenRequest {
            arrival: self.now,
            last_token: None,
            first_token: None,
            entry,
            engine: 0,
            blocks,
            prompt,
            answer,
            position: 0,
            moves: 0,
        };
        self.requests.insert(id, request);
        self.send(id, 0);
    }

    fn draw_request(&mut self) -> (Vec<u64>, u64, u64) {
        match self.run.demand {
            DemandKind::ColdChain => {
                let template = self.generator.random_range(0..40_u64);
                let shared = 12;
                let own = self.generator.random_range(2..14_u64);
                let fresh = self.next_request << 8;
                let blocks = (0..shared)
                    .map(|block| (template << 8) | block | (1 << 62))
                    .chain((0..own).map(|block| fresh | block))
                    .collect();
                let prompt = (shared + own) * BLOCK_TOKENS + 20;
                (blocks, prompt, self.generator.random_range(60..200))
            }
            DemandKind::PetFood => self.draw_session(),
        }
    }

    /// Draws a turn of a session, whose history is the prefix of the next.
    fn draw_session(&mut self) -> (Vec<u64>, u64, u64) {
        let fresh = self.sessions.len() < 150 || self.generator.random_bool(0.12);
        let session = if fresh {
            self.sessions.push(Vec::new());
            self.sessions.len() - 1
        } else {
            let recent = self.sessions.len().saturating_sub(300);
            self.generator.random_range(recent..self.sessions.len())
        };
        let growth = self.generator.random_range(4..12_u64);
        let base = (session as u64) << 20;
        let length = self.sessions[session].len() as u64;
        let history = &mut self.sessions[session];
        history.extend((0..growth).map(|block| base | (length + block)));
        let start = history.len().saturating_sub(100);
        if start > 0 {
            // A history that grew too long starts anew, as a summary would.
            history.clear();
            history.extend((0..growth).map(|block| base | (1 << 19) | (length + block)));
        }
        let blocks = history.clone();
        let prompt = blocks.len() as u64 * BLOCK_TOKENS + 30;
        (blocks, prompt, self.generator.random_range(80..260))
    }

    /// Sends a request to the engine that its entry chooses.
    fn send(&mut self, id: u64, imported: u64) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let first = request.moves == 0;
        let blocks = request.blocks.clone();
        let prompt = request.prompt;
        let entry = request.entry;
        let query = RouteQuery {
            blocks: &blocks,
            prompt: TokenCount(prompt),
            zones: None,
            max_price: None,
            avoid: None,
        };
        let table = &mut self.tables[entry];
        let Some(choice) = table.choose(self.now, &query) else {
            self.refused += 1;
            self.requests.remove(&id);
            return;
        };
        let late = match self.run.admission {
            Admission::All => false,
            Admission::QueueLimit(limit) => choice.queue_wait > limit,
            Admission::EarlyRefusal(limit) => !AdmissionRule::with_limit(limit).admits(&choice),
        };
        if first && late {
            self.refused += 1;
            self.requests.remove(&id);
            return;
        }
        table.sent(self.now, &choice, &query);
        let index = choice.index as usize;
        if let Some(request) = self.requests.get_mut(&id) {
            request.engine = index;
            let model_request = ModelRequest {
                id,
                priority: 5,
                blocks,
                prompt,
                resumed: request.position,
                imported,
                answer: request.answer,
            };
            self.engines[index].model.submit(model_request);
        }
        self.wake(index);
    }

    fn wake(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        if engine.stepping || !engine.up || engine.model.is_idle() {
            return;
        }
        let outcome = engine.model.step();
        engine.stepping = true;
        engine.pending = outcome.tokens;
        let generation = engine.generation;
        self.after(outcome.duration, LoadEvent::StepDone(index, generation));
    }

    fn step_done(&mut self, index: usize, generation: u64) {
        if self.engines[index].generation != generation {
            return;
        }
        self.engines[index].stepping = false;
        let tokens = std::mem::take(&mut self.engines[index].pending);
        for token in tokens {
            self.take_token(index, token);
        }
        self.publish_events(index);
        self.wake(index);
    }

    fn take_token(&mut self, index: usize, token: ModelToken) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&token.id) else {
            return;
        };
        if token.position < request.position {
            return;
        }
        request.position = token.position + 1;
        self.generated += 1;
        let first_of_attempt = request.last_token.is_none() || token.computed > 0;
        if request.first_token.is_none() {
            request.first_token = Some(now);
            let waited = now.since(request.arrival);
            let _ = self.first_tokens.record(waited.as_micros() as u64);
        } else if let Some(last) = request.last_token {
            let _ = self.between.record(now.since(last).as_micros() as u64);
        }
        let is_start = first_of_attempt && request.engine == index;
        request.last_token = Some(now);
        if is_start && token.computed > 0 {
            self.count_recomputed(token);
        }
        if token.last {
            self.end_request(index, token.id);
        }
    }

    /// Counts the prompt tokens of an attempt that some engine had computed
    /// before. Called with the attempt's first token only.
    fn count_recomputed(&mut self, token: ModelToken) {
        let Some(request) = self.requests.get_mut(&token.id) else {
            return;
        };
        if request.moves & 0x8000_0000 != 0 {
            return;
        }
        let moved = request.moves > 0;
        request.moves |= 0x8000_0000;
        let fresh: Vec<u64> = request
            .blocks
            .iter()
            .copied()
            .filter(|block| !self.seen.contains(block))
            .collect();
        let tail = request.prompt % BLOCK_TOKENS;
        let new = fresh.len() as u64 * BLOCK_TOKENS + if moved { 0 } else { tail };
        let again = token.computed.saturating_sub(new);
        self.recomputed += again;
        if moved {
            self.recomputed_moved += again;
        }
        self.seen.extend(fresh);
    }

    fn end_request(&mut self, index: usize, id: u64) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let vm = self.engines[index].vm.clone();
        self.tables[request.entry].ended(self.now, &vm, false);
        let waited = request
            .first_token
            .map(|first| first.since(request.arrival));
        if waited.is_some_and(|waited| waited <= FIRST_TOKEN_TARGET) {
            self.within += 1;
            self.within_tokens += request.answer;
        }
    }

    fn publish_events(&mut self, index: usize) {
        let changes = self.engines[index].model.take_changes();
        if changes.is_empty() {
            return;
        }
        let mut stored = Vec::new();
        let mut evicted = Vec::new();
        for change in changes {
            if self.generator.random_bool(EVENT_GAPS) {
                continue;
            }
            match change {
                CacheChange::Stored(block) => stored.push(block),
                CacheChange::Evicted(block) => evicted.push(block),
            }
        }
        self.after(EVENT_LAG, LoadEvent::CacheArrives(index, stored, evicted));
    }

    fn report(&mut self, index: usize) {
        if self.is_over() && self.requests.is_empty() {
            return;
        }
        let model = &self.engines[index].model;
        let event = LoadEvent::ReportArrives(
            index,
            model.running() as u32,
            model.waiting() as u32,
            model.waiting_tokens(),
            self.now,
        );
        if self.engines[index].up {
            self.after(REPORT_LAG, event);
        }
        self.after(REPORT_PERIOD, LoadEvent::Report(index));
    }

    fn figures(&self) -> LoadFigures {
        let millis =
            |histogram: &Histogram<u64>, q: f64| histogram.value_at_quantile(q) as f64 / 1_000.0;
        let seconds = self.run.duration.as_secs_f64();
        let arrived = self.arrived.max(1) as f64;
        let per_thousand = 1_000.0 / self.generated.max(1) as f64;
        let hourly: f64 = self
            .engines
            .iter()
            .map(|engine| zone_price(engine.zone))
            .sum();
        let spent = hourly * seconds / 3_600.0;
        LoadFigures {
            first_token_p95: millis(&self.first_tokens, 0.95),
            first_token_p50: millis(&self.first_tokens, 0.5),
            between_p95: millis(&self.between, 0.95),
            within: self.within as f64 / arrived,
            goodput: self.within as f64 / seconds,
            recomputed: self.recomputed as f64 * per_thousand,
            recomputed_moved: self.recomputed_moved as f64 * per_thousand,
            cost: spent * 1e6 / self.within_tokens.max(1) as f64,
            refused: self.refused as f64 / arrived,
            moved: self.moved,
        }
    }
}
