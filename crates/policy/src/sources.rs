//! Which nodes a node polls for the content of the platform's store, and when it may read the store
//! itself.
//!
//! In each failure domain one node, its planner, reads the store, and a few others, its standbys,
//! read it when the planner has no fresh data. All other nodes poll these, then the planners of
//! other failure domains, and read the store only after a randomized wait. So the loss of one
//! planner costs the store a few calls rather than those of a whole domain.
//!
//! This needs no agreement between nodes. Data keeps its true age whoever passes it on; two
//! planners or a wrong order of standbys cost calls, never a wrong answer; and all of this state
//! may be lost.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use heathpitch_core::{Millis, Name, Revision};
use rand::Rng;

use crate::Mechanism;
use crate::switch::on;

/// Standbys of a failure domain. A store that refuses a third of all nodes refuses all three in one
/// of 27 cases, and then the planners of other domains provide the data.
pub const STANDBYS: usize = 3;
/// Time for which a source that did not answer is not polled: three times the limit of an answer.
const NO_ANSWER_BACKOFF_MS: Millis = 1_000;
/// The same for a source that declined, at first and at most; doubled each time. Standbys have read
/// the store about 20 ms after they begin.
const DECLINED_BACKOFF_MS: (Millis, Millis) = (50, 400);
/// Time without a source after which the planners of other failure domains are polled. Standbys
/// take over sooner, and polling them causes no traffic between domains.
const REMOTE_SOURCES_AFTER_MS: Millis = 300;
/// Time for which a node without a source waits before it may read the store: the planners of other
/// domains have answered by then.
const SOURCE_GRACE_MS: Millis = 700;
/// Time between two reads by the nodes of a failure domain: two calls a second, whatever the
/// number of nodes.
const READ_SLOT_MS: Millis = 500;
/// Time that a standby leaves to the preceding one to take a free lease: many times the latency of
/// the store.
const CLAIM_STAGGER_MS: Millis = 100;

/// Delay before a node on a small VM first looks up the planner's lease when the whole fleet starts
/// for the first time, and the random spread added to it: larger nodes are planners by then.
const FIRST_LOOKUP_MS: (Millis, Millis) = (250, 250);
/// The same for a node that polls seeds: they name a planner after some rounds.
const FIRST_LOOKUP_SEEDED_MS: (Millis, Millis) = (2_000, 8_000);
/// The same when callers may be waiting: enough for some answers of seeds.
const RESTART_LOOKUP_SEEDED_MS: (Millis, Millis) = (400, 400);

/// A node that others may poll for the content of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// The node.
    pub node: Name,
    /// Address to poll it at.
    pub address: SocketAddr,
}

/// The planner of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainPlanner {
    /// The node, and where to poll it.
    pub source: Source,
    /// Revision of its entry in the store: the planner with the higher one is newer.
    pub revision: Revision,
}

/// Conditions under which a node starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetStart {
    /// Whether the whole fleet starts for the first time, so that no caller waits and there is no
    /// planner yet.
    pub first_start: bool,
    /// Whether this node's VM is large enough to run a planner.
    pub can_plan: bool,
    /// Whether it can ask seeds for the planners.
    pub seeded: bool,
}

/// Result of polling a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// It sent its data.
    Fresh,
    /// It answered that its data is not fresh enough or its link is full.
    Declined,
    /// It did not answer.
    NoAnswer,
}

/// Time for which a source is skipped.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Millis,
    delay: Millis,
}

/// The sources of one node, in the order in which it polls them.
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
/// // The planner does not answer: its standby is polled at once, and the store is not read.
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
    backoffs: HashMap<Name, Backoff>,
    /// The source that last sent data, until no source is left or this node reads the store itself.
    active: Option<Name>,
    /// Since when there is no active source.
    silent_since: Option<Millis>,
    /// When this node may read the store although it is no standby; `None` while a source is
    /// active.
    read_at: Option<Millis>,
    /// When it may look up the planner's lease; `None` while a source of its own domain is active.
    claim_at: Option<Millis>,
    /// Whether the planner has released its lease and no successor is known.
    planner_released: bool,
}

/// # Construction
impl Sources {
    /// Sources of a node that starts at `now` and knows no other node.
    pub fn new(own: Name, domain: Name, now: Millis) -> Self {
        Self {
            own,
            domain,
            planners: BTreeMap::new(),
            standbys: Vec::new(),
            backoffs: HashMap::new(),
            active: None,
            silent_since: Some(now),
            read_at: None,
            claim_at: Some(now),
            planner_released: false,
        }
    }
}

