//! Index of the prompt blocks cached by each engine, built from delayed and incomplete cache
//! events.
//!
//! The entries of an engine are discarded when its events have a gap or it restarts, until its
//! whole content has been read again.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use heathpitch_core::{Incarnation, Name};
use serde::{Deserialize, Serialize};

/// Most blocks kept per engine.
const MAX_BLOCKS: usize = 2_048;

/// Change of an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockEvent {
    /// Sequence number within the engine's incarnation.
    pub serial: u64,
    /// Chained hash of the block.
    pub block: u64,
    /// Whether the block was added; otherwise it was evicted.
    pub added: bool,
}

#[derive(Clone, Debug)]
struct CachedBlocks {
    incarnation: Incarnation,
    serial: u64,
    blocks: HashSet<u64>,
}

/// Blocks cached by each engine; a clone is cheap, because it shares unchanged entries.
///
/// # Examples
///
/// ```
/// use heathpitch_core::Incarnation;
/// use heathpitch_policy::{BlockEvent, PrefixIndex};
///
/// let engine = "e".parse()?;
/// let mut index = PrefixIndex::new();
/// let incarnation = Incarnation(1);
/// index.events(&engine, incarnation, &[BlockEvent { serial: 1, block: 7, added: true }]);
/// assert_eq!(index.hit("e", &[7, 8]), 1);
/// // Event 2 was lost: the engine's entries are discarded until its content is read again.
/// index.events(&engine, incarnation, &[BlockEvent { serial: 3, block: 8, added: true }]);
/// assert_eq!(index.hit("e", &[7, 8]), 0);
/// assert_eq!(index.position("e", incarnation), 0);
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    engines: HashMap<Name, Arc<CachedBlocks>>,
}

/// # Events
impl PrefixIndex {
    /// Creates an empty index.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies events; skips those already seen, and discards the engine's entries on a gap.
    pub fn events(&mut self, engine: &Name, incarnation: Incarnation, events: &[BlockEvent]) {
        if events.is_empty() {
            return;
        }
        let held = self
            .engines
            .entry(engine.clone())
            .or_insert_with(|| CachedBlocks::new(incarnation).into());
        let held = Arc::make_mut(held);
        if incarnation > held.incarnation {
            *held = CachedBlocks::new(incarnation);
        }
        if incarnation < held.incarnation {
            return;
        }
        for event in events {
            match event.serial {
                s if s <= held.serial => {}
                s if s == held.serial + 1 => held.apply(event),
                _ => {
                    *held = CachedBlocks::new(incarnation);
                    return;
                }
            }
        }
    }

    /// Replaces an engine's entries with its whole content as of event `serial`.
    pub fn replace(
        &mut self,
        engine: &Name,
        incarnation: Incarnation,
        serial: u64,
        blocks: &[u64],
    ) {
        let known = self.engines.get(engine);
        if known.is_some_and(|h| (h.incarnation, h.serial) > (incarnation, serial)) {
            return;
        }
        let blocks = blocks.iter().copied().take(MAX_BLOCKS).collect();
        self.engines.insert(engine.clone(), CachedBlocks { incarnation, serial, blocks }.into());
    }

    /// Removes engines that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.engines.retain(|name, _| keep(name.as_str()));
    }
}

/// # Reading
impl PrefixIndex {
    /// Sequence number of the newest event applied for this incarnation; 0 requests the whole
    /// content.
    pub fn position(&self, engine: &str, incarnation: Incarnation) -> u64 {
        self.engines.get(engine).filter(|h| h.incarnation == incarnation).map_or(0, |h| h.serial)
    }

    /// Number of leading blocks of the chain that the engine is known to hold.
    pub fn hit(&self, engine: &str, chain: &[u64]) -> usize {
        let Some(held) = self.engines.get(engine) else { return 0 };
        chain.iter().take_while(|b| held.blocks.contains(b)).count()
    }

    /// Number of blocks of all engines.
    pub fn len(&self) -> usize {
        self.engines.values().map(|h| h.blocks.len()).sum()
    }

    /// Whether the index holds no block.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl CachedBlocks {
    fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, serial: 0, blocks: HashSet::new() }
    }

    fn apply(&mut self, event: &BlockEvent) {
        self.serial = event.serial;
        match event.added {
            true if self.blocks.len() < MAX_BLOCKS => {
                self.blocks.insert(event.block);
            }
            true => {}
            false => {
                self.blocks.remove(&event.block);
            }
        }
    }
}
