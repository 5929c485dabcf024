//! Probes of engines: which ones are unreachable, accept no new work, or stall streams.
//!
//! Only engines whose streams are all silent are probed. Data on any stream through an engine shows that it
//! works, whatever an earlier probe found.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Weak};
use std::time::Duration;

use futures::future::Either;

use heathpitch_core::{Millis, Name, Path};
use heathpitch_policy::may_repeat_probe;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use super::engines;
use super::recovery::is_silent;
use super::state::Control;
use crate::gateway::live::LiveStream;

/// Silence below which a stream shows that its engines work.
pub(super) const FLOWING_SILENCE_MS: Millis = 80;
/// Timeout of a probe, many times the delay between failure domains.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);
/// Time after which a first probe is repeated, many times the delay inside a failure domain.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(15);
/// Minimum time between two probes of the same engine.
const PROBE_INTERVAL_MS: Millis = 300;
/// Time until an unreachable engine is probed again; doubled after each failure.
const PROBE_BACKOFF_MS: Millis = 1_000;
/// Upper bound of that time.
const MAX_PROBE_BACKOFF_MS: Millis = 4_000;
/// Engines probed at the same time, so that a partitioned failure domain is not probed all at once.
const MAX_PROBES: usize = 24;
/// Time for which an unreachable engine gets no new work; renewed by each failed probe.
const SUSPECT_MS: Millis = 4_500;
/// Time for which an engine's report that it accepts no new work holds. Engines drain within a few seconds
/// of it.
const REFUSAL_MS: Millis = 4_000;

/// Backoff state of an unreachable engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unreachable {
    /// Time of the next probe.
    retry_at: Millis,
    backoff: Millis,
    /// Whether a probe failed, rather than that another engine or an order waits for this one.
    is_probed: bool,
}

/// Checks whether an engine that refused its part of a request accepts new work at all.
pub(super) fn check_refusal(control: &Rc<Control>, engine: &Name) {
    let Some(entry) = control.entries.borrow().get(engine).cloned() else { return };
    let Some(service) = control.service(&entry.service) else { return };
    if !control.may_query_status(engine) {
        return;
    }
    let control = control.clone();
    spawn_local(async move {
        match control.check_health(&entry, &service.health_path).await {
            Some(Ok(answer)) if !answer.value => {}
            Some(Ok(_)) | None => return,
            Some(Err(e)) => {
                return log::warn!("health check of engine {} failed: {e}", entry.id);
            }
        }
        let until = control.now() + REFUSAL_MS;
        control.refusing.borrow_mut().insert(entry.id.clone(), until);
        control.suspect(&entry.id, "it reports that it accepts no new work", REFUSAL_MS);
    });
}

/// Probes the engines that are due.
///
/// While streams with a maximum pause run, each result counts as soon as it is known: an engine that
/// refuses connections does not wait for one that does not answer.
pub(super) async fn probe_round(
    control: &Rc<Control>,
    probed: &mut Vec<(Name, Millis)>,
    now: Millis,
) {
    let suspects = suspects(control, probed, now);
    let running: Vec<_> =
        control.streams.borrow().iter().filter_map(|t| t.live.upgrade()).collect();
    match running.iter().any(|live| control.recovers(live)) {
        _ if suspects.is_empty() => {}
        true => suspects.into_iter().for_each(|s| probe_one(control, s)),
        false => probe_all(control, suspects).await,
    }
}

/// Probes an engine in the background.
fn probe_one(control: &Rc<Control>, suspect: Suspect) {
    let control = control.clone();
    control.recovery.probing.set(control.recovery.probing.get() + 1);
    spawn_local(async move {
        let first = !control.is_unreachable(&suspect.engine);
        // The repeated probe ends with the first one, as the stream's pause leaves no time for more.
        let reached = tokio::time::timeout(PROBE_TIMEOUT, is_reachable(suspect.address, first));
        let reached = reached.await.unwrap_or(false);
        control.recovery.probing.set(control.recovery.probing.get() - 1);
        if !reached {
            control.probe_failed(&suspect.engine);
        }
        if record_probe(&control, &suspect.engine, reached) {
            control.recovery.changed.set(true);
            control.recovery.wake.notify_one();
        }
    });
}

