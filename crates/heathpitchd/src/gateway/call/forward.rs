//! Forwards calls to other nodes while this node does not reach the engines of their service.
//!
//! The other node handles a forwarded call as that of its own callers, and never forwards it again. Its answer is
//! that of an engine, or its own refusal, which says whether the call ran. A connection that is lost after the
//! call was sent leaves that unknown, as with engines.

use std::sync::Arc;
use std::time::Duration;

use heathpitch_core::{Evidence, Forwarder, Millis, Name, Outcome};
use heathpitch_net::{
    ConnectionHead, ForwardHead, ForwardRefusal, ForwardedCall, Pool, Reuse, RpcError, SendFailure,
    empty, full, read, retry_after,
};
use hyper::Request;

use super::Traffic;
use super::admit::Call;
use super::pick;
use super::refusal::RefusalKind;
use super::send::{Answer, Failure, check, release_connection};
use crate::gateway::event::GatewayEvent;
use crate::gateway::shared::Shared;

/// Most nodes that a call is forwarded to: enough to find the one in a few that is not cut off as well.
const MAX_NODES: usize = 8;
/// Silence after which the node that handles a call is probed.
const SILENCE: Duration = Duration::from_millis(300);
/// Timeout of a probe, many times the delay between failure domains: a node on a busy VM answers late.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Probes without an answer after which a node is taken to be lost.
const PROBES: u32 = 2;
/// Size limit of a refusal.
const MAX_REFUSAL_BYTES: usize = 64 << 10;

/// A call that is open at another node; counted there until dropped.
pub(crate) struct Hop {
    shared: Arc<Shared>,
    forwarder: Forwarder,
}

impl Drop for Hop {
    fn drop(&mut self) {
        self.shared.forwarders.lock().record_end(&self.forwarder.node);
    }
}

/// # Liveness
impl Hop {
    /// Waits until the other node does not respond any more, at least [`SILENCE`] after `heard`.
    pub(crate) async fn until_lost(&self, heard: Millis) {
        let mut next = heard;
        loop {
            next = (next + SILENCE.as_millis() as Millis).max(self.shared.now());
            self.shared.sleep_until(next).await;
            if !self.responds().await {
                let now = self.shared.now();
                self.shared.forwarders.lock().record_unreachable(&self.forwarder.node, now);
                return;
            }
        }
    }

    async fn responds(&self) -> bool {
        for _ in 0..PROBES {
            if tokio::time::timeout(PROBE_TIMEOUT, self.probe()).await.is_ok_and(|ok| ok) {
                return true;
            }
        }
        false
    }

    /// Probes the node on a new connection, since kept ones may be dead.
    async fn probe(&self) -> bool {
        let Forwarder { address, token, .. } = self.forwarder;
        let mut request = Request::new(empty());
        ForwardHead { token, call: None }.write(request.headers_mut());
        match Pool::new().connect(address, 0, Reuse::Never).await {
            Ok(mut connection) => {
                connection.send(request).await.is_ok_and(|r| r.status().is_success())
            }
            Err(_) => false,
        }
    }
}

/// Nodes that a call was forwarded to.
#[derive(Default)]
pub(crate) struct Forwarding {
    tried: Vec<Name>,
}

/// What a call's attempts so far amount to.
pub(crate) struct Progress<'a> {
    pub(crate) attempts: &'a mut u32,
    pub(crate) evidence: &'a mut Evidence,
    /// Event after which a stream resumes, and events relayed.
    pub(crate) after: Option<u64>,
    pub(crate) events: u64,
}

/// Why no node took a call.
pub(crate) enum ForwardError {
    /// None is known that serves it, or all that were tried could not be reached or cannot serve it.
    NoNode,
    /// A node refused it for a reason that other nodes would have as well.
    Declined(Declined),
    /// The connection to a node was lost, and the call may not be sent again.
    Lost,
}

/// Refusal of a forwarded call.
#[derive(Debug)]
pub(crate) struct Declined {
    pub(crate) kind: RefusalKind,
    pub(crate) retry_after: Option<Millis>,
    pub(crate) detail: String,
}

/// Why a node gave no answer of an engine.
enum HopFailure {
    /// Nothing was sent.
    Unsent(String),
    /// The node refused the call.
    Refused { refusal: ForwardRefusal, retry_after: Option<Millis> },
    /// The call may have run.
    Lost(String),
}

