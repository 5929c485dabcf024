//! The final answer.

use heathpitch_core::{Attempt, Outcome, Path};
use heathpitch_policy::EndReason;

use super::Run;
use crate::event::Event;
use crate::filters::refusal::{Refusal, RefusalKind};

/// # Endings
impl Run {
    pub(super) async fn finish(&mut self, reason: EndReason) {
        self.close();
        let tokens = self.relay.sent().len() as u32;
        self.cx.traffic.shared.metrics.attempts.with_label_values(&["done"]).inc();
        let answer = self.writer.finish(&self.cx, reason, tokens).await;
        if let Some(dispatched) = self.dispatched.take() {
            dispatched.finish(answer);
        }
        self.cx.traffic.shared.metrics.requests.with_label_values(&["done"]).inc();
        self.log_end(Outcome::Done);
    }

    pub(super) async fn give_up(&mut self, outcome: Outcome) {
        self.close();
        let message = match (outcome, self.refusal_kind) {
            (_, RefusalKind::Expired) => "the request's deadline has passed",
            (Outcome::NotRun, RefusalKind::Overloaded) => {
                "the predicted first token is later than the deadline"
            }
            (Outcome::NotRun, _) => "no engines can accept the request now",
            (Outcome::Failed, _) => "an engine failed and the answer could not be completed",
            _ => "the connection to an engine was lost; the request may have run",
        };
        let refusal =
            Refusal::new(outcome, self.refusal_kind, message).with_retry_after(self.retry_after);
        match (self.dispatched.take(), self.relay.evidence().not_run()) {
            (Some(dispatched), Some(proof)) => dispatched.not_run(proof),
            (Some(dispatched), None) => dispatched.finish(refusal.stored_answer()),
            (None, _) => {}
        }
        self.writer.fail(&self.cx, refusal).await;
        self.log_end(outcome);
    }

    pub(super) fn log_route(&self, attempt: Attempt, path: &Path) {
        let stages = path.stages().iter().map(|s| (s.engine.clone(), s.layers)).collect();
        Event::Routed {
            request: self.cx.id.clone(),
            account: self.account.name.clone(),
            model: path.model().clone(),
            route: self.matched.route.name.clone(),
            attempt,
            stages,
            predicted_ms: self.predicted_ms.round() as u64,
            reason: self.reason,
        }
        .log();
    }

    pub(super) fn log_end(&self, outcome: Outcome) {
        Event::Finished {
            request: self.cx.id.clone(),
            account: self.account.name.clone(),
            outcome,
            tokens: self.relay.sent().len() as u32,
            attempts: self.relay.attempt().0,
            ms: self.cx.traffic.shared.now() - self.cx.start,
        }
        .log();
    }
}
