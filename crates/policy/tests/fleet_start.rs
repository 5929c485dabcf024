//! What a start of all nodes costs the store, and how soon each node is told.
//!
//! The load: every node of a fleet begins within 0.3 s, for the first time or after all were killed. Ten nodes of each of five
//! failure domains stand on VMs that can carry a planner's work; the others are as many as the fleet is large. Where each of
//! them looks at the store once, that is the largest part of a day's calls.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

use heathpitch_core::{Millis, Name, Revision};
use heathpitch_policy::{DomainPlanner, FleetStart, PollOutcome, Source, Sources};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const DOMAINS: usize = 5;
/// Nodes of a domain whose VM can carry a planner's work.
const ABLE: usize = 10;
/// Nodes that settings name as seeds.
const SEEDS: [usize; 3] = [3, 71, 142];
/// Time between two looks at all nodes, between two questions of one that nobody tells, and of a run, milliseconds.
const STEP: Millis = 20;
const ASK: Millis = 60;
const LENGTH: Millis = 12_000;
/// Time within which all nodes begin, and from a planner's lease until it knows what the store holds, milliseconds.
const SPREAD: Millis = 300;
const READ: Millis = 60;
/// Longest wait of an able node before it takes a free lease; others wait for this and twice as long, milliseconds.
const STAGGER: Millis = 200;
const SMALL: Millis = 250;

struct Node {
    domain: usize,
    able: bool,
    begins: Millis,
    sources: Sources,
    /// When it takes its domain's lease, if that is still free.
    contends: Option<Millis>,
    told: Option<Millis>,
    /// When it reads the store again, if it has to.
    reads: Millis,
}

