//! Which engines hold which prompt blocks, from late and gappy cache events.
//!
//! Knowledge of an engine is distrusted from the moment a gap in its events is seen until its whole
//! content has been read again, and after a restart.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use heathpitch_core::{Incarnation, Name};
use serde::{Deserialize, Serialize};

/// Blocks remembered of one engine.
const MAX_BLOCKS: usize = 2_048;

/// One change of an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockEvent {
    /// Number within the engine's life.
    pub serial: u64,
    /// Chained hash of the block.
    pub block: u64,
    /// Whether it was added, rather than dropped.
    pub added: bool,
}

#[derive(Clone, Debug)]
struct Held {
    life: Incarnation,
    serial: u64,
    blocks: HashSet<u64>,
}

/// Blocks held by each engine; a copy is cheap, since it shares what has not changed.
///
/// # Examples
///
/// ```
/// use heathpitch_core::Incarnation;
/// use heathpitch_policy::{BlockEvent, PrefixIndex};
///
/// let engine = "e".parse()?;
/// let mut index = PrefixIndex::new();
/// let life = Incarnation(1);
/// index.events(&engine, life, &[BlockEvent { serial: 1, block: 7, added: true }]);
/// assert_eq!(index.hit("e", &[7, 8]), 1);
/// // Event 2 was lost: nothing of the engine is believed until it is read again.
/// index.events(&engine, life, &[BlockEvent { serial: 3, block: 8, added: true }]);
/// assert_eq!(index.hit("e", &[7, 8]), 0);
/// assert_eq!(index.position("e", life), 0);
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    engines: HashMap<Name, Arc<Held>>,
}

/// # Events
impl PrefixIndex {
    /// Knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes events; those already seen are passed over, a gap makes the engine distrusted.
    pub fn events(&mut self, engine: &Name, life: Incarnation, events: &[BlockEvent]) {
        if events.is_empty() {
            return;
        }
        let held = self.engines.entry(engine.clone()).or_insert_with(|| Held::new(life).into());
        let held = Arc::make_mut(held);
        if life > held.life {
            *held = Held::new(life);
        }
        if life < held.life {
            return;
        }
        for event in events {
            match event.serial {
                s if s <= held.serial => {}
                s if s == held.serial + 1 => held.take(event),
                _ => {
                    *held = Held::new(life);
                    return;
                }
            }
        }
    }

    /// Takes the whole content as of event `serial`.
    pub fn replace(&mut self, engine: &Name, life: Incarnation, serial: u64, blocks: &[u64]) {
        let known = self.engines.get(engine);
        if known.is_some_and(|h| (h.life, h.serial) > (life, serial)) {
            return;
        }
        let blocks = blocks.iter().copied().take(MAX_BLOCKS).collect();
        self.engines.insert(engine.clone(), Held { life, serial, blocks }.into());
    }

    /// Forgets engines that are not in `keep`.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.engines.retain(|name, _| keep(name.as_str()));
    }
}

/// # Reading
impl PrefixIndex {
    /// Number of the newest event taken of this life; 0 asks for everything.
    pub fn position(&self, engine: &str, life: Incarnation) -> u64 {
        self.engines.get(engine).filter(|h| h.life == life).map_or(0, |h| h.serial)
    }

    /// Leading blocks of the chain that the engine is believed to hold.
    pub fn hit(&self, engine: &str, chain: &[u64]) -> usize {
        let Some(held) = self.engines.get(engine) else { return 0 };
        chain.iter().take_while(|b| held.blocks.contains(b)).count()
    }

    /// Blocks remembered of all engines.
    pub fn len(&self) -> usize {
        self.engines.values().map(|h| h.blocks.len()).sum()
    }

    /// Whether no block is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Held {
    fn new(life: Incarnation) -> Self {
        Self { life, serial: 0, blocks: HashSet::new() }
    }

    fn take(&mut self, event: &BlockEvent) {
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
