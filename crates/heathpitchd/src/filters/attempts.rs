//! Filter: runs a model request over paths of engines until its final answer.
//!
//! The decisions are those of [`Relay`]; this module carries them out.

use std::collections::VecDeque;
use std::sync::Arc;

use futures::StreamExt;
use futures::future::BoxFuture;
use heathpitch_core::{Account, Attempt, Millis, Name, Outcome, Path, Stage};
use heathpitch_net::{Body, FrameStream, GenerateCall, Hop, SendError};
use heathpitch_policy::{
    Broken, EndReason, Pace, Relay, RelayAction, RelayEvent, RelayPlan, blocks, choose,
    prompt_tokens,
};
use hyper::Response;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use super::arrival::Arrival;
use super::guard::{Opened, Permit};
use super::keyed::Dispatched;
use super::output::Output;
use super::render::Renderer;
use super::repeat::Granted;
use super::route::Matched;
use super::{Ask, Context, Refusal, RefusalKind, probe};
use crate::event::{Event, Reason};
use crate::shared::ToControl;

/// Time for which a started request waits for a path to come back, milliseconds.
const HOLD: Millis = 3_000;
/// Time between two looks for a path.
const LOOK: std::time::Duration = std::time::Duration::from_millis(40);
/// Time for which a failed engine gets no new work of this node, milliseconds.
const DOUBT: Millis = 3_000;
/// Time told to a caller whose request found no path, milliseconds.
const BACK: Millis = 1_000;
/// Predicted first-token times that an attempt may take before it counts as stalled.
const PATIENCE: f64 = 4.0;

/// A request that has passed every other filter.
pub(crate) struct Job {
    pub(crate) account: Arc<Account>,
    pub(crate) route: Matched,
    pub(crate) ask: Ask,
    pub(crate) permit: Permit,
    pub(crate) granted: Granted,
}

/// Runs the request; the answer goes on after the head of the response was given.
pub(crate) async fn run(
    cx: &Context,
    head: &super::parse::Head,
    job: Job,
) -> Result<Response<Body>, Refusal> {
    let (reply, response) = oneshot::channel();
    let run = Run::new(cx.clone(), head, job, reply);
    tokio::spawn(run.drive());
    let lost = Refusal::of(Outcome::Unknown, RefusalKind::Broken, "the request was dropped");
    response.await.unwrap_or(Err(lost))
}

/// What an attempt waits for.
enum Live {
    Opening(BoxFuture<'static, Result<FrameStream, SendError>>),
    Open(FrameStream),
}

struct Run {
    cx: Context,
    account: Arc<Account>,
    matched: Matched,
    ask: Ask,
    relay: Relay,
    output: Output,
    granted: Option<Granted>,
    dispatched: Option<Dispatched>,
    keyed: bool,
    live: Option<Live>,
    current: Option<Path>,
    opened: Option<Opened>,
    pace: Pace,
    look: Option<JoinHandle<Vec<Name>>>,
    warn: Millis,
    text: String,
    chain: Vec<u64>,
    reason: Reason,
    why: RefusalKind,
    back: Millis,
    predicted: f64,
    _permit: Permit,
}

/// # Driving
impl Run {
    fn new(
        cx: Context,
        head: &super::parse::Head,
        job: Job,
        reply: oneshot::Sender<super::output::Head>,
    ) -> Self {
        let keyed = matches!(job.granted, Granted::Keyed(_));
        let plan = RelayPlan {
            wanted: job.ask.wanted,
            layers: job.route.model.layers,
            attempts: job.route.route.settings.attempts,
            repeat: head.key.repeat(),
        };
        let renderer = Renderer::new(&cx.id, &job.ask, job.ask.prompt.len() as u32 + 1);
        let output = Output::new(renderer, reply, job.ask.stream, keyed);
        cx.traffic.limits.lock().budget.earn();
        let tokens = prompt_tokens(&job.ask.prompt);
        let chain = blocks(&job.account.name, &job.route.model.name, &tokens);
        Self {
            account: job.account,
            matched: job.route,
            ask: job.ask,
            relay: Relay::new(plan),
            output,
            granted: Some(job.granted),
            dispatched: None,
            keyed,
            live: None,
            current: None,
            opened: None,
            pace: Pace::new(0, 0, cx.start),
            look: None,
            warn: 0,
            text: String::new(),
            chain,
            reason: Reason::First,
            why: RefusalKind::NoPath,
            back: BACK,
            predicted: 0.0,
            _permit: job.permit,
            cx,
        }
    }

