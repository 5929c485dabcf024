//! Moves off a lost engine under load: 30 streams of three ranks run through it when it is lost, and
//! one, two or three engines with slow cards hold its layers.
//!
//! Guards against moves in the order of discovery and to the cheapest engine alone: prefills then
//! queue at one substitute, and urgent streams resume after others. Callers accept pauses of 250 ms.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails its test")]

mod common;

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

use common::name;
use heathpitch_core::{
    Card, EngineEntry, EntryState, LayerRange, LayeredModel, Millis, Name, Path, Stage,
};
use heathpitch_policy::{
    ChainEngine, ChainQuery, MoveLoad, MoveResult, PrefillStage, StalledStream, find_chain,
    plan_moves, prefill_ms, silence_threshold,
};
use proptest::prelude::*;

/// Longest pause that callers accept, milliseconds.
const MAX_PAUSE_MS: Millis = 250;
/// Tokens that a stream holds.
const TOKENS: f64 = 900.0;
/// Tokens that fit into a substitute in addition to its layers.
const CAPACITY_TOKENS: f64 = 100_000.0;
/// Time of an order to a first engine and its response, milliseconds.
const ORDER_MS: f64 = 4.0;
/// Time of a refused connection, milliseconds.
const PROBE_MS: Millis = 5;
/// Time at which the engine is lost, milliseconds.
const LOST_AT: Millis = 10_000;
/// Interval between rounds of decisions, milliseconds.
const ROUND_MS: Millis = 20;
/// Time by which each further node notices the loss later, milliseconds.
const NODE_OFFSET_MS: Millis = 5;
/// First engines that the streams are spread over.
const HEADS: usize = 3;
/// Engine that is lost.
const LOST: &str = "lost";

fn card(id: &str, step_factor: f64, prefill_factor: f64) -> Card {
    Card { name: name(id), memory_mb: 72_000.0, step_factor, prefill_factor }
}

fn fast() -> Card {
    card("a100", 2.4, 3.2)
}

fn slow() -> Card {
    card("l4", 16.0, 8.2)
}

fn model() -> LayeredModel {
    LayeredModel {
        layers: 80,
        layer_mb: 1_750.0,
        token_bytes: 320_000.0,
        slots: 192,
        step_ms: 0.85,
        request_ms: 0.0,
        context_ms: 0.0,
        prefill_rate: 321_000.0,
        load_ms: 30_000,
        parallel_loads: 4,
        report_lag_ms: 200,
        typical_prompt: 800.0,
        typical_answer: 200.0,
        cards: vec![fast(), slow()],
        delays: vec![],
    }
}

fn engine(id: &str, card: Card, first: u32, end: u32) -> ChainEngine {
    let entry = EngineEntry {
        id: name(id),
        service: name("llm"),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: name("east"),
        state: EntryState::Ready,
        slots: 192,
        card: Some(card.name.clone()),
        layers: LayerRange::new(first, end),
        started_at: None,
    };
    ChainEngine {
        entry: Arc::new(entry),
        card,
        penalty: 0.0,
        start_cost: 0.0,
        utilization: 0.2,
        full: false,
        deprioritized: false,
    }
}

/// First engines with layers 0 to 40, substitutes with 40 to 50, and one engine with the rest.
fn engines(substitutes: usize) -> Vec<ChainEngine> {
    let heads = (0..HEADS).map(|i| engine(&format!("h{i}"), fast(), 0, 40));
    let slow = (0..substitutes).map(|i| engine(&format!("s{i}"), slow(), 40, 50));
    heads.chain(slow).chain([engine("tail", fast(), 50, 80)]).collect()
}

/// A stream through the lost engine.
#[derive(Clone, Debug)]
struct Stream {
    rank: u8,
    last_event: Millis,
    path: Path,
}

/// A moved stream.
#[derive(Clone, Debug)]
struct Moved {
    rank: u8,
    result: MoveResult,
    substitute: Name,
    ordered: Millis,
    /// Time from its last event to the next one.
    pause: f64,
}

impl Moved {
    fn in_time(&self) -> bool {
        self.pause <= MAX_PAUSE_MS as f64
    }
}

fn stream(i: usize, rank: u8, last_event: Millis) -> Stream {
    let stage = |id: &str, first, end| Stage {
        engine: name(id),
        address: name("10.0.0.1:80"),
        layers: LayerRange::new(first, end),
        epoch: heathpitch_core::Epoch(0),
    };
    let stages =
        vec![stage(&format!("h{}", i % HEADS), 0, 40), stage(LOST, 40, 50), stage("tail", 50, 80)];
    let path = Path::new(&heathpitch_core::Model::new(name("llm"), name("llm"), 80), stages);
    Stream { rank, last_event, path: path.unwrap() }
}

