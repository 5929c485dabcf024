//! Orders to load layers, each sent for a known state of an engine and tracked until it completes.
//!
//! An engine's entry in the store shows that an order has completed. If that is overdue, or the
//! store is unavailable, the engine itself is polled.

use std::rc::Rc;
use std::sync::Arc;

use heathpitch_core::{EngineEntry, Invariant, LayerRange, LayeredModel, Millis, check};
use heathpitch_net::{EngineStatus, OrderOutcome, ReleaseMode, RpcError};
use heathpitch_policy::{Assignment, LayoutReason};
use tokio::task::spawn_local;

use super::state::Control;
use super::{engines, nodes, reachability};
use crate::gateway::event::GatewayEvent;

/// Time beyond the estimated load time after which an engine is polled for the completion of an
/// order.
const OVERDUE_MS: Millis = 700;
/// First interval between polls of a busy engine; doubled each time.
const FIRST_POLL_MS: Millis = 400;
/// Longest interval between polls of a busy engine.
const MAX_POLL_MS: Millis = 1_600;

/// Order that was sent and is not known to be complete.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingOrder {
    /// Layers that the engine will hold; none if it is busy with an order of another planner.
    layers: Option<LayerRange>,
    poll_at: Millis,
    poll_interval: Millis,
}

impl PendingOrder {
    /// Layers that the engine will hold.
    pub(super) fn layers(&self) -> Option<LayerRange> {
        self.layers
    }

    fn next_poll(self, now: Millis) -> Self {
        let poll_interval = (self.poll_interval * 2).min(MAX_POLL_MS);
        Self { poll_at: now + poll_interval, poll_interval, ..self }
    }
}

/// Result of sending an order.
enum SendOutcome {
    /// Accepted, or possibly accepted.
    Accepted,
    /// The engine is busy with another order.
    Busy,
    Refused,
}

/// Drops orders that are complete, and polls engines whose orders are overdue.
pub(super) fn check_pending(control: &Rc<Control>) {
    let now = control.now();
    let entries = control.entries.borrow();
    let mut pending = control.pending.borrow_mut();
    pending.retain(|engine, p| entries.get(engine).is_some_and(|e| Some(e.layers) != p.layers));
    for (engine, p) in pending.iter_mut().filter(|(_, p)| now >= p.poll_at) {
        *p = p.next_poll(now);
        if let Some(entry) = entries.get(engine) {
            spawn_local(poll_completion(control.clone(), entry.clone()));
        }
    }
}

/// Orders an engine to load the layers of an assignment.
pub(super) fn order_layers(
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
        log::error!("layers {layers} do not fit engine {}; order not sent", engine.id);
        return;
    }
    let share = f64::from(layers.count()) / f64::from(model.layers.max(1));
    let load = (model.load_ms as f64 * share) as Millis;
    let poll_at = control.now() + load + OVERDUE_MS;
    let pending = PendingOrder { layers: Some(layers), poll_at, poll_interval: FIRST_POLL_MS };
    control.pending.borrow_mut().insert(engine.id.clone(), pending);
    let control = control.clone();
    spawn_local(async move {
        match send(&control, &engine, layers, reason).await {
            SendOutcome::Accepted => {}
            SendOutcome::Busy => {
                let poll_at = control.now() + FIRST_POLL_MS;
                let pending = PendingOrder { layers: None, poll_at, poll_interval: FIRST_POLL_MS };
                control.pending.borrow_mut().insert(engine.id.clone(), pending);
            }
            SendOutcome::Refused => {
                control.pending.borrow_mut().remove(&engine.id);
            }
        }
    });
}

/// Asks an engine whether its order is complete.
async fn poll_completion(control: Rc<Control>, engine: Arc<EngineEntry>) {
    match engines::query_status(&control, &engine).await {
        Ok(status) if !status.busy => {
            control.pending.borrow_mut().remove(&engine.id);
            control.orders.borrow_mut().insert(engine.id.clone(), status.orders);
            engines::update_layers(&control, &engine, &status);
        }
        Ok(_) => {}
        // If the engine has exited, the ordered layers are lost with it. It is probed, and polled
        // again once it is reachable.
        Err(RpcError::Connect(e)) => {
            log::warn!("engine {} could not be polled for completion of its order: {e}", engine.id);
            control.pending.borrow_mut().remove(&engine.id);
            reachability::mark_unreachable(
                &control,
                &engine.id,
                "connection failed while polling an order",
            );
        }
        Err(RpcError::Status(421)) => engines::mark_replaced(&control, &engine.id),
        Err(e) => log::warn!("status request to engine {} failed: {e}", engine.id),
    }
}

