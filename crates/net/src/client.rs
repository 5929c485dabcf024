//! One HTTP client for every upstream of a process.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use hyper::{Method, Request};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{Body, RpcError, body};

/// Time to make a connection.
const CONNECT: Duration = Duration::from_millis(500);
/// Idle connections kept for each upstream.
const IDLE: usize = 64;
/// Time an idle connection is kept.
const IDLE_TIME: Duration = Duration::from_secs(20);
/// Bytes counted for the heads of a call and its answer, with TCP and IP.
const HEAD_BYTES: usize = 450;
/// Largest JSON answer read, bytes.
const MAX_JSON: usize = 4 << 20;

/// Response of an upstream, its body not read yet.
pub type Response = hyper::Response<Incoming>;

/// Speaks HTTP/1.1; cheap to clone.
///
/// A connection whose answer was not read to its end is closed, never reused, and no request is
/// ever sent a second time by the client itself.
#[derive(Clone, Debug)]
pub struct Client {
    pooled: Arc<Mutex<legacy::Client<HttpConnector, Body>>>,
    /// Time an idle connection is kept.
    keep: Duration,
    single: legacy::Client<HttpConnector, Body>,
    bytes: Arc<AtomicU64>,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

/// # Construction
impl Client {
    /// Bytes of the bodies of all whole calls so far, sent and received.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Relaxed)
    }

    /// A client with no connections yet.
    pub fn new() -> Self {
        Self::with_idle_timeout(IDLE_TIME)
    }

    /// A client that keeps idle connections for `keep`.
    pub fn with_idle_timeout(keep: Duration) -> Self {
        let pooled = Arc::new(Mutex::new(build(IDLE, keep)));
        Self { pooled, keep, single: build(0, keep), bytes: Arc::default() }
    }

    /// Closes all idle connections: after one got no answer, others may be dead as well, and each would
    /// cost the limit of another call.
    pub fn close_idle(&self) {
        *self.pooled.lock() = build(IDLE, self.keep);
    }
}

fn build(idle: usize, keep: Duration) -> legacy::Client<HttpConnector, Body> {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT));
    connector.set_nodelay(true);
    legacy::Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(idle)
        .pool_idle_timeout(keep)
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(false)
        .build(connector)
}

/// # Calls
impl Client {
    /// Sends a request and waits for the head of the response.
    ///
    /// With `fresh`, a connection of its own is made, so that [`RpcError::Connect`] proves that
    /// nothing left this process.
    ///
    /// # Errors
    ///
    /// [`RpcError::Connect`] or [`RpcError::Lost`].
    pub async fn send(&self, request: Request<Body>, fresh: bool) -> Result<Response, RpcError> {
        let client = if fresh { self.single.clone() } else { self.pooled.lock().clone() };
        client.request(request).await.map_err(|e| match e.is_connect() {
            true => RpcError::Connect(chain(&e)),
            false => RpcError::Lost(chain(&e)),
        })
    }

    /// Sends JSON, or nothing, and reads JSON within `limit`.
    ///
    /// # Errors
    ///
    /// Any [`RpcError`]; [`RpcError::Status`] for a status other than 200.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        uri: &str,
        content: Option<&Q>,
        limit: Duration,
    ) -> Result<A, RpcError> {
        let (status, bytes) = self.exchange(method, uri, content, limit).await?;
        match status {
            200 => parse(&bytes),
            other => Err(RpcError::Status(other)),
        }
    }

    /// Sends JSON, or nothing, and reads status and body within `limit`.
    ///
    /// # Errors
    ///
    /// Any [`RpcError`] but [`RpcError::Status`].
    pub async fn exchange<Q: Serialize>(
        &self,
        method: Method,
        uri: &str,
        content: Option<&Q>,
        limit: Duration,
    ) -> Result<(u16, Bytes), RpcError> {
        let (parts, bytes) = self.exchange_with_head(method, uri, content, limit).await?;
        Ok((parts.status.as_u16(), bytes))
    }

    /// The same, with the head of the answer.
    ///
    /// # Errors
    ///
    /// As [`Client::exchange`].
    pub async fn exchange_with_head<Q: Serialize>(
        &self,
        method: Method,
        uri: &str,
        content: Option<&Q>,
        limit: Duration,
    ) -> Result<(Parts, Bytes), RpcError> {
        let sent = content.map_or_else(Vec::new, |c| serde_json::to_vec(c).unwrap_or_default());
        self.bytes.fetch_add((sent.len() + HEAD_BYTES) as u64, Relaxed);
        let request = request(method, uri, body::full(sent))?;
        let work = async {
            let response = self.send(request, false).await?;
            let (parts, body) = response.into_parts();
            let bytes = body::read(body, MAX_JSON).await;
            match bytes {
                Ok(bytes) => {
                    self.bytes.fetch_add(bytes.len() as u64, Relaxed);
                    Ok((parts, bytes))
                }
                Err(body::BodyError::TooLarge) => Err(RpcError::TooLarge(MAX_JSON)),
                Err(e) => Err(RpcError::Lost(e.to_string())),
            }
        };
        let late = |_| RpcError::Lost("no answer in time".to_owned());
        tokio::time::timeout(limit, work).await.map_err(late)?
    }
}

/// An error and its causes.
pub(crate) fn chain(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(Some(error), |e| e.source());
    causes.map(ToString::to_string).collect::<Vec<_>>().join(": ")
}

/// A request with a JSON body.
pub(crate) fn request(method: Method, uri: &str, body: Body) -> Result<Request<Body>, RpcError> {
    Request::builder()
        .method(method)
        .uri(uri)
        .header(hyper::header::CONTENT_TYPE, "application/json")
        .body(body)
        .map_err(|e| RpcError::Malformed(e.to_string()))
}

/// JSON of an answer.
pub(crate) fn parse<A: DeserializeOwned>(bytes: &[u8]) -> Result<A, RpcError> {
    serde_json::from_slice(bytes).map_err(|e| RpcError::Malformed(e.to_string()))
}
