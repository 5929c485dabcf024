//! Request and response bodies, read with a size limit.

use bytes::Bytes;
use futures::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, Limited, StreamBody};
use hyper::body::Frame;
use serde::Serialize;
use tokio::sync::mpsc;

/// Body of outgoing requests and responses.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Error while reading or writing a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// Larger than the limit.
    #[error("the body exceeds the size limit")]
    TooLarge,
    /// The peer closed the connection before the end.
    #[error("the body is truncated")]
    Truncated,
}

/// An empty body.
pub fn empty() -> Body {
    Empty::new().map_err(|e| match e {}).boxed_unsync()
}

/// A body with the given bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|e| match e {}).boxed_unsync()
}

/// A JSON body; empty if `value` cannot be serialized.
pub fn json(value: &impl Serialize) -> Body {
    match serde_json::to_vec(value) {
        Ok(bytes) => full(bytes),
        Err(_) => empty(),
    }
}

/// A body streamed through a channel that buffers up to `capacity` chunks.
pub fn channel(capacity: usize) -> (mpsc::Sender<Result<Bytes, BodyError>>, Body) {
    let (tx, rx) = mpsc::channel(capacity);
    let chunks = stream::unfold(rx, |mut rx| async {
        let chunk: Result<Bytes, BodyError> = rx.recv().await?;
        Some((chunk.map(Frame::data), rx))
    });
    (tx, StreamBody::new(chunks).boxed_unsync())
}

/// Reads a whole body of at most `max_bytes` bytes.
///
/// # Errors
///
/// [`BodyError::TooLarge`] above the limit, [`BodyError::Truncated`] if the body ends early.
pub async fn read<B>(body: B, max_bytes: usize) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match Limited::new(body, max_bytes).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLarge),
        Err(_) => Err(BodyError::Truncated),
    }
}
