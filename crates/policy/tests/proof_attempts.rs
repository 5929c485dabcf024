//! Whether calls may be admitted on an old proof of the configuration.

use heathpitch_core::Millis;
use heathpitch_policy::{
    EXCUSE_TTL_MS, FAILURE_SPAN_MS, MIN_APPLY_MS, MIN_CONNECT_MS, MIN_FAILURES, MIN_REFUSALS,
    ProofAttempts, ProofEvidence, ProofFailure, ProofState, REPEAT_SILENCE_MS, admission_age,
    silence_ms,
};

/// Time of the last proof.
const PROVEN: Millis = 5_000;
/// Time between two checks.
const STEP_MS: Millis = 20;

/// Attempts of a node that has [`MIN_APPLY_MS`] to serve by a configuration.
fn attempts_at(times: &[Millis]) -> ProofAttempts {
    let mut attempts = ProofAttempts::new(MIN_APPLY_MS);
    let mut from = times.first().copied().unwrap_or(PROVEN);
    for sent in times {
        run(&mut attempts, from, *sent);
        attempts.sent(*sent, Some(PROVEN));
        from = *sent;
    }
    attempts
}

/// Checks in the course of a time in which the node runs.
fn run(attempts: &mut ProofAttempts, from: Millis, until: Millis) {
    for now in (from..=until).step_by(STEP_MS as usize) {
        attempts.check(now);
    }
}

fn admits(attempts: &ProofAttempts, now: Millis) -> bool {
    state(attempts).admits(now)
}

fn state(attempts: &ProofAttempts) -> ProofState {
    let (excused_until, max_age) = (attempts.excused_until(), admission_age(MIN_APPLY_MS));
    ProofState { confirmed: Some(PROVEN), excused_until, max_age }
}

/// Guards against calls that are admitted on a proof older than the agreed time by a node that has not asked the store
/// since, as one that stood still.
#[test]
fn an_old_proof_without_an_attempt_admits_no_call() {
    for apply_ms in [MIN_APPLY_MS, 3_000, 9_000] {
        let max_age = admission_age(apply_ms);
        let state = ProofState { confirmed: Some(PROVEN), excused_until: 0, max_age };
        assert!(state.admits(PROVEN + max_age - 1) && max_age < apply_ms);
        assert!(!state.admits(PROVEN + apply_ms));
        assert!(state.needs_attempt(PROVEN + max_age - 1), "before calls have to wait");
        assert!(!ProofState { confirmed: None, ..state }.admits(PROVEN), "without any proof");
    }
}

/// Guards against attempts that share one fate, as on connections closed while idle, and are taken for a store that is
/// away.
#[test]
fn attempts_that_fail_within_a_moment_do_not_excuse_an_old_proof() {
    let mut attempts = attempts_at(&[]);
    for sent in [6_550, 6_750, 6_900, 7_000] {
        attempts.sent(sent, Some(PROVEN));
        attempts.failed(sent, ProofFailure::Failed, 0, sent + 2);
        assert!(!admits(&attempts, 7_050), "after the attempt of {sent}");
    }
    const { assert!(MIN_FAILURES < 4) };
    let later = 6_550 + FAILURE_SPAN_MS;
    attempts.sent(later, Some(PROVEN));
    attempts.failed(later, ProofFailure::Failed, 0, later + 2);
    assert!(admits(&attempts, later + 2), "connections are reset");
}

/// Guards against calls handled by an older configuration beside a store that answers late after a machine stood still, and
/// against ones that wait again and again while it is away.
#[test]
fn attempts_without_an_answer_excuse_an_old_proof_after_a_long_silence_and_for_a_bounded_time() {
    for apply_ms in [MIN_APPLY_MS, 3_000] {
        let mut attempts = ProofAttempts::new(apply_ms);
        attempts.sent(6_550, Some(PROVEN));
        run(&mut attempts, 6_550, 6_750);
        attempts.sent(6_750, Some(PROVEN));
        run(&mut attempts, 6_750, 6_550 + silence_ms(apply_ms) - STEP_MS);
        assert_eq!(attempts.excused_until(), 0, "{apply_ms}: the store may be late");
        run(&mut attempts, 6_550 + silence_ms(apply_ms), 6_550 + silence_ms(apply_ms) + STEP_MS);
        assert_eq!(attempts.evidence(), Some(ProofEvidence::Silent));
        let excused_until = attempts.excused_until();
        let state = ProofState { excused_until, ..state(&attempts) };
        assert!(state.admits(6_750 + EXCUSE_TTL_MS - 1));
        assert!(state.needs_attempt(6_750 + EXCUSE_TTL_MS - 1), "before calls have to wait");
        assert!(!state.admits(6_750 + EXCUSE_TTL_MS));
        attempts.answered();
        assert_eq!((attempts.next_check(), attempts.excused_until()), (None, 0));
    }
}

/// Guards against a store that is asked once, on a connection that died while it was idle, and is taken for away.
#[test]
fn silence_on_one_connection_does_not_excuse_an_old_proof() {
    let mut attempts = attempts_at(&[6_550]);
    run(&mut attempts, 6_550, 6_550 + 2 * silence_ms(MIN_APPLY_MS));
    assert_eq!(attempts.excused_until(), 0);
    let repeated = 6_550 + 2 * silence_ms(MIN_APPLY_MS) + STEP_MS;
    attempts.sent(repeated, Some(PROVEN));
    run(&mut attempts, repeated, repeated + REPEAT_SILENCE_MS - STEP_MS);
    assert_eq!(attempts.excused_until(), 0);
    run(&mut attempts, repeated + REPEAT_SILENCE_MS, repeated + REPEAT_SILENCE_MS + STEP_MS);
    assert_eq!(attempts.excused_until(), repeated + EXCUSE_TTL_MS);
}

