//! HTTP face of the stand-in platform.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use heathpitch_core::{Millis, Name, Revision, Vm};
use heathpitch_net::{self as body, Body, Stored};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use serde::Deserialize;
use serde_json::json;

use crate::engine_http::{broken, parse, status};
use crate::platform::Platform;

/// Largest value stored, bytes.
const MAX_VALUE: usize = 1 << 20;

#[derive(Deserialize)]
struct Put {
    expect: Revision,
    value: String,
}

#[derive(Deserialize)]
struct Take {
    holder: Name,
    ttl: Millis,
}

/// Answers one HTTP request.
pub(crate) async fn handle(platform: Arc<Platform>, request: Request<Incoming>) -> Response<Body> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let query = pairs(request.uri().query().unwrap_or_default());
    let Ok(content) = body::read(request.into_body(), 4 * MAX_VALUE).await else {
        return status(400, &json!({}));
    };
    match path.as_str() {
        "/fault" => return with(parse(&content), |f| platform.inject(f)),
        "/vms" if method == Method::PUT => {
            return with(parse::<Vec<Vm>>(&content), |v| platform.publish_vms(v));
        }
        "/calls" => return status(200, &platform.state.lock().calls),
        _ => {}
    }
    if let Some(refused) = turned_away(&platform, method == Method::GET) {
        return refused;
    }
    let slow = Duration::from_millis(platform.state.lock().slow);
    tokio::time::sleep(platform.config.call_delay + slow).await;
    match (method, path.as_str()) {
        (Method::GET, "/vms") => vms(&platform, &query),
        (Method::GET, p) if p.starts_with("/kv/") => read(&platform, &p[4..], &query).await,
        (Method::PUT, p) if p.starts_with("/kv/") => match parse(&content) {
            Some(put) => write(&platform, &p[4..], put),
            None => status(400, &json!({})),
        },
        (Method::POST, p) if p.starts_with("/leases/") => match parse::<Take>(&content) {
            Some(take) => match platform.lease(&p[8..], take.holder, take.ttl) {
                (true, lease) => status(200, &lease),
                (false, lease) => status(409, &lease),
            },
            None => status(400, &json!({})),
        },
        _ => status(404, &json!({})),
    }
}

/// Counts the call; a response if the platform is down or the rate is used up.
fn turned_away(platform: &Platform, reads: bool) -> Option<Response<Body>> {
    let now = platform.start.elapsed().as_millis() as Millis;
    let mut state = platform.state.lock();
    let mut rates = platform.rates.lock();
    let (count, bucket) = match reads {
        true => (&mut state.calls.reads, &mut rates.0),
        false => (&mut state.calls.writes, &mut rates.1),
    };
    *count += 1;
    match bucket.take(now) {
        _ if state.down => Some(status(503, &json!({}))),
        Err(_) => {
            state.calls.refused += 1;
            Some(status(429, &json!({})))
        }
        Ok(()) => None,
    }
}

fn vms(platform: &Platform, query: &HashMap<String, String>) -> Response<Body> {
    let after = number(query, "after");
    match platform.listed() {
        Some(list) if list.number.0 > after => status(200, &list),
        _ => status(304, &json!({})),
    }
}

async fn read(platform: &Platform, key: &str, query: &HashMap<String, String>) -> Response<Body> {
    let after = Revision(number(query, "after"));
    let wait = Duration::from_millis(number(query, "wait").min(60_000));
    let mut changed = platform.changed.subscribe();
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        changed.mark_unchanged();
        match look(platform, key) {
            Some(stored) if stored.revision > after => return status(200, &stored),
            None if wait.is_zero() => return status(404, &json!({})),
            _ => {}
        }
        if tokio::time::timeout_at(deadline, changed.changed()).await.is_err() {
            return status(304, &json!({}));
        }
    }
}

fn look(platform: &Platform, key: &str) -> Option<Stored> {
    let state = platform.state.lock();
    match state.before.get(key) {
        Some(before) if state.stale => before.clone(),
        _ => state.values.get(key).cloned(),
    }
}

fn write(platform: &Platform, key: &str, put: Put) -> Response<Body> {
    if put.value.len() > MAX_VALUE {
        return status(413, &json!({}));
    }
    let written = platform.put(key, put.expect, put.value);
    let mut state = platform.state.lock();
    if state.lose > 0 {
        state.lose -= 1;
        return broken();
    }
    match written {
        Ok(revision) => status(200, &json!({ "revision": revision })),
        Err(revision) => status(409, &json!({ "revision": revision })),
    }
}

fn with<T>(value: Option<T>, then: impl FnOnce(T)) -> Response<Body> {
    match value {
        Some(value) => {
            then(value);
            status(200, &json!({}))
        }
        None => status(400, &json!({})),
    }
}

fn pairs(query: &str) -> HashMap<String, String> {
    let pair = |p: &str| p.split_once('=').map(|(k, v)| (k.to_owned(), v.to_owned()));
    query.split('&').filter_map(pair).collect()
}

fn number(query: &HashMap<String, String>, name: &str) -> u64 {
    query.get(name).and_then(|v| v.parse().ok()).unwrap_or(0)
}
