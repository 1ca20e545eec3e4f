//! Prompt prefixes: their hashes, and which engines are believed to hold them.

use std::collections::HashMap;
use std::collections::VecDeque;

use twox_hash::XxHash64;

/// The bytes of prompt text that one block of the hash chain covers.
pub const BLOCK_BYTES: usize = 256;
/// The estimated bytes of text for one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// The tokens that one block covers.
pub const BLOCK_TOKENS: u64 = (BLOCK_BYTES / BYTES_PER_TOKEN) as u64;
/// The most blocks hashed of one prompt.
pub const MAX_BLOCKS: usize = 256;
/// The most engines remembered for one block.
const MAX_HOLDERS: usize = 4;

/// The dense number of an engine in a table.
pub type EngineIndex = u32;

/// Hashes every prefix of `text` that is a whole number of blocks. Each hash
/// covers all the text before its end, so equal hashes mean equal prefixes.
pub fn prefix_blocks(text: &[u8]) -> Vec<u64> {
    let mut seed = 0;
    text.chunks_exact(BLOCK_BYTES)
        .take(MAX_BLOCKS)
        .map(|block| {
            seed = XxHash64::oneshot(seed, block);
            seed
        })
        .collect()
}

/// Which engines are believed to have which prefix blocks in their caches.
/// Bounded: the blocks noted least recently are forgotten first.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    holders: HashMap<u64, Vec<EngineIndex>>,
    order: VecDeque<u64>,
    capacity: usize,
}

impl PrefixIndex {
    /// Returns an index of at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            holders: HashMap::new(),
            order: VecDeque::new(),
            capacity,
        }
    }

    /// Returns the number of blocks known.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether no block is known.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Notes that an engine has, or will soon have, these blocks.
    pub fn note(&mut self, engine: EngineIndex, blocks: &[u64]) {
        for block in blocks {
            let known = self.holders.contains_key(block);
            if !known {
                self.make_room();
                self.order.push_back(*block);
            }
            let engines = self.holders.entry(*block).or_default();
            engines.retain(|other| *other != engine);
            engines.push(engine);
            if engines.len() > MAX_HOLDERS {
                engines.remove(0);
            }
        }
    }

    fn make_room(&mut self) {
        while self.holders.len() >= self.capacity {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            self.holders.remove(&oldest);
        }
    }

    /// Notes that an engine dropped a block.
    pub fn evict(&mut self, engine: EngineIndex, block: u64) {
        if let Some(engines) = self.holders.get_mut(&block) {
            engines.retain(|other| *other != engine);
        }
    }

    /// Notes that an engine is gone.
    pub fn remove_engine(&mut self, engine: EngineIndex) {
        for engines in self.holders.values_mut() {
            engines.retain(|other| *other != engine);
        }
    }

    /// Returns the engines that hold a prefix, each with the number of leading
    /// blocks it is believed to hold.
    pub fn matches(&self, blocks: &[u64]) -> Vec<(EngineIndex, usize)> {
        let mut found: Vec<(EngineIndex, usize)> = Vec::new();
        for (depth, block) in blocks.iter().enumerate() {
            let Some(engines) = self.holders.get(block) else {
                break;
            };
            let mut any = false;
            for engine in engines {
                match found.iter_mut().find(|(other, _)| other == engine) {
                    Some((_, length)) if *length == depth => {
                        *length = depth + 1;
                        any = true;
                    }
                    Some(_) => {}
                    None if depth == 0 => {
                        found.push((*engine, 1));
                        any = true;
                    }
                    None => {}
                }
            }
            if !any {
                break;
            }
        }
        found
    }
}
