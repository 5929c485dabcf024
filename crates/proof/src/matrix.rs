//! Fault matrix of a request: every fault at every step, alone, in pairs and twice.

use std::collections::VecDeque;

use heathpitch_core::{Attempt, Epoch, LayerRange, Model, Outcome, Path, Stage, digest};
use heathpitch_policy::{Broken, EndReason, Relay, RelayAction, RelayEvent, RelayPlan, Repeat};

use crate::breach::{Breach, Promise};

const LAYERS: u32 = 4;
const TOKENS: u32 = 4;

/// Declares a closed enum together with the list of all its values.
macro_rules! closed {
    ($(#[$doc:meta])* $name:ident { $($(#[$item:meta])* $value:ident,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum $name { $($(#[$item])* $value,)* }

        impl $name {
            /// Every value.
            pub const ALL: &'static [$name] = &[$($name::$value,)*];
        }
    };
}

closed! {
    /// Step of an attempt at which a fault comes.
    Step {
        /// A path is being chosen.
        Choosing,
        /// The request was sent; no engine has started.
        Sent,
        /// The engines have started; there is no token yet.
        Started,
        /// Some tokens have come.
        Decoding,
        /// Every token has come, the end has not.
        Ending,
    }
}

closed! {
    /// Fault that comes at a step.
    Fault {
        /// No path can be had.
        NoPath,
        /// No connection is made.
        NoConnection,
        /// The engine refuses with a statement of no start.
        Refused,
        /// The connection is lost.
        Lost,
        /// A stage fails and the engine says so.
        StageFailed,
        /// Nothing comes any more.
        Silence,
        /// The end comes with too few tokens.
        CutShort,
        /// A token comes twice.
        TokenTwice,
        /// A token is skipped.
        TokenSkipped,
        /// A token has run too few layers.
        LayerSkipped,
        /// A frame of an older attempt comes.
        OldFrame,
        /// The caller goes away.
        CallerGone,
        /// The time for the request is over.
        Deadline,
    }
}

/// One cell of the matrix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Cell {
    /// Step.
    pub step: Step,
    /// Fault of the first attempt.
    pub first: Fault,
    /// Fault of the second attempt, at the same step.
    pub second: Option<Fault>,
    /// Whether the request may be repeated.
    pub never: bool,
}

impl Cell {
    /// Whether the faults can come at the step: once an engine has started, neither it nor the
    /// network can truly say that it has not.
    pub fn possible(self) -> bool {
        let before = matches!(self.step, Step::Choosing | Step::Sent);
        let denies = |f: Fault| matches!(f, Fault::NoConnection | Fault::Refused);
        before || !(denies(self.first) || self.second.is_some_and(denies))
    }
}

/// What became of a cell's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Outcome told to the caller.
    pub outcome: Outcome,
    /// Attempts that an engine started.
    pub executions: u32,
    /// Tokens the caller got.
    pub tokens: u32,
}

