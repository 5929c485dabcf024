//! Filter: runs a call whose answer is one whole body.

use bytes::Bytes;
use heathpitch_core::{Evidence, Name};
use heathpitch_net::Body;
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};

use super::Traffic;
use super::admit::Call;
use super::open::Held;
use super::pick::{self, Avoid};
use super::record::{Sending, pass_on};
use super::refused::{Refused, RefusedKind};
use super::retry_schedules::unwanted;
use super::send::{Failure, Target, send};
use crate::gateway::engine_table::EngineView;
use crate::gateway::shared::{LostAttempt, Notice};

/// Largest answer held, bytes.
const ANSWER_MOST: usize = 16 << 20;
/// Engines tried that cannot even be connected to; nothing is sent to them.
const UNSENT_MOST: u32 = 4;

/// A whole answer of an engine.
type Whole = (Parts, Bytes);

/// What became of the sends of a call.
#[derive(Default)]
struct Trace {
    seen: Evidence,
    sends: u32,
    unsent: u32,
    avoid: Vec<Name>,
    last: Option<Whole>,
    /// Whether a connection was lost while an engine may have been at work on it.
    lost: bool,
}

/// Runs the call until its final answer or the end of its time.
pub(crate) async fn run(traffic: &Traffic, call: &Call) -> Result<Response<Body>, Refused> {
    let mut trace = Trace::default();
    let work = traffic.shared.run_until(call.until, attempts(traffic, call, &mut trace)).await;
    let id = &call.head.id;
    let refused = match work {
        Some(Ok((parts, content))) => {
            return Ok(pass_on(traffic, call, trace.sends, parts, content));
        }
        // An engine's own failure goes to the caller as it is if nothing better came.
        Some(Err(_)) | None if trace.last.is_some() => match trace.last.take() {
            Some((parts, content)) => {
                return Ok(pass_on(traffic, call, trace.sends, parts, content));
            }
            None => RefusedKind::Broken,
        },
        Some(Err(kind)) => kind,
        None => {
            trace.seen.lost();
            RefusedKind::Expired
        }
    };
    if let Some(unwanted) = unwanted(traffic, call, refused, &trace.seen) {
        return Err(unwanted);
    }
    let detail = match refused {
        RefusedKind::Expired => "no answer within the call's time",
        RefusedKind::NoEngine => "no engine of the service can take the call now",
        RefusedKind::EnginesRefused => "the engines asked refused the call",
        _ => "the connection to an engine was lost",
    };
    Err(Refused::given_up(refused, &trace.seen, id, detail))
}

async fn attempts(traffic: &Traffic, call: &Call, trace: &mut Trace) -> Result<Whole, RefusedKind> {
    let mut kind = RefusedKind::NoEngine;
    while trace.sends < call.route.attempts && trace.unsent < UNSENT_MOST {
        let again = trace.sends > 0;
        let table = traffic.shared.table.load();
        let now = traffic.shared.now();
        let home = traffic.shared.settings.load().domain.clone();
        let avoid = Avoid { engines: &trace.avoid, now };
        let Some(view) = pick::engine(&table, &call.service.name, &home, avoid) else {
            return Err(kind);
        };
        if trace.lost && !traffic.shared.quarantine.load().allows_retry(0, || call.print()) {
            return Err(kind);
        }
        if again && !traffic.retry_budgets.spend(&call.service.name) {
            return Err(kind);
        }
        let engine = &view.entry.id;
        let sending = Sending { traffic, call, engine, attempt: trace.sends + 1 };
        sending.routed(None, None);
        let _held = Held::new(traffic.shared.clone(), vec![view.stats.clone()], 0);
        trace.seen.sent();
        match whole(traffic, call, &view).await {
            Ok(answer) if !answer.0.status.is_server_error() => {
                trace.sends += 1;
                trace.seen.started();
                let done = traffic.shared.now();
                view.stats.record_latency(done.saturating_sub(now), done);
                return Ok(answer);
            }
            Ok(failed) => {
                trace.sends += 1;
                trace.seen.started();
                trace.seen.lost();
                trace.last = Some(failed);
                kind = RefusedKind::Broken;
            }
            Err(failure) => {
                sending.failed(&failure, 0);
                kind = note(traffic, call, &view, trace, &failure);
            }
        }
        trace.avoid.push(view.entry.id.clone());
        if !call.route.kind.retryable() && trace.seen.not_run().is_none() {
            return Err(kind);
        }
    }
    Err(kind)
}

/// Takes note of a failed send.
fn note(
    traffic: &Traffic,
    call: &Call,
    view: &EngineView,
    trace: &mut Trace,
    failure: &Failure,
) -> RefusedKind {
    match failure {
        Failure::Unsent(_) => {
            trace.unsent += 1;
            trace.seen.unsent();
            view.stats.gauge().record_failure(traffic.shared.now());
            traffic.pool.close_idle(view.entry.address);
            RefusedKind::NoEngine
        }
        Failure::Unwanted => {
            trace.unsent += 1;
            trace.seen.unsent();
            RefusedKind::NoEngine
        }
        // It is not asked again for this call, so that others are, however many name limits.
        Failure::NoRight(_) => {
            trace.seen.unsent();
            RefusedKind::NoEngine
        }
        Failure::Refused { status, .. } => {
            trace.sends += 1;
            trace.seen.refused();
            view.stats.deprioritize(traffic.shared.now() + pick::REJECTION_COOLDOWN_MS);
            if *status == StatusCode::MISDIRECTED_REQUEST {
                traffic.shared.notify(Notice::Replaced(view.entry.id.clone()));
            }
            RefusedKind::EnginesRefused
        }
        Failure::Lost(_) => {
            trace.sends += 1;
            trace.seen.lost();
            trace.lost = true;
            let (engine, print) = (view.entry.clone(), call.print());
            traffic.shared.notify(Notice::ConnectionLost(LostAttempt { engine, print, events: 0 }));
            RefusedKind::Broken
        }
    }
}

async fn whole(traffic: &Traffic, call: &Call, view: &EngineView) -> Result<Whole, Failure> {
    let target = Target { view, behind: &[], path: None, after: None };
    let answer = send(traffic, call, &target).await?;
    answer.whole(&traffic.pool, ANSWER_MOST).await
}
