//! Layer planner: orders the engines of this failure domain to load the layers that the layout
//! assigns.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use heathpitch_core::{EngineEntry, EntryState, LayeredModel, Millis, Name};
use heathpitch_policy::{Worker, copy_counts, plan_layout};

use super::orders::{self, PendingOrder};
use super::state::Control;
use crate::gateway::event::GatewayEvent;

/// Interval between planning rounds.
const PLAN_INTERVAL: Duration = Duration::from_millis(150);
/// Time for which a new engine is reserved for the layers of the one that it may replace:
/// replacements start a second or two before the old engines leave.
const NEW_ENGINE_MS: Millis = 2_500;
/// If more than one in this many engines is unreachable, this node itself is taken to be isolated.
const ISOLATION_RATIO: usize = 3;

/// Plans while this node holds the planner's lease.
pub(super) async fn run(control: Rc<Control>) {
    loop {
        control.wait_until_planner().await;
        tokio::time::sleep(PLAN_INTERVAL).await;
        if control.is_planner() {
            plan(&control);
        }
    }
}

fn plan(control: &Rc<Control>) {
    let Some(catalog) = control.shared.catalog.load_full() else { return };
    for service in catalog.services.values() {
        if let Some(model) = &service.model {
            orders::check_pending(control);
            let engines = engines(control, &service.name);
            if control.is_reach_unsettled(&service.name) || is_isolated(control, &service.name) {
                continue;
            }
            if has_foreign_order(control) {
                continue;
            }
            let workers = workers(control, model, &engines);
            let all_empty = workers.iter().all(|w| w.layers.count() == 0);
            if all_empty && control.is_settling() {
                continue;
            }
            let plan = plan_layout(model, &workers);
            if !plan.is_empty() {
                log_plan(model, &service.name, &workers, plan.len());
            }
            for assignment in plan {
                let Some(engine) = engines.iter().find(|e| e.id == assignment.engine) else {
                    continue;
                };
                orders::order_layers(control, model, engine.clone(), assignment);
            }
        }
    }
}

fn log_plan(model: &LayeredModel, service: &Name, workers: &[Worker], moves: usize) {
    let copies = copy_counts(model.layers, workers.iter().map(|w| w.layers));
    GatewayEvent::LayoutPlanned {
        service: service.clone(),
        engines: workers.len(),
        empty: workers.iter().filter(|w| w.layers.count() == 0).count(),
        copies: copies.into_iter().min().unwrap_or(0),
        moves,
    }
    .log();
}

/// Whether so many engines of this failure domain are unreachable that this node is more likely
/// isolated itself.
fn is_isolated(control: &Control, service: &Name) -> bool {
    let domain = control.domain();
    let entries = control.entries.borrow();
    let local = entries.values().filter(|e| &e.service == service && e.domain == domain);
    let (mut total, mut unreachable) = (0, 0);
    for entry in local {
        total += 1;
        unreachable += usize::from(control.is_unreachable(&entry.id));
    }
    unreachable * ISOLATION_RATIO > total
}

/// Whether an engine is still executing an order of another planner, so that its future layers are
/// unknown.
fn has_foreign_order(control: &Control) -> bool {
    control.pending.borrow().values().any(|p| p.layers().is_none())
}

/// Engines of a service in this failure domain that are available for planning.
fn engines(control: &Control, service: &Name) -> Vec<Arc<EngineEntry>> {
    let domain = control.domain();
    let usable = |e: &&Arc<EngineEntry>| {
        &e.service == service
            && e.domain == domain
            && e.state == EntryState::Ready
            && !control.is_unreachable(&e.id)
            && !control.is_refusing(&e.id)
            && !control.replaced.borrow().contains(&e.id)
    };
    let mut engines: Vec<_> = control.entries.borrow().values().filter(usable).cloned().collect();
    engines.sort_by(|a, b| a.id.cmp(&b.id));
    engines
}

fn workers(control: &Control, model: &LayeredModel, engines: &[Arc<EngineEntry>]) -> Vec<Worker> {
    let pending = control.pending.borrow();
    let stats = control.engine_stats.borrow();
    let since = control.listed_since.borrow();
    let now = control.now();
    let worker = |e: &Arc<EngineEntry>| {
        let card = model.card(e.card.as_ref()?.as_str())?.clone();
        if e.layers.end > model.layers {
            log::warn!("engine {} holds layers {} beyond its model; not planned", e.id, e.layers);
            return None;
        }
        let ordered = pending.get(&e.id).and_then(PendingOrder::layers);
        let engine_stats = stats.get(&e.id);
        Some(Worker {
            engine: e.id.clone(),
            card,
            layers: ordered.unwrap_or(e.layers),
            assignable: !pending.contains_key(&e.id),
            open_requests: engine_stats.map_or(0, |s| s.gauge().count()),
            held_tokens: control.held_tokens(&e.id),
            limited: control.is_limited(e),
            is_new: since.get(&e.id).is_some_and(|at| now < at + NEW_ENGINE_MS),
        })
    };
    engines.iter().filter_map(worker).collect()
}
