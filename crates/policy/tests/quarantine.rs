//! Which requests are quarantined because engines terminate under them, and which are not.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

use heathpitch_core::{Millis, RequestFingerprint};
use heathpitch_policy::{EngineExit, EngineIncarnation, Quarantine};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const FATAL: RequestFingerprint = RequestFingerprint(7);
const OTHER: RequestFingerprint = RequestFingerprint(8);

fn incarnation(engine: u32) -> EngineIncarnation {
    EngineIncarnation { engine: format!("e{engine}").parse().unwrap(), started_at: None }
}

fn after(exits: &[(RequestFingerprint, u32, u32)]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (fingerprint, engine, events) in exits {
        quarantine.record_exit(*fingerprint, incarnation(*engine), *events, 0);
    }
    quarantine.decide();
    quarantine
}

#[test]
fn two_exits_do_not_quarantine_a_request_but_three_do() {
    assert!(!after(&[(FATAL, 1, 0), (FATAL, 2, 0), (FATAL, 2, 0)]).holds(FATAL));
    assert!(after(&[(FATAL, 1, 0), (FATAL, 2, 0), (FATAL, 3, 0)]).holds(FATAL));
}

#[test]
fn a_long_running_request_is_not_blamed_but_the_exit_of_its_engine_is_recorded() {
    let quarantine = after(&[(OTHER, 1, 9), (OTHER, 2, 40), (OTHER, 3, 200)]);
    assert!(!quarantine.holds(OTHER));
    assert_eq!((quarantine.exited_engines().len(), quarantine.counts().len()), (3, 0));
}

#[test]
fn a_request_present_at_each_exit_is_not_blamed_if_more_engines_exited_under_another() {
    let rerouted = [1, 2, 3].map(|e| (OTHER, e, 0));
    let fatal = [1, 2, 3, 4].map(|e| (FATAL, e, 0));
    let quarantine = after(&[rerouted.to_vec(), fatal.to_vec()].concat());
    assert!(quarantine.holds(FATAL));
    assert!(!quarantine.holds(OTHER));
}

#[test]
fn two_requests_with_the_same_exits_are_distinguished_by_the_next_exit() {
    let mut quarantine = after(&[1, 2, 3].map(|e| [(FATAL, e, 2), (OTHER, e, 0)]).concat());
    assert_eq!(quarantine.held().count(), 0);
    quarantine.record_exit(FATAL, incarnation(4), 2, 0);
    assert_eq!(quarantine.decide(), (vec![FATAL], vec![]));
}

#[test]
fn two_requests_that_always_coincide_are_distinguished_by_their_events() {
    let mut quarantine = after(&[1, 2, 3, 4].map(|e| [(FATAL, e, 0), (OTHER, e, 3)]).concat());
    assert_eq!(quarantine.held().collect::<Vec<_>>(), [FATAL]);
    // If that was wrong, the other request goes on to crash an engine alone.
    quarantine.record_exit(OTHER, incarnation(5), 3, 0);
    assert_eq!(quarantine.decide().0, [OTHER]);
}

#[test]
fn two_faulty_requests_that_run_apart_are_both_found() {
    let quarantine = after(&[1, 2, 3].map(|e| [(FATAL, e, 0), (OTHER, e + 10, 0)]).concat());
    assert!(quarantine.holds(FATAL) && quarantine.holds(OTHER));
}

#[test]
fn two_faulty_requests_that_coincided_are_both_found() {
    let together = [1, 2, 3].map(|e| [(FATAL, e, 0), (OTHER, e, 0)]).concat();
    let quarantine = after(&[together, vec![(FATAL, 4, 0), (OTHER, 5, 0)]].concat());
    assert!(quarantine.holds(FATAL) && quarantine.holds(OTHER));
}

