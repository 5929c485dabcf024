//! Controller of the list of engines.
//!
//! A watch brings changes; a list read anew now and then corrects whatever a watch missed. A
//! watch that waits proves nothing, and its connection may be dead while other calls are answered. So waits
//! are short, but where the proofs of the configuration tell the store's revision and the watch has told all up to
//! it, that proves the list too, and a watch is left to wait until a proof shows that it has missed something. One from
//! before an outage is given up.
//! While the store is away nothing is taken off the list. What is missing at its return, or goes
//! soon after, is waited for, because entries lapse while engines cannot renew them: much of the
//! list for as long as entries take to come back, a few of them for as long as an engine that left
//! may still be sent work.

use std::rc::Rc;
use std::time::Duration;

use heathpitch_core::{Millis, Name, Revision};
use heathpitch_net::ItemChange;

use super::engines::{id, put_all, remove};
use super::state::Control;
use crate::gateway::event::GatewayEvent;
use crate::gateway::shared::record_proof;

/// Longest wait of a watch that nothing else proves, milliseconds. Keeps the age of the list below 1.4 s and two
/// answers' time, and a dead watch from hiding for longer than this and the limit of a call that an engine leaves.
const WATCH: Millis = 600;
/// The same while proofs of the configuration prove the list.
const WATCH_PROVEN: Millis = 20_000;
/// Age of the list from which a watch that waits is asked anew, milliseconds: below that beyond which a list is not told.
const LIST_UNPROVEN: Millis = 1_200;
/// Wait of the watch that takes the place of one in doubt, milliseconds: it tells at once what there is, so that the list
/// does not grow too old to be told.
const WATCH_NOW: Millis = 1;
/// Time over which changes are gathered into one call: a small part of the time for which a leaving
/// engine may still be sent work.
const GATHER: Duration = Duration::from_millis(200);
/// The same while no engine holds a layer and engines are coming up.
const GATHER_START: Duration = Duration::from_millis(600);
/// Time between two tries while the store does not answer.
const RETRY: Duration = Duration::from_millis(350);
/// Time after which the list is read anew although the watch works, milliseconds, for each page of it that there may be:
/// calls for that do not grow with the fleet.
const RELIST: Millis = 15_000;
/// Entries of a page.
const PAGE_ENTRIES: usize = 500;
/// One missing entry in so many listed ones shows that entries lapsed, not that engines left.
const LAPSED: usize = 4;
/// Time in which all nodes hear of what their planner has heard of, milliseconds: gathering (200), a
/// question (400) and the limit of its answer (300), with margin. Without it followers knew of engines
/// that went just after an outage up to 2 255 ms later, where 2 000 are agreed.
const TOLD_WITHIN: Millis = 1_000;
/// Time between two looks at many entries that are waited for, milliseconds.
const LAPSED_LOOK: Millis = 200;

/// Keeps the list of engines.
pub(super) async fn follow(control: Rc<Control>) {
    let read = async || list(&control).await;
    // Its connection may not come back with the store.
    let watch = async |at| {
        control.until_doubt(watch(&control, at)).await;
    };
    control.keep(RETRY, read, watch).await;
}

async fn list(control: &Control) -> Option<Revision> {
    let sent = control.now();
    let prefix = control.edges.dialect.engines_prefix();
    let listing = control.call("list", control.edges.store.list(prefix)).await.ok()?;
    let kept = put_all(control, &listing.items);
    let missing = |id: &&Name| !kept.contains(*id);
    let gone: Vec<Name> = control.entries.borrow().keys().filter(missing).cloned().collect();
    control.lapsed.borrow_mut().retain(|id, _| !kept.contains(id) && control.patience() > 0);
    drop_missing(control, gone, "not listed");
    heard(control, "list", sent, sent, listing.items.len());
    control.publish();
    control.engines_at.set(listing.at);
    Some(listing.at)
}

/// Takes note that the store was at a revision when it answered a proof sent at `sent`: if the watch has told all
/// changes up to it, the list is proven too.
pub(super) fn prove_at(control: &Control, at: Revision, sent: Millis) {
    control.store_at.set(at);
    match at == control.engines_at.get() {
        true => record_proof(&control.shared.list_freshness, sent),
        false => control.engines_behind.notify_waiters(),
    }
}

/// Whether proofs of the configuration prove the list.
fn is_proven(control: &Control) -> bool {
    let age = control.shared.list_freshness.load().age(control.now());
    let told = control.store_at.get() == control.engines_at.get();
    control.plans() && told && age.is_some_and(|age| age < LIST_UNPROVEN)
}

