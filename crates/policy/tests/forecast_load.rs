//! The capacity forecast under load: a burst, and a loss of engines, seen through late reports.
//!
//! Guards against three failures. Nodes that see engines as they were a second ago send them more
//! than fits, and the engines refuse what callers then wait for in vain. Nodes that forecast too much
//! leave capacity unused. And nodes that all follow the same forecast choose the same engine.
//!
//! What callers need: a first event within 500 ms, no rejection while there is capacity, and under
//! shortage few refusals by engines, as each costs a caller the time of a send and one of two
//! attempts.

use heathpitch_core::LayerRange;
use heathpitch_policy::{EngineStats, LayerLoad, PrefillStage, Pressure, start_ms};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Requests per second and node with the usual demand.
const NODE_RATE: f64 = 3.0;
/// Tokens that a request holds, those of its prompt, and its duration, milliseconds.
const REQUEST_TOKENS: u64 = 900;
const PROMPT_TOKENS: f64 = 600.0;
const DURATION_MS: u64 = 2_500;
/// Tokens that fit into an engine: the usual demand takes 0.45 of them.
const CAPACITY: f64 = 108_750.0;
/// Requests that wait at an engine at most.
const SLOTS: u32 = 96;
/// Usable share of the capacity, as in the gateway.
const USABLE_SHARE: f64 = 0.95;
/// Latency target of the first event, milliseconds.
const TARGET_MS: f64 = 500.0;
/// Step of the simulation, and time between the reports of an engine, milliseconds. Reports are 300
/// to 800 ms old when they arrive, and up to 1 500 ms before the next one does.
const STEP_MS: u64 = 5;
const REPORT_INTERVAL_MS: u64 = 700;
/// Parts of the demand by rank.
const RANKS: [f64; 3] = [0.49, 0.32, 0.19];

/// Demand and engines over time; a burst or loss begins at second 5 and ends at second 15.
#[derive(Clone, Copy, Debug)]
struct Load {
    nodes: u32,
    engines: usize,
    /// Demand during the burst, in usual demands.
    times: f64,
    /// Engines left during the burst.
    left: usize,
    /// Time to prefill a prompt token, milliseconds.
    token_ms: f64,
    /// How much less pressure each rank is admitted to than the one before it.
    rank_step: f64,
    /// Demand at every third node, in usual demands of a node; the others have the rest.
    uneven: f64,
    /// Part of the reports that are lost on their way to a node.
    lost_reports: f64,
    seed: u64,
}

/// The 87 nodes and 12 engines of three failure domains in one, or one domain of them.
const FLEET: Load = Load {
    nodes: 87,
    engines: 12,
    times: 1.0,
    left: 12,
    token_ms: 0.015,
    rank_step: 0.15,
    uneven: 1.0,
    lost_reports: 0.0,
    seed: 7,
};
const DOMAIN: Load = Load { nodes: 29, engines: 4, left: 4, ..FLEET };

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    asked: f64,
    /// Sent to an engine, and refused there.
    sent: f64,
    refused: f64,
    /// First events after the target.
    late: f64,
    /// Mean share of the capacity in use during the burst.
    held: f64,
}

#[derive(Default)]
struct Engine {
    /// Ends of its requests, with the nodes that sent them.
    ends: Vec<(u64, usize)>,
    /// Prompt tokens that wait for prefill.
    backlog: f64,
    /// Reports not yet received: arrival, held tokens, queued requests, time that they describe.
    underway: Vec<(u64, f64, u32, u64)>,
}

impl Engine {
    fn held(&self) -> f64 {
        self.ends.len() as f64 * REQUEST_TOKENS as f64
    }

    fn queued(&self) -> u32 {
        (self.backlog / PROMPT_TOKENS) as u32
    }
}

/// What a node decides by.
struct Node<'a> {
    load: &'a Load,
    stats: &'a [EngineStats],
    forecast: bool,
    now: u64,
}

