//! Snapshot of the quarantine that the traffic thread reads: parts of prompts that crash engines.

use std::collections::{HashMap, HashSet};

use heathpitch_policy::{HeldPart, PartKey};

use super::quarantine_snapshot::HeldBack;

/// Parts of prompts that were running on engines that exited; almost always empty.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartSnapshot {
    /// Parts to which answers count, each for any client account.
    pub(crate) open: HashSet<PartKey>,
    /// Parts under which engines exited.
    pub(crate) exited: HashSet<PartKey>,
    /// Those that may be the cause: a call that is lost with one is not sent to a second engine.
    pub(crate) suspected: HashSet<PartKey>,
    /// Parts answered for an account that what is held back for all does not concern.
    pub(crate) exempt: HashSet<PartKey>,
    /// Parts whose requests are not sent to any engine.
    pub(crate) held: HashMap<HeldPart, HeldBack>,
}

impl PartSnapshot {
    /// Whether answers to these parts count.
    pub(crate) fn counts_answers(&self, parts: &[PartKey]) -> bool {
        !self.open.is_empty() && parts.iter().any(|key| self.open.contains(&key.any_account()))
    }

    /// The part for which a request is held back, and why. `answered` tells whether this node knows an answer to a part
    /// from the minutes before.
    pub(crate) fn held_back(
        &self,
        parts: &[PartKey],
        mut answered: impl FnMut(&PartKey) -> bool,
    ) -> Option<(PartKey, &HeldBack)> {
        let mut is_exempt = |key: &PartKey| {
            self.exempt.contains(key) || !self.exited.contains(key) && answered(key)
        };
        parts.iter().find_map(|key| {
            let PartKey { service, part, account } = *key;
            let single = HeldPart { service, part, account: Some(account) };
            let all = HeldPart { account: None, ..single };
            let held = self.held.get(&single);
            let held = held.or_else(|| self.held.get(&all).filter(|_| !is_exempt(key)));
            held.map(|held| (*key, held))
        })
    }
}
