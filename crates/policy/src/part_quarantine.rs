//! Quarantine of parts of prompts that crash engines, in requests of which no two are alike.
//!
//! Each request that is lost with its engine blames all parts of its prompt. What distinguishes the
//! faulty part is a rate: of the requests with it that engines began since it began to crash them,
//! most ended their engine; of those with a sound part, which share these engines, few did. Nodes
//! tell each other the exits under each part, and the answers to parts with exits, and each node
//! judges by the sequential test of `exit_rate`. An exit counts once answers that were on the way
//! with it must have been reported. Nothing is held back for a part unless requests without it were
//! answered, since engines began to exit under it if the part was answered before: where all fail
//! together, such parts differ by chance. Exits
//! under a single request blame that request (`Quarantine`), not the parts of its prompt.
//!
//! Of several parts one that is held back already is blamed first and explains its exits, unless
//! others with more weight were running at all of them; then the one with the most weight; among
//! equals the one for which engines had delivered fewer events, then the last in the prompt, which
//! occurs in the fewest requests. The weight is the score, less for a part that was answered in the
//! minutes before: parts that many sound requests share were.
//!
//! Callers name the parts, so that exits under the requests of one account hold back requests of
//! that account only. Those under several accounts hold back all, except an account that engines
//! answered the part for and that has no exit under it.

mod verdict;

use std::collections::{BTreeSet, HashSet};

use heathpitch_core::{Millis, PromptPart, RequestFingerprint};

use crate::exit_book::{Exit, ExitBook, ExitDetails, ExitTime, time_before};
use crate::part_answers::PartAnswers;
use crate::part_scope::PartScope;
use crate::{
    AnsweredParts, EngineIncarnation, PartAnswer, PartKey, RecordedAnswer, RecordedExit, Suspect,
};

/// Engines that must have exited under a part before it may be held back.
const MIN_ENGINES: usize = 4;
/// Most accounts whose answers a node reports when it learns of an exit.
const MAX_REPORTED_ACCOUNTS: usize = 8;

/// The exit of an engine while a request with this part was running there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartExit {
    /// The part.
    pub key: PartKey,
    /// The engine.
    pub incarnation: EngineIncarnation,
    /// Events that the engine had delivered for the request.
    pub events: u32,
    /// Position of the part in the prompt, from 0.
    pub position: u8,
    /// Whether requests of the service without the part were answered since.
    pub others_answered: bool,
    /// Whether a node knew an answer to the part from the minutes before.
    pub answered_before: bool,
    /// The request, if known.
    pub request: Option<RequestFingerprint>,
    /// How often the part came again late in its quarantine, which extends it.
    pub renewed: u32,
    /// Whether it no longer counts: its store entry was deleted, or the engine is alive.
    pub cleared: bool,
}

/// Requests that are held back for a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HeldPart {
    /// Digest of the service.
    pub service: u64,
    /// The part.
    pub part: PromptPart,
    /// Digest of the only client account concerned; `None` for all.
    pub account: Option<u64>,
}

impl HeldPart {
    /// Whether requests with this part are held back, unless their account is exempt.
    pub fn covers(&self, key: &PartKey) -> bool {
        (self.service, self.part) == (key.service, key.part)
            && self.account.is_none_or(|account| account == key.account)
    }
}

/// What is known of a part that may be the cause of exits and is not held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartEvidence {
    /// The part and the only client account concerned.
    pub scope: HeldPart,
    /// Engines that exited under it.
    pub engines: usize,
    /// Known answers to it.
    pub answers: usize,
    /// Score by the sequential test of exits and answers.
    pub score: u32,
    /// Whether requests of the service without the part were answered since.
    pub others_answered: bool,
}

impl PartEvidence {
    fn of(scope: &PartScope<'_>) -> Self {
        Self {
            scope: scope.held,
            engines: scope.incarnations().len(),
            answers: scope.answer_count(),
            score: scope.total_score(),
            others_answered: scope.others_answered(),
        }
    }
}

/// Parts that may be the cause of exits.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartSuspicion {
    /// Those that may be the cause of several exits, held back or not: calls with one are not retried.
    pub suspected: HashSet<PartKey>,
    /// What is known of those that may be the cause of as many exits as a verdict needs, and are not held back.
    pub undecided: Vec<PartEvidence>,
}

