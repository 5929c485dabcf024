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

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use heathpitch_core::{EngineEntry, EntryState, LayerRange, Millis, Name, Revision};
use heathpitch_net::{DocumentError, EdgeError, EngineStatus, Item, ItemChange};
use heathpitch_policy::Word;

use super::state::Control;
use crate::gateway::event::GatewayEvent;
use crate::gateway::shared::prove;
use crate::gateway::suspicion::life;

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

/// Entries that are logged one by one if they change together; more are logged in one line. A node that
/// begins hears all.
const LOGGED_ALONE: usize = 16;

/// Keeps the list of engines.
pub(super) async fn follow(control: Rc<Control>) {
    let read = async || list(&control).await;
    // Its connection may not come back with the store.
    let watch = async |at| {
        control.until_doubt(watch(&control, at)).await;
    };
    control.keep(RETRY, read, watch).await;
}

/// Takes an engine out of use: its address answers for another one.
pub(super) fn mark_replaced(control: &Control, engine: &Name) {
    if control.replaced.borrow_mut().insert(engine.clone()) {
        let engine = engine.to_string();
        GatewayEvent::EngineGone { engine, why: "its address answers for another one" }.log();
        control.publish();
    }
}

/// Takes an engine's own word for the layers it holds, where a request found its entry wrong.
pub(super) fn reread(control: &Rc<Control>, engine: &Name) {
    let Some(entry) = control.entries.borrow().get(engine).cloned() else { return };
    if !control.may_question(engine) {
        return;
    }
    let control = control.clone();
    tokio::task::spawn_local(async move {
        match ask(&control, &entry).await {
            Ok(status) => correct(&control, &entry, &status),
            Err(EdgeError::Status(421)) => mark_replaced(&control, &entry.id),
            Err(e) => log::warn!("engine {} does not tell its state: {e}", entry.id),
        }
    });
}

/// Asks an engine for its state; the word of another life than the one listed ends what is known of the
/// older one.
///
/// # Errors
///
/// As [`Orders::status`](heathpitch_net::Orders::status), and [`EdgeError::Lost`] if the answer is of an
/// older life than the one that is known.
pub(super) async fn ask(
    control: &Control,
    engine: &EngineEntry,
) -> Result<EngineStatus, EdgeError> {
    let sent = control.now();
    let answer = control.edges.orders.status(engine).await?;
    let status = control.heed(engine, "report", sent, answer);
    let word = control.lives.borrow_mut().hear(&engine.id, status.born, control.now());
    match word {
        Word::Current => {}
        Word::Old => return Err(EdgeError::Lost("an answer of its last life".to_owned())),
        Word::Reborn => {
            begin_anew(control, &engine.id, status.born, "its own state");
            // Its entry says later what it holds; until then its own word does.
            let layers = status.layers.unwrap_or(LayerRange::new(0, 0));
            let (state, born) = (EntryState::Ready, status.born);
            let entry = EngineEntry { layers, state, born, ..engine.clone() };
            control.entries.borrow_mut().insert(engine.id.clone(), Arc::new(entry));
            control.publish();
        }
    }
    Ok(status)
}

/// Forgets what is known of an engine that has started again under its id, as `by` shows: its last life
/// holds no layers and no tokens any more, and owes no answers.
fn begin_anew(control: &Control, engine: &Name, born: Option<Millis>, by: &'static str) {
    forget(control, engine);
    control.wishes.borrow_mut().remove(engine);
    control.leaving.borrow_mut().remove(engine);
    control.lapsed.borrow_mut().remove(engine);
    GatewayEvent::EngineReborn { engine: engine.clone(), born, by }.log();
}

/// Corrects an entry by the engine's own word.
pub(super) fn correct(control: &Control, entry: &EngineEntry, status: &EngineStatus) {
    let layers = status.layers.unwrap_or(LayerRange::new(0, 0));
    let current = control.entries.borrow().get(&entry.id).cloned();
    let Some(current) = current.filter(|c| c.layers != layers) else { return };
    let entry = EngineEntry { layers, ..(*current).clone() };
    log_listed(&entry);
    control.entries.borrow_mut().insert(entry.id.clone(), Arc::new(entry));
    control.publish();
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
        true => prove(&control.shared.listed, sent),
        false => control.engines_behind.notify_waiters(),
    }
}

/// Whether proofs of the configuration prove the list.
fn is_proven(control: &Control) -> bool {
    let age = control.shared.listed.load().age(control.now());
    let told = control.store_at.get() == control.engines_at.get();
    control.plans() && told && age.is_some_and(|age| age < LIST_UNPROVEN)
}

