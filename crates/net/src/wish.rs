//! What an engine asks, beside its answer, of the node that it answers.

use heathpitch_core::{Millis, Rate};
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
    /// What it says of requests that it takes from all nodes together.
    pub limit: LimitWord,
}

/// What an answer says of the requests that its engine takes from all nodes together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitWord {
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
pub struct Answered<T> {
    /// What it says.
    pub said: T,
    /// Status that it says so with.
    pub status: u16,
    /// What it asks of this node.
    pub wish: EngineWish,
}

impl<T> Answered<T> {
    /// The same answer, read further by its status.
    pub fn map<U>(self, read: impl FnOnce(u16, T) -> U) -> Answered<U> {
        Answered { said: read(self.status, self.said), status: self.status, wish: self.wish }
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
