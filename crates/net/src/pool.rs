//! Connection pool for engines.
//!
//! A connection serves one request at a time and returns to the pool only after a complete response
//! that belongs to its request. After a late, truncated, malformed or partly read response it is
//! closed, so that data of one request can never reach another.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::SockRef;
use tokio::net::TcpStream;

use crate::client::{error_chain, judge};
use crate::head_guard::{HeadGuard, InterimCount};
use crate::{Body, Response, RpcError};

/// Timeout of a connection attempt, an order of magnitude above the latency between failure
/// domains.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which sent data may remain unacknowledged before the connection is closed.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum number of idle connections per address.
const MAX_IDLE: usize = 32;
/// Largest head of a response, and what is read ahead of its body.
const READ_BUFFER_BYTES: usize = 8 << 10;
/// Upper bound of the time an idle connection is kept; also used if the engine states none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Safety margin by which an idle connection is closed before the engine closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);

/// Whether an idle connection may be reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any that is still open: a request lost with it can be retried.
    Idle,
    /// Always a new connection: if the engine closed a reused one at the same moment, it would be
    /// unknown whether it had received the request.
    Never,
}

/// Pool of idle connections; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    sender: http1::SendRequest<Body>,
    interim: InterimCount,
    incarnation: u64,
    expires: Instant,
}

/// A connection in use by one request.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Body>,
    interim: InterimCount,
    address: SocketAddr,
    incarnation: u64,
    new: bool,
}

/// Why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum SendFailure {
    /// No byte of it was sent.
    #[error("not sent: {0}")]
    Unsent(String),
    /// It may have been received.
    #[error("connection lost: {0}")]
    Lost(String),
}

/// # Construction
impl Pool {
    /// An empty pool.
    pub fn new() -> Self {
        Self::default()
    }
}

/// # Connections
impl Pool {
    /// Takes an idle connection to `address` or opens a new one.
    ///
    /// An idle connection to another `incarnation` of the process at this address is dead and is
    /// never taken.
    ///
    /// # Errors
    ///
    /// [`RpcError::Connect`].
    pub async fn connect(
        &self,
        address: SocketAddr,
        incarnation: u64,
        reuse: Reuse,
    ) -> Result<Connection, RpcError> {
        match self.take_idle(address, incarnation, reuse) {
            Some(Idle { sender, interim, .. }) => {
                Ok(Connection { sender, interim, address, incarnation, new: false })
            }
            None => self.open(address, incarnation).await,
        }
    }

    /// Returns a connection after a complete response; it is kept for less than `keep_alive`, if
    /// the engine states that time.
    pub fn release(&self, connection: Connection, keep_alive: Option<Duration>) {
        let time =
            keep_alive.map_or(IDLE_TIMEOUT, |k| k.saturating_sub(IDLE_MARGIN).min(IDLE_TIMEOUT));
        let expires = Instant::now() + time;
        let mut idle = self.inner.idle.lock();
        let kept = idle.entry(connection.address).or_default();
        kept.retain(|i| !i.sender.is_closed() && i.expires > Instant::now());
        if kept.len() < MAX_IDLE && !time.is_zero() && !connection.sender.is_closed() {
            kept.push(Idle {
                sender: connection.sender,
                interim: connection.interim,
                incarnation: connection.incarnation,
                expires,
            });
        }
    }

    /// Closes every idle connection to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.inner.idle.lock().remove(&address);
    }

    /// Closes every idle connection.
    pub fn close_all_idle(&self) {
        self.inner.idle.lock().clear();
    }

    fn take_idle(&self, address: SocketAddr, incarnation: u64, reuse: Reuse) -> Option<Idle> {
        if reuse == Reuse::Never {
            return None;
        }
        let mut idle = self.inner.idle.lock();
        let kept = idle.get_mut(&address)?;
        let now = Instant::now();
        kept.retain(|i| i.incarnation == incarnation);
        while let Some(idle) = kept.pop() {
            if idle.sender.is_ready() && idle.expires > now {
                return Some(idle);
            }
        }
        None
    }

    async fn open(&self, address: SocketAddr, incarnation: u64) -> Result<Connection, RpcError> {
        let refused = |e: &dyn std::error::Error| RpcError::Connect(error_chain(e));
        let work = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = match work.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(refused(&e)),
            Err(_) => return Err(RpcError::Connect("no connection within the timeout".to_owned())),
        };
        stream.set_nodelay(true).map_err(|e| refused(&e))?;
        let socket = SockRef::from(&stream);
        if let Err(e) = socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT)) {
            log::debug!("cannot set TCP_USER_TIMEOUT: {e}");
        }
        let interim = InterimCount::default();
        let stream = HeadGuard::new(TokioIo::new(stream), interim.clone());
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES).max_header_size(READ_BUFFER_BYTES);
        let handshake = builder.handshake(stream).await;
        let (sender, connection) = handshake.map_err(|e| refused(&e))?;
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("connection to {address} ended: {e}");
            }
        });
        Ok(Connection { sender, interim, address, incarnation, new: true })
    }
}

/// # Use
impl Connection {
    /// Address of the remote side.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether it was opened for the current request.
    pub fn is_new(&self) -> bool {
        self.new
    }

    /// Sends a request and waits for the response head, which has its [`Framing`](crate::Framing) as an extension.
    ///
    /// # Errors
    ///
    /// [`SendFailure`], which says whether the request may have been received.
    pub async fn send(&mut self, mut request: Request<Body>) -> Result<Response, SendFailure> {
        if let Err(e) = self.sender.ready().await {
            return Err(SendFailure::Unsent(error_chain(&e)));
        }
        let method = request.method().clone();
        self.interim.watch(&mut request);
        let sent = self.sender.try_send_request(request).await;
        let response = sent.map_err(|mut e| {
            let unsent = e.take_message().is_some();
            let why = error_chain(e.error());
            if unsent { SendFailure::Unsent(why) } else { SendFailure::Lost(why) }
        })?;
        judge(&method, response).map_err(|e| SendFailure::Lost(e.to_string()))
    }
}
