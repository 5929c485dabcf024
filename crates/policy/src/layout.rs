//! Layout: which worker of a failure domain holds which layers of a model too large for one card.
//!
//! Memory not used by weights holds the KV cache of running requests, so a layout is made for a
//! number of tokens: each card takes as many layers as leave memory for them. The fastest cards
//! are assigned first; the remaining ones hold further copies. When a worker is lost, its layers
//! go to workers that are not needed elsewhere, then also to workers with adjacent layers. If that
//! would leave too little memory, all layers are redistributed in their current order, so that
//! few have to be loaded. An overloaded worker hands layers over once another one can be spared.

use heathpitch_core::{Card, LayerRange, LayeredModel, Name};
use serde::Serialize;

use crate::layout_deal::{initial, redistribute};
use crate::layout_repair::{BUSY_MIN_TOKENS, Layout};

/// A worker that a layout may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Worker {
    /// Engine.
    pub engine: Name,
    /// Its card.
    pub card: Card,
    /// Layers it holds or is loading.
    pub layers: LayerRange,
    /// Whether it can be given an order now.
    pub assignable: bool,
    /// Known requests running through it.
    pub open_requests: u32,
    /// Known tokens that requests hold in its memory.
    pub held_tokens: f64,
    /// Whether it currently limits its request rate below demand.
    pub limited: bool,
    /// Whether it joined a moment ago. If it replaces another engine, that one leaves next.
    pub is_new: bool,
}

/// Why a worker is assigned other layers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LayoutReason {
    /// The domain holds no layers yet.
    #[serde(rename = "fresh")]
    Initial,
    /// No worker holds these layers.
    Gap,
    /// No worker holds these layers, and all layers are redistributed.
    Reorder,
    /// Takes layers over from an overloaded worker.
    Relief,
    /// The worker drops layers that others hold as well.
    Trim,
    /// A further copy of layers that are already held.
    #[serde(rename = "stand_in")]
    ExtraCopy,
    /// A copy of layers that have fewer copies than those it held.
    #[serde(rename = "even")]
    Rebalance,
}

/// Layers assigned to a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// Engine.
    pub engine: Name,
    /// Layers.
    pub layers: LayerRange,
    /// Why.
    pub reason: LayoutReason,
}

/// Returns the next assignments of a domain; empty if nothing needs to change.
///
/// # Examples
///
/// ```
/// use heathpitch_core::{Card, LayerRange, LayeredModel};
/// use heathpitch_policy::{Worker, plan_layout};
///
/// let name = "small".parse()?;
/// let card = Card { name, memory_mb: 10_000.0, step_factor: 1.0, prefill_factor: 1.0 };
/// let model = LayeredModel {
///     layers: 8, layer_mb: 1_000.0, token_bytes: 8_000.0, slots: 8, step_ms: 1.0,
///     request_ms: 0.005, context_ms: 0.000_006,
///     prefill_rate: 1_000.0, load_ms: 1_000, parallel_loads: 2, report_lag_ms: 200,
///     typical_prompt: 100.0, typical_answer: 100.0,
///     cards: vec![card.clone()], delays: vec![],
/// };
/// let worker = |name: &str| -> Result<Worker, heathpitch_core::NameError> {
///     let layers = LayerRange::new(0, 0);
///     Ok(Worker {
///         engine: name.parse()?, card: card.clone(), layers, assignable: true,
///         open_requests: 0, held_tokens: 0.0, limited: false, is_new: false,
///     })
/// };
/// let plan = plan_layout(&model, &[worker("a")?, worker("b")?]);
/// let held: Vec<_> = plan.iter().map(|a| a.layers.to_string()).collect();
/// assert_eq!(held, ["0..8", "0..8"]);
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
pub fn plan_layout(model: &LayeredModel, workers: &[Worker]) -> Vec<Assignment> {
    let short = workers.iter().any(|w| w.limited);
    if let Some(plan) = short.then(|| avoid_limited(model, workers)).flatten() {
        return plan;
    }
    match workers.iter().any(|w| w.layers.count() > 0) {
        false => initial(model, workers),
        true => {
            let mut layout = Layout::new(model, workers);
            let gaps = layer_gaps(model.layers, workers.iter().map(|w| w.layers));
            let closed = gaps.iter().all(|gap| layout.close_gap(*gap));
            match closed {
                false if workers.iter().all(|w| w.assignable) => redistribute(model, workers),
                // Spare workers are reserved for the gap until the busy ones are done.
                false => layout.into_plan(),
                true => finish(layout, &gaps),
            }
        }
    }
}