    async fn drive(mut self) {
        let mut actions = VecDeque::from([RelayAction::Choose]);
        loop {
            while let Some(action) = actions.pop_front() {
                match action {
                    RelayAction::Finish(reason) => return self.finish(reason).await,
                    RelayAction::GiveUp(outcome) => return self.give_up(outcome).await,
                    action => {
                        if let Some(event) = self.act(action).await {
                            actions.extend(self.relay.on(event));
                        }
                    }
                }
            }
            let event = self.next().await;
            actions.extend(self.relay.on(event));
        }
    }

    /// Carries out an action that does not end the request.
    async fn act(&mut self, action: RelayAction) -> Option<RelayEvent> {
        match action {
            RelayAction::Choose => Some(self.choose().await),
            RelayAction::Dispatch { attempt, path } => self.dispatch(attempt, path),
            RelayAction::Emit(_) => {
                self.cx.traffic.shared.metrics.tokens.inc();
                let text = std::mem::take(&mut self.text);
                let taken = self.output.token(&self.cx, &text).await;
                (!taken && !self.keyed).then_some(RelayEvent::Abandoned)
            }
            RelayAction::Cancel(attempt) => {
                self.cancel(attempt);
                None
            }
            RelayAction::Finish(_) | RelayAction::GiveUp(_) => None,
        }
    }

    /// Waits for whatever happens next.
    async fn next(&mut self) -> RelayEvent {
        loop {
            let clock = self.cx.traffic.shared.clock;
            let stall = self.pace.stalls_at();
            let timer =
                if self.look.is_some() { stall } else { self.warn.max(self.pace.warns_at()) };
            let due = timer.min(stall).min(self.matched.deadline);
            tokio::select! {
                biased;
                arrival = Self::receive(&mut self.live, &self.cx.id, self.relay.attempt()) => {
                    match arrival {
                        Some(arrival) => return self.note(arrival),
                        None => continue,
                    }
                }
                () = self.output.gone(), if !self.keyed => return RelayEvent::Abandoned,
                silent = Self::looked(&mut self.look) => {
                    if let Some(event) = self.found(silent) {
                        return event;
                    }
                }
                () = tokio::time::sleep_until(clock.instant(due)) => {}
            }
            let now = self.cx.traffic.shared.now();
            match now {
                _ if now >= self.matched.deadline => {
                    self.why = RefusalKind::Expired;
                    return RelayEvent::Expired;
                }
                _ if now >= stall => return self.stalled(Vec::new()),
                _ if now >= timer && self.look.is_none() => self.look = Some(self.start_look()),
                _ => {}
            }
        }
    }

    async fn looked(look: &mut Option<JoinHandle<Vec<Name>>>) -> Vec<Name> {
        match look {
            Some(handle) => handle.await.unwrap_or_default(),
            None => std::future::pending().await,
        }
    }

