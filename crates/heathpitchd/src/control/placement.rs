//! Placement: one planner per failure domain, elected by a lease of the platform.
//!
//! Orders carry the epoch of the lease, and an engine rejects an epoch older than the newest it has
//! seen. A planner whose lease has expired, or that cannot reach the platform, may therefore keep
//! ordering engines that check epochs: any later planner takes precedence. Engines labelled
//! `fence=no` get orders only while the lease certainly holds. A late order to such an engine costs
//! performance but not correctness, since an engine runs nothing for a path that names layers or an
//! epoch that it does not hold.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use heathpitch_core::{Epoch, Index, Millis, Model, Name, RouteKind, Vm, VmRole};
use heathpitch_net::{Order, OrderError, OrderKind};
use heathpitch_policy::{
    EngineReport, LoadedLayers, ModelDemand, Move, PlacementEngine, plan_placement,
};

use super::config::record_platform_call;
use super::state::Control;
use crate::event::Event;

/// Interval between two planning rounds.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of concurrent loads; the bandwidth of the weight store is limited.
const MAX_LOADS: usize = 4;
/// Time after which a load that no report confirms is dropped.
const LOAD_TIMEOUT_MS: Millis = 120_000;
/// Divisor of the lease time; the result is the safety margin for engines that check no epoch.
const LEASE_MARGIN_DIVISOR: u64 = 3;
/// Renewals per lease time.
const RENEWALS_PER_LEASE: u64 = 3;

/// Planner state of this node.
#[derive(Debug, Default)]
struct Planner {
    epoch: Option<Epoch>,
    lease_until: Millis,
    next_renewal: Millis,
    loading: HashMap<Name, (LoadedLayers, Millis)>,
}

/// Competes for the lease and plans while this node holds it.
pub(super) async fn run(control: Rc<Control>) {
    if !control.shared.settings.planner {
        return;
    }
    let mut planner = Planner::default();
    loop {
        if control.now() >= planner.next_renewal {
            planner.renew(&control).await;
        }
        if let Some(epoch) = planner.epoch {
            planner.plan(&control, epoch).await;
        }
        tokio::time::sleep(PLAN_INTERVAL).await;
    }
}

/// # Lease
impl Planner {
    /// Acquires or renews the lease; nodes without it share the attempts among them.
    async fn renew(&mut self, control: &Control) {
        let settings = &control.shared.settings;
        let ttl = settings.timing.lease_ms;
        let start = control.now();
        let name = format!("planner/{}", settings.domain);
        let request = control.clients.platform.lease(
            &name,
            &lease_holder(control),
            Duration::from_millis(ttl),
        );
        let answer = request.await;
        record_platform_call(control, "lease", &answer);
        match answer {
            Ok(lease) if lease.holder == lease_holder(control) => {
                self.lease_until = start + ttl;
                self.next_renewal = start + ttl / RENEWALS_PER_LEASE;
                self.set_epoch(Some(lease.epoch));
            }
            Ok(_) => {
                self.next_renewal = start + control.next_wait(ttl);
                self.set_epoch(None);
            }
            // The platform may still answer other nodes, so another node may acquire the lease;
            // engines that check epochs then reject the orders of this node.
            Err(_) => self.next_renewal = start + control.next_wait(ttl / RENEWALS_PER_LEASE),
        }
    }

    fn set_epoch(&mut self, epoch: Option<Epoch>) {
        if self.epoch != epoch {
            let active = epoch.is_some();
            let reported = epoch.or(self.epoch).unwrap_or_default();
            Event::Planner { active, epoch: reported }.log();
            self.epoch = epoch;
            self.loading.clear();
        }
    }
}

