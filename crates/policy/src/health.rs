//! Which upstreams may take new work.
//!
//! The platform's list, the engines' reports and failures seen by this node lag and may disagree.
//! Any one of them suffices to exclude an upstream; including it again needs newer information from
//! the same source.

use std::collections::HashMap;
use std::sync::Arc;

use heathpitch_core::{Invariant, Millis, Name, Revision, Vm, VmRole, VmState, check};

use crate::switch::{Mechanism, on};
use crate::{EngineReport, Fleet, Gauge, ServiceView, Upstream};

/// Failed polls in a row after which an upstream is down.
const MAX_FAILED_POLLS: u32 = 2;
/// Time without any report after which an upstream is down. In large fleets a node receives reports
/// of remote engines only every two minutes; failures are detected by polls and requests.
const SILENCE_MS: Millis = 300_000;

/// Information about an upstream.
#[derive(Clone, Debug)]
pub enum HealthEvent {
    /// The platform's list of VMs, with its revision.
    Listed(Revision, Vec<Vm>),
    /// A report that this node got from the engine itself.
    Polled(EngineReport),
    /// A report relayed by a peer: the engine is alive, but may be unreachable from this node.
    Relayed(EngineReport),
    /// A failed poll.
    PollFailed(Name),
    /// A failed request.
    RequestFailed(Name),
}

/// Whether an upstream may take new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthStatus {
    /// It may take new work.
    Up,
    /// It has not reported yet.
    New,
    /// It does not report, or polls fail.
    Down,
    /// It is draining.
    Draining,
}

#[derive(Debug)]
struct Entry {
    vm: Arc<Vm>,
    report: Option<Arc<EngineReport>>,
    seen: Millis,
    open_at_report: u32,
    fails: u32,
    gauge: Arc<Gauge>,
}

/// The status of every listed upstream.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::Health;
///
/// let health = Health::new();
/// assert!(health.fleet(0).is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Health {
    list: Revision,
    entries: HashMap<Name, Entry>,
    early: HashMap<Name, EngineReport>,
}

/// # Construction and reading
impl Health {
    /// Without upstreams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Revision of the newest list.
    pub fn list(&self) -> Revision {
        self.list
    }

    /// Status of an upstream, if it is listed.
    pub fn status(&self, name: &str, now: Millis) -> Option<HealthStatus> {
        self.entries.get(name).map(|e| e.status(now))
    }

    /// Upstreams to poll.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<Vm>> {
        self.entries.values().map(|e| &e.vm)
    }

    /// Upstreams that may take new work, with their latest reports.
    pub fn up(&self, now: Millis) -> impl Iterator<Item = (&Arc<Vm>, &Arc<EngineReport>)> {
        let up = self.entries.values().filter(move |e| e.status(now) == HealthStatus::Up);
        up.filter_map(|e| Some((&e.vm, e.report.as_ref()?)))
    }

    /// Up to `most` latest reports, newest arrival first, to relay to peers.
    pub fn newest(&self, most: usize) -> Vec<Arc<EngineReport>> {
        let mut known: Vec<_> =
            self.entries.values().filter_map(|e| Some((e.seen, e.report.clone()?))).collect();
        known.sort_unstable_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.engine.cmp(&b.1.engine)));
        known.into_iter().take(most).map(|(_, r)| r).collect()
    }

    /// The upstreams that may take new work at `now`.
    pub fn fleet(&self, now: Millis) -> Fleet {
        let mut fleet = Fleet::default();
        for e in self.entries.values().filter(|e| e.status(now) == HealthStatus::Up) {
            check(Invariant::LeavingEngine, e.vm.state == VmState::Live);
            let Some(report) = &e.report else { continue };
            match &report.model {
                Some(model) => {
                    fleet.engines.entry(model.clone()).or_default().push(e.upstream(report));
                }
                None if e.vm.role == VmRole::Service => fleet.services.push(e.service(report)),
                None => {}
            }
        }
        fleet.engines.values_mut().for_each(|l| l.sort_by(|a, b| a.vm.name.cmp(&b.vm.name)));
        fleet.services.sort_by(|a, b| a.vm.name.cmp(&b.vm.name));
        fleet
    }
}

