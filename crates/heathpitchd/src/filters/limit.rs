//! Filter: limits of the account, and room on the node.

use heathpitch_core::{Account, Name, Priority};
use heathpitch_policy::{Demand, Fleet, LimitExceeded, Shed};

use super::guard::Permit;
use super::route::Matched;
use super::{Ask, Context, Refusal, RefusalKind};
use crate::shared::ToControl;

/// Requests admitted for each place in the engines' batches.
const OVERCOMMIT: f64 = 2.0;
/// Fewest requests a node admits for a model.
const MIN_ROOM: u32 = 8;
/// Time told to a caller whom the node has no room for, milliseconds.
const BACK: u64 = 1_000;

/// Admits a model request, or refuses it at once.
pub(crate) fn admit(
    cx: &Context,
    account: &Account,
    matched: &Matched,
    ask: &Ask,
) -> Result<Permit, Refusal> {
    let nodes = cx.traffic.shared.view.load().nodes.max(1);
    let fleet = cx.traffic.shared.fleet.load();
    let room = room(&fleet, matched, nodes);
    enter(cx, account, matched.model.name.clone(), ask.priority, room)
}

/// Counts a request into the account's limiter and the gate of this name.
pub(crate) fn enter(
    cx: &Context,
    account: &Account,
    gate: Name,
    at: Priority,
    room: u32,
) -> Result<Permit, Refusal> {
    let shared = &cx.traffic.shared;
    let limited = account.rate.is_some() || account.streams.is_some();
    let key = Demand::key(&account.name);
    if limited {
        shared.tell(ToControl::Demand(key));
    }
    let view = shared.view.load();
    let equal = 1.0 / f64::from(view.nodes.max(1));
    let share = view.shares.get(&key).copied().unwrap_or(equal);
    let mut limits = cx.traffic.limits.lock();
    limits.limiter.admit(account, share, shared.now()).map_err(over)?;
    let entered = limits.gates.entry(gate.clone()).or_default().admit(account, at, room);
    match entered {
        Ok(()) => Ok(Permit::new(cx.traffic.clone(), account.name.clone(), gate)),
        Err(shed) => {
            limits.limiter.release(&account.name);
            Err(shed_off(shed))
        }
    }
}

/// Requests this node may have open for the model: its part of the places in whole paths.
fn room(fleet: &Fleet, matched: &Matched, nodes: u32) -> u32 {
    let held = fleet.engines_for(&matched.model.name).iter();
    let usable = held.filter(|u| matched.index.admits(&matched.route, u.labels()));
    let places: u64 =
        usable.map(|u| u64::from(u.report.slots) * u64::from(u.report.layers.count())).sum();
    let paths = places as f64 / f64::from(matched.model.layers.max(1));
    let mine = (paths * OVERCOMMIT / f64::from(nodes)).ceil() as u32;
    mine.clamp(MIN_ROOM, matched.route.settings.max_open.max(MIN_ROOM))
}

fn over(over: LimitExceeded) -> Refusal {
    let (LimitExceeded::Rate { retry_after } | LimitExceeded::Streams { retry_after }) = over;
    Refusal::not_run(RefusalKind::RateLimited, over.to_string()).back(retry_after)
}

fn shed_off(shed: Shed) -> Refusal {
    let kind = match shed {
        Shed::Full => RefusalKind::Overloaded,
        Shed::Share => RefusalKind::AccountShare,
    };
    Refusal::not_run(kind, shed.to_string()).back(BACK)
}
