//! Configuration and VM list: polled from the platform and received from peers.

use std::rc::Rc;
use std::time::Duration;

use heathpitch_core::{Revision, Vm};
use heathpitch_net::{Packed, RpcError, VmList, deflate, inflate};
use heathpitch_policy::{Adoption, HealthEvent};

use super::health;
use super::state::Control;
use crate::event::{Event, Source};

/// Store key of the configuration document.
const CONFIG_KEY: &str = "config";

/// Polls the configuration; the failure domain's nodes share the polling.
pub(super) async fn poll_config(control: Rc<Control>) {
    let period = control.shared.settings.timing.platform_ms;
    loop {
        let after = control.replica.borrow().revision();
        let read = control.clients.platform.watch(CONFIG_KEY, after, Duration::ZERO).await;
        record_platform_call(&control, "config", &read);
        if let Ok(Some(stored)) = read {
            adopt(&control, stored.revision, &stored.value, Source::Platform);
        }
        let wait = control.next_wait(period);
        tokio::time::sleep(Duration::from_millis(wait)).await;
    }
}

/// Polls the VM list; the failure domain's nodes share the polling.
pub(super) async fn poll_vms(control: Rc<Control>) {
    let period = control.shared.settings.timing.platform_ms;
    loop {
        let after = control.health.borrow().list();
        let read = control.clients.platform.vms(after).await;
        record_platform_call(&control, "vms", &read);
        if let Ok(Some(list)) = read {
            apply_vm_list(&control, list, Source::Platform);
        }
        let wait = control.next_wait(period);
        tokio::time::sleep(Duration::from_millis(wait)).await;
    }
}

/// Merges documents sent by a peer.
pub(super) fn merge_from_peer(control: &Control, config: &Packed, vms: &Packed) {
    if !config.bytes.is_empty() && config.revision > control.replica.borrow().revision() {
        match inflate(&config.bytes) {
            Ok(text) => adopt(control, config.revision, &text, Source::Peer),
            Err(e) => log::warn!("cannot decode the configuration of a peer: {e}"),
        }
    }
    if !vms.bytes.is_empty() && vms.revision > control.health.borrow().list() {
        let list = inflate(&vms.bytes).map(|t| serde_json::from_str::<Vec<Vm>>(&t));
        match list {
            Ok(Ok(entries)) => {
                let list = VmList { number: vms.revision, vms: entries };
                apply_vm_list(control, list, Source::Peer);
            }
            _ => log::warn!("cannot decode the VM list of a peer"),
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
            control.documents_changed.notify_one();
            Event::Adopted { revision, from }.log();
        }
        Adoption::Invalid(e) => Event::Rejected { revision, error: e.to_string() }.log(),
        Adoption::Old => {}
    }
}

fn apply_vm_list(control: &Control, list: VmList, from: Source) {
    let VmList { number: revision, vms } = list;
    let text = serde_json::to_string(&vms).unwrap_or_default();
    let count = vms.len();
    control.update_seeds(&vms);
    let now = control.now();
    if control.health.borrow_mut().on(HealthEvent::Listed(revision, vms), now) {
        health::drop_unlisted(control);
        control.fleet_dirty.set(true);
        *control.vms.borrow_mut() = Packed { revision, bytes: deflate(&text).into() };
        control.documents_changed.notify_one();
        Event::Listed { revision, vms: count, from }.log();
    }
}

/// Counts a platform call; logs when the platform becomes reachable or unreachable.
pub(super) fn record_platform_call<T>(control: &Control, call: &str, answer: &Result<T, RpcError>) {
    let result = if answer.is_ok() { "ok" } else { "error" };
    control.shared.metrics.platform.with_label_values(&[call, result]).inc();
    let reachable = answer.is_ok();
    if control.reachable.replace(Some(reachable)) != Some(reachable) {
        let error = answer.as_ref().err().map(ToString::to_string);
        Event::Platform { reachable, error }.log();
    }
}
