//! Exits and answers of a part of prompts, for one client account or for all together.

use std::collections::HashMap;

use heathpitch_core::PromptPart;

use crate::exit_book::{ExitState, ExitTime};
use crate::exit_rate::{AnswerTrial, VERDICT_SCORE, score, score_after_verdict};
use crate::{EngineIncarnation, HeldPart};

/// Engines that a verdict which was made before must rest on, beside those that other parts explain.
const MIN_JUDGED_ENGINES: usize = 4;

/// What a part that was answered in the minutes before yields to one that was not, where both may be the cause of the
/// same exits: two exits.
const ANSWERED_BEFORE_YIELD: u32 = 6;

/// What is known of a part.
#[derive(Clone, Debug)]
pub(crate) struct PartScope<'a> {
    /// What a verdict would hold back.
    pub(crate) held: HeldPart,
    /// Exits that count; an engine may have exited under requests of several accounts.
    exits: Vec<(&'a EngineIncarnation, &'a ExitState)>,
    answers: Vec<AnswerTrial>,
    /// First exit of each engine, in order of engines.
    times: Vec<(&'a EngineIncarnation, ExitTime)>,
    /// Score by all exits.
    total: u32,
}

impl<'a> PartScope<'a> {
    /// Collects exits of a part and answers to it.
    pub(crate) fn new(
        held: HeldPart,
        exits: Vec<(&'a EngineIncarnation, &'a ExitState)>,
        answers: Vec<AnswerTrial>,
    ) -> Self {
        let mut times: Vec<_> = exits.iter().map(|(i, exit)| (*i, exit.at)).collect();
        if held.account.is_none() {
            times.sort_unstable();
            times.dedup_by_key(|(incarnation, _)| *incarnation);
        }
        let mut scope = Self { held, exits, answers, times, total: 0 };
        scope.total = scope.score(|_| true);
        scope
    }

    /// Score by the exits of the engines that match.
    pub(crate) fn score(&self, counts: impl Fn(&EngineIncarnation) -> bool) -> u32 {
        self.score_with(&self.answers, counts)
    }

    /// Score by all exits.
    pub(crate) fn total_score(&self) -> u32 {
        self.total
    }

    /// Score by all exits, without answers.
    pub(crate) fn exits_score(&self) -> u32 {
        self.score_with(&[], |_| true)
    }

    /// Score by all exits with one more answer.
    pub(crate) fn score_after(&self, answer: AnswerTrial) -> u32 {
        let answers: Vec<_> = self.answers.iter().copied().chain([answer]).collect();
        self.score_with(&answers, |_| true)
    }

    fn score_with(
        &self,
        answers: &[AnswerTrial],
        counts: impl Fn(&EngineIncarnation) -> bool,
    ) -> u32 {
        let times = || self.times.iter().filter(|(i, _)| counts(i)).map(|(_, at)| *at);
        match self.judged_at() {
            Some(_) if times().count() < MIN_JUDGED_ENGINES => 0,
            // The exits have the time of the verdict's renewal.
            Some(at) => score_after_verdict(at, answers),
            None => score(times(), answers),
        }
    }

    /// Whether the exits are those of several requests, and suffice for a verdict without the answers to the part.
    pub(crate) fn can_be_blamed(&self) -> bool {
        self.has_several_requests() && self.exits_score() >= VERDICT_SCORE
    }

    /// Whether this engine exited under the part.
    pub(crate) fn includes(&self, incarnation: &EngineIncarnation) -> bool {
        self.incarnations().any(|i| i == incarnation)
    }

    /// The part for whatever account.
    pub(crate) fn part(&self) -> (u64, PromptPart) {
        (self.held.service, self.held.part)
    }

    /// The same by exits that have settled.
    pub(crate) fn settled(&self, is_settled: impl Fn(&ExitState) -> bool) -> Self {
        let exits = self.exits.iter().filter(|(_, exit)| is_settled(exit)).copied().collect();
        Self::new(self.held, exits, self.answers.clone())
    }

    /// Weight of a score against those of other parts with the same exits; a verdict outweighs them all.
    pub(crate) fn weight(&self, score: u32) -> u32 {
        match self.answered_before() {
            _ if score > 0 && self.judged_at().is_some() => u32::MAX,
            true => score.saturating_sub(ANSWERED_BEFORE_YIELD),
            false => score,
        }
    }

