//! The filter chain that processes a request.
//!
//! parse → account → route → limit → idempotency → run. Each filter is a module that works on
//! one typed context and may end the request with a [`Refusal`].

mod account;
mod attempt_event;
mod context;
mod guard;
mod idempotency;
mod keyed_request;
mod limit;
mod parse;
mod probe;
mod refusal;
mod render;
mod response_writer;
mod route;
mod run;
mod service;
mod service_run;

pub(crate) use context::{Context, Endpoint, Idempotency, ModelRequest};
pub(crate) use keyed_request::{forward, owner_of};
pub(crate) use refusal::{Refusal, RefusalKind};

use std::sync::Arc;

use heathpitch_net::Body;
use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::traffic::Traffic;

/// Runs a model request through the filter chain.
pub(crate) async fn generate(
    traffic: &Arc<Traffic>,
    endpoint: Endpoint,
    request: Request<Incoming>,
) -> Response<Body> {
    let mut cx = Context::new(traffic.clone());
    let response = chain(&mut cx, endpoint, request).await;
    response.unwrap_or_else(|refusal| refusal.respond(&cx))
}

async fn chain(
    cx: &mut Context,
    endpoint: Endpoint,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let (raw, model_request) = parse::model(cx, endpoint, request).await?;
    let account = account::find(cx, &raw.headers)?;
    let route = route::model(cx, &account, &model_request)?;
    let permit = limit::admit(cx, &account, &route, &model_request)?;
    let reservation = match idempotency::check_key(cx, &account, &raw, &model_request).await? {
        idempotency::KeyCheck::Run(reservation) => reservation,
        idempotency::KeyCheck::Answer(response) => return Ok(response),
    };
    run::run(cx, &raw, run::Job { account, route, request: model_request, permit, reservation })
        .await
}

/// Runs a request for a plain service through the filter chain.
pub(crate) async fn service(traffic: &Arc<Traffic>, request: Request<Incoming>) -> Response<Body> {
    let mut cx = Context::new(traffic.clone());
    let response = service::chain(&mut cx, request).await;
    response.unwrap_or_else(|refusal| refusal.respond(&cx))
}
