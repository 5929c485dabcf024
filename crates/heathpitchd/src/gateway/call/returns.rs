//! When refused callers come back, for each service.

use std::collections::HashMap;

use heathpitch_core::{Millis, Name};
use heathpitch_policy::Returns;
use parking_lot::Mutex;

/// Times told to callers of one node, by service.
#[derive(Debug, Default)]
pub(crate) struct ReturnTimes {
    services: Mutex<HashMap<Name, Returns>>,
}

impl ReturnTimes {
    /// Counts a stream that is let in.
    pub(crate) fn admit(&self, service: &Name, now: Millis) {
        self.services.lock().entry(service.clone()).or_default().admit(now);
    }

    /// Time after which a caller that is refused and has `left` should come back.
    pub(crate) fn refuse(&self, service: &Name, left: Millis, now: Millis) -> Millis {
        let mut services = self.services.lock();
        services.entry(service.clone()).or_default().refuse(left, now, &mut rand::rng())
    }
}
