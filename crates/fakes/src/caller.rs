//! HTTP client that acts as a caller of the router.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use heathpitch_core::Name;
use heathpitch_net::{self as body, Client, RpcError};
use http_body_util::BodyExt;
use hyper::Request;
use serde_json::{Value, json};

const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Caller of one client account.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    account: Name,
}

/// Streamed answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StreamedAnswer {
    /// Text of each token event.
    pub pieces: Vec<String>,
    /// Whether the stream ended with its end marker.
    pub complete: bool,
    /// Error event or error body, if any.
    pub error: Option<Value>,
    /// HTTP status.
    pub status: u16,
    /// Time to the first token.
    pub first_token: Duration,
    /// Longest time between two tokens.
    pub max_gap: Duration,
}

/// Complete response.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Value of `Retry-After`, seconds.
    pub retry_after: Option<u64>,
    /// Body, null if it is not JSON.
    pub json: Value,
}

/// Error of a call that got no response.
pub type CallError = RpcError;

impl Caller {
    /// Caller with requests of `account`.
    pub fn new(account: Name) -> Self {
        Self { client: Client::new(), account }
    }

    /// Sends a POST request and reads the complete response.
    ///
    /// # Errors
    ///
    /// [`RpcError`] if no response arrives.
    pub async fn post(
        &self,
        node: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        content: impl Into<Bytes>,
    ) -> Result<Reply, CallError> {
        let request = self.request(node, path, headers, content.into())?;
        let response = self.client.send(request, true).await?;
        let status = response.status().as_u16();
        let after = response.headers().get("retry-after").and_then(|v| v.to_str().ok());
        let retry_after = after.and_then(|v| v.parse().ok());
        let bytes = body::read(response.into_body(), MAX_ANSWER_BYTES).await;
        let bytes = bytes.map_err(|e| RpcError::Lost(e.to_string()))?;
        let json = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
        Ok(Reply { status, retry_after, json })
    }

    /// Requests a streamed completion and reads it.
    ///
    /// # Errors
    ///
    /// [`RpcError`] if no response arrives.
    pub async fn stream(
        &self,
        node: SocketAddr,
        model: &Name,
        prompt: &str,
        max_tokens: u32,
    ) -> Result<StreamedAnswer, CallError> {
        let completion =
            json!({ "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true });
        let request = self.request(node, "/v1/completions", &[], completion.to_string().into())?;
        let start = Instant::now();
        let response = self.client.send(request, true).await?;
        let mut answer =
            StreamedAnswer { status: response.status().as_u16(), ..StreamedAnswer::default() };
        if answer.status != 200 {
            let bytes =
                body::read(response.into_body(), MAX_ANSWER_BYTES).await.unwrap_or_default();
            answer.error = serde_json::from_slice(&bytes).ok();
            return Ok(answer);
        }
        let mut content = response.into_body();
        let mut buffer = Vec::new();
        let mut last = start;
        while let Some(Ok(frame)) = content.frame().await {
            buffer.extend_from_slice(frame.data_ref().map_or(&[][..], |d| d));
            while let Some(end) = buffer.windows(2).position(|w| w == b"\n\n") {
                let event: Vec<u8> = buffer.drain(..end + 2).collect();
                let event = String::from_utf8_lossy(&event).into_owned();
                if answer.add_event(&event) {
                    let gap = last.elapsed();
                    last = Instant::now();
                    match answer.pieces.len() {
                        1 => answer.first_token = gap,
                        _ => answer.max_gap = answer.max_gap.max(gap),
                    }
                }
            }
        }
        Ok(answer)
    }

    fn request(
        &self,
        node: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        content: Bytes,
    ) -> Result<Request<body::Body>, CallError> {
        let mut builder = Request::post(format!("http://{node}{path}"))
            .header("content-type", "application/json")
            .header("x-heathpitch-account", self.account.as_str());
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        builder.body(body::full(content)).map_err(|e| RpcError::Malformed(e.to_string()))
    }
}

impl StreamedAnswer {
    /// Adds one server-sent event; true if it contained a token.
    fn add_event(&mut self, event: &str) -> bool {
        let data = event.trim().strip_prefix("data: ").unwrap_or_default();
        let value: Value = serde_json::from_str(data).unwrap_or(Value::Null);
        match value["choices"][0]["text"].as_str() {
            _ if data == "[DONE]" => {
                self.complete = true;
                false
            }
            _ if !value["error"].is_null() => {
                self.error = Some(value);
                false
            }
            Some(text) if !text.is_empty() => {
                self.pieces.push(text.to_owned());
                true
            }
            _ => false,
        }
    }
}