    async fn receive(live: &mut Option<Live>, id: &str, attempt: Attempt) -> Option<Arrival> {
        match live {
            Some(Live::Opening(opening)) => match opening.await {
                Ok(stream) => {
                    *live = Some(Live::Open(stream));
                    None
                }
                Err(e) => Some(Arrival::failed(attempt, e)),
            },
            Some(Live::Open(stream)) => Some(Arrival::framed(stream.next().await, id, attempt)),
            None => std::future::pending().await,
        }
    }
}

/// # Attempts
impl Run {
    /// Chooses a path; a request that has started waits a while for one.
    async fn choose(&mut self) -> RelayEvent {
        let retry = self.relay.attempt().0 > 0;
        let resumed = !self.relay.sent().is_empty();
        if retry && !resumed && !self.cx.traffic.limits.lock().budget.spend() {
            return RelayEvent::NoPath;
        }
        let start = self.cx.traffic.shared.now();
        loop {
            match self.path(retry) {
                Some(path) if !retry || self.alive(&path).await => return RelayEvent::Chosen(path),
                Some(_) => continue,
                None if !retry => return RelayEvent::NoPath,
                None => {}
            }
            let now = self.cx.traffic.shared.now();
            if now >= (start + HOLD).min(self.matched.deadline) {
                return RelayEvent::NoPath;
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Whether every engine of a path answers; those that do not are avoided from now on.
    async fn alive(&mut self, path: &Path) -> bool {
        let silent = probe::silent(self.cx.traffic.clone(), probe::stages(path)).await;
        silent.iter().for_each(|name| self.doubt(name));
        silent.is_empty()
    }

    fn path(&mut self, retry: bool) -> Option<Path> {
        let shared = &self.cx.traffic.shared;
        let fleet = shared.fleet.load();
        let prefixes = shared.prefixes.load();
        let engines = fleet.holding(&self.matched.model.name);
        let admits = |u: &heathpitch_policy::Upstream| {
            self.matched.index.admits(&self.matched.route, u.labels())
        };
        let mut ask = heathpitch_policy::Ask {
            model: &self.matched.model,
            domain: &shared.settings.domain,
            tokens: (self.ask.prompt.len() + 1 + self.relay.sent().len()) as u32,
            chain: &self.chain,
            prefixes: &prefixes,
            avoid: self.relay.avoid(),
            now: shared.now(),
            strategy: self.matched.route.settings.strategy,
        };
        let mut chosen = choose(engines, admits, &ask, &mut rand::rng());
        if chosen.is_err() && retry {
            ask.avoid = &[];
            chosen = choose(engines, admits, &ask, &mut rand::rng());
        }
        let (path, predicted) = chosen.ok()?;
        let left = self.matched.deadline.saturating_sub(ask.now) as f64;
        if predicted > left && !retry {
            self.why = RefusalKind::Overloaded;
            self.back = predicted as Millis;
            return None;
        }
        self.predicted = predicted;
        Some(path)
    }

    fn dispatch(&mut self, attempt: Attempt, path: Path) -> Option<RelayEvent> {
        if let Some(Granted::Keyed(hold)) = self.granted.take() {
            self.dispatched = hold.dispatch();
        }
        if self.keyed && self.dispatched.is_none() {
            return Some(RelayEvent::Abandoned);
        }
        self.log_route(attempt, &path);
        let shared = &self.cx.traffic.shared;
        let fleet = shared.fleet.load();
        let engines = fleet.holding(&self.matched.model.name);
        let on_path = engines.iter().filter(|u| path.uses(u.vm.name.as_str()));
        self.opened = Some(Opened::new(on_path.map(|u| u.gauge.clone()).collect()));
        let settings = &self.matched.route.settings;
        let first = settings.first_ms.max((self.predicted * PATIENCE) as Millis);
        let soon = (self.predicted * PATIENCE) as Millis;
        self.pace = Pace::new(settings.stall_ms, first, shared.now()).expecting(soon);
        self.look = None;
        self.warn = 0;
        let call = self.call(attempt, &path);
        let address = path.head().address.clone();
        self.live = Some(Live::Opening(self.cx.traffic.engine.generate(&address, call)));
        self.current = Some(path);
        None
    }

    fn call(&self, attempt: Attempt, path: &Path) -> GenerateCall {
        let hop = |s: &Stage| Hop {
            engine: s.engine.clone(),
            address: s.address.clone(),
            layers: s.layers,
            epoch: s.epoch,
        };
        GenerateCall {
            request: self.cx.id.clone(),
            attempt,
            model: path.model().clone(),
            version: path.version().clone(),
            account: self.account.name.clone(),
            priority: self.ask.priority,
            prompt: self.ask.prompt.clone(),
            resumed: self.relay.sent().to_vec(),
            wanted: self.ask.wanted,
            options: self.ask.options.clone(),
            hops: path.stages().iter().map(hop).collect(),
        }
    }

    fn cancel(&mut self, attempt: Attempt) {
        self.live = None;
        self.opened = None;
        if let Some(path) = &self.current {
            let request = self.cx.id.clone();
            let engine = &self.cx.traffic.engine;
            tokio::spawn(engine.cancel(&path.head().address, request, attempt));
        }
    }
}

/// # Failures
impl Run {
    /// Takes note of what an arrival says of engines and of the stream's pace.
    fn note(&mut self, arrival: Arrival) -> RelayEvent {
        let Arrival { event, text, unfit } = arrival;
        self.text = text;
        if let Some(name) = unfit {
            self.doubt(&name);
        }
        match &event {
            RelayEvent::Token { .. } => self.token(),
            RelayEvent::Broken { how, engine, .. } => self.broke(*how, engine.as_ref()),
            _ => {}
        }
        event
    }

    fn token(&mut self) {
        let shared = &self.cx.traffic.shared;
        let now = shared.now();
        match self.relay.sent().len() {
            0 => shared.metrics.first.observe(seconds(now - self.cx.start)),
            _ => shared.metrics.gap.observe(seconds(now.saturating_sub(self.pace.last()))),
        }
        self.pace.token(now);
        self.look = None;
        self.warn = 0;
    }

    fn broke(&mut self, how: Broken, engine: Option<&Name>) {
        self.reason = reason(how);
        self.why = match how {
            Broken::Unsent => RefusalKind::NoPath,
            Broken::Refused => RefusalKind::Refused,
            Broken::Faulted | Broken::Lost => RefusalKind::Broken,
        };
        let attempts = &self.cx.traffic.shared.metrics.attempts;
        attempts.with_label_values(&[self.why.as_str()]).inc();
        let head = self.current.as_ref().map(|p| &p.head().engine);
        if let Some(name) = engine.or(head).filter(|_| how != Broken::Refused) {
            self.doubt(name);
        }
        self.live = None;
        self.opened = None;
    }

    /// Keeps new work of this node away from an engine, and has it looked at.
    fn doubt(&self, name: &Name) {
        let shared = &self.cx.traffic.shared;
        let fleet = shared.fleet.load();
        let engines = fleet.holding(&self.matched.model.name);
        if let Some(u) = engines.iter().find(|u| u.vm.name == *name) {
            u.gauge.doubt(shared.now() + DOUBT);
        }
        shared.tell(ToControl::Failed(name.clone()));
    }

    /// Looks at every engine that a path could be made of, so that the next path avoids them all.
    fn start_look(&self) -> JoinHandle<Vec<Name>> {
        let fleet = self.cx.traffic.shared.fleet.load();
        let engines = fleet.holding(&self.matched.model.name).iter();
        let admitted =
            engines.filter(|u| self.matched.index.admits(&self.matched.route, u.labels()));
        let targets = probe::candidates(admitted);
        tokio::spawn(probe::silent(self.cx.traffic.clone(), targets))
    }

    /// Leaves the path at once if one of its engines does not answer; else waits on.
    fn found(&mut self, silent: Vec<Name>) -> Option<RelayEvent> {
        self.look = None;
        let now = self.cx.traffic.shared.now();
        self.warn = now + self.matched.route.settings.stall_ms;
        silent.iter().for_each(|name| self.doubt(name));
        let on_path = |n: &Name| self.current.as_ref().is_some_and(|p| p.uses(n.as_str()));
        let silent: Vec<Name> = silent.into_iter().filter(on_path).collect();
        (!silent.is_empty()).then(|| self.stalled(silent))
    }

    fn stalled(&mut self, silent: Vec<Name>) -> RelayEvent {
        self.reason = Reason::Stalled;
        self.why = RefusalKind::Broken;
        self.cx.traffic.shared.metrics.attempts.with_label_values(&["stalled"]).inc();
        RelayEvent::Stalled(silent)
    }
}

/// # Endings
impl Run {
    async fn finish(&mut self, reason: EndReason) {
        self.live = None;
        self.opened = None;
        let tokens = self.relay.sent().len() as u32;
        self.cx.traffic.shared.metrics.attempts.with_label_values(&["done"]).inc();
        let record = self.output.finish(&self.cx, reason, tokens).await;
        if let Some(dispatched) = self.dispatched.take() {
            dispatched.finish(record);
        }
        self.cx.traffic.shared.metrics.requests.with_label_values(&["done"]).inc();
        self.log_end(Outcome::Done);
    }

    async fn give_up(&mut self, outcome: Outcome) {
        self.live = None;
        self.opened = None;
        let message = match (outcome, self.why) {
            (_, RefusalKind::Expired) => "the request's time is over",
            (Outcome::NotRun, RefusalKind::Overloaded) => "the first token would come too late",
            (Outcome::NotRun, _) => "no engines can take the request now",
            (Outcome::Failed, _) => "an engine failed and the answer could not be completed",
            _ => "the connection to an engine was lost; the request may have run",
        };
        let refusal = Refusal::of(outcome, self.why, message).back(self.back);
        match (self.dispatched.take(), self.relay.evidence().not_run()) {
            (Some(dispatched), Some(proof)) => dispatched.not_run(proof),
            (Some(dispatched), None) => dispatched.finish(refusal.record()),
            (None, _) => {}
        }
        self.output.give_up(&self.cx, refusal).await;
        self.log_end(outcome);
    }

    fn log_route(&self, attempt: Attempt, path: &Path) {
        let stages = path.stages().iter().map(|s| (s.engine.clone(), s.layers)).collect();
        Event::Routed {
            request: self.cx.id.clone(),
            account: self.account.name.clone(),
            model: path.model().clone(),
            route: self.matched.route.name.clone(),
            attempt,
            stages,
            predicted_ms: self.predicted.round() as u64,
            reason: self.reason,
        }
        .log();
    }

    fn log_end(&self, outcome: Outcome) {
        Event::Finished {
            request: self.cx.id.clone(),
            account: self.account.name.clone(),
            outcome,
            tokens: self.relay.sent().len() as u32,
            attempts: self.relay.attempt().0,
            ms: self.cx.traffic.shared.now() - self.cx.start,
        }
        .log();
    }
}

fn seconds(ms: Millis) -> f64 {
    ms as f64 / 1_000.0
}

fn reason(how: Broken) -> Reason {
    match how {
        Broken::Unsent => Reason::Unsent,
        Broken::Refused => Reason::Refused,
        Broken::Faulted => Reason::Faulted,
        Broken::Lost => Reason::Lost,
    }
}