#[test]
fn an_answer_or_a_live_engine_ends_the_quarantine() {
    let exits = [1, 2, 3].map(|e| (FATAL, e, 0));
    let mut answered = after(&exits);
    assert!(answered.clear_request(FATAL));
    assert_eq!(answered.decide().1, [FATAL]);
    let mut alive = after(&exits);
    assert!(alive.engine_alive(&incarnation(2)));
    assert_eq!(alive.decide().1, [FATAL]);
    assert!(!alive.engine_alive(&incarnation(2)));
}

#[test]
fn the_quarantine_ends_some_time_after_the_last_request() {
    let mut quarantine = after(&[1, 2, 3].map(|e| (FATAL, e, 0)));
    let minutes = |m: u64| m * 60_000;
    assert!(!quarantine.renew(FATAL, minutes(1)), "most of its time remains");
    assert!(quarantine.renew(FATAL, minutes(8)));
    quarantine.expire(minutes(12));
    quarantine.decide();
    assert!(quarantine.holds(FATAL));
    assert_eq!(quarantine.remaining(FATAL, minutes(12)), minutes(6));
    quarantine.expire(minutes(18));
    assert_eq!(quarantine.decide().1, [FATAL]);
}

/// The first exits may be old when the last one comes: a node that starts then must reach the same
/// verdict as the others.
#[test]
fn exits_of_a_request_expire_together() {
    let mut here = after(&[1, 2].map(|e| (FATAL, e, 0)));
    here.record_exit(FATAL, incarnation(3), 0, 500_000);
    here.decide();
    here.expire(900_000);
    here.decide();
    assert!(here.holds(FATAL));
    let mut there = Quarantine::default();
    for (exit, age) in here.since(0, 100, 900_000).0 {
        there.learn(exit, age, 900_000);
    }
    there.expire(900_000);
    there.decide();
    assert!(there.holds(FATAL));
    assert_eq!(
        (here.remaining(FATAL, 900_000), there.remaining(FATAL, 900_000)),
        (200_000, 200_000)
    );
    here.expire(1_100_000);
    assert_eq!(here.decide().1, [FATAL]);
}

#[test]
fn exits_passed_back_and_forth_do_not_stay_young() {
    let [mut here, mut there] = [Quarantine::default(), Quarantine::default()];
    here.record_exit(FATAL, incarnation(1), 0, 0);
    for now in (0..590_000).step_by(1_000) {
        for (exit, age) in here.since(0, 100, now).0 {
            there.learn(exit, age, now + 1);
        }
        for (exit, age) in there.since(0, 100, now + 1).0 {
            assert!(!here.learn(exit, age, now + 2), "nothing new");
        }
    }
    assert!(there.evidence(FATAL, 590_000).next().unwrap().2 >= 589_990);
    there.expire(600_010);
    assert_eq!(there.evidence(FATAL, 600_010).count(), 0);
    let exit = EngineExit {
        fingerprint: FATAL,
        incarnation: incarnation(1),
        events: 0,
        renewed: 0,
        cleared: false,
    };
    there.learn(exit.clone(), 600_000, 600_010);
    there.expire(600_010);
    assert_eq!(there.evidence(FATAL, 600_010).count(), 0);
    assert!(!there.learn(exit, 1_200_000, 1_200_000));
}

#[test]
fn memory_is_bounded_and_quarantined_requests_are_evicted_last() {
    let mut quarantine = after(&[1, 2, 3].map(|e| (FATAL, e, 0)));
    for flood in 100..10_100 {
        quarantine.record_exit(RequestFingerprint(flood), incarnation(flood as u32), 0, flood);
    }
    assert!(quarantine.since(0, usize::MAX, 20_000).0.len() <= 2_048);
    quarantine.decide();
    assert!(quarantine.holds(FATAL));
}

