//! Engines that ask for rest, under load: what it brings callers that a node heeds them, and how.
//!
//! Three loads. A service of three engines, one for each failure domain, of which one turns everybody away for
//! nine seconds and asks for three seconds of rest each time, under six times the load of the deployment where that was seen:
//! 57 calls a second at seven nodes, 30 ms of work each, 6 slots. A service of six engines that is asked for 1.6 times
//! what it can do for four seconds, by 295 nodes, and one of three engines by seven; engines whose queue is
//! full ask for a second of rest. Callers come back once, after the time that they are told but within a third of
//! what they have; calls take two engines at most, the second one from a budget of a fifth. Sixteen seeds each.

mod common;

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use heathpitch_policy::{Admission, Backpressure, EngineStats};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Work of a call, milliseconds.
const WORK: u64 = 30;
/// Time within which an answer is wanted, and that callers have.
const AIM: u64 = 150;
const LIMIT: u64 = 1_500;
/// What callers are told where nothing is known.
const BACK: u64 = 400;

/// Time for which others are preferred to one that turned a call away and named no time.
const PASSED_OVER: u64 = 600;

/// How nodes treat a wish for rest.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// As if nothing had been said.
    Deaf,
    /// Nothing is sent until its end.
    Strict,
    /// Nothing is sent until its end, and all nodes hear of it at once.
    Told,
    /// As [`Backpressure`] does.
    Wish,
    /// Where no time is named, others are preferred for a moment.
    Passed,
}

#[derive(Clone, Copy)]
struct Load {
    nodes: usize,
    engines: usize,
    slots: usize,
    /// Calls a millisecond, and the factor on them from 2 to 6 s.
    rate: f64,
    burst: f64,
    /// Whether the first engine turns everybody away from 2 to 11 s.
    sheds: bool,
    rest: u64,
}

const SHED: Load =
    Load { nodes: 7, engines: 3, slots: 6, rate: 0.057, burst: 1.0, sheds: true, rest: 3_000 };
const BURST: Load =
    Load { nodes: 295, engines: 6, slots: 6, rate: 0.84, burst: 2.3, sheds: false, rest: 1_000 };
const FEW: Load = Load { nodes: 7, engines: 3, rate: 0.42, ..BURST };

#[derive(Debug, Default, PartialEq)]
struct Found {
    calls: u32,
    in_time: u32,
    late: u32,
    refused: u32,
    turned_away: u32,
    /// Most requests of one node within one rest, half a second after it was asked for.
    most: usize,
}

struct Call {
    begun: u64,
    returned: bool,
}

#[derive(Default)]
struct Engine {
    /// Calls that run or wait, with the ends of their work.
    open: VecDeque<u64>,
    /// When each node came, and what it was told.
    came: HashMap<usize, Vec<(u64, bool)>>,
}

struct World {
    load: Load,
    way: Way,
    rng: SmallRng,
    engines: Vec<Engine>,
    wishes: Vec<Vec<Arc<Backpressure>>>,
    until: Vec<Vec<u64>>,
    tallies: Vec<Vec<EngineStats>>,
    budget: Vec<f64>,
    /// Calls at engines: when their answer comes, the node, the engine.
    open: Vec<(u64, usize, usize, Option<Admission>)>,
    returns: HashMap<u64, Vec<Call>>,
    found: Found,
}

impl World {
    fn new(load: Load, way: Way, seed: u64) -> Self {
        let per_engine = || (0..load.engines).map(|_| Arc::<Backpressure>::default()).collect();
        Self {
            load,
            way,
            rng: SmallRng::seed_from_u64(seed),
            engines: (0..load.engines).map(|_| Engine::default()).collect(),
            wishes: (0..load.nodes).map(|_| per_engine()).collect(),
            until: vec![vec![0; load.engines]; load.nodes],
            tallies: (0..load.nodes)
                .map(|_| (0..load.engines).map(|_| EngineStats::default()).collect())
                .collect(),
            budget: vec![1.0; load.nodes],
            open: Vec::new(),
            returns: HashMap::new(),
            found: Found::default(),
        }
    }

    fn run(mut self) -> Found {
        for now in 1..15_000_u64 {
            self.finish(now);
            let burst = if (2_000..6_000).contains(&now) { self.load.burst } else { 1.0 };
            let mut calls = self.returns.remove(&now).unwrap_or_default();
            let mut rate = self.load.rate * burst;
            while rate > 0.0 {
                if self.rng.random_bool(rate.min(1.0)) {
                    self.found.calls += 1;
                    calls.push(Call { begun: now, returned: false });
                }
                rate -= 1.0;
            }
            for call in calls {
                let node = self.rng.random_range(0..self.load.nodes);
                self.call(node, call, now);
            }
        }
        self.found.most = self.most();
        self.found
    }

    fn finish(&mut self, now: u64) {
        let (wishes, engines) = (&self.wishes, &mut self.engines);
        self.open.retain_mut(|(end, node, engine, entered)| {
            if *end > now {
                return true;
            }
            drop(entered.take());
            wishes[*node][*engine].record_success(now);
            false
        });
        for engine in engines {
            while engine.open.front().is_some_and(|end| *end <= now) {
                engine.open.pop_front();
            }
        }
    }