/// Guards against a node that resumes and takes the time in which it stood still for silence of the store, although the
/// answer has arrived or the store stood still as well.
#[test]
fn time_in_which_the_node_did_not_run_is_no_silence_of_the_store() {
    let mut attempts = attempts_at(&[6_550, 6_750]);
    run(&mut attempts, 6_750, 6_750 + REPEAT_SILENCE_MS);
    attempts.check(9_000);
    attempts.failed(6_550, ProofFailure::Failed, 0, 9_000);
    attempts.failed(6_750, ProofFailure::Unconnected, 0, 9_000);
    assert_eq!(attempts.excused_until(), 0);
    attempts.sent(9_010, Some(PROVEN));
    attempts.sent(9_070, Some(PROVEN));
    run(&mut attempts, 9_070, 9_010 + silence_ms(MIN_APPLY_MS) - STEP_MS);
    assert_eq!(attempts.excused_until(), 0, "silence counts anew");
}

/// Guards against a node that had a processor for a part of the time and takes a store for away that it did not ask for long.
#[test]
fn a_thread_that_is_late_again_and_again_counts_a_part_of_the_time_as_silence() {
    let mut attempts = attempts_at(&[6_550, 6_650]);
    let mut now = 6_650;
    while attempts.excused_until() == 0 {
        now += 200;
        attempts.check(now);
        assert!(now < 20_000, "a node that is cut off goes on serving");
    }
    assert!(now - 6_550 > 2 * silence_ms(MIN_APPLY_MS), "at {now}");
}

/// Guards against calls that wait for long while a node is cut off: its connections are not established.
#[test]
fn a_new_connection_that_is_not_established_excuses_an_old_proof() {
    let mut attempts = attempts_at(&[6_550, 6_750]);
    attempts.failed(6_550, ProofFailure::Unconnected, 0, 6_550 + MIN_CONNECT_MS);
    assert_eq!(attempts.excused_until(), 0, "once");
    attempts.failed(6_750, ProofFailure::Unconnected, 0, 6_750 + MIN_CONNECT_MS);
    assert_eq!(attempts.evidence(), Some(ProofEvidence::Unconnected));
    assert!(admits(&attempts, 6_750 + EXCUSE_TTL_MS - 1));
    let mut attempts = attempts_at(&[6_550, 6_750]);
    attempts.failed(6_750, ProofFailure::Unconnected, 0, 6_751);
    assert_eq!(attempts.excused_until(), 0, "a process that is being started anew refuses them");
}

/// Guards against a store that refuses calls beyond its rates, and is taken for away by nodes whose attempts are among these.
#[test]
fn only_many_refusals_in_a_row_excuse_an_old_proof() {
    let sent = |i: u32| 6_550 + 70 * Millis::from(i);
    let mut attempts = attempts_at(&[]);
    for i in 0..MIN_REFUSALS {
        assert_eq!(attempts.excused_until(), 0, "after {i}");
        attempts.sent(sent(i), Some(PROVEN));
        attempts.failed(sent(i), ProofFailure::Refused, 6_000, sent(i) + 1);
    }
    assert_eq!(attempts.evidence(), Some(ProofEvidence::Refused));
    assert!(admits(&attempts, sent(MIN_REFUSALS)), "a node that is turned away goes on serving");
    let mut attempts = attempts_at(&[]);
    for i in 0..3 * MIN_REFUSALS {
        attempts.sent(sent(i), Some(PROVEN));
        // Every fifth other call is answered.
        let answered = sent(i / 5 * 5);
        attempts.failed(sent(i), ProofFailure::Refused, answered, sent(i) + 1);
    }
    assert_eq!(attempts.excused_until(), 0, "the store answers other calls");
}

/// Guards against an attempt from before the last proof, which came from another node, as a sign that the store does not
/// answer since; it may also end late.
#[test]
fn attempts_from_before_a_proof_say_nothing_of_the_time_after_it() {
    let mut attempts = attempts_at(&[6_550, 6_750]);
    run(&mut attempts, 6_750, 6_750 + silence_ms(MIN_APPLY_MS));
    assert!(admits(&attempts, 7_700));
    let fed = ProofState { confirmed: Some(6_800), ..state(&attempts) };
    assert!(!fed.admits(6_800 + MIN_APPLY_MS));
    attempts.sent(8_350, Some(6_800));
    attempts.failed(6_750, ProofFailure::Failed, 0, 8_400);
    attempts.failed(8_350, ProofFailure::Failed, 0, 8_400);
    assert_eq!(attempts.excused_until(), 0, "one failed attempt since");
}

/// Guards against calls that are admitted by an older configuration although the store has answered with a newer one, which
/// is not in force yet.
#[test]
fn an_answer_that_is_not_handled_yet_ends_the_excuse_of_an_old_proof() {
    let mut attempts = attempts_at(&[6_550, 6_750]);
    run(&mut attempts, 6_750, 6_550 + silence_ms(MIN_APPLY_MS) + STEP_MS);
    assert!(admits(&attempts, 7_700));
    attempts.heard();
    assert!(!admits(&attempts, 7_700));
    run(&mut attempts, 7_700, 7_700 + 2 * silence_ms(MIN_APPLY_MS));
    assert_eq!(attempts.excused_until(), 0, "the store was not silent");
}
