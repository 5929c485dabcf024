//! Filter: reads a call, finds its route and client account, and admits or refuses it.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use heathpitch_core::{
    CallRoute, CallerLimits, Catalog, KeyHolder, LookupError, Millis, PromptPart,
    RequestFingerprint, ServiceSpec,
};
use heathpitch_net::{CallBody, CallHead, ForwardedCall};
use heathpitch_policy::{Demand, PartKey};
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::{Body as _, Incoming};
use rand::Rng;
use tokio::time::error::Elapsed;

use super::Traffic;
use super::hold;
use super::refusal::{Refusal, RefusalKind};
use crate::gateway::config_proofs::ProofWait;
use crate::gateway::content_budget::{ContentBudget, HeldBytes};
use crate::gateway::shared::Shared;

/// Part of the agreed time for revoking keys that is not used: the store may have answered before
/// the moment from which the time is counted.
const REVOKE_MARGIN_MS: Millis = 300;

/// Time after which a call that found no proof may be sent again: another node may have one, and this one will have an
/// answer, or know that the store is away.
const UNPROVEN_RETRY_MS: Millis = 300;

/// Part of a route's latency target for which a body waits for memory: one in this many.
const MEMORY_WAIT_FRACTION: Millis = 4;

/// An admitted call.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) head: CallHead,
    pub(crate) body: CallBody,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) route: Arc<CallRoute>,
    pub(crate) service: Arc<ServiceSpec>,
    pub(crate) holder: Option<KeyHolder>,
    pub(crate) received: Millis,
    pub(crate) deadline: Millis,
    /// Time since its caller first asked, as far as its deadline shows.
    pub(crate) age_ms: Millis,
    /// What another node said of it that received it from its caller.
    pub(crate) forwarded: Option<ForwardedCall>,
    fingerprint: OnceLock<RequestFingerprint>,
    parts: OnceLock<Arc<[PartKey]>>,
    _held: HeldBytes,
}

impl Call {
    /// Time until the deadline.
    pub(crate) fn remaining(&self, now: Millis) -> Millis {
        self.deadline.saturating_sub(now)
    }

    /// Time until this node gives it up: its deadline, or the end of a stop.
    pub(crate) fn time_left(&self, shared: &Shared) -> Millis {
        self.deadline.min(shared.stop.at()).saturating_sub(shared.now())
    }

    /// Why it is given up now.
    pub(crate) fn expiry(&self, shared: &Shared) -> RefusalKind {
        RefusalKind::expiry(shared, self.deadline)
    }

    /// Most engines that this node may send it to.
    pub(crate) fn attempts(&self) -> u32 {
        let left = self.forwarded.map_or(u32::MAX, |f| f.attempts);
        self.route.attempts.min(left)
    }

    /// Its fingerprint; computed on first use, as most calls never need it.
    pub(crate) fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            let account = self.holder.as_ref().map(|h| h.account.as_str());
            let body = &self.body;
            RequestFingerprint::new(body.method.as_str(), &body.target, account, &body.content)
        })
    }

    /// Parts of its prompt. The last one may belong to a session, whose requests share it.
    pub(crate) fn parts(&self) -> &Arc<[PartKey]> {
        let key = |id: &Arc<str>| self.part_key(PromptPart::new(id));
        self.parts.get_or_init(|| self.head.prompt_parts.iter().map(key).collect())
    }

    /// A part of the prompts that its account sends to its service.
    pub(crate) fn part_key(&self, part: PromptPart) -> PartKey {
        let account = self.holder.as_ref().map_or(0, |h| Demand::key(&h.account));
        PartKey { service: Demand::key(&self.service.name), part, account }
    }

    /// Its priority rank; 0 is the highest.
    pub(crate) fn rank(&self) -> u8 {
        self.catalog.rank(&self.service.name, &self.route, self.holder.as_ref())
    }
}

