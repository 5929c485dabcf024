//! Distribution of store contents from the nodes that read the store to the others, over capnp-rpc.
//!
//! A follower polls on a persistent connection. The server responds at once instead of waiting for
//! changes, so that the reported age of the data stays correct. Client and server run on the
//! control thread.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::RpcSystem;
use capnp_rpc::new_client;
use capnp_rpc::rpc_twoparty_capnp::Side;
use heathpitch_core::Name;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::feed_capnp::feed;
use crate::feed_codec::{
    read_request, read_response, read_rights_request, read_rights_response, write_request,
    write_response, write_rights_request, write_rights_response,
};
use crate::feed_retry_codec::{
    read_retry_request, read_retry_response, write_retry_request, write_retry_response,
};
use crate::peer::{network, serve_rpc};
use crate::{
    FeedRequest, FeedResponse, RetryRequest, RetryResponse, RightsRequest, RightsResponse, RpcError,
};

/// Maximum number of concurrent connections: enough for all nodes of the largest fleet, each with
/// one for polling and one for requesting rights and retries.
const MAX_CONNECTIONS: usize = 1_024;
/// Maximum duration of a connection; followers then open a new one.
const MAX_CONNECTION_TIME: Duration = Duration::from_secs(120);

/// Server for followers and for nodes that request rights or retries.
#[derive(Clone)]
pub struct FeedServer {
    node: Name,
    respond: Rc<dyn Fn(FeedRequest) -> FeedResponse>,
    issue_rights: Rc<dyn Fn(RightsRequest) -> RightsResponse>,
    issue_retry: Rc<dyn Fn(RetryRequest) -> RetryResponse>,
}

impl FeedServer {
    /// The server of `node`, with handlers for polls and for requests of rights and of retries.
    pub fn new(
        node: Name,
        respond: Rc<dyn Fn(FeedRequest) -> FeedResponse>,
        issue_rights: Rc<dyn Fn(RightsRequest) -> RightsResponse>,
        issue_retry: Rc<dyn Fn(RetryRequest) -> RetryResponse>,
    ) -> Self {
        Self { node, respond, issue_rights, issue_retry }
    }

    /// Serves other nodes on `socket` until the future is dropped; must run in a `LocalSet`.
    pub async fn serve(self, socket: TcpListener) {
        let client: feed::Client = new_client(self);
        serve_rpc(socket, client.client, MAX_CONNECTIONS, MAX_CONNECTION_TIME).await;
    }
}

impl feed::Server for FeedServer {
    async fn ask(
        self: Rc<Self>,
        params: feed::AskParams,
        mut results: feed::AskResults,
    ) -> Result<(), capnp::Error> {
        let request = read_request(params.get()?.get_ask()?)?;
        if let Some(to) = request.to.as_ref().filter(|to| **to != self.node) {
            let (node, by) = (&self.node, &request.node);
            return Err(capnp::Error::failed(format!("{by} polls node {to}, this is {node}")));
        }
        write_response(&(self.respond)(request), results.get().init_told());
        Ok(())
    }

    async fn right(
        self: Rc<Self>,
        params: feed::RightParams,
        mut results: feed::RightResults,
    ) -> Result<(), capnp::Error> {
        let request = read_rights_request(params.get()?.get_ask()?)?;
        write_rights_response(&(self.issue_rights)(request), results.get().init_told());
        Ok(())
    }

    async fn retry(
        self: Rc<Self>,
        params: feed::RetryParams,
        mut results: feed::RetryResults,
    ) -> Result<(), capnp::Error> {
        let request = read_retry_request(params.get()?.get_ask()?)?;
        write_retry_response((self.issue_retry)(request), results.get().init_told());
        Ok(())
    }
}

/// Persistent connection to a node that distributes store contents.
pub struct FeedClient {
    client: feed::Client,
    system: JoinHandle<Result<(), capnp::Error>>,
}

impl FeedClient {
    /// Connects to a node; must run in a `LocalSet`.
    ///
    /// # Errors
    ///
    /// [`RpcError::Connect`], also after `timeout`.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, RpcError> {
        let connected = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
        let timed_out = |_| RpcError::Connect("no connection within the timeout".to_owned());
        let stream = connected.map_err(timed_out)?.map_err(|e| RpcError::Connect(e.to_string()))?;
        let mut system = RpcSystem::new(network(stream, Side::Client), None);
        let client = system.bootstrap(Side::Server);
        Ok(Self { client, system: tokio::task::spawn_local(system) })
    }

    /// Polls the node.
    ///
    /// # Errors
    ///
    /// [`RpcError::Lost`], also after `timeout`; [`RpcError::Malformed`].
    pub async fn poll(
        &self,
        request: &FeedRequest,
        timeout: Duration,
    ) -> Result<FeedResponse, RpcError> {
        let mut call = self.client.ask_request();
        write_request(request, call.get().init_ask());
        let response = within(timeout, call.send().promise).await?;
        let message = response.get().and_then(|a| read_response(a.get_told()?));
        message.map_err(|e| RpcError::Malformed(e.to_string()))
    }

    /// Requests rights to send requests to an engine.
    ///
    /// # Errors
    ///
    /// [`RpcError::Lost`], also after `timeout`; [`RpcError::Malformed`].
    pub async fn request_rights(
        &self,
        request: &RightsRequest,
        timeout: Duration,
    ) -> Result<RightsResponse, RpcError> {
        let mut call = self.client.right_request();
        write_rights_request(request, call.get().init_ask());
        let response = within(timeout, call.send().promise).await?;
        let message = response.get().and_then(|a| Ok(read_rights_response(a.get_told()?)));
        message.map_err(|e| RpcError::Malformed(e.to_string()))
    }
}

/// # Retries
impl FeedClient {
    /// Requests a retry of a call.
    ///
    /// # Errors
    ///
    /// [`RpcError::Lost`], also after `timeout`; [`RpcError::Malformed`].
    pub async fn request_retry(
        &self,
        request: &RetryRequest,
        timeout: Duration,
    ) -> Result<RetryResponse, RpcError> {
        let mut call = self.client.retry_request();
        write_retry_request(request, call.get().init_ask());
        let response = within(timeout, call.send().promise).await?;
        let message = response.get().and_then(|a| Ok(read_retry_response(a.get_told()?)));
        message.map_err(|e| RpcError::Malformed(e.to_string()))
    }
}

/// Awaits a response for at most `timeout`.
async fn within<T>(
    timeout: Duration,
    response: impl Future<Output = Result<T, capnp::Error>>,
) -> Result<T, RpcError> {
    let timed_out = |_| RpcError::Lost("no response within the timeout".to_owned());
    let result = tokio::time::timeout(timeout, response).await.map_err(timed_out)?;
    result.map_err(|e| RpcError::Lost(e.to_string()))
}

impl Drop for FeedClient {
    fn drop(&mut self) {
        self.system.abort();
    }
}
