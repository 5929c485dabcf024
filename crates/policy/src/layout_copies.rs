//! Copies of layers: what empty workers hold, and who takes over what has become thin.

use heathpitch_core::{LayerRange, LayeredModel};

use crate::layout_deal::{ROOM_MOST, spares_ample};
use crate::layout_repair::Layout;
use crate::{LayoutReason, Worker, copy_counts};

/// Copies of each layer beyond which further ones wait until requests need their room. Each costs as many orders as it
/// has workers, and each worker that holds layers is asked for its state and weighed for every request.
const COPIES_IDLE: usize = 12;
/// Room of further chains that is kept for each token which requests hold.
const HEADROOM: f64 = 6.0;

/// Copies of each layer that a domain's workers are to hold, if there are enough of them.
pub(crate) fn copies_wanted(model: &LayeredModel, workers: &[Worker]) -> usize {
    let held: f64 = workers.iter().map(|w| w.held_tokens * f64::from(w.layers.count())).sum();
    let chains = held / f64::from(model.layers.max(1)) / f64::from(ROOM_MOST);
    COPIES_IDLE.max((chains * HEADROOM).ceil() as usize)
}

/// # Copies
impl Layout<'_> {
    /// Gives empty workers a further copy of what has the fewest copies: a second one of each layer, and
    /// where all have two, more of them while they are wanted and a few workers stay empty.
    pub(crate) fn stand_in(&mut self) {
        let empty = |w: &Worker| w.assignable && !w.is_new && w.layers.count() == 0;
        let mut empties: Vec<usize> =
            (0..self.workers.len()).filter(|i| empty(&self.workers[*i])).collect();
        let spares = spares_ample(self.workers.len());
        let wanted = copies_wanted(self.model, &self.workers);
        let speed = |i: &usize| self.workers[*i].card.speed();
        if fewest(&self.copies()) > 1 {
            empties.sort_by(|a, b| speed(a).total_cmp(&speed(b)));
        }
        let mut left = empties.len();
        for index in empties {
            let copies = self.copies();
            let few = fewest(&copies).max(1);
            if few > 1 && (left <= spares || few >= wanted) {
                return;
            }
            let most = self.most(index);
            let Some(start) = self.thinnest(most, few, &copies) else { return };
            let end = (start + most).min(self.model.layers);
            self.assign(index, LayerRange::new(start, end), LayoutReason::ExtraCopy);
            left -= 1;
        }
    }

    /// Has one worker whose layers all have two copies more than the layer with the fewest hold that one
    /// instead.
    ///
    /// A chain takes no more than its thinnest layer: after losses a domain without empty workers kept one copy
    /// of some layers beside four of others, and served a tenth of its streams late for the rest of the day.
    /// One at a time, and nothing while another order is under way, so that the others serve meanwhile; it
    /// leaves no layer as thin as the one that it is for, so moves end.
    pub(crate) fn even_out(&mut self) {
        if !self.is_ample() || self.workers.iter().any(|w| !w.assignable) {
            return;
        }
        let copies = self.copies();
        let few = fewest(&copies);
        let spared = |w: &Worker| {
            let held = copies.get(w.layers.first as usize..w.layers.end as usize);
            !w.is_new && held.is_some_and(|h| !h.is_empty() && h.iter().all(|c| *c >= few + 2))
        };
        let spared = (0..self.workers.len()).filter(|i| spared(&self.workers[*i]));
        let Some(index) = spared.min_by_key(|i| (self.workers[*i].open_requests, *i)) else {
            return;
        };
        let most = self.most(index).min(self.model.layers);
        let Some(start) = self.thinnest(most, few, &copies) else { return };
        let start = start.min(self.model.layers - most);
        self.assign(index, LayerRange::new(start, start + most), LayoutReason::Rebalance);
    }

    /// Copies of each layer.
    fn copies(&self) -> Vec<usize> {
        copy_counts(self.model.layers, self.workers.iter().map(|w| w.layers))
    }

    /// Start of a worker's range from which `most` layers have `few` copies or fewer, if any have.
    fn thinnest(&self, most: u32, few: usize, copies: &[usize]) -> Option<u32> {
        if most == 0 {
            return None;
        }
        let copies = |layer: u32| copies[layer as usize];
        let held = self.workers.iter().filter(|w| w.layers.count() > 0).map(|w| w.layers.first);
        let alone = |l: &u32| copies(*l) <= few && (*l == 0 || copies(*l - 1) > few);
        // Without memory for two copies, workers that stay empty are worth more than scraps.
        let ample = self.is_ample();
        let starts = held.chain((0..self.model.layers).filter(|l| ample && alone(l)));
        let weight = |start: u32| {
            let end = (start + most).min(self.model.layers);
            let singles = (start..end).filter(|l| copies(*l) <= few).count();
            let whole = self
                .workers
                .iter()
                .filter(|w| w.layers.count() > 0 && start <= w.layers.first && w.layers.end <= end);
            (singles > 0).then(|| (whole.count().min(1), singles))
        };
        let best = starts.filter_map(|s| weight(s).map(|w| (w, std::cmp::Reverse(s)))).max();
        best.map(|(_, std::cmp::Reverse(start))| start)
    }
}

/// Copies of the layer that has the fewest; none of a model without layers.
fn fewest(copies: &[usize]) -> usize {
    copies.iter().copied().min().unwrap_or(0)
}
