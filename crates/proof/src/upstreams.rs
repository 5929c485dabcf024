//! Simulation of upstreams: a stale list of VMs, delayed reports, failed polls, and engines that
//! drain and restart.

use heathpitch_core::{
    Epoch, Incarnation, LayerRange, Millis, Name, Revision, Vm, VmRole, VmState, digest,
};
use heathpitch_policy::{EngineReport, EngineRole, Health, HealthEvent};

use crate::run::{Entropy, RunStats};
use crate::violation::{Property, Violation};

const ENGINES: usize = 4;

#[derive(Clone, Debug)]
struct Engine {
    incarnation: u64,
    serial: u64,
    draining: bool,
    listed: VmState,
    /// Incarnation, serial number and drain state of the newest report delivered.
    newest_report: Option<(u64, u64, bool)>,
}

#[derive(Debug)]
struct Upstreams {
    health: Health,
    engines: Vec<Engine>,
    revision: u64,
    lists: Vec<(Revision, Vec<Vm>)>,
    reports: Vec<(usize, EngineReport)>,
    newest_list: Option<(Revision, Vec<Vm>)>,
    now: Millis,
}

pub(crate) fn run(operations: &[u64], stats: &mut RunStats) -> Result<(), Violation> {
    let engine = Engine {
        incarnation: 1,
        serial: 0,
        draining: false,
        listed: VmState::Live,
        newest_report: None,
    };
    let mut upstreams = Upstreams {
        health: Health::new(),
        engines: vec![engine; ENGINES],
        revision: 0,
        lists: Vec::new(),
        reports: Vec::new(),
        newest_list: None,
        now: 1,
    };
    for number in operations {
        stats.operations += 1;
        upstreams.apply_operation(&mut Entropy::new(*number), stats);
        upstreams.check(stats)?;
    }
    Ok(())
}

impl Upstreams {
    fn apply_operation(&mut self, entropy: &mut Entropy, stats: &mut RunStats) {
        let kind = entropy.below(16);
        let at = entropy.below(ENGINES);
        match kind {
            0 => {
                stats.fault("engine draining");
                self.engines[at].draining = true;
            }
            1 => {
                stats.event("engine restarted");
                let engine = &mut self.engines[at];
                engine.incarnation += 1;
                engine.serial = 0;
                engine.draining = false;
            }
            2 => {
                stats.fault("VM listed as draining");
                self.engines[at].listed = VmState::Leaving;
            }
            3 => self.engines[at].listed = VmState::Live,
            4 | 5 => {
                self.revision += 1;
                let vms = (0..ENGINES).map(|i| vm(i, self.engines[i].listed)).collect();
                self.lists.push((Revision(self.revision), vms));
            }
            // Lists and reports arrive in any order, some more than once.
            6 | 7 if !self.lists.is_empty() => {
                let (revision, vms) = self.lists[entropy.below(self.lists.len())].clone();
                if self.newest_list.as_ref().is_none_or(|(n, _)| revision > *n) {
                    self.newest_list = Some((revision, vms.clone()));
                } else {
                    stats.fault("stale list");
                }
                self.health.on(HealthEvent::Listed(revision, vms), self.now);
            }
            8..=10 => {
                let engine = &mut self.engines[at];
                engine.serial += 1;
                let report = report(at, engine);
                self.reports.push((at, report));
            }
            11..=13 if !self.reports.is_empty() => {
                let (at, report) = self.reports[entropy.below(self.reports.len())].clone();
                self.record_report(at, &report, stats);
                let event = match entropy.below(2) {
                    0 => HealthEvent::Polled(report),
                    _ => HealthEvent::Relayed(report),
                };
                self.health.on(event, self.now);
            }
            14 => {
                stats.fault("poll failed");
                self.health.on(HealthEvent::PollFailed(name(at)), self.now);
            }
            _ => self.now += entropy.below(2_000) as Millis,
        }
    }

    fn record_report(&mut self, at: usize, report: &EngineReport, stats: &mut RunStats) {
        let delivered = (report.incarnation.0, report.serial, report.draining);
        let newest_report = &mut self.engines[at].newest_report;
        match newest_report {
            Some(old) if (old.0, old.1) >= (delivered.0, delivered.1) => {
                stats.fault("stale report")
            }
            _ => *newest_report = Some(delivered),
        }
    }

    /// Checks that no engine is in service if its newest report or the newest list shows it as
    /// draining.
    fn check(&self, stats: &mut RunStats) -> Result<(), Violation> {
        let fleet = self.health.fleet(self.now);
        for up in fleet.engines.values().flatten() {
            stats.event("engine checked");
            let at = (0..ENGINES).find(|i| name(*i) == up.vm.name).unwrap_or_default();
            let reported = self.engines[at].newest_report.is_some_and(|h| h.2);
            let listed = self.newest_list.as_ref().is_some_and(|(_, vms)| {
                vms.iter().any(|v| v.name == up.vm.name && v.state == VmState::Leaving)
            });
            Violation::unless(!reported && !listed, Property::Draining, || {
                format!("draining engine {at} in service; reported: {reported}, listed: {listed}")
            })?;
        }
        Ok(())
    }
}

fn name(i: usize) -> Name {
    digest(&[b"engine", &[i as u8]])
}

fn vm(i: usize, state: VmState) -> Vm {
    Vm {
        name: name(i),
        role: VmRole::Engine,
        address: name(i),
        domain: name(99),
        accelerator: None,
        labels: Default::default(),
        state,
    }
}

fn report(i: usize, engine: &Engine) -> EngineReport {
    EngineReport {
        engine: name(i),
        incarnation: Incarnation(engine.incarnation),
        serial: engine.serial,
        model: Some(name(98)),
        version: name(97),
        layers: LayerRange::new(0, 4),
        epoch: Epoch(0),
        role: EngineRole::Both,
        draining: engine.draining,
        slots: 4,
        running: 0,
        queued: 0,
        prefill: 1.0,
        step: 1,
        service: 1,
        memory: 0,
        layer: 1,
        link: 1,
    }
}
