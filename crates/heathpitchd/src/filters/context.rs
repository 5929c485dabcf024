//! Request data shared by the filters.

use std::sync::Arc;

use heathpitch_core::{Millis, Name, Outcome, Priority};
use heathpitch_net::Body;
use heathpitch_policy::Repeat;
use hyper::Response;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};

use crate::traffic::Traffic;

/// Header with the id of the request.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-heathpitch-request");
/// Header with the outcome.
const OUTCOME: HeaderName = HeaderName::from_static("x-heathpitch-outcome");

/// Context of one request.
#[derive(Clone)]
pub(crate) struct Context {
    pub(crate) traffic: Arc<Traffic>,
    /// Id assigned to the request.
    pub(crate) id: String,
    /// Arrival time.
    pub(crate) start: Millis,
}

/// API endpoint of a model request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Endpoint {
    Completion,
    Chat,
}

/// A parsed model request.
#[derive(Clone, Debug)]
pub(crate) struct ModelRequest {
    pub(crate) endpoint: Endpoint,
    pub(crate) model: Name,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
    pub(crate) stream: bool,
    pub(crate) include_usage: bool,
    pub(crate) options: serde_json::Value,
    pub(crate) priority: Priority,
    pub(crate) deadline: Option<Millis>,
}

/// Idempotency and retry headers of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Idempotency {
    /// Idempotency key or ticket.
    pub(crate) key: Option<Name>,
    /// Whether the caller forbids retries.
    pub(crate) never_retry: bool,
    /// Whether another node forwarded the request.
    pub(crate) forwarded: bool,
}

impl Idempotency {
    /// Retry policy once the request has started.
    pub(crate) fn repeat(&self) -> Repeat {
        match self.never_retry || self.key.is_some() {
            true => Repeat::Never,
            false => Repeat::Allowed,
        }
    }
}

impl Context {
    /// Context of a request that has just arrived.
    pub(crate) fn new(traffic: Arc<Traffic>) -> Self {
        let id = traffic.shared.new_request_id().to_string();
        let start = traffic.shared.now();
        Self { traffic, id, start }
    }

    /// Sets the headers with the request's id and outcome.
    pub(crate) fn set_headers(&self, response: &mut Response<Body>, outcome: Outcome) {
        let headers = response.headers_mut();
        headers.entry(CONTENT_TYPE).or_insert(HeaderValue::from_static("application/json"));
        headers.insert(OUTCOME, HeaderValue::from_static(outcome.as_str()));
        if let Ok(id) = HeaderValue::from_str(&self.id) {
            headers.insert(REQUEST_ID, id);
        }
    }
}
