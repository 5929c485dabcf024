//! Fault matrix of a request: every fault at every step, alone and followed by every fault at the
//! same step of the second attempt.

use std::collections::VecDeque;

use heathpitch_core::{Attempt, Epoch, LayerRange, Model, Outcome, Path, Stage, digest};
use heathpitch_policy::{Broken, EndReason, Relay, RelayAction, RelayEvent, RelayPlan, Repeat};

use crate::violation::{Property, Violation};

const LAYERS: u32 = 4;
const TOKENS: u32 = 4;

/// Declares an enum without data and a constant that lists its variants.
macro_rules! listed_enum {
    ($(#[$doc:meta])* $name:ident { $($(#[$item:meta])* $value:ident,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum $name { $($(#[$item])* $value,)* }

impl $name {
/// Every variant.
pub const ALL: &'static [$name] = &[$($name::$value,)*];
        }
    };
        }

listed_enum! {
/// Step of an attempt at which a fault is injected.
Step {
/// A path is being selected.
Choosing,
/// The request was sent; no engine has started.
Sent,
/// The engines have started; no token has arrived.
Started,
/// Some tokens have arrived.
Decoding,
/// Every token has arrived, the end of the stream has not.
Ending,
    }
        }

listed_enum! {
/// Fault to inject.
Fault {
/// No path is available.
NoPath,
/// The connection could not be opened.
NoConnection,
/// The engine refuses and states that it did not start.
Refused,
/// The connection is lost.
Lost,
/// A stage fails and the engine reports it.
StageFailed,
/// No more frames arrive.
Silence,
/// The stream ends with too few tokens.
CutShort,
/// A token arrives twice.
TokenTwice,
/// A token is skipped.
TokenSkipped,
/// A token has run too few layers.
LayerSkipped,
/// A frame of an earlier attempt arrives.
OldFrame,
/// The client disconnects.
CallerGone,
/// The deadline of the request passes.
Deadline,
    }
        }

/// One cell of the matrix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Cell {
    /// Step at which the faults are injected.
    pub step: Step,
    /// Fault of the first attempt.
    pub first: Fault,
    /// Fault of the second attempt, at the same step.
    pub second: Option<Fault>,
    /// Whether the request may not be repeated.
    pub at_most_once: bool,
}

impl Cell {
    /// Whether the faults can occur at the step: once an engine has started, neither the engine nor
    /// the network can correctly report that it has not.
    pub fn is_possible(self) -> bool {
        let not_started = matches!(self.step, Step::Choosing | Step::Sent);
        let excludes_start = |f: Fault| matches!(f, Fault::NoConnection | Fault::Refused);
        not_started || !(excludes_start(self.first) || self.second.is_some_and(excludes_start))
    }
}

/// Result of a cell's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellResult {
    /// Outcome reported to the client.
    pub outcome: Outcome,
    /// Attempts that an engine started.
    pub executions: u32,
    /// Tokens sent to the client.
    pub tokens: u32,
}

/// Returns every cell, those with a single fault first.
pub fn cells() -> Vec<Cell> {
    let mut cells = Vec::new();
    let seconds = std::iter::once(None).chain(Fault::ALL.iter().copied().map(Some));
    for second in seconds {
        for step in Step::ALL.iter().copied() {
            for first in Fault::ALL.iter().copied() {
                for at_most_once in [false, true] {
                    let cell = Cell { step, first, second, at_most_once };
                    cells.extend(cell.is_possible().then_some(cell));
                }
            }
        }
    }
    cells
}

struct Run {
    cell: Cell,
    relay: Relay,
    sent: Vec<u32>,
    executions: u32,
    attempt: Option<Attempt>,
    outcome: Option<Outcome>,
}

/// Runs one cell and checks every property.
///
/// # Errors
///
/// Returns the [`Violation`] found.
pub fn run_cell(cell: Cell) -> Result<CellResult, Violation> {
    let repeat = if cell.at_most_once { Repeat::Never } else { Repeat::Allowed };
    let plan = RelayPlan { max_tokens: TOKENS, layers: LAYERS, attempts: 4, repeat };
    let (sent, executions) = (Vec::new(), 0);
    let mut run =
        Run { cell, relay: Relay::new(plan), sent, executions, attempt: None, outcome: None };
    let faults = [Some(cell.first), cell.second, None, None, None];
    for fault in faults {
        if run.outcome.is_some() {
            break;
        }
        run.run_attempt(fault)?;
    }
    let Some(outcome) = run.outcome else {
        return Err(Violation::new(Property::CompleteResponse, "the request has no final outcome"));
    };
    run.check(outcome)?;
    Ok(CellResult { outcome, executions: run.executions, tokens: run.sent.len() as u32 })
}

impl Run {
    /// Runs one attempt, with `fault` injected at the cell's step.
    fn run_attempt(&mut self, fault: Option<Fault>) -> Result<(), Violation> {
        let step = self.cell.step;
        let fault_at = |s: Step| fault.filter(|_| step == s);
        match fault_at(Step::Choosing) {
            Some(fault) if self.inject(fault)? => return Ok(()),
            _ => {}
        }
        let Some(path) = path() else { return Ok(()) };
        self.send_event(RelayEvent::Chosen(path))?;
        let current = self.attempt;
        match fault_at(Step::Sent) {
            Some(fault) if self.inject(fault)? => return Ok(()),
            _ => {}
        }
        self.executions += 1;
        match fault_at(Step::Started) {
            Some(fault) if self.inject(fault)? => return Ok(()),
            _ => {}
        }
        let start = self.sent.len() as u32;
        for position in start..TOKENS {
            if position == start + (TOKENS - start) / 2 {
                match fault_at(Step::Decoding) {
                    Some(fault) if self.inject(fault)? => return Ok(()),
                    _ => {}
                }
            }
            self.token(position, LAYERS)?;
        }
        match fault_at(Step::Ending) {
            Some(fault) if self.inject(fault)? => return Ok(()),
            _ => {}
        }
        match (self.attempt, self.outcome) {
            (Some(attempt), None) if self.attempt == current => {
                let (count, reason) = (TOKENS, EndReason::Length);
                self.send_event(RelayEvent::Ended { attempt, count, reason }).map(drop)
            }
            _ => Ok(()),
        }
    }