/// Ten streams of each rank, found in an order in which urgent ones are last, with events up to 20 ms
/// before the loss.
fn thirty() -> Vec<Stream> {
    (0..30).map(|i| stream(i, 2 - (i / 10) as u8, LOST_AT - (i as u64 * 7) % 20)).collect()
}

/// Stages of a path that prefill a moved stream's tokens: the first engine and those that are new.
fn prefill_stages(path: &Path, engines: &[ChainEngine]) -> Vec<(Name, PrefillStage)> {
    let stage = |s: &Stage| {
        let card = &engines.iter().find(|e| e.entry.id == s.engine).unwrap().card;
        (s.engine.clone(), PrefillStage::new(&model(), card, s.layers.count(), 20_000.0, 1.0))
    };
    path.stages().iter().filter(|s| s.engine.as_str() != "tail").map(stage).collect()
}

/// Time at which the loss is known.
fn noticed_at() -> Millis {
    let path = stream(0, 0, 0).path;
    let all = [engines(1), vec![engine(LOST, slow(), 40, 50)]].concat();
    let stages: Vec<_> = prefill_stages(&path, &all).into_iter().map(|(_, s)| s).collect();
    LOST_AT + silence_threshold(Some(MAX_PAUSE_MS), prefill_ms(&stages, TOKENS)) + PROBE_MS
}

/// What a test plays.
#[derive(Clone, Copy, Debug)]
struct Scene {
    substitutes: usize,
    /// Nodes that the streams are dealt to; none knows of the others' moves.
    nodes: usize,
    /// Factor by which engines are slower than declared.
    slowdown: f64,
}

impl Scene {
    fn new(substitutes: usize) -> Self {
        Self { substitutes, nodes: 1, slowdown: 1.0 }
    }

    /// Moves all streams, and computes when they resume at engines that prefill in the order of
    /// arrival.
    fn play(self, streams: Vec<Stream>) -> Vec<Moved> {
        let mut queues = Queues::default();
        let mut loads = vec![MoveLoad::default(); self.nodes];
        let mut waiting: Vec<Option<Stream>> = streams.into_iter().map(Some).collect();
        let mut moved = Vec::new();
        for round in 0..100 {
            for (node, load) in loads.iter_mut().enumerate() {
                let now = noticed_at() + round * ROUND_MS + node as u64 * NODE_OFFSET_MS;
                moved.extend(self.play_round(&mut waiting, node, load, &mut queues, now));
            }
        }
        moved
    }

    fn play_round(
        self,
        waiting: &mut [Option<Stream>],
        node: usize,
        load: &mut MoveLoad,
        queues: &mut Queues,
        now: Millis,
    ) -> Vec<Moved> {
        let engines = engines(self.substitutes);
        let load = RefCell::new(load);
        let since = noticed_at() + node as u64 * NODE_OFFSET_MS;
        let own = waiting.iter().enumerate().filter(|(i, _)| i / HEADS % self.nodes == node);
        let stalled = own.filter_map(|(i, s)| {
            let (rank, due) = s.as_ref().map(|s| (s.rank, s.last_event + MAX_PAUSE_MS))?;
            Some(StalledStream { stream: i, rank, urgent_share: f64::from(rank) / 2.0, due, since })
        });
        let stalled: Vec<_> = stalled.collect();
        let before = waiting.to_vec();
        let plan = |i: &usize| {
            let path = detour(&before[*i].as_ref()?.path, &engines, &load.borrow(), now)?;
            let (names, stages): (Vec<_>, Vec<_>) =
                prefill_stages(&path, &engines).into_iter().unzip();
            let queue = names.iter().map(|e| load.borrow().wait_ms(e, now)).fold(0.0, f64::max);
            Some((path, ORDER_MS + queue + prefill_ms(&stages, TOKENS)))
        };
        let mut moved = Vec::new();
        plan_moves(stalled, now, plan, |s, path, result| {
            let stream = waiting[s.stream].take().unwrap();
            self.book(&path, &engines, &mut load.borrow_mut(), now);
            let end = queues.prefill(&path, &engines, self.slowdown, now as f64 + ORDER_MS);
            moved.push(Moved {
                rank: stream.rank,
                result,
                substitute: path.stages()[1].engine.clone(),
                ordered: now,
                pause: end - stream.last_event as f64,
            });
        });
        moved
    }

