//! Simulation of requests: relays, engines, and a network that drops, duplicates and reorders
//! frames.

use std::collections::VecDeque;

use heathpitch_core::{Attempt, Epoch, LayerRange, Model, Name, Outcome, Path, Stage};
use heathpitch_policy::{Broken, EndReason, Relay, RelayAction, RelayEvent, RelayPlan, Repeat};

use crate::run::{Entropy, RunStats};
use crate::violation::{Property, Violation};

const LAYERS: u32 = 6;
const ENGINES: usize = 5;
const MAX_OPEN: usize = 12;

#[derive(Clone, Debug)]
enum Frame {
    Token { position: u32, token: u32 },
    End { count: u32 },
    Broken(Broken),
}

#[derive(Debug)]
struct Connection {
    attempt: Attempt,
    /// Tokens already sent to the client when the attempt was dispatched.
    start: u32,
    /// Whether the request has reached its engine.
    arrived: bool,
    /// Whether the request was refused or not sent, so that it never runs.
    rejected: bool,
    /// Position of the next token that the engine generates.
    next: u32,
    ended: bool,
    /// Frames in flight.
    in_flight: VecDeque<Frame>,
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

/// Token of an attempt at a position; attempts differ, as sampled output does.
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
                let actions = request.choose_path(no_path);
                request.execute(actions, no_path, stats)?;
                requests.push(request);
            }
            2 => no_path = entropy.below(6) == 0,
            _ if requests.is_empty() => {}
            kind => {
                let recent = requests.len().min(2 * MAX_OPEN);
                let at = requests.len() - 1 - entropy.below(recent);
                requests[at].apply_operation(kind, &mut entropy, no_path, stats)?;
            }
        }
    }
    requests.iter_mut().try_for_each(|r| r.finish_run(stats))
}

impl Request {
    fn new(number: usize, entropy: &mut Entropy) -> Self {
        let repeat = if entropy.below(2) == 0 { Repeat::Allowed } else { Repeat::Never };
        let wanted = 1 + entropy.below(6) as u32;
        let plan = RelayPlan { max_tokens: wanted, layers: LAYERS, attempts: 4, repeat };
        // Some responses end before the requested length.
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

    fn apply_operation(
        &mut self,
        kind: usize,
        entropy: &mut Entropy,
        no_path: bool,
        stats: &mut RunStats,
    ) -> Result<(), Violation> {
        let actions = match kind {
            3 => self.inject("stall", RelayEvent::Stalled(vec![]), stats),
            4 if entropy.below(4) == 0 => self.inject("deadline", RelayEvent::Expired, stats),
            5 if entropy.below(4) == 0 => {
                self.inject("client disconnected", RelayEvent::Abandoned, stats)
            }
            _ if self.connections.is_empty() => vec![],
            kind => {
                let recent = self.connections.len().min(3);
                let at = self.connections.len() - 1 - entropy.below(recent);
                self.apply_network(kind, at, entropy, stats)?
            }
        };
        self.execute(actions, no_path, stats)
    }

    fn inject(
        &mut self,
        fault: &'static str,
        event: RelayEvent,
        stats: &mut RunStats,
    ) -> Vec<RelayAction> {
        stats.fault(fault);
        self.relay.on(event)
    }

    fn apply_network(
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
            6 if !c.arrived && !c.rejected => {
                stats.fault("refused before start");
                c.rejected = true;
                c.in_flight.push_back(Frame::Broken(Broken::Refused));
            }
            7 if !c.arrived && !c.rejected => {
                stats.fault("connection not opened");
                c.rejected = true;
                c.in_flight.push_back(Frame::Broken(Broken::Unsent));
            }
            8 => {
                stats.fault("connection lost");
                c.in_flight.push_back(Frame::Broken(Broken::Lost));
                // A sent request may still arrive, and frames in flight may still be read.
            }
            9 if c.arrived && !c.ended => {
                stats.fault("stage failed");
                c.ended = true;
                c.in_flight.push_back(Frame::Broken(Broken::Faulted));
            }
            10 if c.in_flight.len() > 1 => {
                stats.fault("frames reordered");
                let other = 1 + entropy.below(c.in_flight.len() - 1);
                c.in_flight.swap(0, other);
            }
            11 if !c.in_flight.is_empty() => {
                stats.fault("frame duplicated");
                let duplicate = c.in_flight[0].clone();
                c.in_flight.push_front(duplicate);
            }
            12 if !c.in_flight.is_empty() => {
                stats.fault("frame lost");
                let dropped = entropy.below(c.in_flight.len());
                c.in_flight.remove(dropped);
            }
            13 | 14 if !c.arrived && !c.rejected => return self.run_on_engine(at).map(|()| vec![]),
            13..=16 if c.arrived && !c.ended => {
                let frame = match c.next {
                    next if next >= length => {
                        c.ended = true;
                        Frame::End { count: next }
                    }
                    next => {
                        c.next += 1;
                        Frame::Token { position: next, token: token(number, c.attempt, next) }
                    }
                };
                c.in_flight.push_back(frame);
            }
            _ => return Ok(self.deliver(at)),
        }
        Ok(vec![])
    }

