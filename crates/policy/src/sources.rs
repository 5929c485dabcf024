//! Whom a node asks for what the platform's store holds, and when it may read the store itself.
//!
//! In each failure domain one node, its planner, reads the store, and a few others, its standbys, read
//! it when the planner does not tell. Everyone else is told by these, then by the planners of other
//! failure domains, and goes to the store only at a turn drawn for it. So the loss of one planner
//! costs a few calls and not those of a whole domain.
//!
//! Nothing is agreed here. What a source tells carries its true age, whoever passes it on; two planners
//! or a wrong order of standbys cost calls, never a wrong answer; all of it may be forgotten.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use heathpitch_core::{Millis, Name, Revision};
use rand::Rng;

use crate::Mechanism;
use crate::switch::on;

/// Standbys of a failure domain: three together are turned away by a store that turns a third of all
/// nodes away in one of 27 cases, and then other domains tell.
pub const STANDBYS: usize = 3;
/// Time for which a source that did not answer is not asked, milliseconds: three limits of an answer.
const BACKOFF_UNREACHABLE_MS: Millis = 1_000;
/// The same for one that answered that it knows nothing young enough, at first and at most; doubled each
/// time. Standbys know what the store holds some 20 ms after they begin to read it.
const BACKOFF_STALE_MS: (Millis, Millis) = (50, 400);
/// Time without a source after which the planners of other failure domains are asked, milliseconds:
/// standbys take over in less, and what these tell crosses no domain.
const REMOTE_SOURCES_AFTER_MS: Millis = 300;
/// Time for which a node without a source waits for one before its turn, milliseconds: other domains'
/// planners have answered by then.
const SOURCE_GRACE_MS: Millis = 700;
/// Time between two turns of the nodes of a failure domain, milliseconds: two calls a second, whatever
/// the number of nodes.
const READ_SLOT_MS: Millis = 500;
/// Time that a standby leaves to the one before it to take a free lease, milliseconds: many times the
/// store's answer.
const CLAIM_STEP_MS: Millis = 100;

/// Time before the first look at the store of a node on a small VM, when the whole fleet starts for the first time, and over
/// how much more such nodes are spread, milliseconds: others plan by then.
const FIRST_LOOK_MS: (Millis, Millis) = (250, 250);
/// The same of a node that asks seeds: they name a planner after some rounds.
const FIRST_LOOK_SEEDED_MS: (Millis, Millis) = (2_000, 8_000);
/// The same when callers may be waiting: some answers of seeds.
const LOOK_SEEDED_MS: (Millis, Millis) = (400, 400);

/// A node that may tell others what the store holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// The node.
    pub node: Name,
    /// Where it is asked.
    pub address: SocketAddr,
}

/// The planner of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainPlanner {
    /// The node that plans it, and where it is asked.
    pub source: Source,
    /// Revision of its entry in the store: the higher one is the newer planner.
    pub revision: Revision,
}

/// How a node begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetStart {
    /// Whether the whole fleet starts for the first time, so that no caller waits and nobody plans yet.
    pub first_start: bool,
    /// Whether this node's VM can carry a planner's work.
    pub able: bool,
    /// Whether it can ask seeds who plans.
    pub seeded: bool,
}

/// What came of asking a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// It told what it knows.
    Fresh,
    /// It answered, but knows nothing young enough, or its link is full.
    Declined,
    /// No answer came.
    NoAnswer,
}

/// Why a source is passed over.
#[derive(Clone, Copy, Debug)]
struct Rest {
    until: Millis,
    pause: Millis,
}

/// The sources of one node, in the order in which it asks them.
///
/// # Examples
///
/// ```
/// use heathpitch_core::Revision;
/// use heathpitch_policy::{DomainPlanner, PollOutcome, Source, Sources};
/// use rand::{SeedableRng, rngs::SmallRng};
///
/// let mut rng = SmallRng::seed_from_u64(1);
/// let source = |node: &str, port| Source {
///     node: node.parse().unwrap(),
///     address: ([10, 0, 0, 1], port).into(),
/// };
/// let mut sources = Sources::new("n9".parse()?, "mem".parse()?, 0);
/// let planner = DomainPlanner { source: source("n1", 1), revision: Revision(4) };
/// sources.learn_planner("mem".parse()?, planner);
/// sources.set_standbys(vec![source("n2", 2)]);
///
/// // The planner does not answer: its standby is asked at once, and the store is left alone.
/// let first = sources.next(0, true).unwrap().node.clone();
/// assert_eq!(first.as_str(), "n1");
/// sources.record_poll(&first, PollOutcome::NoAnswer, 300, 60, &mut rng);
/// let second = sources.next(300, true).unwrap().node.clone();
/// assert_eq!(second.as_str(), "n2");
/// sources.record_poll(&second, PollOutcome::Fresh, 301, 60, &mut rng);
/// assert!(!sources.may_read(301));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug)]
pub struct Sources {
    own: Name,
    domain: Name,
    planners: BTreeMap<Name, DomainPlanner>,
    standbys: Vec<Source>,
    rests: HashMap<Name, Rest>,
    /// The source that told last, if it told the last time it was asked.
    teller: Option<Name>,
    /// Since when no source tells.
    silent: Option<Millis>,
    /// When this node may read the store although it is no standby; none while a source tells.
    turn: Option<Millis>,
    /// When it may look for the planner's lease; none while a source of its own domain tells.
    claim: Option<Millis>,
    /// Whether the planner has given its lease up and no other one is known.
    vacant: bool,
}