    /// When a verdict that rests on these exits was last renewed or loaded, if there is one.
    pub(crate) fn judged_at(&self) -> Option<ExitTime> {
        let judged = self.exits.iter().filter(|(_, exit)| exit.renewed > 0);
        judged.map(|(_, exit)| exit.at).max()
    }

    /// Engines that exited.
    pub(crate) fn incarnations(&self) -> impl ExactSizeIterator<Item = &'a EngineIncarnation> {
        self.times.iter().map(|(incarnation, _)| *incarnation)
    }

    /// Number of known answers.
    pub(crate) fn answer_count(&self) -> usize {
        self.answers.len()
    }

    /// Events delivered, summed over the exits.
    pub(crate) fn events(&self) -> u32 {
        self.exits.iter().map(|(_, exit)| exit.details.events).sum()
    }

    /// Position of the part in prompts, from 0.
    pub(crate) fn position(&self) -> u8 {
        self.exits.iter().map(|(_, exit)| exit.details.position).max().unwrap_or(0)
    }

    /// When the first of the engines exited.
    pub(crate) fn first_exit(&self) -> Option<ExitTime> {
        self.times.iter().map(|(_, at)| *at).min()
    }

    /// When the n-th of the engines exited, if so many did.
    pub(crate) fn nth_exit(&self, n: usize) -> Option<ExitTime> {
        let mut times: Vec<_> = self.times.iter().map(|(_, at)| *at).collect();
        times.sort_unstable();
        times.get(n - 1).copied()
    }

    /// Whether requests without the part were answered since the first exit.
    pub(crate) fn others_answered(&self) -> bool {
        self.exits.iter().any(|(_, exit)| exit.details.others_answered)
    }

    /// Whether the exits are those of several requests, as far as these are known.
    pub(crate) fn has_several_requests(&self) -> bool {
        let requests: Vec<_> = self.exits.iter().map(|(_, exit)| exit.details.request).collect();
        let first = requests.first().copied().flatten();
        first.is_none() || requests.iter().any(|request| *request != first)
    }

    /// Whether a node knew an answer to the part from the minutes before.
    pub(crate) fn answered_before(&self) -> bool {
        self.exits.iter().any(|(_, exit)| exit.details.answered_before)
    }
}

/// For each engine that exited, the parts with most weight that it was running.
pub(crate) struct StrongestParts<'a> {
    by_engine: HashMap<&'a EngineIncarnation, Strongest>,
}

/// The most weight among the parts of an engine.
#[derive(Clone, Copy)]
struct Strongest {
    weight: u32,
    part: (u64, PromptPart),
    /// Most weight among its other parts.
    other: u32,
}

impl<'a> StrongestParts<'a> {
    /// Collects the exits of parts.
    pub(crate) fn new<'s>(scopes: impl IntoIterator<Item = &'s PartScope<'a>>) -> Self
    where
        'a: 's,
    {
        let mut by_engine = HashMap::new();
        for scope in scopes {
            let (part, weight) = (scope.part(), scope.weight(scope.total_score()));
            for incarnation in scope.incarnations() {
                let fresh = Strongest { weight: 0, part, other: 0 };
                by_engine.entry(incarnation).or_insert(fresh).add(part, weight);
            }
        }
        Self { by_engine }
    }

    /// Whether other parts with more weight were running at all exits of this one, so that they explain these better.
    pub(crate) fn dominate(&self, scope: &PartScope<'_>) -> bool {
        scope.incarnations().all(|incarnation| self.outweigh(scope, incarnation))
    }

    /// Whether another part with more weight was running at this exit.
    pub(crate) fn outweigh(&self, scope: &PartScope<'_>, incarnation: &EngineIncarnation) -> bool {
        let (part, weight) = (scope.part(), scope.weight(scope.total_score()));
        self.by_engine.get(incarnation).is_some_and(|s| s.without(part) > weight)
    }
}

impl Strongest {
    fn add(&mut self, part: (u64, PromptPart), weight: u32) {
        match weight > self.weight {
            true if part == self.part => self.weight = weight,
            true => *self = Self { weight, part, other: self.weight },
            false if part == self.part => {}
            false => self.other = self.other.max(weight),
        }
    }

    /// Most weight among parts other than this one.
    fn without(&self, part: (u64, PromptPart)) -> u32 {
        if part == self.part { self.other } else { self.weight }
    }
}