/// # Topology
impl Sources {
    /// Records the planner of a failure domain unless a newer one is known; returns whether it is
    /// new.
    pub fn learn_planner(&mut self, domain: Name, planner: DomainPlanner) -> bool {
        let known = self.planners.get(&domain);
        let new = known.is_none_or(|k| planner.revision > k.revision);
        if new {
            self.planner_released &= domain != self.domain;
            self.backoffs.remove(&planner.source.node);
            self.planners.insert(domain, planner);
        }
        new
    }

    /// Records that the planner of this failure domain released its lease, though it still answers.
    pub fn planner_released(&mut self, now: Millis, domain_size: u32, rng: &mut impl Rng) {
        self.planner_released = true;
        if self.claim_at.is_none() {
            self.claim_at = Some(now + self.claim_wait(domain_size, rng));
        }
    }

    /// Sets the standbys of this failure domain.
    pub fn set_standbys(&mut self, standbys: Vec<Source>) {
        self.standbys = standbys;
    }

    /// The planner of a failure domain.
    pub fn planner(&self, domain: &Name) -> Option<&DomainPlanner> {
        self.planners.get(domain)
    }

    /// The known planners of all failure domains.
    pub fn planners(&self) -> impl Iterator<Item = (&Name, &DomainPlanner)> {
        self.planners.iter()
    }

    /// Whether no planner is known, so that only seeds can be asked.
    pub fn knows_no_planner(&self) -> bool {
        self.planners.is_empty()
    }

    /// The standbys of this failure domain, in order.
    pub fn standbys(&self) -> &[Source] {
        &self.standbys
    }

    /// Rank of this node among the standbys.
    pub fn standby_rank(&self) -> Option<usize> {
        let rank = self.standbys.iter().position(|s| s.node == self.own);
        rank.filter(|_| on(Mechanism::Standbys))
    }

    /// The active source, if there is one.
    pub fn active(&self) -> Option<&Name> {
        self.active.as_ref()
    }
}

/// # Decisions
impl Sources {
    /// The source to poll now: the first one that is not skipped.
    ///
    /// A standby that can reach the store reads it before it polls another domain.
    pub fn next(&self, now: Millis, reachable: bool) -> Option<&Source> {
        self.next_besides(&[], now, reachable)
    }

    /// The same while polls of other nodes are pending.
    pub fn next_besides(&self, pending: &[Name], now: Millis, reachable: bool) -> Option<&Source> {
        let available = |s: &&Source| {
            s.node != self.own
                && !pending.contains(&s.node)
                && self.backoffs.get(&s.node).is_none_or(|r| now >= r.until)
        };
        let overdue = self.silent_since.is_none_or(|since| now >= since + REMOTE_SOURCES_AFTER_MS);
        let remote = overdue && !(reachable && self.standby_rank().is_some());
        self.local().chain(self.remote().filter(|_| remote)).find(available)
    }

    /// Whether a node is a source of this failure domain.
    pub fn is_local(&self, node: &Name) -> bool {
        self.local().any(|s| &s.node == node)
    }

    /// Records the result of polling a source; `domain_size` is the number of nodes in this failure
    /// domain.
    pub fn record_poll(
        &mut self,
        node: &Name,
        outcome: PollOutcome,
        now: Millis,
        domain_size: u32,
        rng: &mut impl Rng,
    ) {
        match outcome {
            PollOutcome::Fresh => {
                self.backoffs.remove(node);
                self.active = Some(node.clone());
                (self.silent_since, self.read_at) = (None, None);
                if self.is_local(node) && !self.planner_released {
                    self.claim_at = None;
                }
            }
            PollOutcome::Declined | PollOutcome::NoAnswer => {
                let backoff = self.backoff(node, outcome);
                self.backoffs
                    .insert(node.clone(), Backoff { until: now + backoff, delay: backoff });
            }
        }
        self.schedule(now, domain_size, rng);
    }

    /// Records that no source has sent data since `now`, or that none is left to poll.
    pub fn sources_exhausted(&mut self, now: Millis, domain_size: u32, rng: &mut impl Rng) {
        self.active = None;
        self.silent_since.get_or_insert(now);
        self.schedule(now, domain_size, rng);
    }

    /// Records that the store did not answer this node, and schedules its next attempt.
    pub fn store_unavailable(&mut self, now: Millis, domain_size: u32, rng: &mut impl Rng) {
        if self.read_at.is_some_and(|at| now >= at) {
            self.read_at = Some(now + read_wait(domain_size, rng));
        }
        if self.claim_at.is_some_and(|at| now >= at) {
            self.claim_at = Some(now + self.claim_wait(domain_size, rng));
        }
    }

