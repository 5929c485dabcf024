//! Attempts of one request, from the first dispatch to the final response.
//!
//! The relay lets only one attempt at a time emit tokens, drops frames of earlier attempts, resumes
//! at the first token not yet sent, and reports only an outcome that its evidence proves.

use heathpitch_core::{Attempt, Evidence, Invariant, Name, Outcome, Path, check};

use crate::switch::{Mechanism, on};

/// Whether a request that may have started may be dispatched again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Dispatching it again is allowed.
    Allowed,
    /// It is never dispatched again.
    Never,
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The model ended it.
    Stop,
    /// The requested number of tokens was reached.
    Length,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// No connection was made, and no byte was sent.
    Unsent,
    /// The upstream reported that it did not start the request.
    Refused,
    /// The upstream reported that a stage failed after the start.
    Faulted,
    /// The connection was lost, the response was malformed, or the wait timed out.
    Lost,
}

/// Limits of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayPlan {
    /// Maximum length of the answer in tokens.
    pub max_tokens: u32,
    /// Layers that every token must run.
    pub layers: u32,
    /// Most attempts.
    pub attempts: u32,
    /// Whether a started request may be dispatched again.
    pub repeat: Repeat,
}

/// Event of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayEvent {
    /// A path was chosen for the next attempt.
    Chosen(Path),
    /// No path is available.
    NoPath,
    /// A token arrived.
    Token {
        /// Attempt it belongs to.
        attempt: Attempt,
        /// Its position in the answer, from 0.
        position: u32,
        /// Its id.
        token: u32,
        /// Layers that it ran, according to the engines.
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
    /// The attempt failed.
    Broken {
        /// Attempt it belongs to.
        attempt: Attempt,
        /// Kind of failure.
        how: Broken,
        /// Engine at fault, if known.
        engine: Option<Name>,
    },
    /// The stream was silent for too long; holds the unresponsive engines, if any were found.
    Stalled(Vec<Name>),
    /// The deadline of the request has passed.
    Expired,
    /// The client has disconnected.
    Abandoned,
}

/// Action to take next.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayAction {
    /// Select a path that avoids the engines of [`Relay::avoid`], then send [`RelayEvent::Chosen`].
    Choose,
    /// Send the request over the path, with the tokens sent so far as prefix.
    Dispatch {
        /// Number of the attempt.
        attempt: Attempt,
        /// Path to take.
        path: Path,
    },
    /// Send a token to the client.
    Emit(u32),
    /// Stop reading an attempt, and cancel it at its upstream.
    Cancel(Attempt),
    /// The answer is complete.
    Finish(EndReason),
    /// Send the final response at once; the answer is incomplete.
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
/// let plan = RelayPlan { max_tokens: 8, layers: 4, attempts: 3, repeat: Repeat::Allowed };
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
    evidence: Evidence,
}

/// # Construction and reading
impl Relay {
    /// Creates a request that waits for its first path.
    pub fn new(plan: RelayPlan) -> Self {
        Self {
            plan,
            phase: Phase::Choosing,
            attempt: Attempt(0),
            path: None,
            sent: Vec::new(),
            avoid: Vec::new(),
            evidence: Evidence::new(),
        }
    }

    /// Tokens sent to the client so far.
    pub fn sent(&self) -> &[u32] {
        &self.sent
    }

    /// Engines to avoid in the next selection.
    pub fn avoid(&self) -> &[Name] {
        &self.avoid
    }

    /// Latest attempt.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Whether the final response was sent.
    pub fn over(&self) -> bool {
        self.phase == Phase::Over
    }

    /// Evidence collected about the request.
    pub fn evidence(&self) -> Evidence {
        self.evidence
    }
}

/// # Events
impl Relay {
    /// Handles an event and returns the resulting actions.
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
            self.plan.repeat == Repeat::Allowed || self.evidence.not_run().is_some(),
        );
        self.attempt = self.attempt.next();
        self.phase = Phase::Running;
        self.path = Some(path.clone());
        self.evidence.sent();
        vec![RelayAction::Dispatch { attempt: self.attempt, path }]
    }

    fn token(
        &mut self,
        attempt: Attempt,
        position: u32,
        token: u32,
        layers: u32,
    ) -> Vec<RelayAction> {
        self.evidence.started();
        let due = self.sent.len() as u32;
        match position {
            p if (p == due && due < self.plan.max_tokens && layers == self.plan.layers)
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
                self.evidence.started();
                self.phase = Phase::Over;
                vec![RelayAction::Finish(reason)]
            }
            false => self.broken(Broken::Lost, None),
        }
    }

    /// Abandons the attempt and avoids the unresponsive engines, or the whole path if none was
    /// found.
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
            Broken::Unsent => self.evidence.unsent(),
            Broken::Refused => self.evidence.refused(),
            Broken::Faulted => {
                self.evidence.started();
                self.evidence.lost();
            }
            Broken::Lost if on(Mechanism::Evidence) => self.evidence.lost(),
            Broken::Lost => self.evidence.refused(),
        }
        self.phase = Phase::Choosing;
        self.avoid_engine(engine);
        let again = self.plan.repeat == Repeat::Allowed
            || self.evidence.not_run().is_some()
            || !on(Mechanism::NoRepeat);
        match self.attempt.0 < self.plan.attempts && again {
            true => vec![RelayAction::Choose],
            false => self.give_up(),
        }
    }

    /// Avoids the engine at fault or, if it is unknown, the head of the path.
    fn avoid_engine(&mut self, engine: Option<Name>) {
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
            self.evidence.lost();
        }
        actions.extend(self.give_up());
        actions
    }

    fn give_up(&mut self) -> Vec<RelayAction> {
        self.phase = Phase::Over;
        let outcome = self.evidence.outcome();
        check(Invariant::NotRunTruth, outcome != Outcome::NotRun || self.sent.is_empty());
        vec![RelayAction::GiveUp(outcome)]
    }
}
