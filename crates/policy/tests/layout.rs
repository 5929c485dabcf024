//! Layouts: every layer held, memory kept, losses repaired, no end of moves.

#![allow(clippy::unwrap_used, clippy::panic, reason = "what fails here fails its test")]

mod common;

use common::name;
use heathpitch_core::{Card, LayerRange, LayeredModel};
use heathpitch_policy::{Assignment, LayoutReason, Worker, lay_out, mains, uncovered};
use proptest::prelude::*;

/// The cards of the users' deployments.
fn cards() -> Vec<Card> {
    let card = |n: &str, memory_mb, pace, read| Card {
        name: name(n),
        memory_mb,
        step_factor: pace,
        prefill_factor: read,
    };
    vec![
        card("h100", 72_000.0, 1.4, 1.0),
        card("a100s", 36_000.0, 3.1, 3.2),
        card("l4", 21_600.0, 16.0, 8.2),
        card("t4", 14_400.0, 15.0, 15.0),
    ]
}

fn model() -> LayeredModel {
    LayeredModel {
        layers: 80,
        layer_mb: 1_750.0,
        token_bytes: 590_000.0,
        slots: 192,
        step_ms: 0.85,
        request_ms: 0.004_59,
        context_ms: 0.000_006_15,
        prefill_rate: 196_000.0,
        load_ms: 14_000,
        parallel_loads: 6,
        report_lag_ms: 200,
        typical_prompt: 772.0,
        typical_answer: 172.0,
        cards: cards(),
        delays: Vec::new(),
    }
}

/// Workers that hold nothing: so many of each card.
fn workers(counts: [usize; 4]) -> Vec<Worker> {
    let cards = cards();
    let of = |(card, count): (&Card, usize)| {
        let card = card.clone();
        (0..count).map(move |i| Worker {
            engine: name(&format!("{}-{i}", card.name)),
            card: card.clone(),
            layers: LayerRange::new(0, 0),
            free: true,
            open: 0,
            held: 0.0,
            short: false,
            new: false,
        })
    };
    cards.iter().zip(counts).flat_map(of).collect()
}

const MEMPHIS: [usize; 4] = [0, 2, 4, 7];
const BIRMINGHAM: [usize; 4] = [1, 1, 5, 7];
const ATLANTA: [usize; 4] = [0, 1, 8, 3];

fn apply(workers: &mut [Worker], plan: &[Assignment]) {
    for a in plan {
        let worker = workers.iter_mut().find(|w| w.engine == a.engine).unwrap();
        worker.layers = a.layers;
    }
}

/// Applies plans until none is left.
fn settle(workers: &mut [Worker]) -> usize {
    for round in 0..40 {
        let plan = lay_out(&model(), workers);
        if plan.is_empty() {
            return round;
        }
        apply(workers, &plan);
    }
    panic!("moves without end: {workers:?}");
}

fn gaps(workers: &[Worker]) -> Vec<LayerRange> {
    uncovered(80, workers.iter().map(|w| w.layers))
}

fn least_room(workers: &[Worker]) -> f64 {
    let held = workers.iter().filter(|w| w.layers.count() > 0);
    held.map(|w| model().token_capacity(&w.card, w.layers.count())).fold(f64::MAX, f64::min)
}

#[test]
fn a_fresh_domain_holds_every_layer_with_room_and_stand_ins() {
    for counts in [MEMPHIS, BIRMINGHAM, ATLANTA] {
        let mut workers = workers(counts);
        let plan = lay_out(&model(), &workers);
        apply(&mut workers, &plan);
        assert_eq!(gaps(&workers), []);
        assert!(least_room(&workers) >= 70_000.0, "{counts:?}: {}", least_room(&workers));
        let spare = plan.iter().filter(|a| a.reason == LayoutReason::StandIn).count();
        assert!(spare >= 2, "{counts:?}: {spare} stand-ins");
        assert_eq!(settle(&mut workers), 0);
    }
}

#[test]
fn the_loss_of_one_worker_moves_only_stand_ins() {
    for counts in [MEMPHIS, BIRMINGHAM, ATLANTA] {
        let mut whole = workers(counts);
        settle(&mut whole);
        for lost in 0..whole.len() {
            let mut left = whole.clone();
            left.remove(lost);
            let before = left.clone();
            settle(&mut left);
            assert_eq!(gaps(&left), []);
            assert!(least_room(&left) >= 50_000.0, "{counts:?} without {lost}");
            let moved = |(a, b): &(&Worker, &Worker)| a.layers != b.layers && a.layers.count() > 6;
            let large = before.iter().zip(&left).filter(moved).count();
            assert!(large <= 2, "{counts:?} without {lost}: {large} large workers moved");
        }
    }
}

