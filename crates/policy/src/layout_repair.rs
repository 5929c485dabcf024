//! Repairs of a layout: closes gaps with few moves and takes layers off overloaded workers.

use heathpitch_core::{LayerRange, LayeredModel};

use crate::layout_deal::{MAX_TOKENS, TOKENS_STEP};
use crate::{Assignment, LayoutReason, Worker, layer_gaps, primaries};

/// Token capacity that repairs leave, if possible, in a domain without memory for two copies.
const REPAIR_TOKENS: u32 = 70_000;
/// Copies of the model that must fit into a domain's memory for repairs to leave more than that:
/// two, and a few workers that stay empty.
const COPIES_FIT: f64 = 2.2;
/// Least token capacity that repairs leave while other workers are busy.
pub(crate) const BUSY_MIN_TOKENS: u32 = 20_000;
/// Layers that one worker loads if others can share the work: about a second of loading at typical
/// sizes.
const MAX_LOAD_LAYERS: u32 = 7;
/// Share of the target token capacity below which a worker counts as overloaded.
const OVERLOADED_SHARE: f64 = 0.9;
/// Token capacity below which redistributing all layers is better than a repair; about the mean
/// number of tokens held in a typical domain.
const REPAIR_MIN_TOKENS: u32 = 50_000;

/// A layout while it is repaired.
pub(crate) struct Layout<'a> {
    pub(crate) model: &'a LayeredModel,
    pub(crate) workers: Vec<Worker>,
    /// Token capacity that assignments leave, if possible.
    token_target: u32,
    plan: Vec<Assignment>,
}

/// A worker whose layers are not needed, and how many layers it can take.
#[derive(Clone, Copy)]
struct Spare {
    index: usize,
    max_layers: u32,
}

/// A worker and the part of its layers that a shift relies on.
#[derive(Clone, Copy)]
struct Holder {
    index: usize,
    part: LayerRange,
}

/// Side of a gap.
#[derive(Clone, Copy, PartialEq)]
enum Side {
    Before,
    After,
}

/// How a gap is closed: holders on both sides, nearest first, with the number of layers that each
/// adds, and spare workers.
struct Shift {
    before: Vec<(Holder, u32)>,
    spares: Vec<Spare>,
    after: Vec<(Holder, u32)>,
}

/// # Construction
impl<'a> Layout<'a> {
    /// The layout that workers currently hold.
    pub(crate) fn new(model: &'a LayeredModel, workers: &[Worker]) -> Self {
        let token_target = token_target(model, workers);
        Self { model, workers: workers.to_vec(), token_target, plan: Vec::new() }
    }

    /// Returns the assignments made.
    pub(crate) fn into_plan(self) -> Vec<Assignment> {
        self.plan
    }
}

