//! Bodies of requests and responses, all bounded.

use bytes::Bytes;
use futures::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, Limited, StreamBody};
use hyper::body::Frame;
use serde::Serialize;
use tokio::sync::mpsc;

/// Body of every response sent and of every request made.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Why a body could not be read or written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is larger than its bound.
    #[error("the body is larger than allowed")]
    TooLarge,
    /// The other side went away.
    #[error("the body was cut off")]
    Truncated,
}

/// A body of nothing.
pub fn empty() -> Body {
    Empty::new().map_err(|e| match e {}).boxed_unsync()
}

/// A body of these bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|e| match e {}).boxed_unsync()
}

/// A body of JSON text.
pub fn json(value: &impl Serialize) -> Body {
    match serde_json::to_vec(value) {
        Ok(bytes) => full(bytes),
        Err(_) => empty(),
    }
}

/// A body fed through a channel that holds `room` pieces.
pub fn channel(room: usize) -> (mpsc::Sender<Result<Bytes, BodyError>>, Body) {
    let (tx, rx) = mpsc::channel(room);
    let pieces = stream::unfold(rx, |mut rx| async {
        let piece: Result<Bytes, BodyError> = rx.recv().await?;
        Some((piece.map(Frame::data), rx))
    });
    (tx, StreamBody::new(pieces).boxed_unsync())
}

/// Reads a whole body of at most `most` bytes.
///
/// # Errors
///
/// [`BodyError::TooLarge`] beyond the bound, [`BodyError::Truncated`] if it ends early.
pub async fn read<B>(body: B, most: usize) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match Limited::new(body, most).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLarge),
        Err(_) => Err(BodyError::Truncated),
    }
}
