//! Judges the heads of responses, wherever they are received.
//!
//! A response is framed by its head: by a length, by chunks, or by the end of its connection (RFC 9112, section 6.3). A head
//! that contradicts itself, or has a transfer coding that this client did not offer, is not a response: whoever reads it
//! otherwise would find another end of the body. What is passed on is framed by the body that was read, never by the head
//! that was received.
//!
//! A response that ends with its connection has to say that the connection closes: with a misspelt name of the length it
//! would not. A length that is too short cannot be told from more bytes behind a whole response.

use std::time::Duration;

use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Method, StatusCode, Version};

/// The only transfer coding that a client without `TE` may receive.
const CHUNKED: &str = "chunked";
/// Status codes of final responses.
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;
/// Headers of a single connection.
const HOP_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// How the end of a response's body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The request or the status allows no body.
    Bodiless,
    /// By its length, bytes.
    Length(u64),
    /// By its last chunk.
    Chunked,
    /// By the end of the connection, which cannot be told from that of its sender.
    UntilClose,
}

/// Why a head is not that of a final response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// The status is no final one.
    #[error("expected a final status, found {0}")]
    Status(u16),
    /// Both a length and a transfer coding are stated.
    #[error("both content-length and transfer-encoding are stated")]
    Contradiction,
    /// The transfer coding is not `chunked` alone.
    #[error("expected chunked as the only transfer coding")]
    Coding,
    /// The lengths are no numbers, or differ.
    #[error("content-length is not a single number")]
    Length,
    /// The body ends with the connection, which is not said to close.
    #[error("neither a length nor a transfer coding is stated, and the connection stays open")]
    NoEnd,
    /// A response without a body states one.
    #[error("a body is stated where the status allows none")]
    Body,
}

impl Framing {
    /// The framing of a response to a request with this method.
    ///
    /// # Errors
    ///
    /// [`FramingError`] if the head does not belong to a final response with one framing.
    ///
    /// # Examples
    ///
    /// ```
    /// use heathpitch_net::{Framing, FramingError};
    /// use hyper::{Method, Response};
    ///
    /// let response = Response::builder().header("content-length", "5, 5").body(()).unwrap();
    /// let (mut parts, ()) = response.into_parts();
    /// assert_eq!(Framing::of(&Method::GET, &parts), Ok(Framing::Length(5)));
    /// parts.headers.insert("transfer-encoding", "chunked".parse().unwrap());
    /// assert_eq!(Framing::of(&Method::GET, &parts), Err(FramingError::Contradiction));
    /// ```
    pub fn of(method: &Method, parts: &Parts) -> Result<Self, FramingError> {
        let status = parts.status.as_u16();
        if !FINAL_STATUSES.contains(&status) {
            return Err(FramingError::Status(status));
        }
        let is_coded = parts.headers.contains_key(TRANSFER_ENCODING);
        let length = match parts.headers.contains_key(CONTENT_LENGTH) {
            true if is_coded => return Err(FramingError::Contradiction),
            true => Some(stated_length(&parts.headers).ok_or(FramingError::Length)?),
            false => None,
        };
        if is_coded && !is_chunked(&parts.headers) {
            return Err(FramingError::Coding);
        }
        match (parts.status, length) {
            _ if *method == Method::HEAD => Ok(Self::Bodiless),
            (StatusCode::NOT_MODIFIED, _) => Ok(Self::Bodiless),
            (StatusCode::NO_CONTENT, Some(1..)) => Err(FramingError::Body),
            (StatusCode::NO_CONTENT, _) if is_coded => Err(FramingError::Body),
            (StatusCode::NO_CONTENT, _) => Ok(Self::Bodiless),
            (_, Some(length)) => Ok(Self::Length(length)),
            (_, None) if is_coded => Ok(Self::Chunked),
            (_, None) if is_last(parts) => Ok(Self::UntilClose),
            (_, None) => Err(FramingError::NoEnd),
        }
    }
}

/// What the head of a response says about its connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionHead {
    /// How its body ends.
    pub framing: Framing,
    /// Whether the connection may be kept: `None` if the sender closes it, `Some(None)` if it states no time.
    pub keep_alive: Option<Option<Duration>>,
}

impl ConnectionHead {
    /// Takes it out of the head of a response, which then has only what concerns all its recipients.
    ///
    /// The length is left where the body is not sent, and stands once.
    pub fn take(parts: &mut Parts) -> Self {
        let framing = parts.extensions.remove().unwrap_or(Framing::UntilClose);
        let keep_alive = keep_alive_timeout(&parts.headers);
        strip_hop_by_hop(&mut parts.headers);
        let length = match framing {
            Framing::Bodiless if parts.status != StatusCode::NO_CONTENT => {
                stated_length(&parts.headers)
            }
            _ => None,
        };
        match length {
            Some(length) => {
                parts.headers.insert(CONTENT_LENGTH, length.into());
            }
            None => {
                parts.headers.remove(CONTENT_LENGTH);
            }
        }
        Self { framing, keep_alive }
    }
}

/// The one length that all fields state.
fn stated_length(headers: &HeaderMap) -> Option<u64> {
    let mut stated = None;
    for value in headers.get_all(CONTENT_LENGTH) {
        for text in value.to_str().ok()?.split(',') {
            let text = text.trim();
            let is_number = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
            let length: u64 = text.parse().ok().filter(|_| is_number)?;
            if stated.is_some_and(|stated| stated != length) {
                return None;
            }
            stated = Some(length);
        }
    }
    stated
}

/// Whether the sender closes the connection after this response.
fn is_last(parts: &Parts) -> bool {
    parts.version == Version::HTTP_10 || keep_alive_timeout(&parts.headers).is_none()
}

fn is_chunked(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let only = codings.next().and_then(|coding| coding.to_str().ok());
    codings.next().is_none() && only.is_some_and(|c| c.trim().eq_ignore_ascii_case(CHUNKED))
}

/// Keep-alive time of a connection after a response with these headers.
///
/// `None` if the engine closes the connection; `Some(None)` if it states no time.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Option<Duration>> {
    let closes = |v: &HeaderValue| {
        v.to_str().is_ok_and(|v| v.split(',').any(|w| w.trim().eq_ignore_ascii_case("close")))
    };
    if headers.get_all(CONNECTION).iter().any(closes) {
        return None;
    }
    let stated = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let seconds = stated.and_then(|v| {
        v.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok())
    });
    Some(seconds.map(Duration::from_secs))
}

/// Removes hop-by-hop headers, including those named by `Connection`.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|v| v.trim().to_ascii_lowercase())
        .collect();
    for hop in HOP_HEADERS.iter().copied().chain(named.iter().map(String::as_str)) {
        headers.remove(hop);
    }
}
