//! World of what nodes tell each other instead of the store: deaths, restarts of all, freezes, suspended VMs,
//! cuts of links and of failure domains, a store that is away or turns nodes away.
//!
//! Nodes also tell each other of engines that ended, both ways, whether or not they hear from the store.
//!
//! Checked at every step: whatever a node takes for proven was so, its list never goes back within a life,
//! and nodes without a duty leave the store alone but for their turns. Checked at the end: with everything
//! healed only planners read; an end is known to all within the time after which nodes count as in touch, also
//! where the planner that would tell it has just died; and a domain whose planner dies is told by its standbys, in time and without
//! a call by anyone else.

mod exits;
mod node;

use std::collections::BTreeMap;

use heathpitch_core::{Millis, Name, Revision};
use heathpitch_policy::{DomainPlanner, PollOutcome};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::run::{Entropy, RunStats};
use crate::violation::{Property, Violation};
use node::{Node, domain, index, name, node, source};

const DOMAINS: usize = 3;
/// Nodes of a failure domain.
const BESIDE: usize = 6;
/// Nodes of the world.
const NODES: usize = DOMAINS * BESIDE;
/// Moment at which the world begins, milliseconds: later than all suspensions of a run together.
const START: Millis = 1 << 40;
/// Time of one step.
const STEP: Millis = 50;
/// Time between two questions of a node that is told, and of one that is not.
const ASK: (Millis, Millis) = (400, 60);
/// Time between two reads, and after one that failed.
const READ: (Millis, Millis) = (600, 1_200);
/// Age beyond which nothing is told.
const OLD: Millis = 1_500;
/// Age up to which everyone knows the store once standbys have taken over.
const YOUNG_MS: Millis = 2_000;
/// Time between two questions of a planner to those of other domains.
const ASK_NEAR: Millis = 250;
/// Lease of a planner.
const LEASE: Millis = 2_400;
/// Turns a second that the nodes of a domain take together, and turns beyond that rate.
const TURNS: (f64, f64) = (4.0, 16.0);

#[derive(Clone, Copy, Debug)]
struct Lease {
    node: usize,
    until: Millis,
    revision: u64,
}

#[derive(Debug)]
struct World {
    nodes: Vec<Node>,
    /// When each version of the list was written.
    written: Vec<Millis>,
    leases: BTreeMap<usize, Lease>,
    revision: u64,
    /// Whether a domain is cut off from the others.
    apart: [bool; DOMAINS],
    /// Whether the store answers a node.
    serves: [bool; NODES],
    turns: [f64; DOMAINS],
    now: Millis,
    /// Engines that ended so far.
    ended: u64,
    rng: SmallRng,
}

pub(crate) fn run(operations: &[u64], stats: &mut RunStats) -> Result<(), Violation> {
    let seed = operations.first().copied().unwrap_or_default();
    let mut world = World {
        nodes: (0..NODES).map(|i| node(i, START)).collect(),
        written: vec![START],
        leases: BTreeMap::new(),
        revision: 1,
        apart: [false; DOMAINS],
        serves: [true; NODES],
        turns: [0.0; DOMAINS],
        now: START,
        ended: 0,
        rng: SmallRng::seed_from_u64(seed),
    };
    for number in operations {
        stats.operations += 1;
        world.operate(&mut Entropy::new(*number), stats)?;
    }
    world.settle(stats)
}

/// # Faults
impl World {
    fn operate(&mut self, entropy: &mut Entropy, stats: &mut RunStats) -> Result<(), Violation> {
        let kind = entropy.below(60);
        let at = entropy.below(NODES);
        match kind {
            0 => {
                stats.fault("node killed");
                self.nodes[at].alive = false;
            }
            1 | 2 if !self.nodes[at].alive => {
                stats.event("node restarted");
                self.nodes[at] = node(at, self.now);
            }
            3 if entropy.below(8) == 0 => {
                stats.fault("all restarted");
                (0..NODES).for_each(|i| self.nodes[i] = node(i, self.now));
            }
            4 => {
                stats.fault("node stands still");
                self.nodes[at].frozen = self.now + 200 + 100 * entropy.below(20) as Millis;
            }
            20 => {
                stats.fault("VM suspended");
                let time = 200 + 100 * entropy.below(100) as Millis;
                let node = &mut self.nodes[at];
                (node.frozen, node.suspended) = (self.now + time, node.suspended + time);
            }
            5 => {
                stats.fault("failure domain cut off");
                self.apart[at / BESIDE] = true;
            }
            6 => self.apart[at / BESIDE] = false,
            7 => {
                stats.fault("store turns a node away");
                self.serves[at] = false;
            }
            8 => self.serves[at] = true,
            9 if entropy.below(3) == 0 => {
                stats.fault("store away");
                self.serves = [false; NODES];
            }
            10 | 11 => self.serves = [true; NODES],
            21..=23 if self.nodes[at].alive => {
                stats.event("engine ended");
                self.end_engine(at, entropy.below(4) as u64);
            }
            // After the reads of this moment.
            12..=19 => self.written.push(self.now + 1),
            _ => {}
        }
        self.pass(1 + entropy.below(8), stats)
    }
}