/// Known exits by part, and the parts that are held back for them.
///
/// # Examples
///
/// ```
/// use heathpitch_core::PromptPart;
/// use heathpitch_policy::{EngineIncarnation, PartExit, PartKey, PartQuarantine};
///
/// let mut quarantine = PartQuarantine::default();
/// let key = PartKey { service: 1, part: PromptPart::new("5c1e07a2"), account: 7 };
/// for (i, engine) in ["e1", "e2", "e3", "e4"].into_iter().enumerate() {
///     let incarnation = EngineIncarnation { engine: engine.parse()?, started_at: None };
///     let exit = PartExit {
///         key,
///         incarnation,
///         events: 0,
///         position: 1,
///         others_answered: true,
///         answered_before: false,
///         request: None,
///         renewed: 0,
///         cleared: false,
///     };
///     quarantine.learn(exit, 0, 200 * i as u64);
/// }
/// quarantine.decide(1_000);
/// assert!(!quarantine.holds(&key), "an answer may still be reported");
/// quarantine.decide(2_000);
/// assert!(quarantine.holds(&key));
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, Debug)]
pub struct PartQuarantine {
    exits: ExitBook<PartKey>,
    answers: PartAnswers,
    held: BTreeSet<HeldPart>,
    /// Parts with exits that `held` covers.
    evidence: BTreeSet<PartKey>,
    /// Parts with exits whose verdict is awaited.
    awaited: BTreeSet<PartKey>,
    /// Time of the last verdict.
    decided_at: Millis,
}

impl Default for PartQuarantine {
    fn default() -> Self {
        let is_same_part = |a: &PartKey, b: &PartKey| (a.service, a.part) == (b.service, b.part);
        Self {
            exits: ExitBook::new(is_same_part),
            answers: PartAnswers::default(),
            held: BTreeSet::new(),
            evidence: BTreeSet::new(),
            awaited: BTreeSet::new(),
            decided_at: 0,
        }
    }
}

/// # Updates
impl PartQuarantine {
    /// Merges an exit that has been known for `age`; returns whether it changes anything.
    pub fn learn(&mut self, exit: PartExit, age: Millis, now: Millis) -> bool {
        let PartExit { key, incarnation, renewed, cleared, .. } = exit;
        let PartExit { events, position, others_answered, answered_before, request, .. } = exit;
        let details = ExitDetails { events, position, others_answered, answered_before, request };
        let exit = Exit { suspect: key, incarnation, details, renewed, cleared };
        self.exits.learn(exit, age, now, &self.evidence)
    }

    /// Merges an exit, and what a node knows of answers to the part; returns whether that changes anything. `node` is the
    /// random id of the node's incarnation.
    pub fn learn_beside(
        &mut self,
        exit: PartExit,
        age: Millis,
        now: Millis,
        answered: &mut AnsweredParts,
        node: u64,
    ) -> bool {
        let (key, exit_at) = (exit.key, time_before(now, age));
        let answered_before = exit.answered_before || answered.contains(&key, now);
        if !self.learn(PartExit { answered_before, ..exit }, age, now) {
            return false;
        }
        let known = answered.accounts(&key, now).into_iter();
        let relevant = known.filter(|(k, (at, _))| *k != key || *at as ExitTime > exit_at);
        for (k, (at, engine)) in relevant.take(MAX_REPORTED_ACCOUNTS) {
            let answer = PartAnswer::new(k, engine, node, at);
            self.learn_answer(answer, now.saturating_sub(at), now);
        }
        true
    }

