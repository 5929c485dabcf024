//! Filter: runs a model request over paths of engines until its final answer.
//!
//! The decisions are those of [`Relay`]; this module carries them out.

mod attempt;
mod ending;
mod failure;

use std::collections::VecDeque;
use std::sync::Arc;

use futures::StreamExt;
use futures::future::BoxFuture;
use heathpitch_core::{Account, Attempt, Millis, Name, Outcome, Path};
use heathpitch_net::{Body, FrameStream, SendError};
use heathpitch_policy::{
    Relay, RelayAction, RelayEvent, RelayPlan, StallDetector, blocks, prompt_tokens,
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
use super::{Ask, Context, Refusal, RefusalKind};
use crate::event::Reason;

/// Time told to a caller whose request found no path, milliseconds.
const BACK: Millis = 1_000;

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
    pace: StallDetector,
    look: Option<JoinHandle<Vec<Name>>>,
    warn: Millis,
    text: String,
    prompt: u32,
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
        let tokens = prompt_tokens(&job.ask.prompt);
        let prompt = tokens.len() as u32;
        let renderer = Renderer::new(&cx.id, &job.ask, prompt);
        let output = Output::new(renderer, reply, job.ask.stream, keyed);
        cx.traffic.limits.lock().budget.earn();
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
            pace: StallDetector::new(0, 0, cx.start),
            look: None,
            warn: 0,
            text: String::new(),
            prompt,
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
