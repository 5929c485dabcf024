//! Request and response bodies, read with a size limit.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use futures::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, StreamBody};
use hyper::body::{Frame, SizeHint};
use serde::Serialize;
use tokio::sync::mpsc;

/// Size of the pieces in which a large body is passed to its connection.
const PIECE_BYTES: usize = 64 << 10;

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

/// A body with the given bytes that is passed to its connection piece by piece; `held` is dropped with the last one, by
/// when all but a buffer of the connection has been written.
pub fn full_in_pieces<T: Send + Unpin + 'static>(content: Bytes, held: T) -> Body {
    Pieces { left: content, _held: held }.boxed_unsync()
}

/// Bytes of a known length that are taken in pieces.
struct Pieces<T> {
    left: Bytes,
    _held: T,
}

impl<T: Unpin> hyper::body::Body for Pieces<T> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.left.is_empty() {
            return Poll::Ready(None);
        }
        let piece = self.left.len().min(PIECE_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.left.split_to(piece)))))
    }

    fn is_end_stream(&self) -> bool {
        self.left.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left.len() as u64)
    }
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
{
    let mut body = std::pin::pin!(body);
    // A body that is too large is read up to the limit: its sender may read no answer before.
    let declared = body.size_hint().lower() as usize;
    let mut content = BytesMut::with_capacity(declared.min(max_bytes));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Truncated)?;
        let Ok(piece) = frame.into_data() else { continue };
        if content.len() + piece.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        content.extend_from_slice(&piece);
    }
    Ok(content.freeze())
}
