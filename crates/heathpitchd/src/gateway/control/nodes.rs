//! Controller of this node's entry in the store and of its failure domain's planner.
//!
//! Every node keeps an entry, so that each knows how many share what is agreed for the fleet. One
//! node of a failure domain plans it, by a lease. A planner that the store does not answer goes on
//! planning until it sees another one: orders hold only for the state they were made for, so two
//! planners cost orders, never correctness, and a domain that is cut off is still planned.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use heathpitch_core::{Millis, Name, Revision};
use heathpitch_net::{Item, ItemChange, LeaseId, StoreError, Write};
use rand::Rng;

use super::feed;
use super::state::{Control, Fleet};
use crate::gateway::event::GatewayEvent;

/// Prefix of the nodes' entries; the value is the node's failure domain.
const NODES: &str = "heathpitch/nodes/";
/// Prefix of the planners' leases; the value is the node that plans and its address for others.
const PLANNERS: &str = "heathpitch/planners/";
/// Time for which a node's entry stays without a renewal, milliseconds: the store's most.
const NODE_TTL: Millis = 600_000;
/// Time between two renewals of a node's entry, milliseconds.
const NODE_RENEW: Millis = 200_000;
/// Time for which a planner's lease holds without a renewal, milliseconds: three renewals.
pub(super) const PLANNER_TTL: Millis = 2_400;
/// Time between two renewals of the planner's lease.
const PLANNER_RENEW: Duration = Duration::from_millis(700);
/// Longest wait before a node asks for a free planner's lease, milliseconds: nodes ask one after
/// the other, many times the store's answer apart.
const STAGGER: Millis = 400;
/// Longest wait of a watch, milliseconds.
const WATCH: Millis = 25_000;
/// Time between two counts of the fleet: its size only sets shares.
const COUNT: Duration = Duration::from_secs(30);
/// Time after a start in which the other nodes of the fleet have entered too.
const COUNT_FIRST: Duration = Duration::from_millis(1_500);
/// Time between two tries while the store does not answer.
const RETRY: Duration = Duration::from_millis(500);
/// Longest such time; the store's return ends it.
const RETRY_LONGEST: Duration = Duration::from_millis(4_000);

/// Asks for the lease of this failure domain's planner when it is free.
pub(super) async fn follow(control: Rc<Control>) {
    let key = planner_key(&control.domain());
    let mut retry = RETRY;
    loop {
        let result = control.call("list", control.edges.store.list(PLANNERS)).await;
        let listed = result.is_ok();
        if let Ok(listing) = result {
            let mut holder = None;
            for item in listing.items {
                take(&control, &key, &mut holder, &ItemChange::Put(item));
            }
            // Its connection may be dead, and the planner with it.
            control.until_doubt(watch(&control, &key, holder, listing.at)).await;
        }
        retry = if listed { RETRY } else { (retry * 2).min(RETRY_LONGEST) };
        control.pause(retry).await;
    }
}

/// Keeps this node's entry, and counts the nodes of the fleet.
pub(super) async fn count(control: Rc<Control>) {
    let mut entry: Option<(LeaseId, Millis)> = None;
    let mut pause = COUNT_FIRST;
    loop {
        enter(&control, &mut entry).await;
        tokio::time::sleep(if entry.is_some() { pause } else { RETRY }).await;
        if entry.is_none() {
            continue;
        }
        // A planner counts for the nodes that it tells.
        if control.fed() {
            continue;
        }
        let result = control.call("list", control.edges.store.list(NODES)).await;
        if let Ok(listing) = result {
            let domain = control.domain();
            let near = |i: &&Item| text(i) == Some(domain.as_str());
            let nodes = listing.items.len() as u32;
            let beside = listing.items.iter().filter(near).count() as u32;
            control.fleet.set(Some(Fleet { nodes, beside }));
            control.publish();
            pause = COUNT;
        }
    }
}

async fn watch(control: &Control, key: &str, holder: Option<Name>, from: Revision) {
    let mut holder = holder;
    let mut at = from;
    loop {
        let free = !control.plans() && holder.is_none() && !control.stopping();
        // Who waits longest finds that another one was faster.
        let wait = if free { rand::rng().random_range(1..STAGGER) } else { WATCH };
        let Ok(watched) = control.watch("planner", PLANNERS, at, wait).await else { return };
        watched.changes.iter().for_each(|c| take(control, key, &mut holder, c));
        at = watched.at;
        if free && holder.is_none() {
            contend(control).await;
        }
    }
}

