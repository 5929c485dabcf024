//! A stream over all its attempts: which engine is next, and what failures mean.
//!
//! `flow_forward` decides when it is sent to another node instead.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use heathpitch_core::{EngineEntry, Evidence, Millis, Name, Path};
use heathpitch_net::Events;
use heathpitch_policy::{Pressure, ShedReason, Suspicion, just_started};
use hyper::StatusCode;

use super::Traffic;
use super::admission::{self, Load, Sharing, Shed};
use super::admit::Call;
use super::forward::{Declined, Forwarding, Hop};
use super::open::{HeldTokens, OpenCall, WaitingRequest};
use super::pick::{self, Avoid, Chosen, Full};
use super::record::{AttemptLog, record_parts_answered};
use super::refusal::{CallLoad, RefusalKind};
use super::send::{Answer, Failure, Target, send};
use crate::gateway::balance::{BalancedService, Locality};
use crate::gateway::engine_table::EngineView;
use crate::gateway::event::GatewayEvent;
use crate::gateway::live::{LiveStream, StreamTerms};
use crate::gateway::shared::{ControlMessage, LostAttempt};

/// Attempts in which nothing could be sent to the first engine of the path.
pub(super) const MAX_UNSENT: u32 = 4;
/// Time for which a started stream waits for a path: callers disconnect after two seconds of
/// silence.
const PATH_WAIT_MS: Millis = 1_700;
/// Largest memory pressure of a path that a stream is sent to after an engine refused it for lack of
/// capacity. At 0.85, streams were rejected that a second engine would have taken.
const MAX_RETRY_MEMORY: f64 = 0.98;
/// Interval of searches for a path.
const SEARCH_INTERVAL: Duration = Duration::from_millis(50);

/// A stream over all its attempts.
pub(crate) struct Flow {
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) call: Arc<Call>,
    pub(crate) events: Events,
    pub(crate) attempts: u32,
    pub(crate) evidence: Evidence,
    /// The running attempt.
    pub(crate) live: Option<Arc<LiveStream>>,
    pub(crate) head: Option<Name>,
    /// The other node that handles the stream, if it was forwarded.
    pub(crate) hop: Option<Hop>,
    pub(crate) _open: OpenCall,
    /// Load that the last choice of an engine is based on.
    pub(crate) load: Option<CallLoad>,
    held: Option<HeldTokens>,
    /// Whether it is counted, as demand and as admitted. It is decided about again after an attempt
    /// in which nothing was sent.
    counted: bool,
    /// The engine of the running attempt, and the events relayed before it.
    started: Option<(Arc<EngineEntry>, u64)>,
    /// Whether the running attempt got past the start of its answer.
    past_start: bool,
    /// Events of the last attempt whose connection was lost.
    lost_events: Option<u32>,
    /// Whether to wait for a path if there is none.
    waits_for_path: bool,
    /// Whether an engine refused the stream for lack of capacity.
    found_full: bool,
    /// Part of the service's recent demand that is more urgent, 0 to 1.
    urgent_share: f64,
    pub(super) unsent: u32,
    /// Attempts whose connections failed.
    pub(super) unreached: u32,
    avoid: Vec<Name>,
    pub(super) forwarding: Forwarding,
}

/// An engine, with its path, that a stream may be sent to.
struct Choice {
    /// The first engine of the path.
    view: EngineView,
    path: Option<Path>,
    full: Option<Full>,
    /// Load of the path, or of an engine without one.
    pressure: Pressure,
    /// Where the path lies; none for an engine without one.
    locality: Option<Locality>,
}

/// Why no engine took a stream.
pub(crate) enum DispatchError {
    /// It was shed.
    Shed(Shed),
    /// Another node refused it.
    Declined(Declined),
    /// An engine's error response, to be passed on unchanged.
    Failed(Box<Answer>),
    /// There is no response to pass on.
    Refused(RefusalKind),
}

