//! Filter: runs a model request over paths of engines until its final answer.
//!
//! [`Relay`] makes the decisions; this module performs its actions.

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

use super::attempt_event::AttemptEvent;
use super::guard::{OpenCounts, Permit};
use super::idempotency::Reservation;
use super::keyed_request::DispatchedKey;
use super::render::Renderer;
use super::response_writer::ResponseWriter;
use super::route::RouteMatch;
use super::{Context, ModelRequest, Refusal, RefusalKind};
use crate::event::AttemptReason;

/// Retry delay for a caller whose request found no path.
const RETRY_AFTER_MS: Millis = 1_000;

/// A request that has passed all other filters.
pub(crate) struct Job {
    pub(crate) account: Arc<Account>,
    pub(crate) route: RouteMatch,
    pub(crate) request: ModelRequest,
    pub(crate) permit: Permit,
    pub(crate) reservation: Reservation,
}

/// Runs the request; a stream continues after the response head is returned.
pub(crate) async fn run(
    cx: &Context,
    raw: &super::parse::RawRequest,
    job: Job,
) -> Result<Response<Body>, Refusal> {
    let (reply, response) = oneshot::channel();
    let run = Run::new(cx.clone(), raw, job, reply);
    tokio::spawn(run.drive());
    let lost = Refusal::new(Outcome::Unknown, RefusalKind::Broken, "the request was dropped");
    response.await.unwrap_or(Err(lost))
}

/// Connection state of an attempt.
enum AttemptStream {
    Connecting(BoxFuture<'static, Result<FrameStream, SendError>>),
    Open(FrameStream),
}

struct Run {
    cx: Context,
    account: Arc<Account>,
    matched: RouteMatch,
    request: ModelRequest,
    relay: Relay,
    writer: ResponseWriter,
    reservation: Option<Reservation>,
    dispatched: Option<DispatchedKey>,
    has_key: bool,
    stream: Option<AttemptStream>,
    current_path: Option<Path>,
    open_counts: Option<OpenCounts>,
    stall_detector: StallDetector,
    probe_task: Option<JoinHandle<Vec<Name>>>,
    probe_after: Millis,
    token_text: String,
    prompt_len: u32,
    prefix_blocks: Vec<u64>,
    reason: AttemptReason,
    refusal_kind: RefusalKind,
    retry_after: Millis,
    predicted_ms: f64,
    _permit: Permit,
}

/// # Driving
impl Run {
    fn new(
        cx: Context,
        raw: &super::parse::RawRequest,
        job: Job,
        reply: oneshot::Sender<super::response_writer::ResponseResult>,
    ) -> Self {
        let has_key = matches!(job.reservation, Reservation::Keyed(_));
        let plan = RelayPlan {
            max_tokens: job.request.max_tokens,
            layers: job.route.model.layers,
            attempts: job.route.route.settings.attempts,
            repeat: raw.idempotency.repeat(),
        };
        let tokens = prompt_tokens(&job.request.prompt);
        let prompt_len = tokens.len() as u32;
        let renderer = Renderer::new(&cx.id, &job.request, prompt_len);
        let writer = ResponseWriter::new(renderer, reply, job.request.stream, has_key);
        cx.traffic.limits.lock().budget.earn();
        let prefix_blocks = blocks(&job.account.name, &job.route.model.name, &tokens);
        Self {
            account: job.account,
            matched: job.route,
            request: job.request,
            relay: Relay::new(plan),
            writer,
            reservation: Some(job.reservation),
            dispatched: None,
            has_key,
            stream: None,
            current_path: None,
            open_counts: None,
            stall_detector: StallDetector::new(0, 0, cx.start),
            probe_task: None,
            probe_after: 0,
            token_text: String::new(),
            prompt_len,
            prefix_blocks,
            reason: AttemptReason::First,
            refusal_kind: RefusalKind::NoPath,
            retry_after: RETRY_AFTER_MS,
            predicted_ms: 0.0,
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
                        if let Some(event) = self.perform(action).await {
                            actions.extend(self.relay.on(event));
                        }
                    }
                }
            }
            let event = self.next_event().await;
            actions.extend(self.relay.on(event));
        }
    }

    /// Performs an action that does not end the request.
    async fn perform(&mut self, action: RelayAction) -> Option<RelayEvent> {
        match action {
            RelayAction::Choose => Some(self.choose_path().await),
            RelayAction::Dispatch { attempt, path } => self.dispatch(attempt, path),
            RelayAction::Emit(_) => {
                self.cx.traffic.shared.metrics.tokens.inc();
                let text = std::mem::take(&mut self.token_text);
                let delivered = self.writer.write_token(&self.cx, &text).await;
                (!delivered && !self.has_key).then_some(RelayEvent::Abandoned)
            }
            RelayAction::Cancel(attempt) => {
                self.cancel(attempt);
                None
            }
            RelayAction::Finish(_) | RelayAction::GiveUp(_) => None,
        }
    }

    /// Waits for the next event.
    async fn next_event(&mut self) -> RelayEvent {
        loop {
            let clock = self.cx.traffic.shared.clock;
            let stall = self.stall_detector.stalls_at();
            let timer = if self.probe_task.is_some() {
                stall
            } else {
                self.probe_after.max(self.stall_detector.warns_at())
            };
            let due = timer.min(stall).min(self.matched.deadline);
            tokio::select! {
                biased;
                event = Self::receive(&mut self.stream, &self.cx.id, self.relay.attempt()) => {
                    match event {
                        Some(event) => return self.handle_event(event),
                        None => continue,
                    }
                }
                () = self.writer.caller_gone(), if !self.has_key => return RelayEvent::Abandoned,
                suspects = Self::probe_result(&mut self.probe_task) => {
                    if let Some(event) = self.handle_probe(suspects) {
                        return event;
                    }
                }
                () = tokio::time::sleep_until(clock.instant(due)) => {}
            }
            let now = self.cx.traffic.shared.now();
            match now {
                _ if now >= self.matched.deadline => {
                    self.refusal_kind = RefusalKind::Expired;
                    return RelayEvent::Expired;
                }
                _ if now >= stall => return self.stall(Vec::new()),
                _ if now >= timer && self.probe_task.is_none() => {
                    self.probe_task = Some(self.start_probe())
                }
                _ => {}
            }
        }
    }

    async fn probe_result(task: &mut Option<JoinHandle<Vec<Name>>>) -> Vec<Name> {
        match task {
            Some(handle) => handle.await.unwrap_or_default(),
            None => std::future::pending().await,
        }
    }

    async fn receive(
        stream: &mut Option<AttemptStream>,
        id: &str,
        attempt: Attempt,
    ) -> Option<AttemptEvent> {
        match stream {
            Some(AttemptStream::Connecting(opening)) => match opening.await {
                Ok(frames) => {
                    *stream = Some(AttemptStream::Open(frames));
                    None
                }
                Err(e) => Some(AttemptEvent::from_error(attempt, e)),
            },
            Some(AttemptStream::Open(frames)) => {
                Some(AttemptEvent::from_frame(frames.next().await, id, attempt))
            }
            None => std::future::pending().await,
        }
    }
}
