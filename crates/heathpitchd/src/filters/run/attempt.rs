//! Path selection and dispatch.

use std::time::Duration;

use heathpitch_core::{Attempt, Millis, Path, Stage};
use heathpitch_net::{GenerateCall, Hop};
use heathpitch_policy::{RelayEvent, StallDetector, Upstream, choose};

use super::{AttemptStream, Run};
use crate::filters::guard::OpenCounts;
use crate::filters::idempotency::Reservation;
use crate::filters::probe;
use crate::filters::refusal::RefusalKind;

/// Time a started request waits for a path to become available.
const PATH_WAIT_MS: Millis = 3_000;
/// Interval between two searches for a path.
const PATH_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Multiple of the predicted first-token time after which an attempt counts as stalled.
const STALL_FACTOR: f64 = 4.0;

/// # Attempts
impl Run {
    /// Chooses a path; a request that has started waits up to [`PATH_WAIT_MS`] for one.
    pub(super) async fn choose_path(&mut self) -> RelayEvent {
        let retry = self.relay.attempt().0 > 0;
        let resumed = !self.relay.sent().is_empty();
        if retry && !resumed && !self.cx.traffic.limits.lock().budget.spend() {
            return RelayEvent::NoPath;
        }
        let start = self.cx.traffic.shared.now();
        loop {
            match self.find_path(retry) {
                Some(path) if !retry || self.probe(&path).await => return RelayEvent::Chosen(path),
                None if !retry => return RelayEvent::NoPath,
                Some(_) | None => {}
            }
            match self.cx.traffic.shared.now() {
                now if now >= self.matched.deadline => {
                    self.refusal_kind = RefusalKind::Expired;
                    return RelayEvent::Expired;
                }
                now if now >= start + PATH_WAIT_MS => return RelayEvent::NoPath,
                _ => {}
            }
            tokio::time::sleep(PATH_POLL_INTERVAL).await;
        }
    }

    /// Probes every engine of a path and marks those that do not answer as suspect; returns whether
    /// all answered.
    pub(super) async fn probe(&mut self, path: &Path) -> bool {
        let suspects =
            probe::find_suspects(self.cx.traffic.clone(), probe::path_targets(path)).await;
        suspects.iter().for_each(|name| self.mark_suspect(name));
        suspects.is_empty()
    }

    pub(super) fn find_path(&mut self, retry: bool) -> Option<Path> {
        let shared = &self.cx.traffic.shared;
        let fleet = shared.fleet.load();
        let prefixes = shared.prefixes.load();
        let engines = fleet.engines_for(&self.matched.model.name);
        let admits = |u: &Upstream| self.matched.index.admits(&self.matched.route, u.labels());
        let mut path_request = heathpitch_policy::PathRequest {
            model: &self.matched.model,
            domain: &shared.settings.domain,
            tokens: self.prompt_len + self.relay.sent().len() as u32,
            chain: &self.prefix_blocks,
            prefixes: &prefixes,
            allow_suspect: false,
            avoid: self.relay.avoid(),
            now: shared.now(),
            strategy: self.matched.route.settings.strategy,
        };
        let mut result = choose(engines, admits, &path_request, &mut rand::rng());
        if result.is_err() {
            // Suspicion and earlier failures lower preference but do not rule an engine out.
            path_request.allow_suspect = true;
            if retry {
                path_request.avoid = &[];
            }
            result = choose(engines, admits, &path_request, &mut rand::rng());
        }
        let (path, predicted_ms) = result.ok()?;
        let remaining_ms = self.matched.deadline.saturating_sub(path_request.now) as f64;
        if predicted_ms > remaining_ms && !retry {
            self.refusal_kind = RefusalKind::Overloaded;
            self.retry_after = predicted_ms as Millis;
            return None;
        }
        self.predicted_ms = predicted_ms;
        Some(path)
    }

    pub(super) fn dispatch(&mut self, attempt: Attempt, path: Path) -> Option<RelayEvent> {
        if let Some(Reservation::Keyed(reservation)) = self.reservation.take() {
            self.dispatched = reservation.dispatch();
        }
        if self.has_key && self.dispatched.is_none() {
            return Some(RelayEvent::Abandoned);
        }
        self.log_route(attempt, &path);
        let shared = &self.cx.traffic.shared;
        let fleet = shared.fleet.load();
        let engines = fleet.engines_for(&self.matched.model.name);
        let on_path = engines.iter().filter(|u| path.uses(u.vm.name.as_str()));
        self.open_counts = Some(OpenCounts::new(on_path.map(|u| u.gauge.clone()).collect()));
        let settings = &self.matched.route.settings;
        let predicted_limit_ms = (self.predicted_ms * STALL_FACTOR) as Millis;
        let first_ms = settings.first_ms.max(predicted_limit_ms);
        self.stall_detector = StallDetector::new(settings.stall_ms, first_ms, shared.now())
            .expecting(predicted_limit_ms);
        self.probe_task = None;
        self.probe_after = 0;
        let call = self.generate_call(attempt, &path);
        let address = path.head().address.clone();
        self.stream =
            Some(AttemptStream::Connecting(self.cx.traffic.engine.generate(&address, call)));
        self.current_path = Some(path);
        None
    }

    pub(super) fn generate_call(&self, attempt: Attempt, path: &Path) -> GenerateCall {
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
            priority: self.request.priority,
            prompt: self.request.prompt.clone(),
            resumed: self.relay.sent().to_vec(),
            max_tokens: self.request.max_tokens,
            options: self.request.options.clone(),
            hops: path.stages().iter().map(hop).collect(),
        }
    }

    /// Closes the connection of an attempt and releases its counts.
    pub(super) fn close(&mut self) {
        self.stream = None;
        self.open_counts = None;
    }

    pub(super) fn cancel(&mut self, attempt: Attempt) {
        self.close();
        if let Some(path) = &self.current_path {
            let request = self.cx.id.clone();
            let engine = &self.cx.traffic.engine;
            tokio::spawn(engine.cancel(&path.head().address, request, attempt));
        }
    }
}
