//! The entry by which an engine registers itself in the platform's store.

use std::net::SocketAddr;

use crate::{LayerRange, Millis, Name};

/// Whether an engine accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryState {
    /// Accepts new requests.
    Ready,
    /// Finishes its open requests, then shuts down.
    Draining,
}

/// An engine's entry; a restarted engine may register under its former id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineEntry {
    /// Id of the engine.
    pub id: Name,
    /// Service it belongs to.
    pub service: Name,
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Failure domain of the engine.
    pub domain: Name,
    /// Whether it accepts new requests.
    pub state: EntryState,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Accelerator kind, if it runs a layered model.
    pub card: Option<Name>,
    /// Layers that it holds; empty if none.
    pub layers: LayerRange,
    /// Unix time of its start, milliseconds, if reported; a different value means that the engine
    /// was restarted.
    pub started_at: Option<Millis>,
}
