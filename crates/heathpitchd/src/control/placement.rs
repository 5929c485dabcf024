//! Placement: one planner in each failure domain, by a lease of the platform.
//!
//! Orders carry the lease's epoch, and an engine refuses one that is older than it has seen. So a
//! planner whose lease has lapsed, or that the platform cannot hear, goes on with engines that
//! check: whoever has come after it wins. Engines labelled `fence=no` get orders only while the
//! lease surely holds; an order that comes late there costs speed, never a promise, since an engine
//! runs nothing for a path that names layers or an epoch it does not hold.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use heathpitch_core::{Epoch, Index, Millis, Model, Name, RouteKind, Vm, VmRole};
use heathpitch_net::{Order, OrderError, OrderKind};
use heathpitch_policy::{
    EngineReport, LoadedLayers, ModelDemand, Move, PlacementEngine, plan_placement,
};

use super::config::note;
use super::state::Control;
use crate::event::Event;

/// Time between two looks at the failure domain.
const LOOK: Duration = Duration::from_millis(500);
/// Engines that load at once: the weight store's rate is limited.
const MAX_LOADS: usize = 4;
/// Time after which a load that does not show is forgotten, milliseconds.
const LOADED: Millis = 120_000;
/// Part of the lease that is kept as a margin for engines that check no epoch.
const MARGIN: u64 = 3;
/// Renewals in the time of a lease.
const RENEWALS: u64 = 3;

/// What one node knows as a planner.
#[derive(Debug, Default)]
struct Planner {
    epoch: Option<Epoch>,
    until: Millis,
    next: Millis,
    loading: HashMap<Name, (LoadedLayers, Millis)>,
}

