//! Engines as the store's entries, and their own words, show them: taken, corrected, forgotten.
//!
//! `engine_list` reads and watches the entries.

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;

use heathpitch_core::{EngineEntry, EntryState, LayerRange, Millis, Name};
use heathpitch_net::{DocumentError, EngineStatus, Item, RpcError};
use heathpitch_policy::Recency;

use super::state::Control;
use crate::gateway::event::GatewayEvent;
use crate::gateway::quarantine_snapshot::incarnation_of;

/// Entries that are logged one by one if they change together; more are logged in one line. A node that
/// begins hears all.
const LOGGED_ALONE: usize = 16;

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
            Err(RpcError::Status(421)) => mark_replaced(&control, &entry.id),
            Err(e) => log::warn!("engine {} does not tell its state: {e}", entry.id),
        }
    });
}

/// Asks an engine for its state; the word of another life than the one listed ends what is known of the
/// older one.
///
/// # Errors
///
/// As [`EngineControl::status`](heathpitch_net::EngineControl::status), and [`RpcError::Lost`] if the answer is of an
/// older life than the one that is known.
pub(super) async fn ask(control: &Control, engine: &EngineEntry) -> Result<EngineStatus, RpcError> {
    let sent = control.now();
    let answer = control.edges.orders.status(engine).await?;
    let status = control.heed(engine, "report", sent, answer);
    let word = control.lives.borrow_mut().observe(&engine.id, status.born, control.now());
    match word {
        Recency::Current => {}
        Recency::Stale => return Err(RpcError::Lost("an answer of its last life".to_owned())),
        Recency::Restarted => {
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
    GatewayEvent::EngineRestarted { engine: engine.clone(), born, by }.log();
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
    let word = control.lives.borrow_mut().observe(&id, entry.born, control.now());
    match word {
        Recency::Current => {}
        Recency::Restarted => begin_anew(control, &id, entry.born, "its entry"),
        Recency::Stale => {
            log::info!("entry of engine {id} is passed over: it is of an older life");
            return Some(id);
        }
    }
    let old = control.entries.borrow().get(&id).cloned();
    // What an engine once said, here or in an answer, binds it for as long as it lives.
    let left = old.as_ref().is_some_and(|o| o.state == EntryState::Leaving);
    let said = left || control.leavers.borrow().is_draining(&incarnation_of(&entry));
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
            control.leavers.borrow_mut().learn(incarnation_of(&entry), 0, control.now());
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