    /// Adds an answer that was given `age` ago; returns whether it changes anything.
    ///
    /// It does if it changes the score of the part, or if it is the first one for an account without exits, which is exempt
    /// from a verdict on others.
    pub fn learn_answer(&mut self, answer: PartAnswer, age: Millis, now: Millis) -> bool {
        let PartAnswer { key, engine, .. } = answer;
        let scopes = self.scopes_of(key.service, key.part);
        let has_exits = scopes.iter().any(|s| s.held.account == Some(key.account));
        let is_first = || !self.answers.of(key.service, key.part).any(|(a, _)| a.key == key);
        let trial = (time_before(now, age), engine);
        let counts = |s: &PartScope<'_>| {
            s.held.covers(&key) && s.total_score() > 0 && s.score_after(trial) != s.total_score()
        };
        let useful = scopes.iter().any(counts) || !scopes.is_empty() && !has_exits && is_first();
        useful && self.answers.learn(answer, age, now)
    }

    /// Records for which parts requests without them were answered; returns whether that is new.
    pub fn record_others(&mut self, answered: &AnsweredParts) -> bool {
        let mut new = Vec::new();
        for scope in self.scopes(MIN_ENGINES).iter().filter(|s| !s.others_answered()) {
            // Parts that many sound requests share are lost with all engines, so that earlier answers tell nothing of them.
            let since = match scope.answered_before() {
                true => scope.first_exit(),
                false => Some(ExitTime::MIN),
            };
            if since.is_some_and(|at| answered.without(&scope.held, at)) {
                let PartScope { held: HeldPart { service, part, account }, .. } = *scope;
                new.extend(
                    scope.incarnations().next().map(|i| (service, part, account, i.clone())),
                );
            }
        }
        for (service, part, account, incarnation) in &new {
            let keys = |key: &PartKey| {
                (key.service, key.part) == (*service, *part)
                    && account.is_none_or(|account| account == key.account)
            };
            let keys: Vec<_> = self.exited_keys().into_iter().filter(keys).collect();
            keys.into_iter().for_each(|key| self.exits.set_others_answered(key, incarnation));
        }
        !new.is_empty()
    }

    /// Clears the exits of parts; returns whether there were any.
    pub fn clear(&mut self, keys: &[PartKey]) -> bool {
        self.exits.clear(|key, _| keys.contains(key))
    }

    /// Clears the exits of an engine that has answered since; returns whether there were any.
    pub fn engine_alive(&mut self, incarnation: &EngineIncarnation) -> bool {
        self.exits.clear(|_, i| i == incarnation)
    }

    /// Extends the quarantine of a part that came again, once half of its time is over; returns
    /// whether it did.
    pub fn renew(&mut self, key: PartKey, now: Millis) -> bool {
        let covered: Vec<_> = self
            .evidence
            .iter()
            .filter(|k| (k.service, k.part) == (key.service, key.part))
            .copied()
            .collect();
        covered.into_iter().fold(false, |renewed, key| self.exits.renew(key, now) | renewed)
    }

    /// Drops expired exits and answers; returns whether there were any exits. Those of a part that is held back expire
    /// together, while parts that all prompts share have exits at any time.
    pub fn expire(&mut self, now: Millis) -> bool {
        self.answers.expire(now);
        let held = &self.evidence;
        self.exits.expire(now, |key| held.contains(key))
    }
}

/// # Queries
impl PartQuarantine {
    /// Whether requests with this part are held back.
    pub fn holds(&self, key: &PartKey) -> bool {
        self.held.iter().any(|h| h.covers(key) && (h.account.is_some() || !self.is_exempt(key)))
    }

    /// Whether engines answered a part for an account without exits under it.
    fn is_exempt(&self, key: &PartKey) -> bool {
        self.answers.of(key.service, key.part).any(|(answer, _)| answer.key == *key)
            && self.exits.by_suspect(*key..=*key).next().is_none()
    }

    /// Accounts that what is held back for all does not concern.
    pub fn exempt(&self) -> HashSet<PartKey> {
        let for_all = self.held.iter().filter(|held| held.account.is_none());
        let answers = for_all.flat_map(|held| self.answers.of(held.service, held.part));
        answers.map(|(answer, _)| answer.key).filter(|key| self.is_exempt(key)).collect()
    }

    /// What is held back.
    pub fn held(&self) -> impl Iterator<Item = HeldPart> {
        self.held.iter().copied()
    }

    /// Score of what is or was held back, by all known exits and answers.
    pub fn score(&self, held: HeldPart) -> u32 {
        let of_part = self.scopes_of(held.service, held.part).into_iter();
        of_part.filter(|s| s.held == held).map(|s| s.total_score()).max().unwrap_or(0)
    }

