//! Arrivals, silent engines and broken attempts.

use heathpitch_core::{Millis, Name};
use heathpitch_policy::{Broken, RelayEvent};
use tokio::task::JoinHandle;

use super::Run;
use crate::event::Reason;
use crate::filters::arrival::Arrival;
use crate::filters::probe;
use crate::filters::refusal::RefusalKind;
use crate::shared::ToControl;

/// # Failures
impl Run {
    /// Takes note of what an arrival says of engines and of the stream's pace.
    pub(super) fn note(&mut self, arrival: Arrival) -> RelayEvent {
        let Arrival { event, text, unfit } = arrival;
        self.text = text;
        if let Some(name) = unfit {
            self.doubt(&name);
        }
        match &event {
            RelayEvent::Token { .. } => self.token(),
            RelayEvent::Broken { how, engine, .. } => self.broke(*how, engine.as_ref()),
            _ => {}
        }
        event
    }

    pub(super) fn token(&mut self) {
        let shared = &self.cx.traffic.shared;
        let now = shared.now();
        match self.relay.sent().len() {
            0 => shared.metrics.first.observe(seconds(now - self.cx.start)),
            _ => shared.metrics.gap.observe(seconds(now.saturating_sub(self.pace.last()))),
        }
        self.pace.token(now);
        self.look = None;
        self.warn = 0;
    }

    pub(super) fn broke(&mut self, how: Broken, engine: Option<&Name>) {
        self.reason = reason(how);
        self.why = match how {
            Broken::Unsent => RefusalKind::NoPath,
            Broken::Refused => RefusalKind::Refused,
            Broken::Faulted | Broken::Lost => RefusalKind::Broken,
        };
        let attempts = &self.cx.traffic.shared.metrics.attempts;
        attempts.with_label_values(&[self.why.as_str()]).inc();
        let head = self.current.as_ref().map(|p| &p.head().engine);
        if let Some(name) = engine.or(head).filter(|_| how != Broken::Refused) {
            self.doubt(name);
        }
        self.close();
    }

    /// Keeps new work of this node away from an engine, and has it looked at.
    pub(super) fn doubt(&self, name: &Name) {
        let shared = &self.cx.traffic.shared;
        let fleet = shared.fleet.load();
        let engines = fleet.engines_for(&self.matched.model.name);
        if let Some(u) = engines.iter().find(|u| u.vm.name == *name) {
            u.gauge.record_failure(shared.now());
        }
        shared.tell(ToControl::Failed(name.clone()));
    }

    /// Looks at every engine that a path could be made of, so that the next path avoids them all.
    pub(super) fn start_look(&self) -> JoinHandle<Vec<Name>> {
        let fleet = self.cx.traffic.shared.fleet.load();
        let engines = fleet.engines_for(&self.matched.model.name).iter();
        let admitted =
            engines.filter(|u| self.matched.index.admits(&self.matched.route, u.labels()));
        let targets = probe::candidates(admitted);
        tokio::spawn(probe::silent(self.cx.traffic.clone(), targets))
    }

    /// Leaves the path at once if one of its engines does not answer; else waits on.
    pub(super) fn found(&mut self, silent: Vec<Name>) -> Option<RelayEvent> {
        self.look = None;
        let now = self.cx.traffic.shared.now();
        self.warn = now + self.matched.route.settings.stall_ms;
        silent.iter().for_each(|name| self.doubt(name));
        let on_path = |n: &Name| self.current.as_ref().is_some_and(|p| p.uses(n.as_str()));
        let silent: Vec<Name> = silent.into_iter().filter(on_path).collect();
        (!silent.is_empty()).then(|| self.stalled(silent))
    }

    pub(super) fn stalled(&mut self, silent: Vec<Name>) -> RelayEvent {
        self.reason = Reason::Stalled;
        self.why = RefusalKind::Broken;
        self.cx.traffic.shared.metrics.attempts.with_label_values(&["stalled"]).inc();
        RelayEvent::Stalled(silent)
    }
}

fn seconds(ms: Millis) -> f64 {
    ms as f64 / 1_000.0
}

fn reason(how: Broken) -> Reason {
    match how {
        Broken::Unsent => Reason::Unsent,
        Broken::Refused => Reason::Refused,
        Broken::Faulted => Reason::Faulted,
        Broken::Lost => Reason::Lost,
    }
}
