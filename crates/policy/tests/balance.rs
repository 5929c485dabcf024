//! Load balancing across failure domains under load, without a network.
//!
//! Nodes decide from reports that are up to 1.5 s old, while load follows their decisions by the
//! duration of the streams. The failures guarded against: nodes that all react to the same old report
//! push the relieved domain's load onto another one and back again; fractions shrink as soon as
//! they work, so that a domain stays loaded; domains that together use the free capacity of a third
//! one exceed it.

#![allow(clippy::unwrap_used, reason = "a failure here fails the test")]

mod common;

use std::collections::VecDeque;
use std::f64::consts::TAU;

use common::name;
use heathpitch_core::Millis;
use heathpitch_policy::{Balance, DomainLoad, Pressure};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const DOMAINS: [&str; 3] = ["east", "north", "west"];
/// Step of the simulation, milliseconds.
const STEP_MS: Millis = 10;
/// Interval of a node's updates, milliseconds.
const UPDATE_MS: Millis = 250;
/// Fraction from which a domain counts as relieved by another one.
const RELIEVED: f64 = 0.02;
/// Pressure by which a domain may be above one that it relieves, for reports that are slightly off.
const TOLERANCE: f64 = 0.05;
/// Change of a fraction between two updates, at most: from nothing to 0.6 takes half a second.
const MAX_STEP: f64 = 0.3 + 1e-9;
/// Tokens that three domains with different accelerators hold.
const UNEVEN: [f64; 3] = [100.0, 80.0, 60.0];
/// Time at which engines are lost.
const LOSS_MS: Millis = 10_000;

/// Three domains whose load follows the calls sent to them by the duration of a stream.
struct Fleet {
    capacity: [f64; 3],
    /// Tokens held.
    load: [f64; 3],
    history: VecDeque<[f64; 3]>,
    nodes: Vec<Node>,
    stream_ms: f64,
    /// Relative error of a report.
    noise: f64,
    cut_off: Option<usize>,
    rng: StdRng,
    now: Millis,
}

struct Node {
    home: usize,
    balance: Balance,
    /// Age of the reports that it sees, milliseconds.
    age: Millis,
    next: Millis,
}

/// State at one time: pressures, and the fraction of each domain's calls that goes to each domain.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Millis,
    pressure: [f64; 3],
    fraction: [[f64; 3]; 3],
}

impl Fleet {
    fn new(
        nodes: usize,
        capacity: [f64; 3],
        stream_ms: f64,
        ages: std::ops::Range<Millis>,
    ) -> Self {
        let mut rng = StdRng::seed_from_u64(nodes as u64);
        let node = |i: usize| Node {
            home: i % 3,
            balance: Balance::new(name(DOMAINS[i % 3])),
            age: rng.random_range(ages.clone()),
            next: rng.random_range(0..UPDATE_MS),
        };
        let nodes = (0..nodes).map(node).collect();
        let rng = StdRng::seed_from_u64(7);
        Self {
            capacity,
            load: [0.0; 3],
            history: VecDeque::new(),
            nodes,
            stream_ms,
            noise: 0.03,
            cut_off: None,
            rng,
            now: 0,
        }
    }

    /// Runs until `end`; `demand` is the load that each domain's own calls amount to, tokens.
    fn run(&mut self, end: Millis, demand: impl Fn(Millis) -> [f64; 3]) -> Vec<Sample> {
        let mut samples = Vec::new();
        while self.now < end {
            let demand = demand(self.now);
            let fraction = self.fractions();
            let mut target = [0.0; 3];
            for home in 0..3 {
                let away: f64 = fraction[home].iter().sum();
                target[home] += demand[home] * (1.0 - away);
                (0..3).for_each(|d| target[d] += demand[home] * fraction[home][d]);
            }
            let follow = STEP_MS as f64 / self.stream_ms;
            self.load = std::array::from_fn(|d| {
                let load = self.load[d] + (target[d] - self.load[d]) * follow;
                load.min(self.capacity[d])
            });
            self.history.push_front(self.load);
            self.history.truncate(1_000);
            self.update_nodes();
            if self.now.is_multiple_of(UPDATE_MS) {
                let pressure = std::array::from_fn(|d| self.load[d] / self.capacity[d]);
                samples.push(Sample { at: self.now, pressure, fraction });
            }
            self.now += STEP_MS;
        }
        samples
    }

