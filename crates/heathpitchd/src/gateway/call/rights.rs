//! Rights to send a call to rate-limited engines.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use heathpitch_core::{Millis, Name, Rate};
use heathpitch_policy::{Admission, Backpressure, EngineLimit, Right};
use rand::Rng;
use tokio::sync::oneshot;

use super::Traffic;
use crate::gateway::engine_table::{EngineTable, EngineView};
use crate::gateway::shared::{ControlMessage, RightsGrant, RightsWanted};

/// Time for which a call waits for a right: a request on a new connection, and a stall of the
/// control thread.
const RIGHTS_TIMEOUT: Duration = Duration::from_millis(250);

/// No right to send a call to an engine now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NoRight {
    pub(crate) engine: Name,
    /// Requests per second that it accepts from all nodes together.
    limit: Rate,
    /// Time since it announced the limit.
    age: Millis,
    /// Nodes that share the limit, if known.
    nodes: Option<u32>,
    /// Whether a node that issues rights can be reached.
    issued: bool,
    /// Time until this node requests rights again.
    retry_after: Millis,
}

impl NoRight {
    /// No right for an engine with this limit until `retry_after` from `now`.
    fn new(
        view: &EngineView,
        limit: Rate,
        nodes: Option<u32>,
        retry_after: Millis,
        now: Millis,
    ) -> Self {
        let (engine, age) = (view.entry.id.clone(), view.stats.backpressure().limit().age(now));
        Self { engine, limit, age, nodes, issued: true, retry_after }
    }
}

impl fmt::Display for NoRight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { engine, limit, age, retry_after, .. } = self;
        write!(
            f,
            "engine {engine} takes {limit} requests a second from all nodes, as announced {age} ms ago; "
        )?;
        match (self.issued, self.nodes) {
            (true, _) => write!(f, "this node has no right left for the next {retry_after} ms"),
            (false, Some(nodes)) => {
                write!(
                    f,
                    "no planner issues rights, and this one of {nodes} nodes has issued itself none"
                )
            }
            (false, None) => {
                f.write_str("no planner issues rights, and this node has issued itself none")
            }
        }
    }
}

/// Rights of one attempt: for the first engine and for those downstream of it.
#[derive(Debug, Default)]
pub(crate) struct SendRights {
    first: Option<Right>,
    downstream: Vec<(Arc<Backpressure>, Option<Right>)>,
}

impl SendRights {
    /// Spends them on a request that is about to be sent; none if it may not be sent.
    pub(crate) fn admit(
        &mut self,
        backpressure: &Arc<Backpressure>,
        now: Millis,
    ) -> Option<Admission> {
        let passes = self
            .downstream
            .iter_mut()
            .all(|(backpressure, right)| backpressure.pass(right.as_mut(), now));
        passes.then(|| backpressure.admit(self.first.as_mut(), now)).flatten()
    }

    /// Returns them, as the request was not sent after all.
    pub(crate) fn unspend(&mut self) {
        let downstream = self.downstream.iter_mut().filter_map(|(_, right)| right.as_mut());
        self.first.iter_mut().chain(downstream).for_each(Right::unspend);
    }
}

/// Acquires rights for an engine and for those downstream of it.
///
/// # Errors
///
/// [`NoRight`] for the first engine without one; rights already acquired are returned.
pub(crate) async fn acquire(
    traffic: &Traffic,
    view: &EngineView,
    downstream: &[&EngineView],
) -> Result<SendRights, NoRight> {
    let mut rights =
        SendRights { first: acquire_one(traffic, view).await?, downstream: Vec::new() };
    for &view in downstream {
        let right = acquire_one(traffic, view).await?;
        rights.downstream.push((view.stats.backpressure().clone(), right));
    }
    Ok(rights)
}

/// Acquires a right for one engine; none if it has no limit.
async fn acquire_one(traffic: &Traffic, view: &EngineView) -> Result<Option<Right>, NoRight> {
    let (shared, backpressure) = (&traffic.shared, view.stats.backpressure());
    let limit = backpressure.limit();
    let Some(rate) = limit.rate() else { return Ok(None) };
    let none = |retry_after| {
        NoRight::new(view, rate, shared.table.load().fleet_size, retry_after, shared.now())
    };
    let now = shared.now();
    if let Some(right) = EngineLimit::take(backpressure, now) {
        return Ok(Some(right));
    }
    if let Some(retry_after) = limit.wait_left(now) {
        return Err(none(retry_after));
    }
    let grant = request(traffic, view, limit.batch_size(now)).await;
    let now = shared.now();
    match grant {
        RightsGrant::Issued(count, sent) => {
            EngineLimit::receive(backpressure, count, sent, now).map(Some).ok_or_else(|| none(0))
        }
        RightsGrant::RetryAfter(retry_after) => {
            limit.pause_until(now + retry_after);
            Err(none(retry_after))
        }
        RightsGrant::NoIssuer => {
            let nodes = shared.table.load().fleet_size;
            match limit.self_issue(nodes, rand::rng().random_range(0.0..1.0), now) {
                true => Ok(Some(Right::self_issued(backpressure, now))),
                false => {
                    let retry_after = limit.wait_left(now).unwrap_or(0);
                    Err(NoRight { issued: false, ..none(retry_after) })
                }
            }
        }
    }
}

async fn request(traffic: &Traffic, view: &EngineView, count: u16) -> RightsGrant {
    let (reply, grant) = oneshot::channel();
    let wanted = RightsWanted { engine: view.entry.clone(), count, reply };
    if !traffic.shared.notify_control(ControlMessage::RightsWanted(wanted)) {
        return RightsGrant::NoIssuer;
    }
    match tokio::time::timeout(RIGHTS_TIMEOUT, grant).await {
        Ok(Ok(grant)) => grant,
        Ok(Err(_)) | Err(_) => RightsGrant::NoIssuer,
    }
}

/// The rate-limited engine that can be used again first; none if no limit is exhausted.
pub(crate) fn next_available(table: &EngineTable, service: &Name, now: Millis) -> Option<NoRight> {
    let views = table.engines_of(service).iter().filter(|s| s.is_in_service(now));
    let waits = views.filter_map(|s| Some((s.stats.backpressure().limit().wait_left(now)?, s)));
    let (retry_after, view) = waits.min_by_key(|(retry_after, _)| *retry_after)?;
    let rate = view.stats.backpressure().limit().rate()?;
    Some(NoRight::new(view, rate, table.fleet_size, retry_after, now))
}
