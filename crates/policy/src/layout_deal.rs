//! Layouts of all layers: on empty workers, or in the order in which workers hold them now.

use heathpitch_core::{LayerRange, LayeredModel};

use crate::chain::HOP_COST;
use crate::layout_copies::copies_wanted;
use crate::layout_repair::Layout;
use crate::{Assignment, LayoutReason, Worker};

/// Tokens that a layout reserves memory for if it can; twice the mean of typical domains. With
/// 88 000 no request is preempted, with 58 000 some are.
pub(crate) const MAX_TOKENS: u32 = 150_000;
/// Token capacity below which spare workers are used to gain more.
const ENOUGH_TOKENS: u32 = 85_000;
/// Least token capacity planned for, so that a domain with few workers still holds the model.
const MIN_TOKENS: u32 = 5_000;
/// Step between token capacities tried.
pub(crate) const TOKENS_STEP: u32 = 5_000;
/// Share of a domain's workers kept out of the primary chains if memory suffices.
const SPARE_SHARE: f64 = 0.15;
/// The same where every layer has two copies or more, so that the loss of an engine opens no gap.
/// A fleet of 86 engines reached 0.792 of a day's value over 15 days with losses, and 0.779
/// with a share of 0.15.
const COPIED_SPARE_SHARE: f64 = 0.05;

/// Number of workers that stay empty where every layer has two copies or more.
pub(crate) fn copied_spares(workers: usize) -> usize {
    (workers as f64 * COPIED_SPARE_SHARE).ceil() as usize
}

/// Redistributes all layers in the order in which workers hold them now.
pub(crate) fn redistribute(model: &LayeredModel, workers: &[Worker]) -> Vec<Assignment> {
    let mut order: Vec<&Worker> = workers.iter().collect();
    let place = |w: &Worker| (w.layers.count() == 0, w.layers.first, w.layers.end);
    order.sort_by(|a, b| place(a).cmp(&place(b)).then(a.engine.cmp(&b.engine)));
    let counts = |tokens: u32| -> Vec<u32> {
        order.iter().map(|w| model.max_layers(&w.card, f64::from(tokens))).collect()
    };
    let mut capacities = (MIN_TOKENS..=MAX_TOKENS).rev().step_by(TOKENS_STEP as usize).map(counts);
    let Some(mut counts) = capacities.find(|c| c.iter().sum::<u32>() >= model.layers) else {
        return Vec::new();
    };
    let mut excess = counts.iter().sum::<u32>() - model.layers;
    while excess > 0 {
        let slow = |i: &usize| (order[*i].card.step_factor * f64::from(counts[*i])) as u64;
        let Some(slowest) = (0..counts.len()).filter(|i| counts[*i] > 0).max_by_key(slow) else {
            break;
        };
        counts[slowest] -= 1;
        excess -= 1;
    }
    let mut at = 0;
    let mut plan = Vec::new();
    for (w, count) in order.iter().zip(counts) {
        let layers = LayerRange::new(at, at + count);
        at += count;
        if count > 0 && layers != w.layers {
            let engine = w.engine.clone();
            plan.push(Assignment { engine, layers, reason: LayoutReason::Reorder });
        }
    }
    plan
}

/// Layout of a domain whose workers hold no layers.
pub(crate) fn initial(model: &LayeredModel, workers: &[Worker]) -> Vec<Assignment> {
    let mut order: Vec<&Worker> = workers.iter().filter(|w| w.assignable).collect();
    let speed = |w: &Worker| w.card.speed();
    order.sort_by(|a, b| speed(a).total_cmp(&speed(b)).then(a.engine.cmp(&b.engine)));
    let spares = (order.len() as f64 * SPARE_SHARE).ceil() as usize;
    let capacities =
        |min_tokens: u32| (min_tokens..=MAX_TOKENS).rev().step_by(TOKENS_STEP as usize);
    let copied = Layout::new(model, workers).fits_copies();
    let best = |min_tokens: u32, spares: usize| {
        let mut covers =
            capacities(min_tokens).filter_map(|r| Some((r, cover(model, &order, r, spares)?)));
        // If there is memory for second copies, those need the fast cards as well.
        if copied {
            return covers.next();
        }
        covers.max_by(|a, b| throughput(model, &order, a).total_cmp(&throughput(model, &order, b)))
    };
    let chosen = best(ENOUGH_TOKENS, spares).or_else(|| best(MIN_TOKENS, 0));
    let Some((_, mut plan)) = chosen else { return Vec::new() };
    if copied {
        extend_last(model, &order, &mut plan);
        let further_chains = copies_wanted(model, workers) - 1;
        add_chains(model, &order, copied_spares(order.len()), further_chains, &mut plan);
    }
    let mut held: Vec<Worker> = workers.to_vec();
    for w in &mut held {
        if let Some(a) = plan.iter().find(|a| a.engine == w.engine) {
            w.layers = a.layers;
        }
    }
    let mut layout = Layout::new(model, &held);
    layout.add_copies();
    plan.extend(layout.into_plan());
    plan
}

