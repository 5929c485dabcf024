//! Quarantine of requests that crash engines.
//!
//! Engine exits that this node detects (`engine_exits`) and those that other nodes report go into one
//! [`Quarantine`](heathpitch_policy::Quarantine). Nodes exchange exits with every request and
//! response of the feed, in both directions, whether or not the store is reachable, and planners
//! exchange them across failure domains: followers poll every 0.4 s and planners every 0.25 s, so
//! every connected node knows an exit within [`PROPAGATION_MS`]. Planners write quarantined
//! requests to the store, for nodes that start while no running node can inform them; an operator
//! who deletes such an entry releases the request.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use heathpitch_core::{EngineEntry, Millis, Name, RequestFingerprint, Revision};
use heathpitch_net::{FeedExit, Item, StoreError, Write};
use heathpitch_policy::{EngineExit, EngineIncarnation, just_started};

use super::reachability;
use super::state::Control;
use crate::gateway::event::GatewayEvent;
use crate::gateway::quarantine_snapshot::{HeldBack, QuarantineSnapshot, incarnation_of};
use crate::gateway::shared::LostAttempt;

/// Key prefix of quarantined requests in the store.
pub(super) const PREFIX: &str = "heathpitch/quarantine/";
/// Longest time from an engine's exit until all connected nodes know of it: a probe (120), a
/// follower's poll (400) and its timeout (300), a planner's (250 and 200), and another follower's.
/// Below the smallest contact bound (3 000).
const PROPAGATION_MS: Millis = 2_000;
/// Most exits in one message, about sixty bytes each.
const MAX_EXITS: usize = 256;
/// Age of an exit up to which nodes that learn of it avoid the engine: its entry is unlisted after
/// three seconds, and another engine may then have its address.
const AVOID_WITHIN_MS: Millis = 1_500;
/// Interval between checks for expired requests and for entries to write to the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which planners leave writing to that of the failure domain that is first by name, so
/// that only one writes.
const WRITE_DELAY_MS: Millis = 1_500;
/// Lifetime of an entry that is not written again: the store's longest lease.
const ENTRY_TTL_MS: Millis = 600_000;
/// Most engines in an entry.
const MAX_ENTRY_ENGINES: usize = 16;

/// Quarantine entries of the store as this node knows them.
#[derive(Debug, Default)]
pub(super) struct StoredEntries {
    known: HashMap<RequestFingerprint, Entry>,
}

impl StoredEntries {
    /// Assumes that the store holds none of them, so that all that are not found are written.
    pub(super) fn forget(&mut self) {
        self.known.clear();
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    revision: Revision,
    /// Renewals of the request when the entry was written.
    renewed: u32,
}

/// # Local observations
impl Control {
    /// Records that an engine exited while it ran calls of this node.
    ///
    /// Only calls that had just started count as evidence. If there is none, the youngest call is
    /// recorded without weight, so that other nodes learn of the exit three seconds before the
    /// engine's entry expires.
    pub(super) fn record_engine_exit(&self, engine: &EngineEntry, lost: &[LostAttempt]) {
        let (now, incarnation) = (self.now(), incarnation_of(engine));
        let youngest = lost.iter().map(|call| call.events).min().unwrap_or(0);
        let recorded = |call: &&LostAttempt| call.events == youngest || just_started(call.events);
        let mut new = false;
        for call in lost.iter().filter(recorded) {
            let mut quarantine = self.quarantine.borrow_mut();
            new |= quarantine.record_exit(call.fingerprint, incarnation.clone(), call.events, now);
        }
        self.avoid(&incarnation);
        if new {
            self.update_held("an engine exited under calls of this node");
        }
    }

    /// Clears a suspected request after a complete response.
    pub(super) fn clear_request(&self, fingerprint: RequestFingerprint) {
        if self.quarantine.borrow_mut().clear_request(fingerprint) {
            self.update_held("the request was answered");
        }
    }

    /// Withdraws a reported exit of an engine that has responded since.
    pub(super) fn engine_alive(&self, incarnation: &EngineIncarnation) {
        if self.quarantine.borrow_mut().engine_alive(incarnation) {
            self.update_held("an engine reported as exited responds");
        }
    }

    /// Extends the quarantine of a request that was received again.
    pub(super) fn renew_request(&self, fingerprint: RequestFingerprint) {
        if self.quarantine.borrow_mut().renew(fingerprint, self.now()) {
            self.update_held("the request was received again");
        }
    }

