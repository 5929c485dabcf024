//! Quarantine of requests that crash engines: which requests are no longer sent to any engine.
//!
//! An engine that terminates cuts off every request that runs there, so a single termination says
//! little about any one of them. What counts is which request was running in repeated terminations,
//! over all nodes and under whatever ids the request comes: nodes send each [`EngineExit`] to each
//! other, and each node derives the same verdict from them. A verdict blames the fewest requests
//! that explain the terminations ([`Quarantine::verdict`]), so that requests which were rerouted
//! from engine to engine along with the faulty one are not quarantined with it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet};

use heathpitch_core::{Millis, Name, PromptPart, RequestFingerprint};

use crate::exit_book::{Exit, ExitBook, ExitDetails, ExitState};
use crate::exit_rate::score;
use crate::part_exits::PartExits;
use crate::{Demand, PartQuarantine, RecordedExit, Suspect};

/// Engines that must have terminated under a request before it is quarantined. Two also happen to
/// harmless requests that are rerouted along with the faulty one. Three keeps the cost within the
/// agreed bound of three further engines.
const MIN_ENGINES: usize = 3;
/// Events up to which a request counts as just started on its engine: about 0.4 s of a stream at
/// its usual rate. A request that crashes an engine does so when it starts. Where engines terminate
/// repeatedly, many harmless requests are as young (167 of 288 attempts that were cut off in one
/// recorded day), so this alone does not blame a request.
const JUST_STARTED_EVENTS: u32 = 8;

/// Whether a request for which an engine has delivered this many events had just started there.
///
/// # Examples
///
/// ```
/// assert!(heathpitch_policy::just_started(1));
/// assert!(!heathpitch_policy::just_started(40));
/// ```
pub fn just_started(events: u32) -> bool {
    events <= JUST_STARTED_EVENTS
}

/// One run of an engine: a restart under the same id is another incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineIncarnation {
    /// Id of the engine.
    pub engine: Name,
    /// Unix time of its start, milliseconds, if the engine reports it.
    pub started_at: Option<Millis>,
}

impl EngineIncarnation {
    /// Digest that nodes exchange in its place.
    pub fn digest(&self) -> u64 {
        Demand::key(&self.engine) ^ self.started_at.unwrap_or(0)
    }
}

/// The termination of an engine while a request was running there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineExit {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The engine.
    pub incarnation: EngineIncarnation,
    /// Events that the engine had delivered for the request.
    pub events: u32,
    /// How often the request came again late in its quarantine, which extends it.
    pub renewed: u32,
    /// Whether it no longer counts: the request was answered, or the engine is alive.
    pub cleared: bool,
}

/// A request under which enough engines terminated.
struct Candidate<'a> {
    fingerprint: RequestFingerprint,
    incarnations: BTreeSet<&'a EngineIncarnation>,
    /// Events delivered, summed over these engines.
    events: u32,
}

/// Known exits and the requests that are quarantined for them.
///
/// # Examples
///
/// ```
/// use heathpitch_core::RequestFingerprint;
/// use heathpitch_policy::{EngineIncarnation, Quarantine};
///
/// let mut quarantine = Quarantine::default();
/// let (fatal, moved) = (RequestFingerprint(1), RequestFingerprint(2));
/// let incarnation =
///     |id: &str| EngineIncarnation { engine: id.parse().unwrap(), started_at: None };
/// for engine in ["e1", "e2", "e3", "e4"] {
///     quarantine.record_exit(fatal, incarnation(engine), 0, 10);
/// }
/// // This one was rerouted along with the fatal one.
/// for engine in ["e1", "e2", "e3"] {
///     quarantine.record_exit(moved, incarnation(engine), 0, 10);
/// }
/// quarantine.decide();
/// assert!(quarantine.holds(fatal));
/// assert!(!quarantine.holds(moved));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    exits: ExitBook<RequestFingerprint>,
    held: BTreeSet<RequestFingerprint>,
}

/// # Updates
impl Quarantine {
    /// Records that an engine terminated which had delivered `events` events of a request; returns
    /// whether that is new. It counts only against a request that had just started there.
    pub fn record_exit(
        &mut self,
        fingerprint: RequestFingerprint,
        incarnation: EngineIncarnation,
        events: u32,
        now: Millis,
    ) -> bool {
        let exit = EngineExit { fingerprint, incarnation, events, renewed: 0, cleared: false };
        self.learn(exit, 0, now)
    }

    /// Merges an exit that another node has known for `age`; returns whether it changes anything.
    pub fn learn(&mut self, exit: EngineExit, age: Millis, now: Millis) -> bool {
        let EngineExit { fingerprint: suspect, incarnation, events, renewed, cleared } = exit;
        let details = ExitDetails { events, ..ExitDetails::default() };
        let exit = Exit { suspect, incarnation, details, renewed, cleared };
        self.exits.learn(exit, age, now, &self.held)
    }