/// # Orders
impl Planner {
    async fn plan(&mut self, control: &Control, epoch: Epoch) {
        let now = control.now();
        let engines = local_engines(control, now);
        self.expire_loads(&engines, now);
        let index = control.replica.borrow().index();
        let demands = model_demands(&index, &engines);
        let candidates: Vec<PlacementEngine> =
            engines.iter().map(|(_, r)| self.placement_engine(r)).collect();
        let free_loads = MAX_LOADS.saturating_sub(self.loading.len());
        for step in plan_placement(&demands, &candidates).into_iter().take(free_loads) {
            let Some((vm, _)) = engines.iter().find(|(vm, _)| vm.name == step.engine) else {
                continue;
            };
            let unfenced = vm.labels.0.get("fence").is_some_and(|f| f.as_str() == "no");
            let safe_until = self
                .lease_until
                .saturating_sub(control.shared.settings.timing.lease_ms / LEASE_MARGIN_DIVISOR);
            if unfenced && control.now() >= safe_until {
                continue;
            }
            if !self.order(control, vm, &step, epoch).await {
                return;
            }
        }
    }

    /// Sends one order; returns false if an engine has seen a newer planner.
    async fn order(&mut self, control: &Control, vm: &Vm, step: &Move, epoch: Epoch) -> bool {
        let LoadedLayers { model, version, layers } = step.holding.clone();
        let kind =
            OrderKind::Load { model: model.clone(), version, layers, megabytes: step.megabytes };
        let answer = control.clients.engine.order(&vm.address, Order { epoch, kind }).await;
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
                let until = control.now() + LOAD_TIMEOUT_MS;
                self.loading.insert(vm.name.clone(), (step.holding.clone(), until));
                true
            }
            Err(OrderError::Stale(_)) => {
                self.set_epoch(None);
                false
            }
            Err(OrderError::Rpc(_)) => true,
        }
    }

    /// Drops loads that reports confirm, that have timed out, or whose engine is gone.
    fn expire_loads(&mut self, engines: &[(Vm, EngineReport)], now: Millis) {
        self.loading.retain(|name, (target, until)| {
            let report = engines.iter().find(|(vm, _)| vm.name == *name).map(|(_, r)| r);
            let confirmed = report.is_some_and(|r| loaded_layers(r).as_ref() == Some(target));
            report.is_some() && !confirmed && now < *until
        });
    }

    fn placement_engine(&self, report: &EngineReport) -> PlacementEngine {
        let loading = self.loading.get(&report.engine).map(|(h, _)| h.clone());
        PlacementEngine {
            engine: report.engine.clone(),
            memory: report.memory,
            layer: report.layer,
            link: report.link,
            holding: loading.or_else(|| loaded_layers(report)),
        }
    }
}

fn lease_holder(control: &Control) -> Name {
    let incarnation = control.shared.incarnation;
    let text = format!("{}.{:x}", control.shared.settings.node, incarnation.0);
    text.parse().unwrap_or_else(|_| control.shared.settings.node.clone())
}

/// Engines of this failure domain that accept new requests.
fn local_engines(control: &Control, now: Millis) -> Vec<(Vm, EngineReport)> {
    let domain = &control.shared.settings.domain;
    let health = control.health.borrow();
    let local = health.up(now).filter(|(vm, _)| vm.role == VmRole::Engine && vm.domain == *domain);
    let mut engines: Vec<_> = local.map(|(vm, r)| ((**vm).clone(), (**r).clone())).collect();
    engines.sort_by(|a, b| a.0.name.cmp(&b.0.name));
    engines
}

fn loaded_layers(report: &EngineReport) -> Option<LoadedLayers> {
    let model = report.model.clone()?;
    Some(LoadedLayers { model, version: report.version.clone(), layers: report.layers })
}

/// Demand for each routed model, with the engines that its routes admit.
fn model_demands(index: &Index, engines: &[(Vm, EngineReport)]) -> Vec<ModelDemand> {
    let mut models: Vec<&Model> = index.models.values().map(|m| &**m).collect();
    models.sort_by(|a, b| a.name.cmp(&b.name));
    models.into_iter().filter_map(|m| model_demand(index, m, engines)).collect()
}

fn model_demand(
    index: &Index,
    model: &Model,
    engines: &[(Vm, EngineReport)],
) -> Option<ModelDemand> {
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