    fn fractions(&self) -> [[f64; 3]; 3] {
        let mut sum = [[0.0; 3]; 3];
        let nodes: [f64; 3] =
            std::array::from_fn(|d| self.nodes.iter().filter(|n| n.home == d).count() as f64);
        for node in &self.nodes {
            for (domain, fraction) in node.balance.fractions() {
                let at = DOMAINS.iter().position(|d| *d == domain.as_str()).unwrap();
                sum[node.home][at] += fraction / nodes[node.home];
            }
        }
        sum
    }

    fn update_nodes(&mut self) {
        for i in 0..self.nodes.len() {
            if self.now < self.nodes[i].next {
                continue;
            }
            let (age, home) = (self.nodes[i].age, self.nodes[i].home);
            let seen = (age / STEP_MS) as usize;
            let seen = self.history[seen.min(self.history.len() - 1)];
            let mut loads = Vec::new();
            for d in 0..3 {
                let noise = 1.0 + self.rng.random_range(-self.noise..=self.noise);
                let memory = seen[d] / self.capacity[d] * noise;
                let separated = self.cut_off.is_some_and(|c| (c == d) != (c == home));
                let age = if separated { 9_000 } else { age };
                loads.push(load(DOMAINS[d], memory, self.capacity[d], age));
            }
            self.nodes[i].balance.update(&loads, self.now);
            self.nodes[i].next = self.now + UPDATE_MS;
        }
    }
}

fn load(domain: &str, memory: f64, capacity: f64, age: Millis) -> DomainLoad {
    let pressure = Pressure { memory, start: 0.0 };
    DomainLoad { domain: name(domain), pressure, capacity, age, is_late: false }
}

/// The largest amount by which a domain's pressure exceeds that of one that it relieves.
fn inversion(samples: &[Sample]) -> f64 {
    let pairs = |s: &Sample| {
        let s = *s;
        (0..3).flat_map(move |h| (0..3).map(move |o| (s, h, o)))
    };
    let relieved = samples.iter().flat_map(pairs).filter(|(s, h, o)| s.fraction[*h][*o] > RELIEVED);
    relieved.map(|(s, h, o)| s.pressure[o] - s.pressure[h]).fold(f64::MIN, f64::max)
}

/// The largest distance that a fraction travels up and down.
fn travel(samples: &[Sample]) -> f64 {
    let of = |h: usize, o: usize| -> f64 {
        let change = |w: &[Sample]| (w[1].fraction[h][o] - w[0].fraction[h][o]).abs();
        samples.windows(2).map(change).sum()
    };
    (0..3).flat_map(|h| (0..3).map(move |o| of(h, o))).fold(0.0, f64::max)
}

/// The largest range of a fraction.
fn range(samples: &[Sample]) -> f64 {
    let of = |h: usize, o: usize| {
        let values = || samples.iter().map(|s| s.fraction[h][o]);
        values().fold(f64::MIN, f64::max) - values().fold(f64::MAX, f64::min)
    };
    (0..3).flat_map(|h| (0..3).map(move |o| of(h, o))).fold(0.0, f64::max)
}

/// The largest change of a fraction between two samples.
fn step(samples: &[Sample]) -> f64 {
    let pairs = samples.windows(2);
    let change = |w: &[Sample]| {
        let of = |h: usize, o: usize| (w[1].fraction[h][o] - w[0].fraction[h][o]).abs();
        (0..3).flat_map(|h| (0..3).map(move |o| of(h, o))).fold(0.0, f64::max)
    };
    pairs.map(change).fold(0.0, f64::max)
}

