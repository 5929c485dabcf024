//! Layouts of a failure domain with far more workers than its requests need.
//!
//! 608 workers with four kinds of cards serve forty streams per second, for which a few chains
//! suffice. If all workers were used, each would cost an order, a poll per second and a place in
//! every path search. The number of chains follows the tokens held by requests instead.

#![allow(clippy::unwrap_used, clippy::panic, reason = "a failure here fails the test")]

mod common;

use common::name;
use heathpitch_core::{Card, LayerRange, LayeredModel};
use heathpitch_policy::{Worker, copy_counts, plan_layout};

const LAYERS: u32 = 80;
/// Workers of each card of one domain: h100, a100s, l4, t4.
const DOMAIN: [usize; 4] = [14, 81, 216, 297];
/// Tokens held by requests at typical traffic: forty streams per second of 2.5 s and 900 tokens.
const TYPICAL_TOKENS: f64 = 90_000.0;

fn cards() -> [Card; 4] {
    let card = |n: &str, memory_mb, factor, prefill| Card {
        name: name(n),
        memory_mb,
        step_factor: factor,
        prefill_factor: prefill,
    };
    [
        card("h100", 72_000.0, 1.4, 1.0),
        card("a100s", 36_000.0, 3.1, 3.2),
        card("l4", 21_600.0, 16.0, 8.2),
        card("t4", 14_400.0, 15.0, 15.0),
    ]
}

fn model() -> LayeredModel {
    LayeredModel {
        layers: LAYERS,
        layer_mb: 1_750.0,
        token_bytes: 590_000.0,
        slots: 192,
        step_ms: 0.85,
        request_ms: 0.004_59,
        context_ms: 0.000_006_15,
        prefill_rate: 236_000.0,
        load_ms: 14_000,
        parallel_loads: 486,
        report_lag_ms: 200,
        typical_prompt: 764.0,
        typical_answer: 174.0,
        cards: cards().to_vec(),
        delays: Vec::new(),
    }
}

fn domain(times: usize) -> Vec<Worker> {
    let cards = cards();
    let of = |(card, count): (&Card, usize)| -> Vec<Worker> {
        let worker = |i| Worker {
            engine: name(&format!("{}-{i:04}", card.name)),
            card: card.clone(),
            layers: LayerRange::new(0, 0),
            assignable: true,
            open_requests: 0,
            held_tokens: 0.0,
            limited: false,
            is_new: false,
        };
        (0..count * times).map(worker).collect()
    };
    cards.iter().zip(DOMAIN).flat_map(of).collect()
}

/// Applies plans until nothing changes; returns the number of orders.
fn apply_until_stable(workers: &mut [Worker]) -> usize {
    let mut orders = 0;
    for _ in 0..60 {
        let plan = plan_layout(&model(), workers);
        if plan.is_empty() {
            return orders;
        }
        orders += plan.len();
        for a in plan {
            workers.iter_mut().find(|w| w.engine == a.engine).unwrap().layers = a.layers;
        }
    }
    panic!("layout does not stabilize");
}

fn min_copies(workers: &[Worker]) -> usize {
    copy_counts(LAYERS, workers.iter().map(|w| w.layers)).into_iter().min().unwrap()
}

/// Distributes tokens of requests evenly over the chains.
fn hold(workers: &mut [Worker], tokens: f64) {
    let chains = min_copies(workers) as f64;
    for w in workers {
        w.held_tokens = if w.layers.count() > 0 { tokens / chains } else { 0.0 };
    }
}

#[test]
fn orders_follow_demand_and_not_the_number_of_workers() {
    for times in [1, 2] {
        let mut workers = domain(times);
        let orders = apply_until_stable(&mut workers);
        let chains = min_copies(&workers);
        println!("{} workers: {orders} orders, {chains} copies", workers.len());
        assert!(orders <= workers.len() / times / 4, "{orders} orders");
        assert!(chains >= 10, "{chains} copies");
        // Capacity for ten times the typical traffic.
        assert!(chains as f64 * 150_000.0 >= 10.0 * TYPICAL_TOKENS);
        hold(&mut workers, TYPICAL_TOKENS);
        assert_eq!(apply_until_stable(&mut workers), 0, "typical traffic needs no further order");
    }
}

#[test]
fn chains_are_added_with_demand_and_rebuilt_after_losses() {
    let mut workers = domain(1);
    apply_until_stable(&mut workers);
    let before = min_copies(&workers);
    hold(&mut workers, 5.0 * TYPICAL_TOKENS);
    apply_until_stable(&mut workers);
    let after = min_copies(&workers);
    assert!(after > before, "{before} to {after}");
    hold(&mut workers, 0.0);
    assert_eq!(apply_until_stable(&mut workers), 0, "chains are kept when traffic falls");
    // A third of the workers with layers are lost at once.
    let mut held = 0;
    workers.retain(|w| {
        held += usize::from(w.layers.count() > 0);
        w.layers.count() == 0 || held % 3 != 0
    });
    apply_until_stable(&mut workers);
    assert!(min_copies(&workers) >= before - 1, "{}", min_copies(&workers));
}
