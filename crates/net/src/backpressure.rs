//! What an engine asks, beside its answer, of the node that it answers.

use heathpitch_core::{Millis, Rate};
use hyper::HeaderMap;
use hyper::header::RETRY_AFTER;

/// Longest rest that is understood, milliseconds: a day. One that asks for more has a fault, or will have
/// started again by then.
const REST_LONGEST: Millis = 86_400_000;

/// What an engine asks of the node that it answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackpressureSignal {
    /// Time for which it wants nothing from this node, milliseconds.
    pub pause: Option<Millis>,
    /// Whether it leaves, and wants no new work from anybody.
    pub draining: bool,
    /// What it says of requests that it takes from all nodes together.
    pub limit: AdvertisedLimit,
}

/// What an answer says of the requests that its engine takes from all nodes together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdvertisedLimit {
    /// Nothing that can be used: it cannot be read, or the answer may be another engine's, or of any time.
    #[default]
    Unknown,
    /// That there is no limit: it names none.
    Unlimited,
    /// So many a second.
    Named(Rate),
}

/// An engine's answer to a question or an order of this node's own, and what it asks for in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineResponse<T> {
    /// What it says.
    pub value: T,
    /// Status that it says so with.
    pub status: u16,
    /// What it asks of this node.
    pub backpressure: BackpressureSignal,
}

impl<T> EngineResponse<T> {
    /// The same answer, read further by its status.
    pub fn map<U>(self, read: impl FnOnce(u16, T) -> U) -> EngineResponse<U> {
        EngineResponse {
            value: read(self.status, self.value),
            status: self.status,
            backpressure: self.backpressure,
        }
    }
}

/// Why the time of a Retry-After cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is no number of seconds from 0 on")]
pub struct RetryAfterError {
    /// What stands there.
    pub text: String,
}

/// The time of a Retry-After in seconds, fractions included, rounded up to milliseconds; at most a day.
///
/// # Errors
///
/// [`RetryAfterError`] if it is no number, or a negative one.
///
/// # Examples
///
/// ```
/// use hyper::HeaderMap;
/// use hyper::header::{HeaderValue, RETRY_AFTER};
///
/// let mut headers = HeaderMap::new();
/// assert_eq!(heathpitch_net::retry_after(&headers), Ok(None));
/// headers.insert(RETRY_AFTER, HeaderValue::from_static("2.5"));
/// assert_eq!(heathpitch_net::retry_after(&headers), Ok(Some(2_500)));
/// ```
pub fn retry_after(headers: &HeaderMap) -> Result<Option<Millis>, RetryAfterError> {
    let Some(value) = headers.get(RETRY_AFTER) else { return Ok(None) };
    let text = String::from_utf8_lossy(value.as_bytes()).trim().to_owned();
    match text.parse::<f64>() {
        Ok(seconds) if seconds >= 0.0 => {
            Ok(Some(((seconds * 1e3).ceil() as Millis).min(REST_LONGEST)))
        }
        Ok(_) | Err(_) => Err(RetryAfterError { text }),
    }
}