    /// Counts a move, and as many of the other nodes at any of the engines.
    fn book(self, path: &Path, engines: &[ChainEngine], load: &mut MoveLoad, now: Millis) {
        for (engine, stage) in prefill_stages(path, engines) {
            let busy = stage.busy_ms(TOKENS);
            load.book(&engine, busy, TOKENS, now);
            let layers = engines.iter().find(|e| e.entry.id == engine).unwrap().entry.layers;
            let holders: Vec<_> = engines.iter().filter(|e| e.entry.layers == layers).collect();
            let others = (self.nodes - 1) as f64 / holders.len() as f64;
            for holder in holders {
                load.book(&holder.entry.id, busy * others, TOKENS * others, now);
            }
        }
    }
}

/// Best path around the lost engine.
fn detour(path: &Path, engines: &[ChainEngine], load: &MoveLoad, now: Millis) -> Option<Path> {
    let mut charged = engines.to_vec();
    charged.iter_mut().for_each(|e| load.charge(e, CAPACITY_TOKENS, now));
    let (model, llm, east) = (model(), name("llm"), name("east"));
    let query = ChainQuery { model: &model, name: &llm, home: &east, current: Some(path) };
    find_chain(&query, &charged).map(|(path, _)| path)
}

/// Times at which engines have finished the prefills ordered so far.
#[derive(Debug, Default)]
struct Queues(HashMap<Name, f64>);

impl Queues {
    /// Prefills a stream's tokens through a path from `begin` on, and returns the end.
    fn prefill(&mut self, path: &Path, engines: &[ChainEngine], slowdown: f64, begin: f64) -> f64 {
        let (names, stages): (Vec<_>, Vec<_>) = prefill_stages(path, engines).into_iter().unzip();
        let mut end = begin + prefill_ms(&stages, TOKENS) * slowdown;
        for (engine, stage) in names.into_iter().zip(&stages) {
            let free = self.0.entry(engine).or_insert(0.0);
            *free = free.max(begin) + stage.busy_ms(TOKENS) * slowdown;
            end = end.max(*free);
        }
        end
    }
}

fn of_rank(moved: &[Moved], rank: u8) -> Vec<&Moved> {
    moved.iter().filter(|m| m.rank == rank).collect()
}

fn longest(moved: &[&Moved]) -> f64 {
    moved.iter().map(|m| m.pause).fold(0.0, f64::max)
}

#[test]
fn urgent_streams_resume_first_and_all_resume() {
    for substitutes in 1..=3 {
        let moved = Scene::new(substitutes).play(thirty());
        assert_eq!(moved.len(), 30, "{substitutes} substitutes: every stream is moved");
        let ranks: Vec<u8> =
            moved.iter().filter(|m| m.result == MoveResult::InTime).map(|m| m.rank).collect();
        assert!(ranks.is_sorted(), "{substitutes} substitutes: {ranks:?}");
        let mean = |rank| of_rank(&moved, rank).iter().map(|m| m.pause).sum::<f64>() / 10.0;
        assert!(mean(0) < mean(1) && mean(1) < mean(2), "{substitutes} substitutes");
    }
}

#[test]
fn streams_that_can_resume_in_time_do() {
    for (substitutes, urgent, all) in [(1, 10, 10), (2, 10, 19), (3, 10, 28)] {
        let moved = Scene::new(substitutes).play(thirty());
        let expected = moved.iter().filter(|m| m.result == MoveResult::InTime);
        assert!(expected.clone().all(Moved::in_time), "the forecast holds: {moved:?}");
        let in_time = moved.iter().filter(|m| m.in_time()).count();
        let urgent_in_time = of_rank(&moved, 0).iter().filter(|m| m.in_time()).count();
        assert!(
            urgent_in_time >= urgent && in_time >= all,
            "{substitutes} substitutes: {urgent_in_time} urgent streams and {in_time} in all"
        );
    }
}

#[test]
fn streams_that_are_late_anyway_do_not_delay_the_others() {
    for substitutes in 1..=3 {
        let late = (30..60).map(|i| stream(i, (i % 3) as u8, LOST_AT - 200));
        let with_late = Scene::new(substitutes).play(late.chain(thirty()).collect());
        let alone = Scene::new(substitutes).play(thirty());
        let in_time = |moved: &[Moved]| -> Vec<(u8, i64)> {
            let kept = moved.iter().filter(|m| m.result == MoveResult::InTime);
            kept.map(|m| (m.rank, m.pause.round() as i64)).collect()
        };
        assert_eq!(in_time(&with_late), in_time(&alone), "{substitutes} substitutes");
        assert_eq!(with_late.len(), 60, "every stream is moved");
    }
}

