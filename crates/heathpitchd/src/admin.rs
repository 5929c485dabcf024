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

/// Time without a heartbeat of the control thread after which the node is unhealthy.
const HEARTBEAT_TIMEOUT_MS: Millis = 5_000;

/// Answers one request of an operator or a probe.
pub(crate) fn handle(
    shared: &Shared,
    drain: &Arc<Notify>,
    request: &Request<Incoming>,
) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => {
            let heartbeat = shared.control_heartbeat.load(Relaxed);
            ok_response(shared.now().saturating_sub(heartbeat) < HEARTBEAT_TIMEOUT_MS)
        }
        (&Method::GET, "/readyz") => ok_response(shared.ready()),
        (&Method::GET, "/metrics") => {
            let mut response = Response::new(full(shared.metrics.encode()));
            let media = HeaderValue::from_static("text/plain; version=0.0.4");
            response.headers_mut().insert(CONTENT_TYPE, media);
            response
        }
        (&Method::GET, "/status") => Response::new(json(&status(shared))),
        (&Method::POST, "/drain") => {
            drain.notify_one();
            ok_response(true)
        }
        (method, path) => {
            let message = format!("{method} {path} is not part of this API");
            let mut response = Response::new(json(&json!({ "error": { "message": message } })));
            *response.status_mut() = StatusCode::NOT_FOUND;
            response
        }
    }
}

fn ok_response(ok: bool) -> Response<Body> {
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
        incarnation: shared.incarnation.0,
        ready: shared.ready(),
        draining: shared.draining.load(Relaxed),
        config: shared.index.load().revision,
        list: view.vm_list,
        open: shared.open.load(Relaxed),
        members: view.members.iter().map(Into::into).collect(),
        upstreams: view.upstreams.iter().map(Into::into).collect(),
    }
}
