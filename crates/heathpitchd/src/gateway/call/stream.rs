//! Filter: runs a call whose answer is a stream of events.
//!
//! A stream is sent to the first engine of a path. When that engine fails, the stream resumes at
//! another one after the last complete event relayed, if its route allows retries. Failures further
//! down the path are handled by the control thread, which moves the running stream to other
//! engines.

use std::sync::Arc;

use heathpitch_net::Body;
use hyper::Response;

use super::Traffic;
use super::admit::Call;
use super::flow::{DispatchError, Flow};
use super::forward::Declined;
use super::open::OpenCall;
use super::record::{final_answer, is_false_promise};
use super::refusal::{Refusal, RefusalKind};
use super::relay::relay;
use super::retry_schedules::{backpressure_refusal, promised_refusal};

/// Size of the largest answer that is not a stream.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Runs the stream until the head of its answer; its events are relayed as the caller reads the
/// body.
pub(crate) async fn run(
    traffic: Arc<Traffic>,
    call: Arc<Call>,
    open: OpenCall,
) -> Result<Response<Body>, Refusal> {
    let (shared, deadline) = (traffic.shared.clone(), call.deadline);
    if call.head.after.is_none() && !traffic.may_finish(&call) {
        let detail = "streams of this route usually take longer than this node still runs";
        return Err(Refusal::unsent(RefusalKind::Stopping, &call.head.id, detail));
    }
    let mut flow = Flow::new(traffic, call, open);
    let opened = shared.run_until(deadline, flow.dispatch()).await;
    let id = flow.call.head.id.clone();
    let (kind, detail) = match opened {
        Some(Ok(answer)) => return Ok(relay(flow, answer)),
        // An engine's error response is passed on unchanged.
        Some(Err(DispatchError::Failed(answer))) => {
            match shared.run_until(deadline, answer.read(&shared, MAX_ANSWER_BYTES)).await {
                Some(Ok(answer)) if is_false_promise(&flow.call, answer.parts.status) => {
                    let status = answer.parts.status;
                    (
                        RefusalKind::Broken,
                        format!("an engine that may have run it answered {status}"),
                    )
                }
                Some(Ok(answer)) => {
                    return Ok(final_answer(&flow.traffic, &flow.call, flow.attempts, answer));
                }
                Some(Err(e)) => (RefusalKind::Broken, e.to_string()),
                None => (RefusalKind::Expired, "an engine's error answer did not end".to_owned()),
            }
        }
        Some(Err(DispatchError::Shed(shed))) => {
            let (now, traffic) = (flow.traffic.shared.now(), &flow.traffic);
            let remaining = flow.call.remaining(now);
            let retry_after =
                traffic.retry_schedules.refuse(&flow.call.service.name, remaining, now);
            let refusal = Refusal::unsent(RefusalKind::Overloaded, &id, shed.detail);
            return Err(refusal.with_retry_after(retry_after).with_load(flow.load));
        }
        Some(Err(DispatchError::Declined(Declined { kind, retry_after, detail }))) => {
            let refusal = Refusal::given_up(kind, &flow.evidence, &id, detail);
            return Err(match retry_after {
                Some(retry_after) => refusal.with_retry_after(retry_after),
                None => refusal,
            });
        }
        Some(Err(DispatchError::Refused(kind))) => {
            if let Some(refusal) =
                backpressure_refusal(&flow.traffic, &flow.call, kind, &flow.evidence)
            {
                return Err(refusal.with_load(flow.load));
            }
            let detail = match kind {
                RefusalKind::NoEngine => {
                    let (shared, service) = (&flow.traffic.shared, &flow.call.service.name);
                    let reach = shared.table.load().reach(service, shared.now());
                    format!("the available engines do not hold every layer: {reach}")
                }
                RefusalKind::EnginesRefused => {
                    "every engine that was tried refused the call".to_owned()
                }
                _ => "the connection to an engine was lost".to_owned(),
            };
            if let Some(refusal) =
                promised_refusal(&flow.traffic, &flow.call, kind, &flow.evidence, &detail)
            {
                return Err(refusal.with_load(flow.load));
            }
            (kind, detail)
        }
        None => {
            flow.evidence.lost();
            match flow.call.expiry(&shared) {
                RefusalKind::Stopping => {
                    (RefusalKind::Stopping, "no answer before this node stops".to_owned())
                }
                kind => (kind, "no answer before the call's deadline".to_owned()),
            }
        }
    };
    Err(Refusal::given_up(kind, &flow.evidence, &id, detail).with_load(flow.load))
}
