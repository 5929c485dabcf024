//! Membership: heartbeats of this node.

use std::sync::atomic::Ordering::Relaxed;

use heathpitch_policy::MemberState;

use super::state::Control;

/// Beats when it is time.
pub(super) fn beat(control: &Control) {
    let now = control.now();
    if now < control.next_beat.get() {
        return;
    }
    control.next_beat.set(now + control.shared.settings.timing.peer_ms);
    let state = match control.shared.draining.load(Relaxed) {
        true => MemberState::Leaving,
        false => MemberState::Ready,
    };
    let config = control.replica.borrow().revision();
    let mut members = control.members.borrow_mut();
    members.announce(state, config);
    members.beat(now);
}
