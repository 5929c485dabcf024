//! The chain of filters that a request runs through.
//!
//! parse → account → route → limit → repeat → run. Each filter has a module, adds to one typed
//! context, and may end the request with one [`Refusal`].

mod account;
mod arrival;
mod context;
mod guard;
mod keyed;
mod limit;
mod output;
mod parse;
mod probe;
mod refusal;
mod render;
mod repeat;
mod route;
mod run;
mod service;
mod service_run;

pub(crate) use context::{Ask, AskKind, Context, Key};
pub(crate) use keyed::{forward, owner_of};
pub(crate) use refusal::{Refusal, RefusalKind};

use std::sync::Arc;

use heathpitch_net::Body;
use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::traffic::Traffic;

/// Runs a model request through the chain.
pub(crate) async fn generate(
    traffic: &Arc<Traffic>,
    kind: AskKind,
    request: Request<Incoming>,
) -> Response<Body> {
    let mut cx = Context::new(traffic.clone());
    let done = chain(&mut cx, kind, request).await;
    done.unwrap_or_else(|refusal| refusal.respond(&cx))
}

async fn chain(
    cx: &mut Context,
    kind: AskKind,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let (head, ask) = parse::model(cx, kind, request).await?;
    let account = account::find(cx, &head.headers)?;
    let route = route::model(cx, &account, &ask)?;
    let permit = limit::admit(cx, &account, &route, &ask)?;
    let granted = match repeat::settle(cx, &account, &head, &ask).await? {
        repeat::Settled::Run(granted) => granted,
        repeat::Settled::Answer(response) => return Ok(response),
    };
    run::run(cx, &head, run::Job { account, route, ask, permit, granted }).await
}

/// Runs a request for a plain service through the chain.
pub(crate) async fn service(traffic: &Arc<Traffic>, request: Request<Incoming>) -> Response<Body> {
    let mut cx = Context::new(traffic.clone());
    let done = service::chain(&mut cx, request).await;
    done.unwrap_or_else(|refusal| refusal.respond(&cx))
}