/// # Steps
impl Layout<'_> {
    /// Closes a gap with as much token capacity left as possible; false if that would leave too
    /// little.
    ///
    /// Spare workers are used first. Then workers with layers next to the gap take more, nearest
    /// first, each passing layers on to its neighbor if that is not enough.
    pub(crate) fn close_gap(&mut self, gap: LayerRange) -> bool {
        let busy = self.workers.iter().any(|w| !w.assignable);
        let min_tokens = if busy { BUSY_MIN_TOKENS } else { REPAIR_MIN_TOKENS };
        if self.close_with_spares(gap, min_tokens) {
            return true;
        }
        for tokens in self.capacities(min_tokens) {
            for reach in 1..=self.workers.len() {
                if let Some(shift) = self.shift(gap, reach, tokens) {
                    self.apply_shift(gap, &shift);
                    return true;
                }
            }
        }
        false
    }

    /// Closes a gap with spare workers alone; false if they are not enough even at a token capacity
    /// of `min_tokens`.
    pub(crate) fn close_with_spares(&mut self, gap: LayerRange, min_tokens: u32) -> bool {
        let spares =
            self.capacities(min_tokens).map(|r| self.spare_workers(r)).find(|t| enough(t, gap));
        let Some(spares) = spares else { return false };
        self.fill_gap(gap, &fewest_spares(spares, gap));
        true
    }

    /// Token capacities to try, down to `min_tokens`.
    fn capacities(&self, min_tokens: u32) -> impl Iterator<Item = u32> + use<> {
        (min_tokens..=self.token_target).rev().step_by(TOKENS_STEP as usize)
    }

    /// How spare workers and up to `reach` holders on each side close a gap, if they can.
    fn shift(&self, gap: LayerRange, reach: usize, tokens: u32) -> Option<Shift> {
        let spares = self.spare_workers(tokens);
        let before = self.holders(gap.first, Side::Before, &spares);
        let after = self.holders(gap.end, Side::After, &spares);
        let (before, after) =
            (&before[..reach.min(before.len())], &after[..reach.min(after.len())]);
        let mut missing = gap.count().saturating_sub(spares.iter().map(|t| t.max_layers).sum());
        let mut more = |holders: &[Holder]| -> Vec<(Holder, u32)> {
            let take = |h: &Holder| {
                let w = &self.workers[h.index];
                let spare = self
                    .model
                    .max_layers(&w.card, f64::from(tokens))
                    .saturating_sub(h.part.count());
                let extra = if w.assignable { spare.min(missing) } else { 0 };
                missing -= extra;
                (*h, extra)
            };
            holders.iter().map(take).collect()
        };
        let (before, after) = (more(before), more(after));
        (missing == 0).then_some(Shift { before, spares, after })
    }

    /// Workers that hold the layers on one side of a gap, nearest first, without overlap.
    fn holders(&self, edge: u32, side: Side, excluded: &[Spare]) -> Vec<Holder> {
        let mut holders = Vec::new();
        let mut edge = edge;
        loop {
            let next = self.workers.iter().enumerate().filter_map(|(index, w)| {
                let excluded = excluded.iter().any(|t| t.index == index);
                let l = w.layers;
                let part = match side {
                    Side::Before if l.first < edge && edge <= l.end => {
                        LayerRange::new(l.first, edge)
                    }
                    Side::After if l.first <= edge && edge < l.end => LayerRange::new(edge, l.end),
                    _ => return None,
                };
                (!excluded).then_some(Holder { index, part })
            });
            let Some(holder) = next.max_by_key(|h| h.part.count()) else { return holders };
            edge = if side == Side::Before { holder.part.first } else { holder.part.end };
            holders.push(holder);
        }
    }

    /// Assigns the ranges of a shift, from the outer ends towards the gap.
    fn apply_shift(&mut self, gap: LayerRange, shift: &Shift) {
        let (mut first, mut end) = (gap.first, gap.end);
        let mut pushed = 0;
        for (holder, extra) in shift.before.iter().rev() {
            let layers =
                LayerRange::new(holder.part.first + pushed, holder.part.end + pushed + extra);
            pushed += extra;
            first = layers.end;
            self.assign_shifted(holder.index, layers, pushed);
        }
        pushed = 0;
        for (holder, extra) in shift.after.iter().rev() {
            let layers =
                LayerRange::new(holder.part.first - pushed - extra, holder.part.end - pushed);
            pushed += extra;
            end = layers.first;
            self.assign_shifted(holder.index, layers, pushed);
        }
        if end > first {
            self.fill_gap(LayerRange::new(first, end), &shift.spares);
        }
    }

    /// Assigns a shifted range, unless the shift is empty.
    fn assign_shifted(&mut self, index: usize, layers: LayerRange, pushed: u32) {
        if pushed > 0 {
            self.assign(index, layers, LayoutReason::Gap);
        }
    }

    /// Takes layers off overloaded workers.
    pub(crate) fn relieve(&mut self) {
        let overloaded = |w: &&Worker| {
            w.assignable
                && w.layers.count() > 0
                && self.token_capacity(w, w.layers) < self.overloaded_tokens()
        };
        let overloaded: Vec<usize> =
            (0..self.workers.len()).filter(|i| overloaded(&&self.workers[*i])).collect();
        for index in overloaded {
            if !self.trim(index) {
                self.hand_over(index);
            }
        }
    }

    /// Drops layers that others hold as well; false if there are none.
    fn trim(&mut self, index: usize) -> bool {
        let held = self.workers[index].layers;
        let others = self.workers.iter().enumerate().filter(|(i, w)| {
            *i != index
                && w.assignable
                && self.token_capacity(w, w.layers) >= self.overloaded_tokens()
        });
        let others: Vec<LayerRange> = others.map(|(_, w)| w.layers).collect();
        let alone = |l: &u32| !others.iter().any(|o| (o.first..o.end).contains(l));
        let first = (held.first..held.end).find(alone);
        let last = (held.first..held.end).rev().find(alone);
        let layers = match (first, last) {
            (Some(first), Some(last)) => LayerRange::new(first, last + 1),
            // All its layers are held by others: it keeps as many as leave enough token capacity.
            _ => LayerRange::new(
                held.first,
                held.first + self.max_layers(index).clamp(1, held.count()),
            ),
        };
        if layers == held {
            return false;
        }
        self.assign(index, layers, LayoutReason::Trim);
        true
    }

    /// Hands the last layers of an overloaded worker over to a spare one.
    fn hand_over(&mut self, index: usize) {
        let held = self.workers[index].layers;
        let over = held.count().saturating_sub(self.max_layers(index).max(1));
        let spares = self.spare_workers(self.token_target).into_iter().filter(|t| t.index != index);
        let Some(spare) = spares.max_by_key(|t| t.max_layers.min(over)) else { return };
        let count = spare.max_layers.min(over);
        if count > 0 {
            let layers = LayerRange::new(held.end - count, held.end);
            self.assign(spare.index, layers, LayoutReason::Relief);
        }
    }

    /// Most layers that a worker can hold with the target token capacity.
    pub(crate) fn max_layers(&self, index: usize) -> u32 {
        self.model.max_layers(&self.workers[index].card, f64::from(self.token_target))
    }

    /// Whether the domain has memory for two copies with more token capacity than repairs leave.
    pub(crate) fn fits_copies(&self) -> bool {
        self.token_target > REPAIR_TOKENS
    }

    /// Token capacity below which a worker is overloaded.
    fn overloaded_tokens(&self) -> f64 {
        f64::from(self.token_target) * OVERLOADED_SHARE
    }

    fn token_capacity(&self, w: &Worker, layers: LayerRange) -> f64 {
        self.model.token_capacity(&w.card, layers.count())
    }

    /// Workers that hold no layers, or only layers that others hold as well.
    fn spare_workers(&self, tokens: u32) -> Vec<Spare> {
        let mut left = self.workers.clone();
        let mut spares = Vec::new();
        let held = self.workers.iter().map(|w| (&w.engine, w.card.step_factor, w.layers));
        let primaries = primaries(self.model.layers, held);
        let main = |w: &Worker| primaries.contains(&&w.engine);
        let mut order: Vec<usize> = (0..self.workers.len()).collect();
        let rank = |w: &Worker| (main(w), w.open_requests > 0, w.layers.count());
        order.sort_by_key(|i| (rank(&self.workers[*i]), *i));
        for index in order {
            let w = &self.workers[index];
            let max_layers = self.model.max_layers(&w.card, f64::from(tokens));
            if w.assignable && max_layers > 0 && is_redundant(&left, index) {
                left[index].layers = LayerRange::new(0, 0);
                spares.push(Spare { index, max_layers });
            }
        }
        spares
    }

    /// Splits a gap between spare workers so that the longest load is as short as possible.
    fn fill_gap(&mut self, gap: LayerRange, spares: &[Spare]) {
        let parts = split_evenly(spares, gap.count());
        let mut at = gap.first;
        for (spare, count) in spares.iter().zip(parts) {
            if count > 0 {
                self.assign(spare.index, LayerRange::new(at, at + count), LayoutReason::Gap);
                at += count;
            }
        }
    }

    pub(crate) fn assign(&mut self, index: usize, layers: LayerRange, reason: LayoutReason) {
        let w = &mut self.workers[index];
        w.layers = layers;
        w.assignable = false;
        self.plan.push(Assignment { engine: w.engine.clone(), layers, reason });
    }
}

