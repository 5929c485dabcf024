//! A stream that this node sends to engines, or forwards to another node that reaches them.

use hyper::StatusCode;

use super::flow::{DispatchError, Flow, MAX_UNSENT};
use super::forward::{ForwardError, Forwarding, Progress};
use super::refusal::RefusalKind;
use super::send::Answer;

/// # Dispatch
impl Flow {
    /// Sends the stream until an engine takes it, here or through another node.
    pub(crate) async fn dispatch(&mut self) -> Result<Answer, DispatchError> {
        if self.call.forwarded.is_some() {
            // The cut that this node is about to find may be that of the other one.
            let (reach, service) = (&self.traffic.shared.reach, &self.call.service.name);
            reach.await_check(service).await;
            return match reach.is_cut_off(service) {
                true => Err(DispatchError::Refused(RefusalKind::NoEngine)),
                false => self.dispatch_to_engines().await,
            };
        }
        let sent = match self.is_cut_off() {
            true => Err(DispatchError::Refused(RefusalKind::NoEngine)),
            false => return self.dispatch_or_forward().await,
        };
        match self.or_forward(sent).await {
            // No other node takes it, and the way may be back.
            Err(DispatchError::Refused(_)) if self.attempts == 0 => {
                self.unsent = self.unsent.max(MAX_UNSENT - 1);
                self.dispatch_to_engines().await
            }
            other => other,
        }
    }

    async fn dispatch_or_forward(&mut self) -> Result<Answer, DispatchError> {
        let sent = self.dispatch_to_engines().await;
        self.or_forward(sent).await
    }

    /// Forwards a stream that this node cannot send to an engine, if another node may.
    async fn or_forward(
        &mut self,
        sent: Result<Answer, DispatchError>,
    ) -> Result<Answer, DispatchError> {
        match sent {
            Err(DispatchError::Refused(kind)) if self.may_forward(kind) => self.forward(kind).await,
            other => other,
        }
    }
}

/// # Other nodes
impl Flow {
    /// Whether this node does not reach the service, and may forward the stream.
    pub(super) fn is_cut_off(&self) -> bool {
        let reach = &self.traffic.shared.reach;
        self.call.forwarded.is_none() && reach.is_cut_off(&self.call.service.name)
    }

    /// Whether a stream that ends with `kind` here may still be served by another node.
    fn may_forward(&self, kind: RefusalKind) -> bool {
        let may_send = self.call.route.kind.retryable() || self.evidence.not_run().is_some();
        matches!(kind, RefusalKind::NoEngine | RefusalKind::Broken)
            && may_send
            && self.allows_retry()
            && Forwarding::applies(&self.traffic, &self.call, self.unreached)
    }

    /// Sends the stream to another node; `kind` is why this one does not serve it.
    async fn forward(&mut self, kind: RefusalKind) -> Result<Answer, DispatchError> {
        let (traffic, call) = (self.traffic.clone(), self.call.clone());
        let state = Progress {
            attempts: &mut self.attempts,
            evidence: &mut self.evidence,
            after: self.events.last(),
            events: self.events.count(),
        };
        match self.forwarding.send(&traffic, &call, state).await {
            Ok((answer, hop)) => {
                self.evidence.started();
                self.hop = Some(hop);
                match answer.parts.status {
                    StatusCode::OK => Ok(answer),
                    _ => Err(DispatchError::Failed(Box::new(answer))),
                }
            }
            Err(ForwardError::NoNode) => Err(DispatchError::Refused(kind)),
            Err(ForwardError::Lost) => Err(DispatchError::Refused(RefusalKind::Broken)),
            Err(ForwardError::Declined(declined)) => Err(DispatchError::Declined(declined)),
        }
    }
}
