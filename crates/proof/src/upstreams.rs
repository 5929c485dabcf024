//! World of upstreams: a lagging list, late reports, failed polls, engines that leave and return.

use heathpitch_core::{
    Epoch, Incarnation, LayerRange, Millis, Name, Revision, Vm, VmRole, VmState, digest,
};
use heathpitch_policy::{EngineReport, EngineRole, Health, HealthEvent};

use crate::run::{Entropy, RunStats};
use crate::violation::{Property, Violation};

const ENGINES: usize = 4;

#[derive(Clone, Debug)]
struct Engine {
    life: u64,
    serial: u64,
    leaving: bool,
    listed: VmState,
    /// Newest words that have arrived: of the engine itself, and whether it is leaving.
    heard: Option<(u64, u64, bool)>,
}

#[derive(Debug)]
struct Upstreams {
    health: Health,
    engines: Vec<Engine>,
    number: u64,
    lists: Vec<(Revision, Vec<Vm>)>,
    reports: Vec<(usize, EngineReport)>,
    newest: Option<(Revision, Vec<Vm>)>,
    now: Millis,
}

pub(crate) fn run(operations: &[u64], stats: &mut RunStats) -> Result<(), Violation> {
    let engine = Engine { life: 1, serial: 0, leaving: false, listed: VmState::Live, heard: None };
    let mut world = Upstreams {
        health: Health::new(),
        engines: vec![engine; ENGINES],
        number: 0,
        lists: Vec::new(),
        reports: Vec::new(),
        newest: None,
        now: 1,
    };
    for number in operations {
        stats.operations += 1;
        world.operate(&mut Entropy::new(*number), stats);
        world.check(stats)?;
    }
    Ok(())
}

impl Upstreams {
    fn operate(&mut self, entropy: &mut Entropy, stats: &mut RunStats) {
        let kind = entropy.below(16);
        let at = entropy.below(ENGINES);
        match kind {
            0 => {
                stats.fault("engine leaves");
                self.engines[at].leaving = true;
            }
            1 => {
                stats.event("engine restarts");
                let engine = &mut self.engines[at];
                engine.life += 1;
                engine.serial = 0;
                engine.leaving = false;
            }
            2 => {
                stats.fault("VM listed as leaving");
                self.engines[at].listed = VmState::Leaving;
            }
            3 => self.engines[at].listed = VmState::Live,
            4 | 5 => {
                self.number += 1;
                let vms = (0..ENGINES).map(|i| vm(i, self.engines[i].listed)).collect();
                self.lists.push((Revision(self.number), vms));
            }
            // Lists and reports arrive in any order, and more than once.
            6 | 7 if !self.lists.is_empty() => {
                let (number, vms) = self.lists[entropy.below(self.lists.len())].clone();
                if self.newest.as_ref().is_none_or(|(n, _)| number > *n) {
                    self.newest = Some((number, vms.clone()));
                } else {
                    stats.fault("older list");
                }
                self.health.on(HealthEvent::Listed(number, vms), self.now);
            }
            8..=10 => {
                let engine = &mut self.engines[at];
                engine.serial += 1;
                let report = report(at, engine);
                self.reports.push((at, report));
            }
            11..=13 if !self.reports.is_empty() => {
                let (at, report) = self.reports[entropy.below(self.reports.len())].clone();
                self.hear(at, &report, stats);
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

    fn hear(&mut self, at: usize, report: &EngineReport, stats: &mut RunStats) {
        let word = (report.life.0, report.serial, report.leaving);
        let heard = &mut self.engines[at].heard;
        match heard {
            Some(old) if (old.0, old.1) >= (word.0, word.1) => stats.fault("older report"),
            _ => *heard = Some(word),
        }
    }

    /// No engine that the newest word of any source says to leave may take new work.
    fn check(&self, stats: &mut RunStats) -> Result<(), Violation> {
        let fleet = self.health.fleet(self.now);
        for up in fleet.engines.values().flatten() {
            stats.event("engine checked");
            let at = (0..ENGINES).find(|i| name(*i) == up.vm.name).unwrap_or_default();
            let said = self.engines[at].heard.is_some_and(|h| h.2);
            let listed = self.newest.as_ref().is_some_and(|(_, vms)| {
                vms.iter().any(|v| v.name == up.vm.name && v.state == VmState::Leaving)
            });
            Violation::unless(!said && !listed, Property::Draining, || {
                format!("engine {at} takes work; it said leaving: {said}, listed so: {listed}")
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
        life: Incarnation(engine.life),
        serial: engine.serial,
        model: Some(name(98)),
        version: name(97),
        layers: LayerRange::new(0, 4),
        epoch: Epoch(0),
        role: EngineRole::Both,
        leaving: engine.leaving,
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
