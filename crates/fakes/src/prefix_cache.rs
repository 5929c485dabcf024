//! Prefix cache of a fake engine: LRU, of fixed capacity, with an event log.

use std::collections::{BTreeMap, HashMap, VecDeque};

use heathpitch_core::LayerRange;
use heathpitch_net::CacheEvents;
use heathpitch_policy::BlockEvent;

const MAX_LOGGED_EVENTS: usize = 1_024;

type BlockKey = (u64, LayerRange);

/// KV digests at block boundaries; the least recently used are evicted first.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    capacity: usize,
    /// Time of last use and digests of each block.
    entries: HashMap<BlockKey, (u64, Vec<u64>)>,
    /// Blocks by time of last use.
    by_use: BTreeMap<u64, BlockKey>,
    clock: u64,
    log: VecDeque<BlockEvent>,
    serial: u64,
}

impl PrefixCache {
    /// Empty cache for `capacity` blocks.
    pub(crate) fn new(capacity: usize) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Number of leading blocks cached for these layers; marks them as used.
    pub(crate) fn match_prefix(&mut self, chain: &[u64], layers: LayerRange) -> usize {
        let hit = chain.iter().take_while(|b| self.entries.contains_key(&(**b, layers))).count();
        // Touched in reverse, so that the tail of a prompt is evicted before its head.
        chain[..hit].iter().rev().for_each(|b| self.touch((*b, layers)));
        hit
    }

    /// Digests at the end of a block.
    pub(crate) fn get(&self, block: u64, layers: LayerRange) -> Option<Vec<u64>> {
        self.entries.get(&(block, layers)).map(|(_, digests)| digests.clone())
    }

    /// Stores the digests at the end of a block and evicts what exceeds the capacity.
    pub(crate) fn put(&mut self, block: u64, layers: LayerRange, digests: Vec<u64>) {
        let key = (block, layers);
        match self.entries.contains_key(&key) {
            _ if self.capacity == 0 => {}
            true => self.touch(key),
            false => {
                self.entries.insert(key, (0, digests));
                self.touch(key);
                self.record(block, true);
                self.evict();
            }
        }
    }

    fn touch(&mut self, key: BlockKey) {
        self.clock += 1;
        if let Some((used, _)) = self.entries.get_mut(&key) {
            self.by_use.remove(used);
            *used = self.clock;
            self.by_use.insert(self.clock, key);
        }
    }

    fn evict(&mut self) {
        while self.entries.len() > self.capacity {
            let Some((_, oldest)) = self.by_use.pop_first() else { return };
            self.entries.remove(&oldest);
            self.record(oldest.0, false);
        }
    }

    /// Events after `after`, with the full content if some are no longer logged.
    pub(crate) fn events(&self, after: u64, layers: LayerRange) -> CacheEvents {
        let first = self.log.front().map_or(self.serial + 1, |e| e.serial);
        let events = self.log.iter().filter(|e| e.serial > after).copied().collect();
        let content = || self.by_use.values().map(|(b, _)| *b).collect();
        let snapshot = (after + 1 < first).then(content);
        CacheEvents { events, snapshot, serial: self.serial, layers: Some(layers) }
    }

    /// Clears the event log, like an engine that publishes events with gaps.
    pub(crate) fn clear_events(&mut self) {
        self.log.clear();
    }

    fn record(&mut self, block: u64, added: bool) {
        self.serial += 1;
        self.log.push_back(BlockEvent { serial: self.serial, block, added });
        if self.log.len() > MAX_LOGGED_EVENTS {
            self.log.pop_front();
        }
    }
}
