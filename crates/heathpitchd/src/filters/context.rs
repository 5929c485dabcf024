//! What the filters know of a request.

use std::sync::Arc;

use heathpitch_core::{Millis, Name, Outcome, Priority};
use heathpitch_net::Body;
use heathpitch_policy::Repeat;
use hyper::Response;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};

use crate::traffic::Traffic;

/// Header with the id of the request.
const REQUEST: HeaderName = HeaderName::from_static("x-heathpitch-request");
/// Header with the outcome.
const OUTCOME: HeaderName = HeaderName::from_static("x-heathpitch-outcome");

/// Context of one request.
#[derive(Clone)]
pub(crate) struct Context {
    pub(crate) traffic: Arc<Traffic>,
    /// Id minted for the request.
    pub(crate) id: String,
    /// When it arrived.
    pub(crate) start: Millis,
}

/// Which call of the API was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AskKind {
    Completion,
    Chat,
}

/// A model request as the caller made it.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) kind: AskKind,
    pub(crate) model: Name,
    pub(crate) prompt: String,
    pub(crate) wanted: u32,
    pub(crate) stream: bool,
    pub(crate) usage: bool,
    pub(crate) options: serde_json::Value,
    pub(crate) priority: Priority,
    pub(crate) deadline: Option<Millis>,
}

/// A caller's words on repetition.
#[derive(Clone, Debug, Default)]
pub(crate) struct Key {
    /// The caller's key or ticket.
    pub(crate) text: Option<Name>,
    /// Whether the request may be repeated.
    pub(crate) never: bool,
    /// Whether another node passed the request on.
    pub(crate) forwarded: bool,
}

impl Key {
    /// Whether a started request may be dispatched again.
    pub(crate) fn repeat(&self) -> Repeat {
        match self.never || self.text.is_some() {
            true => Repeat::Never,
            false => Repeat::Allowed,
        }
    }
}

impl Context {
    /// Context of a request that arrives now.
    pub(crate) fn new(traffic: Arc<Traffic>) -> Self {
        let id = traffic.shared.mint().to_string();
        let start = traffic.shared.now();
        Self { traffic, id, start }
    }

    /// Puts the request's id and outcome on a response.
    pub(crate) fn mark(&self, response: &mut Response<Body>, outcome: Outcome) {
        let headers = response.headers_mut();
        headers.entry(CONTENT_TYPE).or_insert(HeaderValue::from_static("application/json"));
        headers.insert(OUTCOME, HeaderValue::from_static(outcome.as_str()));
        if let Ok(id) = HeaderValue::from_str(&self.id) {
            headers.insert(REQUEST, id);
        }
    }
}
