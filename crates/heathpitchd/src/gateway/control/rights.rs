//! Rights to send requests to engines that advertise a rate limit.
//!
//! The planner of an engine's failure domain issues the rights, one for each request, as long as no
//! other node can: its lease is proven, or, while the store is unreachable, more than half of the
//! domain's nodes still poll it. A new planner waits until an earlier one must have stopped by
//! either rule. Where no issuer can be reached, nodes issue a small share of the limit to
//! themselves ([`EngineLimit`](heathpitch_policy::EngineLimit)). Nodes exchange limits with every
//! request and response of the feed, as they do drain notices.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use heathpitch_core::{EngineEntry, Millis, Name, Rate};
use heathpitch_net::{FeedClient, FeedLimit, RightsRequest, RightsResponse, RpcError};
use heathpitch_policy::{EngineIncarnation, EngineLimit, LimitEntry, LimitUpdate, Right};
use rand::Rng;
use tokio::task::spawn_local;

use super::state::Control;
use crate::gateway::event::GatewayEvent;
use crate::gateway::quarantine_snapshot::incarnation_of;
use crate::gateway::shared::{RightsGrant, RightsWanted};

/// Most limits in one message, about forty bytes each.
const MAX_LIMITS: usize = 256;
/// Time after becoming planner before a node issues rights: by then an earlier planner has learned
/// of it, or the earlier planner's followers no longer count as present.
const ISSUE_DELAY_MS: Millis = 1_300;
/// Timeout of a rights request: many times the latency between failure domains, and small against
/// callers' deadlines.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(60);
/// Time without requests to an issuer that does not answer or is not active.
const BACKOFF_MS: Millis = 300;
/// Interval between removals of expired state.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// Issuer of rights for the engines of one failure domain, as this node knows it.
#[derive(Default)]
pub(super) struct RightsIssuer {
    /// Address of the last request.
    address: Option<SocketAddr>,
    /// Whether it issued rights at the last request, if there was one.
    active: Option<bool>,
    /// Time before which no request is sent.
    retry_at: Millis,
}

/// # Limits that engines advertise and nodes exchange
impl Control {
    /// Records that an engine advertised a new limit to this node, or stopped advertising one.
    pub(super) fn record_limit(&self, incarnation: &EngineIncarnation) {
        let Some(backpressure) = self.backpressure.borrow().get(&incarnation.engine).cloned()
        else {
            return;
        };
        let (now, limit) = (self.now(), backpressure.limit());
        let at = now.saturating_sub(limit.age(now));
        self.learn_limit(incarnation, limit.rate(), at, "engine response");
    }

    fn learn_limit(
        &self,
        incarnation: &EngineIncarnation,
        rate: Option<Rate>,
        at: Millis,
        by: &'static str,
    ) -> bool {
        let new = self.limits.borrow_mut().learn(incarnation.clone(), rate, at);
        if new {
            if rate.is_none() {
                self.rights.borrow_mut().remove(incarnation);
            }
            let age_ms = self.now().saturating_sub(at);
            let engine = incarnation.engine.clone();
            GatewayEvent::EngineLimited { engine, limit: rate, age_ms, by }.log();
        }
        new
    }

    /// Limits learned after `serial`, and the serial of the last one returned.
    pub(super) fn limits_since(&self, serial: u64) -> (Vec<FeedLimit>, u64) {
        let (new, upto) = self.limits.borrow().since(serial, MAX_LIMITS, self.now());
        let feed_limit = |LimitUpdate { incarnation, rate, age }| FeedLimit {
            engine: incarnation.engine,
            started_at: incarnation.started_at,
            rate,
            age_ms: age,
        };
        (new.into_iter().map(feed_limit).collect(), upto)
    }

