//! Controller of the record of engine exits without a verdict, which all planners share.
//!
//! A starting node reads it with the other entries of its one list. [`ExitRecorder`] decides when it is
//! written.

use heathpitch_core::Revision;
use heathpitch_net::{Item, StoreError, Write};
use heathpitch_policy::{
    EngineExit, ExitRecord, ExitRecorder, RecordedAnswer, RecordedExit, Suspect,
};

use super::quarantine_store::ENTRY_TTL_MS;
use super::state::Control;
use crate::gateway::event::GatewayEvent;

/// Key of the record.
pub(super) const KEY: &str = "heathpitch/exits";

/// The last known state of the record in the store.
#[derive(Debug, Default)]
pub(super) struct StoredExits {
    recorder: ExitRecorder,
    /// Revision of the record's item, if it exists.
    revision: Option<Revision>,
}

impl StoredExits {
    /// Assumes that the store holds no record.
    pub(super) fn forget(&mut self) {
        *self = Self::default();
    }
}

/// Writes the record if it is out of date.
pub(super) async fn write_due(control: &Control) {
    let current = current(control);
    let due = {
        let stored = control.stored_exits.borrow();
        stored.recorder.is_due(&current, control.writes_first(), control.now())
    };
    if due && let Err(e) = write(control, &current).await {
        log::warn!("could not write the record of engine exits to the store: {e}");
    }
}

fn current(control: &Control) -> ExitRecord {
    let now = control.now();
    let (requests, parts) = (control.quarantine.borrow(), control.part_quarantine.borrow());
    let (part_exits, answers) = parts.undecided(now);
    ExitRecord::new(requests.undecided(now).chain(part_exits)).with_answers(answers)
}

async fn write(control: &Control, record: &ExitRecord) -> Result<(), StoreError> {
    let lease = control.call("grant", control.clients.store.grant(ENTRY_TTL_MS)).await?;
    let known = control.stored_exits.borrow().revision;
    let write = Write {
        conditions: vec![(KEY.to_owned(), known.unwrap_or(Revision(0)))],
        puts: vec![(KEY.to_owned(), record.text().into(), Some(lease))],
        removals: Vec::new(),
    };
    match control.call("exits", control.clients.store.write(write)).await {
        Ok(revision) => {
            GatewayEvent::ExitsStored { exits: record.exits().len(), revision }.log();
            keep(control, record, revision);
            Ok(())
        }
        // Another planner wrote first; the unused lease expires by itself.
        Err(StoreError::Conflict(items)) => {
            match items.first() {
                Some(item) => load(control, item),
                None => deleted(control),
            }
            Ok(())
        }
        Err(e) => Err(e),
    }
}

fn keep(control: &Control, record: &ExitRecord, revision: Revision) {
    let mut stored = control.stored_exits.borrow_mut();
    stored.recorder.stored(record, control.now());
    stored.revision = Some(revision);
}

/// Learns the exits of a record read from the store.
pub(super) fn load(control: &Control, item: &Item) {
    let Ok(text) = std::str::from_utf8(&item.value) else {
        return log::warn!("invalid record {KEY}: not UTF-8");
    };
    let (record, invalid) = ExitRecord::read(text);
    if invalid > 0 {
        log::warn!("{invalid} invalid lines in record {KEY}");
    }
    keep(control, &record, item.revision);
    let learned = record.exits().iter().filter(|exit| learn(control, exit)).count();
    for RecordedAnswer { answer, age } in record.answers() {
        control.part_quarantine.borrow_mut().learn_answer(*answer, *age, control.now());
    }
    if learned > 0 {
        GatewayEvent::ExitsLoaded { exits: learned, revision: item.revision }.log();
        control.update_held("the store has a record of exits");
    }
}

/// Learns an exit; returns whether it changes anything.
fn learn(control: &Control, exit: &RecordedExit) -> bool {
    let now = control.now();
    match exit.suspect {
        Suspect::Request(fingerprint) => {
            let RecordedExit { incarnation, events, cleared, age, .. } = exit.clone();
            let exit = EngineExit { fingerprint, incarnation, events, renewed: 0, cleared };
            control.quarantine.borrow_mut().learn(exit, age, now)
        }
        Suspect::Part(key) => {
            control.part_quarantine.borrow_mut().learn(exit.part_exit(key), exit.age, now)
        }
    }
}

/// Records that the record was deleted from the store.
pub(super) fn deleted(control: &Control) {
    control.stored_exits.borrow_mut().forget();
}
