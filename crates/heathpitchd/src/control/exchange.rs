//! Exchanges with peers: members, reports, configuration and list of VMs.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use heathpitch_core::{Name, Revision};
use heathpitch_net::{Demand, Packed, Update, exchange};
use heathpitch_policy::HealthEvent;

use super::config;
use super::state::Control;

/// Members passed on in an exchange.
const MEMBERS: usize = 10;
/// Reports passed on in an exchange.
const REPORTS: usize = 8;
/// Peers told at once of a new revision.
const PEERS_TOLD_AT_ONCE: usize = 2;
/// Time for an exchange.
const LIMIT: Duration = Duration::from_millis(1_500);

/// Exchanges with a random peer in every period, and with more at once when there is news.
pub(super) async fn run(control: Rc<Control>) {
    let period = Duration::from_millis(control.shared.settings.timing.peer_ms);
    loop {
        let news = tokio::time::timeout(period, control.news.notified()).await.is_ok();
        let count = if news { PEERS_TOLD_AT_ONCE } else { 1 };
        for _ in 0..count {
            let now = control.now();
            let peer = control.members.borrow().pick_peer(now, &mut *control.rng.borrow_mut());
            if let Some(peer) = peer {
                tokio::task::spawn_local(with(control.clone(), peer));
            }
        }
    }
}

/// Answers a peer's update with this node's own.
pub(super) fn answer(control: &Control, update: Update) -> Update {
    let (config, vms) = (update.config.revision, update.vms.revision);
    // Told before it is heard, so that both sides take the same mean.
    let demand = control.demand.borrow().values();
    take(control, update);
    Update { epoch: demand.0, demand: told(demand.1), ..own(control, config, vms) }
}

async fn with(control: Rc<Control>, peer: Name) {
    let Ok(address) = peer.as_str().parse::<SocketAddr>() else { return };
    let number = Revision(u64::MAX);
    let sent = own(&control, number, number);
    let answer = exchange(address, &sent, LIMIT).await;
    let result = if answer.is_ok() { "ok" } else { "error" };
    control.shared.metrics.exchanges.with_label_values(&[result]).inc();
    let Ok((answer, bytes)) = answer else { return };
    control.shared.metrics.bytes.with_label_values(&["peers"]).inc_by(bytes);
    let (config, vms) = (answer.config.revision, answer.vms.revision);
    take(&control, answer);
    // The peer told an older number than this node has: a second exchange brings it the document.
    let behind = config < sent.config.revision || vms < sent.vms.revision;
    if behind {
        let second = Update { demand: Vec::new(), epoch: 0, ..own(&control, config, vms) };
        if let Ok((answer, bytes)) = exchange(address, &second, LIMIT).await {
            control.shared.metrics.bytes.with_label_values(&["peers"]).inc_by(bytes);
            take(&control, answer);
        }
    }
}

/// What this node tells a peer that has these numbers: documents only if the peer is behind.
fn own(control: &Control, config: Revision, vms: Revision) -> Update {
    let now = control.now();
    let pack = |mine: &Packed, theirs: Revision| match mine.revision > theirs {
        true => mine.clone(),
        false => Packed { revision: mine.revision, bytes: [].into() },
    };
    let reports = control.health.borrow().newest(REPORTS);
    let (epoch, values) = control.demand.borrow().values();
    Update {
        members: control.members.borrow().freshest(MEMBERS, now),
        reports: reports.iter().map(|r| (**r).clone()).collect(),
        config: pack(&control.config.borrow(), config),
        vms: pack(&control.vms.borrow(), vms),
        demand: told(values),
        epoch,
    }
}

fn told(values: Vec<(u64, f32)>) -> Vec<Demand> {
    values.into_iter().map(|(account, rate)| Demand { account, rate }).collect()
}

fn take(control: &Control, update: Update) {
    let now = control.now();
    control.members.borrow_mut().merge(update.members, now);
    config::from_peer(control, &update.config, &update.vms);
    let told: Vec<(u64, f32)> = update.demand.iter().map(|d| (d.account, d.rate)).collect();
    control.demand.borrow_mut().merge(update.epoch, &told);
    for report in update.reports {
        let changed = control.health.borrow_mut().on(HealthEvent::Relayed(report), now);
        if changed {
            control.fleet_dirty.set(true);
        }
    }
}
