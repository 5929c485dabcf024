//! Moves of stalled streams whose route states a maximum pause: which come first, and where they go.
//!
//! `heathpitch_policy` decides; this controller collects the stalled streams, forecasts their new
//! paths and carries the moves out. All state is that of one process and is lost with it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use heathpitch_core::{Millis, Name, Path};
use heathpitch_policy::{MoveBooking, MoveLoad, StalledStream, plan_moves, prefill_ms};
use tokio::sync::Notify;

use super::detour::{find_detour, prefill_stages, reachable_holders, substitute_prefill_ms};
use super::recovery::{self, MOVE_INTERVAL_MS, TrackedStream, reroute};
use super::state::Control;
use crate::gateway::engine_table::EngineTable;
use crate::gateway::live::LiveStream;
use crate::gateway::move_progress::MoveProgress;

/// Time of an order to a first engine and its response, or of a request to another first engine,
/// over a new connection: many times the delay between failure domains.
const ORDER_MS: f64 = 10.0;
/// Time after which a stream without a path is tried again: nodes have as little as an eighth of a
/// core, and each search considers all engines of the service.
const SEARCH_INTERVAL_MS: Millis = 80;

/// State of moves.
#[derive(Debug, Default)]
pub(super) struct RecoveryState {
    /// What moves just ordered add to engines.
    pub(super) load: RefCell<MoveLoad>,
    /// Notified when streams may have to be moved before the next check.
    pub(super) wake: Notify,
    /// Number of probes in the background.
    pub(super) probing: Cell<usize>,
    /// Whether probes changed which engines are reachable since the last publication.
    pub(super) changed: Cell<bool>,
}

/// A stalled stream and the engine that it lost.
pub(super) struct Stalled<'a> {
    pub(super) live: Arc<LiveStream>,
    pub(super) path: Arc<Path>,
    pub(super) lost: Name,
    pub(super) tracked: &'a TrackedStream,
}

/// How a stalled stream continues.
enum Continuation {
    /// On another path from the same first engine.
    Reroute(Path),
    /// At another first engine, which the traffic thread chooses.
    Replace,
}

/// Moves stalled streams in the order that `heathpitch_policy` decides.
pub(super) fn move_stalled(control: &Rc<Control>, stalled: Vec<Stalled<'_>>, now: Millis) {
    control.recovery.load.borrow_mut().expire(now);
    let streams = stalled.into_iter().map(|s| candidate(s, now)).collect();
    plan_moves(
        streams,
        now,
        |s| plan(control, s, now),
        |s, planned, _| carry_out(control, &s.stream, planned, now),
    );
}

