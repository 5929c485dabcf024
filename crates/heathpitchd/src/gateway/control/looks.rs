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
const FLOWING: Millis = 80;
/// Time for a look at an engine, milliseconds: many times the delay between failure domains.
const LOOK: Duration = Duration::from_millis(60);
/// Time after which a first look is tried a second time: many times the delay inside a domain.
const SECOND: Duration = Duration::from_millis(15);
/// Time between two looks at the same engine, milliseconds.
const LOOK_AGAIN: Millis = 300;
/// Time for which an engine that cannot be reached is left alone without another look, milliseconds;
/// doubled each time.
const LOST: Millis = 1_000;
/// Longest such time.
const LOST_LONGEST: Millis = 4_000;
/// Engines looked at in one round: a failure domain that is cut off is not looked at all at once.
const LOOKS_MOST: usize = 24;
/// Time for which new work is kept from it, milliseconds; renewed by each look.
const SUSPECT_MS: Millis = 4_500;
/// Time for which an engine's word that it takes no new work is believed, milliseconds: engines
/// leave within a few seconds of it.
const REFUSING: Millis = 4_000;

/// An engine that cannot be reached.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lost {
    /// When it is looked at again.
    again: Millis,
    pause: Millis,
}

/// Asks an engine that refused its part whether it takes new work at all.
pub(super) fn question(control: &Rc<Control>, engine: &Name) {
    let Some(entry) = control.entries.borrow().get(engine).cloned() else { return };
    let Some(service) = control.service(&entry.service) else { return };
    if !control.may_question(engine) {
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
        let until = control.now() + REFUSING;
        control.refusing.borrow_mut().insert(entry.id.clone(), until);
        control.doubt(&entry.id, "it says that it takes no new work", REFUSING);
    });
}

/// Looks at the engines that are worth it now.
pub(super) async fn round(control: &Control, looked: &mut Vec<(Name, Millis)>, now: Millis) {
    let suspects = suspects(control, looked, now);
    if !suspects.is_empty() {
        look(control, suspects).await;
    }
}

/// Engines worth a look: on silent streams only, or lost some time ago.
fn suspects(control: &Control, looked: &mut Vec<(Name, Millis)>, now: Millis) -> Vec<Suspect> {
    looked.retain(|(_, at)| now < at + LOOK_AGAIN);
    let mut flowing: HashSet<Name> = HashSet::new();
    let mut silent: HashSet<Name> = HashSet::new();
    for watched in control.streams.borrow().iter() {
        let Some(live) = watched.live.upgrade() else { continue };
        let path = live.path.load();
        let engines = path.stages().iter().map(|s| s.engine.clone());
        match is_silent(&live, now) {
            true => silent.extend(engines),
            false if live.silence(now) < FLOWING => flowing.extend(engines),
            false => {}
        }
    }
    clear_flowing(control, &flowing);
    let lost = control.lost.borrow();
    let overdue = lost.iter().filter(|(_, l)| now >= l.again).map(|(n, _)| n.clone());
    let lost: Vec<Name> = overdue.collect();
    let entries = control.entries.borrow();
    let wanted = silent.difference(&flowing).filter(|n| !control.is_lost(n));
    let wanted: Vec<Name> = wanted.cloned().chain(lost).collect();
    let fresh = wanted.into_iter().filter(|n| !looked.iter().any(|(l, _)| l == n));
    let found: Vec<Suspect> = fresh
        .take(LOOKS_MOST)
        .filter_map(|engine| {
            let address = entries.get(&engine)?.address;
            Some(Suspect { engine, address })
        })
        .collect();
    looked.extend(found.iter().map(|s| (s.engine.clone(), now)));
    found
}

/// Takes engines back that streams flow through, whatever a look at them found.
fn clear_flowing(control: &Control, flowing: &HashSet<Name>) {
    let mut lost = control.lost.borrow_mut();
    for engine in flowing {
        if lost.remove(engine).is_some() {
            control.trust(engine);
        }
    }
}

struct Suspect {
    engine: Name,
    address: SocketAddr,
}

/// Looks at engines; those that cannot be reached are lost until they can be.
async fn look(control: &Control, suspects: Vec<Suspect>) {
    let looks = suspects.iter().map(|s| reach(s.address, !control.is_lost(&s.engine)));
    let found = futures::future::join_all(looks).await;
    let now = control.now();
    let mut changed = false;
    for (suspect, reached) in suspects.into_iter().zip(found) {
        let was = control.is_lost(&suspect.engine);
        match (reached, was) {
            (true, true) => {
                control.lost.borrow_mut().remove(&suspect.engine);
                control.trust(&suspect.engine);
                changed = true;
            }
            (true, false) => {}
            (false, _) => {
                lose(control, &suspect.engine, now);
                changed |= !was;
                control.doubt(&suspect.engine, "it cannot be reached", SUSPECT_MS);
            }
        }
    }
    if changed {
        control.publish();
    }
}

/// Leaves an engine that is known to be gone, because of `why`.
pub(super) fn leave(control: &Control, engine: &Name, why: &'static str) {
    if lose(control, engine, control.now()) {
        control.doubt(engine, why, SUSPECT_MS);
        control.publish();
    }
}

/// Takes note that an engine cannot be reached; gives whether that is new.
fn lose(control: &Control, engine: &Name, now: Millis) -> bool {
    let mut lost = control.lost.borrow_mut();
    let pause = lost.get(engine).map_or(LOST, |l| (l.pause * 2).min(LOST_LONGEST));
    lost.insert(engine.clone(), Lost { again: now + pause, pause }).is_none()
}

/// Whether a connection can be made; the first time it is tried a second time soon after, because
/// single packets get lost.
async fn reach(address: SocketAddr, first: bool) -> bool {
    let once = || async move {
        matches!(tokio::time::timeout(LOOK, TcpStream::connect(address)).await, Ok(Ok(_)))
    };
    if !first {
        return once().await;
    }
    let second = async {
        tokio::time::sleep(SECOND).await;
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
pub(super) fn ask(control: &Rc<Control>, path: &Path) {
    let Some(entry) = control.entries.borrow().get(&path.head().engine).cloned() else { return };
    let control = control.clone();
    spawn_local(async move {
        match engines::ask(&control, &entry).await {
            Ok(status) => status.stalled.iter().for_each(|(_, at)| suspect(&control, *at)),
            Err(e) => log::info!("first engine {} does not tell its state: {e}", entry.id),
        }
    });
}

/// Leaves an engine that streams wait for.
fn suspect(control: &Control, address: SocketAddr) {
    let table = control.shared.table.load();
    let Some(view) = table.by_address(address) else { return };
    let now = control.now();
    if !lose(control, &view.entry.id, now) {
        return;
    }
    control.doubt(&view.entry.id, "the first engine of a path waits for it", SUSPECT_MS);
}
