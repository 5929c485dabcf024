//! Backpressure signals and drain notices in engine responses.
//!
//! A requested pause applies to this node only, through
//! [`Backpressure`](heathpitch_policy::Backpressure), which request threads share. A drain notice
//! applies to all nodes: it has the same effect as a draining entry, is sent to other nodes with
//! every request and response of the feed, and outlives the entry, which may be outdated.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use heathpitch_core::{EngineEntry, EntryState, Millis};
use heathpitch_net::{AdvertisedLimit, BackpressureSignal, EngineResponse, FeedDrain, RpcError};
use heathpitch_policy::{Backpressure, EngineIncarnation};

use super::state::Control;
use super::{engines, rights};
use crate::gateway::backpressure::ResponseInfo;
use crate::gateway::event::GatewayEvent;
use crate::gateway::quarantine_snapshot::incarnation_of;

/// Most drain notices in one message, about forty bytes each.
const MAX_DRAINS: usize = 256;
/// Interval between checks of engines that announced a drain and are still listed; each is polled
/// once per interval.
const RECHECK_INTERVAL: Duration = Duration::from_secs(5);

/// # Signals to this node
impl Control {
    /// Records the backpressure of a response to this node's own request, and returns the
    /// response's value.
    pub(super) fn record_response<T>(
        &self,
        engine: &EngineEntry,
        of: &'static str,
        sent: Millis,
        response: EngineResponse<T>,
    ) -> T {
        let EngineResponse { value, status, backpressure: signal } = response;
        let known = self.backpressure_of(engine);
        let limit = match signal.limit {
            // Responses to probes may lack the limit that responses to calls carry, so a missing
            // limit counts only once a probe response has carried one.
            AdvertisedLimit::Unlimited if !known.limit().is_in_probes() => AdvertisedLimit::Unknown,
            limit => limit,
        };
        if matches!(limit, AdvertisedLimit::Limited(_)) {
            known.limit().set_in_probes();
        }
        let signal = BackpressureSignal { limit, ..signal };
        let info = ResponseInfo { engine, of, status, sent };
        if self.shared.record_backpressure(info, signal, &known) {
            self.engine_draining(&incarnation_of(engine));
        }
        value
    }

    /// Backpressure of an engine toward this node.
    pub(super) fn backpressure_of(&self, engine: &EngineEntry) -> Arc<Backpressure> {
        let mut backpressure = self.backpressure.borrow_mut();
        backpressure
            .entry(engine.id.clone())
            .or_insert_with(|| self.new_backpressure(engine))
            .clone()
    }

    /// Initial backpressure of an engine: the limit that it advertised to other nodes.
    pub(super) fn new_backpressure(&self, engine: &EngineEntry) -> Arc<Backpressure> {
        let backpressure = Backpressure::default();
        let (incarnation, limits) = (incarnation_of(engine), self.limits.borrow());
        if let Some((rate, at)) = limits.get(&incarnation) {
            backpressure.limit().learn(Some(rate), at);
        }
        if limits.is_in_probes(&incarnation) {
            backpressure.limit().set_in_probes();
        }
        Arc::new(backpressure)
    }

    /// Health check of an engine; none if its backpressure forbids a check now, which takes a slot
    /// like a call.
    pub(super) async fn check_health(
        &self,
        engine: &EngineEntry,
        path: &str,
    ) -> Option<Result<EngineResponse<bool>, RpcError>> {
        let mut right = rights::acquire(self, engine).await.ok()?;
        let admission = self.backpressure_of(engine).admit_probe(right.as_mut(), self.now())?;
        let sent = self.now();
        let response = self.clients.engines.healthy(engine, path).await;
        drop(admission);
        Some(response.inspect(|response| {
            self.record_response(engine, "check", sent, *response);
        }))
    }

    /// Records an engine's drain notice to this node.
    pub(super) fn engine_draining(&self, incarnation: &EngineIncarnation) {
        if self.learn_drain(incarnation, 0, "engine response") {
            self.publish();
        }
    }

    /// Learns a drain notice of `age` ago from `by`, and returns whether it made a listed engine
    /// draining.
    fn learn_drain(&self, incarnation: &EngineIncarnation, age: Millis, by: &'static str) -> bool {
        if !self.drain_notices.borrow_mut().learn(incarnation.clone(), age, self.now()) {
            return false;
        }
        GatewayEvent::EngineDraining { engine: incarnation.engine.clone(), age_ms: age, by }.log();
        let listed = self.entries.borrow().get(&incarnation.engine).cloned();
        let Some(entry) = listed.filter(|e| e.started_at == incarnation.started_at) else {
            return false;
        };
        if entry.state == EntryState::Draining {
            return false;
        }
        let entry = EngineEntry { state: EntryState::Draining, ..(*entry).clone() };
        self.entries.borrow_mut().insert(incarnation.engine.clone(), Arc::new(entry));
        self.departing.borrow_mut().insert(incarnation.engine.clone(), self.now());
        true
    }
}

/// # Exchange with other nodes
impl Control {
    /// Drain notices learned after `serial`, and the serial of the last one returned.
    pub(super) fn drains_since(&self, serial: u64) -> (Vec<FeedDrain>, u64) {
        let (new, upto) = self.drain_notices.borrow().since(serial, MAX_DRAINS, self.now());
        let drains = new.into_iter().map(|(incarnation, age_ms)| FeedDrain {
            engine: incarnation.engine,
            started_at: incarnation.started_at,
            age_ms,
        });
        (drains.collect(), upto)
    }

    /// Learns drain notices that another node reported in a message sent at `sent` or later.
    pub(super) fn receive_drains(&self, drains: &[FeedDrain], sent: Millis) {
        let transit_ms = self.now().saturating_sub(sent);
        let mut changed = false;
        for drain in drains {
            let incarnation =
                EngineIncarnation { engine: drain.engine.clone(), started_at: drain.started_at };
            changed |= self.learn_drain(&incarnation, drain.age_ms + transit_ms, "another node");
        }
        if changed {
            self.publish();
        }
    }
}

/// Rechecks engines that are still listed long after their drain notice, while this node runs.
pub(super) async fn run(control: Rc<Control>) {
    loop {
        tokio::time::sleep(RECHECK_INTERVAL).await;
        control.drain_notices.borrow_mut().expire(control.now());
        let due = control.drain_notices.borrow().due_for_recheck(control.now());
        for incarnation in due {
            recheck(&control, &incarnation).await;
        }
    }
}

/// Checks whether an engine that the store lists as ready is still draining, which every response
/// shows.
async fn recheck(control: &Control, incarnation: &EngineIncarnation) {
    let entry = control.entries.borrow().get(&incarnation.engine).cloned();
    let Some(entry) = entry.filter(|e| e.started_at == incarnation.started_at) else { return };
    if !engines::is_listed_ready(control, &entry.id) {
        return;
    }
    let Some(service) = control.service(&entry.service) else { return };
    match control.check_health(&entry, &service.health_path).await {
        Some(Ok(response)) if response.value && !response.backpressure.draining => {}
        Some(Ok(_)) | None => return,
        Some(Err(e)) => return log::info!("health check of engine {} failed: {e}", entry.id),
    }
    control.drain_notices.borrow_mut().cancel(incarnation, control.now());
    control.backpressure_of(&entry).cancel_drain();
    let ready = EngineEntry { state: EntryState::Ready, ..(*entry).clone() };
    control.entries.borrow_mut().insert(entry.id.clone(), Arc::new(ready));
    control.departing.borrow_mut().remove(&entry.id);
    GatewayEvent::EngineDrainCancelled { engine: entry.id.clone() }.log();
    control.publish();
}
