//! Quarantine of parts of prompts that crash engines.
//!
//! Exits are recorded, exchanged and stored like those of whole requests (`quarantine`). Nodes also
//! remember which parts were answered lately (`Shared::answered_parts`): such a part is not blamed,
//! and a node that learns of exits under it clears them for all.

use std::collections::HashMap;

use heathpitch_core::{Millis, Name};
use heathpitch_net::FeedPartExit;
use heathpitch_policy::{
    Demand, EngineIncarnation, HeldPart, PartEvidence, PartExit, PartKey, PartQuarantine,
    just_started,
};

use super::quarantine::MAX_EXITS;
use super::state::Control;
use crate::gateway::event::GatewayEvent;
use crate::gateway::part_snapshot::PartSnapshot;
use crate::gateway::quarantine_snapshot::HeldBack;
use crate::gateway::shared::LostAttempt;

/// Most parts logged at one change.
const MAX_LOGGED_PARTS: usize = 16;

/// # Local observations
impl Control {
    /// Records the parts of the calls that had just started on an engine that exited; returns whether
    /// that is new.
    pub(super) fn record_part_exits(
        &self,
        incarnation: &EngineIncarnation,
        lost: &[LostAttempt],
        now: Millis,
    ) -> bool {
        let mut answered = self.shared.answered_parts.lock();
        let mut quarantine = self.part_quarantine.borrow_mut();
        let mut new = false;
        for call in lost.iter().filter(|call| just_started(call.events)) {
            for (position, key) in call.parts.iter().enumerate() {
                if answered.contains(key, now) {
                    GatewayEvent::PartSkipped {
                        part: key.part,
                        engine: incarnation.engine.clone(),
                        why: "it was answered lately",
                    }
                    .log();
                    continue;
                }
                let others_answered = answered.contains(&key.any(), now);
                let exit = PartExit {
                    key: *key,
                    incarnation: incarnation.clone(),
                    events: call.events,
                    position: position.min(u8::MAX.into()) as u8,
                    others_answered,
                    renewed: 0,
                    cleared: false,
                };
                if answered.contains(&key.any_account(), now) {
                    new |= quarantine.learn(exit.answered_for_another(), 0, now);
                }
                new |= quarantine.learn(exit, 0, now);
            }
        }
        new
    }

    /// Clears suspected parts that an engine answered.
    pub(super) fn clear_parts(&self, parts: &[PartKey]) {
        if self.part_quarantine.borrow_mut().clear(parts) {
            self.update_held("the part was answered");
        }
    }

    /// Extends the quarantine of a part that was received again.
    pub(super) fn renew_part(&self, key: PartKey) {
        if self.part_quarantine.borrow_mut().renew(key, self.now()) {
            self.update_held("the part was received again");
        }
    }

    /// Recomputes which parts are held back, and returns what traffic has to know of them.
    pub(super) fn update_held_parts(&self, why: &'static str, now: Millis) -> PartSnapshot {
        let mut quarantine = self.part_quarantine.borrow_mut();
        let (new, released) = quarantine.decide(now);
        for held in new {
            let account = self.account_name(held);
            let exits = exits(&quarantine, held, now);
            GatewayEvent::PartHeldBack { part: held.part, account, exits, why }.log();
        }
        for held in released {
            let account = self.account_name(held);
            GatewayEvent::PartLetThrough { part: held.part, account, why }.log();
        }
        self.log_not_blamed(&quarantine);
        let held = |held| {
            let engines = exits(&quarantine, held, now).into_iter().map(|(e, ..)| e).collect();
            let keys = quarantine.held_keys().filter(|key| held.covers(key));
            let left = keys.map(|key| quarantine.remaining(key, now)).max().unwrap_or(0);
            (held, HeldBack { engines, until: now + left })
        };
        let held: HashMap<_, _> = quarantine.held().map(held).collect();
        self.shared.metrics.held_parts.set(held.len() as i64);
        PartSnapshot { known: quarantine.known(), suspected: quarantine.suspected(), held }
    }

