//! Applies the answers of other nodes to polls: the list of engines, the configuration, and the ages of their proofs.

use std::collections::HashSet;
use std::rc::Rc;

use heathpitch_core::{Millis, Name};
use heathpitch_net::{FeedEngines, FeedResponse, Item, RpcError, inflate_within, unpack};
use heathpitch_policy::{DomainPlanner, PollOutcome, Source};

use super::feed::{FeedState, MAX_LIST_AGE_MS};
use super::rejected_config::RejectedConfig;
use super::state::{Control, Fleet};
use super::{config, engines, nodes, reports};
use crate::gateway::shared::record_proof;

/// Applies the answer to a request sent at `sent`.
pub(super) fn apply(
    control: &Rc<Control>,
    state: &mut FeedState,
    source: &Source,
    sent: Millis,
    response: FeedResponse,
) -> PollOutcome {
    record_nodes(control, source, &response);
    control.receive_forwarders(&response.forwarders);
    control.record_notices(&response.notices, sent, &source.node);
    if let Some(shares) = &response.shares {
        control.receive_shares(&source.node, shares, sent);
    }
    let proven = sent.saturating_sub(response.entries_age_ms);
    let own = control.shared.list_freshness.load().at();
    // An empty delta means that the source has the same list.
    let same = response.engines == FeedEngines::default();
    // A newer configuration was acknowledged by the store, so it holds regardless of the rest of the answer.
    if let Some(config) = &response.config {
        adopt(control, config);
    }
    if !response.fresh || !control.sources.borrow().accepts(&source.node, proven, own, same) {
        return PollOutcome::Declined;
    }
    if let Err(e) = apply_engines(control, &response.engines) {
        log::warn!("invalid list of engines from node {}: {e}", source.node);
        return PollOutcome::Declined;
    }
    state.cursor = response.cursor;
    reports::receive(control, &response.reports, sent);
    record_proof(&control.shared.list_freshness, proven);
    state.fresh_until = proven + MAX_LIST_AGE_MS;
    let confirmed = sent.saturating_sub(response.config_age_ms);
    match control.newest_revision() == response.revision {
        true if control.rejected_config().is_some() => control.confirm_rejected_config(confirmed),
        _ if control.revision() >= response.revision => {
            control.shared.record_config_proof(confirmed);
        }
        // This node has not received the newest configuration yet.
        _ => {}
    }
    PollOutcome::Fresh
}

/// Applies what an answer says of nodes, which its sender may know without access to the store.
pub(super) fn record_nodes(control: &Control, source: &Source, response: &FeedResponse) {
    for p in &response.planners {
        let source = Source { node: p.node.clone(), address: p.address };
        nodes::record_planner(control, &p.domain, DomainPlanner { source, revision: p.revision });
    }
    let is_local = control.sources.borrow().is_local(&source.node);
    if is_local {
        let standbys = response.standbys.iter();
        let standbys =
            standbys.map(|(node, address)| Source { node: node.clone(), address: *address });
        control.sources.borrow_mut().set_standbys(standbys.collect());
    }
    if is_local && response.planner_released {
        control.planner_released_lease();
    }
    if response.fleet_size > 0 {
        let known = control.fleet.get().map(|f| f.domain_size).filter(|_| !is_local);
        let fleet = Fleet {
            fleet_size: response.fleet_size,
            domain_size: known.unwrap_or(response.domain_size),
        };
        if control.fleet.replace(Some(fleet)) != Some(fleet) {
            control.publish();
        }
    }
}

fn adopt(control: &Control, deflated: &Item) {
    let limit = control.shared.settings.load().vm.response_limit();
    match inflate_within(&deflated.value, limit) {
        Ok(value) => {
            config::adopt(control, &Item { value: value.into(), ..deflated.clone() }, "node");
        }
        Err(_) if deflated.revision <= control.revision() => {}
        Err(e) => control.reject_config(RejectedConfig::Decoded(deflated.revision), &e),
    }
}

fn apply_engines(control: &Control, response: &FeedEngines) -> Result<(), RpcError> {
    let (items, removed) = match response {
        FeedEngines::Full(packed) => {
            let items = unpack(packed)?;
            control.retain_rejected_entries(&items);
            let kept: HashSet<Name> =
                items.iter().filter_map(|i| engines::engine_id(control, &i.key)).collect();
            let entries = control.entries.borrow();
            let removed = entries.keys().filter(|id| !kept.contains(*id)).cloned().collect();
            (items, removed)
        }
        FeedEngines::Changes { items, removed } => {
            removed.iter().for_each(|key| control.clear_rejected_entry(key));
            let removed: Vec<Name> =
                removed.iter().filter_map(|key| engines::engine_id(control, key)).collect();
            (items.clone(), removed)
        }
    };
    if items.is_empty() && removed.is_empty() {
        return Ok(());
    }
    engines::put_all(control, &items);
    removed.iter().for_each(|id| engines::remove(control, id, "its source no longer lists it"));
    control.publish();
    Ok(())
}
