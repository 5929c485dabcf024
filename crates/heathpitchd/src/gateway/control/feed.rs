//! Controller of what this node hears from the planner of its failure domain.
//!
//! One node of a failure domain, its planner, reads the store; the others ask it for changes of
//! engines, the revision of the configuration and the age of its proof. A node that hears nothing,
//! or hears that the planner's own store is away, reads the store itself.
//!
//! What is heard counts from the moment at which it was asked for, so that neither a slow link nor
//! a planner that stood still makes it look newer than it is.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use heathpitch_core::{Millis, Name, Revision};
use heathpitch_net::{EdgeError, FeedAsk, FeedClient, FeedTold};

use super::state::{Control, Fleet};
use super::{config, engines, reports};
use crate::gateway::event::GatewayEvent;
use crate::gateway::shared::prove;

/// Time between two questions: a small part of the time for which a leaving engine may still be
/// sent work, and 175 questions a second for a planner with 70 followers.
const ASK: Duration = Duration::from_millis(400);
/// The same while a node begins, and when what was told last is about to be too old.
const ASK_SOON: Duration = Duration::from_millis(60);
/// Time from its begin for which a node that has read the store once waits to be told before it
/// watches the store itself, milliseconds: that in which a planner is found.
const START: Millis = 900;
/// Time for a connection and for an answer: many times the delay inside a failure domain.
const LIMIT: Duration = Duration::from_millis(300);
/// Age beyond which the planner's proof shows that its store does not answer it, milliseconds: one and a
/// half of its proofs, and below the age up to which calls are denied.
const PROOF_OLD: Millis = 1_600;
/// Age beyond which the planner's list of engines is not told, milliseconds: two watches, with a change
/// at the end of the first one and the time to gather changes between them. With the limit of a
/// question and a read of the list (1.9 s) below the shortest time for which a leaving engine may be
/// sent work. A proof of the configuration says nothing of the list.
const LIST_OLD: Millis = 1_500;

/// The planner of a failure domain, as others reach it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Planner {
    pub(super) node: Name,
    pub(super) address: SocketAddr,
}

/// The planner asked, and what was told so far.
#[derive(Default)]
struct Source {
    planner: Option<Planner>,
    client: Option<FeedClient>,
    next: FeedAsk,
    /// Until when the list of engines that was told last is young enough.
    until: Millis,
}

impl Source {
    /// Time to the next question: before the list is too old, so that one told at the end of its
    /// time is not kept for another while.
    fn pause(&self, control: &Control) -> Duration {
        let left = Duration::from_millis(self.until.saturating_sub(control.now()));
        match () {
            () if control.starting.get() => ASK_SOON,
            () if control.fed() => left.clamp(ASK_SOON, ASK),
            () => ASK,
        }
    }
}

/// Asks the planner again and again.
pub(super) async fn follow(control: Rc<Control>) {
    let mut source = Source::default();
    let begun = control.now();
    loop {
        tokio::time::sleep(source.pause(&control)).await;
        let planner = control.other_planner();
        if planner != source.planner {
            source = Source { planner, ..Source::default() };
        }
        match source.planner.clone() {
            Some(planner) => hear(&control, &mut source, &planner).await,
            None => control.feed(None, "no other node plans this failure domain"),
        }
        if control.fed() || control.plans() || control.now() >= begun + START {
            control.started();
        }
    }
}

async fn hear(control: &Rc<Control>, source: &mut Source, planner: &Planner) {
    let heard = ask(control, source, planner.address).await;
    let label = if heard.is_ok() { "ok" } else { "failed" };
    control.shared.metrics.feed.with_label_values(&[label]).inc();
    match heard {
        Ok((sent, told)) => take(control, source, planner, sent, told),
        Err(e) => control.feed(None, &e.to_string()),
    }
}

/// Tells a follower what it does not know yet.
pub(super) fn answer(control: &Control, ask: FeedAsk) -> FeedTold {
    if ask.reports {
        let reports = reports::told(control, Some(&control.domain()));
        return FeedTold { reports, ..FeedTold::default() };
    }
    let (shared, now) = (&control.shared, control.now());
    let ages = (shared.fresh.load().age(now), shared.listed.load().age(now));
    let (Some(catalog), (Some(proof_ms), Some(list_ms))) = (shared.catalog.load_full(), ages)
    else {
        return FeedTold::default();
    };
    let serial = if ask.life == control.life { ask.serial } else { 0 };
    let delta = control.mirror.borrow().since(serial);
    let config = if ask.config { control.document.borrow().clone() } else { None };
    FeedTold {
        live: !control.fed() && proof_ms < PROOF_OLD && list_ms < LIST_OLD,
        life: control.life,
        serial: delta.serial,
        whole: delta.whole,
        items: delta.items,
        gone: delta.gone,
        revision: catalog.revision,
        proof_ms,
        list_ms,
        config,
        nodes: control.fleet.get().map_or(0, |f| f.nodes),
        beside: control.fleet.get().map_or(0, |f| f.beside),
        reports: reports::told(control, None),
    }
}

