//! Layouts hold every layer, leave memory for requests, repair losses, and stabilize.

#![allow(clippy::unwrap_used, clippy::panic, reason = "a failure here fails the test")]

mod common;

use common::name;
use heathpitch_core::{Card, LayerRange, LayeredModel};
use heathpitch_policy::{Assignment, LayoutReason, Worker, layer_gaps, plan_layout, primaries};
use proptest::prelude::*;

/// Cards of typical deployments.
fn cards() -> Vec<Card> {
    let card = |n: &str, memory_mb, factor, prefill| Card {
        name: name(n),
        memory_mb,
        step_factor: factor,
        prefill_factor: prefill,
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

/// Empty workers, by the number of each card.
fn workers(counts: [usize; 4]) -> Vec<Worker> {
    let cards = cards();
    let of = |(card, count): (&Card, usize)| {
        let card = card.clone();
        (0..count).map(move |i| Worker {
            engine: name(&format!("{}-{i}", card.name)),
            card: card.clone(),
            layers: LayerRange::new(0, 0),
            assignable: true,
            open_requests: 0,
            held_tokens: 0.0,
            limited: false,
            is_new: false,
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

/// Applies plans until nothing changes; returns the number of rounds.
fn apply_until_stable(workers: &mut [Worker]) -> usize {
    for round in 0..40 {
        let plan = plan_layout(&model(), workers);
        if plan.is_empty() {
            return round;
        }
        apply(workers, &plan);
    }
    panic!("layout does not stabilize: {workers:?}");
}

fn gaps(workers: &[Worker]) -> Vec<LayerRange> {
    layer_gaps(80, workers.iter().map(|w| w.layers))
}

fn min_token_capacity(workers: &[Worker]) -> f64 {
    let held = workers.iter().filter(|w| w.layers.count() > 0);
    held.map(|w| model().token_capacity(&w.card, w.layers.count())).fold(f64::MAX, f64::min)
}

#[test]
fn an_initial_layout_holds_every_layer_with_capacity_and_extra_copies() {
    for counts in [MEMPHIS, BIRMINGHAM, ATLANTA] {
        let mut workers = workers(counts);
        let plan = plan_layout(&model(), &workers);
        apply(&mut workers, &plan);
        assert_eq!(gaps(&workers), []);
        assert!(
            min_token_capacity(&workers) >= 70_000.0,
            "{counts:?}: {}",
            min_token_capacity(&workers)
        );
        let spare = plan.iter().filter(|a| a.reason == LayoutReason::ExtraCopy).count();
        assert!(spare >= 2, "{counts:?}: {spare} extra copies");
        assert_eq!(apply_until_stable(&mut workers), 0);
    }
}

#[test]
fn the_loss_of_one_worker_moves_few_large_workers() {
    for counts in [MEMPHIS, BIRMINGHAM, ATLANTA] {
        let mut whole = workers(counts);
        apply_until_stable(&mut whole);
        for lost in 0..whole.len() {
            let mut left = whole.clone();
            left.remove(lost);
            let before = left.clone();
            apply_until_stable(&mut left);
            assert_eq!(gaps(&left), []);
            assert!(min_token_capacity(&left) >= 50_000.0, "{counts:?} without {lost}");
            let moved = |(a, b): &(&Worker, &Worker)| a.layers != b.layers && a.layers.count() > 6;
            let large = before.iter().zip(&left).filter(moved).count();
            assert!(large <= 2, "{counts:?} without {lost}: {large} large workers moved");
        }
    }
}

#[test]
fn consecutive_losses_leave_enough_token_capacity() {
    let mut workers = workers(MEMPHIS);
    apply_until_stable(&mut workers);
    for lost in ["a100s-0", "t4-0", "l4-2"] {
        workers.retain(|w| w.engine != name(lost));
        apply_until_stable(&mut workers);
        assert_eq!(gaps(&workers), [], "without {lost}");
        assert!(
            min_token_capacity(&workers) >= 25_000.0,
            "without {lost}: {}",
            min_token_capacity(&workers)
        );
    }
}

#[test]
fn a_new_worker_takes_layers_off_the_most_loaded_one() {
    let mut workers = workers(MEMPHIS);
    apply_until_stable(&mut workers);
    workers.retain(|w| !["a100s-0", "t4-0", "l4-2", "l4-1"].contains(&w.engine.as_str()));
    apply_until_stable(&mut workers);
    let before = min_token_capacity(&workers);
    let card = cards().remove(2);
    let layers = LayerRange::new(0, 0);
    workers.push(Worker {
        engine: name("new"),
        card,
        layers,
        assignable: true,
        open_requests: 0,
        held_tokens: 0.0,
        limited: false,
        is_new: false,
    });
    apply_until_stable(&mut workers);
    assert_eq!(gaps(&workers), []);
    assert!(
        min_token_capacity(&workers) > before,
        "{} after {before}",
        min_token_capacity(&workers)
    );
}

#[test]
fn a_replacement_worker_is_reserved_for_the_layers_of_the_replaced_one() {
    let mut workers = workers(MEMPHIS);
    apply_until_stable(&mut workers);
    let old = workers.iter().position(|w| w.engine == name("a100s-1")).unwrap();
    let replacement = Worker {
        engine: name("new"),
        layers: LayerRange::new(0, 0),
        limited: false,
        is_new: true,
        ..workers[old].clone()
    };
    workers.push(replacement);
    assert_eq!(plan_layout(&model(), &workers), [], "no change while the old worker is present");
    workers.remove(old);
    let plan = plan_layout(&model(), &workers);
    assert_eq!(plan[0].engine, name("new"));
    apply(&mut workers, &plan);
    assert_eq!(gaps(&workers), []);
}

#[test]
fn a_gap_is_closed_by_workers_without_requests() {
    let mut workers = workers(BIRMINGHAM);
    apply_until_stable(&mut workers);
    let held: Vec<_> =
        workers.iter().map(|w| (w.engine.clone(), w.card.step_factor, w.layers)).collect();
    let primaries = primaries(80, held.iter().map(|(e, p, l)| (e, *p, *l)));
    let lost = workers.iter().position(|w| w.card.name == name("l4")).unwrap();
    workers.remove(lost);
    let busy = workers.iter().position(|w| !primaries.contains(&&w.engine)).unwrap();
    workers[busy].open_requests = 3;
    let plan = plan_layout(&model(), &workers);
    assert!(plan.iter().any(|a| a.reason == LayoutReason::Gap));
    for a in plan.iter().filter(|a| a.reason == LayoutReason::Gap) {
        assert!(!primaries.contains(&&a.engine), "{a:?} is a primary");
        assert_ne!(a.engine, workers[busy].engine);
    }
}

/// Workers of larger domains, which run a model with a smaller KV cache per token.
const LARGE: [[usize; 4]; 4] = [[0, 3, 9, 13], [1, 1, 10, 13], [1, 1, 16, 6], [0, 4, 11, 18]];

fn large_model() -> LayeredModel {
    LayeredModel { token_bytes: 393_000.0, ..model() }
}

fn apply_until_stable_large(workers: &mut [Worker]) {
    for _ in 0..60 {
        let plan = plan_layout(&large_model(), workers);
        if plan.is_empty() {
            return;
        }
        apply(workers, &plan);
    }
    panic!("layout does not stabilize: {workers:?}");
}

fn min_token_capacity_large(workers: &[Worker]) -> f64 {
    let held = workers.iter().filter(|w| w.layers.count() > 0);
    held.map(|w| large_model().token_capacity(&w.card, w.layers.count())).fold(f64::MAX, f64::min)
}

#[test]
fn a_domain_with_memory_for_two_copies_holds_every_layer_twice() {
    for counts in LARGE {
        let mut workers = workers(counts);
        apply_until_stable_large(&mut workers);
        for layer in 0..80 {
            let holds = |w: &&Worker| (w.layers.first..w.layers.end).contains(&layer);
            let copies = workers.iter().filter(holds).count();
            assert!(copies >= 2, "{counts:?}: layer {layer} has {copies} copies");
        }
        assert!(min_token_capacity_large(&workers) >= 110_000.0, "{counts:?}");
    }
}

#[test]
fn repairs_of_a_large_domain_leave_enough_token_capacity() {
    for counts in LARGE {
        let mut whole = workers(counts);
        apply_until_stable_large(&mut whole);
        for first in 0..whole.len() {
            let mut left = whole.clone();
            for step in 0..4 {
                left.remove((first + 5 * step) % left.len());
            }
            apply_until_stable_large(&mut left);
            assert_eq!(gaps(&left), [], "{counts:?} from {first}");
            let capacity = min_token_capacity_large(&left);
            assert!(capacity >= 95_000.0, "{counts:?} from {first}: {capacity}");
        }
    }
}

#[test]
fn a_domain_that_cannot_hold_the_model_is_not_assigned_more_than_its_memory() {
    let mut workers = workers([0, 0, 3, 2]);
    let plan = plan_layout(&model(), &workers);
    apply(&mut workers, &plan);
    for w in &workers {
        assert!(f64::from(w.layers.count()) * 1_750.0 <= w.card.memory_mb);
    }
}

/// Guards against a bottleneck at the first engine of all streams of a domain when it accepts only
/// a third of them.
#[test]
fn spare_workers_also_hold_the_layers_of_a_limited_worker() {
    for counts in [MEMPHIS, BIRMINGHAM, ATLANTA] {
        let mut all = workers(counts);
        apply_until_stable(&mut all);
        let before = all.clone();
        let head = |w: &&mut Worker| w.layers.first == 0 && w.layers.count() > 0;
        let short = all.iter_mut().filter(head).max_by_key(|w| w.layers.count()).unwrap();
        short.limited = true;
        apply_until_stable(&mut all);
        let others: Vec<Worker> = all.iter().filter(|w| !w.limited).cloned().collect();
        assert_eq!(gaps(&others), [], "{counts:?}");
        let stays = |(w, was): &(&Worker, &Worker)| w.layers == was.layers;
        let kept = all.iter().zip(&before).filter(stays).map(|(w, _)| w.clone());
        assert_eq!(gaps(&kept.collect::<Vec<_>>()), [], "{counts:?}: a needed worker moved");
        // When the limit ends, at most one more round of moves follows.
        all.iter_mut().for_each(|w| w.limited = false);
        assert!(apply_until_stable(&mut all) <= 1, "{counts:?}");
    }
}

/// Redistributing layers costs more than a limit, which may end before they are loaded.
#[test]
fn a_limit_moves_no_worker_if_none_is_spare() {
    let mut all = workers([0, 4, 0, 0]);
    apply_until_stable(&mut all);
    all[0].limited = true;
    assert_eq!(apply_until_stable(&mut all), 0);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

/// After any losses and additions, layers are covered if memory allows, no worker exceeds its
/// memory, and the layout stabilizes.
#[test]
    fn layouts_stabilize_after_any_losses_and_additions(
        counts in [0_usize..3, 0_usize..4, 0_usize..9, 0_usize..9],
        changes in prop::collection::vec((any::<prop::sample::Index>(), 0_usize..4, any::<bool>()), 0..8),
    ) {
    let mut workers = workers(counts);
    apply_until_stable(&mut workers);
        for (i, (at, kind, add)) in changes.into_iter().enumerate() {
            match add {
                true => workers.push(Worker {
        engine: name(&format!("added-{i}")),
            card: cards().remove(kind),
            layers: LayerRange::new(0, 0),
            assignable: true,
            open_requests: 0,
            held_tokens: 0.0,
            limited: false,
            is_new: false,
        }),
                false if workers.is_empty() => {}
                false => {
                    let lost = at.index(workers.len());
    workers.remove(lost);
    }
            }
            apply_until_stable(&mut workers);
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
