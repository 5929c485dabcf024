//! Controller of the record of limits advertised by engines, which the planner of a failure domain keeps in the
//! store.
//!
//! A starting node reads these records together with the planners' entries, before it can receive limits from
//! other nodes. [`LimitRecorder`] decides when a record is written.

use std::rc::Rc;
use std::time::Duration;

use heathpitch_core::{Name, Revision};
use heathpitch_net::{Item, StoreError, Write};
use heathpitch_policy::{EngineIncarnation, LimitEntry, LimitRecord, LimitRecorder};

use super::state::Control;
use crate::gateway::event::GatewayEvent;

/// Prefix of the records, one per failure domain.
pub(super) const PREFIX: &str = "heathpitch/limits/";
/// Time between checks whether the record has to be written.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// The last known state of this failure domain's record in the store.
#[derive(Debug, Default)]
pub(super) struct StoredLimits {
    recorder: LimitRecorder,
    /// Revision of the record's item, if it exists.
    revision: Option<Revision>,
}

impl StoredLimits {
    /// Assumes that the store holds no record.
    pub(super) fn forget(&mut self) {
        *self = Self::default();
    }
}

/// Keeps the record up to date while this node is planner.
pub(super) async fn run(control: Rc<Control>) {
    loop {
        control.wait_until_planner().await;
        tokio::time::sleep(CHECK_INTERVAL).await;
        if !control.is_planner() || !control.reachable() || control.stopping() {
            continue;
        }
        let current = current(&control);
        let due = control.stored_limits.borrow().recorder.is_due(&current, control.now());
        if due && let Err(e) = write(&control, current).await {
            log::warn!("failed to write the record of engine limits: {e}");
        }
    }
}

/// Current limits of the engines of this failure domain.
fn current(control: &Control) -> LimitRecord {
    let (domain, entries) = (control.domain(), control.entries.borrow());
    let own = |incarnation: &EngineIncarnation| {
        entries.get(&incarnation.engine).is_some_and(|e| e.domain == domain)
    };
    let (limits, backpressure) = (control.limits.borrow(), control.backpressure.borrow());
    let in_probes = |incarnation: &EngineIncarnation| {
        backpressure.get(&incarnation.engine).is_some_and(|b| b.limit().is_in_probes())
    };
    let advertised = limits.in_force().filter(|(incarnation, _)| own(incarnation));
    LimitRecord::new(advertised.map(|(incarnation, rate)| {
        let limit = LimitEntry { rate, in_probes: in_probes(&incarnation) };
        (incarnation, limit)
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
    match control.call("limits", control.clients.store.write(write)).await {
        Ok(revision) => {
            GatewayEvent::LimitsStored { engines: record.limits().count(), revision }.log();
            keep(control, record, revision);
            Ok(())
        }
        // Another planner of this failure domain wrote it first.
        Err(StoreError::Conflict(items)) => {
            match items.first() {
                Some(item) => load_record(control, item),
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

/// Applies a record read from the store.
pub(super) fn load_record(control: &Control, item: &Item) {
    let Ok(text) = std::str::from_utf8(&item.value) else {
        return log::warn!("invalid record {} of engine limits: not UTF-8", item.key);
    };
    let (record, invalid) = LimitRecord::read(text);
    if invalid > 0 {
        log::warn!("{invalid} invalid lines in record {} of engine limits", item.key);
    }
    record.limits().for_each(|(incarnation, limit)| control.restore_limit(incarnation, limit));
    if *item.key == *key(&control.domain()) {
        keep(control, record, item.revision);
    }
}

/// Records that a record was deleted from the store.
pub(super) fn record_deleted(control: &Control, deleted: &str) {
    if deleted == key(&control.domain()) {
        control.stored_limits.borrow_mut().forget();
    }
}

/// Key of a failure domain's record.
fn key(domain: &Name) -> String {
    format!("{PREFIX}{}", domain.encoded())
}
