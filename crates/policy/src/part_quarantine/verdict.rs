//! Which parts of prompts are held back, and which are suspected.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashSet};

use heathpitch_core::{Millis, PromptPart};

use super::{HeldPart, MIN_ENGINES, PartEvidence, PartQuarantine, PartSuspicion};
use crate::exit_book::{ExitState, time_before};
use crate::exit_rate::{EXIT_SCORE, SUSPICION_SCORE, VERDICT_SCORE};
use crate::part_candidate::PartCandidate;
use crate::part_exits::PartExits;
use crate::part_scope::{PartScope, StrongestParts};
use crate::{EngineIncarnation, PartKey, Quarantine};

/// Score down to which a part stays held back: answers that were on the way do not release it.
const RELEASE_SCORE: u32 = 1;
/// Engines that must have exited under a part before it is suspected.
const MIN_SUSPECT_ENGINES: usize = 2;
/// Age from which an exit counts: nodes that know an answer to the part have reported it by then.
const SETTLE_MS: Millis = 1_000;
/// Age of the last exit that a verdict needs up to which it may still become known that others were answered: twice the
/// time that nodes take to report it, so that nodes that have just started learn of it.
const AWAIT_MS: Millis = 2 * SETTLE_MS;

/// What a recomputation finds.
#[derive(Default)]
struct Verdict {
    held: BTreeSet<HeldPart>,
    /// Parts whose own verdict is awaited, for a bounded time since they had enough exits.
    awaited: BTreeSet<HeldPart>,
}

/// # Verdict
impl PartQuarantine {
    /// Recomputes which parts are held back; returns those that were added and those that were
    /// released.
    pub fn decide(&mut self, now: Millis) -> (Vec<HeldPart>, Vec<HeldPart>) {
        self.decide_beside(&Quarantine::default(), now)
    }

    /// The same, except that parts are not blamed for exits that requests explain which their own exits hold back.
    pub fn decide_beside(
        &mut self,
        requests: &Quarantine,
        now: Millis,
    ) -> (Vec<HeldPart>, Vec<HeldPart>) {
        let Verdict { held, awaited } = self.verdict(requests, now);
        let new = held.difference(&self.held).copied().collect();
        let released = self.held.difference(&held).copied().collect();
        let covered = |key: &PartKey| held.iter().any(|h| h.covers(key));
        self.evidence = match held.is_empty() {
            true => BTreeSet::new(),
            false => self.exits.counting().map(|(key, ..)| key).filter(covered).collect(),
        };
        let is_awaited = |key: &PartKey| awaited.iter().any(|h| h.covers(key));
        self.awaited = match awaited.is_empty() {
            true => BTreeSet::new(),
            false => self.exits.counting().map(|(key, ..)| key).filter(is_awaited).collect(),
        };
        self.held = held;
        self.decided_at = now;
        (new, released)
    }

    /// Whether exits have settled since the last verdict, or nothing is awaited for them any more.
    pub fn is_decision_due(&self, now: Millis) -> bool {
        let reaches =
            |exit: &ExitState, age| exit.age(now) >= age && exit.age(self.decided_at) < age;
        self.exits.counting().any(|(.., exit)| reaches(exit, SETTLE_MS) || reaches(exit, AWAIT_MS))
    }

