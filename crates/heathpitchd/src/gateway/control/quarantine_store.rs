//! Store entries of what is quarantined, one for each request or part of a prompt.
//!
//! Planners write them for nodes that start while no running node can inform them. An operator who
//! deletes an entry releases what it stands for.

use std::collections::HashMap;

use bytes::Bytes;
use heathpitch_core::{Millis, Name, Revision};
use heathpitch_net::{Item, StoreError, Write};
use heathpitch_policy::{EngineExit, EngineIncarnation, PartExit, Suspect};

use super::state::Control;

/// Key prefix of the entries.
pub(super) const PREFIX: &str = "heathpitch/quarantine/";
/// Time for which planners leave writing to that of the failure domain that is first by name, so
/// that only one writes.
const WRITE_DELAY_MS: Millis = 1_500;
/// Lifetime of an entry that is not written again: the store's longest lease.
pub(super) const ENTRY_TTL_MS: Millis = 600_000;
/// Most engines in an entry.
const MAX_ENTRY_ENGINES: usize = 16;

/// Entries of the store as this node knows them.
#[derive(Debug, Default)]
pub(super) struct StoredEntries {
    known: HashMap<Suspect, Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    revision: Revision,
    /// Renewals of the suspect when the entry was written.
    renewed: u32,
}

impl StoredEntries {
    /// Assumes that the store holds none of them, so that all that are not found are written.
    pub(super) fn forget(&mut self) {
        self.known.clear();
    }
}

fn suspect_of_key(key: &str) -> Option<Suspect> {
    key.strip_prefix(PREFIX)?.parse().ok()
}

/// Writes what is held back and has no entry, or an outdated one; returns whether the store has all of it.
pub(super) async fn write_due(control: &Control) -> bool {
    for suspect in due(control) {
        if let Err(e) = write(control, suspect).await {
            log::warn!("could not write quarantine entry {suspect} to the store: {e}");
            return false;
        }
    }
    true
}

fn due(control: &Control) -> Vec<Suspect> {
    let entries = control.stored_quarantine.borrow();
    let (first, now) = (control.writes_first(), control.now());
    let wanted = |suspect: &Suspect| {
        let known = entries.known.get(suspect).map(|e| e.renewed);
        known.is_none_or(|known| known < control.renewals(*suspect))
            && (first || control.youngest_exit(*suspect, now) >= WRITE_DELAY_MS)
    };
    let requests: Vec<_> = control.quarantine.borrow().held().map(Suspect::Request).collect();
    let parts: Vec<_> = control.part_quarantine.borrow().held_keys().map(Suspect::Part).collect();
    requests.into_iter().chain(parts).filter(wanted).collect()
}

async fn write(control: &Control, suspect: Suspect) -> Result<(), StoreError> {
    let lease = control.call("grant", control.clients.store.grant(ENTRY_TTL_MS)).await?;
    let key = format!("{PREFIX}{suspect}");
    let known = control.stored_quarantine.borrow().known.get(&suspect).copied();
    let (value, renewed) = (control.entry_value(suspect), control.renewals(suspect));
    let write = Write {
        conditions: vec![(key.clone(), known.map_or(Revision(0), |k| k.revision))],
        puts: vec![(key, value, Some(lease))],
        removals: Vec::new(),
    };
    match control.call("quarantine", control.clients.store.write(write)).await {
        Ok(revision) => {
            let entry = Entry { revision, renewed };
            control.stored_quarantine.borrow_mut().known.insert(suspect, entry);
            Ok(())
        }
        // Another planner wrote first; the unused lease expires by itself.
        Err(StoreError::Conflict(items)) => {
            match items.first() {
                Some(item) => load_entry(control, item),
                None => release_deleted(control, suspect),
            }
            Ok(())
        }
        Err(e) => Err(e),
    }
}

/// # Entries
impl Control {
    /// Whether this node's failure domain is the first by name of those with a planner.
    pub(super) fn writes_first(&self) -> bool {
        let own = self.domain();
        self.sources.borrow().planners().all(|(domain, _)| own <= *domain)
    }

    /// How often the quarantine of a suspect was extended.
    fn renewals(&self, suspect: Suspect) -> u32 {
        match suspect {
            Suspect::Request(fingerprint) => self.quarantine.borrow().renewed(fingerprint),
            Suspect::Part(key) => self.part_quarantine.borrow().renewed(key),
        }
    }

