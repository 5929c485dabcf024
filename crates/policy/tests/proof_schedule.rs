//! When a node proves its configuration.

use heathpitch_core::Millis;
use heathpitch_policy::{MIN_APPLY_MS, PROOF_ANSWER_MS, PROOF_INTERVAL_MS, ProofSchedule};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Guards against a planner that does not prove its configuration for seconds, and refuses all calls with keys, because
/// the store did not answer its last proof as a follower.
#[test]
fn a_node_that_begins_to_read_the_store_does_not_wait_as_a_follower() {
    let mut rng = SmallRng::seed_from_u64(1);
    for _ in 0..100 {
        let mut schedule = ProofSchedule::default();
        schedule.follower_sent(4_800, 16, &mut rng);
        schedule.follower_sent(5_000, 16, &mut rng);
        assert_eq!(schedule.due(Some(4_500), None), 4_500 + PROOF_INTERVAL_MS);
        assert!(schedule.due(Some(3_000), Some(1_550)) >= 5_300, "a follower still waits");
    }
}

/// Guards against calls handled by an older configuration because one attempt was refused or lost: it had 1.2 s to be
/// answered, and the retry came 0.6 s after that.
#[test]
fn one_attempt_without_an_answer_keeps_the_agreed_time() {
    let mut rng = SmallRng::seed_from_u64(1);
    for own_age in [None, Some(ProofSchedule::own_proof_age(None))] {
        let mut schedule = ProofSchedule::default();
        let first = schedule.due(Some(5_000), own_age);
        match own_age {
            None => schedule.reader_sent(first),
            Some(_) => schedule.follower_sent(first, 330, &mut rng),
        }
        let second = schedule.due(Some(5_000), own_age);
        assert!(second + PROOF_ANSWER_MS < 5_000 + MIN_APPLY_MS, "{own_age:?}: at {second}");
    }
}

/// Guards against a store that returns and is not asked for seconds, and against one that is asked all the time while it
/// is away.
#[test]
fn a_reader_attempts_once_in_1200_ms_while_the_store_is_away() {
    let mut schedule = ProofSchedule::default();
    let mut at: Vec<Millis> = Vec::new();
    for _ in 0..7 {
        let due = schedule.due(Some(5_000), None);
        schedule.reader_sent(due);
        at.push(due - 6_000);
    }
    assert_eq!(at, [0, 200, 600, 1_400, 2_600, 3_800, 5_000]);
    schedule.answered(11_000);
    schedule.reader_sent(12_000);
    assert_eq!(schedule.due(Some(11_000), None), 12_200, "the next outage starts anew");
}
