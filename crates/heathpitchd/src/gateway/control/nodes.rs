//! Controller of the lease of this failure domain's planner and of the number of nodes.
//!
//! One node of each failure domain is its planner, under a lease. A planner that cannot reach the store stays
//! planner until it learns of another one. Orders are conditional on the state they were made for, so two
//! planners cause surplus orders but no errors, and a partitioned domain still has a planner.
//!
//! A planner counts its followers as the nodes of its failure domain, and planners exchange these counts. Nodes
//! write no entries of their own, which would take three calls to the store at each start.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use heathpitch_core::{GatewaySettings, Millis, Name, Revision};
use heathpitch_net::{Item, ItemChange, StoreError, Write};
use heathpitch_policy::{DomainPlanner, FleetStart, Source};
use rand::Rng;
use tokio::task::spawn_local;

use super::state::{Control, Fleet};
use super::{exit_records, limit_records, quarantine_store};
use crate::gateway::event::GatewayEvent;

/// Prefix of all keys written by nodes.
const ROOT: &str = "heathpitch/";
/// Prefix of the planners' entries; the value is the planner's node and its feed address.
const PLANNERS: &str = "heathpitch/planners/";
/// Time to live of a planner's lease: three renewal intervals, with margin.
pub(super) const PLANNER_TTL_MS: Millis = 2_400;
/// Time between renewals of the planner's lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(700);
/// Time until a renewal that failed is repeated.
const RENEWAL_RETRY: Duration = Duration::from_millis(200);
/// Longest random delay before a node contends for a free lease. It spreads the contenders apart by many times
/// the response time of the store.
const MAX_STAGGER_MS: Millis = 200;
/// Extra delay of nodes on small VMs: the longest delay of the others, and two answers of the store.
const SMALL_VM_DELAY_MS: Millis = 250;
/// Extra delay of nodes that are cut off from engines: several polls, so that any other node comes first.
const CUT_OFF_DELAY_MS: Millis = 1_000;
/// Minimum link of a planner's VM: sixty followers that start together are served 30 kB each, twice, within
/// 0.6 s.
const MIN_LINK_MBPS: f64 = 50.0;
/// Minimum CPU share of a planner's VM: a planner of sixty followers and fifty engines takes 5 % of a core.
const MIN_CPU_SHARE: f64 = 0.2;
/// Longest wait of a watch.
const MAX_WATCH_MS: Millis = 25_000;
/// Time between counts of the fleet, whose size only determines shares of limits and load.
const COUNT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which all followers have polled a new planner.
const FIRST_COUNT_DELAY_MS: Millis = 1_500;
/// Initial retry interval while the store does not answer; doubled after each failure.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Failed lookups in a row after which a node that has a configuration serves without them.
const MAX_LOOKUPS: u32 = 4;
/// Upper bound of the retry interval; a wait also ends when the store returns.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(4_000);

/// Whether the VM is large enough for a planner.
pub(super) fn can_plan(settings: &GatewaySettings) -> bool {
    settings.vm.link_mbps >= MIN_LINK_MBPS && settings.vm.cpu_share >= MIN_CPU_SHARE
}

/// Tracks the planners, and contends for the lease of this failure domain's planner when it is free.
pub(super) async fn follow(control: Rc<Control>) {
    let key = planner_key(&control.domain());
    let mut retry = RETRY_INTERVAL;
    let (first_start, can_plan) = {
        let settings = control.shared.settings.load();
        (settings.first_start, can_plan(&settings))
    };
    let start = FleetStart { first_start, can_plan, seeded: !control.seeds.is_empty() };
    control.sources.borrow_mut().schedule_first_lookup(start, control.now(), &mut rand::rng());
    let (mut seen, mut failures) = (None, 0);
    loop {
        control.wait_to_look_up().await;
        let result = control.call("list", control.clients.store.list(ROOT)).await;
        let Ok(listing) = result else {
            failures = if control.shared.catalog.load().is_some() { failures + 1 } else { 0 };
            if failures >= MAX_LOOKUPS && !control.shared.is_informed() {
                // The store answers other calls, and engines at risk are better than no service.
                log::warn!("serving without knowing what is held back: the list fails");
                control.shared.set_informed();
            }
            control.pause(retry).await;
            if control.shared.is_informed() {
                retry = (retry * 2).min(MAX_RETRY_INTERVAL);
            }
            continue;
        };
        retry = RETRY_INTERVAL;
        let mut planner = None;
        for item in &listing.items {
            apply_entry(&control, &key, &mut planner, item);
        }
        // What was read is in force before the first call.
        control.flush_held();
        control.shared.set_informed();
        // A planner found for the first time is polled before its entry is watched.
        let found = planner.as_ref().map(|item| item.revision);
        if found.is_some() && found != seen && !is_own(&control, planner.as_ref()) {
            seen = found;
            control.defer_claim();
            continue;
        }
        // The watch's connection may be dead, and the planner with it.
        let watched = watch(&control, &key, planner, listing.at);
        let watched = tokio::select! {
            watched = control.until_store_change(watched) => watched,
            () = control.wait_until_no_claim() => None,
            () = control.wait_until_role_ends() => None,
        };
        if watched != Some(WatchEnd::BecamePlanner) {
            control.pause(RETRY_INTERVAL).await;
        }
    }
}

