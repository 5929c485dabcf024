//! Opens the connections of a [`Client`](crate::Client).

use std::task::{Context, Poll};

use futures::{FutureExt, TryFutureExt, future::BoxFuture};
use hyper::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

use crate::head_guard::{HeadGuard, InterimCount};

type Stream = HeadGuard<TokioIo<TcpStream>>;
type ConnectError = <HttpConnector as Service<Uri>>::Error;

/// Opens connections that end once too many interim responses are read from them.
#[derive(Clone, Debug)]
pub(crate) struct Connector(pub(crate) HttpConnector);

impl Service<Uri> for Connector {
    type Response = Stream;
    type Error = ConnectError;
    type Future = BoxFuture<'static, Result<Stream, ConnectError>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), ConnectError>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let guard = |stream| HeadGuard::new(stream, InterimCount::default());
        self.0.call(uri).map_ok(guard).boxed()
    }
}

impl Connection for Stream {
    fn connected(&self) -> Connected {
        self.stream().connected().extra(self.interim().clone())
    }
}
