//! Ranges of model layers.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Layers `first..end` of a model, `end` excluded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LayerRange {
    /// First layer.
    pub first: u32,
    /// One past the last layer.
    pub end: u32,
}

impl LayerRange {
    /// Creates the range `first..end`.
    pub fn new(first: u32, end: u32) -> Self {
        Self { first, end }
    }

    /// Number of layers; 0 if `end` is not above `first`.
    pub fn count(self) -> u32 {
        self.end.saturating_sub(self.first)
    }
}

impl fmt::Display for LayerRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}..{}", self.first, self.end)
    }
}
