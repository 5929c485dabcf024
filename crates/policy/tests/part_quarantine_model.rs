//! Parts of prompts that crash engines, in a model of fleets of 7 to 985 nodes.
//!
//! Guards against a memory of parts that holds back sound requests: where engines exit for other
//! reasons, and beside a part that crashes them, sound requests that share all other parts are lost
//! as young and as often as the faulty ones.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails its test")]

mod part_model;

use part_model::{Cause, DISTURBED_AT_MS, Outcome, Scene, Way, play};

const SIZES: [usize; 3] = [7, 87, 985];

#[test]
fn parts_that_crash_engines_are_held_back_and_no_sound_request_is() {
    for nodes in SIZES {
        for count in [1, 2] {
            let cause = Cause::Parts(count);
            let sum = play(Scene::new(nodes, cause));
            assert_eq!(sum.held, 0, "{sum:?}");
            assert!(sum.late <= 1, "{sum:?}");
        }
    }
}

#[test]
fn no_part_is_held_back_where_engines_exit_for_other_reasons() {
    for nodes in SIZES {
        for cause in [Cause::Racks, Cause::Chance] {
            let sum = play(Scene::new(nodes, cause));
            assert!(sum.exited > 20 && sum.held == 0, "{sum:?}");
        }
    }
}

#[test]
fn nodes_that_all_start_anew_before_the_verdict_find_the_part_again() {
    for restart_at in [DISTURBED_AT_MS + 400, DISTURBED_AT_MS + 1_000] {
        let restart_at = Some(restart_at);
        let cause = Cause::Parts(1);
        let sum = play(Scene { restart_at, ..Scene::new(87, cause) });
        assert_eq!(sum.held, 0, "{sum:?}");
        assert!(sum.late <= 1, "{sum:?}");
    }
}

/// Nodes that are killed again and again, sooner than enough engines exit for a verdict.
fn killed_again_and_again(nodes: usize, records: bool) -> Outcome {
    let (restart_at, restart_every) = (Some(DISTURBED_AT_MS + 1_500), Some(1_500));
    play(Scene { restart_at, restart_every, records, ..Scene::new(nodes, Cause::Parts(1)) })
}

/// Guards against exits that are forgotten with the nodes that know them.
#[test]
fn nodes_that_all_start_anew_again_and_again_hold_the_part_back() {
    for nodes in SIZES {
        let sum = killed_again_and_again(nodes, true);
        assert_eq!(sum.held, 0, "{sum:?}");
        assert!(sum.late <= 1, "{sum:?}");
    }
}

/// Plays a part that crashes engines in an unusual way, at all sizes.
fn assert_held_back(way: Way, scene: impl Fn(Scene) -> Scene) {
    for nodes in [7, 70, 985] {
        let sum = play(scene(Scene { way, ..Scene::new(nodes, Cause::Parts(1)) }));
        assert_eq!(sum.held, 0, "{sum:?}");
        assert!(sum.late <= 1, "{sum:?}");
    }
}

fn undisturbed(scene: Scene) -> Scene {
    scene
}

/// All nodes start anew a second after the first exit.
fn restarted(scene: Scene) -> Scene {
    Scene { restart_at: Some(DISTURBED_AT_MS + 1_000), ..scene }
}

fn cut(scene: Scene) -> Scene {
    Scene { cut: true, ..scene }
}

/// Guards against answers from before that keep a part from being blamed.
#[test]
fn a_part_that_was_answered_before_is_held_back() {
    assert_held_back(Way::AnsweredBefore, undisturbed);
}

#[test]
fn a_part_that_was_answered_before_is_held_back_if_all_nodes_start_anew() {
    assert_held_back(Way::AnsweredBefore, restarted);
}

#[test]
fn a_part_that_was_answered_before_is_held_back_beside_a_cut() {
    assert_held_back(Way::AnsweredBefore, cut);
}

/// Guards against a part that ends all engines at one moment, so that nothing else is answered beside it.
#[test]
fn a_part_that_ends_most_engines_at_one_moment_is_held_back() {
    assert_held_back(Way::AnsweredUntil, undisturbed);
}

/// Guards against a last part that is taken for that of one request.
#[test]
fn a_last_part_is_held_back() {
    assert_held_back(Way::LastPart, undisturbed);
    assert_held_back(Way::LastPart, restarted);
    assert_held_back(Way::LastPart, cut);
}

/// Guards against exits of one moment that count as one.
#[test]
fn a_part_whose_requests_come_in_waves_is_held_back() {
    assert_held_back(Way::Waves, undisturbed);
    assert_held_back(Way::Waves, restarted);
    assert_held_back(Way::Waves, cut);
}

/// Guards against engines that bear a part and clear it for all.
#[test]
fn a_part_that_some_engines_bear_is_held_back() {
    assert_held_back(Way::Borne, undisturbed);
}

#[test]
fn a_part_that_some_engines_bear_is_held_back_if_all_nodes_start_anew() {
    assert_held_back(Way::Borne, restarted);
}

#[test]
fn a_part_that_some_engines_bear_is_held_back_beside_a_cut() {
    assert_held_back(Way::Borne, cut);
}

/// Guards against accounts that each have too few exits for a verdict.
#[test]
fn a_part_of_several_accounts_is_held_back() {
    assert_held_back(Way::Accounts, undisturbed);
}

#[test]
fn a_part_of_several_accounts_is_held_back_if_all_nodes_start_anew() {
    assert_held_back(Way::Accounts, restarted);
}

#[test]
fn a_part_of_several_accounts_is_held_back_beside_a_cut() {
    assert_held_back(Way::Accounts, cut);
}

/// Shows what the record in the store carries.
#[test]
fn without_the_record_nodes_that_start_anew_again_and_again_find_nothing() {
    assert!(killed_again_and_again(87, false).late > 1);
}

/// Shows what the memory of answers carries.
#[test]
fn without_the_memory_of_answers_sound_requests_are_held_back() {
    let scene = |cause| Scene { remembers: false, ..Scene::new(87, cause) };
    assert!(play(scene(Cause::Chance)).held > 0);
}