/// # Construction
impl Flow {
    /// A stream without any attempt yet.
    pub(crate) fn new(traffic: Arc<Traffic>, call: Arc<Call>, open: OpenCall) -> Self {
        let urgent_share =
            traffic.rank_mixes.record(&call.service.name, call.rank(), traffic.shared.now());
        Self {
            events: Events::after(call.head.after),
            traffic,
            call,
            attempts: 0,
            evidence: Evidence::new(),
            live: None,
            head: None,
            hop: None,
            _open: open,
            load: None,
            held: None,
            counted: false,
            started: None,
            past_start: false,
            lost_events: None,
            waits_for_path: false,
            found_full: false,
            urgent_share,
            unsent: 0,
            unreached: 0,
            avoid: Vec::new(),
            forwarding: Forwarding::default(),
        }
    }
}

/// # Attempts
impl Flow {
    /// Sends the stream to engines until one takes it.
    pub(super) async fn dispatch_to_engines(&mut self) -> Result<Answer, DispatchError> {
        let mut kind = RefusalKind::NoEngine;
        let was_cut_off = self.is_cut_off();
        while self.attempts < self.call.attempts() && self.unsent < MAX_UNSENT {
            let is_last = self.attempts + 1 == self.call.attempts();
            if is_last && self.lost_events.is_some() && !was_cut_off {
                self.traffic.shared.reach.await_check(&self.call.service.name).await;
            }
            // Other nodes are tried before more engines.
            if self.is_cut_off() && !was_cut_off {
                return Err(DispatchError::Refused(kind));
            }
            let Some(choice) = self.choose().await else {
                let (shared, service) = (&self.traffic.shared, &self.call.service.name);
                shared.reach.record_without_engine(service, shared.now());
                return Err(DispatchError::Refused(kind));
            };
            let sharing = Sharing::of_call(&self.traffic, &self.call, self.urgent_share);
            self.load = Some(match &sharing {
                Some(sharing) => sharing.load(choice.pressure),
                None => CallLoad { pressure: choice.pressure.level(), share: None },
            });
            // A started stream is never shed: it is worth more than the capacity it takes.
            if self.attempts == 0 && self.call.head.after.is_none() {
                self.admit(&choice, sharing).map_err(DispatchError::Shed)?;
            }
            if self.would_be_refused_again(&choice) {
                self.traffic.shared.metrics.capacity_rejections.inc();
                return Err(DispatchError::Refused(RefusalKind::EnginesRefused));
            }
            let Choice { view, path, locality, .. } = choice;
            if self.attempts > 0 && !self.allows_retry() {
                return Err(DispatchError::Refused(kind));
            }
            if self.attempts > 0 && !self.traffic.retry_budgets.spend(&self.call).await {
                return Err(DispatchError::Refused(kind));
            }
            if let Some(locality) = locality {
                self.traffic.shared.metrics.routed.with_label_values(&[locality.label()]).inc();
            }
            match self.attempt(&view, path.as_ref()).await {
                Ok(answer) if answer.parts.status == StatusCode::OK => {
                    self.attempts += 1;
                    self.evidence.started();
                    return Ok(answer);
                }
                Ok(failed) => {
                    self.attempts += 1;
                    self.evidence.started();
                    self.evidence.lost();
                    kind = RefusalKind::Broken;
                    let last = self.attempts >= self.call.attempts();
                    if last || !failed.parts.status.is_server_error() {
                        return Err(DispatchError::Failed(Box::new(failed)));
                    }
                    self.avoid.push(view.entry.id.clone());
                }
                Err(failure) => {
                    kind = self.record_failure(&view, &failure);
                    if let Failure::HeldBack(declined) = failure {
                        return Err(DispatchError::Declined(declined));
                    }
                }
            }
            if !self.call.route.kind.retryable() && self.evidence.not_run().is_none() {
                return Err(DispatchError::Refused(kind));
            }
        }
        Err(DispatchError::Refused(kind))
    }