/// Asks on the kept connection, or on a new one; gives also when that was.
async fn ask(
    control: &Control,
    source: &mut Source,
    address: SocketAddr,
) -> Result<(Millis, FeedTold), EdgeError> {
    if let Some(client) = &source.client {
        let sent = control.now();
        match client.ask(source.next, LIMIT).await {
            Ok(told) => return Ok((sent, told)),
            Err(e) => log::info!("the connection to the planner was lost: {e}"),
        }
    }
    source.client = None;
    let client = FeedClient::open(address, LIMIT).await?;
    let sent = control.now();
    let told = client.ask(source.next, LIMIT).await?;
    source.client = Some(client);
    Ok((sent, told))
}

/// Takes what was told in answer to a question sent at `sent`.
fn take(
    control: &Rc<Control>,
    source: &mut Source,
    planner: &Planner,
    sent: Millis,
    told: FeedTold,
) {
    if !told.live {
        return control.feed(None, "the planner does not hear from the store");
    }
    source.next = FeedAsk { life: told.life, serial: told.serial, ..FeedAsk::default() };
    if told.nodes > 0 {
        control.fleet.set(Some(Fleet { nodes: told.nodes, beside: told.beside }));
    }
    take_engines(control, &told);
    reports::hear(control, &told.reports, sent);
    let proven = sent.saturating_sub(told.list_ms);
    prove(&control.shared.listed, proven);
    source.until = proven + LIST_OLD;
    if let Some(item) = &told.config {
        config::adopt(control, item);
    }
    match control.revision() >= told.revision {
        true => prove(&control.shared.fresh, sent.saturating_sub(told.proof_ms)),
        false => fetch(control, source, told.revision),
    }
    control.feed(Some(&planner.node), "the planner answers");
}

fn take_engines(control: &Control, told: &FeedTold) {
    let mut kept: HashSet<Name> = HashSet::new();
    for item in &told.items {
        kept.extend(engines::put(control, item));
    }
    let gone: Vec<Name> = match told.whole {
        true => control.entries.borrow().keys().filter(|id| !kept.contains(*id)).cloned().collect(),
        false => told.gone.iter().filter_map(|key| engines::id(control, key)).collect(),
    };
    gone.iter().for_each(|id| engines::remove(control, id, "the planner lists it no longer"));
    if told.whole || !told.items.is_empty() || !gone.is_empty() {
        control.publish();
    }
}

/// Reads a newer configuration: from the store, whose link is wider, and else from the planner.
fn fetch(control: &Rc<Control>, source: &mut Source, revision: Revision) {
    source.next.config = control.fetching.replace(Some(revision)) == Some(revision);
    let control = control.clone();
    tokio::task::spawn_local(async move { config::read(&control).await });
}

/// # Feed
impl Control {
    /// Takes note of whether this node is told what the store holds, and by whom.
    fn feed(&self, planner: Option<&Name>, why: &str) {
        if planner == self.heard.borrow().as_ref() {
            return;
        }
        let before = self.heard.replace(planner.cloned());
        GatewayEvent::FeedChanged { planner: planner.cloned(), why: why.to_owned() }.log();
        if before.is_some() != planner.is_some() {
            self.turned.notify_waiters();
        }
    }

    /// Ends the time in which this node waits to be told for the first time.
    fn started(&self) {
        if self.starting.replace(false) {
            self.turned.notify_waiters();
        }
    }

    /// The planner of this failure domain, unless it is this node itself or nodes are not to talk to
    /// each other.
    fn other_planner(&self) -> Option<Planner> {
        self.shared.peer?;
        let own = self.shared.settings.load().node.clone();
        self.planner.borrow().clone().filter(|p| p.node != own)
    }

    /// Revision of the configuration in force.
    fn revision(&self) -> Revision {
        self.shared.catalog.load().as_ref().map_or(Revision(0), |c| c.revision)
    }
}

/// Reads a planner's entry in the store: its node and, if others may ask it, its address.
pub(super) fn read_entry(value: &str) -> Option<Planner> {
    let (node, address) = value.split_once(' ')?;
    Some(Planner { node: node.parse().ok()?, address: address.parse().ok()? })
}

/// A planner's entry in the store.
pub(super) fn entry(node: &Name, address: Option<SocketAddr>) -> Arc<str> {
    match address {
        Some(address) => format!("{node} {address}").into(),
        None => node.as_str().into(),
    }
}
