//! Layouts that deal out all layers: of workers that hold nothing, or in the order they hold now.

use heathpitch_core::{LayerRange, LayeredModel};

use crate::chain::HOP;
use crate::layout_copies::copies_wanted;
use crate::layout_repair::Layout;
use crate::{Assignment, LayoutReason, Worker};

/// Tokens of requests that a layout leaves room for if it can; twice what a domain of the users'
/// sizes holds on average (measured: 88 000 give no preemption, 58 000 some).
pub(crate) const ROOM_MOST: u32 = 150_000;
/// Room below which spare workers are given up for more room.
const ROOM_ENOUGH: u32 = 85_000;
/// Room that is given up last, so that a domain with few workers still holds the model.
const ROOM_LEAST: u32 = 5_000;
/// Step between rooms tried.
pub(crate) const ROOM_STEP: u32 = 5_000;
/// Share of a domain's workers that are kept as stand-ins if there is room enough.
const SPARE_SHARE: f64 = 0.15;
/// The same where every layer has two copies or more, and the loss of an engine opens no gap: 0.792 of a day's
/// worth where 0.15 gave 0.779, by 15 days with losses of a fleet of 86 engines.
const SPARE_SHARE_AMPLE: f64 = 0.05;

/// Workers that stay empty where every layer has two copies or more.
pub(crate) fn spares_ample(workers: usize) -> usize {
    (workers as f64 * SPARE_SHARE_AMPLE).ceil() as usize
}

/// Deals all layers out anew in the order in which workers hold them now.
pub(crate) fn reorder(model: &LayeredModel, workers: &[Worker]) -> Vec<Assignment> {
    let mut order: Vec<&Worker> = workers.iter().collect();
    let place = |w: &Worker| (w.layers.count() == 0, w.layers.first, w.layers.end);
    order.sort_by(|a, b| place(a).cmp(&place(b)).then(a.engine.cmp(&b.engine)));
    let counts = |room: u32| -> Vec<u32> {
        order.iter().map(|w| model.max_layers(&w.card, f64::from(room))).collect()
    };
    let mut rooms = (ROOM_LEAST..=ROOM_MOST).rev().step_by(ROOM_STEP as usize).map(counts);
    let Some(mut counts) = rooms.find(|c| c.iter().sum::<u32>() >= model.layers) else {
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

/// A layout of workers that hold nothing.
pub(crate) fn fresh(model: &LayeredModel, workers: &[Worker]) -> Vec<Assignment> {
    let mut order: Vec<&Worker> = workers.iter().filter(|w| w.free).collect();
    let speed = |w: &Worker| w.card.speed();
    order.sort_by(|a, b| speed(a).total_cmp(&speed(b)).then(a.engine.cmp(&b.engine)));
    let spares = (order.len() as f64 * SPARE_SHARE).ceil() as usize;
    let rooms = |least: u32| (least..=ROOM_MOST).rev().step_by(ROOM_STEP as usize);
    let ample = Layout::new(model, workers).is_ample();
    let best = |least: u32, spares: usize| {
        let mut covers = rooms(least).filter_map(|r| Some((r, cover(model, &order, r, spares)?)));
        // Where there is memory for second copies, those need the fast cards' layers too.
        if ample {
            return covers.next();
        }
        covers.max_by(|a, b| rate(model, &order, a).total_cmp(&rate(model, &order, b)))
    };
    let chosen = best(ROOM_ENOUGH, spares).or_else(|| best(ROOM_LEAST, 0));
    let Some((_, mut plan)) = chosen else { return Vec::new() };
    if ample {
        fill_last(model, &order, &mut plan);
        let further_chains = copies_wanted(model, workers) - 1;
        further(model, &order, spares_ample(order.len()), further_chains, &mut plan);
    }
    let mut held: Vec<Worker> = workers.to_vec();
    for w in &mut held {
        if let Some(a) = plan.iter().find(|a| a.engine == w.engine) {
            w.layers = a.layers;
        }
    }
    let mut layout = Layout::new(model, &held);
    layout.stand_in();
    plan.extend(layout.into_plan());
    plan
}

/// Adds up to so many whole `chains` of workers that `plan` leaves, fastest first, while `spares` of them stay.
///
/// Memory for requests is what a fleet lacks first. A fleet of 86 engines laid out once in each of three failure
/// domains, with second copies that stood by, was full with its usual traffic; with further chains it serves
/// twice that (0.569 to 0.779 of a day's worth, by 15 days with losses).
fn further(
    model: &LayeredModel,
    order: &[&Worker],
    spares: usize,
    chains: usize,
    plan: &mut Vec<Assignment>,
) {
    let within = |chain: &[Assignment], w: &Worker| chain.iter().any(|a| a.engine == w.engine);
    let mut left: Vec<&Worker> = order.iter().copied().filter(|w| !within(plan, w)).collect();
    for _ in 0..chains {
        let Some(mut chain) = cover(model, &left, ROOM_MOST, spares) else { return };
        fill_last(model, &left, &mut chain);
        left.retain(|w| !within(&chain, w));
        plan.extend(chain);
    }
}

/// Has the last worker of a chain hold as many layers as leave room, where the chain needs only a few of it:
/// further copies of the chain's last layers for nothing.
fn fill_last(model: &LayeredModel, workers: &[&Worker], chain: &mut [Assignment]) {
    let Some(last) = chain.last_mut() else { return };
    let Some(w) = workers.iter().find(|w| w.engine == last.engine) else { return };
    let most = model.max_layers(&w.card, f64::from(ROOM_MOST)).max(last.layers.count());
    last.layers.first = last.layers.end.saturating_sub(most);
}

/// Tokens that a layout with so much room makes a millisecond, all its room taken.
///
/// Room alone is worth little: requests share it for as long as their steps take, which are longer the
/// more of them share it and the slower the cards that hold layers. With 150 000 tokens of room and a
/// third of the layers on the slowest cards, requests stayed 4.6 s in place of 2.6 s with 85 000.
fn rate(model: &LayeredModel, workers: &[&Worker], (room, plan): &(u32, Vec<Assignment>)) -> f64 {
    let room = f64::from(*room);
    let step = model.step_time_ms(room);
    let part = |a: &Assignment| {
        let pace =
            workers.iter().find(|w| w.engine == a.engine).map_or(1.0, |w| w.card.step_factor);
        HOP + step * pace * f64::from(a.layers.count()) / f64::from(model.layers.max(1))
    };
    room / model.mean_tokens().max(1.0) / plan.iter().map(part).sum::<f64>()
}

/// Covers the model with the first workers of `order`, leaving `spares` of them.
fn cover(
    model: &LayeredModel,
    order: &[&Worker],
    room: u32,
    spares: usize,
) -> Option<Vec<Assignment>> {
    let usable = order.len().saturating_sub(spares);
    let mut at = 0;
    let mut plan = Vec::new();
    for w in &order[..usable] {
        let count = model.max_layers(&w.card, f64::from(room)).min(model.layers - at);
        if count == 0 {
            continue;
        }
        let layers = LayerRange::new(at, at + count);
        plan.push(Assignment { engine: w.engine.clone(), layers, reason: LayoutReason::Fresh });
        at += count;
    }
    (at == model.layers && !plan.is_empty()).then_some(plan)
}