/// Whether an entry is this node's own, from a previous run.
fn is_own(control: &Control, planner: Option<&Item>) -> bool {
    planner.and_then(read_entry).is_some_and(|s| s.node == control.node())
}

/// How a watch of planners ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchEnd {
    /// This node became planner and has to know all planners.
    BecamePlanner,
    /// The watch failed, or this node may no longer claim the lease.
    Stopped,
}

/// Watches the entry of this failure domain's planner, or all entries while this node is planner.
async fn watch(control: &Control, key: &str, planner: Option<Item>, from: Revision) -> WatchEnd {
    let mut planner = planner;
    let mut at = from;
    while control.may_claim() {
        let free = match &planner {
            _ if control.is_planner() || control.stopping() => false,
            None => true,
            Some(item) => is_own(control, Some(item)),
        };
        let own = planner.as_ref().filter(|_| free).map(|item| item.revision);
        if own.is_some() && contend(control, own).await {
            return WatchEnd::BecamePlanner;
        }
        let prefix = if control.is_planner() { ROOT } else { key };
        // Nodes with a longer random delay find the lease already taken.
        let wait = match free {
            true if control.is_cut_off() => {
                CUT_OFF_DELAY_MS + stagger(&control.shared.settings.load())
            }
            true => stagger(&control.shared.settings.load()),
            false => MAX_WATCH_MS,
        };
        let Ok(watched) = control.watch("planner", prefix, at, wait).await else {
            return WatchEnd::Stopped;
        };
        for change in &watched.changes {
            match change {
                ItemChange::Put(item) => apply_entry(control, key, &mut planner, item),
                ItemChange::Deleted(deleted) if &**deleted == key => planner = None,
                ItemChange::Deleted(deleted) if &**deleted == exit_records::KEY => {
                    exit_records::deleted(control);
                }
                // Planners of other failure domains are polled until they have a successor.
                ItemChange::Deleted(deleted) => {
                    quarantine_store::entry_deleted(control, deleted);
                    limit_records::record_deleted(control, deleted);
                }
            }
        }
        at = watched.at;
        if free && planner.is_none() && contend(control, None).await {
            return WatchEnd::BecamePlanner;
        }
    }
    WatchEnd::Stopped
}

/// Renews the lease while this node is planner, and releases it when the node stops.
pub(super) async fn renew(control: Rc<Control>) {
    let mut wait = RENEWAL_INTERVAL;
    loop {
        control.wait_until_planner().await;
        tokio::time::sleep(wait).await;
        wait = RENEWAL_INTERVAL;
        let Some(lease) = control.lease() else { continue };
        if control.stopping() {
            step_down(&control, "this node is stopping");
            // If the call fails, the lease expires on its own.
            let _ = control.call("end", control.clients.store.end(lease)).await;
            continue;
        }
        let sent = control.now();
        let result = control.call("renew", control.clients.store.renew(lease)).await;
        match result {
            Ok(()) => control.lease_renewed(sent),
            Err(StoreError::LeaseExpired) => step_down(&control, "the lease expired"),
            Err(_) => wait = RENEWAL_RETRY,
        }
    }
}

/// Counts the nodes of the fleet while this node is planner.
pub(super) async fn count(control: Rc<Control>) {
    loop {
        control.wait_until_planner().await;
        control.followers.borrow_mut().clear();
        let start = control.now();
        while control.is_planner() {
            tokio::time::sleep(COUNT_INTERVAL).await;
            let now = control.now();
            if control.is_planner() && now >= start + FIRST_COUNT_DELAY_MS {
                count_once(&control, now);
            }
        }
    }
}

fn count_once(control: &Control, now: Millis) {
    let domain_size = control.followers.borrow().count(now) + 1;
    let domain = control.domain();
    let sources = control.sources.borrow();
    let others = sources.planners().filter(|(d, _)| **d != domain);
    // A domain that has not reported its size yet is assumed to be as large as this one.
    let sizes = control.domain_sizes.borrow();
    let others = others.map(|(d, _)| sizes.get(d).copied().unwrap_or(domain_size));
    let fleet = Fleet { fleet_size: domain_size + others.sum::<u32>(), domain_size };
    if control.fleet.replace(Some(fleet)) != Some(fleet) {
        control.publish();
    }
}

