//! Calls that end without an engine's answer.

use heathpitch_core::{Evidence, Millis, Outcome};
use heathpitch_net::{Body, json};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;

use crate::gateway::event::GatewayEvent;
use crate::gateway::shared::Shared;

/// Why a call was refused or given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusedKind {
    /// No configuration is known yet, or none that is new enough to say no.
    Unconfigured,
    /// The configuration has no such route.
    NoRoute,
    /// The key is not known.
    BadKey,
    /// What is known of keys is too old.
    StaleKeys,
    /// The head cannot be read.
    BadHead,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not come whole.
    CutBody,
    /// No engine, or no whole path of engines, can take it.
    NoEngine,
    /// Its first event would come late, and more than it wait already.
    Overloaded,
    /// Every engine that could take it wants rest.
    Resting,
    /// Every engine that could take it wants rest, or names a limit that is used up.
    Limited,
    /// Engines end when they begin to run it.
    HeldBack,
    /// Every engine asked refused it.
    EnginesRefused,
    /// The connection to an engine was lost, or its answer cannot be used.
    Broken,
    /// The time is over.
    Expired,
}

impl RefusedKind {
    /// Stable word.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Unconfigured => "unconfigured",
            Self::NoRoute => "no_route",
            Self::BadKey => "bad_key",
            Self::StaleKeys => "stale_keys",
            Self::BadHead => "bad_head",
            Self::TooLarge => "too_large",
            Self::CutBody => "cut_body",
            Self::NoEngine => "no_engine",
            Self::Overloaded => "overloaded",
            Self::Resting => "resting",
            Self::Limited => "limited",
            Self::HeldBack => "held_back",
            Self::EnginesRefused => "engines_refused",
            Self::Broken => "broken",
            Self::Expired => "expired",
        }
    }

    /// Time after which asking again is worth it, milliseconds: about that of a poll of the store,
    /// of a load of a lost engine's layers, of an engine's queue.
    fn back(self) -> Option<Millis> {
        match self {
            Self::Unconfigured | Self::StaleKeys => Some(1_000),
            Self::NoEngine | Self::Overloaded => Some(1_500),
            Self::EnginesRefused => Some(400),
            Self::Expired | Self::Broken => Some(300),
            _ => None,
        }
    }
}

/// A call that ends without an engine's answer.
#[derive(Clone, Debug)]
pub(crate) struct Refused {
    kind: RefusedKind,
    status: StatusCode,
    outcome: Outcome,
    detail: String,
    request: String,
    back: Option<Millis>,
}

impl Refused {
    /// A call that was never sent.
    pub(crate) fn unsent(kind: RefusedKind, request: &str, detail: impl Into<String>) -> Self {
        let status = match kind {
            RefusedKind::NoRoute => StatusCode::NOT_FOUND,
            RefusedKind::BadKey => StatusCode::UNAUTHORIZED,
            RefusedKind::BadHead | RefusedKind::CutBody => StatusCode::BAD_REQUEST,
            RefusedKind::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        let (detail, request) = (detail.into(), request.to_owned());
        Self { kind, status, outcome: Outcome::NotRun, detail, request, back: kind.back() }
    }

    /// A call given up after sends; only proof makes it a refusal.
    pub(crate) fn given_up(
        kind: RefusedKind,
        seen: &Evidence,
        request: &str,
        detail: impl Into<String>,
    ) -> Self {
        let status = match (seen.not_run(), kind) {
            (Some(_), _) => StatusCode::SERVICE_UNAVAILABLE,
            (None, RefusedKind::Expired) => StatusCode::GATEWAY_TIMEOUT,
            (None, _) => StatusCode::BAD_GATEWAY,
        };
        let (detail, request) = (detail.into(), request.to_owned());
        Self { kind, status, outcome: seen.outcome(), detail, request, back: kind.back() }
    }

    /// The same, to come back after `back`.
    pub(crate) fn until(self, back: Millis) -> Self {
        Self { back: Some(back), ..self }
    }

    /// The answer to the caller, logged and counted.
    pub(crate) fn respond(self, shared: &Shared) -> Response<Body> {
        let back_ms = match self.status {
            StatusCode::SERVICE_UNAVAILABLE => self.back,
            _ => None,
        };
        shared.metrics.refusals.with_label_values(&[self.kind.as_str()]).inc();
        GatewayEvent::CallRefused {
            request: self.request,
            status: self.status.as_u16(),
            kind: self.kind.as_str(),
            detail: self.detail.clone(),
            back_ms,
            config: shared.catalog.load().as_ref().map_or(0, |c| c.version),
            proof_ms: shared.config_freshness.load().age(shared.now()),
        }
        .log();
        let error = json!({ "error": {
            "kind": self.kind.as_str(), "outcome": self.outcome, "message": self.detail,
        } });
        let mut response = Response::new(json(&error));
        *response.status_mut() = self.status;
        let media = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, media);
        if let Some(back) = back_ms {
            let seconds = format!("{}.{:03}", back / 1_000, back % 1_000);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
