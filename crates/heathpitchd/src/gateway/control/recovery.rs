//! Recovery of running streams: moves streams off engines that fail or drain.
//!
//! When an engine fails, the whole path stalls long before the platform reports the failure. If a
//! probe (`reachability`) finds an engine unreachable, every stalled stream through it is moved to
//! engines that hold the same layers, or resumed on another path if the engine was the first. A
//! stream that makes progress shows that all its engines work.
//!
//! Streams of a route with a maximum pause are moved in the order that `moves` decides, and every
//! delay before a move is bounded by what is left of their pause.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Weak};
use std::time::Duration;

use heathpitch_core::{Millis, Name, Path, Stage};
use heathpitch_net::{OrderOutcome, RpcError};
use heathpitch_policy::MoveBooking;
use tokio::task::spawn_local;

use super::detour::find_detour;
use super::moves::{self, Stalled};
use super::reachability;
use super::state::Control;
use crate::gateway::event::{GatewayEvent, parts};
use crate::gateway::live::LiveStream;
use crate::gateway::move_progress::MoveProgress;

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
pub(super) const MOVE_INTERVAL_MS: Millis = 250;
/// Time before a stream that an engine had no capacity for is moved again; doubled each time.
const MOVE_RETRY_MS: Millis = 80;
/// Most doublings of that time.
const MAX_MOVE_DOUBLINGS: u32 = 4;
/// Silence after which the first engine is asked which engine it waits for.
const STATUS_SILENCE_MS: Millis = 280;
/// The same for streams with a maximum pause of 250 ms, which leaves time to move them. Much rarer on
/// healthy engines than the 150 ms that one stream in thirty is silent for; the first engine may name
/// one that is only slow, which then gets no new work for a while.
const RECOVERY_STATUS_SILENCE_MS: Millis = 200;
/// Shortest interval between checks: bounds their cost on nodes with an eighth of a core.
const MIN_CHECK_INTERVAL_MS: Millis = 5;

/// Running stream and the state of its moves.
#[derive(Debug)]
pub(super) struct TrackedStream {
    pub(super) live: Weak<LiveStream>,
    next_move: Rc<Cell<Millis>>,
    refusals: Rc<Cell<u32>>,
    /// Time at which the loss of an engine of its path was noticed.
    lost_since: Cell<Option<Millis>>,
    progress: Arc<MoveProgress>,
    max_pause: Option<Millis>,
}

/// # Moves
impl TrackedStream {
    /// Time at which the loss of an engine was noticed, `now` if it is noticed first.
    pub(super) fn lost_since(&self, now: Millis) -> Millis {
        let since = self.lost_since.get().unwrap_or(now);
        self.lost_since.set(Some(since));
        since
    }

    /// Sets the time before which it is not moved.
    pub(super) fn set_next_move(&self, at: Millis) {
        self.next_move.set(at);
    }
}

/// Starts to track a stream.
pub(super) fn track(control: &Control, live: &Arc<LiveStream>) {
    let tracked = TrackedStream {
        live: Arc::downgrade(live),
        next_move: Rc::default(),
        refusals: Rc::default(),
        lost_since: Cell::default(),
        progress: live.progress.clone(),
        max_pause: live.terms.max_pause_ms,
    };
    moves::set_threshold(control, live);
    let first = control.streams.borrow().is_empty();
    control.streams.borrow_mut().push(tracked);
    if first && control.recovers(live) {
        control.recovery.wake.notify_one();
    }
}

/// Checks all streams periodically.
pub(super) async fn run(control: Rc<Control>) {
    let mut last_check = control.now();
    let mut skip_until = 0;
    let mut last_expiry = 0;
    let mut probed: Vec<(Name, Millis)> = Vec::new();
    loop {
        let interval = next_check(&control);
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = control.recovery.wake.notified() => {}
        }
        let now = control.now();
        if now.saturating_sub(last_check) > interval.as_millis() as Millis + MAX_CHECK_DELAY_MS {
            skip_until = now + STALL_GRACE_MS;
        }
        last_check = now;
        drop_ended(&control);
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
        // Moves do not need the engine table with the change, and building it takes longer.
        if control.recovery.changed.take() {
            control.publish();
        }
    }
}

