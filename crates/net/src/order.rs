//! Orders to engines, fenced by the placement epoch.

use heathpitch_core::{Epoch, LayerRange, Name};
use heathpitch_policy::EngineRole;
use serde::{Deserialize, Serialize};

/// Action that an engine is to take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderKind {
    /// Load these layers, after running requests have finished.
    Load {
        /// Model.
        model: Name,
        /// Version of the weights.
        version: Name,
        /// Layers.
        layers: LayerRange,
        /// Weights to read from the store, in megabytes.
        megabytes: u64,
    },
    /// Serve another phase of requests.
    Role(EngineRole),
    /// Drain: accept no new requests and stop once the running ones have finished.
    #[serde(rename = "leave")]
    Drain,
}

/// An order with the epoch of the planner that issued it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Epoch; an engine rejects an order with an older epoch than it has seen.
    pub epoch: Epoch,
    /// Action.
    pub kind: OrderKind,
}

/// Error of an order.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// The engine has seen a newer epoch.
    #[error("stale order: the engine is at epoch {0}")]
    Stale(Epoch),
    /// The remote call failed.
    #[error(transparent)]
    Rpc(#[from] crate::RpcError),
}