/// The last time at which a domain is clearly above one that it relieves.
fn last_inversion(samples: &[Sample]) -> Millis {
    samples.iter().rev().find(|s| inversion(&[**s]) > TOLERANCE).map_or(0, |s| s.at)
}

/// A domain loses a third of its engines under 1.0, 1.5 and 2.5 times the usual demand, which is
/// 0.3, 0.375 and 0.5 of the domains' capacities, for 20 s.
#[test]
fn the_loss_of_a_third_of_the_engines_of_a_domain_is_shared() {
    for (nodes, times) in [26, 87].into_iter().flat_map(|n| [1.0, 1.5, 2.5].map(|t| (n, t))) {
        let mut fleet = Fleet::new(nodes, UNEVEN, 1_500.0, 300..1_500);
        let demand = |_| [30.0 * times; 3];
        fleet.run(LOSS_MS, demand);
        fleet.capacity[0] *= 2.0 / 3.0;
        let samples = fleet.run(LOSS_MS + 20_000, demand);
        let settled = &samples[samples.len() / 2..];
        let end = samples.last().unwrap();
        let label = format!("{nodes} nodes, {times} times: {end:?}");
        assert!(step(&samples) <= MAX_STEP, "{label}");
        assert!(range(settled) <= 0.05, "{label}");
        assert!(last_inversion(&samples) <= LOSS_MS + 5_000, "{label}");
        let alone: [f64; 3] = std::array::from_fn(|d| 30.0 * times / fleet.capacity[d]);
        match times {
            // Nobody is at half of its capacity, so that nothing has to move.
            1.0 => assert_eq!(end.fraction, [[0.0; 3]; 3], "{label}"),
            // Enough for all: whoever would be fullest is relieved.
            1.5 => assert!(end.pressure[2] < alone[2] - 0.04, "{label}"),
            // More than all engines can serve: nothing stays unused.
            _ => assert!(end.pressure.iter().all(|p| *p > 0.85), "{label}"),
        }
    }
}

/// Demand that swings by 0.55 in 17 s, with 0.7 s from one domain to the next, for a minute; its mean
/// is 0.34, 0.5 and 0.75 of all capacity.
#[test]
fn demand_that_swings_in_step_does_not_make_the_fractions_swing_more() {
    let swing = |t: Millis, d: usize| ((t as f64 / 17_000.0 + d as f64 * 0.04) * TAU).sin();
    for (mean, stream_ms) in [(27.0, 500.0), (40.0, 1_500.0), (60.0, 1_500.0), (40.0, 4_000.0)] {
        let mut fleet = Fleet::new(26, UNEVEN, stream_ms, 300..1_500);
        let samples =
            fleet.run(60_000, |t| std::array::from_fn(|d| mean * (1.0 + 0.55 * swing(t, d))));
        let label = format!("mean {mean}, streams of {stream_ms} ms");
        assert!(inversion(&samples) <= 0.1, "{label}: {}", inversion(&samples));
        assert!(step(&samples) <= MAX_STEP, "{label}: {}", step(&samples));
        // Four periods with one rise and one fall each.
        let (travel, range) = (travel(&samples), range(&samples));
        assert!(travel <= range * 2.0 * 5.0, "{label}: {travel} in a range of {range}");
    }
}

/// One domain has 0.9 of its capacity to bear, the others a fourth, for 30 s. Streams last much shorter and much
/// longer than assumed.
#[test]
fn nodes_with_old_reports_do_not_oscillate() {
    for stream_ms in [300.0, 1_500.0, 6_000.0] {
        let mut fleet = Fleet::new(87, [100.0; 3], stream_ms, 300..1_500);
        let samples = fleet.run(30_000, |_| [90.0, 25.0, 25.0]);
        let settled = &samples[samples.len() / 2..];
        let end = samples.last().unwrap();
        assert!(range(settled) <= 0.05, "{stream_ms}: {} {end:?}", range(settled));
        assert!(inversion(&samples) <= 0.0, "{stream_ms}: {}", inversion(&samples));
        assert!(end.pressure[0] <= 0.6, "{stream_ms}: {end:?}");
    }
}

