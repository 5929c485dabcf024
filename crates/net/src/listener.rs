//! HTTP/1.1 listeners with limits on connections, sizes and times.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{Semaphore, watch};

use crate::Body;

/// Delay after a failed accept, such as one for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Header fields of a request: the size of its head is the limit, which a configuration sets, rather than their number.
const MAX_HEADERS: usize = 512;

/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 4_096;

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Concurrent connections; further ones wait to be accepted.
    pub max_connections: usize,
    /// Size of a request head, bytes.
    pub max_head_bytes: usize,
    /// Time for a request head to arrive.
    pub head_timeout: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            max_connections: 20_000,
            max_head_bytes: 32 << 10,
            head_timeout: Duration::from_secs(10),
        }
    }
}

/// A bound listener that is not yet serving.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    address: SocketAddr,
}

impl Listener {
    /// Binds an address; port 0 selects a free port. Must be called within a runtime.
    ///
    /// The accept queue is long: the usual 128 entries overflow in a burst, and the client retries
    /// a dropped connection only after a second.
    ///
    /// # Errors
    ///
    /// An I/O error, for example if the port is in use.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let socket = socket.listen(BACKLOG)?;
        let address = socket.local_addr()?;
        Ok(Self { socket, address })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Detaches the socket from the current runtime, so that another one can serve it.
    ///
    /// # Errors
    ///
    /// An I/O error.
    pub fn into_std(self) -> io::Result<std::net::TcpListener> {
        self.socket.into_std()
    }

    /// A listener on a bound socket; must be called within the runtime that serves it.
    ///
    /// # Errors
    ///
    /// An I/O error.
    pub fn from_std(socket: std::net::TcpListener) -> io::Result<Self> {
        let socket = TcpListener::from_std(socket)?;
        let address = socket.local_addr()?;
        Ok(Self { socket, address })
    }

    /// The socket, to serve another protocol on it.
    pub fn into_socket(self) -> TcpListener {
        self.socket
    }
}

/// Serves until `stop` becomes true, then waits for open requests to finish.
pub async fn serve<H, F>(
    listener: Listener,
    bounds: Bounds,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let slots = Arc::new(Semaphore::new(bounds.max_connections));
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            biased;
            _ = stop.wait_for(|s| *s) => break,
            accepted = accept(&listener.socket, &slots) => accepted,
        };
        let Some((socket, permit)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let response = handler(request);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let mut builder = hyper::server::conn::http1::Builder::new();
        builder.timer(TokioTimer::new()).header_read_timeout(bounds.head_timeout);
        builder.max_buf_size(bounds.max_head_bytes).max_headers(MAX_HEADERS);
        let watched = graceful.watch(builder.serve_connection(TokioIo::new(socket), service));
        tokio::spawn(async move {
            // An error ends the connection and its requests; nobody is left to report it to.
            let _ = watched.await;
            drop(permit);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn accept(
    socket: &TcpListener,
    slots: &Arc<Semaphore>,
) -> Option<(tokio::net::TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let permit = slots.clone().acquire_owned().await.ok()?;
    let (stream, _) = socket.accept().await.ok()?;
    stream.set_nodelay(true).ok()?;
    Some((stream, permit))
}
