//! Pass-through calls: a chain of filters from a caller's request to its final answer.
//!
//! `admit` reads the head, finds route and account and checks that what is known of keys is new
//! enough; `single` and `stream` run the call; `flow` is a stream over all its sends; `send` is one
//! dispatch to one engine, `record` what is logged of it; `rights` are what a send needs to an engine that
//! names a limit; `budget` bounds second sends, `returns` tells
//! refused callers when to come back; `pick` chooses engines; `relay` passes a stream's events on. A
//! filter ends a call with a `Refused`.

mod admit;
mod flow;
mod open;
mod pick;
mod record;
mod refused;
mod relay;
mod retry_budgets;
mod retry_schedules;
mod rights;
mod send;
mod single;
mod stream;

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

use heathpitch_net::{Body, Pool};
use hyper::body::Incoming;
use hyper::{Request, Response};

pub(crate) use retry_budgets::RetryBudgets;
pub(crate) use retry_schedules::RetrySchedules;

use super::shared::{Edges, Shared};
use open::OpenCall;

/// What the traffic thread works with.
pub(crate) struct Traffic {
    pub(crate) shared: Arc<Shared>,
    pub(crate) edges: Edges,
    pub(crate) pool: Pool,
    pub(crate) retry_budgets: RetryBudgets,
    pub(crate) retry_schedules: RetrySchedules,
}

/// Answers one call.
pub(crate) async fn handle(traffic: Arc<Traffic>, request: Request<Incoming>) -> Response<Body> {
    let received = traffic.shared.now();
    let open = OpenCall::new(traffic.shared.clone());
    let call = match admit::admit(&traffic, request, received).await {
        Ok(call) => Arc::new(call),
        Err(refused) => return refused.respond(&traffic.shared),
    };
    traffic.retry_budgets.earn(&call.service.name);
    let answer = match call.route.kind.streams() {
        true => stream::run(traffic.clone(), call, open).await,
        false => single::run(&traffic, &call).await,
    };
    let mut response = match answer {
        Ok(response) => response,
        Err(refused) => refused.respond(&traffic.shared),
    };
    traffic.shared.metrics.calls.with_label_values(&[response.status().as_str()]).inc();
    if traffic.shared.stopping.load(Relaxed) {
        let close = hyper::header::HeaderValue::from_static("close");
        response.headers_mut().insert(hyper::header::CONNECTION, close);
    }
    response
}