/// Adds up to `chains` complete chains of workers not used by `plan`, fastest first, while
/// `spares` workers remain.
///
/// Memory for requests is the first bottleneck of a fleet. A fleet of 86 engines with one chain in
/// each of three failure domains and idle second copies was full at its usual traffic. With
/// further chains it serves twice that (0.569 to 0.779 of a day's value over 15 days with
/// losses).
fn add_chains(
    model: &LayeredModel,
    order: &[&Worker],
    spares: usize,
    chains: usize,
    plan: &mut Vec<Assignment>,
) {
    let within = |chain: &[Assignment], w: &Worker| chain.iter().any(|a| a.engine == w.engine);
    let mut left: Vec<&Worker> = order.iter().copied().filter(|w| !within(plan, w)).collect();
    for _ in 0..chains {
        let Some(mut chain) = cover(model, &left, MAX_TOKENS, spares) else { return };
        extend_last(model, &left, &mut chain);
        left.retain(|w| !within(&chain, w));
        plan.extend(chain);
    }
}

/// Extends the range of a chain's last worker towards the front as far as memory allows, which
/// adds copies of the preceding layers at no cost.
fn extend_last(model: &LayeredModel, workers: &[&Worker], chain: &mut [Assignment]) {
    let Some(last) = chain.last_mut() else { return };
    let Some(w) = workers.iter().find(|w| w.engine == last.engine) else { return };
    let most = model.max_layers(&w.card, f64::from(MAX_TOKENS)).max(last.layers.count());
    last.layers.first = last.layers.end.saturating_sub(most);
}

/// Tokens that a full layout generates per millisecond.
///
/// Token capacity alone is a poor measure: steps take longer the more requests share the memory and
/// the slower the cards are. With a capacity of 150 000 tokens and a third of the layers on the
/// slowest cards, requests took 4.6 s instead of 2.6 s with 85 000.
fn throughput(
    model: &LayeredModel,
    workers: &[&Worker],
    (tokens, plan): &(u32, Vec<Assignment>),
) -> f64 {
    let tokens = f64::from(*tokens);
    let step = model.step_time_ms(tokens);
    let part = |a: &Assignment| {
        let factor =
            workers.iter().find(|w| w.engine == a.engine).map_or(1.0, |w| w.card.step_factor);
        HOP_COST + step * factor * f64::from(a.layers.count()) / f64::from(model.layers.max(1))
    };
    tokens / model.mean_tokens().max(1.0) / plan.iter().map(part).sum::<f64>()
}

/// Covers the model with the first workers of `order`, leaving out the last `spares`.
fn cover(
    model: &LayeredModel,
    order: &[&Worker],
    tokens: u32,
    spares: usize,
) -> Option<Vec<Assignment>> {
    let usable = order.len().saturating_sub(spares);
    let mut at = 0;
    let mut plan = Vec::new();
    for w in &order[..usable] {
        let count = model.max_layers(&w.card, f64::from(tokens)).min(model.layers - at);
        if count == 0 {
            continue;
        }
        let layers = LayerRange::new(at, at + count);
        plan.push(Assignment { engine: w.engine.clone(), layers, reason: LayoutReason::Initial });
        at += count;
    }
    (at == model.layers && !plan.is_empty()).then_some(plan)
}
