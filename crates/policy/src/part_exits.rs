//! Exits of engines by the parts of prompts that they were running.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{EngineIncarnation, PartKey};

/// Exits that count against each part, with an index by engine.
#[derive(Default)]
pub(crate) struct PartExits<'a> {
    by_part: BTreeMap<PartKey, BTreeSet<&'a EngineIncarnation>>,
    by_engine: HashMap<&'a EngineIncarnation, Vec<PartKey>>,
}

impl<'a> PartExits<'a> {
    /// Collects exits.
    pub(crate) fn new(exits: impl Iterator<Item = (PartKey, &'a EngineIncarnation)>) -> Self {
        let mut found = Self { by_part: BTreeMap::new(), by_engine: HashMap::new() };
        for (key, incarnation) in exits {
            found.by_part.entry(key).or_default().insert(incarnation);
            found.by_engine.entry(incarnation).or_default().push(key);
        }
        found
    }

    /// A part that was running at all these exits and at others, so that it explains them better
    /// than what was running at these only.
    pub(crate) fn explanation(&self, exits: &BTreeSet<&EngineIncarnation>) -> Option<PartKey> {
        let parts = exits.first().and_then(|first| self.by_engine.get(*first))?;
        let explains = |key: &&PartKey| {
            let of_part = &self.by_part[*key];
            of_part.len() > exits.len() && exits.is_subset(of_part)
        };
        parts.iter().find(explains).copied()
    }

    /// Whether there is one.
    pub(crate) fn explain(&self, exits: &BTreeSet<&EngineIncarnation>) -> bool {
        self.explanation(exits).is_some()
    }
}
