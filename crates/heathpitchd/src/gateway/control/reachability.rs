//! Looks at engines: which ones cannot be reached, take no new work, or hold streams up.
//!
//! An engine that only silent streams use is worth a look; one that a stream flows through is not,
//! whatever an earlier look found.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::future::Either;

use heathpitch_core::{Millis, Name, Path};
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use super::engines;
use super::recovery::is_silent;
use super::state::Control;

/// Silence below which a stream shows that its engines work, milliseconds.
const FLOWING_MS: Millis = 80;
/// Time for a look at an engine, milliseconds: many times the delay between failure domains.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);
/// Time after which a first look is tried a second time: many times the delay inside a domain.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(15);
/// Time between two looks at the same engine, milliseconds.
const PROBE_INTERVAL_MS: Millis = 300;
/// Time for which an engine that cannot be reached is left alone without another look, milliseconds;
/// doubled each time.
const UNREACHABLE_MS: Millis = 1_000;
/// Longest such time.
const MAX_UNREACHABLE_MS: Millis = 4_000;
/// Engines looked at in one round: a failure domain that is cut off is not looked at all at once.
const MAX_PROBES: usize = 24;
/// Time for which new work is kept from it, milliseconds; renewed by each look.
const SUSPECT_MS: Millis = 4_500;
/// Time for which an engine's word that it takes no new work is believed, milliseconds: engines
/// leave within a few seconds of it.
const REFUSAL_MS: Millis = 4_000;

/// An engine that cannot be reached.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unreachable {
    /// When it is looked at again.
    retry_at: Millis,
    pause: Millis,
}

/// Asks an engine that refused its part whether it takes new work at all.
pub(super) fn check_refusal(control: &Rc<Control>, engine: &Name) {
    let Some(entry) = control.entries.borrow().get(engine).cloned() else { return };
    let Some(service) = control.service(&entry.service) else { return };
    if !control.may_query_status(engine) {
        return;
    }
    let control = control.clone();
    spawn_local(async move {
        match control.check(&entry, &service.health_path).await {
            Some(Ok(answer)) if !answer.value => {}
            Some(Ok(_)) | None => return,
            Some(Err(e)) => {
                return log::warn!("engine {} does not answer its check: {e}", entry.id);
            }
        }
        let until = control.now() + REFUSAL_MS;
        control.refusing.borrow_mut().insert(entry.id.clone(), until);
        control.suspect(&entry.id, "it says that it takes no new work", REFUSAL_MS);
    });
}

/// Looks at the engines that are worth it now.
pub(super) async fn probe_round(control: &Control, probed: &mut Vec<(Name, Millis)>, now: Millis) {
    let suspects = suspects(control, probed, now);
    if !suspects.is_empty() {
        probe_all(control, suspects).await;
    }
}

/// Engines worth a look: on silent streams only, or lost some time ago.
fn suspects(control: &Control, probed: &mut Vec<(Name, Millis)>, now: Millis) -> Vec<Suspect> {
    probed.retain(|(_, at)| now < at + PROBE_INTERVAL_MS);
    let mut flowing: HashSet<Name> = HashSet::new();
    let mut silent: HashSet<Name> = HashSet::new();
    for watched in control.streams.borrow().iter() {
        let Some(live) = watched.live.upgrade() else { continue };
        let path = live.path.load();
        let engines = path.stages().iter().map(|s| s.engine.clone());
        match is_silent(&live, now) {
            true => silent.extend(engines),
            false if live.silent(now) < FLOWING_MS => flowing.extend(engines),
            false => {}
        }
    }
    clear_flowing(control, &flowing);
    let unreachable = control.unreachable.borrow();
    let overdue = unreachable.iter().filter(|(_, l)| now >= l.retry_at).map(|(n, _)| n.clone());
    let unreachable: Vec<Name> = overdue.collect();
    let entries = control.entries.borrow();
    let wanted = silent.difference(&flowing).filter(|n| !control.is_unreachable(n));
    let wanted: Vec<Name> = wanted.cloned().chain(unreachable).collect();
    let fresh = wanted.into_iter().filter(|n| !probed.iter().any(|(l, _)| l == n));
    let found: Vec<Suspect> = fresh
        .take(MAX_PROBES)
        .filter_map(|engine| {
            let address = entries.get(&engine)?.address;
            Some(Suspect { engine, address })
        })
        .collect();
    probed.extend(found.iter().map(|s| (s.engine.clone(), now)));
    found
}

/// Takes engines back that streams flow through, whatever a look at them found.
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

/// Looks at engines; those that cannot be reached are lost until they can be.
async fn probe_all(control: &Control, suspects: Vec<Suspect>) {
    let probes =
        suspects.iter().map(|s| is_reachable(s.address, !control.is_unreachable(&s.engine)));
    let found = futures::future::join_all(probes).await;
    let now = control.now();
    let mut changed = false;
    for (suspect, reached) in suspects.into_iter().zip(found) {
        let was = control.is_unreachable(&suspect.engine);
        match (reached, was) {
            (true, true) => {
                control.unreachable.borrow_mut().remove(&suspect.engine);
                control.clear_suspicion(&suspect.engine);
                changed = true;
            }
            (true, false) => {}
            (false, _) => {
                record_unreachable(control, &suspect.engine, now);
                changed |= !was;
                control.suspect(&suspect.engine, "it cannot be reached", SUSPECT_MS);
            }
        }
    }
    if changed {
        control.publish();
    }
}

/// Leaves an engine that is known to be gone, because of `why`.
pub(super) fn mark_unreachable(control: &Control, engine: &Name, why: &'static str) {
    if record_unreachable(control, engine, control.now()) {
        control.suspect(engine, why, SUSPECT_MS);
        control.publish();
    }
}

/// Takes note that an engine cannot be reached; gives whether that is new.
fn record_unreachable(control: &Control, engine: &Name, now: Millis) -> bool {
    let mut unreachable = control.unreachable.borrow_mut();
    let pause =
        unreachable.get(engine).map_or(UNREACHABLE_MS, |l| (l.pause * 2).min(MAX_UNREACHABLE_MS));
    unreachable.insert(engine.clone(), Unreachable { retry_at: now + pause, pause }).is_none()
}

/// Whether a connection can be made; the first time it is tried a second time soon after, because
/// single packets get lost.
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
        Either::Left((false, rest)) => rest.await,
        Either::Right((false, rest)) => rest.await,
    }
}

/// Asks the first engine of a silent stream which engines its streams wait for.
pub(super) fn query_stalled(control: &Rc<Control>, path: &Path) {
    let Some(entry) = control.entries.borrow().get(&path.head().engine).cloned() else { return };
    let control = control.clone();
    spawn_local(async move {
        match engines::query_status(&control, &entry).await {
            Ok(status) => status.stalled.iter().for_each(|(_, at)| leave_stalled(&control, *at)),
            Err(e) => log::info!("first engine {} does not tell its state: {e}", entry.id),
        }
    });
}

/// Leaves an engine that streams wait for.
fn leave_stalled(control: &Control, address: SocketAddr) {
    let table = control.shared.table.load();
    let Some(view) = table.at(address) else { return };
    let now = control.now();
    if !record_unreachable(control, &view.entry.id, now) {
        return;
    }
    control.suspect(&view.entry.id, "the first engine of a path waits for it", SUSPECT_MS);
}
