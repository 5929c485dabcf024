//! Simulation of the feed, which relays content of the store between nodes: crashes, restarts of
//! all nodes, freezes, suspended VMs, partitions of failure domains, and a store that is unavailable
//! or refuses nodes.
//!
//! Nodes also exchange engine exits, in both directions, whether or not they get data of the store.
//!
//! Checked at every step: a list that a node accepts was the newest one at the time of its proof, a
//! node never goes back to an older list within an incarnation, and nodes that are neither planner
//! nor standby read the store only at their limited rate. Checked at the end, with every fault
//! healed: each domain has one planner; an exit reaches every node in time, also if the planner that
//! would relay it has just crashed; and if every planner crashes while the domains are partitioned,
//! standbys keep their domains fresh and no other node reads the store.

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
const DOMAIN_SIZE: usize = 6;
/// Nodes of the cluster.
const NODES: usize = DOMAINS * DOMAIN_SIZE;
/// Start time of a run, greater than the sum of all suspensions in it.
const START_MS: Millis = 1 << 40;
/// Duration of one step.
const STEP_MS: Millis = 50;
/// Poll interval of a node with an active source, and of one without.
const POLL_INTERVAL_MS: (Millis, Millis) = (400, 60);
/// Time between two reads of the store, after a successful one and after a failed one.
const READ_INTERVAL_MS: (Millis, Millis) = (600, 1_200);
/// Age from which a list is not relayed.
const MAX_RELAY_AGE_MS: Millis = 1_500;
/// Maximum age of every node's list after standbys have taken over.
const MAX_LIST_AGE_MS: Millis = 2_000;
/// Interval at which planners and standbys poll the planners of other domains.
const REMOTE_POLL_INTERVAL_MS: Millis = 250;
/// Duration of a planner's lease.
const LEASE_MS: Millis = 2_400;
/// Reads per second that the other nodes of a domain make together, and burst beyond that rate.
const READ_RATE: (f64, f64) = (4.0, 16.0);

#[derive(Clone, Copy, Debug)]
struct Lease {
    node: usize,
    until: Millis,
    revision: u64,
}

#[derive(Debug)]
struct Cluster {
    nodes: Vec<Node>,
    /// When each version of the list was written.
    written: Vec<Millis>,
    leases: BTreeMap<usize, Lease>,
    revision: u64,
    /// Whether a domain is partitioned from the others.
    partitioned: [bool; DOMAINS],
    /// Whether the store responds to a node.
    store_reachable: [bool; NODES],
    /// Reads of a domain beyond the allowed rate.
    excess_reads: [f64; DOMAINS],
    now: Millis,
    /// Engines that have exited.
    exits: u64,
    rng: SmallRng,
}

pub(crate) fn run(operations: &[u64], stats: &mut RunStats) -> Result<(), Violation> {
    let seed = operations.first().copied().unwrap_or_default();
    let mut cluster = Cluster {
        nodes: (0..NODES).map(|i| node(i, START_MS)).collect(),
        written: vec![START_MS],
        leases: BTreeMap::new(),
        revision: 1,
        partitioned: [false; DOMAINS],
        store_reachable: [true; NODES],
        excess_reads: [0.0; DOMAINS],
        now: START_MS,
        exits: 0,
        rng: SmallRng::seed_from_u64(seed),
    };
    for number in operations {
        stats.operations += 1;
        cluster.apply_operation(&mut Entropy::new(*number), stats)?;
    }
    cluster.heal_and_check(stats)
}

