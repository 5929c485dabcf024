//! What an engine says of itself in the platform's store.

use std::net::SocketAddr;

use crate::{LayerRange, Millis, Name};

/// Whether an engine takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryState {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Leaving,
}

/// An engine as its entry tells of it; one that starts again may have the id that it had.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineEntry {
    /// Id.
    pub id: Name,
    /// Service it belongs to.
    pub service: Name,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Failure domain it stands in.
    pub domain: Name,
    /// Whether it takes new work.
    pub state: EntryState,
    /// Requests it works on at the same time.
    pub slots: u32,
    /// Accelerator kind, if it runs a model in layers.
    pub card: Option<Name>,
    /// Layers it holds, empty if none.
    pub layers: LayerRange,
    /// Unix time of its start, milliseconds, if it tells that; another one is another life.
    pub born: Option<Millis>,
}