/// Takes part in planning.
pub(super) async fn run(control: Rc<Control>) {
    if !control.shared.settings.planner {
        return;
    }
    let mut planner = Planner::default();
    loop {
        if control.now() >= planner.next {
            planner.renew(&control).await;
        }
        if let Some(epoch) = planner.epoch {
            planner.act(&control, epoch).await;
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// # Lease
impl Planner {
    /// Takes or renews the lease; others than its holder try in turn, as one node would.
    async fn renew(&mut self, control: &Control) {
        let settings = &control.shared.settings;
        let ttl = settings.timing.lease_ms;
        let start = control.now();
        let name = format!("planner/{}", settings.domain);
        let asked =
            control.edges.platform.lease(&name, &holder(control), Duration::from_millis(ttl));
        let answer = asked.await;
        note(control, "lease", &answer);
        match answer {
            Ok(lease) if lease.holder == holder(control) => {
                self.until = start + ttl;
                self.next = start + ttl / RENEWALS;
                self.lead(Some(lease.epoch));
            }
            Ok(_) => {
                self.next = start + control.wait(ttl);
                self.lead(None);
            }
            // Nobody else can take the lease from a platform that does not answer this node only
            // if it answers nobody; the epoch settles it where engines check.
            Err(_) => self.next = start + control.wait(ttl / RENEWALS),
        }
    }

    fn lead(&mut self, epoch: Option<Epoch>) {
        if self.epoch != epoch {
            let active = epoch.is_some();
            let shown = epoch.or(self.epoch).unwrap_or_default();
            Event::Planner { active, epoch: shown }.log();
            self.epoch = epoch;
            self.loading.clear();
        }
    }
}

/// # Orders
impl Planner {
    async fn act(&mut self, control: &Control, epoch: Epoch) {
        let now = control.now();
        let engines = near(control, now);
        self.settle(&engines, now);
        let index = control.replica.borrow().index();
        let wanted = wanted(&index, &engines);
        let placeable: Vec<PlacementEngine> =
            engines.iter().map(|(_, r)| self.placeable(r)).collect();
        let room = MAX_LOADS.saturating_sub(self.loading.len());
        for step in plan_placement(&wanted, &placeable).into_iter().take(room) {
            let Some((vm, _)) = engines.iter().find(|(vm, _)| vm.name == step.engine) else {
                continue;
            };
            let unfenced = vm.labels.0.get("fence").is_some_and(|f| f.as_str() == "no");
            let sure = self.until.saturating_sub(control.shared.settings.timing.lease_ms / MARGIN);
            if unfenced && control.now() >= sure {
                continue;
            }
            if !self.order(control, vm, &step, epoch).await {
                return;
            }
        }
    }

    /// Gives one order; false if a newer planner is known to be at work.
    async fn order(&mut self, control: &Control, vm: &Vm, step: &Move, epoch: Epoch) -> bool {
        let LoadedLayers { model, version, layers } = step.holding.clone();
        let kind =
            OrderKind::Load { model: model.clone(), version, layers, megabytes: step.megabytes };
        let answer = control.edges.engine.order(&vm.address, Order { epoch, kind }).await;
        Event::Placed {
            engine: vm.name.clone(),
            model,
            layers,
            megabytes: step.megabytes,
            epoch,
            reason: step.reason,
            taken: answer.is_ok(),
        }
        .log();
        match answer {
            Ok(()) => {
                let until = control.now() + LOADED;
                self.loading.insert(vm.name.clone(), (step.holding.clone(), until));
                true
            }
            Err(OrderError::Stale(_)) => {
                self.lead(None);
                false
            }
            Err(OrderError::Rpc(_)) => true,
        }
    }

    /// Forgets loads that show in reports, and those that never will.
    fn settle(&mut self, engines: &[(Vm, EngineReport)], now: Millis) {
        self.loading.retain(|name, (target, until)| {
            let report = engines.iter().find(|(vm, _)| vm.name == *name).map(|(_, r)| r);
            let shows = report.is_some_and(|r| holding(r).as_ref() == Some(target));
            report.is_some() && !shows && now < *until
        });
    }

    fn placeable(&self, report: &EngineReport) -> PlacementEngine {
        let loading = self.loading.get(&report.engine).map(|(h, _)| h.clone());
        PlacementEngine {
            engine: report.engine.clone(),
            memory: report.memory,
            layer: report.layer,
            link: report.link,
            holding: loading.or_else(|| holding(report)),
        }
    }
}

fn holder(control: &Control) -> Name {
    let life = control.shared.life;
    let text = format!("{}.{:x}", control.shared.settings.node, life.0);
    text.parse().unwrap_or_else(|_| control.shared.settings.node.clone())
}

/// Engines of this failure domain that may take new work.
fn near(control: &Control, now: Millis) -> Vec<(Vm, EngineReport)> {
    let domain = &control.shared.settings.domain;
    let health = control.health.borrow();
    let near = health.up(now).filter(|(vm, _)| vm.role == VmRole::Engine && vm.domain == *domain);
    let mut engines: Vec<_> = near.map(|(vm, r)| ((**vm).clone(), (**r).clone())).collect();
    engines.sort_by(|a, b| a.0.name.cmp(&b.0.name));
    engines
}

fn holding(report: &EngineReport) -> Option<LoadedLayers> {
    let model = report.model.clone()?;
    Some(LoadedLayers { model, version: report.version.clone(), layers: report.layers })
}

/// Models that routes lead to, with the engines their pools admit.
fn wanted(index: &Index, engines: &[(Vm, EngineReport)]) -> Vec<ModelDemand> {
    let mut models: Vec<&Model> = index.models.values().map(|m| &**m).collect();
    models.sort_by(|a, b| a.name.cmp(&b.name));
    models.into_iter().filter_map(|m| want(index, m, engines)).collect()
}

fn want(index: &Index, model: &Model, engines: &[(Vm, EngineReport)]) -> Option<ModelDemand> {
    let serves = |r: &heathpitch_core::Route| {
        r.kind == RouteKind::Model
            && (r.select.models.is_empty() || r.select.models.contains(&model.name))
    };
    let routes: Vec<_> = index.routes.iter().filter(|r| serves(r)).collect();
    let admitted = |vm: &Vm| routes.iter().any(|r| index.admits(r, &vm.labels));
    let allowed: BTreeSet<Name> =
        engines.iter().filter(|(vm, _)| admitted(vm)).map(|(vm, _)| vm.name.clone()).collect();
    if allowed.is_empty() {
        return None;
    }
    let of_model = engines.iter().filter(|(_, r)| r.model.as_ref() == Some(&model.name));
    let load: u32 = of_model.map(|(_, r)| r.running + r.queued).sum();
    let demand = 1.0 + f64::from(load);
    Some(ModelDemand { model: model.clone(), demand, allowed: Some(allowed) })
}