    /// Avoids an engine that has exited, if it is still listed.
    fn avoid(&self, incarnation: &EngineIncarnation) {
        let listed = self
            .entries
            .borrow()
            .get(&incarnation.engine)
            .is_some_and(|e| e.started_at == incarnation.started_at);
        if listed && !self.is_unreachable(&incarnation.engine) {
            reachability::mark_unreachable(self, &incarnation.engine, "engine exited");
        }
    }
}

/// # Exchange with other nodes
impl Control {
    /// Exits recorded after `serial`, and the serial of the last one returned.
    pub(super) fn exits_since(&self, serial: u64) -> (Vec<FeedExit>, u64) {
        let (ends, upto) = self.quarantine.borrow().since(serial, MAX_EXITS, self.now());
        let exits = ends.into_iter().map(|(end, age_ms)| FeedExit {
            fingerprint: end.fingerprint,
            engine: end.incarnation.engine,
            started_at: end.incarnation.started_at,
            events: end.events,
            renewed: end.renewed,
            cleared: end.cleared,
            age_ms,
        });
        (exits.collect(), upto)
    }

    /// Records exits that another node reported in a message sent at `sent` or later.
    pub(super) fn receive_exits(&self, exits: &[FeedExit], sent: Millis, by: &Name) {
        let mut new = 0;
        for exit in exits {
            let incarnation =
                EngineIncarnation { engine: exit.engine.clone(), started_at: exit.started_at };
            let end = EngineExit {
                fingerprint: exit.fingerprint,
                incarnation: incarnation.clone(),
                events: exit.events,
                renewed: exit.renewed,
                cleared: exit.cleared,
            };
            let now = self.now();
            let age = now.saturating_sub(sent) + exit.age_ms;
            if !self.quarantine.borrow_mut().learn(end, age, now) {
                continue;
            }
            new += 1;
            if !exit.cleared && age < AVOID_WITHIN_MS {
                self.avoid(&incarnation);
            }
        }
        if new > 0 {
            GatewayEvent::ExitsReceived { by: by.clone(), exits: new }.log();
            self.update_held("another node reported exits");
        }
    }
}

/// # Held requests
impl Control {
    /// Recomputes which requests are held back, and publishes them.
    fn update_held(&self, why: &'static str) {
        let now = self.now();
        let mut quarantine = self.quarantine.borrow_mut();
        let (new, released) = quarantine.decide();
        for fingerprint in new {
            let exits: Vec<_> = quarantine
                .evidence(fingerprint, now)
                .map(|(l, events, age)| (l.engine.clone(), events, age))
                .collect();
            GatewayEvent::RequestHeldBack { fingerprint, exits, why }.log();
        }
        for fingerprint in released {
            GatewayEvent::RequestLetThrough { fingerprint, why }.log();
        }
        let held = |fingerprint| {
            let engines =
                quarantine.evidence(fingerprint, now).map(|(l, ..)| l.engine.clone()).collect();
            let until = now + quarantine.remaining(fingerprint, now);
            (fingerprint, HeldBack { engines, until })
        };
        let held: HashMap<_, _> = quarantine.held().map(held).collect();
        self.shared.metrics.held.set(held.len() as i64);
        let (counts, ended) = (quarantine.counts(), quarantine.exited_engines());
        self.shared.quarantine.store(Arc::new(QuarantineSnapshot { counts, held, ended }));
    }
}

/// Expires old requests and maintains the store's entries while this node runs.
pub(super) async fn run(control: Rc<Control>) {
    let contact_ms = control.shared.settings.load().bounds.contact_ms;
    if contact_ms < PROPAGATION_MS {
        log::warn!(
            "engine exits may take {PROPAGATION_MS} ms to reach all nodes, \
             but bounds.contact_ms is {contact_ms}"
        );
    }
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let expired = control.quarantine.borrow_mut().expire(control.now());
        if expired {
            control.update_held("the request expired");
        }
        if control.is_planner() && control.reachable() && !control.stopping() {
            write_due(&control).await;
        }
    }
}

/// Writes quarantined requests whose store entries are missing or outdated.
async fn write_due(control: &Control) {
    for fingerprint in due(control) {
        if let Err(e) = write(control, fingerprint).await {
            log::warn!("could not write quarantined request {fingerprint} to the store: {e}");
            return;
        }
    }
}

