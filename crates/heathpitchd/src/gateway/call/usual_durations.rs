//! Usual durations of the calls of each route.

use std::collections::HashMap;

use heathpitch_core::{Millis, Name};
use heathpitch_policy::UsualDuration;
use parking_lot::Mutex;

/// Routes whose durations are kept; more than configurations have.
const MAX_ROUTES: usize = 1_024;

/// Usual durations at one node, by route.
#[derive(Debug, Default)]
pub(crate) struct UsualDurations {
    routes: Mutex<HashMap<Name, UsualDuration>>,
}

impl UsualDurations {
    /// Records that a call took `ms` from when it was sent, or at least as long.
    pub(crate) fn record(&self, route: &Name, ms: Millis) {
        let mut routes = self.routes.lock();
        match routes.get_mut(route) {
            Some(usual) => usual.record(ms),
            None => {
                // Routes that are gone make room at once, and others are soon known again.
                if routes.len() >= MAX_ROUTES {
                    routes.clear();
                }
                let mut usual = UsualDuration::default();
                usual.record(ms);
                routes.insert(route.clone(), usual);
            }
        }
    }

    /// Time that no more than one call in `longer` of a route exceeds.
    pub(crate) fn estimate(&self, route: &Name, longer: usize) -> Option<Millis> {
        self.routes.lock().get(route)?.estimate(longer)
    }
}
