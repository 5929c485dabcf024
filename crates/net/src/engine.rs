//! The edge towards engines and plain services.

use futures::future::BoxFuture;
use futures::stream::BoxStream;
use heathpitch_core::{Attempt, LayerRange, Millis, Name};
use heathpitch_policy::{BlockEvent, EngineReport};
use serde::{Deserialize, Serialize};

use crate::{Frame, GenerateCall, Order, OrderError, RpcError};

/// Frames of one answer, in the order they arrive.
pub type FrameStream = BoxStream<'static, Result<Frame, RpcError>>;

/// Why an engine did not start a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// Its queue is full.
    Busy,
    /// It will stop.
    Leaving,
    /// It does not hold the layers, the version or the epoch.
    NotHeld,
    /// It could not read the request.
    Malformed,
}

/// An engine's statement that it did not start a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Always false; anything else is not a statement of no start.
    pub started: bool,
    /// Reason.
    pub kind: RefusalKind,
    /// Engine that refused, head or later stage.
    pub engine: Name,
    /// When to come back, milliseconds.
    #[serde(default)]
    pub back: Millis,
}

/// Why a request could not be sent.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// The engine stated that it did not start.
    #[error("refused: {0:?}")]
    Refused(Refusal),
    /// A later engine of the path cannot be reached; nothing is said of a start.
    #[error("engine {0} cannot be reached")]
    Fault(Name),
    /// The call failed.
    #[error(transparent)]
    Edge(#[from] RpcError),
}

/// Cache events after a number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events in order.
    pub events: Vec<BlockEvent>,
    /// Whole content instead, if events were lost.
    pub snapshot: Option<Vec<u64>>,
    /// Number of the newest event.
    pub serial: u64,
    /// Layers the blocks are of.
    pub layers: Option<LayerRange>,
}

/// What the router asks of engines.
pub trait EngineClient: Send + Sync + 'static {
    /// Sends a request to the head of its path.
    ///
    /// Dropping the stream ends the request at the engine.
    fn generate(
        &self,
        address: &Name,
        call: GenerateCall,
    ) -> BoxFuture<'static, Result<FrameStream, SendError>>;

    /// Ends an attempt.
    fn cancel(&self, address: &Name, request: String, attempt: Attempt) -> BoxFuture<'static, ()>;

    /// Asks for the engine's report.
    fn report(&self, address: &Name) -> BoxFuture<'static, Result<EngineReport, RpcError>>;

    /// Asks for cache events after `serial`.
    fn events(
        &self,
        address: &Name,
        serial: u64,
    ) -> BoxFuture<'static, Result<CacheEvents, RpcError>>;

    /// Gives an order.
    fn order(&self, address: &Name, order: Order) -> BoxFuture<'static, Result<(), OrderError>>;
}
