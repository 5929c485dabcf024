//! Filter chain for plain services: parse → account → route → limit → idempotency → run.

use hyper::body::Incoming;
use hyper::{Method, Request, Response};

use heathpitch_net::Body;

use super::parse::{deadline, priority, read_raw};
use super::service_run::{ServiceCall, run};
use super::{Context, Refusal, RefusalKind, account, idempotency, keyed_request, limit, route};

/// Path prefix of all services.
const PREFIX: &str = "/services/";

/// Runs a request for a service, `/services/{route}/…`.
pub(crate) async fn chain(
    cx: &mut Context,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let mut raw = read_raw(cx, request).await?;
    let account = account::find(cx, &raw.headers)?;
    let path = raw.path.clone();
    let rest = path.strip_prefix(PREFIX).unwrap_or_default();
    let (name, path) = rest.find(['/', '?']).map_or((rest, "/"), |at| rest.split_at(at));
    let index = cx.traffic.shared.index.load_full();
    let level = priority(&raw.headers)?;
    let matched = index.service(name).filter(|r| r.select.matches(&account, &r.name, level));
    let Some(matched) = matched.cloned() else {
        let message = "no such service route for this account and priority";
        return Err(Refusal::not_run(RefusalKind::NoRoute, message));
    };
    let deadline = route::deadline(cx, &matched, deadline(&raw.headers)?);
    let capacity = matched.settings.max_open;
    let permit = limit::acquire(cx, &account, matched.name.clone(), level, capacity)?;
    // Only safe methods may be retried unless the caller allows it.
    let allowed = raw.headers.get("x-heathpitch-repeat").is_some_and(|v| v == "allowed");
    raw.idempotency.never_retry |= !matches!(raw.method, Method::GET | Method::HEAD) && !allowed;
    let method = raw.method.as_str().as_bytes().to_vec();
    let parts: [&[u8]; 3] = [&method, raw.path.as_bytes(), &raw.body];
    let format = keyed_request::ReplayFormat::Verbatim;
    let reservation = match idempotency::check_key_parts(cx, &account, &raw, &parts, format).await?
    {
        idempotency::KeyCheck::Run(reservation) => reservation,
        idempotency::KeyCheck::Answer(response) => return Ok(response),
    };
    let path = path.to_owned();
    run(
        cx,
        ServiceCall {
            account,
            index,
            route: matched,
            raw,
            path,
            deadline,
            _permit: permit,
            reservation,
        },
    )
    .await
}