/// # Faults
impl Cluster {
    fn apply_operation(
        &mut self,
        entropy: &mut Entropy,
        stats: &mut RunStats,
    ) -> Result<(), Violation> {
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
                stats.fault("all nodes restarted");
                (0..NODES).for_each(|i| self.nodes[i] = node(i, self.now));
            }
            4 => {
                stats.fault("node frozen");
                self.nodes[at].frozen_until = self.now + 200 + 100 * entropy.below(20) as Millis;
            }
            20 => {
                stats.fault("VM suspended");
                let time = 200 + 100 * entropy.below(100) as Millis;
                let node = &mut self.nodes[at];
                (node.frozen_until, node.suspended) = (self.now + time, node.suspended + time);
            }
            5 => {
                stats.fault("failure domain partitioned");
                self.partitioned[at / DOMAIN_SIZE] = true;
            }
            6 => self.partitioned[at / DOMAIN_SIZE] = false,
            7 => {
                stats.fault("store refuses a node");
                self.store_reachable[at] = false;
            }
            8 => self.store_reachable[at] = true,
            9 if entropy.below(3) == 0 => {
                stats.fault("store unavailable");
                self.store_reachable = [false; NODES];
            }
            10 | 11 => self.store_reachable = [true; NODES],
            21..=23 if self.nodes[at].alive => {
                stats.event("engine exited");
                self.exit_engine(at, entropy.below(4) as u64);
            }
            // Written after the reads of the current step.
            12..=19 => self.written.push(self.now + 1),
            _ => {}
        }
        self.advance(1 + entropy.below(8), stats)
    }
}

/// # Progress
impl Cluster {
    fn advance(&mut self, steps: usize, stats: &mut RunStats) -> Result<(), Violation> {
        for _ in 0..steps {
            self.now += STEP_MS;
            self.leases.retain(|_, l| self.now < l.until);
            for reads in &mut self.excess_reads {
                *reads = (*reads - READ_RATE.0 * STEP_MS as f64 / 1e3).max(0.0);
            }
            for i in 0..NODES {
                if self.nodes[i].alive && self.now >= self.nodes[i].frozen_until {
                    self.run_node(i, stats)?;
                }
            }
        }
        Ok(())
    }

    fn run_node(&mut self, i: usize, stats: &mut RunStats) -> Result<(), Violation> {
        if self.now >= self.nodes[i].next_poll {
            self.poll_sources(i, stats)?;
            let has_source = self.nodes[i].sources.active().is_some();
            self.nodes[i].next_poll =
                self.now + if has_source { POLL_INTERVAL_MS.0 } else { POLL_INTERVAL_MS.1 };
        }
        let polls_remote = self.nodes[i].is_planner || self.nodes[i].sources.may_read(self.now);
        if polls_remote && self.now >= self.nodes[i].next_remote_poll {
            self.poll_remote_planners(i);
            self.nodes[i].next_remote_poll = self.now + REMOTE_POLL_INTERVAL_MS;
        }
        let node = &self.nodes[i];
        let has_source = node.sources.active().is_some();
        let reads = !has_source && (node.is_planner || node.sources.may_read(self.now));
        let due = self.now >= node.next_read;
        if reads && due {
            self.read(i, stats)?;
        }
        let claims = self.nodes[i].is_planner || self.nodes[i].sources.may_claim(self.now);
        if claims && due {
            self.claim(i);
        }
        Ok(())
    }

    /// Polls the sources in order until one returns fresh data.
    fn poll_sources(&mut self, i: usize, stats: &mut RunStats) -> Result<(), Violation> {
        let (now, domain_size) = (self.now, DOMAIN_SIZE as u32);
        loop {
            let node = &self.nodes[i];
            if node.is_planner && node.last_read_ok {
                break;
            }
            let Some(next) = node.sources.next(now, node.last_read_ok).cloned() else { break };
            let Some(j) = index(&next) else { break };
            let outcome = self.poll(i, j, stats)?;
            self.nodes[i].sources.record_poll(&next.node, outcome, now, domain_size, &mut self.rng);
            if outcome == PollOutcome::Fresh {
                return Ok(());
            }
        }
        self.nodes[i].sources.sources_exhausted(now, domain_size, &mut self.rng);
        Ok(())
    }

