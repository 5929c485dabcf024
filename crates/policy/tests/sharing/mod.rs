//! A failure domain under load: nodes that admit streams, a planner that sums their demand, and a
//! pool of engines whose pressure nodes know with a delay.

#![allow(clippy::unwrap_used, reason = "a failed set-up fails the test")]

use std::collections::VecDeque;

use heathpitch_core::Name;
use heathpitch_policy::{
    AccountShares, DemandCount, DemandKey, DomainDemand, EngineStats, MAX_DEMAND_ENTRIES, Pressure,
    RecentDemand, SharingQuery, ShedReason,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Step of the simulation, milliseconds.
const STEP_MS: u64 = 5;
/// Time between polls of a node and between computations of shares, as in the gateway.
const POLL_MS: u64 = 400;
const DIVIDE_MS: u64 = 250;
/// Age of the pressure that nodes know, milliseconds, and its largest relative error: what a
/// forecast from reports leaves.
const PRESSURE_LAG_MS: usize = 250;
const PRESSURE_ERROR: f64 = 0.05;
/// Tokens that a stream holds.
const TOKENS: u64 = 1_000;
/// Duration of a stream after its first event, milliseconds.
const STREAM_MS: u64 = 2_000;
/// Latency target, milliseconds.
const TARGET_MS: f64 = 500.0;
/// Prefills that the engines can run, relative to the streams that they have memory for.
const PREFILL_FACTOR: f64 = 1.3;
/// Time after which a rejected caller retries, milliseconds; it does so once.
const RETRY_MS: std::ops::Range<u64> = 2_000..6_000;

/// Rates of requests by rank, relative to all, as of the results customer.
pub(crate) const RANKS: [f64; 3] = [0.486, 0.319, 0.195];

/// What the callers ask for.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) nodes: usize,
    /// Requests per second that the engines can serve.
    pub(crate) capacity: f64,
    /// Part of the requests by account.
    pub(crate) accounts: Vec<f64>,
    /// Part of the requests by rank.
    pub(crate) ranks: Vec<f64>,
    pub(crate) seed: u64,
}

/// Fate of the calls of one rank or account.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Tally {
    pub(crate) calls: u32,
    pub(crate) in_time: u32,
    pub(crate) late: u32,
    /// Rejected for good.
    pub(crate) rejected: u32,
    pub(crate) admitted: u32,
    pub(crate) decisions: u32,
}

impl Tally {
    /// Adds the calls of another run.
    pub(crate) fn add(&mut self, other: &Self) {
        self.calls += other.calls;
        self.in_time += other.in_time;
        self.late += other.late;
        self.rejected += other.rejected;
        self.admitted += other.admitted;
        self.decisions += other.decisions;
    }

    /// Part of the calls that was served in time.
    pub(crate) fn served(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.calls.max(1))
    }
}

struct Node {
    name: Name,
    own: RecentDemand,
    stats: EngineStats,
    shares: AccountShares,
    answered: u64,
    next_poll: u64,
    polls: u64,
    knows_planner: bool,
}

#[derive(Clone, Copy)]
struct Caller {
    rank: usize,
    account: usize,
    first: u64,
}

#[derive(Clone, Copy)]
struct Stream {
    caller: Caller,
    node: usize,
    admitted: u64,
    end: u64,
}

pub(crate) struct World {
    pub(crate) load: Load,
    pub(crate) now: u64,
    /// Requests per second now, and the part of the capacity that is left.
    pub(crate) rate: f64,
    pub(crate) available: f64,
    /// Whether the planner answers.
    pub(crate) planner_up: bool,
    pub(crate) by_rank: Vec<Tally>,
    pub(crate) by_account: Vec<Tally>,
    rng: SmallRng,
    nodes: Vec<Node>,
    demand: DomainDemand,
    divided: AccountShares,
    due: f64,
    queue: VecDeque<Stream>,
    running: VecDeque<Stream>,
    started: f64,
    /// Memory pressure at the last steps.
    pressures: VecDeque<f64>,
    retries: Vec<(u64, Caller)>,
    service: Name,
}