    fn admits(&self, node: usize, engine: usize, now: u64) -> bool {
        match self.way {
            Way::Deaf | Way::Passed => true,
            Way::Strict | Way::Told => now >= self.until[node][engine],
            Way::Wish => self.wishes[node][engine].admits(now),
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
            let passed = self.way == Way::Passed;
            let full = |e: usize| match passed && self.tallies[node][e].is_deprioritized(now) {
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
            if self.ask(node, engine, &call, now) {
                return;
            }
            tried.push(engine);
        }
        self.refuse(node, call, now);
    }

    /// Whether an engine takes a call.
    fn ask(&mut self, node: usize, engine: usize, call: &Call, now: u64) -> bool {
        let entered = (self.way == Way::Wish).then(|| self.wishes[node][engine].admit(None, now));
        let slots = self.load.slots;
        let sheds = self.load.sheds && engine == 0 && (2_000..11_000).contains(&now);
        let e = &mut self.engines[engine];
        let away = sheds || e.open.len() >= slots * 2;
        e.came.entry(node).or_default().push((now, away));
        if away {
            self.found.turned_away += 1;
            self.tallies[node][engine].deprioritize(now + PASSED_OVER);
            self.rest(node, engine, now);
            return false;
        }
        let begin = if e.open.len() < slots { now } else { e.open[e.open.len() - slots] };
        let end = begin + WORK;
        e.open.push_back(end);
        self.open.push((end, node, engine, entered.flatten()));
        match end - call.begun {
            took if took <= AIM => self.found.in_time += 1,
            _ => self.found.late += 1,
        }
        true
    }

    fn rest(&mut self, node: usize, engine: usize, now: u64) {
        let draw = self.rng.random_range(0.0..1.0);
        self.wishes[node][engine].pause(self.load.rest, draw, now);
        let until = now + self.load.rest;
        match self.way {
            Way::Told => self.until.iter_mut().for_each(|u| u[engine] = until),
            _ => self.until[node][engine] = until,
        }
    }

    fn refuse(&mut self, node: usize, call: Call, now: u64) {
        let left = (call.begun + LIMIT).saturating_sub(now);
        if call.returned || left == 0 {
            self.found.refused += 1;
            return;
        }
        let rests = |e: usize| match self.way {
            Way::Deaf | Way::Passed => BACK,
            Way::Wish => self.wishes[node][e].pause_left(now).unwrap_or(BACK),
            _ => self.until[node][e].saturating_sub(now).max(1),
        };
        let told = (0..self.load.engines).map(rests).min().unwrap_or(BACK);
        let at = now + told.min(left / 3).max(1);
        self.returns.entry(at).or_default().push(Call { returned: true, ..call });
    }

    fn most(&self) -> usize {
        let rest = self.load.rest;
        let within = |came: &Vec<(u64, bool)>| {
            let count =
                |at: u64| came.iter().filter(|(t, _)| (at + 500..at + rest).contains(t)).count();
            came.iter().filter(|(_, away)| *away).map(|(at, _)| count(*at)).max().unwrap_or(0)
        };
        self.engines.iter().flat_map(|e| e.came.values().map(within)).max().unwrap_or(0)
    }
}

/// All seeds of a load together.
fn play(load: Load, way: Way) -> Found {
    let mut all = Found::default();
    for seed in 1..=16 {
        let found = World::new(load, way, seed).run();
        all.calls += found.calls;
        all.in_time += found.in_time;
        all.late += found.late;
        all.refused += found.refused;
        all.turned_away += found.turned_away;
        all.most = all.most.max(found.most);
    }
    println!("{way:?}: {all:?}");
    all
}

#[test]
fn an_engine_that_sheds_costs_nobody_an_answer_while_others_have_room() {
    let (deaf, wish) = (play(SHED, Way::Deaf), play(SHED, Way::Wish));
    assert!(deaf.most > 2 && deaf.refused > 100, "the load shows what is at stake: {deaf:?}");
    assert_eq!((wish.refused, wish.late, wish.most), (0, 0, 0), "{wish:?}");
    assert!(wish.turned_away * 10 < deaf.turned_away, "{wish:?}");
}

/// What one node is told is no reason for another one to leave an engine's slots unused.
#[test]
fn rest_is_for_the_node_that_it_was_asked_of() {
    for load in [BURST, FEW] {
        let (told, wish) = (play(load, Way::Told), play(load, Way::Wish));
        assert!(wish.in_time > 2 * told.in_time, "{wish:?} {told:?}");
        assert_eq!(wish.most, 0);
    }
}

/// Where few nodes bear the load, all that one of them has comes back when the rest ends, and is turned away.
#[test]
fn an_engine_is_taken_up_again_by_and_by() {
    let (strict, wish) = (play(FEW, Way::Strict), play(FEW, Way::Wish));
    assert!(wish.in_time > 2 * strict.in_time, "{wish:?} {strict:?}");
    assert!(wish.turned_away < strict.turned_away, "{wish:?} {strict:?}");
    // Where many do, each has next to nothing at an engine, and the one is as good as the other.
    let (strict, wish) = (play(BURST, Way::Strict), play(BURST, Way::Wish));
    let served = |f: &Found| f64::from(f.in_time + f.late);
    assert!(served(&wish) > 0.98 * served(&strict), "{wish:?} {strict:?}");
}

/// One that turns everybody away at once has next to no load, and would be chosen again and again.
#[test]
fn an_engine_that_names_no_time_is_passed_over_for_a_moment() {
    let load = Load { rest: 0, ..SHED };
    let (deaf, passed) = (play(load, Way::Deaf), play(load, Way::Passed));
    assert!(passed.turned_away * 3 < deaf.turned_away, "{passed:?} {deaf:?}");
    assert!(passed.refused * 20 < deaf.refused, "{passed:?} {deaf:?}");
}
