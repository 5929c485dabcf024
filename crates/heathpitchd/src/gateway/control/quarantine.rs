//! Controller of the requests under which engines end.
//!
//! What this node finds (`ends`) and what others tell it goes into one
//! [`Quarantine`](heathpitch_policy::Quarantine). Nodes tell each other with every question and answer of the
//! feed, both ways, whether or not they hear from the store, and planners tell those of other domains: with
//! 0.4 s between a follower's questions and 0.25 s between those of planners, every node in touch knows
//! within [`KNOWN_WITHIN`]. Planners write requests that are held back into the store, for nodes that begin when
//! nobody is left who could tell them; an operator who removes such an entry lets the request through.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use heathpitch_core::{EngineEntry, Millis, Name, RequestFingerprint, Revision};
use heathpitch_net::{FeedExit, Item, StoreError, Write};
use heathpitch_policy::{End, EngineIncarnation, just_started};

use super::looks;
use super::state::Control;
use crate::gateway::event::GatewayEvent;
use crate::gateway::quarantine_snapshot::{HeldBack, QuarantineSnapshot, incarnation_of};
use crate::gateway::shared::LostAttempt;

/// Prefix of entries of requests that are held back.
pub(super) const PREFIX: &str = "heathpitch/quarantine/";
/// Time from the end of an engine to the moment at which all nodes in touch have heard of it, milliseconds: a look
/// (120), a follower's question (400) and the limit of its answer (300), a planner's (250 and 200), another
/// follower's. Below the shortest time after which nodes count as in touch (3 000).
const KNOWN_WITHIN: Millis = 2_000;
/// Ends told in one message: some sixty bytes each.
const TOLD_MOST: usize = 256;
/// Time after an engine's end in which those who hear of it leave the engine, milliseconds: its entry is off
/// the list after three seconds, and another engine may have its address.
const LEAVE_WITHIN_MS: Millis = 1_500;
/// Time between two looks at what is old or has to be written to the store.
const TICK: Duration = Duration::from_millis(300);
/// Time that planners leave to the one of the first failure domain by name, milliseconds, so that one writes.
const WRITE_LATER: Millis = 1_500;
/// Time for which an entry in the store holds without being written again, milliseconds: the store's longest.
const ENTRY_TTL: Millis = 600_000;
/// Engines named in an entry.
const ENTRY_MOST: usize = 16;

/// Entries of the store, as far as this node knows: revision, and how often the request had come again.
#[derive(Debug, Default)]
pub(super) struct Entries {
    known: HashMap<RequestFingerprint, Entry>,
}

impl Entries {
    /// Takes none of them to stand there, so that all are written that are not found.
    pub(super) fn forget(&mut self) {
        self.known.clear();
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    revision: Revision,
    renewed: u32,
}

/// # What this node finds
impl Control {
    /// An engine has ended under calls of this node.
    ///
    /// Told are those that it had just begun to run, or else the youngest, which counts for nothing: the others
    /// hear by it that the engine has ended, three seconds before its entry lapses.
    pub(super) fn engine_ended(&self, engine: &EngineEntry, lost: &[LostAttempt]) {
        let (now, life) = (self.now(), incarnation_of(engine));
        let youngest = lost.iter().map(|call| call.events).min().unwrap_or(0);
        let told = |call: &&LostAttempt| call.events == youngest || just_started(call.events);
        let mut new = false;
        for call in lost.iter().filter(told) {
            let mut quarantine = self.quarantine.borrow_mut();
            new |= quarantine.record_end(call.fingerprint, life.clone(), call.events, now);
        }
        self.leave(&life);
        if new {
            self.decide("calls of this node were lost with it");
        }
    }

    /// A request under which engines ended was answered whole.
    pub(super) fn answered(&self, print: RequestFingerprint) {
        if self.quarantine.borrow_mut().clear_request(print) {
            self.decide("it was answered");
        }
    }

    /// An engine that is said to have ended has answered since.
    pub(super) fn engine_lives(&self, life: &EngineIncarnation) {
        if self.quarantine.borrow_mut().engine_alive(life) {
            self.decide("an engine that was taken to have ended answers");
        }
    }

