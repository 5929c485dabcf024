//! Use of [`Balance`]: the loads of failure domains, and the domain that a call is drawn for.
//!
//! Loads follow from the engine table and from what this node measures itself. They are computed with the first
//! call after an interval has passed: searching a path in every domain for each call would take more processor time
//! than the call itself.

use std::collections::HashMap;

use heathpitch_core::{LayeredModel, Millis, Name, Path};
use heathpitch_policy::{
    Balance, ChainEngine, ChainQuery, DomainLoad, find_chain_in, has_capacity,
};
use parking_lot::Mutex;
use rand::Rng;

use super::engine_table::{EngineTable, MAX_UTILIZATION, PathQuery};
use super::event::GatewayEvent;
use super::forecast::PressureQuery;
use super::shared::Shared;

/// Interval of updates, milliseconds: that of the planners' exchange of reports.
const INTERVAL_MS: Millis = 250;
/// Tokens between two events of a stream, at most; a path whose steps take longer than the maximum pause divided by
/// this is too slow.
const EVENT_TOKENS: f64 = 5.0;

/// Where the path of a call lies, relative to its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Locality {
    /// In the home domain.
    Home,
    /// In the domain that the call was drawn for.
    Balanced,
    /// In other domains, since the home domain has no path with capacity.
    Overflow,
}

impl Locality {
    /// Locality of a path of a node in `home`, for a call that was drawn for a domain.
    pub(crate) fn of(path: &Path, table: &EngineTable, home: &Name, drawn: Option<&Name>) -> Self {
        let views = || path.stages().iter().filter_map(|s| table.by_id(s.engine.as_str()));
        match drawn {
            _ if views().all(|v| &v.entry.domain == home) => Self::Home,
            Some(drawn) if views().all(|v| &v.entry.domain == drawn) => Self::Balanced,
            _ => Self::Overflow,
        }
    }

    /// Value of the metric's label.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Home => "home",
            Self::Balanced => "balanced",
            Self::Overflow => "overflow",
        }
    }
}

/// A service whose calls are balanced.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BalancedService<'a> {
    pub(crate) name: &'a Name,
    pub(crate) model: &'a LayeredModel,
    /// Failure domain of the node.
    pub(crate) home: &'a Name,
}

/// Fractions of all services' calls that run in other failure domains.
#[derive(Debug, Default)]
pub(crate) struct Balances {
    services: Mutex<HashMap<Name, Timed>>,
}

#[derive(Debug)]
struct Timed {
    balance: Balance,
    /// Time of the next update.
    next: Millis,
}

/// # Drawing
impl Balances {
    /// Draws the domain for a call; none: the home domain. Updates the fractions if they are due.
    pub(crate) fn draw(
        &self,
        shared: &Shared,
        table: &EngineTable,
        service: BalancedService<'_>,
    ) -> Option<Name> {
        if !shared.settings.load().load.balance.is_on() {
            return None;
        }
        let now = shared.now();
        if self.is_due(shared, service, now) {
            let loads = domain_loads(table, service, Targets::of(shared, service.name), now);
            self.update(service.name, &loads, now);
        }
        let services = self.services.lock();
        services.get(service.name)?.balance.pick(rand::rng().random_range(0.0..1.0)).cloned()
    }

    /// Whether the fractions of a service are to be updated; the caller does so.
    fn is_due(&self, shared: &Shared, service: BalancedService<'_>, now: Millis) -> bool {
        let mut services = self.services.lock();
        if !services.contains_key(service.name) {
            let catalog = shared.catalog.load();
            services.retain(|s, _| catalog.as_ref().is_some_and(|c| c.services.contains_key(s)));
        }
        let fresh = || Timed { balance: Balance::new(service.home.clone()), next: 0 };
        let timed = services.entry(service.name.clone()).or_insert_with(fresh);
        let is_due = now >= timed.next;
        if is_due {
            timed.next = now + INTERVAL_MS;
        }
        is_due
    }

    /// Adjusts the fractions of a service to these loads and logs large changes.
    fn update(&self, service: &Name, loads: &[DomainLoad], now: Millis) {
        let mut services = self.services.lock();
        let Some(timed) = services.get_mut(service) else { return };
        timed.balance.update(loads, now);
        let noted = timed.balance.note_change(now).then(|| timed.balance.clone());
        drop(services);
        if let Some(balance) = noted {
            log_change(service, &balance, loads);
        }
    }
}

