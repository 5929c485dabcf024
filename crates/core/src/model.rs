//! Models that operators declare.

use serde::{Deserialize, Serialize};

use crate::Name;

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name that callers use.
    pub name: Name,
    /// Version of the weights; every stage of a path has the same.
    pub version: Name,
    /// Number of layers.
    pub layers: u32,
    /// Weight of one layer, megabytes.
    #[serde(default = "layer_mb")]
    pub layer_mb: u32,
}

impl Model {
    /// A model of `layers` layers.
    pub fn new(name: Name, version: Name, layers: u32) -> Self {
        Self { name, version, layers, layer_mb: layer_mb() }
    }
}

fn layer_mb() -> u32 {
    500
}