    /// Whether node `j` responds to node `i`.
    fn responds(&self, i: usize, j: usize) -> bool {
        let (from, to) = (i / DOMAIN_SIZE, j / DOMAIN_SIZE);
        let unreachable = from != to && (self.partitioned[from] || self.partitioned[to]);
        !unreachable && self.nodes[j].alive && self.now >= self.nodes[j].frozen_until
    }

    fn poll(&mut self, i: usize, j: usize, stats: &mut RunStats) -> Result<PollOutcome, Violation> {
        if !self.responds(i, j) {
            stats.fault("no response");
            return Ok(PollOutcome::NoAnswer);
        }
        self.send_exits(i, j);
        self.send_exits(j, i);
        let now = self.now;
        self.nodes[j].followers.record_poll(source(i), true, now);
        if self.nodes[j].is_planner {
            let standbys = self.nodes[j].followers.standbys(now);
            self.nodes[j].sources.set_standbys(standbys);
        }
        let planners: Vec<(Name, DomainPlanner)> =
            self.nodes[j].sources.planners().map(|(d, p)| (d.clone(), p.clone())).collect();
        for (domain, planner) in planners {
            self.learn_planner(i, domain, planner);
        }
        if self.nodes[i].sources.is_local(&name(j)) {
            let standbys = self.nodes[j].sources.standbys().to_vec();
            self.nodes[i].sources.set_standbys(standbys);
        }
        let relayed = self.nodes[j].known(now).filter(|(_, age)| *age < MAX_RELAY_AGE_MS);
        let Some((version, age)) = relayed else { return Ok(PollOutcome::Declined) };
        let (proven, node) = (now - age, &self.nodes[i]);
        let same = node.list.is_some_and(|(v, _)| v == version);
        let own = node.list.map(|(_, at)| at);
        if !node.sources.accepts(&name(j), node.clock(now) - age, own, same) {
            return Ok(PollOutcome::Declined);
        }
        stats.event("told");
        self.accept_list(i, version, proven)?;
        Ok(PollOutcome::Fresh)
    }

    fn learn_planner(&mut self, i: usize, of_domain: Name, planner: DomainPlanner) {
        let other_planner = of_domain == domain(i) && planner.source.node != name(i);
        if self.nodes[i].sources.learn_planner(of_domain, planner) && other_planner {
            self.nodes[i].is_planner = false;
        }
    }

    fn read(&mut self, i: usize, stats: &mut RunStats) -> Result<(), Violation> {
        let reads_by_role =
            self.nodes[i].is_planner || self.nodes[i].sources.standby_rank().is_some();
        if !reads_by_role {
            stats.event("turn");
            let reads = &mut self.excess_reads[i / DOMAIN_SIZE];
            *reads += 1.0;
            Violation::unless(*reads <= READ_RATE.1, Property::Feed, || {
                format!("{reads} reads beyond the allowed rate in the domain of node {i}")
            })?;
        }
        self.nodes[i].last_read_ok = self.store_reachable[i];
        let pause = if self.store_reachable[i] { READ_INTERVAL_MS.0 } else { READ_INTERVAL_MS.1 };
        self.nodes[i].next_read = self.now + pause;
        match self.store_reachable[i] {
            true => self.accept_list(i, self.written.len() - 1, self.now),
            false => {
                stats.fault("store did not respond");
                self.nodes[i].sources.store_unavailable(
                    self.now,
                    DOMAIN_SIZE as u32,
                    &mut self.rng,
                );
                Ok(())
            }
        }
    }