#[test]
fn losses_one_after_the_other_leave_as_much_room_as_there_is() {
    let mut workers = workers(MEMPHIS);
    settle(&mut workers);
    for lost in ["a100s-0", "t4-0", "l4-2"] {
        workers.retain(|w| w.engine != name(lost));
        settle(&mut workers);
        assert_eq!(gaps(&workers), [], "without {lost}");
        assert!(least_room(&workers) >= 25_000.0, "without {lost}: {}", least_room(&workers));
    }
}

#[test]
fn a_new_worker_relieves_the_one_that_holds_most() {
    let mut workers = workers(MEMPHIS);
    settle(&mut workers);
    workers.retain(|w| !["a100s-0", "t4-0", "l4-2", "l4-1"].contains(&w.engine.as_str()));
    settle(&mut workers);
    let before = least_room(&workers);
    let card = cards().remove(2);
    let layers = LayerRange::new(0, 0);
    workers.push(Worker {
        engine: name("new"),
        card,
        layers,
        free: true,
        open: 0,
        held: 0.0,
        short: false,
        new: false,
    });
    settle(&mut workers);
    assert_eq!(gaps(&workers), []);
    assert!(least_room(&workers) > before, "{} after {before}", least_room(&workers));
}

#[test]
fn a_worker_that_replaces_another_is_kept_for_its_layers() {
    let mut workers = workers(MEMPHIS);
    settle(&mut workers);
    let old = workers.iter().position(|w| w.engine == name("a100s-1")).unwrap();
    let replacement = Worker {
        engine: name("new"),
        layers: LayerRange::new(0, 0),
        short: false,
        new: true,
        ..workers[old].clone()
    };
    workers.push(replacement);
    assert_eq!(lay_out(&model(), &workers), [], "nothing to do while the old one is there");
    workers.remove(old);
    let plan = lay_out(&model(), &workers);
    assert_eq!(plan[0].engine, name("new"));
    apply(&mut workers, &plan);
    assert_eq!(gaps(&workers), []);
}

#[test]
fn a_gap_is_closed_by_workers_that_nothing_runs_through() {
    let mut workers = workers(BIRMINGHAM);
    settle(&mut workers);
    let held: Vec<_> =
        workers.iter().map(|w| (w.engine.clone(), w.card.step_factor, w.layers)).collect();
    let mains = mains(80, held.iter().map(|(e, p, l)| (e, *p, *l)));
    let lost = workers.iter().position(|w| w.card.name == name("l4")).unwrap();
    workers.remove(lost);
    let busy = workers.iter().position(|w| !mains.contains(&&w.engine)).unwrap();
    workers[busy].open = 3;
    let plan = lay_out(&model(), &workers);
    assert!(plan.iter().any(|a| a.reason == LayoutReason::Gap));
    for a in plan.iter().filter(|a| a.reason == LayoutReason::Gap) {
        assert!(!mains.contains(&&a.engine), "{a:?} is one that requests run through");
        assert_ne!(a.engine, workers[busy].engine);
    }
}

/// A larger domain's workers, and the model with the smaller tokens that it runs.
const LARGE: [[usize; 4]; 4] = [[0, 3, 9, 13], [1, 1, 10, 13], [1, 1, 16, 6], [0, 4, 11, 18]];

fn large_model() -> LayeredModel {
    LayeredModel { token_bytes: 393_000.0, ..model() }
}

fn settle_large(workers: &mut [Worker]) {
    for _ in 0..60 {
        let plan = lay_out(&large_model(), workers);
        if plan.is_empty() {
            return;
        }
        apply(workers, &plan);
    }
    panic!("moves without end: {workers:?}");
}

fn least_room_large(workers: &[Worker]) -> f64 {
    let held = workers.iter().filter(|w| w.layers.count() > 0);
    held.map(|w| large_model().token_capacity(&w.card, w.layers.count())).fold(f64::MAX, f64::min)
}

