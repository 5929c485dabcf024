//! Memory use of the layers of a model, over all engines of a failure domain that hold them.
//!
//! Requests choose among these engines. One that is reported to be emptier than the others attracts
//! the requests of all nodes until its next report, so at the time at which a request would run there
//! it is as full as they are. Their common use is therefore a better forecast for each of them than
//! its own report, and it neither jumps nor depends on which engine was reported last.

use heathpitch_core::LayerRange;

/// Largest share of its capacity that one engine counts with: more is a fault of its report, and
/// would make its whole failure domain look full.
const MAX_SHARE: f64 = 1.5;

/// Tokens held and token capacity of every layer.
///
/// # Examples
///
/// ```
/// use heathpitch_core::LayerRange;
/// use heathpitch_policy::LayerLoad;
///
/// let mut load = LayerLoad::new(8);
/// load.add(LayerRange::new(0, 8), 90.0, 100.0);
/// load.add(LayerRange::new(4, 8), 10.0, 100.0);
/// assert_eq!(load.share(LayerRange::new(4, 8)), 0.5);
/// assert_eq!(load.share(LayerRange::new(0, 8)), 0.9);
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LayerLoad {
    /// By layer, how much more is held, and fits, than of the layer before it: an engine changes two
    /// entries, however many layers it holds.
    steps: Vec<(f64, f64)>,
}

impl LayerLoad {
    /// Creates the load of a model with so many layers, held by no engine.
    pub fn new(layers: u32) -> Self {
        Self { steps: vec![(0.0, 0.0); layers as usize + 1] }
    }

    /// Adds an engine that holds these layers, with its held tokens and its token capacity.
    ///
    /// An engine of unknown capacity, or with layers that the model doesn't have, is left out.
    pub fn add(&mut self, layers: LayerRange, held: f64, capacity: f64) {
        let (first, end) = (layers.first as usize, layers.end as usize);
        let is_known = capacity > 0.0 && capacity.is_finite();
        if !is_known || first >= end || end >= self.steps.len() {
            return;
        }
        // `max` and `min` also replace a value that is not a number.
        let held = held.max(0.0).min(capacity * MAX_SHARE);
        for (layer, sign) in [(first, 1.0), (end, -1.0)] {
            let step = &mut self.steps[layer];
            *step = (step.0 + sign * held, step.1 + sign * capacity);
        }
    }

    /// Largest share of the capacity that is held of one of these layers; 0 for layers without
    /// capacity.
    pub fn share(&self, layers: LayerRange) -> f64 {
        let totals = self.steps.iter().scan((0.0, 0.0), |total, step| {
            *total = (total.0 + step.0, total.1 + step.1);
            Some(*total)
        });
        let range = totals.take(layers.end as usize).skip(layers.first as usize);
        // Sums and differences of an uncovered layer leave a rounding error.
        range.map(|(held, capacity)| held / capacity.max(1.0)).fold(0.0, f64::max)
    }
}
