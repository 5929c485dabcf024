//! Quarantine of parts of prompts that crash engines.
//!
//! Exits are recorded, exchanged and stored like those of whole requests (`quarantine`). Nodes also
//! remember which parts were answered lately (`Shared::answered_parts`), and tell each other of
//! answers to parts under which engines exited.

use std::collections::HashMap;

use heathpitch_core::{Millis, Name};
use heathpitch_net::{FeedPartAnswer, FeedPartExit};
use heathpitch_policy::{
    Demand, EngineIncarnation, HeldPart, PartAnswer, PartEvidence, PartExit, PartKey,
    PartQuarantine, PartSuspicion, just_started,
};

use super::quarantine::HeldChange;
use super::state::Control;
use crate::gateway::event::GatewayEvent;
use crate::gateway::part_snapshot::PartSnapshot;
use crate::gateway::quarantine_snapshot::HeldBack;
use crate::gateway::shared::LostAttempt;

/// Most exits under parts, and most answers to these, in one message, about eighty bytes each.
const MAX_PART_NOTICES: usize = 1_024;
/// Most parts logged at one change.
const MAX_LOGGED_PARTS: usize = 16;
/// Most parts that are recorded for the exit of an engine.
const MAX_EXIT_PARTS: usize = 256;

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
        let started = || lost.iter().filter(|call| just_started(call.events));
        let calls =
            started().flat_map(|call| call.parts.iter().enumerate().map(move |p| (call, p)));
        let mut new = false;
        for (call, (position, key)) in calls.take(MAX_EXIT_PARTS) {
            let exit = PartExit {
                key: *key,
                incarnation: incarnation.clone(),
                events: call.events,
                position: position.min(u8::MAX.into()) as u8,
                others_answered: false,
                answered_before: false,
                request: Some(call.fingerprint),
                renewed: 0,
                cleared: false,
            };
            new |= quarantine.learn_beside(exit, 0, now, &mut answered, self.incarnation);
        }
        new
    }

    /// Records that an engine got past the start of an answer to a request with these parts.
    pub(super) fn record_part_answers(
        &self,
        parts: &[PartKey],
        engine: &EngineIncarnation,
    ) -> Option<HeldChange> {
        let now = self.now();
        let mut new = false;
        for key in parts {
            let answer = PartAnswer::new(*key, engine.digest(), self.incarnation, now);
            new |= self.part_quarantine.borrow_mut().learn_answer(answer, 0, now);
        }
        new.then_some(HeldChange("the part was answered"))
    }

    /// Records that requests without a part were answered since engines exited under it; returns whether that is new.
    pub(super) fn record_others_answered(&self) -> bool {
        self.part_quarantine.borrow_mut().record_others(&self.shared.answered_parts.lock())
    }

    /// Extends the quarantine of a part that was received again.
    pub(super) fn renew_part(&self, key: PartKey) -> Option<HeldChange> {
        let is_new = self.part_quarantine.borrow_mut().renew(key, self.now());
        is_new.then_some(HeldChange("the part was received again"))
    }

    /// Recomputes which parts are held back, and returns what traffic has to know of them.
    pub(super) fn update_held_parts(&self, why: &'static str, now: Millis) -> PartSnapshot {
        let mut quarantine = self.part_quarantine.borrow_mut();
        quarantine.record_others(&self.shared.answered_parts.lock());
        let (new, released) = quarantine.decide_beside(&self.quarantine.borrow(), now);
        for held in new {
            let account = self.account_name(held);
            let exits = exits(&quarantine, held, now);
            GatewayEvent::PartHeldBack { part: held.part, account, exits, why }.log();
        }
        for held in released {
            let account = self.account_name(held);
            let (part, score) = (held.part, quarantine.score(held));
            let explained_by = quarantine.held_beside(held).collect();
            GatewayEvent::PartLetThrough { part, account, score, explained_by, why }.log();
        }
        let PartSuspicion { suspected, undecided } = quarantine.suspicion();
        self.log_undecided(undecided);
        let held = |held| {
            let engines = exits(&quarantine, held, now).into_iter().map(|(e, ..)| e).collect();
            let keys = quarantine.held_keys().filter(|key| held.covers(key));
            let left = keys.map(|key| quarantine.remaining(key, now)).max().unwrap_or(0);
            (held, HeldBack { engines, until: now + left })
        };
        let held: HashMap<_, _> = quarantine.held().map(held).collect();
        self.shared.metrics.held_parts.set(held.len() as i64);
        PartSnapshot {
            open: quarantine.open_parts(),
            exited: quarantine.exited_keys(),
            suspected,
            exempt: quarantine.exempt(),
            held,
        }
    }

    /// Logs what is known of parts that may be the cause of exits, if that has changed.
    fn log_undecided(&self, evidence: Vec<PartEvidence>) {
        let mut logged = self.logged_parts.borrow_mut();
        for new in evidence.iter().filter(|e| !logged.contains(e)).take(MAX_LOGGED_PARTS) {
            let PartEvidence { scope, engines, answers, score, others_answered } = *new;
            let account = self.account_name(scope);
            let part = scope.part;
            GatewayEvent::PartUndecided { part, account, engines, answers, score, others_answered }
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
        let (exits, upto) =
            self.part_quarantine.borrow().since(serial, MAX_PART_NOTICES, self.now());
        let exits = exits.into_iter().map(|(exit, age_ms)| FeedPartExit {
            service: exit.key.service,
            part: exit.key.part,
            account: exit.key.account,
            engine: exit.incarnation.engine,
            started_at: exit.incarnation.started_at,
            events: exit.events,
            position: exit.position,
            others_answered: exit.others_answered,
            answered_before: exit.answered_before,
            request: exit.request,
            renewed: exit.renewed,
            cleared: exit.cleared,
            age_ms,
        });
        (exits.collect(), upto)
    }

    /// Answers recorded after `serial`, and the serial of the last one returned.
    pub(super) fn part_answers_since(&self, serial: u64) -> (Vec<FeedPartAnswer>, u64) {
        let (answers, upto) =
            self.part_quarantine.borrow().answers_since(serial, MAX_PART_NOTICES, self.now());
        let answers = answers.into_iter().map(|(PartAnswer { key, engine, id }, age_ms)| {
            let PartKey { service, part, account } = key;
            FeedPartAnswer { service, part, account, engine, id, age_ms }
        });
        (answers.collect(), upto)
    }

    /// Records exits and answers that another node reported in a message sent at `sent` or later.
    pub(super) fn receive_part_notices(
        &self,
        exits: &[FeedPartExit],
        answers: &[FeedPartAnswer],
        sent: Millis,
    ) {
        let now = self.now();
        let age = |age_ms| now.saturating_sub(sent) + age_ms;
        let mut new = false;
        {
            let mut answered = self.shared.answered_parts.lock();
            let mut quarantine = self.part_quarantine.borrow_mut();
            for exit in exits {
                let learned = received_exit(exit);
                let age = age(exit.age_ms);
                new |= quarantine.learn_beside(learned, age, now, &mut answered, self.incarnation);
            }
            for answer in answers {
                let FeedPartAnswer { service, part, account, engine, id, age_ms } = *answer;
                let answer = PartAnswer { key: PartKey { service, part, account }, engine, id };
                new |= quarantine.learn_answer(answer, age(age_ms), now);
            }
        }
        if new {
            self.update_held("another node reported exits or answers");
        }
    }
}

fn received_exit(exit: &FeedPartExit) -> PartExit {
    let FeedPartExit { service, part, account, events, position, .. } = *exit;
    PartExit {
        key: PartKey { service, part, account },
        incarnation: EngineIncarnation { engine: exit.engine.clone(), started_at: exit.started_at },
        events,
        position,
        others_answered: exit.others_answered,
        answered_before: exit.answered_before,
        request: exit.request,
        renewed: exit.renewed,
        cleared: exit.cleared,
    }
}
