//! Splits and placement plans; small splits are compared with the exact optimum.

#![allow(clippy::unwrap_used, reason = "a failure here fails the test")]

mod common;

use common::name;
use heathpitch_core::{LayerRange, Model};
use heathpitch_policy::{
    EngineCapacity, LoadedLayers, ModelDemand, Move, MoveReason, PlacementEngine, model_gaps,
    plan_placement, split,
};
use proptest::prelude::*;

fn capable(i: usize, room: u32, layer: u64, link: u64) -> EngineCapacity {
    EngineCapacity { engine: name(&format!("e{i}")), room, layer, link }
}

fn model(text: &str, layers: u32) -> Model {
    Model { layer_mb: 100, ..Model::new(name(text), name("v1"), layers) }
}

fn model_demand(text: &str, layers: u32, demand: f64) -> ModelDemand {
    ModelDemand { model: model(text, layers), demand, allowed: None }
}

fn engine(i: usize, memory: u64, holding: Option<(&str, u32, u32)>) -> PlacementEngine {
    let hold = |(m, first, end)| LoadedLayers {
        model: name(m),
        version: name("v1"),
        layers: LayerRange::new(first, end),
    };
    let engine = name(&format!("e{i}"));
    PlacementEngine { engine, memory, layer: 100, link: 10, holding: holding.map(hold) }
}

fn after(engines: &[PlacementEngine], moves: &[Move]) -> Vec<PlacementEngine> {
    let mut engines = engines.to_vec();
    for m in moves {
        let e = engines.iter_mut().find(|e| e.engine == m.engine).unwrap();
        e.holding = Some(m.holding.clone());
    }
    engines
}

/// Time of the slowest stage in the best split of `layers`, at least one per engine, by exhaustive
/// search.
fn exact(engines: &[&EngineCapacity], layers: u32) -> Option<u64> {
    let Some((first, rest)) = engines.split_first() else {
        return (layers == 0).then_some(0);
    };
    let most = first.room.min(layers);
    let ways = (1..=most).filter_map(|n| {
        let time = u64::from(n) * first.layer + first.link;
        exact(rest, layers - n).map(|other| other.max(time))
    });
    ways.min()
}

#[test]
fn engines_on_slow_links_get_fewer_layers() {
    let both = [capable(0, 20, 100, 10), capable(1, 20, 100, 1_000)];
    let split = split(&both, 30).unwrap();
    assert_eq!(split.parts[0].1 + split.parts[1].1, 30);
    assert_eq!(split.parts[0].1, 20);
}

#[test]
fn nothing_holds_more_than_its_memory() {
    assert_eq!(split(&[capable(0, 5, 1, 1), capable(1, 5, 1, 1)], 11), None);
    assert_eq!(split(&[], 1), None);
}

#[test]
fn a_lost_stage_moves_to_an_idle_engine_and_nothing_else_moves() {
    let engines =
        [engine(0, 1_000, Some(("m", 0, 4))), engine(2, 1_000, None), engine(3, 1_000, None)];
    let moves = plan_placement(&[model_demand("m", 8, 1.0)], &engines);
    assert_eq!(moves[0].holding.layers, LayerRange::new(4, 8));
    assert_eq!(moves[0].reason, MoveReason::Uncovered);
    assert_eq!(moves[0].megabytes, 400);
    assert!(moves.iter().all(|m| m.engine != engines[0].engine));
}

#[test]
fn without_idle_engines_a_replica_of_the_model_with_most_headroom_moves() {
    let engines = [
        engine(0, 1_000, Some(("rich", 0, 4))),
        engine(1, 1_000, Some(("rich", 0, 4))),
        engine(2, 1_000, Some(("rich", 0, 4))),
    ];
    let moves =
        plan_placement(&[model_demand("rich", 4, 1.0), model_demand("poor", 4, 1.0)], &engines);
    assert_eq!(moves.len(), 1);
    assert_eq!(moves[0].holding.model, name("poor"));
    let rich = model("rich", 4);
    assert!(model_gaps(&after(&engines, &moves), &rich).is_empty());
}

