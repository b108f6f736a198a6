//! Index of the servers that have a prompt prefix cached.
//!
//! The index is an estimate from this entry's own routing and from cache events.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use parking_lot::Mutex;

/// Words in one block of a prompt.
pub const BLOCK_WORDS: usize = 16;
/// Blocks of one prompt that are indexed; the rest of a longer prompt is ignored.
const BLOCKS_MAX: usize = 256;
/// Number of shards, each with its own lock.
const SHARDS: u64 = 16;
/// Most blocks in one generation of a shard.
const GENERATION_MAX: usize = 8_192;
/// Most servers recorded for a block.
const HOLDERS_MAX: usize = 4;

/// Returns a hash for each whole block, over that block and all before it.
#[must_use]
pub fn block_hashes(prompt: &str) -> Vec<u64> {
    let mut hasher = DefaultHasher::new();
    let mut words = 0;
    let mut all = Vec::new();
    for word in prompt.split_whitespace() {
        word.hash(&mut hasher);
        words += 1;
        if words % BLOCK_WORDS == 0 {
            all.push(hasher.finish());
        }
        if all.len() == BLOCKS_MAX {
            break;
        }
    }
    all
}

/// Compact identifier of a server in the index.
pub type ServerNumber = u32;

/// Servers that have a block cached, the most recent first.
#[derive(Clone, Copy, Debug, Default)]
struct Holders([Option<ServerNumber>; HOLDERS_MAX]);

impl Holders {
    fn add(&mut self, server: ServerNumber) {
        let last = HOLDERS_MAX - 1;
        let found = self.0.iter().position(|held| *held == Some(server));
        self.0[..=found.unwrap_or(last)].rotate_right(1);
        self.0[0] = Some(server);
    }

    fn remove(&mut self, server: ServerNumber) {
        for held in &mut self.0 {
            if *held == Some(server) {
                *held = None;
            }
        }
    }

    fn has(&self, server: ServerNumber) -> bool {
        self.0.contains(&Some(server))
    }
}

/// Two generations of blocks: when `young` is full, it replaces `old`, which is dropped.
#[derive(Debug, Default)]
struct Shard {
    young: HashMap<u64, Holders>,
    old: HashMap<u64, Holders>,
}

impl Shard {
    fn get(&self, block: u64) -> Option<Holders> {
        let found = self.young.get(&block).or_else(|| self.old.get(&block));
        found.copied()
    }

    fn put(&mut self, block: u64, holders: Holders) {
        if self.young.len() >= GENERATION_MAX {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(block, holders);
    }
}

/// Index from prompt blocks to servers, of bounded size.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    shards: [Mutex<Shard>; 16],
}

impl PrefixIndex {
    fn shard(&self, block: u64) -> &Mutex<Shard> {
        let number = usize::try_from(block % SHARDS).unwrap_or(0);
        &self.shards[number]
    }

    /// Records that a server has the blocks of a prompt cached.
    pub fn note(&self, blocks: &[u64], server: ServerNumber) {
        for block in blocks {
            let mut shard = self.shard(*block).lock();
            let mut holders = shard.get(*block).unwrap_or_default();
            holders.add(server);
            shard.put(*block, holders);
        }
    }

    /// Records that a server evicted a block.
    ///
    /// Cache events arrive late; an outdated record only costs a cache hit, since any server can
    /// run any prompt.
    pub fn forget(&self, block: u64, server: ServerNumber) {
        let mut shard = self.shard(block).lock();
        if let Some(mut holders) = shard.get(block) {
            holders.remove(server);
            shard.put(block, holders);
        }
    }

    /// Counts the leading blocks of a prompt that each of `servers` has cached.
    #[must_use]
    pub fn held(&self, blocks: &[u64], servers: &[ServerNumber]) -> Vec<usize> {
        let mut held = vec![0; servers.len()];
        for (depth, block) in blocks.iter().enumerate() {
            let Some(holders) = self.shard(*block).lock().get(*block) else {
                break;
            };
            let mut any = false;
            for (count, server) in held.iter_mut().zip(servers) {
                if *count == depth && holders.has(*server) {
                    *count += 1;
                    any = true;
                }
            }
            if !any {
                break;
            }
        }
        held
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn prompt(words: usize, tail: &str) -> String {
        format!("{} {tail}", vec!["word"; words].join(" "))
    }

    #[test]
    fn block_hashes_share_prefix() {
        let (a, b) = (
            block_hashes(&prompt(40, "a")),
            block_hashes(&prompt(40, "b")),
        );
        assert_eq!(a.len(), 2);
        assert_eq!(a, b);
        assert_ne!(a, block_hashes(&format!("x {}", prompt(40, "a")))[..2]);
    }

    #[test]
    fn held_counts_leading_blocks() {
        let index = PrefixIndex::default();
        let blocks = block_hashes(&prompt(64, ""));
        index.note(&blocks[..2], 1);
        index.note(&blocks, 2);
        assert_eq!(index.held(&blocks, &[1, 2, 3]), [2, 4, 0]);
        index.forget(blocks[1], 2);
        assert_eq!(index.held(&blocks, &[1, 2, 3]), [2, 1, 0]);
    }

    #[test]
    fn note_keeps_bounded_memory() {
        let index = PrefixIndex::default();
        let count = 3 * GENERATION_MAX as u64 * SHARDS;
        for block in 0..count {
            index.note(&[block], 1);
        }
        let kept = |shard: &Mutex<Shard>| {
            let shard = shard.lock();
            shard.young.len() + shard.old.len()
        };
        let kept: usize = index.shards.iter().map(kept).sum();
        assert!(kept <= 2 * GENERATION_MAX * index.shards.len(), "{kept}");
        assert_eq!(index.held(&[count - 1], &[1]), [1]);
    }
}