/// Reads a call and checks it against the configuration in force.
pub(crate) async fn admit(
    traffic: &Traffic,
    request: Request<Incoming>,
    received: Millis,
    forwarded: Option<ForwardedCall>,
) -> Result<Call, Refusal> {
    let (parts, body) = request.into_parts();
    let head = match traffic.clients.dialect.call(&parts) {
        Ok(head) => head,
        Err(e) => return Err(Refusal::unsent(RefusalKind::BadHead, "", e.to_string())),
    };
    let id = head.id.clone();
    let shared = &traffic.shared;
    if !shared.is_informed() {
        let detail = "what is held back and the limits of engines have not been read yet";
        return Err(Refusal::unsent(RefusalKind::Unconfigured, &id, detail));
    }
    let path = parts.uri.path();
    let waited = await_proof(shared, &head, path, received).await;
    // Before the configuration: one that is replaced meanwhile must not look younger than it is.
    let fresh = **shared.config_freshness.load();
    let Some(catalog) = shared.catalog.load_full() else {
        let detail = "no configuration has been loaded yet";
        return Err(Refusal::unsent(RefusalKind::Unconfigured, &id, detail));
    };
    let is_older =
        |f: &ForwardedCall| f.config.era() == catalog.revision.era() && f.config > catalog.revision;
    if forwarded.as_ref().is_some_and(is_older) {
        let detail = "the configuration here is older than that of the node that forwarded it";
        return Err(Refusal::unsent(RefusalKind::Unconfigured, &id, detail));
    }
    // A configuration that may be outdated does not deny calls.
    let current = fresh.covers(received, shared.config_proofs.state().max_age);
    let deny = |kind, error: LookupError| match current && error.is_denial() {
        true => Refusal::unsent(kind, &id, error.to_string()),
        false => Refusal::unsent(RefusalKind::Unconfigured, &id, error.to_string()),
    };
    let route = catalog.route(&head.host, path).map_err(|e| deny(RefusalKind::NoRoute, e))?.clone();
    let holder = catalog
        .authenticate(&route, head.key.as_deref())
        .map_err(|e| deny(RefusalKind::BadKey, e))?
        .cloned();
    let limit = head.deadline.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    let deadline = received + limit;
    let age_ms = match (forwarded, head.deadline) {
        (Some(forwarded), _) => forwarded.age_ms,
        (None, Some(_)) => traffic.usual_deadlines.age(&route.name, limit, received),
        (None, None) => 0,
    };
    let of_caller = |refusal: Refusal| {
        let rank = catalog.rank(&route.targets[0].service, &route, holder.as_ref());
        refusal.of_caller(holder.as_ref(), rank, age_ms)
    };
    let revoke_ms = shared.settings.load().bounds.revoke_ms.saturating_sub(REVOKE_MARGIN_MS);
    if holder.is_some() && !fresh.covers(received, revoke_ms) {
        let detail = "the known keys are too old to tell whether this one is still valid";
        return Err(of_caller(Refusal::unsent(RefusalKind::StaleKeys, &id, detail)));
    }
    refuse_unproven(&id, waited).map_err(of_caller)?;
    let service = pick_service(&catalog, &route, &id).map_err(of_caller)?;
    shared.old_proof_calls.record(shared, &id, &catalog, received);
    let memory = BodyMemory {
        budget: &shared.contents,
        wait: Duration::from_millis(route.latency_target_ms / MEMORY_WAIT_FRACTION),
    };
    let reading = read_body(body, catalog.limits, memory, &id);
    let Some(content) = shared.run_until(deadline, reading).await else {
        let (kind, detail) = match RefusalKind::expiry(shared, deadline) {
            RefusalKind::Stopping => {
                (RefusalKind::Stopping, "the body did not arrive before this node stops")
            }
            kind => (kind, "the body did not arrive before the call's deadline"),
        };
        return Err(of_caller(Refusal::unsent(kind, &id, detail)));
    };
    let (content, held) = content.map_err(of_caller)?;
    let target = parts.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
    let body = CallBody { method: parts.method, target, headers: parts.headers, content };
    let (fingerprint, prompt_parts) = (OnceLock::new(), OnceLock::new());
    let call = Call {
        head,
        body,
        catalog,
        route,
        service,
        holder,
        received,
        deadline,
        age_ms,
        forwarded,
        fingerprint,
        parts: prompt_parts,
        _held: held,
    };
    hold::admit(shared, &call)?;
    Ok(call)
}

