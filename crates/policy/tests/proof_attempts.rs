//! Whether calls may be admitted on an old proof of the configuration.

use heathpitch_core::Millis;
use heathpitch_policy::{
    ADMISSION_AGE_MS, EXCUSE_TTL_MS, FAILURE_SPAN_MS, MIN_APPLY_MS, ProofAttempts, ProofState,
    SILENCE_MS,
};

/// Time of the last proof.
const PROVEN: Millis = 5_000;

fn admits(attempts: &ProofAttempts, now: Millis) -> bool {
    state(attempts).admits(now)
}

fn state(attempts: &ProofAttempts) -> ProofState {
    ProofState { confirmed: Some(PROVEN), excused_until: attempts.excused_until() }
}

/// Guards against calls that are admitted on a proof older than the agreed time by a node that has not asked the store
/// since, as one that stood still.
#[test]
fn an_old_proof_without_an_attempt_admits_no_call() {
    let attempts = ProofAttempts::default();
    assert!(admits(&attempts, PROVEN + ADMISSION_AGE_MS - 1));
    assert!(!admits(&attempts, PROVEN + MIN_APPLY_MS));
    assert!(state(&attempts).needs_attempt(PROVEN + MIN_APPLY_MS));
    assert!(!ProofState::default().admits(PROVEN), "without any proof");
}

/// Guards against two attempts that share one fate, as on connections closed while idle or beyond the store's rates, and
/// are taken for a store that does not answer.
#[test]
fn attempts_that_fail_within_a_moment_do_not_excuse_an_old_proof() {
    let mut attempts = ProofAttempts::default();
    for sent in [6_550, 6_750, 6_900, 7_000] {
        attempts.sent(sent, Some(PROVEN));
        attempts.failed(sent, sent + 2);
        assert!(!admits(&attempts, 7_050), "after the attempt of {sent}");
    }
    let later = 6_550 + FAILURE_SPAN_MS;
    attempts.sent(later, Some(PROVEN));
    attempts.failed(later, later + 2);
    assert!(admits(&attempts, later + 2), "the store refuses this node");
}

/// Guards against calls that wait while a node is cut off from the store, and against ones that wait again and again.
#[test]
fn a_repeated_attempt_without_an_answer_excuses_an_old_proof_for_a_bounded_time() {
    let mut attempts = ProofAttempts::default();
    attempts.sent(6_550, Some(PROVEN));
    attempts.check(6_550 + SILENCE_MS);
    assert!(!admits(&attempts, 7_000), "its connection may be dead");
    attempts.sent(6_750, Some(PROVEN));
    assert_eq!(attempts.next_check(), Some(6_750 + SILENCE_MS));
    attempts.check(6_750 + SILENCE_MS);
    assert_eq!(attempts.next_check(), None, "until the next attempt");
    assert!(admits(&attempts, 7_050));
    assert!(admits(&attempts, 6_750 + EXCUSE_TTL_MS - 1));
    assert!(state(&attempts).needs_attempt(6_750 + EXCUSE_TTL_MS - 1), "before calls have to wait");
    assert!(!admits(&attempts, 6_750 + EXCUSE_TTL_MS));
}

/// Guards against a node that resumes and takes the time in which it stood still for silence of the store, although the
/// answer has arrived.
#[test]
fn time_in_which_the_node_did_not_run_is_no_silence_of_the_store() {
    let mut attempts = ProofAttempts::default();
    attempts.sent(6_550, Some(PROVEN));
    attempts.sent(6_750, Some(PROVEN));
    attempts.resumed(9_000);
    attempts.check(9_000);
    assert!(!admits(&attempts, 9_000));
    assert_eq!(attempts.next_check(), Some(9_000 + SILENCE_MS));
    attempts.answered();
    assert_eq!((attempts.next_check(), attempts.excused_until()), (None, 0));
}

/// Guards against an attempt from before the last proof, which came from another node, as a sign that the store does not
/// answer since; it may also end late.
#[test]
fn attempts_from_before_a_proof_say_nothing_of_the_time_after_it() {
    let mut attempts = ProofAttempts::default();
    attempts.sent(6_550, Some(PROVEN));
    attempts.sent(6_750, Some(PROVEN));
    attempts.check(7_050);
    let fed = ProofState { confirmed: Some(6_800), excused_until: attempts.excused_until() };
    assert!(!fed.admits(6_800 + MIN_APPLY_MS));
    attempts.sent(8_350, Some(6_800));
    attempts.failed(6_750, 8_400);
    attempts.failed(8_350, 8_400);
    assert_eq!(attempts.excused_until(), 0, "one failed attempt since");
}
