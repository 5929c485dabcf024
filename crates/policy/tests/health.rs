//! Status of upstreams from lagging sources that disagree.

#![allow(clippy::unwrap_used, reason = "a failure here fails the test")]

mod common;

use common::{name, report, vm};
use heathpitch_core::{Revision, VmState};
use heathpitch_policy::{Health, HealthEvent, HealthStatus};

fn listed() -> Health {
    let mut health = Health::new();
    health.on(HealthEvent::Listed(Revision(1), vec![vm("e")]), 0);
    health
}

#[test]
fn an_engine_is_new_until_its_first_report() {
    let mut health = listed();
    assert_eq!(health.status("e", 0), Some(HealthStatus::New));
    health.on(HealthEvent::Polled(report("e", 0, 4)), 10);
    assert_eq!(health.status("e", 10), Some(HealthStatus::Up));
}

#[test]
fn silence_and_failed_polls_take_it_down() {
    let mut health = listed();
    health.on(HealthEvent::Polled(report("e", 0, 4)), 10);
    assert_eq!(health.status("e", 400_000), Some(HealthStatus::Down));
    health.on(HealthEvent::PollFailed(name("e")), 20);
    assert_eq!(health.status("e", 20), Some(HealthStatus::Up));
    health.on(HealthEvent::PollFailed(name("e")), 30);
    assert_eq!(health.status("e", 30), Some(HealthStatus::Down));
}

/// An engine that only peers can reach stays down, however often they relay its reports.
#[test]
fn a_relayed_report_does_not_bring_back_an_unreachable_engine() {
    let mut health = listed();
    health.on(HealthEvent::Polled(report("e", 0, 4)), 10);
    health.on(HealthEvent::PollFailed(name("e")), 20);
    health.on(HealthEvent::PollFailed(name("e")), 30);
    let mut newer = report("e", 0, 4);
    newer.serial = 2;
    health.on(HealthEvent::Relayed(newer.clone()), 40);
    assert_eq!(health.status("e", 40), Some(HealthStatus::Down));
    health.on(HealthEvent::Polled(newer), 50);
    assert_eq!(health.status("e", 50), Some(HealthStatus::Up));
}

#[test]
fn either_source_is_enough_to_mark_an_engine_as_leaving() {
    let mut health = listed();
    let mut draining = report("e", 0, 4);
    draining.draining = true;
    health.on(HealthEvent::Polled(draining), 10);
    assert_eq!(health.status("e", 10), Some(HealthStatus::Draining));

    let mut health = listed();
    health.on(HealthEvent::Polled(report("e", 0, 4)), 10);
    let mut gone = vm("e");
    gone.state = VmState::Leaving;
    health.on(HealthEvent::Listed(Revision(2), vec![gone]), 20);
    assert_eq!(health.status("e", 20), Some(HealthStatus::Draining));
    assert!(health.fleet(20).is_empty());
}

#[test]
fn a_restarted_engine_comes_back_and_its_old_reports_are_ignored() {
    let mut health = listed();
    let mut draining = report("e", 0, 4);
    draining.draining = true;
    draining.serial = 9;
    health.on(HealthEvent::Polled(draining.clone()), 10);
    let mut again = report("e", 0, 4);
    again.incarnation.0 = 2;
    health.on(HealthEvent::Polled(again), 20);
    assert_eq!(health.status("e", 20), Some(HealthStatus::Up));
    health.on(HealthEvent::Relayed(draining), 30);
    assert_eq!(health.status("e", 30), Some(HealthStatus::Up));
}

#[test]
fn a_vm_that_is_no_longer_listed_is_removed() {
    let mut health = listed();
    health.on(HealthEvent::Polled(report("e", 0, 4)), 10);
    health.on(HealthEvent::Listed(Revision(2), vec![]), 20);
    assert_eq!(health.status("e", 20), None);
}

/// A node that is too busy to receive answers must not give up all engines at once.
#[test]
fn late_answers_of_nearly_all_engines_are_ignored() {
    use heathpitch_policy::{ProbeResult, suspects};
    let probes = |late: usize, gone: usize| -> Vec<_> {
        let result = |i: usize| match i {
            i if i < gone => ProbeResult::Unreachable,
            i if i < gone + late => ProbeResult::TimedOut,
            _ => ProbeResult::Alive,
        };
        (0..12).map(|i| (name(&format!("e{i}")), result(i))).collect()
    };
    assert_eq!(suspects(probes(8, 0)).len(), 8);
    assert_eq!(suspects(probes(9, 0)).len(), 0);
    assert_eq!(suspects(probes(12, 0)).len(), 0);
    assert_eq!(suspects(probes(9, 2)).len(), 2);
}
