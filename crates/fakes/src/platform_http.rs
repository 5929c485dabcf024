//! HTTP interface of the fake platform.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use heathpitch_core::{Millis, Name, Revision, Vm};
use heathpitch_net::{self as body, Body, Stored};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use serde::Deserialize;
use serde_json::json;

use crate::engine_http::{broken_response, json_response, parse};
use crate::platform::Platform;

const MAX_VALUE_BYTES: usize = 1 << 20;

#[derive(Deserialize)]
struct PutRequest {
    expect: Revision,
    value: String,
}

#[derive(Deserialize)]
struct LeaseRequest {
    holder: Name,
    ttl: Millis,
}

/// Handles one HTTP request.
pub(crate) async fn handle(platform: Arc<Platform>, request: Request<Incoming>) -> Response<Body> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let query = parse_query(request.uri().query().unwrap_or_default());
    let Ok(content) = body::read(request.into_body(), 4 * MAX_VALUE_BYTES).await else {
        return json_response(400, &json!({}));
    };
    match path.as_str() {
        "/fault" => return apply(parse(&content), |f| platform.inject(f)),
        "/vms" if method == Method::PUT => {
            return apply(parse::<Vec<Vm>>(&content), |v| platform.publish_vms(v));
        }
        "/calls" => return json_response(200, &platform.state.lock().calls),
        _ => {}
    }
    if let Some(refusal) = refuse(&platform, method == Method::GET) {
        return refusal;
    }
    let slow = Duration::from_millis(platform.state.lock().extra_delay);
    tokio::time::sleep(platform.config.call_delay + slow).await;
    match (method, path.as_str()) {
        (Method::GET, "/vms") => vms(&platform, &query),
        (Method::GET, p) if p.starts_with("/kv/") => read(&platform, &p[4..], &query).await,
        (Method::PUT, p) if p.starts_with("/kv/") => match parse(&content) {
            Some(put) => write(&platform, &p[4..], put),
            None => json_response(400, &json!({})),
        },
        (Method::POST, p) if p.starts_with("/leases/") => match parse::<LeaseRequest>(&content) {
            Some(lease) => match platform.acquire_lease(&p[8..], lease.holder, lease.ttl) {
                (true, lease) => json_response(200, &lease),
                (false, lease) => json_response(409, &lease),
            },
            None => json_response(400, &json!({})),
        },
        _ => json_response(404, &json!({})),
    }
}

/// Counts the call; returns a response if the platform is unavailable or the rate exceeded.
fn refuse(platform: &Platform, is_read: bool) -> Option<Response<Body>> {
    let now = platform.start.elapsed().as_millis() as Millis;
    let mut state = platform.state.lock();
    let mut rates = platform.rates.lock();
    let (count, bucket) = match is_read {
        true => (&mut state.calls.reads, &mut rates.0),
        false => (&mut state.calls.writes, &mut rates.1),
    };
    *count += 1;
    match bucket.take(now) {
        _ if state.unavailable => Some(json_response(503, &json!({}))),
        Err(_) => {
            state.calls.refused += 1;
            Some(json_response(429, &json!({})))
        }
        Ok(()) => None,
    }
}

fn vms(platform: &Platform, query: &HashMap<String, String>) -> Response<Body> {
    let after = query_number(query, "after");
    match platform.visible_vms() {
        Some(list) if list.number.0 > after => json_response(200, &list),
        _ => json_response(304, &json!({})),
    }
}

async fn read(platform: &Platform, key: &str, query: &HashMap<String, String>) -> Response<Body> {
    let after = Revision(query_number(query, "after"));
    let wait = Duration::from_millis(query_number(query, "wait").min(60_000));
    let mut changed = platform.changed.subscribe();
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        changed.mark_unchanged();
        match lookup(platform, key) {
            Some(stored) if stored.revision > after => return json_response(200, &stored),
            None if wait.is_zero() => return json_response(404, &json!({})),
            _ => {}
        }
        if tokio::time::timeout_at(deadline, changed.changed()).await.is_err() {
            return json_response(304, &json!({}));
        }
    }
}

fn lookup(platform: &Platform, key: &str) -> Option<Stored> {
    let state = platform.state.lock();
    match state.previous.get(key) {
        Some(previous) if state.stale_reads => previous.clone(),
        _ => state.values.get(key).cloned(),
    }
}

fn write(platform: &Platform, key: &str, put: PutRequest) -> Response<Body> {
    if put.value.len() > MAX_VALUE_BYTES {
        return json_response(413, &json!({}));
    }
    let written = platform.put(key, put.expect, put.value);
    let mut state = platform.state.lock();
    if state.lost_responses > 0 {
        state.lost_responses -= 1;
        return broken_response();
    }
    match written {
        Ok(revision) => json_response(200, &json!({ "revision": revision })),
        Err(revision) => json_response(409, &json!({ "revision": revision })),
    }
}

fn apply<T>(value: Option<T>, action: impl FnOnce(T)) -> Response<Body> {
    match value {
        Some(value) => {
            action(value);
            json_response(200, &json!({}))
        }
        None => json_response(400, &json!({})),
    }
}

fn parse_query(query: &str) -> HashMap<String, String> {
    let pair = |p: &str| p.split_once('=').map(|(k, v)| (k.to_owned(), v.to_owned()));
    query.split('&').filter_map(pair).collect()
}

fn query_number(query: &HashMap<String, String>, name: &str) -> u64 {
    query.get(name).and_then(|v| v.parse().ok()).unwrap_or(0)
}
