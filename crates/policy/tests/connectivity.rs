//! Services that a node does not reach at all, told apart from single engines that do not answer.

use heathpitch_policy::{CheckResult, Connectivity, Suspicion};

/// Longest time from the end of a cut to the return.
const RETURN_TIME_MS: u64 = 2_000;
/// Interval at which due probes are made.
const TICK_MS: u64 = 125;

/// A service that is found cut off at `now`.
fn cut_off(way: &mut Connectivity, now: u64) {
    assert!(way.suspect(Suspicion::Failed, 600, now).is_some());
    assert!(matches!(way.record_check(false, 2, 600, now), CheckResult::Undecided(_)));
    assert_eq!(way.record_check(false, 26, 600, now), CheckResult::CutOff);
}

/// Time until a service that answers from `now` on is reached again, and the probes made.
fn time_to_return(way: &mut Connectivity, now: u64) -> (u64, u32) {
    let mut probes = 0;
    for at in (now..).step_by(TICK_MS as usize) {
        if way.is_probe_due(at) {
            probes += 1;
            if way.record_probe(true, at) {
                return (at - now, probes);
            }
        }
    }
    unreachable!()
}

/// Guards against a service that counts as cut off because one engine of it ended or is silent.
#[test]
fn a_service_with_one_engine_that_answers_is_connected() {
    let mut way = Connectivity::default();
    assert_eq!(way.suspect(Suspicion::Failed, 600, 0), Some(2));
    assert_eq!(way.record_check(false, 2, 600, 60), CheckResult::Undecided(24));
    assert_eq!(way.record_check(true, 26, 600, 120), CheckResult::Connected);
    assert!(!way.is_cut_off());
}

/// Guards against probes of healthy engines for each call that waits for a loaded one.
#[test]
fn late_answers_cause_few_probes() {
    let mut way = Connectivity::default();
    let mut probed = 0;
    for now in (0..10_000).step_by(10) {
        if let Some(count) = way.suspect(Suspicion::Late, 600, now) {
            probed += count;
            way.record_check(true, count, 600, now + 5);
        }
    }
    assert!(probed <= 20, "{probed} probes in ten seconds");
}

/// Guards against probes that grow with the number of engines while they cannot be reached.
#[test]
fn probes_during_a_cut_are_bounded() {
    let mut way = Connectivity::default();
    cut_off(&mut way, 0);
    let due = (0..10_000).step_by(TICK_MS as usize).filter(|at| {
        let due = way.is_probe_due(*at);
        if due {
            way.record_probe(false, *at);
        }
        due
    });
    assert!(due.count() <= 40);
    assert_eq!(way.suspect(Suspicion::Failed, 600, 10_000), None, "nothing new is learned");
}

/// Guards against a node that forwards calls long after it reaches engines again.
#[test]
fn a_service_returns_in_time() {
    let mut way = Connectivity::default();
    cut_off(&mut way, 0);
    let (time, probes) = time_to_return(&mut way, 12_000);
    assert!(time <= RETURN_TIME_MS, "{time}");
    assert_eq!(probes, 2);
}

/// Guards against a node that changes back and forth while the way comes and goes.
#[test]
fn an_unstable_way_needs_more_answers() {
    let mut way = Connectivity::default();
    cut_off(&mut way, 0);
    time_to_return(&mut way, 1_000);
    cut_off(&mut way, 2_000);
    let (time, probes) = time_to_return(&mut way, 3_000);
    assert_eq!(probes, 4);
    assert!(time <= RETURN_TIME_MS, "{time}");
}

/// Guards against a single answer, such as one that comes late, that ends a cut.
#[test]
fn a_lost_answer_starts_the_count_anew() {
    let mut way = Connectivity::default();
    cut_off(&mut way, 0);
    assert!(!way.record_probe(true, 300));
    assert!(!way.record_probe(false, 400));
    assert!(!way.record_probe(true, 700));
    assert!(way.record_probe(true, 800));
}
