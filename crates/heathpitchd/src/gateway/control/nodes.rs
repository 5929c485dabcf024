//! Controller of the lease of this failure domain's planner, and of the count of the fleet's nodes.
//!
//! One node of a failure domain plans it, by a lease. A planner that the store does not answer goes on
//! planning until it sees another one: orders hold only for the state they were made for, so two
//! planners cost orders, never correctness, and a domain that is cut off is still planned.
//!
//! Who follows a planner counts for its failure domain, and planners tell each other. No node writes an
//! entry of its own: that took three calls on the store at each start.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use heathpitch_core::{GatewaySettings, Millis, Name, Revision};
use heathpitch_net::{Item, ItemChange, StoreError, Write};
use heathpitch_policy::{DomainPlanner, FleetStart, Source};
use rand::Rng;

use super::state::{Control, Fleet};
use super::{limit_records, quarantine};
use crate::gateway::event::GatewayEvent;

/// Prefix of all that nodes write.
const ROOT: &str = "heathpitch/";
/// Prefix of the planners' leases; the value is the node that plans and its address for others.
const PLANNERS: &str = "heathpitch/planners/";
/// Time for which a planner's lease holds without a renewal, milliseconds: three renewals.
pub(super) const PLANNER_TTL: Millis = 2_400;
/// Time between two renewals of the planner's lease.
const PLANNER_RENEW: Duration = Duration::from_millis(700);
/// Longest wait before a node asks for a free planner's lease, milliseconds: nodes ask one after
/// the other, many times the store's answer apart.
const STAGGER: Millis = 200;
/// Time that a node whose VM is small leaves to the others, milliseconds: theirs, and two answers.
const SMALL: Millis = 250;
/// Link from which a VM can carry a planner's work, Mbit/s: sixty followers that begin together are told
/// 30 kB each, twice over, within 0.6 s.
const ABLE_MBPS: f64 = 50.0;
/// The same for its share of a core: a planner of sixty followers and fifty engines takes 5 % of one.
const ABLE_CPU: f64 = 0.2;
/// Longest wait of a watch, milliseconds.
const WATCH: Millis = 25_000;
/// Time between two counts of the fleet: its size only sets shares.
const COUNT: Duration = Duration::from_millis(500);
/// Time for which a node has planned once all its followers have asked it, milliseconds.
const COUNT_FIRST: Millis = 1_500;
/// Time between two tries while the store does not answer.
const RETRY: Duration = Duration::from_millis(500);
/// Longest such time; the store's return ends it.
const RETRY_LONGEST: Duration = Duration::from_millis(4_000);

/// Whether a VM can carry a planner's work.
pub(super) fn is_able(settings: &GatewaySettings) -> bool {
    settings.vm.link_mbps >= ABLE_MBPS && settings.vm.cpu_share >= ABLE_CPU
}

/// Keeps knowing who plans, and asks for the lease of this failure domain's planner when it is free.
pub(super) async fn follow(control: Rc<Control>) {
    let key = planner_key(&control.domain());
    let mut retry = RETRY;
    let (first_start, able) = {
        let settings = control.shared.settings.load();
        (settings.first_start, is_able(&settings))
    };
    let start = FleetStart { first_start, able, seeded: !control.seeds.is_empty() };
    control.sources.borrow_mut().schedule_first_lookup(start, control.now(), &mut rand::rng());
    let mut seen = None;
    loop {
        control.claim().await;
        let result = control.call("list", control.edges.store.list(ROOT)).await;
        let Ok(listing) = result else {
            control.pause(retry).await;
            retry = (retry * 2).min(RETRY_LONGEST);
            continue;
        };
        retry = RETRY;
        let mut holder = None;
        for item in &listing.items {
            take(&control, &key, &mut holder, item);
        }
        // One that is found for the first time is asked before its entry is watched.
        let found = holder.as_ref().map(|item| item.revision);
        if found.is_some() && found != seen && !is_own(&control, holder.as_ref()) {
            seen = found;
            control.put_claim_off();
            continue;
        }
        // The watch's connection may be dead, and the planner with it.
        let watched = watch(&control, &key, holder, listing.at);
        let watched = tokio::select! {
            watched = control.until_store_change(watched) => watched,
            () = control.unclaim() => None,
        };
        if watched != Some(Watched::Won) {
            control.pause(RETRY).await;
        }
    }
}

