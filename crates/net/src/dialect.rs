//! Interface of a platform adapter, other than the store: documents, headers of calls and control
//! of engines.
//!
//! Only the adapter that implements these traits knows the names that the platform uses.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures::future::BoxFuture;
use heathpitch_core::{Catalog, EngineEntry, LayerRange, Millis, Name, Path};
use hyper::http::{request, response};
use hyper::{HeaderMap, Method};

use crate::{BackpressureSignal, EngineResponse, Item, RpcError};

/// Error in a document of the store.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {message}")]
pub struct DocumentError {
    /// Key of the item.
    pub key: Arc<str>,
    /// What is wrong, and where in the document.
    pub message: String,
}

/// Error in the head of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The id is missing.
    #[error("the request has no id")]
    NoId,
    /// The host is missing.
    #[error("the request has no host")]
    NoHost,
    /// A header is invalid.
    #[error("header {0} is invalid")]
    Header(&'static str),
}

/// Token counts that a caller states for a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCounts {
    /// Length of the prompt.
    pub prompt: u32,
    /// Maximum length of the completion.
    pub answer: u32,
}

/// Head of a call as the router sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallHead {
    /// Id of the call, chosen by its caller.
    pub id: Arc<str>,
    /// Requested host.
    pub host: Arc<str>,
    /// Time that the caller will wait.
    pub deadline: Option<Millis>,
    /// API key.
    pub key: Option<Arc<str>>,
    /// Event after which to resume a stream.
    pub after: Option<u64>,
    /// Stated token counts.
    pub sizes: Option<TokenCounts>,
    /// Ids of the parts of the prompt, in order; empty if its caller does not name them.
    pub prompt_parts: Vec<Arc<str>>,
}

/// What the router adds to one attempt of a call.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch<'a> {
    /// The only engine that may run it.
    pub engine: &'a Name,
    /// Time remaining until the deadline.
    pub remaining: Millis,
    /// Client account, if API keys are required.
    pub account: Option<&'a Name>,
    /// Rank; 0 is served first.
    pub rank: u8,
    /// Event after which to resume the stream.
    pub after: Option<u64>,
    /// Chain of engines.
    pub path: Option<&'a Path>,
}

/// Load that an engine reports in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Requests that can run concurrently.
    pub slots: u32,
}

/// Head of a response as the router sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Whether it carries the id of this call.
    pub id_matches: bool,
    /// Whether it carries a digest by an engine.
    pub has_digest: bool,
    /// Whether the engine states that the call was not executed.
    pub not_run: bool,
    /// Address of the engine at fault, if it is not the one that was called.
    pub faulty_address: Option<SocketAddr>,
    /// Load of the engine.
    pub load: Option<EngineLoad>,
    /// Backpressure signalled by the engine.
    pub backpressure: BackpressureSignal,
}

/// State reported by an engine, a few hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineStatus {
    /// Loaded layers.
    pub layers: Option<LayerRange>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Number of orders begun.
    pub orders: u64,
    /// Running requests.
    pub running: u32,
    /// Waiting requests; they do not use memory yet.
    pub waiting: u32,
    /// Memory used by requests, in tokens times layers.
    pub used: u64,
    /// Memory available to requests in total, in tokens times layers.
    pub total: u64,
    /// Factor by which it is slower than expected.
    pub slowdown: f64,
    /// Calls that wait for a later engine of their path, with its address.
    pub stalled: Vec<(Arc<str>, SocketAddr)>,
    /// Unix time of its start in milliseconds, if reported.
    pub started_at: Option<Millis>,
}

impl EngineStatus {
    /// Tokens held by running requests, plus `typical` for each waiting one; none if it holds no
    /// layers.
    pub fn held_tokens(&self, typical: f64) -> Option<f64> {
        let layers = self.layers.filter(|l| l.count() > 0)?;
        let tokens = self.used as f64 / f64::from(layers.count());
        Some(tokens + f64::from(self.waiting) * typical)
    }
}

/// How an engine unloads layers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseMode {
    /// After the requests that use them have finished.
    Drain,
    /// At once, without waiting for these requests.
    Immediate,
}

/// Outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Accepted, completed, or already satisfied.
    Taken,
    /// It conflicts with the state of the engine; holds the address of the engine in conflict, if
    /// stated.
    Conflict(Option<SocketAddr>),
    /// The engine at this address has another id or does not know the request.
    Unknown,
    /// Rejected with this HTTP status.
    Refused(u16),
}

/// Document formats and headers of a platform.
pub trait Dialect: Send + Sync {
    /// Key of the configuration.
    fn config_key(&self) -> &'static str;

    /// Key prefix of configurations.
    fn config_prefix(&self) -> &'static str;

    /// Key prefix of engines.
    fn engines_prefix(&self) -> &'static str;

    /// Path of the load balancer's readiness check.
    fn ready_path(&self) -> &'static str;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// [`DocumentError`] that names the invalid part.
    fn catalog(&self, item: &Item) -> Result<Catalog, DocumentError>;

    /// Decodes the entry of an engine.
    ///
    /// # Errors
    ///
    /// [`DocumentError`] that names the invalid part.
    fn engine(&self, item: &Item) -> Result<EngineEntry, DocumentError>;

    /// Parses the head of a call.
    ///
    /// # Errors
    ///
    /// [`HeadError`].
    fn call(&self, parts: &request::Parts) -> Result<CallHead, HeadError>;

    /// Headers of one attempt of a call.
    fn headers(&self, received: &HeaderMap, dispatch: &Dispatch<'_>) -> HeaderMap;

    /// Headers of a call that is forwarded to another node: those received, with this time until the
    /// deadline and this event after which to resume a stream.
    fn forwarded(&self, received: &HeaderMap, remaining: Millis, after: Option<u64>) -> HeaderMap;

    /// Parses the head of a response to the call `id`.
    fn answer(&self, id: &str, parts: &response::Parts) -> ResponseHead;
}

/// Control of engines.
pub trait EngineControl: Send + Sync {
    /// Queries the state of an engine.
    fn status<'a>(
        &'a self,
        engine: &'a EngineEntry,
    ) -> BoxFuture<'a, Result<EngineResponse<EngineStatus>, RpcError>>;

    /// Whether an engine answers a request on a new connection, whatever it answers.
    fn responds<'a>(&'a self, engine: &'a EngineEntry) -> BoxFuture<'a, bool>;

    /// Whether an engine accepts new work, according to the health check of its service.
    fn healthy<'a>(
        &'a self,
        engine: &'a EngineEntry,
        path: &'a str,
    ) -> BoxFuture<'a, Result<EngineResponse<bool>, RpcError>>;

    /// Orders an engine to hold `layers`, on condition that it has begun exactly `orders` orders so
    /// far.
    fn place<'a>(
        &'a self,
        engine: &'a EngineEntry,
        layers: LayerRange,
        release: ReleaseMode,
        orders: u64,
    ) -> BoxFuture<'a, Result<EngineResponse<OrderOutcome>, RpcError>>;

    /// Orders the first engine of a running call to change the rest of the path.
    fn reroute<'a>(
        &'a self,
        head: SocketAddr,
        engine: &'a Name,
        call: &'a str,
        path: &'a Path,
    ) -> BoxFuture<'a, Result<EngineResponse<OrderOutcome>, RpcError>>;
}

/// Request line, headers and body of a call, repeated in every attempt.
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