/// Engines to probe: those with silent streams only, and unreachable ones due for another probe.
fn suspects(control: &Control, probed: &mut Vec<(Name, Millis)>, now: Millis) -> Vec<Suspect> {
    probed.retain(|(_, at)| now < at + PROBE_INTERVAL_MS);
    let mut flowing: HashSet<Name> = HashSet::new();
    let mut silent: HashSet<Name> = HashSet::new();
    // Last events of silent streams whose engines may be probed again early, by engine.
    let mut last_events: HashMap<Name, Millis> = HashMap::new();
    for tracked in control.streams.borrow().iter() {
        let Some(live) = tracked.live.upgrade() else { continue };
        let path = live.path.load();
        let engines = path.stages().iter().map(|s| s.engine.clone());
        if is_silent(&live, now) && control.recovers(&live) {
            let last = now.saturating_sub(live.silence(now));
            for engine in repeated(control, &live, &path, now) {
                let known = last_events.entry(engine).or_default();
                *known = last.max(*known);
            }
        }
        match is_silent(&live, now) {
            true => silent.extend(engines),
            // A stream without an event shows only that it was sent a short time ago.
            false if control.recovers(&live) && !live.has_started() => {}
            false if live.silence(now) < FLOWING_SILENCE_MS => flowing.extend(engines),
            false => {}
        }
    }
    clear_flowing(control, &flowing);
    let unreachable = control.unreachable.borrow();
    let overdue = unreachable.iter().filter(|(_, u)| now >= u.retry_at).map(|(n, _)| n.clone());
    let unreachable: Vec<Name> = overdue.collect();
    let entries = control.entries.borrow();
    let candidates = silent.difference(&flowing).filter(|n| !control.is_unreachable(n));
    let candidates: Vec<Name> = candidates.cloned().chain(unreachable).collect();
    // A probe before the last event of a stream says nothing about its silence.
    let is_probed = |n: &Name| {
        let last_event = last_events.get(n).copied().unwrap_or(0);
        probed.iter().any(|(l, at)| l == n && last_event <= *at)
    };
    let not_probed = candidates.into_iter().filter(|n| !is_probed(n));
    let found: Vec<Suspect> = not_probed
        .take(MAX_PROBES.saturating_sub(control.recovery.probing.get()))
        .filter_map(|engine| {
            let address = entries.get(&engine)?.address;
            Some(Suspect { engine, address })
        })
        .collect();
    probed.extend(found.iter().map(|s| (s.engine.clone(), now)));
    found
}

/// Engines of a silent stream that may be probed again although they answered a moment ago.
fn repeated(control: &Control, live: &LiveStream, path: &Path, now: Millis) -> Vec<Name> {
    let is_late = live.is_late(now);
    let may_repeat = |engine: &&Name| {
        let others = path.stages().iter().filter(|s| s.engine != **engine);
        may_repeat_probe(is_late, others.map(|s| control.slowdown(&s.engine)))
    };
    path.stages().iter().map(|s| &s.engine).filter(may_repeat).cloned().collect()
}

/// Marks engines as reachable that streams flow through, whatever a probe found.
fn clear_flowing(control: &Control, flowing: &HashSet<Name>) {
    let mut unreachable = control.unreachable.borrow_mut();
    for engine in flowing {
        if unreachable.remove(engine).is_some() {
            control.clear_suspicion(engine);
        }
    }
}

struct Suspect {
    engine: Name,
    address: SocketAddr,
}

/// Probes engines and records which ones are unreachable.
async fn probe_all(control: &Rc<Control>, suspects: Vec<Suspect>) {
    let probes =
        suspects.iter().map(|s| is_reachable(s.address, !control.is_unreachable(&s.engine)));
    let found = futures::future::join_all(probes).await;
    let mut changed = false;
    for (suspect, reached) in suspects.into_iter().zip(found) {
        if !reached {
            control.probe_failed(&suspect.engine);
        }
        changed |= record_probe(control, &suspect.engine, reached);
    }
    if changed {
        control.publish();
    }
}

