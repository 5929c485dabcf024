//! Converts messages of an engine into events of the relay.

use heathpitch_core::{Attempt, Name};
use heathpitch_net::{Frame, RefusalKind, RpcError, SendError};
use heathpitch_policy::{Broken, EndReason, RelayEvent};

/// A relay event of one attempt, with data that the relay does not take.
pub(crate) struct AttemptEvent {
    pub(crate) event: RelayEvent,
    /// Text of the token.
    pub(crate) text: String,
    /// Engine that reported that it cannot accept such requests for now.
    pub(crate) unavailable: Option<Name>,
}

/// # Construction
impl AttemptEvent {
    /// Event for a request that could not be sent.
    pub(crate) fn from_error(attempt: Attempt, error: SendError) -> Self {
        let (failure, engine, unavailable) = match error {
            SendError::Refused(refusal) => {
                let unavailable =
                    matches!(refusal.kind, RefusalKind::Draining | RefusalKind::NotHeld);
                (
                    Broken::Refused,
                    Some(refusal.engine.clone()),
                    unavailable.then_some(refusal.engine),
                )
            }
            SendError::Fault(engine) => (Broken::Lost, Some(engine), None),
            SendError::Rpc(RpcError::Connect(_)) => (Broken::Unsent, None, None),
            SendError::Rpc(_) => (Broken::Lost, None, None),
        };
        let event = RelayEvent::Broken { attempt, how: failure, engine };
        Self { event, text: String::new(), unavailable }
    }

    /// Event for a received frame, or for a stream that ended without one.
    pub(crate) fn from_frame(
        frame: Option<Result<Frame, RpcError>>,
        id: &str,
        current: Attempt,
    ) -> Self {
        match frame {
            Some(Ok(Frame::Token { request, attempt, position, token, text, layers }))
                if request == id =>
            {
                Self::new(RelayEvent::Token { attempt, position, token, layers }, text)
            }
            Some(Ok(Frame::End { request, attempt, count, stopped })) if request == id => {
                let reason = if stopped { EndReason::Stop } else { EndReason::Length };
                Self::new(RelayEvent::Ended { attempt, count, reason }, String::new())
            }
            Some(Ok(Frame::Fault { request, attempt, engine, .. })) if request == id => {
                let (failure, engine) = (Broken::Faulted, Some(engine));
                Self::new(RelayEvent::Broken { attempt, how: failure, engine }, String::new())
            }
            // A frame of another request, a broken stream, or a stream without an end frame.
            Some(_) | None => {
                let (failure, engine) = (Broken::Lost, None);
                Self::new(
                    RelayEvent::Broken { attempt: current, how: failure, engine },
                    String::new(),
                )
            }
        }
    }

    fn new(event: RelayEvent, text: String) -> Self {
        Self { event, text, unavailable: None }
    }
}