/// # Decision
impl Forwarding {
    /// Whether a call that found no engine is to be forwarded: engines are listed that could take it, but this
    /// node does not reach them. `unsent` is the number of its attempts whose connections failed.
    pub(crate) fn applies(traffic: &Traffic, call: &Call, unsent: u32) -> bool {
        if call.forwarded.is_some() {
            return false;
        }
        let shared = &traffic.shared;
        let (table, now) = (shared.table.load(), shared.now());
        shared.reach.is_cut_off(&call.service.name)
            || unsent > 0
            || pick::is_blocked_by_suspicion(&table, call, &shared.settings.load().domain, now)
    }

    /// Avoids the node of a hop that was lost.
    pub(crate) fn avoid(&mut self, hop: &Hop) {
        self.tried.push(hop.forwarder.node.clone());
    }
}

/// # Sending
impl Forwarding {
    /// Sends a call to other nodes until one has an engine's answer.
    ///
    /// # Errors
    ///
    /// [`ForwardError`].
    pub(crate) async fn send(
        &mut self,
        traffic: &Traffic,
        call: &Call,
        progress: Progress<'_>,
    ) -> Result<(Answer, Hop), ForwardError> {
        let Progress { attempts, evidence, after, events } = progress;
        while *attempts < call.attempts() {
            let Some(hop) = self.choose(traffic, call) else { break };
            let node = hop.forwarder.node.clone();
            log_forwarded(traffic, call, &hop.forwarder, *attempts, after);
            evidence.sent();
            let failure = match send_once(traffic, call, &hop, *attempts, after).await {
                Ok(answer) => {
                    *attempts += 1;
                    traffic.shared.metrics.forwarded.with_label_values(&["answered"]).inc();
                    return Ok((answer, hop));
                }
                Err(failure) => failure,
            };
            log_failed(traffic, call, &node, &failure, events);
            let now = traffic.shared.now();
            let mut forwarders = traffic.shared.forwarders.lock();
            match failure {
                HopFailure::Unsent(_) => {
                    evidence.unsent();
                    forwarders.record_unreachable(&node, now);
                }
                HopFailure::Refused { refusal, .. } if refusal.outcome != Outcome::NotRun => {
                    *attempts += 1;
                    evidence.lost();
                    if !call.route.kind.retryable() {
                        return Err(ForwardError::Lost);
                    }
                }
                HopFailure::Refused { refusal, retry_after } => {
                    evidence.refused();
                    match RefusalKind::parse(&refusal.kind) {
                        Some(kind) if !kind.is_local() => {
                            let detail =
                                format!("node {node}, which the call was forwarded to, refused it");
                            return Err(ForwardError::Declined(Declined {
                                kind,
                                retry_after,
                                detail,
                            }));
                        }
                        Some(RefusalKind::NoEngine) => {
                            forwarders.record_declined(&node, &call.service.name, now);
                        }
                        Some(_) | None => {}
                    }
                }
                HopFailure::Lost(_) => {
                    *attempts += 1;
                    evidence.lost();
                    forwarders.record_unreachable(&node, now);
                    if !call.route.kind.retryable() {
                        return Err(ForwardError::Lost);
                    }
                }
            }
        }
        Err(ForwardError::NoNode)
    }

    /// Chooses a node that the call was not forwarded to yet.
    fn choose(&mut self, traffic: &Traffic, call: &Call) -> Option<Hop> {
        if self.tried.len() >= MAX_NODES {
            return None;
        }
        let shared = traffic.shared.clone();
        let domain = shared.settings.load().domain.clone();
        let (service, now) = (&call.service.name, shared.now());
        let chosen =
            shared.forwarders.lock().choose(service, &domain, &self.tried, now, &mut rand::rng());
        let forwarder = chosen?;
        self.tried.push(forwarder.node.clone());
        Some(Hop { shared, forwarder })
    }
}

/// Sends a call to one node, and reads the head of the answer.
async fn send_once(
    traffic: &Traffic,
    call: &Call,
    hop: &Hop,
    attempts: u32,
    after: Option<u64>,
) -> Result<Answer, HopFailure> {
    let retryable = call.route.kind.retryable();
    let reuse = if retryable { Reuse::Idle } else { Reuse::Never };
    let mut sent = try_send(traffic, call, hop, attempts, after, reuse).await;
    if matches!(sent, Err(HopFailure::Unsent(_))) && reuse == Reuse::Idle {
        // The node closed an idle connection: nothing was sent, so a new connection can be tried.
        traffic.pool.close_idle(hop.forwarder.address);
        sent = try_send(traffic, call, hop, attempts, after, Reuse::Never).await;
    }
    sent
}

