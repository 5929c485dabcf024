//! What a platform speaks beside its store: documents, heads of calls, orders to engines.
//!
//! An adapter implements these traits; nothing else in the project knows the platform's names.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures::future::BoxFuture;
use heathpitch_core::{Catalog, EngineEntry, LayerRange, Millis, Name, Path};
use hyper::http::{request, response};
use hyper::{HeaderMap, Method};

use crate::{BackpressureSignal, EngineResponse, Item, RpcError};

/// Why a document of the store cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {message}")]
pub struct DocumentError {
    /// Key of the item.
    pub key: Arc<str>,
    /// What is wrong, with its place.
    pub message: String,
}

/// Why the head of a call cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// It has no id.
    #[error("the request has no id")]
    NoId,
    /// It has no host.
    #[error("the request has no host")]
    NoHost,
    /// A header cannot be read.
    #[error("header {0} cannot be read")]
    Header(&'static str),
}

/// Sizes that a caller states for a generation, tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCounts {
    /// Of the prompt.
    pub prompt: u32,
    /// Most of the answer.
    pub answer: u32,
}

/// What the router reads from a call's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallHead {
    /// Id of the call, drawn by its caller.
    pub id: Arc<str>,
    /// Host asked for.
    pub host: Arc<str>,
    /// Time the caller will wait.
    pub deadline: Option<Millis>,
    /// API key.
    pub key: Option<Arc<str>>,
    /// Event after which a stream is to go on.
    pub after: Option<u64>,
    /// Stated sizes.
    pub sizes: Option<TokenCounts>,
}

/// What the router adds to one send of a call.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch<'a> {
    /// Engine that alone may run it.
    pub engine: &'a Name,
    /// Time left.
    pub left: Millis,
    /// Client account, where keys are asked for.
    pub account: Option<&'a Name>,
    /// Rank, 0 first.
    pub rank: u8,
    /// Event after which the stream goes on.
    pub after: Option<u64>,
    /// Chain of engines.
    pub path: Option<&'a Path>,
}

/// Load that an engine tells in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run.
    pub slots: u32,
}

/// What the router reads from an answer's head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Whether it repeats the id of this call.
    pub id_matches: bool,
    /// Whether an engine vouches for it with its digest.
    pub digest_matches: bool,
    /// Whether the engine states that the call did not run.
    pub not_run: bool,
    /// Engine at fault, where another than the one asked.
    pub faulty_address: Option<SocketAddr>,
    /// Load of the engine.
    pub load: Option<EngineLoad>,
    /// What it asks of this node.
    pub backpressure: BackpressureSignal,
}

/// An engine's own account of its state, some hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineStatus {
    /// Layers held.
    pub layers: Option<LayerRange>,
    /// Whether an order is under way.
    pub busy: bool,
    /// Orders begun.
    pub orders: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait; they hold no memory yet.
    pub waiting: u32,
    /// Memory of requests in use, tokens times layers.
    pub used: u64,
    /// Memory for requests, tokens times layers.
    pub total: u64,
    /// Factor by which it is slower than it should be.
    pub pace: f64,
    /// Calls that wait for an engine further on, with its address.
    pub stalled: Vec<(Arc<str>, SocketAddr)>,
    /// Unix time of its start, milliseconds, if it tells that.
    pub born: Option<Millis>,
}

impl EngineStatus {
    /// Tokens that requests hold there, and that those which wait will, `usual` each; none if it
    /// holds no layers.
    pub fn held(&self, usual: f64) -> Option<f64> {
        let layers = self.layers.filter(|l| l.count() > 0)?;
        let held = self.used as f64 / f64::from(layers.count());
        Some(held + f64::from(self.waiting) * usual)
    }
}

/// How an engine gives layers up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseMode {
    /// After the requests that pass through them.
    Drain,
    /// At once.
    Immediate,
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Begun, done, or true already.
    Taken,
    /// It does not fit the engine's state; the engine that is in the way, if named.
    Conflict(Option<SocketAddr>),
    /// The engine at this address has another id, or does not know the request.
    Unknown,
    /// Refused with this status.
    Refused(u16),
}

/// Documents and heads of a platform.
pub trait Dialect: Send + Sync {
    /// Key of the configuration.
    fn config_key(&self) -> &'static str;

    /// Prefix of the keys of configurations.
    fn config_prefix(&self) -> &'static str;

    /// Prefix of the keys of engines.
    fn engines_prefix(&self) -> &'static str;

    /// Path of the balancer's readiness check.
    fn ready_path(&self) -> &'static str;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// [`DocumentError`] with the place of what is wrong.
    fn catalog(&self, item: &Item) -> Result<Catalog, DocumentError>;

    /// Decodes an engine's entry.
    ///
    /// # Errors
    ///
    /// [`DocumentError`] with the place of what is wrong.
    fn engine(&self, item: &Item) -> Result<EngineEntry, DocumentError>;

    /// Reads the head of a call.
    ///
    /// # Errors
    ///
    /// [`HeadError`].
    fn call(&self, parts: &request::Parts) -> Result<CallHead, HeadError>;

    /// Headers of one send of a call.
    fn headers(&self, received: &HeaderMap, dispatch: &Dispatch<'_>) -> HeaderMap;

    /// Reads the head of an answer to the call `id`.
    fn answer(&self, id: &str, parts: &response::Parts) -> ResponseHead;
}

/// Orders to engines.
pub trait EngineControl: Send + Sync {
    /// The engine's state.
    fn status<'a>(
        &'a self,
        engine: &'a EngineEntry,
    ) -> BoxFuture<'a, Result<EngineResponse<EngineStatus>, RpcError>>;

    /// Whether an engine says that it takes new work, by the check of its service.
    fn healthy<'a>(
        &'a self,
        engine: &'a EngineEntry,
        path: &'a str,
    ) -> BoxFuture<'a, Result<EngineResponse<bool>, RpcError>>;

    /// Orders an engine to hold `layers`, if it has begun exactly `orders` orders.
    fn place<'a>(
        &'a self,
        engine: &'a EngineEntry,
        layers: LayerRange,
        release: ReleaseMode,
        orders: u64,
    ) -> BoxFuture<'a, Result<EngineResponse<OrderOutcome>, RpcError>>;

    /// Orders the first engine of a running call's path to change the parts behind it.
    fn reroute<'a>(
        &'a self,
        head: SocketAddr,
        engine: &'a Name,
        call: &'a str,
        path: &'a Path,
    ) -> BoxFuture<'a, Result<EngineResponse<OrderOutcome>, RpcError>>;
}

/// A call's request line and body, as every send repeats them.
#[derive(Clone, Debug)]
pub struct CallBody {
    /// Method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: String,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Body, unchanged.
    pub content: Bytes,
}
