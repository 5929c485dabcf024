//! Backpressure that an engine signals in the headers of its responses.

use heathpitch_core::{Millis, Rate};
use hyper::HeaderMap;
use hyper::header::RETRY_AFTER;

/// Upper bound of a pause: one day. An engine that asks for more is faulty, or will have restarted
/// by then.
const MAX_PAUSE_MS: Millis = 86_400_000;

/// Backpressure signalled in one response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackpressureSignal {
    /// Time for which this node is to send nothing to the engine, milliseconds.
    pub pause: Option<Millis>,
    /// Whether the engine is draining and accepts no new work from any node.
    pub draining: bool,
    /// Rate limit of the engine over all nodes.
    pub limit: AdvertisedLimit,
}

/// Rate limit over all nodes, as an engine advertises it in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdvertisedLimit {
    /// No usable information: it cannot be parsed, or the response may come from another engine or
    /// be arbitrarily old.
    #[default]
    Unknown,
    /// The engine advertises no limit.
    Unlimited,
    /// Requests per second.
    Limited(Rate),
}

/// Response of an engine to a status query or an order of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineResponse<T> {
    /// Content.
    pub value: T,
    /// HTTP status.
    pub status: u16,
    /// Backpressure signalled with it.
    pub backpressure: BackpressureSignal,
}

impl<T> EngineResponse<T> {
    /// Converts the value, depending on the status.
    pub fn map<U>(self, read: impl FnOnce(u16, T) -> U) -> EngineResponse<U> {
        EngineResponse {
            value: read(self.status, self.value),
            status: self.status,
            backpressure: self.backpressure,
        }
    }
}

/// Invalid value of a Retry-After header.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a non-negative number of seconds")]
pub struct RetryAfterError {
    /// Value of the header.
    pub text: String,
}

/// Delay of a Retry-After header in milliseconds, rounded up and capped at one day.
///
/// The header holds seconds, with an optional fraction.
///
/// # Errors
///
/// [`RetryAfterError`] if the value is not a number or is negative.
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
            Ok(Some(((seconds * 1e3).ceil() as Millis).min(MAX_PAUSE_MS)))
        }
        Ok(_) | Err(_) => Err(RetryAfterError { text }),
    }
}