#[test]
fn changes_are_sent_in_batches() {
    let mut quarantine = Quarantine::default();
    (0..10).for_each(|e| {
        quarantine.record_exit(FATAL, incarnation(e), 0, 0);
    });
    let (first, serial) = quarantine.since(0, 4, 0);
    let (rest, end) = quarantine.since(serial, 100, 0);
    assert_eq!((first.len(), rest.len(), end), (4, 6, quarantine.serial()));
    // Exits that changed together are sent together, whatever their number.
    quarantine.clear_request(FATAL);
    let (cleared, end) = quarantine.since(end, 4, 0);
    assert_eq!((cleared.len(), end), (10, quarantine.serial()));
}

/// A change at one of two nodes.
#[derive(Clone, Debug)]
enum Step {
    Exited(u64, u32, u32),
    Answered(u64),
    EngineAlive(u32),
    CameAgain(u64),
}

fn step() -> impl Strategy<Value = (bool, Step)> {
    let step = prop_oneof![
        8 => (0..4_u64, 0..6_u32, 0..12_u32).prop_map(|(p, e, n)| Step::Exited(p, e, n)),
        1 => (0..4_u64).prop_map(Step::Answered),
        1 => (0..6_u32).prop_map(Step::EngineAlive),
        1 => (0..4_u64).prop_map(Step::CameAgain),
    ];
    (any::<bool>(), step)
}

proptest! {
/// Whatever each node saw, and in whatever order they exchange it, their verdicts are equal.
#[test]
    fn nodes_that_exchanged_their_exits_agree(steps in prop::collection::vec(step(), 0..60)) {
    let mut nodes = [Quarantine::default(), Quarantine::default()];
    let mut now = 0;
        for (second, step) in steps {
            now += 10_000;
            let node = &mut nodes[usize::from(second)];
            match step {
                Step::Exited(p, e, n) => { node.record_exit(RequestFingerprint(p), incarnation(e), n, now); }
                Step::Answered(p) => { node.clear_request(RequestFingerprint(p)); }
                Step::EngineAlive(e) => { node.engine_alive(&incarnation(e)); }
                Step::CameAgain(p) => { node.renew(RequestFingerprint(p), now);
    }
            }
        }
        let [mut a, mut b] = nodes;
        for _ in 0..2 {
            for (exit, age) in a.since(0, usize::MAX, now).0 { b.learn(exit, age, now);
        }
        for (exit, age) in b.since(0, usize::MAX, now).0 { a.learn(exit, age, now);
    }
        }
        for node in [&mut a, &mut b] {
            node.expire(now);
            node.decide();
        }
        prop_assert_eq!(a.held().collect::<Vec<_>>(), b.held().collect::<Vec<_>>());
    }
}

/// A request in the model.
#[derive(Clone, Debug)]
struct Run {
    fingerprint: RequestFingerprint,
    started: Millis,
    /// Sends within this try.
    sends: u32,
    /// Further tries by the caller.
    tries: u32,
}

/// Result of one minute of the model.
#[derive(Debug, Default)]
struct Outcome {
    /// Harmless requests.
    harmless: usize,
    /// Harmless requests that were held in quarantine.
    held: usize,
    /// Engines that terminated.
    exited: usize,
    /// Sends of the fatal request after it had crashed three engines.
    extra_sends: usize,
}