#[test]
fn a_domain_with_memory_for_two_copies_holds_every_layer_twice() {
    for counts in LARGE {
        let mut workers = workers(counts);
        settle_large(&mut workers);
        for layer in 0..80 {
            let holds = |w: &&Worker| (w.layers.first..w.layers.end).contains(&layer);
            let copies = workers.iter().filter(holds).count();
            assert!(copies >= 2, "{counts:?}: layer {layer} has {copies} copies");
        }
        assert!(least_room_large(&workers) >= 110_000.0, "{counts:?}");
    }
}

#[test]
fn repairs_leave_as_much_room_as_a_large_domain_has() {
    for counts in LARGE {
        let mut whole = workers(counts);
        settle_large(&mut whole);
        for first in 0..whole.len() {
            let mut left = whole.clone();
            for step in 0..4 {
                left.remove((first + 5 * step) % left.len());
            }
            settle_large(&mut left);
            assert_eq!(gaps(&left), [], "{counts:?} from {first}");
            let room = least_room_large(&left);
            assert!(room >= 95_000.0, "{counts:?} from {first}: {room}");
        }
    }
}

#[test]
fn a_domain_that_cannot_hold_the_model_orders_nothing_beyond_memory() {
    let mut workers = workers([0, 0, 3, 2]);
    let plan = lay_out(&model(), &workers);
    apply(&mut workers, &plan);
    for w in &workers {
        assert!(f64::from(w.layers.count()) * 1_750.0 <= w.card.memory_mb);
    }
}

/// The pattern: the engine that all streams of a domain begin at takes a third of them.
#[test]
fn layers_of_a_worker_that_names_a_limit_are_held_by_others_that_can_be_spared() {
    for counts in [MEMPHIS, BIRMINGHAM, ATLANTA] {
        let mut all = workers(counts);
        settle(&mut all);
        let before = all.clone();
        let head = |w: &&mut Worker| w.layers.first == 0 && w.layers.count() > 0;
        let short = all.iter_mut().filter(head).max_by_key(|w| w.layers.count()).unwrap();
        short.short = true;
        settle(&mut all);
        let others: Vec<Worker> = all.iter().filter(|w| !w.short).cloned().collect();
        assert_eq!(gaps(&others), [], "{counts:?}");
        let stays = |(w, was): &(&Worker, &Worker)| w.layers == was.layers;
        let kept = all.iter().zip(&before).filter(stays).map(|(w, _)| w.clone());
        assert_eq!(gaps(&kept.collect::<Vec<_>>()), [], "{counts:?}: one that is needed moved");
        // When it is over one may be relieved, and nobody else moves.
        all.iter_mut().for_each(|w| w.short = false);
        assert!(settle(&mut all) <= 1, "{counts:?}");
    }
}

/// Dealing all layers out anew costs more than a limit, which may be over before they are loaded.
#[test]
fn nobody_moves_for_a_limit_where_none_can_be_spared() {
    let mut all = workers([0, 4, 0, 0]);
    settle(&mut all);
    all[0].short = true;
    assert_eq!(settle(&mut all), 0);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Whatever is lost or added, layers are covered if they can be, memory is kept, and moves end.
    #[test]
    fn any_losses_and_additions_settle(
        counts in [0_usize..3, 0_usize..4, 0_usize..9, 0_usize..9],
        changes in prop::collection::vec((any::<prop::sample::Index>(), 0_usize..4, any::<bool>()), 0..8),
    ) {
        let mut workers = workers(counts);
        settle(&mut workers);
        for (i, (at, kind, add)) in changes.into_iter().enumerate() {
            match add {
                true => workers.push(Worker {
                    engine: name(&format!("added-{i}")),
                    card: cards().remove(kind),
                    layers: LayerRange::new(0, 0),
                    free: true,
                    open: 0,
                    held: 0.0,
            short: false,
            new: false,
                }),
                false if workers.is_empty() => {}
                false => {
                    let lost = at.index(workers.len());
                    workers.remove(lost);
                }
            }
            settle(&mut workers);
            let most: u32 = workers.iter().map(|w| model().max_layers(&w.card, 5_000.0)).sum();
            if most >= 80 {
                prop_assert_eq!(gaps(&workers), []);
            }
            for w in &workers {
                prop_assert!(f64::from(w.layers.count()) * 1_750.0 <= w.card.memory_mb);
                prop_assert!(w.layers.end <= 80);
            }
        }
    }
}