/// One domain gets 3 times what it can bear for 30 s, so that its reports show less than its demand.
#[test]
fn a_burst_above_what_reports_can_show_leaves_the_other_domains_usable() {
    let mut fleet = Fleet::new(26, [100.0; 3], 2_000.0, 300..1_500);
    let samples = fleet.run(30_000, |_| [300.0, 33.0, 33.0]);
    let settled = &samples[samples.len() / 2..];
    assert!(range(settled) <= 0.05, "{}", range(settled));
    for s in settled {
        assert!(s.pressure[1..].iter().all(|p| (0.7..0.95).contains(p)), "{s:?}");
    }
}

/// A domain that relieves another one is cut off for five seconds.
#[test]
fn a_domain_that_is_cut_off_keeps_its_calls_and_takes_others_again_later() {
    let mut fleet = Fleet::new(26, [100.0; 3], 1_500.0, 300..1_500);
    let demand = |_| [90.0, 30.0, 60.0];
    let before = fleet.run(10_000, demand);
    assert!(before.last().unwrap().fraction[0][1] > 0.1, "{:?}", before.last());
    fleet.cut_off = Some(1);
    let apart = fleet.run(15_000, demand);
    for s in &apart[2..] {
        let crossing = [s.fraction[0][1], s.fraction[2][1], s.fraction[1][0], s.fraction[1][2]];
        assert_eq!(crossing, [0.0; 4], "{s:?}");
    }
    fleet.cut_off = None;
    let after = fleet.run(25_000, demand);
    assert!(after.last().unwrap().fraction[0][1] > 0.1, "{:?}", after.last());
    assert!(step(&after) <= MAX_STEP, "{}", step(&after));
}

#[test]
fn a_domain_whose_reports_are_old_or_missing_or_that_is_late_gets_nothing_at_once() {
    let home = load("east", 0.9, 100.0, 300);
    let other = load("west", 0.3, 100.0, 300);
    let late_start = Pressure { memory: 0.3, start: 1.0 };
    let unfit = [
        vec![home.clone()],
        vec![home.clone(), DomainLoad { age: 2_501, ..other.clone() }],
        vec![home.clone(), DomainLoad { is_late: true, ..other.clone() }],
        vec![home.clone(), DomainLoad { pressure: late_start, ..other.clone() }],
        vec![home.clone(), DomainLoad { capacity: 0.0, ..other.clone() }],
    ];
    for loads in unfit {
        let mut balance = settled(&[home.clone(), other.clone()]);
        assert!(balance.pick(0.0).is_some());
        balance.update(&loads, 1_250);
        assert_eq!(balance.pick(0.0), None, "{loads:?}");
    }
}

#[test]
fn without_reports_of_the_own_domain_calls_return_slowly() {
    let other = load("west", 0.3, 100.0, 300);
    let mut balance = settled(&[load("east", 0.9, 100.0, 300), other.clone()]);
    let start = total(&balance);
    balance.update(std::slice::from_ref(&other), 3_000);
    assert!((start * 0.3..start * 0.5).contains(&total(&balance)), "{balance:?}");
    balance.update(std::slice::from_ref(&other), 30_000);
    assert_eq!(total(&balance), 0.0);
}

#[test]
fn changes_are_noted_once_a_second_and_only_if_they_are_large() {
    let loads = [load("east", 0.9, 100.0, 300), load("west", 0.3, 100.0, 300)];
    let mut balance = Balance::new(name("east"));
    assert!(!balance.note_change(0));
    balance.update(&loads, 0);
    assert!(balance.note_change(0));
    balance.update(&loads[..1], 250);
    assert!(!balance.note_change(250));
    assert!(balance.note_change(1_000));
    assert!(!balance.note_change(2_000));
}

/// Fractions after a second with these loads, for domain east.
fn settled(loads: &[DomainLoad]) -> Balance {
    let mut balance = Balance::new(name("east"));
    (1..=4).for_each(|i| balance.update(loads, i * UPDATE_MS));
    balance
}

