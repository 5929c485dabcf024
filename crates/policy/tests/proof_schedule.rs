//! When a node proves its configuration.

use heathpitch_core::Millis;
use heathpitch_policy::{
    EXCUSE_TTL_MS, MAX_PENDING_PROOFS, MIN_APPLY_MS, PROOF_ANSWER_MS, PROOF_INTERVAL_MS, ProofRole,
    ProofSchedule,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// A node that reads a store which answers.
const READER: ProofRole = ProofRole::Reader { reachable: true };

/// Guards against a planner that does not prove its configuration for seconds, and refuses all calls with keys, because
/// the store did not answer its last proof as a follower.
#[test]
fn a_node_that_begins_to_read_the_store_does_not_wait_as_a_follower() {
    let mut rng = SmallRng::seed_from_u64(1);
    for _ in 0..100 {
        let mut schedule = ProofSchedule::default();
        schedule.follower_sent(4_800, 16, &mut rng);
        schedule.follower_sent(5_000, 16, &mut rng);
        assert_eq!(schedule.due(Some(4_500), READER), 4_500 + PROOF_INTERVAL_MS);
        assert!(
            schedule.due(Some(3_000), ProofRole::Follower { own_age: 1_550 }) >= 5_300,
            "a follower still waits"
        );
    }
}

/// Guards against calls handled by an older configuration because one attempt was refused or lost: it had 1.2 s to be
/// answered, and the retry came 0.6 s after that.
#[test]
fn one_attempt_without_an_answer_keeps_the_agreed_time() {
    let mut rng = SmallRng::seed_from_u64(1);
    for role in [READER, ProofRole::Follower { own_age: ProofSchedule::own_proof_age(None) }] {
        let mut schedule = ProofSchedule::default();
        let first = schedule.due(Some(5_000), role);
        match role {
            ProofRole::Reader { .. } => schedule.reader_sent(first),
            ProofRole::Follower { .. } => schedule.follower_sent(first, 330, &mut rng),
        }
        let second = schedule.due(Some(5_000), role);
        assert!(second + PROOF_ANSWER_MS < 5_000 + MIN_APPLY_MS, "{role:?}: at {second}");
    }
}

/// Guards against a node that cannot send a third attempt within the agreed time because two lost ones, which end only
/// after 1.2 s, count as pending.
#[test]
fn two_lost_attempts_of_a_reader_keep_the_agreed_time() {
    let mut schedule = ProofSchedule::default();
    for _ in 0..2 {
        schedule.reader_sent(schedule.due(Some(5_000), READER));
    }
    let third = schedule.due(Some(5_000), READER);
    assert!(third + PROOF_ANSWER_MS < 5_000 + MIN_APPLY_MS, "at {third}");
    const { assert!(MAX_PENDING_PROOFS > 2) };
}

/// Guards against a follower of a large failure domain whose way to the store returns and that does not ask it before it
/// counts as in touch again, although no call demands it.
#[test]
fn a_follower_tries_again_before_its_failed_attempts_are_out_of_date() {
    let mut rng = SmallRng::seed_from_u64(1);
    let follower = ProofRole::Follower { own_age: ProofSchedule::own_proof_age(None) };
    for contenders in [1, 4, 9, 330] {
        for _ in 0..100 {
            let mut schedule = ProofSchedule::default();
            schedule.follower_sent(6_550, contenders, &mut rng);
            schedule.follower_sent(6_750, contenders, &mut rng);
            let due = schedule.due(Some(5_000), follower);
            assert!((7_050..6_750 + EXCUSE_TTL_MS).contains(&due), "{contenders}: at {due}");
        }
    }
}

/// Guards against a store that returns and is not asked for seconds, and against one that is asked all the time while it
/// is away.
#[test]
fn a_reader_attempts_once_in_1200_ms_while_the_store_is_away() {
    let away = ProofRole::Reader { reachable: false };
    let mut schedule = ProofSchedule::default();
    assert_eq!(attempts(&mut schedule, away), [0, 200, 600, 1_400, 2_600, 3_800, 5_000]);
    assert_eq!(schedule.due(Some(5_000), READER), 11_400, "at once when the store is back");
    schedule.answered(11_400, 11_404);
    schedule.reader_sent(12_400);
    assert_eq!(schedule.due(Some(11_400), away), 12_600, "the next outage starts anew");
}

/// Guards against keys that are too old at a node whose other calls the store answers: it refused six proofs in 4.8 s.
#[test]
fn a_reader_repeats_refused_proofs_while_the_store_answers_other_calls() {
    let mut schedule = ProofSchedule::default();
    let at = attempts(&mut schedule, READER);
    assert_eq!(at, [0, 200, 600, 1_000, 1_400, 1_800, 2_200]);
}

/// Guards against a store that is slowed down further by repeated attempts, because its answers are large.
#[test]
fn slow_answers_are_awaited_before_an_attempt_is_repeated() {
    let mut schedule = ProofSchedule::default();
    schedule.answered(5_000, 5_450);
    schedule.reader_sent(6_000);
    assert_eq!(schedule.due(Some(5_000), READER), 6_900);
    schedule.answered(6_000, 6_004);
    schedule.reader_sent(7_000);
    assert_eq!(schedule.due(Some(6_000), READER), 7_200, "the last answer was fast");
}

/// Times of seven attempts without an answer, from the one that is due after the proof of 5 000.
fn attempts(schedule: &mut ProofSchedule, role: ProofRole) -> Vec<Millis> {
    let next = |_| {
        let due = schedule.due(Some(5_000), role);
        schedule.reader_sent(due);
        due - 6_000
    };
    (0..7).map(next).collect()
}