/// Sends an order; if the known count of orders is stale, retries once with that of the engine
/// itself.
async fn send(
    control: &Control,
    engine: &EngineEntry,
    layers: LayerRange,
    reason: LayoutReason,
) -> SendOutcome {
    let primary =
        control.shared.table.load().by_id(engine.id.as_str()).is_some_and(|s| s.is_primary);
    let release = release_mode(reason, primary);
    let mut orders = control.orders.borrow().get(&engine.id).copied().unwrap_or(0);
    for is_retry in [false, true] {
        let sent = control.now();
        let answer = control.clients.engines.place(engine, layers, release, orders).await;
        let result = answer.map(|answer| control.record_response(engine, "order", sent, answer));
        let text = match &result {
            Ok(OrderOutcome::Taken) => "taken".to_owned(),
            Ok(other) => format!("{other:?}"),
            Err(e) => e.to_string(),
        };
        let label = if text == "taken" { "taken" } else { "failed" };
        control.shared.metrics.orders.with_label_values(&["place", label]).inc();
        let id = engine.id.clone();
        GatewayEvent::LayersOrdered { engine: id, layers, reason, orders, result: text }.log();
        match result {
            Ok(OrderOutcome::Taken) => {
                control.orders.borrow_mut().insert(engine.id.clone(), orders + 1);
                return SendOutcome::Accepted;
            }
            Ok(OrderOutcome::Conflict(_)) if !is_retry => match requery(control, engine).await {
                Some(status) if !status.busy && status.orders != orders => orders = status.orders,
                Some(_) | None => return SendOutcome::Busy,
            },
            // Nothing was sent. If it counted as accepted, the planner would rely on layers that no
            // engine loads for as long as the engine's entry exists.
            Err(RpcError::Connect(_)) => {
                reachability::mark_unreachable(
                    control,
                    &engine.id,
                    "connection failed while sending an order",
                );
                return SendOutcome::Refused;
            }
            // An order without a response may still be executed, so it stays pending.
            Err(_) => return SendOutcome::Accepted,
            Ok(OrderOutcome::Conflict(_)) => return SendOutcome::Busy,
            Ok(OrderOutcome::Unknown) => {
                engines::mark_replaced(control, &engine.id);
                return SendOutcome::Refused;
            }
            // The same plan would give it the same order again.
            Ok(OrderOutcome::Refused(_)) => {
                reachability::mark_unreachable(control, &engine.id, "it rejected an order");
                return SendOutcome::Refused;
            }
        }
    }
    SendOutcome::Refused
}

/// How an engine releases its old layers: immediately if it is not a primary and has to close a
/// gap.
fn release_mode(reason: LayoutReason, primary: bool) -> ReleaseMode {
    match reason {
        LayoutReason::Gap if !primary => ReleaseMode::Immediate,
        LayoutReason::Gap
        | LayoutReason::Initial
        | LayoutReason::Reorder
        | LayoutReason::Relief
        | LayoutReason::Trim
        | LayoutReason::ExtraCopy
        | LayoutReason::Rebalance => ReleaseMode::Drain,
    }
}

/// Status of an engine that rejected an order with a conflict.
///
/// If it has orders of another planner and this node's lease may have expired, this node steps
/// down as planner.
async fn requery(control: &Control, engine: &EngineEntry) -> Option<EngineStatus> {
    let status = match engines::query_status(control, engine).await {
        Ok(status) => status,
        Err(e) => {
            log::warn!("status request to engine {} failed: {e}", engine.id);
            return None;
        }
    };
    let known = control.orders.borrow().get(&engine.id).copied().unwrap_or(0);
    if status.orders > known && control.lease_may_have_expired() {
        nodes::step_down(
            control,
            "another planner sends orders and the lease could not be renewed",
        );
    }
    control.orders.borrow_mut().insert(engine.id.clone(), status.orders);
    Some(status)
}