/// # Construction
impl Sources {
    /// Sources of a node that begins at `now` and knows no other one.
    pub fn new(own: Name, domain: Name, now: Millis) -> Self {
        Self {
            own,
            domain,
            planners: BTreeMap::new(),
            standbys: Vec::new(),
            rests: HashMap::new(),
            teller: None,
            silent: Some(now),
            turn: None,
            claim: Some(now),
            vacant: false,
        }
    }
}

/// # Knowledge
impl Sources {
    /// Takes note of the planner of a failure domain, unless a newer one is known; gives whether it is new.
    pub fn learn_planner(&mut self, domain: Name, planner: DomainPlanner) -> bool {
        let known = self.planners.get(&domain);
        let new = known.is_none_or(|k| planner.revision > k.revision);
        if new {
            self.vacant &= domain != self.domain;
            self.rests.remove(&planner.source.node);
            self.planners.insert(domain, planner);
        }
        new
    }

    /// Takes note that the planner of this failure domain gives its lease up, though it still tells.
    pub fn planner_released(&mut self, now: Millis, beside: u32, rng: &mut impl Rng) {
        self.vacant = true;
        if self.claim.is_none() {
            self.claim = Some(now + self.claim_wait(beside, rng));
        }
    }

    /// Takes note of the standbys of this failure domain.
    pub fn set_standbys(&mut self, standbys: Vec<Source>) {
        self.standbys = standbys;
    }

    /// The planner of a failure domain.
    pub fn planner(&self, domain: &Name) -> Option<&DomainPlanner> {
        self.planners.get(domain)
    }

    /// The planners of all failure domains.
    pub fn planners(&self) -> impl Iterator<Item = (&Name, &DomainPlanner)> {
        self.planners.iter()
    }

    /// Whether no planner is known, so that nobody but seeds can be asked.
    pub fn knows_no_planner(&self) -> bool {
        self.planners.is_empty()
    }

    /// The standbys of this failure domain, in their order.
    pub fn standbys(&self) -> &[Source] {
        &self.standbys
    }

    /// This node's place among the standbys.
    pub fn standby_rank(&self) -> Option<usize> {
        let place = self.standbys.iter().position(|s| s.node == self.own);
        place.filter(|_| on(Mechanism::Standbys))
    }

    /// The source that tells, if one does.
    pub fn active(&self) -> Option<&Name> {
        self.teller.as_ref()
    }
}

/// # Decisions
impl Sources {
    /// The source to ask now: the first one that is not passed over.
    ///
    /// A standby that the store answers reads it before it asks another domain.
    pub fn next(&self, now: Millis, reachable: bool) -> Option<&Source> {
        let rested = |s: &&Source| {
            s.node != self.own && self.rests.get(&s.node).is_none_or(|r| now >= r.until)
        };
        let alone = self.silent.is_none_or(|since| now >= since + REMOTE_SOURCES_AFTER_MS);
        let far = alone && !(reachable && self.standby_rank().is_some());
        self.near().chain(self.far().filter(|_| far)).find(rested)
    }

    /// Whether a source stands in this failure domain.
    pub fn is_local(&self, node: &Name) -> bool {
        self.near().any(|s| &s.node == node)
    }

    /// Takes note of what came of asking a source, in a failure domain of so many nodes.
    pub fn record_poll(
        &mut self,
        node: &Name,
        heard: PollOutcome,
        now: Millis,
        beside: u32,
        rng: &mut impl Rng,
    ) {
        match heard {
            PollOutcome::Fresh => {
                self.rests.remove(node);
                self.teller = Some(node.clone());
                (self.silent, self.turn) = (None, None);
                if self.is_local(node) && !self.vacant {
                    self.claim = None;
                }
            }
            PollOutcome::Declined | PollOutcome::NoAnswer => {
                let rest = self.rest(node, heard);
                self.rests.insert(node.clone(), Rest { until: now + rest, pause: rest });
            }
        }
        self.draw(now, beside, rng);
    }

    /// Takes note that no source is left to ask.
    pub fn sources_exhausted(&mut self, now: Millis, beside: u32, rng: &mut impl Rng) {
        self.teller = None;
        self.silent.get_or_insert(now);
        self.draw(now, beside, rng);
    }