    /// Moves the stream to another engine while the running attempt is silent but has not ended.
    ///
    /// If no engine takes it, the running attempt continues.
    pub(crate) async fn replace(&mut self, why: &str) -> Option<Answer> {
        if self.attempts >= self.call.attempts() {
            return None;
        }
        let (live, head, held) = (self.live.take(), self.head.take(), self.held.take());
        let hop = self.hop.take();
        if let Some(head) = head.as_ref().filter(|head| !self.avoid.contains(head)) {
            self.log_lost(head, why);
            self.avoid.push(head.clone());
        }
        if let Some(hop) = &hop {
            self.forwarding.avoid(hop);
        }
        self.evidence.lost();
        self.waits_for_path = false;
        match self.dispatch().await {
            Ok(answer) => {
                self.events.restart();
                Some(answer)
            }
            Err(_) => {
                (self.live, self.head, self.held, self.hop) = (live, head, held, hop);
                self.evidence.started();
                None
            }
        }
    }

    /// Ends the running attempt because of `why`; its engine is avoided from now on.
    pub(crate) fn fail(&mut self, why: &str) {
        if let Some(head) = self.head.take() {
            self.log_lost(&head, why);
            self.avoid.push(head);
        }
        match self.hop.take() {
            Some(hop) => self.forwarding.avoid(&hop),
            None => {
                let (shared, service) = (&self.traffic.shared, &self.call.service.name);
                shared.suspect_reach(service, Suspicion::Failed, shared.now());
                self.notify_lost();
            }
        }
        self.evidence.lost();
        self.live = None;
        self.held = None;
        self.waits_for_path = self.events.count() > 0;
        self.events.restart();
    }

    /// Sheds a stream that no path has capacity for, or that the load of the chosen path leaves no
    /// room for.
    ///
    /// A stream that is refused at once can be retried and lets the others start in time. Streams
    /// beyond the capacity make engines evict others and prefill them again.
    fn admit(&mut self, choice: &Choice, sharing: Option<Sharing>) -> Result<(), Shed> {
        let now = self.traffic.shared.now();
        let decision = match &choice.full {
            Some(full) => Err(Shed { reason: ShedReason::Full, detail: full.to_string() }),
            None => {
                let (pressure, wait_ms) = (choice.pressure, choice.view.stats.wait_ms(now));
                admission::admit(&self.call, sharing, Load { pressure, wait_ms })
            }
        };
        if !std::mem::replace(&mut self.counted, true) {
            if let Some(sharing) = sharing {
                sharing.count(&self.traffic, &self.call, decision.is_ok());
            }
            if decision.is_ok() {
                self.traffic.retry_schedules.admit(&self.call.service.name, now);
            }
        }
        decision.inspect_err(|shed| shed.count(&self.traffic, &self.call))
    }

    /// Records events of the running attempt: an engine that gets past the start of an answer is not
    /// crashed by a part of the prompt.
    pub(crate) fn record_progress(&mut self) {
        let started = self.started.as_ref().filter(|_| !self.past_start);
        let Some((engine, before)) = started else { return };
        let events = self.events.count().saturating_sub(*before).min(u32::MAX.into()) as u32;
        if !just_started(events) {
            self.past_start = true;
            record_parts_answered(&self.traffic, &self.call, engine);
        }
    }

    /// Records that the running attempt was answered completely.
    pub(crate) fn record_complete(&self) {
        if let Some((engine, _)) = &self.started {
            record_parts_answered(&self.traffic, &self.call, engine);
        }
    }

    fn attempt_log<'a>(&'a self, engine: &'a Name, attempt: u32) -> AttemptLog<'a> {
        AttemptLog { traffic: &self.traffic, call: &self.call, engine, attempt }
    }

    /// Logs that the running attempt is given up because of `why`.
    fn log_lost(&self, engine: &Name, why: &str) {
        let failure = Failure::Lost(why.to_owned());
        self.attempt_log(engine, self.attempts).failed(&failure, self.events.count());
    }

    /// Whether another attempt is safe after the way in which the last one failed.
    pub(super) fn allows_retry(&self) -> bool {
        let quarantine = self.traffic.shared.quarantine.load();
        self.lost_events.is_none_or(|events| {
            quarantine.allows_retry(events, self.call.parts(), || self.call.fingerprint())
        })
    }

