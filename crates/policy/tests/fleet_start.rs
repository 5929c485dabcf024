//! Load on the store when the whole fleet starts, and how soon each node has its data.
//!
//! Every node of a fleet starts within 0.3 s, for the first time or after all were killed. Ten
//! nodes of each of five failure domains run on VMs that are large enough for a planner; the number
//! of the others grows with the fleet. If each of those looked up the store once, that would be the
//! largest part of a day's calls.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

use heathpitch_core::{Millis, Name, Revision};
use heathpitch_policy::{DomainPlanner, FleetStart, PollOutcome, Source, Sources};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const DOMAINS: usize = 5;
/// Nodes of a domain whose VM is large enough for a planner.
const PLANNER_NODES: usize = 10;
/// Nodes that the settings name as seeds.
const SEEDS: [usize; 3] = [3, 71, 142];
/// Time step of the simulation.
const STEP_MS: Millis = 20;
/// Time between two polls by a node without a source.
const POLL_MS: Millis = 60;
/// Length of a run.
const RUN_MS: Millis = 12_000;
/// Time within which all nodes start.
const START_SPREAD_MS: Millis = 300;
/// Time from taking the lease until a planner has read the store.
const READ_MS: Millis = 60;
/// Longest random wait of a node that can run a planner before it takes a free lease.
const CLAIM_SPREAD_MS: Millis = 200;
/// Least wait of other nodes, to which up to twice `CLAIM_SPREAD_MS` is added.
const SMALL_VM_WAIT_MS: Millis = 250;

struct Node {
    domain: usize,
    can_plan: bool,
    starts: Millis,
    sources: Sources,
    /// When it takes its domain's lease, if that is still free.
    claims_at: Option<Millis>,
    updated: Option<Millis>,
    /// When it reads the store again, if it has to.
    reads_at: Millis,
}

struct Fleet {
    rng: SmallRng,
    nodes: Vec<Node>,
    seeds: Vec<usize>,
    /// Planners and their revisions, as stored.
    leases: [Option<(usize, u64)>; DOMAINS],
    /// Planners that run, and since when; `None` until one has taken or confirmed its lease.
    planners: [Option<(usize, Millis)>; DOMAINS],
    revision: u64,
    calls: usize,
}

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn source(node: usize) -> Source {
    Source { node: name(&format!("n{node}")), address: ([10, 0, 0, 1], node as u16).into() }
}

fn number(source: &Source) -> usize {
    usize::from(source.address.port())
}

fn domain(number: usize) -> Name {
    name(&format!("d{number}"))
}

impl Fleet {
    fn new(nodes: usize, seeded: bool, first_start: bool, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let seeds = if seeded { SEEDS.map(|s| s % nodes).to_vec() } else { Vec::new() };
        let node = |i: usize| {
            let starts = rng.random_range(1..START_SPREAD_MS);
            let can_plan = i / DOMAINS < PLANNER_NODES;
            let mut sources = Sources::new(source(i).node, domain(i % DOMAINS), starts);
            let seeded = seeded && !seeds.contains(&i);
            sources.schedule_first_lookup(
                FleetStart { first_start, can_plan, seeded },
                starts,
                &mut rng,
            );
            let domain = i % DOMAINS;
            Node { domain, can_plan, starts, sources, claims_at: None, updated: None, reads_at: 0 }
        };
        let nodes: Vec<Node> = (0..nodes).map(node).collect();
        // After all nodes were killed, their leases have not expired yet.
        let lease = |d: usize| (!first_start).then_some((d, d as u64 + 1));
        let leases = std::array::from_fn(lease);
        Self { rng, nodes, seeds, leases, planners: [None; DOMAINS], revision: 9, calls: 0 }
    }

    /// Number of store calls, and the time until the last node has data.
    fn run(mut self) -> (usize, Millis) {
        for now in (1..RUN_MS).step_by(STEP_MS as usize) {
            for i in 0..self.nodes.len() {
                if now >= self.nodes[i].starts {
                    self.step(i, now);
                }
            }
        }
        let updates = self.nodes.iter().map(|n| n.updated.unwrap_or(Millis::MAX));
        (self.calls, updates.max().unwrap_or(0))
    }

    fn step(&mut self, i: usize, now: Millis) {
        if self.is_planner(i) {
            self.nodes[i].updated.get_or_insert(now);
            return;
        }
        if (now - self.nodes[i].starts) % POLL_MS < STEP_MS {
            self.poll(i, now);
        }
        if self.nodes[i].claims_at.is_some_and(|at| now >= at) {
            self.claim(i, now);
        } else if self.nodes[i].claims_at.is_none() && self.nodes[i].sources.may_claim(now) {
            self.look_up(i, now);
        }
        if self.nodes[i].sources.may_read(now) && now >= self.nodes[i].reads_at {
            self.calls += 3;
            self.nodes[i].updated.get_or_insert(now);
            self.nodes[i].reads_at = now + 2_000;
        }
    }

