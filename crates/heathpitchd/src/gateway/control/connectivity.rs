//! Detects services whose engines this node does not reach at all, and their return.
//!
//! Attempts of calls that fail, or that take long, and probes of silent streams are only suspicions: a single engine
//! may have ended, or be silent for a moment. [`Connectivity`](heathpitch_policy::Connectivity) decides how many engines
//! a check probes, each by a request on a new connection, since connections from before a cut may live on. While
//! a service is cut off, calls are forwarded to other nodes, and what this node found of its engines meanwhile is
//! void: it moves no layers, reports no exits, and forgets its suspicions with the return.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use heathpitch_core::{EngineEntry, EntryState, Millis, Name};
use heathpitch_policy::{CheckResult, Connectivity, Suspicion};
use rand::seq::SliceRandom;
use tokio::task::spawn_local;

use super::nodes;
use super::state::Control;
use crate::gateway::event::GatewayEvent;
use crate::gateway::shared::ReachSuspicion;

/// Timeout of a probe: a connection and an answer, many times the delay between failure domains.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// The same while a service is cut off: a late answer shows that the way is back, too.
const RETURN_PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Duration of a probe beyond which this process itself was stalled, so that the probe tells nothing.
const MAX_PROBE_TIME: Duration = Duration::from_millis(400);
/// Interval between looks for probes that are due while a service is cut off; also bounds their number.
const PROBE_INTERVAL: Duration = Duration::from_millis(125);
/// Engines probed to confirm that one that seems to have exited is not behind a cut.
const CONFIRMING_PROBES: usize = 8;
/// Time after the return of a service for which this node plans no layers: its engines were not observed.
const SETTLE_MS: Millis = 1_500;

/// Connectivity to the services, by name.
#[derive(Debug, Default)]
pub(super) struct ServiceConnectivity {
    services: HashMap<Name, Connectivity>,
    cut_since: HashMap<Name, Millis>,
    returned_at: HashMap<Name, Millis>,
}

/// # Suspicion
impl Control {
    /// Checks whether a service is cut off from this node, unless an engine answered since the suspicion.
    pub(super) fn check_reach(self: &Rc<Self>, suspicion: &ReachSuspicion) {
        let ReachSuspicion { service, why, since } = suspicion;
        let engines = self.service_engines(service);
        let answered = self.contact_at(service).is_some_and(|at| at > *since);
        let (count, is_checking) = {
            let mut connectivity = self.connectivity.borrow_mut();
            let way = connectivity.services.entry(service.clone()).or_default();
            let count = match answered {
                true => None,
                false => way.suspect(*why, engines.len(), self.now()),
            };
            (count, way.is_checking())
        };
        match count {
            Some(count) => {
                let control = self.clone();
                let service = service.clone();
                spawn_local(async move {
                    check(&control, &service, engines, count).await;
                    control.shared.reach.set_checking(&service, false);
                });
            }
            None => self.shared.reach.set_checking(service, is_checking),
        }
    }

    /// Checks the reach of a service because a probe of one of its engines failed.
    pub(super) fn probe_failed(self: &Rc<Self>, engine: &Name) {
        let service = self.entries.borrow().get(engine).map(|e| e.service.clone());
        if let Some(service) = service {
            let since = self.now();
            self.check_reach(&ReachSuspicion { service, why: Suspicion::Failed, since });
        }
    }

    /// Whether an engine of a service answers this node now, other than the one that seems to have exited.
    pub(super) async fn confirms_reach(&self, of: &EngineEntry) -> bool {
        let mut engines = self.service_engines(&of.service);
        engines.retain(|e| e.id != of.id);
        // Those of one failure domain may have exited together.
        engines.shuffle(&mut rand::rng());
        // A service with one engine leaves nothing to compare with.
        engines.is_empty() || any_responds(self, &engines, CONFIRMING_PROBES).await == Some(true)
    }

    /// Engines of a service in random order, those of this failure domain first. Whatever layers they hold, they show
    /// whether the way exists; those at which calls can begin may all have exited.
    fn service_engines(&self, service: &Name) -> Vec<Arc<EngineEntry>> {
        let is_ready =
            |e: &&Arc<EngineEntry>| &e.service == service && e.state == EntryState::Ready;
        let mut engines: Vec<_> =
            self.entries.borrow().values().filter(is_ready).cloned().collect();
        engines.shuffle(&mut rand::rng());
        let domain = self.domain();
        engines.sort_by_key(|e| e.domain != domain);
        engines
    }

    fn contact_at(&self, service: &Name) -> Option<Millis> {
        let table = self.shared.table.load();
        table.engines_of(service).iter().filter_map(|v| v.stats.contact_at()).max()
    }
}

/// # State
impl Control {
    /// Whether a service is cut off from this node, or returned so recently that its engines are not observed
    /// yet.
    pub(super) fn is_reach_unsettled(&self, service: &Name) -> bool {
        let returned_at = self.connectivity.borrow().returned_at.get(service).copied();
        self.shared.reach.is_cut_off(service)
            || returned_at.is_some_and(|at| self.now() < at + SETTLE_MS)
    }

    /// Whether any service is cut off from this node.
    pub(super) fn is_cut_off(&self) -> bool {
        !self.connectivity.borrow().cut_since.is_empty()
    }

