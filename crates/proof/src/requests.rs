//! World of requests: relays, engines, and a network that loses, repeats and reorders.

use std::collections::VecDeque;

use heathpitch_core::{Attempt, Epoch, LayerRange, Model, Name, Outcome, Path, Stage};
use heathpitch_policy::{Broken, EndReason, Relay, RelayAction, RelayEvent, RelayPlan, Repeat};

use crate::run::{Entropy, RunStats};
use crate::violation::{Property, Violation};

const LAYERS: u32 = 6;
const ENGINES: usize = 5;
const MAX_OPEN: usize = 12;

#[derive(Clone, Debug)]
enum Wire {
    Token { position: u32, token: u32 },
    End { count: u32 },
    Broken(Broken),
}

#[derive(Debug)]
struct Connection {
    attempt: Attempt,
    start: u32,
    arrived: bool,
    gone: bool,
    next: u32,
    ended: bool,
    wire: VecDeque<Wire>,
}

#[derive(Debug)]
struct Request {
    number: usize,
    relay: Relay,
    repeat: Repeat,
    length: u32,
    sent: Vec<u32>,
    executions: u32,
    connections: Vec<Connection>,
    outcome: Option<Outcome>,
}

/// Token that an attempt gives at a position; attempts differ, as sampling does.
fn token(request: usize, attempt: Attempt, position: u32) -> u32 {
    (request as u32).wrapping_mul(7_919) ^ (attempt.0 << 20) ^ position
}

pub(crate) fn run(operations: &[u64], stats: &mut RunStats) -> Result<(), Violation> {
    let mut requests: Vec<Request> = Vec::new();
    let mut no_path = false;
    for number in operations {
        stats.operations += 1;
        let mut entropy = Entropy::new(*number);
        match entropy.below(20) {
            0 | 1 if requests.iter().filter(|r| r.outcome.is_none()).count() < MAX_OPEN => {
                let mut request = Request::new(requests.len(), &mut entropy);
                let actions = request.choose(no_path);
                request.carry_out(actions, no_path, stats)?;
                requests.push(request);
            }
            2 => no_path = entropy.below(6) == 0,
            _ if requests.is_empty() => {}
            kind => {
                let recent = requests.len().min(2 * MAX_OPEN);
                let at = requests.len() - 1 - entropy.below(recent);
                requests[at].operate(kind, &mut entropy, no_path, stats)?;
            }
        }
    }
    requests.iter_mut().try_for_each(|r| r.settle(stats))
}

impl Request {
    fn new(number: usize, entropy: &mut Entropy) -> Self {
        let repeat = if entropy.below(2) == 0 { Repeat::Allowed } else { Repeat::Never };
        let wanted = 1 + entropy.below(6) as u32;
        let plan = RelayPlan { wanted, layers: LAYERS, attempts: 4, repeat };
        // Some answers end before the wanted length.
        let length = if entropy.below(3) == 0 { wanted / 2 } else { wanted };
        Self {
            number,
            relay: Relay::new(plan),
            repeat,
            length,
            sent: Vec::new(),
            executions: 0,
            connections: Vec::new(),
            outcome: None,
        }
    }

    fn operate(
        &mut self,
        kind: usize,
        entropy: &mut Entropy,
        no_path: bool,
        stats: &mut RunStats,
    ) -> Result<(), Violation> {
        let actions = match kind {
            3 => self.tell("stall", RelayEvent::Stalled(vec![]), stats),
            4 if entropy.below(4) == 0 => self.tell("deadline", RelayEvent::Expired, stats),
            5 if entropy.below(4) == 0 => self.tell("caller gone", RelayEvent::Abandoned, stats),
            _ if self.connections.is_empty() => vec![],
            kind => {
                let recent = self.connections.len().min(3);
                let at = self.connections.len() - 1 - entropy.below(recent);
                self.network(kind, at, entropy, stats)?
            }
        };
        self.carry_out(actions, no_path, stats)
    }

    fn tell(
        &mut self,
        fault: &'static str,
        event: RelayEvent,
        stats: &mut RunStats,
    ) -> Vec<RelayAction> {
        stats.fault(fault);
        self.relay.on(event)
    }

    fn network(
        &mut self,
        kind: usize,
        at: usize,
        entropy: &mut Entropy,
        stats: &mut RunStats,
    ) -> Result<Vec<RelayAction>, Violation> {
        let number = self.number;
        let length = self.length;
        let c = &mut self.connections[at];
        match kind {
            6 if !c.arrived && !c.gone => {
                stats.fault("refused with a statement");
                c.gone = true;
                c.wire.push_back(Wire::Broken(Broken::Refused));
            }
            7 if !c.arrived && !c.gone => {
                stats.fault("no connection");
                c.gone = true;
                c.wire.push_back(Wire::Broken(Broken::Unsent));
            }
            8 => {
                stats.fault("connection lost");
                c.wire.push_back(Wire::Broken(Broken::Lost));
                // What was sent may still arrive, and frames on the way may still be read.
            }
            9 if c.arrived && !c.ended => {
                stats.fault("stage failed");
                c.ended = true;
                c.wire.push_back(Wire::Broken(Broken::Faulted));
            }
            10 if c.wire.len() > 1 => {
                stats.fault("frames swapped");
                let other = 1 + entropy.below(c.wire.len() - 1);
                c.wire.swap(0, other);
            }
            11 if !c.wire.is_empty() => {
                stats.fault("frame repeated");
                let again = c.wire[0].clone();
                c.wire.push_front(again);
            }
            12 if !c.wire.is_empty() => {
                stats.fault("frame lost");
                let lost = entropy.below(c.wire.len());
                c.wire.remove(lost);
            }
            13 | 14 if !c.arrived && !c.gone => return self.arrive(at).map(|()| vec![]),
            13..=16 if c.arrived && !c.ended => {
                let wire = match c.next {
                    next if next >= length => {
                        c.ended = true;
                        Wire::End { count: next }
                    }
                    next => {
                        c.next += 1;
                        Wire::Token { position: next, token: token(number, c.attempt, next) }
                    }
                };
                c.wire.push_back(wire);
            }
            _ => return Ok(self.deliver(at)),
        }
        Ok(vec![])
    }

