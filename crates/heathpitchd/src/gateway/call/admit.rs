//! Filter: reads a call, finds its route and client account, and lets it in.

use std::sync::{Arc, OnceLock};

use heathpitch_core::{CallRoute, Catalog, KeyHolder, Millis, RequestFingerprint, ServiceSpec};
use heathpitch_net::{BodyError, CallBody, CallHead, read};
use heathpitch_policy::Quarantine;
use hyper::Request;
use hyper::body::{Body as _, Incoming};
use rand::Rng;

use super::Traffic;
use super::refused::{Refused, RefusedKind};
use crate::gateway::quarantine_snapshot::HeldBack;
use crate::gateway::shared::{Notice, Shared};

/// Age of a proof beyond which the configuration in force is not believed to be the newest, so
/// that a call it does not know is put off rather than denied, milliseconds.
const DENIAL_AGE: Millis = 1_900;
/// Part of the time agreed for removed keys that is not used: the store may have answered before
/// the moment counted from.
const REVOKE_MARGIN: Millis = 300;

/// A call that was let in.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) head: CallHead,
    pub(crate) body: CallBody,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) route: Arc<CallRoute>,
    pub(crate) service: Arc<ServiceSpec>,
    pub(crate) holder: Option<KeyHolder>,
    pub(crate) received: Millis,
    pub(crate) until: Millis,
    print: OnceLock<RequestFingerprint>,
}

impl Call {
    /// Time left at `now`.
    pub(crate) fn left(&self, now: Millis) -> Millis {
        self.until.saturating_sub(now)
    }

    /// Its print; worked out when it is first asked for, which most calls never are.
    pub(crate) fn print(&self) -> RequestFingerprint {
        *self.print.get_or_init(|| {
            let account = self.holder.as_ref().map(|h| h.account.as_str());
            let body = &self.body;
            RequestFingerprint::new(body.method.as_str(), &body.target, account, &body.content)
        })
    }

    /// Its rank, 0 first.
    pub(crate) fn rank(&self) -> u8 {
        self.holder.as_ref().and_then(|h| h.rank).unwrap_or(self.route.rank)
    }
}

/// Reads a call and checks it against the configuration in force.
pub(crate) async fn admit(
    traffic: &Traffic,
    request: Request<Incoming>,
    received: Millis,
) -> Result<Call, Refused> {
    let (parts, body) = request.into_parts();
    let head = match traffic.edges.dialect.call(&parts) {
        Ok(head) => head,
        Err(e) => return Err(Refused::unsent(RefusedKind::BadHead, "", e.to_string())),
    };
    let id = head.id.clone();
    let shared = &traffic.shared;
    let Some(catalog) = shared.catalog.load_full() else {
        let detail = "no configuration is known yet";
        return Err(Refused::unsent(RefusedKind::Unconfigured, &id, detail));
    };
    let current = shared.config_freshness.load().covers(received, DENIAL_AGE);
    let deny = |kind, detail: String| match current {
        true => Refused::unsent(kind, &id, detail),
        false => Refused::unsent(RefusedKind::Unconfigured, &id, detail),
    };
    let route = catalog
        .route(&head.host, parts.uri.path())
        .map_err(|e| deny(RefusedKind::NoRoute, e.to_string()))?
        .clone();
    let holder = catalog
        .authenticate(&route, head.key.as_deref())
        .map_err(|e| deny(RefusedKind::BadKey, e.to_string()))?
        .cloned();
    let revoke = shared.settings.load().bounds.revoke_ms.saturating_sub(REVOKE_MARGIN);
    if holder.is_some() && !shared.config_freshness.load().covers(received, revoke) {
        let detail = "whether the key still holds is not known";
        return Err(Refused::unsent(RefusedKind::StaleKeys, &id, detail));
    }
    let service = service(&catalog, &route, &id)?;
    let limit = head.deadline.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    let until = received + limit;
    let content = content(body, &catalog, &id).await?;
    let target = parts.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
    let body = CallBody { method: parts.method, target, headers: parts.headers, content };
    let print = OnceLock::new();
    let call = Call { head, body, catalog, route, service, holder, received, until, print };
    match shared.quarantine.load().held_back(|| call.print()) {
        Some(held) => Err(hold_back(shared, &call, held)),
        None => Ok(call),
    }
}

/// Refuses a call under which engines end, until its request is let through again.
///
/// With a status that says that it did not run, which is true of this call, and with the time after which
/// it may: one that denies it for good would be wrong once the engines are mended.
fn hold_back(shared: &Shared, call: &Call, held: &HeldBack) -> Refused {
    let left = held.until.saturating_sub(shared.now());
    if Quarantine::is_renewal_due(left) {
        shared.notify(Notice::HeldBack(call.print()));
    }
    let detail = held.to_string();
    Refused::unsent(RefusedKind::HeldBack, &call.head.id, detail).until(left)
}

fn service(catalog: &Catalog, route: &CallRoute, id: &str) -> Result<Arc<ServiceSpec>, Refused> {
    let name = route.target(rand::rng().random_range(0.0..1.0));
    catalog.services.get(name).cloned().ok_or_else(|| {
        let detail = format!("service {name} of the route is not declared");
        Refused::unsent(RefusedKind::NoEngine, id, detail)
    })
}

/// The whole body, so that it can be sent again.
async fn content(body: Incoming, catalog: &Catalog, id: &str) -> Result<bytes::Bytes, Refused> {
    if body.is_end_stream() {
        return Ok(bytes::Bytes::new());
    }
    let limits = catalog.limits;
    let time = std::time::Duration::from_millis(limits.idle_timeout_ms);
    match tokio::time::timeout(time, read(body, limits.max_body_bytes)).await {
        Ok(Ok(content)) => Ok(content),
        Ok(Err(BodyError::TooLarge)) => {
            let detail = format!("the body has more than {} bytes", limits.max_body_bytes);
            Err(Refused::unsent(RefusedKind::TooLarge, id, detail))
        }
        Ok(Err(e @ BodyError::Truncated)) => {
            Err(Refused::unsent(RefusedKind::CutBody, id, e.to_string()))
        }
        Err(_) => {
            let detail = "the body did not come in time";
            Err(Refused::unsent(RefusedKind::CutBody, id, detail))
        }
    }
}
