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
    /// Tokens held and capacity, by layer.
    layers: Vec<(f64, f64)>,
}

impl LayerLoad {
    /// Creates the load of a model with so many layers, held by no engine.
    pub fn new(layers: u32) -> Self {
        Self { layers: vec![(0.0, 0.0); layers as usize] }
    }

    /// Adds an engine that holds these layers, with its held tokens and its token capacity.
    ///
    /// An engine of unknown capacity is left out.
    pub fn add(&mut self, layers: LayerRange, held: f64, capacity: f64) {
        if !(capacity > 0.0 && capacity.is_finite()) {
            return;
        }
        // `max` and `min` also replace a value that is not a number.
        let held = held.max(0.0).min(capacity * MAX_SHARE);
        for layer in self.range_mut(layers) {
            layer.0 += held;
            layer.1 += capacity;
        }
    }

    /// Largest share of the capacity that is held of one of these layers; 0 for layers without
    /// capacity.
    pub fn share(&self, layers: LayerRange) -> f64 {
        let share = |(held, capacity): &(f64, f64)| held / capacity.max(1.0);
        let range = self.layers.iter().take(layers.end as usize).skip(layers.first as usize);
        range.map(share).fold(0.0, f64::max)
    }

    fn range_mut(&mut self, layers: LayerRange) -> impl Iterator<Item = &mut (f64, f64)> {
        self.layers.iter_mut().take(layers.end as usize).skip(layers.first as usize)
    }
}
