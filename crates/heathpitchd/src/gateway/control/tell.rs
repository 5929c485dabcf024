//! What this node tells others instead of the store.
//!
//! Any node tells what it knows, with its true age; only what is young enough is told. Whole lists and
//! configurations are packed once and told within a part of the VM's link, so that nodes that
//! begin together are told one after the other, by more than one node, and small answers are not held up.

use std::cell::RefCell;

use bytes::Bytes;
use heathpitch_core::{Millis, Revision, VmCapacity};
use heathpitch_net::{
    FeedCursor, FeedEngines, FeedPlanner, FeedRequest, FeedResponse, Item, RpcError, deflate_bytes,
    pack,
};
use heathpitch_policy::{Bucket, Source};

use super::feed::{LIST_OLD, PROOF_OLD};
use super::reports;
use super::state::Control;

/// Part of the VM's link that whole lists and configurations may take.
const LINK_SHARE: f64 = 0.5;
/// Bytes a second of one Mbit/s.
const MBIT: f64 = 125_000.0;

/// What is told whole, packed once, and the link's room for it.
pub(super) struct Large {
    room: RefCell<Bucket>,
    engines: RefCell<Option<(u64, Bytes)>>,
    config: RefCell<Option<Item>>,
}

impl Large {
    /// For a VM of this size.
    pub(super) fn new(vm: VmCapacity, now: Millis) -> Self {
        let rate = vm.link_mbps * MBIT * LINK_SHARE;
        Self {
            // What was begun is finished, and owed: the room for one is enough to begin.
            room: RefCell::new(Bucket::new(rate, 1.0, now)),
            engines: RefCell::default(),
            config: RefCell::default(),
        }
    }

    /// Takes the link for so many bytes, if it has room.
    fn take(&self, bytes: usize, now: Millis) -> bool {
        let mut room = self.room.borrow_mut();
        let taken = bytes == 0 || room.take(now).is_ok();
        if taken {
            room.spend(bytes as f64);
        }
        taken
    }
}

/// Answers a node.
pub(super) fn answer(control: &Control, ask: FeedRequest) -> FeedResponse {
    // It cannot have been sent later than it came.
    control.hear_news(&ask.notices, control.now(), &ask.node);
    let (news, notice_cursor) = control.news_since(ask.notice_cursor);
    let told = answer_only(control, ask);
    FeedResponse { notices: news, notice_cursor, ..told }
}

fn answer_only(control: &Control, ask: FeedRequest) -> FeedResponse {
    let known =
        if ask.cursor.incarnation == control.life { ask.cursor } else { FeedCursor::default() };
    if ask.reports_only {
        return near_reports(control, known);
    }
    let follower = Source { node: ask.node.clone(), address: ask.address };
    control.followers.borrow_mut().record_poll(follower, ask.able, control.now());
    let mut told = nodes(control);
    if let Err(e) = fill(control, &ask, known, &mut told) {
        log::error!("what is told cannot be packed: {e}");
    }
    told
}

/// Reports of this failure domain's engines, for the planner of another one.
fn near_reports(control: &Control, known: FeedCursor) -> FeedResponse {
    let (reports, reported) = reports::told(control, Some(&control.domain()), known.reported);
    let known = FeedCursor { incarnation: control.life, reported, ..FeedCursor::default() };
    FeedResponse { cursor: known, reports, ..nodes(control) }
}

/// What this node knows of nodes, whether or not it hears from the store.
fn nodes(control: &Control) -> FeedResponse {
    if control.plans() {
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
        planner_released: control.vacant.get(),
        fleet_size: fleet.map_or(0, |f| f.nodes),
        domain_size: fleet.map_or(0, |f| f.beside),
        ..FeedResponse::default()
    }
}

/// Adds what the store holds, if this node knows it young enough and its link has room.
fn fill(
    control: &Control,
    ask: &FeedRequest,
    known: FeedCursor,
    told: &mut FeedResponse,
) -> Result<(), RpcError> {
    let (shared, now) = (&control.shared, control.now());
    let config = match control.has_newer(ask) {
        true => config(control)?,
        false => None,
    };
    let ages = (shared.config_freshness.load().age(now), shared.list_freshness.load().age(now));
    let (proof_ms, list_ms) = match ages {
        (Some(proof), Some(list)) if proof < PROOF_OLD && list < LIST_OLD => (proof, list),
        // Whether there is a newer one still is not known, but this one is newer than theirs.
        _ => {
            let length = config.as_ref().map_or(0, |c| c.value.len());
            told.config = config.filter(|_| control.large.take(length, now));
            return Ok(());
        }
    };
    let engines = engines(control, ask.digest, known.serial)?;
    let packed = if let FeedEngines::Whole(packed) = &engines { packed.len() } else { 0 };
    let large = packed + config.as_ref().map_or(0, |c| c.value.len());
    if !control.large.take(large, now) {
        told.withheld = true;
        return Ok(());
    }
    let (reports, reported) = reports::told(control, None, known.reported);
    let serial = control.mirror.borrow().serial();
    told.fresh = true;
    told.cursor = FeedCursor { incarnation: control.life, serial, reported };
    told.revision = control.revision();
    (told.config_age_ms, told.entries_age_ms) = (proof_ms, list_ms);
    (told.engines, told.config, told.reports) = (engines, config, reports);
    Ok(())
}

/// What changed since a serial; nothing for one who has the same, whomever it heard it from.
fn engines(control: &Control, digest: u64, serial: u64) -> Result<FeedEngines, RpcError> {
    let mirror = control.mirror.borrow();
    if digest == mirror.digest() {
        return Ok(FeedEngines::default());
    }
    let delta = mirror.since(serial);
    if !delta.full {
        return Ok(FeedEngines::Changes { items: delta.items, gone: delta.removed });
    }
    let mut kept = control.large.engines.borrow_mut();
    match &*kept {
        Some((serial, packed)) if *serial == delta.serial => Ok(FeedEngines::Whole(packed.clone())),
        _ => {
            let packed = pack(&delta.items)?;
            *kept = Some((delta.serial, packed.clone()));
            Ok(FeedEngines::Whole(packed))
        }
    }
}

/// The configuration in force, its value deflated.
fn config(control: &Control) -> Result<Option<Item>, RpcError> {
    let document = control.document.borrow();
    let Some(item) = &*document else { return Ok(None) };
    let mut kept = control.large.config.borrow_mut();
    if kept.as_ref().is_none_or(|k| k.revision != item.revision) {
        let value = deflate_bytes(&item.value)?.into();
        *kept = Some(Item { value, ..item.clone() });
    }
    Ok(kept.clone())
}

/// # Revision
impl Control {
    /// Whether the configuration in force is newer than that of a node that asks.
    fn has_newer(&self, ask: &FeedRequest) -> bool {
        let (revision, version) = (self.revision(), self.version());
        match revision.era() == ask.revision.era() {
            true => ask.revision < revision,
            false => ask.version < version || (ask.version == version && ask.revision < revision),
        }
    }

    /// The operator's version of the configuration in force; 0 for none.
    pub(super) fn version(&self) -> u64 {
        self.shared.catalog.load().as_ref().map_or(0, |c| c.version)
    }

    /// Revision of the configuration in force.
    pub(super) fn revision(&self) -> Revision {
        self.shared.catalog.load().as_ref().map_or(Revision(0), |c| c.revision)
    }
}
