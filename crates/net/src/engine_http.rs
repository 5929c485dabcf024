//! Engines over HTTP and JSON lines.

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

/// Longest line of an answer, bytes.
const MAX_LINE: usize = 64 << 10;
/// Largest refusal read, bytes.
const MAX_REFUSAL: usize = 16 << 10;
/// Time for a report, event or cancel call.
const QUICK: Duration = Duration::from_millis(800);
/// Time for an order call; loading goes on after the answer.
const ORDER: Duration = Duration::from_secs(2);

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
struct Stale {
    epoch: Epoch,
}

#[derive(Deserialize)]
struct Fault {
    engine: Name,
}

impl HttpEngine {
    /// Engines reached through `client`.
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
            // The connection was closed as well, so a lost cancel costs the engine time only.
            let _ = client.exchange(Method::POST, &uri, Some(&call), QUICK).await;
        })
    }

    fn report(&self, address: &Name) -> BoxFuture<'static, Result<EngineReport, RpcError>> {
        let client = self.client.clone();
        let uri = format!("http://{address}/v1/report");
        Box::pin(async move { client.call(Method::GET, &uri, None::<&()>, QUICK).await })
    }

    fn events(
        &self,
        address: &Name,
        serial: u64,
    ) -> BoxFuture<'static, Result<CacheEvents, RpcError>> {
        let client = self.client.clone();
        let uri = format!("http://{address}/v1/events?after={serial}");
        Box::pin(async move { client.call(Method::GET, &uri, None::<&()>, QUICK).await })
    }

    fn order(&self, address: &Name, order: Order) -> BoxFuture<'static, Result<(), OrderError>> {
        let client = self.client.clone();
        let uri = format!("http://{address}/v1/orders");
        Box::pin(async move {
            let (status, bytes) = client.exchange(Method::POST, &uri, Some(&order), ORDER).await?;
            match status {
                200 => Ok(()),
                409 => Err(OrderError::Stale(parse::<Stale>(&bytes)?.epoch)),
                other => Err(RpcError::Status(other).into()),
            }
        })
    }
}

/// A statement of no start counts only if it can be read whole and says so.
async fn refusal(status: u16, content: Incoming) -> SendError {
    let bytes = body::read(content, MAX_REFUSAL).await.unwrap_or_default();
    match (serde_json::from_slice::<Refusal>(&bytes), serde_json::from_slice::<Fault>(&bytes)) {
        (Ok(said), _) if !said.started => SendError::Refused(said),
        (_, Ok(Fault { engine })) => SendError::Fault(engine),
        _ => SendError::Edge(RpcError::Status(status)),
    }
}

struct Lines {
    content: Incoming,
    buffer: BytesMut,
    over: bool,
}

fn frames(content: Incoming) -> FrameStream {
    let lines = Lines { content, buffer: BytesMut::new(), over: false };
    stream::unfold(lines, |mut lines| async {
        if lines.over {
            return None;
        }
        let next = lines.next().await;
        lines.over = !matches!(next, Some(Ok(Frame::Token { .. })));
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
                None if self.buffer.len() > MAX_LINE => {
                    return Some(Err(RpcError::TooLarge(MAX_LINE)));
                }
                None => match self.piece().await {
                    Ok(Some(bytes)) => self.buffer.extend_from_slice(&bytes),
                    Ok(None) => return None,
                    Err(e) => return Some(Err(e)),
                },
            }
        }
    }

    async fn piece(&mut self) -> Result<Option<Bytes>, RpcError> {
        match self.content.frame().await {
            None => Ok(None),
            Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
            Some(Err(e)) => Err(RpcError::Lost(e.to_string())),
        }
    }
}
