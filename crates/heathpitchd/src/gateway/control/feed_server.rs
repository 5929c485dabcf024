//! Answers to nodes that poll this one instead of the store.
//!
//! Any node serves what it knows together with its age, unless it is too old. Full lists and configurations are
//! packed once and limited to a share of the VM's link. Nodes that start together are thus served one after the
//! other, by more than one node, and small answers are not delayed.

use std::cell::RefCell;

use bytes::Bytes;
use heathpitch_core::{Millis, Revision, VmCapacity};
use heathpitch_net::{
    FeedCursor, FeedEngines, FeedPlanner, FeedRequest, FeedResponse, Item, RpcError, deflate_bytes,
    pack,
};
use heathpitch_policy::{Bucket, Source};

use super::feed::{MAX_LIST_AGE_MS, MAX_PROOF_AGE_MS};
use super::reports;
use super::state::Control;
use crate::gateway::event::GatewayEvent;

/// Share of the VM's link for full lists and configurations.
const LINK_SHARE: f64 = 0.5;
/// Longest time between two polls of a follower that reaches this node: three polls, with the timeout of an answer.
const MAX_SILENCE_MS: Millis = 1_500;
/// Bytes per second in one Mbit/s.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Full lists and configurations in packed form, and the link budget for sending them.
pub(super) struct FullTransfers {
    budget: RefCell<Bucket>,
    engines: RefCell<Option<(u64, Bytes)>>,
    config: RefCell<Option<Item>>,
}

impl FullTransfers {
    /// Creates the budget for a VM of this capacity.
    pub(super) fn new(vm: VmCapacity, now: Millis) -> Self {
        let rate = vm.link_mbps * BYTES_PER_MBIT * LINK_SHARE;
        Self {
            // A transfer needs only one byte of budget to start; the rest becomes debt.
            budget: RefCell::new(Bucket::new(rate, 1.0, now)),
            engines: RefCell::default(),
            config: RefCell::default(),
        }
    }

    /// Charges a transfer of `bytes` to the budget, unless it is exhausted.
    fn take(&self, bytes: usize, now: Millis) -> bool {
        let mut budget = self.budget.borrow_mut();
        let taken = bytes == 0 || budget.take(now).is_ok();
        if taken {
            budget.spend(bytes as f64);
        }
        taken
    }
}

/// Answers a poll, and records the notices, the demand and the promised retries in it.
pub(super) fn answer(control: &Control, request: FeedRequest) -> FeedResponse {
    // The time of arrival is an upper bound of the time of sending.
    control.record_notices(&request.notices, control.now(), &request.node);
    let (notices, notice_cursor) = control.notices_since(request.notice_cursor);
    let is_known = control.followers.borrow().contains(&request.node, control.now());
    let counts = !request.reports_only && control.receive_demand(&request, is_known);
    let (promises, promise_rates) = control.answer_promises(&request, counts);
    let wanted = request.clone();
    let response = answer_feed(control, request);
    let forwarders = control.exchange_forwarders(&wanted);
    FeedResponse { notices, notice_cursor, promises, promise_rates, forwarders, ..response }
}

fn answer_feed(control: &Control, request: FeedRequest) -> FeedResponse {
    let known = if request.cursor.incarnation == control.incarnation {
        request.cursor
    } else {
        FeedCursor::default()
    };
    if request.reports_only {
        return local_reports(control, known);
    }
    let follower = Source { node: request.node.clone(), address: request.address };
    let silent =
        control.followers.borrow_mut().record_poll(follower, request.can_plan, control.now());
    if let Some(silent_ms) = silent.filter(|ms| control.is_planner() && *ms > MAX_SILENCE_MS) {
        log_return(control, &request, silent_ms);
    }
    let shares = control.shares_for(&request.node);
    let mut response = FeedResponse { shares, ..nodes(control) };
    if let Err(e) = fill(control, &request, known, &mut response) {
        log::error!("failed to pack the answer to a poll: {e}");
    }
    response
}

/// Logs that a follower of this planner polls again: its own log may be lost, and what it served by meanwhile with it.
fn log_return(control: &Control, request: &FeedRequest, silent_ms: Millis) {
    let Some(count) = control.returned.record(control.now()) else { return };
    let outdated = control.has_newer_config(request);
    GatewayEvent::FollowersReturned { node: request.node.clone(), count, silent_ms, outdated }
        .log();
}

/// Reports of this failure domain's engines, for the planner of another failure domain.
fn local_reports(control: &Control, known: FeedCursor) -> FeedResponse {
    let (reports, reported) =
        reports::reports_since(control, Some(&control.domain()), known.reported);
    let known = FeedCursor { incarnation: control.incarnation, reported, ..FeedCursor::default() };
    FeedResponse { cursor: known, reports, ..nodes(control) }
}

