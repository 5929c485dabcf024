//! Quarantine of parts of prompts that crash engines, in requests of which no two are alike.
//!
//! Each request that is lost with its engine blames all parts of its prompt but the last, which
//! belongs to the request itself. What distinguishes the faulty part is that it was never answered:
//! nodes clear every other part that they know an answer to (`AnsweredParts`), and tell each other.
//! A verdict therefore waits until the exits are settled, and needs further signs that the part is
//! the cause: exits at several moments, since engines of one host exit together, and answers to
//! other requests of the same account, since without any nothing distinguishes a part.
//!
//! Of several parts one that is held back already is blamed first and explains its exits, then the
//! one under which most engines exited; among equals the one for which they had delivered fewer
//! events, then the last in the prompt, which occurs in the fewest requests.
//!
//! Callers name the parts, so that exits under the requests of one account hold back requests of
//! that account only. Those under several accounts hold back all, unless the part was answered for
//! another one: a cleared exit of any account ([`PartExit::answered_for_another`]) tells this.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashSet};

use heathpitch_core::{Millis, PromptPart};

use crate::exit_book::{Exit, ExitBook, ExitDetails, ExitState, ExitTime};
use crate::part_exits::PartExits;
use crate::{EngineIncarnation, PartKey, RecordedExit, Suspect};

/// Engines that must have exited under a part before it is held back: one fewer than agreed, as an
/// exit may go unnoticed.
const MIN_ENGINES: usize = 4;
/// Engines that must have exited under a part before calls with it are not retried.
const MIN_SUSPECT_ENGINES: usize = 2;
/// Different moments at which they must have exited.
const MIN_MOMENTS: usize = 3;
/// Time within which exits count as one moment: those of one host are detected within it.
const MOMENT_MS: Millis = 100;
/// Age from which an exit counts: nodes that know an answer to the part have reported it by then.
const SETTLE_MS: Millis = 1_000;

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
    /// Whether a node knew answers to other requests of the account and service.
    pub others_answered: bool,
    /// How often the part came again late in its quarantine, which extends it.
    pub renewed: u32,
    /// Whether it no longer counts: the part was answered, or the engine is alive.
    pub cleared: bool,
}

impl PartExit {
    /// What nodes exchange in addition once they know an answer to the part for another account.
    #[must_use]
    pub fn answered_for_another(&self) -> Self {
        Self { key: self.key.any_account(), cleared: true, ..self.clone() }
    }
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
    /// Whether requests with this part are held back.
    pub fn covers(&self, key: &PartKey) -> bool {
        (self.service, self.part) == (key.service, key.part)
            && self.account.is_none_or(|account| account == key.account)
    }
}

/// What is known of a part under which several engines exited and which is not held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartEvidence {
    /// The part.
    pub key: PartKey,
    /// Engines that exited under it.
    pub engines: usize,
    /// Those whose exits do not count, as the part was answered or the engine responds.
    pub cleared: usize,
    /// Moments of the exits that count.
    pub moments: usize,
    /// Whether a node knew answers to other requests of the account and service.
    pub others_answered: bool,
}

/// A part under which enough engines exited.
struct Candidate<'a> {
    held: HeldPart,
    incarnations: BTreeSet<&'a EngineIncarnation>,
    /// Whether the part is held back already, for whatever account.
    was_held: bool,
    /// Events delivered, summed over these engines.
    events: u32,
    position: u8,
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
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {
    exits: ExitBook<PartKey>,
    held: BTreeSet<HeldPart>,
    /// Parts with exits that `held` covers.
    evidence: BTreeSet<PartKey>,
    /// Time of the last verdict.
    decided_at: Millis,
}

/// # Updates
impl PartQuarantine {
    /// Merges an exit that has been known for `age`; returns whether it changes anything.
    pub fn learn(&mut self, exit: PartExit, age: Millis, now: Millis) -> bool {
        let PartExit { key, incarnation, events, position, others_answered, renewed, cleared } =
            exit;
        let details = ExitDetails { events, position, others_answered };
        let exit = Exit { suspect: key, incarnation, details, renewed, cleared };
        self.exits.learn(exit, age, now, &self.evidence)
    }

