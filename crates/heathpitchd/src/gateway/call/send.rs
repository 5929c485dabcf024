//! One attempt of a call at one engine.

use std::net::SocketAddr;
use std::time::Duration;

use heathpitch_core::{Millis, Name, Path};
use heathpitch_net::{
    BackpressureSignal, Connection, ConnectionHead, Dispatch, Pool, ResponseHead, Reuse, RpcError,
    SendFailure, full,
};
use heathpitch_policy::{Backpressure, Suspicion};
use hyper::body::Incoming;
use hyper::header::CONTENT_ENCODING;
use hyper::http::response;
use hyper::{Request, StatusCode};

use super::Traffic;
use super::admit::Call;
use super::forward::Declined;
use super::hold;
use super::rights::{self, NoRight, SendRights};
use crate::gateway::backpressure::ResponseInfo;
use crate::gateway::engine_table::EngineView;
use crate::gateway::quarantine_snapshot::incarnation_of;
use crate::gateway::shared::{ControlMessage, Shared};

/// Time after which a connection that is not established suggests that the way is cut, many times the delay
/// between failure domains.
const SLOW_CONNECT: Duration = Duration::from_millis(60);
/// The same for the head of an answer or an event, which engines under load take longer for.
pub(super) const SLOW_ANSWER_MS: Millis = 300;
/// Interval at which a call that receives nothing reports a suspicion.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(500);
/// Why an attempt is given up at a service that this node is cut off from.
const CUT_OFF: &str = "this node is cut off from the service";

/// An engine's answer whose body is still to be read.
pub(crate) struct Answer {
    pub(crate) connection: Connection,
    pub(crate) hop: ConnectionHead,
    /// Its head, without what concerns the connection only.
    pub(crate) parts: response::Parts,
    pub(crate) head: ResponseHead,
    pub(crate) body: Incoming,
}

impl Answer {
    /// Returns the connection to the pool after the complete answer was read.
    pub(crate) fn release(self, pool: &Pool) {
        release_connection(self.connection, self.hop, pool);
    }
}

pub(super) fn release_connection(connection: Connection, hop: ConnectionHead, pool: &Pool) {
    if let Some(keep) = hop.keep_alive {
        pool.release(connection, keep);
    }
}

/// Why an attempt got no usable answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    /// No byte left this process.
    #[error("not sent: {0}")]
    Unsent(String),
    /// No byte left this process: the engine asked this node to pause, or is draining.
    #[error("not sent: the engine accepts no requests now")]
    Backpressure,
    /// No byte left this process: the call is held back.
    #[error("not sent: {}", .0.detail)]
    HeldBack(Declined),
    /// No byte left this process: an engine is rate-limited, and this node has no right to send to
    /// it.
    #[error("not sent: {0}")]
    NoRight(NoRight),
    /// The engine stated that it did not run the call.
    #[error("refused with status {status}")]
    Refused {
        /// Status of its response.
        status: StatusCode,
        /// Engine further down the path that caused it.
        faulty_address: Option<SocketAddr>,
    },
    /// The call may have run.
    #[error("lost: {0}")]
    Lost(String),
}

/// Where a call is sent.
pub(crate) struct Target<'a> {
    /// The engine that gets the request.
    pub(crate) view: &'a EngineView,
    /// Engines downstream of it.
    pub(crate) downstream: &'a [&'a EngineView],
    /// The path through all of them.
    pub(crate) path: Option<&'a Path>,
    /// Event after which a stream resumes.
    pub(crate) after: Option<u64>,
}

/// Sends a call and reads the head of the answer.
pub(crate) async fn send(
    traffic: &Traffic,
    call: &Call,
    target: &Target<'_>,
) -> Result<Answer, Failure> {
    let &Target { view, downstream, .. } = target;
    hold::check(&traffic.shared, call).await.map_err(Failure::HeldBack)?;
    let reported_ended = traffic.shared.quarantine.load().has_ended(&view.entry);
    let mut rights = rights::acquire(traffic, view, downstream).await.map_err(Failure::NoRight)?;
    let reuse = if call.route.kind.retryable() { Reuse::Idle } else { Reuse::Never };
    let mut answer = try_send(traffic, call, target, &mut rights, reuse).await;
    if matches!(answer, Err(Failure::Unsent(_))) && reuse == Reuse::Idle {
        // The engine closed an idle connection: nothing was sent, so a new connection can be tried.
        answer = try_send(traffic, call, target, &mut rights, Reuse::Never).await;
    }
    let answer = check(answer?)?;
    if reported_ended {
        traffic.shared.notify_control(ControlMessage::EngineAlive(incarnation_of(&view.entry)));
    }
    Ok(answer)
}

