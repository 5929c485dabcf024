//! Requests that end without a whole answer, and what their callers are told.

use heathpitch_core::{Millis, Outcome};
use heathpitch_net::{Body, json};
use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::{Value, json};

use super::Context;
use crate::event::Event;

/// Header that tells clients of the usual libraries not to repeat a request by themselves.
const SHOULD_RETRY: HeaderName = HeaderName::from_static("x-should-retry");

/// Stable kinds of errors.
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
    /// The word used on the wire.
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

/// The end of a request without a whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) outcome: Outcome,
    pub(crate) kind: RefusalKind,
    pub(crate) message: String,
    pub(crate) back: Option<Millis>,
}

/// # Construction
impl Refusal {
    /// A request that did not run.
    pub(crate) fn not_run(kind: RefusalKind, message: impl Into<String>) -> Self {
        Self { outcome: Outcome::NotRun, kind, message: message.into(), back: None }
    }

    /// A request of which only `outcome` can be said.
    pub(crate) fn of(outcome: Outcome, kind: RefusalKind, message: impl Into<String>) -> Self {
        Self { outcome, kind, message: message.into(), back: None }
    }

    /// Adds when to come back: `least` milliseconds or more, spread.
    pub(crate) fn back(mut self, least: Millis) -> Self {
        self.back = Some(heathpitch_policy::retry_after(least, &mut rand::rng()));
        self
    }
}

/// # Rendering
impl Refusal {
    /// HTTP status of the response.
    pub(crate) fn code(&self) -> u16 {
        self.kind.status().as_u16()
    }

    /// The error as callers get it, in a body or an event.
    pub(crate) fn body(&self, request: &str) -> Value {
        json!({ "error": {
            "message": self.message,
            "type": self.kind.as_str(),
            "code": self.kind.as_str(),
            "kind": self.kind.as_str(),
            "outcome": self.outcome,
            "request": request,
            "retry_after_ms": self.back,
        }})
    }

    /// Counts and logs the refusal.
    pub(crate) fn note(&self, cx: &Context) {
        let metrics = &cx.traffic.shared.metrics;
        metrics.refusals.with_label_values(&[self.kind.as_str()]).inc();
        metrics.requests.with_label_values(&[self.outcome.as_str()]).inc();
        let request = cx.id.clone();
        let back_ms = self.back.unwrap_or_default();
        Event::Refused { request, outcome: self.outcome, kind: self.kind.as_str(), back_ms }.log();
    }

    /// The whole response.
    pub(crate) fn respond(&self, cx: &Context) -> Response<Body> {
        self.note(cx);
        let mut response = Response::new(json(&self.body(&cx.id)));
        *response.status_mut() = self.kind.status();
        cx.mark(&mut response, self.outcome);
        let headers = response.headers_mut();
        if let Some(back) = self.back {
            headers.insert(RETRY_AFTER, HeaderValue::from(back.div_ceil(1_000)));
        }
        if self.outcome != Outcome::NotRun {
            headers.insert(SHOULD_RETRY, HeaderValue::from_static("false"));
        }
        response
    }
}