    /// Learns limits that another node reported in a message sent at `sent` or later.
    pub(super) fn receive_limits(&self, limits: &[FeedLimit], sent: Millis) {
        for limit in limits {
            let incarnation =
                EngineIncarnation { engine: limit.engine.clone(), started_at: limit.started_at };
            // The transit time of the message is unknown: a limit counts as young as it can be, and
            // its end as old as it can be, so that a limit is kept rather than dropped.
            let from = if limit.rate.is_some() { self.now() } else { sent };
            let at = from.saturating_sub(limit.age_ms);
            if self.learn_limit(&incarnation, limit.rate, at, "another node") {
                self.apply_limit(&incarnation, limit.rate, at);
            }
        }
    }

    /// Restores a limit from a record in the store.
    pub(super) fn restore_limit(&self, incarnation: &EngineIncarnation, limit: LimitEntry) {
        let now = self.now();
        let new = self.limits.borrow_mut().restore(incarnation.clone(), limit, now);
        if limit.in_probes
            && let Some(backpressure) = self.backpressure.borrow().get(&incarnation.engine)
        {
            backpressure.limit().set_in_probes();
        }
        if !new {
            return;
        }
        let Some((rate, at)) = self.limits.borrow().get(incarnation) else { return };
        let engine = incarnation.engine.clone();
        let age_ms = now.saturating_sub(at);
        GatewayEvent::EngineLimited { engine, limit: Some(rate), age_ms, by: "the store" }.log();
        self.apply_limit(incarnation, Some(rate), at);
    }

    /// Makes a limit learned at `at` take effect for requests.
    fn apply_limit(&self, incarnation: &EngineIncarnation, rate: Option<Rate>, at: Millis) {
        let entry = self.entries.borrow().get(&incarnation.engine).cloned();
        if let Some(entry) = entry.filter(|e| e.started_at == incarnation.started_at) {
            self.backpressure_of(&entry).limit().learn(rate, at);
        }
    }
}

/// # Issuing
impl Control {
    /// Whether this node issues rights for the engines of its failure domain.
    fn issues_rights(&self) -> bool {
        let now = self.now();
        let settled = self.planner_since().is_some_and(|since| now >= since + ISSUE_DELAY_MS);
        settled && !self.stopping() && self.is_only_planner()
    }

    /// Whether demand for an engine has exceeded its limit for some time.
    pub(super) fn is_limited(&self, engine: &EngineEntry) -> bool {
        let incarnation = incarnation_of(engine);
        self.limits.borrow().get(&incarnation).is_some()
            && self.rights.borrow().is_binding(&incarnation)
    }

    /// Issues rights to a node that requests them.
    pub(super) fn issue_rights(&self, request: &RightsRequest) -> RightsResponse {
        let now = self.now();
        self.receive_limits(std::slice::from_ref(&request.limit), now);
        if !self.issues_rights() {
            return RightsResponse::default();
        }
        let incarnation = EngineIncarnation {
            engine: request.limit.engine.clone(),
            started_at: request.limit.started_at,
        };
        let limit = self.limits.borrow().get(&incarnation);
        let Some((rate, _)) = limit else {
            // The engine has no limit any more, which the requester will learn from the feed.
            return RightsResponse { active: true, issued: request.requested, wait_ms: 0 };
        };
        let draw = rand::rng().random_range(0.0..1.0);
        let mut rights = self.rights.borrow_mut();
        let grant = rights.issue(&incarnation, rate, &request.node, request.requested, draw, now);
        RightsResponse { active: true, issued: grant.issued, wait_ms: grant.wait }
    }
}

/// Requests rights for a call of this node.
pub(super) fn spawn_request(control: &Rc<Control>, wanted: RightsWanted) {
    let control = control.clone();
    spawn_local(async move {
        let granted = request_rights(&control, &wanted.engine, wanted.count).await;
        // Rights for a call that no longer waits are kept for the next call.
        if let Err(RightsGrant::Issued(count, sent)) = wanted.reply.send(granted) {
            let now = control.now();
            control.backpressure_of(&wanted.engine).limit().add_rights(count, sent, now);
        }
    });
}

