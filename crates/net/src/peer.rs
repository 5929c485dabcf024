//! Peers over capnp-rpc. Both sides run on the control thread.

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

/// Connections from peers at once.
const MAX_CONNECTIONS: usize = 64;
/// Longest time a peer may hold a connection.
const HOLD: Duration = Duration::from_secs(30);
/// Time to wait after an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Bytes of a word.
const WORD_BYTES: u64 = 8;
/// Bytes of an exchange beside its updates: connection, bootstrap, call and return.
const OVERHEAD: u64 = 900;
/// Largest message, eight-byte words.
const MAX_WORDS: usize = 1 << 20;

/// Answers peers.
///
/// Holds the function that takes a peer's update and gives this node's own.
#[derive(Clone)]
pub struct PeerServer {
    answer: Rc<dyn Fn(Update) -> Update>,
}

impl PeerServer {
    /// A server that answers with `answer`.
    pub fn new(answer: Rc<dyn Fn(Update) -> Update>) -> Self {
        Self { answer }
    }

    /// Serves peers on `socket` until the task is dropped; must run in a `LocalSet`.
    pub async fn serve(self, socket: TcpListener) {
        let client: peer::Client = new_client(self);
        serve_rpc(socket, client.client, MAX_CONNECTIONS, HOLD).await;
    }
}

/// Serves an interface on `socket`, to so many connections at once, each for so long at most.
pub(crate) async fn serve_rpc(
    socket: TcpListener,
    client: capnp::capability::Client,
    connections: usize,
    hold: Duration,
) {
    let room = Arc::new(Semaphore::new(connections));
    loop {
        let Ok(permit) = room.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = socket.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let client = client.clone();
        tokio::task::spawn_local(async move {
            let served = RpcSystem::new(network(stream, Side::Server), Some(client));
            // A peer that breaks off has said all it will; its next connection starts anew.
            let _ = tokio::time::timeout(hold, served).await;
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
        let answer = (self.answer)(update);
        peer_codec::write(&answer, results.get().init_update());
        Ok(())
    }
}

/// Exchanges updates with a peer; must run in a `LocalSet`.
///
/// Gives the answer and the bytes of both updates.
///
/// # Errors
///
/// [`RpcError::Connect`] or [`RpcError::Lost`].
pub async fn exchange(
    address: SocketAddr,
    update: &Update,
    limit: Duration,
) -> Result<(Update, u64), RpcError> {
    let work = async {
        let connect = TcpStream::connect(address).await;
        let stream = connect.map_err(|e| RpcError::Connect(e.to_string()))?;
        call(stream, update).await.map_err(|e| RpcError::Lost(e.to_string()))
    };
    let late = |_| RpcError::Lost("no answer in time".to_owned());
    tokio::time::timeout(limit, work).await.map_err(late)?
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
        Ok((peer_codec::read(update)?, words * WORD_BYTES + OVERHEAD))
    });
    let _ = disconnector.await;
    running.abort();
    answer
}

pub(crate) type Network = VatNetwork<futures::io::ReadHalf<tokio_util::compat::Compat<TcpStream>>>;

pub(crate) fn network(stream: TcpStream, side: Side) -> Box<Network> {
    // Without it an exchange may wait for a delayed acknowledgement; it still works.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.compat().split();
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_WORDS));
    Box::new(VatNetwork::new(reader, writer, side, options))
}
