//! A small model of a model engine: continuous batching, chunked prefill, a
//! prefix cache in limited memory, priorities.
//!
//! Pure and without a clock: [`EngineModel::step`] runs one batch iteration
//! and tells how long it took. The stand-in sleeps for that time; the
//! experiments add it to virtual time.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use cloverbend::prefix::BLOCK_TOKENS;

/// The speed and size of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineShape {
    /// Prompt tokens computed a second.
    pub prefill_rate: f64,
    /// The time of an iteration without requests.
    pub step_base: Duration,
    /// The added time for each request that decodes.
    pub step_per_request: Duration,
    /// Requests in a batch.
    pub slots: usize,
    /// The most prompt tokens computed in one iteration.
    pub chunk: u64,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
}

impl Default for EngineShape {
    fn default() -> Self {
        Self {
            prefill_rate: 12_000.0,
            step_base: Duration::from_micros(12_000),
            step_per_request: Duration::from_micros(800),
            slots: 16,
            chunk: 128,
            cache_blocks: 1_500,
        }
    }
}

/// A request to the model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelRequest {
    /// Identifies the attempt.
    pub id: u64,
    /// 0 is the most urgent.
    pub priority: u32,
    /// Hashes of the prompt's prefixes.
    pub blocks: Vec<u64>,
    /// The length of the prompt.
    pub prompt: u64,
    /// Tokens generated before, by another engine.
    pub resumed: u64,
    /// Tokens generated before whose KV cache was imported here.
    pub imported: u64,
    /// The length of the whole answer.
    pub answer: u64,
}

#[derive(Clone, Debug)]
struct RunningRequest {
    request: ModelRequest,
    to_compute: u64,
    computed: u64,
    position: u64,
}

/// A token that an iteration produced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelToken {
    /// The attempt.
    pub id: u64,
    /// Its position in the whole answer.
    pub position: u64,
    /// Whether it is the last one.
    pub last: bool,
    /// The prompt tokens computed for the attempt.
    pub computed: u64,
}

/// What an iteration did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepOutcome {
    /// How long it took.
    pub duration: Duration,
    /// The tokens produced at its end.
    pub tokens: Vec<ModelToken>,
}

/// A change of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// A block was stored.
    Stored(u64),
    /// A block was evicted.
    Evicted(u64),
}

/// A prefix cache that drops the block used least recently.
#[derive(Clone, Debug, Default)]
struct BlockCache {
    used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    clock: u64,
    capacity: usize,
    changes: Vec<CacheChange>,
}

impl BlockCache {
    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(before) = self.used.insert(block, self.clock) {
            self.order.remove(&before);
        } else {
            self.changes.push(CacheChange::Stored(block));
        }
        self.order.insert(self.clock, block);
        while self.used.len() > self.capacity {
            let Some((_, oldest)) = self.order.pop_first() else {
                return;
            };
            self.used.remove(&oldest);
            self.changes.push(CacheChange::Evicted(oldest));
        }
    }

    fn prefix(&self, blocks: &[u64]) -> u64 {
        let cached = blocks.iter().take_while(|b| self.used.contains_key(b));
        cached.count() as u64
    }
}

/// A model engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    shape: EngineShape,
    waiting: Vec<ModelRequest>,
    running: Vec<RunningRequest>,
    cache: BlockCache,
    computed: u64,
}

impl EngineModel {
    /// Returns an idle engine with an empty cache.
    pub fn new(shape: EngineShape) -> Self {
        Self {
            shape,
            waiting: Vec::new(),
            running: Vec::new(),
            cache: BlockCache {
                capacity: shape.cache_blocks,
                ..BlockCache::default()
            },
            computed: 0,
        }
    }

    /// Takes in a request.
    pub fn submit(&mut self, request: ModelRequest) {
        let behind = |other: &ModelRequest| other.priority <= request.priority;
        let index = self.waiting.partition_point(behind);
        self.waiting.insert(index, request);
    }