    /// Parts that are held back and were running on engines that exited under this one.
    pub fn held_beside(&self, other: HeldPart) -> impl Iterator<Item = PromptPart> {
        let of_other = |key: &PartKey| other.covers(key);
        let exits: HashSet<_> =
            self.exits.counting().filter(|(key, ..)| of_other(key)).map(|(_, i, _)| i).collect();
        let beside = |held: &&HeldPart| {
            let mut of_held = self.exits.counting().filter(|(key, ..)| held.covers(key));
            of_held.any(|(_, incarnation, _)| exits.contains(incarnation))
        };
        let parts: BTreeSet<_> = self.held.iter().filter(beside).map(|held| held.part).collect();
        parts.into_iter()
    }

    /// Parts with exits for which something is held back.
    pub fn held_keys(&self) -> impl Iterator<Item = PartKey> {
        self.evidence.iter().copied()
    }

    /// Exits that count against a part: incarnation, events delivered and age.
    pub fn evidence(
        &self,
        key: PartKey,
        now: Millis,
    ) -> impl Iterator<Item = (&EngineIncarnation, u32, Millis)> {
        self.exits.evidence(key, now)
    }

    /// Exits and answers of parts that are not held back and have a score.
    pub fn undecided(&self, now: Millis) -> (Vec<RecordedExit>, Vec<RecordedAnswer>) {
        let open = self.open_parts();
        let is_open =
            |key: &PartKey| open.contains(&key.any_account()) && !self.evidence.contains(key);
        let exits = self.exits.counting().filter(|(key, ..)| is_open(key));
        let exits = exits
            .map(|(key, incarnation, exit)| exit.recorded(Suspect::Part(key), incarnation, now));
        let age = |at: ExitTime| (now as ExitTime).saturating_sub(at).max(0) as Millis;
        let answers = self.answers.all().filter(|(answer, _)| is_open(&answer.key));
        let answers = answers.map(|(answer, at)| RecordedAnswer { answer, age: age(at) });
        (exits.collect(), answers.collect())
    }

    /// Parts to which answers count, each for any account.
    pub fn open_parts(&self) -> HashSet<PartKey> {
        let open = self.scopes(1).into_iter().filter(|s| s.total_score() > 0);
        open.map(|s| {
            PartKey { service: s.held.service, part: s.held.part, account: 0 }.any_account()
        })
        .collect()
    }

    /// Keys of parts with exits that count.
    pub fn exited_keys(&self) -> HashSet<PartKey> {
        self.exits.counting().map(|(key, ..)| key).collect()
    }

    /// Remaining quarantine of a part if it does not come again.
    pub fn remaining(&self, key: PartKey, now: Millis) -> Millis {
        self.exits.remaining(key, now)
    }

    /// How often the quarantine of a part was extended.
    pub fn renewed(&self, key: PartKey) -> u32 {
        self.exits.renewed(key)
    }

    /// Position of a part in prompts, from 0.
    pub fn position(&self, key: PartKey) -> u8 {
        let of = self.exits.counting().filter(|(k, ..)| *k == key);
        of.map(|(.., exit)| exit.details.position).max().unwrap_or(0)
    }

    /// Exits that changed after `serial`, in order of change, with their ages, and the serial to
    /// continue from. At most `most`, plus all that changed together with the last one.
    pub fn since(&self, serial: u64, most: usize, now: Millis) -> (Vec<(PartExit, Millis)>, u64) {
        let (exits, last) = self.exits.since(serial, most, now);
        let exit = |(exit, age): (Exit<PartKey>, Millis)| {
            let Exit { suspect: key, incarnation, details, renewed, cleared } = exit;
            let ExitDetails { events, position, others_answered, answered_before, request } =
                details;
            let exit = PartExit {
                key,
                incarnation,
                events,
                position,
                others_answered,
                answered_before,
                request,
                renewed,
                cleared,
            };
            (exit, age)
        };
        (exits.into_iter().map(exit).collect(), last)
    }

    /// Answers learned after `serial`, in order, with their ages, and the serial to continue from; at most `most`.
    pub fn answers_since(
        &self,
        serial: u64,
        most: usize,
        now: Millis,
    ) -> (Vec<(PartAnswer, Millis)>, u64) {
        self.answers.since(serial, most, now)
    }
}