    /// Injects a fault; returns whether it ended the attempt.
    fn inject(&mut self, fault: Fault) -> Result<bool, Violation> {
        let attempt = self.attempt.unwrap_or(Attempt(1));
        let next = self.sent.len() as u32;
        let reason = EndReason::Length;
        let broken = |how| RelayEvent::Broken { attempt, how, engine: None };
        let event = match fault {
            Fault::NoPath => RelayEvent::NoPath,
            Fault::NoConnection => broken(Broken::Unsent),
            Fault::Refused => broken(Broken::Refused),
            Fault::Lost => broken(Broken::Lost),
            Fault::StageFailed => broken(Broken::Faulted),
            Fault::Silence => RelayEvent::Stalled(vec![]),
            Fault::CutShort => RelayEvent::Ended { attempt, count: next + 1, reason },
            Fault::TokenTwice => token(attempt, next.saturating_sub(1), LAYERS),
            Fault::TokenSkipped => token(attempt, next + 1, LAYERS),
            Fault::LayerSkipped => token(attempt, next, LAYERS - 1),
            Fault::OldFrame => token(Attempt(attempt.0.saturating_sub(1)), next, LAYERS),
            Fault::CallerGone => RelayEvent::Abandoned,
            Fault::Deadline => RelayEvent::Expired,
        };
        let ended = self.send_event(event)?;
        // A request that was sent and lost may have run, and counts as run.
        let ambiguous = !matches!(fault, Fault::NoConnection | Fault::Refused | Fault::NoPath);
        if self.cell.step == Step::Sent && ambiguous && ended {
            self.executions += 1;
        }
        Ok(ended)
    }

    fn token(&mut self, position: u32, layers: u32) -> Result<(), Violation> {
        match self.attempt {
            Some(attempt) => self.send_event(token(attempt, position, layers)).map(drop),
            None => Ok(()),
        }
    }

    /// Passes an event to the relay; returns whether it ended the attempt.
    fn send_event(&mut self, event: RelayEvent) -> Result<bool, Violation> {
        let mut ended = false;
        let mut actions = VecDeque::from(self.relay.on(event));
        while let Some(action) = actions.pop_front() {
            match action {
                RelayAction::Dispatch { attempt, .. } => self.attempt = Some(attempt),
                RelayAction::Emit(emitted) => {
                    let expected = value(self.attempt, self.sent.len() as u32);
                    self.sent.push(emitted);
                    Violation::unless(emitted == expected, Property::Layers, || {
                        format!("{:?}: the relay emitted a wrong token", self.cell)
                    })?;
                }
                RelayAction::Finish(_) => self.outcome = Some(Outcome::Done),
                RelayAction::GiveUp(outcome) => self.outcome = Some(outcome),
                RelayAction::Choose => ended = true,
                RelayAction::Cancel(_) => {}
            }
        }
        Ok(ended || self.outcome.is_some())
    }

    fn check(&self, outcome: Outcome) -> Result<(), Violation> {
        let complete = self.sent.len() as u32 == TOKENS;
        let cell = self.cell;
        Violation::unless(
            outcome != Outcome::Done || complete,
            Property::CompleteResponse,
            || format!("{cell:?}: reported as done with {} tokens", self.sent.len()),
        )?;
        let ran = self.executions > 0;
        Violation::unless(outcome != Outcome::NotRun || !ran, Property::NotRun, || {
            format!("{cell:?}: reported as not run although an engine started")
        })?;
        Violation::unless(
            !cell.at_most_once || self.executions <= 1,
            Property::AtMostOnce,
            || format!("{cell:?}: ran {} times", self.executions),
        )?;
        let terminal = [Fault::NoPath, Fault::CallerGone, Fault::Deadline];
        let given_up =
            terminal.contains(&cell.first) || cell.second.is_some_and(|f| terminal.contains(&f));
        let recovers = cell.at_most_once || given_up || outcome == Outcome::Done;
        Violation::unless(recovers, Property::CompleteResponse, || {
            format!("{cell:?}: gave up with {outcome} although a retry was allowed")
        })
    }
}

fn token(attempt: Attempt, position: u32, layers: u32) -> RelayEvent {
    let token = value(Some(attempt), position);
    RelayEvent::Token { attempt, position, token, layers }
}

fn value(attempt: Option<Attempt>, position: u32) -> u32 {
    attempt.map_or(0, |a| a.0 * 100 + position)
}

fn path() -> Option<Path> {
    let model = Model::new(digest(&[b"m"]), digest(&[b"v"]), LAYERS);
    let stage = |name: &[u8], first, end| Stage {
        engine: digest(&[name]),
        address: digest(&[name]),
        layers: LayerRange::new(first, end),
        epoch: Epoch(0),
    };
    Path::new(&model, vec![stage(b"a", 0, 2), stage(b"b", 2, LAYERS)]).ok()
}