/// Time until the next check: earlier than the interval if a stream with a maximum pause reaches its
/// silence threshold, or the end of a wait, before that.
fn next_check(control: &Control) -> Duration {
    let streams = control.streams.borrow();
    if streams.is_empty() && control.unreachable.borrow().is_empty() {
        return IDLE_CHECK_INTERVAL;
    }
    let now = control.now();
    let latest = now + CHECK_INTERVAL.as_millis() as Millis;
    let due = streams.iter().filter_map(|tracked| {
        let live = tracked.live.upgrade().filter(|live| control.recovers(live))?;
        let silent_at = silent_at(&live, now);
        let moved_at = tracked.lost_since.get().map(|_| tracked.next_move.get());
        let times = [Some(silent_at), moved_at];
        times.into_iter().flatten().filter(|at| *at > now).min()
    });
    let next = due.min().unwrap_or(latest).min(latest);
    Duration::from_millis((next - now).max(MIN_CHECK_INTERVAL_MS))
}

/// Stops tracking the streams that have ended, and counts the moves that have.
fn drop_ended(control: &Control) {
    control.streams.borrow_mut().retain(|t| {
        let ended = t.live.strong_count() == 0;
        if let Some(max_pause) = t.max_pause {
            moves::count_moves(control, &t.progress, max_pause, ended);
        }
        !ended
    });
}

/// Whether a stream has been silent for longer than its engines should need.
pub(super) fn is_silent(live: &LiveStream, now: Millis) -> bool {
    live.silence(now) >= silence_limit(live)
}

/// Time at which a stream has been silent for longer than its engines should need.
pub(super) fn silent_at(live: &LiveStream, now: Millis) -> Millis {
    now.saturating_sub(live.silence(now)) + silence_limit(live)
}

fn silence_limit(live: &LiveStream) -> Millis {
    if live.has_started() { live.threshold() } else { FIRST_EVENT_SILENCE_MS }
}

/// Why a stream has to be looked after.
enum Fault {
    /// An engine of its path is lost.
    Lost(Name),
    /// An engine behind the first one drains.
    Draining,
    /// It is silent for no known reason.
    Unexplained,
}

/// Moves every stream that runs through an engine that is unreachable or draining.
fn move_streams(control: &Rc<Control>) {
    let now = control.now();
    let streams = control.streams.borrow();
    let mut stalled = Vec::new();
    for tracked in streams.iter() {
        let Some(live) = tracked.live.upgrade() else { continue };
        if now < tracked.next_move.get() {
            continue;
        }
        let path = live.path.load_full();
        let recovers = control.recovers(&live);
        // No order reaches the first engine; the traffic thread continues the stream at another node.
        if control.shared.reach.is_cut_off(&live.service) {
            continue;
        }
        match find_fault(control, &live, &path, now) {
            Some(Fault::Lost(lost)) if recovers => {
                stalled.push(Stalled { live, path, lost, tracked });
            }
            Some(Fault::Lost(lost)) if lost == path.head().engine => {
                tracked.next_move.set(now + MOVE_INTERVAL_MS);
                live.abandon();
            }
            Some(Fault::Lost(lost)) => {
                tracked.next_move.set(now + MOVE_INTERVAL_MS);
                move_off(control, &live, &path, Some(lost), tracked);
            }
            Some(Fault::Draining) => {
                tracked.next_move.set(now + MOVE_INTERVAL_MS);
                move_off(control, &live, &path, None, tracked);
            }
            Some(Fault::Unexplained) if control.may_query_status(&path.head().engine) => {
                reachability::query_stalled(control, &path, recovers.then_some(&live));
            }
            Some(Fault::Unexplained) => {}
            None => tracked.lost_since.set(None),
        }
    }
    if !stalled.is_empty() {
        moves::move_stalled(control, stalled, now);
    }
}

/// What is wrong with a stream.
fn find_fault(control: &Control, live: &LiveStream, path: &Path, now: Millis) -> Option<Fault> {
    let has_failed =
        |s: &Stage| control.is_unreachable(&s.engine) || has_restarted(control, live, &s.engine);
    let broken = path.stages().iter().find(|s| has_failed(s) || !holds(control, s));
    match broken {
        Some(s) if !is_stalled(control, live, &s.engine, now) => None,
        Some(s) if s.engine == path.head().engine && !has_failed(s) => None,
        Some(s) => Some(Fault::Lost(s.engine.clone())),
        None if has_draining(control, path) => Some(Fault::Draining),
        None if live.silence(now) >= status_silence(control, live) => Some(Fault::Unexplained),
        None => None,
    }
}

