//! Simulation of engines that ask for pauses under load: the effect on clients of different
//! policies.
//!
//! There are three loads. In the first, a service has three engines, one per failure domain, and
//! one of them rejects all requests for nine seconds and asks for a pause of three seconds each
//! time. The load is six times that of the deployment where this was observed: 57 calls per second
//! at seven nodes, 30 ms of work each, 6 slots. In the others, a service of six engines with 295
//! nodes, and one of three engines with seven, get 1.6 times their capacity for four seconds;
//! engines with a full queue ask for a pause of one second. Clients retry once, after the given
//! time but within a third of their remaining time. A call tries two engines at most, the second
//! within a retry budget of a fifth. Sixteen seeds each.

mod common;

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use heathpitch_policy::{Admission, Backpressure, EngineStats};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Service time of a call, milliseconds.
const SERVICE_MS: u64 = 30;
/// Latency target, and deadline of clients, milliseconds.
const TARGET_MS: u64 = 150;
const DEADLINE_MS: u64 = 1_500;
/// Retry time if no pause is known, milliseconds.
const DEFAULT_RETRY_MS: u64 = 400;
/// Time for which other engines are preferred to one that rejected a call without a retry time,
/// milliseconds.
const DEPRIORITIZED_MS: u64 = 600;

/// Policy of the nodes for a requested pause.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    /// Ignore it.
    Ignore,
    /// Send nothing until its end.
    Strict,
    /// Send nothing until its end, and share it with all nodes at once.
    Shared,
    /// Use [`Backpressure`].
    Backpressure,
    /// Prefer other engines for a moment, if no retry time was given.
    Deprioritize,
}

#[derive(Clone, Copy)]
struct Load {
    nodes: usize,
    engines: usize,
    slots: usize,
    /// Calls per millisecond, and the factor applied to them from 2 to 6 s.
    rate: f64,
    burst: f64,
    /// Whether the first engine rejects all requests from 2 to 11 s.
    sheds: bool,
    pause: u64,
}

const SHED: Load =
    Load { nodes: 7, engines: 3, slots: 6, rate: 0.057, burst: 1.0, sheds: true, pause: 3_000 };
const BURST: Load =
    Load { nodes: 295, engines: 6, slots: 6, rate: 0.84, burst: 2.3, sheds: false, pause: 1_000 };
const FEW: Load = Load { nodes: 7, engines: 3, rate: 0.42, ..BURST };

#[derive(Debug, Default, PartialEq)]
struct Outcome {
    calls: u32,
    in_time: u32,
    late: u32,
    refused: u32,
    rejected: u32,
    /// Most requests of one node within one pause, starting half a second after it was requested.
    most: usize,
}

struct Call {
    begun: u64,
    is_retry: bool,
}

#[derive(Default)]
struct Engine {
    /// End times of calls that run or wait.
    open: VecDeque<u64>,
    /// Time of each request by node, and whether it was rejected.
    arrivals: HashMap<usize, Vec<(u64, bool)>>,
}

struct World {
    load: Load,
    policy: Policy,
    rng: SmallRng,
    engines: Vec<Engine>,
    signals: Vec<Vec<Arc<Backpressure>>>,
    until: Vec<Vec<u64>>,
    stats: Vec<Vec<EngineStats>>,
    budget: Vec<f64>,
    /// Calls at engines: response time, node, engine.
    open: Vec<(u64, usize, usize, Option<Admission>)>,
    retries: HashMap<u64, Vec<Call>>,
    outcome: Outcome,
}

