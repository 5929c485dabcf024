//! Prefix cache of a stand-in engine, in limited memory, with an event log.

use std::collections::{HashMap, VecDeque};

use heathpitch_core::LayerRange;
use heathpitch_net::CacheEvents;
use heathpitch_policy::BlockEvent;

/// Events kept in the log.
const LOG: usize = 1_024;

/// KV digests at block boundaries.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    room: usize,
    held: HashMap<(u64, LayerRange), Vec<u64>>,
    order: VecDeque<(u64, LayerRange)>,
    log: VecDeque<BlockEvent>,
    serial: u64,
}

impl PrefixCache {
    /// A cache of `room` blocks.
    pub(crate) fn new(room: usize) -> Self {
        Self { room, ..Self::default() }
    }

    /// Number of leading blocks held for these layers.
    pub(crate) fn hit(&self, chain: &[u64], layers: LayerRange) -> usize {
        chain.iter().take_while(|b| self.held.contains_key(&(**b, layers))).count()
    }

    /// Digests at the end of a block.
    pub(crate) fn get(&self, block: u64, layers: LayerRange) -> Option<Vec<u64>> {
        self.held.get(&(block, layers)).cloned()
    }

    /// Keeps the digests at the end of a block, dropping the oldest beyond the room.
    pub(crate) fn put(&mut self, block: u64, layers: LayerRange, digests: Vec<u64>) {
        if self.room == 0 || self.held.insert((block, layers), digests).is_some() {
            return;
        }
        self.order.push_back((block, layers));
        self.note(block, true);
        while self.order.len() > self.room {
            if let Some(oldest) = self.order.pop_front() {
                self.held.remove(&oldest);
                self.note(oldest.0, false);
            }
        }
    }

    /// Events after `serial`; the whole content if some are no longer there.
    pub(crate) fn events(&self, after: u64, layers: LayerRange) -> CacheEvents {
        let first = self.log.front().map_or(self.serial + 1, |e| e.serial);
        let events = self.log.iter().filter(|e| e.serial > after).copied().collect();
        let whole = || self.order.iter().map(|(b, _)| *b).collect();
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