    /// Claims a free planner's lease, or renews the own one.
    fn claim(&mut self, i: usize) {
        if !self.store_reachable[i] {
            return;
        }
        let domain_index = i / DOMAIN_SIZE;
        let until = self.now + LEASE_MS;
        match self.leases.get_mut(&domain_index) {
            Some(lease) if lease.node == i && self.nodes[i].is_planner => lease.until = until,
            Some(lease) if lease.node != i => {
                let (j, revision) = (lease.node, lease.revision);
                let planner = DomainPlanner { source: source(j), revision: Revision(revision) };
                self.learn_planner(i, domain(i), planner);
                self.nodes[i].sources.defer_claim(self.now, DOMAIN_SIZE as u32, &mut self.rng);
            }
            _ => {
                self.revision += 1;
                let revision = self.revision;
                self.leases.insert(domain_index, Lease { node: i, until, revision });
                let planner = DomainPlanner { source: source(i), revision: Revision(revision) };
                self.nodes[i].sources.learn_planner(domain(i), planner);
                self.nodes[i].is_planner = true;
            }
        }
        if self.nodes[i].is_planner {
            self.watch_planners(i);
        }
    }

    /// Gives a planner the current planners of all domains.
    fn watch_planners(&mut self, i: usize) {
        for lease in self.leases.values().copied().collect::<Vec<_>>() {
            let revision = Revision(lease.revision);
            let planner = DomainPlanner { source: source(lease.node), revision };
            self.learn_planner(i, domain(lease.node), planner);
        }
    }

    /// Accepts a list after checking it against the history of the store.
    fn accept_list(&mut self, i: usize, version: usize, proven: Millis) -> Result<(), Violation> {
        let newest = self.written.iter().rposition(|at| *at <= proven).unwrap_or(0);
        Violation::unless(version >= newest, Property::Feed, || {
            format!(
                "node {i} accepted version {version} as the newest at {proven}, but it was {newest}"
            )
        })?;
        let known = self.nodes[i].list;
        Violation::unless(known.is_none_or(|(v, _)| v <= version), Property::Feed, || {
            format!("node {i} went back from {known:?} to version {version}")
        })?;
        let at = self.nodes[i].clock(self.now) - (self.now - proven);
        self.nodes[i].list = Some((version, known.map_or(at, |(_, known)| known.max(at))));
        Ok(())
    }
}

/// # Final checks
impl Cluster {
    fn heal_and_check(&mut self, stats: &mut RunStats) -> Result<(), Violation> {
        (self.partitioned, self.store_reachable) = ([false; DOMAINS], [true; NODES]);
        for i in 0..NODES {
            match self.nodes[i].alive {
                true => self.nodes[i].frozen_until = 0,
                false => self.nodes[i] = node(i, self.now),
            }
        }
        self.advance(200, stats)?;
        self.check_list_ages("after all faults have healed")?;
        self.check_exits(stats)?;
        for domain_index in 0..DOMAINS {
            let planners = (domain_index * DOMAIN_SIZE..(domain_index + 1) * DOMAIN_SIZE)
                .filter(|i| self.nodes[*i].is_planner);
            let planners: Vec<usize> = planners.collect();
            Violation::unless(planners.len() == 1, Property::Feed, || {
                format!("domain {domain_index} has planners {planners:?} instead of one")
            })?;
            // All domains are partitioned from each other and lose their planners.
            self.nodes[planners[0]].alive = false;
        }
        (self.partitioned, self.excess_reads) = ([true; DOMAINS], [0.0; DOMAINS]);
        let reads = stats.events.get("turn").copied();
        for _ in 0..60 {
            self.advance(1, stats)?;
            self.check_list_ages("after the planners have crashed")?;
        }
        Violation::unless(stats.events.get("turn").copied() == reads, Property::Feed, || {
            "nodes that are neither planner nor standby read the store".to_owned()
        })
    }

    fn check_list_ages(&self, when: &str) -> Result<(), Violation> {
        for (i, node) in self.nodes.iter().enumerate().filter(|(_, n)| n.alive) {
            let age = node.known(self.now).map(|(_, age)| age);
            Violation::unless(
                age.is_some_and(|age| age <= MAX_LIST_AGE_MS),
                Property::Feed,
                || format!("node {i} has a list of age {age:?} ms {when}"),
            )?;
        }
        Ok(())
    }
}