impl World {
    pub(crate) fn new(load: Load) -> Self {
        let node = |n: usize| Node {
            name: format!("n{n}").parse().unwrap(),
            own: RecentDemand::default(),
            stats: EngineStats::default(),
            shares: AccountShares::default(),
            answered: 0,
            next_poll: (n as u64 * 97) % POLL_MS,
            polls: 0,
            knows_planner: false,
        };
        Self {
            now: 10_000,
            rate: load.capacity * 0.8,
            available: 1.0,
            planner_up: true,
            by_rank: vec![Tally::default(); load.ranks.len()],
            by_account: vec![Tally::default(); load.accounts.len()],
            rng: SmallRng::seed_from_u64(load.seed),
            nodes: (0..load.nodes).map(node).collect(),
            demand: DomainDemand::default(),
            divided: AccountShares::default(),
            due: 0.0,
            queue: VecDeque::new(),
            running: VecDeque::new(),
            started: 0.0,
            pressures: VecDeque::new(),
            retries: Vec::new(),
            service: "chat".parse().unwrap(),
            load,
        }
    }

    /// Runs for so long, with new calls at `times` the capacity.
    pub(crate) fn run(&mut self, ms: u64, times: f64) {
        self.rate = self.load.capacity * times;
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            self.engines();
            self.polls();
            self.calls();
        }
    }

    /// Forgets all tallies, so that the next phase is counted alone.
    pub(crate) fn reset(&mut self) {
        self.by_rank.fill(Tally::default());
        self.by_account.fill(Tally::default());
    }

    /// Restarts a node, which loses its state.
    pub(crate) fn restart(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        node.own = RecentDemand::default();
        node.shares = AccountShares::default();
        node.answered = 0;
        node.knows_planner = false;
    }

    /// Smallest fraction that a node applies to an account.
    pub(crate) fn least_fraction(&self, account: usize) -> f64 {
        let key = account as u64 + 1;
        let fractions = self.nodes.iter().map(|n| n.shares.fraction(&self.service, key, self.now));
        fractions.fold(1.0, f64::min)
    }

    fn memory(&self) -> f64 {
        self.load.capacity * self.available * STREAM_MS as f64 / 1e3
    }

    fn engines(&mut self) {
        let now = self.now;
        while self.running.front().is_some_and(|stream| stream.end <= now) {
            let Some(stream) = self.running.pop_front() else { break };
            self.nodes[stream.node].stats.close(TOKENS, now);
        }
        let rate = self.load.capacity * self.available * PREFILL_FACTOR / 1e3;
        self.started = (self.started + rate * STEP_MS as f64).min(4.0);
        while self.started >= 1.0 && (self.running.len() as f64) < self.memory() * 1.05 {
            let Some(mut stream) = self.queue.pop_front() else { break };
            self.started -= 1.0;
            let wait = now - stream.admitted;
            let stats = &self.nodes[stream.node].stats;
            stats.wait_ended();
            stats.record_latency(wait, now);
            stream.end = now + STREAM_MS;
            self.running.push_back(stream);
            let caller = stream.caller;
            for tally in [&mut self.by_rank[caller.rank], &mut self.by_account[caller.account]] {
                match wait as f64 <= TARGET_MS {
                    true => tally.in_time += 1,
                    false => tally.late += 1,
                }
            }
        }
        self.pressures.push_back(self.occupied());
        if self.pressures.len() > PRESSURE_LAG_MS / STEP_MS as usize {
            self.pressures.pop_front();
        }
    }

    fn occupied(&self) -> f64 {
        (self.running.len() + self.queue.len()) as f64 / self.memory()
    }

    /// Pressure that a node knows: that of some time ago, with an error of its own.
    fn pressure(&mut self, node: usize) -> Pressure {
        let known = self.pressures.front().copied().unwrap_or_default();
        let wait = self.nodes[node].stats.wait_ms(self.now) / TARGET_MS;
        let error = 1.0 + self.rng.random_range(-PRESSURE_ERROR..PRESSURE_ERROR);
        Pressure { memory: known * error, start: wait }
    }

    fn polls(&mut self) {
        let now = self.now;
        if now.is_multiple_of(DIVIDE_MS) {
            let counts = [&self.nodes[0].own, self.demand.recent()];
            self.divided = AccountShares::divide(&counts, MAX_DEMAND_ENTRIES, now);
            self.nodes[0].shares = self.divided.clone();
            for node in &mut self.nodes[1..] {
                if !node.shares.is_current(now) || !node.knows_planner {
                    node.shares = AccountShares::divide(&[&node.own], MAX_DEMAND_ENTRIES, now);
                    node.knows_planner = false;
                }
            }
        }
        for index in 1..self.nodes.len() {
            if now < self.nodes[index].next_poll {
                continue;
            }
            let node = &mut self.nodes[index];
            node.next_poll = now + POLL_MS;
            if !self.planner_up {
                continue;
            }
            let counts = node.own.since(node.answered, MAX_DEMAND_ENTRIES, now);
            let _ = self.demand.receive(&node.name, node.knows_planner, counts, now);
            node.answered = node.own.close_interval();
            node.polls += 1;
            // Every second answer carries shares.
            if node.polls.is_multiple_of(2) {
                node.shares = self.divided.clone();
            }
            node.knows_planner = true;
        }
    }

    fn calls(&mut self) {
        let mut new = self.rate * STEP_MS as f64 / 1e3 + self.due;
        while new >= 1.0 {
            new -= 1.0;
            let rank = self.draw(&self.load.ranks.clone());
            let account = self.draw(&self.load.accounts.clone());
            let caller = Caller { rank, account, first: self.now };
            self.by_rank[rank].calls += 1;
            self.by_account[account].calls += 1;
            self.call(caller);
        }
        self.due = new;
        let now = self.now;
        let due: Vec<_> = self.retries.extract_if(.., |(at, _)| *at <= now).collect();
        due.into_iter().for_each(|(_, caller)| self.call(caller));
    }

    fn call(&mut self, caller: Caller) {
        let node = self.rng.random_range(0..self.nodes.len());
        let account = caller.account as u64 + 1;
        let fraction = self.nodes[node].shares.fraction(&self.service, account, self.now);
        let pressure = self.pressure(node);
        let query = SharingQuery {
            pressure,
            urgent_share: self.load.ranks[..caller.rank].iter().sum::<f64>()
                / self.load.ranks.iter().sum::<f64>(),
            fraction,
            age_ms: self.now - caller.first,
            ..SharingQuery::default()
        };
        let decision = match query.pressure.memory > 1.0 {
            true => Err(ShedReason::Full),
            false => query.admit(self.rng.random_range(0.0..1.0)),
        };
        let key = DemandKey { service: self.service.clone(), rank: caller.rank as u8, account };
        let count = DemandCount::one(decision.is_ok());
        self.nodes[node].own.record(key, count, self.now);
        for tally in [&mut self.by_rank[caller.rank], &mut self.by_account[caller.account]] {
            tally.decisions += 1;
            tally.admitted += u32::from(decision.is_ok());
        }
        match decision {
            Ok(()) => {
                let stats = &self.nodes[node].stats;
                stats.open(TOKENS, self.now);
                stats.wait_began();
                let stream = Stream { caller, node, admitted: self.now, end: 0 };
                self.queue.push_back(stream);
            }
            Err(_) => {
                if caller.first == self.now {
                    let retry = self.now + self.rng.random_range(RETRY_MS);
                    self.retries.push((retry, caller));
                } else {
                    self.by_rank[caller.rank].rejected += 1;
                    self.by_account[caller.account].rejected += 1;
                }
            }
        }
    }

    fn draw(&mut self, weights: &[f64]) -> usize {
        let mut left = self.rng.random_range(0.0..weights.iter().sum());
        for (index, weight) in weights.iter().enumerate() {
            left -= weight;
            if left < 0.0 {
                return index;
            }
        }
        weights.len() - 1
    }
}