/// Records the result of a probe, and returns whether it changes what is known of the engine.
fn record_probe(control: &Control, engine: &Name, reached: bool) -> bool {
    let label = if reached { "answered" } else { "failed" };
    control.shared.metrics.probes.with_label_values(&[label]).inc();
    match (reached, control.is_unreachable(engine)) {
        (true, true) => {
            control.unreachable.borrow_mut().remove(engine);
            control.clear_suspicion(engine);
            true
        }
        (true, false) => false,
        (false, was) => {
            record_unreachable(control, engine, control.now(), true);
            control.suspect(engine, "it is unreachable", SUSPECT_MS);
            !was
        }
    }
}

/// Marks an engine as unreachable without a probe; `why` is logged.
pub(super) fn mark_unreachable(control: &Control, engine: &Name, why: &'static str) {
    if record_unreachable(control, engine, control.now(), false) {
        control.suspect(engine, why, SUSPECT_MS);
        control.publish();
    }
}

/// Records that an engine is unreachable, and returns whether it was reachable before.
fn record_unreachable(control: &Control, engine: &Name, now: Millis, is_probed: bool) -> bool {
    let mut unreachable = control.unreachable.borrow_mut();
    let known = unreachable.get(engine).copied();
    let backoff = known.map_or(PROBE_BACKOFF_MS, |u| (u.backoff * 2).min(MAX_PROBE_BACKOFF_MS));
    let is_probed = is_probed || known.is_some_and(|u| u.is_probed);
    let entry = Unreachable { retry_at: now + backoff, backoff, is_probed };
    unreachable.insert(engine.clone(), entry).is_none()
}

/// Whether a connection can be made. The first probe of an engine is repeated soon after, because single
/// packets get lost.
async fn is_reachable(address: SocketAddr, first: bool) -> bool {
    let once = || async move {
        matches!(tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await, Ok(Ok(_)))
    };
    if !first {
        return once().await;
    }
    let second = async {
        tokio::time::sleep(SECOND_PROBE_DELAY).await;
        once().await
    };
    let both = futures::future::select(Box::pin(once()), Box::pin(second)).await;
    match both {
        Either::Left((true, _)) | Either::Right((true, _)) => true,
        Either::Left((false, other)) => other.await,
        Either::Right((false, other)) => other.await,
    }
}

/// Queries the first engine of a silent stream for the engines that its streams wait for.
///
/// If `live` is given, the response counts only if that stream is silent still.
pub(super) fn query_stalled(control: &Rc<Control>, path: &Path, live: Option<&Arc<LiveStream>>) {
    let Some(entry) = control.entries.borrow().get(&path.head().engine).cloned() else { return };
    let control = control.clone();
    let live = live.map(Arc::downgrade);
    spawn_local(async move {
        let status = match engines::query_status(&control, &entry).await {
            Ok(status) => status,
            Err(e) => return log::info!("status query to first engine {} failed: {e}", entry.id),
        };
        let now = control.now();
        let flows = |l: &Weak<LiveStream>| l.upgrade().is_none_or(|l| !is_silent(&l, now));
        if live.as_ref().is_some_and(flows) {
            return;
        }
        status.stalled.iter().for_each(|(_, address)| mark_stalling(&control, *address));
        if live.is_some() {
            control.recovery.wake.notify_one();
        }
    });
}

/// # Reachability
impl Control {
    /// Whether a probe found an engine unreachable.
    pub(super) fn is_probed_unreachable(&self, engine: &Name) -> bool {
        self.unreachable.borrow().get(engine).is_some_and(|u| u.is_probed)
    }
}

/// Marks an engine that stalls streams as unreachable.
fn mark_stalling(control: &Control, address: SocketAddr) {
    let table = control.shared.table.load();
    let Some(view) = table.by_address(address) else { return };
    let now = control.now();
    if !record_unreachable(control, &view.entry.id, now, false) {
        return;
    }
    control.suspect(&view.entry.id, "the first engine of a path waits for it", SUSPECT_MS);
}
