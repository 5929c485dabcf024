//! What arrives from an engine, as the relay takes it.

use heathpitch_core::{Attempt, Name};
use heathpitch_net::{Frame, RefusalKind, RpcError, SendError};
use heathpitch_policy::{Broken, EndReason, RelayEvent};

/// An event of an attempt, with what goes along with it.
pub(crate) struct Arrival {
    pub(crate) event: RelayEvent,
    /// Text of a token.
    pub(crate) text: String,
    /// Engine that said that it cannot take such requests for now.
    pub(crate) unfit: Option<Name>,
}

/// # Construction
impl Arrival {
    /// A request that could not be sent.
    pub(crate) fn failed(attempt: Attempt, error: SendError) -> Self {
        let (how, engine, unfit) = match error {
            SendError::Refused(said) => {
                let unfit = matches!(said.kind, RefusalKind::Leaving | RefusalKind::NotHeld);
                (Broken::Refused, Some(said.engine.clone()), unfit.then_some(said.engine))
            }
            SendError::Fault(engine) => (Broken::Lost, Some(engine), None),
            SendError::Rpc(RpcError::Connect(_)) => (Broken::Unsent, None, None),
            SendError::Rpc(_) => (Broken::Lost, None, None),
        };
        let event = RelayEvent::Broken { attempt, how, engine };
        Self { event, text: String::new(), unfit }
    }

    /// A frame, or the end of the stream without one.
    pub(crate) fn framed(
        frame: Option<Result<Frame, RpcError>>,
        id: &str,
        current: Attempt,
    ) -> Self {
        match frame {
            Some(Ok(Frame::Token { request, attempt, position, token, text, layers }))
                if request == id =>
            {
                Self::of(RelayEvent::Token { attempt, position, token, layers }, text)
            }
            Some(Ok(Frame::End { request, attempt, count, stopped })) if request == id => {
                let reason = if stopped { EndReason::Stop } else { EndReason::Length };
                Self::of(RelayEvent::Ended { attempt, count, reason }, String::new())
            }
            Some(Ok(Frame::Fault { request, attempt, engine, .. })) if request == id => {
                let (how, engine) = (Broken::Faulted, Some(engine));
                Self::of(RelayEvent::Broken { attempt, how, engine }, String::new())
            }
            // Another request's frame, a broken stream, or one that ended without saying so.
            Some(_) | None => {
                let (how, engine) = (Broken::Lost, None);
                Self::of(RelayEvent::Broken { attempt: current, how, engine }, String::new())
            }
        }
    }

    fn of(event: RelayEvent, text: String) -> Self {
        Self { event, text, unfit: None }
    }
}