/// Assigns the layers of rate-limited workers to others as well, if spare workers suffice.
///
/// None if they don't. No other worker is moved because of a limit, which may end before a
/// redistribution of the domain's layers is complete.
fn avoid_limited(model: &LayeredModel, workers: &[Worker]) -> Option<Vec<Assignment>> {
    let others: Vec<Worker> = workers.iter().filter(|w| !w.limited).cloned().collect();
    let gaps = layer_gaps(model.layers, others.iter().map(|w| w.layers));
    let mut layout = Layout::new(model, &others);
    gaps.iter()
        .all(|gap| layout.close_with_spares(*gap, BUSY_MIN_TOKENS))
        .then(|| finish(layout, &gaps))
}

/// Completes a layout whose gaps are closed.
fn finish(mut layout: Layout<'_>, gaps: &[LayerRange]) -> Vec<Assignment> {
    if gaps.is_empty() {
        layout.relieve();
    }
    layout.add_copies();
    if gaps.is_empty() {
        layout.rebalance();
    }
    layout.into_plan()
}

/// Workers that requests normally run through; the others hold extra copies.
///
/// Deterministic, so that all nodes with the same list agree: the workers of one chain, and of
/// every further complete chain among the remaining workers.
pub fn primaries<'a>(
    layers: u32,
    workers: impl Iterator<Item = (&'a Name, f64, LayerRange)>,
) -> Vec<&'a Name> {
    let mut left: Vec<_> = workers.filter(|(.., held)| held.count() > 0).collect();
    let mut primaries = primary_chain(layers, &left);
    let mut seen = 0;
    loop {
        left.retain(|(engine, ..)| !primaries[seen..].contains(engine));
        seen = primaries.len();
        if !layer_gaps(layers, left.iter().map(|(.., held)| *held)).is_empty() {
            return primaries;
        }
        primaries.extend(primary_chain(layers, &left));
        if primaries.len() == seen {
            return primaries;
        }
    }
}

/// Picks for each next layer the fastest worker that holds it; among equals the one that reaches
/// furthest.
fn primary_chain<'a>(layers: u32, workers: &[(&'a Name, f64, LayerRange)]) -> Vec<&'a Name> {
    let mut chain = Vec::new();
    let mut at = 0;
    while at < layers {
        let holds = |(.., l): &&(&Name, f64, LayerRange)| l.first <= at && at < l.end;
        let best = workers.iter().filter(holds).min_by(|a, b| {
            let order = a.1.total_cmp(&b.1).then(b.2.end.cmp(&a.2.end));
            order.then(a.0.cmp(b.0))
        });
        match best {
            Some((engine, _, held)) => {
                chain.push(*engine);
                at = held.end;
            }
            None => {
                let next = workers.iter().map(|(.., l)| l.first).filter(|first| *first > at);
                at = next.min().unwrap_or(layers);
            }
        }
    }
    chain
}

/// Number of ranges that hold each layer.
pub fn copy_counts(layers: u32, held: impl Iterator<Item = LayerRange>) -> Vec<usize> {
    let mut copies = vec![0; layers as usize];
    for range in held {
        for layer in range.first..range.end.min(layers) {
            copies[layer as usize] += 1;
        }
    }
    copies
}

/// Layers held by none of the ranges.
pub fn layer_gaps(layers: u32, held: impl Iterator<Item = LayerRange>) -> Vec<LayerRange> {
    let mut held: Vec<LayerRange> = held.filter(|r| r.count() > 0).collect();
    held.sort_by_key(|r| r.first);
    let mut gaps = Vec::new();
    let mut at = 0;
    for range in held {
        if range.first > at {
            gaps.push(LayerRange::new(at, range.first.min(layers)));
        }
        at = at.max(range.end);
    }
    if at < layers {
        gaps.push(LayerRange::new(at, layers));
    }
    gaps
}