impl World {
    fn new(load: Load, policy: Policy, seed: u64) -> Self {
        let per_engine = || (0..load.engines).map(|_| Arc::<Backpressure>::default()).collect();
        Self {
            load,
            policy,
            rng: SmallRng::seed_from_u64(seed),
            engines: (0..load.engines).map(|_| Engine::default()).collect(),
            signals: (0..load.nodes).map(|_| per_engine()).collect(),
            until: vec![vec![0; load.engines]; load.nodes],
            stats: (0..load.nodes)
                .map(|_| (0..load.engines).map(|_| EngineStats::default()).collect())
                .collect(),
            budget: vec![1.0; load.nodes],
            open: Vec::new(),
            retries: HashMap::new(),
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        for now in 1..15_000_u64 {
            self.finish(now);
            let burst = if (2_000..6_000).contains(&now) { self.load.burst } else { 1.0 };
            let mut calls = self.retries.remove(&now).unwrap_or_default();
            let mut rate = self.load.rate * burst;
            while rate > 0.0 {
                if self.rng.random_bool(rate.min(1.0)) {
                    self.outcome.calls += 1;
                    calls.push(Call { begun: now, is_retry: false });
                }
                rate -= 1.0;
            }
            for call in calls {
                let node = self.rng.random_range(0..self.load.nodes);
                self.call(node, call, now);
            }
        }
        self.outcome.most = self.most();
        self.outcome
    }

    fn finish(&mut self, now: u64) {
        let (signals, engines) = (&self.signals, &mut self.engines);
        self.open.retain_mut(|(end, node, engine, admission)| {
            if *end > now {
                return true;
            }
            drop(admission.take());
            signals[*node][*engine].record_success(now);
            false
        });
        for engine in engines {
            while engine.open.front().is_some_and(|end| *end <= now) {
                engine.open.pop_front();
            }
        }
    }

    fn admits(&self, node: usize, engine: usize, now: u64) -> bool {
        match self.policy {
            Policy::Ignore | Policy::Deprioritize => true,
            Policy::Strict | Policy::Shared => now >= self.until[node][engine],
            Policy::Backpressure => self.signals[node][engine].admits(now),
        }
    }

    fn call(&mut self, node: usize, call: Call, now: u64) {
        self.budget[node] += 0.2;
        let mut tried = Vec::new();
        while tried.len() < 2 {
            let free = (0..self.load.engines)
                .filter(|e| !tried.contains(e) && self.admits(node, *e, now))
                .collect::<Vec<_>>();
            let own = |e: usize| self.open.iter().filter(|o| o.1 == node && o.2 == e).count();
            let home = |e: usize| if e == node % self.load.engines { 0.0 } else { 0.25 };
            let deprioritized = self.policy == Policy::Deprioritize;
            let full = |e: usize| match deprioritized && self.stats[node][e].is_deprioritized(now) {
                true => self.load.slots as f64,
                false => 0.0,
            };
            let cost = |e: usize| own(e) as f64 + home(e) + full(e);
            let mut costs: Vec<_> = free.iter().map(|e| (cost(*e), *e)).collect();
            costs.iter_mut().for_each(|c| c.0 += self.rng.random_range(0.0..0.3));
            let Some((_, engine)) = costs.into_iter().min_by(|a, b| a.0.total_cmp(&b.0)) else {
                break;
            };
            if !tried.is_empty() && self.budget[node] < 1.0 {
                break;
            }
            self.budget[node] -= if tried.is_empty() { 0.0 } else { 1.0 };
            if self.send(node, engine, &call, now) {
                return;
            }
            tried.push(engine);
        }
        self.refuse(node, call, now);
    }

    /// Sends a call; returns whether the engine accepts it.
    fn send(&mut self, node: usize, engine: usize, call: &Call, now: u64) -> bool {
        let admission = (self.policy == Policy::Backpressure)
            .then(|| self.signals[node][engine].admit(None, now));
        let slots = self.load.slots;
        let sheds = self.load.sheds && engine == 0 && (2_000..11_000).contains(&now);
        let e = &mut self.engines[engine];
        let rejected = sheds || e.open.len() >= slots * 2;
        e.arrivals.entry(node).or_default().push((now, rejected));
        if rejected {
            self.outcome.rejected += 1;
            self.stats[node][engine].deprioritize(now + DEPRIORITIZED_MS);
            self.pause(node, engine, now);
            return false;
        }
        let begin = if e.open.len() < slots { now } else { e.open[e.open.len() - slots] };
        let end = begin + SERVICE_MS;
        e.open.push_back(end);
        self.open.push((end, node, engine, admission.flatten()));
        match end - call.begun {
            took if took <= TARGET_MS => self.outcome.in_time += 1,
            _ => self.outcome.late += 1,
        }
        true
    }

    fn pause(&mut self, node: usize, engine: usize, now: u64) {
        let draw = self.rng.random_range(0.0..1.0);
        self.signals[node][engine].pause(self.load.pause, draw, now);
        let until = now + self.load.pause;
        match self.policy {
            Policy::Shared => self.until.iter_mut().for_each(|u| u[engine] = until),
            _ => self.until[node][engine] = until,
        }
    }

    fn refuse(&mut self, node: usize, call: Call, now: u64) {
        let left = (call.begun + DEADLINE_MS).saturating_sub(now);
        if call.is_retry || left == 0 {
            self.outcome.refused += 1;
            return;
        }
        let delay_of = |e: usize| match self.policy {
            Policy::Ignore | Policy::Deprioritize => DEFAULT_RETRY_MS,
            Policy::Backpressure => {
                self.signals[node][e].pause_left(now).unwrap_or(DEFAULT_RETRY_MS)
            }
            _ => self.until[node][e].saturating_sub(now).max(1),
        };
        let delay = (0..self.load.engines).map(delay_of).min().unwrap_or(DEFAULT_RETRY_MS);
        let at = now + delay.min(left / 3).max(1);
        self.retries.entry(at).or_default().push(Call { is_retry: true, ..call });
    }

    fn most(&self) -> usize {
        let pause = self.load.pause;
        let within = |arrivals: &Vec<(u64, bool)>| {
            let count = |at: u64| {
                arrivals.iter().filter(|(t, _)| (at + 500..at + pause).contains(t)).count()
            };
            arrivals
                .iter()
                .filter(|(_, rejected)| *rejected)
                .map(|(at, _)| count(*at))
                .max()
                .unwrap_or(0)
        };
        self.engines.iter().flat_map(|e| e.arrivals.values().map(within)).max().unwrap_or(0)
    }
}

/// Sums the outcome of all seeds of a load.
fn simulate(load: Load, policy: Policy) -> Outcome {
    let mut all = Outcome::default();
    for seed in 1..=16 {
        let outcome = World::new(load, policy, seed).run();
        all.calls += outcome.calls;
        all.in_time += outcome.in_time;
        all.late += outcome.late;
        all.refused += outcome.refused;
        all.rejected += outcome.rejected;
        all.most = all.most.max(outcome.most);
    }
    println!("{policy:?}: {all:?}");
    all
}

#[test]
fn an_engine_that_sheds_load_costs_no_answer_while_others_have_capacity() {
    let (ignored, backpressure) =
        (simulate(SHED, Policy::Ignore), simulate(SHED, Policy::Backpressure));
    assert!(
        ignored.most > 2 && ignored.refused > 100,
        "the load must cause failures if pauses are ignored: {ignored:?}"
    );
    assert_eq!(
        (backpressure.refused, backpressure.late, backpressure.most),
        (0, 0, 0),
        "{backpressure:?}"
    );
    assert!(backpressure.rejected * 10 < ignored.rejected, "{backpressure:?}");
}

/// A pause shared with all nodes would leave slots of the engine unused.
#[test]
fn a_pause_applies_only_to_the_node_that_got_it() {
    for load in [BURST, FEW] {
        let (shared, backpressure) =
            (simulate(load, Policy::Shared), simulate(load, Policy::Backpressure));
        assert!(backpressure.in_time > 2 * shared.in_time, "{backpressure:?} {shared:?}");
        assert_eq!(backpressure.most, 0);
    }
}

/// With few nodes, the whole load of a node would return when the pause ends, and be rejected.
#[test]
fn load_returns_gradually_after_a_pause() {
    let (strict, backpressure) =
        (simulate(FEW, Policy::Strict), simulate(FEW, Policy::Backpressure));
    assert!(backpressure.in_time > 2 * strict.in_time, "{backpressure:?} {strict:?}");
    assert!(backpressure.rejected < strict.rejected, "{backpressure:?} {strict:?}");
    // With many nodes, each has little load at an engine, and both policies perform alike.
    let (strict, backpressure) =
        (simulate(BURST, Policy::Strict), simulate(BURST, Policy::Backpressure));
    let served = |o: &Outcome| f64::from(o.in_time + o.late);
    assert!(served(&backpressure) > 0.98 * served(&strict), "{backpressure:?} {strict:?}");
}

/// An engine that rejects at once has almost no load, and would be chosen again and again.
#[test]
fn an_engine_that_gives_no_retry_time_is_deprioritized() {
    let load = Load { pause: 0, ..SHED };
    let (ignored, deprioritized) =
        (simulate(load, Policy::Ignore), simulate(load, Policy::Deprioritize));
    assert!(deprioritized.rejected * 3 < ignored.rejected, "{deprioritized:?} {ignored:?}");
    assert!(deprioritized.refused * 20 < ignored.refused, "{deprioritized:?} {ignored:?}");
}
