//! A stream over all its sends: which engine is asked next, and what its failures mean.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use heathpitch_core::{EngineEntry, Evidence, Millis, Name, Path};
use heathpitch_net::Events;
use hyper::StatusCode;
use rand::Rng;

use super::Traffic;
use super::admit::Call;
use super::open::{Held, OpenCall, Waiting};
use super::pick::{self, Avoid, Chosen, Full};
use super::record::Sending;
use super::refused::RefusedKind;
use super::send::{Answer, Failure, Target, send};
use crate::gateway::engine_table::EngineView;
use crate::gateway::event::GatewayEvent;
use crate::gateway::live::LiveStream;
use crate::gateway::shared::{LostAttempt, Notice};

/// Paths tried whose first engine cannot even be connected to.
const UNSENT_MOST: u32 = 4;
/// Time for which a stream that has begun waits for a path, milliseconds: callers leave after two
/// seconds of silence.
const HOLD: Millis = 1_700;
/// Wait, as a share of the time in which first events are wanted, from which streams are refused.
const SHED_FROM: f64 = 0.7;
/// Further share over which the part that is refused grows to all.
const SHED_SPAN: f64 = 0.8;
/// Largest part that is refused: the others show whether the wait is over.
const SHED_MOST: f64 = 0.9;
/// Time between two looks for a path.
const LOOK: Duration = Duration::from_millis(50);

/// A stream, over all its sends.
pub(crate) struct Flow {
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) call: Arc<Call>,
    pub(crate) events: Events,
    pub(crate) sends: u32,
    pub(crate) seen: Evidence,
    /// The attempt that runs.
    pub(crate) live: Option<Arc<LiveStream>>,
    pub(crate) head: Option<Name>,
    pub(crate) _open: OpenCall,
    held: Option<Held>,
    /// The engine of the attempt that runs, and the events passed on before it.
    begun: Option<(Arc<EngineEntry>, u64)>,
    /// Events that the last attempt whose connection was lost had brought.
    lost: Option<u32>,
    /// Whether to wait for a path where there is none.
    patient: bool,
    unsent: u32,
    avoid: Vec<Name>,
}

/// Engines that a stream may be sent to.
struct Choice {
    /// The first one.
    view: EngineView,
    path: Option<Path>,
    full: Option<Full>,
}

/// Why a stream has no engine.
pub(crate) enum Ended {
    /// It is not let in, because of this.
    Shed(String),
    /// An engine's own failure, to be passed on as it is.
    Failed(Box<Answer>),
    /// Nothing that can be passed on.
    Refused(RefusedKind),
}

/// # Construction
impl Flow {
    /// A stream that was sent nowhere yet.
    pub(crate) fn new(traffic: Arc<Traffic>, call: Arc<Call>, open: OpenCall) -> Self {
        Self {
            events: Events::after(call.head.after),
            traffic,
            call,
            sends: 0,
            seen: Evidence::new(),
            live: None,
            head: None,
            _open: open,
            held: None,
            begun: None,
            lost: None,
            patient: false,
            unsent: 0,
            avoid: Vec::new(),
        }
    }
}

/// # Sends
impl Flow {
    /// Sends the stream until an engine takes it.
    pub(crate) async fn dispatch(&mut self) -> Result<Answer, Ended> {
        let mut kind = RefusedKind::NoEngine;
        while self.sends < self.call.route.attempts && self.unsent < UNSENT_MOST {
            let Some(choice) = self.choose().await else {
                return Err(Ended::Refused(kind));
            };
            // One that has begun is worth more than the room it takes.
            if self.sends == 0 && self.call.head.after.is_none() {
                self.admit(&choice).map_err(Ended::Shed)?;
                self.traffic
                    .retry_schedules
                    .admit(&self.call.service.name, self.traffic.shared.now());
            }
            let Choice { view, path, .. } = choice;
            if self.sends > 0 && !self.allows_retry() {
                return Err(Ended::Refused(kind));
            }
            if self.sends > 0 && !self.traffic.retry_budgets.spend(&self.call.service.name) {
                return Err(Ended::Refused(kind));
            }
            match self.once(&view, path.as_ref()).await {
                Ok(answer) if answer.parts.status == StatusCode::OK => {
                    self.sends += 1;
                    self.seen.started();
                    return Ok(answer);
                }
                Ok(failed) => {
                    self.sends += 1;
                    self.seen.started();
                    self.seen.lost();
                    kind = RefusedKind::Broken;
                    let last = self.sends >= self.call.route.attempts;
                    if last || !failed.parts.status.is_server_error() {
                        return Err(Ended::Failed(Box::new(failed)));
                    }
                    self.avoid.push(view.entry.id.clone());
                }
                Err(failure) => kind = self.note(&view, &failure),
            }
            if !self.call.route.kind.retryable() && self.seen.not_run().is_none() {
                return Err(Ended::Refused(kind));
            }
        }
        Err(Ended::Refused(kind))
    }

