//! World of upstreams: a lagging list, late reports, failed polls, engines that leave and return.

use heathpitch_core::{
    Epoch, Incarnation, LayerRange, Millis, Name, Revision, Vm, VmRole, VmState, digest,
};
use heathpitch_policy::{EngineReport, EngineRole, Health, HealthEvent};

use crate::breach::{Breach, Promise};
use crate::tally::{Draw, Tally};

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

pub(crate) fn run(operations: &[u64], tally: &mut Tally) -> Result<(), Breach> {
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
        tally.operations += 1;
        world.operate(&mut Draw::new(*number), tally);
        world.check(tally)?;
    }
    Ok(())
}

impl Upstreams {
    fn operate(&mut self, draw: &mut Draw, tally: &mut Tally) {
        let kind = draw.below(16);
        let at = draw.below(ENGINES);
        match kind {
            0 => {
                tally.fault("engine leaves");
                self.engines[at].leaving = true;
            }
            1 => {
                tally.event("engine restarts");
                let engine = &mut self.engines[at];
                engine.life += 1;
                engine.serial = 0;
                engine.leaving = false;
            }
            2 => {
                tally.fault("VM listed as leaving");
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
                let (number, vms) = self.lists[draw.below(self.lists.len())].clone();
                if self.newest.as_ref().is_none_or(|(n, _)| number > *n) {
                    self.newest = Some((number, vms.clone()));
                } else {
                    tally.fault("older list");
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
                let (at, report) = self.reports[draw.below(self.reports.len())].clone();
                self.hear(at, &report, tally);
                let event = match draw.below(2) {
                    0 => HealthEvent::Polled(report),
                    _ => HealthEvent::Relayed(report),
                };
                self.health.on(event, self.now);
            }
            14 => {
                tally.fault("poll failed");
                self.health.on(HealthEvent::PollFailed(name(at)), self.now);
            }
            _ => self.now += draw.below(2_000) as Millis,
        }
    }

    fn hear(&mut self, at: usize, report: &EngineReport, tally: &mut Tally) {
        let word = (report.incarnation.0, report.serial, report.draining);
        let heard = &mut self.engines[at].heard;
        match heard {
            Some(old) if (old.0, old.1) >= (word.0, word.1) => tally.fault("older report"),
            _ => *heard = Some(word),
        }
    }

    /// No engine that the newest word of any source says to leave may take new work.
    fn check(&self, tally: &mut Tally) -> Result<(), Breach> {
        let fleet = self.health.fleet(self.now);
        for up in fleet.engines.values().flatten() {
            tally.event("engine checked");
            let at = (0..ENGINES).find(|i| name(*i) == up.vm.name).unwrap_or_default();
            let said = self.engines[at].heard.is_some_and(|h| h.2);
            let listed = self.newest.as_ref().is_some_and(|(_, vms)| {
                vms.iter().any(|v| v.name == up.vm.name && v.state == VmState::Leaving)
            });
            Breach::unless(!said && !listed, Promise::Leaving, || {
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
        incarnation: Incarnation(engine.life),
        serial: engine.serial,
        model: Some(name(98)),
        version: name(97),
        layers: LayerRange::new(0, 4),
        epoch: Epoch(0),
        role: EngineRole::Both,
        draining: engine.leaving,
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