/// What this node knows of planners, standbys and fleet size, regardless of its access to the store.
fn nodes(control: &Control) -> FeedResponse {
    if control.is_planner() {
        let standbys = control.followers.borrow_mut().standbys(control.now());
        control.sources.borrow_mut().set_standbys(standbys);
    }
    let sources = control.sources.borrow();
    let planners = sources.planners().map(|(domain, p)| FeedPlanner {
        domain: domain.clone(),
        node: p.source.node.clone(),
        address: p.source.address,
        revision: p.revision,
    });
    let standbys = sources.standbys().iter().map(|s| (s.node.clone(), s.address));
    let fleet = control.fleet.get();
    FeedResponse {
        planners: planners.collect(),
        standbys: standbys.collect(),
        planner_released: control.planner_released.get(),
        fleet_size: fleet.map_or(0, |f| f.fleet_size),
        domain_size: fleet.map_or(0, |f| f.domain_size),
        ..FeedResponse::default()
    }
}

/// Adds the contents of the store if this node's copy is fresh enough and the link budget allows it.
fn fill(
    control: &Control,
    request: &FeedRequest,
    known: FeedCursor,
    response: &mut FeedResponse,
) -> Result<(), RpcError> {
    let (shared, now) = (&control.shared, control.now());
    let config = match control.has_newer_config(request) {
        true => config(control)?,
        false => None,
    };
    let ages = (control.newest_freshness().age(now), shared.list_freshness.load().age(now));
    let (config_age_ms, entries_age_ms) = match ages {
        (Some(proof), Some(list)) if proof < MAX_PROOF_AGE_MS && list < MAX_LIST_AGE_MS => {
            (proof, list)
        }
        // Not proven to be the newest, but newer than the follower's.
        _ => {
            let length = config.as_ref().map_or(0, |c| c.value.len());
            response.config = config.filter(|_| control.full_transfers.take(length, now));
            return Ok(());
        }
    };
    let engines = engines(control, request.digest, known.serial)?;
    let packed = if let FeedEngines::Full(packed) = &engines { packed.len() } else { 0 };
    let large = packed + config.as_ref().map_or(0, |c| c.value.len());
    if !control.full_transfers.take(large, now) {
        response.withheld = true;
        return Ok(());
    }
    let (reports, reported) = reports::reports_since(control, None, known.reported);
    let serial = control.mirror.borrow().serial();
    response.fresh = true;
    response.cursor = FeedCursor { incarnation: control.incarnation, serial, reported };
    response.revision = control.newest_revision();
    (response.config_age_ms, response.entries_age_ms) = (config_age_ms, entries_age_ms);
    (response.engines, response.config, response.reports) = (engines, config, reports);
    Ok(())
}

/// Changes since a serial; none if the follower's digest shows the same list, whatever its source.
fn engines(control: &Control, digest: u64, serial: u64) -> Result<FeedEngines, RpcError> {
    let mirror = control.mirror.borrow();
    if digest == mirror.digest() {
        return Ok(FeedEngines::default());
    }
    let delta = mirror.since(serial);
    if !delta.full {
        return Ok(FeedEngines::Changes { items: delta.items, removed: delta.removed });
    }
    let mut kept = control.full_transfers.engines.borrow_mut();
    match &*kept {
        Some((serial, packed)) if *serial == delta.serial => Ok(FeedEngines::Full(packed.clone())),
        _ => {
            let packed = pack(&delta.items)?;
            *kept = Some((delta.serial, packed.clone()));
            Ok(FeedEngines::Full(packed))
        }
    }
}

/// The configuration in force with its value deflated.
fn config(control: &Control) -> Result<Option<Item>, RpcError> {
    let document = control.document.borrow();
    let Some(item) = &*document else { return Ok(None) };
    let mut kept = control.full_transfers.config.borrow_mut();
    if kept.as_ref().is_none_or(|k| k.revision != item.revision) {
        let value = deflate_bytes(&item.value)?.into();
        *kept = Some(Item { value, ..item.clone() });
    }
    Ok(kept.clone())
}

/// # Revision
impl Control {
    /// Whether the configuration in force is newer than that of the polling node.
    fn has_newer_config(&self, request: &FeedRequest) -> bool {
        let (revision, version) = (self.revision(), self.version());
        match revision.era() == request.revision.era() {
            true => request.revision < revision,
            false => {
                request.version < version
                    || (request.version == version && request.revision < revision)
            }
        }
    }

    /// The operator's version of the configuration in force, or 0 if there is none.
    pub(super) fn version(&self) -> u64 {
        self.shared.catalog.load().as_ref().map_or(0, |c| c.version)
    }

    /// Revision of the configuration in force, or 0 if there is none.
    pub(super) fn revision(&self) -> Revision {
        self.shared.catalog.load().as_ref().map_or(Revision(0), |c| c.revision)
    }
}