    /// A request that is held back came again.
    pub(super) fn came_again(&self, print: RequestFingerprint) {
        if self.quarantine.borrow_mut().renew(print, self.now()) {
            self.decide("it came again");
        }
    }

    /// Leaves an engine that has ended, if it is still listed.
    fn leave(&self, life: &EngineIncarnation) {
        let listed = self.entries.borrow().get(&life.engine).is_some_and(|e| e.born == life.born);
        if listed && !self.is_lost(&life.engine) {
            looks::leave(self, &life.engine, "it has ended");
        }
    }
}

/// # What nodes tell each other
impl Control {
    /// Ends that others have not heard of who know this node's up to `serial`; and up to where they do then.
    pub(super) fn ends_since(&self, serial: u64) -> (Vec<FeedExit>, u64) {
        let (ends, upto) = self.quarantine.borrow().since(serial, TOLD_MOST, self.now());
        let told = ends.into_iter().map(|(end, age_ms)| FeedExit {
            fingerprint: end.print,
            engine: end.life.engine,
            born: end.life.born,
            events: end.events,
            renewed: end.renewed,
            cleared: end.void,
            age_ms,
        });
        (told.collect(), upto)
    }

    /// Takes what another node told in a message that was sent at `sent` or later.
    pub(super) fn hear_ends(&self, ends: &[FeedExit], sent: Millis, by: &Name) {
        let mut new = 0;
        for told in ends {
            let life = EngineIncarnation { engine: told.engine.clone(), born: told.born };
            let end = End {
                print: told.fingerprint,
                life: life.clone(),
                events: told.events,
                renewed: told.renewed,
                void: told.cleared,
            };
            let now = self.now();
            let age = now.saturating_sub(sent) + told.age_ms;
            if !self.quarantine.borrow_mut().learn(end, age, now) {
                continue;
            }
            new += 1;
            if !told.cleared && age < LEAVE_WITHIN_MS {
                self.leave(&life);
            }
        }
        if new > 0 {
            GatewayEvent::ExitsReceived { by: by.clone(), ends: new }.log();
            self.decide("another node told");
        }
    }
}

/// # Verdict
impl Control {
    /// Works out anew what is held back, and publishes it.
    fn decide(&self, why: &'static str) {
        let now = self.now();
        let mut quarantine = self.quarantine.borrow_mut();
        let (new, over) = quarantine.decide();
        for print in new {
            let ends: Vec<_> = quarantine
                .evidence(print, now)
                .map(|(l, events, age)| (l.engine.clone(), events, age))
                .collect();
            GatewayEvent::RequestHeldBack { fingerprint: print, ends, why }.log();
        }
        for print in over {
            GatewayEvent::RequestLetThrough { fingerprint: print, why }.log();
        }
        let held = |print| {
            let engines = quarantine.evidence(print, now).map(|(l, ..)| l.engine.clone()).collect();
            let until = now + quarantine.remaining(print, now);
            (print, HeldBack { engines, until })
        };
        let held: HashMap<_, _> = quarantine.held().map(held).collect();
        self.shared.metrics.held.set(held.len() as i64);
        let (counts, ended) = (quarantine.counts(), quarantine.ended_engines());
        self.shared.quarantine.store(Arc::new(QuarantineSnapshot { counts, held, ended }));
    }
}

/// Forgets what is old and keeps the store's entries for as long as this node runs.
pub(super) async fn run(control: Rc<Control>) {
    let contact = control.shared.settings.load().bounds.contact_ms;
    if contact < KNOWN_WITHIN {
        log::warn!("ends of engines are known within {KNOWN_WITHIN} ms, agreed are {contact} ms");
    }
    loop {
        tokio::time::sleep(TICK).await;
        let expired = control.quarantine.borrow_mut().expire(control.now());
        if expired {
            control.decide("it has not come for long");
        }
        if control.plans() && control.reachable() && !control.stopping() {
            write_due(&control).await;
        }
    }
}

/// Writes the requests that are held back and do not stand in the store as they are.
async fn write_due(control: &Control) {
    for print in due(control) {
        if let Err(e) = write(control, print).await {
            log::warn!("request {print}, which is held back, cannot be written to the store: {e}");
            return;
        }
    }
}

fn due(control: &Control) -> Vec<RequestFingerprint> {
    let (quarantine, entries) = (control.quarantine.borrow(), control.quarantined.borrow());
    let own = control.domain();
    let first = control.sources.borrow().planners().all(|(domain, _)| own <= *domain);
    let now = control.now();
    let wanted = |print: &RequestFingerprint| {
        let known = entries.known.get(print).map(|e| e.renewed);
        let held = quarantine.evidence(*print, now).map(|(.., age)| age).min().unwrap_or(0);
        known.is_none_or(|known| known < quarantine.renewed(*print))
            && (first || held >= WRITE_LATER)
    };
    quarantine.held().filter(wanted).collect()
}

async fn write(control: &Control, print: RequestFingerprint) -> Result<(), StoreError> {
    let lease = control.call("grant", control.edges.store.grant(ENTRY_TTL)).await?;
    let key = format!("{PREFIX}{print}");
    let known = control.quarantined.borrow().known.get(&print).copied();
    let (value, renewed) = {
        let quarantine = control.quarantine.borrow();
        (entry(&quarantine, print, control.now()), quarantine.renewed(print))
    };
    let write = Write {
        conditions: vec![(key.clone(), known.map_or(Revision(0), |k| k.revision))],
        puts: vec![(key, value, Some(lease))],
        removals: Vec::new(),
    };
    match control.call("quarantine", control.edges.store.write(write)).await {
        Ok(revision) => {
            let entry = Entry { revision, renewed };
            control.quarantined.borrow_mut().known.insert(print, entry);
            Ok(())
        }
        // Another planner was faster; the lease that nothing stands under runs out by itself.
        Err(StoreError::Conflict(items)) => {
            match items.first() {
                Some(item) => take(control, item),
                None => removed(control, print),
            }
            Ok(())
        }
        Err(e) => Err(e),
    }
}

/// The text of an entry: a line for each engine, with its start and the events that the request brought.
fn entry(
    quarantine: &heathpitch_policy::Quarantine,
    print: RequestFingerprint,
    now: Millis,
) -> Bytes {
    let line = |(life, events, _): (&EngineIncarnation, u32, Millis)| {
        format!("{} {} {events}\n", life.engine, life.born.unwrap_or(0))
    };
    let lines = quarantine.evidence(print, now).take(ENTRY_MOST).map(line);
    lines.collect::<String>().into()
}

/// Takes an entry of the store.
pub(super) fn take(control: &Control, item: &Item) {
    let print = item.key.strip_prefix(PREFIX).and_then(|p| p.parse::<RequestFingerprint>().ok());
    let (Some(print), Ok(text)) = (print, std::str::from_utf8(&item.value)) else {
        return log::warn!("entry {} of a request that is held back cannot be read", item.key);
    };
    let now = control.now();
    let mut new = false;
    for line in text.lines() {
        match read_line(print, line) {
            Some(end) => new |= control.quarantine.borrow_mut().learn(end, 0, now),
            None => log::warn!("a line of entry {} cannot be read: {line}", item.key),
        }
    }
    let renewed = control.quarantine.borrow().renewed(print);
    let entry = Entry { revision: item.revision, renewed };
    control.quarantined.borrow_mut().known.insert(print, entry);
    if new {
        control.decide("it stands in the store");
    }
}

fn read_line(print: RequestFingerprint, line: &str) -> Option<End> {
    let mut words = line.split(' ');
    let engine = words.next()?.parse().ok()?;
    let born = words.next()?.parse().ok().filter(|born| *born > 0);
    let events = words.next()?.parse().ok()?;
    Some(End { print, life: EngineIncarnation { engine, born }, events, renewed: 0, void: false })
}

/// Takes note that an entry is gone from the store, because an operator let its request through or
/// because it has not come for long.
pub(super) fn gone(control: &Control, key: &str) {
    if let Some(print) = key.strip_prefix(PREFIX).and_then(|p| p.parse().ok()) {
        removed(control, print);
    }
}

fn removed(control: &Control, print: RequestFingerprint) {
    let known = control.quarantined.borrow_mut().known.remove(&print).is_some();
    if known && control.quarantine.borrow_mut().clear_request(print) {
        control.decide("its entry was taken from the store");
    }
}