/// Ranks a stalled stream, and sets when it is tried again if it is not moved now.
fn candidate(stalled: Stalled<'_>, now: Millis) -> StalledStream<Stalled<'_>> {
    let rank = stalled.live.terms.rank;
    // Another stream may have found the loss before this one is silent itself.
    let own_silence = match stalled.live.has_started() {
        true => recovery::silent_at(&stalled.live, now),
        false => 0,
    };
    let candidate = StalledStream {
        rank,
        urgent_share: stalled.live.terms.urgent_share,
        due: stalled.live.due(),
        since: stalled.tracked.lost_since(now).max(own_silence),
        stream: stalled,
    };
    let (retry_at, wait_until) = (now + SEARCH_INTERVAL_MS, candidate.late_move_at());
    let next = if wait_until > now { wait_until.min(retry_at) } else { retry_at };
    candidate.stream.tracked.set_next_move(next);
    candidate
}

/// Where a stream would continue, and the forecast time until its next event, milliseconds.
fn plan(control: &Control, stalled: &Stalled<'_>, now: Millis) -> Option<(Continuation, f64)> {
    let Stalled { live, path, lost, .. } = stalled;
    if *lost == path.head().engine {
        return Some((Continuation::Replace, ORDER_MS + live.prefill_ms() as f64));
    }
    let new = find_detour(control, live, path, true).filter(|new| *new != **path)?;
    let spec = control.service(&live.service)?;
    let stages = prefill_stages(control, spec.model.as_ref()?, path, &new);
    let load = control.recovery.load.borrow();
    let queue = stages.iter().map(|(engine, _)| load.wait_ms(engine, now)).fold(0.0, f64::max);
    let stages: Vec<_> = stages.into_iter().map(|(_, stage)| stage).collect();
    let own = prefill_ms(&stages, live.tokens);
    Some((Continuation::Reroute(new), ORDER_MS + queue + own))
}

fn carry_out(control: &Rc<Control>, stalled: &Stalled<'_>, planned: Continuation, now: Millis) {
    let Stalled { live, path, lost, tracked } = stalled;
    tracked.set_next_move(now + MOVE_INTERVAL_MS);
    match planned {
        Continuation::Replace => live.abandon(),
        Continuation::Reroute(new) => {
            let booked = book(control, stalled, &new, now);
            reroute(control, live, path, new, Some(lost.clone()), tracked, booked);
        }
    }
}

/// Counts what a move adds to engines.
///
/// Other nodes move their streams of the same engine at the same time, to any of the engines that hold
/// the layers. Each token of this node stands for as many as the lost engine held for each token of
/// this node's requests.
fn book(control: &Control, stalled: &Stalled<'_>, new: &Path, now: Millis) -> Vec<MoveBooking> {
    let Stalled { live, path, lost, .. } = stalled;
    let spec = control.service(&live.service);
    let Some(model) = spec.as_ref().and_then(|s| s.model.as_ref()) else { return Vec::new() };
    let table = control.shared.table.load();
    let others = live.tokens * (requests_share(&table, lost, live.tokens, now) - 1.0);
    let mut load = control.recovery.load.borrow_mut();
    let mut booked = Vec::new();
    for (engine, stage) in prefill_stages(control, model, path, new) {
        let is_head = engine == new.head().engine;
        let mut add = |engine: &Name, tokens: f64| {
            // The first engine holds the tokens already.
            let held = if is_head { 0.0 } else { tokens };
            booked.push(load.book(engine, stage.busy_ms(tokens), held, now));
        };
        add(&engine, live.tokens);
        let holders = holders(control, &table, &live.service, &engine);
        for holder in &holders {
            add(holder, others / holders.len() as f64);
        }
    }
    booked
}

/// Requests of all nodes per request of this node at an engine, from its last report.
fn requests_share(table: &EngineTable, engine: &Name, tokens: f64, now: Millis) -> f64 {
    let Some(view) = table.by_id(engine.as_str()) else { return 1.0 };
    let occupancy = view.stats.occupancy();
    let own = (occupancy.own() as f64).max(tokens).max(1.0);
    let nodes = f64::from(table.domain_size.max(1));
    (occupancy.held(table.domain_size, now) / own).clamp(1.0, nodes)
}

/// Reachable engines of the same failure domain that hold the layers of an engine, itself included.
fn holders(control: &Control, table: &EngineTable, service: &Name, engine: &Name) -> Vec<Name> {
    let Some(view) = table.by_id(engine.as_str()) else { return Vec::new() };
    let (domain, layers) = (&view.entry.domain, view.entry.layers);
    let held = reachable_holders(control, table, service, domain, layers);
    held.map(|v| v.entry.id.clone()).collect()
}

/// Sets a stream's silence threshold by the engines that could substitute those of its path.
pub(super) fn set_threshold(control: &Control, live: &LiveStream) {
    if let Some(ms) = control.recovers(live).then(|| substitute_prefill_ms(control, live)).flatten()
    {
        live.set_prefill(ms);
    }
}

/// Counts the moves of a stream that have ended; `ended` if the stream has ended.
pub(super) fn count_moves(
    control: &Control,
    progress: &MoveProgress,
    max_pause: Millis,
    ended: bool,
) {
    let pause = progress.take_pause();
    let unfinished = ended && progress.is_pending();
    let in_time = pause.map(|pause| pause <= max_pause);
    for in_time in in_time.into_iter().chain(unfinished.then_some(false)) {
        let label = if in_time { "in_time" } else { "late" };
        control.shared.metrics.moves.with_label_values(&[label]).inc();
    }
}

/// # Recovery within the maximum pause
impl Control {
    /// Whether a stream is moved within its maximum pause.
    pub(super) fn recovers(&self, live: &LiveStream) -> bool {
        live.terms.max_pause_ms.is_some() && self.shared.settings.load().load.recovery.is_on()
    }
}