impl Node<'_> {
    fn start_ms(&self, stats: &EngineStats) -> f64 {
        let stage = PrefillStage { token_ms: self.load.token_ms, step_ms: 2.0 };
        let queued = stats.queue_forecast(SLOTS, self.now) * PROMPT_TOKENS;
        let expected = if self.forecast { start_ms(&[stage], queued, PROMPT_TOKENS) } else { 0.0 };
        expected.max(stats.wait_ms(self.now))
    }

    /// Share of an engine's tokens by which the gateway chooses, with the request.
    fn share(&self, stats: &EngineStats) -> f64 {
        let held = stats.occupancy().held(self.load.nodes, self.now);
        (held + REQUEST_TOKENS as f64) / CAPACITY
    }

    /// The engine of least cost, as in the gateway: utilization counts little, lack of capacity a
    /// lot.
    fn choose(&self, rng: &mut SmallRng) -> usize {
        let cost = |s: &EngineStats| {
            let full = if self.share(s) > USABLE_SHARE { 16.0 } else { 0.0 };
            let wait = (s.wait_ms(self.now) - 90.0).max(0.0) / 50.0;
            0.4 * self.share(s).powi(2) + full + wait + rng.random_range(0.0..0.1)
        };
        let costs: Vec<f64> = self.stats.iter().map(cost).collect();
        (0..costs.len()).min_by(|a, b| costs[*a].total_cmp(&costs[*b])).unwrap_or(0)
    }

    fn pressure(&self, engine: usize) -> Pressure {
        let mut layers = LayerLoad::new(1, self.load.nodes, REQUEST_TOKENS as f64);
        let layer = LayerRange::new(0, 1);
        for s in self.stats {
            layers.add(layer, s.held_forecast(self.load.nodes, self.now), CAPACITY);
        }
        let stats = &self.stats[engine];
        let known = stats.held_known(self.load.nodes, self.now) + REQUEST_TOKENS as f64;
        let memory = layers.share(layer).max(known / CAPACITY) / USABLE_SHARE;
        Pressure { memory, start: self.start_ms(stats) / TARGET_MS }
    }

    /// Probability that a request of this rank is admitted at an engine.
    fn admission(&self, engine: usize, rank: usize) -> f64 {
        let stats = &self.stats[engine];
        if self.share(stats) > USABLE_SHARE {
            return 0.0;
        }
        if !self.forecast {
            return 1.0 - ((stats.wait_ms(self.now) / TARGET_MS - 0.7) / 0.8).clamp(0.0, 0.9);
        }
        let level = self.pressure(engine).level();
        let below = |limit: f64| (1.0 - (level - limit) / 0.1).clamp(0.0, 1.0);
        below(1.0 - self.load.rank_step * rank as f64).max(below(1.0) / 4.0)
    }
}

fn simulate(load: Load, forecast: bool) -> Outcome {
    let rng = &mut SmallRng::seed_from_u64(load.seed);
    let new_stats = |_| (0..load.engines).map(|_| EngineStats::default()).collect::<Vec<_>>();
    let nodes: Vec<Vec<EngineStats>> = (0..load.nodes).map(new_stats).collect();
    let mut engines: Vec<Engine> = (0..load.engines).map(|_| Engine::default()).collect();
    let mut first_events: Vec<(u64, usize, usize, u64)> = Vec::new();
    let mut out = Outcome::default();
    let per_token = (load.token_ms * 512.0 + 4.0) / 512.0;
    for now in (STEP_MS..20_000).step_by(STEP_MS as usize) {
        let bursts = (5_000..15_000).contains(&now);
        let (times, left) = if bursts { (load.times, load.left) } else { (1.0, load.engines) };
        for (e, engine) in engines.iter_mut().enumerate() {
            engine.backlog = (engine.backlog - STEP_MS as f64 / per_token).max(0.0);
            for (_, node) in engine.ends.extract_if(.., |(end, _)| *end <= now || e >= left) {
                nodes[node][e].close(REQUEST_TOKENS, now);
            }
            if (now + 55 * e as u64).is_multiple_of(REPORT_INTERVAL_MS) {
                let arrival = now + rng.random_range(300..800);
                engine.underway.push((arrival, engine.held(), engine.queued(), now));
            }
            for (_, held, queued, at) in engine.underway.extract_if(.., |r| r.0 <= now) {
                for node in &nodes {
                    if rng.random_bool(load.lost_reports) {
                        continue;
                    }
                    node[e].record_held(held, CAPACITY, at);
                    node[e].record_queued(queued, SLOTS, at);
                }
            }
            out.held += if bursts { engine.held() / CAPACITY / left as f64 / 2_000.0 } else { 0.0 };
        }
        for (_, node, e, took) in first_events.extract_if(.., |f| f.0 <= now) {
            nodes[node][e].wait_ended();
            nodes[node][e].record_latency(took, now);
        }
        for (n, stats) in nodes.iter().enumerate() {
            let part = if n % 3 == 0 { load.uneven } else { (3.0 - load.uneven) / 2.0 };
            if !rng.random_bool(part * times * NODE_RATE * STEP_MS as f64 / 1e3) {
                continue;
            }
            out.asked += 1.0;
            let node = Node { load: &load, stats: &stats[..left], forecast, now };
            let e = node.choose(rng);
            let draw = rng.random_range(0.0..1.0);
            let rank = usize::from(draw >= RANKS[0]) + usize::from(draw >= RANKS[0] + RANKS[1]);
            if !rng.random_bool(node.admission(e, rank)) {
                continue;
            }
            out.sent += 1.0;
            let engine = &mut engines[e];
            if engine.held() + REQUEST_TOKENS as f64 > CAPACITY || engine.queued() >= SLOTS {
                out.refused += 1.0;
                continue;
            }
            engine.backlog += PROMPT_TOKENS;
            let took = (engine.backlog * per_token) as u64;
            out.late += f64::from(u8::from(took as f64 > TARGET_MS));
            engine.ends.push((now + took + DURATION_MS, n));
            first_events.push((now + took, n, e, took));
            stats[e].open(REQUEST_TOKENS, now);
            stats[e].wait_began();
        }
    }
    out
}

