//! Strategies of routing.

use serde::{Deserialize, Serialize};

/// How a stage is picked among engines that hold the same layers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Strategy {
    /// The best predicted of the engine that the prompt's prefix is assigned to, the one known to
    /// hold most of it, and one picked at random.
    #[default]
    Affinity,
    /// The better predicted of two picked at random.
    TwoChoices,
    /// The best predicted of all.
    Best,
    /// The least reported load; a baseline.
    LeastReported,
    /// Any; a baseline.
    Random,
}