async fn try_send(
    traffic: &Traffic,
    call: &Call,
    hop: &Hop,
    attempts: u32,
    after: Option<u64>,
    reuse: Reuse,
) -> Result<Answer, HopFailure> {
    let Forwarder { address, token, .. } = hop.forwarder;
    // Connections to an earlier process at this address are not reused.
    let incarnation = token.bytes().iter().fold(0, |all, byte| (all << 4) ^ u64::from(*byte));
    let connected = traffic.pool.connect(address, incarnation, reuse).await;
    let mut connection = connected.map_err(|e: RpcError| HopFailure::Unsent(e.to_string()))?;
    let mut request = Request::new(full(call.body.content.clone()));
    *request.method_mut() = call.body.method.clone();
    let target = call.body.target.parse();
    *request.uri_mut() =
        target.map_err(|_| HopFailure::Unsent("the path is not valid".to_owned()))?;
    let sent = traffic.shared.now();
    let dialect = &traffic.clients.dialect;
    let remaining = call.time_left(&traffic.shared);
    *request.headers_mut() = dialect.forwarded(&call.body.headers, remaining, after);
    let forwarded = ForwardedCall {
        attempts: call.attempts().saturating_sub(attempts),
        is_retry: attempts > 0,
        age_ms: call.age_ms,
        config: call.catalog.revision,
    };
    ForwardHead { token, call: Some(forwarded) }.write(request.headers_mut());
    let answer = tokio::select! {
        biased;
        answer = connection.send(request) => answer,
        () = hop.until_lost(sent), if call.route.kind.retryable() => {
            return Err(HopFailure::Lost("the node does not respond".to_owned()));
        }
    };
    let answer = answer.map_err(|e| match e {
        SendFailure::Unsent(why) => HopFailure::Unsent(why),
        SendFailure::Lost(why) => HopFailure::Lost(why),
    })?;
    let (mut parts, body) = answer.into_parts();
    let hop_head = ConnectionHead::take(&mut parts);
    if let Some(refusal) = ForwardRefusal::take(&mut parts.headers) {
        let retry_after = retry_after(&parts.headers).ok().flatten();
        if read(body, MAX_REFUSAL_BYTES).await.is_ok() {
            release_connection(connection, hop_head, &traffic.pool);
        }
        return Err(HopFailure::Refused { refusal, retry_after });
    }
    if parts.status == hyper::StatusCode::FORBIDDEN
        && !dialect.answer(&call.head.id, &parts).id_matches
    {
        return Err(HopFailure::Unsent("the node has another token".to_owned()));
    }
    let head = dialect.answer(&call.head.id, &parts);
    check(Answer { connection, hop: hop_head, parts, head, body }).map_err(
        |failure| match failure {
            Failure::Lost(why) => HopFailure::Lost(why),
            other => HopFailure::Lost(other.to_string()),
        },
    )
}

fn log_forwarded(
    traffic: &Traffic,
    call: &Call,
    to: &Forwarder,
    attempts: u32,
    after: Option<u64>,
) {
    GatewayEvent::CallForwarded {
        request: call.head.id.to_string(),
        node: to.node.clone(),
        domain: to.domain.clone(),
        service: call.service.name.clone(),
        attempts,
        after,
        remaining_ms: call.time_left(&traffic.shared),
    }
    .log();
}

fn log_failed(traffic: &Traffic, call: &Call, node: &Name, failure: &HopFailure, events: u64) {
    let (label, error, not_run) = match failure {
        HopFailure::Unsent(why) => ("unsent", format!("not sent: {why}"), true),
        HopFailure::Refused { refusal, .. } => {
            let not_run = refusal.outcome == Outcome::NotRun;
            ("refused", format!("refused: {}", refusal.kind), not_run)
        }
        HopFailure::Lost(why) => ("lost", format!("lost: {why}"), false),
    };
    traffic.shared.metrics.forwarded.with_label_values(&[label]).inc();
    GatewayEvent::CallForwardFailed {
        request: call.head.id.to_string(),
        node: node.clone(),
        error,
        not_run,
        events,
    }
    .log();
}
