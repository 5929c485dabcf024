//! Rights of a call to be sent to engines that name a limit.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use heathpitch_core::{Millis, Name, Rate};
use heathpitch_policy::{Admission, Backpressure, EngineLimit, Right};
use rand::Rng;
use tokio::sync::oneshot;

use super::Traffic;
use crate::gateway::engine_table::{EngineTable, EngineView};
use crate::gateway::shared::{Notice, RightsGrant, RightsWanted};

/// Time for which a call waits for a right: a question on a new connection, and a stall of the control thread.
const LIMIT: Duration = Duration::from_millis(250);

/// No right to send a call to an engine now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NoRight {
    pub(crate) engine: Name,
    /// Requests a second that it takes from all nodes together.
    limit: Rate,
    /// How long ago it said so, milliseconds.
    age: Millis,
    /// Nodes among which it is shared, if that is known.
    nodes: Option<u32>,
    /// Whether a node hands out rights that can be reached.
    handed: bool,
    /// Time until this node asks for one again, milliseconds.
    back: Millis,
}

impl NoRight {
    /// What keeps a call from an engine that names this limit, until `back` milliseconds from `now`.
    fn of(view: &EngineView, limit: Rate, nodes: Option<u32>, back: Millis, now: Millis) -> Self {
        let (engine, age) = (view.entry.id.clone(), view.stats.backpressure().limit().age(now));
        Self { engine, limit, age, nodes, handed: true, back }
    }
}

impl fmt::Display for NoRight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { engine, limit, age, back, .. } = self;
        write!(
            f,
            "engine {engine} takes {limit} requests a second from all nodes, as it said {age} ms ago; "
        )?;
        match (self.handed, self.nodes) {
            (true, _) => write!(f, "none is left for this node before {back} ms"),
            (false, Some(nodes)) => {
                write!(f, "nobody hands them out, and this one of {nodes} nodes has drawn none")
            }
            (false, None) => f.write_str("nobody hands them out, and this node has drawn none"),
        }
    }
}

/// Rights of one send: to the engine that is asked, and to pass through those behind it.
#[derive(Debug, Default)]
pub(crate) struct SendRights {
    first: Option<Right>,
    behind: Vec<(Arc<Backpressure>, Option<Right>)>,
}

impl SendRights {
    /// Uses them for a request that is about to be sent; none if it may not be sent.
    pub(crate) fn enter(&mut self, wish: &Arc<Backpressure>, now: Millis) -> Option<Admission> {
        let passes = self.behind.iter_mut().all(|(wish, right)| wish.pass(right.as_mut(), now));
        passes.then(|| wish.admit(self.first.as_mut(), now)).flatten()
    }

    /// Takes note that the request was not sent after all.
    pub(crate) fn unspend(&mut self) {
        let behind = self.behind.iter_mut().filter_map(|(_, right)| right.as_mut());
        self.first.iter_mut().chain(behind).for_each(Right::unspend);
    }
}

/// Seeks rights for a send to an engine, and to pass through those behind it.
///
/// # Errors
///
/// [`NoRight`] for the first engine without one; the others go back.
pub(crate) async fn seek(
    traffic: &Traffic,
    view: &EngineView,
    behind: &[&EngineView],
) -> Result<SendRights, NoRight> {
    let mut rights = SendRights { first: right(traffic, view).await?, behind: Vec::new() };
    for &view in behind {
        let right = right(traffic, view).await?;
        rights.behind.push((view.stats.backpressure().clone(), right));
    }
    Ok(rights)
}

/// A right to send a request to an engine; none if it names no limit.
async fn right(traffic: &Traffic, view: &EngineView) -> Result<Option<Right>, NoRight> {
    let (shared, wish) = (&traffic.shared, view.stats.backpressure());
    let limit = wish.limit();
    let Some(rate) = limit.rate() else { return Ok(None) };
    let none = |back| NoRight::of(view, rate, shared.table.load().fleet_size, back, shared.now());
    let now = shared.now();
    if let Some(right) = EngineLimit::take(wish, now) {
        return Ok(Some(right));
    }
    if let Some(back) = limit.wait_left(now) {
        return Err(none(back));
    }
    let granted = ask(traffic, view, limit.wanted(now)).await;
    let now = shared.now();
    match granted {
        RightsGrant::Issued(count, sent) => {
            EngineLimit::receive(wish, count, sent, now).map(Some).ok_or_else(|| none(0))
        }
        RightsGrant::RetryAfter(back) => {
            limit.pause_until(now + back);
            Err(none(back))
        }
        RightsGrant::NoIssuer => {
            let nodes = shared.table.load().fleet_size;
            match limit.self_issue(nodes, rand::rng().random_range(0.0..1.0), now) {
                true => Ok(Some(Right::self_issued(wish, now))),
                false => {
                    let back = limit.wait_left(now).unwrap_or(0);
                    Err(NoRight { handed: false, ..none(back) })
                }
            }
        }
    }
}

async fn ask(traffic: &Traffic, view: &EngineView, count: u16) -> RightsGrant {
    let (reply, granted) = oneshot::channel();
    let wanted = RightsWanted { engine: view.entry.clone(), count, reply };
    if !traffic.shared.notify(Notice::RightsWanted(wanted)) {
        return RightsGrant::NoIssuer;
    }
    match tokio::time::timeout(LIMIT, granted).await {
        Ok(Ok(granted)) => granted,
        Ok(Err(_)) | Err(_) => RightsGrant::NoIssuer,
    }
}

/// The engine that names the limit for which callers have to come back, and what it says; none if none does.
pub(crate) fn limited(table: &EngineTable, service: &Name, now: Millis) -> Option<NoRight> {
    let views = table.engines_of(service).iter().filter(|s| s.is_in_service(now));
    let waits = views.filter_map(|s| Some((s.stats.backpressure().limit().wait_left(now)?, s)));
    let (back, view) = waits.min_by_key(|(back, _)| *back)?;
    let rate = view.stats.backpressure().limit().rate()?;
    Some(NoRight::of(view, rate, table.fleet_size, back, now))
}
