//! One dispatch of a call to one engine.

use std::net::SocketAddr;

use bytes::Bytes;
use heathpitch_core::Path;
use heathpitch_net::{
    BackpressureSignal, Connection, Dispatch, Pool, ResponseHead, Reuse, RpcError, SendFailure,
    full, keep_alive_timeout, read,
};
use heathpitch_policy::Backpressure;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{Request, StatusCode};

use super::Traffic;
use super::admit::Call;
use super::rights::{self, NoRight, SendRights};
use crate::gateway::backpressure::ResponseInfo;
use crate::gateway::engine_table::EngineView;
use crate::gateway::quarantine_snapshot::incarnation_of;
use crate::gateway::shared::{Notice, Shared};

/// Head of an engine's answer, its body not read yet.
pub(crate) struct Answer {
    pub(crate) connection: Connection,
    pub(crate) parts: response::Parts,
    pub(crate) head: ResponseHead,
    pub(crate) body: Incoming,
}

impl Answer {
    /// Reads the whole answer, of at most `most` bytes, and keeps its connection.
    pub(crate) async fn whole(
        self,
        pool: &Pool,
        most: usize,
    ) -> Result<(response::Parts, Bytes), Failure> {
        let Self { connection, parts, body, .. } = self;
        let content = read(body, most).await.map_err(|e| Failure::Lost(e.to_string()))?;
        give_back(connection, &parts, pool);
        Ok((parts, content))
    }

    /// Keeps the connection for another request, now that the answer was whole.
    pub(crate) fn give_back(self, pool: &Pool) {
        give_back(self.connection, &self.parts, pool);
    }
}

fn give_back(connection: Connection, parts: &response::Parts, pool: &Pool) {
    if let Some(keep) = keep_alive_timeout(&parts.headers) {
        pool.release(connection, keep);
    }
}

/// Why an engine gave no answer that can be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    /// No byte left this process.
    #[error("not sent: {0}")]
    Unsent(String),
    /// No byte left this process: the engine asked this node for rest, or says that it leaves.
    #[error("not sent: the engine wants no requests now")]
    Unwanted,
    /// No byte left this process: an engine names a limit, and this node has no right to send it one more.
    #[error("not sent: {0}")]
    NoRight(NoRight),
    /// The engine states that it did not run the call.
    #[error("refused with status {status}")]
    Refused {
        /// Its status.
        status: StatusCode,
        /// Engine further on that is at fault.
        faulty_address: Option<SocketAddr>,
    },
    /// It may have run.
    #[error("lost: {0}")]
    Lost(String),
}

/// Where a call is sent.
pub(crate) struct Target<'a> {
    /// The engine asked.
    pub(crate) view: &'a EngineView,
    /// Those that it passes through behind that one.
    pub(crate) behind: &'a [&'a EngineView],
    /// All of them.
    pub(crate) path: Option<&'a Path>,
    /// Event after which a stream goes on.
    pub(crate) after: Option<u64>,
}

/// Sends a call and reads the head of the answer.
pub(crate) async fn send(
    traffic: &Traffic,
    call: &Call,
    target: &Target<'_>,
) -> Result<Answer, Failure> {
    let &Target { view, behind, .. } = target;
    let ended = traffic.shared.quarantine.load().has_ended(&view.entry);
    let mut rights = rights::seek(traffic, view, behind).await.map_err(Failure::NoRight)?;
    let reuse = if call.route.kind.retryable() { Reuse::Idle } else { Reuse::Never };
    let mut answer = once(traffic, call, target, &mut rights, reuse).await;
    if matches!(answer, Err(Failure::Unsent(_))) && reuse == Reuse::Idle {
        // The engine closed an idle connection: nothing was sent, and a new one can be made.
        answer = once(traffic, call, target, &mut rights, Reuse::Never).await;
    }
    let answer = judge(answer?)?;
    if ended {
        traffic.shared.notify(Notice::EngineAlive(incarnation_of(&view.entry)));
    }
    Ok(answer)
}

async fn once(
    traffic: &Traffic,
    call: &Call,
    target: &Target<'_>,
    rights: &mut SendRights,
    reuse: Reuse,
) -> Result<Answer, Failure> {
    let &Target { view, path, after, .. } = target;
    let wish = view.stats.backpressure();
    if wish.is_draining() || wish.pause_left(traffic.shared.now()).is_some() {
        return Err(Failure::Unwanted);
    }
    let life = view.entry.born.unwrap_or_default();
    let connected = traffic.pool.connect(view.entry.address, life, reuse).await;
    let mut connection = connected.map_err(|e: RpcError| Failure::Unsent(e.to_string()))?;
    if connection.is_new() {
        traffic.shared.metrics.connections.inc();
    }
    let dispatch = Dispatch {
        engine: &view.entry.id,
        remaining: call.left(traffic.shared.now()),
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
    *request.headers_mut() = traffic.edges.dialect.headers(&call.body.headers, &dispatch);
    // An engine may have asked for rest, or named a limit, while the connection was made.
    let entered = rights.enter(wish, traffic.shared.now()).ok_or(Failure::Unwanted)?;
    let sent = traffic.shared.now();
    let answer = connection.send(request).await.map_err(|e| match e {
        SendFailure::Unsent(why) => {
            rights.unspend();
            Failure::Unsent(why)
        }
        SendFailure::Lost(why) => Failure::Lost(why),
    })?;
    let (parts, body) = answer.into_parts();
    let head = traffic.edges.dialect.answer(&call.head.id, &parts);
    drop(entered);
    let status = parts.status.as_u16();
    let said = ResponseInfo { engine: &view.entry, of: &call.head.id, status, sent };
    heed(&traffic.shared, said, wish, &head);
    if !head.not_run {
        wish.record_success(traffic.shared.now());
    }
    if let Some(load) = head.load {
        view.stats.record_load(load.running + load.waiting, traffic.shared.now());
    }
    Ok(Answer { connection, parts, head, body })
}

/// Takes note of what an engine asks for in its answer to a call; of rest also where another engine of the path
/// is at fault, which turned the call away.
fn heed(shared: &Shared, said: ResponseInfo<'_>, wish: &Backpressure, head: &ResponseHead) {
    let engine = said.engine;
    if shared.record_backpressure(said, head.backpressure, wish) {
        shared.notify(Notice::Draining(incarnation_of(engine)));
    }
    let elsewhere = |at: &SocketAddr| *at != engine.address && head.backpressure.pause.is_some();
    let Some(faulty_address) = head.faulty_address.filter(elsewhere) else { return };
    if let Some(other) = shared.table.load().by_address(faulty_address) {
        let said = ResponseInfo { engine: &other.entry, ..said };
        let rest =
            BackpressureSignal { pause: head.backpressure.pause, ..BackpressureSignal::default() };
        shared.record_backpressure(said, rest, other.stats.backpressure());
    }
}

/// Refuses answers that belong to another call, that nothing vouches for, or that say that the
/// call did not run.
fn judge(answer: Answer) -> Result<Answer, Failure> {
    let status = answer.parts.status;
    match &answer.head {
        h if !h.id_matches => {
            Err(Failure::Lost(format!("an answer of another call, status {status}")))
        }
        h if h.not_run => Err(Failure::Refused { status, faulty_address: h.faulty_address }),
        h if status.is_success() && !h.has_digest => {
            Err(Failure::Lost("a success without a digest".to_owned()))
        }
        _ => Ok(answer),
    }
}