fn due(control: &Control) -> Vec<RequestFingerprint> {
    let (quarantine, entries) = (control.quarantine.borrow(), control.stored_quarantine.borrow());
    let own = control.domain();
    let first = control.sources.borrow().planners().all(|(domain, _)| own <= *domain);
    let now = control.now();
    let wanted = |fingerprint: &RequestFingerprint| {
        let known = entries.known.get(fingerprint).map(|e| e.renewed);
        let age_ms = quarantine.evidence(*fingerprint, now).map(|(.., age)| age).min().unwrap_or(0);
        known.is_none_or(|known| known < quarantine.renewed(*fingerprint))
            && (first || age_ms >= WRITE_DELAY_MS)
    };
    quarantine.held().filter(wanted).collect()
}

async fn write(control: &Control, fingerprint: RequestFingerprint) -> Result<(), StoreError> {
    let lease = control.call("grant", control.clients.store.grant(ENTRY_TTL_MS)).await?;
    let key = format!("{PREFIX}{fingerprint}");
    let known = control.stored_quarantine.borrow().known.get(&fingerprint).copied();
    let (value, renewed) = {
        let quarantine = control.quarantine.borrow();
        (entry_value(&quarantine, fingerprint, control.now()), quarantine.renewed(fingerprint))
    };
    let write = Write {
        conditions: vec![(key.clone(), known.map_or(Revision(0), |k| k.revision))],
        puts: vec![(key, value, Some(lease))],
        removals: Vec::new(),
    };
    match control.call("quarantine", control.clients.store.write(write)).await {
        Ok(revision) => {
            let entry = Entry { revision, renewed };
            control.stored_quarantine.borrow_mut().known.insert(fingerprint, entry);
            Ok(())
        }
        // Another planner wrote first; the unused lease expires by itself.
        Err(StoreError::Conflict(items)) => {
            match items.first() {
                Some(item) => load_entry(control, item),
                None => release_deleted(control, fingerprint),
            }
            Ok(())
        }
        Err(e) => Err(e),
    }
}

/// Value of an entry: one line for each engine, with its start time and the events of the request.
fn entry_value(
    quarantine: &heathpitch_policy::Quarantine,
    fingerprint: RequestFingerprint,
    now: Millis,
) -> Bytes {
    let line = |(incarnation, events, _): (&EngineIncarnation, u32, Millis)| {
        format!("{} {} {events}\n", incarnation.engine, incarnation.started_at.unwrap_or(0))
    };
    let lines = quarantine.evidence(fingerprint, now).take(MAX_ENTRY_ENGINES).map(line);
    lines.collect::<String>().into()
}

/// Loads an entry of the store.
pub(super) fn load_entry(control: &Control, item: &Item) {
    let fingerprint =
        item.key.strip_prefix(PREFIX).and_then(|p| p.parse::<RequestFingerprint>().ok());
    let (Some(fingerprint), Ok(text)) = (fingerprint, std::str::from_utf8(&item.value)) else {
        return log::warn!("quarantine entry {} cannot be parsed", item.key);
    };
    let now = control.now();
    let mut new = false;
    for line in text.lines() {
        match parse_line(fingerprint, line) {
            Some(end) => new |= control.quarantine.borrow_mut().learn(end, 0, now),
            None => log::warn!("line of quarantine entry {} cannot be parsed: {line}", item.key),
        }
    }
    let renewed = control.quarantine.borrow().renewed(fingerprint);
    let entry = Entry { revision: item.revision, renewed };
    control.stored_quarantine.borrow_mut().known.insert(fingerprint, entry);
    if new {
        control.update_held("the store has an entry of the request");
    }
}

fn parse_line(fingerprint: RequestFingerprint, line: &str) -> Option<EngineExit> {
    let mut fields = line.split(' ');
    let engine = fields.next()?.parse().ok()?;
    let started_at = fields.next()?.parse().ok().filter(|started_at| *started_at > 0);
    let events = fields.next()?.parse().ok()?;
    Some(EngineExit {
        fingerprint,
        incarnation: EngineIncarnation { engine, started_at },
        events,
        renewed: 0,
        cleared: false,
    })
}

/// Releases the request of an entry that was deleted by an operator or has expired.
pub(super) fn entry_deleted(control: &Control, key: &str) {
    if let Some(fingerprint) = key.strip_prefix(PREFIX).and_then(|p| p.parse().ok()) {
        release_deleted(control, fingerprint);
    }
}

fn release_deleted(control: &Control, fingerprint: RequestFingerprint) {
    let known = control.stored_quarantine.borrow_mut().known.remove(&fingerprint).is_some();
    if known && control.quarantine.borrow_mut().clear_request(fingerprint) {
        control.update_held("its store entry was deleted");
    }
}