    /// Takes note that the store did not answer this node, whose turn is over then.
    pub fn store_unavailable(&mut self, now: Millis, beside: u32, rng: &mut impl Rng) {
        if self.turn.is_some_and(|turn| now >= turn) {
            self.turn = Some(now + wait(beside, rng));
        }
        if self.claim.is_some_and(|claim| now >= claim) {
            self.claim = Some(now + self.claim_wait(beside, rng));
        }
    }

    /// Decides when a node that begins looks at the store for the first time.
    ///
    /// A call by each node is most of what a start of all costs the store. A node on a small VM need not make it: by
    /// the time that it leaves to others one of them plans, and a seed names it.
    pub fn schedule_first_lookup(&mut self, start: FleetStart, now: Millis, rng: &mut impl Rng) {
        let (wait, spread) = match start {
            FleetStart { able: true, .. } => (0, 0),
            FleetStart { first_start: true, seeded: true, .. } => FIRST_LOOK_SEEDED_MS,
            FleetStart { first_start: true, seeded: false, .. } => FIRST_LOOK_MS,
            FleetStart { first_start: false, seeded: true, .. } => LOOK_SEEDED_MS,
            FleetStart { first_start: false, seeded: false, .. } => (0, 0),
        };
        self.claim = Some(now + wait + rng.random_range(0..=spread));
    }

    /// Takes note that another node holds the planner's lease, and is asked first.
    pub fn defer_claim(&mut self, now: Millis, beside: u32, rng: &mut impl Rng) {
        if self.claim.is_some() {
            self.claim = Some(now + self.claim_wait(beside, rng).max(SOURCE_GRACE_MS));
        }
    }

    /// Lets this node read the store until a source tells it.
    pub fn allow_reads(&mut self, now: Millis) {
        self.teller = None;
        self.silent.get_or_insert(now);
        self.turn = Some(now);
    }

    /// Whether a list that `node` proved at `proven` may be taken in place of one proven at `own`; `same` if
    /// both hold the same.
    ///
    /// Whoever told before may have known more: an engine that left would be listed again. A list with the
    /// same content is taken at any age, or a node that reads for itself would never be told again.
    pub fn accepts(&self, node: &Name, proven: Millis, own: Option<Millis>, same: bool) -> bool {
        same || self.teller.as_ref() == Some(node)
            || own.is_none_or(|own| proven >= own)
            || !on(Mechanism::ListAge)
    }

    /// Whether this node may read the store, unless it plans and may anyway.
    pub fn may_read(&self, now: Millis) -> bool {
        match self.teller {
            Some(_) => false,
            None => self.standby_rank().is_some() || self.turn.is_some_and(|turn| now >= turn),
        }
    }

    /// Whether this node may look whether the lease of its planner is free.
    pub fn may_claim(&self, now: Millis) -> bool {
        self.claim.is_some_and(|claim| now >= claim)
    }

    /// Sources of this failure domain: the planner and the standbys, of which one asks only those before it.
    fn near(&self) -> impl Iterator<Item = &Source> {
        let before = self.standby_rank().unwrap_or(self.standbys.len());
        let planner = self.planners.get(&self.domain).map(|p| &p.source);
        let standbys = self.standbys[..before].iter();
        planner
            .into_iter()
            .chain(standbys.filter(move |s| planner.is_none_or(|p| p.node != s.node)))
    }

    fn far(&self) -> impl Iterator<Item = &Source> {
        self.planners.iter().filter(|(d, _)| **d != self.domain).map(|(_, p)| &p.source)
    }

    fn rest(&self, node: &Name, heard: PollOutcome) -> Millis {
        match (heard, self.rests.get(node)) {
            (PollOutcome::NoAnswer, _) => BACKOFF_UNREACHABLE_MS,
            (_, None) => BACKOFF_STALE_MS.0,
            (_, Some(rest)) => (rest.pause * 2).clamp(BACKOFF_STALE_MS.0, BACKOFF_STALE_MS.1),
        }
    }

    /// Draws the turns that this node needs and has not drawn yet.
    fn draw(&mut self, now: Millis, beside: u32, rng: &mut impl Rng) {
        if self.teller.is_none() && self.turn.is_none() {
            self.turn = Some(now + wait(beside, rng));
        }
        let near = self.teller.as_ref().is_some_and(|t| self.is_local(t));
        if !near && self.claim.is_none() {
            self.claim = Some(now + self.claim_wait(beside, rng));
        }
    }

    fn claim_wait(&self, beside: u32, rng: &mut impl Rng) -> Millis {
        match self.standby_rank() {
            Some(place) => CLAIM_STEP_MS * place as Millis,
            None => wait(beside, rng),
        }
    }
}

/// Time until a turn, drawn so that those of a failure domain are spread evenly.
fn wait(beside: u32, rng: &mut impl Rng) -> Millis {
    if !on(Mechanism::DrawnTurns) {
        return SOURCE_GRACE_MS;
    }
    SOURCE_GRACE_MS + rng.random_range(0..=READ_SLOT_MS * u64::from(beside.max(1)))
}