    /// The part that best explains the exits is blamed first and explains its exits; each further one must have enough
    /// exits that no part blamed before explains.
    ///
    /// Only a verdict explains exits. A part whose own verdict awaits no more than that its exits settle delays those of others
    /// until then, but releases nothing.
    fn verdict(&self, requests: &Quarantine, now: Millis) -> Verdict {
        let awaited_since = time_before(now, AWAIT_MS);
        let candidates = self.candidates(requests, now);
        let strongest = StrongestParts::new(candidates.iter().map(|c| &c.scope));
        let keeps: Vec<_> = candidates
            .iter()
            .map(|c| self.was_held(&c.scope) && !strongest.dominate(&c.scope))
            .collect();
        let mut left: Vec<_> = candidates.iter().zip(keeps).collect();
        let mut explained = BTreeSet::new();
        let mut awaited = BTreeSet::new();
        let mut verdict = Verdict::default();
        loop {
            let score = |c: &PartCandidate<'_>| {
                c.score(|i| explained.contains(i) || !c.is_held && awaited.contains(i))
            };
            let scores = left.into_iter().map(|(c, keeps)| (c, keeps, score(c)));
            let scored: Vec<_> = scores.filter(|(c, _, score)| *score >= c.required).collect();
            // One that holds back a single account comes after the same part for all.
            let order = |(c, keeps, score): &&(&PartCandidate<'_>, bool, u32)| {
                let (s, all) = (&c.scope, c.scope.held.account.is_none());
                (*keeps, s.weight(*score), Reverse(s.events()), s.position(), all)
            };
            let Some(&(worst, ..)) = scored.iter().max_by_key(order) else { return verdict };
            if worst.is_settled(|i| explained.contains(i)) {
                verdict.held.insert(worst.scope.held);
                explained.extend(worst.scope.incarnations());
            } else {
                awaited.extend(worst.scope.incarnations());
                if worst.scope.nth_exit(MIN_ENGINES) > Some(awaited_since) {
                    verdict.awaited.insert(worst.scope.held);
                }
            }
            let others = scored.into_iter().filter(|(c, ..)| c.scope.held != worst.scope.held);
            left = others.map(|(c, keeps, _)| (c, keeps)).collect();
        }
    }

    /// Score that a part needs to be held back, or to stay so.
    fn required_score(&self, scope: &PartScope<'_>) -> u32 {
        match self.held.contains(&scope.held) || scope.judged_at().is_some() {
            true => RELEASE_SCORE,
            false => VERDICT_SCORE,
        }
    }

    /// Whether the part is held back already, for whatever account.
    fn was_held(&self, scope: &PartScope<'_>) -> bool {
        let PartScope { held, .. } = scope;
        scope.judged_at().is_some()
            || self.held.iter().any(|h| (h.service, h.part) == (held.service, held.part))
    }

    /// Parts with enough exits, for each account and for all together.
    ///
    /// Where a stronger part explains the exits of one that cannot be blamed, since no request without it is known to have been
    /// answered, both may have coincided with exits of other causes: one exit more is needed.
    fn candidates(&self, requests: &Quarantine, now: Millis) -> Vec<PartCandidate<'_>> {
        let awaited_since = time_before(now, AWAIT_MS);
        let (mut candidates, mut unanswered) = (Vec::new(), Vec::new());
        for scope in self.scopes(MIN_ENGINES) {
            let required = self.required_score(&scope);
            let is_young = scope.nth_exit(MIN_ENGINES) > Some(awaited_since);
            if scope.total_score() < required || !scope.can_be_blamed() {
                continue;
            }
            if !scope.others_answered() && !is_young {
                unanswered.push(scope);
                continue;
            }
            let is_held = required < VERDICT_SCORE;
            let settled = (!is_held).then(|| {
                scope.settled(|exit: &ExitState| exit.renewed > 0 || exit.is_settled(now))
            });
            let explained = BTreeSet::new();
            candidates.push(PartCandidate { scope, settled, required, is_held, explained });
        }
        if candidates.is_empty() {
            return candidates;
        }
        let stronger = StrongestParts::new(&unanswered);
        for candidate in candidates.iter_mut().filter(|c| !c.is_held) {
            let left = candidate.score(|i| stronger.outweigh(&candidate.scope, i));
            if left < candidate.required {
                candidate.required += EXIT_SCORE;
            }
        }
        let explanations = requests.explanations();
        for candidate in &mut candidates {
            let weight = candidate.scope.weight(candidate.scope.total_score());
            let stronger = explanations.iter().filter(|(of_request, _)| *of_request > weight);
            let exits = stronger.flat_map(|(_, exits)| exits);
            candidate.explained = exits.filter(|i| candidate.scope.includes(i)).cloned().collect();
        }
        candidates
    }

    /// Exits of each part under which at least so many engines exited, and the answers to it, for each account with exits and
    /// for all together.
    pub(super) fn scopes(&self, engines: usize) -> Vec<PartScope<'_>> {
        let mut parts: Vec<((u64, PromptPart), usize)> = Vec::new();
        for (PartKey { service, part, .. }, exits) in self.exits.counts() {
            match parts.last_mut() {
                Some((last, sum)) if *last == (service, part) => *sum += exits,
                _ => parts.push(((service, part), exits)),
            }
        }
        let several = parts.into_iter().filter(|(_, exits)| *exits >= engines);
        several.flat_map(|((service, part), _)| self.scopes_of(service, part)).collect()
    }

    /// The same of one part.
    pub(super) fn scopes_of(&self, service: u64, part: PromptPart) -> Vec<PartScope<'_>> {
        let key = |account| PartKey { service, part, account };
        let accounts = self.exits.by_suspect(key(0)..=key(u64::MAX));
        let accounts = accounts.map(|(key, exits)| (key.account, exits)).collect();
        self.scopes_with(service, part, accounts)
    }

    fn scopes_with<'a>(
        &self,
        service: u64,
        part: PromptPart,
        accounts: Vec<(u64, Vec<(&'a EngineIncarnation, &'a ExitState)>)>,
    ) -> Vec<PartScope<'a>> {
        let answers: Vec<_> = self.answers.of(service, part).collect();
        let answers_of = |account: Option<u64>| {
            let of = answers.iter().filter(|(a, _)| account.is_none_or(|n| n == a.key.account));
            of.map(|(answer, at)| (*at, answer.engine)).collect()
        };
        let scope = |account, exits| {
            PartScope::new(HeldPart { service, part, account }, exits, answers_of(account))
        };
        let shared = (accounts.len() > 1)
            .then(|| scope(None, accounts.iter().flat_map(|(_, exits)| exits).copied().collect()));
        let single = accounts.into_iter().map(|(account, exits)| scope(Some(account), exits));
        single.chain(shared).collect()
    }
}

