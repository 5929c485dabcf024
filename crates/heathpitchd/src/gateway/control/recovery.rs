//! Controller of running streams: finds engines that fell silent and moves streams off them.
//!
//! A path stalls as a whole when one of its engines dies, long before the platform says so. If an
//! engine cannot be reached (`looks`), every silent stream through it is moved to engines that hold
//! the same layers, or taken up elsewhere if it was the first. A stream that flows shows that all
//! its engines work.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Weak};
use std::time::Duration;

use heathpitch_core::{LayeredModel, Millis, Name, Path, Stage};
use heathpitch_net::{OrderOutcome, RpcError};
use heathpitch_policy::{ChainQuery, find_local_chain};
use tokio::task::spawn_local;

use super::looks;
use super::state::Control;
use crate::gateway::engine_table::{EngineView, PathQuery};
use crate::gateway::event::{GatewayEvent, parts};
use crate::gateway::live::LiveStream;

/// Time between two looks.
const TICK: Duration = Duration::from_millis(40);
/// The same while no stream runs and no engine is lost: below the silence of a new stream that is looked into.
const TICK_IDLE: Duration = Duration::from_millis(200);
/// Time between two looks at what is old.
const FORGET_MS: Millis = 1_000;
/// Time between two looks beyond which this process stood still itself, milliseconds.
const STALL_SELF_MS: Millis = 200;
/// Time for which nothing is judged after this process stood still, milliseconds.
const REST: Millis = 150;
/// Silence of a stream before its first event which is looked into, milliseconds: prompts are read
/// meanwhile.
const SILENT_FIRST: Millis = 350;
/// Time for which new work is kept from an engine without room for a moved stream, milliseconds.
const MOVE_COOLDOWN_MS: Millis = 250;
/// Part of the time for which a leaving engine goes on serving at least, after which streams are moved
/// off it; most end before.
const DRAIN_SHARE: f64 = 0.6;
/// Time after which an engine that left is forgotten, milliseconds.
const LEFT: Millis = 60_000;
/// Time between two moves of the same stream, milliseconds.
const MOVE_AGAIN: Millis = 250;
/// Time before a stream that an engine had no room for is moved again, milliseconds; doubled each
/// time.
const MOVE_SOON: Millis = 80;
/// Most doublings of that time.
const MOVE_DOUBLINGS: u32 = 4;
/// Silence after which the first engine is asked which one it waits for, milliseconds.
const ASK: Millis = 280;

/// A stream under watch.
#[derive(Debug)]
pub(super) struct Watched {
    pub(super) live: Weak<LiveStream>,
    next: Rc<Cell<Millis>>,
    refused: Rc<Cell<u32>>,
}

/// Takes a stream under watch.
pub(super) fn take(control: &Control, live: &Arc<LiveStream>) {
    let watched =
        Watched { live: Arc::downgrade(live), next: Rc::default(), refused: Rc::default() };
    control.streams.borrow_mut().push(watched);
}

/// Looks at all streams again and again.
pub(super) async fn run(control: Rc<Control>) {
    let mut before = control.now();
    let mut rest = 0;
    let mut forgotten = 0;
    let mut looked: Vec<(Name, Millis)> = Vec::new();
    loop {
        let idle = control.streams.borrow().is_empty() && control.lost.borrow().is_empty();
        let tick = if idle { TICK_IDLE } else { TICK };
        tokio::time::sleep(tick).await;
        let now = control.now();
        if now.saturating_sub(before) > tick.as_millis() as Millis + STALL_SELF_MS {
            rest = now + REST;
        }
        before = now;
        control.streams.borrow_mut().retain(|w| w.live.strong_count() > 0);
        if now >= forgotten + FORGET_MS {
            forgotten = now;
            control.leaving.borrow_mut().retain(|_, since| now < *since + LEFT);
            control.forget_lives();
        }
        if now < rest {
            continue;
        }
        looks::round(&control, &mut looked, now).await;
        mend(&control);
    }
}

/// Whether a stream has been silent for longer than its engines need.
pub(super) fn is_silent(live: &LiveStream, now: Millis) -> bool {
    let begun = live.events.load(std::sync::atomic::Ordering::Relaxed) > 0;
    let most = if begun { live.max_silence } else { SILENT_FIRST };
    live.silence(now) >= most
}

/// Moves every stream that runs through an engine that is lost or leaves.
fn mend(control: &Rc<Control>) {
    let now = control.now();
    for watched in control.streams.borrow().iter() {
        let Some(live) = watched.live.upgrade() else { continue };
        if now < watched.next.get() {
            continue;
        }
        let path = live.path.load_full();
        let gone = |s: &Stage| control.is_lost(&s.engine) || is_reborn(control, &live, &s.engine);
        let broken = path.stages().iter().find(|s| gone(s) || !holds(control, s));
        match broken {
            Some(_) if !is_silent(&live, now) => {}
            Some(s) if s.engine == path.head().engine && !gone(s) => {}
            Some(s) if s.engine == path.head().engine => {
                watched.next.set(now + MOVE_AGAIN);
                live.abandon();
            }
            Some(s) => {
                watched.next.set(now + MOVE_AGAIN);
                reroute(control, &live, &path, Some(s.engine.clone()), watched);
            }
            None if leaves(control, &path) => {
                watched.next.set(now + MOVE_AGAIN);
                reroute(control, &live, &path, None, watched);
            }
            None if live.silence(now) >= ASK && control.may_question(&path.head().engine) => {
                looks::ask(control, &path);
            }
            None => {}
        }
    }
}

