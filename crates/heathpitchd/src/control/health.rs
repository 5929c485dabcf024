//! Health of upstreams: shared polls, and failures told by requests.

use std::rc::Rc;
use std::sync::Arc;

use heathpitch_core::{Incarnation, Millis, Name, Vm};
use heathpitch_policy::HealthEvent;

use super::state::Control;

/// Polls of other failure domains are this many times rarer.
const FAR: u64 = 8;
/// Bytes of a cache event on the wire.
const EVENT_BYTES: usize = 56;
/// Polls started in one tick.
const MAX_POLLS: usize = 64;

/// Starts the polls that are due.
pub(super) fn poll_due(control: &Rc<Control>) {
    let now = control.now();
    let period = control.shared.settings.timing.engine_ms;
    for vm in due(control, now) {
        let near = vm.domain == control.shared.settings.domain;
        let period = if near { period } else { period * FAR };
        let at = now + control.wait(period);
        control.due.borrow_mut().insert(vm.name.clone(), at);
        tokio::task::spawn_local(poll(control.clone(), vm));
    }
}

fn due(control: &Control, now: Millis) -> Vec<Arc<Vm>> {
    let (health, due) = (control.health.borrow(), control.due.borrow());
    let is_due = |vm: &&Arc<Vm>| due.get(&vm.name).is_none_or(|at| *at <= now);
    health.targets().filter(is_due).take(MAX_POLLS).cloned().collect()
}

/// Forgets timers and cache contents of upstreams that are no longer listed.
pub(super) fn forget_unlisted(control: &Control) {
    let (health, now) = (control.health.borrow(), control.now());
    let listed = |name: &str| health.status(name, now).is_some();
    control.due.borrow_mut().retain(|name, _| listed(name.as_str()));
    control.prefixes.borrow_mut().retain(listed);
}

async fn poll(control: Rc<Control>, vm: Arc<Vm>) {
    let answer = control.edges.engine.report(&vm.address).await;
    let result = if answer.is_ok() { "ok" } else { "error" };
    control.shared.metrics.polls.with_label_values(&[result]).inc();
    let event = match answer {
        Ok(report) if report.engine == vm.name => HealthEvent::Polled(report),
        Ok(_) | Err(_) => HealthEvent::PollFailed(vm.name.clone()),
    };
    let life = match &event {
        HealthEvent::Polled(report) if report.model.is_some() => Some(report.life),
        _ => None,
    };
    let now = control.now();
    if control.health.borrow_mut().on(event, now) {
        control.fleet_dirty.set(true);
    }
    if let Some(life) = life.filter(|_| vm.domain == control.shared.settings.domain) {
        read_events(&control, &vm, life).await;
    }
}

/// Reads an engine's cache events, as far as the bound on control traffic allows.
async fn read_events(control: &Control, vm: &Vm, life: Incarnation) {
    if control.reading.borrow_mut().take(control.now()).is_err() {
        return;
    }
    let after = control.prefixes.borrow().position(vm.name.as_str(), life);
    let Ok(read) = control.edges.engine.events(&vm.address, after).await else { return };
    let count = read.events.len() + read.snapshot.as_ref().map_or(0, Vec::len);
    control.reading.borrow_mut().spend((count * EVENT_BYTES) as f64 / 1_000.0);
    let mut prefixes = control.prefixes.borrow_mut();
    match read.snapshot {
        Some(blocks) => prefixes.replace(&vm.name, life, read.serial, &blocks),
        None => prefixes.events(&vm.name, life, &read.events),
    }
}

/// Takes note of a failure that a request saw, and polls the upstream at once.
pub(super) fn failed(control: &Rc<Control>, name: Name) {
    let now = control.now();
    control.health.borrow_mut().on(HealthEvent::RequestFailed(name.clone()), now);
    if let Some(at) = control.due.borrow_mut().get_mut(&name) {
        *at = now;
    }
}
