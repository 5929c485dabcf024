//! What some nodes read from the store, told to the others by capnp-rpc.
//!
//! A node asks again and again on a kept connection; an answer is made at once, so that the age of what
//! it tells is never hidden by a wait. Both sides run on the control thread.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::RpcSystem;
use capnp_rpc::new_client;
use capnp_rpc::rpc_twoparty_capnp::Side;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::feed_capnp::feed;
use crate::feed_codec::{
    read_ask, read_right_ask, read_right_told, read_told, write_ask, write_right_ask,
    write_right_told, write_told,
};
use crate::peer::{network, serve_rpc};
use crate::{FeedRequest, FeedResponse, RightsRequest, RightsResponse, RpcError};

/// Connections at once: the nodes of the largest fleet, each with one to follow by and one to ask for rights.
const CONNECTIONS: usize = 1_024;
/// Longest time of a connection; followers make a new one.
const HOLD: Duration = Duration::from_secs(120);

/// Answers other nodes by functions.
#[derive(Clone)]
pub struct FeedServer {
    answer: Rc<dyn Fn(FeedRequest) -> FeedResponse>,
    hand_out: Rc<dyn Fn(RightsRequest) -> RightsResponse>,
}

impl FeedServer {
    /// A server that answers followers with `answer`, and those who ask for rights with `hand_out`.
    pub fn new(
        answer: Rc<dyn Fn(FeedRequest) -> FeedResponse>,
        hand_out: Rc<dyn Fn(RightsRequest) -> RightsResponse>,
    ) -> Self {
        Self { answer, hand_out }
    }

    /// Serves followers on `socket` until the task is dropped; must run in a `LocalSet`.
    pub async fn serve(self, socket: TcpListener) {
        let client: feed::Client = new_client(self);
        serve_rpc(socket, client.client, CONNECTIONS, HOLD).await;
    }
}

impl feed::Server for FeedServer {
    async fn ask(
        self: Rc<Self>,
        params: feed::AskParams,
        mut results: feed::AskResults,
    ) -> Result<(), capnp::Error> {
        let ask = read_ask(params.get()?.get_ask()?)?;
        write_told(&(self.answer)(ask), results.get().init_told());
        Ok(())
    }

    async fn right(
        self: Rc<Self>,
        params: feed::RightParams,
        mut results: feed::RightResults,
    ) -> Result<(), capnp::Error> {
        let ask = read_right_ask(params.get()?.get_ask()?)?;
        write_right_told(&(self.hand_out)(ask), results.get().init_told());
        Ok(())
    }
}

/// A kept connection to a node that tells.
pub struct FeedClient {
    client: feed::Client,
    system: JoinHandle<Result<(), capnp::Error>>,
}

impl FeedClient {
    /// Connects to a node; must run in a `LocalSet`.
    ///
    /// # Errors
    ///
    /// [`RpcError::Connect`], also after `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, RpcError> {
        let connected = tokio::time::timeout(limit, TcpStream::connect(address)).await;
        let late = |_| RpcError::Connect("no connection in time".to_owned());
        let stream = connected.map_err(late)?.map_err(|e| RpcError::Connect(e.to_string()))?;
        let mut system = RpcSystem::new(network(stream, Side::Client), None);
        let client = system.bootstrap(Side::Server);
        Ok(Self { client, system: tokio::task::spawn_local(system) })
    }

    /// Asks the node.
    ///
    /// # Errors
    ///
    /// [`RpcError::Lost`], also after `limit`; [`RpcError::Malformed`].
    pub async fn ask(&self, ask: &FeedRequest, limit: Duration) -> Result<FeedResponse, RpcError> {
        let mut request = self.client.ask_request();
        write_ask(ask, request.get().init_ask());
        let answer = within(limit, request.send().promise).await?;
        let told = answer.get().and_then(|a| read_told(a.get_told()?));
        told.map_err(|e| RpcError::Malformed(e.to_string()))
    }

    /// Asks the node for rights to send requests to an engine.
    ///
    /// # Errors
    ///
    /// [`RpcError::Lost`], also after `limit`; [`RpcError::Malformed`].
    pub async fn right(
        &self,
        ask: &RightsRequest,
        limit: Duration,
    ) -> Result<RightsResponse, RpcError> {
        let mut request = self.client.right_request();
        write_right_ask(ask, request.get().init_ask());
        let answer = within(limit, request.send().promise).await?;
        let told = answer.get().and_then(|a| Ok(read_right_told(a.get_told()?)));
        told.map_err(|e| RpcError::Malformed(e.to_string()))
    }
}

/// An answer that comes within `limit`.
async fn within<T>(
    limit: Duration,
    answer: impl Future<Output = Result<T, capnp::Error>>,
) -> Result<T, RpcError> {
    let late = |_| RpcError::Lost("no answer in time".to_owned());
    let answered = tokio::time::timeout(limit, answer).await.map_err(late)?;
    answered.map_err(|e| RpcError::Lost(e.to_string()))
}

impl Drop for FeedClient {
    fn drop(&mut self) {
        self.system.abort();
    }
}