    /// Lets a dispatched request reach its engine and run.
    fn run_on_engine(&mut self, at: usize) -> Result<(), Violation> {
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
        let detail = || format!("request {} ran although it was reported as not run", self.number);
        Violation::unless(self.outcome != Some(Outcome::NotRun), Property::NotRun, detail)
    }

    fn deliver(&mut self, at: usize) -> Vec<RelayAction> {
        let c = &mut self.connections[at];
        let attempt = c.attempt;
        let event = match c.in_flight.pop_front() {
            Some(Frame::Token { position, token }) => {
                RelayEvent::Token { attempt, position, token, layers: LAYERS }
            }
            Some(Frame::End { count }) => {
                RelayEvent::Ended { attempt, count, reason: EndReason::Length }
            }
            Some(Frame::Broken(how)) => RelayEvent::Broken { attempt, how, engine: None },
            None => return vec![],
        };
        self.relay.on(event)
    }

    fn choose_path(&mut self, no_path: bool) -> Vec<RelayAction> {
        let event = match path(self.relay.avoid()) {
            Some(path) if !no_path => RelayEvent::Chosen(path),
            _ => RelayEvent::NoPath,
        };
        self.relay.on(event)
    }

    fn execute(
        &mut self,
        actions: Vec<RelayAction>,
        no_path: bool,
        stats: &mut RunStats,
    ) -> Result<(), Violation> {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                RelayAction::Choose => actions.extend(self.choose_path(no_path)),
                RelayAction::Dispatch { attempt, .. } => self.connections.push(Connection {
                    attempt,
                    start: self.relay.sent().len() as u32,
                    arrived: false,
                    rejected: false,
                    next: 0,
                    ended: false,
                    in_flight: VecDeque::new(),
                }),
                RelayAction::Emit(token) => self.check_token(token)?,
                RelayAction::Cancel(_) => {}
                RelayAction::Finish(_) => self.record_finish(stats)?,
                RelayAction::GiveUp(outcome) => self.record_give_up(outcome, stats)?,
            }
        }
        Ok(())
    }

    /// Checks a token sent to the client: it must be that of the latest attempt at the next
    /// position.
    fn check_token(&mut self, emitted: u32) -> Result<(), Violation> {
        let position = self.sent.len() as u32;
        let expected = token(self.number, self.relay.attempt(), position);
        self.sent.push(emitted);
        Violation::unless(emitted == expected, Property::Layers, || {
            format!("request {} got a wrong token at position {position}", self.number)
        })
    }

    fn record_finish(&mut self, stats: &mut RunStats) -> Result<(), Violation> {
        stats.event("done");
        self.outcome = Some(Outcome::Done);
        Violation::unless(self.sent.len() as u32 == self.length, Property::CompleteResponse, || {
            let (number, got) = (self.number, self.sent.len());
            format!("request {number} finished with {got} of {} tokens", self.length)
        })
    }

    fn record_give_up(&mut self, outcome: Outcome, stats: &mut RunStats) -> Result<(), Violation> {
        stats.event(outcome.as_str());
        self.outcome = Some(outcome);
        let ran = self.executions > 0 && outcome == Outcome::NotRun;
        Violation::unless(!ran, Property::NotRun, || {
            format!("request {} ran but was reported as not run", self.number)
        })
    }

    /// Delivers everything in flight, then lets the deadline pass.
    fn finish_run(&mut self, stats: &mut RunStats) -> Result<(), Violation> {
        for at in 0..self.connections.len() {
            let c = &self.connections[at];
            if !c.arrived && !c.rejected {
                self.run_on_engine(at)?;
            }
            while !self.connections[at].in_flight.is_empty() {
                let actions = self.deliver(at);
                self.execute(actions, true, stats)?;
            }
        }
        let actions = self.relay.on(RelayEvent::Expired);
        self.execute(actions, true, stats)
    }
}

/// Returns a path of two stages over engines outside `avoid`.
fn path(avoid: &[Name]) -> Option<Path> {
    let engines: Vec<Name> = (0..ENGINES)
        .filter_map(|i| format!("engine-{i}").parse().ok())
        .filter(|n| !avoid.contains(n))
        .collect();
    let model = Model::new("m".parse().ok()?, "v".parse().ok()?, LAYERS);
    let address: Name = "127.0.0.1:1".parse().ok()?;
    let stage = |i: usize, first, end| {
        let (engine, address) = (engines.get(i)?.clone(), address.clone());
        Some(Stage { engine, address, layers: LayerRange::new(first, end), epoch: Epoch(0) })
    };
    Path::new(&model, vec![stage(0, 0, 3)?, stage(1, 3, LAYERS)?]).ok()
}