    fn youngest_exit(&self, suspect: Suspect, now: Millis) -> Millis {
        let (requests, parts) = (self.quarantine.borrow(), self.part_quarantine.borrow());
        let youngest = match suspect {
            Suspect::Request(f) => requests.evidence(f, now).map(|(.., age)| age).min(),
            Suspect::Part(key) => parts.evidence(key, now).map(|(.., age)| age).min(),
        };
        youngest.unwrap_or(0)
    }

    /// Value of an entry: one line for each engine, with its start time, the events of the request
    /// and the position of the part.
    fn entry_value(&self, suspect: Suspect) -> Bytes {
        let now = self.now();
        let (requests, parts) = (self.quarantine.borrow(), self.part_quarantine.borrow());
        let line = |(incarnation, events, _): (&EngineIncarnation, u32, Millis), end: &str| {
            let EngineIncarnation { engine, started_at } = incarnation;
            format!("{} {} {events}{end}\n", engine.encoded(), started_at.unwrap_or(0))
        };
        let lines: String = match suspect {
            Suspect::Request(fingerprint) => {
                let exits = requests.evidence(fingerprint, now).take(MAX_ENTRY_ENGINES);
                exits.map(|exit| line(exit, "")).collect()
            }
            Suspect::Part(key) => {
                let position = format!(" {}", parts.position(key));
                let exits = parts.evidence(key, now).take(MAX_ENTRY_ENGINES);
                exits.map(|exit| line(exit, &position)).collect()
            }
        };
        lines.into()
    }
}

/// Loads an entry of the store.
pub(super) fn load_entry(control: &Control, item: &Item) {
    let (Some(suspect), Ok(text)) = (suspect_of_key(&item.key), std::str::from_utf8(&item.value))
    else {
        return log::warn!("quarantine entry {} cannot be parsed", item.key);
    };
    let mut new = false;
    for line in text.lines() {
        match load_line(control, suspect, line) {
            Some(changed) => new |= changed,
            None => log::warn!("line of quarantine entry {} cannot be parsed: {line}", item.key),
        }
    }
    let entry = Entry { revision: item.revision, renewed: control.renewals(suspect) };
    control.stored_quarantine.borrow_mut().known.insert(suspect, entry);
    if new {
        control.update_held("the store has an entry of it");
    }
}

/// Records the exit that a line describes, and returns whether it changes anything; none if the line
/// cannot be parsed.
fn load_line(control: &Control, suspect: Suspect, line: &str) -> Option<bool> {
    let mut fields = line.split(' ');
    let engine = Name::from_encoded(fields.next()?).ok()?;
    let started_at = fields.next()?.parse().ok().filter(|started_at| *started_at > 0);
    let events = fields.next()?.parse().ok()?;
    let (incarnation, now) = (EngineIncarnation { engine, started_at }, control.now());
    let cleared = false;
    let changed = match suspect {
        Suspect::Request(fingerprint) => {
            let exit = EngineExit { fingerprint, incarnation, events, renewed: 0, cleared };
            control.quarantine.borrow_mut().learn(exit, 0, now)
        }
        Suspect::Part(key) => {
            let position = fields.next()?.parse().ok()?;
            // The entry stands for a verdict, so that its exits need not be judged again.
            let exit = PartExit {
                key,
                incarnation,
                events,
                position,
                others_answered: true,
                answered_before: false,
                request: None,
                renewed: 1,
                cleared,
            };
            control.part_quarantine.borrow_mut().learn(exit, 0, now)
        }
    };
    Some(changed)
}

/// Releases what an entry stands for that was deleted by an operator or has expired.
pub(super) fn entry_deleted(control: &Control, key: &str) {
    if let Some(suspect) = suspect_of_key(key) {
        release_deleted(control, suspect);
    }
}

fn release_deleted(control: &Control, suspect: Suspect) {
    if control.stored_quarantine.borrow_mut().known.remove(&suspect).is_none() {
        return;
    }
    let released = match suspect {
        Suspect::Request(fingerprint) => control.quarantine.borrow_mut().clear_request(fingerprint),
        Suspect::Part(key) => control.part_quarantine.borrow_mut().clear(&[key]),
    };
    if released {
        control.update_held("its store entry was deleted");
    }
}
