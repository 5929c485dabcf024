//! Recovery of running streams: moves streams off engines that fail or drain.
//!
//! When an engine fails, the whole path stalls long before the platform reports the failure. If a
//! probe (`reachability`) finds an engine unreachable, every stalled stream through it is moved to
//! engines that hold the same layers, or resumed on another path if the engine was the first. A
//! stream that makes progress shows that all its engines work.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Weak};
use std::time::Duration;

use heathpitch_core::{LayeredModel, Millis, Name, Path, Stage};
use heathpitch_net::{OrderOutcome, RpcError};
use heathpitch_policy::{ChainQuery, find_local_chain};
use tokio::task::spawn_local;

use super::reachability;
use super::state::Control;
use crate::gateway::engine_table::{EngineView, PathQuery};
use crate::gateway::event::{GatewayEvent, parts};
use crate::gateway::live::LiveStream;

/// Interval between checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Interval between checks while no stream runs and no engine is unreachable: below
/// [`FIRST_EVENT_SILENCE_MS`].
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between removals of expired state.
const EXPIRY_INTERVAL_MS: Millis = 1_000;
/// Delay of a check beyond which this process itself is taken to have been stalled.
const MAX_CHECK_DELAY_MS: Millis = 200;
/// Time without checks after this process was stalled.
const STALL_GRACE_MS: Millis = 150;
/// Silence before the first event after which a stream counts as stalled: the prompt is processed
/// meanwhile.
const FIRST_EVENT_SILENCE_MS: Millis = 350;
/// Time for which an engine without capacity for a moved stream is deprioritized.
const MOVE_COOLDOWN_MS: Millis = 250;
/// Part of a draining engine's minimum service time after which streams are moved off it; most end
/// earlier.
const DRAIN_SHARE: f64 = 0.6;
/// Time for which engines that left are remembered.
const DEPARTED_TTL_MS: Millis = 60_000;
/// Time between two moves of the same stream.
const MOVE_INTERVAL_MS: Millis = 250;
/// Time before a stream that an engine had no capacity for is moved again; doubled each time.
const MOVE_RETRY_MS: Millis = 80;
/// Most doublings of that time.
const MAX_MOVE_DOUBLINGS: u32 = 4;
/// Silence after which the first engine is asked which engine it waits for.
const STATUS_SILENCE_MS: Millis = 280;

/// Running stream and the state of its moves.
#[derive(Debug)]
pub(super) struct TrackedStream {
    pub(super) live: Weak<LiveStream>,
    next_move: Rc<Cell<Millis>>,
    refusals: Rc<Cell<u32>>,
}

/// Starts to track a stream.
pub(super) fn track(control: &Control, live: &Arc<LiveStream>) {
    let tracked = TrackedStream {
        live: Arc::downgrade(live),
        next_move: Rc::default(),
        refusals: Rc::default(),
    };
    control.streams.borrow_mut().push(tracked);
}

/// Checks all streams periodically.
pub(super) async fn run(control: Rc<Control>) {
    let mut last_check = control.now();
    let mut skip_until = 0;
    let mut last_expiry = 0;
    let mut probed: Vec<(Name, Millis)> = Vec::new();
    loop {
        let idle = control.streams.borrow().is_empty() && control.unreachable.borrow().is_empty();
        let interval = if idle { IDLE_CHECK_INTERVAL } else { CHECK_INTERVAL };
        tokio::time::sleep(interval).await;
        let now = control.now();
        if now.saturating_sub(last_check) > interval.as_millis() as Millis + MAX_CHECK_DELAY_MS {
            skip_until = now + STALL_GRACE_MS;
        }
        last_check = now;
        control.streams.borrow_mut().retain(|t| t.live.strong_count() > 0);
        if now >= last_expiry + EXPIRY_INTERVAL_MS {
            last_expiry = now;
            control.departing.borrow_mut().retain(|_, since| now < *since + DEPARTED_TTL_MS);
            control.expire_incarnations();
        }
        if now < skip_until {
            continue;
        }
        reachability::probe_round(&control, &mut probed, now).await;
        move_streams(&control);
    }
}

/// Whether a stream has been silent for longer than its engines should need.
pub(super) fn is_silent(live: &LiveStream, now: Millis) -> bool {
    let has_events = live.events.load(std::sync::atomic::Ordering::Relaxed) > 0;
    let limit = if has_events { live.max_silence } else { FIRST_EVENT_SILENCE_MS };
    live.silence(now) >= limit
}

/// Moves every stream that runs through an engine that is unreachable or draining.
fn move_streams(control: &Rc<Control>) {
    let now = control.now();
    for tracked in control.streams.borrow().iter() {
        let Some(live) = tracked.live.upgrade() else { continue };
        if now < tracked.next_move.get() {
            continue;
        }
        let path = live.path.load_full();
        let has_failed = |s: &Stage| {
            control.is_unreachable(&s.engine) || has_restarted(control, &live, &s.engine)
        };
        let broken = path.stages().iter().find(|s| has_failed(s) || !holds(control, s));
        match broken {
            Some(_) if !is_silent(&live, now) => {}
            Some(s) if s.engine == path.head().engine && !has_failed(s) => {}
            Some(s) if s.engine == path.head().engine => {
                tracked.next_move.set(now + MOVE_INTERVAL_MS);
                live.abandon();
            }
            Some(s) => {
                tracked.next_move.set(now + MOVE_INTERVAL_MS);
                reroute(control, &live, &path, Some(s.engine.clone()), tracked);
            }
            None if has_draining(control, &path) => {
                tracked.next_move.set(now + MOVE_INTERVAL_MS);
                reroute(control, &live, &path, None, tracked);
            }
            None if live.silence(now) >= STATUS_SILENCE_MS
                && control.may_query_status(&path.head().engine) =>
            {
                reachability::query_stalled(control, &path);
            }
            None => {}
        }
    }
}