fn log_change(service: &Name, balance: &Balance, loads: &[DomainLoad]) {
    let rounded = |value: f64| (value * 1e3).round() / 1e3;
    GatewayEvent::BalanceChanged {
        service: service.clone(),
        fractions: balance.fractions().map(|(d, f)| (d.clone(), rounded(f))).collect(),
        pressures: loads.iter().map(|l| (l.domain.clone(), rounded(l.pressure.level()))).collect(),
    }
    .log();
}

/// The tightest times that the routes of a service ask for.
#[derive(Clone, Copy, Debug)]
struct Targets {
    /// Latency of the first event.
    latency: Option<Millis>,
    /// Pause between events.
    pause: Option<Millis>,
}

impl Targets {
    fn of(shared: &Shared, service: &Name) -> Self {
        let catalog = shared.catalog.load();
        let routes = || {
            let all = catalog.iter().flat_map(|c| c.routes());
            all.filter(|r| r.targets.iter().any(|t| &t.service == service))
        };
        let latency = routes().map(|r| r.latency_target_ms).min();
        Self { latency, pause: routes().filter_map(|r| r.max_pause_ms).min() }
    }
}

/// Loads of the failure domains that hold a complete path and whose engines' reports are recent.
fn domain_loads(
    table: &EngineTable,
    service: BalancedService<'_>,
    targets: Targets,
    now: Millis,
) -> Vec<DomainLoad> {
    let BalancedService { name, model, .. } = service;
    let query = PathQuery { service: name, model, tokens: model.mean_tokens(), now, current: None };
    let engines = table.chain_engines(&query, |s| s.is_available(now));
    let mut domains: Vec<&Name> = engines.iter().map(|l| &l.entry.domain).collect();
    domains.sort();
    domains.dedup();
    let load = |domain: &&Name| domain_load(table, &query, targets, domain, &engines);
    domains.iter().filter_map(load).collect()
}

fn domain_load(
    table: &EngineTable,
    query: &PathQuery<'_>,
    targets: Targets,
    domain: &Name,
    engines: &[ChainEngine],
) -> Option<DomainLoad> {
    let &PathQuery { service, model, now, .. } = query;
    let search = ChainQuery { model, name: service, home: domain, current: None };
    let (path, step_ms) = find_chain_in(&search, engines, domain)?;
    let views = table.engines_of(service).iter().filter(|v| &v.entry.domain == domain);
    // An engine without a report is idle as long as others of the domain are reported.
    let age = views.filter_map(|v| v.stats.occupancy().age(now)).min()?;
    let request = PressureQuery {
        service,
        model,
        prompt: model.typical_prompt,
        latency: targets.latency,
        now,
    };
    let pressure = table.pressure(&request, &path, |s| s.is_available(now));
    let inside: Vec<&ChainEngine> = engines.iter().filter(|l| &l.entry.domain == domain).collect();
    let capacity = layer_capacity(model, &inside) * MAX_UTILIZATION;
    let is_slow = targets.pause.is_some_and(|pause| step_ms * EVENT_TOKENS > pause as f64);
    let is_late = is_slow || pressure.start >= 1.0;
    Some(DomainLoad { domain: domain.clone(), pressure, capacity, age, is_late })
}

/// Tokens that all copies of the scarcest layer hold.
fn layer_capacity(model: &LayeredModel, engines: &[&ChainEngine]) -> f64 {
    let mut ends: Vec<u32> =
        engines.iter().flat_map(|l| [l.entry.layers.first, l.entry.layers.end]).collect();
    ends.retain(|layer| *layer < model.layers);
    ends.sort_unstable();
    ends.dedup();
    let capacity = |layer: &u32| -> f64 {
        let holds = |l: &&&ChainEngine| (l.entry.layers.first..l.entry.layers.end).contains(layer);
        let holders = engines.iter().filter(holds);
        holders.map(|l| model.token_capacity(&l.card, l.entry.layers.count()).max(0.0)).sum()
    };
    ends.iter().map(capacity).min_by(f64::total_cmp).unwrap_or(0.0)
}

/// The cheapest chain that lies entirely in `domain`, unless one of its engines is full or has just refused a call.
pub(crate) fn chain_within(
    query: &ChainQuery<'_>,
    engines: &[ChainEngine],
    domain: &Name,
) -> Option<Path> {
    let (path, _) = find_chain_in(query, engines, domain)?;
    has_capacity(&path, engines).then_some(path)
}