/// Contends for the lease of this failure domain's planner, whose entry is absent or has revision `own`;
/// returns whether this node became planner.
async fn contend(control: &Control, own: Option<Revision>) -> bool {
    let settings = control.shared.settings.load_full();
    let ttl = PLANNER_TTL_MS.max(settings.bounds.lease_min_ms);
    let granted = control.call("grant", control.clients.store.grant(ttl)).await;
    let Ok(lease) = granted else { return false };
    let key = planner_key(&settings.domain);
    let value = Bytes::copy_from_slice(entry(&settings.node, control.shared.peer).as_bytes());
    let write = Write {
        conditions: vec![(key.clone(), own.unwrap_or(Revision(0)))],
        puts: vec![(key, value, Some(lease))],
        removals: Vec::new(),
    };
    let written = control.call("contend", control.clients.store.write(write)).await;
    match written {
        Ok(revision) => {
            let address = control.shared.peer.unwrap_or(settings.listen);
            let source = Source { node: settings.node.clone(), address };
            let planner = DomainPlanner { source, revision };
            control.sources.borrow_mut().learn_planner(settings.domain.clone(), planner);
            control.set_planner_lease(Some(lease));
            control.planner_released.set(false);
            let why = if own.is_some() { "this node held it before" } else { "the lease was free" };
            GatewayEvent::DomainPlanner { active: true, why }.log();
            true
        }
        Err(StoreError::Conflict(items)) => {
            items.iter().for_each(|item| record_entry(control, item));
            false
        }
        Err(_) => false,
    }
}

/// Ends this node's role as planner while no successor is known; it keeps reading the store until another node serves
/// it.
///
/// Polls tell its followers that the lease is free: it still answers them, and they answer it, so that otherwise none of
/// them would claim the lease.
pub(super) fn step_down(control: &Control, why: &'static str) {
    if control.is_planner() {
        end_role(control, why);
        control.planner_released.set(true);
        control.planner_released_lease();
    }
}

fn end_role(control: &Control, why: &'static str) {
    control.sources.borrow_mut().allow_reads(control.now());
    control.set_planner_lease(None);
    GatewayEvent::DomainPlanner { active: false, why }.log();
}

/// Gives up planning, because this node is cut off from engines, if another node of its failure domain can
/// plan that is not.
pub(super) fn yield_planning(control: &Rc<Control>) {
    let (now, must_plan) = (control.now(), can_plan(&control.shared.settings.load()));
    let (Some(lease), true) =
        (control.lease(), control.followers.borrow().has_connected(must_plan, now))
    else {
        return;
    };
    step_down(control, "this node is cut off from engines");
    let control = control.clone();
    // If the call fails, the lease expires on its own.
    spawn_local(async move {
        let _ = control.call("end", control.clients.store.end(lease)).await;
    });
}

/// Records the planner of a failure domain.
pub(super) fn record_planner(control: &Control, domain: &Name, planner: DomainPlanner) {
    let other = *domain == control.domain() && planner.source.node != control.node();
    let new = control.sources.borrow_mut().learn_planner(domain.clone(), planner);
    if new && other {
        control.planner_released.set(false);
        if control.is_planner() {
            end_role(control, "another node holds the lease");
        }
    }
}

/// Records an entry of the store, and keeps that of this failure domain's planner in `planner`.
fn apply_entry(control: &Control, key: &str, planner: &mut Option<Item>, item: &Item) {
    if &*item.key == key {
        *planner = Some(item.clone());
    }
    record_entry(control, item);
}

fn record_entry(control: &Control, item: &Item) {
    if item.key.starts_with(quarantine_store::PREFIX) {
        return quarantine_store::load_entry(control, item);
    }
    if &*item.key == exit_records::KEY {
        return exit_records::load(control, item);
    }
    if item.key.starts_with(limit_records::PREFIX) {
        return limit_records::load_record(control, item);
    }
    let domain = item.key.strip_prefix(PLANNERS).and_then(|d| Name::from_encoded(d).ok());
    // A planner without an address cannot be polled.
    if let (Some(domain), Some(source)) = (domain, read_entry(item)) {
        record_planner(control, &domain, DomainPlanner { source, revision: item.revision });
    }
}

/// Random delay in milliseconds before this node contends for a free lease.
fn stagger(settings: &GatewaySettings) -> Millis {
    let wait = rand::rng().random_range(1..MAX_STAGGER_MS);
    if can_plan(settings) { wait } else { SMALL_VM_DELAY_MS + 2 * wait }
}

/// Key of a failure domain's planner.
fn planner_key(domain: &Name) -> String {
    format!("{PLANNERS}{}", domain.encoded())
}

/// Parses a planner's entry: its node and its feed address.
fn read_entry(item: &Item) -> Option<Source> {
    let (node, address) = std::str::from_utf8(&item.value).ok()?.split_once(' ')?;
    Some(Source { node: Name::from_encoded(node).ok()?, address: address.parse().ok()? })
}

/// Formats a planner's entry.
fn entry(node: &Name, address: Option<std::net::SocketAddr>) -> Arc<str> {
    match address {
        Some(address) => format!("{} {address}", node.encoded()).into(),
        None => node.encoded().into(),
    }
}
