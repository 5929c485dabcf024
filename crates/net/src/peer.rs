//! State exchange with peers over capnp-rpc. Client and server run on the control thread.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::{RpcSystem, new_client};
use futures::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::peer_capnp::peer;
use crate::{RpcError, Update, peer_codec};

/// Maximum number of concurrent connections from peers.
const MAX_CONNECTIONS: usize = 64;
/// Maximum duration of a connection from a peer.
const MAX_CONNECTION_TIME: Duration = Duration::from_secs(30);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Size of a Cap'n Proto word.
const WORD_BYTES: u64 = 8;
/// Estimated size of an exchange without its updates: connection, bootstrap, call and return.
const OVERHEAD_BYTES: u64 = 900;
/// Size limit of a message, in words of eight bytes.
const MAX_WORDS: usize = 1 << 20;

/// Server of exchanges.
///
/// Its handler receives the update of a peer and returns the update of this node.
#[derive(Clone)]
pub struct PeerServer {
    handler: Rc<dyn Fn(Update) -> Update>,
}

impl PeerServer {
    /// A server with the given handler.
    pub fn new(handler: Rc<dyn Fn(Update) -> Update>) -> Self {
        Self { handler }
    }

    /// Serves peers on `socket` until the future is dropped; must run in a `LocalSet`.
    pub async fn serve(self, socket: TcpListener) {
        let client: peer::Client = new_client(self);
        serve_rpc(socket, client.client, MAX_CONNECTIONS, MAX_CONNECTION_TIME).await;
    }
}

/// Serves an RPC interface on `socket`.
///
/// Serves up to `max_connections` concurrently, and closes each after `max_time`.
pub(crate) async fn serve_rpc(
    socket: TcpListener,
    client: capnp::capability::Client,
    max_connections: usize,
    max_time: Duration,
) {
    let slots = Arc::new(Semaphore::new(max_connections));
    loop {
        let Ok(permit) = slots.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = socket.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let client = client.clone();
        tokio::task::spawn_local(async move {
            let served = RpcSystem::new(network(stream, Side::Server), Some(client));
            // Nothing to do about an error: the peer opens a new connection for its next call.
            let _ = tokio::time::timeout(max_time, served).await;
            drop(permit);
        });
    }
}

impl peer::Server for PeerServer {
    async fn exchange(
        self: Rc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> Result<(), capnp::Error> {
        let update = peer_codec::read(params.get()?.get_update()?)?;
        let answer = (self.handler)(update);
        peer_codec::write(&answer, results.get().init_update());
        Ok(())
    }
}

/// Exchanges updates with a peer; must run in a `LocalSet`.
///
/// Returns the peer's update and the estimated traffic of the exchange in bytes.
///
/// # Errors
///
/// [`RpcError::Connect`] or [`RpcError::Lost`].
pub async fn exchange(
    address: SocketAddr,
    update: &Update,
    timeout: Duration,
) -> Result<(Update, u64), RpcError> {
    let work = async {
        let connect = TcpStream::connect(address).await;
        let stream = connect.map_err(|e| RpcError::Connect(e.to_string()))?;
        call(stream, update).await.map_err(|e| RpcError::Lost(e.to_string()))
    };
    let timed_out = |_| RpcError::Lost("no response within the timeout".to_owned());
    tokio::time::timeout(timeout, work).await.map_err(timed_out)?
}

async fn call(stream: TcpStream, update: &Update) -> Result<(Update, u64), capnp::Error> {
    let mut system = RpcSystem::new(network(stream, Side::Client), None);
    let client: peer::Client = system.bootstrap(Side::Server);
    let disconnector = system.get_disconnector();
    let running = tokio::task::spawn_local(system);
    let mut request = client.exchange_request();
    peer_codec::write(update, request.get().init_update());
    let sent = request.get().into_reader().total_size()?.word_count;
    let answer = request.send().promise.await;
    let answer = answer.and_then(|a| {
        let update = a.get()?.get_update()?;
        let words = sent + update.total_size()?.word_count;
        Ok((peer_codec::read(update)?, words * WORD_BYTES + OVERHEAD_BYTES))
    });
    let _ = disconnector.await;
    running.abort();
    answer
}

pub(crate) type Network = VatNetwork<futures::io::ReadHalf<tokio_util::compat::Compat<TcpStream>>>;

pub(crate) fn network(stream: TcpStream, side: Side) -> Box<Network> {
    // Without this option an exchange still works, but may wait for a delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.compat().split();
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_WORDS));
    Box::new(VatNetwork::new(reader, writer, side, options))
}
