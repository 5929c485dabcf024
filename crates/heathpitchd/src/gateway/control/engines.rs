//! Table of known engines, updated from entries of the store and from the engines' own status.
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

/// Changed entries logged in one line each; a larger batch is logged in a single line, because a node that
/// starts receives all entries at once.
const MAX_LOGGED_SINGLY: usize = 16;

/// Takes an engine out of use whose address now belongs to another engine.
pub(super) fn mark_replaced(control: &Control, engine: &Name) {
    if control.replaced.borrow_mut().insert(engine.clone()) {
        let engine = engine.to_string();
        GatewayEvent::EngineGone { engine, why: "its address belongs to another engine" }.log();
        control.publish();
    }
}

/// Updates an engine's layers from its status after a request found its entry wrong.
pub(super) fn refresh_layers(control: &Rc<Control>, engine: &Name) {
    let Some(entry) = control.entries.borrow().get(engine).cloned() else { return };
    if !control.may_query_status(engine) {
        return;
    }
    let control = control.clone();
    tokio::task::spawn_local(async move {
        match query_status(&control, &entry).await {
            Ok(status) => update_layers(&control, &entry, &status),
            Err(RpcError::Status(421)) => mark_replaced(&control, &entry.id),
            Err(e) => log::warn!("status query to engine {} failed: {e}", entry.id),
        }
    });
}

/// Queries an engine's status. A status of a newer incarnation than the listed one discards the state kept of
/// the older one.
///
/// # Errors
///
/// As [`EngineControl::status`](heathpitch_net::EngineControl::status), and [`RpcError::Lost`] if the answer comes
/// from an older incarnation than the known one.
pub(super) async fn query_status(
    control: &Control,
    engine: &EngineEntry,
) -> Result<EngineStatus, RpcError> {
    let sent = control.now();
    let answer = control.clients.engines.status(engine).await?;
    let status = control.record_response(engine, "report", sent, answer);
    let recency =
        control.incarnations.borrow_mut().observe(&engine.id, status.started_at, control.now());
    match recency {
        Recency::Current => {}
        Recency::Stale => return Err(RpcError::Lost("stale incarnation".to_owned())),
        Recency::Restarted => {
            reset_restarted(control, &engine.id, status.started_at, "its status");
            // The status decides which layers it holds until its entry is updated.
            let layers = status.layers.unwrap_or(LayerRange::new(0, 0));
            let (state, started_at) = (EntryState::Ready, status.started_at);
            let entry = EngineEntry { layers, state, started_at, ..engine.clone() };
            control.entries.borrow_mut().insert(engine.id.clone(), Arc::new(entry));
            control.publish();
        }
    }
    Ok(status)
}

/// Discards the state kept of an engine that restarted under its id, as shown by `by`: its former incarnation
/// holds no layers and no tokens any more, and will send no answers.
fn reset_restarted(control: &Control, engine: &Name, started_at: Option<Millis>, by: &'static str) {
    forget(control, engine);
    control.backpressure.borrow_mut().remove(engine);
    control.departing.borrow_mut().remove(engine);
    control.lapsed.borrow_mut().remove(engine);
    GatewayEvent::EngineRestarted { engine: engine.clone(), started_at, by }.log();
}

/// Updates the layers of an entry from the engine's status.
pub(super) fn update_layers(control: &Control, entry: &EngineEntry, status: &EngineStatus) {
    let layers = status.layers.unwrap_or(LayerRange::new(0, 0));
    let current = control.entries.borrow().get(&entry.id).cloned();
    let Some(current) = current.filter(|c| c.layers != layers) else { return };
    let entry = EngineEntry { layers, ..(*current).clone() };
    log_listed(&entry);
    control.entries.borrow_mut().insert(entry.id.clone(), Arc::new(entry));
    control.publish();
}

/// Returns the engine whose entry is stored under a key.
pub(super) fn engine_id(control: &Control, key: &str) -> Option<Name> {
    let id = key.strip_prefix(control.clients.dialect.engines_prefix())?;
    Name::from_foreign(id).ok()
}

/// Adds or updates entries and returns the ids of their engines.
///
/// An unreadable entry yields no id, and the engine listed under its key is removed.
pub(super) fn put_all(control: &Control, items: &[Item]) -> HashSet<Name> {
    let mut changed = Vec::new();
    let ids = items.iter().filter_map(|item| put(control, item, &mut changed)).collect();
    match changed.len() {
        0..=MAX_LOGGED_SINGLY => changed.iter().for_each(|e| log_listed(e)),
        _ => {
            let engines = changed.iter().map(|e| (e.id.clone(), e.layers)).collect();
            GatewayEvent::EnginesListed { engines }.log();
        }
    }
    ids
}