#[test]
fn streams_are_spread_over_all_substitutes() {
    for substitutes in 2..=3 {
        let moved = Scene::new(substitutes).play(thirty());
        let mut counts: HashMap<&Name, usize> = HashMap::new();
        moved.iter().for_each(|m| *counts.entry(&m.substitute).or_default() += 1);
        assert_eq!(counts.len(), substitutes);
        let fair = 30 / substitutes;
        assert!(counts.values().all(|c| c.abs_diff(fair) <= fair / 3), "{counts:?}");
    }
}

#[test]
fn urgent_streams_resume_first_at_engines_slower_than_declared() {
    for substitutes in 1..=3 {
        let moved = Scene { slowdown: 1.5, ..Scene::new(substitutes) }.play(thirty());
        let [first, last] = [0, 2].map(|rank| longest(&of_rank(&moved, rank)));
        assert!(first < last, "{substitutes} substitutes: {first:.0} and {last:.0} ms");
    }
}

#[test]
fn urgent_streams_resume_first_although_nodes_do_not_know_of_each_other() {
    for substitutes in 1..=3 {
        let moved = Scene { nodes: 3, ..Scene::new(substitutes) }.play(thirty());
        assert_eq!(moved.len(), 30, "{substitutes} substitutes: every stream is moved");
        let mean = |rank| of_rank(&moved, rank).iter().map(|m| m.pause).sum::<f64>() / 10.0;
        assert!(mean(0) < mean(1) && mean(1) < mean(2), "{substitutes} substitutes");
    }
}

/// Guards against late moves of one node that occupy the substitute just before another node, which
/// notices the loss later, moves urgent streams there.
#[test]
fn late_streams_of_one_node_do_not_delay_urgent_ones_of_another() {
    let on_second_node = |i: usize| i / HEADS % 2 == 1;
    let streams = (0..36).map(|i| match on_second_node(i) {
        true => stream(i, u8::from(i > 20), LOST_AT - 5),
        false => stream(i, 2, LOST_AT - 200),
    });
    let moved = Scene { nodes: 2, ..Scene::new(1) }.play(streams.collect());
    let urgent = of_rank(&moved, 0);
    assert!(urgent.iter().all(|m| m.in_time()), "{urgent:?}");
    assert_eq!(moved.len(), 36, "every stream is moved");
}

/// Guards against moves that still count after their order was refused: each retry would queue behind
/// those before it, be expected late, and wait for the more urgent ranks.
#[test]
fn refused_moves_do_not_count() {
    let engines = engines(1);
    let path = stream(0, 1, LOST_AT).path;
    let (now, mut load) = (noticed_at(), MoveLoad::default());
    let kept = load.book(&name("s0"), 5.0, TOKENS, now);
    for _ in 0..3 {
        let stages = prefill_stages(&detour(&path, &engines, &load, now).unwrap(), &engines);
        let refused: Vec<_> = stages
            .iter()
            .map(|(engine, stage)| load.book(engine, stage.busy_ms(TOKENS), TOKENS, now))
            .collect();
        refused.iter().for_each(|booking| load.cancel(booking));
    }
    let s0 = name("s0");
    assert!((load.wait_ms(&s0, now) - 5.0).abs() < 1e-6 && load.tokens(&s0, now) == TOKENS);
    load.cancel(&kept);
    assert!(load.wait_ms(&s0, now) < 1e-6 && load.tokens(&s0, now) == 0.0);
}

#[test]
fn slow_cards_shorten_the_silence_threshold_within_its_bounds() {
    let threshold = |card: &Card, tokens| {
        let half = PrefillStage::new(&model(), card, 40, 20_000.0, 1.0);
        silence_threshold(Some(MAX_PAUSE_MS), prefill_ms(&[half, half], tokens))
    };
    let (fast, slow) = (threshold(&fast(), TOKENS), threshold(&slow(), TOKENS));
    assert!(slow < fast && fast < 160, "{slow} and {fast} ms");
    assert_eq!(threshold(&card("t4", 40.0, 20.0), TOKENS), 140, "false alarms cost connections");
    assert_eq!(silence_threshold(Some(10_000), 0.0), 160);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against starvation: whatever the ranks and ages of the streams, each is moved, and a late
    /// one waits for a bounded time.
    #[test]
    fn no_stream_is_starved(
        streams in prop::collection::vec((0_u8..10, 0_u64..400), 1..60),
        substitutes in 1_usize..4,
    ) {
        let streams: Vec<_> = streams
            .iter()
            .enumerate()
            .map(|(i, (rank, age))| stream(i, *rank, LOST_AT - age))
            .collect();
        let moved = Scene::new(substitutes).play(streams.clone());
        prop_assert_eq!(moved.len(), streams.len());
        let last = moved.iter().map(|m| m.ordered).max().unwrap_or(0);
        prop_assert!(last <= noticed_at() + 600 + ROUND_MS, "the last move came at {last}");
    }
}
