//! Gossip exchanges with peers: members, reports, configuration and VM list.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use heathpitch_core::{Name, Revision};
use heathpitch_net::{Demand, Packed, Update, exchange};
use heathpitch_policy::HealthEvent;

use super::config;
use super::state::Control;

/// Members sent in one exchange.
const MAX_MEMBERS: usize = 10;
/// Reports sent in one exchange.
const MAX_REPORTS: usize = 8;
/// Peers contacted at once when a document changes.
const CHANGE_FANOUT: usize = 2;
/// Time limit for one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Exchanges with one random peer per period, and with several at once after a document changes.
pub(super) async fn run(control: Rc<Control>) {
    let period = Duration::from_millis(control.shared.settings.timing.peer_ms);
    loop {
        let changed =
            tokio::time::timeout(period, control.documents_changed.notified()).await.is_ok();
        let count = if changed { CHANGE_FANOUT } else { 1 };
        for _ in 0..count {
            let now = control.now();
            let peer = control.members.borrow().pick_peer(now, &mut *control.rng.borrow_mut());
            if let Some(peer) = peer {
                tokio::task::spawn_local(exchange_with(control.clone(), peer));
            }
        }
    }
}

/// Merges a peer's update and answers with this node's own.
pub(super) fn answer(control: &Control, update: Update) -> Update {
    let (config, vms) = (update.config.revision, update.vms.revision);
    // Values are read before the merge, so that both sides compute the same mean.
    let demand = control.demand.borrow().values();
    merge_update(control, update);
    Update { epoch: demand.0, demand: to_demand(demand.1), ..local_update(control, config, vms) }
}

async fn exchange_with(control: Rc<Control>, peer: Name) {
    let Ok(address) = peer.as_str().parse::<SocketAddr>() else { return };
    let newest = Revision(u64::MAX);
    let sent = local_update(&control, newest, newest);
    let answer = exchange(address, &sent, EXCHANGE_TIMEOUT).await;
    let result = if answer.is_ok() { "ok" } else { "error" };
    control.shared.metrics.exchanges.with_label_values(&[result]).inc();
    let Ok((answer, bytes)) = answer else { return };
    control.shared.metrics.bytes.with_label_values(&["peers"]).inc_by(bytes);
    let (config, vms) = (answer.config.revision, answer.vms.revision);
    merge_update(&control, answer);
    // The peer reported an older revision than this node has; a second exchange sends the document.
    let behind = config < sent.config.revision || vms < sent.vms.revision;
    if behind {
        let second = Update { demand: Vec::new(), epoch: 0, ..local_update(&control, config, vms) };
        if let Ok((answer, bytes)) = exchange(address, &second, EXCHANGE_TIMEOUT).await {
            control.shared.metrics.bytes.with_label_values(&["peers"]).inc_by(bytes);
            merge_update(&control, answer);
        }
    }
}

/// Update for a peer at these revisions; contains documents only if the peer is behind.
fn local_update(control: &Control, config: Revision, vms: Revision) -> Update {
    let now = control.now();
    let pack = |local: &Packed, remote: Revision| match local.revision > remote {
        true => local.clone(),
        false => Packed { revision: local.revision, bytes: [].into() },
    };
    let reports = control.health.borrow().newest(MAX_REPORTS);
    let (epoch, values) = control.demand.borrow().values();
    Update {
        members: control.members.borrow().freshest(MAX_MEMBERS, now),
        reports: reports.iter().map(|r| (**r).clone()).collect(),
        config: pack(&control.config.borrow(), config),
        vms: pack(&control.vms.borrow(), vms),
        demand: to_demand(values),
        epoch,
    }
}

fn to_demand(values: Vec<(u64, f32)>) -> Vec<Demand> {
    values.into_iter().map(|(account, rate)| Demand { account, rate }).collect()
}

fn merge_update(control: &Control, update: Update) {
    let now = control.now();
    control.members.borrow_mut().merge(update.members, now);
    config::merge_from_peer(control, &update.config, &update.vms);
    let demand: Vec<(u64, f32)> = update.demand.iter().map(|d| (d.account, d.rate)).collect();
    control.demand.borrow_mut().merge(update.epoch, &demand);
    for report in update.reports {
        let changed = control.health.borrow_mut().on(HealthEvent::Relayed(report), now);
        if changed {
            control.fleet_dirty.set(true);
        }
    }
}
