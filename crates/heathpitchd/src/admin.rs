//! Listener for operators and probes.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

use heathpitch_core::Millis;
use heathpitch_net::{Body, full, json};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;
use tokio::sync::Notify;

use crate::shared::Shared;
use crate::snapshot::Status;

/// Silence of the control thread after which the node is not healthy, milliseconds.
const SILENCE: Millis = 5_000;

/// Answers one request of an operator or a probe.
pub(crate) fn handle(
    shared: &Shared,
    drain: &Arc<Notify>,
    request: &Request<Incoming>,
) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => {
            let beat = shared.beat.load(Relaxed);
            verdict(shared.now().saturating_sub(beat) < SILENCE)
        }
        (&Method::GET, "/readyz") => verdict(shared.ready()),
        (&Method::GET, "/metrics") => {
            let mut response = Response::new(full(shared.metrics.text()));
            let media = HeaderValue::from_static("text/plain; version=0.0.4");
            response.headers_mut().insert(CONTENT_TYPE, media);
            response
        }
        (&Method::GET, "/status") => Response::new(json(&status(shared))),
        (&Method::POST, "/drain") => {
            drain.notify_one();
            verdict(true)
        }
        (method, path) => {
            let message = format!("{method} {path} is not part of this API");
            let mut response = Response::new(json(&json!({ "error": { "message": message } })));
            *response.status_mut() = StatusCode::NOT_FOUND;
            response
        }
    }
}

fn verdict(ok: bool) -> Response<Body> {
    let mut response = Response::new(json(&json!({ "ok": ok })));
    if !ok {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

fn status(shared: &Shared) -> Status {
    let view = shared.view.load();
    Status {
        node: shared.settings.node.clone(),
        domain: shared.settings.domain.clone(),
        life: shared.life.0,
        ready: shared.ready(),
        draining: shared.draining.load(Relaxed),
        config: shared.index.load().revision,
        list: view.list,
        open: shared.open.load(Relaxed),
        members: view.members.iter().map(Into::into).collect(),
        upstreams: view.upstreams.iter().map(Into::into).collect(),
    }
}
