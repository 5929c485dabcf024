//! Configuration and list of VMs: polled from the platform, and taken from peers.

use std::rc::Rc;
use std::time::Duration;

use heathpitch_core::{Revision, Vm};
use heathpitch_net::{Packed, RpcError, VmList, deflate, inflate};
use heathpitch_policy::{Adoption, HealthEvent};

use super::health;
use super::state::Control;
use crate::event::{Event, Source};

/// Key of the configuration document.
const KEY: &str = "config";

/// Polls the document as often as the failure domain needs of this node.
pub(super) async fn poll_config(control: Rc<Control>) {
    let period = control.shared.settings.timing.platform_ms;
    loop {
        let after = control.replica.borrow().revision();
        let read = control.edges.platform.watch(KEY, after, Duration::ZERO).await;
        note(&control, "config", &read);
        if let Ok(Some(stored)) = read {
            adopt(&control, stored.revision, &stored.value, Source::Platform);
        }
        let wait = control.wait(period);
        tokio::time::sleep(Duration::from_millis(wait)).await;
    }
}

/// Polls the list of VMs likewise.
pub(super) async fn poll_list(control: Rc<Control>) {
    let period = control.shared.settings.timing.platform_ms;
    loop {
        let after = control.health.borrow().list();
        let read = control.edges.platform.vms(after).await;
        note(&control, "vms", &read);
        if let Ok(Some(list)) = read {
            listed(&control, list, Source::Platform);
        }
        let wait = control.wait(period);
        tokio::time::sleep(Duration::from_millis(wait)).await;
    }
}

/// Takes the documents that a peer sent.
pub(super) fn from_peer(control: &Control, config: &Packed, vms: &Packed) {
    if !config.bytes.is_empty() && config.revision > control.replica.borrow().revision() {
        match inflate(&config.bytes) {
            Ok(text) => adopt(control, config.revision, &text, Source::Peer),
            Err(e) => log::warn!("a peer's configuration cannot be read: {e}"),
        }
    }
    if !vms.bytes.is_empty() && vms.revision > control.health.borrow().list() {
        let list = inflate(&vms.bytes).map(|t| serde_json::from_str::<Vec<Vm>>(&t));
        match list {
            Ok(Ok(entries)) => {
                let list = VmList { number: vms.revision, vms: entries };
                listed(control, list, Source::Peer);
            }
            _ => log::warn!("a peer's list of VMs cannot be read"),
        }
    }
}

fn adopt(control: &Control, revision: Revision, text: &str, from: Source) {
    let adoption = control.replica.borrow_mut().offer(revision, text);
    match adoption {
        Adoption::Adopted => {
            let index = control.replica.borrow().index();
            control.shared.index.store(index);
            control.shared.metrics.config.set(revision.0 as i64);
            *control.config.borrow_mut() = Packed { revision, bytes: deflate(text).into() };
            control.news.notify_one();
            Event::Adopted { revision, from }.log();
        }
        Adoption::Invalid(e) => Event::Rejected { revision, error: e.to_string() }.log(),
        Adoption::Old => {}
    }
}

fn listed(control: &Control, list: VmList, from: Source) {
    let VmList { number, vms } = list;
    let text = serde_json::to_string(&vms).unwrap_or_default();
    let count = vms.len();
    control.reseed(&vms);
    let now = control.now();
    if control.health.borrow_mut().on(HealthEvent::Listed(number, vms), now) {
        health::forget_unlisted(control);
        control.fleet_dirty.set(true);
        *control.vms.borrow_mut() = Packed { revision: number, bytes: deflate(&text).into() };
        control.news.notify_one();
        Event::Listed { number, vms: count, from }.log();
    }
}

/// Counts a call on the platform; logs when it begins or ceases to answer.
pub(super) fn note<T>(control: &Control, call: &str, answer: &Result<T, RpcError>) {
    let result = if answer.is_ok() { "ok" } else { "error" };
    control.shared.metrics.platform.with_label_values(&[call, result]).inc();
    let reachable = answer.is_ok();
    if control.reachable.replace(Some(reachable)) != Some(reachable) {
        let error = answer.as_ref().err().map(ToString::to_string);
        Event::Platform { reachable, error }.log();
    }
}
