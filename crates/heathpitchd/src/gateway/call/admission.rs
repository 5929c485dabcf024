//! Admission of new streams when capacity runs short, by rank, client account and age.

use heathpitch_policy::{Demand, DemandKey, Pressure, SharingQuery, ShedReason};
use rand::Rng;

use super::Traffic;
use super::admit::Call;
use super::refusal::CallLoad;
use crate::gateway::shared::ControlMessage;

/// Wait, as a share of the latency target, from which streams are shed.
const SHED_START: f64 = 0.7;
/// Further share of the target over which the shedding probability grows to 1.
const SHED_SPAN: f64 = 0.8;
/// Largest shedding probability: the streams still admitted show whether the wait is over.
const MAX_SHED_PROBABILITY: f64 = 0.9;

/// Load that a stream would find.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// Pressure of the path, or of an engine without one.
    pub(crate) pressure: Pressure,
    /// Expected wait for the first event, milliseconds.
    pub(crate) wait_ms: f64,
}

/// A stream that is not admitted.
#[derive(Clone, Debug)]
pub(crate) struct Shed {
    pub(crate) reason: ShedReason,
    pub(crate) detail: String,
}

impl Shed {
    /// Counts the stream in the metrics.
    pub(crate) fn count(&self, traffic: &Traffic, call: &Call) {
        let labels = [&*call.rank().to_string(), self.reason.as_str()];
        traffic.shared.metrics.shed.with_label_values(&labels).inc();
    }
}

/// Decides about a stream whose path has memory left: by rank and account where sharing applies,
/// else by the expected wait, with a shedding probability that grows with it.
///
/// # Errors
///
/// Why it is not admitted.
pub(crate) fn admit(call: &Call, sharing: Option<Sharing>, load: Load) -> Result<(), Shed> {
    let target = call.route.latency_target_ms as f64;
    match sharing {
        Some(sharing) => sharing.admit(call, load.pressure),
        None => admit_by_wait(load, target),
    }
}

fn admit_by_wait(load: Load, target: f64) -> Result<(), Shed> {
    let (wait, level) = (load.wait_ms, load.pressure.level());
    let share = (wait / target - SHED_START) / SHED_SPAN;
    match share > 0.0 && rand::rng().random_bool(share.min(MAX_SHED_PROBABILITY)) {
        true => {
            let detail = format!(
                "the first event would come late, after about {wait:.0} ms, at a pressure of {level:.2}"
            );
            Err(Shed { reason: ShedReason::Late, detail })
        }
        false => Ok(()),
    }
}

/// What decides about a stream of a service that streams of several ranks use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sharing {
    /// Part of the service's recent demand that is more urgent, 0 to 1.
    urgent_share: f64,
    /// Digest of its client account, if it has one and account shares apply.
    account: Option<u64>,
    /// Whether account shares apply.
    by_account: bool,
    /// Part of the account's requests that is within its share.
    fraction: f64,
    /// Pressure expected from callers that were told to return now.
    due: f64,
}

impl Sharing {
    /// What applies to a call; `None` if its service has streams of a single rank, or if sharing is
    /// turned off.
    pub(crate) fn of_call(traffic: &Traffic, call: &Call, urgent_share: f64) -> Option<Self> {
        let shared = &traffic.shared;
        let (catalog, service) = (&call.catalog, &call.service.name);
        if catalog.stream_ranks(service) < 2 || !shared.settings.load().load.sharing.is_on() {
            return None;
        }
        let by_account = catalog.accounts().len() >= 2;
        let holder = call.holder.as_ref().filter(|_| by_account);
        let account = holder.map(|h| Demand::key(&h.account));
        let shares = shared.shares.load();
        let fraction = account.map_or(1.0, |a| shares.fraction(service, a, shared.now()));
        let due = traffic.retry_schedules.due_pressure(service, shared.now());
        Some(Self { urgent_share, account, by_account, fraction, due })
    }

    /// Load that the decision is based on, for the log.
    pub(crate) fn load(&self, pressure: Pressure) -> CallLoad {
        CallLoad { pressure: pressure.level(), share: self.account.map(|_| self.fraction) }
    }

    fn admit(&self, call: &Call, pressure: Pressure) -> Result<(), Shed> {
        let query = SharingQuery {
            pressure,
            urgent_share: self.urgent_share,
            fraction: self.fraction,
            age_ms: call.age_ms,
            started: call.head.after.is_some(),
            due: self.due,
        };
        query.admit(rand::rng().random_range(0.0..1.0)).map_err(|reason| {
            let (level, headroom) = (pressure.level(), query.headroom());
            let rule = match reason {
                ShedReason::Rank => {
                    let rank = call.rank();
                    format!("rank {rank} leaves headroom of {headroom:.2} to more urgent ones")
                }
                ShedReason::Account => format!(
                    "the account asks for more than its share, which is {:.2} of its requests",
                    self.fraction
                ),
                ShedReason::Full => "engines have hardly any memory left".to_owned(),
                ShedReason::Late => "the first event would come late".to_owned(),
            };
            Shed { reason, detail: format!("at a pressure of {level:.2}, {rule}") }
        })
    }

    /// Counts the stream as demand, if account shares apply. One without an account takes no part in
    /// the shares, but the capacity for retries follows from all streams that are admitted.
    pub(crate) fn count(&self, traffic: &Traffic, call: &Call, admitted: bool) {
        if self.by_account {
            let (service, rank) = (call.service.name.clone(), call.rank());
            let key = DemandKey { service, rank, account: self.account.unwrap_or(0) };
            traffic.shared.notify_control(ControlMessage::Demand(key, admitted));
        }
    }
}
