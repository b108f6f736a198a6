//! A simulated engine's prefix cache: blocks of prompt words with LRU eviction.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};

/// Words in one block.
pub const BLOCK_WORDS: usize = 16;

/// An LRU cache of the hashes of prompt blocks.
#[derive(Debug)]
pub struct PrefixCache {
    limit: usize,
    /// Counts uses of blocks, as a clock.
    tick: u64,
    /// The tick of each block's last use.
    blocks: HashMap<u64, u64>,
}

impl PrefixCache {
    /// Creates an empty cache of at most `limit` blocks.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            tick: 0,
            blocks: HashMap::new(),
        }
    }

    /// Caches a prompt's blocks; returns the words of its prefix that were already cached.
    pub fn insert(&mut self, prompt: &str) -> usize {
        let hashes = block_hashes(prompt);
        let known = |hash: &&u64| self.blocks.contains_key(*hash);
        let hit = hashes.iter().take_while(known).count();
        for hash in hashes {
            self.tick += 1;
            self.blocks.insert(hash, self.tick);
        }
        while self.blocks.len() > self.limit {
            self.evict();
        }
        hit * BLOCK_WORDS
    }

    fn evict(&mut self) {
        let oldest = self.blocks.iter().min_by_key(|(_, tick)| **tick);
        if let Some(hash) = oldest.map(|(hash, _)| *hash) {
            self.blocks.remove(&hash);
        }
    }
}

/// Returns a hash for each full block, which also covers all blocks before it.
#[must_use]
pub fn block_hashes(prompt: &str) -> Vec<u64> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let mut hasher = DefaultHasher::new();
    let mut all = Vec::new();
    for block in words.chunks_exact(BLOCK_WORDS) {
        block.hash(&mut hasher);
        all.push(hasher.finish());
    }
    all
}
