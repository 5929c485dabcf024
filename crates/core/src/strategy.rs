//! Routing strategies.

use serde::{Deserialize, Serialize};

/// How the engine of a stage is chosen among those that hold the same layers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Strategy {
    /// The best predicted of three: the engine that the prompt's prefix is assigned to, the engine
    /// known to hold the longest part of that prefix, and a random one.
    #[default]
    Affinity,
    /// The better predicted of two random engines.
    TwoChoices,
    /// The best predicted of all engines.
    Best,
    /// The engine with the least reported load; a baseline for comparison.
    LeastReported,
    /// A random engine; a baseline for comparison.
    Random,
}
