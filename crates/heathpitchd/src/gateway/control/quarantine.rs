//! Quarantine of requests that crash engines.
//!
//! Engine exits that this node detects (`engine_exits`) and those that other nodes report go into one
//! [`Quarantine`](heathpitch_policy::Quarantine). Nodes exchange exits with every request and
//! response of the feed, in both directions, whether or not the store is reachable, and planners
//! exchange them across failure domains: followers poll every 0.4 s and planners every 0.25 s, so
//! every connected node knows an exit within [`PROPAGATION_MS`]. `part_quarantine` does the same for
//! parts of prompts, `quarantine_store` keeps what is held back in the store, and `exit_records` the
//! exits before a verdict.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use heathpitch_core::{EngineEntry, Millis, Name, RequestFingerprint};
use heathpitch_net::FeedExit;
use heathpitch_policy::{EngineExit, EngineIncarnation, just_started};

use super::state::Control;
use super::{exit_records, quarantine_store, reachability};
use crate::gateway::event::GatewayEvent;
use crate::gateway::quarantine_snapshot::{HeldBack, QuarantineSnapshot, incarnation_of};
use crate::gateway::shared::LostAttempt;

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

/// Why what is held back has to be recomputed, which takes long beside many exits: once for many changes.
#[derive(Clone, Copy, Debug)]
#[must_use]
pub(super) struct HeldChange(pub(super) &'static str);

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
        new |= self.record_part_exits(&incarnation, lost, now);
        self.avoid(&incarnation);
        if new {
            self.update_held("an engine exited under calls of this node");
        }
    }

    /// Clears a suspected request after a complete response.
    pub(super) fn clear_request(&self, fingerprint: RequestFingerprint) -> Option<HeldChange> {
        let is_new = self.quarantine.borrow_mut().clear_request(fingerprint);
        is_new.then_some(HeldChange("the request was answered"))
    }

    /// Withdraws a reported exit of an engine that has responded since.
    pub(super) fn engine_alive(&self, incarnation: &EngineIncarnation) -> Option<HeldChange> {
        let requests = self.quarantine.borrow_mut().engine_alive(incarnation);
        let parts = self.part_quarantine.borrow_mut().engine_alive(incarnation);
        (requests || parts).then_some(HeldChange("an engine reported as exited responds"))
    }

    /// Extends the quarantine of a request that was received again.
    pub(super) fn renew_request(&self, fingerprint: RequestFingerprint) -> Option<HeldChange> {
        let is_new = self.quarantine.borrow_mut().renew(fingerprint, self.now());
        is_new.then_some(HeldChange("the request was received again"))
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
    /// Recomputes which requests and parts of prompts are held back, and publishes them.
    pub(super) fn recompute_held(&self, why: &'static str) {
        let now = self.now();
        self.shared.metrics.held_updates.inc();
        let parts = self.update_held_parts(why, now);
        let mut quarantine = self.quarantine.borrow_mut();
        let (new, released) = quarantine.decide_beside(&self.part_quarantine.borrow());
        for fingerprint in new {
            let exits: Vec<_> = quarantine
                .evidence(fingerprint, now)
                .map(|(l, events, age)| (l.engine.clone(), events, age))
                .collect();
            GatewayEvent::RequestHeldBack { fingerprint, exits, why }.log();
        }
        for fingerprint in released {
            let exits = quarantine.evidence(fingerprint, now).count();
            let explained_by = quarantine.explained_by(fingerprint, &self.part_quarantine.borrow());
            GatewayEvent::RequestLetThrough { fingerprint, exits, explained_by, why }.log();
        }
        let held = |fingerprint| {
            let engines =
                quarantine.evidence(fingerprint, now).map(|(l, ..)| l.engine.clone()).collect();
            let until = now + quarantine.remaining(fingerprint, now);
            (fingerprint, HeldBack { engines, until })
        };
        let held: HashMap<_, _> = quarantine.held().map(held).collect();
        self.shared.metrics.held.set(held.len() as i64);
        let counts = quarantine.counts_beside(&self.part_quarantine.borrow());
        let ended = quarantine.exited_engines();
        self.shared.quarantine.store(Arc::new(QuarantineSnapshot { counts, held, ended, parts }));
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
        let now = control.now();
        let expired = control.quarantine.borrow_mut().expire(now);
        let parts_expired = control.part_quarantine.borrow_mut().expire(now);
        let others_answered = control.record_others_answered();
        if expired || parts_expired {
            control.update_held("the request expired");
        } else if control.part_quarantine.borrow().is_decision_due(now) {
            control.update_held("no node has reported an answer");
        } else if others_answered {
            control.update_held("requests without the part were answered");
        }
        let writes = control.is_planner() && control.reachable() && !control.stopping();
        // The record lacks the exits under what is held back.
        if writes && quarantine_store::write_due(&control).await {
            exit_records::write_due(&control).await;
        }
    }
}
