//! Repairs of a layout: gaps closed with few moves, workers relieved.

use heathpitch_core::{LayerRange, LayeredModel};

use crate::layout_deal::{ROOM_MOST, ROOM_STEP};
use crate::{Assignment, LayoutReason, Worker, mains, uncovered};

/// Room left by workers that take over layers of others, if possible, in a domain without memory
/// for two copies.
const ROOM_REPAIR: u32 = 70_000;
/// Copies of the model for which a domain has to have memory beside more room than that: two, and
/// a few workers that stay empty.
const COPIES: f64 = 2.2;
/// Room that is put up with while other workers are still busy.
pub(crate) const ROOM_POOR: u32 = 20_000;
/// Layers that one worker loads if others can share: about a second's load at the users' sizes.
const LOAD_MOST: u32 = 7;
/// Share of the room wanted below which a worker is relieved by one that can be spared.
const TIGHT: f64 = 0.9;
/// Room below which taking over layers is worse than dealing all out anew; about what a domain of
/// the users' sizes holds on average.
const ROOM_FLOOR: u32 = 50_000;

/// A layout under repair.
pub(crate) struct Layout<'a> {
    pub(crate) model: &'a LayeredModel,
    pub(crate) workers: Vec<Worker>,
    /// Room that takers and stand-ins leave, if possible.
    wanted: u32,
    plan: Vec<Assignment>,
}

/// A worker that can be spared, and how many layers it may take.
#[derive(Clone, Copy)]
struct Taker {
    index: usize,
    most: u32,
}

/// A worker and the part of the model that it holds for its domain.
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

/// How a gap is closed: holders on both sides, nearest first, with the layers that each takes
/// more, and workers that can be spared.
struct Shift {
    before: Vec<(Holder, u32)>,
    takers: Vec<Taker>,
    after: Vec<(Holder, u32)>,
}

/// # Construction
impl<'a> Layout<'a> {
    /// A layout as workers hold it.
    pub(crate) fn new(model: &'a LayeredModel, workers: &[Worker]) -> Self {
        let wanted = wanted(model, workers);
        Self { model, workers: workers.to_vec(), wanted, plan: Vec::new() }
    }

    /// Assignments made.
    pub(crate) fn into_plan(self) -> Vec<Assignment> {
        self.plan
    }
}

