//! Status reports of engines.

use heathpitch_core::{Epoch, Incarnation, LayerRange, Millis, Name};
use serde::{Deserialize, Serialize};

/// Which phase of a request an engine takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EngineRole {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill only; the KV cache is transferred to another engine.
    Prefill,
    /// Decode only.
    Decode,
}

/// An engine's report of its layers and load; may be out of date.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Name of the engine.
    pub engine: Name,
    /// Incarnation; grows with each start.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Sequence number of the report within the incarnation.
    pub serial: u64,
    /// Model held, if any.
    pub model: Option<Name>,
    /// Version of the weights.
    pub version: Name,
    /// Layers held.
    pub layers: LayerRange,
    /// Epoch of the order that loaded them.
    pub epoch: Epoch,
    /// Phase it takes.
    #[serde(default)]
    pub role: EngineRole,
    /// Whether it is draining.
    #[serde(rename = "leaving")]
    pub draining: bool,
    /// Most requests in a batch.
    pub slots: u32,
    /// Requests in the batch.
    pub running: u32,
    /// Requests queued.
    pub queued: u32,
    /// Prompt tokens prefilled per second.
    pub prefill: f64,
    /// Time of one decode step, microseconds.
    pub step: u64,
    /// Mean duration of finished requests, milliseconds.
    pub service: Millis,
    /// Memory for weights, megabytes.
    pub memory: u64,
    /// Time of one layer for one step, microseconds.
    pub layer: u64,
    /// Time an activation takes to the next stage, microseconds.
    pub link: u64,
}

impl EngineReport {
    /// Whether this report is newer than `other` of the same engine.
    pub fn is_newer_than(&self, other: &EngineReport) -> bool {
        (self.incarnation, self.serial) > (other.incarnation, other.serial)
    }
}
