//! Where the tokens of an answer go: a stream, or a buffer.

use std::time::Duration;

use bytes::Bytes;
use heathpitch_core::Outcome;
use heathpitch_net::{Body, BodyError, channel, full};
use heathpitch_policy::{EndReason, StoredAnswer};
use hyper::Response;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use tokio::sync::{mpsc, oneshot};

use super::keyed::record;
use super::render::{EVENTS, Renderer, event};
use super::{Context, Refusal};

/// Pieces that wait for a slow caller.
const ROOM: usize = 64;
/// Time a caller may take for a piece before it counts as gone.
const SLOW: Duration = Duration::from_secs(30);

/// Response or refusal that the caller's connection waits for.
pub(crate) type Head = Result<Response<Body>, Refusal>;

/// Where an answer goes.
pub(crate) struct Output {
    renderer: Renderer,
    head: Option<oneshot::Sender<Head>>,
    pieces: Option<mpsc::Sender<Result<Bytes, BodyError>>>,
    stream: bool,
    text: String,
    keep: bool,
    lost: bool,
}

/// # Construction
impl Output {
    /// An output whose response is sent through `head`; with `keep` the text is recorded.
    pub(crate) fn new(
        renderer: Renderer,
        head: oneshot::Sender<Head>,
        stream: bool,
        keep: bool,
    ) -> Self {
        let text = String::new();
        Self { renderer, head: Some(head), pieces: None, stream, text, keep, lost: false }
    }
}

/// # Writing
impl Output {
    /// Passes a token on; false if the caller has gone.
    pub(crate) async fn token(&mut self, cx: &Context, text: &str) -> bool {
        if !self.stream || self.keep {
            self.text.push_str(text);
        }
        if !self.stream {
            return true;
        }
        let first = self.pieces.is_none();
        if first {
            self.begin(cx);
        }
        let piece = self.renderer.token(text, first);
        self.send(piece).await
    }

    /// Ends a whole answer and gives its record.
    pub(crate) async fn finish(
        &mut self,
        cx: &Context,
        reason: EndReason,
        tokens: u32,
    ) -> StoredAnswer {
        if self.stream {
            if self.pieces.is_none() {
                self.begin(cx);
            }
            let piece = self.renderer.end(reason, tokens);
            self.send(piece).await;
        }
        let whole = match self.stream && !self.keep {
            true => Vec::new(),
            false => self.renderer.whole(&self.text, reason, tokens),
        };
        if !self.stream {
            let mut response = Response::new(full(whole.clone()));
            cx.mark(&mut response, Outcome::Done);
            self.respond(Ok(response));
        }
        record(200, Outcome::Done, whole)
    }

    /// Ends an answer that is not whole.
    pub(crate) async fn give_up(&mut self, cx: &Context, refusal: Refusal) {
        match self.pieces {
            Some(_) => {
                refusal.note(cx);
                self.send(event(&refusal.body(&cx.id))).await;
            }
            None => self.respond(Err(refusal)),
        }
    }

    /// Resolves once the caller has gone.
    pub(crate) async fn gone(&mut self) {
        match (&mut self.head, &self.pieces) {
            (Some(head), _) => head.closed().await,
            (None, Some(pieces)) => pieces.closed().await,
            (None, None) => {}
        }
    }

    fn begin(&mut self, cx: &Context) {
        let (pieces, body) = channel(ROOM);
        let mut response = Response::new(body);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(EVENTS));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        cx.mark(&mut response, Outcome::Done);
        response.headers_mut().remove("x-heathpitch-outcome");
        self.pieces = Some(pieces);
        self.respond(Ok(response));
    }

    fn respond(&mut self, response: Head) {
        if let Some(head) = self.head.take() {
            // A caller that has gone is noticed by `gone`.
            let _ = head.send(response);
        }
    }

    async fn send(&mut self, piece: Bytes) -> bool {
        let Some(pieces) = self.pieces.as_ref().filter(|_| !self.lost) else { return false };
        self.lost = pieces.send_timeout(Ok(piece), SLOW).await.is_err();
        !self.lost
    }
}
