//! One request's attempts, from the first dispatch to the final answer.
//!
//! The relay lets one attempt at a time emit tokens, drops frames of older attempts, resumes at
//! the first token not yet sent, and says of a request only what its evidence proves.

use heathpitch_core::{Attempt, Evidence, Invariant, Name, Outcome, Path, check};

use crate::switch::{Mechanism, on};

/// Whether a request may be dispatched again once it may have started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It may.
    Allowed,
    /// It may not.
    Never,
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The model ended it.
    Stop,
    /// The wanted number of tokens is there.
    Length,
}

/// How an attempt broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// No connection was made; no byte left.
    Unsent,
    /// The upstream stated that it did not start.
    Refused,
    /// The upstream stated that a stage failed after the start.
    Faulted,
    /// The connection was lost, the answer malformed or the wait too long.
    Lost,
}

/// Bounds of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayPlan {
    /// Tokens wanted.
    pub wanted: u32,
    /// Layers that every token must run.
    pub layers: u32,
    /// Attempts allowed.
    pub attempts: u32,
    /// Whether a started request may be dispatched again.
    pub repeat: Repeat,
}

/// Something that happened to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayEvent {
    /// A path was chosen for the next attempt.
    Chosen(Path),
    /// No path can be had.
    NoPath,
    /// A token arrived.
    Token {
        /// Attempt it belongs to.
        attempt: Attempt,
        /// Its position in the answer, from 0.
        position: u32,
        /// Its id.
        token: u32,
        /// Layers that the engines say it ran.
        layers: u32,
    },
    /// The upstream ended the answer.
    Ended {
        /// Attempt it belongs to.
        attempt: Attempt,
        /// Tokens in the whole answer.
        count: u32,
        /// Why it ended.
        reason: EndReason,
    },
    /// The attempt broke.
    Broken {
        /// Attempt it belongs to.
        attempt: Attempt,
        /// How.
        how: Broken,
        /// Engine at fault, if known.
        engine: Option<Name>,
    },
    /// The stream has been silent for too long; the engines that do not answer, if any was found.
    Stalled(Vec<Name>),
    /// The time for the request is over.
    Expired,
    /// The caller has gone.
    Abandoned,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayAction {
    /// Choose a path that avoids the named engines, then send [`RelayEvent::Chosen`].
    Choose,
    /// Send the request over the path, the first `resumed` tokens of the answer as prefix.
    Dispatch {
        /// Attempt to make.
        attempt: Attempt,
        /// Path to take.
        path: Path,
    },
    /// Pass a token to the caller.
    Emit(u32),
    /// Stop listening to an attempt and tell its upstream.
    Cancel(Attempt),
    /// The answer is whole.
    Finish(EndReason),
    /// Give the final answer at once; it is not whole.
    GiveUp(Outcome),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Choosing,
    Running,
    Over,
}

/// The attempts of one request.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{Relay, RelayAction, RelayEvent, RelayPlan, Repeat};
/// use heathpitch_core::Outcome;
///
/// let plan = RelayPlan { wanted: 8, layers: 4, attempts: 3, repeat: Repeat::Allowed };
/// let mut relay = Relay::new(plan);
/// assert_eq!(relay.on(RelayEvent::NoPath), vec![RelayAction::GiveUp(Outcome::NotRun)]);
/// ```
#[derive(Clone, Debug)]
pub struct Relay {
    plan: RelayPlan,
    phase: Phase,
    attempt: Attempt,
    path: Option<Path>,
    sent: Vec<u32>,
    avoid: Vec<Name>,
    seen: Evidence,
}

/// # Construction and reading
impl Relay {
    /// A request that waits for its first path.
    pub fn new(plan: RelayPlan) -> Self {
        Self {
            plan,
            phase: Phase::Choosing,
            attempt: Attempt(0),
            path: None,
            sent: Vec::new(),
            avoid: Vec::new(),
            seen: Evidence::new(),
        }
    }

    /// Tokens passed to the caller so far.
    pub fn sent(&self) -> &[u32] {
        &self.sent
    }

    /// Engines to avoid in the next choice.
    pub fn avoid(&self) -> &[Name] {
        &self.avoid
    }

    /// The newest attempt.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Whether the final answer was given.
    pub fn over(&self) -> bool {
        self.phase == Phase::Over
    }

    /// What is known of the request.
    pub fn evidence(&self) -> Evidence {
        self.seen
    }
}