    /// A dispatched request reaches its engine and runs.
    fn arrive(&mut self, at: usize) -> Result<(), Violation> {
        let c = &mut self.connections[at];
        c.arrived = true;
        c.next = c.start;
        self.executions += 1;
        let detail = || format!("request {} ran {} times", self.number, self.executions);
        Violation::unless(
            self.repeat == Repeat::Allowed || self.executions <= 1,
            Property::AtMostOnce,
            detail,
        )?;
        let detail = || format!("request {} ran after it was said not to have", self.number);
        Violation::unless(self.outcome != Some(Outcome::NotRun), Property::NotRun, detail)
    }

    fn deliver(&mut self, at: usize) -> Vec<RelayAction> {
        let c = &mut self.connections[at];
        let attempt = c.attempt;
        let event = match c.wire.pop_front() {
            Some(Wire::Token { position, token }) => {
                RelayEvent::Token { attempt, position, token, layers: LAYERS }
            }
            Some(Wire::End { count }) => {
                RelayEvent::Ended { attempt, count, reason: EndReason::Length }
            }
            Some(Wire::Broken(how)) => RelayEvent::Broken { attempt, how, engine: None },
            None => return vec![],
        };
        self.relay.on(event)
    }

    fn choose(&mut self, no_path: bool) -> Vec<RelayAction> {
        let event = match path(self.relay.avoid()) {
            Some(path) if !no_path => RelayEvent::Chosen(path),
            _ => RelayEvent::NoPath,
        };
        self.relay.on(event)
    }

    fn carry_out(
        &mut self,
        actions: Vec<RelayAction>,
        no_path: bool,
        stats: &mut RunStats,
    ) -> Result<(), Violation> {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                RelayAction::Choose => actions.extend(self.choose(no_path)),
                RelayAction::Dispatch { attempt, .. } => self.connections.push(Connection {
                    attempt,
                    start: self.relay.sent().len() as u32,
                    arrived: false,
                    gone: false,
                    next: 0,
                    ended: false,
                    wire: VecDeque::new(),
                }),
                RelayAction::Emit(token) => self.emitted(token)?,
                RelayAction::Cancel(_) => {}
                RelayAction::Finish(_) => self.finished(stats)?,
                RelayAction::GiveUp(outcome) => self.given_up(outcome, stats)?,
            }
        }
        Ok(())
    }

    /// A token left for the caller: it must be the newest attempt's at the position that is due.
    fn emitted(&mut self, given: u32) -> Result<(), Violation> {
        let position = self.sent.len() as u32;
        let right = token(self.number, self.relay.attempt(), position);
        self.sent.push(given);
        Violation::unless(given == right, Property::Layers, || {
            format!("request {} got a wrong token at position {position}", self.number)
        })
    }

    fn finished(&mut self, stats: &mut RunStats) -> Result<(), Violation> {
        stats.event("done");
        self.outcome = Some(Outcome::Done);
        Violation::unless(self.sent.len() as u32 == self.length, Property::CompleteResponse, || {
            let (number, got) = (self.number, self.sent.len());
            format!("request {number} ended with {got} of {} tokens", self.length)
        })
    }

    fn given_up(&mut self, outcome: Outcome, stats: &mut RunStats) -> Result<(), Violation> {
        stats.event(outcome.as_str());
        self.outcome = Some(outcome);
        let ran = self.executions > 0 && outcome == Outcome::NotRun;
        Violation::unless(!ran, Property::NotRun, || {
            format!("request {} ran and was said not to have", self.number)
        })
    }

    /// Everything still on the way arrives in the end.
    fn settle(&mut self, stats: &mut RunStats) -> Result<(), Violation> {
        for at in 0..self.connections.len() {
            let c = &self.connections[at];
            if !c.arrived && !c.gone {
                self.arrive(at)?;
            }
            while !self.connections[at].wire.is_empty() {
                let actions = self.deliver(at);
                self.carry_out(actions, true, stats)?;
            }
        }
        let actions = self.relay.on(RelayEvent::Expired);
        self.carry_out(actions, true, stats)
    }
}

/// A path of two stages over engines that are not avoided.
fn path(avoid: &[Name]) -> Option<Path> {
    let free: Vec<Name> = (0..ENGINES)
        .filter_map(|i| format!("engine-{i}").parse().ok())
        .filter(|n| !avoid.contains(n))
        .collect();
    let model = Model::new("m".parse().ok()?, "v".parse().ok()?, LAYERS);
    let address: Name = "127.0.0.1:1".parse().ok()?;
    let stage = |i: usize, first, end| {
        let (engine, address) = (free.get(i)?.clone(), address.clone());
        Some(Stage { engine, address, layers: LayerRange::new(first, end), epoch: Epoch(0) })
    };
    Path::new(&model, vec![stage(0, 0, 3)?, stage(1, 3, LAYERS)?]).ok()
}