/// Acquires a right for a request that takes a slot at an engine; none if the engine has no limit.
///
/// # Errors
///
/// The grant, if it contains no right.
pub(super) async fn acquire(
    control: &Control,
    engine: &EngineEntry,
) -> Result<Option<Right>, RightsGrant> {
    let backpressure = control.backpressure_of(engine);
    if backpressure.limit().rate().is_none() {
        return Ok(None);
    }
    if let Some(right) = EngineLimit::take(&backpressure, control.now()) {
        return Ok(Some(right));
    }
    match request_rights(control, engine, 1).await {
        granted @ RightsGrant::Issued(count, sent) => {
            EngineLimit::receive(&backpressure, count, sent, control.now()).map(Some).ok_or(granted)
        }
        granted => Err(granted),
    }
}

/// Requests rights for an engine from their issuer.
async fn request_rights(control: &Control, engine: &EngineEntry, count: u16) -> RightsGrant {
    let sent = control.now();
    let backpressure = control.backpressure_of(engine);
    let (rate, age_ms) = (backpressure.limit().rate(), backpressure.limit().age(sent));
    let request = RightsRequest {
        node: control.node(),
        limit: FeedLimit { engine: engine.id.clone(), started_at: engine.started_at, rate, age_ms },
        requested: count,
    };
    let response = match engine.domain == control.domain() && control.is_planner() {
        true => Ok(control.issue_rights(&request)),
        false => request_from_planner(control, &engine.domain, &request).await,
    };
    let granted = match response {
        Ok(RightsResponse { active: false, .. }) | Err(_) => RightsGrant::NoIssuer,
        Ok(RightsResponse { issued: 0, wait_ms, .. }) => RightsGrant::RetryAfter(wait_ms),
        Ok(RightsResponse { issued: given, .. }) => RightsGrant::Issued(given, sent),
    };
    let label = match granted {
        RightsGrant::Issued(..) => "given",
        RightsGrant::RetryAfter(_) => "none",
        RightsGrant::NoIssuer => "nobody",
    };
    control.shared.metrics.rights.with_label_values(&[label]).inc();
    granted
}

/// Requests rights from the planner of a failure domain.
async fn request_from_planner(
    control: &Control,
    domain: &Name,
    request: &RightsRequest,
) -> Result<RightsResponse, RpcError> {
    let failed =
        || RpcError::Connect("no planner is known, or its last response failed".to_owned());
    let planner = control.planner_of(domain).ok_or_else(failed)?;
    {
        let mut issuers = control.rights_issuers.borrow_mut();
        let issuer = issuers.entry(domain.clone()).or_default();
        let same = issuer.address.replace(planner.address) == Some(planner.address);
        if same && control.now() < issuer.retry_at {
            return Err(failed());
        }
    }
    let send = async |client: &FeedClient| client.request_rights(request, REQUEST_TIMEOUT).await;
    let result = control.ask_planner(domain, &planner, send).await;
    let mut issuers = control.rights_issuers.borrow_mut();
    let issuer = issuers.entry(domain.clone()).or_default();
    let (active, why) = match &result {
        Ok(response) if response.active => (true, "it issues rights".to_owned()),
        Ok(_) => (false, "it cannot prove that it is the only issuer".to_owned()),
        Err(e) => (false, e.to_string()),
    };
    if !active {
        issuer.retry_at = control.now() + BACKOFF_MS;
    }
    if issuer.active.replace(active) != Some(active) {
        let (planner, domain) = (planner.node.clone(), domain.clone());
        GatewayEvent::RightsChanged { planner, domain, active, why }.log();
    }
    result
}

/// Removes expired rights and limits while this node runs.
pub(super) async fn run(control: Rc<Control>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let now = control.now();
        control.rights.borrow_mut().expire(now);
        let entries = control.entries.borrow();
        // Limits may be restored from the store before its list of engines is known.
        if entries.is_empty() {
            continue;
        }
        let backpressure = control.backpressure.borrow();
        let kept = |incarnation: &EngineIncarnation| {
            entries.contains_key(&incarnation.engine)
                || backpressure.contains_key(&incarnation.engine)
        };
        control.limits.borrow_mut().retain(kept, now);
    }
}