/// Waits until a call may be admitted by the configuration in force, if the last proof of that is old.
async fn await_proof(shared: &Shared, head: &CallHead, path: &str, received: Millis) -> ProofWait {
    if shared.config_proofs.admits(received) {
        return ProofWait::Admitted;
    }
    // There is nothing to prove.
    let Some(catalog) = shared.catalog.load_full() else { return ProofWait::Admitted };
    let target = catalog.route(&head.host, path).ok().map(|route| route.latency_target_ms);
    shared.config_proofs.wait(shared, &head.id, target, received).await
}

/// Refuses a call that found no proof.
fn refuse_unproven(id: &str, waited: ProofWait) -> Result<(), Refusal> {
    let detail = match waited {
        ProofWait::Admitted => return Ok(()),
        ProofWait::Unanswered => {
            "the store did not tell in time whether this node's configuration is the newest"
        }
        ProofWait::Unattempted => "this node could not ask whether its configuration is the newest",
    };
    let refusal = Refusal::unsent(RefusalKind::Unconfigured, id, detail);
    Err(refusal.with_retry_after(UNPROVEN_RETRY_MS))
}

fn pick_service(
    catalog: &Catalog,
    route: &CallRoute,
    id: &str,
) -> Result<Arc<ServiceSpec>, Refusal> {
    let name = route.target(rand::rng().random_range(0.0..1.0));
    catalog.services.get(name).cloned().ok_or_else(|| {
        let detail = format!("service {name} of the route is not in the configuration");
        Refusal::unsent(RefusalKind::NoEngine, id, detail)
    })
}

/// Memory for a body, and how long it may be waited for.
#[derive(Clone, Copy)]
struct BodyMemory<'a> {
    budget: &'a ContentBudget,
    wait: Duration,
}

impl BodyMemory<'_> {
    /// Waits until a body may hold `bytes`.
    async fn grow(self, held: &mut HeldBytes, bytes: usize) -> Result<(), Elapsed> {
        tokio::time::timeout(self.wait, self.budget.grow_body(held, bytes)).await
    }
}

/// Reads the whole body, so that it can be sent again, into memory that is taken first.
async fn read_body(
    mut body: Incoming,
    limits: CallerLimits,
    memory: BodyMemory<'_>,
    id: &str,
) -> Result<(Bytes, HeldBytes), Refusal> {
    let cut = |detail: &str| Refusal::unsent(RefusalKind::CutBody, id, detail);
    let too_large = || {
        let detail = format!("the body is larger than {} bytes", limits.max_body_bytes);
        Refusal::unsent(RefusalKind::TooLarge, id, detail)
    };
    let declared = body.size_hint().lower() as usize;
    if declared > limits.max_body_bytes {
        discard(&mut body, limits).await;
        return Err(too_large());
    }
    let no_memory = || {
        let detail = "this node has no memory left for the body";
        Refusal::unsent(RefusalKind::NoMemory, id, detail)
    };
    let mut held = HeldBytes::default();
    memory.grow(&mut held, declared).await.map_err(|_| no_memory())?;
    let idle = Duration::from_millis(limits.idle_timeout_ms);
    let mut content = BytesMut::with_capacity(declared);
    loop {
        let frame = match tokio::time::timeout(idle, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(cut("the body is truncated")),
            Ok(None) => return Ok((content.freeze(), held)),
            Err(_) => return Err(cut("nothing of the body arrived within the idle timeout")),
        };
        let Ok(piece) = frame.into_data() else { continue };
        if content.len() + piece.len() > limits.max_body_bytes {
            return Err(too_large());
        }
        let length = content.len() + piece.len();
        memory.grow(&mut held, length).await.map_err(|_| no_memory())?;
        content.extend_from_slice(&piece);
    }
}

/// Reads a body that is too large up to the limit on its size: its caller may read no answer before.
async fn discard(body: &mut Incoming, limits: CallerLimits) {
    let idle = Duration::from_millis(limits.idle_timeout_ms);
    let mut length = 0;
    while length <= limits.max_body_bytes {
        match tokio::time::timeout(idle, body.frame()).await {
            Ok(Some(Ok(frame))) => length += frame.data_ref().map_or(0, Bytes::len),
            Ok(Some(Err(_)) | None) | Err(_) => return,
        }
    }
}