/// Outcome by today's estimate and by the forecast.
fn compare(load: Load) -> (Outcome, Outcome) {
    (simulate(load, false), simulate(load, true))
}

/// Both sizes, with even and uneven demand, and with half of the reports lost.
fn bases() -> impl Iterator<Item = Load> {
    [FLEET, DOMAIN]
        .into_iter()
        .flat_map(|base| [base, Load { uneven: 2.2, ..base }, Load { lost_reports: 0.5, ..base }])
}

#[test]
fn a_burst_is_admitted_as_far_as_it_fits() {
    for base in bases() {
        let (by_report, by_forecast) = compare(Load { times: 3.0, ..base });
        // Every tenth call at most is sent in vain, and the capacity up to the ranks' limits is used.
        assert!(by_forecast.refused < 0.1 * by_forecast.sent, "{base:?} {by_forecast:?}");
        assert!(
            by_forecast.refused < 0.5 * by_report.refused,
            "{base:?} {by_report:?} {by_forecast:?}"
        );
        assert!(by_forecast.held > 0.75, "{base:?} {by_forecast:?}");
        assert_eq!(by_forecast.late, 0.0);
    }
}

#[test]
fn a_burst_that_queues_for_prefill_starts_in_time() {
    for base in bases() {
        for (times, token_ms) in [(3.0, 0.04), (1.4, 0.06)] {
            let load = Load { times, token_ms, ..base };
            let (by_report, by_forecast) = compare(load);
            let in_time = |o: Outcome| o.sent - o.refused - o.late;
            assert!(
                in_time(by_forecast) > in_time(by_report),
                "{load:?} {by_report:?} {by_forecast:?}"
            );
            assert!(by_forecast.late < 0.35 * by_forecast.sent, "{load:?} {by_forecast:?}");
        }
    }
}

#[test]
fn nobody_is_refused_while_there_is_capacity() {
    for base in bases() {
        // A quarter of the engines lost: 1.4 times the usual demand for each of the others.
        let lost = Load { times: 1.05, left: base.engines * 3 / 4, ..base };
        for load in [base, lost, Load { times: 1.4, ..base }] {
            // Only a pressure of 1.0 is a lack of capacity; ranks are refused earlier than that.
            let by_forecast = simulate(Load { rank_step: 0.0, ..load }, true);
            assert!(by_forecast.sent >= 0.99 * by_forecast.asked, "{load:?} {by_forecast:?}");
            assert!(by_forecast.refused <= 0.002 * by_forecast.sent, "{load:?} {by_forecast:?}");
        }
    }
}
