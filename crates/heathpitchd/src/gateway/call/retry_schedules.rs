//! When refused callers come back, for each service.

use std::collections::HashMap;

use heathpitch_core::{Evidence, Millis, Name};
use heathpitch_policy::RetrySchedule;
use parking_lot::Mutex;

use super::Traffic;
use super::admit::Call;
use super::pick;
use super::refused::{Refused, RefusedKind};
use super::rights;

/// What a caller is told whose call finds every engine resting.
const RESTING: &str = "every engine that could take the call asked this node for rest";

/// The refusal of a call for want of an engine where only what engines ask for is in the way: they rest, or name
/// limits that are used up.
pub(crate) fn unwanted(
    traffic: &Traffic,
    call: &Call,
    kind: RefusedKind,
    seen: &Evidence,
) -> Option<Refused> {
    if !matches!(kind, RefusedKind::NoEngine | RefusedKind::EnginesRefused) {
        return None;
    }
    // One that may have run is not said to have been refused.
    seen.not_run()?;
    let shared = &traffic.shared;
    let (table, now) = (shared.table.load(), shared.now());
    let least = pick::rest(&table, call, &shared.settings.load().domain, now)?;
    let back = traffic.retry_schedules.refuse_for(&call.service.name, least, call.left(now), now);
    let (kind, detail) = match rights::limited(&table, &call.service.name, now) {
        Some(limited) => (RefusedKind::Limited, limited.to_string()),
        None => (RefusedKind::Resting, RESTING.to_owned()),
    };
    Some(Refused::given_up(kind, seen, &call.head.id, detail).until(back))
}

/// Times told to callers of one node, by service.
#[derive(Debug, Default)]
pub(crate) struct RetrySchedules {
    services: Mutex<HashMap<Name, RetrySchedule>>,
}

impl RetrySchedules {
    /// Counts a stream that is let in.
    pub(crate) fn admit(&self, service: &Name, now: Millis) {
        self.services.lock().entry(service.clone()).or_default().admit(now);
    }

    /// Time after which a caller that is refused and has `left` should come back.
    pub(crate) fn refuse(&self, service: &Name, left: Millis, now: Millis) -> Millis {
        let mut services = self.services.lock();
        services.entry(service.clone()).or_default().refuse(left, now, &mut rand::rng())
    }

    /// The same, where no engine of the service takes anything for `least`.
    pub(crate) fn refuse_for(
        &self,
        service: &Name,
        least: Millis,
        left: Millis,
        now: Millis,
    ) -> Millis {
        let mut services = self.services.lock();
        let returns = services.entry(service.clone()).or_default();
        returns.refuse_for(least, left, now, &mut rand::rng())
    }
}