    /// Clears the exits of a request that was answered completely, so that it crashed no engine;
    /// returns whether there were any.
    pub fn clear_request(&mut self, fingerprint: RequestFingerprint) -> bool {
        self.exits.clear(|f, _| *f == fingerprint)
    }

    /// Clears the exits of an engine that has answered since; returns whether there were any.
    pub fn engine_alive(&mut self, incarnation: &EngineIncarnation) -> bool {
        self.exits.clear(|_, i| i == incarnation)
    }

    /// Extends the quarantine of a request that came again, once half of its time is over; returns
    /// whether it did.
    pub fn renew(&mut self, fingerprint: RequestFingerprint, now: Millis) -> bool {
        self.exits.renew(fingerprint, now)
    }

    /// Drops expired exits, all exits of a request together; returns whether there were any.
    pub fn expire(&mut self, now: Millis) -> bool {
        self.exits.expire(now, |_| true)
    }
}

/// # Verdict
impl Quarantine {
    /// Recomputes which requests are quarantined; returns those that were added and those that were
    /// released.
    pub fn decide(&mut self) -> (Vec<RequestFingerprint>, Vec<RequestFingerprint>) {
        self.decide_beside(&PartQuarantine::default())
    }

    /// The same, except that requests are not blamed for exits that a part of prompts explains which is held back, nor newly
    /// blamed while the verdict on such a part is awaited.
    pub fn decide_beside(
        &mut self,
        parts: &PartQuarantine,
    ) -> (Vec<RequestFingerprint>, Vec<RequestFingerprint>) {
        let mut held = self.verdict(&parts.held_exits());
        let awaited = parts.awaited_exits();
        held.retain(|fingerprint| {
            let of_request = self.exits.by_suspect(*fingerprint..=*fingerprint);
            let exits = of_request.flat_map(|(_, exits)| exits).map(|(i, _)| i).collect();
            self.held.contains(fingerprint) || !awaited.explain(&exits)
        });
        let new = held.difference(&self.held).copied().collect();
        let released = self.held.difference(&held).copied().collect();
        self.held = held;
        (new, released)
    }

    /// The fewest requests that explain the exits.
    ///
    /// The request under which most engines terminated is blamed first and explains all of these
    /// exits; each further one must have an exit that no request blamed before it explains. If the
    /// same three engines terminated under two requests, neither is blamed: the next exit
    /// distinguishes them. In 32 minutes of the model in this module's tests, 13 of 96 000 harmless
    /// requests were quarantined along with a fatal one without the two rules and none with both,
    /// and no more engines terminated.
    fn verdict(&self, parts: &PartExits<'_>) -> BTreeSet<RequestFingerprint> {
        let candidates = self.candidates(parts);
        let mut same: HashMap<&BTreeSet<&EngineIncarnation>, u32> = HashMap::new();
        candidates.iter().for_each(|s| *same.entry(&s.incarnations).or_default() += 1);
        let mut explained: BTreeSet<&EngineIncarnation> = BTreeSet::new();
        let mut blamed = BTreeSet::new();
        let rank = |s: &Candidate<'_>, unexplained| (unexplained, Reverse(s.events), s.fingerprint);
        let all = candidates.iter().enumerate();
        let mut left: BinaryHeap<_> =
            all.map(|(i, s)| (rank(s, s.incarnations.len()), i)).collect();
        while let Some((last, i)) = left.pop() {
            let worst = &candidates[i];
            let current = rank(worst, worst.incarnations.difference(&explained).count());
            match current.0 {
                0 => {}
                // Ranks only fall, so that the first one that has not is the highest.
                _ if current != last => left.push((current, i)),
                // Requests that are not blamed explain nothing.
                _ if worst.incarnations.len() == MIN_ENGINES && same[&worst.incarnations] > 1 => {}
                _ => {
                    blamed.insert(worst.fingerprint);
                    explained.extend(&worst.incarnations);
                }
            }
        }
        blamed
    }

