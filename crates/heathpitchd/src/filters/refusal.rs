//! Requests that end without a complete answer, and the errors their callers get.

use heathpitch_core::{Millis, Outcome};
use heathpitch_net::{Body, json};
use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::{Value, json};

use super::Context;
use crate::event::Event;

/// Header that stops the automatic retries of common client libraries.
const SHOULD_RETRY: HeaderName = HeaderName::from_static("x-should-retry");

/// Stable error kinds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalKind {
    Malformed,
    TooLarge,
    UnknownPath,
    UnknownModel,
    UnknownAccount,
    BadKey,
    NoRoute,
    NotReady,
    RateLimited,
    Overloaded,
    AccountShare,
    NoPath,
    Refused,
    Broken,
    Expired,
    KeyMismatch,
    KeySpent,
    OwnerGone,
    ClaimsAway,
}

impl RefusalKind {
    /// Name on the wire.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::TooLarge => "too_large",
            Self::UnknownPath => "unknown_path",
            Self::UnknownModel => "unknown_model",
            Self::UnknownAccount => "unknown_account",
            Self::BadKey => "bad_key",
            Self::NoRoute => "no_route",
            Self::NotReady => "not_ready",
            Self::RateLimited => "rate_limited",
            Self::Overloaded => "overloaded",
            Self::AccountShare => "account_share",
            Self::NoPath => "no_path",
            Self::Refused => "refused",
            Self::Broken => "broken",
            Self::Expired => "expired",
            Self::KeyMismatch => "key_mismatch",
            Self::KeySpent => "key_spent",
            Self::OwnerGone => "owner_gone",
            Self::ClaimsAway => "claims_away",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::UnknownPath | Self::UnknownModel | Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownAccount | Self::BadKey => StatusCode::UNAUTHORIZED,
            Self::RateLimited | Self::AccountShare => StatusCode::TOO_MANY_REQUESTS,
            Self::NotReady | Self::Overloaded | Self::NoPath | Self::Refused => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::ClaimsAway => StatusCode::SERVICE_UNAVAILABLE,
            Self::Broken | Self::OwnerGone => StatusCode::BAD_GATEWAY,
            Self::Expired => StatusCode::GATEWAY_TIMEOUT,
            Self::KeyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
            Self::KeySpent => StatusCode::CONFLICT,
        }
    }
}

/// End of a request without a complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) outcome: Outcome,
    pub(crate) kind: RefusalKind,
    pub(crate) message: String,
    pub(crate) retry_after: Option<Millis>,
}

/// # Construction
impl Refusal {
    /// Refusal of a request that did not run.
    pub(crate) fn not_run(kind: RefusalKind, message: impl Into<String>) -> Self {
        Self { outcome: Outcome::NotRun, kind, message: message.into(), retry_after: None }
    }

    /// Refusal of a request with a given outcome.
    pub(crate) fn new(outcome: Outcome, kind: RefusalKind, message: impl Into<String>) -> Self {
        Self { outcome, kind, message: message.into(), retry_after: None }
    }

    /// Adds a retry delay of at least `min_ms`, with jitter.
    pub(crate) fn with_retry_after(mut self, min_ms: Millis) -> Self {
        self.retry_after = Some(heathpitch_policy::retry_after(min_ms, &mut rand::rng()));
        self
    }
}

/// # Rendering
impl Refusal {
    /// HTTP status code of the response.
    pub(crate) fn status_code(&self) -> u16 {
        self.kind.status().as_u16()
    }

    /// JSON error for a response body or a stream event.
    pub(crate) fn body(&self, request: &str) -> Value {
        json!({ "error": {
            "message": self.message,
            "type": self.kind.as_str(),
            "code": self.kind.as_str(),
            "kind": self.kind.as_str(),
            "outcome": self.outcome,
            "request": request,
            "retry_after_ms": self.retry_after,
        }})
    }

    /// Counts and logs the refusal.
    pub(crate) fn count_and_log(&self, cx: &Context) {
        let metrics = &cx.traffic.shared.metrics;
        metrics.refusals.with_label_values(&[self.kind.as_str()]).inc();
        metrics.requests.with_label_values(&[self.outcome.as_str()]).inc();
        let request = cx.id.clone();
        let retry_after_ms = self.retry_after.unwrap_or_default();
        Event::Refused { request, outcome: self.outcome, kind: self.kind.as_str(), retry_after_ms }
            .log();
    }

    /// Response for the caller; counts and logs the refusal.
    pub(crate) fn respond(&self, cx: &Context) -> Response<Body> {
        self.count_and_log(cx);
        let mut response = Response::new(json(&self.body(&cx.id)));
        *response.status_mut() = self.kind.status();
        cx.set_headers(&mut response, self.outcome);
        let headers = response.headers_mut();
        if let Some(retry_after) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(retry_after.div_ceil(1_000)));
        }
        if self.outcome != Outcome::NotRun {
            headers.insert(SHOULD_RETRY, HeaderValue::from_static("false"));
        }
        response
    }
}