/// Target token capacity: the largest with which the domain's workers together have memory for two
/// copies and a few empty workers.
fn token_target(model: &LayeredModel, workers: &[Worker]) -> u32 {
    let copies = |tokens: u32| -> f64 {
        let fits = workers.iter().map(|w| model.max_layers(&w.card, f64::from(tokens)));
        f64::from(fits.sum::<u32>()) / f64::from(model.layers.max(1))
    };
    let mut capacities = (REPAIR_TOKENS..=MAX_TOKENS).rev().step_by(TOKENS_STEP as usize);
    capacities.find(|r| copies(*r) >= COPIES_FIT).unwrap_or(REPAIR_TOKENS)
}

/// The fewest spare workers that close a gap with short loads.
fn fewest_spares(spares: Vec<Spare>, gap: LayerRange) -> Vec<Spare> {
    let mut held = 0;
    let wanted = |t: &Spare| {
        let open = held < gap.count();
        held += t.max_layers.min(MAX_LOAD_LAYERS);
        open
    };
    let mut spares = spares;
    let few: Vec<Spare> = spares.iter().copied().take_while(wanted).collect();
    if enough(&few, gap) { few } else { std::mem::take(&mut spares) }
}

fn enough(spares: &[Spare], gap: LayerRange) -> bool {
    spares.iter().map(|t| t.max_layers).sum::<u32>() >= gap.count()
}

/// Whether other workers hold all layers of a worker.
fn is_redundant(workers: &[Worker], index: usize) -> bool {
    let held = workers[index].layers;
    let others = workers.iter().enumerate().filter(|(i, _)| *i != index).map(|(_, w)| w.layers);
    let gaps = layer_gaps(held.end, others);
    gaps.iter().all(|g| g.end <= held.first)
}

/// Splits `total` between spare workers as evenly as their bounds allow.
fn split_evenly(spares: &[Spare], total: u32) -> Vec<u32> {
    let mut parts = vec![0; spares.len()];
    let mut left = total;
    while left > 0 {
        let open = |i: &usize| parts[*i] < spares[*i].max_layers;
        let Some(next) = (0..spares.len()).filter(open).min_by_key(|i| parts[*i]) else { break };
        parts[next] += 1;
        left -= 1;
    }
    parts
}
