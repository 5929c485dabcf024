//! Demand of client accounts over the whole fleet, by gossip averaging.
//!
//! In each round every node starts from its own rate per account. Two nodes that exchange values
//! both take the mean. All nodes converge to the fleet's mean in a number of exchanges that grows
//! with the logarithm of the fleet's size, with messages of bounded size and no coordinator. A
//! partition or a lost node makes values inaccurate until the next round.

use std::collections::HashMap;

use heathpitch_core::{Millis, Name};

use crate::blocks::hash_name;

/// Length of a round by the wall clock.
const ROUND_MS: Millis = 8_000;
/// Weight of the latest second in a node's own rate.
const RATE_GAIN: f64 = 0.3;
/// Accounts sent in one exchange.
const MAX_SENT: usize = 32;
/// Accounts tracked.
const MAX_ACCOUNTS: usize = 8_192;
/// Rate below which an account is dropped, requests per second.
const MIN_RATE: f64 = 0.001;
/// Least share of a limit that a node gets, as a fraction of an equal share.
const MIN_SHARE: f64 = 0.25;

/// Averaged demand by digest of the account.
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
/// let (round, values) = a.values();
/// let (_, answer) = b.values();
/// b.merge(round, &values);
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
    /// Digest of an account.
    pub fn key(account: &Name) -> u64 {
        hash_name(account, 1)
    }

    /// Without demand.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request of an account.
    pub fn count(&mut self, account: u64) {
        if self.counts.len() < MAX_ACCOUNTS || self.counts.contains_key(&account) {
            *self.counts.entry(account).or_default() += 1;
        }
    }

    /// Updates rates to `now`, and starts a new round when it is due by the wall clock.
    pub fn tick(&mut self, now: Millis, wall: Millis) {
        let span = now.saturating_sub(self.at);
        if span >= 1_000 {
            self.at = now;
            self.update(span as f64 / 1_000.0);
        }
        let round = wall / ROUND_MS;
        if round != self.round {
            self.round = round;
            self.means = self.rates.clone();
        }
    }

    fn update(&mut self, seconds: f64) {
        let counts = std::mem::take(&mut self.counts);
        for account in counts.keys() {
            if !self.rates.contains_key(account) && self.rates.len() < MAX_ACCOUNTS {
                let first = f64::from(counts[account]) / seconds;
                self.rates.insert(*account, first);
            }
        }
        let old = 1.0 - RATE_GAIN;
        for (account, rate) in &mut self.rates {
            let newest = f64::from(counts.get(account).copied().unwrap_or(0)) / seconds;
            *rate = *rate * old + newest * RATE_GAIN;
        }
        self.rates.retain(|_, r| *r >= MIN_RATE);
    }
}

/// # Exchanges
impl Demand {
    /// Round and values to send to a peer: at most 32, the largest first.
    pub fn values(&self) -> (u64, Vec<(u64, f32)>) {
        let mut values: Vec<(u64, f32)> = self.means.iter().map(|(a, v)| (*a, *v as f32)).collect();
        values.sort_unstable_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        values.truncate(MAX_SENT);
        (self.round, values)
    }

    /// Averages with the values of a peer, if they are of the same round.
    pub fn merge(&mut self, round: u64, values: &[(u64, f32)]) {
        if round != self.round {
            return;
        }
        let received: HashMap<u64, f64> = values
            .iter()
            .filter(|(_, v)| v.is_finite() && *v >= 0.0)
            .map(|(a, v)| (*a, f64::from(*v)))
            .collect();
        let full = values.len() >= MAX_SENT;
        for (account, value) in &mut self.means {
            match received.get(account) {
                Some(v) => *value = (*value + v) / 2.0,
                // Only a list that was not truncated shows that the peer has no value.
                None if !full => *value /= 2.0,
                None => {}
            }
        }
        for (account, value) in received {
            if self.means.len() < MAX_ACCOUNTS {
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
            a if a <= MIN_RATE => 1.0 / nodes,
            a => (own / a).clamp(MIN_SHARE / nodes, 1.0),
        }
    }

    /// Shares of every account with demand, in a fleet of `nodes`.
    pub fn shares(&self, nodes: u32) -> HashMap<u64, f64> {
        self.rates.keys().map(|a| (*a, self.share(*a, nodes))).collect()
    }
}
