//! Orders to engines, fenced by placement epoch.

use heathpitch_core::{Epoch, LayerRange, Name};
use heathpitch_policy::EngineRole;
use serde::{Deserialize, Serialize};

/// What an engine is to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderKind {
    /// Hold these layers, after letting running requests end.
    Load {
        /// Model.
        model: Name,
        /// Version of the weights.
        version: Name,
        /// Layers.
        layers: LayerRange,
        /// Weights to read from the store, megabytes.
        megabytes: u64,
    },
    /// Take another phase of requests.
    Role(EngineRole),
    /// Take no new requests, and stop when the running ones have ended.
    Leave,
}

/// An order and the epoch of the planner that gave it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Epoch; an engine refuses one that is older than it has seen.
    pub epoch: Epoch,
    /// What to do.
    pub kind: OrderKind,
}

/// Why an order was not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// The engine has seen a newer epoch.
    #[error("the order is older than the engine's epoch {0}")]
    Stale(Epoch),
    /// The call failed.
    #[error(transparent)]
    Edge(#[from] crate::RpcError),
}