    /// Schedules the first lookup in the store by a node that starts.
    ///
    /// When the whole fleet starts, one call by each node is most of the load on the store. A node
    /// on a small VM can avoid it: it waits until a larger one is the planner and a seed names it.
    pub fn schedule_first_lookup(&mut self, start: FleetStart, now: Millis, rng: &mut impl Rng) {
        let (delay, spread) = match start {
            FleetStart { can_plan: true, .. } => (0, 0),
            FleetStart { first_start: true, seeded: true, .. } => FIRST_LOOKUP_SEEDED_MS,
            FleetStart { first_start: true, seeded: false, .. } => FIRST_LOOKUP_MS,
            FleetStart { first_start: false, seeded: true, .. } => RESTART_LOOKUP_SEEDED_MS,
            FleetStart { first_start: false, seeded: false, .. } => (0, 0),
        };
        self.claim_at = Some(now + delay + rng.random_range(0..=spread));
    }

    /// Records that another node holds the planner's lease; that node is polled first.
    pub fn defer_claim(&mut self, now: Millis, domain_size: u32, rng: &mut impl Rng) {
        if self.claim_at.is_some() {
            self.claim_at = Some(now + self.claim_wait(domain_size, rng).max(SOURCE_GRACE_MS));
        }
    }

    /// Lets this node read the store until a source sends data.
    pub fn allow_reads(&mut self, now: Millis) {
        self.active = None;
        self.silent_since.get_or_insert(now);
        self.read_at = Some(now);
    }

    /// Whether a list that `node` proved at `proven` may replace one proven at `own`; `same` says
    /// that their contents are equal.
    ///
    /// The previous source may have had newer data, and an engine that has left would be listed
    /// again. A list with the same content is accepted at any age; otherwise a node that reads the
    /// store itself would never return to a source.
    pub fn accepts(&self, node: &Name, proven: Millis, own: Option<Millis>, same: bool) -> bool {
        same || self.active.as_ref() == Some(node)
            || own.is_none_or(|own| proven >= own)
            || !on(Mechanism::ListAge)
    }

    /// Whether this node may read the store; a planner always may.
    pub fn may_read(&self, now: Millis) -> bool {
        match self.active {
            Some(_) => false,
            None => self.standby_rank().is_some() || self.read_at.is_some_and(|at| now >= at),
        }
    }

    /// Whether this node may check if the lease of its planner is free.
    pub fn may_claim(&self, now: Millis) -> bool {
        self.claim_at.is_some_and(|at| now >= at)
    }

    /// Sources of this failure domain: the planner, then the standbys; a standby polls only those
    /// that precede it.
    fn local(&self) -> impl Iterator<Item = &Source> {
        let preceding = self.standby_rank().unwrap_or(self.standbys.len());
        let planner = self.planners.get(&self.domain).map(|p| &p.source);
        let standbys = self.standbys[..preceding].iter();
        planner
            .into_iter()
            .chain(standbys.filter(move |s| planner.is_none_or(|p| p.node != s.node)))
    }

    fn remote(&self) -> impl Iterator<Item = &Source> {
        self.planners.iter().filter(|(d, _)| **d != self.domain).map(|(_, p)| &p.source)
    }

    fn backoff(&self, node: &Name, outcome: PollOutcome) -> Millis {
        match (outcome, self.backoffs.get(node)) {
            (PollOutcome::NoAnswer, _) => NO_ANSWER_BACKOFF_MS,
            (_, None) => DECLINED_BACKOFF_MS.0,
            (_, Some(last)) => (last.delay * 2).clamp(DECLINED_BACKOFF_MS.0, DECLINED_BACKOFF_MS.1),
        }
    }

    /// Schedules the store read and the lease lookup that this node needs and has not scheduled
    /// yet.
    fn schedule(&mut self, now: Millis, domain_size: u32, rng: &mut impl Rng) {
        // The number of nodes that may read at the same time is smaller once this one is known to be isolated.
        let latest = now + SOURCE_GRACE_MS + READ_SLOT_MS * u64::from(domain_size.max(1));
        if self.active.is_none() && self.read_at.is_none_or(|at| at > latest) {
            self.read_at = Some(now + read_wait(domain_size, rng));
        }
        let local = self.active.as_ref().is_some_and(|t| self.is_local(t));
        if !local && self.claim_at.is_none() {
            self.claim_at = Some(now + self.claim_wait(domain_size, rng));
        }
    }

    fn claim_wait(&self, domain_size: u32, rng: &mut impl Rng) -> Millis {
        match self.standby_rank() {
            Some(rank) => CLAIM_STAGGER_MS * rank as Millis,
            None => read_wait(domain_size, rng),
        }
    }
}

/// Random wait before a node may read the store, so that reads of a failure domain are spread
/// evenly.
fn read_wait(domain_size: u32, rng: &mut impl Rng) -> Millis {
    if !on(Mechanism::RandomizedReads) {
        return SOURCE_GRACE_MS;
    }
    SOURCE_GRACE_MS + rng.random_range(0..=READ_SLOT_MS * u64::from(domain_size.max(1)))
}
