//! Simulation of configuration: a store with outages and stale reads, operators, nodes and
//! partitions.

use heathpitch_core::Revision;
use heathpitch_policy::{Adoption, Replica};

use crate::run::{Entropy, RunStats};
use crate::violation::{Property, Violation};

const NODES: usize = 5;

#[derive(Debug, Default)]
struct Node {
    replica: Replica,
    partitioned: bool,
}

#[derive(Debug, Default)]
struct Cluster {
    nodes: Vec<Node>,
    history: Vec<(Revision, String)>,
    in_flight: Vec<(usize, Revision, String)>,
    revision: u64,
    store_unavailable: bool,
}

pub(crate) fn run(operations: &[u64], stats: &mut RunStats) -> Result<(), Violation> {
    let mut cluster =
        Cluster { nodes: (0..NODES).map(|_| Node::default()).collect(), ..Cluster::default() };
    for number in operations {
        stats.operations += 1;
        cluster.apply_operation(&mut Entropy::new(*number), stats)?;
    }
    cluster.heal_and_check()
}

impl Cluster {
    fn apply_operation(
        &mut self,
        entropy: &mut Entropy,
        stats: &mut RunStats,
    ) -> Result<(), Violation> {
        let kind = entropy.below(14);
        let node = entropy.below(NODES);
        let other = entropy.below(NODES);
        match kind {
            0 | 1 if !self.store_unavailable => self.write(stats),
            2 => {
                stats.fault("store unavailable");
                self.store_unavailable = true;
            }
            3 => self.store_unavailable = false,
            4 => {
                stats.fault("node partitioned");
                self.nodes[node].partitioned = true;
            }
            5 | 6 => self.nodes[node].partitioned = false,
            7 => {
                stats.fault("node replaced");
                self.nodes[node].replica = Replica::new();
            }
            // The store's response is created now and delivered later, so it may be stale.
            8 | 9 if !self.store_unavailable && !self.nodes[node].partitioned => {
                if let Some((revision, text)) = self.history.last().cloned() {
                    self.in_flight.push((node, revision, text));
                }
            }
            10 | 11 if !self.in_flight.is_empty() => {
                let at = entropy.below(self.in_flight.len());
                let (node, revision, text) = self.in_flight.swap_remove(at);
                if revision < self.nodes[node].replica.revision() {
                    stats.fault("stale read");
                }
                return self.offer(node, revision, &text, stats);
            }
            _ if !self.nodes[node].partitioned && !self.nodes[other].partitioned => {
                return self.exchange(node, other, stats);
            }
            _ => {}
        }
        Ok(())
    }

    fn write(&mut self, stats: &mut RunStats) {
        stats.event("stored");
        self.revision += 1;
        let model = format!(r#"{{"name":"m","version":"v{}","layers":4}}"#, self.revision);
        let text = format!(r#"{{"models":[{model}]}}"#);
        self.history.push((Revision(self.revision), text));
    }

    fn exchange(&mut self, a: usize, b: usize, stats: &mut RunStats) -> Result<(), Violation> {
        stats.event("exchange");
        let state = |n: &Node| (n.replica.revision(), n.replica.text().to_string());
        let ((revision_a, text_a), (revision_b, text_b)) =
            (state(&self.nodes[a]), state(&self.nodes[b]));
        match revision_a.cmp(&revision_b) {
            std::cmp::Ordering::Less => self.offer(a, revision_b, &text_b, stats),
            std::cmp::Ordering::Greater => self.offer(b, revision_a, &text_a, stats),
            std::cmp::Ordering::Equal => Ok(()),
        }
    }

    fn offer(
        &mut self,
        at: usize,
        revision: Revision,
        text: &str,
        stats: &mut RunStats,
    ) -> Result<(), Violation> {
        let replica = &mut self.nodes[at].replica;
        let before = replica.revision();
        if replica.offer(revision, text) == Adoption::Adopted {
            stats.event("adopted");
        }
        let after = replica.revision();
        Violation::unless(after >= before, Property::Config, || {
            format!("node {at} went from revision {before} to {after}")
        })?;
        let expected = self.history.iter().find(|(r, _)| *r == after).map(|(_, t)| t.as_str());
        let same = expected.is_none_or(|t| t == &*replica.text());
        Violation::unless(same, Property::Config, || {
            format!("node {at} has a text that differs from revision {after}")
        })
    }

    /// Heals every partition, then checks that all nodes reach the newest revision that any of them
    /// has.
    fn heal_and_check(&mut self) -> Result<(), Violation> {
        let newest = self.nodes.iter().map(|n| n.replica.revision()).max().unwrap_or_default();
        let mut stats = RunStats::default();
        self.nodes.iter_mut().for_each(|n| n.partitioned = false);
        for a in 0..NODES {
            for b in 0..NODES {
                self.exchange(a, b, &mut stats)?;
            }
        }
        for a in 0..NODES {
            self.exchange(0, a, &mut stats)?;
        }
        let behind = self.nodes.iter().position(|n| n.replica.revision() < newest);
        Violation::unless(behind.is_none(), Property::Config, || {
            format!("node {behind:?} did not reach revision {newest}")
        })
    }
}