    fn publish_reach(&self) {
        let cut_off = self.connectivity.borrow().cut_since.keys().cloned().collect();
        self.shared.reach.set_cut_off(cut_off);
        self.shared.metrics.cut_off.set(self.connectivity.borrow().cut_since.len() as i64);
        self.forwarders_wanted.notify_waiters();
    }

    /// Records that a service is cut off.
    fn cut_off(self: &Rc<Self>, service: &Name, engines: usize, probed: usize) {
        let now = self.now();
        self.connectivity.borrow_mut().cut_since.insert(service.clone(), now);
        let addresses: Vec<_> = {
            let entries = self.entries.borrow();
            let of_service = entries.values().filter(|e| &e.service == service);
            of_service.map(|e| e.address).collect()
        };
        // Idle connections may be dead, and would cost the first calls after the return an attempt.
        addresses.into_iter().for_each(|address| self.shared.pool.close_idle(address));
        self.publish_reach();
        let service = service.clone();
        GatewayEvent::ServiceReach { service, cut_off: true, engines, probed, cut_ms: None }.log();
        nodes::yield_planning(self);
    }

    /// Records that a service is reached again, and forgets what was found of its engines meanwhile.
    fn returned(&self, service: &Name, engines: usize) {
        let now = self.now();
        let since = {
            let mut connectivity = self.connectivity.borrow_mut();
            connectivity.returned_at.insert(service.clone(), now);
            // The same link may carry the ways to other services.
            connectivity.services.values_mut().for_each(|way| way.probe_now(now));
            connectivity.cut_since.remove(service)
        };
        let of_service: Vec<Name> = {
            let entries = self.entries.borrow();
            let found = entries.values().filter(|e| &e.service == service);
            found.map(|e| e.id.clone()).collect()
        };
        for engine in &of_service {
            self.unreachable.borrow_mut().remove(engine);
            self.clear_suspicion(engine);
        }
        self.publish_reach();
        self.publish();
        let cut_ms = since.map(|since| now.saturating_sub(since));
        let service = service.clone();
        GatewayEvent::ServiceReach { service, cut_off: false, engines, probed: 1, cut_ms }.log();
    }
}

/// Probes engines of a service until one answers or enough do not.
async fn check(
    control: &Rc<Control>,
    service: &Name,
    engines: Vec<Arc<EngineEntry>>,
    first: usize,
) {
    let (mut probed, mut count) = (0, first);
    loop {
        let end = (probed + count).min(engines.len());
        let responds = any_responds(control, &engines[probed..end], count).await;
        probed = end;
        let result = {
            let mut connectivity = control.connectivity.borrow_mut();
            let way = connectivity.services.entry(service.clone()).or_default();
            match responds {
                Some(any) => way.record_check(any, probed, engines.len(), control.now()),
                None => return way.cancel_check(),
            }
        };
        match result {
            CheckResult::Connected => return,
            CheckResult::Undecided(more) => count = more,
            CheckResult::CutOff => return control.cut_off(service, engines.len(), probed),
        }
    }
}

/// Whether any of at most `count` engines answers on a new connection; none if this process was stalled
/// meanwhile.
async fn any_responds(
    control: &Control,
    engines: &[Arc<EngineEntry>],
    count: usize,
) -> Option<bool> {
    let start = Instant::now();
    let probed = engines.iter().take(count);
    let mut probes: FuturesUnordered<_> =
        probed.map(|engine| responds(control, engine, PROBE_TIMEOUT)).collect();
    while let Some(responds) = probes.next().await {
        if responds {
            return Some(true);
        }
    }
    (start.elapsed() < MAX_PROBE_TIME).then_some(false)
}

/// Whether an engine answers on a new connection in time.
async fn responds(control: &Control, engine: &EngineEntry, limit: Duration) -> bool {
    let answer = control.clients.engines.responds(engine);
    let responds = tokio::time::timeout(limit, answer).await.unwrap_or(false);
    let label = if responds { "answered" } else { "failed" };
    control.shared.metrics.reach_probes.with_label_values(&[label]).inc();
    responds
}

/// Probes services that are cut off, one after the other, until they are reached again.
pub(super) async fn run(control: Rc<Control>) {
    let mut turn = 0_usize;
    let mut answered = false;
    loop {
        // An answered probe is repeated at once.
        if !std::mem::take(&mut answered) {
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
        let now = control.now();
        let due: Vec<Name> = {
            let connectivity = control.connectivity.borrow();
            let due = connectivity.services.iter().filter(|(_, way)| way.is_probe_due(now));
            due.map(|(service, _)| service.clone()).collect()
        };
        if due.is_empty() {
            continue;
        }
        turn = turn.wrapping_add(1);
        let service = due[turn % due.len()].clone();
        let engines = control.service_engines(&service);
        let mut shuffled: Vec<_> = engines.iter().collect();
        shuffled.shuffle(&mut rand::rng());
        let Some(engine) = shuffled.first().map(|e| (*e).clone()) else {
            forget(&control, &service);
            continue;
        };
        answered = responds(&control, &engine, RETURN_PROBE_TIMEOUT).await;
        let is_back = {
            let mut connectivity = control.connectivity.borrow_mut();
            let way = connectivity.services.entry(service.clone()).or_default();
            way.record_probe(answered, control.now())
        };
        if is_back {
            control.returned(&service, engines.len());
        }
    }
}

/// Forgets a service without engines, which are gone for all nodes.
fn forget(control: &Control, service: &Name) {
    control.connectivity.borrow_mut().services.remove(service);
    control.returned(service, 0);
}
