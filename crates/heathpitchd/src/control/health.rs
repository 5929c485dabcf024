//! Health of upstreams: polling shared within the failure domain, and failures seen by requests.

use std::rc::Rc;
use std::sync::Arc;

use heathpitch_core::{Incarnation, Millis, Name, Vm};
use heathpitch_policy::HealthEvent;

use super::state::Control;

/// Factor by which the poll period of other failure domains is longer.
const REMOTE_PERIOD_FACTOR: u64 = 8;
/// Size of a cache event on the wire.
const EVENT_BYTES: usize = 56;
/// Maximum number of polls started per tick.
const MAX_POLLS_PER_TICK: usize = 64;

/// Starts the polls that are due.
pub(super) fn poll_due(control: &Rc<Control>) {
    let now = control.now();
    let period = control.shared.settings.timing.engine_ms;
    for vm in due(control, now) {
        let is_local = vm.domain == control.shared.settings.domain;
        let period = if is_local { period } else { period * REMOTE_PERIOD_FACTOR };
        let at = now + control.next_wait(period);
        control.next_polls.borrow_mut().insert(vm.name.clone(), at);
        tokio::task::spawn_local(poll(control.clone(), vm));
    }
}

fn due(control: &Control, now: Millis) -> Vec<Arc<Vm>> {
    let (health, due) = (control.health.borrow(), control.next_polls.borrow());
    let is_due = |vm: &&Arc<Vm>| due.get(&vm.name).is_none_or(|at| *at <= now);
    health.targets().filter(is_due).take(MAX_POLLS_PER_TICK).cloned().collect()
}

/// Drops poll times and cache contents of upstreams that are no longer listed.
pub(super) fn drop_unlisted(control: &Control) {
    let (health, now) = (control.health.borrow(), control.now());
    let listed = |name: &str| health.status(name, now).is_some();
    control.next_polls.borrow_mut().retain(|name, _| listed(name.as_str()));
    control.prefixes.borrow_mut().retain(listed);
}

async fn poll(control: Rc<Control>, vm: Arc<Vm>) {
    let answer = control.clients.engine.report(&vm.address).await;
    let result = if answer.is_ok() { "ok" } else { "error" };
    control.shared.metrics.polls.with_label_values(&[result]).inc();
    let event = match answer {
        Ok(report) if report.engine == vm.name => HealthEvent::Polled(report),
        Ok(_) | Err(_) => HealthEvent::PollFailed(vm.name.clone()),
    };
    let incarnation = match &event {
        HealthEvent::Polled(report) if report.model.is_some() => Some(report.incarnation),
        _ => None,
    };
    let now = control.now();
    if control.health.borrow_mut().on(event, now) {
        control.fleet_dirty.set(true);
    }
    if let Some(incarnation) = incarnation.filter(|_| vm.domain == control.shared.settings.domain) {
        read_cache_events(&control, &vm, incarnation).await;
    }
}

/// Reads an engine's cache events, within the bound on control traffic.
async fn read_cache_events(control: &Control, vm: &Vm, incarnation: Incarnation) {
    if control.event_budget.borrow_mut().take(control.now()).is_err() {
        return;
    }
    let after = control.prefixes.borrow().position(vm.name.as_str(), incarnation);
    let Ok(read) = control.clients.engine.events(&vm.address, after).await else { return };
    let count = read.events.len() + read.snapshot.as_ref().map_or(0, Vec::len);
    control.event_budget.borrow_mut().spend((count * EVENT_BYTES) as f64 / 1_000.0);
    let mut prefixes = control.prefixes.borrow_mut();
    match read.snapshot {
        Some(blocks) => prefixes.replace(&vm.name, incarnation, read.serial, &blocks),
        None => prefixes.events(&vm.name, incarnation, &read.events),
    }
}

/// Records a failure seen by a request and makes a poll of the upstream due at once.
pub(super) fn request_failed(control: &Rc<Control>, name: Name) {
    let now = control.now();
    control.health.borrow_mut().on(HealthEvent::RequestFailed(name.clone()), now);
    if let Some(at) = control.next_polls.borrow_mut().get_mut(&name) {
        *at = now;
    }
}