/// Waits until the list grows old, or the store holds what its watch has not told.
async fn watch_doubted(control: &Control) {
    loop {
        let age = control.shared.list_freshness.load().age(control.now()).unwrap_or(LIST_UNPROVEN);
        if age >= LIST_UNPROVEN {
            return;
        }
        let left = Duration::from_millis(LIST_UNPROVEN - age);
        tokio::select! {
            () = control.engines_behind.notified() => return,
            () = tokio::time::sleep(left) => {}
        }
    }
}

async fn watch(control: &Control, from: Revision) {
    let prefix = control.edges.dialect.engines_prefix();
    let pages = control.entries.borrow().len() / PAGE_ENTRIES + 1;
    let over = control.now() + RELIST * pages as Millis;
    let mut at = from;
    let mut doubted = false;
    while control.now() < over && control.reads() {
        let left = over.saturating_sub(control.now()).max(1);
        let wait = match expire(control) {
            None if doubted => WATCH_NOW,
            None if is_proven(control) => WATCH_PROVEN.min(left),
            None => WATCH,
            // Read the list again: whatever is still missing is gone.
            Some(0) => return,
            Some(soon) => soon,
        };
        let sent = control.now();
        let answer = control.watch("engines", prefix, at, wait);
        let answer = tokio::select! {
            answer = answer => answer,
            () = watch_doubted(control), if wait > WATCH => {
                doubted = true;
                continue;
            }
        };
        doubted = false;
        let Ok(watched) = answer else {
            return tokio::time::sleep(GATHER).await;
        };
        // An empty answer comes when the wait is over: until then there was no change.
        let waited = if watched.changes.is_empty() { wait } else { 0 };
        let proven = control.now().min(sent + waited);
        heard(control, "watch", sent, proven, watched.changes.len());
        let (mut items, mut gone) = (Vec::new(), Vec::new());
        for change in watched.changes {
            match change {
                ItemChange::Put(item) => items.push(item),
                ItemChange::Deleted(key) => gone.extend(id(control, &key)),
            }
        }
        let changed = !items.is_empty() || !gone.is_empty();
        for id in put_all(control, &items) {
            control.lapsed.borrow_mut().remove(&id);
        }
        drop_missing(control, gone, "its entry is gone");
        at = watched.at;
        control.engines_at.set(at);
        if changed {
            control.publish();
            tokio::time::sleep(gather(control)).await;
        }
    }
}

/// Takes note of an answer of the store about engines to a call sent at `sent`, which shows what was
/// listed at `proven` or later.
fn heard(control: &Control, by: &'static str, sent: Millis, proven: Millis, entries: usize) {
    record_proof(&control.shared.list_freshness, proven);
    if entries > 0 {
        let asked_ms = control.now().saturating_sub(sent);
        GatewayEvent::EnginesReceived { by, asked_ms, entries }.log();
    }
}

/// Time to gather changes: longer while nothing is served yet and engines are still coming up.
fn gather(control: &Control) -> Duration {
    let serves = control.entries.borrow().values().any(|e| e.layers.count() > 0);
    if control.settles() && !serves { GATHER_START } else { GATHER }
}

/// Takes engines off the list whose entries are missing; at once, unless these may have lapsed
/// while the store was away.
fn drop_missing(control: &Control, gone: Vec<Name>, why: &'static str) {
    if control.patience() == 0 {
        return gone.iter().for_each(|id| remove(control, id, why));
    }
    let now = control.now();
    let mut lapsed = control.lapsed.borrow_mut();
    for id in gone {
        lapsed.entry(id).or_insert(now);
    }
}

/// Takes engines off the list whose entries did not come back; gives the time until the next look,
/// if any entry is waited for.
fn expire(control: &Control) -> Option<Millis> {
    let now = control.now();
    let few = control.lapsed.borrow().len() * LAPSED <= control.entries.borrow().len();
    let comeback = comeback_few(control);
    let due = |since: Millis| few && now >= since + comeback;
    let over: Vec<Name> = {
        let lapsed = control.lapsed.borrow();
        lapsed.iter().filter(|(_, since)| due(**since)).map(|(id, _)| id.clone()).collect()
    };
    for id in &over {
        control.lapsed.borrow_mut().remove(id);
        remove(control, id, "its entry did not come back");
    }
    if !over.is_empty() {
        control.publish();
    }
    let oldest = control.lapsed.borrow().values().min().copied()?;
    let due = (oldest + comeback).saturating_sub(now);
    // Many missing entries are past their time and wait for the store's own.
    let soon = if few { due } else { LAPSED_LOOK };
    Some(control.patience().min(soon))
}

/// Time for which a few missing entries are waited for after an outage: what is left, of the time for
/// which an engine that left may be sent work, once all nodes have heard of it.
fn comeback_few(control: &Control) -> Millis {
    control.shared.settings.load().bounds.drain_ms.saturating_sub(TOLD_WITHIN)
}
