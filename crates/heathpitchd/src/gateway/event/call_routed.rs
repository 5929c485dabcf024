//! Event: a call was sent to an engine.

use heathpitch_core::{LayerRange, Millis, Name};
use serde::Serialize;

/// A call was sent to an engine.
#[derive(Clone, Debug, Serialize)]
pub struct CallRouted {
    /// Call.
    pub request: String,
    /// Client account.
    pub account: Option<Name>,
    /// Route.
    pub route: Name,
    /// Attempt, from 1.
    pub attempt: u32,
    /// Engine that it was sent to.
    pub engine: Name,
    /// Stages of the path.
    pub parts: Vec<(Name, LayerRange)>,
    /// Event after which a stream resumes.
    pub after: Option<u64>,
    /// Time until the call's deadline.
    #[serde(rename = "left_ms")]
    pub remaining_ms: Millis,
    /// Version of the configuration in force.
    pub config: u64,
    /// Time since it was last confirmed as the newest.
    pub proof_ms: Option<Millis>,
    /// Time since the known engines were last confirmed to match the store.
    pub list_ms: Option<Millis>,
    /// Age of what is held back.
    pub held_ms: Millis,
}
