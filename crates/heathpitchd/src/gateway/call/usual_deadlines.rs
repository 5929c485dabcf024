//! Usual deadlines of the callers of each route.

use std::collections::HashMap;

use heathpitch_core::{Millis, Name};
use heathpitch_policy::UsualDeadline;
use parking_lot::Mutex;

/// Routes whose deadlines are kept; more than configurations have.
const MAX_ROUTES: usize = 1_024;

/// Usual deadlines at one node, by route.
#[derive(Debug, Default)]
pub(crate) struct UsualDeadlines {
    routes: Mutex<HashMap<Name, UsualDeadline>>,
}

impl UsualDeadlines {
    /// Records a call that is given up after `deadline` milliseconds, and returns the time since
    /// its caller first asked.
    pub(crate) fn age(&self, route: &Name, deadline: Millis, now: Millis) -> Millis {
        let mut routes = self.routes.lock();
        if let Some(usual) = routes.get_mut(route) {
            return usual.age(deadline, now);
        }
        if routes.len() >= MAX_ROUTES {
            routes.retain(|_, usual| !usual.is_forgotten(now));
        }
        let mut usual = UsualDeadline::default();
        let age = usual.age(deadline, now);
        if routes.len() < MAX_ROUTES {
            routes.insert(route.clone(), usual);
        }
        age
    }
}
