//! Choice of paths and dispatch.

use std::time::Duration;

use heathpitch_core::{Attempt, Millis, Path, Stage};
use heathpitch_net::{GenerateCall, Hop};
use heathpitch_policy::{RelayEvent, StallDetector, Upstream, choose};

use super::{Live, Run};
use crate::filters::guard::Opened;
use crate::filters::probe;
use crate::filters::refusal::RefusalKind;
use crate::filters::repeat::Granted;

/// Time for which a started request waits for a path to come back, milliseconds.
const HOLD: Millis = 3_000;
/// Time between two looks for a path.
const LOOK: Duration = Duration::from_millis(40);
/// Predicted first-token times that an attempt may take before it counts as stalled.
const STALL_FACTOR: f64 = 4.0;

/// # Attempts
impl Run {
    /// Chooses a path; a request that has started waits a while for one.
    pub(super) async fn choose(&mut self) -> RelayEvent {
        let retry = self.relay.attempt().0 > 0;
        let resumed = !self.relay.sent().is_empty();
        if retry && !resumed && !self.cx.traffic.limits.lock().budget.spend() {
            return RelayEvent::NoPath;
        }
        let start = self.cx.traffic.shared.now();
        loop {
            match self.path(retry) {
                Some(path) if !retry || self.alive(&path).await => return RelayEvent::Chosen(path),
                None if !retry => return RelayEvent::NoPath,
                Some(_) | None => {}
            }
            match self.cx.traffic.shared.now() {
                now if now >= self.matched.deadline => {
                    self.why = RefusalKind::Expired;
                    return RelayEvent::Expired;
                }
                now if now >= start + HOLD => return RelayEvent::NoPath,
                _ => {}
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Whether every engine of a path answers; those that do not are avoided from now on.
    pub(super) async fn alive(&mut self, path: &Path) -> bool {
        let silent = probe::silent(self.cx.traffic.clone(), probe::stages(path)).await;
        silent.iter().for_each(|name| self.doubt(name));
        silent.is_empty()
    }

    pub(super) fn path(&mut self, retry: bool) -> Option<Path> {
        let shared = &self.cx.traffic.shared;
        let fleet = shared.fleet.load();
        let prefixes = shared.prefixes.load();
        let engines = fleet.engines_for(&self.matched.model.name);
        let admits = |u: &Upstream| self.matched.index.admits(&self.matched.route, u.labels());
        let mut ask = heathpitch_policy::PathRequest {
            model: &self.matched.model,
            domain: &shared.settings.domain,
            tokens: self.prompt + self.relay.sent().len() as u32,
            chain: &self.chain,
            prefixes: &prefixes,
            allow_suspect: false,
            avoid: self.relay.avoid(),
            now: shared.now(),
            strategy: self.matched.route.settings.strategy,
        };
        let mut chosen = choose(engines, admits, &ask, &mut rand::rng());
        if chosen.is_err() {
            // Doubt and earlier failures are reasons to prefer others, not to refuse.
            ask.allow_suspect = true;
            if retry {
                ask.avoid = &[];
            }
            chosen = choose(engines, admits, &ask, &mut rand::rng());
        }
        let (path, predicted) = chosen.ok()?;
        let left = self.matched.deadline.saturating_sub(ask.now) as f64;
        if predicted > left && !retry {
            self.why = RefusalKind::Overloaded;
            self.back = predicted as Millis;
            return None;
        }
        self.predicted = predicted;
        Some(path)
    }

    pub(super) fn dispatch(&mut self, attempt: Attempt, path: Path) -> Option<RelayEvent> {
        if let Some(Granted::Keyed(hold)) = self.granted.take() {
            self.dispatched = hold.dispatch();
        }
        if self.keyed && self.dispatched.is_none() {
            return Some(RelayEvent::Abandoned);
        }
        self.log_route(attempt, &path);
        let shared = &self.cx.traffic.shared;
        let fleet = shared.fleet.load();
        let engines = fleet.engines_for(&self.matched.model.name);
        let on_path = engines.iter().filter(|u| path.uses(u.vm.name.as_str()));
        self.opened = Some(Opened::new(on_path.map(|u| u.gauge.clone()).collect()));
        let settings = &self.matched.route.settings;
        let soon = (self.predicted * STALL_FACTOR) as Millis;
        let first = settings.first_ms.max(soon);
        self.pace = StallDetector::new(settings.stall_ms, first, shared.now()).expecting(soon);
        self.look = None;
        self.warn = 0;
        let call = self.call(attempt, &path);
        let address = path.head().address.clone();
        self.live = Some(Live::Opening(self.cx.traffic.engine.generate(&address, call)));
        self.current = Some(path);
        None
    }

    pub(super) fn call(&self, attempt: Attempt, path: &Path) -> GenerateCall {
        let hop = |s: &Stage| Hop {
            engine: s.engine.clone(),
            address: s.address.clone(),
            layers: s.layers,
            epoch: s.epoch,
        };
        GenerateCall {
            request: self.cx.id.clone(),
            attempt,
            model: path.model().clone(),
            version: path.version().clone(),
            account: self.account.name.clone(),
            priority: self.ask.priority,
            prompt: self.ask.prompt.clone(),
            resumed: self.relay.sent().to_vec(),
            wanted: self.ask.wanted,
            options: self.ask.options.clone(),
            hops: path.stages().iter().map(hop).collect(),
        }
    }

    /// Closes the connection and the counts of an attempt.
    pub(super) fn close(&mut self) {
        self.live = None;
        self.opened = None;
    }

    pub(super) fn cancel(&mut self, attempt: Attempt) {
        self.close();
        if let Some(path) = &self.current {
            let request = self.cx.id.clone();
            let engine = &self.cx.traffic.engine;
            tokio::spawn(engine.cancel(&path.head().address, request, attempt));
        }
    }
}
