//! World of requests: relays, engines, and a network that loses, repeats and reorders.

use std::collections::VecDeque;

use heathpitch_core::{Attempt, Epoch, LayerRange, Model, Name, Outcome, Path, Stage};
use heathpitch_policy::{Broken, EndReason, Relay, RelayAction, RelayEvent, RelayPlan, Repeat};

use crate::breach::{Breach, Promise};
use crate::tally::{Draw, Tally};

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

pub(crate) fn run(operations: &[u64], tally: &mut Tally) -> Result<(), Breach> {
    let mut requests: Vec<Request> = Vec::new();
    let mut no_path = false;
    for number in operations {
        tally.operations += 1;
        let mut draw = Draw::new(*number);
        match draw.below(20) {
            0 | 1 if requests.iter().filter(|r| r.outcome.is_none()).count() < MAX_OPEN => {
                let mut request = Request::new(requests.len(), &mut draw);
                let actions = request.choose(no_path);
                request.carry_out(actions, no_path, tally)?;
                requests.push(request);
            }
            2 => no_path = draw.below(6) == 0,
            _ if requests.is_empty() => {}
            kind => {
                let recent = requests.len().min(2 * MAX_OPEN);
                let at = requests.len() - 1 - draw.below(recent);
                requests[at].operate(kind, &mut draw, no_path, tally)?;
            }
        }
    }
    requests.iter_mut().try_for_each(|r| r.settle(tally))
}

impl Request {
    fn new(number: usize, draw: &mut Draw) -> Self {
        let repeat = if draw.below(2) == 0 { Repeat::Allowed } else { Repeat::Never };
        let wanted = 1 + draw.below(6) as u32;
        let plan = RelayPlan { max_tokens: wanted, layers: LAYERS, attempts: 4, repeat };
        // Some answers end before the wanted length.
        let length = if draw.below(3) == 0 { wanted / 2 } else { wanted };
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
        draw: &mut Draw,
        no_path: bool,
        tally: &mut Tally,
    ) -> Result<(), Breach> {
        let actions = match kind {
            3 => self.tell("stall", RelayEvent::Stalled(vec![]), tally),
            4 if draw.below(4) == 0 => self.tell("deadline", RelayEvent::Expired, tally),
            5 if draw.below(4) == 0 => self.tell("caller gone", RelayEvent::Abandoned, tally),
            _ if self.connections.is_empty() => vec![],
            kind => {
                let recent = self.connections.len().min(3);
                let at = self.connections.len() - 1 - draw.below(recent);
                self.network(kind, at, draw, tally)?
            }
        };
        self.carry_out(actions, no_path, tally)
    }

    fn tell(
        &mut self,
        fault: &'static str,
        event: RelayEvent,
        tally: &mut Tally,
    ) -> Vec<RelayAction> {
        tally.fault(fault);
        self.relay.on(event)
    }

    fn network(
        &mut self,
        kind: usize,
        at: usize,
        draw: &mut Draw,
        tally: &mut Tally,
    ) -> Result<Vec<RelayAction>, Breach> {
        let number = self.number;
        let length = self.length;
        let c = &mut self.connections[at];
        match kind {
            6 if !c.arrived && !c.gone => {
                tally.fault("refused with a statement");
                c.gone = true;
                c.wire.push_back(Wire::Broken(Broken::Refused));
            }
            7 if !c.arrived && !c.gone => {
                tally.fault("no connection");
                c.gone = true;
                c.wire.push_back(Wire::Broken(Broken::Unsent));
            }
            8 => {
                tally.fault("connection lost");
                c.wire.push_back(Wire::Broken(Broken::Lost));
                // What was sent may still arrive, and frames on the way may still be read.
            }
            9 if c.arrived && !c.ended => {
                tally.fault("stage failed");
                c.ended = true;
                c.wire.push_back(Wire::Broken(Broken::Faulted));
            }
            10 if c.wire.len() > 1 => {
                tally.fault("frames swapped");
                let other = 1 + draw.below(c.wire.len() - 1);
                c.wire.swap(0, other);
            }
            11 if !c.wire.is_empty() => {
                tally.fault("frame repeated");
                let again = c.wire[0].clone();
                c.wire.push_front(again);
            }
            12 if !c.wire.is_empty() => {
                tally.fault("frame lost");
                let lost = draw.below(c.wire.len());
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
    fn arrive(&mut self, at: usize) -> Result<(), Breach> {
        let c = &mut self.connections[at];
        c.arrived = true;
        c.next = c.start;
        self.executions += 1;
        let detail = || format!("request {} ran {} times", self.number, self.executions);
        Breach::unless(
            self.repeat == Repeat::Allowed || self.executions <= 1,
            Promise::AtMostOnce,
            detail,
        )?;
        let detail = || format!("request {} ran after it was said not to have", self.number);
        Breach::unless(self.outcome != Some(Outcome::NotRun), Promise::NotRun, detail)
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
        tally: &mut Tally,
    ) -> Result<(), Breach> {
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
                RelayAction::Finish(_) => self.finished(tally)?,
                RelayAction::GiveUp(outcome) => self.given_up(outcome, tally)?,
            }
        }
        Ok(())
    }

    /// A token left for the caller: it must be the newest attempt's at the position that is due.
    fn emitted(&mut self, given: u32) -> Result<(), Breach> {
        let position = self.sent.len() as u32;
        let right = token(self.number, self.relay.attempt(), position);
        self.sent.push(given);
        Breach::unless(given == right, Promise::Layers, || {
            format!("request {} got a wrong token at position {position}", self.number)
        })
    }

    fn finished(&mut self, tally: &mut Tally) -> Result<(), Breach> {
        tally.event("done");
        self.outcome = Some(Outcome::Done);
        Breach::unless(self.sent.len() as u32 == self.length, Promise::WholeAnswer, || {
            let (number, got) = (self.number, self.sent.len());
            format!("request {number} ended with {got} of {} tokens", self.length)
        })
    }

    fn given_up(&mut self, outcome: Outcome, tally: &mut Tally) -> Result<(), Breach> {
        tally.event(outcome.as_str());
        self.outcome = Some(outcome);
        let ran = self.executions > 0 && outcome == Outcome::NotRun;
        Breach::unless(!ran, Promise::NotRun, || {
            format!("request {} ran and was said not to have", self.number)
        })
    }

    /// Everything still on the way arrives in the end.
    fn settle(&mut self, tally: &mut Tally) -> Result<(), Breach> {
        for at in 0..self.connections.len() {
            let c = &self.connections[at];
            if !c.arrived && !c.gone {
                self.arrive(at)?;
            }
            while !self.connections[at].wire.is_empty() {
                let actions = self.deliver(at);
                self.carry_out(actions, true, tally)?;
            }
        }
        let actions = self.relay.on(RelayEvent::Expired);
        self.carry_out(actions, true, tally)
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