    /// Logs why parts are not held back that several engines exited under, if that has changed.
    fn log_not_blamed(&self, quarantine: &PartQuarantine) {
        let evidence = quarantine.not_blamed();
        let mut logged = self.logged_parts.borrow_mut();
        for new in evidence.iter().filter(|e| !logged.contains(e)).take(MAX_LOGGED_PARTS) {
            let held = HeldPart {
                service: new.key.service,
                part: new.key.part,
                account: Some(new.key.account),
            };
            let account = self.account_name(held);
            let PartEvidence { engines, cleared, moments, others_answered, .. } = *new;
            GatewayEvent::PartUndecided {
                part: held.part,
                account,
                engines,
                cleared,
                moments,
                others_answered,
            }
            .log();
        }
        *logged = evidence;
    }

    /// The client account that is held back; none if all are, or if it is not in the configuration.
    fn account_name(&self, held: HeldPart) -> Option<Name> {
        let catalog = self.shared.catalog.load_full()?;
        let is_held = |account: &&Name| Some(Demand::key(account)) == held.account;
        catalog.accounts().iter().find(is_held).cloned()
    }
}

/// Exits for which a part is held back: engine, events and age.
fn exits(quarantine: &PartQuarantine, held: HeldPart, now: Millis) -> Vec<(Name, u32, Millis)> {
    let keys = quarantine.held_keys().filter(|key| held.covers(key));
    let of = keys.flat_map(|key| quarantine.evidence(key, now));
    of.map(|(incarnation, events, age)| (incarnation.engine.clone(), events, age)).collect()
}

/// # Exchange with other nodes
impl Control {
    /// Exits recorded after `serial`, and the serial of the last one returned.
    pub(super) fn part_exits_since(&self, serial: u64) -> (Vec<FeedPartExit>, u64) {
        let (exits, upto) = self.part_quarantine.borrow().since(serial, MAX_EXITS, self.now());
        let exits = exits.into_iter().map(|(exit, age_ms)| FeedPartExit {
            service: exit.key.service,
            part: exit.key.part,
            account: exit.key.account,
            engine: exit.incarnation.engine,
            started_at: exit.incarnation.started_at,
            events: exit.events,
            position: exit.position,
            others_answered: exit.others_answered,
            renewed: exit.renewed,
            cleared: exit.cleared,
            age_ms,
        });
        (exits.collect(), upto)
    }

    /// Records exits that another node reported in a message sent at `sent` or later.
    pub(super) fn receive_part_exits(&self, exits: &[FeedPartExit], sent: Millis) {
        let mut new = false;
        let mut answered = Vec::new();
        for exit in exits {
            let now = self.now();
            let FeedPartExit { service, part, account, .. } = *exit;
            let key = PartKey { service, part, account };
            let (is_answered, others, for_another) = {
                let mut answered = self.shared.answered_parts.lock();
                let mut contains = |key| answered.contains(&key, now);
                (contains(key), contains(key.any()), contains(key.any_account()))
            };
            if is_answered {
                answered.push(key);
            }
            let FeedPartExit { events, position, renewed, cleared, .. } = *exit;
            let others_answered = exit.others_answered || others;
            let incarnation =
                EngineIncarnation { engine: exit.engine.clone(), started_at: exit.started_at };
            let learned =
                PartExit { key, incarnation, events, position, others_answered, renewed, cleared };
            let age = now.saturating_sub(sent) + exit.age_ms;
            let mut quarantine = self.part_quarantine.borrow_mut();
            if for_another && !is_answered {
                new |= quarantine.learn(learned.answered_for_another(), age, now);
            }
            new |= quarantine.learn(learned, age, now);
        }
        new |= self.part_quarantine.borrow_mut().clear(&answered);
        if new {
            self.update_held("another node reported exits");
        }
    }
}
