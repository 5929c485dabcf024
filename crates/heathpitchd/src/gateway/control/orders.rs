//! Orders to hold layers: sent for one state of an engine, and followed until they are done.
//!
//! An engine's entry in the store shows the end of an order. When that is overdue, or the store is
//! away, the engine itself is asked.

use std::rc::Rc;
use std::sync::Arc;

use heathpitch_core::{EngineEntry, Invariant, LayerRange, LayeredModel, Millis, check};
use heathpitch_net::{EngineStatus, OrderOutcome, ReleaseMode, RpcError};
use heathpitch_policy::{Assignment, LayoutReason};
use tokio::task::spawn_local;

use super::state::Control;
use super::{engines, looks, nodes};
use crate::gateway::event::GatewayEvent;

/// Time beside that of the load after which an engine is asked for the end of an order,
/// milliseconds.
const OVERDUE: Millis = 700;
/// Time between two questions to a busy engine at first, milliseconds; doubled each time.
const ASK_FIRST: Millis = 400;
/// Longest time between two questions to a busy engine, milliseconds.
const ASK_LONGEST: Millis = 1_600;

/// An order that was sent and is not known to be done.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pending {
    /// What the engine will hold; none if it is busy with an order of another planner.
    layers: Option<LayerRange>,
    ask: Millis,
    pause: Millis,
}

impl Pending {
    /// Layers that the engine will hold.
    pub(super) fn layers(&self) -> Option<LayerRange> {
        self.layers
    }

    fn again(self, now: Millis) -> Self {
        let pause = (self.pause * 2).min(ASK_LONGEST);
        Self { ask: now + pause, pause, ..self }
    }
}

/// What became of an order.
enum Sent {
    /// Taken, or perhaps taken.
    Taken,
    /// The engine is busy with another one.
    Busy,
    /// Not taken.
    Refused,
}

/// Forgets orders that are done, and asks engines whose orders are overdue.
pub(super) fn settle(control: &Rc<Control>) {
    let now = control.now();
    let entries = control.entries.borrow();
    let mut pending = control.pending.borrow_mut();
    pending.retain(|engine, p| entries.get(engine).is_some_and(|e| Some(e.layers) != p.layers));
    for (engine, p) in pending.iter_mut().filter(|(_, p)| now >= p.ask) {
        *p = p.again(now);
        if let Some(entry) = entries.get(engine) {
            spawn_local(ask(control.clone(), entry.clone()));
        }
    }
}

/// Orders an engine to hold the layers of an assignment.
pub(super) fn place(
    control: &Rc<Control>,
    model: &LayeredModel,
    engine: Arc<EngineEntry>,
    assignment: Assignment,
) {
    let Assignment { layers, reason, .. } = assignment;
    let card = engine.card.as_ref().and_then(|c| model.card(c.as_str()));
    let fits = card.is_some_and(|c| f64::from(layers.count()) * model.layer_mb <= c.memory_mb);
    check(Invariant::LayerMemory, fits);
    if !fits || layers.end > model.layers {
        log::error!("layers {layers} do not fit engine {}: not ordered", engine.id);
        return;
    }
    let share = f64::from(layers.count()) / f64::from(model.layers.max(1));
    let load = (model.load_ms as f64 * share) as Millis;
    let ask = control.now() + load + OVERDUE;
    let pending = Pending { layers: Some(layers), ask, pause: ASK_FIRST };
    control.pending.borrow_mut().insert(engine.id.clone(), pending);
    let control = control.clone();
    spawn_local(async move {
        match send(&control, &engine, layers, reason).await {
            Sent::Taken => {}
            Sent::Busy => {
                let ask = control.now() + ASK_FIRST;
                let pending = Pending { layers: None, ask, pause: ASK_FIRST };
                control.pending.borrow_mut().insert(engine.id.clone(), pending);
            }
            Sent::Refused => {
                control.pending.borrow_mut().remove(&engine.id);
            }
        }
    });
}

