//! Finds out that the VM was suspended, and has everything that waits look at the time again.
//!
//! What is known is not touched: its age counts the suspension by itself. Connections that were idle may
//! have been given up by the other side meanwhile, and are closed.

use std::rc::Rc;
use std::time::Duration;

use heathpitch_policy::SuspensionDetector;

use super::state::Control;
use crate::gateway::event::GatewayEvent;

/// Time between two looks: what waits for its time is late by no more once the VM goes on.
const LOOK: Duration = Duration::from_millis(100);

/// Looks at the clocks again and again.
pub(super) async fn watch(control: Rc<Control>) {
    let shared = &control.shared;
    let mut detector = SuspensionDetector::new(shared.clock.clocks());
    loop {
        tokio::time::sleep(LOOK).await;
        let Some(ms) = detector.poll(shared.clock.clocks()) else { continue };
        let now = control.now();
        let (proof_ms, list_ms) =
            (shared.config_freshness.load().age(now), shared.list_freshness.load().age(now));
        GatewayEvent::VmSuspended { ms, proof_ms, list_ms }.log();
        shared.pool.close_all_idle();
        shared.resume();
        // Whoever waits for a turn, for the store's return or for its next try looks again.
        control.turned.notify_waiters();
    }
}
