//! Writes the tokens of an answer to the caller, as a stream or as one buffered response.

use std::time::Duration;

use bytes::Bytes;
use heathpitch_core::Outcome;
use heathpitch_net::{Body, BodyError, channel, full};
use heathpitch_policy::{EndReason, StoredAnswer};
use hyper::Response;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use tokio::sync::{mpsc, oneshot};

use super::keyed_request::record;
use super::render::{EVENT_STREAM, Renderer, sse_event};
use super::{Context, Refusal};

/// Chunks buffered for a slow caller.
const MAX_BUFFERED_CHUNKS: usize = 64;
/// Time a caller may take to accept a chunk before it counts as disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Response or refusal that the connection handler waits for.
pub(crate) type ResponseResult = Result<Response<Body>, Refusal>;

/// Writes one answer.
pub(crate) struct ResponseWriter {
    renderer: Renderer,
    head: Option<oneshot::Sender<ResponseResult>>,
    chunks: Option<mpsc::Sender<Result<Bytes, BodyError>>>,
    stream: bool,
    text: String,
    keep_text: bool,
    closed: bool,
}

/// # Construction
impl ResponseWriter {
    /// A writer that sends its response through `head`; with `keep_text` the text is recorded.
    pub(crate) fn new(
        renderer: Renderer,
        head: oneshot::Sender<ResponseResult>,
        stream: bool,
        keep_text: bool,
    ) -> Self {
        let text = String::new();
        Self { renderer, head: Some(head), chunks: None, stream, text, keep_text, closed: false }
    }
}

/// # Writing
impl ResponseWriter {
    /// Writes a token; returns false if the caller has disconnected.
    pub(crate) async fn write_token(&mut self, cx: &Context, text: &str) -> bool {
        if !self.stream || self.keep_text {
            self.text.push_str(text);
        }
        if !self.stream {
            return true;
        }
        let first = self.chunks.is_none();
        if first {
            self.start_stream(cx);
        }
        let chunk = self.renderer.token(text, first);
        self.send(chunk).await
    }

    /// Completes the answer and returns it for storage.
    pub(crate) async fn finish(
        &mut self,
        cx: &Context,
        reason: EndReason,
        tokens: u32,
    ) -> StoredAnswer {
        if self.stream {
            if self.chunks.is_none() {
                self.start_stream(cx);
            }
            let chunk = self.renderer.end(reason, tokens);
            self.send(chunk).await;
        }
        let answer = match self.stream && !self.keep_text {
            true => Vec::new(),
            false => self.renderer.answer(&self.text, reason, tokens),
        };
        if !self.stream {
            let mut response = Response::new(full(answer.clone()));
            cx.set_headers(&mut response, Outcome::Done);
            self.respond(Ok(response));
        }
        record(200, Outcome::Done, answer)
    }

    /// Ends an incomplete answer with an error.
    pub(crate) async fn fail(&mut self, cx: &Context, refusal: Refusal) {
        match self.chunks {
            Some(_) => {
                refusal.count_and_log(cx);
                self.send(sse_event(&refusal.body(&cx.id))).await;
            }
            None => self.respond(Err(refusal)),
        }
    }

    /// Resolves once the caller has disconnected.
    pub(crate) async fn caller_gone(&mut self) {
        match (&mut self.head, &self.chunks) {
            (Some(head), _) => head.closed().await,
            (None, Some(chunks)) => chunks.closed().await,
            (None, None) => {}
        }
    }

    fn start_stream(&mut self, cx: &Context) {
        let (chunks, body) = channel(MAX_BUFFERED_CHUNKS);
        let mut response = Response::new(body);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(EVENT_STREAM));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        cx.set_headers(&mut response, Outcome::Done);
        response.headers_mut().remove("x-heathpitch-outcome");
        self.chunks = Some(chunks);
        self.respond(Ok(response));
    }

    fn respond(&mut self, response: ResponseResult) {
        if let Some(head) = self.head.take() {
            // `caller_gone` reports a caller that has disconnected.
            let _ = head.send(response);
        }
    }

    async fn send(&mut self, chunk: Bytes) -> bool {
        let Some(chunks) = self.chunks.as_ref().filter(|_| !self.closed) else { return false };
        self.closed = chunks.send_timeout(Ok(chunk), WRITE_TIMEOUT).await.is_err();
        !self.closed
    }
}
