//! Controller of layers: orders the engines of this failure domain to hold what a layout says.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use heathpitch_core::{EngineEntry, EntryState, LayeredModel, Millis, Name};
use heathpitch_policy::{Worker, copy_counts, plan_layout};

use super::orders::{self, PendingOrder};
use super::state::Control;
use crate::gateway::event::GatewayEvent;

/// Time between two looks.
const TICK: Duration = Duration::from_millis(150);
/// Time for which an engine that came is kept for the layers of one that it may replace,
/// milliseconds: replacements come a second or two before the old ones leave.
const NEW: Millis = 2_500;
/// One in so many engines that cannot be reached shows that this node is cut off.
const ISOLATED: usize = 3;

/// Plans for as long as this node holds the lease.
pub(super) async fn run(control: Rc<Control>) {
    loop {
        control.planning().await;
        tokio::time::sleep(TICK).await;
        if control.plans() {
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
            if isolated(control, &service.name) {
                continue;
            }
            if foreign(control) {
                continue;
            }
            let workers = workers(control, model, &engines);
            let fresh = workers.iter().all(|w| w.layers.count() == 0);
            if fresh && control.settles() {
                continue;
            }
            let plan = plan_layout(model, &workers);
            if !plan.is_empty() {
                log(model, &service.name, &workers, plan.len());
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

fn log(model: &LayeredModel, service: &Name, workers: &[Worker], moves: usize) {
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

/// Whether so many engines of this failure domain cannot be reached that it is rather this node
/// that is cut off.
fn isolated(control: &Control, service: &Name) -> bool {
    let domain = control.domain();
    let entries = control.entries.borrow();
    let near = entries.values().filter(|e| &e.service == service && e.domain == domain);
    let (mut all, mut lost) = (0, 0);
    for entry in near {
        all += 1;
        lost += usize::from(control.is_lost(&entry.id));
    }
    lost * ISOLATED > all
}

/// Whether an engine still carries out an order of another planner, so that what it will hold is
/// not known.
fn foreign(control: &Control) -> bool {
    control.pending.borrow().values().any(|p| p.layers().is_none())
}

/// Engines of a service in this failure domain that can be planned with.
fn engines(control: &Control, service: &Name) -> Vec<Arc<EngineEntry>> {
    let domain = control.domain();
    let usable = |e: &&Arc<EngineEntry>| {
        &e.service == service
            && e.domain == domain
            && e.state == EntryState::Ready
            && !control.is_lost(&e.id)
            && !control.is_refusing(&e.id)
            && !control.replaced.borrow().contains(&e.id)
    };
    let mut engines: Vec<_> = control.entries.borrow().values().filter(usable).cloned().collect();
    engines.sort_by(|a, b| a.id.cmp(&b.id));
    engines
}

fn workers(control: &Control, model: &LayeredModel, engines: &[Arc<EngineEntry>]) -> Vec<Worker> {
    let pending = control.pending.borrow();
    let tallies = control.tallies.borrow();
    let since = control.since.borrow();
    let now = control.now();
    let worker = |e: &Arc<EngineEntry>| {
        let card = model.card(e.card.as_ref()?.as_str())?.clone();
        if e.layers.end > model.layers {
            log::warn!("engine {} holds layers {}: not planned with", e.id, e.layers);
            return None;
        }
        let ordered = pending.get(&e.id).and_then(PendingOrder::layers);
        let tally = tallies.get(&e.id);
        Some(Worker {
            engine: e.id.clone(),
            card,
            layers: ordered.unwrap_or(e.layers),
            assignable: !pending.contains_key(&e.id),
            open_requests: tally.map_or(0, |t| t.gauge().count()),
            held_tokens: control.held_tokens(&e.id),
            limited: control.is_limited(e),
            is_new: since.get(&e.id).is_some_and(|at| now < at + NEW),
        })
    };
    engines.iter().filter_map(worker).collect()
}