/// # Steps
impl Layout<'_> {
    /// Closes a gap with as much room left as possible; false if that left too little.
    ///
    /// Workers that can be spared come first; then those that hold the layers next to the gap take
    /// more, nearest first, each handing layers on to the next one if that is not enough.
    pub(crate) fn close(&mut self, gap: LayerRange) -> bool {
        let busy = self.workers.iter().any(|w| !w.free);
        let least = if busy { ROOM_POOR } else { ROOM_FLOOR };
        if self.spare(gap, least) {
            return true;
        }
        for room in self.rooms(least) {
            for reach in 1..=self.workers.len() {
                if let Some(shift) = self.shift(gap, reach, room) {
                    self.carry_out(gap, &shift);
                    return true;
                }
            }
        }
        false
    }

    /// Closes a gap by workers that can be spared alone; false if they are not enough, though they leave no more room
    /// than `least`.
    pub(crate) fn spare(&mut self, gap: LayerRange, least: u32) -> bool {
        let takers = self.rooms(least).map(|r| self.dispensable(r)).find(|t| enough(t, gap));
        let Some(takers) = takers else { return false };
        self.share_out(gap, &few(takers, gap));
        true
    }

    /// Rooms to be tried, down to `least`.
    fn rooms(&self, least: u32) -> impl Iterator<Item = u32> + use<> {
        (least..=self.wanted).rev().step_by(ROOM_STEP as usize)
    }

    /// How workers within `reach` of a gap close it, if they can.
    fn shift(&self, gap: LayerRange, reach: usize, room: u32) -> Option<Shift> {
        let takers = self.dispensable(room);
        let before = self.holders(gap.first, Side::Before, &takers);
        let after = self.holders(gap.end, Side::After, &takers);
        let (before, after) =
            (&before[..reach.min(before.len())], &after[..reach.min(after.len())]);
        let mut missing = gap.count().saturating_sub(takers.iter().map(|t| t.most).sum());
        let mut more = |holders: &[Holder]| -> Vec<(Holder, u32)> {
            let take = |h: &Holder| {
                let w = &self.workers[h.index];
                let spare =
                    self.model.max_layers(&w.card, f64::from(room)).saturating_sub(h.part.count());
                let extra = if w.free { spare.min(missing) } else { 0 };
                missing -= extra;
                (*h, extra)
            };
            holders.iter().map(take).collect()
        };
        let (before, after) = (more(before), more(after));
        (missing == 0).then_some(Shift { before, takers, after })
    }

    /// Workers that hold the layers on one side of a gap, nearest first, each with its own part.
    fn holders(&self, edge: u32, side: Side, spared: &[Taker]) -> Vec<Holder> {
        let mut holders = Vec::new();
        let mut edge = edge;
        loop {
            let next = self.workers.iter().enumerate().filter_map(|(index, w)| {
                let spared = spared.iter().any(|t| t.index == index);
                let l = w.layers;
                let part = match side {
                    Side::Before if l.first < edge && edge <= l.end => {
                        LayerRange::new(l.first, edge)
                    }
                    Side::After if l.first <= edge && edge < l.end => LayerRange::new(edge, l.end),
                    _ => return None,
                };
                (!spared).then_some(Holder { index, part })
            });
            let Some(holder) = next.max_by_key(|h| h.part.count()) else { return holders };
            edge = if side == Side::Before { holder.part.first } else { holder.part.end };
            holders.push(holder);
        }
    }

    /// Assigns the ranges of a shift, from its outer ends to the gap.
    fn carry_out(&mut self, gap: LayerRange, shift: &Shift) {
        let (mut first, mut end) = (gap.first, gap.end);
        let mut pushed = 0;
        for (holder, extra) in shift.before.iter().rev() {
            let layers =
                LayerRange::new(holder.part.first + pushed, holder.part.end + pushed + extra);
            pushed += extra;
            first = layers.end;
            self.move_to(holder.index, layers, pushed);
        }
        pushed = 0;
        for (holder, extra) in shift.after.iter().rev() {
            let layers =
                LayerRange::new(holder.part.first - pushed - extra, holder.part.end - pushed);
            pushed += extra;
            end = layers.first;
            self.move_to(holder.index, layers, pushed);
        }
        if end > first {
            self.share_out(LayerRange::new(first, end), &shift.takers);
        }
    }

    /// Assigns a shifted range, unless nothing is shifted.
    fn move_to(&mut self, index: usize, layers: LayerRange, pushed: u32) {
        if pushed > 0 {
            self.assign(index, layers, LayoutReason::Gap);
        }
    }

    /// Takes layers off workers that hold too much.
    pub(crate) fn relieve(&mut self) {
        let tight =
            |w: &&Worker| w.free && w.layers.count() > 0 && self.room(w, w.layers) < self.tight();
        let tight: Vec<usize> =
            (0..self.workers.len()).filter(|i| tight(&&self.workers[*i])).collect();
        for index in tight {
            if !self.trim(index) {
                self.relief(index);
            }
        }
    }

    /// Gives up what others hold as well; false if that is nothing.
    fn trim(&mut self, index: usize) -> bool {
        let held = self.workers[index].layers;
        let others = self
            .workers
            .iter()
            .enumerate()
            .filter(|(i, w)| *i != index && w.free && self.room(w, w.layers) >= self.tight());
        let others: Vec<LayerRange> = others.map(|(_, w)| w.layers).collect();
        let alone = |l: &u32| !others.iter().any(|o| (o.first..o.end).contains(l));
        let first = (held.first..held.end).find(alone);
        let last = (held.first..held.end).rev().find(alone);
        let layers = match (first, last) {
            (Some(first), Some(last)) => LayerRange::new(first, last + 1),
            // A stand-in for layers that others hold: it keeps as many as leave room.
            _ => LayerRange::new(held.first, held.first + self.most(index).clamp(1, held.count())),
        };
        if layers == held {
            return false;
        }
        self.assign(index, layers, LayoutReason::Trim);
        true
    }

    /// Has a worker that can be spared hold the last layers of one that holds too much.
    fn relief(&mut self, index: usize) {
        let held = self.workers[index].layers;
        let over = held.count().saturating_sub(self.most(index).max(1));
        let spared = self.dispensable(self.wanted).into_iter().filter(|t| t.index != index);
        let Some(taker) = spared.max_by_key(|t| t.most.min(over)) else { return };
        let count = taker.most.min(over);
        if count > 0 {
            let layers = LayerRange::new(held.end - count, held.end);
            self.assign(taker.index, layers, LayoutReason::Relief);
        }
    }

    /// Most layers that a worker holds beside the room wanted.
    pub(crate) fn most(&self, index: usize) -> u32 {
        self.model.max_layers(&self.workers[index].card, f64::from(self.wanted))
    }

    /// Whether the domain has memory for two copies beside more room than repairs leave.
    pub(crate) fn is_ample(&self) -> bool {
        self.wanted > ROOM_REPAIR
    }

    /// Room below which a worker holds too much.
    fn tight(&self) -> f64 {
        f64::from(self.wanted) * TIGHT
    }

    fn room(&self, w: &Worker, layers: LayerRange) -> f64 {
        self.model.token_capacity(&w.card, layers.count())
    }

    /// Workers that hold nothing, or only what the others hold as well.
    fn dispensable(&self, room: u32) -> Vec<Taker> {
        let mut left = self.workers.clone();
        let mut takers = Vec::new();
        let held = self.workers.iter().map(|w| (&w.engine, w.card.step_factor, w.layers));
        let mains = mains(self.model.layers, held);
        let main = |w: &Worker| mains.contains(&&w.engine);
        let mut order: Vec<usize> = (0..self.workers.len()).collect();
        let rank = |w: &Worker| (main(w), w.open > 0, w.layers.count());
        order.sort_by_key(|i| (rank(&self.workers[*i]), *i));
        for index in order {
            let w = &self.workers[index];
            let most = self.model.max_layers(&w.card, f64::from(room));
            if w.free && most > 0 && redundant(&left, index) {
                left[index].layers = LayerRange::new(0, 0);
                takers.push(Taker { index, most });
            }
        }
        takers
    }

    /// Splits a gap so that the longest load is as short as possible.
    fn share_out(&mut self, gap: LayerRange, takers: &[Taker]) {
        let parts = split_evenly(takers, gap.count());
        let mut at = gap.first;
        for (taker, count) in takers.iter().zip(parts) {
            if count > 0 {
                self.assign(taker.index, LayerRange::new(at, at + count), LayoutReason::Gap);
                at += count;
            }
        }
    }

    pub(crate) fn assign(&mut self, index: usize, layers: LayerRange, reason: LayoutReason) {
        let w = &mut self.workers[index];
        w.layers = layers;
        w.free = false;
        self.plan.push(Assignment { engine: w.engine.clone(), layers, reason });
    }
}