#[test]
fn the_last_holder_of_a_layer_is_never_moved() {
    let engines = [engine(0, 1_000, Some(("m", 0, 4)))];
    assert_eq!(
        plan_placement(&[model_demand("m", 4, 0.1), model_demand("other", 4, 100.0)], &engines),
        vec![]
    );
}

#[test]
fn idle_engines_go_to_the_model_with_least_headroom() {
    let engines = [
        engine(0, 1_000, Some(("quiet", 0, 4))),
        engine(1, 1_000, Some(("busy", 0, 4))),
        engine(2, 1_000, None),
    ];
    let moves =
        plan_placement(&[model_demand("quiet", 4, 1.0), model_demand("busy", 4, 9.0)], &engines);
    assert_eq!((moves.len(), &moves[0].holding.model), (1, &name("busy")));
}

#[test]
fn engines_that_routes_do_not_allow_are_not_used() {
    let engines = [engine(0, 1_000, None), engine(1, 1_000, None)];
    let mut w = model_demand("m", 4, 1.0);
    w.allowed = Some([name("e1")].into());
    let moves = plan_placement(&[w], &engines);
    assert!(!moves.is_empty());
    assert!(moves.iter().all(|m| m.engine == name("e1")));
}

#[test]
fn a_complete_placement_is_not_changed() {
    let engines = [engine(0, 1_000, Some(("m", 0, 4))), engine(1, 1_000, Some(("m", 4, 8)))];
    assert_eq!(plan_placement(&[model_demand("m", 8, 5.0)], &engines), vec![]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

/// Splits over up to four engines use the fewest engines and are optimal for that number.
#[test]
    fn splits_are_optimal(
        engines in proptest::collection::vec((1_u32..6, 1_u64..50, 0_u64..100), 1..5),
        layers in 1_u32..12,
    ) {
        let all: Vec<EngineCapacity> = engines
            .iter()
            .enumerate().map(|(i, (room, layer, link))| capable(i, *room, *layer, *link))
            .collect();
        let mut best = None;
        for mask in 1_u32..1 << all.len() {
            let chosen: Vec<&EngineCapacity> =
                (0..all.len()).filter(|i| mask >> i & 1 == 1).map(|i| &all[i]).collect();
            if let Some(time) = exact(&chosen, layers) {
                let found = (chosen.len(), time);
                best = Some(best.map_or(found, |b: (usize, u64)| b.min(found)));
            }
        }
        let got = split(&all, layers);
        prop_assert_eq!(got.as_ref().map(|s| (s.parts.len(), s.slowest)), best);
            if let Some(s) = got {
            prop_assert_eq!(s.parts.iter().map(|p| p.1).sum::<u32>(), layers);
            }
}

/// A plan covers a model whenever idle engines have enough memory, and opens no gap in another.
#[test]
    fn plans_cover_and_never_uncover(
        memories in proptest::collection::vec(100_u64..1_500, 1..8),
        layers in 1_u32..20,
    ) {
        let mut engines: Vec<PlacementEngine> =
            memories.iter()
            .enumerate().map(|(i, m)| engine(i, *m, None))
            .collect();
        engines.push(engine(99, 2_000, Some(("held", 0, 4))));
        let both = [model_demand("held", 4, 1.0), model_demand("new", layers, 1.0)];
    let moves = plan_placement(&both, &engines);
        let then = after(&engines, &moves);
        prop_assert!(model_gaps(&then, &both[0].model).is_empty());
        let room: u64 = memories.iter().map(|m| m / 100).sum();
        prop_assert_eq!(model_gaps(&then, &both[1].model).is_empty(), room >= u64::from(layers));
        let twice: std::collections::BTreeSet<_> = moves.iter().map(|m| &m.engine).collect();
        prop_assert_eq!(twice.len(), moves.len());
            }
}

/// Replicas of a model can be moved although the model itself has a gap.
#[test]
fn a_spare_replica_closes_a_gap_of_its_own_model() {
    let engines = [engine(0, 1_000, Some(("m", 0, 4))), engine(1, 1_000, Some(("m", 0, 4)))];
    let moves = plan_placement(&[model_demand("m", 8, 1.0)], &engines);
    assert_eq!(moves.len(), 1);
    assert_eq!(moves[0].holding.layers, LayerRange::new(4, 8));
}