    /// Drops a request. Returns the tokens it had generated, if it was here.
    pub fn cancel(&mut self, id: u64) -> Option<u64> {
        if let Some(index) = self.waiting.iter().position(|r| r.id == id) {
            return Some(self.waiting.remove(index).resumed);
        }
        let index = self.running.iter().position(|r| r.request.id == id)?;
        Some(self.running.remove(index).position)
    }

    /// Returns whether nothing is to be done.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Returns the number of requests that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the prompt tokens that wait to be computed.
    pub fn waiting_tokens(&self) -> u64 {
        let waiting: u64 = self.waiting.iter().map(|r| self.uncached(r)).sum();
        let running: u64 = self.running.iter().map(|r| r.to_compute).sum();
        waiting + running
    }

    /// Returns all prompt tokens computed so far.
    pub fn computed(&self) -> u64 {
        self.computed
    }

    /// Returns the blocks of a request that are cached here.
    pub fn cached_blocks(&self, blocks: &[u64]) -> u64 {
        self.cache.prefix(blocks)
    }

    /// Stores blocks whose KV cache was imported.
    pub fn import(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.cache.touch(*block);
        }
    }

    /// Takes the cache changes since the last call.
    pub fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.cache.changes)
    }

    fn uncached(&self, request: &ModelRequest) -> u64 {
        let cached = self.cache.prefix(&request.blocks) * BLOCK_TOKENS;
        let prompt = request.prompt.saturating_sub(cached);
        prompt + request.resumed.saturating_sub(request.imported)
    }

    fn admit(&mut self) {
        while self.running.len() < self.shape.slots && !self.waiting.is_empty() {
            let request = self.waiting.remove(0);
            // At least one token is always computed, to get the first logits.
            let to_compute = self.uncached(&request).max(1);
            self.running.push(RunningRequest {
                position: request.resumed,
                to_compute,
                computed: 0,
                request,
            });
        }
    }

    /// Runs one iteration of the batch.
    pub fn step(&mut self) -> StepOutcome {
        self.admit();
        if self.running.is_empty() {
            return StepOutcome::default();
        }
        let decoding = self.running.iter().filter(|r| r.to_compute == 0).count();
        let prefilled = self.prefill();
        let prefill_time = Duration::from_secs_f64(prefilled as f64 / self.shape.prefill_rate);
        let duration =
            self.shape.step_base + self.shape.step_per_request * decoding as u32 + prefill_time;
        StepOutcome {
            duration,
            tokens: self.emit(),
        }
    }

    fn prefill(&mut self) -> u64 {
        let mut budget = self.shape.chunk;
        let mut done = 0;
        for running in &mut self.running {
            if running.to_compute == 0 {
                continue;
            }
            let part = running.to_compute.min(budget);
            running.to_compute -= part;
            running.computed += part;
            budget -= part;
            done += part;
            if running.to_compute == 0 {
                for block in &running.request.blocks {
                    self.cache.touch(*block);
                }
            }
            if budget == 0 {
                break;
            }
        }
        self.computed += done;
        done
    }

    fn emit(&mut self) -> Vec<ModelToken> {
        let mut tokens = Vec::new();
        for running in &mut self.running {
            if running.to_compute > 0 {
                continue;
            }
            let last = running.position + 1 >= running.request.answer;
            tokens.push(ModelToken {
                id: running.request.id,
                position: running.position,
                last,
                computed: running.computed,
            });
            running.position += 1;
        }
        self.running
            .retain(|r| r.to_compute > 0 || r.position < r.request.answer);
        tokens
    }
}

/// Returns the prompt tokens that a full batch computes a second.
pub fn effective_prefill(shape: EngineShape) -> f64 {
    let decode = shape.step_base + shape.step_per_request * shape.slots as u32;
    let chunk = shape.chunk as f64;
    chunk / (decode.as_secs_f64() + chunk / shape.prefill_rate)
}