    /// Requests under which enough engines terminated, without those whose exits a part explains.
    fn candidates(&self, parts: &PartExits<'_>) -> Vec<Candidate<'_>> {
        let mut candidates: BTreeMap<RequestFingerprint, Candidate<'_>> = BTreeMap::new();
        for (fingerprint, incarnation, known) in self.exits.counting() {
            let fresh = || Candidate { fingerprint, incarnations: BTreeSet::new(), events: 0 };
            let candidate = candidates.entry(fingerprint).or_insert_with(fresh);
            candidate.incarnations.insert(incarnation);
            candidate.events += known.details.events;
        }
        let enough = candidates.into_values().filter(|s| s.incarnations.len() >= MIN_ENGINES);
        enough.filter(|s| !parts.explain(&s.incarnations)).collect()
    }

    /// Exits of the requests that are to be blamed unless a part is, each with the score of a part with these exits.
    pub(crate) fn explanations(&self) -> Vec<(u32, Vec<EngineIncarnation>)> {
        let blamed = self.verdict(&PartExits::default()).into_iter();
        let exits = blamed.map(|fingerprint| self.exits.by_suspect(fingerprint..=fingerprint));
        let explanation = |exits: Vec<(&EngineIncarnation, &ExitState)>| {
            let weight = score(exits.iter().map(|(_, exit)| exit.at), &[]);
            (weight, exits.into_iter().map(|(incarnation, _)| incarnation.clone()).collect())
        };
        exits.flatten().map(|(_, exits)| explanation(exits)).collect()
    }
}

/// # Queries
impl Quarantine {
    /// Whether a request is quarantined.
    pub fn holds(&self, fingerprint: RequestFingerprint) -> bool {
        self.held.contains(&fingerprint)
    }

    /// Quarantined requests.
    pub fn held(&self) -> impl Iterator<Item = RequestFingerprint> {
        self.held.iter().copied()
    }

    /// Exits that count against a request: incarnation, events delivered and age.
    pub fn evidence(
        &self,
        fingerprint: RequestFingerprint,
        now: Millis,
    ) -> impl Iterator<Item = (&EngineIncarnation, u32, Millis)> {
        self.exits.evidence(fingerprint, now)
    }

    /// Number of exits that count against each request.
    pub fn counts(&self) -> HashMap<RequestFingerprint, u32> {
        self.counts_beside(&PartQuarantine::default())
    }

    /// The same without requests whose exits a part of prompts explains which is held back.
    pub fn counts_beside(&self, parts: &PartQuarantine) -> HashMap<RequestFingerprint, u32> {
        let mut exits: HashMap<RequestFingerprint, BTreeSet<&EngineIncarnation>> = HashMap::new();
        for (fingerprint, incarnation, _) in self.exits.counting() {
            exits.entry(fingerprint).or_default().insert(incarnation);
        }
        let explained = parts.held_exits();
        let unexplained = exits.into_iter().filter(|(_, exits)| !explained.explain(exits));
        unexplained.map(|(fingerprint, exits)| (fingerprint, exits.len() as u32)).collect()
    }

    /// The part of prompts that is held back for the exits of a request, if one explains them.
    pub fn explained_by(
        &self,
        fingerprint: RequestFingerprint,
        parts: &PartQuarantine,
    ) -> Option<PromptPart> {
        let of_request = self.exits.by_suspect(fingerprint..=fingerprint);
        let exits = of_request.flat_map(|(_, exits)| exits).map(|(i, _)| i).collect();
        parts.held_exits().explanation(&exits).map(|key| key.part)
    }

    /// Exits that count against requests which are not quarantined.
    pub fn undecided(&self, now: Millis) -> impl Iterator<Item = RecordedExit> {
        let undecided = self.exits.counting().filter(|(f, ..)| !self.held.contains(f));
        undecided
            .map(move |(f, incarnation, exit)| exit.recorded(Suspect::Request(f), incarnation, now))
    }

    /// Engine incarnations known to have terminated.
    pub fn exited_engines(&self) -> HashSet<EngineIncarnation> {
        self.exits.incarnations().cloned().collect()
    }

    /// Remaining quarantine of a request if it does not come again.
    pub fn remaining(&self, fingerprint: RequestFingerprint, now: Millis) -> Millis {
        self.exits.remaining(fingerprint, now)
    }

    /// How often the quarantine of a request was extended.
    pub fn renewed(&self, fingerprint: RequestFingerprint) -> u32 {
        self.exits.renewed(fingerprint)
    }

    /// Whether a request with this much quarantine remaining is extended if it comes again.
    pub fn is_renewal_due(left: Millis) -> bool {
        ExitBook::<RequestFingerprint>::is_renewal_due(left)
    }

    /// Serial of the last change.
    pub fn serial(&self) -> u64 {
        self.exits.serial()
    }

    /// Exits that changed after `serial`, in order of change, with their ages, and the serial to
    /// continue from. At most `most`, plus all that changed together with the last one.
    pub fn since(&self, serial: u64, most: usize, now: Millis) -> (Vec<(EngineExit, Millis)>, u64) {
        let (exits, last) = self.exits.since(serial, most, now);
        let exit = |(exit, age): (Exit<RequestFingerprint>, Millis)| {
            let Exit { suspect: fingerprint, incarnation, details, renewed, cleared } = exit;
            let events = details.events;
            (EngineExit { fingerprint, incarnation, events, renewed, cleared }, age)
        };
        (exits.into_iter().map(exit).collect(), last)
    }
}
