//! Controller of the record of limits that engines name, which the planner of a failure domain keeps in the store.
//!
//! Each node that begins reads these records with the planners' entries, before anyone can tell it of a limit.
//! [`LimitRecorder`] decides when one is written.

use std::rc::Rc;
use std::time::Duration;

use heathpitch_core::{Name, Revision};
use heathpitch_net::{Item, StoreError, Write};
use heathpitch_policy::{EngineIncarnation, LimitEntry, LimitRecord, LimitRecorder};

use super::state::Control;
use crate::gateway::event::GatewayEvent;

/// Prefix of the records, one a failure domain.
pub(super) const PREFIX: &str = "heathpitch/limits/";
/// Time between two looks at whether the record has to be written.
const TICK: Duration = Duration::from_millis(300);

/// The record of this node's failure domain, as far as it knows the store's.
#[derive(Debug, Default)]
pub(super) struct StoredLimits {
    recorder: LimitRecorder,
    /// Revision of its item; none if there is none.
    revision: Option<Revision>,
}

impl StoredLimits {
    /// Takes none to stand in the store.
    pub(super) fn forget(&mut self) {
        *self = Self::default();
    }
}

/// Keeps the record for as long as this node runs, whenever it plans.
pub(super) async fn run(control: Rc<Control>) {
    loop {
        control.wait_until_planner().await;
        tokio::time::sleep(TICK).await;
        if !control.is_planner() || !control.reachable() || control.stopping() {
            continue;
        }
        let current = current(&control);
        let due = control.stored_limits.borrow().recorder.is_due(&current, control.now());
        if due && let Err(e) = write(&control, current).await {
            log::warn!("the record of engines' limits cannot be written to the store: {e}");
        }
    }
}

/// Limits of the engines of this failure domain.
fn current(control: &Control) -> LimitRecord {
    let (domain, entries) = (control.domain(), control.entries.borrow());
    let own =
        |life: &EngineIncarnation| entries.get(&life.engine).is_some_and(|e| e.domain == domain);
    let (limits, wishes) = (control.limits.borrow(), control.backpressure.borrow());
    let in_probes = |life: &EngineIncarnation| {
        wishes.get(&life.engine).is_some_and(|w| w.limit().is_in_probes())
    };
    let advertised = limits.named().filter(|(life, _)| own(life));
    LimitRecord::of(advertised.map(|(life, rate)| {
        let limit = LimitEntry { rate, in_probes: in_probes(&life) };
        (life, limit)
    }))
}

async fn write(control: &Control, record: LimitRecord) -> Result<(), StoreError> {
    let key = key(&control.domain());
    let known = control.stored_limits.borrow().revision;
    let write = Write {
        conditions: vec![(key.clone(), known.unwrap_or(Revision(0)))],
        puts: vec![(key, record.text().into(), None)],
        removals: Vec::new(),
    };
    match control.call("limits", control.edges.store.write(write)).await {
        Ok(revision) => {
            GatewayEvent::LimitsStored { engines: record.limits().count(), revision }.log();
            keep(control, record, revision);
            Ok(())
        }
        // Another planner of this domain was faster.
        Err(StoreError::Conflict(items)) => {
            match items.first() {
                Some(item) => take(control, item),
                None => control.stored_limits.borrow_mut().forget(),
            }
            Ok(())
        }
        Err(e) => Err(e),
    }
}

fn keep(control: &Control, record: LimitRecord, revision: Revision) {
    let mut stored = control.stored_limits.borrow_mut();
    stored.recorder.stored(record, control.now());
    stored.revision = Some(revision);
}

/// Takes a record of the store.
pub(super) fn take(control: &Control, item: &Item) {
    let Ok(text) = std::str::from_utf8(&item.value) else {
        return log::warn!("record {} of engines' limits cannot be read", item.key);
    };
    let (record, unread) = LimitRecord::read(text);
    if unread > 0 {
        log::warn!("{unread} lines of record {} of engines' limits cannot be read", item.key);
    }
    record.limits().for_each(|(life, limit)| control.restore_limit(life, limit));
    if *item.key == *key(&control.domain()) {
        keep(control, record, item.revision);
    }
}

/// Takes note that a record is gone from the store.
pub(super) fn gone(control: &Control, key_gone: &str) {
    if key_gone == key(&control.domain()) {
        control.stored_limits.borrow_mut().forget();
    }
}

/// Key of a failure domain's record.
fn key(domain: &Name) -> String {
    format!("{PREFIX}{domain}")
}