impl ExitState {
    /// Whether nodes that know an answer have reported it.
    fn is_settled(&self, now: Millis) -> bool {
        self.age(now) >= SETTLE_MS
    }
}

/// # Suspicion
impl PartQuarantine {
    /// Parts that may be the cause of exits, without those whose exits another one explains better.
    ///
    /// One that was answered in the minutes before is not suspected until its exits have settled: sound parts that many
    /// requests share are lost with every engine.
    fn suspects(&self) -> Vec<PartScope<'_>> {
        self.suspects_at(self.decided_at)
    }

    fn suspects_at(&self, now: Millis) -> Vec<PartScope<'_>> {
        let is_settled = |exit: &ExitState| exit.renewed > 0 || exit.is_settled(now);
        let mut suspects = self.scopes(MIN_SUSPECT_ENGINES);
        suspects.retain(|s| {
            s.total_score() >= SUSPICION_SCORE && !s.answered_before()
                || s.settled(is_settled).total_score() >= SUSPICION_SCORE
        });
        let strongest = StrongestParts::new(&suspects);
        let dominated: Vec<_> = suspects.iter().map(|s| strongest.dominate(s)).collect();
        let mut dominated = dominated.into_iter();
        suspects.retain(|_| !dominated.next().unwrap_or(false));
        suspects
    }

    /// Parts that may be the cause of several exits: calls with one are not retried.
    pub fn suspected(&self) -> HashSet<PartKey> {
        self.suspicion().suspected
    }

    /// What is suspected, and what is known of it.
    pub fn suspicion(&self) -> PartSuspicion {
        let suspects = self.suspects();
        let scopes: HashSet<_> = suspects.iter().map(|s| s.held).collect();
        let is_suspected = |key: &PartKey| {
            let PartKey { service, part, account } = *key;
            let single = HeldPart { service, part, account: Some(account) };
            scopes.contains(&single) || scopes.contains(&HeldPart { account: None, ..single })
        };
        let suspected = self.exited_keys().into_iter().filter(is_suspected).collect();
        let is_undecided = |s: &&PartScope<'_>| {
            !self.held.contains(&s.held) && s.incarnations().len() >= MIN_ENGINES
        };
        let undecided = suspects.iter().filter(is_undecided).map(PartEvidence::of).collect();
        PartSuspicion { suspected, undecided }
    }

    /// Exits under parts whose verdict is awaited.
    pub(crate) fn awaited_exits(&self) -> PartExits<'_> {
        let exits = self.exits.counting().filter(|(key, ..)| self.awaited.contains(key));
        PartExits::new(exits.map(|(key, incarnation, _)| (key, incarnation)))
    }

    /// Exits under parts that are held back.
    pub(crate) fn held_exits(&self) -> PartExits<'_> {
        let exits = self.exits.counting().filter(|(key, ..)| self.evidence.contains(key));
        PartExits::new(exits.map(|(key, incarnation, _)| (key, incarnation)))
    }
}
