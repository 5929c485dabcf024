//! Connections to engines, kept for reuse one request at a time.
//!
//! A connection goes back only after an answer that was whole and belonged to its request. One
//! whose answer was late, cut, malformed or not read to its end is closed, so that bytes of one
//! request never reach another.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Request;
use hyper::client::conn::http1;
use hyper::header::{CONNECTION, HeaderMap, HeaderValue};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::SockRef;
use tokio::net::TcpStream;

use crate::client::chain;
use crate::{Body, Response, RpcError};

/// Time to make a connection: an order of magnitude above the delay between failure domains.
const CONNECT: Duration = Duration::from_millis(400);
/// Time for which sent bytes may stay unacknowledged.
const UNACKED: Duration = Duration::from_millis(2_500);
/// Idle connections kept to one address.
const IDLE_MOST: usize = 32;
/// Longest time an idle connection is kept, where the engine names none.
const IDLE_TIME: Duration = Duration::from_secs(8);
/// Time by which a connection is given up before the engine closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);

/// Headers that concern one connection only.
const HOP: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether an idle connection may be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any that is still open: a request lost with it can be sent again.
    Idle,
    /// None: a connection that the engine closes meanwhile would leave doubt about the request.
    Never,
}

/// Keeps idle connections; cheap to clone.
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
    life: u64,
    until: Instant,
}

/// A connection in use by one request.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Body>,
    address: SocketAddr,
    life: u64,
    new: bool,
}

/// Why a request got no answer.
#[derive(Debug, thiserror::Error)]
pub enum SendFailure {
    /// No byte of it left this process.
    #[error("not sent: {0}")]
    Unsent(String),
    /// It may have arrived.
    #[error("lost: {0}")]
    Lost(String),
}

/// # Construction
impl Pool {
    /// A pool with no connections yet.
    pub fn new() -> Self {
        Self::default()
    }
}

/// # Connections
impl Pool {
    /// An idle connection to `address`, or a new one; one made to another `life` of whoever listens
    /// there is dead, and is never taken.
    ///
    /// # Errors
    ///
    /// [`RpcError::Connect`].
    pub async fn connect(
        &self,
        address: SocketAddr,
        life: u64,
        reuse: Reuse,
    ) -> Result<Connection, RpcError> {
        match self.idle(address, life, reuse) {
            Some(sender) => Ok(Connection { sender, address, life, new: false }),
            None => self.open(address, life).await,
        }
    }

    /// Keeps a connection whose answer was whole, for at most `keep` if the engine names a time.
    pub fn release(&self, connection: Connection, keep: Option<Duration>) {
        let time = keep.map_or(IDLE_TIME, |k| k.saturating_sub(IDLE_MARGIN).min(IDLE_TIME));
        let until = Instant::now() + time;
        let mut idle = self.inner.idle.lock();
        let kept = idle.entry(connection.address).or_default();
        kept.retain(|i| !i.sender.is_closed() && i.until > Instant::now());
        if kept.len() < IDLE_MOST && !time.is_zero() && !connection.sender.is_closed() {
            kept.push(Idle { sender: connection.sender, life: connection.life, until });
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

    fn idle(
        &self,
        address: SocketAddr,
        life: u64,
        reuse: Reuse,
    ) -> Option<http1::SendRequest<Body>> {
        if reuse == Reuse::Never {
            return None;
        }
        let mut idle = self.inner.idle.lock();
        let kept = idle.get_mut(&address)?;
        let now = Instant::now();
        kept.retain(|i| i.life == life);
        while let Some(Idle { sender, until, .. }) = kept.pop() {
            if sender.is_ready() && until > now {
                return Some(sender);
            }
        }
        None
    }

    async fn open(&self, address: SocketAddr, life: u64) -> Result<Connection, RpcError> {
        let refused = |e: &dyn std::error::Error| RpcError::Connect(chain(e));
        let work = tokio::time::timeout(CONNECT, TcpStream::connect(address));
        let stream = match work.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(refused(&e)),
            Err(_) => return Err(RpcError::Connect("no connection in time".to_owned())),
        };
        stream.set_nodelay(true).map_err(|e| refused(&e))?;
        let socket = SockRef::from(&stream);
        if let Err(e) = socket.set_tcp_user_timeout(Some(UNACKED)) {
            log::debug!("no bound on unacknowledged bytes: {e}");
        }
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|e| refused(&e))?;
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("connection to {address} ended: {e}");
            }
        });
        Ok(Connection { sender, address, life, new: true })
    }
}

/// # Use
impl Connection {
    /// Address it leads to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether it was made for this request.
    pub fn is_new(&self) -> bool {
        self.new
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`SendFailure`], which tells whether a byte may have left.
    pub async fn send(&mut self, request: Request<Body>) -> Result<Response, SendFailure> {
        if let Err(e) = self.sender.ready().await {
            return Err(SendFailure::Unsent(chain(&e)));
        }
        self.sender.try_send_request(request).await.map_err(|mut e| {
            let unsent = e.take_message().is_some();
            let why = chain(e.error());
            if unsent { SendFailure::Unsent(why) } else { SendFailure::Lost(why) }
        })
    }
}

/// How long a connection may be kept after an answer with these headers.
///
/// None if the engine closes it; `Some(None)` if it names no time.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Option<Duration>> {
    let closes = |v: &HeaderValue| {
        v.to_str().is_ok_and(|v| v.split(',').any(|w| w.trim().eq_ignore_ascii_case("close")))
    };
    if headers.get_all(CONNECTION).iter().any(closes) {
        return None;
    }
    let named = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let seconds = named.and_then(|v| {
        v.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok())
    });
    Some(seconds.map(Duration::from_secs))
}

/// Removes headers that concern one connection only.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|v| v.trim().to_ascii_lowercase())
        .collect();
    for hop in HOP.iter().copied().chain(named.iter().map(String::as_str)) {
        headers.remove(hop);
    }
}
