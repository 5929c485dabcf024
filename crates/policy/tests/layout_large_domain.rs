//! Layouts of a failure domain with far more workers than its requests need.
//!
//! The pattern: 608 workers of four cards before forty streams a second, which a few chains bear. Laid out in whole, the
//! domain costs an order for each worker, and afterwards a question a second and a place in every search for a path. Chains
//! follow what requests hold instead.

#![allow(clippy::unwrap_used, clippy::panic, reason = "what fails here fails its test")]

mod common;

use common::name;
use heathpitch_core::{Card, LayerRange, LayeredModel};
use heathpitch_policy::{Worker, copies, lay_out};

const LAYERS: u32 = 80;
/// Workers of each card of one domain: h100, a100s, l4, t4.
const DOMAIN: [usize; 4] = [14, 81, 216, 297];
/// Tokens that a domain's requests hold with its usual traffic: forty streams a second of 2.5 s and 900 tokens.
const USUAL_TOKENS: f64 = 90_000.0;

fn cards() -> [Card; 4] {
    let card = |n: &str, memory_mb, pace, read| Card {
        name: name(n),
        memory_mb,
        step_factor: pace,
        prefill_factor: read,
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
            free: true,
            open: 0,
            held: 0.0,
            short: false,
            new: false,
        };
        (0..count * times).map(worker).collect()
    };
    cards.iter().zip(DOMAIN).flat_map(of).collect()
}

/// Carries out all orders until none is left; gives their number.
fn settle(workers: &mut [Worker]) -> usize {
    let mut orders = 0;
    for _ in 0..60 {
        let plan = lay_out(&model(), workers);
        if plan.is_empty() {
            return orders;
        }
        orders += plan.len();
        for a in plan {
            workers.iter_mut().find(|w| w.engine == a.engine).unwrap().layers = a.layers;
        }
    }
    panic!("moves without end");
}

fn fewest(workers: &[Worker]) -> usize {
    copies(LAYERS, workers.iter().map(|w| w.layers)).into_iter().min().unwrap()
}

/// Spreads tokens of requests over the chains.
fn hold(workers: &mut [Worker], tokens: f64) {
    let chains = fewest(workers) as f64;
    for w in workers {
        w.held = if w.layers.count() > 0 { tokens / chains } else { 0.0 };
    }
}

#[test]
fn orders_follow_what_requests_need_and_not_the_number_of_workers() {
    for times in [1, 2] {
        let mut workers = domain(times);
        let orders = settle(&mut workers);
        let chains = fewest(&workers);
        println!("{} workers: {orders} orders, {chains} copies", workers.len());
        assert!(orders <= workers.len() / times / 4, "{orders} orders");
        assert!(chains >= 10, "{chains} copies");
        // Room for ten times the usual traffic.
        assert!(chains as f64 * 150_000.0 >= 10.0 * USUAL_TOKENS);
        hold(&mut workers, USUAL_TOKENS);
        assert_eq!(settle(&mut workers), 0, "the usual traffic asks for none");
    }
}

#[test]
fn chains_are_added_as_requests_hold_more_and_none_is_lost_with_its_workers() {
    let mut workers = domain(1);
    settle(&mut workers);
    let before = fewest(&workers);
    hold(&mut workers, 5.0 * USUAL_TOKENS);
    settle(&mut workers);
    let after = fewest(&workers);
    assert!(after > before, "{before} to {after}");
    hold(&mut workers, 0.0);
    assert_eq!(settle(&mut workers), 0, "they stay when traffic falls");
    // A third of those that hold layers are lost at once.
    let mut held = 0;
    workers.retain(|w| {
        held += usize::from(w.layers.count() > 0);
        w.layers.count() == 0 || held % 3 != 0
    });
    settle(&mut workers);
    assert!(fewest(&workers) >= before - 1, "{}", fewest(&workers));
}