fn total(balance: &Balance) -> f64 {
    balance.fractions().map(|(_, f)| f).sum()
}

fn any_load(domain: usize) -> impl Strategy<Value = DomainLoad> {
    let pressure = (0.0..2.0, 0.0..2.0).prop_map(|(memory, start)| Pressure { memory, start });
    let capacity = prop_oneof![1 => Just(0.0), 9 => 1.0..1e6];
    let age = prop_oneof![4 => 0_u64..2_500, 1 => 2_500_u64..9_000];
    (pressure, capacity, age, any::<bool>()).prop_map(move |(pressure, capacity, age, is_late)| {
        DomainLoad { domain: name(DOMAINS[domain]), pressure, capacity, age, is_late }
    })
}

fn any_loads() -> impl Strategy<Value = Vec<DomainLoad>> {
    let all = (any_load(0), any_load(1), any_load(2)).prop_map(|(a, b, c)| vec![a, b, c]);
    (all, 0_usize..4).prop_map(|(mut loads, missing)| {
        if missing < 3 {
            loads.remove(missing);
        }
        loads
    })
}

proptest! {
    #[test]
    fn fractions_are_between_0_and_0_6_in_all(
        updates in prop::collection::vec((any_loads(), 0_u64..4_000), 1..40),
        draw in 0.0..1.0,
    ) {
        let mut balance = Balance::new(name("east"));
        let mut now = 0;
        for (loads, elapsed) in updates {
            now += elapsed;
            balance.update(&loads, now);
            prop_assert!(balance.fractions().all(|(d, f)| f >= 0.0 && d.as_str() != "east"));
            prop_assert!(total(&balance) <= 0.6 + 1e-9);
            prop_assert_eq!(balance.pick(draw).is_some(), draw < total(&balance));
            for (domain, fraction) in balance.fractions().filter(|(_, f)| *f > 0.0) {
                let load = loads.iter().find(|l| &l.domain == domain);
                prop_assert!(load.is_some_and(DomainLoad::takes_calls), "{fraction} to {domain}");
            }
        }
    }

    /// The nodes of all domains decide from the same reports.
    #[test]
    fn domains_together_never_send_more_than_the_free_capacity(loads in any_loads()) {
        let mut inflow = [0.0; 3];
        for (home, load) in DOMAINS.iter().zip(DOMAINS.map(|d| loads.iter().find(|l| l.domain.as_str() == d))) {
            let mut balance = Balance::new(name(home));
            balance.update(&loads, 1_000);
            for (domain, fraction) in balance.fractions() {
                let at = DOMAINS.iter().position(|d| *d == domain.as_str()).unwrap();
                let sent = load.map_or(0.0, |l| l.pressure.level() * l.capacity);
                inflow[at] += fraction * sent;
            }
        }
        for load in &loads {
            let at = DOMAINS.iter().position(|d| *d == load.domain.as_str()).unwrap();
            prop_assert!(inflow[at] <= load.free() * (1.0 + 1e-6), "{inflow:?} {loads:?}");
        }
    }

    /// Any steady demand that the reports can show: no domain's own calls exceed its capacity.
    #[test]
    fn steady_demand_never_fills_a_domain_with_calls_of_others(
        capacity in prop::array::uniform3(30.0..200.0),
        part in prop::array::uniform3(0.1..1.0),
    ) {
        let demand: [f64; 3] = std::array::from_fn(|d| capacity[d] * part[d]);
        let mut fleet = Fleet::new(9, capacity, 2_000.0, 300..800);
        for s in fleet.run(20_000, |_| demand) {
            for o in 0..3 {
                let inflow: f64 = (0..3).map(|h| s.fraction[h][o] * demand[h]).sum();
                let own = demand[o] * (1.0 - s.fraction[o].iter().sum::<f64>());
                let is_within = inflow == 0.0 || own + inflow <= capacity[o];
                prop_assert!(is_within, "{o}: {own} and {inflow} of {capacity:?}: {s:?}");
            }
        }
    }
}
