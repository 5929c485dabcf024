//! Layout: which worker of a failure domain holds which layers of a model too large for one card.
//!
//! Memory that layers leave free holds the requests that run, so a layout is made for a number of
//! tokens: each card takes as many layers as leave room for them. The fastest cards take layers
//! first; those left over hold second copies, as stand-ins. When a worker is lost, its layers go
//! to workers that the domain can do without, then also to its neighbours; if that left too little
//! room, all ranges are dealt out anew in the order in which they lie, so that little is loaded. A
//! worker that came to hold too much is relieved once another one can be spared.

use heathpitch_core::{Card, LayerRange, LayeredModel, Name};
use serde::Serialize;

use crate::layout_deal::{fresh, reorder};
use crate::layout_repair::{Layout, ROOM_POOR};

/// A worker that a layout may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Worker {
    /// Engine.
    pub engine: Name,
    /// Its card.
    pub card: Card,
    /// Layers it holds or is loading.
    pub layers: LayerRange,
    /// Whether it can be ordered now.
    pub free: bool,
    /// Requests that run through it, as far as is known.
    pub open: u32,
    /// Tokens that requests hold there, as far as is known.
    pub held: f64,
    /// Whether it takes less than it is asked for, by a limit that it names.
    pub short: bool,
    /// Whether it came a moment ago: where it replaces another one, that one leaves next.
    pub new: bool,
}

/// Why a worker is to hold other layers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LayoutReason {
    /// The domain holds nothing yet.
    Fresh,
    /// No worker holds these layers.
    Gap,
    /// No worker holds these layers, and all are dealt out anew.
    Reorder,
    /// Another worker holds too much.
    Relief,
    /// Others hold the rest of what it held.
    Trim,
    /// A further copy.
    StandIn,
    /// A copy of layers that have fewer than those it held.
    Even,
}

/// Layers that a worker is to hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// Engine.
    pub engine: Name,
    /// Layers.
    pub layers: LayerRange,
    /// Why.
    pub reason: LayoutReason,
}

/// The next assignments of a domain; empty if nothing needs to change.
///
/// # Examples
///
/// ```
/// use heathpitch_core::{Card, LayerRange, LayeredModel};
/// use heathpitch_policy::{Worker, lay_out};
///
/// let card = Card { name: "small".parse()?, memory_mb: 10_000.0, step_factor: 1.0, prefill_factor: 1.0 };
/// let model = LayeredModel {
///     layers: 8, layer_mb: 1_000.0, token_bytes: 8_000.0, slots: 8, step_ms: 1.0,
///     request_ms: 0.005, context_ms: 0.000_006,
///     prefill_rate: 1_000.0, load_ms: 1_000, parallel_loads: 2, report_lag_ms: 200, typical_prompt: 100.0, typical_answer: 100.0,
///     cards: vec![card.clone()], delays: vec![],
/// };
/// let worker = |name: &str| -> Result<Worker, heathpitch_core::NameError> {
///     let layers = LayerRange::new(0, 0);
///     Ok(Worker { engine: name.parse()?, card: card.clone(), layers, free: true, open: 0, held: 0.0, short: false, new: false })
/// };
/// let plan = lay_out(&model, &[worker("a")?, worker("b")?]);
/// let held: Vec<_> = plan.iter().map(|a| a.layers.to_string()).collect();
/// assert_eq!(held, ["0..8", "0..8"]);
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
pub fn lay_out(model: &LayeredModel, workers: &[Worker]) -> Vec<Assignment> {
    let short = workers.iter().any(|w| w.short);
    if let Some(plan) = short.then(|| beside(model, workers)).flatten() {
        return plan;
    }
    match workers.iter().any(|w| w.layers.count() > 0) {
        false => fresh(model, workers),
        true => {
            let mut layout = Layout::new(model, workers);
            let gaps = uncovered(model.layers, workers.iter().map(|w| w.layers));
            let closed = gaps.iter().all(|gap| layout.close(*gap));
            match closed {
                false if workers.iter().all(|w| w.free) => reorder(model, workers),
                // What can be spared is kept for the gap until the others are done.
                false => layout.into_plan(),
                true => settle(layout, &gaps),
            }
        }
    }
}

/// Assignments beside workers that take less than they are asked for: what these hold is held by others too, if those
/// hold it already or workers that can be spared are enough. Nobody else is moved for a limit, which may be over
/// before a domain's layers are dealt out anew.
fn beside(model: &LayeredModel, workers: &[Worker]) -> Option<Vec<Assignment>> {
    let others: Vec<Worker> = workers.iter().filter(|w| !w.short).cloned().collect();
    let gaps = uncovered(model.layers, others.iter().map(|w| w.layers));
    let mut layout = Layout::new(model, &others);
    gaps.iter().all(|gap| layout.spare(*gap, ROOM_POOR)).then(|| settle(layout, &gaps))
}

/// The rest of a layout whose gaps are closed.
fn settle(mut layout: Layout<'_>, gaps: &[LayerRange]) -> Vec<Assignment> {
    if gaps.is_empty() {
        layout.relieve();
    }
    layout.stand_in();
    if gaps.is_empty() {
        layout.even_out();
    }
    layout.into_plan()
}

/// Workers that requests run through by rule; the others are stand-ins.
///
/// Every node comes to the same ones from the same list: those of one chain, and where the others hold
/// further whole chains, of all these.
pub fn mains<'a>(
    layers: u32,
    workers: impl Iterator<Item = (&'a Name, f64, LayerRange)>,
) -> Vec<&'a Name> {
    let mut left: Vec<_> = workers.filter(|(.., held)| held.count() > 0).collect();
    let mut mains = main_chain(layers, &left);
    let mut seen = 0;
    loop {
        left.retain(|(engine, ..)| !mains[seen..].contains(engine));
        seen = mains.len();
        if !uncovered(layers, left.iter().map(|(.., held)| *held)).is_empty() {
            return mains;
        }
        mains.extend(main_chain(layers, &left));
        if mains.len() == seen {
            return mains;
        }
    }
}

/// From the first layer on, the fastest worker that holds the next layer, of these the one that holds
/// most beyond it.
fn main_chain<'a>(layers: u32, workers: &[(&'a Name, f64, LayerRange)]) -> Vec<&'a Name> {
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

/// How many of these ranges hold each layer.
pub fn copies(layers: u32, held: impl Iterator<Item = LayerRange>) -> Vec<usize> {
    let mut copies = vec![0; layers as usize];
    for range in held {
        for layer in range.first..range.end.min(layers) {
            copies[layer as usize] += 1;
        }
    }
    copies
}

/// Layers that none of these ranges holds.
pub fn uncovered(layers: u32, held: impl Iterator<Item = LayerRange>) -> Vec<LayerRange> {
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
