//! Memory use of the layers of a model, over all engines of a failure domain that hold them.
//!
//! Requests choose among these engines. One that is reported to be emptier than the others attracts
//! the requests of all nodes until its next report, so at the time at which a request would run there
//! it is as full as they are. Their common use is therefore a better forecast for each of them than
//! its own report, and it neither jumps nor depends on which engine was reported last.
//!
//! The common use is estimated twice. The trends of the reports are exact but late. This node's own
//! requests, scaled with the reported tokens per token of its own, are known at once, but are a small
//! sample. The estimate by own requests counts the more, the more of them there are. Scaled up engine
//! by engine, they would be too few to tell anything.

use std::array;

use heathpitch_core::LayerRange;

use crate::HeldForecast;

/// Largest share of its capacity that one engine counts with: more is a fault of its report, and
/// would make its whole failure domain look full.
const MAX_SHARE: f64 = 1.5;
/// Own requests at which both estimates count the same: with that many, the error of the sample is
/// about that of a trend in a burst, a fifth.
const EVEN_REQUESTS: f64 = 16.0;
/// Largest difference that the estimate by own requests makes, as a share of the capacity.
const MAX_OWN_CHANGE: f64 = 0.25;

/// Expected tokens and token capacity of every layer.
///
/// # Examples
///
/// ```
/// use heathpitch_core::LayerRange;
/// use heathpitch_policy::{HeldForecast, LayerLoad};
///
/// let held = |expected| HeldForecast { expected, ..HeldForecast::default() };
/// let mut load = LayerLoad::new(8, 87, 900.0);
/// load.add(LayerRange::new(0, 8), held(90_000.0), 100_000.0);
/// load.add(LayerRange::new(4, 8), held(10_000.0), 100_000.0);
/// assert_eq!(load.share(LayerRange::new(4, 8)), 0.5);
/// assert_eq!(load.share(LayerRange::new(0, 8)), 0.9);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct LayerLoad {
    /// By layer, the difference to the layer before it: an engine changes two entries, however many
    /// layers it holds.
    steps: Vec<Sums>,
    nodes: f64,
    /// Tokens that a request holds on average.
    request_tokens: f64,
}

/// Sums over engines: expected tokens of all, expected tokens of those with a trend, their reported
/// tokens, own tokens in these reports, own tokens now, and the capacity of all.
type Sums = [f64; 6];

impl LayerLoad {
    /// Creates the load of a model with so many layers, held by no engine, that so many nodes use
    /// with requests of so many tokens on average.
    pub fn new(layers: u32, nodes: u32, request_tokens: f64) -> Self {
        let steps = vec![Sums::default(); layers as usize + 1];
        Self { steps, nodes: f64::from(nodes.max(1)), request_tokens }
    }

    /// Adds an engine that holds these layers, with its held tokens and its token capacity.
    ///
    /// An engine of unknown capacity, or with layers that the model doesn't have, is left out.
    pub fn add(&mut self, layers: LayerRange, held: HeldForecast, capacity: f64) {
        let (first, end) = (layers.first as usize, layers.end as usize);
        let is_known = capacity > 0.0 && capacity.is_finite();
        if !is_known || first >= end || end >= self.steps.len() {
            return;
        }
        // `max` and `min` also replace a value that is not a number.
        let bounded = |tokens: f64| tokens.max(0.0).min(capacity * MAX_SHARE);
        let HeldForecast { expected, reported, reported_own, own } = held;
        let with_trend = if reported + reported_own + own > 0.0 { expected } else { 0.0 };
        let sums = [expected, with_trend, reported, reported_own, own, capacity].map(bounded);
        self.steps[first] = array::from_fn(|i| self.steps[first][i] + sums[i]);
        self.steps[end] = array::from_fn(|i| self.steps[end][i] - sums[i]);
    }

    /// Largest share of the capacity that is expected to be held of one of these layers; 0 for layers
    /// without capacity.
    pub fn share(&self, layers: LayerRange) -> f64 {
        let totals = self.steps.iter().scan(Sums::default(), |total, step| {
            *total = array::from_fn(|i| total[i] + step[i]);
            Some(*total)
        });
        let range = totals.take(layers.end as usize).skip(layers.first as usize);
        range.map(|sums| self.share_of(sums)).fold(0.0, f64::max)
    }

    fn share_of(&self, sums: Sums) -> f64 {
        // Sums and differences of an uncovered layer leave a rounding error.
        let [expected, with_trend, reported, reported_own, own, capacity] = sums;
        let capacity = capacity.max(1.0);
        let scale = (reported / reported_own.max(1.0)).clamp(1.0, self.nodes);
        let by_own = reported + (own - reported_own) * scale;
        let sample = reported_own.max(0.0) / self.request_tokens.max(1.0);
        let change = (by_own - with_trend) * sample / (sample + EVEN_REQUESTS);
        let bound = capacity * MAX_OWN_CHANGE;
        ((expected + change.clamp(-bound, bound)) / capacity).max(0.0)
    }
}
