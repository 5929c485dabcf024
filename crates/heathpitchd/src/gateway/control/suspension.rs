//! Detects suspensions of the VM, and makes all waiting tasks check the time again.
//!
//! Known state is kept, since its age includes the suspension. Idle connections are closed, since
//! the peer may have dropped them in the meantime.

use std::rc::Rc;
use std::time::Duration;

use heathpitch_policy::SuspensionDetector;

use super::state::Control;
use crate::gateway::event::GatewayEvent;
use crate::gateway::thread_monitor::ThreadMonitor;

/// Interval between polls of the clocks; timers are late by no more than this once the VM resumes.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Polls the clocks periodically, and checks whether the thread was held up meanwhile.
pub(super) async fn watch(control: Rc<Control>, monitor: Rc<ThreadMonitor>) {
    let shared = &control.shared;
    let mut detector = SuspensionDetector::new(shared.clock.clocks());
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        monitor.check(POLL_INTERVAL);
        let Some(ms) = detector.poll(shared.clock.clocks()) else { continue };
        let now = control.now();
        let (proof_ms, list_ms) =
            (shared.config_freshness.load().age(now), shared.list_freshness.load().age(now));
        GatewayEvent::VmSuspended { ms, proof_ms, list_ms }.log();
        shared.pool.close_all_idle();
        shared.resume();
        shared.config_proofs.resume();
        // Wakes tasks that wait for a role change, for the store, or for a retry.
        control.role_changed.notify_waiters();
    }
}
