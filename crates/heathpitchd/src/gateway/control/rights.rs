//! Controller of rights to send requests to engines that name a limit.
//!
//! The node that plans an engine's failure domain hands them out, one a request, as long as nobody else can: its lease
//! is proven, or, while the store is away, more than half of the domain's nodes still ask it. One that begins to plan waits
//! until an earlier one has ceased by either. Where nobody can be reached nodes draw a small part for
//! themselves ([`EngineLimit`](heathpitch_policy::EngineLimit)). Nodes tell each other of limits with each question and answer
//! of the feed, as of engines that leave.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use heathpitch_core::{EngineEntry, Millis, Name, Rate};
use heathpitch_net::{FeedClient, FeedLimit, RightsRequest, RightsResponse, RpcError};
use heathpitch_policy::{EngineIncarnation, EngineLimit, LimitEntry, LimitUpdate, Right, Source};
use rand::Rng;
use tokio::task::spawn_local;

use super::state::Control;
use crate::gateway::event::GatewayEvent;
use crate::gateway::quarantine_snapshot::incarnation_of;
use crate::gateway::shared::{RightsGrant, RightsWanted};

/// Limits told in one message, some forty bytes each.
const TOLD_MOST: usize = 256;
/// Time for which a node has planned before it hands out rights, milliseconds: a planner before it has heard of it by
/// then, or its followers have ceased to count.
const QUIET: Millis = 1_300;
/// Time for a question for rights: many times the delay between failure domains, and little beside the time
/// within which answers are wanted.
const LIMIT: Duration = Duration::from_millis(60);
/// The same with a new connection.
const LIMIT_NEW: Duration = Duration::from_millis(100);
/// Time for which a node that does not answer, or hands out nothing, is not asked, milliseconds.
const REST: Millis = 300;
/// Time between two looks at what is old.
const TICK: Duration = Duration::from_secs(5);

/// The node that hands out rights for the engines of one failure domain, as far as this one knows.
#[derive(Default)]
pub(super) struct Hander {
    /// Where it was asked last, on a connection that is kept.
    client: Option<(SocketAddr, Rc<FeedClient>)>,
    /// Whether it handed out rights when it was asked last, once it was.
    active: Option<bool>,
    /// Until when it is not asked.
    rest: Millis,
}

/// # What engines say, and nodes tell each other
impl Control {
    /// An engine named another limit to this node than before, or none any more.
    pub(super) fn engine_limited(&self, life: &EngineIncarnation) {
        let Some(wish) = self.wishes.borrow().get(&life.engine).cloned() else { return };
        let (now, limit) = (self.now(), wish.limit());
        let at = now.saturating_sub(limit.age(now));
        self.learn_limit(life, limit.rate(), at, "its own answer");
    }

    fn learn_limit(
        &self,
        life: &EngineIncarnation,
        rate: Option<Rate>,
        at: Millis,
        by: &'static str,
    ) -> bool {
        let new = self.limits.borrow_mut().learn(life.clone(), rate, at);
        if new {
            if rate.is_none() {
                self.rights.borrow_mut().remove(life);
            }
            let age_ms = self.now().saturating_sub(at);
            let engine = life.engine.clone();
            GatewayEvent::EngineLimited { engine, limit: rate, age_ms, by }.log();
        }
        new
    }

    /// Limits that others have not heard of who know them up to `serial`; and up to where they do then.
    pub(super) fn limits_since(&self, serial: u64) -> (Vec<FeedLimit>, u64) {
        let (new, upto) = self.limits.borrow().since(serial, TOLD_MOST, self.now());
        let told = |LimitUpdate { life, rate, age }| FeedLimit {
            engine: life.engine,
            born: life.born,
            rate,
            age_ms: age,
        };
        (new.into_iter().map(told).collect(), upto)
    }