/// Simulates one minute of the first engines of failure domains with the load of a recorded day: 70
/// streams a second of about 4 s each, engines that are back 3 s after they terminate, two sends
/// per try, and callers that retry once, 0.2 s later. Every second a fatal request comes, or one
/// engine in `faults` terminates by itself.
fn minute(seed: u64, engines: usize, fatal: bool, faults: Option<u32>) -> Outcome {
    const STEP_MS: Millis = 10;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut quarantine = Quarantine::default();
    let mut running: Vec<Vec<Run>> = vec![Vec::new(); engines];
    let mut up_at: Vec<Millis> = vec![0; engines];
    let mut incarnations: Vec<u32> = (0..engines as u32).collect();
    let mut pending: Vec<(Millis, Run)> = Vec::new();
    let (mut next, mut outcome, mut known) = (100, Outcome::default(), 0);
    for now in (0..60_000).step_by(STEP_MS as usize) {
        for _ in 0..rng.random_range(0..2) {
            next += 1;
            outcome.harmless += 1;
            let fingerprint = RequestFingerprint(next);
            pending.push((now, Run { fingerprint, started: 0, sends: 0, tries: 1 }));
        }
        if fatal && now % 1_000 == 0 {
            pending.push((now, Run { fingerprint: FATAL, started: 0, sends: 0, tries: 1 }));
        }
        let due: Vec<Run> = pending.extract_if(.., |(at, _)| *at <= now).map(|(_, r)| r).collect();
        for run in due {
            let up: Vec<usize> = (0..engines).filter(|e| up_at[*e] <= now).collect();
            if up.is_empty() || quarantine.holds(run.fingerprint) {
                outcome.held +=
                    usize::from(quarantine.holds(run.fingerprint) && run.fingerprint != FATAL);
                continue;
            }
            outcome.extra_sends += usize::from(run.fingerprint == FATAL && known >= 3);
            let at = up[rng.random_range(0..up.len())];
            running[at].push(Run { started: now, sends: run.sends + 1, ..run });
        }
        for engine in 0..engines {
            let fatal =
                running[engine].iter().any(|r| r.fingerprint == FATAL && now >= r.started + 70);
            let fault = faults.is_some_and(|f| now % 1_000 == 0 && rng.random_range(0..f) == 0);
            if up_at[engine] > now || !(fatal || fault) {
                running[engine].retain(|r| now < r.started + 4_000);
                continue;
            }
            outcome.exited += 1;
            known += u32::from(fatal);
            up_at[engine] = now + 3_000;
            for run in std::mem::take(&mut running[engine]) {
                let events = (now - run.started) / 50;
                quarantine.record_exit(
                    run.fingerprint,
                    incarnation(incarnations[engine]),
                    events as u32,
                    now,
                );
                match run {
                    Run { sends: 1, .. } => pending.push((now + 10, run)),
                    Run { tries: 1.., .. } => {
                        pending.push((now + 200, Run { sends: 0, tries: run.tries - 1, ..run }));
                    }
                    _ => {}
                }
            }
            incarnations[engine] += engines as u32;
            quarantine.decide();
        }
    }
    outcome
}

/// Runs 32 minutes for each number of engines. If the verdict did not blame the fewest requests
/// that explain the exits, harmless requests would be quarantined along with the fatal one.
#[test]
fn harmless_requests_are_not_quarantined_along_with_a_fatal_one() {
    for engines in [3, 6, 24] {
        let minutes: Vec<Outcome> = (0..32).map(|s| minute(s, engines, true, None)).collect();
        let (harmless, held): (usize, usize) =
            (minutes.iter().map(|m| m.harmless).sum(), minutes.iter().map(|m| m.held).sum());
        let extra_sends = minutes.iter().map(|m| m.extra_sends).max().unwrap();
        let exited: usize = minutes.iter().map(|m| m.exited).sum();
        println!(
            "{engines} engines: {held} of {harmless} quarantined, {exited} exited, fatal request sent {extra_sends} more times"
        );
        assert_eq!(held, 0, "of {harmless}");
        assert!(extra_sends <= 3, "{extra_sends}");
    }
}

#[test]
fn nothing_is_quarantined_if_engines_terminate_by_themselves() {
    for (engines, faults) in [(3, 4), (6, 6), (24, 10)] {
        let minutes = (0..32).map(|s| minute(s, engines, false, Some(faults)));
        let (exited, held) = minutes.fold((0, 0), |(e, h), m| (e + m.exited, h + m.held));
        println!("{engines} engines: {exited} exited, {held} quarantined");
        assert_eq!(held, 0, "{exited} exited");
    }
}
