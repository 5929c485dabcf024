//! Schedule of the recomputation of what is held back.
//!
//! Exits and answers arrive one by one and in bursts: from calls of this node, from other nodes, from the store. What they
//! change is recorded at once; what is held back is recomputed once for all that has changed meanwhile, at most half of the
//! time, on whatever path the changes came. `VerdictAge` tells the traffic thread how old that is.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use heathpitch_core::Millis;
use tokio::sync::Notify;

use super::state::Control;
use crate::gateway::event::GatewayEvent;

/// Shortest time between two recomputations.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// Longest time by which recomputations that take long are spaced.
const MAX_PAUSE: Duration = Duration::from_millis(400);
/// Interval at which the age of what is held back is renewed while nothing changes.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(200);
/// Duration of a recomputation from which it is logged.
const SLOW_UPDATE_MS: Millis = 50;

/// Changes that what is held back lacks.
#[derive(Debug, Default)]
pub(super) struct HeldUpdates {
    /// Why it has to be recomputed.
    why: Cell<Option<&'static str>>,
    changed: Notify,
}

/// # Schedule
impl Control {
    /// Has what is held back recomputed soon.
    pub(super) fn update_held(&self, why: &'static str) {
        let updates = &self.held_updates;
        updates.why.set(updates.why.get().or(Some(why)));
        updates.changed.notify_one();
    }

    /// Recomputes what is held back now, if anything has changed.
    pub(super) fn flush_held(&self) {
        let now = self.now();
        if let Some(why) = self.held_updates.why.take() {
            let start = Instant::now();
            self.recompute_held(why);
            let ms = start.elapsed().as_millis() as Millis;
            if ms >= SLOW_UPDATE_MS {
                GatewayEvent::HeldUpdateSlow { why, ms }.log();
            }
        }
        self.shared.verdict_age.confirm(now);
    }
}

/// Recomputes what is held back after changes.
pub(super) async fn run(control: Rc<Control>) {
    loop {
        tokio::select! {
            () = control.held_updates.changed.notified() => {}
            () = tokio::time::sleep(CONFIRM_INTERVAL) => {}
        }
        let start = Instant::now();
        control.flush_held();
        tokio::time::sleep((2 * start.elapsed()).clamp(MIN_PAUSE, MAX_PAUSE)).await;
    }
}