/// Whether an engine's entry shows the layers of a stage; one that takes other layers shows none
/// meanwhile, and may have given up those of the stage.
fn holds(control: &Control, stage: &Stage) -> bool {
    let entries = control.entries.borrow();
    entries
        .get(&stage.engine)
        .is_none_or(|e| e.layers.first <= stage.layers.first && stage.layers.end <= e.layers.end)
}

/// Whether an engine has started again since a stream was given its path, and holds none of its tokens.
fn is_reborn(control: &Control, live: &LiveStream, engine: &Name) -> bool {
    let routed = live.routed.load(std::sync::atomic::Ordering::Relaxed);
    control.lives.borrow().restarted_since(engine, routed)
}

/// Whether an engine behind the first one has been leaving for a while.
fn leaves(control: &Control, path: &Path) -> bool {
    let now = control.now();
    let leaving = control.leaving.borrow();
    let linger = (control.shared.settings.load().bounds.drain_ms as f64 * DRAIN_SHARE) as Millis;
    let left = |e: &Name| leaving.get(e).is_some_and(|since| now >= since + linger);
    path.stages().iter().skip(1).any(|s| control.is_refusing(&s.engine) || left(&s.engine))
}

/// Orders the first engine of a stream to run it through other engines.
fn reroute(
    control: &Rc<Control>,
    live: &Arc<LiveStream>,
    path: &Path,
    leaving: Option<Name>,
    watched: &Watched,
) {
    let Some(new) = detour(control, live, path) else { return };
    if new == *path {
        return;
    }
    let Ok(head) = path.head().address.as_str().parse::<SocketAddr>() else { return };
    let (control, live, engine) = (control.clone(), live.clone(), path.head().engine.clone());
    let (next, refused) = (watched.next.clone(), watched.refused.clone());
    spawn_local(async move {
        let sent = control.now();
        let silent_ms = live.silence(sent);
        let answer = control.edges.orders.reroute(head, &engine, &live.request, &new).await;
        let entry = control.entries.borrow().get(&engine).cloned();
        let result = answer.map(|answer| match entry {
            Some(entry) => control.heed(&entry, "order", sent, answer),
            None => answer.value,
        });
        let label = if matches!(result, Ok(OrderOutcome::Taken)) { "taken" } else { "failed" };
        control.shared.metrics.orders.with_label_values(&["reroute", label]).inc();
        GatewayEvent::CallRerouted {
            request: live.request.to_string(),
            leaving,
            parts: parts(Some(&new)),
            silent_ms,
            result: said(&result),
        }
        .log();
        match result {
            Ok(OrderOutcome::Taken) => live.route(new, control.now()),
            Ok(OrderOutcome::Conflict(Some(address))) => {
                crowd(&control, address);
                let doublings = refused.get().min(MOVE_DOUBLINGS);
                refused.set(doublings + 1);
                next.set(control.now() + (MOVE_SOON << doublings));
            }
            Ok(_) | Err(_) => {}
        }
    });
}

fn said(result: &Result<OrderOutcome, RpcError>) -> String {
    match result {
        Ok(ordered) => format!("{ordered:?}"),
        Err(e) => e.to_string(),
    }
}

/// Keeps moved streams from an engine that has no room for more, for a moment.
fn crowd(control: &Control, address: SocketAddr) {
    let now = control.now();
    if let Some(view) = control.shared.table.load().by_address(address) {
        view.stats.deprioritize(now + MOVE_COOLDOWN_MS);
    }
}

/// The best path from a stream's first engine on, without engines that are lost or leave.
fn detour(control: &Control, live: &LiveStream, path: &Path) -> Option<Path> {
    let spec = control.service(&live.service)?;
    let model: &LayeredModel = spec.model.as_ref()?;
    let table = control.shared.table.load();
    let now = control.now();
    let head = &path.head().engine;
    let usable = |s: &EngineView| {
        let (id, wish) = (&s.entry.id, s.stats.backpressure());
        // What runs there takes nothing of a limit anew; a right for a stream that is moved there is not sought.
        let taken = match path.stages().iter().any(|stage| &stage.engine == id) {
            true => s.is_in_service(now) && wish.pause_left(now).is_none(),
            false => s.is_available(now) && wish.limit().rate().is_none(),
        };
        // One that has started again lost its tokens, and the same path would not be ordered.
        id == head || (taken && !control.is_lost(id) && !is_reborn(control, live, id))
    };
    let (service, tokens) = (&live.service, live.tokens);
    let links = table
        .chain_engines(&PathQuery { service, model, tokens, now, current: Some(path) }, usable);
    // The first engine stays, so its domain is where the others are best.
    let home = table.by_id(head.as_str())?.entry.domain.clone();
    let search = ChainQuery { model, name: &live.service, home: &home, current: Some(path) };
    find_local_chain(&search, &links).map(|(path, _)| path)
}

/// # Lives
impl Control {
    /// Forgets the lives of engines that left long ago.
    fn forget_lives(&self) {
        let (entries, leaving) = (self.entries.borrow(), self.leaving.borrow());
        let kept = |engine: &Name| entries.contains_key(engine) || leaving.contains_key(engine);
        self.lives.borrow_mut().retain(kept);
    }
}
