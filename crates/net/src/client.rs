//! HTTP client shared by all upstreams of a process.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body as _, Incoming};
use hyper::http::response::Parts;
use hyper::{Method, Request};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::{HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::connector::Connector;
use crate::head_guard::InterimCount;
use crate::{Body, Framing, FramingError, RpcError, body};

/// Default timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of idle connections per upstream.
const MAX_IDLE: usize = 64;
/// Default time before an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Estimated overhead of a call: request and response heads, with TCP and IP headers.
const OVERHEAD_BYTES: usize = 450;
/// Largest head of a response, and what is read ahead of its body.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// Default size limit of a JSON response.
const MAX_JSON_BYTES: usize = 4 << 20;

/// Response of an upstream, with its body still to be read.
pub type Response = hyper::Response<Incoming>;

/// HTTP/1.1 client with connection pooling; cheap to clone.
///
/// A connection is reused only after its response has been read to the end. The client never
/// retries a request by itself.
#[derive(Clone, Debug)]
pub struct Client {
    pooled: Arc<Mutex<legacy::Client<Connector, Body>>>,
    idle_timeout: Duration,
    connect_timeout: Duration,
    unpooled: legacy::Client<Connector, Body>,
    byte_count: Arc<AtomicU64>,
    max_bytes: usize,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

/// # Construction
impl Client {
    /// Bytes sent and received so far by [`Client::exchange`] and the methods built on it.
    pub fn bytes(&self) -> u64 {
        self.byte_count.load(Relaxed)
    }

    /// A client with the default idle timeout.
    pub fn new() -> Self {
        Self::with_idle_timeout(IDLE_TIMEOUT)
    }

    /// A client that closes idle connections after `idle_timeout`.
    pub fn with_idle_timeout(idle_timeout: Duration) -> Self {
        Self::with_timeouts(idle_timeout, CONNECT_TIMEOUT)
    }

    /// The same with another timeout of connection attempts.
    pub fn with_timeouts(idle_timeout: Duration, connect_timeout: Duration) -> Self {
        let pooled = Arc::new(Mutex::new(build(MAX_IDLE, idle_timeout, connect_timeout)));
        Self {
            pooled,
            idle_timeout,
            connect_timeout,
            unpooled: build(0, idle_timeout, connect_timeout),
            byte_count: Arc::default(),
            max_bytes: MAX_JSON_BYTES,
        }
    }

    /// A client with the same limits that shares no connections with this one, whose bytes it counts too.
    #[must_use]
    pub fn separate(&self) -> Self {
        let (byte_count, max_bytes) = (self.byte_count.clone(), self.max_bytes);
        Self {
            byte_count,
            max_bytes,
            ..Self::with_timeouts(self.idle_timeout, self.connect_timeout)
        }
    }

    /// Limits JSON responses to `max_bytes`.
    #[must_use]
    pub fn with_response_limit(self, max_bytes: usize) -> Self {
        Self { max_bytes, ..self }
    }

    /// Closes all idle connections.
    ///
    /// After a request on one of them got no response, others may be dead as well, and each would
    /// cost another call its whole timeout.
    pub fn close_idle(&self) {
        *self.pooled.lock() = build(MAX_IDLE, self.idle_timeout, self.connect_timeout);
    }
}

fn build(
    max_idle: usize,
    idle_timeout: Duration,
    connect_timeout: Duration,
) -> legacy::Client<Connector, Body> {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(connect_timeout));
    connector.set_nodelay(true);
    legacy::Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(max_idle)
        .pool_idle_timeout(idle_timeout)
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(false)
        .http1_max_buf_size(READ_BUFFER_BYTES)
        .build(Connector(connector))
}

/// # Calls
impl Client {
    /// Sends a request and waits for the response head, which has its [`Framing`] as an extension.
    ///
    /// With `fresh`, a new connection is opened for the request, so that [`RpcError::Connect`]
    /// proves that nothing was sent.
    ///
    /// # Errors
    ///
    /// [`RpcError::Connect`], [`RpcError::Lost`], or [`RpcError::Malformed`] if the head of the response is not sound.
    pub async fn send(
        &self,
        mut request: Request<Body>,
        fresh: bool,
    ) -> Result<Response, RpcError> {
        let client = if fresh { self.unpooled.clone() } else { self.pooled.lock().clone() };
        let method = request.method().clone();
        let connection = capture_connection(&mut request);
        InterimCount::watch_captured(&mut request, connection.clone());
        let response = client.request(request).await.map_err(|e| match e.is_connect() {
            true => RpcError::Connect(error_chain(&e)),
            false => RpcError::Lost(error_chain(&e)),
        })?;
        InterimCount::reset(&connection);
        judge(&method, response).map_err(|e| {
            // Where the response ends is unknown, and so is where the next one begins.
            connection.connection_metadata().as_ref().inspect(|c| c.poison());
            RpcError::Malformed(e.to_string())
        })
    }

    /// Sends an optional JSON body and reads a JSON response within `timeout`.
    ///
    /// # Errors
    ///
    /// Any [`RpcError`]; [`RpcError::Status`] if the status is not 200.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        uri: &str,
        content: Option<&Q>,
        timeout: Duration,
    ) -> Result<A, RpcError> {
        let (status, bytes) = self.exchange(method, uri, content, timeout).await?;
        match status {
            200 => parse(&bytes),
            other => Err(RpcError::Status(other)),
        }
    }

    /// Sends an optional JSON body and reads status and body within `timeout`.
    ///
    /// # Errors
    ///
    /// Any [`RpcError`] except [`RpcError::Status`].
    pub async fn exchange<Q: Serialize>(
        &self,
        method: Method,
        uri: &str,
        content: Option<&Q>,
        timeout: Duration,
    ) -> Result<(u16, Bytes), RpcError> {
        let (parts, bytes) = self.exchange_with_head(method, uri, content, timeout).await?;
        Ok((parts.status.as_u16(), bytes))
    }

    /// Like [`Client::exchange`], but returns the whole response head.
    ///
    /// # Errors
    ///
    /// As [`Client::exchange`].
    pub async fn exchange_with_head<Q: Serialize>(
        &self,
        method: Method,
        uri: &str,
        content: Option<&Q>,
        timeout: Duration,
    ) -> Result<(Parts, Bytes), RpcError> {
        let sent = content.map_or_else(Vec::new, |c| serde_json::to_vec(c).unwrap_or_default());
        self.byte_count.fetch_add((sent.len() + OVERHEAD_BYTES) as u64, Relaxed);
        let request = request(method, uri, body::full(sent))?;
        let work = async {
            let response = self.send(request, false).await?;
            let (parts, body) = response.into_parts();
            // Nothing of a response that states a larger size is read.
            if body.size_hint().lower() > self.max_bytes as u64 {
                return Err(RpcError::TooLarge(self.max_bytes));
            }
            let bytes = body::read(body, self.max_bytes).await;
            match bytes {
                Ok(bytes) => {
                    self.byte_count.fetch_add(bytes.len() as u64, Relaxed);
                    Ok((parts, bytes))
                }
                Err(body::BodyError::TooLarge) => Err(RpcError::TooLarge(self.max_bytes)),
                Err(e) => Err(RpcError::Lost(e.to_string())),
            }
        };
        let timed_out = |_| RpcError::Lost("no response within the timeout".to_owned());
        tokio::time::timeout(timeout, work).await.map_err(timed_out)?
    }
}

/// Adds the framing of a response to a request with this method, if its head is sound.
pub(crate) fn judge(method: &Method, response: Response) -> Result<Response, FramingError> {
    let (mut parts, body) = response.into_parts();
    let framing = Framing::of(method, &parts)?;
    parts.extensions.insert(framing);
    Ok(Response::from_parts(parts, body))
}

/// Message of an error and all its causes.
pub(crate) fn error_chain(error: &dyn std::error::Error) -> String {
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

/// Parses a JSON response.
pub(crate) fn parse<A: DeserializeOwned>(bytes: &[u8]) -> Result<A, RpcError> {
    serde_json::from_slice(bytes).map_err(|e| RpcError::Malformed(e.to_string()))
}
