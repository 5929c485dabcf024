//! Standing of upstreams by disagreeing, lagging words.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod common;

use common::{name, report, vm};
use heathpitch_core::{Revision, VmState};
use heathpitch_policy::{Health, HealthEvent, Standing};

fn listed() -> Health {
    let mut health = Health::new();
    health.on(HealthEvent::Listed(Revision(1), vec![vm("e")]), 0);
    health
}

#[test]
fn an_engine_is_new_until_it_is_heard() {
    let mut health = listed();
    assert_eq!(health.standing("e", 0), Some(Standing::New));
    health.on(HealthEvent::Polled(report("e", 0, 4)), 10);
    assert_eq!(health.standing("e", 10), Some(Standing::Up));
}

#[test]
fn silence_and_failed_polls_take_it_down() {
    let mut health = listed();
    health.on(HealthEvent::Polled(report("e", 0, 4)), 10);
    assert_eq!(health.standing("e", 400_000), Some(Standing::Down));
    health.on(HealthEvent::PollFailed(name("e")), 20);
    assert_eq!(health.standing("e", 20), Some(Standing::Up));
    health.on(HealthEvent::PollFailed(name("e")), 30);
    assert_eq!(health.standing("e", 30), Some(Standing::Down));
}

/// An engine that only others can reach stays down here, however much they tell of it.
#[test]
fn a_passed_on_report_does_not_bring_back_what_cannot_be_reached_from_here() {
    let mut health = listed();
    health.on(HealthEvent::Polled(report("e", 0, 4)), 10);
    health.on(HealthEvent::PollFailed(name("e")), 20);
    health.on(HealthEvent::PollFailed(name("e")), 30);
    let mut newer = report("e", 0, 4);
    newer.serial = 2;
    health.on(HealthEvent::Passed(newer.clone()), 40);
    assert_eq!(health.standing("e", 40), Some(Standing::Down));
    health.on(HealthEvent::Polled(newer), 50);
    assert_eq!(health.standing("e", 50), Some(Standing::Up));
}

#[test]
fn either_word_of_leaving_is_enough() {
    let mut health = listed();
    let mut leaving = report("e", 0, 4);
    leaving.leaving = true;
    health.on(HealthEvent::Polled(leaving), 10);
    assert_eq!(health.standing("e", 10), Some(Standing::Leaving));

    let mut health = listed();
    health.on(HealthEvent::Polled(report("e", 0, 4)), 10);
    let mut gone = vm("e");
    gone.state = VmState::Leaving;
    health.on(HealthEvent::Listed(Revision(2), vec![gone]), 20);
    assert_eq!(health.standing("e", 20), Some(Standing::Leaving));
    assert!(health.fleet(20).is_empty());
}

#[test]
fn a_restarted_engine_comes_back_and_its_old_words_do_not() {
    let mut health = listed();
    let mut leaving = report("e", 0, 4);
    leaving.leaving = true;
    leaving.serial = 9;
    health.on(HealthEvent::Polled(leaving.clone()), 10);
    let mut again = report("e", 0, 4);
    again.life.0 = 2;
    health.on(HealthEvent::Polled(again), 20);
    assert_eq!(health.standing("e", 20), Some(Standing::Up));
    health.on(HealthEvent::Passed(leaving), 30);
    assert_eq!(health.standing("e", 30), Some(Standing::Up));
}

#[test]
fn a_vm_that_is_no_longer_listed_is_gone() {
    let mut health = listed();
    health.on(HealthEvent::Polled(report("e", 0, 4)), 10);
    health.on(HealthEvent::Listed(Revision(2), vec![]), 20);
    assert_eq!(health.standing("e", 20), None);
}

/// A node that is too busy to hear anybody must not leave every engine at once.
#[test]
fn late_answers_of_nearly_all_engines_are_not_believed() {
    use heathpitch_policy::{ProbeResult, suspects};
    let looks = |late: usize, gone: usize| -> Vec<_> {
        let sign = |i: usize| match i {
            i if i < gone => ProbeResult::Unreachable,
            i if i < gone + late => ProbeResult::TimedOut,
            _ => ProbeResult::Alive,
        };
        (0..12).map(|i| (name(&format!("e{i}")), sign(i))).collect()
    };
    assert_eq!(suspects(looks(8, 0)).len(), 8);
    assert_eq!(suspects(looks(9, 0)).len(), 0);
    assert_eq!(suspects(looks(12, 0)).len(), 0);
    assert_eq!(suspects(looks(9, 2)).len(), 2);
}
