//! Chain for plain services: parse → account → route → limit → repeat → run.

use hyper::body::Incoming;
use hyper::{Method, Request, Response};

use heathpitch_net::Body;

use super::parse::{deadline, head, priority};
use super::service_run::{Call, run};
use super::{Context, Refusal, RefusalKind, account, keyed, limit, repeat, route};

/// First part of the path of every service.
const PREFIX: &str = "/services/";

/// Runs a request for a service, `/services/{route}/…`.
pub(crate) async fn chain(
    cx: &mut Context,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let mut head = head(cx, request).await?;
    let account = account::find(cx, &head.headers)?;
    let path = head.path.clone();
    let rest = path.strip_prefix(PREFIX).unwrap_or_default();
    let (name, path) = rest.find(['/', '?']).map_or((rest, "/"), |at| rest.split_at(at));
    let index = cx.traffic.shared.index.load_full();
    let at = priority(&head.headers)?;
    let found = index.service(name).filter(|r| r.select.matches(&account, &r.name, at));
    let Some(found) = found.cloned() else {
        let message = "no such service route for this account and priority";
        return Err(Refusal::not_run(RefusalKind::NoRoute, message));
    };
    let deadline = route::deadline(cx, &found, deadline(&head.headers)?);
    let room = found.settings.max_open;
    let permit = limit::enter(cx, &account, found.name.clone(), at, room)?;
    // Only reads may be repeated unless the caller says otherwise.
    let allowed = head.headers.get("x-heathpitch-repeat").is_some_and(|v| v == "allowed");
    head.key.never |= !matches!(head.method, Method::GET | Method::HEAD) && !allowed;
    let method = head.method.as_str().as_bytes().to_vec();
    let parts: [&[u8]; 3] = [&method, head.path.as_bytes(), &head.content];
    let shape = keyed::Shape::Whole;
    let granted = match repeat::settle_parts(cx, &account, &head, &parts, shape).await? {
        repeat::Settled::Run(granted) => granted,
        repeat::Settled::Answer(response) => return Ok(response),
    };
    let path = path.to_owned();
    run(cx, Call { account, index, route: found, head, path, deadline, _permit: permit, granted })
        .await
}