/// # Events
impl Health {
    /// Handles an event; true if the fleet may have changed.
    pub fn on(&mut self, event: HealthEvent, now: Millis) -> bool {
        match event {
            HealthEvent::Listed(number, _) if number <= self.list && on(Mechanism::ListOrder) => {
                false
            }
            HealthEvent::Listed(number, vms) => {
                self.list = number;
                self.listed(vms, now);
                true
            }
            HealthEvent::Polled(report) => self.reported(report, now, true),
            HealthEvent::Relayed(report) => self.reported(report, now, false),
            HealthEvent::PollFailed(name) => match self.entries.get_mut(&name) {
                Some(e) => {
                    e.fails = e.fails.saturating_add(1);
                    e.fails == MAX_FAILED_POLLS
                }
                None => false,
            },
            HealthEvent::RequestFailed(name) => match self.entries.get(&name) {
                Some(e) => {
                    e.gauge.record_failure(now);
                    false
                }
                None => false,
            },
        }
    }

    fn listed(&mut self, vms: Vec<Vm>, now: Millis) {
        let upstream = vms.into_iter().filter(|v| v.role != VmRole::Entry);
        let mut fresh = HashMap::new();
        for vm in upstream {
            let name = vm.name.clone();
            let entry = match self.entries.remove(&name) {
                Some(e) if e.vm.address == vm.address => Entry { vm: Arc::new(vm), ..e },
                Some(_) | None => Entry::new(vm, now),
            };
            fresh.insert(name, entry);
        }
        self.entries = fresh;
        for (_, report) in std::mem::take(&mut self.early) {
            self.reported(report, now, false);
        }
    }

    fn reported(&mut self, report: EngineReport, now: Millis, reached: bool) -> bool {
        let Some(e) = self.entries.get_mut(&report.engine) else {
            let known = self.early.get(&report.engine);
            let newer = known.is_none_or(|old| report.is_newer_than(old));
            if newer && self.entries.is_empty() && self.early.len() < 1_024 {
                self.early.insert(report.engine.clone(), report);
            }
            return false;
        };
        let back = reached && e.fails >= MAX_FAILED_POLLS;
        if reached {
            e.fails = 0;
        }
        match &e.report {
            Some(old) if !report.is_newer_than(old) => back,
            _ => {
                e.report = Some(Arc::new(report));
                e.seen = now;
                e.open_at_report = e.gauge.count();
                true
            }
        }
    }
}

impl Entry {
    fn new(vm: Vm, now: Millis) -> Self {
        let gauge = Arc::new(Gauge::default());
        Self { vm: Arc::new(vm), report: None, seen: now, open_at_report: 0, fails: 0, gauge }
    }

    fn status(&self, now: Millis) -> HealthStatus {
        match &self.report {
            _ if self.vm.state == VmState::Leaving => HealthStatus::Draining,
            Some(r) if r.draining && on(Mechanism::DrainNotice) => HealthStatus::Draining,
            None => HealthStatus::New,
            _ if self.fails >= MAX_FAILED_POLLS => HealthStatus::Down,
            _ if now.saturating_sub(self.seen) > SILENCE_MS => HealthStatus::Down,
            Some(_) => HealthStatus::Up,
        }
    }

    fn upstream(&self, report: &Arc<EngineReport>) -> Upstream {
        Upstream {
            vm: self.vm.clone(),
            report: report.clone(),
            seen: self.seen,
            open_at_report: self.open_at_report,
            gauge: self.gauge.clone(),
        }
    }

    fn service(&self, report: &EngineReport) -> ServiceView {
        let load = report.running + report.queued;
        ServiceView { vm: self.vm.clone(), gauge: self.gauge.clone(), load }
    }
}