/// Whether an engine's entry shows the layers of a stage; an engine that is loading other layers
/// shows none, and may have released those of the stage.
fn holds(control: &Control, stage: &Stage) -> bool {
    let entries = control.entries.borrow();
    entries
        .get(&stage.engine)
        .is_none_or(|e| e.layers.first <= stage.layers.first && stage.layers.end <= e.layers.end)
}

/// Whether an engine has restarted since a stream was routed, and so lost the stream's tokens.
fn has_restarted(control: &Control, live: &LiveStream, engine: &Name) -> bool {
    let routed = live.routed.load(std::sync::atomic::Ordering::Relaxed);
    control.incarnations.borrow().restarted_since(engine, routed)
}

/// Whether an engine behind the first one refuses work or is due to be left as it drains.
fn has_draining(control: &Control, path: &Path) -> bool {
    let now = control.now();
    let departing = control.departing.borrow();
    let drain_ms = (control.shared.settings.load().bounds.drain_ms as f64 * DRAIN_SHARE) as Millis;
    let is_due = |e: &Name| departing.get(e).is_some_and(|since| now >= since + drain_ms);
    path.stages().iter().skip(1).any(|s| control.is_refusing(&s.engine) || is_due(&s.engine))
}

/// Orders the first engine of a stream to route it through other engines.
fn reroute(
    control: &Rc<Control>,
    live: &Arc<LiveStream>,
    path: &Path,
    moved_off: Option<Name>,
    tracked: &TrackedStream,
) {
    let Some(new) = find_detour(control, live, path) else { return };
    if new == *path {
        return;
    }
    let Ok(head) = path.head().address.as_str().parse::<SocketAddr>() else { return };
    let (control, live, engine) = (control.clone(), live.clone(), path.head().engine.clone());
    let (next_move, refusals) = (tracked.next_move.clone(), tracked.refusals.clone());
    spawn_local(async move {
        let sent = control.now();
        let silent_ms = live.silence(sent);
        let answer = control.clients.engines.reroute(head, &engine, &live.request, &new).await;
        let entry = control.entries.borrow().get(&engine).cloned();
        let result = answer.map(|answer| match entry {
            Some(entry) => control.record_response(&entry, "order", sent, answer),
            None => answer.value,
        });
        let label = if matches!(result, Ok(OrderOutcome::Taken)) { "taken" } else { "failed" };
        control.shared.metrics.orders.with_label_values(&["reroute", label]).inc();
        GatewayEvent::CallRerouted {
            request: live.request.to_string(),
            moved_off,
            parts: parts(Some(&new)),
            silent_ms,
            result: result_text(&result),
        }
        .log();
        match result {
            Ok(OrderOutcome::Taken) => live.route(new, control.now()),
            Ok(OrderOutcome::Conflict(Some(address))) => {
                deprioritize(&control, address);
                let doublings = refusals.get().min(MAX_MOVE_DOUBLINGS);
                refusals.set(doublings + 1);
                next_move.set(control.now() + (MOVE_RETRY_MS << doublings));
            }
            Ok(_) | Err(_) => {}
        }
    });
}

fn result_text(result: &Result<OrderOutcome, RpcError>) -> String {
    match result {
        Ok(outcome) => format!("{outcome:?}"),
        Err(e) => e.to_string(),
    }
}

/// Deprioritizes an engine that has no capacity for more streams for a short time.
fn deprioritize(control: &Control, address: SocketAddr) {
    let now = control.now();
    if let Some(view) = control.shared.table.load().by_address(address) {
        view.stats.deprioritize(now + MOVE_COOLDOWN_MS);
    }
}

/// Best path from a stream's first engine, without engines that are unreachable or draining.
fn find_detour(control: &Control, live: &LiveStream, path: &Path) -> Option<Path> {
    let spec = control.service(&live.service)?;
    let model: &LayeredModel = spec.model.as_ref()?;
    let table = control.shared.table.load();
    let now = control.now();
    let head = &path.head().engine;
    let usable = |s: &EngineView| {
        let (id, backpressure) = (&s.entry.id, s.stats.backpressure());
        // An engine that runs the stream already needs no new right. None is requested for a move,
        // so engines with a limit are not moved to.
        let is_open = match path.stages().iter().any(|stage| &stage.engine == id) {
            true => s.is_in_service(now) && backpressure.pause_left(now).is_none(),
            false => s.is_available(now) && backpressure.limit().rate().is_none(),
        };
        // A restarted engine lost the stream's tokens, and an unchanged path would not be ordered.
        id == head || (is_open && !control.is_unreachable(id) && !has_restarted(control, live, id))
    };
    let (service, tokens) = (&live.service, live.tokens);
    let engines = table
        .chain_engines(&PathQuery { service, model, tokens, now, current: Some(path) }, usable);
    // The first engine does not change, so the others are best placed in its failure domain.
    let home = table.by_id(head.as_str())?.entry.domain.clone();
    let query = ChainQuery { model, name: &live.service, home: &home, current: Some(path) };
    find_local_chain(&query, &engines).map(|(path, _)| path)
}

/// # Incarnations
impl Control {
    /// Forgets the incarnations of engines that left long ago.
    fn expire_incarnations(&self) {
        let (entries, departing) = (self.entries.borrow(), self.departing.borrow());
        let kept = |engine: &Name| entries.contains_key(engine) || departing.contains_key(engine);
        self.incarnations.borrow_mut().retain(kept);
    }
}