/// Renews the planner's lease for as long as this node plans; ends it when the node stops.
pub(super) async fn renew(control: Rc<Control>) {
    loop {
        tokio::time::sleep(PLANNER_RENEW).await;
        let Some(lease) = control.lease() else { continue };
        if control.stopping() {
            resign(&control, "this node stops");
            // One that cannot be ended runs out by itself.
            let _ = control.call("end", control.edges.store.end(lease)).await;
            continue;
        }
        let sent = control.now();
        let result = control.call("renew", control.edges.store.renew(lease)).await;
        if result.is_ok() {
            control.lease_renewed(sent);
        }
        if matches!(result, Err(StoreError::LeaseOver)) {
            resign(&control, "the lease is over");
        }
    }
}

/// Writes this node's entry, and renews it now and then.
async fn enter(control: &Control, entry: &mut Option<(LeaseId, Millis)>) {
    let now = control.now();
    match *entry {
        Some((_, renewed)) if now < renewed + NODE_RENEW => return,
        Some((lease, _)) => {
            let result = control.call("renew", control.edges.store.renew(lease)).await;
            match result {
                Ok(()) => return *entry = Some((lease, now)),
                Err(StoreError::LeaseOver) => {}
                Err(_) => return,
            }
        }
        None => {}
    }
    let granted = control.call("grant", control.edges.store.grant(NODE_TTL)).await;
    let Ok(lease) = granted else { return };
    let settings = control.shared.settings.load();
    let key = format!("{NODES}{}", settings.node);
    let value = Bytes::copy_from_slice(settings.domain.as_str().as_bytes());
    let puts = vec![(key, value, Some(lease))];
    let written =
        control.call("enter", control.edges.store.write(Write { puts, ..Write::default() })).await;
    if written.is_ok() {
        *entry = Some((lease, now));
    }
}

/// Asks for the lease of this failure domain's planner.
async fn contend(control: &Control) {
    let settings = control.shared.settings.load_full();
    let ttl = PLANNER_TTL.max(settings.bounds.lease_min_ms);
    let granted = control.call("grant", control.edges.store.grant(ttl)).await;
    let Ok(lease) = granted else { return };
    let key = planner_key(&settings.domain);
    let entry = feed::entry(&settings.node, control.shared.peer);
    let value = Bytes::copy_from_slice(entry.as_bytes());
    let write = Write {
        conditions: vec![(key.clone(), Revision(0))],
        puts: vec![(key, value, Some(lease))],
        removals: Vec::new(),
    };
    let written = control.call("contend", control.edges.store.write(write)).await;
    if written.is_ok() {
        control.plan_by(Some(lease));
        GatewayEvent::DomainPlanner { active: true, why: "the lease was free" }.log();
    }
}

/// Ends this node's planning.
pub(super) fn resign(control: &Control, why: &'static str) {
    if control.plans() {
        control.plan_by(None);
        GatewayEvent::DomainPlanner { active: false, why }.log();
    }
}

/// Takes a change of the planner's entry.
///
/// The node that was the planner is asked until there is another one, or it does not answer.
fn take(control: &Control, key: &str, holder: &mut Option<Name>, change: &ItemChange) {
    match change {
        ItemChange::Put(item) if &*item.key == key => {
            *holder = planner(item);
            *control.planner.borrow_mut() = text(item).and_then(feed::read_entry);
            if holder.as_ref() != Some(&control.shared.settings.load().node) {
                resign(control, "another node holds the lease");
            }
        }
        ItemChange::Gone(gone) if &**gone == key => *holder = None,
        ItemChange::Put(item) => meet(control, item),
        // It is asked until there is another one.
        ItemChange::Gone(_) => {}
    }
}

/// Takes note of another failure domain's planner.
fn meet(control: &Control, item: &Item) {
    let domain = item.key.strip_prefix(PLANNERS).and_then(|d| d.parse().ok());
    let planner = text(item).and_then(feed::read_entry);
    if let (Some(domain), Some(planner)) = (domain, planner) {
        control.neighbours.borrow_mut().insert(domain, planner);
    }
}

/// Key of a failure domain's planner.
fn planner_key(domain: &Name) -> String {
    format!("{PLANNERS}{domain}")
}

fn text(item: &Item) -> Option<&str> {
    std::str::from_utf8(&item.value).ok()
}

/// The node that a planner's entry names.
fn planner(item: &Item) -> Option<Name> {
    text(item)?.split(' ').next()?.parse().ok()
}
