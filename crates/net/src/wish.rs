//! What an engine asks, beside its answer, of the node that it answers.

use heathpitch_core::Millis;
use hyper::HeaderMap;
use hyper::header::RETRY_AFTER;

/// Longest rest that is understood, milliseconds: a day. One that asks for more has a fault, or will have
/// started again by then.
const REST_LONGEST: Millis = 86_400_000;

/// What an engine asks of the node that it answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineWish {
    /// Time for which it wants nothing from this node, milliseconds.
    pub rest: Option<Millis>,
    /// Whether it leaves, and wants no new work from anybody.
    pub leaves: bool,
}

impl EngineWish {
    /// Whether it asks for nothing.
    pub fn is_none(&self) -> bool {
        *self == Self::default()
    }
}

/// Why the time of a Retry-After cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is no number of seconds from 0 on")]
pub struct RestError {
    /// What stands there.
    pub text: String,
}

/// The time of a Retry-After in seconds, fractions included, rounded up to milliseconds; at most a day.
///
/// # Errors
///
/// [`RestError`] if it is no number, or a negative one.
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
pub fn retry_after(headers: &HeaderMap) -> Result<Option<Millis>, RestError> {
    let Some(value) = headers.get(RETRY_AFTER) else { return Ok(None) };
    let text = String::from_utf8_lossy(value.as_bytes()).trim().to_owned();
    match text.parse::<f64>() {
        Ok(seconds) if seconds >= 0.0 => {
            Ok(Some(((seconds * 1e3).ceil() as Millis).min(REST_LONGEST)))
        }
        Ok(_) | Err(_) => Err(RestError { text }),
    }
}
