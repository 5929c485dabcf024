//! What the outcomes of calls show of a node's access to the store.
//!
//! One refused renewal of a lease counted as a store that is away, and ended the watch of the configuration at several
//! nodes at once.

use heathpitch_policy::{CallOutcome, StoreAccess};

/// Guards against an outage that is seen in single refusals, or in several of one moment.
#[test]
fn single_refusals_do_not_make_the_store_unreachable() {
    let mut access = StoreAccess::default();
    for at in [1_000, 1_001, 1_002, 1_003] {
        assert!(!access.record(CallOutcome::Refused, at, at + 4));
    }
    access.record(CallOutcome::Answered, 1_100, 1_104);
    for at in (1_200..9_000).step_by(600) {
        assert!(!access.record(CallOutcome::Refused, at, at + 4));
        assert!(!access.record(CallOutcome::Refused, at + 200, at + 204));
        access.record(CallOutcome::Answered, at + 400, at + 404);
    }
    assert!(access.is_reachable());
}

/// Guards against a node that the store turns away and that does not ask other nodes.
#[test]
fn refusals_in_a_row_make_the_store_unreachable_until_it_answers() {
    let mut access = StoreAccess::default();
    for at in [1_000, 1_200] {
        assert!(!access.record(CallOutcome::Refused, at, at));
    }
    assert!(access.record(CallOutcome::Refused, 1_600, 1_600));
    assert!(!access.is_reachable());
    assert_eq!(access.losses(), 0, "connections are sound");
    assert!(access.record(CallOutcome::Answered, 2_000, 2_004));
    assert_eq!(access.reachable_since(), 2_004);
    assert!(!access.record(CallOutcome::Refused, 2_100, 2_104), "earlier refusals do not count");
}

/// Guards against a call from an outage that is taken for a second one.
#[test]
fn calls_from_before_the_return_are_ignored() {
    let mut access = StoreAccess::default();
    assert!(access.record(CallOutcome::Lost, 1_000, 2_200));
    access.record(CallOutcome::Answered, 2_300, 2_304);
    assert!(!access.record(CallOutcome::Lost, 2_100, 3_300));
    assert!(access.is_reachable());
    assert_eq!(access.losses(), 1);
}

/// Guards against an outage that is seen in a dead connection while calls on new ones are answered.
#[test]
fn a_call_lost_beside_answered_ones_shows_a_dead_connection_only() {
    let mut access = StoreAccess::default();
    access.record(CallOutcome::Answered, 1_200, 1_204);
    assert!(!access.record(CallOutcome::Lost, 1_000, 2_200));
    assert!(access.is_reachable());
    assert_eq!(access.losses(), 1);
    assert!(access.record(CallOutcome::Lost, 1_204, 2_404), "none was answered since");
}