    /// Clears the exits of parts that were answered; returns whether there were any.
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

    /// Drops expired exits; returns whether there were any.
    pub fn expire(&mut self, now: Millis) -> bool {
        self.exits.expire(now)
    }
}

/// # Verdict
impl PartQuarantine {
    /// Recomputes which parts are held back; returns those that were added and those that were
    /// released.
    pub fn decide(&mut self, now: Millis) -> (Vec<HeldPart>, Vec<HeldPart>) {
        let held = self.verdict(now);
        let new = held.difference(&self.held).copied().collect();
        let released = self.held.difference(&held).copied().collect();
        let covered = |key: &PartKey| held.iter().any(|h| h.covers(key));
        self.evidence = match held.is_empty() {
            true => BTreeSet::new(),
            false => self.exits.counting().map(|(key, ..)| key).filter(covered).collect(),
        };
        self.held = held;
        self.decided_at = now;
        (new, released)
    }

    /// Whether exits have settled since the last verdict.
    pub fn is_decision_due(&self, now: Millis) -> bool {
        self.exits
            .counting()
            .any(|(.., exit)| exit.is_settled(now) && !exit.is_settled(self.decided_at))
    }

    fn verdict(&self, now: Millis) -> BTreeSet<HeldPart> {
        let candidates = self.candidates(now);
        let mut explained: BTreeSet<&EngineIncarnation> = BTreeSet::new();
        let mut blamed = BTreeSet::new();
        loop {
            let unexplained = |s: &Candidate<'_>| s.incarnations.difference(&explained).count();
            let left = candidates.iter().filter(|s| unexplained(s) >= MIN_ENGINES);
            // One that holds back a single account comes after the same part for all.
            let order = |s: &&Candidate<'_>| {
                let all = s.held.account.is_none();
                (s.was_held, unexplained(s), Reverse(s.events), s.position, all)
            };
            let Some(worst) = left.max_by_key(order) else { return blamed };
            blamed.insert(worst.held);
            explained.extend(&worst.incarnations);
        }
    }

    /// Parts under which enough engines exited, for each account and for all together.
    fn candidates(&self, now: Millis) -> Vec<Candidate<'_>> {
        let mut by_part: BTreeMap<_, BTreeMap<u64, Vec<_>>> = BTreeMap::new();
        for (key, incarnation, exit) in self.exits.counting() {
            if exit.renewed > 0 || exit.is_settled(now) {
                let accounts = by_part.entry((key.service, key.part)).or_default();
                accounts.entry(key.account).or_default().push((incarnation, exit));
            }
        }
        let mut candidates = Vec::new();
        for (&(service, part), accounts) in &by_part {
            let single = accounts.iter().map(|(account, exits)| (Some(*account), exits.clone()));
            let shared = accounts.len() > 1 && !self.is_answered_for_another(service, part);
            let all = shared.then(|| (None, accounts.values().flatten().copied()));
            let all = all.map(|(account, exits)| (account, exits.collect()));
            for (account, exits) in single.chain(all) {
                let held = HeldPart { service, part, account };
                let was_held = self.held.iter().any(|h| (h.service, h.part) == (service, part));
                candidates.extend(candidate(held, &exits, was_held));
            }
        }
        candidates
    }
}

/// # Answers for other accounts
impl PartQuarantine {
    /// Whether a node knew an answer to a part for an account without exits under it.
    fn is_answered_for_another(&self, service: u64, part: PromptPart) -> bool {
        let key = PartKey { service, part, account: 0 }.any_account();
        self.exits.is_cleared(key)
    }
}

/// Whether these exits suffice to hold back a part.
fn candidate<'a>(
    held: HeldPart,
    exits: &[(&'a EngineIncarnation, &ExitState)],
    was_held: bool,
) -> Option<Candidate<'a>> {
    let incarnations: BTreeSet<_> = exits.iter().map(|(incarnation, _)| *incarnation).collect();
    // What was held back before has been judged, and its exits have the times of its renewal.
    let was_judged = exits.iter().any(|(_, exit)| exit.renewed > 0);
    let others_answered = exits.iter().any(|(_, exit)| exit.details.others_answered);
    let enough = incarnations.len() >= MIN_ENGINES
        && others_answered
        && (was_judged || moments(exits) >= MIN_MOMENTS);
    let position = exits.iter().map(|(_, exit)| exit.details.position).max()?;
    let events = exits.iter().map(|(_, exit)| exit.details.events).sum();
    let was_held = was_held || was_judged;
    enough.then_some(Candidate { held, incarnations, was_held, events, position })
}

