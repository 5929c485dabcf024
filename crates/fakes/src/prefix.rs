//! Prefix cache of a stand-in engine, in limited memory, with an event log.

use std::collections::{BTreeMap, HashMap, VecDeque};

use heathpitch_core::LayerRange;
use heathpitch_net::CacheEvents;
use heathpitch_policy::BlockEvent;

/// Events kept in the log.
const LOG: usize = 1_024;

type BlockKey = (u64, LayerRange);

/// KV digests at block boundaries; the longest unused are dropped first.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    room: usize,
    held: HashMap<BlockKey, (u64, Vec<u64>)>,
    order: BTreeMap<u64, BlockKey>,
    clock: u64,
    log: VecDeque<BlockEvent>,
    serial: u64,
}

impl PrefixCache {
    /// A cache of `room` blocks.
    pub(crate) fn new(room: usize) -> Self {
        Self { room, ..Self::default() }
    }

    /// Number of leading blocks held for these layers, which count as used now.
    pub(crate) fn hit(&mut self, chain: &[u64], layers: LayerRange) -> usize {
        let hit = chain.iter().take_while(|b| self.held.contains_key(&(**b, layers))).count();
        // The first block is used last, so that a prompt's tail goes before its head.
        chain[..hit].iter().rev().for_each(|b| self.touch((*b, layers)));
        hit
    }

    /// Digests at the end of a block.
    pub(crate) fn get(&self, block: u64, layers: LayerRange) -> Option<Vec<u64>> {
        self.held.get(&(block, layers)).map(|(_, digests)| digests.clone())
    }

    /// Keeps the digests at the end of a block, dropping the longest unused beyond the room.
    pub(crate) fn put(&mut self, block: u64, layers: LayerRange, digests: Vec<u64>) {
        let key = (block, layers);
        match self.held.contains_key(&key) {
            _ if self.room == 0 => {}
            true => self.touch(key),
            false => {
                self.held.insert(key, (0, digests));
                self.touch(key);
                self.note(block, true);
                self.trim();
            }
        }
    }

    fn touch(&mut self, key: BlockKey) {
        self.clock += 1;
        if let Some((used, _)) = self.held.get_mut(&key) {
            self.order.remove(used);
            *used = self.clock;
            self.order.insert(self.clock, key);
        }
    }

    fn trim(&mut self) {
        while self.held.len() > self.room {
            let Some((_, oldest)) = self.order.pop_first() else { return };
            self.held.remove(&oldest);
            self.note(oldest.0, false);
        }
    }

    /// Events after `serial`; the whole content if some are no longer there.
    pub(crate) fn events(&self, after: u64, layers: LayerRange) -> CacheEvents {
        let first = self.log.front().map_or(self.serial + 1, |e| e.serial);
        let events = self.log.iter().filter(|e| e.serial > after).copied().collect();
        let whole = || self.order.values().map(|(b, _)| *b).collect();
        let snapshot = (after + 1 < first).then(whole);
        CacheEvents { events, snapshot, serial: self.serial, layers: Some(layers) }
    }

    /// Forgets the log, as an engine does that publishes with gaps.
    pub(crate) fn lose_events(&mut self) {
        self.log.clear();
    }

    fn note(&mut self, block: u64, added: bool) {
        self.serial += 1;
        self.log.push_back(BlockEvent { serial: self.serial, block, added });
        if self.log.len() > LOG {
            self.log.pop_front();
        }
    }
}
