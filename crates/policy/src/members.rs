//! Membership of nodes, as soft state spread by gossip with random peers.
//!
//! A node keeps every member of its own failure domain and a few of each other one, and passes on
//! a bounded number of the most recent entries in each exchange, so its cost does not grow with the
//! fleet. A wrong view costs speed, never correctness.

use std::collections::{BTreeSet, HashMap};

use heathpitch_core::{Incarnation, Millis, Name, Revision};
use rand::Rng;
use rand::seq::IndexedRandom;

/// Members kept of each other failure domain.
const MAX_REMOTE_MEMBERS: usize = 8;
/// Heartbeat periods without an update of a member after which it counts as dead.
const DEAD_AFTER_BEATS: u64 = 30;
/// One exchange in this many goes to another failure domain.
const REMOTE_EXCHANGE_RATIO: u32 = 5;

/// Whether a node accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// Accepts work.
    Ready,
    /// Draining.
    Draining,
}

/// What a node announces about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the node.
    pub node: Name,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Heartbeat count of that incarnation.
    pub heartbeat: u64,
    /// Failure domain.
    pub domain: Name,
    /// `ip:port` for peers.
    pub peer: Name,
    /// `ip:port` for callers.
    pub caller: Name,
    /// `ip:port` for operators.
    pub admin: Name,
    /// Whether it accepts work.
    pub state: MemberState,
    /// Configuration revision that the node applies.
    pub config: Revision,
    /// Time since the node announced this, milliseconds, as far as the sender knows.
    pub age: Millis,
}

impl Member {
    /// Incarnations are ordered by the wall clock at start, so a restart supersedes earlier ones.
    fn newer(&self, other: &Member) -> bool {
        (self.incarnation, self.heartbeat) > (other.incarnation, other.heartbeat)
    }
}

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    at: Millis,
}

/// Membership table of one node.
#[derive(Debug)]
pub struct Members {
    me: Member,
    period: Millis,
    known: HashMap<Name, Entry>,
    seeds: BTreeSet<Name>,
}

/// # Construction and queries
impl Members {
    /// Table that holds only this node, which sends a heartbeat every `period`.
    pub fn new(me: Member, period: Millis) -> Self {
        Self { me, period, known: HashMap::new(), seeds: BTreeSet::new() }
    }

    /// Entry of this node.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Live members other than this node, sorted by name.
    pub fn alive(&self, now: Millis) -> Vec<&Member> {
        let mut list: Vec<_> =
            self.known.values().filter(|h| self.is_alive(h, now)).map(|h| &h.member).collect();
        list.sort_by(|a, b| a.node.cmp(&b.node));
        list
    }

    /// The live member with this name and incarnation.
    pub fn find(&self, node: &str, incarnation: Incarnation, now: Millis) -> Option<&Member> {
        let entry = self.known.get(node).filter(|h| self.is_alive(h, now))?;
        (entry.member.incarnation == incarnation).then_some(&entry.member)
    }

    /// Number of live nodes in this failure domain, including this one.
    pub fn domain_size(&self, now: Millis) -> usize {
        let local = |h: &&Entry| h.member.domain == self.me.domain && self.is_alive(h, now);
        1 + self.known.values().filter(local).count()
    }

    /// This node and the most recently updated members, at most `most`, to send to a peer.
    pub fn freshest(&self, most: usize, now: Millis) -> Vec<Member> {
        let mut list: Vec<_> = self.known.values().filter(|h| self.is_alive(h, now)).collect();
        list.sort_by(|a, b| b.at.cmp(&a.at).then_with(|| a.member.node.cmp(&b.member.node)));
        let aged = |h: &Entry| Member { age: now.saturating_sub(h.at), ..h.member.clone() };
        let others = list.into_iter().map(aged);
        std::iter::once(self.me.clone()).chain(others).take(most).collect()
    }

    /// Chooses a peer to exchange with: mostly one of this failure domain, sometimes one of another
    /// domain or a seed.
    pub fn pick_peer(&self, now: Millis, rng: &mut impl Rng) -> Option<Name> {
        let alive = self.alive(now);
        let local = |m: &&&Member| m.domain == self.me.domain;
        let remote: Vec<&Name> = alive.iter().filter(|m| !local(m)).map(|m| &m.peer).collect();
        let local: Vec<&Name> = alive.iter().filter(local).map(|m| &m.peer).collect();
        let unknown: Vec<&Name> =
            self.seeds.iter().filter(|s| !local.contains(s) && !remote.contains(s)).collect();
        let prefer_remote = rng.random_ratio(1, REMOTE_EXCHANGE_RATIO);
        let mut lists =
            if prefer_remote { [&remote, &unknown, &local] } else { [&local, &unknown, &remote] };
        if rng.random_ratio(1, REMOTE_EXCHANGE_RATIO) {
            lists.swap(0, 1);
        }
        lists.into_iter().find_map(|l| l.choose(rng)).map(|n| (*n).clone())
    }
}

/// # Events
impl Members {
    /// Advances the heartbeat and evicts members that have long been dead.
    pub fn heartbeat(&mut self, now: Millis) {
        self.me.heartbeat += 1;
        let forget = self.period * DEAD_AFTER_BEATS * 3;
        self.known.retain(|_, h| now.saturating_sub(h.at) < forget);
    }

    /// Sets whether this node accepts work, and the configuration that it applies.
    pub fn announce(&mut self, state: MemberState, config: Revision) {
        self.me.state = state;
        self.me.config = config;
    }

    /// Sets peers to try although nothing has been received from them.
    pub fn set_seeds(&mut self, peers: impl IntoIterator<Item = Name>) {
        let own = self.me.peer.clone();
        self.seeds = peers.into_iter().filter(|p| *p != own).collect();
    }

    /// Merges members that a peer sent.
    ///
    /// An entry keeps the age that it has at the sender, so that nodes cannot keep a dead member
    /// alive by passing its entry back and forth.
    pub fn merge(&mut self, members: Vec<Member>, now: Millis) {
        for m in members {
            match self.known.get(&m.node) {
                _ if m.node == self.me.node => {}
                Some(old) if !m.newer(&old.member) => {}
                None if self.is_domain_full(&m) => {}
                _ => {
                    let at = now.saturating_sub(m.age);
                    self.known.insert(m.node.clone(), Entry { member: m, at });
                }
            }
        }
    }

    fn is_domain_full(&self, m: &Member) -> bool {
        let same = self.known.values().filter(|h| h.member.domain == m.domain).count();
        m.domain != self.me.domain && same >= MAX_REMOTE_MEMBERS
    }

    fn is_alive(&self, h: &Entry, now: Millis) -> bool {
        now.saturating_sub(h.at) <= self.period * DEAD_AFTER_BEATS
    }
}