/// # Events
impl Relay {
    /// Takes an event and gives the actions that follow from it.
    pub fn on(&mut self, event: RelayEvent) -> Vec<RelayAction> {
        match (self.phase, event) {
            (Phase::Over, _) => vec![],
            (Phase::Choosing, RelayEvent::Chosen(path)) => self.dispatch(path),
            (Phase::Choosing, RelayEvent::NoPath) => self.give_up(),
            (_, RelayEvent::Chosen(_) | RelayEvent::NoPath) => vec![],
            (Phase::Running, RelayEvent::Token { attempt, position, token, layers })
                if self.current(attempt) =>
            {
                self.token(attempt, position, token, layers)
            }
            (Phase::Running, RelayEvent::Ended { attempt, count, reason })
                if self.current(attempt) =>
            {
                self.ended(count, reason)
            }
            (Phase::Running, RelayEvent::Broken { attempt, how, engine })
                if self.current(attempt) =>
            {
                self.broken(how, engine)
            }
            (Phase::Running, RelayEvent::Stalled(silent)) => self.stalled(silent),
            (_, RelayEvent::Expired | RelayEvent::Abandoned) => self.stop(),
            (
                _,
                RelayEvent::Token { .. }
                | RelayEvent::Ended { .. }
                | RelayEvent::Broken { .. }
                | RelayEvent::Stalled(_),
            ) => vec![],
        }
    }

    fn current(&self, attempt: Attempt) -> bool {
        attempt == self.attempt || !on(Mechanism::AttemptNumbers)
    }

    fn dispatch(&mut self, path: Path) -> Vec<RelayAction> {
        check(
            Invariant::AtMostOnce,
            self.plan.repeat == Repeat::Allowed || self.seen.not_run().is_some(),
        );
        self.attempt = self.attempt.next();
        self.phase = Phase::Running;
        self.path = Some(path.clone());
        self.seen.sent();
        vec![RelayAction::Dispatch { attempt: self.attempt, path }]
    }

    fn token(
        &mut self,
        attempt: Attempt,
        position: u32,
        token: u32,
        layers: u32,
    ) -> Vec<RelayAction> {
        self.seen.started();
        let due = self.sent.len() as u32;
        match position {
            p if (p == due && due < self.plan.wanted && layers == self.plan.layers)
                || !on(Mechanism::Positions) =>
            {
                self.sent.push(token);
                check(Invariant::OneAttempt, attempt == self.attempt);
                check(Invariant::LayerCoverage, layers == self.plan.layers);
                check(Invariant::TokenOrder, self.sent.len() as u32 == position + 1);
                vec![RelayAction::Emit(token)]
            }
            _ => {
                let mut actions = vec![RelayAction::Cancel(self.attempt)];
                actions.extend(self.broken(Broken::Lost, None));
                actions
            }
        }
    }

    fn ended(&mut self, count: u32, reason: EndReason) -> Vec<RelayAction> {
        match count == self.sent.len() as u32 || !on(Mechanism::ExplicitEnd) {
            true => {
                self.seen.started();
                self.phase = Phase::Over;
                vec![RelayAction::Finish(reason)]
            }
            false => self.broken(Broken::Lost, None),
        }
    }

    /// Leaves the silent engines; if none was found, every one of the path.
    fn stalled(&mut self, silent: Vec<Name>) -> Vec<RelayAction> {
        let stages = self.path.iter().flat_map(|p| p.stages()).map(|s| s.engine.clone());
        let left = if silent.is_empty() { stages.collect() } else { silent };
        let last = left.last().cloned();
        self.avoid.extend(left.into_iter().filter(|e| Some(e) != last.as_ref()));
        let mut actions = vec![RelayAction::Cancel(self.attempt)];
        actions.extend(self.broken(Broken::Lost, last));
        actions
    }

    fn broken(&mut self, how: Broken, engine: Option<Name>) -> Vec<RelayAction> {
        match how {
            Broken::Unsent => self.seen.unsent(),
            Broken::Refused => self.seen.refused(),
            Broken::Faulted => {
                self.seen.started();
                self.seen.lost();
            }
            Broken::Lost if on(Mechanism::Evidence) => self.seen.lost(),
            Broken::Lost => self.seen.refused(),
        }
        self.phase = Phase::Choosing;
        self.shun(engine);
        let again = self.plan.repeat == Repeat::Allowed
            || self.seen.not_run().is_some()
            || !on(Mechanism::NoRepeat);
        match self.attempt.0 < self.plan.attempts && again {
            true => vec![RelayAction::Choose],
            false => self.give_up(),
        }
    }

    /// Remembers the engine at fault; without one, the head that was spoken to.
    fn shun(&mut self, engine: Option<Name>) {
        let head = self.path.take().map(|p| p.head().engine.clone());
        match engine.or(head) {
            Some(name) if !self.avoid.contains(&name) => self.avoid.push(name),
            _ => {}
        }
    }

    fn stop(&mut self) -> Vec<RelayAction> {
        let mut actions = Vec::new();
        if self.phase == Phase::Running {
            actions.push(RelayAction::Cancel(self.attempt));
            self.seen.lost();
        }
        actions.extend(self.give_up());
        actions
    }

    fn give_up(&mut self) -> Vec<RelayAction> {
        self.phase = Phase::Over;
        let outcome = self.seen.outcome();
        check(Invariant::NotRunTruth, outcome != Outcome::NotRun || self.sent.is_empty());
        vec![RelayAction::GiveUp(outcome)]
    }
}