/// # Time
impl World {
    fn pass(&mut self, steps: usize, stats: &mut RunStats) -> Result<(), Violation> {
        for _ in 0..steps {
            self.now += STEP;
            self.leases.retain(|_, l| self.now < l.until);
            for turns in &mut self.turns {
                *turns = (*turns - TURNS.0 * STEP as f64 / 1e3).max(0.0);
            }
            for i in 0..NODES {
                if self.nodes[i].alive && self.now >= self.nodes[i].frozen {
                    self.act(i, stats)?;
                }
            }
        }
        Ok(())
    }

    fn act(&mut self, i: usize, stats: &mut RunStats) -> Result<(), Violation> {
        if self.now >= self.nodes[i].next_ask {
            self.round(i, stats)?;
            let told = self.nodes[i].sources.active().is_some();
            self.nodes[i].next_ask = self.now + if told { ASK.0 } else { ASK.1 };
        }
        let asks = self.nodes[i].plans || self.nodes[i].sources.may_read(self.now);
        if asks && self.now >= self.nodes[i].next_near {
            self.ask_near(i);
            self.nodes[i].next_near = self.now + ASK_NEAR;
        }
        let node = &self.nodes[i];
        let fed = node.sources.active().is_some();
        let reads = !fed && (node.plans || node.sources.may_read(self.now));
        let due = self.now >= node.next_read;
        if reads && due {
            self.read(i, stats)?;
        }
        let claims = self.nodes[i].plans || self.nodes[i].sources.may_claim(self.now);
        if claims && due {
            self.claim(i);
        }
        Ok(())
    }

    /// Asks one source after the other until one tells.
    fn round(&mut self, i: usize, stats: &mut RunStats) -> Result<(), Violation> {
        let (now, beside) = (self.now, BESIDE as u32);
        loop {
            let node = &self.nodes[i];
            if node.plans && node.reachable {
                break;
            }
            let Some(next) = node.sources.next(now, node.reachable).cloned() else { break };
            let Some(j) = index(&next) else { break };
            let heard = self.hear(i, j, stats)?;
            self.nodes[i].sources.record_poll(&next.node, heard, now, beside, &mut self.rng);
            if heard == PollOutcome::Fresh {
                return Ok(());
            }
        }
        self.nodes[i].sources.sources_exhausted(now, beside, &mut self.rng);
        Ok(())
    }

    /// Whether a node gets an answer of another one.
    fn answers(&self, i: usize, j: usize) -> bool {
        let (from, to) = (i / BESIDE, j / BESIDE);
        let apart = from != to && (self.apart[from] || self.apart[to]);
        !apart && self.nodes[j].alive && self.now >= self.nodes[j].frozen
    }

    fn hear(&mut self, i: usize, j: usize, stats: &mut RunStats) -> Result<PollOutcome, Violation> {
        if !self.answers(i, j) {
            stats.fault("no answer");
            return Ok(PollOutcome::NoAnswer);
        }
        self.tell_ends(i, j);
        self.tell_ends(j, i);
        let now = self.now;
        self.nodes[j].followers.record_poll(source(i), true, now);
        if self.nodes[j].plans {
            let standbys = self.nodes[j].followers.standbys(now);
            self.nodes[j].sources.set_standbys(standbys);
        }
        let planners: Vec<(Name, DomainPlanner)> =
            self.nodes[j].sources.planners().map(|(d, p)| (d.clone(), p.clone())).collect();
        for (domain, planner) in planners {
            self.meet(i, domain, planner);
        }
        if self.nodes[i].sources.is_local(&name(j)) {
            let standbys = self.nodes[j].sources.standbys().to_vec();
            self.nodes[i].sources.set_standbys(standbys);
        }
        let told = self.nodes[j].known(now).filter(|(_, age)| *age < OLD);
        let Some((version, age)) = told else { return Ok(PollOutcome::Declined) };
        let (proven, node) = (now - age, &self.nodes[i]);
        let same = node.list.is_some_and(|(v, _)| v == version);
        let own = node.list.map(|(_, at)| at);
        if !node.sources.accepts(&name(j), node.clock(now) - age, own, same) {
            return Ok(PollOutcome::Declined);
        }
        stats.event("told");
        self.take(i, version, proven)?;
        Ok(PollOutcome::Fresh)
    }

    fn meet(&mut self, i: usize, of: Name, planner: DomainPlanner) {
        let other = of == domain(i) && planner.source.node != name(i);
        if self.nodes[i].sources.learn_planner(of, planner) && other {
            self.nodes[i].plans = false;
        }
    }