    /// Asks another engine to go on while the attempt that runs is silent but not ended.
    ///
    /// If none takes the stream, everything is as before.
    pub(crate) async fn replace(&mut self, why: &str) -> Option<Answer> {
        if self.sends >= self.call.route.attempts {
            return None;
        }
        let (live, head, held) = (self.live.take(), self.head.take(), self.held.take());
        if let Some(head) = &head {
            self.log_lost(head, why);
            self.avoid.push(head.clone());
        }
        self.seen.lost();
        self.patient = false;
        match self.dispatch().await {
            Ok(answer) => {
                self.events.restart();
                Some(answer)
            }
            Err(_) => {
                (self.live, self.head, self.held) = (live, head, held);
                self.seen.started();
                None
            }
        }
    }

    /// Ends the attempt that runs, because `why`; its engine is not asked again.
    pub(crate) fn fail(&mut self, why: &str) {
        if let Some(head) = self.head.take() {
            self.log_lost(&head, why);
            self.avoid.push(head);
        }
        self.tell_lost();
        self.seen.lost();
        self.live = None;
        self.held = None;
        self.patient = self.events.count() > 0;
        self.events.restart();
    }

    /// Refuses a stream that no path has room for, or that would begin late: the more likely, the
    /// longer the wait. Gives why.
    ///
    /// What is refused at once leaves the others in time, and can come back. Streams beyond the room
    /// make engines drop others and read them anew.
    fn admit(&self, choice: &Choice) -> Result<(), String> {
        if let Some(full) = &choice.full {
            return Err(full.to_string());
        }
        let target = self.call.route.latency_target_ms as f64;
        let wait = choice.view.stats.wait_ms(self.traffic.shared.now());
        let share = (wait / target - SHED_FROM) / SHED_SPAN;
        match share > 0.0 && rand::rng().random_bool(share.min(SHED_MOST)) {
            true => Err(format!("its first event would come late, after {wait:.0} ms or so")),
            false => Ok(()),
        }
    }

    fn sending<'a>(&'a self, engine: &'a Name, attempt: u32) -> Sending<'a> {
        Sending { traffic: &self.traffic, call: &self.call, engine, attempt }
    }

    /// The attempt that runs is given up, because `why`.
    fn log_lost(&self, engine: &Name, why: &str) {
        let failure = Failure::Lost(why.to_owned());
        self.sending(engine, self.sends).failed(&failure, self.events.count());
    }

    /// Whether what the last attempt met speaks for a further one.
    fn allows_retry(&self) -> bool {
        let quarantine = self.traffic.shared.quarantine.load();
        self.lost.is_none_or(|events| quarantine.allows_retry(events, || self.call.print()))
    }

    /// Tells the control thread that the attempt's connection was lost, because its engine may have ended.
    fn tell_lost(&mut self) {
        let Some((engine, before)) = self.begun.take() else { return };
        let events = self.events.count().saturating_sub(before).min(u32::MAX.into()) as u32;
        self.lost = Some(events);
        let lost = LostAttempt { engine, print: self.call.print(), events };
        self.traffic.shared.notify(Notice::ConnectionLost(lost));
    }

    /// A path for the next send; a stream that has begun and lost its engine waits for one.
    async fn choose(&self) -> Option<Choice> {
        let start = self.traffic.shared.now();
        loop {
            match self.look() {
                Some(found) => return Some(found),
                None if !self.patient => return None,
                None if self.traffic.shared.now() >= start + HOLD => return None,
                None => tokio::time::sleep(LOOK).await,
            }
        }
    }

    fn look(&self) -> Option<Choice> {
        let shared = &self.traffic.shared;
        let table = shared.table.load();
        let home = shared.settings.load().domain.clone();
        let avoid = Avoid { engines: &self.avoid, now: shared.now() };
        match &self.call.service.model {
            Some(_) => {
                let Chosen { path, full } = pick::path(&table, &self.call, &home, avoid)?;
                let view = table.by_id(path.head().engine.as_str())?.clone();
                Some(Choice { view, path: Some(path), full })
            }
            None => {
                let view = pick::engine(&table, &self.call.service.name, &home, avoid)?;
                Some(Choice { view, path: None, full: None })
            }
        }
    }

