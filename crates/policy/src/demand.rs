//! Demand of client accounts over the whole fleet, by averaging between peers.
//!
//! In each round every node starts from its own rate per account; two nodes that exchange both take
//! the mean of their values. The values of all nodes come close to the fleet's mean in a number of
//! exchanges that grows with the logarithm of the fleet, with messages of bounded size and no
//! coordinator. A round that is disturbed by a cut or a death costs accuracy until the next one.

use std::collections::HashMap;

use heathpitch_core::{Millis, Name};

use crate::blocks::text;

/// Length of a round, milliseconds of wall-clock time.
const ROUND: Millis = 8_000;
/// Weight of the newest second in a node's own rate.
const GAIN: f64 = 0.3;
/// Accounts told in one exchange.
const MAX_TOLD: usize = 32;
/// Accounts held.
const MAX_HELD: usize = 8_192;
/// Rate below which an account is forgotten, requests per second.
const FORGET: f64 = 0.001;
/// Least share of a limit that a node has, as a part of an equal share.
const FLOOR: f64 = 0.25;

/// Averaged demand, by digest of the account.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::Demand;
///
/// let (mut a, mut b) = (Demand::new(), Demand::new());
/// (0..30).for_each(|_| a.count(7));
/// (0..10).for_each(|_| b.count(7));
/// a.tick(1_000, 8_000);
/// b.tick(1_000, 8_000);
/// let (round, told) = a.values();
/// let (_, answer) = b.values();
/// b.merge(round, &told);
/// a.merge(round, &answer);
/// assert!((a.share(7, 2) - 0.75).abs() < 0.01);
/// assert!((b.share(7, 2) - 0.25).abs() < 0.01);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Demand {
    counts: HashMap<u64, u32>,
    rates: HashMap<u64, f64>,
    means: HashMap<u64, f64>,
    round: u64,
    at: Millis,
}

/// # Own demand
impl Demand {
    /// Number under which an account is told.
    pub fn key(account: &Name) -> u64 {
        text(account, 1)
    }

    /// No demand seen.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request of an account.
    pub fn count(&mut self, account: u64) {
        if self.counts.len() < MAX_HELD || self.counts.contains_key(&account) {
            *self.counts.entry(account).or_default() += 1;
        }
    }

    /// Brings rates up to `now`, and starts a new round when the wall clock says so.
    pub fn tick(&mut self, now: Millis, wall: Millis) {
        let span = now.saturating_sub(self.at);
        if span >= 1_000 {
            self.at = now;
            self.update(span as f64 / 1_000.0);
        }
        let round = wall / ROUND;
        if round != self.round {
            self.round = round;
            self.means = self.rates.clone();
        }
    }

    fn update(&mut self, seconds: f64) {
        let counts = std::mem::take(&mut self.counts);
        for account in counts.keys() {
            if !self.rates.contains_key(account) && self.rates.len() < MAX_HELD {
                let first = f64::from(counts[account]) / seconds;
                self.rates.insert(*account, first);
            }
        }
        let old = 1.0 - GAIN;
        for (account, rate) in &mut self.rates {
            let newest = f64::from(counts.get(account).copied().unwrap_or(0)) / seconds;
            *rate = *rate * old + newest * GAIN;
        }
        self.rates.retain(|_, r| *r >= FORGET);
    }
}

/// # Exchanges
impl Demand {
    /// Round and values to tell a peer: the largest, a bounded number.
    pub fn values(&self) -> (u64, Vec<(u64, f32)>) {
        let mut told: Vec<(u64, f32)> = self.means.iter().map(|(a, v)| (*a, *v as f32)).collect();
        told.sort_unstable_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        told.truncate(MAX_TOLD);
        (self.round, told)
    }

    /// Takes the mean with what a peer told of the same round.
    pub fn merge(&mut self, round: u64, told: &[(u64, f32)]) {
        if round != self.round {
            return;
        }
        let theirs: HashMap<u64, f64> = told
            .iter()
            .filter(|(_, v)| v.is_finite() && *v >= 0.0)
            .map(|(a, v)| (*a, f64::from(*v)))
            .collect();
        let full = told.len() >= MAX_TOLD;
        for (account, value) in &mut self.means {
            match theirs.get(account) {
                Some(v) => *value = (*value + v) / 2.0,
                // Only a list that was not cut short says that the peer has none.
                None if !full => *value /= 2.0,
                None => {}
            }
        }
        for (account, value) in theirs {
            if self.means.len() < MAX_HELD {
                self.means.entry(account).or_insert(value / 2.0);
            }
        }
    }

    /// This node's share of an account's limits, 0 to 1, in a fleet of `nodes`.
    pub fn share(&self, account: u64, nodes: u32) -> f64 {
        let nodes = f64::from(nodes.max(1));
        let own = self.rates.get(&account).copied().unwrap_or(0.0);
        let all = self.means.get(&account).copied().unwrap_or(0.0) * nodes;
        match all {
            a if a <= FORGET => 1.0 / nodes,
            a => (own / a).clamp(FLOOR / nodes, 1.0),
        }
    }

    /// Shares of every account with demand, in a fleet of `nodes`.
    pub fn shares(&self, nodes: u32) -> HashMap<u64, f64> {
        self.rates.keys().map(|a| (*a, self.share(*a, nodes))).collect()
    }
}
