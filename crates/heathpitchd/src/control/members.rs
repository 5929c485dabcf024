//! Membership: heartbeats of this node.

use std::sync::atomic::Ordering::Relaxed;

use heathpitch_policy::MemberState;

use super::state::Control;

/// Announces this node and increments its heartbeat when due.
pub(super) fn heartbeat(control: &Control) {
    let now = control.now();
    if now < control.next_heartbeat.get() {
        return;
    }
    control.next_heartbeat.set(now + control.shared.settings.timing.peer_ms);
    let state = match control.shared.draining.load(Relaxed) {
        true => MemberState::Draining,
        false => MemberState::Ready,
    };
    let config = control.replica.borrow().revision();
    let mut members = control.members.borrow_mut();
    members.announce(state, config);
    members.heartbeat(now);
}