    async fn once(&mut self, view: &EngineView, path: Option<&Path>) -> Result<Answer, Failure> {
        let traffic = self.traffic.clone();
        let now = traffic.shared.now();
        self.sending(&view.entry.id, self.sends + 1).routed(path, self.events.last());
        let table = traffic.shared.table.load_full();
        let behind = path.map_or_else(Vec::new, |p| table.downstream_of(p));
        self.hold(view, &behind);
        self.begun = Some((view.entry.clone(), self.events.count()));
        self.head = Some(view.entry.id.clone());
        self.live = path.map(|p| {
            let request = self.call.head.id.clone();
            let (need, pause) = (pick::need(&self.call), self.call.route.max_pause_ms);
            LiveStream::new(request, self.call.service.name.clone(), p.clone(), need, pause, now)
        });
        self.seen.sent();
        let _waiting = Waiting::new(view.stats.clone());
        let after = self.events.last();
        let target = Target { view, behind: &behind, path, after };
        let sent = send(&traffic, &self.call, &target);
        let Some(live) = self.live.clone() else { return sent.await };
        traffic.shared.notify(Notice::Stream(live.clone()));
        tokio::select! {
            biased;
            answer = sent => {
                let done = traffic.shared.now();
                live.record_events(0, done);
                view.stats.record_latency(done.saturating_sub(now), done);
                answer
            }
            () = live.abandoned() => {
                Err(Failure::Lost("the first engine of the path does not answer".to_owned()))
            }
        }
    }

    fn hold(&mut self, view: &EngineView, behind: &[&EngineView]) {
        let engines = std::iter::once(view).chain(behind.iter().copied());
        let tallies = engines.map(|s| s.stats.clone()).collect();
        self.held =
            Some(Held::new(self.traffic.shared.clone(), tallies, pick::need(&self.call) as u64));
    }

    /// Takes note of a failed send.
    fn note(&mut self, view: &EngineView, failure: &Failure) -> RefusedKind {
        let now = self.traffic.shared.now();
        self.sending(&view.entry.id, self.sends + 1).failed(failure, self.events.count());
        self.live = None;
        self.held = None;
        self.head = None;
        match failure {
            Failure::Unsent(_) => {
                self.unsent += 1;
                self.seen.unsent();
                view.stats.gauge().record_failure(now);
                self.traffic.pool.close_idle(view.entry.address);
                self.avoid.push(view.entry.id.clone());
                RefusedKind::NoEngine
            }
            Failure::Unwanted => {
                self.unsent += 1;
                self.seen.unsent();
                self.avoid.push(view.entry.id.clone());
                RefusedKind::NoEngine
            }
            // It is not asked again for this stream, so that others are, however many name limits.
            Failure::NoRight(none) => {
                self.seen.unsent();
                self.avoid.push(none.engine.clone());
                RefusedKind::NoEngine
            }
            Failure::Refused { status, faulty_address } => {
                self.sends += 1;
                self.seen.refused();
                let at = faulty_address.unwrap_or(view.entry.address);
                let blamed = self.blame(at, *status, now);
                self.avoid.push(blamed.unwrap_or_else(|| view.entry.id.clone()));
                RefusedKind::EnginesRefused
            }
            Failure::Lost(_) => {
                self.sends += 1;
                self.tell_lost();
                self.seen.lost();
                self.avoid.push(view.entry.id.clone());
                RefusedKind::Broken
            }
        }
    }

    /// Prefers others to the engine at this address, which refused its part; gives its id.
    fn blame(&self, at: SocketAddr, status: StatusCode, now: Millis) -> Option<Name> {
        let shared = &self.traffic.shared;
        let table = shared.table.load();
        let found = table.by_address(at)?;
        found.stats.deprioritize(now + pick::REJECTION_COOLDOWN_MS);
        GatewayEvent::EngineSuspected {
            engine: found.entry.id.clone(),
            why: "refused its part of a path",
            for_ms: pick::REJECTION_COOLDOWN_MS,
        }
        .log();
        let id = found.entry.id.clone();
        shared.notify(match status {
            StatusCode::MISDIRECTED_REQUEST => Notice::LayerMismatch(id.clone()),
            _ => Notice::Refused(id.clone()),
        });
        Some(id)
    }
}
