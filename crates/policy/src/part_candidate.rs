//! A part of prompts with enough exits for a verdict.

use std::collections::BTreeSet;

use crate::EngineIncarnation;
use crate::part_scope::PartScope;

/// A part that may be held back, for one client account or for all together.
#[derive(Clone, Debug)]
pub(crate) struct PartCandidate<'a> {
    /// All that is known of it.
    pub(crate) scope: PartScope<'a>,
    /// What of that has settled, unless the part is held back already.
    pub(crate) settled: Option<PartScope<'a>>,
    /// Score that a verdict needs.
    pub(crate) required: u32,
    /// Whether it is held back already.
    pub(crate) is_held: bool,
    /// Exits that requests explain which are held back for them.
    pub(crate) explained: BTreeSet<EngineIncarnation>,
}

impl PartCandidate<'_> {
    /// Score by the exits that neither requests nor `explains` accounts for.
    pub(crate) fn score(&self, explains: impl Fn(&EngineIncarnation) -> bool) -> u32 {
        self.scope.score(|i| !self.explained.contains(i) && !explains(i))
    }

    /// Whether requests without the part were answered, and what has settled suffices for a verdict: nodes that know an answer
    /// have reported it by then.
    pub(crate) fn is_settled(&self, explains: impl Fn(&EngineIncarnation) -> bool) -> bool {
        let is_left = |i: &EngineIncarnation| !self.explained.contains(i) && !explains(i);
        let settled = self.settled.as_ref();
        self.scope.others_answered()
            && settled.is_none_or(|s| s.can_be_blamed() && s.score(is_left) >= self.required)
    }
}
