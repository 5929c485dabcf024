//! Filter: account limits and admission control of the node.

use heathpitch_core::{Account, Name, Priority};
use heathpitch_policy::{Demand, Fleet, LimitExceeded, Shed};

use super::guard::Permit;
use super::route::RouteMatch;
use super::{Context, ModelRequest, Refusal, RefusalKind};
use crate::shared::ControlMessage;

/// Requests admitted per batch slot of the engines.
const OVERCOMMIT: f64 = 2.0;
/// Minimum number of requests a node admits for a model.
const MIN_CAPACITY: u32 = 8;
/// Retry delay for a caller that the node has no capacity for.
const RETRY_AFTER_MS: u64 = 1_000;

/// Admits a model request, or refuses it without queueing.
pub(crate) fn admit(
    cx: &Context,
    account: &Account,
    matched: &RouteMatch,
    request: &ModelRequest,
) -> Result<Permit, Refusal> {
    let fleet_size = cx.traffic.shared.view.load().fleet_size.max(1);
    let fleet = cx.traffic.shared.fleet.load();
    let capacity = capacity(&fleet, matched, fleet_size);
    acquire(cx, account, matched.model.name.clone(), request.priority, capacity)
}

/// Counts a request into the account limiter and the admission control of `scope`.
pub(crate) fn acquire(
    cx: &Context,
    account: &Account,
    scope: Name,
    priority: Priority,
    capacity: u32,
) -> Result<Permit, Refusal> {
    let shared = &cx.traffic.shared;
    let limited = account.rate.is_some() || account.streams.is_some();
    let key = Demand::key(&account.name);
    if limited {
        shared.notify_control(ControlMessage::Demand(key));
    }
    let view = shared.view.load();
    let equal = 1.0 / f64::from(view.fleet_size.max(1));
    let share = view.shares.get(&key).copied().unwrap_or(equal);
    let mut limits = cx.traffic.limits.lock();
    limits.limiter.admit(account, share, shared.now()).map_err(limit_exceeded)?;
    let admitted =
        limits.admission.entry(scope.clone()).or_default().admit(account, priority, capacity);
    match admitted {
        Ok(()) => Ok(Permit::new(cx.traffic.clone(), account.name.clone(), scope)),
        Err(shed) => {
            limits.limiter.release(&account.name);
            Err(shed_refusal(shed))
        }
    }
}

/// Requests this node may have open for the model: its share of the slots on complete paths.
fn capacity(fleet: &Fleet, matched: &RouteMatch, fleet_size: u32) -> u32 {
    let engines = fleet.engines_for(&matched.model.name).iter();
    let usable = engines.filter(|u| matched.index.admits(&matched.route, u.labels()));
    let slots: u64 =
        usable.map(|u| u64::from(u.report.slots) * u64::from(u.report.layers.count())).sum();
    let paths = slots as f64 / f64::from(matched.model.layers.max(1));
    let node_share = (paths * OVERCOMMIT / f64::from(fleet_size)).ceil() as u32;
    node_share.clamp(MIN_CAPACITY, matched.route.settings.max_open.max(MIN_CAPACITY))
}

fn limit_exceeded(limit_exceeded: LimitExceeded) -> Refusal {
    let (LimitExceeded::Rate { retry_after } | LimitExceeded::Streams { retry_after }) =
        limit_exceeded;
    Refusal::not_run(RefusalKind::RateLimited, limit_exceeded.to_string())
        .with_retry_after(retry_after)
}

fn shed_refusal(shed: Shed) -> Refusal {
    let kind = match shed {
        Shed::Full => RefusalKind::Overloaded,
        Shed::Share => RefusalKind::AccountShare,
    };
    Refusal::not_run(kind, shed.to_string()).with_retry_after(RETRY_AFTER_MS)
}
