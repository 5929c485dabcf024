//! Calls that end without an answer from an engine.

use heathpitch_core::{Evidence, KeyHolder, Millis, Name, Outcome};
use heathpitch_net::{Body, ForwardRefusal, json};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;

use super::admit::Call;
use crate::gateway::event::{CallRefused, GatewayEvent, thousandths};
use crate::gateway::shared::Shared;

/// Why a call was refused or given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalKind {
    /// There is no configuration yet, or it is too old to deny a call.
    Unconfigured,
    /// No route matches.
    NoRoute,
    /// The API key is unknown.
    BadKey,
    /// The known keys are too old.
    StaleKeys,
    /// The head is invalid.
    BadHead,
    /// The body exceeds the limit.
    TooLarge,
    /// The body was truncated.
    CutBody,
    /// The body does not fit into the memory that this node has left for bodies.
    NoMemory,
    /// No engine, or no complete path of engines, is available.
    NoEngine,
    /// Engines are at capacity, or its first event would come late because of others that wait.
    Overloaded,
    /// Every engine that could take it asked for a pause.
    Paused,
    /// Every engine that could take it asked for a pause or has an exhausted rate limit.
    Limited,
    /// Engines exit when they start to run it.
    HeldBack,
    /// Engines may exit when they start to run it, and this node has not judged the latest exits.
    Unjudged,
    /// Another node forwarded it as a retry, and this one has none left.
    NoRetry,
    /// Every engine that it was sent to refused it.
    EnginesRefused,
    /// The connection to an engine was lost, or its answer is unusable.
    Broken,
    /// The deadline has passed.
    Expired,
    /// It cannot end before this node stops, or has not.
    Stopping,
}

impl RefusalKind {
    /// All kinds.
    const ALL: [Self; 19] = [
        Self::Unconfigured,
        Self::NoRoute,
        Self::BadKey,
        Self::StaleKeys,
        Self::BadHead,
        Self::TooLarge,
        Self::CutBody,
        Self::NoMemory,
        Self::NoEngine,
        Self::Overloaded,
        Self::Paused,
        Self::Limited,
        Self::HeldBack,
        Self::Unjudged,
        Self::NoRetry,
        Self::EnginesRefused,
        Self::Broken,
        Self::Expired,
        Self::Stopping,
    ];

    /// Name in answers, logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Unconfigured => "unconfigured",
            Self::NoRoute => "no_route",
            Self::BadKey => "bad_key",
            Self::StaleKeys => "stale_keys",
            Self::BadHead => "bad_head",
            Self::TooLarge => "too_large",
            Self::CutBody => "cut_body",
            Self::NoMemory => "no_memory",
            Self::NoEngine => "no_engine",
            Self::Overloaded => "overloaded",
            Self::Paused => "resting",
            Self::Limited => "limited",
            Self::HeldBack => "held_back",
            Self::Unjudged => "unjudged",
            Self::NoRetry => "no_retry",
            Self::EnginesRefused => "engines_refused",
            Self::Broken => "broken",
            Self::Expired => "expired",
            Self::Stopping => "stopping",
        }
    }

    /// The kind with this name.
    pub(crate) fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == name)
    }

    /// Why a call with this deadline is given up now.
    pub(crate) fn expiry(shared: &Shared, deadline: Millis) -> Self {
        match shared.now() < deadline && shared.now() >= shared.stop.at() {
            true => Self::Stopping,
            false => Self::Expired,
        }
    }

    /// Whether it depends on the node, so that another one may take the call.
    pub(crate) fn is_local(self) -> bool {
        match self {
            Self::Unconfigured
            | Self::NoRoute
            | Self::BadKey
            | Self::StaleKeys
            | Self::BadHead
            | Self::TooLarge
            | Self::CutBody
            | Self::NoMemory
            | Self::NoEngine
            | Self::NoRetry
            | Self::Unjudged
            | Self::Stopping => true,
            Self::Overloaded
            | Self::Paused
            | Self::Limited
            | Self::HeldBack
            | Self::EnginesRefused
            | Self::Broken
            | Self::Expired => false,
        }
    }

    /// Time after which a retry may succeed: about that of a poll of the store, of loading a lost
    /// engine's layers, or of an engine's queue.
    fn retry_after(self) -> Option<Millis> {
        match self {
            Self::Unconfigured | Self::StaleKeys => Some(1_000),
            Self::NoEngine | Self::Overloaded => Some(1_500),
            Self::EnginesRefused | Self::NoMemory => Some(400),
            // Control threads are rarely held up for longer.
            Self::Expired | Self::Broken | Self::Unjudged => Some(300),
            // Callers retry on a new connection, which leads to another node.
            Self::Stopping => Some(50),
            _ => None,
        }
    }
}

