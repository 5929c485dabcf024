//! World of membership: exchanges, cuts between failure domains, deaths and restarts.

use heathpitch_core::{Incarnation, Millis, Name, Revision, digest};
use heathpitch_policy::{Member, MemberState, Members};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::breach::{Breach, Promise};
use crate::tally::{Draw, Tally};

const NODES: usize = 12;
const DOMAINS: usize = 3;
const PERIOD: Millis = 100;
const PASSED_ON: usize = 16;

#[derive(Debug)]
struct Node {
    members: Members,
    alive: bool,
}

#[derive(Debug)]
struct World {
    nodes: Vec<Node>,
    cut: [bool; DOMAINS],
    now: Millis,
    life: u64,
    rng: SmallRng,
}

pub(crate) fn run(operations: &[u64], tally: &mut Tally) -> Result<(), Breach> {
    let seed = operations.first().copied().unwrap_or_default();
    let mut world = World {
        nodes: (0..NODES).map(|i| node(i, 1)).collect(),
        cut: [false; DOMAINS],
        now: 1,
        life: 1,
        rng: SmallRng::seed_from_u64(seed),
    };
    for number in operations {
        tally.operations += 1;
        world.operate(&mut Draw::new(*number), tally)?;
    }
    world.settle(tally)
}

fn name(i: usize) -> Name {
    digest(&[b"node", &[i as u8]])
}

fn domain(i: usize) -> Name {
    digest(&[b"domain", &[(i % DOMAINS) as u8]])
}

fn node(i: usize, life: u64) -> Node {
    let me = Member {
        node: name(i),
        incarnation: Incarnation(life),
        heartbeat: 0,
        domain: domain(i),
        peer: name(i),
        caller: name(i),
        admin: name(i),
        state: MemberState::Ready,
        config: Revision(0),
        age: 0,
    };
    let mut members = Members::new(me, PERIOD);
    members.set_seeds([name(0), name(1), name(2)]);
    Node { members, alive: true }
}

impl World {
    fn operate(&mut self, draw: &mut Draw, tally: &mut Tally) -> Result<(), Breach> {
        let kind = draw.below(40);
        let at = draw.below(NODES);
        match kind {
            0 => {
                tally.fault("node killed");
                self.nodes[at].alive = false;
            }
            1 | 2 if !self.nodes[at].alive => {
                tally.event("node restarted");
                self.life += 1;
                self.nodes[at] = node(at, self.life);
            }
            3 => {
                tally.fault("failure domain cut off");
                self.cut[at % DOMAINS] = true;
            }
            4 => self.cut[at % DOMAINS] = false,
            _ => self.round(at, tally)?,
        }
        Ok(())
    }

    /// Time passes; one node beats and exchanges with the peer it picks.
    fn round(&mut self, at: usize, tally: &mut Tally) -> Result<(), Breach> {
        self.now += PERIOD / NODES as Millis;
        if !self.nodes[at].alive {
            return Ok(());
        }
        self.nodes[at].members.heartbeat(self.now);
        let picked = self.nodes[at].members.pick_peer(self.now, &mut self.rng);
        let Some(other) = picked.and_then(|p| (0..NODES).find(|i| name(*i) == p)) else {
            return Ok(());
        };
        let apart = at % DOMAINS != other % DOMAINS
            && (self.cut[at % DOMAINS] || self.cut[other % DOMAINS]);
        if apart || !self.nodes[other].alive || at == other {
            tally.fault("exchange failed");
            return Ok(());
        }
        tally.event("exchange");
        let sent = self.nodes[at].members.freshest(PASSED_ON, self.now);
        let answer = self.nodes[other].members.freshest(PASSED_ON, self.now);
        Breach::unless(sent.len().max(answer.len()) <= PASSED_ON, Promise::Members, || {
            "an exchange passed on more than its bound".to_owned()
        })?;
        self.nodes[other].members.merge(sent, self.now);
        self.nodes[at].members.merge(answer, self.now);
        Ok(())
    }

    /// After every cut has healed, the living of a failure domain know each other, and no other.
    fn settle(&mut self, tally: &mut Tally) -> Result<(), Breach> {
        self.cut = [false; DOMAINS];
        self.nodes[0].alive = true;
        for i in 0..NODES * 60 {
            self.round(i % NODES, tally)?;
        }
        for i in (0..NODES).filter(|i| self.nodes[*i].alive) {
            let near = |j: &usize| *j != i && j % DOMAINS == i % DOMAINS;
            for j in (0..NODES).filter(near) {
                let known = self.nodes[i].members.alive(self.now).iter().any(|m| m.node == name(j));
                Breach::unless(known == self.nodes[j].alive, Promise::Members, || {
                    format!("node {i} has node {j} alive: {known}")
                })?;
            }
        }
        Ok(())
    }
}
