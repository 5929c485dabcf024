//! Headers with which nodes forward calls to each other.
//!
//! A forwarded call is the caller's request with its own key, so that it grants no more than the caller has.
//! It arrives on a listener of its own with the token of the node that takes it, and is never forwarded again.
//! Headers of these names mean nothing anywhere else.

use heathpitch_core::{ForwardToken, Millis, Outcome, Revision};
use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};

/// Token of the node that takes the call.
const TOKEN: HeaderName = HeaderName::from_static("x-heathpitch-forward-token");
/// Engines that the call may still be sent to; absent in a probe of the node.
const ATTEMPTS: HeaderName = HeaderName::from_static("x-heathpitch-forward-attempts");
/// Present if the call may have run already, so that sending it to an engine is a retry.
const RETRY: HeaderName = HeaderName::from_static("x-heathpitch-forward-retry");
/// Time since the caller first asked, milliseconds.
const AGE_MS: HeaderName = HeaderName::from_static("x-heathpitch-forward-age-ms");
/// Revision of the configuration by which the call was admitted.
const CONFIG: HeaderName = HeaderName::from_static("x-heathpitch-forward-config");
/// Kind of a response that the node gave itself.
const KIND: HeaderName = HeaderName::from_static("x-heathpitch-forward-kind");
/// Outcome of the call according to such a response.
const OUTCOME: HeaderName = HeaderName::from_static("x-heathpitch-forward-outcome");
/// All of them.
const ALL: [HeaderName; 7] = [TOKEN, ATTEMPTS, RETRY, AGE_MS, CONFIG, KIND, OUTCOME];

/// What a node adds to a request that it sends to another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardHead {
    /// Token of the node that takes the request.
    pub token: ForwardToken,
    /// The call; none if the request only checks whether the node responds.
    pub call: Option<ForwardedCall>,
}

/// A call that another node received from its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardedCall {
    /// Engines that it may still be sent to.
    pub attempts: u32,
    /// Whether it may have run already, so that sending it to an engine is a retry, which the node that sends it
    /// pays for.
    pub is_retry: bool,
    /// Time since its caller first asked.
    pub age_ms: Millis,
    /// Revision of the configuration by which it was admitted.
    pub config: Revision,
}

/// A response that a node gave to a forwarded call itself, rather than an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardRefusal {
    /// Kind of the refusal.
    pub kind: String,
    /// Outcome of the call.
    pub outcome: Outcome,
}

impl ForwardHead {
    /// Adds it to the headers of a request.
    pub fn write(&self, headers: &mut HeaderMap) {
        clear(headers);
        set(headers, TOKEN, &self.token.to_text());
        if let Some(call) = self.call {
            set(headers, ATTEMPTS, &call.attempts.to_string());
            set(headers, AGE_MS, &call.age_ms.to_string());
            set(headers, CONFIG, &call.config.0.to_string());
            if call.is_retry {
                set(headers, RETRY, "1");
            }
        }
    }

    /// Takes it from the headers of a request; none if there is no valid one.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let token = text(headers, &TOKEN).and_then(|t| t.parse().ok());
        let number = |name: &HeaderName| text(headers, name).and_then(|t| t.parse::<u64>().ok());
        let (attempts, age_ms) = (number(&ATTEMPTS), number(&AGE_MS));
        let config = Revision(number(&CONFIG).unwrap_or_default());
        let is_retry = headers.contains_key(RETRY);
        clear(headers);
        let call = attempts.zip(age_ms).map(|(attempts, age_ms)| ForwardedCall {
            attempts: attempts.min(u32::MAX.into()) as u32,
            is_retry,
            age_ms,
            config,
        });
        Some(Self { token: token?, call })
    }
}

impl ForwardRefusal {
    /// Marks the headers of a response as those of a refusal, or as those of an engine's answer if there is none.
    pub fn write(refusal: Option<&Self>, headers: &mut HeaderMap) {
        clear(headers);
        if let Some(refusal) = refusal {
            set(headers, KIND, &refusal.kind);
            set(headers, OUTCOME, refusal.outcome.as_str());
        }
    }

    /// Takes it from the headers of a response; none if an engine answered.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let kind = text(headers, &KIND).map(str::to_owned);
        let is_not_run = text(headers, &OUTCOME) == Some(Outcome::NotRun.as_str());
        clear(headers);
        let outcome = if is_not_run { Outcome::NotRun } else { Outcome::Unknown };
        Some(Self { kind: kind?, outcome })
    }
}

fn clear(headers: &mut HeaderMap) {
    for name in ALL {
        headers.remove(name);
    }
}

fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