/// Adds or updates an entry, appends it to `changed` if it differs from the listed one, and returns its
/// engine's id if it is readable.
fn put(control: &Control, item: &Item, changed: &mut Vec<Arc<EngineEntry>>) -> Option<Name> {
    control.observe_era(item.revision.era());
    let entry = match read(control, item) {
        Ok(entry) => {
            control.clear_rejected_entry(&item.key);
            entry
        }
        Err(e) => {
            control.reject_entry(&e);
            let id = engine_id(control, &item.key)?;
            remove(control, &id, "its entry is invalid");
            return None;
        }
    };
    let id = entry.id.clone();
    let recency = control.incarnations.borrow_mut().observe(&id, entry.started_at, control.now());
    match recency {
        Recency::Current => {}
        Recency::Restarted => reset_restarted(control, &id, entry.started_at, "its store entry"),
        Recency::Stale => {
            log::info!("ignored an entry of engine {id} from an earlier incarnation");
            return Some(id);
        }
    }
    let old = control.entries.borrow().get(&id).cloned();
    // Once announced, in an entry or a response, draining holds for the rest of the incarnation.
    let was_draining = old.as_ref().is_some_and(|o| o.state == EntryState::Draining);
    let draining =
        was_draining || control.drain_notices.borrow().is_draining(&incarnation_of(&entry));
    let state = if draining { EntryState::Draining } else { entry.state };
    let entry = EngineEntry { state, ..entry };
    control.mirror.borrow_mut().put(item.key.clone(), item.revision.0, item.clone());
    if old.as_deref() == Some(&entry) {
        return Some(id);
    }
    if old.is_none() {
        control.listed_since.borrow_mut().insert(id.clone(), control.now());
    }
    if old.is_none() && entry.domain == control.domain() {
        control.last_join.set(control.now());
    }
    match entry.state {
        EntryState::Draining if !was_draining => {
            control.departing.borrow_mut().insert(id.clone(), control.now());
            control.drain_notices.borrow_mut().learn(incarnation_of(&entry), 0, control.now());
        }
        EntryState::Draining => {}
        // It is listed again after having been removed: streams stay on it.
        EntryState::Ready => {
            control.departing.borrow_mut().remove(&id);
        }
    }
    let entry = Arc::new(entry);
    changed.push(entry.clone());
    control.entries.borrow_mut().insert(id.clone(), entry);
    Some(id)
}

/// Decodes and checks the entry in an item.
///
/// # Errors
///
/// If it cannot be decoded, holds layers that its model does not have, or lacks the start time that the engine
/// stated before.
fn read(control: &Control, item: &Item) -> Result<EngineEntry, DocumentError> {
    let entry = control.clients.dialect.engine(item)?;
    let wrong =
        |message: &str| Err(DocumentError { key: item.key.clone(), message: message.to_owned() });
    let service = control.service(&entry.service);
    let model = service.as_ref().and_then(|s| s.model.as_ref());
    match model {
        Some(model) if entry.layers.end > model.layers => wrong("its model has fewer layers"),
        _ if entry.started_at.is_none()
            && control.incarnations.borrow().started_at(&entry.id).is_some() =>
        {
            wrong("it lacks the start time of the engine, which earlier entries had")
        }
        _ => Ok(entry),
    }
}

/// Whether the store lists an engine as ready, regardless of other state kept of it.
pub(super) fn is_listed_ready(control: &Control, id: &Name) -> bool {
    let key = key(control, id);
    let listed = control.mirror.borrow().get(&key).map(|item| control.clients.dialect.engine(item));
    matches!(listed, Some(Ok(entry)) if entry.state == EntryState::Ready)
}

/// Key of an engine's entry.
fn key(control: &Control, id: &Name) -> String {
    format!("{}{id}", control.clients.dialect.engines_prefix())
}

fn log_listed(entry: &EngineEntry) {
    GatewayEvent::EngineListed {
        engine: entry.id.clone(),
        service: entry.service.clone(),
        domain: entry.domain.clone(),
        draining: entry.state == EntryState::Draining,
        layers: entry.layers,
        started_at: entry.started_at,
    }
    .log();
}

/// Removes an engine from the list; `why` is logged.
pub(super) fn remove(control: &Control, id: &Name, why: &'static str) {
    control.mirror.borrow_mut().remove(&key(control, id));
    if control.entries.borrow_mut().remove(id).is_some() {
        control.departing.borrow_mut().entry(id.clone()).or_insert(control.now());
        forget(control, id);
        GatewayEvent::EngineGone { engine: id.to_string(), why }.log();
    }
}

/// Discards all state kept of an engine: entry, orders, suspicion, reports, request statistics.
fn forget(control: &Control, id: &Name) {
    control.entries.borrow_mut().remove(id);
    control.engine_stats.borrow_mut().remove(id);
    control.unreachable.borrow_mut().remove(id);
    control.pending.borrow_mut().remove(id);
    control.orders.borrow_mut().remove(id);
    control.listed_since.borrow_mut().remove(id);
    control.refusing.borrow_mut().remove(id);
    control.status_queried.borrow_mut().remove(id);
    control.replaced.borrow_mut().remove(id);
    control.reports.borrow_mut().remove(id);
}
