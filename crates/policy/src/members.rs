//! Membership of nodes, as soft state spread by exchange with random peers.
//!
//! A node keeps every member of its own failure domain and a few of each other one, and passes on
//! a bounded number of the freshest in each exchange, so its cost does not grow with the fleet. A
//! wrong view costs speed, never a promise.

use std::collections::{BTreeSet, HashMap};

use heathpitch_core::{Incarnation, Millis, Name, Revision};
use rand::Rng;
use rand::seq::IndexedRandom;

/// Members kept of each other failure domain.
const FOREIGN: usize = 8;
/// Beats without an advance after which a member counts as dead.
const DEAD_AFTER_BEATS: u64 = 30;
/// One exchange in this many goes to another failure domain.
const ABROAD: u32 = 5;

/// Whether a node takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// It does.
    Ready,
    /// It drains.
    Leaving,
}

/// What a node says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the node.
    pub node: Name,
    /// Its life.
    pub life: Incarnation,
    /// Heartbeat count of that life.
    pub beat: u64,
    /// Failure domain.
    pub domain: Name,
    /// `ip:port` for peers.
    pub peer: Name,
    /// `ip:port` for callers.
    pub caller: Name,
    /// `ip:port` for operators.
    pub admin: Name,
    /// Whether it takes work.
    pub state: MemberState,
    /// Configuration revision in force there.
    pub config: Revision,
    /// Time since the node said so, milliseconds, as far as the sender knows.
    pub age: Millis,
}

impl Member {
    /// Lives are ordered by the wall clock at start, so a restart outranks what came before.
    fn newer(&self, other: &Member) -> bool {
        (self.life, self.beat) > (other.life, other.beat)
    }
}

#[derive(Clone, Debug)]
struct Heard {
    member: Member,
    at: Millis,
}

/// The nodes this node knows.
#[derive(Debug)]
pub struct Members {
    me: Member,
    period: Millis,
    known: HashMap<Name, Heard>,
    seeds: BTreeSet<Name>,
}

/// # Construction and reading
impl Members {
    /// Knows only itself; beats every `period`.
    pub fn new(me: Member, period: Millis) -> Self {
        Self { me, period, known: HashMap::new(), seeds: BTreeSet::new() }
    }

    /// What this node says of itself.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Other members that are alive, by name.
    pub fn alive(&self, now: Millis) -> Vec<&Member> {
        let mut list: Vec<_> =
            self.known.values().filter(|h| self.lives(h, now)).map(|h| &h.member).collect();
        list.sort_by(|a, b| a.node.cmp(&b.node));
        list
    }

    /// The live member of this name and life.
    pub fn find(&self, node: &str, life: Incarnation, now: Millis) -> Option<&Member> {
        let heard = self.known.get(node).filter(|h| self.lives(h, now))?;
        (heard.member.life == life).then_some(&heard.member)
    }

    /// Nodes alive in this failure domain, itself among them.
    pub fn domain_size(&self, now: Millis) -> usize {
        let near = |h: &&Heard| h.member.domain == self.me.domain && self.lives(h, now);
        1 + self.known.values().filter(near).count()
    }

    /// Itself and the freshest members, at most `most`, to send to a peer.
    pub fn freshest(&self, most: usize, now: Millis) -> Vec<Member> {
        let mut list: Vec<_> = self.known.values().filter(|h| self.lives(h, now)).collect();
        list.sort_by(|a, b| b.at.cmp(&a.at).then_with(|| a.member.node.cmp(&b.member.node)));
        let aged = |h: &Heard| Member { age: now.saturating_sub(h.at), ..h.member.clone() };
        let others = list.into_iter().map(aged);
        std::iter::once(self.me.clone()).chain(others).take(most).collect()
    }

    /// A peer to exchange with: mostly a near one, at times a far one or a seed.
    pub fn pick_peer(&self, now: Millis, rng: &mut impl Rng) -> Option<Name> {
        let alive = self.alive(now);
        let near = |m: &&&Member| m.domain == self.me.domain;
        let far: Vec<&Name> = alive.iter().filter(|m| !near(m)).map(|m| &m.peer).collect();
        let near: Vec<&Name> = alive.iter().filter(near).map(|m| &m.peer).collect();
        let unknown: Vec<&Name> =
            self.seeds.iter().filter(|s| !near.contains(s) && !far.contains(s)).collect();
        let abroad = rng.random_ratio(1, ABROAD);
        let mut lists = if abroad { [&far, &unknown, &near] } else { [&near, &unknown, &far] };
        if rng.random_ratio(1, ABROAD) {
            lists.swap(0, 1);
        }
        lists.into_iter().find_map(|l| l.choose(rng)).map(|n| (*n).clone())
    }
}

/// # Events
impl Members {
    /// Counts a heartbeat and forgets the dead.
    pub fn beat(&mut self, now: Millis) {
        self.me.beat += 1;
        let forget = self.period * DEAD_AFTER_BEATS * 3;
        self.known.retain(|_, h| now.saturating_sub(h.at) < forget);
    }

    /// Says whether this node takes work, and which configuration is in force.
    pub fn announce(&mut self, state: MemberState, config: Revision) {
        self.me.state = state;
        self.me.config = config;
    }

    /// Peers to try although they have not been heard.
    pub fn set_seeds(&mut self, peers: impl IntoIterator<Item = Name>) {
        let own = self.me.peer.clone();
        self.seeds = peers.into_iter().filter(|p| *p != own).collect();
    }

    /// Takes members that a peer sent.
    ///
    /// A member is as old here as it was there, so that nodes cannot keep a dead one alive by
    /// telling each other of it.
    pub fn merge(&mut self, members: Vec<Member>, now: Millis) {
        for m in members {
            match self.known.get(&m.node) {
                _ if m.node == self.me.node => {}
                Some(old) if !m.newer(&old.member) => {}
                None if self.crowded(&m) => {}
                _ => {
                    let at = now.saturating_sub(m.age);
                    self.known.insert(m.node.clone(), Heard { member: m, at });
                }
            }
        }
    }

    fn crowded(&self, m: &Member) -> bool {
        let same = self.known.values().filter(|h| h.member.domain == m.domain).count();
        m.domain != self.me.domain && same >= FOREIGN
    }

    fn lives(&self, h: &Heard, now: Millis) -> bool {
        now.saturating_sub(h.at) <= self.period * DEAD_AFTER_BEATS
    }
}
