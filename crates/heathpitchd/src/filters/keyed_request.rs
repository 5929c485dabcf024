//! Requests with an idempotency key: reservation of the key, replay of stored answers, and
//! forwarding to the node that owns the key.

use std::sync::Arc;
use std::time::Duration;

use heathpitch_core::{Incarnation, Name, NotRun, Outcome};
use heathpitch_net::{Body, RpcError, full};
use heathpitch_policy::StoredAnswer;
use http_body_util::BodyExt;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode};

use super::parse::{FORWARDED, RawRequest};
use super::{Context, Endpoint, ModelRequest, Refusal, RefusalKind, render};
use crate::traffic::Traffic;

/// Time for the owner to send the head of its response.
const OWNER_TIMEOUT: Duration = Duration::from_secs(120);

/// Format of a replayed answer; one stored answer serves both.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplayFormat {
    /// The stored body as it is.
    Verbatim,
    /// Server-sent events of this endpoint.
    Stream(Endpoint),
}

impl ReplayFormat {
    /// Format that a model request asks for.
    pub(crate) fn new(request: &ModelRequest) -> Self {
        if request.stream { Self::Stream(request.endpoint) } else { Self::Verbatim }
    }
}

/// A key reserved for this request; released if dropped before dispatch.
pub(crate) struct KeyReservation {
    traffic: Arc<Traffic>,
    key: Option<Name>,
}

impl std::fmt::Debug for KeyReservation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Hold").finish()
    }
}

impl KeyReservation {
    /// Takes over a key that the idempotency table has already reserved.
    pub(crate) fn new(traffic: Arc<Traffic>, key: Name) -> Self {
        Self { traffic, key: Some(key) }
    }

    /// Removes the key from the idempotency table; it belongs to another request or node.
    pub(crate) fn discard(mut self) {
        if let Some(key) = self.key.take() {
            self.traffic.idempotency.lock().forget(&key);
        }
    }

    /// Marks the key dispatched; succeeds once per key.
    pub(crate) fn dispatch(mut self) -> Option<DispatchedKey> {
        let key = self.key.take()?;
        let allowed = self.traffic.idempotency.lock().dispatch(&key);
        allowed.then(|| DispatchedKey { traffic: self.traffic.clone(), key: Some(key) })
    }
}

impl Drop for KeyReservation {
    fn drop(&mut self) {
        if let Some(key) = self.key.take() {
            self.traffic.idempotency.lock().release(&key);
        }
    }
}

/// A key whose request was dispatched; its outcome is unknown if dropped before it is resolved.
pub(crate) struct DispatchedKey {
    traffic: Arc<Traffic>,
    key: Option<Name>,
}

impl DispatchedKey {
    /// Records that the request did not run.
    pub(crate) fn not_run(mut self, proof: NotRun) {
        if let Some(key) = self.key.take() {
            self.traffic.idempotency.lock().mark_not_run(&key, proof);
        }
    }

    /// Stores the final answer for replay.
    pub(crate) fn finish(mut self, record: StoredAnswer) {
        let now = self.traffic.shared.now();
        if let Some(key) = self.key.take() {
            self.traffic.idempotency.lock().finish(&key, record, now);
        }
    }
}

impl Drop for DispatchedKey {
    fn drop(&mut self) {
        let now = self.traffic.shared.now();
        if let Some(key) = self.key.take() {
            let message = "the request may have run; its answer was lost";
            let lost = Refusal::new(Outcome::Unknown, RefusalKind::Broken, message);
            self.traffic.idempotency.lock().finish(&key, lost.stored_answer(), now);
        }
    }
}

impl Refusal {
    /// The refusal as stored for replay.
    pub(crate) fn stored_answer(&self) -> StoredAnswer {
        record(self.status_code(), self.outcome, self.body("").to_string().into_bytes())
    }
}

/// A JSON answer as stored for replay.
pub(crate) fn record(status: u16, outcome: Outcome, body: Vec<u8>) -> StoredAnswer {
    StoredAnswer { status, media: "application/json".to_owned(), body: body.into(), outcome }
}

/// Response with a stored answer.
pub(crate) fn replay(cx: &Context, record: &StoredAnswer, format: &ReplayFormat) -> Response<Body> {
    let streamed = match format {
        ReplayFormat::Stream(endpoint) if record.outcome == Outcome::Done => {
            render::replay_as_stream(*endpoint, &record.body)
        }
        _ => None,
    };
    let (media, body) = match streamed {
        Some(events) => (render::EVENT_STREAM.to_owned(), events),
        None => (record.media.clone(), record.body.to_vec()),
    };
    let mut response = Response::new(full(body));
    *response.status_mut() = StatusCode::from_u16(record.status).unwrap_or_default();
    if let Ok(media) = HeaderValue::from_str(&media) {
        response.headers_mut().insert(CONTENT_TYPE, media);
    }
    cx.set_headers(&mut response, record.outcome);
    response
}

/// Address of another node, if that incarnation of it is alive.
pub(crate) fn owner_of(cx: &Context, node: &Name, incarnation: Incarnation) -> Option<Name> {
    let view = cx.traffic.shared.view.load();
    let owner = view.members.iter().find(|m| m.node == *node && m.incarnation == incarnation);
    owner.map(|m| m.caller.clone())
}

/// Forwards a request to the only node that may run it.
pub(crate) async fn forward(
    cx: &Context,
    raw: &RawRequest,
    owner: &Name,
) -> Result<Response<Body>, Refusal> {
    let lost = |e: String| {
        let message = format!("the node that owns this request does not answer: {e}");
        Refusal::new(Outcome::Unknown, RefusalKind::OwnerGone, message)
    };
    let mut request = Request::new(full(raw.body.clone()));
    *request.method_mut() = raw.method.clone();
    let uri = format!("http://{owner}{}", raw.path);
    *request.uri_mut() =
        uri.parse().map_err(|e: hyper::http::uri::InvalidUri| lost(e.to_string()))?;
    *request.headers_mut() = raw.headers.clone();
    request.headers_mut().remove(CONTENT_LENGTH);
    request.headers_mut().remove(TRANSFER_ENCODING);
    request.headers_mut().insert(FORWARDED, HeaderValue::from_static("1"));
    let sent = tokio::time::timeout(OWNER_TIMEOUT, cx.traffic.client.send(request, true)).await;
    match sent {
        Ok(Ok(response)) => {
            Ok(response.map(|b| b.map_err(|_| heathpitch_net::BodyError::Truncated).boxed_unsync()))
        }
        Ok(Err(RpcError::Connect(e) | RpcError::Lost(e))) => Err(lost(e)),
        Ok(Err(e)) => Err(lost(e.to_string())),
        Err(_) => Err(lost("no answer within the time limit".to_owned())),
    }
}