/// Load that the decision about a call is based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CallLoad {
    /// Pressure of the chosen path.
    pub(crate) pressure: f64,
    /// Part of the account's requests that is within its share, if shares apply.
    pub(crate) share: Option<f64>,
}

/// A call as refusals name it in the log.
#[derive(Clone, Debug)]
struct RefusedCall {
    account: Option<Name>,
    rank: u8,
    age_ms: Millis,
}

/// A call that ends without an engine's answer.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    kind: RefusalKind,
    status: StatusCode,
    outcome: Outcome,
    detail: String,
    request: String,
    retry_after: Option<Millis>,
    call: Option<Box<RefusedCall>>,
    load: Option<CallLoad>,
}

impl Refusal {
    /// A call that was never sent.
    pub(crate) fn unsent(kind: RefusalKind, request: &str, detail: impl Into<String>) -> Self {
        let status = match kind {
            RefusalKind::NoRoute => StatusCode::NOT_FOUND,
            RefusalKind::BadKey => StatusCode::UNAUTHORIZED,
            RefusalKind::BadHead | RefusalKind::CutBody => StatusCode::BAD_REQUEST,
            RefusalKind::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        let (detail, request) = (detail.into(), request.to_owned());
        Self {
            kind,
            status,
            outcome: Outcome::NotRun,
            detail,
            request,
            retry_after: kind.retry_after(),
            call: None,
            load: None,
        }
    }

    /// A call given up after some attempts; it counts as not run only if every attempt proved that.
    pub(crate) fn given_up(
        kind: RefusalKind,
        evidence: &Evidence,
        request: &str,
        detail: impl Into<String>,
    ) -> Self {
        let status = match (evidence.not_run(), kind) {
            (Some(_), _) => StatusCode::SERVICE_UNAVAILABLE,
            (None, RefusalKind::Expired | RefusalKind::Stopping) => StatusCode::GATEWAY_TIMEOUT,
            (None, _) => StatusCode::BAD_GATEWAY,
        };
        let (detail, request) = (detail.into(), request.to_owned());
        Self {
            kind,
            status,
            outcome: evidence.outcome(),
            detail,
            request,
            retry_after: kind.retry_after(),
            call: None,
            load: None,
        }
    }

    /// The same with another `Retry-After` time.
    pub(crate) fn with_retry_after(self, retry_after: Millis) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }

    /// The same with the call that is refused, for the log.
    pub(crate) fn of_call(self, call: &Call) -> Self {
        self.of_caller(call.holder.as_ref(), call.rank(), call.age_ms)
    }

    /// The same for a call of this account, rank and age.
    pub(crate) fn of_caller(self, holder: Option<&KeyHolder>, rank: u8, age_ms: Millis) -> Self {
        let account = holder.map(|h| h.account.clone());
        Self { call: Some(Box::new(RefusedCall { account, rank, age_ms })), ..self }
    }

    /// The same with the load that led to it, for the log.
    pub(crate) fn with_load(self, load: Option<CallLoad>) -> Self {
        Self { load, ..self }
    }

    /// Whether it is certain that nothing ran.
    pub(crate) fn is_not_run(&self) -> bool {
        self.outcome == Outcome::NotRun
    }

    /// Logs and counts the refusal and returns the answer to the caller.
    pub(crate) fn respond(self, shared: &Shared) -> Response<Body> {
        let retry_after_ms = match self.status {
            StatusCode::SERVICE_UNAVAILABLE => self.retry_after,
            _ => None,
        };
        shared.metrics.refusals.with_label_values(&[self.kind.as_str()]).inc();
        let (call, load) = (self.call.as_ref(), self.load.as_ref());
        GatewayEvent::CallRefused(CallRefused {
            request: self.request,
            status: self.status.as_u16(),
            kind: self.kind.as_str(),
            detail: self.detail.clone(),
            retry_after_ms,
            config: shared.catalog.load().as_ref().map_or(0, |c| c.version),
            proof_ms: shared.config_freshness.load().age(shared.now()),
            account: call.and_then(|c| c.account.clone()),
            rank: call.map(|c| c.rank),
            age_ms: call.map(|c| c.age_ms),
            pressure: load.map(|l| thousandths(l.pressure)),
            share: load.and_then(|l| l.share).map(thousandths),
        })
        .log();
        let error = json!({ "error": {
            "kind": self.kind.as_str(), "outcome": self.outcome, "message": self.detail,
        } });
        let mut response = Response::new(json(&error));
        let refusal = ForwardRefusal { kind: self.kind.as_str().to_owned(), outcome: self.outcome };
        response.extensions_mut().insert(refusal);
        *response.status_mut() = self.status;
        let media = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, media);
        if let Some(ms) = retry_after_ms {
            let seconds = format!("{}.{:03}", ms / 1_000, ms % 1_000);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