/// Whether an entry is this node's own, of its life before.
fn is_own(control: &Control, holder: Option<&Item>) -> bool {
    holder.and_then(read_entry).is_some_and(|s| s.node == control.node())
}

/// How a watch of planners ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Watched {
    /// This node plans now, and has to know all planners.
    Won,
    /// It was lost, or this node need not watch any more.
    Over,
}

/// Watches the planners, all of them if this node is one.
async fn watch(control: &Control, key: &str, holder: Option<Item>, from: Revision) -> Watched {
    let mut holder = holder;
    let mut at = from;
    while control.claims() {
        let free = match &holder {
            _ if control.plans() || control.stopping() => false,
            None => true,
            Some(item) => is_own(control, Some(item)),
        };
        let own = holder.as_ref().filter(|_| free).map(|item| item.revision);
        if own.is_some() && contend(control, own).await {
            return Watched::Won;
        }
        let prefix = if control.plans() { ROOT } else { key };
        // Who waits longest finds that another one was faster.
        let wait = if free { stagger(&control.shared.settings.load()) } else { WATCH };
        let Ok(watched) = control.watch("planner", prefix, at, wait).await else {
            return Watched::Over;
        };
        for change in &watched.changes {
            match change {
                ItemChange::Put(item) => take(control, key, &mut holder, item),
                ItemChange::Deleted(gone) if &**gone == key => holder = None,
                // A planner is asked until there is another one.
                ItemChange::Deleted(gone) => {
                    quarantine::entry_deleted(control, gone);
                    limit_records::gone(control, gone);
                }
            }
        }
        at = watched.at;
        if free && holder.is_none() && contend(control, None).await {
            return Watched::Won;
        }
    }
    Watched::Over
}

/// Renews the planner's lease for as long as this node plans; ends it when the node stops.
pub(super) async fn renew(control: Rc<Control>) {
    loop {
        control.planning().await;
        tokio::time::sleep(PLANNER_RENEW).await;
        let Some(lease) = control.lease() else { continue };
        if control.stopping() {
            resign(&control, "this node stops");
            control.vacant.set(true);
            // One that cannot be ended runs out by itself.
            let _ = control.call("end", control.edges.store.end(lease)).await;
            continue;
        }
        let sent = control.now();
        let result = control.call("renew", control.edges.store.renew(lease)).await;
        if result.is_ok() {
            control.lease_renewed(sent);
        }
        if matches!(result, Err(StoreError::LeaseExpired)) {
            resign(&control, "the lease is over");
        }
    }
}

/// Counts the nodes of the fleet for as long as this node plans.
pub(super) async fn count(control: Rc<Control>) {
    loop {
        control.planning().await;
        control.followers.borrow_mut().clear();
        let begun = control.now();
        while control.plans() {
            tokio::time::sleep(COUNT).await;
            let now = control.now();
            if control.plans() && now >= begun + COUNT_FIRST {
                count_once(&control, now);
            }
        }
    }
}

fn count_once(control: &Control, now: Millis) {
    let beside = control.followers.borrow().count(now) + 1;
    let domain = control.domain();
    let sources = control.sources.borrow();
    let others = sources.planners().filter(|(d, _)| **d != domain);
    // One that has not told its count yet is as large as this one.
    let besides = control.besides.borrow();
    let others = others.map(|(d, _)| besides.get(d).copied().unwrap_or(beside));
    let fleet = Fleet { nodes: beside + others.sum::<u32>(), beside };
    if control.fleet.replace(Some(fleet)) != Some(fleet) {
        control.publish();
    }
}

