//! Calls: a chain of filters from a caller's request to its final answer.
//!
//! `admit` reads the head, finds route and account and checks that the known keys are recent
//! enough. `single` and `stream` run the call; `flow` is a stream over all its attempts, `send` one
//! attempt at one engine, `record` its log lines. `rights` are needed to send to a rate-limited
//! engine. `admission` decides which new streams are admitted when capacity runs short, and
//! `usual_deadlines` tells how old a call is, `usual_durations` how long it is likely to take, `rank_mixes` how much of the demand is more urgent.
//! `retry_budgets` bounds retries, `retry_schedules` sets `Retry-After` times, `pick`
//! chooses engines, `relay` passes a stream's events on, `held_answer` holds a single body or passes it on. `forward` sends a call to another node while this one
//! does not reach the engines of its service. A filter ends a call with a
//! [`Refusal`](refusal::Refusal).

mod admission;
mod admit;
mod flow;
mod flow_forward;
mod forward;
mod held_answer;
mod hold;
mod open;
mod pick;
mod rank_mixes;
mod record;
mod refusal;
mod relay;
mod retry_budgets;
mod retry_schedules;
mod rights;
mod send;
mod single;
mod stream;
mod usual_deadlines;
mod usual_durations;

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

use heathpitch_core::Millis;
use heathpitch_net::{Body, ForwardedCall, Pool};
use hyper::body::Incoming;
use hyper::{Request, Response};

pub(crate) use rank_mixes::RankMixes;
pub(crate) use retry_budgets::{RetryBudgets, agreed_limit};
pub(crate) use retry_schedules::RetrySchedules;
pub(crate) use usual_deadlines::UsualDeadlines;
pub(crate) use usual_durations::UsualDurations;

use super::shared::{Clients, Shared};
use open::OpenCall;
use refusal::{Refusal, RefusalKind};

/// One call in this many may take longer than a stopping node still runs.
const LONGER_CALLS: usize = 10;
/// The same for streams, whose lengths differ: a refusal costs a caller about as much as every second cut.
const LONGER_STREAMS: usize = 2;

/// State of the traffic thread.
pub(crate) struct Traffic {
    pub(crate) shared: Arc<Shared>,
    pub(crate) clients: Clients,
    pub(crate) pool: Pool,
    pub(crate) retry_budgets: RetryBudgets,
    pub(crate) retry_schedules: RetrySchedules,
    pub(crate) usual_deadlines: UsualDeadlines,
    pub(crate) usual_durations: UsualDurations,
    pub(crate) rank_mixes: RankMixes,
}

impl Traffic {
    /// Whether a call that is sent now is likely to end before this node stops, with an answer or by its own deadline.
    pub(crate) fn may_finish(&self, call: &admit::Call) -> bool {
        let by = self.shared.stop.at();
        if by == Millis::MAX {
            return true;
        }
        let longer = if call.route.kind.streams() { LONGER_STREAMS } else { LONGER_CALLS };
        let usual = self.usual_durations.estimate(&call.route.name, longer).unwrap_or_default();
        call.deadline.min(self.shared.now() + usual) < by
    }
}

/// Who sent a call to this node.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Origin {
    /// Its caller.
    Caller,
    /// Another node, which received it from its caller.
    Node(ForwardedCall),
}

/// Handles one call.
pub(crate) async fn handle(
    traffic: Arc<Traffic>,
    request: Request<Incoming>,
    origin: Origin,
) -> Response<Body> {
    let received = traffic.shared.now();
    let forwarded = match origin {
        Origin::Caller => None,
        Origin::Node(call) => Some(call),
    };
    let open = OpenCall::new(traffic.shared.clone(), forwarded.is_some());
    let call = match admit::admit(&traffic, request, received, forwarded).await {
        Ok(call) => Arc::new(call),
        Err(refusal) => return refusal.respond(&traffic.shared),
    };
    match forwarded {
        None => traffic.retry_budgets.record_call(&call.service.name),
        // The node that received it from its caller has counted it, and has not paid for the retry.
        Some(ForwardedCall { is_retry: true, .. }) if !traffic.retry_budgets.spend(&call).await => {
            let detail = "this node has no retry left for the service";
            let refusal = Refusal::unsent(RefusalKind::NoRetry, &call.head.id, detail);
            return refusal.of_call(&call).respond(&traffic.shared);
        }
        Some(_) => {}
    }
    let answer = match call.route.kind.streams() {
        true => {
            let answer = stream::run(traffic.clone(), call.clone(), open).await;
            let refused = matches!(&answer, Err(refusal) if refusal.is_not_run());
            if forwarded.is_none() {
                traffic.retry_schedules.record_return(&call, call.age_ms, refused);
            }
            answer
        }
        false => single::run(&traffic, &call).await,
    };
    let mut response = match answer {
        Ok(response) => response,
        Err(refusal) => refusal.of_call(&call).respond(&traffic.shared),
    };
    traffic.shared.metrics.calls.with_label_values(&[response.status().as_str()]).inc();
    if traffic.shared.stopping.load(Relaxed) {
        let close = hyper::header::HeaderValue::from_static("close");
        response.headers_mut().insert(hyper::header::CONNECTION, close);
    }
    response
}
