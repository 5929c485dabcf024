//! Copies of layers: assignments of empty workers, and rebalancing of layers with few copies.

use heathpitch_core::{LayerRange, LayeredModel};

use crate::layout_deal::{MAX_TOKENS, copied_spares};
use crate::layout_repair::Layout;
use crate::{LayoutReason, Worker, copy_counts};

/// Copies of each layer that are made without demand. Each copy costs one order per worker, and
/// each worker that holds layers is polled and considered for every request.
const BASE_COPIES: usize = 12;
/// Token capacity provided per token that requests hold.
const MEMORY_HEADROOM: f64 = 6.0;

/// Target number of copies of each layer, if the domain has enough workers.
pub(crate) fn copies_wanted(model: &LayeredModel, workers: &[Worker]) -> usize {
    let held: f64 = workers.iter().map(|w| w.held_tokens * f64::from(w.layers.count())).sum();
    let chains = held / f64::from(model.layers.max(1)) / f64::from(MAX_TOKENS);
    BASE_COPIES.max((chains * MEMORY_HEADROOM).ceil() as usize)
}

/// # Copies
impl Layout<'_> {
    /// Assigns copies of the layers with the fewest copies to empty workers: a second copy of each
    /// layer, then more while the target is not reached and enough workers stay empty.
    pub(crate) fn add_copies(&mut self) {
        let empty = |w: &Worker| w.assignable && !w.is_new && w.layers.count() == 0;
        let mut empties: Vec<usize> =
            (0..self.workers.len()).filter(|i| empty(&self.workers[*i])).collect();
        let spares = copied_spares(self.workers.len());
        let wanted = copies_wanted(self.model, &self.workers);
        let speed = |i: &usize| self.workers[*i].card.speed();
        if min_copies(&self.copies()) > 1 {
            empties.sort_by(|a, b| speed(a).total_cmp(&speed(b)));
        }
        let mut left = empties.len();
        for index in empties {
            let copies = self.copies();
            let few = min_copies(&copies).max(1);
            if few > 1 && (left <= spares || few >= wanted) {
                return;
            }
            let max_layers = self.max_layers(index);
            let Some(start) = self.least_copied(max_layers, few, &copies) else { return };
            let end = (start + max_layers).min(self.model.layers);
            self.assign(index, LayerRange::new(start, end), LayoutReason::ExtraCopy);
            left -= 1;
        }
    }

    /// Moves one worker to the layer with the fewest copies, if all its own layers have at least
    /// two copies more.
    ///
    /// The layer with the fewest copies bounds the throughput of a domain. After losses, a domain
    /// without empty workers kept one copy of some layers and four of others, and served a tenth
    /// of its streams late for the rest of the day. Workers are moved one at a time and only when
    /// no other order is pending, so that the others keep serving. No move leaves a layer with as
    /// few copies as the one it helps, so the moves terminate.
    pub(crate) fn rebalance(&mut self) {
        if !self.fits_copies() || self.workers.iter().any(|w| !w.assignable) {
            return;
        }
        let copies = self.copies();
        let few = min_copies(&copies);
        let spared = |w: &Worker| {
            let held = copies.get(w.layers.first as usize..w.layers.end as usize);
            !w.is_new && held.is_some_and(|h| !h.is_empty() && h.iter().all(|c| *c >= few + 2))
        };
        let spare = (0..self.workers.len()).filter(|i| spared(&self.workers[*i]));
        let Some(at) = spare.min_by_key(|i| (self.workers[*i].open_requests, *i)) else { return };
        let max_layers = self.max_layers(at).min(self.model.layers);
        let Some(start) = self.least_copied(max_layers, few, &copies) else { return };
        let start = start.min(self.model.layers - max_layers);
        self.assign(at, LayerRange::new(start, start + max_layers), LayoutReason::Rebalance);
    }

    /// Number of copies of each layer.
    fn copies(&self) -> Vec<usize> {
        copy_counts(self.model.layers, self.workers.iter().map(|w| w.layers))
    }

    /// Best start of a range of `max_layers` layers that includes any with at most `few` copies.
    fn least_copied(&self, max_layers: u32, few: usize, copies: &[usize]) -> Option<u32> {
        if max_layers == 0 {
            return None;
        }
        let copies = |layer: u32| copies[layer as usize];
        let held = self.workers.iter().filter(|w| w.layers.count() > 0).map(|w| w.layers.first);
        let starts_run = |l: &u32| copies(*l) <= few && (*l == 0 || copies(*l - 1) > few);
        // Without memory for two copies, an empty worker is worth more than a copy of a few layers.
        let copied = self.fits_copies();
        let starts = held.chain((0..self.model.layers).filter(|l| copied && starts_run(l)));
        let weight = |start: u32| {
            let end = (start + max_layers).min(self.model.layers);
            let scarce = (start..end).filter(|l| copies(*l) <= few).count();
            let whole = self
                .workers
                .iter()
                .filter(|w| w.layers.count() > 0 && start <= w.layers.first && w.layers.end <= end);
            (scarce > 0).then(|| (whole.count().min(1), scarce))
        };
        let best = starts.filter_map(|s| weight(s).map(|w| (w, std::cmp::Reverse(s)))).max();
        best.map(|(_, std::cmp::Reverse(start))| start)
    }
}

/// Copies of the layer that has the fewest; 0 for a model without layers.
fn min_copies(copies: &[usize]) -> usize {
    copies.iter().copied().min().unwrap_or(0)
}
