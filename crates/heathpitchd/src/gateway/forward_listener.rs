//! Takes calls that other nodes forward.
//!
//! They arrive on a listener of their own. A request without this node's token, which nodes learn from each other
//! only, is rejected whatever it asks. A call is handled as that of any caller, by its own key, except that it is
//! not forwarded again and not counted as a call of this node.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use heathpitch_core::Outcome;
use heathpitch_net::{
    Body, Bounds, ForwardHead, ForwardRefusal, ForwardedCall, Listener, empty, serve,
};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::sync::watch;

use super::call::{self, Origin, Traffic};
use super::event::GatewayEvent;
use super::shared::Shared;

/// Connections of other nodes: each carries one call at a time.
const MAX_CONNECTIONS: usize = 1_100;
/// Size of a request's head: that of a caller's, and what the other node adds.
const MAX_HEAD_BYTES: usize = 34 << 10;
/// Time for which a connection may be idle before the next head: above that for which nodes keep one.
const HEAD_TIMEOUT: Duration = Duration::from_secs(20);
/// Forwarded calls that may be open for each Mbit/s of the link, which carries their events twice.
const CALLS_PER_MBPS: f64 = 4.0;
/// Bounds of that number.
const CALLS_RANGE: std::ops::RangeInclusive<f64> = 32.0..=1_000.0;
/// Kind of the refusal of a call that this node does not take now.
const UNAVAILABLE: &str = "unavailable";

/// Serves other nodes until `stop` becomes true.
pub(crate) async fn serve_nodes(
    listener: Listener,
    traffic: Arc<Traffic>,
    stop: watch::Receiver<bool>,
) {
    let bounds = Bounds {
        max_connections: MAX_CONNECTIONS,
        max_head_bytes: MAX_HEAD_BYTES,
        head_timeout: HEAD_TIMEOUT,
    };
    serve(listener, bounds, stop, move |request| answer(traffic.clone(), request)).await;
}

async fn answer(traffic: Arc<Traffic>, mut request: Request<Incoming>) -> Response<Body> {
    let shared = traffic.shared.clone();
    let head = ForwardHead::take(request.headers_mut());
    let is_valid = |head: &ForwardHead| shared.forward.is_some_and(|own| own.token == head.token);
    let Some(head) = head.filter(is_valid) else {
        GatewayEvent::ForwardRejected { why: "the request lacks the token of this node" }.log();
        return respond(StatusCode::FORBIDDEN);
    };
    let mut response = match head.call {
        None => return respond(StatusCode::NO_CONTENT),
        Some(_) if !takes_calls(&shared) => {
            let refusal = ForwardRefusal { kind: UNAVAILABLE.to_owned(), outcome: Outcome::NotRun };
            let mut response = respond(StatusCode::SERVICE_UNAVAILABLE);
            response.extensions_mut().insert(refusal);
            response
        }
        Some(call) => handle(traffic, request, call).await,
    };
    let refusal = response.extensions_mut().remove::<ForwardRefusal>();
    ForwardRefusal::write(refusal.as_ref(), response.headers_mut());
    response
}

async fn handle(
    traffic: Arc<Traffic>,
    request: Request<Incoming>,
    call: ForwardedCall,
) -> Response<Body> {
    traffic.shared.metrics.calls_of_nodes.inc();
    call::handle(traffic, request, Origin::Node(call)).await
}

/// Whether this node takes another call of other nodes.
fn takes_calls(shared: &Shared) -> bool {
    let link_mbps = shared.settings.load().vm.link_mbps;
    let limit = (link_mbps * CALLS_PER_MBPS).clamp(*CALLS_RANGE.start(), *CALLS_RANGE.end());
    !shared.stopping.load(Relaxed) && shared.open_forwarded.load(Relaxed) < limit as usize
}

fn respond(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}