    /// Takes what another node told in a message that was sent at `sent` or later.
    pub(super) fn hear_limits(&self, limits: &[FeedLimit], sent: Millis) {
        for told in limits {
            let life = EngineIncarnation { engine: told.engine.clone(), born: told.born };
            // A limit may be as young as it was when it was told, its end as old as the message may be.
            let from = if told.rate.is_some() { self.now() } else { sent };
            let at = from.saturating_sub(told.age_ms);
            if self.learn_limit(&life, told.rate, at, "another node") {
                self.pass_limit(&life, told.rate, at);
            }
        }
    }

    /// Takes a limit that a record of the store holds.
    pub(super) fn restore_limit(&self, life: &EngineIncarnation, limit: LimitEntry) {
        let now = self.now();
        let new = self.limits.borrow_mut().restore(life.clone(), limit, now);
        if limit.in_probes
            && let Some(wish) = self.wishes.borrow().get(&life.engine)
        {
            wish.limit().set_in_probes();
        }
        if !new {
            return;
        }
        let Some((rate, at)) = self.limits.borrow().of(life) else { return };
        let engine = life.engine.clone();
        let age_ms = now.saturating_sub(at);
        GatewayEvent::EngineLimited { engine, limit: Some(rate), age_ms, by: "the store" }.log();
        self.pass_limit(life, Some(rate), at);
    }

    /// Lets traffic know what was heard at `at` of an engine's limit.
    fn pass_limit(&self, life: &EngineIncarnation, rate: Option<Rate>, at: Millis) {
        let entry = self.entries.borrow().get(&life.engine).cloned();
        if let Some(entry) = entry.filter(|e| e.born == life.born) {
            self.wish_of(&entry).limit().learn(rate, at);
        }
    }
}

/// # Handing out
impl Control {
    /// Whether this node hands out rights for the engines of its failure domain.
    fn hands_out(&self) -> bool {
        let now = self.now();
        let settled = self.planned().is_some_and(|since| now >= since + QUIET);
        let asked = 2 * (self.followers.borrow().present(now) + 1) > self.beside();
        settled && !self.stopping() && (!self.lease_doubted() || asked)
    }

    /// Whether an engine takes less than is asked for.
    pub(super) fn binds(&self, engine: &EngineEntry) -> bool {
        let life = incarnation_of(engine);
        self.limits.borrow().of(&life).is_some() && self.rights.borrow().binds(&life)
    }

    /// Hands out rights to a node that asks for them.
    pub(super) fn hand_out(&self, ask: &RightsRequest) -> RightsResponse {
        let now = self.now();
        self.hear_limits(std::slice::from_ref(&ask.limit), now);
        if !self.hands_out() {
            return RightsResponse::default();
        }
        let life = EngineIncarnation { engine: ask.limit.engine.clone(), born: ask.limit.born };
        let limit = self.limits.borrow().of(&life);
        let Some((rate, _)) = limit else {
            // Its limit is over, as the one asking will hear.
            return RightsResponse { active: true, issued: ask.requested, wait_ms: 0 };
        };
        let draw = rand::rng().random_range(0.0..1.0);
        let mut rights = self.rights.borrow_mut();
        let grant = rights.issue(&life, rate, &ask.node, ask.requested, draw, now);
        RightsResponse { active: true, issued: grant.given, wait_ms: grant.wait }
    }
}

/// Seeks rights for a call of this node.
pub(super) fn seek(control: &Rc<Control>, wanted: RightsWanted) {
    let control = control.clone();
    spawn_local(async move {
        let granted = ask(&control, &wanted.engine, wanted.count).await;
        // One that waits no longer finds what was handed out the next time.
        if let Err(RightsGrant::Issued(count, sent)) = wanted.reply.send(granted) {
            let now = control.now();
            control.wish_of(&wanted.engine).limit().add_rights(count, sent, now);
        }
    });
}