struct Fleet {
    rng: SmallRng,
    nodes: Vec<Node>,
    seeds: Vec<usize>,
    /// Planners as the store holds them, and since when each plans; none while it begins anew.
    leases: [Option<(usize, u64)>; DOMAINS],
    plans: [Option<(usize, Millis)>; DOMAINS],
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
            let begins = rng.random_range(1..SPREAD);
            let able = i / DOMAINS < ABLE;
            let mut sources = Sources::new(source(i).node, domain(i % DOMAINS), begins);
            let seeded = seeded && !seeds.contains(&i);
            sources.schedule_first_lookup(
                FleetStart { first_start, able, seeded },
                begins,
                &mut rng,
            );
            let domain = i % DOMAINS;
            Node { domain, able, begins, sources, contends: None, told: None, reads: 0 }
        };
        let nodes: Vec<Node> = (0..nodes).map(node).collect();
        // After a kill of all, the leases of before have not ended yet.
        let lease = |d: usize| (!first_start).then_some((d, d as u64 + 1));
        let leases = std::array::from_fn(lease);
        Self { rng, nodes, seeds, leases, plans: [None; DOMAINS], revision: 9, calls: 0 }
    }

    /// Calls on the store, and the time until the last node was told.
    fn run(mut self) -> (usize, Millis) {
        for now in (1..LENGTH).step_by(STEP as usize) {
            for i in 0..self.nodes.len() {
                if now >= self.nodes[i].begins {
                    self.step(i, now);
                }
            }
        }
        let told = self.nodes.iter().map(|n| n.told.unwrap_or(Millis::MAX));
        (self.calls, told.max().unwrap_or(0))
    }

    fn step(&mut self, i: usize, now: Millis) {
        if self.planned_by(i) {
            self.nodes[i].told.get_or_insert(now);
            return;
        }
        if (now - self.nodes[i].begins) % ASK < STEP {
            self.ask(i, now);
        }
        if self.nodes[i].contends.is_some_and(|at| now >= at) {
            self.contend(i, now);
        } else if self.nodes[i].contends.is_none() && self.nodes[i].sources.may_claim(now) {
            self.look(i, now);
        }
        if self.nodes[i].sources.may_read(now) && now >= self.nodes[i].reads {
            self.calls += 3;
            self.nodes[i].told.get_or_insert(now);
            self.nodes[i].reads = now + 2_000;
        }
    }

    fn planned_by(&self, i: usize) -> bool {
        self.plans[self.nodes[i].domain].is_some_and(|(planner, _)| planner == i)
    }

    /// Asks a seed while it knows nobody, then one source after the other.
    fn ask(&mut self, i: usize, now: Millis) {
        if self.nodes[i].sources.knows_no_planner()
            && !self.seeds.contains(&i)
            && !self.seeds.is_empty()
        {
            let seed = self.seeds[self.rng.random_range(0..self.seeds.len())];
            self.hear_planners(i, seed, now);
        }
        while let Some(next) = self.nodes[i].sources.next(now, true).cloned() {
            let of = number(&next);
            self.hear_planners(i, of, now);
            let since =
                self.plans.iter().flatten().find(|(p, _)| *p == of).map(|(_, since)| *since);
            let tells = since.is_some_and(|since| now >= since + READ);
            let heard = if tells { PollOutcome::Fresh } else { PollOutcome::Declined };
            self.nodes[i].sources.record_poll(&next.node, heard, now, 16, &mut self.rng);
            if tells {
                self.nodes[i].told.get_or_insert(now);
                return;
            }
        }
        self.nodes[i].sources.sources_exhausted(now, 16, &mut self.rng);
    }

    fn hear_planners(&mut self, i: usize, of: usize, now: Millis) {
        if now < self.nodes[of].begins {
            return;
        }
        let known: Vec<_> =
            self.nodes[of].sources.planners().map(|(d, p)| (d.clone(), p.clone())).collect();
        for (domain, planner) in known {
            self.nodes[i].sources.learn_planner(domain, planner);
        }
    }

    /// Lists planners; waits for its turn where the lease is free, and leaves a planner that it finds time to tell.
    fn look(&mut self, i: usize, now: Millis) {
        self.calls += 1;
        self.list(i);
        let node = &mut self.nodes[i];
        match self.leases[node.domain] {
            Some((planner, _)) if planner == i => self.contend(i, now),
            Some(_) => node.sources.defer_claim(now, 16, &mut self.rng),
            None => {
                self.calls += 1;
                let wait = self.rng.random_range(1..STAGGER);
                node.contends = Some(now + if node.able { wait } else { SMALL + 2 * wait });
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

    /// Takes the lease of its domain if it is free, or its own of before.
    fn contend(&mut self, i: usize, now: Millis) {
        let d = self.nodes[i].domain;
        self.nodes[i].contends = None;
        if self.leases[d].is_none_or(|(planner, _)| planner == i) {
            self.calls += 5;
            self.revision += 1;
            self.leases[d] = Some((i, self.revision));
            self.plans[d] = Some((i, now));
        }
        self.list(i);
        // Planners watch each other's leases.
        for (planner, _) in self.plans.into_iter().flatten() {
            self.list(planner);
        }
        self.nodes[i].sources.defer_claim(now, 16, &mut self.rng);
    }
}

#[test]
fn calls_of_a_start_of_all_do_not_grow_with_nodes_on_small_vms() {
    for first_start in [true, false] {
        let mut at_largest = 0;
        for (nodes, seed) in [(22, 1), (300, 2), (985, 3), (1_970, 4)] {
            let (alone, _) = Fleet::new(nodes, false, first_start, seed).run();
            let (calls, told) = Fleet::new(nodes, true, first_start, seed).run();
            println!(
                "{nodes} nodes, first {first_start}: {calls} calls, {alone} without seeds, all told after {told} ms"
            );
            assert!(calls <= alone, "{nodes} nodes: {calls}, {alone} without seeds");
            assert!(told <= 3_000, "{nodes} nodes: told after {told} ms");
            assert!(calls <= 4 * DOMAINS * ABLE, "{nodes} nodes: {calls}");
            at_largest = calls;
        }
        assert!(at_largest < 1_970 / 4, "{at_largest}");
    }
}
