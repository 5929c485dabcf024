//! World of configuration: a store with outages and stale reads, operators, nodes and cuts.

use heathpitch_core::Revision;
use heathpitch_policy::{Adoption, Replica};

use crate::run::{Entropy, RunStats};
use crate::violation::{Property, Violation};

const NODES: usize = 5;

#[derive(Debug, Default)]
struct Node {
    replica: Replica,
    cut: bool,
}

#[derive(Debug, Default)]
struct Config {
    nodes: Vec<Node>,
    history: Vec<(Revision, String)>,
    letters: Vec<(usize, Revision, String)>,
    revision: u64,
    down: bool,
}

pub(crate) fn run(operations: &[u64], stats: &mut RunStats) -> Result<(), Violation> {
    let mut world =
        Config { nodes: (0..NODES).map(|_| Node::default()).collect(), ..Config::default() };
    for number in operations {
        stats.operations += 1;
        world.operate(&mut Entropy::new(*number), stats)?;
    }
    world.settle()
}

impl Config {
    fn operate(&mut self, entropy: &mut Entropy, stats: &mut RunStats) -> Result<(), Violation> {
        let kind = entropy.below(14);
        let node = entropy.below(NODES);
        let other = entropy.below(NODES);
        match kind {
            0 | 1 if !self.down => self.write(stats),
            2 => {
                stats.fault("store down");
                self.down = true;
            }
            3 => self.down = false,
            4 => {
                stats.fault("node cut off");
                self.nodes[node].cut = true;
            }
            5 | 6 => self.nodes[node].cut = false,
            7 => {
                stats.fault("node replaced");
                self.nodes[node].replica = Replica::new();
            }
            // An answer of the store is made now and read whenever it arrives: it may be stale.
            8 | 9 if !self.down && !self.nodes[node].cut => {
                if let Some((revision, text)) = self.history.last().cloned() {
                    self.letters.push((node, revision, text));
                }
            }
            10 | 11 if !self.letters.is_empty() => {
                let at = entropy.below(self.letters.len());
                let (node, revision, text) = self.letters.swap_remove(at);
                if revision < self.nodes[node].replica.revision() {
                    stats.fault("stale read");
                }
                return self.offer(node, revision, &text, stats);
            }
            _ if !self.nodes[node].cut && !self.nodes[other].cut => {
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
        let of = |n: &Node| (n.replica.revision(), n.replica.text().to_string());
        let ((one, text), (two, other)) = (of(&self.nodes[a]), of(&self.nodes[b]));
        match one.cmp(&two) {
            std::cmp::Ordering::Less => self.offer(a, two, &other, stats),
            std::cmp::Ordering::Greater => self.offer(b, one, &text, stats),
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
        let right = self.history.iter().find(|(r, _)| *r == after).map(|(_, t)| t.as_str());
        let same = right.is_none_or(|t| t == &*replica.text());
        Violation::unless(same, Property::Config, || {
            format!("node {at} has another revision {after}")
        })
    }

    /// After every cut has healed, all nodes come to the newest revision that any of them has.
    fn settle(&mut self) -> Result<(), Violation> {
        let newest = self.nodes.iter().map(|n| n.replica.revision()).max().unwrap_or_default();
        let mut stats = RunStats::default();
        self.nodes.iter_mut().for_each(|n| n.cut = false);
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
            format!("node {behind:?} stays behind revision {newest}")
        })
    }
}