/// Asks for the lease of this failure domain's planner, whose entry is absent or has revision `own`;
/// gives whether this node plans now.
async fn contend(control: &Control, own: Option<Revision>) -> bool {
    let settings = control.shared.settings.load_full();
    let ttl = PLANNER_TTL.max(settings.bounds.lease_min_ms);
    let granted = control.call("grant", control.edges.store.grant(ttl)).await;
    let Ok(lease) = granted else { return false };
    let key = planner_key(&settings.domain);
    let value = Bytes::copy_from_slice(entry(&settings.node, control.shared.peer).as_bytes());
    let write = Write {
        conditions: vec![(key.clone(), own.unwrap_or(Revision(0)))],
        puts: vec![(key, value, Some(lease))],
        removals: Vec::new(),
    };
    let written = control.call("contend", control.edges.store.write(write)).await;
    match written {
        Ok(revision) => {
            let address = control.shared.peer.unwrap_or(settings.listen);
            let source = Source { node: settings.node.clone(), address };
            let planner = DomainPlanner { source, revision };
            control.sources.borrow_mut().learn_planner(settings.domain.clone(), planner);
            control.plan_by(Some(lease));
            let why =
                if own.is_some() { "it was this node's before" } else { "the lease was free" };
            GatewayEvent::DomainPlanner { active: true, why }.log();
            true
        }
        Err(StoreError::Conflict(items)) => {
            items.iter().for_each(|item| note(control, item));
            false
        }
        Err(_) => false,
    }
}

/// Ends this node's planning; it reads the store on until another node tells it.
pub(super) fn resign(control: &Control, why: &'static str) {
    if control.plans() {
        control.sources.borrow_mut().allow_reads(control.now());
        control.plan_by(None);
        GatewayEvent::DomainPlanner { active: false, why }.log();
    }
}

/// Takes note of the planner of a failure domain.
pub(super) fn meet(control: &Control, domain: &Name, planner: DomainPlanner) {
    let other = *domain == control.domain() && planner.source.node != control.node();
    let new = control.sources.borrow_mut().learn_planner(domain.clone(), planner);
    if new && other {
        control.vacant.set(false);
        resign(control, "another node holds the lease");
    }
}

/// Takes an entry of the store, with that of this failure domain's planner as `holder`.
fn take(control: &Control, key: &str, holder: &mut Option<Item>, item: &Item) {
    if &*item.key == key {
        *holder = Some(item.clone());
    }
    note(control, item);
}

fn note(control: &Control, item: &Item) {
    if item.key.starts_with(quarantine::PREFIX) {
        return quarantine::load_entry(control, item);
    }
    if item.key.starts_with(limit_records::PREFIX) {
        return limit_records::take(control, item);
    }
    let domain = item.key.strip_prefix(PLANNERS).and_then(|d| d.parse().ok());
    // One without an address may not be asked.
    if let (Some(domain), Some(source)) = (domain, read_entry(item)) {
        meet(control, &domain, DomainPlanner { source, revision: item.revision });
    }
}

/// Time for which a free lease is left to other nodes, milliseconds.
fn stagger(settings: &GatewaySettings) -> Millis {
    let wait = rand::rng().random_range(1..STAGGER);
    if is_able(settings) { wait } else { SMALL + 2 * wait }
}

/// Key of a failure domain's planner.
fn planner_key(domain: &Name) -> String {
    format!("{PLANNERS}{domain}")
}

/// Reads a planner's entry in the store: its node and its address for others.
fn read_entry(item: &Item) -> Option<Source> {
    let (node, address) = std::str::from_utf8(&item.value).ok()?.split_once(' ')?;
    Some(Source { node: node.parse().ok()?, address: address.parse().ok()? })
}

/// A planner's entry in the store.
fn entry(node: &Name, address: Option<std::net::SocketAddr>) -> Arc<str> {
    match address {
        Some(address) => format!("{node} {address}").into(),
        None => node.as_str().into(),
    }
}
