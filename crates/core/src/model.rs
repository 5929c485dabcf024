//! Models declared by operators.

use serde::{Deserialize, Serialize};

use crate::Name;

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name that callers request.
    pub name: Name,
    /// Version of the weights; all stages of a path run the same version.
    pub version: Name,
    /// Number of layers.
    pub layers: u32,
    /// Size of one layer's weights, megabytes.
    #[serde(default = "layer_mb")]
    pub layer_mb: u32,
}

impl Model {
    /// Creates a model with the default layer size.
    pub fn new(name: Name, version: Name, layers: u32) -> Self {
        Self { name, version, layers, layer_mb: layer_mb() }
    }
}

fn layer_mb() -> u32 {
    500
}