/// Waits until the list grows old, or the store holds what its watch has not told.
async fn watch_doubted(control: &Control) {
    loop {
        let age = control.shared.listed.load().age(control.now()).unwrap_or(LIST_UNPROVEN);
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
                ItemChange::Gone(key) => gone.extend(id(control, &key)),
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
    prove(&control.shared.listed, proven);
    if entries > 0 {
        let asked_ms = control.now().saturating_sub(sent);
        GatewayEvent::EnginesHeard { by, asked_ms, entries }.log();
    }
}

/// Time to gather changes: longer while nothing is served yet and engines are still coming up.
fn gather(control: &Control) -> Duration {
    let serves = control.entries.borrow().values().any(|e| e.layers.count() > 0);
    if control.settles() && !serves { GATHER_START } else { GATHER }
}

/// The engine whose entry stands under a key.
pub(super) fn id(control: &Control, key: &str) -> Option<Name> {
    key.strip_prefix(control.edges.dialect.engines_prefix())?.parse().ok()
}

/// Takes entries; gives the ids of their engines.
///
/// One that cannot be read names no engine: the one that stood under its key is taken off the list.
pub(super) fn put_all(control: &Control, items: &[Item]) -> HashSet<Name> {
    let mut changed = Vec::new();
    let ids = items.iter().filter_map(|item| put(control, item, &mut changed)).collect();
    match changed.len() {
        0..=LOGGED_ALONE => changed.iter().for_each(|e| log_listed(e)),
        _ => {
            let engines = changed.iter().map(|e| (e.id.clone(), e.layers)).collect();
            GatewayEvent::EnginesListed { engines }.log();
        }
    }
    ids
}

/// Takes an entry, and adds it to `changed` if it says anything new; gives its engine's id if it can be
/// read.
fn put(control: &Control, item: &Item, changed: &mut Vec<Arc<EngineEntry>>) -> Option<Name> {
    control.hear_era(item.revision.era());
    let entry = match read(control, item) {
        Ok(entry) => entry,
        Err(e) => {
            log::warn!("entry of an engine cannot be read: {e}");
            let id = id(control, &item.key)?;
            remove(control, &id, "its entry cannot be read");
            return None;
        }
    };
    let id = entry.id.clone();
    let word = control.lives.borrow_mut().hear(&id, entry.born, control.now());
    match word {
        Word::Current => {}
        Word::Reborn => begin_anew(control, &id, entry.born, "its entry"),
        Word::Old => {
            log::info!("entry of engine {id} is passed over: it is of an older life");
            return Some(id);
        }
    }
    let old = control.entries.borrow().get(&id).cloned();
    // What an engine once said, here or in an answer, binds it for as long as it lives.
    let left = old.as_ref().is_some_and(|o| o.state == EntryState::Leaving);
    let said = left || control.leavers.borrow().binds(&life(&entry));
    let state = if said { EntryState::Leaving } else { entry.state };
    let entry = EngineEntry { state, ..entry };
    control.mirror.borrow_mut().put(item.key.clone(), item.revision.0, item.clone());
    if old.as_deref() == Some(&entry) {
        return Some(id);
    }
    if old.is_none() {
        control.since.borrow_mut().insert(id.clone(), control.now());
    }
    if old.is_none() && entry.domain == control.domain() {
        control.joined.set(control.now());
    }
    match entry.state {
        EntryState::Leaving if !left => {
            control.leaving.borrow_mut().insert(id.clone(), control.now());
            control.leavers.borrow_mut().learn(life(&entry), 0, control.now());
        }
        EntryState::Leaving => {}
        // It was off the list, and is back: streams stay on it.
        EntryState::Ready => {
            control.leaving.borrow_mut().remove(&id);
        }
    }
    let entry = Arc::new(entry);
    changed.push(entry.clone());
    control.entries.borrow_mut().insert(id.clone(), entry);
    Some(id)
}

/// The entry that an item holds.
///
/// # Errors
///
/// What is wrong with it: it cannot be decoded, it holds layers that its model does not have, or it does not
/// name the start that the engine named before.
fn read(control: &Control, item: &Item) -> Result<EngineEntry, DocumentError> {
    let entry = control.edges.dialect.engine(item)?;
    let wrong =
        |message: &str| Err(DocumentError { key: item.key.clone(), message: message.to_owned() });
    let service = control.service(&entry.service);
    let model = service.as_ref().and_then(|s| s.model.as_ref());
    match model {
        Some(model) if entry.layers.end > model.layers => wrong("its model has fewer layers"),
        _ if entry.born.is_none() && control.lives.borrow().born(&entry.id).is_some() => {
            wrong("it does not tell when the engine started, which earlier ones did")
        }
        _ => Ok(entry),
    }
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

/// Whether the store lists an engine as ready, whatever else is known of it.
pub(super) fn is_listed_ready(control: &Control, id: &Name) -> bool {
    let key = key(control, id);
    let listed = control.mirror.borrow().get(&key).map(|item| control.edges.dialect.engine(item));
    matches!(listed, Some(Ok(entry)) if entry.state == EntryState::Ready)
}

/// The key that an engine's entry stands under.
fn key(control: &Control, id: &Name) -> String {
    format!("{}{id}", control.edges.dialect.engines_prefix())
}

fn log_listed(entry: &EngineEntry) {
    GatewayEvent::EngineListed {
        engine: entry.id.clone(),
        service: entry.service.clone(),
        domain: entry.domain.clone(),
        leaving: entry.state == EntryState::Leaving,
        layers: entry.layers,
        born: entry.born,
    }
    .log();
}

/// Takes an engine off the list, because of `why`.
pub(super) fn remove(control: &Control, id: &Name, why: &'static str) {
    control.mirror.borrow_mut().remove(&key(control, id));
    if control.entries.borrow_mut().remove(id).is_some() {
        control.leaving.borrow_mut().entry(id.clone()).or_insert(control.now());
        forget(control, id);
        GatewayEvent::EngineGone { engine: id.to_string(), why }.log();
    }
}

/// Forgets all that is kept of an engine: entry, orders, doubts, reports, what requests met.
fn forget(control: &Control, id: &Name) {
    control.entries.borrow_mut().remove(id);
    control.tallies.borrow_mut().remove(id);
    control.lost.borrow_mut().remove(id);
    control.pending.borrow_mut().remove(id);
    control.orders.borrow_mut().remove(id);
    control.since.borrow_mut().remove(id);
    control.refusing.borrow_mut().remove(id);
    control.questioned.borrow_mut().remove(id);
    control.replaced.borrow_mut().remove(id);
    control.reports.borrow_mut().remove(id);
}