    fn is_planner(&self, i: usize) -> bool {
        self.planners[self.nodes[i].domain].is_some_and(|(planner, _)| planner == i)
    }

    /// Asks a seed while no planner is known, then polls one source after the other.
    fn poll(&mut self, i: usize, now: Millis) {
        if self.nodes[i].sources.knows_no_planner()
            && !self.seeds.contains(&i)
            && !self.seeds.is_empty()
        {
            let seed = self.seeds[self.rng.random_range(0..self.seeds.len())];
            self.copy_planners(i, seed, now);
        }
        while let Some(next) = self.nodes[i].sources.next(now, true).cloned() {
            let of = number(&next);
            self.copy_planners(i, of, now);
            let since =
                self.planners.iter().flatten().find(|(p, _)| *p == of).map(|(_, since)| *since);
            let fresh = since.is_some_and(|since| now >= since + READ_MS);
            let outcome = if fresh { PollOutcome::Fresh } else { PollOutcome::Declined };
            self.nodes[i].sources.record_poll(&next.node, outcome, now, 16, &mut self.rng);
            if fresh {
                self.nodes[i].updated.get_or_insert(now);
                return;
            }
        }
        self.nodes[i].sources.sources_exhausted(now, 16, &mut self.rng);
    }

    fn copy_planners(&mut self, i: usize, of: usize, now: Millis) {
        if now < self.nodes[of].starts {
            return;
        }
        let known: Vec<_> =
            self.nodes[of].sources.planners().map(|(d, p)| (d.clone(), p.clone())).collect();
        for (domain, planner) in known {
            self.nodes[i].sources.learn_planner(domain, planner);
        }
    }

    /// Lists the planners. If the lease is free, schedules a claim; if another node holds it,
    /// defers the claim so that this planner can answer first.
    fn look_up(&mut self, i: usize, now: Millis) {
        self.calls += 1;
        self.list(i);
        let node = &mut self.nodes[i];
        match self.leases[node.domain] {
            Some((planner, _)) if planner == i => self.claim(i, now),
            Some(_) => node.sources.defer_claim(now, 16, &mut self.rng),
            None => {
                self.calls += 1;
                let wait = self.rng.random_range(1..CLAIM_SPREAD_MS);
                node.claims_at =
                    Some(now + if node.can_plan { wait } else { SMALL_VM_WAIT_MS + 2 * wait });
            }
        }
    }

    fn list(&mut self, i: usize) {
        for (d, lease) in self.leases.iter().enumerate() {
            if let Some((planner, revision)) = *lease {
                let planner =
                    DomainPlanner { source: source(planner), revision: Revision(revision) };
                self.nodes[i].sources.learn_planner(domain(d), planner);
            }
        }
    }

    /// Takes the lease of its domain if that is free or was its own.
    fn claim(&mut self, i: usize, now: Millis) {
        let d = self.nodes[i].domain;
        self.nodes[i].claims_at = None;
        if self.leases[d].is_none_or(|(planner, _)| planner == i) {
            self.calls += 5;
            self.revision += 1;
            self.leases[d] = Some((i, self.revision));
            self.planners[d] = Some((i, now));
        }
        self.list(i);
        // Planners watch each other's leases.
        for (planner, _) in self.planners.into_iter().flatten() {
            self.list(planner);
        }
        self.nodes[i].sources.defer_claim(now, 16, &mut self.rng);
    }
}

#[test]
fn store_calls_of_a_fleet_start_do_not_grow_with_nodes_on_small_vms() {
    for first_start in [true, false] {
        let mut at_largest = 0;
        for (nodes, seed) in [(22, 1), (300, 2), (985, 3), (1_970, 4)] {
            let (unseeded, _) = Fleet::new(nodes, false, first_start, seed).run();
            let (calls, last_update) = Fleet::new(nodes, true, first_start, seed).run();
            println!(
                "{nodes} nodes, first {first_start}: {calls} calls, {unseeded} without seeds, all updated after {last_update} ms"
            );
            assert!(calls <= unseeded, "{nodes} nodes: {calls}, {unseeded} without seeds");
            assert!(last_update <= 3_000, "{nodes} nodes: updated after {last_update} ms");
            assert!(calls <= 4 * DOMAINS * PLANNER_NODES, "{nodes} nodes: {calls}");
            at_largest = calls;
        }
        assert!(at_largest < 1_970 / 4, "{at_largest}");
    }
}