impl ExitState {
    /// Whether nodes that know an answer have reported it.
    fn is_settled(&self, now: Millis) -> bool {
        self.age(now) >= SETTLE_MS
    }
}

/// Number of moments at which these exits happened.
fn moments(exits: &[(&EngineIncarnation, &ExitState)]) -> usize {
    let mut times: Vec<ExitTime> = exits.iter().map(|(_, exit)| exit.at).collect();
    times.sort_unstable();
    let (mut count, mut end) = (0, 0);
    for at in times {
        if count == 0 || at >= end {
            (count, end) = (count + 1, at + MOMENT_MS as ExitTime);
        }
    }
    count
}

/// # Queries
impl PartQuarantine {
    /// Whether requests with this part are held back.
    pub fn holds(&self, key: &PartKey) -> bool {
        self.held.iter().any(|h| h.covers(key))
    }

    /// What is held back.
    pub fn held(&self) -> impl Iterator<Item = HeldPart> {
        self.held.iter().copied()
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

    /// Exits that count against parts which are not held back, and what is known of answers for other
    /// accounts.
    pub fn undecided(&self, now: Millis) -> impl Iterator<Item = RecordedExit> {
        let undecided = self.exits.counting().filter(|(key, ..)| !self.evidence.contains(key));
        let answers = self.exits.cleared().filter(|(key, ..)| *key == key.any_account());
        undecided.chain(answers).map(move |(key, incarnation, exit)| {
            exit.recorded(Suspect::Part(key), incarnation, now)
        })
    }

    /// Parts that are not held back although as many engines exited under them as a verdict needs.
    pub fn not_blamed(&self) -> Vec<PartEvidence> {
        let mut by_part: BTreeMap<PartKey, Vec<_>> = BTreeMap::new();
        for (key, incarnation, exit) in self.exits.all() {
            by_part.entry(key).or_default().push((incarnation, exit));
        }
        let evidence = |(key, mut exits): (PartKey, Vec<(_, &ExitState)>)| {
            let engines = exits.len();
            let others_answered = exits.iter().any(|(_, exit)| exit.details.others_answered);
            exits.retain(|(_, exit)| !exit.cleared);
            let (cleared, moments) = (engines - exits.len(), moments(&exits));
            PartEvidence { key, engines, cleared, moments, others_answered }
        };
        let undecided = by_part
            .into_iter()
            .filter(|(key, exits)| exits.len() >= MIN_ENGINES && !self.holds(key));
        undecided.map(evidence).collect()
    }

    /// Serial of the last change.
    pub fn serial(&self) -> u64 {
        self.exits.serial()
    }

    /// Parts with exits that count.
    pub fn known(&self) -> HashSet<PartKey> {
        self.exits.counting().map(|(key, ..)| key).collect()
    }

    /// Parts that may be the cause of several exits: no other part is there at these and at more.
    pub fn suspected(&self) -> HashSet<PartKey> {
        let all = self.part_exits();
        let several = all.iter().filter(|(_, exits)| exits.len() >= MIN_SUSPECT_ENGINES);
        several.filter(|(_, exits)| !all.explain(exits)).map(|(key, _)| key).collect()
    }

    /// Exits that count, by part.
    pub(crate) fn part_exits(&self) -> PartExits<'_> {
        PartExits::new(self.exits.counting().map(|(key, incarnation, _)| (key, incarnation)))
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
            let ExitDetails { events, position, others_answered } = details;
            let exit =
                PartExit { key, incarnation, events, position, others_answered, renewed, cleared };
            (exit, age)
        };
        (exits.into_iter().map(exit).collect(), last)
    }
}
