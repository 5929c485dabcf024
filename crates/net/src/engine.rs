//! Interface of clients of engines and plain services.

use futures::future::BoxFuture;
use futures::stream::BoxStream;
use heathpitch_core::{Attempt, LayerRange, Millis, Name};
use heathpitch_policy::{BlockEvent, EngineReport};
use serde::{Deserialize, Serialize};

use crate::{Frame, GenerateCall, Order, OrderError, RpcError};

/// Frames of one response, in order of arrival.
pub type FrameStream = BoxStream<'static, Result<Frame, RpcError>>;

/// Reason why an engine did not start a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// Its queue is full.
    Busy,
    /// It is draining.
    #[serde(rename = "leaving")]
    Draining,
    /// It does not hold the requested layers or version, or is at another epoch.
    NotHeld,
    /// It could not parse the request.
    Malformed,
}

/// Response of an engine that did not start a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Always false; a response with true does not count as a refusal.
    pub started: bool,
    /// Reason.
    pub kind: RefusalKind,
    /// Engine that refused: the head of the path or a later stage.
    pub engine: Name,
    /// Time after which to retry, milliseconds.
    #[serde(default, rename = "back")]
    pub retry_after: Millis,
}

/// Error of sending a request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// An engine refused the request without starting it.
    #[error("refused by the engine: {0:?}")]
    Refused(Refusal),
    /// A later engine of the path is unreachable; the request may have started.
    #[error("engine {0} is unreachable")]
    Fault(Name),
    /// The remote call failed.
    #[error(transparent)]
    Rpc(#[from] RpcError),
}

/// Cache events after a given serial number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events in order.
    pub events: Vec<BlockEvent>,
    /// Full content of the cache instead, if some events are no longer available.
    pub snapshot: Option<Vec<u64>>,
    /// Serial number of the latest event.
    pub serial: u64,
    /// Layers that the blocks belong to.
    pub layers: Option<LayerRange>,
}

/// Requests of the router to engines.
pub trait EngineClient: Send + Sync + 'static {
    /// Sends a request to the head of its path.
    ///
    /// Dropping the stream cancels the request at the engine.
    fn generate(
        &self,
        address: &Name,
        call: GenerateCall,
    ) -> BoxFuture<'static, Result<FrameStream, SendError>>;

    /// Cancels an attempt.
    fn cancel(&self, address: &Name, request: String, attempt: Attempt) -> BoxFuture<'static, ()>;

    /// Fetches the engine's report.
    fn report(&self, address: &Name) -> BoxFuture<'static, Result<EngineReport, RpcError>>;

    /// Fetches cache events after `serial`.
    fn events(
        &self,
        address: &Name,
        serial: u64,
    ) -> BoxFuture<'static, Result<CacheEvents, RpcError>>;

    /// Sends an order.
    fn order(&self, address: &Name, order: Order) -> BoxFuture<'static, Result<(), OrderError>>;
}