    fn read(&mut self, i: usize, stats: &mut RunStats) -> Result<(), Violation> {
        let duty = self.nodes[i].plans || self.nodes[i].sources.standby_rank().is_some();
        if !duty {
            stats.event("turn");
            let turns = &mut self.turns[i / BESIDE];
            *turns += 1.0;
            Violation::unless(*turns <= TURNS.1, Property::Feed, || {
                format!("{turns} turns beyond their rate in the domain of node {i}")
            })?;
        }
        self.nodes[i].reachable = self.serves[i];
        let pause = if self.serves[i] { READ.0 } else { READ.1 };
        self.nodes[i].next_read = self.now + pause;
        match self.serves[i] {
            true => self.take(i, self.written.len() - 1, self.now),
            false => {
                stats.fault("store silent");
                self.nodes[i].sources.store_unavailable(self.now, BESIDE as u32, &mut self.rng);
                Ok(())
            }
        }
    }

    /// Looks for the planner's lease, or renews it.
    fn claim(&mut self, i: usize) {
        if !self.serves[i] {
            return;
        }
        let key = i / BESIDE;
        let until = self.now + LEASE;
        match self.leases.get_mut(&key) {
            Some(lease) if lease.node == i && self.nodes[i].plans => lease.until = until,
            Some(lease) if lease.node != i => {
                let (j, revision) = (lease.node, lease.revision);
                let planner = DomainPlanner { source: source(j), revision: Revision(revision) };
                self.meet(i, domain(i), planner);
                self.nodes[i].sources.defer_claim(self.now, BESIDE as u32, &mut self.rng);
            }
            _ => {
                self.revision += 1;
                let revision = self.revision;
                self.leases.insert(key, Lease { node: i, until, revision });
                let planner = DomainPlanner { source: source(i), revision: Revision(revision) };
                self.nodes[i].sources.learn_planner(domain(i), planner);
                self.nodes[i].plans = true;
            }
        }
        if self.nodes[i].plans {
            self.watch_planners(i);
        }
    }

    /// A planner knows those of all domains.
    fn watch_planners(&mut self, i: usize) {
        for lease in self.leases.values().copied().collect::<Vec<_>>() {
            let revision = Revision(lease.revision);
            let planner = DomainPlanner { source: source(lease.node), revision };
            self.meet(i, domain(lease.node), planner);
        }
    }

    /// Takes a list, and checks it against what the store held.
    fn take(&mut self, i: usize, version: usize, proven: Millis) -> Result<(), Violation> {
        let newest = self.written.iter().rposition(|at| *at <= proven).unwrap_or(0);
        Violation::unless(version >= newest, Property::Feed, || {
            format!("node {i} takes version {version} for the newest at {proven}, but {newest} was")
        })?;
        let known = self.nodes[i].list;
        Violation::unless(known.is_none_or(|(v, _)| v <= version), Property::Feed, || {
            format!("node {i} goes back from {known:?} to version {version}")
        })?;
        let at = self.nodes[i].clock(self.now) - (self.now - proven);
        self.nodes[i].list = Some((version, known.map_or(at, |(_, known)| known.max(at))));
        Ok(())
    }
}

/// # End
impl World {
    fn settle(&mut self, stats: &mut RunStats) -> Result<(), Violation> {
        (self.apart, self.serves) = ([false; DOMAINS], [true; NODES]);
        for i in 0..NODES {
            match self.nodes[i].alive {
                true => self.nodes[i].frozen = 0,
                false => self.nodes[i] = node(i, self.now),
            }
        }
        self.pass(200, stats)?;
        self.all_young("with everything healed")?;
        self.ends_are_known(stats)?;
        for key in 0..DOMAINS {
            let planners = (key * BESIDE..(key + 1) * BESIDE).filter(|i| self.nodes[*i].plans);
            let planners: Vec<usize> = planners.collect();
            Violation::unless(planners.len() == 1, Property::Feed, || {
                format!("nodes {planners:?} plan domain {key}")
            })?;
            // Domains are cut off from each other and lose their planners.
            self.nodes[planners[0]].alive = false;
        }
        (self.apart, self.turns) = ([true; DOMAINS], [0.0; DOMAINS]);
        let turns = stats.events.get("turn").copied();
        for _ in 0..60 {
            self.pass(1, stats)?;
            self.all_young("after the planners' deaths")?;
        }
        Violation::unless(stats.events.get("turn").copied() == turns, Property::Feed, || {
            "nodes without a duty went to the store".to_owned()
        })
    }

    fn all_young(&self, when: &str) -> Result<(), Violation> {
        for (i, node) in self.nodes.iter().enumerate().filter(|(_, n)| n.alive) {
            let age = node.known(self.now).map(|(_, age)| age);
            Violation::unless(age.is_some_and(|age| age <= YOUNG_MS), Property::Feed, || {
                format!("node {i} knows what held {age:?} ms ago, {when}")
            })?;
        }
        Ok(())
    }
}