/// Every cell, singles first.
pub fn cells() -> Vec<Cell> {
    let mut cells = Vec::new();
    let seconds = std::iter::once(None).chain(Fault::ALL.iter().copied().map(Some));
    for second in seconds {
        for step in Step::ALL.iter().copied() {
            for first in Fault::ALL.iter().copied() {
                for never in [false, true] {
                    let cell = Cell { step, first, second, never };
                    cells.extend(cell.possible().then_some(cell));
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

/// Runs one cell and checks every promise in it.
///
/// # Errors
///
/// The [`Breach`] found.
pub fn run_cell(cell: Cell) -> Result<Verdict, Breach> {
    let repeat = if cell.never { Repeat::Never } else { Repeat::Allowed };
    let plan = RelayPlan { max_tokens: TOKENS, layers: LAYERS, attempts: 4, repeat };
    let (sent, executions) = (Vec::new(), 0);
    let mut run =
        Run { cell, relay: Relay::new(plan), sent, executions, attempt: None, outcome: None };
    let faults = [Some(cell.first), cell.second, None, None, None];
    for fault in faults {
        if run.outcome.is_some() {
            break;
        }
        run.attempt_with(fault)?;
    }
    let Some(outcome) = run.outcome else {
        return Err(Breach::new(Promise::WholeAnswer, "the request has no final answer"));
    };
    run.check(outcome)?;
    Ok(Verdict { outcome, executions: run.executions, tokens: run.sent.len() as u32 })
}

impl Run {
    /// One attempt, in which `fault` comes at the cell's step.
    fn attempt_with(&mut self, fault: Option<Fault>) -> Result<(), Breach> {
        let step = self.cell.step;
        let at = |s: Step| fault.filter(|_| step == s);
        match at(Step::Choosing) {
            Some(fault) if self.inject(fault)? => return Ok(()),
            _ => {}
        }
        let Some(path) = path() else { return Ok(()) };
        self.tell(RelayEvent::Chosen(path))?;
        let before = self.attempt;
        match at(Step::Sent) {
            Some(fault) if self.inject(fault)? => return Ok(()),
            _ => {}
        }
        self.executions += 1;
        match at(Step::Started) {
            Some(fault) if self.inject(fault)? => return Ok(()),
            _ => {}
        }
        let start = self.sent.len() as u32;
        for position in start..TOKENS {
            if position == start + (TOKENS - start) / 2 {
                match at(Step::Decoding) {
                    Some(fault) if self.inject(fault)? => return Ok(()),
                    _ => {}
                }
            }
            self.token(position, LAYERS)?;
        }
        match at(Step::Ending) {
            Some(fault) if self.inject(fault)? => return Ok(()),
            _ => {}
        }
        match (self.attempt, self.outcome) {
            (Some(attempt), None) if self.attempt == before => {
                let (count, reason) = (TOKENS, EndReason::Length);
                self.tell(RelayEvent::Ended { attempt, count, reason }).map(drop)
            }
            _ => Ok(()),
        }
    }

    /// Injects a fault; true if it ended the attempt.
    fn inject(&mut self, fault: Fault) -> Result<bool, Breach> {
        let attempt = self.attempt.unwrap_or(Attempt(1));
        let due = self.sent.len() as u32;
        let reason = EndReason::Length;
        let broken = |how| RelayEvent::Broken { attempt, how, engine: None };
        let event = match fault {
            Fault::NoPath => RelayEvent::NoPath,
            Fault::NoConnection => broken(Broken::Unsent),
            Fault::Refused => broken(Broken::Refused),
            Fault::Lost => broken(Broken::Lost),
            Fault::StageFailed => broken(Broken::Faulted),
            Fault::Silence => RelayEvent::Stalled(vec![]),
            Fault::CutShort => RelayEvent::Ended { attempt, count: due + 1, reason },
            Fault::TokenTwice => token(attempt, due.saturating_sub(1), LAYERS),
            Fault::TokenSkipped => token(attempt, due + 1, LAYERS),
            Fault::LayerSkipped => token(attempt, due, LAYERS - 1),
            Fault::OldFrame => token(Attempt(attempt.0.saturating_sub(1)), due, LAYERS),
            Fault::CallerGone => RelayEvent::Abandoned,
            Fault::Deadline => RelayEvent::Expired,
        };
        let ended = self.tell(event)?;
        // What was sent and lost may have run: take it that it did.
        let ambiguous = !matches!(fault, Fault::NoConnection | Fault::Refused | Fault::NoPath);
        if self.cell.step == Step::Sent && ambiguous && ended {
            self.executions += 1;
        }
        Ok(ended)
    }

    fn token(&mut self, position: u32, layers: u32) -> Result<(), Breach> {
        match self.attempt {
            Some(attempt) => self.tell(token(attempt, position, layers)).map(drop),
            None => Ok(()),
        }
    }

    /// Tells the relay of an event; true if the attempt ended with it.
    fn tell(&mut self, event: RelayEvent) -> Result<bool, Breach> {
        let mut ended = false;
        let mut actions = VecDeque::from(self.relay.on(event));
        while let Some(action) = actions.pop_front() {
            match action {
                RelayAction::Dispatch { attempt, .. } => self.attempt = Some(attempt),
                RelayAction::Emit(given) => {
                    let right = value(self.attempt, self.sent.len() as u32);
                    self.sent.push(given);
                    Breach::unless(given == right, Promise::Layers, || {
                        format!("{:?}: a wrong token was emitted", self.cell)
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

    fn check(&self, outcome: Outcome) -> Result<(), Breach> {
        let whole = self.sent.len() as u32 == TOKENS;
        let cell = self.cell;
        Breach::unless(outcome != Outcome::Done || whole, Promise::WholeAnswer, || {
            format!("{cell:?}: done with {} tokens", self.sent.len())
        })?;
        let ran = self.executions > 0;
        Breach::unless(outcome != Outcome::NotRun || !ran, Promise::NotRun, || {
            format!("{cell:?}: said not to have run")
        })?;
        Breach::unless(!cell.never || self.executions <= 1, Promise::AtMostOnce, || {
            format!("{cell:?}: ran {} times", self.executions)
        })?;
        let last = [Fault::NoPath, Fault::CallerGone, Fault::Deadline];
        let given_up = last.contains(&cell.first) || cell.second.is_some_and(|f| last.contains(&f));
        let recovers = cell.never || given_up || outcome == Outcome::Done;
        Breach::unless(recovers, Promise::WholeAnswer, || {
            format!("{cell:?}: {outcome} although it could be repeated")
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
