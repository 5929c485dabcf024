//! An engine's answer that is a single body.
//!
//! It is held as a whole, so that one that is cut off can be replaced by that of another engine. What the memory for
//! answers does not hold is passed on as it arrives: no answer waits for others, and one without end holds no more than the
//! buffers of its connections, until it exceeds the limit on the size of one.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures::stream;
use heathpitch_core::Millis;
use heathpitch_net::{Body, BodyError, Connection, ConnectionHead, Framing, full_in_pieces};
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::{Body as _, Frame, Incoming};
use hyper::header::CONTENT_LENGTH;
use hyper::http::response;

use super::admit::Call;
use super::send::{Answer, Failure, release_connection};
use crate::gateway::content_budget::HeldBytes;
use crate::gateway::event::GatewayEvent;
use crate::gateway::shared::Shared;

/// An engine's answer, as far as it is held.
#[derive(Debug)]
pub(crate) struct HeldAnswer {
    pub(crate) parts: response::Parts,
    content: Bytes,
    /// Memory taken for it, until it is written to its caller.
    held: HeldBytes,
    /// What is still to be read.
    rest: Option<Rest>,
}

/// The part of an answer that is not held.
#[derive(Debug)]
struct Rest {
    connection: Connection,
    hop: ConnectionHead,
    body: Incoming,
    /// Largest size that it may have, bytes.
    max_bytes: usize,
}

impl Answer {
    /// Reads the answer, of at most `max_bytes`, as far as there is memory for it, and returns its connection to the pool
    /// after the end.
    pub(crate) async fn read(
        self,
        shared: &Shared,
        max_bytes: usize,
    ) -> Result<HeldAnswer, Failure> {
        let Self { connection, hop, parts, mut body, .. } = self;
        let lost = |why: &dyn std::fmt::Display| Failure::Lost(why.to_string());
        let mut held = HeldBytes::default();
        let mut fits = |length: usize| shared.contents.try_grow_answer(&mut held, length);
        let declared = body.size_hint().lower() as usize;
        if declared > max_bytes {
            return Err(lost(&BodyError::TooLarge));
        }
        let mut is_held = fits(declared);
        let mut content = BytesMut::with_capacity(if is_held { declared } else { 0 });
        while is_held {
            let Some(frame) = body.frame().await else {
                if content.is_empty() && hop.framing == Framing::UntilClose {
                    return Err(lost(&"the connection ended before the body"));
                }
                release_connection(connection, hop, &shared.pool);
                return Ok(HeldAnswer { parts, content: content.freeze(), held, rest: None });
            };
            let Ok(piece) = frame.map_err(|_| lost(&BodyError::Truncated))?.into_data() else {
                continue;
            };
            let length = content.len() + piece.len();
            if length > max_bytes {
                return Err(lost(&BodyError::TooLarge));
            }
            is_held = fits(length);
            content.extend_from_slice(&piece);
        }
        let rest = Some(Rest { connection, hop, body, max_bytes: max_bytes - content.len() });
        Ok(HeldAnswer { parts, content: content.freeze(), held, rest })
    }
}

impl HeldAnswer {
    /// The answer to the caller, after so many attempts.
    pub(crate) fn into_response(
        self,
        shared: &Arc<Shared>,
        call: &Call,
        attempts: u32,
    ) -> Response<Body> {
        let Self { mut parts, content, held, rest } = self;
        let end = CallEnd {
            request: call.head.id.to_string(),
            received: call.received,
            status: parts.status.as_u16(),
            attempts,
            first_ms: shared.now().saturating_sub(call.received),
        };
        let Some(rest) = rest else {
            end.log(shared, true);
            return Response::from_parts(parts, full_in_pieces(content, held));
        };
        GatewayEvent::AnswerRelayed { request: call.head.id.to_string(), held: content.len() }
            .log();
        if let Framing::Length(length) = rest.hop.framing {
            parts.headers.insert(CONTENT_LENGTH, length.into());
        }
        let tail = Tail {
            shared: shared.clone(),
            end,
            deadline: call.deadline,
            content: Some((content, held)),
            rest: Some(rest),
        };
        let body = stream::unfold(tail, |mut tail| async {
            let piece = tail.next().await?;
            Some((piece.map(Frame::data), tail))
        });
        Response::from_parts(parts, StreamBody::new(body).boxed_unsync())
    }
}

/// What the log tells of a call that has ended.
struct CallEnd {
    request: String,
    received: Millis,
    status: u16,
    attempts: u32,
    first_ms: Millis,
}

impl CallEnd {
    fn log(&self, shared: &Shared, complete: bool) {
        GatewayEvent::CallEnded {
            request: self.request.clone(),
            status: self.status,
            complete,
            attempts: self.attempts,
            events: 0,
            first_ms: self.first_ms,
            ms: shared.now().saturating_sub(self.received),
            pause_ms: 0,
        }
        .log();
    }
}

/// An answer that is passed on as it arrives.
struct Tail {
    shared: Arc<Shared>,
    end: CallEnd,
    deadline: Millis,
    /// What was read before.
    content: Option<(Bytes, HeldBytes)>,
    /// None after the end.
    rest: Option<Rest>,
}

impl Tail {
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        if let Some((content, _held)) = self.content.take()
            && !content.is_empty()
        {
            return Some(Ok(content));
        }
        loop {
            let rest = self.rest.as_mut()?;
            match self.shared.run_until(self.deadline, rest.body.frame()).await {
                Some(Some(Ok(frame))) => match frame.into_data() {
                    Ok(piece) if piece.len() > rest.max_bytes => return Some(self.cut()),
                    Ok(piece) => {
                        rest.max_bytes -= piece.len();
                        return Some(Ok(piece));
                    }
                    Err(_trailers) => {}
                },
                Some(None) => {
                    let Rest { connection, hop, .. } = self.rest.take()?;
                    release_connection(connection, hop, &self.shared.pool);
                    self.end.log(&self.shared, true);
                    return None;
                }
                Some(Some(Err(_))) => return Some(self.cut()),
                None => {
                    if self.shared.now() < self.deadline {
                        self.shared.stop.record_cut();
                    }
                    return Some(self.cut());
                }
            }
        }
    }

    /// Ends the answer so that its caller sees that it is not complete.
    fn cut(&mut self) -> Result<Bytes, BodyError> {
        self.rest = None;
        self.end.log(&self.shared, false);
        Err(BodyError::Truncated)
    }
}

impl Drop for Tail {
    /// Logs the end of an answer whose caller disconnected.
    fn drop(&mut self) {
        if self.rest.is_some() {
            self.end.log(&self.shared, false);
        }
    }
}
