//! Simulation of membership: exchanges between nodes, partitions of failure domains, crashes and
//! restarts.

use heathpitch_core::{Incarnation, Millis, Name, Revision, digest};
use heathpitch_policy::{Member, MemberState, Members};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::run::{Entropy, RunStats};
use crate::violation::{Property, Violation};

const NODES: usize = 12;
const DOMAINS: usize = 3;
const PERIOD_MS: Millis = 100;
/// Most members in one message of an exchange.
const MAX_MEMBERS: usize = 16;

#[derive(Debug)]
struct Node {
    members: Members,
    alive: bool,
}

#[derive(Debug)]
struct Cluster {
    nodes: Vec<Node>,
    partitioned: [bool; DOMAINS],
    now: Millis,
    incarnation: u64,
    rng: SmallRng,
}

pub(crate) fn run(operations: &[u64], stats: &mut RunStats) -> Result<(), Violation> {
    let seed = operations.first().copied().unwrap_or_default();
    let mut cluster = Cluster {
        nodes: (0..NODES).map(|i| node(i, 1)).collect(),
        partitioned: [false; DOMAINS],
        now: 1,
        incarnation: 1,
        rng: SmallRng::seed_from_u64(seed),
    };
    for number in operations {
        stats.operations += 1;
        cluster.apply_operation(&mut Entropy::new(*number), stats)?;
    }
    cluster.heal_and_check(stats)
}

fn name(i: usize) -> Name {
    digest(&[b"node", &[i as u8]])
}

fn domain(i: usize) -> Name {
    digest(&[b"domain", &[(i % DOMAINS) as u8]])
}

fn node(i: usize, incarnation: u64) -> Node {
    let member = Member {
        node: name(i),
        incarnation: Incarnation(incarnation),
        heartbeat: 0,
        domain: domain(i),
        peer: name(i),
        caller: name(i),
        admin: name(i),
        state: MemberState::Ready,
        config: Revision(0),
        age: 0,
    };
    let mut members = Members::new(member, PERIOD_MS);
    members.set_seeds([name(0), name(1), name(2)]);
    Node { members, alive: true }
}

impl Cluster {
    fn apply_operation(
        &mut self,
        entropy: &mut Entropy,
        stats: &mut RunStats,
    ) -> Result<(), Violation> {
        let kind = entropy.below(40);
        let at = entropy.below(NODES);
        match kind {
            0 => {
                stats.fault("node killed");
                self.nodes[at].alive = false;
            }
            1 | 2 if !self.nodes[at].alive => {
                stats.event("node restarted");
                self.incarnation += 1;
                self.nodes[at] = node(at, self.incarnation);
            }
            3 => {
                stats.fault("failure domain partitioned");
                self.partitioned[at % DOMAINS] = true;
            }
            4 => self.partitioned[at % DOMAINS] = false,
            _ => self.round(at, stats)?,
        }
        Ok(())
    }

    /// Advances the clock; one node increments its heartbeat and exchanges members with a peer.
    fn round(&mut self, at: usize, stats: &mut RunStats) -> Result<(), Violation> {
        self.now += PERIOD_MS / NODES as Millis;
        if !self.nodes[at].alive {
            return Ok(());
        }
        self.nodes[at].members.heartbeat(self.now);
        let picked = self.nodes[at].members.pick_peer(self.now, &mut self.rng);
        let Some(other) = picked.and_then(|p| (0..NODES).find(|i| name(*i) == p)) else {
            return Ok(());
        };
        let unreachable = at % DOMAINS != other % DOMAINS
            && (self.partitioned[at % DOMAINS] || self.partitioned[other % DOMAINS]);
        if unreachable || !self.nodes[other].alive || at == other {
            stats.fault("exchange failed");
            return Ok(());
        }
        stats.event("exchange");
        let sent = self.nodes[at].members.freshest(MAX_MEMBERS, self.now);
        let response = self.nodes[other].members.freshest(MAX_MEMBERS, self.now);
        Violation::unless(
            sent.len().max(response.len()) <= MAX_MEMBERS,
            Property::Membership,
            || "an exchange sent more members than its limit".to_owned(),
        )?;
        self.nodes[other].members.merge(sent, self.now);
        self.nodes[at].members.merge(response, self.now);
        Ok(())
    }

    /// Heals every partition, then checks that each live node of a failure domain knows exactly the
    /// other live ones of that domain.
    fn heal_and_check(&mut self, stats: &mut RunStats) -> Result<(), Violation> {
        self.partitioned = [false; DOMAINS];
        self.nodes[0].alive = true;
        for i in 0..NODES * 60 {
            self.round(i % NODES, stats)?;
        }
        for i in (0..NODES).filter(|i| self.nodes[*i].alive) {
            let same_domain = |j: &usize| *j != i && j % DOMAINS == i % DOMAINS;
            for j in (0..NODES).filter(same_domain) {
                let known = self.nodes[i].members.alive(self.now).iter().any(|m| m.node == name(j));
                Violation::unless(known == self.nodes[j].alive, Property::Membership, || {
                    format!("node {i} has a wrong state for node {j}: alive: {known}")
                })?;
            }
        }
        Ok(())
    }
}