async fn try_send(
    traffic: &Traffic,
    call: &Call,
    target: &Target<'_>,
    rights: &mut SendRights,
    reuse: Reuse,
) -> Result<Answer, Failure> {
    let &Target { view, path, after, .. } = target;
    let backpressure = view.stats.backpressure();
    if backpressure.is_draining() || backpressure.pause_left(traffic.shared.now()).is_some() {
        return Err(Failure::Backpressure);
    }
    let incarnation = view.entry.started_at.unwrap_or_default();
    let mut connection = connect(traffic, call, view.entry.address, incarnation, reuse).await?;
    if connection.is_new() {
        traffic.shared.metrics.connections.inc();
    }
    let dispatch = Dispatch {
        engine: &view.entry.id,
        remaining: call.time_left(&traffic.shared),
        account: call.holder.as_ref().map(|h| &h.account),
        rank: call.rank(),
        after,
        path,
    };
    let mut request = Request::new(full(call.body.content.clone()));
    *request.method_mut() = call.body.method.clone();
    *request.uri_mut() = call
        .body
        .target
        .parse()
        .map_err(|_| Failure::Unsent("the path is not valid".to_owned()))?;
    *request.headers_mut() = traffic.clients.dialect.headers(&call.body.headers, &dispatch);
    // The engine may have sent backpressure while the connection was opened.
    let admission =
        rights.admit(backpressure, traffic.shared.now()).ok_or(Failure::Backpressure)?;
    let sent = traffic.shared.now();
    let answer = tokio::select! {
        biased;
        answer = connection.send(request) => answer,
        () = until_cut_off_since(&traffic.shared, &call.service.name, sent), if call.route.kind.retryable() => {
            return Err(Failure::Lost(CUT_OFF.to_owned()));
        }
    };
    let answer = answer.map_err(|e| match e {
        SendFailure::Unsent(why) => {
            rights.unspend();
            Failure::Unsent(why)
        }
        SendFailure::Lost(why) => {
            traffic.shared.suspect_reach(&call.service.name, Suspicion::Failed, sent);
            Failure::Lost(why)
        }
    })?;
    if connection.is_new() {
        view.stats.record_contact(traffic.shared.now());
    }
    let (mut parts, body) = answer.into_parts();
    // What is acted on is what can be passed on: a header of the connection is neither.
    let hop = ConnectionHead::take(&mut parts);
    let head = traffic.clients.dialect.answer(&call.head.id, &parts);
    drop(admission);
    let status = parts.status.as_u16();
    let response = ResponseInfo { engine: &view.entry, of: &call.head.id, status, sent };
    record_backpressure(&traffic.shared, response, backpressure, &head);
    if !head.not_run {
        backpressure.record_success(traffic.shared.now());
    }
    if let Some(load) = head.load {
        view.stats.record_load(load.running + load.waiting, traffic.shared.now());
        view.stats.record_seen_queued(load.waiting, traffic.shared.now());
    }
    Ok(Answer { connection, hop, parts, head, body })
}

/// Connects to an engine of the call's service, and reports a connection that fails or takes long. Gives up
/// once this node is found to be cut off from the service.
async fn connect(
    traffic: &Traffic,
    call: &Call,
    address: SocketAddr,
    incarnation: u64,
    reuse: Reuse,
) -> Result<Connection, Failure> {
    let (shared, service) = (&traffic.shared, &call.service.name);
    let since = shared.now();
    let connecting = traffic.pool.connect(address, incarnation, reuse);
    let cut_off = async {
        tokio::time::sleep(SLOW_CONNECT).await;
        shared.suspect_reach(service, Suspicion::Failed, since);
        shared.reach.until_cut_off(service).await;
    };
    let connected = tokio::select! {
        biased;
        connected = connecting => connected,
        () = cut_off => return Err(Failure::Unsent(CUT_OFF.to_owned())),
    };
    connected.map_err(|e: RpcError| {
        shared.suspect_reach(service, Suspicion::Failed, since);
        Failure::Unsent(e.to_string())
    })
}

/// Waits until this node is found to be cut off from a service that it reached when a request without an answer
/// was sent at `sent`.
async fn until_cut_off_since(shared: &Shared, service: &Name, sent: Millis) {
    if shared.reach.is_cut_off(service) {
        return std::future::pending().await;
    }
    until_way_lost(shared, service, sent + SLOW_ANSWER_MS).await;
}

/// Waits until this node is cut off from a service, which is suspected from `slow_at` on because nothing was
/// received.
pub(super) async fn until_way_lost(shared: &Shared, service: &Name, slow_at: Millis) {
    shared.sleep_until(slow_at).await;
    loop {
        shared.suspect_reach(service, Suspicion::Late, slow_at.saturating_sub(SLOW_ANSWER_MS));
        let cut_off = shared.reach.until_cut_off(service);
        if tokio::time::timeout(SUSPICION_INTERVAL, cut_off).await.is_ok() {
            return;
        }
    }
}

/// Records the backpressure in an engine's response to a call. A pause also applies to another
/// engine of the path if that one refused the call.
fn record_backpressure(
    shared: &Shared,
    response: ResponseInfo<'_>,
    backpressure: &Backpressure,
    head: &ResponseHead,
) {
    let engine = response.engine;
    if shared.record_backpressure(response, head.backpressure, backpressure) {
        shared.notify_control(ControlMessage::Draining(incarnation_of(engine)));
    }
    let other_engine = |at: &SocketAddr| *at != engine.address && head.backpressure.pause.is_some();
    let Some(faulty_address) = head.faulty_address.filter(other_engine) else { return };
    if let Some(other) = shared.table.load().by_address(faulty_address) {
        let response = ResponseInfo { engine: &other.entry, ..response };
        let pause =
            BackpressureSignal { pause: head.backpressure.pause, ..BackpressureSignal::default() };
        shared.record_backpressure(response, pause, other.stats.backpressure());
    }
}

/// Rejects answers that belong to another call, that have no digest or are encoded, or that state that the call did not
/// run.
pub(super) fn check(answer: Answer) -> Result<Answer, Failure> {
    let status = answer.parts.status;
    match &answer.head {
        h if !h.id_matches => {
            Err(Failure::Lost(format!("the answer belongs to another call, status {status}")))
        }
        h if h.not_run => Err(Failure::Refused { status, faulty_address: h.faulty_address }),
        h if status.is_success() && !h.has_digest => {
            Err(Failure::Lost("a successful answer has no digest".to_owned()))
        }
        // No caller asks for an encoding.
        _ if status.is_success() && answer.parts.headers.contains_key(CONTENT_ENCODING) => {
            Err(Failure::Lost("the body of a successful answer is encoded".to_owned()))
        }
        _ => Ok(answer),
    }
}
