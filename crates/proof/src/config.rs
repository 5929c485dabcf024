//! World of configuration: a store with outages and stale reads, operators, nodes and cuts.

use heathpitch_core::Revision;
use heathpitch_policy::{Adoption, Replica};

use crate::breach::{Breach, Promise};
use crate::tally::{Draw, Tally};

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

pub(crate) fn run(operations: &[u64], tally: &mut Tally) -> Result<(), Breach> {
    let mut world =
        Config { nodes: (0..NODES).map(|_| Node::default()).collect(), ..Config::default() };
    for number in operations {
        tally.operations += 1;
        world.operate(&mut Draw::new(*number), tally)?;
    }
    world.settle()
}

impl Config {
    fn operate(&mut self, draw: &mut Draw, tally: &mut Tally) -> Result<(), Breach> {
        let kind = draw.below(14);
        let node = draw.below(NODES);
        let other = draw.below(NODES);
        match kind {
            0 | 1 if !self.down => self.write(tally),
            2 => {
                tally.fault("store down");
                self.down = true;
            }
            3 => self.down = false,
            4 => {
                tally.fault("node cut off");
                self.nodes[node].cut = true;
            }
            5 | 6 => self.nodes[node].cut = false,
            7 => {
                tally.fault("node replaced");
                self.nodes[node].replica = Replica::new();
            }
            // An answer of the store is made now and read whenever it arrives: it may be stale.
            8 | 9 if !self.down && !self.nodes[node].cut => {
                if let Some((revision, text)) = self.history.last().cloned() {
                    self.letters.push((node, revision, text));
                }
            }
            10 | 11 if !self.letters.is_empty() => {
                let at = draw.below(self.letters.len());
                let (node, revision, text) = self.letters.swap_remove(at);
                if revision < self.nodes[node].replica.revision() {
                    tally.fault("stale read");
                }
                return self.offer(node, revision, &text, tally);
            }
            _ if !self.nodes[node].cut && !self.nodes[other].cut => {
                return self.exchange(node, other, tally);
            }
            _ => {}
        }
        Ok(())
    }

    fn write(&mut self, tally: &mut Tally) {
        tally.event("stored");
        self.revision += 1;
        let model = format!(r#"{{"name":"m","version":"v{}","layers":4}}"#, self.revision);
        let text = format!(r#"{{"models":[{model}]}}"#);
        self.history.push((Revision(self.revision), text));
    }

    fn exchange(&mut self, a: usize, b: usize, tally: &mut Tally) -> Result<(), Breach> {
        tally.event("exchange");
        let of = |n: &Node| (n.replica.revision(), n.replica.text().to_string());
        let ((one, text), (two, other)) = (of(&self.nodes[a]), of(&self.nodes[b]));
        match one.cmp(&two) {
            std::cmp::Ordering::Less => self.offer(a, two, &other, tally),
            std::cmp::Ordering::Greater => self.offer(b, one, &text, tally),
            std::cmp::Ordering::Equal => Ok(()),
        }
    }

    fn offer(
        &mut self,
        at: usize,
        revision: Revision,
        text: &str,
        tally: &mut Tally,
    ) -> Result<(), Breach> {
        let replica = &mut self.nodes[at].replica;
        let before = replica.revision();
        if replica.offer(revision, text) == Adoption::Adopted {
            tally.event("adopted");
        }
        let after = replica.revision();
        Breach::unless(after >= before, Promise::Config, || {
            format!("node {at} went from revision {before} to {after}")
        })?;
        let right = self.history.iter().find(|(r, _)| *r == after).map(|(_, t)| t.as_str());
        let same = right.is_none_or(|t| t == &*replica.text());
        Breach::unless(same, Promise::Config, || format!("node {at} has another revision {after}"))
    }

    /// After every cut has healed, all nodes come to the newest revision that any of them has.
    fn settle(&mut self) -> Result<(), Breach> {
        let newest = self.nodes.iter().map(|n| n.replica.revision()).max().unwrap_or_default();
        let mut tally = Tally::default();
        self.nodes.iter_mut().for_each(|n| n.cut = false);
        for a in 0..NODES {
            for b in 0..NODES {
                self.exchange(a, b, &mut tally)?;
            }
        }
        for a in 0..NODES {
            self.exchange(0, a, &mut tally)?;
        }
        let behind = self.nodes.iter().position(|n| n.replica.revision() < newest);
        Breach::unless(behind.is_none(), Promise::Config, || {
            format!("node {behind:?} stays behind revision {newest}")
        })
    }
}