/// Room that a domain's workers should leave: the most with which all of them together have memory
/// for two copies and more.
fn wanted(model: &LayeredModel, workers: &[Worker]) -> u32 {
    let copies = |room: u32| -> f64 {
        let fits = workers.iter().map(|w| model.max_layers(&w.card, f64::from(room)));
        f64::from(fits.sum::<u32>()) / f64::from(model.layers.max(1))
    };
    let mut rooms = (ROOM_REPAIR..=ROOM_MOST).rev().step_by(ROOM_STEP as usize);
    rooms.find(|r| copies(*r) >= COPIES).unwrap_or(ROOM_REPAIR)
}

/// As few workers as close a gap with loads that are not long.
fn few(takers: Vec<Taker>, gap: LayerRange) -> Vec<Taker> {
    let mut held = 0;
    let wanted = |t: &Taker| {
        let open = held < gap.count();
        held += t.most.min(LOAD_MOST);
        open
    };
    let mut takers = takers;
    let few: Vec<Taker> = takers.iter().copied().take_while(wanted).collect();
    if enough(&few, gap) { few } else { std::mem::take(&mut takers) }
}

fn enough(takers: &[Taker], gap: LayerRange) -> bool {
    takers.iter().map(|t| t.most).sum::<u32>() >= gap.count()
}

/// Whether the others hold all that a worker holds.
fn redundant(workers: &[Worker], index: usize) -> bool {
    let held = workers[index].layers;
    let others = workers.iter().enumerate().filter(|(i, _)| *i != index).map(|(_, w)| w.layers);
    let gaps = uncovered(held.end, others);
    gaps.iter().all(|g| g.end <= held.first)
}

/// Shares of `total` for each taker, the largest as small as their bounds allow.
fn split_evenly(takers: &[Taker], total: u32) -> Vec<u32> {
    let mut parts = vec![0; takers.len()];
    let mut left = total;
    while left > 0 {
        let open = |i: &usize| parts[*i] < takers[*i].most;
        let Some(next) = (0..takers.len()).filter(open).min_by_key(|i| parts[*i]) else { break };
        parts[next] += 1;
        left -= 1;
    }
    parts
}