    /// Whether a stream that an engine had no capacity for would likely find none on this path either.
    ///
    /// A started stream is worth another attempt in any case.
    fn would_be_refused_again(&self, choice: &Choice) -> bool {
        self.found_full
            && self.events.last().is_none()
            && self.traffic.shared.table.load().forecast
            && choice.pressure.memory > MAX_RETRY_MEMORY
    }

    /// Notifies the control thread that the attempt's connection was lost: its engine may have exited.
    fn notify_lost(&mut self) {
        let Some((engine, before)) = self.started.take() else { return };
        let events = self.events.count().saturating_sub(before).min(u32::MAX.into()) as u32;
        self.lost_events = Some(events);
        let (fingerprint, parts) = (self.call.fingerprint(), self.call.parts().clone());
        let lost = LostAttempt { engine, fingerprint, parts, events };
        self.traffic.shared.notify_control(ControlMessage::ConnectionLost(lost));
    }

    /// Chooses an engine for the next attempt; a started stream that lost its engine waits for one.
    async fn choose(&self) -> Option<Choice> {
        let start = self.traffic.shared.now();
        loop {
            match self.try_choose() {
                Some(found) => return Some(found),
                None if !self.waits_for_path || self.is_cut_off() => return None,
                None if self.traffic.shared.now() >= start + PATH_WAIT_MS => return None,
                None => tokio::time::sleep(SEARCH_INTERVAL).await,
            }
        }
    }

    fn try_choose(&self) -> Option<Choice> {
        let shared = &self.traffic.shared;
        let table = shared.table.load();
        let domain = shared.settings.load().domain.clone();
        let avoid = Avoid { engines: &self.avoid, now: shared.now() };
        match &self.call.service.model {
            Some(model) => {
                let service =
                    BalancedService { name: &self.call.service.name, model, home: &domain };
                let drawn = shared.balances.draw(shared, &table, service);
                let Chosen { path, full, pressure, locality } =
                    pick::path(&table, &self.call, &domain, drawn.as_ref(), avoid)?;
                let view = table.by_id(path.head().engine.as_str())?.clone();
                let locality = Some(locality);
                Some(Choice { view, path: Some(path), full, pressure, locality })
            }
            None => {
                let view = pick::engine(&table, &self.call.service.name, &domain, avoid)?;
                let target = self.call.route.latency_target_ms.max(1) as f64;
                let start = view.stats.wait_ms(shared.now()) / target;
                let pressure = Pressure { memory: 0.0, start };
                Some(Choice { view, path: None, full: None, pressure, locality: None })
            }
        }
    }

    async fn attempt(&mut self, view: &EngineView, path: Option<&Path>) -> Result<Answer, Failure> {
        let traffic = self.traffic.clone();
        let now = traffic.shared.now();
        self.attempt_log(&view.entry.id, self.attempts + 1).routed(path, self.events.last());
        let table = traffic.shared.table.load_full();
        let downstream = path.map_or_else(Vec::new, |p| table.downstream_of(p));
        self.hold_tokens(view, &downstream);
        self.started = Some((view.entry.clone(), self.events.count()));
        self.past_start = false;
        self.head = Some(view.entry.id.clone());
        self.live = path.map(|p| {
            let request = self.call.head.id.clone();
            let need = pick::expected_tokens(&self.call);
            let terms = StreamTerms {
                rank: self.call.rank(),
                urgent_share: self.urgent_share,
                max_pause_ms: self.call.route.max_pause_ms,
                start_by: self.call.received + self.call.route.latency_target_ms,
            };
            LiveStream::new(request, self.call.service.name.clone(), p.clone(), need, terms, now)
        });
        self.evidence.sent();
        let _waiting = WaitingRequest::new(view.stats.clone());
        let after = self.events.last();
        let target = Target { view, downstream: &downstream, path, after };
        let sent = send(&traffic, &self.call, &target);
        let Some(live) = self.live.clone() else { return sent.await };
        traffic.shared.notify_control(ControlMessage::Stream(live.clone()));
        tokio::select! {
            biased;
            answer = sent => {
                let done = traffic.shared.now();
                live.record_events(0, done);
                view.stats.record_latency(done.saturating_sub(now), done);
                answer
            }
            () = live.abandoned() => {
                Err(Failure::Lost("the first engine of the path does not respond".to_owned()))
            }
        }
    }