/// Whether a stream is silent for so long that an engine of its path that seems lost is taken to be.
///
/// Once a probe has found an engine unreachable, or it is known to have restarted, the streams through
/// it need no silence of their own but that which shows that nothing flows.
fn is_stalled(control: &Control, live: &LiveStream, engine: &Name, now: Millis) -> bool {
    let is_lost = control.is_probed_unreachable(engine) || has_restarted(control, live, engine);
    match is_lost && control.recovers(live) {
        true => live.silence(now) >= reachability::FLOWING_SILENCE_MS,
        false => is_silent(live, now),
    }
}

/// Silence after which the first engine is asked which engine it waits for.
///
/// After the loss of another engine, prefills of moved streams keep others silent for longer.
fn status_silence(control: &Control, live: &LiveStream) -> Millis {
    let other_lost = !control.unreachable.borrow().is_empty();
    match live.has_started() && control.recovers(live) && !other_lost {
        true => RECOVERY_STATUS_SILENCE_MS.max(live.threshold()),
        false => STATUS_SILENCE_MS,
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
pub(super) fn has_restarted(control: &Control, live: &LiveStream, engine: &Name) -> bool {
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

/// Moves a stream to the best path without lost and draining engines, if there is one.
fn move_off(
    control: &Rc<Control>,
    live: &Arc<LiveStream>,
    path: &Path,
    moved_off: Option<Name>,
    tracked: &TrackedStream,
) {
    if let Some(new) = find_detour(control, live, path, false).filter(|new| new != path) {
        reroute(control, live, path, new, moved_off, tracked, Vec::new());
    }
}

/// Orders the first engine of a stream to route it through other engines; `booked` is what the move
/// was counted as.
pub(super) fn reroute(
    control: &Rc<Control>,
    live: &Arc<LiveStream>,
    path: &Path,
    new: Path,
    moved_off: Option<Name>,
    tracked: &TrackedStream,
    booked: Vec<MoveBooking>,
) {
    let Ok(head) = path.head().address.as_str().parse::<SocketAddr>() else { return };
    let (control, live, engine) = (control.clone(), live.clone(), path.head().engine.clone());
    let (next_move, refusals) = (tracked.next_move.clone(), tracked.refusals.clone());
    let counts = moved_off.is_some() && control.recovers(&live);
    let lost_since = tracked.lost_since.get();
    spawn_local(async move {
        let sent = control.now();
        let silent_ms = live.silence(sent);
        if counts {
            live.progress.begin(sent - silent_ms);
        }
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
            lost_ms: lost_since.map(|since| sent.saturating_sub(since)),
            rank: live.terms.rank,
            urgent: (live.terms.urgent_share * 1e3).round() as u32,
            prefill_ms: Some(live.prefill_ms()).filter(|ms| *ms > 0),
            result: result_text(&result),
        }
        .log();
        // Each retry is counted anew. An order without a response may have been carried out.
        if result.as_ref().is_ok_and(|outcome| *outcome != OrderOutcome::Taken) {
            let mut load = control.recovery.load.borrow_mut();
            booked.iter().for_each(|booking| load.cancel(booking));
        }
        let retry_ms = MOVE_RETRY_MS << refusals.get().min(MAX_MOVE_DOUBLINGS);
        match result {
            Ok(OrderOutcome::Taken) => {
                live.route(new, control.now());
                moves::set_threshold(&control, &live);
            }
            Ok(OrderOutcome::Conflict(Some(address))) => {
                deprioritize(&control, address);
                // Another engine is tried at once if the stream has a maximum pause.
                let first = counts && refusals.get() == 0;
                refusals.set(refusals.get() + 1);
                next_move.set(control.now() + if first { 0 } else { retry_ms });
                if first {
                    control.recovery.wake.notify_one();
                }
            }
            // The stream has ended, or is not one of that engine's.
            Ok(OrderOutcome::Unknown) => live.progress.cancel(),
            Ok(_) | Err(_) if counts => {
                refusals.set(refusals.get() + 1);
                next_move.set(control.now() + retry_ms);
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

/// # Incarnations
impl Control {
    /// Forgets the incarnations of engines that left long ago.
    fn expire_incarnations(&self) {
        let (entries, departing) = (self.entries.borrow(), self.departing.borrow());
        let kept = |engine: &Name| entries.contains_key(engine) || departing.contains_key(engine);
        self.incarnations.borrow_mut().retain(kept);
    }
}
