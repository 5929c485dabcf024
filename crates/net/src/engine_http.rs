//! Client of engines over HTTP and JSON lines.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::future::BoxFuture;
use futures::stream::{self, StreamExt};
use heathpitch_core::{Attempt, Epoch, Name};
use heathpitch_policy::EngineReport;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::client::{parse, request};
use crate::{
    CacheEvents, Client, EngineClient, Frame, FrameStream, GenerateCall, Order, OrderError,
    Refusal, RpcError, SendError, body,
};

/// Size limit of a line in a response.
const MAX_LINE_BYTES: usize = 64 << 10;
/// Size limit of a refusal.
const MAX_REFUSAL_BYTES: usize = 16 << 10;
/// Timeout of a report, event or cancel call.
const SHORT_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of an order call; loading continues after the response.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// An [`EngineClient`] over HTTP.
#[derive(Clone, Debug, Default)]
pub struct HttpEngine {
    client: Client,
}

#[derive(Serialize)]
struct CancelCall {
    request: String,
    attempt: Attempt,
}

#[derive(Deserialize)]
struct StaleAnswer {
    epoch: Epoch,
}

#[derive(Deserialize)]
struct Fault {
    engine: Name,
}

impl HttpEngine {
    /// A client of engines that uses the connections of `client`.
    pub fn new(client: Client) -> Self {
        Self { client }
    }
}

impl EngineClient for HttpEngine {
    fn generate(
        &self,
        address: &Name,
        call: GenerateCall,
    ) -> BoxFuture<'static, Result<FrameStream, SendError>> {
        let client = self.client.clone();
        let uri = format!("http://{address}/v1/generate");
        Box::pin(async move {
            let request = request(Method::POST, &uri, body::json(&call))?;
            let response = client.send(request, true).await?;
            match response.status().as_u16() {
                200 => Ok(frames(response.into_body())),
                status => Err(refusal(status, response.into_body()).await),
            }
        })
    }

    fn cancel(&self, address: &Name, request: String, attempt: Attempt) -> BoxFuture<'static, ()> {
        let client = self.client.clone();
        let uri = format!("http://{address}/v1/cancel");
        Box::pin(async move {
            let call = CancelCall { request, attempt };
            // The connection is closed as well, so a lost cancel only costs the engine some time.
            let _ = client.exchange(Method::POST, &uri, Some(&call), SHORT_TIMEOUT).await;
        })
    }

    fn report(&self, address: &Name) -> BoxFuture<'static, Result<EngineReport, RpcError>> {
        let client = self.client.clone();
        let uri = format!("http://{address}/v1/report");
        Box::pin(async move { client.call(Method::GET, &uri, None::<&()>, SHORT_TIMEOUT).await })
    }

    fn events(
        &self,
        address: &Name,
        serial: u64,
    ) -> BoxFuture<'static, Result<CacheEvents, RpcError>> {
        let client = self.client.clone();
        let uri = format!("http://{address}/v1/events?after={serial}");
        Box::pin(async move { client.call(Method::GET, &uri, None::<&()>, SHORT_TIMEOUT).await })
    }

    fn order(&self, address: &Name, order: Order) -> BoxFuture<'static, Result<(), OrderError>> {
        let client = self.client.clone();
        let uri = format!("http://{address}/v1/orders");
        Box::pin(async move {
            let (status, bytes) =
                client.exchange(Method::POST, &uri, Some(&order), ORDER_TIMEOUT).await?;
            match status {
                200 => Ok(()),
                409 => Err(OrderError::Stale(parse::<StaleAnswer>(&bytes)?.epoch)),
                other => Err(RpcError::Status(other).into()),
            }
        })
    }
}

/// Error for a response that is not 200.
///
/// It counts as a refusal only if it can be parsed completely and states that the request did not
/// start.
async fn refusal(status: u16, content: Incoming) -> SendError {
    let bytes = body::read(content, MAX_REFUSAL_BYTES).await.unwrap_or_default();
    match (serde_json::from_slice::<Refusal>(&bytes), serde_json::from_slice::<Fault>(&bytes)) {
        (Ok(refusal), _) if !refusal.started => SendError::Refused(refusal),
        (_, Ok(Fault { engine })) => SendError::Fault(engine),
        _ => SendError::Rpc(RpcError::Status(status)),
    }
}

struct Lines {
    content: Incoming,
    buffer: BytesMut,
    done: bool,
}

fn frames(content: Incoming) -> FrameStream {
    let lines = Lines { content, buffer: BytesMut::new(), done: false };
    stream::unfold(lines, |mut lines| async {
        if lines.done {
            return None;
        }
        let next = lines.next().await;
        lines.done = !matches!(next, Some(Ok(Frame::Token { .. })));
        next.map(|f| (f, lines))
    })
    .boxed()
}

impl Lines {
    async fn next(&mut self) -> Option<Result<Frame, RpcError>> {
        loop {
            match self.buffer.iter().position(|b| *b == b'\n') {
                Some(end) => {
                    let line = self.buffer.split_to(end + 1);
                    return Some(parse(&line));
                }
                None if self.buffer.len() > MAX_LINE_BYTES => {
                    return Some(Err(RpcError::TooLarge(MAX_LINE_BYTES)));
                }
                None => match self.read_chunk().await {
                    Ok(Some(bytes)) => self.buffer.extend_from_slice(&bytes),
                    Ok(None) => return None,
                    Err(e) => return Some(Err(e)),
                },
            }
        }
    }

    async fn read_chunk(&mut self) -> Result<Option<Bytes>, RpcError> {
        match self.content.frame().await {
            None => Ok(None),
            Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
            Some(Err(e)) => Err(RpcError::Lost(e.to_string())),
        }
    }
}