/// Asks an engine whether its order is done.
async fn ask(control: Rc<Control>, engine: Arc<EngineEntry>) {
    match engines::ask(&control, &engine).await {
        Ok(status) if !status.busy => {
            control.pending.borrow_mut().remove(&engine.id);
            control.orders.borrow_mut().insert(engine.id.clone(), status.orders);
            engines::correct(&control, &engine, &status);
        }
        Ok(_) => {}
        // What it was ordered to hold went with it, if it has ended; it is looked at again, and asked then.
        Err(RpcError::Connect(e)) => {
            log::warn!("engine {} cannot be asked for the end of its order: {e}", engine.id);
            control.pending.borrow_mut().remove(&engine.id);
            looks::leave(&control, &engine.id, "a question finds no connection");
        }
        Err(e) => log::warn!("engine {} does not tell its state: {e}", engine.id),
    }
}

/// Sends an order; with the count of orders from the engine itself if the known one is old.
async fn send(
    control: &Control,
    engine: &EngineEntry,
    layers: LayerRange,
    reason: LayoutReason,
) -> Sent {
    let main = control.shared.table.load().by_id(engine.id.as_str()).is_some_and(|s| s.is_primary);
    let release = release(reason, main);
    let mut orders = control.orders.borrow().get(&engine.id).copied().unwrap_or(0);
    for second in [false, true] {
        let sent = control.now();
        let answer = control.edges.orders.place(engine, layers, release, orders).await;
        let result = answer.map(|answer| control.heed(engine, "order", sent, answer));
        let word = match &result {
            Ok(OrderOutcome::Taken) => "taken".to_owned(),
            Ok(other) => format!("{other:?}"),
            Err(e) => e.to_string(),
        };
        let label = if word == "taken" { "taken" } else { "failed" };
        control.shared.metrics.orders.with_label_values(&["place", label]).inc();
        let id = engine.id.clone();
        GatewayEvent::LayersOrdered { engine: id, layers, reason, orders, result: word }.log();
        match result {
            Ok(OrderOutcome::Taken) => {
                control.orders.borrow_mut().insert(engine.id.clone(), orders + 1);
                return Sent::Taken;
            }
            Ok(OrderOutcome::Conflict(_)) if !second => match stand(control, engine).await {
                Some(status) if !status.busy && status.orders != orders => orders = status.orders,
                Some(_) | None => return Sent::Busy,
            },
            // Nothing was sent. Counted as taken it would stand in for layers that nobody loads, for as long as
            // the engine's entry stays.
            Err(RpcError::Connect(_)) => {
                looks::leave(control, &engine.id, "an order finds no connection");
                return Sent::Refused;
            }
            // An order without an answer may still be carried out: it stays pending.
            Err(_) => return Sent::Taken,
            Ok(OrderOutcome::Conflict(_)) => return Sent::Busy,
            Ok(OrderOutcome::Unknown | OrderOutcome::Refused(_)) => return Sent::Refused,
        }
    }
    Sent::Refused
}

/// How layers are given up: at once by a stand-in that has to close a gap.
fn release(reason: LayoutReason, main: bool) -> ReleaseMode {
    match reason {
        LayoutReason::Gap if !main => ReleaseMode::Immediate,
        LayoutReason::Gap
        | LayoutReason::Initial
        | LayoutReason::Reorder
        | LayoutReason::Relief
        | LayoutReason::Trim
        | LayoutReason::ExtraCopy
        | LayoutReason::Rebalance => ReleaseMode::Drain,
    }
}

/// An engine's state after it refused an order; that it had orders of another planner ends the
/// planning of a node whose lease is in doubt.
async fn stand(control: &Control, engine: &EngineEntry) -> Option<EngineStatus> {
    let status = match engines::ask(control, engine).await {
        Ok(status) => status,
        Err(e) => {
            log::warn!("engine {} does not tell its state: {e}", engine.id);
            return None;
        }
    };
    let known = control.orders.borrow().get(&engine.id).copied().unwrap_or(0);
    if status.orders > known && control.lease_doubted() {
        nodes::resign(control, "another node gives orders and the lease could not be renewed");
    }
    control.orders.borrow_mut().insert(engine.id.clone(), status.orders);
    Some(status)
}