/// A right to ask an engine something that takes a slot there; none if it needs none.
///
/// # Errors
///
/// What came instead of a right.
pub(super) async fn right(
    control: &Control,
    engine: &EngineEntry,
) -> Result<Option<Right>, RightsGrant> {
    let wish = control.wish_of(engine);
    if wish.limit().rate().is_none() {
        return Ok(None);
    }
    if let Some(right) = EngineLimit::take(&wish, control.now()) {
        return Ok(Some(right));
    }
    match ask(control, engine, 1).await {
        granted @ RightsGrant::Issued(count, sent) => {
            EngineLimit::receive(&wish, count, sent, control.now()).map(Some).ok_or(granted)
        }
        granted => Err(granted),
    }
}

/// Asks the node that hands out rights for an engine.
async fn ask(control: &Control, engine: &EngineEntry, count: u16) -> RightsGrant {
    let sent = control.now();
    let wish = control.wish_of(engine);
    let (rate, age_ms) = (wish.limit().rate(), wish.limit().age(sent));
    let ask = RightsRequest {
        node: control.node(),
        limit: FeedLimit { engine: engine.id.clone(), born: engine.born, rate, age_ms },
        requested: count,
    };
    let told = match engine.domain == control.domain() && control.plans() {
        true => Ok(control.hand_out(&ask)),
        false => ask_planner(control, &engine.domain, &ask).await,
    };
    let granted = match told {
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

/// Asks the planner of another failure domain, or of this one, on the kept connection or on a new one.
async fn ask_planner(
    control: &Control,
    domain: &Name,
    ask: &RightsRequest,
) -> Result<RightsResponse, RpcError> {
    let none = || RpcError::Connect("no planner is known, or it did not answer".to_owned());
    let planner = control.sources.borrow().planner(domain).map(|p| p.source.clone());
    let (Some(planner), Some(_)) = (planner, control.shared.peer) else { return Err(none()) };
    let kept = {
        let mut handers = control.handers.borrow_mut();
        let hander = handers.entry(domain.clone()).or_default();
        let same = |(at, _): &&(SocketAddr, _)| *at == planner.address;
        let kept = hander.client.as_ref().filter(same).map(|(_, client)| client.clone());
        if kept.is_some() && control.now() < hander.rest {
            return Err(none());
        }
        kept
    };
    let told = asked(kept, &planner, ask).await;
    let mut handers = control.handers.borrow_mut();
    let hander = handers.entry(domain.clone()).or_default();
    let (active, why) = match &told {
        Ok((told, _)) if told.active => (true, "it answers".to_owned()),
        Ok(_) => (false, "it cannot know that it is the only one".to_owned()),
        Err(e) => (false, e.to_string()),
    };
    if !active {
        hander.rest = control.now() + REST;
    }
    if hander.active.replace(active) != Some(active) {
        let (planner, domain) = (planner.node.clone(), domain.clone());
        GatewayEvent::RightsChanged { planner, domain, active, why }.log();
    }
    let (told, client) = told?;
    hander.client = Some((planner.address, client));
    Ok(told)
}

async fn asked(
    kept: Option<Rc<FeedClient>>,
    planner: &Source,
    ask: &RightsRequest,
) -> Result<(RightsResponse, Rc<FeedClient>), RpcError> {
    if let Some(client) = kept {
        match client.request_rights(ask, LIMIT).await {
            Ok(told) => return Ok((told, client)),
            Err(e) => log::info!("the connection to node {} was lost: {e}", planner.node),
        }
    }
    let client = Rc::new(FeedClient::open(planner.address, LIMIT_NEW).await?);
    let told = client.request_rights(ask, LIMIT).await?;
    Ok((told, client))
}

/// Forgets what is old, for as long as this node runs.
pub(super) async fn run(control: Rc<Control>) {
    loop {
        tokio::time::sleep(TICK).await;
        let now = control.now();
        control.rights.borrow_mut().expire(now);
        let entries = control.entries.borrow();
        // Limits that the store keeps are known before its list of engines.
        if entries.is_empty() {
            continue;
        }
        let wishes = control.wishes.borrow();
        let kept = |life: &EngineIncarnation| {
            entries.contains_key(&life.engine) || wishes.contains_key(&life.engine)
        };
        control.limits.borrow_mut().retain(kept, now);
    }
}