    fn hold_tokens(&mut self, view: &EngineView, downstream: &[&EngineView]) {
        let engines = std::iter::once(view).chain(downstream.iter().copied());
        let stats = engines.map(|s| s.stats.clone()).collect();
        self.held = Some(HeldTokens::new(
            self.traffic.shared.clone(),
            stats,
            pick::expected_tokens(&self.call) as u64,
        ));
    }

    /// Records a failed attempt.
    fn record_failure(&mut self, view: &EngineView, failure: &Failure) -> RefusalKind {
        let now = self.traffic.shared.now();
        self.attempt_log(&view.entry.id, self.attempts + 1).failed(failure, self.events.count());
        self.live = None;
        self.held = None;
        self.head = None;
        match failure {
            Failure::Unsent(_) => {
                self.unsent += 1;
                self.unreached += 1;
                self.evidence.unsent();
                view.stats.gauge().record_failure(now);
                self.traffic.pool.close_idle(view.entry.address);
                self.avoid.push(view.entry.id.clone());
                RefusalKind::NoEngine
            }
            Failure::HeldBack(declined) => {
                self.evidence.unsent();
                declined.kind
            }
            Failure::Backpressure => {
                self.unsent += 1;
                self.evidence.unsent();
                self.avoid.push(view.entry.id.clone());
                RefusalKind::NoEngine
            }
            // Avoid it for this stream, so that others are tried however many engines are limited.
            Failure::NoRight(none) => {
                self.evidence.unsent();
                self.avoid.push(none.engine.clone());
                RefusalKind::NoEngine
            }
            Failure::Refused { status, faulty_address } => {
                self.attempts += 1;
                self.evidence.refused();
                let at = faulty_address.unwrap_or(view.entry.address);
                self.found_full |= self.means_full(at, *status);
                let rejecting = self.deprioritize_at(at, *status, now);
                self.avoid.push(rejecting.unwrap_or_else(|| view.entry.id.clone()));
                RefusalKind::EnginesRefused
            }
            Failure::Lost(_) => {
                self.attempts += 1;
                self.notify_lost();
                self.evidence.lost();
                self.avoid.push(view.entry.id.clone());
                RefusalKind::Broken
            }
        }
    }

    /// Whether a refusal with this status by the engine at this address means that it has no capacity.
    ///
    /// A misdirected stage means that the engine holds other layers, and a draining engine refuses
    /// whatever its load.
    fn means_full(&self, at: SocketAddr, status: StatusCode) -> bool {
        let table = self.traffic.shared.table.load();
        let is_draining =
            table.by_address(at).is_some_and(|v| v.stats.backpressure().is_draining());
        status != StatusCode::MISDIRECTED_REQUEST && !is_draining
    }

    /// Deprioritizes the engine at this address, which refused its stage; returns its id.
    fn deprioritize_at(&self, at: SocketAddr, status: StatusCode, now: Millis) -> Option<Name> {
        let shared = &self.traffic.shared;
        let table = shared.table.load();
        let found = table.by_address(at)?;
        found.stats.deprioritize(now + pick::REJECTION_COOLDOWN_MS);
        GatewayEvent::EngineSuspected {
            engine: found.entry.id.clone(),
            why: "refused its stage of a path",
            for_ms: pick::REJECTION_COOLDOWN_MS,
        }
        .log();
        let id = found.entry.id.clone();
        shared.notify_control(match status {
            StatusCode::MISDIRECTED_REQUEST => ControlMessage::LayerMismatch(id.clone()),
            _ => ControlMessage::Refused(id.clone()),
        });
        Some(id)
    }
}
