//! Filter: runs a call whose answer is a stream of events.
//!
//! A stream is sent to the first engine of a path. When that engine fails, the stream is taken up
//! by another one after the last whole event passed on, if its route allows that; failures further
//! on are mended by the control thread, which moves the running stream to other engines.

use std::sync::Arc;

use heathpitch_net::Body;
use hyper::Response;

use super::Traffic;
use super::admit::Call;
use super::flow::{Ended, Flow};
use super::open::OpenCall;
use super::record::pass_on;
use super::refused::{Refused, RefusedKind};
use super::relay::relay;
use super::retry_schedules::unwanted;

/// Largest answer that is no stream, bytes.
const ANSWER_MOST: usize = 1 << 20;

/// Runs the stream up to the head of its answer; its events follow as the body is read.
pub(crate) async fn run(
    traffic: Arc<Traffic>,
    call: Arc<Call>,
    open: OpenCall,
) -> Result<Response<Body>, Refused> {
    let (shared, until) = (traffic.shared.clone(), call.until);
    let mut flow = Flow::new(traffic, call, open);
    let opened = shared.run_until(until, flow.dispatch()).await;
    let id = flow.call.head.id.clone();
    let (kind, detail) = match opened {
        Some(Ok(answer)) => return Ok(relay(flow, answer)),
        // An engine's own failure goes to the caller as it is.
        Some(Err(Ended::Failed(answer))) => {
            match answer.whole(&flow.traffic.pool, ANSWER_MOST).await {
                Ok((parts, content)) => {
                    return Ok(pass_on(&flow.traffic, &flow.call, flow.sends, parts, content));
                }
                Err(e) => (RefusedKind::Broken, e.to_string()),
            }
        }
        Some(Err(Ended::Shed(why))) => {
            let (now, traffic) = (flow.traffic.shared.now(), &flow.traffic);
            let left = flow.call.left(now);
            let back = traffic.retry_schedules.refuse(&flow.call.service.name, left, now);
            return Err(Refused::unsent(RefusedKind::Overloaded, &id, why).until(back));
        }
        Some(Err(Ended::Refused(kind))) => {
            if let Some(unwanted) = unwanted(&flow.traffic, &flow.call, kind, &flow.seen) {
                return Err(unwanted);
            }
            let detail = match kind {
                RefusedKind::NoEngine => "the engines that can be used do not hold every layer",
                RefusedKind::EnginesRefused => "the engines asked refused the call",
                _ => "the connection to an engine was lost",
            };
            (kind, detail.to_owned())
        }
        None => {
            flow.seen.lost();
            (RefusedKind::Expired, "no answer within the call's time".to_owned())
        }
    };
    Err(Refused::given_up(kind, &flow.seen, &id, detail))
}
