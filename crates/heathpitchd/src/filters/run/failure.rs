//! Attempt events, unresponsive engines and failed attempts.

use heathpitch_core::{Millis, Name};
use heathpitch_policy::{Broken, RelayEvent};
use tokio::task::JoinHandle;

use super::Run;
use crate::event::AttemptReason;
use crate::filters::attempt_event::AttemptEvent;
use crate::filters::probe;
use crate::filters::refusal::RefusalKind;
use crate::shared::ControlMessage;

/// # Failures
impl Run {
    /// Records what an event says about engines and token timing.
    pub(super) fn handle_event(&mut self, event: AttemptEvent) -> RelayEvent {
        let AttemptEvent { event, text, unavailable } = event;
        self.token_text = text;
        if let Some(name) = unavailable {
            self.mark_suspect(&name);
        }
        match &event {
            RelayEvent::Token { .. } => self.record_token(),
            RelayEvent::Broken { how, engine, .. } => self.record_failure(*how, engine.as_ref()),
            _ => {}
        }
        event
    }

    pub(super) fn record_token(&mut self) {
        let shared = &self.cx.traffic.shared;
        let now = shared.now();
        match self.relay.sent().len() {
            0 => shared.metrics.first_token.observe(seconds(now - self.cx.start)),
            _ => shared
                .metrics
                .token_gap
                .observe(seconds(now.saturating_sub(self.stall_detector.last()))),
        }
        self.stall_detector.token(now);
        self.probe_task = None;
        self.probe_after = 0;
    }

    pub(super) fn record_failure(&mut self, failure: Broken, engine: Option<&Name>) {
        self.reason = attempt_reason(failure);
        self.refusal_kind = match failure {
            Broken::Unsent => RefusalKind::NoPath,
            Broken::Refused => RefusalKind::Refused,
            Broken::Faulted | Broken::Lost => RefusalKind::Broken,
        };
        let attempts = &self.cx.traffic.shared.metrics.attempts;
        attempts.with_label_values(&[self.refusal_kind.as_str()]).inc();
        let head = self.current_path.as_ref().map(|p| &p.head().engine);
        if let Some(name) = engine.or(head).filter(|_| failure != Broken::Refused) {
            self.mark_suspect(name);
        }
        self.close();
    }

    /// Steers new requests of this node away from an engine and has it polled at once.
    pub(super) fn mark_suspect(&self, name: &Name) {
        let shared = &self.cx.traffic.shared;
        let fleet = shared.fleet.load();
        let engines = fleet.engines_for(&self.matched.model.name);
        if let Some(u) = engines.iter().find(|u| u.vm.name == *name) {
            u.gauge.record_failure(shared.now());
        }
        shared.notify_control(ControlMessage::Failed(name.clone()));
    }

    /// Probes every engine that a path may use, so that the next path avoids all that fail.
    pub(super) fn start_probe(&self) -> JoinHandle<Vec<Name>> {
        let fleet = self.cx.traffic.shared.fleet.load();
        let engines = fleet.engines_for(&self.matched.model.name).iter();
        let admitted =
            engines.filter(|u| self.matched.index.admits(&self.matched.route, u.labels()));
        let targets = probe::engine_targets(admitted);
        tokio::spawn(probe::find_suspects(self.cx.traffic.clone(), targets))
    }

    /// Abandons the path if one of its engines did not answer; otherwise keeps waiting.
    pub(super) fn handle_probe(&mut self, suspects: Vec<Name>) -> Option<RelayEvent> {
        self.probe_task = None;
        let now = self.cx.traffic.shared.now();
        self.probe_after = now + self.matched.route.settings.stall_ms;
        suspects.iter().for_each(|name| self.mark_suspect(name));
        let on_path = |n: &Name| self.current_path.as_ref().is_some_and(|p| p.uses(n.as_str()));
        let suspects: Vec<Name> = suspects.into_iter().filter(on_path).collect();
        (!suspects.is_empty()).then(|| self.stall(suspects))
    }

    pub(super) fn stall(&mut self, suspects: Vec<Name>) -> RelayEvent {
        self.reason = AttemptReason::Stalled;
        self.refusal_kind = RefusalKind::Broken;
        self.cx.traffic.shared.metrics.attempts.with_label_values(&["stalled"]).inc();
        RelayEvent::Stalled(suspects)
    }
}

fn seconds(ms: Millis) -> f64 {
    ms as f64 / 1_000.0
}

fn attempt_reason(failure: Broken) -> AttemptReason {
    match failure {
        Broken::Unsent => AttemptReason::Unsent,
        Broken::Refused => AttemptReason::Refused,
        Broken::Faulted => AttemptReason::Faulted,
        Broken::Lost => AttemptReason::Lost,
    }
}
